/* Engine-reported state in the head of an engine's response. */
#include "targets.h"

#include "dispatch/state_headers.h"
#include "fleet/engine_response.h"

#include <stdlib.h>

#define HEAD_LIMIT_BYTES 4096
#define DRAIN_MS 2000

/* Whatever the headers say, the stored values must be within their bounds. */
static void head_check(wb_http_reader_t *reader, const wb_http_head_t *head, void *context) {
    static const wb_dialect_t dialect = {.not_run = "Not-Executed",
                                         .seal = "Response-Seal",
                                         .engine_load = "Server-Load",
                                         .engine_limit = "Server-Limit",
                                         .engine_brittle = "Server-Brittle",
                                         .engine_draining = "Server-Leaving",
                                         .wrong_engine_status = 421};
    (void)reader;
    wb_engine_t *engine = context;
    wb_edge_metrics_t metrics = {0};
    wb_state_headers_t reported = wb_state_headers_parse(head, &dialect);
    gboolean limit_in_range =
        !reported.limit_valid || (reported.limit_present && reported.limit_per_s >= 0 &&
                                  reported.limit_per_s <= WB_STATE_MAX_LIMIT_PER_S);
    if (!limit_in_range || reported.rest_ms < 0 || reported.rest_ms > WB_STATE_MAX_BACKOFF_MS)
        abort();
    wb_engine_response_t response = {&dialect, head, WB_RESPONSE_TO_REQUEST, 1000, 2000, DRAIN_MS};
    wb_engine_update_from_response(engine, &response, &metrics);
    gboolean is_wrong_engine = head->status == dialect.wrong_engine_status;
    if (engine->limit.named != (reported.limit_valid && !is_wrong_engine) ||
        engine->drain_reported != (reported.leaving && !is_wrong_engine) ||
        engine->backoff_until_ms !=
            (reported.rest_ms > 0 && !is_wrong_engine ? 2000 + reported.rest_ms : 0))
        abort();
}

void target_engine_head(const uint8_t *data, size_t size) {
    static const wb_http_reader_events_t events = {head_check, NULL, NULL};
    wb_engine_state_t *state = wb_engine_state_create("e1");
    state->service = g_strdup("llm");
    wb_engine_t engine = {.references = 1, .state = state};
    wb_http_reader_t *reader = wb_http_reader_create(FALSE, HEAD_LIMIT_BYTES, &events, &engine);
    wb_http_reader_feed(reader, (const char *)data, size);
    wb_http_reader_free(reader);
    wb_engine_limit_clear(&engine.limit);
    wb_engine_state_free(state);
}
