/**
 * @file event_log.h
 * @brief Structured log lines on standard output: one JSON object a line, bounded, never blocking.
 *
 * Each kind of event has a budget of lines a second; lines beyond it, and lines that a full pipe
 * doesn't take, are counted and told in a later line. Lines are gathered and written by
 * wb_event_log_flush. docs/OPERATIONS.md has the schema. One thread.
 */
#ifndef WICKBRIDGE_EVENT_LOG_H
#define WICKBRIDGE_EVENT_LOG_H

#include <glib.h>
#include <stdint.h>

/** Set up once. @param node name put on each line; copied. @param lines_per_s budget of each kind
 */
void wb_event_log_setup(const char *node, unsigned lines_per_s);

/**
 * Write one line.
 * @param kind   the event, for example "request-ended"; a constant text
 * @param format printf-like text of further members, each begun with a comma:
 * ,"id":"%s","status":%u Texts from outside must be passed through wb_event_escape.
 */
void wb_event(const char *kind, const char *format, ...) G_GNUC_PRINTF(2, 3);

/** @return the text with all that JSON can't hold as it is replaced; in a ring of buffers,
 * short-lived */
const char *wb_event_escape(const char *text);

/** Hand gathered lines to the system, as far as it takes them without waiting. */
void wb_event_log_flush(void);
/** @return lines that were dropped so far */
uint64_t wb_event_log_dropped(void);

#endif
