/* A caller's request, from its arrival to its answer. */
#include "edge/edge_types.h"

#include <math.h>
#include <string.h>

#define SENDS_LIMIT 4
#define OUTPUT_LIMIT_BYTES (256 * 1024)
#define RETRY_AFTER_MS 300
#define COME_BACK_MARGIN_MS 50
/* An expected load may be so much late before its waiters are refused; then a prompt is read. */
#define LOAD_LATE_MS 700
#define SERVE_MS 150
#define FAR_FUTURE_MS (24 * 3600 * 1000LL)
/* Share of the time at hand after which waiting for a model is given up. */
#define WAIT_SHARE 0.45
/* Share of a target after which a request that no engine can take is refused. */
#define HOPELESS_SHARE 0.22
#define HOPELESS_MS 250
/* A caller of a stream leaves after the longest of a fixed time, some targets, and some gaps. */
#define STREAM_PATIENCE_MS 2000
#define STREAM_PATIENCE_TARGETS 4
#define STREAM_PATIENCE_GAPS 8
/* A repeatable request whose engine is silent for this share of its target is tried elsewhere. */
#define SILENCE_SHARE 0.6
#define SILENCE_LEAST_MS 40
#define AVOID_MS 400
#define AVOID_LIMIT_MS 6400
/* An engine that turned a request away is left alone for so long, if there is another. */
#define REJECTED_MS 100
#define UNREACHED_LIMIT 8
/* An engine that was silent for so long is at fault, not its work. */
#define SILENT_MS 1000
/* So long into a planned stop every request is still taken. */
#define STOP_TAKES_MS 2800
/* Time that a short request is given to end, and time kept free before the stop's end. */
#define STOP_SHORT_MS 1000
#define STOP_RESERVE_MS 800

static const char *const ending_names[WB_ENDING_COUNT] = {
    "served",        "engine-failed", "no-catalog",  "no-route", "bad-request",
    "unknown-model", "no-engine",     "not-loaded",  "rejected", "no-budget",
    "broken",        "timed-out",     "caller-gone", "stopping"};

static void exchange_dispatch(wb_exchange_t *exchange);

const char *wb_ending_name(wb_ending_t ending)
{
    return ending_names[ending];
}

static void part_clear(gpointer data)
{
    g_free(((wb_prompt_part_t *)data)->id);
}

static void timer_clear(wb_timer_t **timer)
{
    if (*timer != NULL)
        wb_timer_cancel(*timer);
    *timer = NULL;
}

static void reply_clear(wb_reply_t *reply)
{
    g_free(reply->reason);
    if (reply->headers != NULL)
        g_string_free(reply->headers, TRUE);
    memset(reply, 0, sizeof(*reply));
}

/* The engine has read the prompt, or won't: it no longer counts as its backlog. */
static void prefill_release(wb_exchange_t *exchange)
{
    if (exchange->engine != NULL)
        exchange->engine->prefill_tokens -= exchange->prefill_counted;
    exchange->prefill_counted = 0;
}

/* The sending is over: it no longer counts at its engine. */
static void sending_release(wb_exchange_t *exchange)
{
    timer_clear(&exchange->patience_timer);
    prefill_release(exchange);
    exchange->paused = FALSE;
    if (!exchange->counted)
        return;
    exchange->counted = FALSE;
    exchange->engine->running--;
    if (exchange->engine->running == 0)
        exchange->engine->unheard_since_ms = 0;
    wb_demand_running(exchange->edge->demand, exchange, FALSE);
}

static void waiting_leave(wb_exchange_t *exchange)
{
    if (exchange->waiting_link == NULL)
        return;
    g_queue_delete_link(&exchange->edge->waiting, exchange->waiting_link);
    exchange->waiting_link = NULL;
    int64_t waited_ms = wb_clock_ms() - exchange->waiting_since_ms;
    exchange->waited_ms += waited_ms;
    wb_histogram_add(&exchange->edge->metrics.wait_ms, waited_ms);
    wb_demand_waiting(exchange->edge->demand, exchange, FALSE);
}

static void attempt_stop(wb_exchange_t *exchange)
{
    sending_release(exchange);
    if (exchange->attempt != NULL)
        wb_attempt_cancel(exchange->attempt);
}

static void exchange_free(wb_exchange_t *exchange)
{
    waiting_leave(exchange);
    attempt_stop(exchange);
    timer_clear(&exchange->hold_timer);
    wb_engine_unref(exchange->engine);
    reply_clear(&exchange->reply);
    g_hash_table_remove(exchange->edge->open, exchange);
    wb_http_head_free(exchange->head);
    g_byte_array_unref(exchange->body);
    g_byte_array_unref(exchange->answer);
    g_ptr_array_unref(exchange->tried);
    g_array_unref(exchange->parts);
    wb_catalog_unref(exchange->catalog);
    g_free(exchange->model);
    g_free(exchange->adapter);
    g_free(exchange->last_event_id);
    g_free(exchange);
}

