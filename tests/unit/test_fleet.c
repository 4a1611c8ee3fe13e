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
    g_assert_cmpint(wb_fleet_grace_until_ms(now_ms - 300, DRAIN_MS, now_ms), ==, now_ms + 1200);
    g_assert_cmpint(wb_fleet_grace_until_ms(now_ms - 1600, DRAIN_MS, now_ms), <, now_ms);
    /* After the store was away, engines that live are back soon. */
    g_assert_cmpint(wb_fleet_grace_until_ms(now_ms - 9000, DRAIN_MS, now_ms), >, now_ms + 2000);
    g_assert_cmpint(wb_fleet_grace_until_ms(now_ms - 9000, DRAIN_MS, now_ms), <, now_ms + DRAIN_MS);
}

static void test_gone_engine_closes(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    wb_engine_t *engine = engine_announce(fleet, FALSE);
    g_assert_true(wb_engine_is_usable(engine, now_ms));
    wb_fleet_remove(fleet, "e1", now_ms + 500);
    g_assert_true(wb_engine_is_usable(engine, now_ms + 499));
    g_assert_false(wb_engine_is_usable(engine, now_ms + 500));
    const wb_engine_t *back = engine_announce(fleet, FALSE);
    g_assert_true(back == engine);
    g_assert_true(wb_engine_is_usable(engine, now_ms + 5000));
}

/* An engine that said that it leaves stays closed when its announcement goes. */
static void test_leaving_engine_stays_closed(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    wb_engine_t *engine = engine_announce(fleet, TRUE);
    g_assert_false(wb_engine_is_usable(engine, now_ms));
    wb_fleet_remove(fleet, "e1", now_ms + 500);
    g_assert_false(wb_engine_is_usable(engine, now_ms));
}

/* What an engine told in an answer holds for its start: rows that were written before, or come back
 * later, undo nothing. */
static void test_told_leaving_holds(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    wb_engine_t *engine = engine_announce(fleet, FALSE);
    uint64_t digest = wb_fleet_digest(fleet, now_ms);
    g_assert_true(wb_engine_set_draining(engine, DRAIN_MS, now_ms));
    g_assert_false(wb_engine_set_draining(engine, DRAIN_MS, now_ms));
    g_assert_false(wb_engine_is_available(engine));
    /* Others can't do what it still does for a while. */
    g_assert_true(wb_engine_is_usable(engine, now_ms + DRAIN_MS / 2 - 1));
    g_assert_false(wb_engine_is_usable(engine, now_ms + DRAIN_MS / 2));
    const wb_engine_t *again = engine_announce(fleet, FALSE);
    g_assert_true(again == engine);
    g_assert_false(wb_engine_is_available(engine));
    g_assert_false(wb_engine_is_usable(engine, now_ms + DRAIN_MS / 2));
    /* Nodes compare what they know of rows. */
    g_assert_cmpuint(wb_fleet_digest(fleet, now_ms), ==, digest);
    engine_announce(fleet, TRUE);
    g_assert_false(wb_engine_is_usable(engine, now_ms));
    /* Its row goes for long, and comes back. */
    wb_fleet_remove(fleet, "e1", now_ms + 500);
    g_assert_false(wb_engine_is_usable(engine, now_ms));
    wb_fleet_sweep(fleet, now_ms + 60000);
    const wb_engine_t *back = engine_announce(fleet, FALSE);
    g_assert_false(wb_engine_is_available(back));
    g_assert_false(wb_engine_is_usable(back, now_ms + 60000));
}

/* The controller's news go before announcements, but not before one that was made long after. */
static void test_news_yield_to_later_rows(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    wb_engine_t *engine = engine_announce(fleet, FALSE);
    int64_t now_ms = wb_clock_ms();
    wb_engine_apply_placement(engine, "m1", "", FALSE, now_ms, 100, 60000);
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
    g_assert_false(wb_engine_has_placement_updates(engine));
    g_hash_table_add(wb_engine_state_add_model(engine->state, "m1", 1)->adapters, g_strdup("a1"));
    wb_engine_state_add_model(engine->state, "m2", 1);
    wb_engine_apply_placement(engine, "m2", "", FALSE, now_ms, 100, 60000);
    wb_engine_apply_placement(engine, "m3", "a2", TRUE, now_ms, 100, 60000);
    g_assert_true(wb_engine_has_placement_updates(engine));
    g_autoptr(GHashTable) held = wb_engine_held_models(engine, now_ms);
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
    wb_engine_apply_placement(told, "m1", "", TRUE, now_ms, 1000, 60000);
    wb_engine_state_add_model(read->state, "m1", 1);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), ==, wb_fleet_digest(right, now_ms));
    wb_engine_apply_placement(told, "m1", "", FALSE, now_ms, 1000, 60000);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), !=, wb_fleet_digest(right, now_ms));
    wb_engine_apply_placement(read, "m1", "", FALSE, now_ms, 1000, 60000);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), ==, wb_fleet_digest(right, now_ms));
    engine_announce(right, TRUE);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), !=, wb_fleet_digest(right, now_ms));
    wb_fleet_remove(left, "e1", 0);
    wb_fleet_remove(right, "e1", 0);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), ==, wb_fleet_digest(right, now_ms));
}

