/* Finds complete events and their ids in a text/event-stream. */
#include "request/event_stream.h"

#include <string.h>

#define ID_FIELD "id:"

static size_t line_length(const char *text, size_t length) {
    size_t size = 0;
    while (size < length && text[size] != '\n' && text[size] != '\r')
        size++;
    return size;
}

/* Returns the length of the line end at the start of the text; 0 when there is none, or when more
 * text may follow and decide whether it is CR or CR LF. */
static size_t line_end_length(const char *text, size_t length, gboolean is_whole) {
    if (length == 0 || (length == 1 && text[0] == '\r' && !is_whole))
        return 0;
    return length > 1 && text[0] == '\r' && text[1] == '\n' ? 2 : 1;
}

/* Length up to and including the last blank line. */
static size_t complete_length(const char *text, size_t length, gboolean in_line,
                              gboolean is_whole) {
    size_t complete = 0;
    size_t at = 0;
    while (at < length) {
        size_t line = line_length(text + at, length - at);
        size_t end = line_end_length(text + at + line, length - at - line, is_whole);
        if (end == 0)
            break;
        gboolean is_blank = line == 0 && !(in_line && at == 0);
        at += line + end;
        if (is_blank)
            complete = at;
    }
    return complete;
}

size_t wb_events_complete_length(const char *text, size_t length, gboolean in_line) {
    return complete_length(text, length, in_line, FALSE);
}

size_t wb_events_split_length(const char *text, size_t length) {
    while (length > 0 && (text[length - 1] == '\n' || text[length - 1] == '\r'))
        length--;
    return length;
}

gboolean wb_events_is_inside_event(const char *text, size_t length, gboolean in_line) {
    size_t at = complete_length(text, length, in_line, TRUE);
    if (in_line && at == 0)
        return TRUE;
    while (at < length) {
        size_t line = line_length(text + at, length - at);
        if (line > 0 && text[at] != ':')
            return TRUE;
        at += line + line_end_length(text + at + line, length - at - line, TRUE);
    }
    return FALSE;
}

char *wb_events_last_id(const char *text, size_t length) {
    size_t field = strlen(ID_FIELD);
    for (size_t i = length; i > 0; i--) {
        size_t at = i - 1;
        gboolean begins_line = at == 0 || text[at - 1] == '\n' || text[at - 1] == '\r';
        if (!begins_line || length - at < field || memcmp(text + at, ID_FIELD, field) != 0)
            continue;
        at += field;
        while (at < length && text[at] == ' ')
            at++;
        return g_strndup(text + at, line_length(text + at, length - at));
    }
    return NULL;
}