static void ended_remember(const wb_exchange_t *exchange, wb_ending_t ending, unsigned status,
                           const char *engine)
{
    wb_edge_t *edge = exchange->edge;
    wb_ended_request_t *ended = &edge->ended[edge->ended_next++ % WB_ENDED_REQUESTS];
    g_strlcpy(ended->id, exchange->id, sizeof(ended->id));
    g_strlcpy(ended->model, exchange->model != NULL ? exchange->model : "", sizeof(ended->model));
    g_strlcpy(ended->adapter, exchange->adapter != NULL ? exchange->adapter : "",
              sizeof(ended->adapter));
    g_strlcpy(ended->route, exchange->route != NULL ? exchange->route->name : "",
              sizeof(ended->route));
    g_strlcpy(ended->engine, engine, sizeof(ended->engine));
    ended->ending = ending_names[ending];
    ended->status = status;
    ended->sends = exchange->sends;
    ended->runs = exchange->runs;
    ended->took_ms = wb_clock_ms() - exchange->began_ms;
    ended->waited_ms = exchange->waited_ms;
}

/* Logs and counts the end, and frees the exchange. Returns its connection, to answer on. */
static wb_http_connection_t *exchange_end(wb_exchange_t *exchange, wb_ending_t ending,
                                          unsigned status)
{
    wb_edge_t *edge = exchange->edge;
    int64_t now_ms = wb_clock_ms();
    const char *engine = exchange->tried->len > 0
                             ? g_ptr_array_index(exchange->tried, exchange->tried->len - 1)
                             : "";
    waiting_leave(exchange);
    ended_remember(exchange, ending, status, engine);
    edge->metrics.endings[ending]++;
    wb_histogram_add(&edge->metrics.whole_ms, now_ms - exchange->began_ms);
    wb_event("request-ended",
             ",\"id\":\"%s\",\"ending\":\"%s\",\"status\":%u,\"route\":\"%s\",\"service\":\"%s\","
             "\"model\":\"%s\",\"adapter\":\"%s\",\"engine\":\"%s\",\"sends\":%u,\"runs\":%u,"
             "\"rejections\":%u,\"ms\":%lld,\"waited_ms\":%lld,\"first_ms\":%lld,\"left_ms\":%lld,"
             "\"catalog\":%lld,\"answer_begun\":%s",
             wb_event_text(exchange->id), ending_names[ending], status,
             exchange->route != NULL ? exchange->route->name : "",
             exchange->service != NULL ? exchange->service->name : "",
             wb_event_text(exchange->model), wb_event_text(exchange->adapter), engine,
             exchange->sends, exchange->runs, exchange->rejections,
             (long long)(now_ms - exchange->began_ms), (long long)exchange->waited_ms,
             (long long)exchange->first_event_ms, (long long)(exchange->deadline_ms - now_ms),
             exchange->catalog != NULL ? (long long)exchange->catalog->version : 0LL,
             exchange->answer_begun ? "true" : "false");
    wb_http_connection_t *connection = exchange->connection;
    wb_http_connection_set_request(connection, NULL);
    exchange_free(exchange);
    return connection;
}

static int64_t *expected_find(const wb_exchange_t *exchange)
{
    if (exchange->model == NULL || exchange->service == NULL)
        return NULL;
    g_autofree char *key = g_strjoin("/", exchange->service->name, exchange->model, NULL);
    return g_hash_table_lookup(exchange->edge->expected, key);
}

/* When coming back has a use: once the model should be there, else soon. */
static int64_t come_back_ms(const wb_exchange_t *exchange)
{
    const int64_t *ready_ms = expected_find(exchange);
    int64_t left_ms = ready_ms != NULL ? *ready_ms - wb_clock_ms() : 0;
    return left_ms > 0 ? left_ms + COME_BACK_MARGIN_MS : RETRY_AFTER_MS;
}

/* Gives the final answer of this node's own. The promise "not run" is made only when that is known.
 */
static void exchange_refuse(wb_exchange_t *exchange, wb_ending_t ending, unsigned status)
{
    if (exchange->answer_begun) {
        wb_http_connection_abort(exchange_end(exchange, ending, 0));
        return;
    }
    char headers[64] = "";
    if (status == 503)
        g_snprintf(headers, sizeof(headers), "Retry-After: %.2f\r\n",
                   (double)come_back_ms(exchange) / 1000.0);
    wb_http_connection_t *connection = exchange_end(exchange, ending, status);
    wb_http_connection_answer(connection, status, wb_http_reason(status), headers, NULL, 0);
}

