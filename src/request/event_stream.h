/**
 * @file event_stream.h
 * @brief Finds complete events and their ids in the bytes of a text/event-stream, as the HTML
 * Standard defines it (section "Server-sent events").
 *
 * Lengths are in bytes; the text need not end with NUL. Functions are pure and don't fail. in_line:
 * the text follows a part of an event that was split off inside a line (wb_events_split_length).
 */
#ifndef WICKBRIDGE_EVENT_STREAM_H
#define WICKBRIDGE_EVENT_STREAM_H

#include <glib.h>

/** @return length of the complete events at the start, up to and including the last blank line; 0
 * when there is none. Lines end with LF, CR or CR LF. */
size_t wb_events_complete_length(const char *text, size_t length, gboolean in_line);
/** @return length of the largest part that can be split off a text without complete events: it ends
 * inside a line; 0 when the text has line ends only */
size_t wb_events_split_length(const char *text, size_t length);
/** @return TRUE if a stream that ends with this text ends inside an event: a field follows its last
 * blank line. Comments are no fields. */
gboolean wb_events_is_inside_event(const char *text, size_t length, gboolean in_line);
/** @param text complete events
 * @return the id of the last event that has one, to be freed with g_free; NULL when none has */
char *wb_events_last_id(const char *text, size_t length);

#endif
