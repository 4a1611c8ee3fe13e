/* A repeatable request whose engine is silent for long is sent to another one, if that is free and
 * is expected to answer sooner. */
#include "request/exchange_internal.h"

/* The first look: this share of the target latency after the request was sent. */
#define FIRST_SHARE 0.6
#define FIRST_MIN_MS 40
/* Further looks, while no engine is worth asking: this share of the silence later. */
#define AGAIN_SHARE 0.2
/* Resends that are left to requests which have no engine at all. */
#define RESENDS_KEPT 1

static void look(void *context);

static void look_after(wb_exchange_t *exchange, int64_t delay_ms) {
    wb_exchange_clear_timer(&exchange->silence_timer);
    exchange->silence_timer = wb_loop_after(exchange->edge->loop, MAX(delay_ms, 1), look, exchange);
}

static gboolean may_try_again(const wb_exchange_t *exchange) {
    const wb_route_t *route = exchange->route;
    return route->kind == WB_ROUTE_REPEATABLE && route->target_latency_ms > 0 &&
           exchange->runs < (unsigned)route->max_attempts;
}

/* Time that an engine is expected to take for the request from now on: as it lately did itself, or
 * else all of them. Without any answer yet, the target latency is taken for that. */
static int64_t left_ms(const wb_exchange_t *exchange, const wb_engine_t *engine,
                       int64_t silent_ms) {
    const wb_route_t *route = exchange->route;
    int64_t left = wb_answer_times_left(engine->answer_times, route->name, silent_ms);
    if (left == WB_ANSWER_TIME_UNKNOWN)
        left = wb_answer_times_left(exchange->edge->answer_times, route->name, silent_ms);
    return left != WB_ANSWER_TIME_UNKNOWN ? left : MAX(route->target_latency_ms, silent_ms);
}

static void second_try(wb_exchange_t *exchange, const wb_engine_t *other) {
    exchange->edge->metrics.second_tries++;
    wb_event("second-try", ",\"id\":\"%s\",\"engine\":\"%s\",\"other\":\"%s\",\"silent_ms\":%lld",
             exchange->id, exchange->engine->state->id, other->state->id,
             (long long)(wb_clock_ms() - exchange->sent_ms));
    wb_exchange_note_answer_time(exchange);
    wb_engine_note_failure(exchange->engine, "slow", exchange->id);
    wb_exchange_stop_attempt(exchange);
    wb_exchange_dispatch(exchange);
}

/* Returns the engine that is worth asking now, or NULL. */
static const wb_engine_t *other_find(const wb_exchange_t *exchange, int64_t now_ms) {
    wb_dispatch_decision_t decision;
    if (!wb_exchange_has_resend(exchange) || wb_exchange_resends_left(exchange) < 1 + RESENDS_KEPT)
        return NULL;
    const wb_engine_t *other = wb_balancer_choose(exchange->edge, exchange, now_ms, &decision);
    if (other == NULL)
        return NULL;
    int64_t other_ms = left_ms(exchange, other, 0);
    int64_t own_ms = left_ms(exchange, exchange->engine, now_ms - exchange->sent_ms);
    gboolean is_in_time = now_ms + other_ms < exchange->answer_due_ms;
    return is_in_time && wb_second_try_pays(own_ms, other_ms) ? other : NULL;
}

static void look(void *context) {
    wb_exchange_t *exchange = context;
    int64_t now_ms = wb_clock_ms();
    exchange->silence_timer = NULL;
    if (exchange->attempt == NULL || !may_try_again(exchange))
        return;
    const wb_engine_t *other = other_find(exchange, now_ms);
    if (other != NULL)
        second_try(exchange, other);
    else
        look_after(exchange, (int64_t)(AGAIN_SHARE * (double)(now_ms - exchange->sent_ms)));
}

void wb_exchange_watch_silence(wb_exchange_t *exchange) {
    wb_exchange_clear_timer(&exchange->silence_timer);
    if (!may_try_again(exchange))
        return;
    double share_ms = FIRST_SHARE * (double)exchange->route->target_latency_ms;
    look_after(exchange, MAX(FIRST_MIN_MS, (int64_t)share_ms));
}

void wb_exchange_note_answer_time(const wb_exchange_t *exchange) {
    const wb_route_t *route = exchange->route;
    if (route->kind != WB_ROUTE_REPEATABLE)
        return;
    int64_t took_ms = wb_clock_ms() - exchange->sent_ms;
    wb_answer_times_add(exchange->engine->answer_times, route->name, took_ms);
    wb_answer_times_add(exchange->edge->answer_times, route->name, took_ms);
}
