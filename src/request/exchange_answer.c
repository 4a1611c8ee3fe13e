/* Forwards an engine's answer to the client: streams by complete events, others once they are
 * complete or fill the buffer. */
#include "request/event_stream.h"
#include "request/exchange_internal.h"

#include "wickbridge/http_head.h"

#include <string.h>

#define EVENT_STREAM_TYPE "text/event-stream"
/* Unsent bytes for a client at which reading from its engine stops. */
#define OUTPUT_LIMIT_BYTES (256 * 1024)

/* Returns the headers of the engine's response that are forwarded. */
static GString *forwarded_headers(const wb_http_head_t *head) {
    GString *text = g_string_sized_new(256);
    for (guint i = 0; i < head->headers->len; i++) {
        const wb_http_header_t *header = &g_array_index(head->headers, wb_http_header_t, i);
        if (wb_http_header_is_hop_by_hop(head, header->name) ||
            g_ascii_strcasecmp(header->name, "Content-Length") == 0)
            continue;
        wb_http_header_append(text, header->name, header->value);
    }
    return text;
}

static wb_framing_t framing_of(const wb_http_head_t *head) {
    if (head->ends_at_close)
        return WB_FRAMING_CLOSE;
    if (head->has_length)
        return WB_FRAMING_LENGTH;
    return wb_http_head_get(head, "Transfer-Encoding") != NULL ? WB_FRAMING_CHUNKS
                                                               : WB_FRAMING_NONE;
}

/* Whether the body can be an event stream. Engines may leave its type out. */
static gboolean may_have_events(const wb_http_head_t *head) {
    const char *type = wb_http_head_get(head, "Content-Type");
    if (wb_http_head_get(head, "Content-Encoding") != NULL)
        return FALSE;
    return type == NULL ||
           g_ascii_strncasecmp(type, EVENT_STREAM_TYPE, strlen(EVENT_STREAM_TYPE)) == 0;
}

static void dropped_note(const wb_exchange_t *exchange, const char *reason) {
    exchange->edge->metrics.answers_dropped++;
    wb_event("answer-dropped",
             ",\"id\":\"%s\",\"engine\":\"%s\",\"status\":%u,\"reason\":\"%s\",\"answer_begun\":%s,"
             "\"runs\":%u",
             exchange->id, exchange->engine->state->id, exchange->reply.status, reason,
             exchange->answer_begun ? "true" : "false", exchange->runs);
}

const char *wb_exchange_attempt_head(wb_exchange_t *exchange, const wb_http_head_t *head) {
    const wb_dialect_t *dialect = exchange->edge->dialect;
    wb_reply_t *reply = &exchange->reply;
    gboolean rejected = head->status == dialect->wrong_engine_status ||
                        wb_http_head_get(head, dialect->not_run) != NULL;
    if (!rejected)
        wb_engine_brittle_accepted(&exchange->engine->brittle, exchange->sent_ms);
    wb_exchange_clear_timer(&exchange->silence_timer);
    wb_exchange_clear_reply(reply);
    reply->status = head->status;
    reply->framing = framing_of(head);
    exchange->edge->metrics.unframed_answers += reply->framing == WB_FRAMING_CLOSE;
    reply->reason = g_strdup(head->reason);
    reply->headers = forwarded_headers(head);
    reply->sealed = wb_http_head_get(head, dialect->seal) != NULL;
    reply->rejected = rejected;
    wb_answer_facts_t facts = {.status = head->status,
                               .rejected = rejected,
                               .sealed = reply->sealed,
                               .has_events = may_have_events(head),
                               .on_stream = exchange->route->kind == WB_ROUTE_STREAM,
                               .client_status = exchange->events_status,
                               .may_resend = head->status >= 500 &&
                                             wb_exchange_may_run_again(exchange) &&
                                             wb_exchange_has_resend(exchange)};
    wb_answer_decision_t decision = wb_answer_decide(&facts);
    reply->use = decision.use;
    reply->has_events = decision.use == WB_ANSWER_STREAM && facts.has_events;
    if (decision.use != WB_ANSWER_REFUSE && !rejected)
        wb_exchange_note_answer_time(exchange);
    if (decision.use == WB_ANSWER_DROP && !rejected)
        dropped_note(exchange, decision.reason);
    return decision.use == WB_ANSWER_REFUSE ? decision.reason : NULL;
}

static void engine_succeeded(wb_engine_t *engine) {
    engine->failures = 0;
    engine->avoid_until_ms = 0;
}

