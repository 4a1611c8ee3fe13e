/* A client's request: its attempts at engines, and the answers of this node itself. */
#include "request/exchange_internal.h"

#include "dispatch/admission.h"

#include <string.h>

/* Maximum attempts of a request that may have reached an engine. */
#define SENDS_MAX 4
/* How long an engine is avoided after a failure; doubled with each further one in a row. */
#define AVOID_MS 400
#define AVOID_MAX_MS 6400
/* How long an engine that rejected a request is avoided, if there is another. */
#define REJECTED_AVOID_MS 100
/* Delay before the same request may be sent to it again; doubled with each further rejection. */
#define REJECTED_RETRY_MS 120
/* Maximum attempts of a request that fail before a byte is sent. */
#define CONNECT_FAILURES_MAX 8
/* An engine that was silent for this long is taken to have failed, rather than to be busy. */
#define SILENT_ENGINE_MS 1000

static void tried_clear(gpointer data) {
    g_free(((wb_tried_engine_t *)data)->id);
}

static wb_tried_engine_t *tried_last(const wb_exchange_t *exchange) {
    guint len = exchange->tried->len;
    return len > 0 ? &g_array_index(exchange->tried, wb_tried_engine_t, len - 1) : NULL;
}

const char *wb_exchange_last_engine(const wb_exchange_t *exchange) {
    const wb_tried_engine_t *last = tried_last(exchange);
    return last != NULL ? last->id : "";
}

static void part_clear(gpointer data) {
    g_free(((wb_prompt_part_t *)data)->id);
}

void wb_exchange_clear_timer(wb_timer_t **timer) {
    if (*timer != NULL)
        wb_timer_cancel(*timer);
    *timer = NULL;
}

void wb_exchange_clear_reply(wb_reply_t *reply) {
    g_free(reply->reason);
    if (reply->headers != NULL)
        g_string_free(reply->headers, TRUE);
    memset(reply, 0, sizeof(*reply));
}

void wb_exchange_release_prefill(wb_exchange_t *exchange) {
    if (exchange->engine != NULL)
        exchange->engine->prefill_tokens -= exchange->prefill_counted;
    exchange->prefill_counted = 0;
}

/* The attempt is over: removes it from its engine's counts and from the demand. */
static void attempt_release(wb_exchange_t *exchange) {
    wb_exchange_clear_timer(&exchange->silence_timer);
    wb_exchange_release_prefill(exchange);
    exchange->paused = FALSE;
    if (!exchange->running_counted)
        return;
    exchange->running_counted = FALSE;
    exchange->engine->running--;
    if (exchange->engine->running == 0)
        exchange->engine->unanswered_since_ms = 0;
    wb_demand_set_running(exchange->edge->demand, exchange, FALSE);
}

void wb_exchange_stop_attempt(wb_exchange_t *exchange) {
    attempt_release(exchange);
    if (exchange->attempt != NULL)
        wb_attempt_cancel(exchange->attempt);
}

static void exchange_free(wb_exchange_t *exchange) {
    wb_exchange_stop_waiting(exchange);
    wb_exchange_stop_attempt(exchange);
    wb_exchange_clear_timer(&exchange->due_timer);
    wb_engine_unref(exchange->engine);
    wb_exchange_clear_reply(&exchange->reply);
    g_hash_table_remove(exchange->edge->open, exchange);
    wb_http_head_free(exchange->head);
    g_byte_array_unref(exchange->body);
    g_byte_array_unref(exchange->answer);
    g_array_unref(exchange->tried);
    g_array_unref(exchange->parts);
    if (exchange->part_keys != NULL)
        g_array_unref(exchange->part_keys);
    wb_catalog_unref(exchange->catalog);
    g_free(exchange->model);
    g_free(exchange->adapter);
    g_free(exchange->last_event_id);
    g_free(exchange->bound_version);
    g_free(exchange->peer);
    g_free(exchange);
}

