/* Access to members of JSON objects, with fallbacks for absent ones and other types. */
#include "wickbridge/json.h"

#include <glib.h>
#include <string.h>

/* 2^53: a double holds all integers up to this exactly. */
#define MAX_EXACT_INTEGER 9007199254740992.0

const char *wb_json_text(const json_t *object, const char *key, const char *fallback) {
    const json_t *member = json_object_get(object, key);
    return json_is_string(member) ? json_string_value(member) : fallback;
}

int64_t wb_json_integer(const json_t *object, const char *key, int64_t fallback) {
    const json_t *member = json_object_get(object, key);
    if (json_is_integer(member)) {
        return json_integer_value(member);
    }
    /* Clamped, as converting a double that is out of the integer's range is undefined. */
    return json_is_real(member)
               ? (int64_t)CLAMP(json_real_value(member), -MAX_EXACT_INTEGER, MAX_EXACT_INTEGER)
               : fallback;
}

int wb_json_boolean(const json_t *object, const char *key, int fallback) {
    const json_t *member = json_object_get(object, key);
    return json_is_boolean(member) ? json_is_true(member) : fallback;
}

char *wb_json_dump(const json_t *value) {
    char *text = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
    return text != NULL ? text : strdup("null");
}
