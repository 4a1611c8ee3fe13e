/* Finishes requests: sends the client a response or an error, with a verdict on whether the request
 * ran (not-run, may-have-run, completed), and keeps the last RECENT_MAX outcomes for explain.
 *
 * Retry times are in milliseconds and rounded up to seconds in Retry-After. */
#include "gateway_types.h"

#include "wickbridge/json.h"
#include "wickbridge/log.h"

#include <stdlib.h>
#include <string.h>

#define RECENT_MAX 512

static json_t *error_body(const char *type, const char *code, const char *message,
                          wb_verdict_t verdict) {
    return json_pack("{s:{s:s, s:s, s:s, s:n}, s:s}", "error", "message", message, "type", type,
                     "code", code, "param", "verdict", wb_verdict_name(verdict));
}

static void error_send(wb_http_exchange_t *exchange, unsigned status, json_t *body,
                       wb_verdict_t verdict, int64_t retry_after_ms) {
    wb_http_exchange_add_header(exchange, "Wickbridge-Verdict", wb_verdict_name(verdict));
    if (retry_after_ms >= 0) {
        char seconds[24];
        g_snprintf(seconds, sizeof(seconds), "%" G_GINT64_FORMAT,
                   (gint64)((retry_after_ms + 999) / 1000));
        wb_http_exchange_add_header(exchange, "Retry-After", seconds);
    }
    char *text = wb_json_dump(body);
    json_decref(body);
    wb_http_exchange_reply(exchange, status, "application/json", text, strlen(text));
    free(text);
}

void response_send_rejection(wb_gateway_t *gateway, wb_http_exchange_t *exchange, unsigned status,
                             const char *code, const char *message) {
    g_atomic_int_inc(&gateway->counters.bad);
    error_send(exchange, status,
               error_body("invalid_request_error", code, message, WB_VERDICT_NOT_RUN),
               WB_VERDICT_NOT_RUN, status == 503 ? 1000 : -1);
}

static void json_free(gpointer data) {
    json_decref(data);
}

static void recent_add(gw_request_t *request, const char *outcome) {
    wb_gateway_t *gateway = request->gateway;
    json_t *entry =
        json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:I, s:s}", "request", request->id,
                  "model", request->model, "adapter", request->adapter, "owner", request->owner,
                  "outcome", outcome, "engine", request->engine != NULL ? request->engine : "",
                  "attempts", request->attempts, "events", request->events, "took_ms",
                  (json_int_t)(wb_clock_ms() - request->arrived_ms), "why", request->reason);
    g_mutex_lock(&gateway->recent_lock);
    g_queue_push_tail(&gateway->recent, entry);
    if (gateway->recent.length > RECENT_MAX)
        json_free(g_queue_pop_head(&gateway->recent));
    g_mutex_unlock(&gateway->recent_lock);
}

/* Marks the request as finished. Returns the exchange to respond on, or NULL if the request was
 * finished already. */
static wb_http_exchange_t *request_finish(gw_request_t *request, const char *outcome) {
    g_mutex_lock(&request->lock);
    if (request->stage == STAGE_FINISHED) {
        g_mutex_unlock(&request->lock);
        return NULL;
    }
    request->stage = STAGE_FINISHED;
    wb_http_exchange_t *exchange = request->exchange;
    request->exchange = NULL;
    g_mutex_unlock(&request->lock);
    recent_add(request, outcome);
    g_atomic_int_add(&request->gateway->counters.open, -1);
    return exchange;
}

void response_add_headers(gw_request_t *request, const char *verdict) {
    wb_http_exchange_add_header(request->exchange, "Wickbridge-Request-Id", request->id);
    if (verdict != NULL)
        wb_http_exchange_add_header(request->exchange, "Wickbridge-Verdict", verdict);
    if (request->engine != NULL)
        wb_http_exchange_add_header(request->exchange, "Wickbridge-Engine", request->engine);
}

/* For a stream that has started: sends the error as an event, then aborts the connection. */
static void stream_error(wb_http_exchange_t *exchange, json_t *body) {
    char *text = wb_json_dump(body);
    json_decref(body);
    g_autofree char *event = g_strconcat("data: ", text, "\n\n", NULL);
    free(text);
    wb_http_exchange_stream_write(exchange, event, strlen(event));
    wb_http_exchange_stream_end(exchange, FALSE);
}

void response_send_error(gw_request_t *request, unsigned status, const char *type, const char *code,
                         wb_verdict_t verdict, int64_t retry_after_ms, const char *message) {
    gboolean begun = request->stream_started;
    if (message != request->reason)
        request_set_reason(request, "%s", message);
    wb_http_exchange_t *exchange = request_finish(request, wb_verdict_name(verdict));
    if (exchange == NULL)
        return;
    g_atomic_int_inc(verdict == WB_VERDICT_NOT_RUN ? &request->gateway->counters.refused
                                                   : &request->gateway->counters.unsure);
    json_t *body = error_body(type, code, message, verdict);
    if (begun)
        stream_error(exchange, body);
    else {
        wb_http_exchange_add_header(exchange, "Wickbridge-Request-Id", request->id);
        error_send(exchange, status, body, verdict, retry_after_ms);
    }
}

void response_send_not_run(gw_request_t *request, int64_t retry_after_ms, const char *code,
                           const char *message) {
    if (request->may_have_run) {
        response_send_may_have_run(request, message);
        return;
    }
    /* Until the claim is granted, an earlier request with the same key may have run. */
    gboolean unsure = request->key != NULL && !request->claim_granted;
    response_send_error(request, 503, "server_error", code,
                        unsure ? WB_VERDICT_MAY_HAVE_RUN : WB_VERDICT_NOT_RUN, retry_after_ms,
                        message);
}

void response_send_may_have_run(gw_request_t *request, const char *message) {
    /* Also for a repeatable request: the client can safely send it again. */
    response_send_error(request, 502, "server_error", "engine_failed", WB_VERDICT_MAY_HAVE_RUN,
                        1000, message);
}

void response_send_complete(gw_request_t *request, unsigned status, const char *body,
                            size_t length) {
    if (request->exchange != NULL)
        response_add_headers(request, wb_verdict_name(WB_VERDICT_COMPLETED));
    wb_http_exchange_t *exchange = request_finish(request, "completed");
    if (exchange == NULL)
        return;
    g_atomic_int_inc(&request->gateway->counters.completed);
    wb_http_exchange_reply(exchange, status, "application/json", body, length);
}

void response_end_stream(gw_request_t *request) {
    wb_http_exchange_t *exchange = request_finish(request, "completed");
    if (exchange == NULL)
        return;
    g_atomic_int_inc(&request->gateway->counters.completed);
    wb_http_exchange_stream_end(exchange, TRUE);
}

void response_end_client_gone(gw_request_t *request) {
    wb_http_exchange_t *exchange = request_finish(request, "caller gone");
    if (exchange == NULL)
        return;
    if (request->stream_started)
        wb_http_exchange_stream_end(exchange, FALSE);
    else
        wb_http_exchange_reply(exchange, 499, "application/json", "{}", 2);
}