/* Learns how long requests of the route may take, from those that ran to their end or their due
 * time. */
static void route_time_learn(const wb_exchange_t *exchange, wb_outcome_t outcome) {
    gboolean has_ended = outcome == WB_OUTCOME_SERVED || outcome == WB_OUTCOME_ENGINE_FAILED ||
                         outcome == WB_OUTCOME_TIMED_OUT;
    int64_t now_ms = wb_clock_ms();
    if (exchange->runs > 0 && has_ended)
        wb_route_times_add(exchange->edge->route_times, exchange->route->name,
                           now_ms - exchange->began_ms, now_ms);
}

wb_http_connection_t *wb_exchange_end(wb_exchange_t *exchange, wb_outcome_t outcome,
                                      unsigned status) {
    wb_exchange_stop_waiting(exchange);
    route_time_learn(exchange, outcome);
    wb_exchange_settle_quota(exchange);
    wb_exchange_record_outcome(exchange, outcome, status);
    wb_http_connection_t *connection = exchange->connection;
    wb_http_connection_set_request(connection, NULL);
    exchange_free(exchange);
    return connection;
}

void wb_exchange_give_up(wb_exchange_t *exchange, wb_outcome_t outcome) {
    if (outcome == WB_OUTCOME_POISON)
        wb_exchange_note_refused(exchange);
    unsigned ran_status = outcome == WB_OUTCOME_TIMED_OUT ? 504 : 502;
    wb_exchange_stop_attempt(exchange);
    wb_exchange_refuse(exchange, outcome,
                       exchange->runs == 0 ? wb_outcome_status(outcome) : ran_status);
}

void wb_engine_note_failure(wb_engine_t *engine, const char *reason, const char *request_id) {
    engine->failures++;
    int64_t avoid_ms = AVOID_MS << MIN(engine->failures - 1, 4);
    avoid_ms = MIN(avoid_ms, AVOID_MAX_MS);
    engine->avoid_until_ms = wb_clock_ms() + avoid_ms;
    wb_upstreams_close_idle(engine);
    wb_event("engine-avoided",
             ",\"engine\":\"%s\",\"id\":\"%s\",\"reason\":\"%s\",\"failures\":%u,\"for_ms\":%lld",
             engine->state->id, request_id, reason, engine->failures, (long long)avoid_ms);
}

/* Whether the engine has sent nothing on any connection since it got this request, more than
 * SILENT_ENGINE_MS ago. */
static gboolean engine_is_silent(const wb_exchange_t *exchange) {
    const wb_engine_t *engine = exchange->engine;
    return exchange->attempt != NULL && !exchange->first_event_seen &&
           engine->unanswered_since_ms != 0 && engine->unanswered_since_ms <= exchange->sent_ms &&
           wb_clock_ms() - exchange->sent_ms > SILENT_ENGINE_MS;
}

void wb_exchange_client_gone(wb_exchange_t *exchange) {
    if (engine_is_silent(exchange))
        wb_engine_note_failure(exchange->engine, "silent", exchange->id);
    wb_exchange_end(exchange, WB_OUTCOME_CLIENT_GONE, 0);
}

static void due_expired(void *context) {
    wb_exchange_t *exchange = context;
    exchange->due_timer = NULL;
    int64_t now_ms = wb_clock_ms();
    if (wb_list_is_linked(&exchange->waiting) && now_ms < exchange->answer_due_ms) {
        wb_exchange_give_up(exchange, wb_exchange_wait_outcome(exchange));
        return;
    }
    if (engine_is_silent(exchange))
        wb_engine_note_failure(exchange->engine, "silent", exchange->id);
    if (exchange->attempt != NULL)
        wb_exchange_note_answer_time(exchange);
    wb_exchange_give_up(exchange, WB_OUTCOME_TIMED_OUT);
}