/* Gives up: 503 when the request surely has not run, else a status that promises nothing. */
static void exchange_give_up(wb_exchange_t *exchange, wb_ending_t ending)
{
    unsigned may_have_run = ending == WB_ENDING_TIMED_OUT ? 504 : 502;
    attempt_stop(exchange);
    exchange_refuse(exchange, ending, exchange->runs == 0 ? 503 : may_have_run);
}

static void engine_succeeded(wb_engine_t *engine)
{
    engine->failures = 0;
    engine->avoid_until_ms = 0;
}

static void engine_failed(wb_engine_t *engine, const char *reason, const char *request_id)
{
    engine->failures++;
    int64_t avoid_ms = AVOID_MS << MIN(engine->failures - 1, 4);
    avoid_ms = MIN(avoid_ms, AVOID_LIMIT_MS);
    engine->avoid_until_ms = wb_clock_ms() + avoid_ms;
    wb_upstreams_drop(engine);
    wb_event("engine-avoided",
             ",\"engine\":\"%s\",\"id\":\"%s\",\"reason\":\"%s\",\"failures\":%u,\"for_ms\":%lld",
             engine->state->id, wb_event_text(request_id), reason, engine->failures,
             (long long)avoid_ms);
}

/* The engine has sent nothing at all since it got this request, though it had time. */
static gboolean engine_is_silent(const wb_exchange_t *exchange)
{
    const wb_engine_t *engine = exchange->engine;
    return exchange->attempt != NULL && !exchange->first_event_seen &&
           engine->unheard_since_ms != 0 && engine->unheard_since_ms <= exchange->sent_ms &&
           wb_clock_ms() - exchange->sent_ms > SILENT_MS;
}

void wb_exchange_gone(wb_exchange_t *exchange)
{
    if (engine_is_silent(exchange))
        engine_failed(exchange->engine, "silent", exchange->id);
    exchange_end(exchange, WB_ENDING_CALLER_GONE, 0);
}

static void hold_expired(void *context)
{
    wb_exchange_t *exchange = context;
    exchange->hold_timer = NULL;
    int64_t now_ms = wb_clock_ms();
    if (exchange->waiting_link != NULL && now_ms < exchange->hold_until_ms) {
        exchange_give_up(exchange,
                         exchange->model != NULL ? WB_ENDING_NOT_LOADED : WB_ENDING_NO_ENGINE);
        return;
    }
    if (engine_is_silent(exchange))
        engine_failed(exchange->engine, "silent", exchange->id);
    exchange_give_up(exchange, WB_ENDING_TIMED_OUT);
}

static void hold_timer_arm(wb_exchange_t *exchange)
{
    timer_clear(&exchange->hold_timer);
    int64_t due_ms = exchange->hold_until_ms;
    if (exchange->waiting_link != NULL)
        due_ms = MIN(due_ms, exchange->wait_until_ms);
    exchange->hold_timer =
        wb_loop_after(exchange->edge->loop, MAX(due_ms - wb_clock_ms(), 0), hold_expired, exchange);
}

/* Time in which an answer has a use, from the request's arrival. */
static int64_t useful_time_ms(const wb_exchange_t *exchange)
{
    const wb_route_t *route = exchange->route;
    int64_t time_ms = exchange->hold_until_ms - exchange->began_ms;
    if (route->kind != WB_ROUTE_STREAM || route->target_latency_ms == 0)
        return time_ms;
    int64_t patience_ms =
        MAX(STREAM_PATIENCE_MS, MAX(STREAM_PATIENCE_TARGETS * route->target_latency_ms,
                                    STREAM_PATIENCE_GAPS * route->target_gap_ms));
    return MIN(time_ms, patience_ms);
}

/* Steady time until which waiting has a use; in the past when it has none. */
static int64_t wait_until_ms(const wb_exchange_t *exchange)
{
    int64_t useful_ms = useful_time_ms(exchange);
    int64_t target_ms = exchange->route->target_latency_ms;
    if (exchange->model == NULL) {
        int64_t wait_ms =
            target_ms > 0 ? (int64_t)(HOPELESS_SHARE * (double)target_ms) : HOPELESS_MS;
        return exchange->began_ms + MIN(wait_ms, useful_ms);
    }
    const int64_t *ready_ms = expected_find(exchange);
    if (ready_ms == NULL || *ready_ms + LOAD_LATE_MS < wb_clock_ms())
        return exchange->began_ms + (int64_t)(WAIT_SHARE * (double)useful_ms);
    int64_t useful_until_ms = exchange->began_ms + useful_ms - SERVE_MS;
    return *ready_ms > useful_until_ms ? 0 : MIN(*ready_ms + LOAD_LATE_MS, useful_until_ms);
}

