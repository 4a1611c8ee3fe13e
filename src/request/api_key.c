/* Reads the API key from a client's request headers. */
#include "request/api_key.h"

#include <string.h>

/* Returns the last value of a header, or NULL. @param count out: number of headers of that name */
static const char *last_value(const wb_http_head_t *head, const char *name, unsigned *count) {
    const char *value = NULL;
    *count = 0;
    for (guint i = 0; i < head->headers->len; i++) {
        const wb_http_header_t *header = &g_array_index(head->headers, wb_http_header_t, i);
        if (g_ascii_strcasecmp(header->name, name) == 0) {
            value = header->value;
            (*count)++;
        }
    }
    return value;
}

/* Returns the start of the key after the scheme, or NULL when the value has another scheme. */
static const char *after_scheme(const char *value, const char *scheme) {
    size_t length = strlen(scheme);
    if (g_ascii_strncasecmp(value, scheme, length) != 0 || value[length] != ' ') {
        return NULL;
    }
    return value + length + strspn(value + length, " ");
}

/* Returns the length of a key without trailing space, or 0 if it is malformed. */
static size_t key_length(const char *key) {
    size_t length = strlen(key);
    while (length > 0 && (key[length - 1] == ' ' || key[length - 1] == '\t')) {
        length--;
    }
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isgraph(key[i])) {
            return 0;
        }
    }
    return length <= WB_KEY_MAX_BYTES ? length : 0;
}

wb_api_key_t wb_api_key_read(const wb_http_head_t *head, const wb_dialect_t *dialect) {
    wb_api_key_t found = {WB_API_KEY_ABSENT, {{0}}};
    unsigned count;
    const char *value = last_value(head, dialect->api_key, &count);
    if (count == 0) {
        return found;
    }
    found.state = WB_API_KEY_MALFORMED;
    const char *key = count == 1 ? after_scheme(value, dialect->api_key_scheme) : NULL;
    size_t length = key != NULL ? key_length(key) : 0;
    if (length > 0) {
        found.digest = wb_key_digest(key, length);
        found.state = WB_API_KEY_PRESENT;
    }
    return found;
}

gboolean wb_api_key_strips_header(const wb_dialect_t *dialect, const char *header) {
    return g_ascii_strcasecmp(header, dialect->api_key) == 0 ||
           g_ascii_strcasecmp(header, dialect->tenant) == 0;
}
