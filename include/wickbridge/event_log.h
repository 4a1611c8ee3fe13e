/**
 * @file event_log.h
 * @brief Structured event log on standard output: one JSON object per line, rate limited, never
 * blocking.
 *
 * Each kind of event has a budget of lines per second. Lines beyond it are dropped and reported by
 * a "log-dropped" line; lines are also dropped while the buffer is full because standard output
 * doesn't accept more. Lines are buffered until wb_event_log_flush. docs/OPERATIONS.md has the
 * schema. The functions report no errors. Single-threaded.
 */
#ifndef WICKBRIDGE_EVENT_LOG_H
#define WICKBRIDGE_EVENT_LOG_H

#include <glib.h>
#include <stdint.h>

/** Set up the log; call once. @param node node name written on each line; copied
 * @param lines_per_s budget of each kind of event */
void wb_event_log_setup(const char *node, unsigned lines_per_s);

/**
 * Log an event.
 * @param kind   the kind of event, for example "request-ended"; a string constant
 * @param format printf format of further JSON members, each preceded by a comma:
 * ,"id":"%s","status":%u. Of printf's conversions it may have %s, %d, %u and %x, these also with
 * ll or z, %f, %g and %%. A text (%s) is any bytes, or NULL for "": it is escaped for the JSON
 * string around it, bytes that aren't UTF-8 become U+FFFD, and after 200 bytes an ellipsis stands
 * for the rest. A number that isn't finite becomes null.
 */
void wb_event(const char *kind, const char *format, ...) G_GNUC_PRINTF(2, 3);

/** Log an event whose members are JSON already. @param members each preceded by a comma; "": none
 */
void wb_event_members(const char *kind, const char *members);

/** Write buffered lines, as far as possible without blocking. */
void wb_event_log_flush(void);
/** @return number of lines dropped so far */
uint64_t wb_event_log_dropped(void);

#endif
