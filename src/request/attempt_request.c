/* The text of the request that an attempt sends to its engine. */
#include "request/request_types.h"

#include "wickbridge/http_head.h"

/* Whether a header of the client isn't forwarded: this node sets it itself, or it is private. */
static gboolean header_is_reserved(const wb_exchange_t *exchange, const char *name) {
    const wb_dialect_t *dialect = exchange->edge->dialect;
    if (g_ascii_strcasecmp(name, "Content-Length") == 0 ||
        g_ascii_strcasecmp(name, "Expect") == 0 ||
        g_ascii_strcasecmp(name, dialect->deadline_ms) == 0 ||
        g_ascii_strcasecmp(name, dialect->expected_engine) == 0 ||
        g_ascii_strcasecmp(name, dialect->urgency) == 0)
        return TRUE;
    for (const char *const *reserved = dialect->reserved; *reserved != NULL; reserved++) {
        if (g_ascii_strcasecmp(name, *reserved) == 0) {
            return TRUE;
        }
    }
    if (exchange->catalog->tenants != NULL && wb_api_key_strips_header(dialect, name)) {
        return TRUE;
    }
    return exchange->resuming && g_ascii_strcasecmp(name, dialect->last_event_id) == 0;
}

GString *wb_attempt_request_text(const wb_exchange_t *exchange, const wb_engine_t *engine,
                                 int64_t now_ms) {
    const wb_http_head_t *head = exchange->head;
    const wb_dialect_t *dialect = exchange->edge->dialect;
    GString *text = g_string_sized_new(exchange->body->len + 1024);
    g_string_printf(text, "%s %s HTTP/1.1\r\n", head->method, head->target);
    for (guint i = 0; i < head->headers->len; i++) {
        const wb_http_header_t *header = &g_array_index(head->headers, wb_http_header_t, i);
        if (wb_http_header_is_hop_by_hop(head, header->name) ||
            header_is_reserved(exchange, header->name))
            continue;
        wb_http_header_append(text, header->name, header->value);
    }
    int64_t left_ms = MAX(exchange->answer_due_ms - now_ms, 1);
    g_string_append_printf(text, "%s: %lld\r\n%s: %d\r\n", dialect->deadline_ms, (long long)left_ms,
                           dialect->urgency, CLAMP(exchange->priority, 0, 9));
    wb_http_header_append(text, dialect->expected_engine, engine->state->id);
    if (exchange->tenant != NULL)
        wb_http_header_append(text, dialect->tenant, exchange->tenant->name);
    if (exchange->resuming && exchange->last_event_id != NULL)
        wb_http_header_append(text, dialect->last_event_id, exchange->last_event_id);
    if (exchange->body->len > 0 || head->has_length ||
        wb_http_head_get(head, "Transfer-Encoding") != NULL)
        g_string_append_printf(text, "Content-Length: %u\r\n", exchange->body->len);
    g_string_append(text, "\r\n");
    g_string_append_len(text, (const char *)exchange->body->data, exchange->body->len);
    return text;
}
