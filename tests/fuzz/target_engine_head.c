/* The head of an engine's answer, and what it tells of itself. */
#include "targets.h"

#include "dispatch/state_headers.h"
#include "fleet/engine_response.h"

#include <stdlib.h>

#define HEAD_LIMIT_BYTES 4096
#define DRAIN_MS 2000

/* Whatever comes, what is kept of it can be. */
static void head_check(wb_http_reader_t *reader, const wb_http_head_t *head, void *context) {
    static const wb_dialect_t dialect = {.not_run = "Not-Executed",
                                         .seal = "Response-Seal",
                                         .engine_load = "Server-Load",
                                         .engine_limit = "Server-Limit",
                                         .engine_draining = "Server-Leaving",
                                         .wrong_engine_status = 421};
    (void)reader;
    wb_engine_t *engine = context;
    wb_edge_metrics_t metrics = {0};
    wb_state_headers_t told = wb_state_headers_parse(head, &dialect);
    gboolean limit_is_good = !told.limit_valid || (told.limit_present && told.limit_per_s >= 0 &&
                                                   told.limit_per_s <= WB_STATE_MAX_LIMIT_PER_S);
    if (!limit_is_good || told.rest_ms < 0 || told.rest_ms > WB_STATE_MAX_BACKOFF_MS)
        abort();
    wb_engine_response_t heard = {&dialect, head, WB_RESPONSE_TO_REQUEST, 1000, 2000, DRAIN_MS};
    wb_engine_update_from_response(engine, &heard, &metrics);
    gboolean wrong = head->status == dialect.wrong_engine_status;
    if (engine->limit.named != (told.limit_valid && !wrong) ||
        engine->drain_reported != (told.leaving && !wrong) ||
        engine->backoff_until_ms != (told.rest_ms > 0 && !wrong ? 2000 + told.rest_ms : 0))
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
