/* Takes what engines tell of themselves at the heads of their answers. */
#include "fleet/engine_heard.h"

#include "dispatch/told_load.h"
#include "dispatch/told_state.h"

#include "wickbridge/event_log.h"

static void load_hear(wb_engine_t *engine, const wb_heard_t *heard, wb_edge_metrics_t *metrics) {
    wb_told_load_t load;
    const char *text = wb_http_head_get(heard->head, heard->dialect->engine_load);
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
    engine->reported_ms = heard->now_ms;
    wb_engine_pace_told(&engine->pace, load.pace_percent, heard->now_ms);
    if (load.pace_percent != 0 &&
        (engine->pace_heard == 0 || load.pace_percent < engine->pace_heard)) {
        engine->pace_heard = load.pace_percent;
    }
}

static void refused_log(const wb_engine_t *engine, const wb_heard_t *heard, unsigned refused,
                        wb_edge_metrics_t *metrics) {
    if (refused == 0) {
        return;
    }
    metrics->figures_refused += refused;
    wb_event("engine-state-refused", ",\"engine\":\"%s\",\"status\":%u,\"values\":%u",
             wb_event_text(engine->state->id), heard->head->status, refused);
}

static void limit_hear(wb_engine_t *engine, const wb_heard_t *heard, const wb_told_state_t *told,
                       wb_edge_metrics_t *metrics) {
    gboolean ends = !told->limit_named && heard->on == WB_HEARD_ON_REQUEST;
    if (told->limit_known && (!engine->limited || engine->limit_per_s != told->limit_per_s)) {
        engine->limited = TRUE;
        engine->limit_per_s = told->limit_per_s;
        metrics->engine_limits++;
        wb_event("engine-limited", ",\"engine\":\"%s\",\"per_s\":%g",
                 wb_event_text(engine->state->id), told->limit_per_s);
    } else if (ends && engine->limited) {
        engine->limited = FALSE;
        wb_event("engine-limit-ended", ",\"engine\":\"%s\"", wb_event_text(engine->state->id));
    }
}

static void leaving_hear(wb_engine_t *engine, const wb_told_state_t *told,
                         wb_edge_metrics_t *metrics) {
    if (!told->leaving || engine->told_leaving) {
        return;
    }
    engine->told_leaving = TRUE;
    metrics->engine_leavings++;
    wb_event("engine-leaving", ",\"engine\":\"%s\",\"announced\":%s",
             wb_event_text(engine->state->id), engine->leaving_ms != 0 ? "true" : "false");
}

static void rest_hear(const wb_engine_t *engine, const wb_told_state_t *told,
                      wb_edge_metrics_t *metrics) {
    if (told->rest_ms <= 0) {
        return;
    }
    metrics->engine_rests++;
    wb_event("engine-rests", ",\"engine\":\"%s\",\"for_ms\":%lld", wb_event_text(engine->state->id),
             (long long)told->rest_ms);
}

void wb_engine_hear(wb_engine_t *engine, const wb_heard_t *heard, wb_edge_metrics_t *metrics) {
    wb_told_state_t told = wb_told_state_read(heard->head, heard->dialect);
    load_hear(engine, heard, metrics);
    refused_log(engine, heard, told.refused, metrics);
    limit_hear(engine, heard, &told, metrics);
    leaving_hear(engine, &told, metrics);
    rest_hear(engine, &told, metrics);
}
