/* What a request asks for, by its digest: so that requests that crash engines are known again. */
#include "edge/exchange_inner.h"

const wb_request_digest_t *wb_exchange_digest(wb_exchange_t *exchange) {
    if (exchange->digest_known) {
        return &exchange->digest;
    }
    const char *host = wb_http_head_get(exchange->head, "Host");
    wb_request_content_t content = {
        .method = exchange->head->method,
        .host = host != NULL ? host : "",
        .target = exchange->head->target,
        .tenant = exchange->tenant != NULL ? exchange->tenant->name : NULL,
        .body = exchange->body->data,
        .body_bytes = exchange->body->len,
    };
    exchange->digest = wb_request_digest(&content);
    exchange->digest_known = TRUE;
    return &exchange->digest;
}
