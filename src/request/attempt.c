/* One attempt of a request at one engine. */
#include "fleet/engine_response.h"
#include "request/upstream.h"

#include <string.h>

/* A sound engine may be silent for a second or so. While it works on a request, its connection
 * outlives three keep-alive probes, one a second; a shorter limit would decide after the first. */
#define QUIET_LIMIT_MS 3500
/* Limits of a body that is read only to keep the connection. */
#define DROPPED_BODY_MAX_MS 100
#define DROPPED_BODY_MAX_BYTES (1024 * 1024)
/* Limit of what may come before the request's own answer begins. */
#define PASSED_OVER_MAX_BYTES (4 * 1024 * 1024)
/* Time after the silence limit at which a request that was written is known to have arrived. */
#define ARRIVED_MARGIN_MS 100

struct wb_attempt_t {
    wb_exchange_t *exchange;
    wb_upstream_t *upstream;
    GString *output;           /* the request, until the connection is established */
    gboolean sent;             /* the request was written to the connection */
    wb_timer_t *arrival_timer; /* until the request is known to have arrived; NULL: it is, or isn't
                                sent */
    wb_timer_t *drop_timer;    /* until a body that is dropped must have ended; or NULL */
    size_t dropped_bytes;      /* of that body */
    gboolean reused;           /* the connection was idle before, not opened for the attempt */
    gboolean answered;         /* the head of the request's own response has been read */
    size_t passed_over_bytes;  /* read before that */
    gboolean skipping;         /* the current response isn't for this request */
    gboolean tainted;          /* the connection must not be reused */
    gboolean is_head;          /* the request's method is HEAD */
    gboolean keep_alive;
    int64_t idle_limit_ms; /* duration, from the Keep-Alive header; 0: none */
    gboolean complete;
    const char *invalid; /* why the response can't be an answer, for logs; NULL: it may be */
};

static void attempt_free(wb_attempt_t *attempt) {
    if (attempt->arrival_timer != NULL)
        wb_timer_cancel(attempt->arrival_timer);
    if (attempt->drop_timer != NULL)
        wb_timer_cancel(attempt->drop_timer);
    if (attempt->output != NULL)
        g_string_free(attempt->output, TRUE);
    g_free(attempt);
}

/* Detaches the attempt from its exchange and its connection. */
static wb_exchange_t *attempt_detach(wb_attempt_t *attempt) {
    wb_exchange_t *exchange = attempt->exchange;
    exchange->attempt = NULL;
    attempt->upstream->attempt = NULL;
    return exchange;
}

void wb_attempt_cancel(wb_attempt_t *attempt) {
    attempt_detach(attempt);
    wb_upstream_close(attempt->upstream);
    attempt_free(attempt);
}

static void attempt_end(wb_attempt_t *attempt, const wb_attempt_failure_t *failure) {
    wb_exchange_t *exchange = attempt_detach(attempt);
    wb_upstream_close(attempt->upstream);
    attempt_free(attempt);
    wb_exchange_attempt_failed(exchange, failure);
}

static void attempt_fail(wb_attempt_t *attempt, gboolean aborted, const char *reason) {
    wb_attempt_failure_t failure = {.sent = attempt->sent,
                                    .engine_aborted = aborted,
                                    .by_peer = attempt->upstream->by_peer,
                                    .reason = reason};
    attempt_end(attempt, &failure);
}

void wb_attempt_engine_ended(wb_attempt_t *attempt) {
    attempt_fail(attempt, TRUE, "engine-ended");
}

/* Returns the connection to the pool of its engine, or closes it. */
static void upstream_release(wb_upstream_t *upstream, const wb_attempt_t *attempt) {
    if (attempt->tainted || attempt->is_head || !attempt->keep_alive) {
        wb_upstream_close(upstream);
        return;
    }
    if (wb_upstream_pool(upstream, attempt->idle_limit_ms) && attempt->sent &&
        attempt->arrival_timer == NULL)
        wb_tcp_stream_set_silence_limit(upstream->stream,
                                        upstream->edge->settings.silence_limit_ms);
}

static void attempt_finish(wb_attempt_t *attempt) {
    wb_upstream_t *upstream = attempt->upstream;
    wb_exchange_t *exchange = attempt_detach(attempt);
    upstream_release(upstream, attempt);
    attempt_free(attempt);
    wb_exchange_attempt_done(exchange);
}

/* The body that is dropped doesn't end as it should. */
static void drop_cut(wb_attempt_t *attempt) {
    attempt->tainted = TRUE;
    attempt->exchange->reply.incomplete = TRUE;
    attempt_finish(attempt);
}

static void drop_timed_out(void *context) {
    wb_attempt_t *attempt = context;
    attempt->drop_timer = NULL;
    drop_cut(attempt);
}

