/* Answers of this node itself. */
#include "request/exchange_internal.h"

/* Retry-After of a stream that can't go on now: another node may know how it began, and an engine
 * of its version may come back. */
#define STREAM_RETRY_MS 1000
/* How much later than its Retry-After a client is still expected to retry. */
#define RETRY_GRACE_MS 500

static void retry_after_write(char *headers, size_t size, int64_t after_ms) {
    g_snprintf(headers, size, "Retry-After: %.2f\r\n", (double)after_ms / 1000.0);
}

static int64_t refusal_retry_after_ms(wb_exchange_t *exchange, wb_outcome_t outcome) {
    switch (outcome) {
    case WB_OUTCOME_POISON:
        return wb_exchange_poison_left_ms(exchange);
    case WB_OUTCOME_OVERLOADED:
        return exchange->overload_retry_ms;
    case WB_OUTCOME_QUOTA_UNKNOWN:
        return exchange->quota_retry_ms;
    case WB_OUTCOME_START_UNKNOWN:
    case WB_OUTCOME_NO_VERSION:
        return STREAM_RETRY_MS;
    default:
        return wb_exchange_retry_after_ms(exchange);
    }
}

/* Without a Retry-After: coming back for the stream doesn't help. */
static void lost_stream_refuse(wb_exchange_t *exchange, unsigned status) {
    static const char text[] =
        "The stream can't be continued: it isn't known which engine software "
        "began it. Send the request again as a new one.\n";
    wb_http_connection_t *connection = wb_exchange_end(exchange, WB_OUTCOME_STREAM_LOST, status);
    wb_http_connection_reply(connection, status, wb_http_status_reason(status),
                             "Content-Type: text/plain\r\n", text, sizeof(text) - 1);
}

void wb_exchange_refuse(wb_exchange_t *exchange, wb_outcome_t outcome, unsigned status) {
    if (exchange->answer_begun) {
        wb_http_connection_abort(wb_exchange_end(exchange, outcome, 0));
        return;
    }
    if (outcome == WB_OUTCOME_STREAM_LOST) {
        lost_stream_refuse(exchange, status);
        return;
    }
    char headers[64] = "";
    if (status == 429) {
        retry_after_write(headers, sizeof(headers), exchange->quota_retry_ms);
    }
    if (status == 503) {
        int64_t retry_after_ms = refusal_retry_after_ms(exchange, outcome);
        retry_after_write(headers, sizeof(headers), retry_after_ms);
        /* No controller receives the demand now: keep it for the next one. */
        if (outcome == WB_OUTCOME_MODEL_NOT_LOADED && wb_exchange_lacks_controller(exchange)) {
            wb_demand_expect_retry(exchange->edge->demand, exchange,
                                   wb_clock_ms() + retry_after_ms + RETRY_GRACE_MS);
        }
    }
    if (status == 401) {
        g_snprintf(headers, sizeof(headers), "WWW-Authenticate: %s\r\n",
                   exchange->edge->dialect->api_key_scheme);
    }
    wb_http_connection_t *connection = wb_exchange_end(exchange, outcome, status);
    wb_http_connection_reply(connection, status, wb_http_status_reason(status), headers, NULL, 0);
}
