/* Whole events of a text/event-stream. */
#include "request/event_stream.h"

#include <string.h>

#define ID_FIELD "id:"

size_t wb_events_complete_length(const char *text, size_t length) {
    for (size_t i = length; i >= 2; i--) {
        if (text[i - 1] != '\n')
            continue;
        if (text[i - 2] == '\n')
            return i;
        if (i >= 4 && text[i - 2] == '\r' && text[i - 3] == '\n')
            return i;
    }
    return 0;
}

static size_t line_length(const char *text, size_t length) {
    size_t size = 0;
    while (size < length && text[size] != '\n' && text[size] != '\r')
        size++;
    return size;
}

char *wb_events_last_id(const char *text, size_t length) {
    size_t field = strlen(ID_FIELD);
    for (size_t i = length; i > 0; i--) {
        size_t at = i - 1;
        gboolean begins_line = at == 0 || text[at - 1] == '\n';
        if (!begins_line || length - at < field || memcmp(text + at, ID_FIELD, field) != 0)
            continue;
        at += field;
        while (at < length && text[at] == ' ')
            at++;
        return g_strndup(text + at, line_length(text + at, length - at));
    }
    return NULL;
}
