/* Guards against work sent to draining or removed engines, reported state lost with a row, and
 * state that outlives its incarnation. */
#include "unit.h"

#include "wickbridge/fleet.h"
#include "wickbridge/loop.h"

#define DRAIN_MS 3000

static wb_engine_t *announce_engine(wb_fleet_t *fleet, gboolean draining) {
    wb_engine_state_t *state = wb_engine_state_create("e1");
    state->service = g_strdup("llm");
    state->leaving = draining;
    return wb_fleet_announce(fleet, state);
}

/* The grace time of a removed engine is counted from when the table was last known: its row may
 * have been removed just after. */
static void test_gone_since_last_known(void) {
    int64_t now_ms = 100000;
    g_assert_cmpint(wb_fleet_grace_until_ms(now_ms - 300, DRAIN_MS, now_ms), ==, now_ms + 1200);
    g_assert_cmpint(wb_fleet_grace_until_ms(now_ms - 1600, DRAIN_MS, now_ms), <, now_ms);
    /* After a store outage, live engines announce themselves again soon. */
    g_assert_cmpint(wb_fleet_grace_until_ms(now_ms - 9000, DRAIN_MS, now_ms), >, now_ms + 2000);
    g_assert_cmpint(wb_fleet_grace_until_ms(now_ms - 9000, DRAIN_MS, now_ms), <, now_ms + DRAIN_MS);
}

static void test_gone_engine_closes(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    wb_engine_t *engine = announce_engine(fleet, FALSE);
    g_assert_true(wb_engine_is_usable(engine, now_ms));
    wb_fleet_remove(fleet, "e1", now_ms + 500);
    g_assert_true(wb_engine_is_usable(engine, now_ms + 499));
    g_assert_false(wb_engine_is_usable(engine, now_ms + 500));
    const wb_engine_t *back = announce_engine(fleet, FALSE);
    g_assert_true(back == engine);
    g_assert_true(wb_engine_is_usable(engine, now_ms + 5000));
}

/* Guards against streams sent on to an engine as of its predecessor's software version. */
static void test_other_version_is_other_engine(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    wb_engine_t *engine = announce_engine(fleet, FALSE);
    wb_engine_state_t *state = wb_engine_state_create("e1");
    state->service = g_strdup("llm");
    g_free(state->software_version);
    state->software_version = g_strdup("v2");
    const wb_engine_t *other = wb_fleet_announce(fleet, state);
    g_assert_true(other != engine);
    g_assert_true(engine->gone);
    g_assert_true(wb_fleet_find(fleet, "e1") == other);
    g_assert_cmpstr(other->state->software_version, ==, "v2");
}

/* An engine that announced its drain stays unusable when its row is removed. */
static void test_leaving_engine_stays_closed(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    wb_engine_t *engine = announce_engine(fleet, TRUE);
    g_assert_false(wb_engine_is_usable(engine, now_ms));
    wb_fleet_remove(fleet, "e1", now_ms + 500);
    g_assert_false(wb_engine_is_usable(engine, now_ms));
}

/* A drain reported in a response holds for this incarnation: rows written before, or announced
 * again later, don't end it. */
static void test_told_leaving_holds(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    wb_engine_t *engine = announce_engine(fleet, FALSE);
    uint64_t digest = wb_fleet_digest(fleet, now_ms);
    g_assert_true(wb_engine_set_draining(engine, DRAIN_MS, now_ms));
    g_assert_false(wb_engine_set_draining(engine, DRAIN_MS, now_ms));
    g_assert_false(wb_engine_is_available(engine));
    /* It stays usable for half the drain time: other engines can't take over its work at once. */
    g_assert_true(wb_engine_is_usable(engine, now_ms + DRAIN_MS / 2 - 1));
    g_assert_false(wb_engine_is_usable(engine, now_ms + DRAIN_MS / 2));
    const wb_engine_t *again = announce_engine(fleet, FALSE);
    g_assert_true(again == engine);
    g_assert_false(wb_engine_is_available(engine));
    g_assert_false(wb_engine_is_usable(engine, now_ms + DRAIN_MS / 2));
    /* A reported drain isn't part of the digest that nodes compare. */
    g_assert_cmpuint(wb_fleet_digest(fleet, now_ms), ==, digest);
    announce_engine(fleet, TRUE);
    g_assert_false(wb_engine_is_usable(engine, now_ms));
    /* Its row is removed for long, then announced again. */
    wb_fleet_remove(fleet, "e1", now_ms + 500);
    g_assert_false(wb_engine_is_usable(engine, now_ms));
    wb_fleet_sweep(fleet, now_ms + 60000);
    const wb_engine_t *back = announce_engine(fleet, FALSE);
    g_assert_false(wb_engine_is_available(back));
    g_assert_false(wb_engine_is_usable(back, now_ms + 60000));
}

