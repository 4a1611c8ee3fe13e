/* Reads what an engine tells of its load on an answer. */
#include "dispatch/load_header.h"

#include "wickbridge/engine_pace.h"

#include <string.h>

/* Reads a count up to the next comma. Returns FALSE when it is none. */
static gboolean count_read(const char *text, unsigned *count) {
    if (text == NULL || !g_ascii_isdigit(*text)) {
        return FALSE;
    }
    char *end;
    guint64 value = g_ascii_strtoull(text, &end, 10);
    *count = (unsigned)value;
    return value <= WB_LOAD_HEADER_MAX_REQUESTS && (*end == ',' || *end == '\0' || *end == ' ');
}

static const char *next_field(const char *text) {
    const char *comma = text != NULL ? strchr(text, ',') : NULL;
    if (comma == NULL) {
        return NULL;
    }
    return comma + 1 + strspn(comma + 1, " ");
}

static const char *pace_field(const char *text) {
    return next_field(next_field(next_field(text)));
}

gboolean wb_load_header_has_pace(const char *text) {
    return pace_field(text) != NULL;
}

gboolean wb_load_header_parse(const char *text, wb_load_header_t *load) {
    memset(load, 0, sizeof(*load));
    const char *waiting = next_field(text);
    if (!count_read(text, &load->running) || !count_read(waiting, &load->waiting)) {
        memset(load, 0, sizeof(*load));
        return FALSE;
    }
    load->pace_percent = wb_engine_pace_parse(pace_field(text));
    return TRUE;
}