/* Waits for an engine that holds the model, or for any engine, as long as that has a use. */
static void exchange_wait(wb_exchange_t *exchange)
{
    wb_edge_t *edge = exchange->edge;
    if (exchange->waiting_link != NULL)
        return;
    exchange->wait_until_ms = wait_until_ms(exchange);
    exchange->waiting_since_ms = wb_clock_ms();
    g_queue_push_tail(&edge->waiting, exchange);
    exchange->waiting_link = edge->waiting.tail;
    edge->metrics.waits++;
    wb_demand_waiting(edge->demand, exchange, TRUE);
    wb_event(
        "request-waits",
        ",\"id\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\",\"service\":\"%s\",\"for_ms\":%lld",
        wb_event_text(exchange->id), wb_event_text(exchange->model),
        wb_event_text(exchange->adapter), exchange->service->name,
        (long long)(exchange->wait_until_ms - exchange->waiting_since_ms));
    hold_timer_arm(exchange);
    if (exchange->model != NULL && edge->on_need != NULL)
        edge->on_need(edge->need_context);
}

static wb_retry_budget_t *budget_of(wb_edge_t *edge, const char *service)
{
    wb_retry_budget_t *budget = g_hash_table_lookup(edge->budgets, service);
    if (budget == NULL) {
        budget = wb_retry_budget_create(edge->settings.retry_ratio,
                                        (int64_t)(edge->settings.retry_window_s * 1000));
        g_hash_table_insert(edge->budgets, g_strdup(service), budget);
    }
    return budget;
}

/* This node's equal share of the slack that all nodes have together. */
static double slack_share(const wb_edge_t *edge)
{
    return edge->settings.retry_slack / MAX(edge->node_count, 1);
}

static gboolean resend_allowed(wb_exchange_t *exchange)
{
    wb_edge_t *edge = exchange->edge;
    if (exchange->sends == 0)
        return TRUE;
    if (exchange->sends >= SENDS_LIMIT)
        return FALSE;
    if (!wb_retry_budget_take(budget_of(edge, exchange->service->name), slack_share(edge),
                              wb_clock_ms()))
        return FALSE;
    edge->metrics.resends++;
    return TRUE;
}

static void patience_over(void *context)
{
    wb_exchange_t *exchange = context;
    exchange->patience_timer = NULL;
    wb_edge_t *edge = exchange->edge;
    if (exchange->attempt == NULL || exchange->runs >= (unsigned)exchange->route->max_attempts ||
        wb_retry_budget_left(budget_of(edge, exchange->service->name), slack_share(edge),
                             wb_clock_ms()) < 2)
        return;
    engine_failed(exchange->engine, "slow", exchange->id);
    attempt_stop(exchange);
    exchange_dispatch(exchange);
}

/* A repeatable request that hears nothing is tried elsewhere. */
static void patience_arm(wb_exchange_t *exchange)
{
    timer_clear(&exchange->patience_timer);
    const wb_route_t *route = exchange->route;
    if (route->kind != WB_ROUTE_REPEATABLE || route->target_latency_ms == 0 ||
        exchange->runs >= (unsigned)route->max_attempts)
        return;
    int64_t patience_ms =
        MAX(SILENCE_LEAST_MS, (int64_t)(SILENCE_SHARE * (double)route->target_latency_ms));
    exchange->patience_timer =
        wb_loop_after(exchange->edge->loop, patience_ms, patience_over, exchange);
}

static void exchange_send(wb_exchange_t *exchange, wb_engine_t *engine)
{
    wb_edge_t *edge = exchange->edge;
    int64_t now_ms = wb_clock_ms();
    waiting_leave(exchange);
    g_ptr_array_add(exchange->tried, g_strdup(engine->state->id));
    wb_engine_ref(engine);
    wb_engine_unref(exchange->engine);
    exchange->engine = engine;
    exchange->sent_ms = now_ms;
    exchange->sends++;
    exchange->runs++;
    edge->metrics.sends++;
    if (wb_attempt_start(exchange, engine) == NULL) {
        wb_exchange_attempt_failed(exchange, FALSE, "no-connection");
        return;
    }
    exchange->counted = TRUE;
    engine->running++;
    exchange->prefill_counted = wb_balancer_unread_tokens(engine, exchange, now_ms);
    engine->prefill_tokens += exchange->prefill_counted;
    wb_balancer_note_read(engine, exchange, now_ms);
    wb_demand_running(edge->demand, exchange, TRUE);
    hold_timer_arm(exchange);
    patience_arm(exchange);
}