static void drop_begin(wb_attempt_t *attempt) {
    attempt->drop_timer =
        wb_loop_after(attempt->exchange->edge->loop, DROPPED_BODY_MAX_MS, drop_timed_out, attempt);
}

static int64_t keep_alive_timeout_ms(const wb_http_head_t *head) {
    const char *text = wb_http_head_get(head, "Keep-Alive");
    const char *timeout = text != NULL ? strstr(text, "timeout=") : NULL;
    return timeout != NULL ? g_ascii_strtoll(timeout + strlen("timeout="), NULL, 10) * 1000 : 0;
}

/* Whether a response belongs to this request: it names the request's id, or it names none but is
 * the first response on a new connection. */
static gboolean answer_matches(const wb_attempt_t *attempt, const wb_http_head_t *head) {
    const wb_exchange_t *exchange = attempt->exchange;
    const char *id = wb_http_head_get(head, exchange->edge->dialect->request_id);
    if (id == NULL)
        return !attempt->reused && !attempt->tainted;
    return strcmp(id, exchange->id) == 0;
}

static void engine_state_apply(const wb_upstream_t *upstream, const wb_http_head_t *head) {
    wb_edge_t *edge = upstream->edge;
    wb_engine_response_t response = {
        edge->dialect,          head,
        WB_RESPONSE_TO_REQUEST, upstream->attempt->exchange->written_ms,
        wb_clock_ms(),          edge->settings.drain_ms};
    if (wb_engine_update_from_response(upstream->engine, &response, &edge->metrics)) {
        wb_edge_track_reporting_engine(edge, upstream->engine);
        wb_edge_queue_state_update(edge, upstream->engine);
    }
}

static void reader_head(wb_http_reader_t *reader, const wb_http_head_t *head, void *context) {
    (void)reader;
    wb_upstream_t *upstream = context;
    wb_attempt_t *attempt = upstream->attempt;
    if (attempt == NULL)
        return;
    attempt->skipping = head->status < 200;
    if (attempt->skipping)
        return;
    if (!answer_matches(attempt, head)) {
        attempt->skipping = TRUE;
        attempt->tainted = TRUE;
        wb_event("answer-passed-over", ",\"id\":\"%s\",\"engine\":\"%s\",\"status\":%u",
                 attempt->exchange->id, upstream->engine->state->id, head->status);
        return;
    }
    attempt->answered = TRUE;
    attempt->keep_alive = head->keep_alive && !head->ends_at_close;
    attempt->idle_limit_ms = keep_alive_timeout_ms(head);
    engine_state_apply(upstream, head);
    attempt->invalid = wb_exchange_attempt_head(attempt->exchange, head);
    attempt->skipping = attempt->invalid != NULL;
    if (attempt->exchange->reply.use == WB_ANSWER_DROP)
        drop_begin(attempt);
}

static void reader_body(wb_http_reader_t *reader, const char *data, size_t length, void *context) {
    (void)reader;
    wb_upstream_t *upstream = context;
    wb_attempt_t *attempt = upstream->attempt;
    if (attempt == NULL || attempt->skipping)
        return;
    if (attempt->exchange->reply.use == WB_ANSWER_DROP)
        attempt->dropped_bytes += length;
    else
        wb_exchange_attempt_body(attempt->exchange, data, length);
}

static void reader_complete(wb_http_reader_t *reader, void *context) {
    wb_upstream_t *upstream = context;
    wb_attempt_t *attempt = upstream->attempt;
    if (attempt == NULL)
        return;
    if (attempt->skipping)
        wb_http_reader_next(reader);
    else
        attempt->complete = TRUE;
}

static const wb_http_reader_events_t reader_events = {reader_head, reader_body, reader_complete};

/* The reader has returned. Returns the current attempt, or NULL when it ended meanwhile; then the
 * connection may have been freed. */
static wb_attempt_t *feeding_end(wb_upstream_t *upstream) {
    upstream->feeding = FALSE;
    if (upstream->closed) {
        wb_upstream_close(upstream);
        return NULL;
    }
    return upstream->attempt;
}

/* Counts bytes that have been read. The attempt may have ended (NULL). */
static void passed_over_add(wb_attempt_t *attempt, size_t length) {
    if (attempt == NULL || attempt->answered)
        return;
    attempt->passed_over_bytes += length;
    if (attempt->passed_over_bytes > PASSED_OVER_MAX_BYTES)
        attempt->invalid = "passed-over-too-much";
}

static const char *unreadable_reason(const wb_http_reader_t *reader) {
    return wb_http_reader_error(reader) == WB_HTTP_PARSE_STATUS ? "no-status" : "not-an-answer";
}

/* Feeds bytes of a response to the reader. Calls into the exchange may end the attempt, so it is
 * read again after each one. Returns FALSE when it has ended; the connection may have been freed.
 */