void wb_exchange_arm_timeout(wb_exchange_t *exchange) {
    wb_exchange_clear_timer(&exchange->due_timer);
    int64_t due_ms = exchange->answer_due_ms;
    if (wb_list_is_linked(&exchange->waiting))
        due_ms = MIN(due_ms, exchange->wait_until_ms);
    exchange->due_timer =
        wb_loop_after(exchange->edge->loop, MAX(due_ms - wb_clock_ms(), 0), due_expired, exchange);
}

static gboolean resend_allowed(wb_exchange_t *exchange) {
    return exchange->sends == 0 ||
           (exchange->sends < SENDS_MAX && wb_exchange_take_resend(exchange));
}

static void exchange_send(wb_exchange_t *exchange, wb_engine_t *engine) {
    wb_edge_t *edge = exchange->edge;
    int64_t now_ms = wb_clock_ms();
    wb_exchange_stop_waiting(exchange);
    wb_tried_engine_t tried = {g_strdup(engine->state->id), 0};
    g_array_append_val(exchange->tried, tried);
    wb_engine_ref(engine);
    wb_engine_unref(exchange->engine);
    exchange->engine = engine;
    exchange->sent_ms = now_ms;
    exchange->sends++;
    exchange->runs++;
    exchange->attempt_events = 0;
    exchange->limit_counted = engine->limit.named;
    if (!exchange->uses_peer_share)
        wb_engine_limit_record(&engine->limit, now_ms);
    wb_engine_brittle_sent(&engine->brittle, now_ms);
    edge->metrics.sends++;
    wb_attempt_start(exchange, engine);
    exchange->running_counted = TRUE;
    engine->running++;
    if (now_ms < engine->cold_until_ms) {
        wb_send_limiter_record(&engine->cold_limiter, WB_COLD_WINDOW_MS, now_ms);
        edge->metrics.cold_attempts++;
    }
    exchange->prefill_counted = wb_balancer_prefill_tokens(engine, exchange, now_ms);
    engine->prefill_tokens += exchange->prefill_counted;
    engine->tokens_sent += (double)exchange->prefill_counted;
    wb_balancer_note_prefilled(engine, exchange, now_ms);
    wb_demand_set_running(edge->demand, exchange, TRUE);
    wb_exchange_arm_timeout(exchange);
    wb_exchange_watch_silence(exchange);
}

/* Whether to send a request, or to refuse it because its answer is likely to be late. Only the
 * first attempt may be refused. */
static gboolean is_admitted(wb_exchange_t *exchange, int64_t now_ms) {
    const wb_edge_t *edge = exchange->edge;
    if (edge->settings.admission == 0 || !edge->shared_loads_valid || exchange->sends > 0) {
        return TRUE;
    }
    wb_choice_request_t request = wb_balancer_request(exchange, now_ms);
    const wb_choice_estimate_t *estimate = &exchange->decision.estimate;
    double chance = wb_admission_refusal_probability(
        &request, estimate, exchange->priority, (double)wb_exchange_client_timeout_ms(exchange));
    if (chance <= 0 || g_random_double() >= chance) {
        return TRUE;
    }
    exchange->overload_retry_ms = wb_admission_retry_ms(&request, estimate);
    return FALSE;
}

/* Chooses an engine; without a share of its limit left, one that is used within another node's. */
static wb_engine_t *engine_choose(wb_exchange_t *exchange, int64_t now_ms) {
    const wb_edge_t *edge = exchange->edge;
    wb_engine_t *engine = wb_balancer_choose(edge, exchange, now_ms, &exchange->decision);
    exchange->uses_peer_share = FALSE;
    /* A resend would take from the retry budget each time that no node has a share left. */
    if (engine == NULL && exchange->sends == 0) {
        engine = wb_balancer_choose_by_share(edge, exchange, now_ms, &exchange->decision);
        exchange->uses_peer_share = engine != NULL;
    }
    return engine;
}

