/* Takes what engines tell of themselves at the heads of their answers. */
#include "fleet/engine_response.h"

#include "dispatch/load_header.h"
#include "dispatch/state_headers.h"

#include "wickbridge/event_log.h"

/* Others may take an end for older than the limit that they know: it is told them again for so long
 * after the limit was last named. */
#define END_TOLD_FOR_MS 30000

static void load_hear(wb_engine_t *engine, const wb_engine_response_t *heard, wb_edge_metrics_t *metrics) {
    wb_load_header_t load;
    const char *text = wb_http_head_get(heard->head, heard->dialect->engine_load);
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
    engine->reported_ms = heard->now_ms;
    wb_engine_pace_add(&engine->pace, load.pace_percent, heard->now_ms);
    if (load.pace_percent != 0 &&
        (engine->pace_min_percent == 0 || load.pace_percent < engine->pace_min_percent)) {
        engine->pace_min_percent = load.pace_percent;
    }
}

static void refused_log(const wb_engine_t *engine, const wb_engine_response_t *heard, unsigned refused,
                        wb_edge_metrics_t *metrics) {
    if (refused == 0) {
        return;
    }
    metrics->invalid_engine_values += refused;
    wb_event("engine-state-refused", ",\"engine\":\"%s\",\"status\":%u,\"values\":%u",
             wb_event_escape(engine->state->id), heard->head->status, refused);
}

/* Whether the answer is one that the engine itself has made, and would name its limit in. */
static gboolean would_name_limit(const wb_engine_response_t *heard) {
    const wb_dialect_t *dialect = heard->dialect;
    return heard->on == WB_RESPONSE_TO_REQUEST &&
           (wb_http_head_get(heard->head, dialect->seal) != NULL ||
            wb_http_head_get(heard->head, dialect->not_run) != NULL);
}

/* @return TRUE when other nodes should know */
static gboolean limit_hear(wb_engine_t *engine, const wb_engine_response_t *heard,
                           const wb_state_headers_t *told, wb_edge_metrics_t *metrics) {
    wb_engine_limit_t *limit = &engine->limit;
    gboolean told_lately = heard->now_ms - engine->state_sent_ms < WB_STATE_RESEND_MS;
    gboolean names_none = !told->limit_present && would_name_limit(heard);
    if (told->limit_valid) {
        if (!wb_engine_limit_set(limit, told->limit_per_s, heard->sent_ms, heard->now_ms)) {
            return limit->named && !told_lately;
        }
        metrics->engine_limits++;
        wb_event("engine-limited", ",\"engine\":\"%s\",\"per_s\":%g",
                 wb_event_escape(engine->state->id), told->limit_per_s);
        return TRUE;
    }
    if (!names_none || (!limit->named && limit->ended_ms == 0)) {
        return FALSE;
    }
    if (!wb_engine_limit_end(limit, heard->sent_ms)) {
        return !limit->named && !told_lately && heard->now_ms - limit->limit_reported_ms < END_TOLD_FOR_MS;
    }
    wb_event("engine-limit-ended", ",\"engine\":\"%s\"", wb_event_escape(engine->state->id));
    return TRUE;
}

/* @return TRUE when other nodes should know */
static gboolean leaving_hear(wb_engine_t *engine, const wb_engine_response_t *heard,
                             const wb_state_headers_t *told, wb_edge_metrics_t *metrics) {
    gboolean announced = engine->draining_since_ms != 0;
    if (!told->leaving || !wb_engine_set_draining(engine, heard->drain_ms, heard->now_ms)) {
        return FALSE;
    }
    metrics->engine_drains++;
    wb_event("engine-leaving", ",\"engine\":\"%s\",\"announced\":%s",
             wb_event_escape(engine->state->id), announced ? "true" : "false");
    return TRUE;
}

/* Each time that was asked for is kept, so a shorter one that comes later ends nothing. */
static void rest_hear(wb_engine_t *engine, const wb_engine_response_t *heard, const wb_state_headers_t *told,
                      wb_edge_metrics_t *metrics) {
    if (told->rest_ms <= 0) {
        return;
    }
    engine->backoff_until_ms = MAX(engine->backoff_until_ms, heard->now_ms + told->rest_ms);
    metrics->engine_backoffs++;
    wb_event("engine-rests", ",\"engine\":\"%s\",\"for_ms\":%lld", wb_event_escape(engine->state->id),
             (long long)told->rest_ms);
}

gboolean wb_engine_update_from_response(wb_engine_t *engine, const wb_engine_response_t *heard, wb_edge_metrics_t *metrics) {
    if (heard->head->status == heard->dialect->wrong_engine_status) {
        return FALSE; /* it may be another one that has the address by now */
    }
    wb_state_headers_t told = wb_state_headers_parse(heard->head, heard->dialect);
    load_hear(engine, heard, metrics);
    refused_log(engine, heard, told.refused, metrics);
    rest_hear(engine, heard, &told, metrics);
    gboolean leaves = leaving_hear(engine, heard, &told, metrics);
    return limit_hear(engine, heard, &told, metrics) || leaves;
}