/* Placement updates of the controller override rows, except a row that is announced long after. */
static void test_news_yield_to_later_rows(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    wb_engine_t *engine = announce_engine(fleet, FALSE);
    int64_t now_ms = wb_clock_ms();
    wb_engine_apply_placement(engine, "m1", "", FALSE, now_ms, 100, 60000);
    wb_engine_state_add_model(announce_engine(fleet, FALSE)->state, "m1", 1);
    /* May have been written before the update. */
    g_assert_false(wb_engine_holds(engine, "m1", "", wb_clock_ms()));
    g_usleep(150000);
    g_assert_false(wb_engine_holds(engine, "m1", "", wb_clock_ms()));
    wb_engine_state_add_model(announce_engine(fleet, FALSE)->state, "m1", 1);
    g_assert_true(wb_engine_holds(engine, "m1", "", wb_clock_ms()));
}

/* The held models combine the row and newer placement updates. */
static void test_holdings(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    wb_engine_t *engine = announce_engine(fleet, FALSE);
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

/* Equal knowledge gives equal digests, whether it came from rows or from updates. */
static void test_digest(void) {
    wb_fleet_t *left = wb_fleet_create();
    wb_fleet_t *right = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), ==, wb_fleet_digest(right, now_ms));
    wb_engine_t *updated = announce_engine(left, FALSE);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), !=, wb_fleet_digest(right, now_ms));
    wb_engine_t *announced = announce_engine(right, FALSE);
    wb_engine_apply_placement(updated, "m1", "", TRUE, now_ms, 1000, 60000);
    wb_engine_state_add_model(announced->state, "m1", 1);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), ==, wb_fleet_digest(right, now_ms));
    wb_engine_apply_placement(updated, "m1", "", FALSE, now_ms, 1000, 60000);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), !=, wb_fleet_digest(right, now_ms));
    wb_engine_apply_placement(announced, "m1", "", FALSE, now_ms, 1000, 60000);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), ==, wb_fleet_digest(right, now_ms));
    announce_engine(right, TRUE);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), !=, wb_fleet_digest(right, now_ms));
    wb_fleet_remove(left, "e1", 0);
    wb_fleet_remove(right, "e1", 0);
    g_assert_cmpuint(wb_fleet_digest(left, now_ms), ==, wb_fleet_digest(right, now_ms));
}

static wb_engine_t *announce_incarnation(wb_fleet_t *fleet, int64_t born_ms) {
    wb_engine_state_t *state = wb_engine_state_create("e1");
    state->service = g_strdup("llm");
    wb_engine_state_set_born(state, born_ms);
    return wb_fleet_announce(fleet, state);
}

/* A reported limit and backoff survive the removal of the engine's row during store trouble. */
static void test_told_limit_and_rest_outlive_the_row(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    wb_engine_t *engine = announce_incarnation(fleet, 100);
    wb_engine_limit_set(&engine->limit, 0.4, now_ms, now_ms);
    engine->backoff_until_ms = now_ms + 100000;
    wb_fleet_remove(fleet, "e1", 0);
    wb_fleet_sweep(fleet, now_ms + 60000);
    const wb_engine_t *back = announce_incarnation(fleet, 100);
    g_assert_true(back->limit.named);
    g_assert_cmpfloat(back->limit.per_s, ==, 0.4);
    g_assert_cmpint(back->limit.limit_reported_ms, ==, now_ms);
    g_assert_cmpint(back->backoff_until_ms, ==, now_ms + 100000);
    g_assert_true(wb_engine_is_available(back));
    /* An ended limit isn't restored. */
    wb_engine_limit_end(&wb_fleet_find(fleet, "e1")->limit, now_ms + 1000);
    wb_fleet_remove(fleet, "e1", 0);
    wb_fleet_sweep(fleet, now_ms + 60000);
    back = announce_incarnation(fleet, 100);
    g_assert_false(back->limit.named);
    /* The next incarnation has reported nothing. */
    const wb_engine_t *later = announce_incarnation(fleet, 200);
    g_assert_false(later->limit.named);
    g_assert_cmpint(later->backoff_until_ms, ==, 0);
}