static void exchange_dispatch(wb_exchange_t *exchange)
{
    int64_t now_ms = wb_clock_ms();
    if (now_ms >= exchange->hold_until_ms) {
        exchange_give_up(exchange, WB_ENDING_TIMED_OUT);
        return;
    }
    wb_engine_t *engine = wb_balancer_choose(exchange->edge, exchange, now_ms);
    if (engine == NULL) {
        if (exchange->answer_begun && exchange->sends >= SENDS_LIMIT)
            exchange_give_up(exchange, WB_ENDING_BROKEN);
        else
            exchange_wait(exchange);
        return;
    }
    if (!resend_allowed(exchange)) {
        wb_event("resend-refused", ",\"id\":\"%s\",\"service\":\"%s\",\"sends\":%u",
                 wb_event_text(exchange->id), exchange->service->name, exchange->sends);
        exchange_give_up(exchange, WB_ENDING_NO_BUDGET);
        return;
    }
    exchange_send(exchange, engine);
}

void wb_exchanges_retry_waiting(wb_edge_t *edge)
{
    int64_t now_ms = wb_clock_ms();
    /* A sending that fails at once may end other requests, so the list is copied. */
    g_autoptr(GPtrArray) waiting = g_ptr_array_sized_new(edge->waiting.length);
    for (GList *item = edge->waiting.head; item != NULL; item = item->next)
        g_ptr_array_add(waiting, item->data);
    for (guint i = 0; i < waiting->len; i++) {
        wb_exchange_t *exchange = g_ptr_array_index(waiting, i);
        if (g_hash_table_contains(edge->open, exchange) && exchange->waiting_link != NULL &&
            wb_balancer_choose(edge, exchange, now_ms) != NULL)
            exchange_dispatch(exchange);
    }
}

void wb_exchanges_expect(wb_edge_t *edge, const char *service, const char *model,
                         unsigned ready_in_ms)
{
    int64_t ready_ms = wb_clock_ms() + ready_in_ms;
    g_hash_table_replace(edge->expected, g_strjoin("/", service, model, NULL),
                         g_memdup2(&ready_ms, sizeof(ready_ms)));
    for (GList *item = edge->waiting.head; item != NULL; item = item->next) {
        wb_exchange_t *exchange = item->data;
        if (exchange->model == NULL || strcmp(exchange->model, model) != 0 ||
            strcmp(exchange->service->name, service) != 0)
            continue;
        exchange->wait_until_ms = wait_until_ms(exchange);
        hold_timer_arm(exchange); /* who waits in vain is refused by the timer, at once */
    }
}

void wb_exchanges_no_longer_expect(wb_edge_t *edge, const char *service, const char *model)
{
    g_autofree char *key = g_strjoin("/", service, model, NULL);
    g_hash_table_remove(edge->expected, key);
}

static void exchanges_stop(wb_edge_t *edge, gboolean waiting_only)
{
    g_autoptr(GList) open = g_hash_table_get_keys(edge->open);
    for (GList *item = open; item != NULL; item = item->next) {
        wb_exchange_t *exchange = item->data;
        if (g_hash_table_contains(edge->open, exchange) && !exchange->answer_begun &&
            (!waiting_only || exchange->waiting_link != NULL))
            exchange_give_up(exchange, WB_ENDING_STOPPING);
    }
}

void wb_exchanges_refuse_waiting(wb_edge_t *edge)
{
    if (edge->waiting.length > 0)
        exchanges_stop(edge, TRUE);
}

void wb_exchanges_refuse_unanswered(wb_edge_t *edge)
{
    exchanges_stop(edge, FALSE);
}

/* Headers of the engine's answer that are passed on. */
static GString *headers_passed(const wb_http_head_t *head)
{
    GString *text = g_string_sized_new(256);
    for (guint i = 0; i < head->headers->len; i++) {
        const wb_http_header_t *header = &g_array_index(head->headers, wb_http_header_t, i);
        if (wb_http_header_is_hop(head, header->name) ||
            g_ascii_strcasecmp(header->name, "Content-Length") == 0)
            continue;
        g_string_append_printf(text, "%s: %s\r\n", header->name, header->value);
    }
    return text;
}

void wb_exchange_attempt_head(wb_exchange_t *exchange, const wb_http_head_t *head)
{
    const wb_dialect_t *dialect = exchange->edge->dialect;
    wb_reply_t *reply = &exchange->reply;
    gboolean rejected = head->status == dialect->wrong_engine_status ||
                        wb_http_head_get(head, dialect->not_run) != NULL;
    timer_clear(&exchange->patience_timer);
    reply_clear(reply);
    reply->status = head->status;
    reply->reason = g_strdup(head->reason);
    reply->headers = headers_passed(head);
    reply->sealed = wb_http_head_get(head, dialect->seal) != NULL;
    reply->rejected = rejected;
    reply->streamed = !rejected && reply->sealed && head->status / 100 == 2 &&
                      exchange->route->kind == WB_ROUTE_STREAM;
}

