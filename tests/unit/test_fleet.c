/* Engines that leave: how long they may still get work. */
#include "unit.h"

#include "wickbridge/fleet.h"
#include "wickbridge/loop.h"

#define DRAIN_MS 3000

static wb_engine_t *engine_announce(wb_fleet_t *fleet, gboolean leaving) {
    wb_engine_state_t *state = wb_engine_state_create("e1");
    state->service = g_strdup("llm");
    state->leaving = leaving;
    return wb_fleet_announce(fleet, state);
}

/* A drain begins when the announcement went, which is up to as long ago as the table was known. */
static void test_gone_since_last_known(void) {
    int64_t now_ms = 100000;
    g_assert_cmpint(wb_fleet_use_until_ms(now_ms - 300, DRAIN_MS, now_ms), ==, now_ms + 1200);
    g_assert_cmpint(wb_fleet_use_until_ms(now_ms - 1600, DRAIN_MS, now_ms), <, now_ms);
    /* After the store was away, engines that live are back soon. */
    g_assert_cmpint(wb_fleet_use_until_ms(now_ms - 9000, DRAIN_MS, now_ms), >, now_ms + 2000);
    g_assert_cmpint(wb_fleet_use_until_ms(now_ms - 9000, DRAIN_MS, now_ms), <, now_ms + DRAIN_MS);
}

static void test_gone_engine_closes(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    wb_engine_t *engine = engine_announce(fleet, FALSE);
    g_assert_true(wb_engine_is_open(engine, now_ms));
    wb_fleet_remove(fleet, "e1", now_ms + 500);
    g_assert_true(wb_engine_is_open(engine, now_ms + 499));
    g_assert_false(wb_engine_is_open(engine, now_ms + 500));
    const wb_engine_t *back = engine_announce(fleet, FALSE);
    g_assert_true(back == engine);
    g_assert_true(wb_engine_is_open(engine, now_ms + 5000));
}

/* An engine that said that it leaves stays closed when its announcement goes. */
static void test_leaving_engine_stays_closed(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    wb_engine_t *engine = engine_announce(fleet, TRUE);
    g_assert_false(wb_engine_is_open(engine, now_ms));
    wb_fleet_remove(fleet, "e1", now_ms + 500);
    g_assert_false(wb_engine_is_open(engine, now_ms));
}

/* The controller's news go before announcements, but not before one that was made long after. */
static void test_news_yield_to_later_rows(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    wb_engine_t *engine = engine_announce(fleet, FALSE);
    int64_t now_ms = wb_clock_ms();
    wb_engine_note(engine, "m1", "", FALSE, now_ms, 100, 60000);
    wb_engine_state_add_model(engine_announce(fleet, FALSE)->state, "m1", 1);
    g_assert_false(wb_engine_holds(engine, "m1", "", wb_clock_ms())); /* made before, perhaps */
    g_usleep(150000);
    g_assert_false(wb_engine_holds(engine, "m1", "", wb_clock_ms()));
    wb_engine_state_add_model(engine_announce(fleet, FALSE)->state, "m1", 1);
    g_assert_true(wb_engine_holds(engine, "m1", "", wb_clock_ms()));
}

/* What an engine holds, by its announcement and the news that go before it, as one set. */
static void test_holdings(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    wb_engine_t *engine = engine_announce(fleet, FALSE);
    int64_t now_ms = wb_clock_ms();
    g_assert_false(wb_engine_has_news(engine));
    g_hash_table_add(wb_engine_state_add_model(engine->state, "m1", 1)->adapters, g_strdup("a1"));
    wb_engine_state_add_model(engine->state, "m2", 1);
    wb_engine_note(engine, "m2", "", FALSE, now_ms, 100, 60000);
    wb_engine_note(engine, "m3", "a2", TRUE, now_ms, 100, 60000);
    g_assert_true(wb_engine_has_news(engine));
    g_autoptr(GHashTable) held = wb_engine_holdings(engine, now_ms);
    g_assert_cmpuint(g_hash_table_size(held), ==, 3);
    g_assert_true(g_hash_table_contains(held, "m1/"));
    g_assert_true(g_hash_table_contains(held, "m1/a1"));
    g_assert_true(g_hash_table_contains(held, "m3/a2"));
    wb_engine_state_t *other = wb_engine_state_create("e1");
    wb_engine_state_add_model(other, "m2", 1);
    wb_engine_model_t *model = wb_engine_state_add_model(other, "m1", 1);
    g_assert_false(wb_engine_state_holds_same(engine->state, other));
    g_hash_table_add(model->adapters, g_strdup("a1"));
    g_assert_true(wb_engine_state_holds_same(engine->state, other));
    wb_engine_state_free(other);
}

/* Two nodes that know the same have the same digest, however they came to know it. */
static void test_digest(void) {
    wb_fleet_t *left = wb_fleet_create();
    wb_fleet_t *right = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), ==, wb_fleet_digest(right, now_ms));
    wb_engine_t *told = engine_announce(left, FALSE);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), !=, wb_fleet_digest(right, now_ms));
    wb_engine_t *read = engine_announce(right, FALSE);
    wb_engine_note(told, "m1", "", TRUE, now_ms, 1000, 60000);
    wb_engine_state_add_model(read->state, "m1", 1);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), ==, wb_fleet_digest(right, now_ms));
    wb_engine_note(told, "m1", "", FALSE, now_ms, 1000, 60000);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), !=, wb_fleet_digest(right, now_ms));
    wb_engine_note(read, "m1", "", FALSE, now_ms, 1000, 60000);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), ==, wb_fleet_digest(right, now_ms));
    engine_announce(right, TRUE);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), !=, wb_fleet_digest(right, now_ms));
    wb_fleet_remove(left, "e1", 0);
    wb_fleet_remove(right, "e1", 0);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), ==, wb_fleet_digest(right, now_ms));
}

static void tests_add(void) {
    g_test_add_func("/fleet/digest", test_digest);
    g_test_add_func("/fleet/holdings", test_holdings);
    g_test_add_func("/fleet/news-yield-to-later-rows", test_news_yield_to_later_rows);
    g_test_add_func("/fleet/gone-since-last-known", test_gone_since_last_known);
    g_test_add_func("/fleet/gone-engine-closes", test_gone_engine_closes);
    g_test_add_func("/fleet/leaving-engine-stays-closed", test_leaving_engine_stays_closed);
}

UNIT_TEST_MAIN(tests_add)