static wb_engine_t *start_announce(wb_fleet_t *fleet, int64_t born_ms) {
    wb_engine_state_t *state = wb_engine_state_create("e1");
    state->service = g_strdup("llm");
    wb_engine_state_set_born(state, born_ms);
    return wb_fleet_announce(fleet, state);
}

/* Guards against an engine that is sent requests freely when its row lapses beside a store in
 * trouble and comes back, though it had named a limit and asked for rest. */
static void test_told_limit_and_rest_outlive_the_row(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    wb_engine_t *engine = start_announce(fleet, 100);
    wb_engine_limit_set(&engine->limit, 0.4, now_ms, now_ms);
    engine->backoff_until_ms = now_ms + 100000;
    wb_fleet_remove(fleet, "e1", 0);
    wb_fleet_sweep(fleet, now_ms + 60000);
    const wb_engine_t *back = start_announce(fleet, 100);
    g_assert_true(back->limit.named);
    g_assert_cmpfloat(back->limit.per_s, ==, 0.4);
    g_assert_cmpint(back->limit.limit_reported_ms, ==, now_ms);
    g_assert_cmpint(back->backoff_until_ms, ==, now_ms + 100000);
    g_assert_true(wb_engine_is_available(back));
    /* What is over isn't believed again. */
    wb_engine_limit_end(&wb_fleet_find(fleet, "e1")->limit, now_ms + 1000);
    wb_fleet_remove(fleet, "e1", 0);
    wb_fleet_sweep(fleet, now_ms + 60000);
    back = start_announce(fleet, 100);
    g_assert_false(back->limit.named);
    /* Another start has told nothing. */
    const wb_engine_t *later = start_announce(fleet, 200);
    g_assert_false(later->limit.named);
    g_assert_cmpint(later->backoff_until_ms, ==, 0);
}

/* Another start under the same id has told nothing. */
static void test_told_leaving_ends_with_its_start(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    wb_engine_set_draining(start_announce(fleet, 100), DRAIN_MS, now_ms);
    const wb_engine_t *later = start_announce(fleet, 200);
    g_assert_true(wb_engine_is_available(later));
    wb_fleet_sweep(fleet, now_ms + 60000);
    wb_fleet_remove(fleet, "e1", 0);
    wb_fleet_sweep(fleet, now_ms + 60000);
    later = start_announce(fleet, 200);
    g_assert_true(wb_engine_is_available(later));
}

/* An engine that starts again under its id is another one: it holds nothing of before, nothing runs
 * there, and what was sent to the earlier start stays with that. */
static void test_start_under_a_known_id(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    wb_engine_t *before = wb_engine_ref(start_announce(fleet, 1000));
    wb_engine_state_add_model(before->state, "m1", 1);
    wb_engine_apply_placement(before, "m2", "", TRUE, now_ms, 100, 60000);
    before->running = 7;
    before->failures = 3;
    uint64_t digest = wb_fleet_digest(fleet, now_ms);
    wb_engine_t *after = start_announce(fleet, 2000);
    g_assert_true(after != before);
    g_assert_true(wb_fleet_find(fleet, "e1") == after);
    g_assert_cmpstr(after->state->incarnation, ==, "e1@2000");
    g_assert_false(wb_engine_holds(after, "m1", "", now_ms));
    g_assert_false(wb_engine_holds(after, "m2", "", now_ms));
    g_assert_cmpuint(after->running, ==, 0);
    g_assert_cmpuint(after->failures, ==, 0);
    g_assert_false(wb_engine_is_usable(before, now_ms));
    g_assert_true(wb_engine_is_usable(after, now_ms));
    g_assert_cmpuint(wb_fleet_digest(fleet, now_ms), !=, digest);
    wb_engine_unref(before);
}