/* Sends the answer's head, once for each request. */
static void answer_begin(wb_exchange_t *exchange)
{
    if (exchange->answer_begun)
        return;
    wb_reply_t *reply = &exchange->reply;
    exchange->answer_begun = TRUE;
    wb_http_connection_stream_begin(exchange->connection, reply->status, reply->reason,
                                    reply->headers->str);
}

static void first_event_note(wb_exchange_t *exchange)
{
    if (exchange->first_event_seen)
        return;
    int64_t now_ms = wb_clock_ms();
    exchange->first_event_seen = TRUE;
    exchange->first_event_ms = now_ms - exchange->began_ms;
    wb_histogram_add(&exchange->edge->metrics.answer_ms, exchange->first_event_ms);
    engine_succeeded(exchange->engine);
}

/* Returns the length of the whole events at the front: up to the last blank line. */
static size_t events_length(const GByteArray *bytes)
{
    for (guint i = bytes->len; i >= 2; i--) {
        if (bytes->data[i - 1] != '\n')
            continue;
        if (bytes->data[i - 2] == '\n')
            return i;
        if (i >= 4 && bytes->data[i - 2] == '\r' && bytes->data[i - 3] == '\n')
            return i;
    }
    return 0;
}

/* Remembers the id of the last of some whole events. */
static void last_event_id_read(wb_exchange_t *exchange, const char *text, size_t length)
{
    for (size_t i = length; i > 0; i--) {
        gboolean at_line = i == 1 || text[i - 2] == '\n';
        const char *line = text + i - 1;
        if (!at_line || length - (i - 1) < 3 || memcmp(line, "id:", 3) != 0)
            continue;
        line += 3;
        while (*line == ' ')
            line++;
        size_t size = 0;
        while (line + size < text + length && line[size] != '\n' && line[size] != '\r')
            size++;
        g_free(exchange->last_event_id);
        exchange->last_event_id = g_strndup(line, size);
        return;
    }
}

