/**
 * @file log.h
 * @brief Log messages with a component prefix, through GLib's structured logging.
 *
 * wb_log may be called from any thread. The functions report no errors.
 */
#ifndef WICKBRIDGE_LOG_H
#define WICKBRIDGE_LOG_H

#include <glib.h>

/** Components that log; each has a fixed prefix. */
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
 * Set the output format of the process. Call once, before other threads start.
 * @param json  TRUE for one JSON object per line, FALSE for text
 * @param level the least severe level that is written (G_LOG_LEVEL_DEBUG writes all)
 * @param node  node name written on each line; copied
 */
void wb_log_setup(gboolean json, GLogLevelFlags level, const char *node);

/** Parse a level's name: error, warning, message, info, debug. @return 0 if unknown */
GLogLevelFlags wb_log_level_parse(const char *name);

/** Write a message of a component. Any thread. */
void wb_log(wb_log_component_t component, GLogLevelFlags level, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

#define wb_log_warning(component, ...) wb_log((component), G_LOG_LEVEL_WARNING, __VA_ARGS__)
#define wb_log_message(component, ...) wb_log((component), G_LOG_LEVEL_MESSAGE, __VA_ARGS__)
#define wb_log_info(component, ...) wb_log((component), G_LOG_LEVEL_INFO, __VA_ARGS__)

#endif
