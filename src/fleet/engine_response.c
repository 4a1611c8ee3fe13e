/* Engine state from response headers. */
#include "fleet/engine_response.h"

#include "dispatch/load_header.h"
#include "dispatch/state_headers.h"

#include "wickbridge/event_log.h"

/* Time after the last report of a limit during which the limit's end is sent again, with the time
 * of the latest response: nodes ignore an end that is older than the last report they know. */
#define END_RESEND_MS 30000

static void update_load(wb_engine_t *engine, const wb_engine_response_t *response,
                        wb_edge_metrics_t *metrics) {
    wb_load_header_t load;
    const char *text = wb_http_head_get(response->head, response->dialect->engine_load);
    if (text == NULL) {
        return;
    }
    if (!wb_load_header_parse(text, &load)) {
        metrics->invalid_engine_values++;
        return;
    }
    metrics->invalid_engine_values += load.pace_percent == 0 && wb_load_header_has_pace(text);
    engine->reported_running = load.running;
    engine->reported_waiting = load.waiting;
    engine->reported_ms = response->now_ms;
    wb_engine_pace_add(&engine->pace, load.pace_percent, response->now_ms);
    if (load.pace_percent != 0 &&
        (engine->pace_min_percent == 0 || load.pace_percent < engine->pace_min_percent)) {
        engine->pace_min_percent = load.pace_percent;
    }
}

static void log_invalid(const wb_engine_t *engine, const wb_engine_response_t *response,
                        unsigned invalid, wb_edge_metrics_t *metrics) {
    if (invalid == 0) {
        return;
    }
    metrics->invalid_engine_values += invalid;
    wb_event("engine-state-refused", ",\"engine\":\"%s\",\"status\":%u,\"values\":%u",
             engine->state->id, response->head->status, invalid);
}

/* Whether the engine itself made this response, and would have included its limit and whether it is
 * brittle. */
static gboolean must_carry_limit(const wb_engine_response_t *response) {
    const wb_dialect_t *dialect = response->dialect;
    return response->on == WB_RESPONSE_TO_REQUEST &&
           (wb_http_head_get(response->head, dialect->seal) != NULL ||
            wb_http_head_get(response->head, dialect->not_run) != NULL);
}

/* @return TRUE when other nodes must be notified */
static gboolean update_limit(wb_engine_t *engine, const wb_engine_response_t *response,
                             const wb_state_headers_t *state, wb_edge_metrics_t *metrics) {
    wb_engine_limit_t *limit = &engine->limit;
    gboolean recently_sent = response->now_ms - engine->state_sent_ms < WB_STATE_RESEND_MS;
    gboolean limit_omitted = !state->limit_present && must_carry_limit(response);
    if (state->limit_valid) {
        if (!wb_engine_limit_set(limit, state->limit_per_s, response->sent_ms, response->now_ms)) {
            return limit->named && !recently_sent;
        }
        metrics->engine_limits++;
        wb_event("engine-limited", ",\"engine\":\"%s\",\"per_s\":%g", engine->state->id,
                 state->limit_per_s);
        return TRUE;
    }
    if (!limit_omitted || (!limit->named && limit->ended_ms == 0)) {
        return FALSE;
    }
    if (!wb_engine_limit_end(limit, response->sent_ms)) {
        return !limit->named && !recently_sent &&
               response->now_ms - limit->limit_reported_ms < END_RESEND_MS;
    }
    wb_event("engine-limit-ended", ",\"engine\":\"%s\"", engine->state->id);
    return TRUE;
}

/* @return TRUE when other nodes must be notified */
static gboolean update_brittle(wb_engine_t *engine, const wb_engine_response_t *response,
                               const wb_state_headers_t *state) {
    gboolean changed = FALSE;
    if (state->brittle_valid) {
        changed = wb_engine_brittle_set(&engine->brittle, state->rejections, response->now_ms);
    } else if (!state->brittle_present && must_carry_limit(response)) {
        changed = wb_engine_brittle_end(&engine->brittle, response->sent_ms);
    }
    if (changed) {
        wb_event("engine-brittle", ",\"engine\":\"%s\",\"brittle\":%s,\"rejections\":%u",
                 engine->state->id, engine->brittle.named ? "true" : "false",
                 engine->brittle.rejections);
    }
    return changed;
}

/* @return TRUE when other nodes must be notified */
static gboolean update_draining(wb_engine_t *engine, const wb_engine_response_t *response,
                                const wb_state_headers_t *state, wb_edge_metrics_t *metrics) {
    gboolean announced = engine->draining_since_ms != 0;
    if (!state->leaving || !wb_engine_set_draining(engine, response->drain_ms, response->now_ms)) {
        return FALSE;
    }
    metrics->engine_drains++;
    wb_event("engine-leaving", ",\"engine\":\"%s\",\"announced\":%s", engine->state->id,
             announced ? "true" : "false");
    return TRUE;
}

/* The latest end of all backoffs counts: a shorter one received later doesn't end a longer one. */
static void update_backoff(wb_engine_t *engine, const wb_engine_response_t *response,
                           const wb_state_headers_t *state, wb_edge_metrics_t *metrics) {
    if (state->rest_ms <= 0) {
        return;
    }
    engine->backoff_until_ms = MAX(engine->backoff_until_ms, response->now_ms + state->rest_ms);
    metrics->engine_backoffs++;
    wb_event("engine-rests", ",\"engine\":\"%s\",\"for_ms\":%lld", engine->state->id,
             (long long)state->rest_ms);
}

gboolean wb_engine_update_from_response(wb_engine_t *engine, const wb_engine_response_t *response,
                                        wb_edge_metrics_t *metrics) {
    if (response->head->status == response->dialect->wrong_engine_status) {
        return FALSE; /* the address may belong to another engine by now */
    }
    wb_state_headers_t state = wb_state_headers_parse(response->head, response->dialect);
    update_load(engine, response, metrics);
    log_invalid(engine, response, state.refused, metrics);
    update_backoff(engine, response, &state, metrics);
    gboolean drains = update_draining(engine, response, &state, metrics);
    gboolean brittle = update_brittle(engine, response, &state);
    return update_limit(engine, response, &state, metrics) || drains || brittle;
}