/* Sends the response head to the client, unless that has been done. */
static void answer_begin(wb_exchange_t *exchange) {
    if (exchange->answer_begun)
        return;
    wb_reply_t *reply = &exchange->reply;
    exchange->answer_begun = TRUE;
    exchange->events_status = reply->has_events ? reply->status : 0;
    wb_http_connection_stream_begin(exchange->connection, reply->status, reply->reason,
                                    reply->headers->str);
}

/* Updates the wait scale: the time to the first event less that of the prefill was spent waiting
 * for the prefill of other requests. */
static void wait_scale_learn(const wb_exchange_t *exchange, double took_ms) {
    const wb_edge_t *edge = exchange->edge;
    const wb_dispatch_decision_t *decision = &exchange->decision;
    double prefill_ms = decision->engine.uncached_tokens * decision->engine.pace /
                        edge->settings.prefill_tokens_per_ms;
    wb_wait_scale_learn(edge->wait_scale, exchange->route->name, decision->estimate.wait_ms,
                        took_ms - prefill_ms);
}

void wb_exchange_note_first_event(wb_exchange_t *exchange) {
    if (exchange->first_event_seen)
        return;
    int64_t now_ms = wb_clock_ms();
    exchange->first_event_seen = TRUE;
    exchange->first_event_ms = now_ms - exchange->began_ms;
    wb_edge_metrics_t *metrics = &exchange->edge->metrics;
    wb_histogram_add(&metrics->answer_ms, exchange->first_event_ms);
    int64_t target_ms = exchange->route->target_latency_ms;
    metrics->late_answers += target_ms > 0 && exchange->first_event_ms > target_ms;
    if (exchange->model != NULL) {
        int64_t error_ms =
            now_ms - exchange->sent_ms - (int64_t)exchange->decision.estimate.first_ms;
        wb_histogram_add(&metrics->prediction_error_ms, ABS(error_ms));
        wait_scale_learn(exchange, (double)(now_ms - exchange->sent_ms));
    }
    engine_succeeded(exchange->engine);
}

/* Forwards the first `length` bytes of the buffered answer. Stops reading from the engine when the
 * client's output buffer is full. */
static void answer_forward(wb_exchange_t *exchange, size_t length) {
    if (length == 0)
        return;
    answer_begin(exchange);
    wb_http_connection_stream_write(exchange->connection, exchange->answer->data, length);
    g_byte_array_remove_range(exchange->answer, 0, (guint)length);
    if (wb_http_connection_unsent(exchange->connection) > OUTPUT_LIMIT_BYTES &&
        exchange->attempt != NULL) {
        exchange->paused = TRUE;
        wb_attempt_set_reading(exchange->attempt, FALSE);
    }
}

void wb_exchange_output_drained(wb_exchange_t *exchange) {
    if (!exchange->paused)
        return;
    exchange->paused = FALSE;
    if (exchange->attempt != NULL)
        wb_attempt_set_reading(exchange->attempt, TRUE);
}

static void gap_note(wb_exchange_t *exchange) {
    int64_t now_ms = wb_clock_ms();
    if (exchange->last_event_ms != 0)
        exchange->longest_gap_ms = MAX(exchange->longest_gap_ms, now_ms - exchange->last_event_ms);
    exchange->last_event_ms = now_ms;
}

/* Forwards a part of an event that is too long to be buffered. The stream can't be resumed then. */
static void event_split(wb_exchange_t *exchange) {
    const GByteArray *answer = exchange->answer;
    exchange->event_was_split = TRUE;
    exchange->in_split_event = TRUE;
    wb_exchange_note_first_event(exchange);
    wb_exchange_note_stream_began(exchange);
    answer_forward(exchange, wb_events_split_length((const char *)answer->data, answer->len));
}

static void events_forward(wb_exchange_t *exchange) {
    const char *text = (const char *)exchange->answer->data;
    size_t length =
        wb_events_complete_length(text, exchange->answer->len, exchange->in_split_event);
    if (length == 0) {
        if (exchange->answer->len > exchange->edge->settings.answer_buffer_bytes)
            event_split(exchange);
        return;
    }
    exchange->in_split_event = FALSE;
    wb_exchange_note_first_event(exchange);
    wb_exchange_note_stream_began(exchange);
    gap_note(exchange);
    exchange->events++;
    exchange->attempt_events++;
    wb_exchange_release_prefill(exchange);
    char *id = wb_events_last_id(text, length);
    if (id != NULL) {
        g_free(exchange->last_event_id);
        exchange->last_event_id = id;
    }
    answer_forward(exchange, length);
}