static gboolean upstream_feed(wb_upstream_t *upstream, const char *data, size_t length) {
    upstream->feeding = TRUE;
    while (length > 0 && !upstream->closed && upstream->attempt != NULL &&
           !upstream->attempt->complete && upstream->attempt->invalid == NULL) {
        size_t used = wb_http_reader_feed(upstream->reader, data, length);
        data += used;
        length -= used;
        passed_over_add(upstream->attempt, used);
        if (used == 0 || wb_http_reader_error(upstream->reader) != WB_HTTP_PARSE_OK)
            break;
    }
    wb_attempt_t *attempt = feeding_end(upstream);
    if (attempt == NULL)
        return FALSE;
    if (length > 0)
        attempt->tainted = TRUE; /* bytes after the end of the response */
    gboolean is_unreadable =
        length > 0 || wb_http_reader_error(upstream->reader) != WB_HTTP_PARSE_OK;
    if (attempt->invalid != NULL)
        attempt_fail(attempt, FALSE, attempt->invalid);
    else if (attempt->complete)
        attempt_finish(attempt);
    else if (attempt->drop_timer != NULL &&
             (is_unreadable || attempt->dropped_bytes > DROPPED_BODY_MAX_BYTES))
        drop_cut(attempt);
    else if (is_unreadable)
        attempt_fail(attempt, FALSE, unreadable_reason(upstream->reader));
    else
        return TRUE;
    return FALSE;
}

static void upstream_end(wb_upstream_t *upstream, wb_tcp_end_reason_t how);

/* Feeds bytes that another node passed on. */
static void blocks_feed(wb_upstream_t *upstream, const char *data, size_t length) {
    g_autoptr(GByteArray) content = g_byte_array_new();
    wb_tunnel_blocks_read(&upstream->blocks, data, length, content);
    gboolean ended = upstream->blocks.ended;
    if (upstream_feed(upstream, (const char *)content->data, content->len) && ended)
        upstream_end(upstream, WB_TCP_END_CLOSED);
}

static void stream_data(wb_tcp_stream_t *stream, const char *data, size_t length, void *context) {
    (void)stream;
    wb_upstream_t *upstream = context;
    upstream->engine->unanswered_since_ms = 0;
    upstream->heard_ms = wb_clock_ms();
    upstream->engine->heard_ms = upstream->heard_ms;
    if (upstream->attempt == NULL)
        wb_upstream_close_idle(upstream); /* a late response to an earlier request */
    else if (upstream->in_blocks)
        blocks_feed(upstream, data, length);
    else
        upstream_feed(upstream, data, length);
}

static const char *end_name(wb_tcp_end_reason_t how) {
    switch (how) {
    case WB_TCP_END_UNREACHABLE:
        return "unreached";
    case WB_TCP_END_REFUSED:
        return "refused";
    case WB_TCP_END_CLOSED:
        return "closed";
    default:
        return "reset";
    }
}

/* Whether the end of the connection is the engine's normal close. The kernel closes connections of
 * a dead process normally, too, so the end of a connection through another node may be that node's.
 */
static gboolean is_closed_by_engine(const wb_upstream_t *upstream, wb_tcp_end_reason_t how) {
    return how == WB_TCP_END_CLOSED && (!upstream->by_peer || upstream->blocks.ended);
}

static void upstream_end(wb_upstream_t *upstream, wb_tcp_end_reason_t how) {
    wb_attempt_t *attempt = upstream->attempt;
    if (is_closed_by_engine(upstream, how)) {
        upstream->feeding = TRUE;
        wb_http_reader_eof(upstream->reader);
        attempt = feeding_end(upstream);
    }
    if (attempt == NULL)
        return;
    attempt->tainted = TRUE;
    if (attempt->complete)
        attempt_finish(attempt);
    else if (attempt->drop_timer != NULL && attempt->exchange->reply.rejected)
        drop_cut(attempt);
    else
        attempt_fail(attempt, TRUE, end_name(how));
}

static void stream_end(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how, void *context) {
    (void)stream;
    wb_upstream_t *upstream = context;
    if (upstream->attempt == NULL)
        wb_upstream_close_idle(upstream);
    else
        upstream_end(upstream, how);
}

/* The request has been acknowledged: else its connection would have ended by now. */
static void request_arrived(void *context) {
    wb_attempt_t *attempt = context;
    attempt->arrival_timer = NULL;
    wb_tcp_stream_set_silence_limit(attempt->upstream->stream, QUIET_LIMIT_MS);
}

/* Logs on which connection a request is sent again. */
static void resend_log(const wb_exchange_t *exchange) {
    wb_event("request-sent-again",
             ",\"id\":\"%s\",\"engine\":\"%s\",\"sends\":%u,\"runs\":%u,\"connection\":%llu,"
             "\"requests_before\":%u",
             exchange->id, exchange->engine->state->id, exchange->sends, exchange->runs,
             (unsigned long long)exchange->connection_number, exchange->connection_requests);
}

