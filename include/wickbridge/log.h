/**
 * @file log.h
 * @brief Short log sentences with a fixed prefix for each part, through GLib's structured logging.
 */
#ifndef WICKBRIDGE_LOG_H
#define WICKBRIDGE_LOG_H

#include <glib.h>

/** The parts that log; each has a fixed prefix. */
typedef enum wb_log_component_t {
    WB_LOG_NODE,
    WB_LOG_GATEWAY,
    WB_LOG_MEMBERSHIP,
    WB_LOG_CONFIG,
    WB_LOG_CELL,
    WB_LOG_ENGINE,
    WB_LOG_PLATFORM,
    WB_LOG_LINK,
    WB_LOG_TOOL,
    WB_LOG_STANDIN
} wb_log_component_t;

/**
 * Choose the output form for the whole process. Call once, before other threads start.
 * @param json  TRUE for one JSON object a line, FALSE for text
 * @param level the least severe level that is written (G_LOG_LEVEL_DEBUG writes all)
 * @param node  the name put on each line; copied
 */
void wb_log_setup(gboolean json, GLogLevelFlags level, const char *node);

/** Read a level's name: error, warning, message, info, debug. @return 0 when unknown */
GLogLevelFlags wb_log_level_parse(const char *name);

/** Write one sentence for a part. Any thread may call it. */
void wb_log(wb_log_component_t part, GLogLevelFlags level, const char *format, ...) G_GNUC_PRINTF(3, 4);

#define wb_log_warning(part, ...) wb_log((part), G_LOG_LEVEL_WARNING, __VA_ARGS__)
#define wb_log_message(part, ...) wb_log((part), G_LOG_LEVEL_MESSAGE, __VA_ARGS__)
#define wb_log_info(part, ...) wb_log((part), G_LOG_LEVEL_INFO, __VA_ARGS__)

#endif