void wb_exchange_attempt_body(wb_exchange_t *exchange, const char *data, size_t length) {
    g_byte_array_append(exchange->answer, (const guint8 *)data, (guint)length);
    if (exchange->reply.use == WB_ANSWER_STREAM)
        events_forward(exchange);
    else if (exchange->answer->len > exchange->edge->settings.answer_buffer_bytes)
        answer_forward(exchange, exchange->answer->len);
}

/* Whether an unframed stream ended before the attempt's first event. One whose client takes it up
 * behind the last event may have none. One that goes on within its answer may, too, but it was
 * broken off before: then its client is left to take it up. */
static gboolean lacks_first_event(const wb_exchange_t *exchange) {
    const char *last_event_id = exchange->edge->dialect->last_event_id;
    if (exchange->reply.framing != WB_FRAMING_CLOSE || !exchange->reply.has_events ||
        exchange->attempt_events > 0)
        return FALSE;
    return exchange->answer_begun || wb_http_head_get(exchange->head, last_event_id) == NULL;
}

const char *wb_exchange_cut_off_reason(wb_exchange_t *exchange) {
    const GByteArray *rest = exchange->answer;
    exchange->ended_in_event =
        exchange->reply.has_events &&
        wb_events_is_inside_event((const char *)rest->data, rest->len, exchange->in_split_event);
    exchange->edge->metrics.answers_ended_in_event += exchange->ended_in_event;
    if (exchange->ended_in_event)
        return "ended-in-event";
    return lacks_first_event(exchange) ? "no-event" : NULL;
}

/* Whether the answer is a success of which nothing but the head has come, without a frame: its
 * engine has ended it or has died. */
static gboolean is_empty_unframed(const wb_exchange_t *exchange) {
    const wb_reply_t *reply = &exchange->reply;
    return reply->framing == WB_FRAMING_CLOSE && reply->status / 100 == 2 &&
           !exchange->answer_begun && exchange->answer->len == 0;
}

/* Whether an engine can be asked now that may answer in the time left, without taking the last
 * resend from requests that have no answer at all. */
static gboolean may_ask_another(const wb_exchange_t *exchange) {
    int64_t now_ms = wb_clock_ms();
    wb_dispatch_decision_t decision;
    return exchange->answer_due_ms - now_ms > now_ms - exchange->sent_ms &&
           wb_exchange_resends_left(exchange) >= 2 &&
           wb_balancer_choose(exchange->edge, exchange, now_ms, &decision) != NULL;
}

gboolean wb_exchange_doubts_answer(wb_exchange_t *exchange) {
    if (!is_empty_unframed(exchange))
        return FALSE;
    gboolean is_first = !exchange->was_empty;
    exchange->was_empty = TRUE;
    exchange->edge->metrics.unframed_empty_answers++;
    wb_event("answer-empty", ",\"id\":\"%s\",\"engine\":\"%s\",\"runs\":%u", exchange->id,
             exchange->engine->state->id, exchange->runs);
    return is_first && may_ask_another(exchange);
}

/* Passes an empty answer without a frame on as one, as it isn't known to be whole. Others are
 * framed here: then the client knows whether all of it has arrived. */
static void empty_forward(wb_exchange_t *exchange, wb_outcome_t outcome) {
    unsigned status = exchange->reply.status;
    wb_http_connection_end_by_close(exchange->connection);
    answer_begin(exchange);
    wb_http_connection_stream_end(wb_exchange_end(exchange, outcome, status));
}

void wb_exchange_forward_answer(wb_exchange_t *exchange) {
    wb_reply_t *reply = &exchange->reply;
    wb_outcome_t outcome = reply->status / 100 == 2 ? WB_OUTCOME_SERVED : WB_OUTCOME_ENGINE_FAILED;
    if (exchange->events > 0 && outcome == WB_OUTCOME_SERVED) {
        const wb_edge_t *edge = exchange->edge;
        wb_length_estimate_learn(edge->lengths, exchange->route->name,
                                 (double)exchange->events * (double)edge->settings.event_tokens);
    }
    if (is_empty_unframed(exchange)) {
        empty_forward(exchange, outcome);
        return;
    }
    if (exchange->answer_begun || reply->use == WB_ANSWER_STREAM) {
        answer_begin(exchange);
        answer_forward(exchange, exchange->answer->len);
        wb_http_connection_stream_end(wb_exchange_end(exchange, outcome, reply->status));
        return;
    }
    g_autoptr(GByteArray) body = g_byte_array_ref(exchange->answer);
    g_autofree char *headers = g_strdup(reply->headers->str);
    g_autofree char *reason = g_strdup(reply->reason);
    unsigned status = reply->status;
    wb_http_connection_t *connection = wb_exchange_end(exchange, outcome, status);
    wb_http_connection_reply(connection, status, reason, headers, body->data, body->len);
}
