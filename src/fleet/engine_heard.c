/* Engine state from response headers. */
#include "fleet/engine_heard.h"

#include "dispatch/told_load.h"
#include "dispatch/told_state.h"

#include "wickbridge/event_log.h"

/* Time after the last report of a limit for which its end is sent again: a node that knows a later
 * report of the limit ignores the end. */
#define END_RESEND_MS 30000

static void update_load(wb_engine_t *engine, const wb_heard_t *response,
                        wb_edge_metrics_t *metrics) {
    wb_told_load_t load;
    const char *text = wb_http_head_get(response->head, response->dialect->engine_load);
    if (text == NULL) {
        return;
    }
    if (!wb_told_load_read(text, &load)) {
        metrics->figures_refused++;
        return;
    }
    metrics->figures_refused += load.pace_percent == 0 && wb_told_load_has_pace(text);
    engine->reported_running = load.running;
    engine->reported_waiting = load.waiting;
    engine->reported_ms = response->now_ms;
    wb_engine_pace_told(&engine->pace, load.pace_percent, response->now_ms);
    if (load.pace_percent != 0 &&
        (engine->pace_heard == 0 || load.pace_percent < engine->pace_heard)) {
        engine->pace_heard = load.pace_percent;
    }
}

static void log_invalid(const wb_engine_t *engine, const wb_heard_t *response, unsigned invalid,
                        wb_edge_metrics_t *metrics) {
    if (invalid == 0) {
        return;
    }
    metrics->figures_refused += invalid;
    wb_event("engine-state-refused", ",\"engine\":\"%s\",\"status\":%u,\"values\":%u",
             wb_event_text(engine->state->id), response->head->status, invalid);
}

/* Whether the engine itself made this response and would have included a limit header. */
static gboolean must_carry_limit(const wb_heard_t *response) {
    const wb_dialect_t *dialect = response->dialect;
    return response->on == WB_HEARD_ON_REQUEST &&
           (wb_http_head_get(response->head, dialect->seal) != NULL ||
            wb_http_head_get(response->head, dialect->not_run) != NULL);
}

/* @return TRUE when other nodes must be notified */
static gboolean update_limit(wb_engine_t *engine, const wb_heard_t *response,
                             const wb_told_state_t *state, wb_edge_metrics_t *metrics) {
    wb_engine_limit_t *limit = &engine->limit;
    gboolean recently_sent = response->now_ms - engine->state_told_ms < WB_STATE_CONFIRM_MS;
    gboolean limit_omitted = !state->limit_named && must_carry_limit(response);
    if (state->limit_known) {
        if (!wb_engine_limit_name(limit, state->limit_per_s, response->sent_ms, response->now_ms)) {
            return limit->named && !recently_sent;
        }
        metrics->engine_limits++;
        wb_event("engine-limited", ",\"engine\":\"%s\",\"per_s\":%g",
                 wb_event_text(engine->state->id), state->limit_per_s);
        return TRUE;
    }
    if (!limit_omitted || (!limit->named && limit->ended_ms == 0)) {
        return FALSE;
    }
    if (!wb_engine_limit_unname(limit, response->sent_ms)) {
        return !limit->named && !recently_sent &&
               response->now_ms - limit->named_ms < END_RESEND_MS;
    }
    wb_event("engine-limit-ended", ",\"engine\":\"%s\"", wb_event_text(engine->state->id));
    return TRUE;
}

/* @return TRUE when other nodes must be notified */
static gboolean update_draining(wb_engine_t *engine, const wb_heard_t *response,
                                const wb_told_state_t *state, wb_edge_metrics_t *metrics) {
    gboolean announced = engine->leaving_ms != 0;
    if (!state->leaving || !wb_engine_tell_leaving(engine, response->drain_ms, response->now_ms)) {
        return FALSE;
    }
    metrics->engine_leavings++;
    wb_event("engine-leaving", ",\"engine\":\"%s\",\"announced\":%s",
             wb_event_text(engine->state->id), announced ? "true" : "false");
    return TRUE;
}

/* The latest end of all backoffs counts: a shorter one received later doesn't end a longer one. */
static void update_backoff(wb_engine_t *engine, const wb_heard_t *response,
                           const wb_told_state_t *state, wb_edge_metrics_t *metrics) {
    if (state->rest_ms <= 0) {
        return;
    }
    engine->rest_until_ms = MAX(engine->rest_until_ms, response->now_ms + state->rest_ms);
    metrics->engine_rests++;
    wb_event("engine-rests", ",\"engine\":\"%s\",\"for_ms\":%lld", wb_event_text(engine->state->id),
             (long long)state->rest_ms);
}

gboolean wb_engine_hear(wb_engine_t *engine, const wb_heard_t *response,
                        wb_edge_metrics_t *metrics) {
    if (response->head->status == response->dialect->wrong_engine_status) {
        return FALSE; /* the address may belong to another engine by now */
    }
    wb_told_state_t state = wb_told_state_read(response->head, response->dialect);
    update_load(engine, response, metrics);
    log_invalid(engine, response, state.refused, metrics);
    update_backoff(engine, response, &state, metrics);
    gboolean drains = update_draining(engine, response, &state, metrics);
    return update_limit(engine, response, &state, metrics) || drains;
}