/* A row that comes late, of an earlier start, changes nothing: neither while the later one is
 * announced nor when that is gone. */
static void test_earlier_start_changes_nothing(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    wb_engine_t *engine = start_announce(fleet, 2000);
    wb_engine_state_add_model(engine->state, "m1", 1);
    g_assert_null(start_announce(fleet, 1000));
    g_assert_true(wb_fleet_find(fleet, "e1") == engine);
    g_assert_true(wb_engine_holds(engine, "m1", "", wb_clock_ms()));
    wb_fleet_remove(fleet, "e1", 0);
    g_assert_null(start_announce(fleet, 1999));
    g_assert_null(wb_fleet_find(fleet, "e1"));
    const wb_engine_t *same = start_announce(fleet, 2000);
    g_assert_true(same == engine);
    const wb_engine_t *another = start_announce(fleet, 2001);
    g_assert_true(another != engine);
}

/* Several times within the time for which gone engines are kept. */
static void test_starts_in_quick_succession(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    for (int64_t born_ms = 1000; born_ms <= 5000; born_ms += 1000) {
        const wb_engine_t *engine = start_announce(fleet, born_ms);
        g_assert_cmpint(engine->state->born_ms, ==, born_ms);
    }
    wb_fleet_remove(fleet, "e1", 0);
    g_assert_null(start_announce(fleet, 4000));
    g_assert_cmpuint(wb_fleet_service(fleet, "llm")->len, ==, 5);
}

/* Engines of a zone that is evacuated get work until it is closed, and don't count as staying from
 * the start; those that announce themselves later are of the zone, too. */
static void test_evacuated_zone(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    wb_engine_state_t *state = wb_engine_state_create("e1");
    state->service = g_strdup("llm");
    state->zone = g_strdup("z1");
    wb_engine_state_add_model(state, "m1", 1);
    wb_engine_t *engine = wb_fleet_announce(fleet, state);
    g_assert_cmpuint(wb_fleet_evacuate_zone(fleet, "z1", now_ms + 1000), ==, 1);
    g_assert_cmpuint(wb_fleet_evacuate_zone(fleet, "nowhere", now_ms), ==, 0);
    g_assert_true(wb_engine_is_usable(engine, now_ms + 999));
    g_assert_false(wb_engine_is_usable(engine, now_ms + 1000));
    g_assert_false(wb_engine_is_available(engine));
    g_assert_false(wb_fleet_holds(fleet, "llm", "m1", "", now_ms));
    wb_engine_state_t *other = wb_engine_state_create("e2");
    other->service = g_strdup("llm");
    other->zone = g_strdup("z1");
    g_assert_false(wb_engine_is_usable(wb_fleet_announce(fleet, other), now_ms + 1000));
    g_assert_cmpuint(wb_fleet_end_evacuation(fleet, "z1"), ==, 2);
    g_assert_true(wb_engine_is_usable(engine, now_ms + 2000));
    g_assert_true(wb_engine_is_available(engine));
}

static void tests_add(void) {
    g_test_add_func("/fleet/told-leaving-holds", test_told_leaving_holds);
    g_test_add_func("/fleet/told-limit-and-rest-outlive-the-row",
                    test_told_limit_and_rest_outlive_the_row);
    g_test_add_func("/fleet/told-leaving-ends-with-its-start",
                    test_told_leaving_ends_with_its_start);
    g_test_add_func("/fleet/digest", test_digest);
    g_test_add_func("/fleet/evacuated-zone", test_evacuated_zone);
    g_test_add_func("/fleet/start-under-a-known-id", test_start_under_a_known_id);
    g_test_add_func("/fleet/earlier-start-changes-nothing", test_earlier_start_changes_nothing);
    g_test_add_func("/fleet/starts-in-quick-succession", test_starts_in_quick_succession);
    g_test_add_func("/fleet/holdings", test_holdings);
    g_test_add_func("/fleet/news-yield-to-later-rows", test_news_yield_to_later_rows);
    g_test_add_func("/fleet/gone-since-last-known", test_gone_since_last_known);
    g_test_add_func("/fleet/gone-engine-closes", test_gone_engine_closes);
    g_test_add_func("/fleet/leaving-engine-stays-closed", test_leaving_engine_stays_closed);
}

UNIT_TEST_MAIN(tests_add)
