/* Reads what an engine tells of its state at the head of an answer. */
#include "dispatch/state_headers.h"

#include <string.h>

#define RETRY_AFTER "Retry-After"
#define SHED_STATUS 503

/* Returns how often a header comes. @param value out: the first one */
static unsigned header_count(const wb_http_head_t *head, const char *name, const char **value) {
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

/* Reads a decimal number from 0 up. Returns FALSE when it is none. */
static gboolean number_read(const char *text, double most, double *number) {
    size_t len = strlen(text);
    char *end;
    if (len == 0 || strspn(text, "0123456789.") != len) {
        return FALSE;
    }
    *number = g_ascii_strtod(text, &end);
    return *end == '\0' && *number <= most;
}

static void limit_read(const wb_http_head_t *head, const char *name, wb_state_headers_t *told) {
    const char *text = NULL;
    unsigned count = header_count(head, name, &text);
    told->limit_present = count > 0;
    told->limit_valid =
        count == 1 && number_read(text, WB_STATE_MAX_LIMIT_PER_S, &told->limit_per_s);
    told->refused += told->limit_present && !told->limit_valid;
}

static void leaving_read(const wb_http_head_t *head, const char *name, wb_state_headers_t *told) {
    const char *text = NULL;
    unsigned count = header_count(head, name, &text);
    if (count == 0) {
        return;
    }
    told->leaving = count == 1 && strcmp(text, "1") == 0;
    told->refused += count > 1 || (strcmp(text, "1") != 0 && strcmp(text, "0") != 0);
}

static void rest_read(const wb_http_head_t *head, wb_state_headers_t *told) {
    const char *text = NULL;
    unsigned count = header_count(head, RETRY_AFTER, &text);
    double rest_s;
    if (head->status != SHED_STATUS || count == 0) {
        return;
    }
    if (count == 1 && number_read(text, (double)WB_STATE_MAX_BACKOFF_MS / 1000, &rest_s)) {
        told->rest_ms = (int64_t)(rest_s * 1000);
    } else {
        told->refused++;
    }
}

wb_state_headers_t wb_state_headers_parse(const wb_http_head_t *head, const wb_dialect_t *dialect) {
    wb_state_headers_t told = {0};
    limit_read(head, dialect->engine_limit, &told);
    leaving_read(head, dialect->engine_draining, &told);
    rest_read(head, &told);
    return told;
}