void wb_exchange_dispatch(wb_exchange_t *exchange) {
    int64_t now_ms = wb_clock_ms();
    /* Checked before each attempt: else all copies of a poison request that wait for a model would
     * be sent to one more engine once it is loaded. */
    if (!wb_exchange_may_send(exchange)) {
        wb_exchange_give_up(exchange, WB_OUTCOME_POISON);
        return;
    }
    if (now_ms >= exchange->answer_due_ms) {
        wb_exchange_give_up(exchange, WB_OUTCOME_TIMED_OUT);
        return;
    }
    if (exchange->runs == 0 && wb_exchange_stop_refuses_run(exchange, now_ms)) {
        wb_exchange_give_up(exchange, WB_OUTCOME_STOPPING);
        return;
    }
    if (!wb_exchange_engines_known(exchange)) {
        wb_exchange_wait_for_engines(exchange);
        return;
    }
    if (!wb_exchange_find_start(exchange) || !wb_exchange_may_begin(exchange)) {
        wb_exchange_await_start(exchange);
        return;
    }
    if (!wb_exchange_version_serves(exchange)) {
        wb_exchange_give_up(exchange, exchange->start_has_no_version ? WB_OUTCOME_STREAM_LOST
                                                                     : WB_OUTCOME_NO_VERSION);
        return;
    }
    wb_exchange_end_start_wait(exchange);
    wb_engine_t *engine = engine_choose(exchange, now_ms);
    if (engine == NULL) {
        if (wb_exchange_reaches_no_engine(exchange))
            wb_exchange_give_up(exchange, WB_OUTCOME_UNREACHABLE);
        else if (exchange->answer_begun && exchange->sends >= SENDS_MAX)
            wb_exchange_give_up(exchange, WB_OUTCOME_ENGINE_ABORTED);
        else
            wb_exchange_wait(exchange);
        return;
    }
    if (!is_admitted(exchange, now_ms)) {
        wb_exchange_give_up(exchange, WB_OUTCOME_OVERLOADED);
        return;
    }
    if (!resend_allowed(exchange)) {
        wb_exchange_give_up(exchange, WB_OUTCOME_NO_RETRY_BUDGET);
        return;
    }
    exchange_send(exchange, engine);
}

gboolean wb_exchange_has_resend(const wb_exchange_t *exchange) {
    return exchange->sends < SENDS_MAX && wb_exchange_resends_left(exchange) >= 1;
}

gboolean wb_exchange_may_run_again(wb_exchange_t *exchange) {
    const wb_route_t *route = exchange->route;
    gboolean repeatable =
        route->kind == WB_ROUTE_REPEATABLE || (route->kind == WB_ROUTE_STREAM && route->resumable);
    if (!repeatable || exchange->runs >= (unsigned)MAX(route->max_attempts, 1))
        return FALSE;
    /* The request may have crashed its last engine, which isn't known yet; it would then crash the
     * next one too. */
    if (wb_exchange_is_suspect(exchange))
        return FALSE;
    return !exchange->answer_begun ||
           (exchange->events_status != 0 && exchange->last_event_id != NULL &&
            !exchange->event_was_split);
}

/* Sends a request again although it has run, or may have. Returns FALSE when that isn't allowed. */
static gboolean resend_run(wb_exchange_t *exchange) {
    if (!wb_exchange_may_run_again(exchange))
        return FALSE;
    exchange->resuming = exchange->answer_begun;
    g_byte_array_set_size(exchange->answer, 0);
    wb_exchange_dispatch(exchange);
    return TRUE;
}