/* A reported drain doesn't apply to the next incarnation. */
static void test_told_leaving_ends_with_its_start(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    wb_engine_set_draining(announce_incarnation(fleet, 100), DRAIN_MS, now_ms);
    const wb_engine_t *later = announce_incarnation(fleet, 200);
    g_assert_true(wb_engine_is_available(later));
    wb_fleet_sweep(fleet, now_ms + 60000);
    wb_fleet_remove(fleet, "e1", 0);
    wb_fleet_sweep(fleet, now_ms + 60000);
    later = announce_incarnation(fleet, 200);
    g_assert_true(wb_engine_is_available(later));
}

/* A new incarnation holds no models and runs no requests; those sent to the previous one stay with
 * it. */
static void test_start_under_a_known_id(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    int64_t now_ms = wb_clock_ms();
    wb_engine_t *previous = wb_engine_ref(announce_incarnation(fleet, 1000));
    wb_engine_state_add_model(previous->state, "m1", 1);
    wb_engine_apply_placement(previous, "m2", "", TRUE, now_ms, 100, 60000);
    previous->running = 7;
    previous->failures = 3;
    uint64_t digest = wb_fleet_digest(fleet, now_ms);
    wb_engine_t *current = announce_incarnation(fleet, 2000);
    g_assert_true(current != previous);
    g_assert_true(wb_fleet_find(fleet, "e1") == current);
    g_assert_cmpstr(current->state->incarnation, ==, "e1@2000");
    g_assert_false(wb_engine_holds(current, "m1", "", now_ms));
    g_assert_false(wb_engine_holds(current, "m2", "", now_ms));
    g_assert_cmpuint(current->running, ==, 0);
    g_assert_cmpuint(current->failures, ==, 0);
    g_assert_false(wb_engine_is_usable(previous, now_ms));
    g_assert_true(wb_engine_is_usable(current, now_ms));
    g_assert_cmpuint(wb_fleet_digest(fleet, now_ms), !=, digest);
    wb_engine_unref(previous);
}

/* A late row of an earlier incarnation changes nothing, while the later one is announced or after
 * its removal. */
static void test_earlier_start_changes_nothing(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    wb_engine_t *engine = announce_incarnation(fleet, 2000);
    wb_engine_state_add_model(engine->state, "m1", 1);
    g_assert_null(announce_incarnation(fleet, 1000));
    g_assert_true(wb_fleet_find(fleet, "e1") == engine);
    g_assert_true(wb_engine_holds(engine, "m1", "", wb_clock_ms()));
    wb_fleet_remove(fleet, "e1", 0);
    g_assert_null(announce_incarnation(fleet, 1999));
    g_assert_null(wb_fleet_find(fleet, "e1"));
    const wb_engine_t *same = announce_incarnation(fleet, 2000);
    g_assert_true(same == engine);
    const wb_engine_t *another = announce_incarnation(fleet, 2001);
    g_assert_true(another != engine);
}

/* Several incarnations within the retention time of removed engines are all kept. */
static void test_starts_in_quick_succession(void) {
    wb_fleet_t *fleet = wb_fleet_create();
    for (int64_t born_ms = 1000; born_ms <= 5000; born_ms += 1000) {
        const wb_engine_t *engine = announce_incarnation(fleet, born_ms);
        g_assert_cmpint(engine->state->born_ms, ==, born_ms);
    }
    wb_fleet_remove(fleet, "e1", 0);
    g_assert_null(announce_incarnation(fleet, 4000));
    g_assert_cmpuint(wb_fleet_service(fleet, "llm")->len, ==, 5);
}

/* Engines of an evacuated zone are usable until its deadline, but not available from the start;
 * this also covers engines announced later. */
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
    g_test_add_func("/fleet/other-version-is-other-engine", test_other_version_is_other_engine);
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
