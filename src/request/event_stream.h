/**
 * @file event_stream.h
 * @brief Finds whole events in the bytes of a text/event-stream, and their ids. Pure.
 */
#ifndef WICKBRIDGE_EVENT_STREAM_H
#define WICKBRIDGE_EVENT_STREAM_H

#include <glib.h>

/** @return bytes of the whole events at the front: up to the last blank line; 0 when there is none
 */
size_t wb_events_complete_length(const char *text, size_t length);
/** @return the id of the last of some whole events, to be freed with g_free, or NULL when none has
 * one */
char *wb_events_last_id(const char *text, size_t length);

#endif