/* The engine rejected the request without running it: tries another, or the same one later. */
static void rejection_handle(wb_exchange_t *exchange) {
    wb_edge_t *edge = exchange->edge;
    wb_engine_t *engine = exchange->engine;
    exchange->runs--;
    exchange->rejections++;
    edge->metrics.rejections++;
    wb_event(
        "request-rejected",
        ",\"id\":\"%s\",\"engine\":\"%s\",\"status\":%u,\"sends\":%u,\"runs\":%u,\"model\":\"%s\","
        "\"connection\":%llu,\"requests_before\":%u",
        exchange->id, engine->state->id, exchange->reply.status, exchange->sends, exchange->runs,
        exchange->model, (unsigned long long)exchange->connection_number,
        exchange->connection_requests);
    int64_t now_ms = wb_clock_ms();
    if (exchange->reply.incomplete)
        wb_engine_note_failure(engine, "rejection-incomplete", exchange->id);
    engine->rejected_until_ms = now_ms + REJECTED_AVOID_MS;
    if (exchange->reply.status != edge->dialect->wrong_engine_status) {
        int64_t delay_ms = (int64_t)REJECTED_RETRY_MS << MIN(exchange->rejections - 1, 4);
        tried_last(exchange)->eligible_at_ms = now_ms + delay_ms;
        wb_engine_brittle_rejected(&engine->brittle, exchange->sent_ms, now_ms);
        if (engine->brittle.named)
            wb_exchange_note_brittle_rejection(exchange);
    }
    if (exchange->sends >= SENDS_MAX)
        wb_exchange_give_up(exchange, WB_OUTCOME_REJECTED);
    else
        wb_exchange_dispatch(exchange);
}

/* The engine has run the request, but its response isn't the client's answer: tries another. */
static void dropped_handle(wb_exchange_t *exchange) {
    if (exchange->reply.incomplete)
        wb_engine_note_failure(exchange->engine, "answer-incomplete", exchange->id);
    else
        wb_exchange_note_completed(exchange);
    if (!resend_run(exchange))
        wb_exchange_give_up(exchange, WB_OUTCOME_ENGINE_ABORTED);
}

void wb_exchange_attempt_done(wb_exchange_t *exchange) {
    const wb_reply_t *reply = &exchange->reply;
    attempt_release(exchange);
    if (reply->rejected) {
        rejection_handle(exchange);
        return;
    }
    if (reply->use == WB_ANSWER_DROP) {
        dropped_handle(exchange);
        return;
    }
    const char *cut_off = wb_exchange_cut_off_reason(exchange);
    if (cut_off != NULL) {
        wb_attempt_failure_t failure = {.sent = TRUE,
                                        .engine_aborted = reply->framing == WB_FRAMING_CLOSE,
                                        .by_peer = exchange->peer != NULL,
                                        .reason = cut_off};
        wb_exchange_attempt_failed(exchange, &failure);
        return;
    }
    wb_exchange_note_completed(exchange);
    if (wb_exchange_doubts_answer(exchange) && resend_run(exchange))
        return;
    wb_exchange_note_first_event(exchange);
    wb_exchange_forward_answer(exchange);
}

/* Logs a failed attempt. Its digest shows whether several engines aborted the same request. */
static void attempt_failure_log(wb_exchange_t *exchange, const wb_attempt_failure_t *failure) {
    char digest[WB_REQUEST_DIGEST_TEXT_BYTES] = "";
    if (failure->sent) {
        wb_request_digest_format(wb_exchange_digest(exchange), digest);
    }
    wb_event("send-broken",
             ",\"id\":\"%s\",\"engine\":\"%s\",\"reason\":\"%s\",\"sent\":%s,\"answer_begun\":%s,"
             "\"digest\":\"%s\",\"ms\":%lld,\"running\":%u,\"parts\":\"%s\"",
             exchange->id, exchange->engine->state->id, failure->reason,
             failure->sent ? "true" : "false", exchange->answer_begun ? "true" : "false", digest,
             (long long)(wb_clock_ms() - exchange->sent_ms), exchange->engine->running,
             wb_http_head_get(exchange->head, exchange->edge->dialect->prompt_parts));
}