static void request_write(wb_attempt_t *attempt) {
    wb_exchange_t *exchange = attempt->exchange;
    const wb_edge_t *edge = exchange->edge;
    attempt->sent = TRUE;
    attempt->arrival_timer = wb_loop_after(
        edge->loop, edge->settings.silence_limit_ms + ARRIVED_MARGIN_MS, request_arrived, attempt);
    exchange->written_ms = wb_clock_ms();
    exchange->connection_number = attempt->upstream->number;
    exchange->connection_requests = wb_upstream_note_request(attempt->upstream, exchange->id);
    if (exchange->sends > 1)
        resend_log(exchange);
    if (attempt->upstream->engine->unanswered_since_ms == 0)
        attempt->upstream->engine->unanswered_since_ms = wb_clock_ms();
    wb_tcp_stream_write(attempt->upstream->stream, attempt->output->str, attempt->output->len);
    g_string_free(attempt->output, TRUE);
    attempt->output = NULL;
}

static const wb_tcp_events_t stream_events = {NULL, stream_data, stream_end, NULL};

static void upstream_connected(wb_tcp_stream_t *stream, const wb_engine_tunnel_t *tunnel,
                               void *context) {
    wb_upstream_t *upstream = context;
    wb_attempt_t *attempt = upstream->attempt;
    upstream->connect = NULL;
    upstream->share_connect = NULL;
    upstream->stream = stream;
    upstream->by_peer = tunnel != NULL;
    upstream->in_blocks = tunnel != NULL && tunnel->in_blocks;
    upstream->heard_ms = wb_clock_ms();
    wb_tcp_stream_set_events(stream, &stream_events, upstream);
    upstream->edge->metrics.connections_opened += tunnel == NULL;
    attempt->exchange->peer = tunnel != NULL ? g_strdup(tunnel->peer) : NULL;
    if (wb_balancer_may_write(upstream->edge, attempt->exchange, wb_clock_ms())) {
        request_write(attempt);
        return;
    }
    wb_attempt_failure_t failure = {.withdrawn = TRUE, .reason = "engine-closed"};
    attempt_end(attempt, &failure);
}

static void upstream_not_connected(const char *reason, void *context) {
    wb_upstream_t *upstream = context;
    upstream->connect = NULL;
    attempt_fail(upstream->attempt, TRUE, reason);
}

static const wb_engine_connect_events_t connect_events = {upstream_connected,
                                                          upstream_not_connected};

static void upstream_no_share(const char *reason, void *context) {
    wb_upstream_t *upstream = context;
    wb_attempt_failure_t failure = {.withdrawn = TRUE, .reason = reason};
    upstream->share_connect = NULL;
    upstream->engine->share_refused_ms = wb_clock_ms();
    attempt_end(upstream->attempt, &failure);
}

static const wb_engine_connect_events_t share_events = {upstream_connected, upstream_no_share};

void wb_attempt_start(wb_exchange_t *exchange, wb_engine_t *engine) {
    wb_edge_t *edge = exchange->edge;
    int64_t now_ms = wb_clock_ms();
    /* A HEAD has a connection of its own: whether a response in excess has a body depends on the
     * method of the request that it belongs to. */
    gboolean is_head = strcmp(exchange->head->method, "HEAD") == 0;
    wb_upstream_t *upstream = exchange->uses_peer_share || is_head
                                  ? NULL
                                  : wb_upstream_take(edge, engine, exchange->id, now_ms);
    gboolean reused = upstream != NULL;
    if (!reused)
        upstream = wb_upstream_create(edge, engine, &reader_events);
    wb_attempt_t *attempt = g_new0(wb_attempt_t, 1);
    attempt->exchange = exchange;
    attempt->upstream = upstream;
    attempt->reused = reused;
    attempt->is_head = is_head;
    attempt->output = wb_attempt_request_text(exchange, engine, now_ms);
    upstream->attempt = attempt;
    wb_http_reader_expect_no_body(upstream->reader, is_head);
    exchange->attempt = attempt;
    g_clear_pointer(&exchange->peer, g_free);
    if (reused) {
        edge->metrics.connections_reused++;
        request_write(attempt);
    } else if (exchange->uses_peer_share) {
        upstream->share_connect =
            wb_share_connect_start(edge, engine, exchange->id, &share_events, upstream);
    } else {
        upstream->connect =
            wb_engine_connect_start(edge, engine, exchange->id, &connect_events, upstream);
    }
}

void wb_attempt_set_reading(wb_attempt_t *attempt, gboolean reading) {
    wb_tcp_stream_set_reading(attempt->upstream->stream, reading);
}
