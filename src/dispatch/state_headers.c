/* Parser of the engine state headers. */
#include "dispatch/state_headers.h"

#include <string.h>

#define RETRY_AFTER "Retry-After"
#define UNAVAILABLE_STATUS 503

/* Returns the number of headers with this name. @param value out: the first one; unchanged if none
 */
static unsigned count_header(const wb_http_head_t *head, const char *name, const char **value) {
    unsigned count = 0;
    for (guint i = 0; i < head->headers->len; i++) {
        const wb_http_header_t *header = &g_array_index(head->headers, wb_http_header_t, i);
        if (g_ascii_strcasecmp(header->name, name) == 0) {
            *value = count == 0 ? header->value : *value;
            count++;
        }
    }
    return count;
}

/* Parses a non-negative decimal number. Returns FALSE when it is malformed or exceeds the bound. */
static gboolean parse_number(const char *text, double max, double *number) {
    size_t len = strlen(text);
    char *end;
    if (len == 0 || strspn(text, "0123456789.") != len) {
        return FALSE;
    }
    *number = g_ascii_strtod(text, &end);
    return *end == '\0' && *number <= max;
}

static void parse_limit(const wb_http_head_t *head, const char *name, wb_state_headers_t *state) {
    const char *text = NULL;
    unsigned count = count_header(head, name, &text);
    state->limit_present = count > 0;
    state->limit_valid =
        count == 1 && parse_number(text, WB_STATE_MAX_LIMIT_PER_S, &state->limit_per_s);
    state->refused += state->limit_present && !state->limit_valid;
}

static void parse_brittle(const wb_http_head_t *head, const char *name, wb_state_headers_t *state) {
    const char *text = NULL;
    double rejections;
    unsigned count = count_header(head, name, &text);
    state->brittle_present = count > 0;
    state->brittle_valid = count == 1 && parse_number(text, WB_STATE_MAX_REJECTIONS, &rejections);
    if (state->brittle_valid) {
        state->rejections = (unsigned)rejections;
    }
    state->refused += state->brittle_present && !state->brittle_valid;
}

static void parse_draining(const wb_http_head_t *head, const char *name,
                           wb_state_headers_t *state) {
    const char *text = NULL;
    unsigned count = count_header(head, name, &text);
    if (count == 0) {
        return;
    }
    state->leaving = count == 1 && strcmp(text, "1") == 0;
    state->refused += count > 1 || (strcmp(text, "1") != 0 && strcmp(text, "0") != 0);
}

static void parse_backoff(const wb_http_head_t *head, wb_state_headers_t *state) {
    const char *text = NULL;
    unsigned count = count_header(head, RETRY_AFTER, &text);
    double backoff_s;
    if (head->status != UNAVAILABLE_STATUS || count == 0) {
        return;
    }
    if (count == 1 && parse_number(text, (double)WB_STATE_MAX_BACKOFF_MS / 1000, &backoff_s)) {
        state->rest_ms = (int64_t)(backoff_s * 1000);
    } else {
        state->refused++;
    }
}

wb_state_headers_t wb_state_headers_parse(const wb_http_head_t *head, const wb_dialect_t *dialect) {
    wb_state_headers_t state = {0};
    parse_limit(head, dialect->engine_limit, &state);
    parse_brittle(head, dialect->engine_brittle, &state);
    parse_draining(head, dialect->engine_draining, &state);
    parse_backoff(head, &state);
    return state;
}
