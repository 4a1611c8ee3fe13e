/* Guards against requests that crashed their engine and count as completed, and against completed
 * ones that never count. */
#include "unit.h"

#include "request/unframed_ends.h"

#define ENDED_MS 1000

static void count(const wb_run_end_t *end, void *context) {
    g_assert_cmpuint(end->body_bytes, ==, 7);
    ++*(unsigned *)context;
}

static wb_engine_t *engine_of(wb_fleet_t *fleet) {
    wb_engine_state_t *state = wb_engine_state_create("e1");
    state->service = g_strdup("llm");
    state->address = g_strdup("127.0.0.1:1");
    state->zone = g_strdup("zone-1");
    state->slots = 1;
    return wb_fleet_announce(fleet, state);
}

static void test_confirmed_by_later_bytes(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    wb_engine_t *engine = engine_of(fleet);
    wb_unframed_ends_t *ends = wb_unframed_ends_create();
    g_autoptr(GArray) parts = g_array_new(FALSE, FALSE, sizeof(wb_request_digest_t));
    wb_run_end_t end = {.engine = engine, .parts = parts, .body_bytes = 7, .ended_ms = ENDED_MS};
    unsigned confirmed = 0;
    wb_unframed_ends_add(ends, &end);
    engine->heard_ms = ENDED_MS + WB_UNFRAMED_END_DELAY_MS - 1; /* sent before the end */
    wb_unframed_ends_confirm(ends, ENDED_MS + 500, count, &confirmed);
    g_assert_cmpuint(confirmed, ==, 0);
    engine->heard_ms = ENDED_MS + WB_UNFRAMED_END_DELAY_MS;
    wb_unframed_ends_confirm(ends, ENDED_MS + 600, count, &confirmed);
    wb_unframed_ends_confirm(ends, ENDED_MS + 700, count, &confirmed);
    g_assert_cmpuint(confirmed, ==, 1);
    wb_unframed_ends_free(ends);
}

static void test_forgotten(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    wb_engine_t *engine = engine_of(fleet);
    wb_unframed_ends_t *ends = wb_unframed_ends_create();
    g_autoptr(GArray) parts = g_array_new(FALSE, FALSE, sizeof(wb_request_digest_t));
    wb_run_end_t end = {.engine = engine, .parts = parts, .body_bytes = 7, .ended_ms = ENDED_MS};
    unsigned confirmed = 0;
    wb_unframed_ends_add(ends, &end);
    wb_unframed_ends_confirm(ends, ENDED_MS + 20000, count, &confirmed);
    engine->heard_ms = ENDED_MS + 20000;
    wb_unframed_ends_confirm(ends, ENDED_MS + 20001, count, &confirmed);
    g_assert_cmpuint(confirmed, ==, 0);
    wb_unframed_ends_free(ends);
}

static void tests_add(void) {
    g_test_add_func("/unframed-ends/confirmed-by-later-bytes", test_confirmed_by_later_bytes);
    g_test_add_func("/unframed-ends/forgotten", test_forgotten);
}

UNIT_TEST_MAIN(tests_add)