/* The engine became unavailable while the connection was being established. */
static void attempt_withdraw(wb_exchange_t *exchange) {
    exchange->edge->metrics.attempts_withdrawn++;
    wb_engine_brittle_accepted(&exchange->engine->brittle, exchange->sent_ms);
    wb_event("send-withdrawn", ",\"id\":\"%s\",\"engine\":\"%s\"", exchange->id,
             exchange->engine->state->id);
    exchange->sends--;
    exchange->runs--;
    tried_last(exchange)->eligible_at_ms = wb_clock_ms();
    wb_exchange_dispatch(exchange);
}

void wb_exchange_attempt_failed(wb_exchange_t *exchange, const wb_attempt_failure_t *failure) {
    wb_edge_t *edge = exchange->edge;
    attempt_release(exchange);
    if (failure->withdrawn) {
        attempt_withdraw(exchange);
        return;
    }
    /* The node between may be at fault for a connection, but not for what an engine has sent. */
    if (failure->by_peer && (failure->engine_aborted || !failure->sent))
        wb_peer_record_add(edge->peers, exchange->peer, FALSE, wb_clock_ms());
    else
        wb_engine_note_failure(exchange->engine, failure->reason, exchange->id);
    edge->metrics.failed_attempts++;
    attempt_failure_log(exchange, failure);
    if (failure->sent && failure->engine_aborted) {
        wb_exchange_note_aborted(exchange);
    }
    if (!failure->sent) {
        wb_engine_brittle_accepted(&exchange->engine->brittle, exchange->sent_ms);
        edge->metrics.connections_failed++;
        exchange->sends--;
        exchange->runs--;
        if (++exchange->connect_failures >= CONNECT_FAILURES_MAX)
            wb_exchange_give_up(exchange, WB_OUTCOME_NO_ENGINE);
        else
            wb_exchange_dispatch(exchange);
        return;
    }
    if (!resend_run(exchange))
        wb_exchange_give_up(exchange, WB_OUTCOME_ENGINE_ABORTED);
}

void wb_exchanges_engine_ended(wb_edge_t *edge, const wb_engine_t *engine) {
    g_autoptr(GList) open = g_hash_table_get_keys(edge->open);
    for (GList *item = open; item != NULL; item = item->next) {
        const wb_exchange_t *exchange = item->data;
        /* Ending one request may end others, so each is checked to be still open. */
        if (g_hash_table_contains(edge->open, exchange) && exchange->engine == engine &&
            exchange->attempt != NULL) {
            wb_attempt_engine_ended(exchange->attempt);
        }
    }
}

void wb_exchange_begin(wb_edge_t *edge, wb_http_connection_t *connection, wb_http_head_t *head,
                       GByteArray *body) {
    wb_exchange_t *exchange = g_new0(wb_exchange_t, 1);
    exchange->edge = edge;
    exchange->connection = connection;
    exchange->head = head;
    exchange->body = body;
    exchange->answer = g_byte_array_new();
    exchange->tried = g_array_new(FALSE, FALSE, sizeof(wb_tried_engine_t));
    g_array_set_clear_func(exchange->tried, tried_clear);
    exchange->parts = g_array_new(FALSE, FALSE, sizeof(wb_prompt_part_t));
    g_array_set_clear_func(exchange->parts, part_clear);
    exchange->began_ms = wb_http_connection_request_began_ms(connection);
    const char *id = wb_http_head_get(head, edge->dialect->request_id);
    exchange->id = id != NULL ? id : "";
    g_hash_table_add(edge->open, exchange);
    edge->metrics.requests++;
    wb_http_connection_set_request(connection, exchange);
    wb_outcome_t outcome = wb_exchange_read(exchange);
    if (outcome != WB_OUTCOME_COUNT) {
        wb_exchange_refuse(exchange, outcome, wb_outcome_status(outcome));
        return;
    }
    wb_exchange_read_stream(exchange);
    wb_exchange_count_request(exchange);
    wb_demand_note_arrival(edge->demand, exchange);
    wb_exchange_dispatch(exchange);
}
