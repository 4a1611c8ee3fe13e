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
typedef enum wb_part_t {
    WB_PART_NODE,
    WB_PART_GATEWAY,
    WB_PART_MEMBERSHIP,
    WB_PART_CONFIG,
    WB_PART_CELL,
    WB_PART_ENGINE,
    WB_PART_PLATFORM,
    WB_PART_LINK,
    WB_PART_TOOL,
    WB_PART_STANDIN
} wb_part_t;

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
void wb_log(wb_part_t part, GLogLevelFlags level, const char *format, ...) G_GNUC_PRINTF(3, 4);

#define wb_log_warning(part, ...) wb_log((part), G_LOG_LEVEL_WARNING, __VA_ARGS__)
#define wb_log_message(part, ...) wb_log((part), G_LOG_LEVEL_MESSAGE, __VA_ARGS__)
#define wb_log_info(part, ...) wb_log((part), G_LOG_LEVEL_INFO, __VA_ARGS__)

#endif