/* Passes the first `length` bytes of the gathered answer on. */
static void answer_pass(wb_exchange_t *exchange, size_t length)
{
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

void wb_exchange_drained(wb_exchange_t *exchange)
{
    if (!exchange->paused)
        return;
    exchange->paused = FALSE;
    if (exchange->attempt != NULL)
        wb_attempt_set_reading(exchange->attempt, TRUE);
}

static void events_pass(wb_exchange_t *exchange)
{
    size_t length = events_length(exchange->answer);
    if (length == 0)
        return;
    first_event_note(exchange);
    prefill_release(exchange);
    last_event_id_read(exchange, (const char *)exchange->answer->data, length);
    answer_pass(exchange, length);
}

void wb_exchange_attempt_body(wb_exchange_t *exchange, const char *data, size_t length)
{
    const wb_reply_t *reply = &exchange->reply;
    if (reply->rejected)
        return;
    g_byte_array_append(exchange->answer, (const guint8 *)data, (guint)length);
    if (reply->streamed)
        events_pass(exchange);
    else if (reply->sealed && exchange->answer->len > exchange->edge->settings.answer_buffer_bytes)
        answer_pass(exchange, exchange->answer->len);
}

/* Sends again after a run that failed or may have run, if that is allowed. Returns FALSE if not. */
static gboolean run_again(wb_exchange_t *exchange)
{
    const wb_route_t *route = exchange->route;
    gboolean repeatable =
        route->kind == WB_ROUTE_REPEATABLE || (route->kind == WB_ROUTE_STREAM && route->resumable);
    if (!repeatable || exchange->runs >= (unsigned)MAX(route->max_attempts, 1))
        return FALSE;
    if (exchange->answer_begun &&
        (route->kind != WB_ROUTE_STREAM || exchange->last_event_id == NULL))
        return FALSE;
    exchange->resuming = exchange->answer_begun;
    g_byte_array_set_size(exchange->answer, 0);
    exchange_dispatch(exchange);
    return TRUE;
}

static void rejection_handle(wb_exchange_t *exchange)
{
    wb_edge_t *edge = exchange->edge;
    wb_engine_t *engine = exchange->engine;
    exchange->runs--;
    exchange->rejections++;
    edge->metrics.rejections++;
    wb_event("request-rejected",
             ",\"id\":\"%s\",\"engine\":\"%s\",\"status\":%u,\"sends\":%u,\"model\":\"%s\"",
             wb_event_text(exchange->id), engine->state->id, exchange->reply.status,
             exchange->sends, wb_event_text(exchange->model));
    engine->rejected_until_ms = wb_clock_ms() + REJECTED_MS;
    if (exchange->sends >= SENDS_LIMIT)
        exchange_give_up(exchange, WB_ENDING_REJECTED);
    else
        exchange_dispatch(exchange);
}

/* Passes a whole answer of the engine on. */
static void answer_whole(wb_exchange_t *exchange)
{
    wb_reply_t *reply = &exchange->reply;
    wb_ending_t ending = reply->status / 100 == 2 ? WB_ENDING_SERVED : WB_ENDING_ENGINE_FAILED;
    if (exchange->answer_begun || reply->streamed) {
        answer_begin(exchange);
        answer_pass(exchange, exchange->answer->len);
        wb_http_connection_stream_end(exchange_end(exchange, ending, reply->status));
        return;
    }
    g_autoptr(GByteArray) body = g_byte_array_ref(exchange->answer);
    g_autofree char *headers = g_strdup(reply->headers->str);
    g_autofree char *reason = g_strdup(reply->reason);
    unsigned status = reply->status;
    wb_http_connection_t *connection = exchange_end(exchange, ending, status);
    wb_http_connection_answer(connection, status, reason, headers, body->data, body->len);
}

void wb_exchange_attempt_done(wb_exchange_t *exchange)
{
    const wb_reply_t *reply = &exchange->reply;
    sending_release(exchange);
    if (reply->rejected) {
        rejection_handle(exchange);
        return;
    }
    if (!reply->sealed) {
        wb_exchange_attempt_failed(exchange, TRUE, "unsealed");
        return;
    }
    gboolean failed = reply->status >= 500;
    if (failed && run_again(exchange))
        return;
    if (exchange->resuming && reply->status / 100 != 2) {
        exchange_give_up(exchange, WB_ENDING_BROKEN);
        return;
    }
    first_event_note(exchange);
    answer_whole(exchange);
}

void wb_exchange_attempt_failed(wb_exchange_t *exchange, gboolean sent, const char *reason)
{
    wb_edge_t *edge = exchange->edge;
    sending_release(exchange);
    engine_failed(exchange->engine, reason, exchange->id);
    edge->metrics.broken_sends++;
    wb_event("send-broken",
             ",\"id\":\"%s\",\"engine\":\"%s\",\"reason\":\"%s\",\"sent\":%s,\"answer_begun\":%s",
             wb_event_text(exchange->id), exchange->engine->state->id, reason,
             sent ? "true" : "false", exchange->answer_begun ? "true" : "false");
    if (!sent) {
        exchange->sends--;
        exchange->runs--;
        if (++exchange->unreached >= UNREACHED_LIMIT)
            exchange_give_up(exchange, WB_ENDING_NO_ENGINE);
        else
            exchange_dispatch(exchange);
        return;
    }
    if (!run_again(exchange))
        exchange_give_up(exchange, WB_ENDING_BROKEN);
}

/* Reads the prompt's parts: ID:TOKENS with commas between. */
static void parts_read(wb_exchange_t *exchange, const char *text)
{
    g_auto(GStrv) words = g_strsplit(text, ",", -1);
    for (char **word = words; *word != NULL; word++) {
        char *colon = strchr(*word, ':');
        if (colon == NULL)
            continue;
        wb_prompt_part_t part = {g_strndup(*word, (gsize)(colon - *word)),
                                 g_ascii_strtoll(colon + 1, NULL, 10)};
        g_strstrip(part.id);
        exchange->prompt_tokens += part.tokens;
        g_array_append_val(exchange->parts, part);
    }
}

static void model_read(wb_exchange_t *exchange)
{
    const wb_dialect_t *dialect = exchange->edge->dialect;
    const char *text = wb_http_head_get(exchange->head, dialect->model);
    if (text == NULL || *text == '\0')
        return;
    const char *slash = strchr(text, '/');
    size_t length = slash != NULL ? (size_t)(slash - text) : strlen(text);
    exchange->model = g_strndup(text, length);
    exchange->adapter = g_strdup(slash != NULL ? slash + 1 : "");
    const char *parts = wb_http_head_get(exchange->head, dialect->prompt_parts);
    if (parts != NULL)
        parts_read(exchange, parts);
    if (exchange->parts->len == 0)
        exchange->prompt_tokens =
            wb_http_head_number(exchange->head, dialect->token_usage, exchange->body->len / 4);
}

static void deadline_read(wb_exchange_t *exchange)
{
    int64_t deadline_ms =
        wb_http_head_number(exchange->head, exchange->edge->dialect->deadline_ms, FAR_FUTURE_MS);
    deadline_ms = CLAMP(deadline_ms, 1, FAR_FUTURE_MS);
    exchange->deadline_ms = exchange->began_ms + deadline_ms;
    exchange->hold_until_ms = exchange->deadline_ms;
    int64_t timeout_ms = exchange->route->timeout_ms;
    if (timeout_ms > 0)
        exchange->hold_until_ms = MIN(exchange->hold_until_ms, exchange->began_ms + timeout_ms);
}

/* An adapter is named by a letter and a number up to the model's count of them. */
static gboolean adapter_is_known(const wb_model_spec_t *spec, const char *adapter)
{
    if (*adapter == '\0')
        return TRUE;
    if (!g_ascii_isalpha(*adapter) || !g_ascii_isdigit(adapter[1]))
        return FALSE;
    int64_t number = g_ascii_strtoll(adapter + 1, NULL, 10);
    return number >= 1 && number <= spec->adapters;
}

/* Late in a planned stop a request is taken only if it will surely end in time. */
static gboolean comes_too_late(const wb_exchange_t *exchange)
{
    const wb_edge_t *edge = exchange->edge;
    int64_t now_ms = wb_clock_ms();
    if (edge->drain_began_ms == 0 || now_ms - edge->drain_began_ms < STOP_TAKES_MS)
        return FALSE;
    int64_t end_ms = edge->drain_began_ms + (int64_t)(edge->settings.stop_grace_s * 1000);
    return exchange->route->kind == WB_ROUTE_STREAM ||
           MIN(exchange->hold_until_ms, now_ms + STOP_SHORT_MS) > end_ms - STOP_RESERVE_MS;
}

/* Finds route and service. Returns WB_ENDING_COUNT, or why the request can't be served. */
static wb_ending_t exchange_route(wb_exchange_t *exchange)
{
    wb_edge_t *edge = exchange->edge;
    if (edge->catalog == NULL)
        return WB_ENDING_NO_CATALOG;
    const char *host = wb_http_head_get(exchange->head, "Host");
    if (host == NULL || exchange->head->target[0] != '/')
        return WB_ENDING_BAD_REQUEST;
    exchange->catalog = wb_catalog_ref(edge->catalog);
    wb_route_t *route = wb_catalog_route(edge->catalog, host, exchange->head->target);
    if (route == NULL)
        return WB_ENDING_NO_ROUTE;
    exchange->route = route;
    deadline_read(exchange);
    if (comes_too_late(exchange))
        return WB_ENDING_STOPPING;
    const char *service = wb_route_pick_service(route);
    exchange->service = service != NULL ? wb_catalog_service(edge->catalog, service) : NULL;
    if (exchange->service == NULL)
        return WB_ENDING_NO_ENGINE;
    if (g_hash_table_size(exchange->service->models) == 0)
        return WB_ENDING_COUNT;
    model_read(exchange);
    if (exchange->model == NULL)
        return WB_ENDING_COUNT;
    const wb_model_spec_t *spec = g_hash_table_lookup(exchange->service->models, exchange->model);
    if (spec == NULL || !adapter_is_known(spec, exchange->adapter))
        return WB_ENDING_UNKNOWN_MODEL;
    return WB_ENDING_COUNT;
}

static unsigned own_status(wb_ending_t ending)
{
    switch (ending) {
    case WB_ENDING_BAD_REQUEST:
        return 400;
    case WB_ENDING_NO_ROUTE:
    case WB_ENDING_UNKNOWN_MODEL:
        return 404;
    default:
        return 503;
    }
}

void wb_exchange_begin(wb_edge_t *edge, wb_http_connection_t *connection, wb_http_head_t *head,
                       GByteArray *body)
{
    wb_exchange_t *exchange = g_new0(wb_exchange_t, 1);
    exchange->edge = edge;
    exchange->connection = connection;
    exchange->head = head;
    exchange->body = body;
    exchange->answer = g_byte_array_new();
    exchange->tried = g_ptr_array_new_with_free_func(g_free);
    exchange->parts = g_array_new(FALSE, FALSE, sizeof(wb_prompt_part_t));
    g_array_set_clear_func(exchange->parts, part_clear);
    exchange->began_ms = wb_http_connection_request_began_ms(connection);
    const char *id = wb_http_head_get(head, edge->dialect->request_id);
    exchange->id = id != NULL ? id : "";
    g_hash_table_add(edge->open, exchange);
    edge->metrics.requests++;
    wb_http_connection_set_request(connection, exchange);
    wb_ending_t ending = exchange_route(exchange);
    if (ending != WB_ENDING_COUNT) {
        exchange_refuse(exchange, ending, own_status(ending));
        return;
    }
    wb_retry_budget_request(budget_of(edge, exchange->service->name), wb_clock_ms());
    wb_demand_arrived(edge->demand, exchange);
    exchange_dispatch(exchange);
}
