/**
 * @file event_stream.h
 * @brief Finds complete events and their ids in the bytes of a text/event-stream.
 *
 * Lengths are in bytes; the text need not end with NUL. Functions are pure and don't fail.
 */
#ifndef WICKBRIDGE_EVENT_STREAM_H
#define WICKBRIDGE_EVENT_STREAM_H

#include <glib.h>

/** @return length of the complete events at the start, up to and including the last blank line; 0
 * when there is none */
size_t wb_events_complete_length(const char *text, size_t length);
/** @param text complete events
 * @return the id of the last event that has one, to be freed with g_free; NULL when none has */
char *wb_events_last_id(const char *text, size_t length);

#endif
