/* Which engines of a model a gateway is told of: bounded, the same for all of a zone, its own
 * first, and at any size of the fleet. */
#include "unit.h"

#include "directory/engine_subset.h"

#include <string.h>

#define ZONES 6
#define MODELS 299

static wb_fleet_t *fleet_create(unsigned engines) {
    wb_fleet_t *fleet = wb_fleet_create();
    for (unsigned i = 0; i < engines; i++) {
        g_autofree char *id = g_strdup_printf("e%u", i);
        g_autofree char *model = g_strdup_printf("m%u", i % MODELS);
        wb_engine_state_t *state = wb_engine_state_create(id);
        state->service = g_strdup("llm");
        state->zone = g_strdup_printf("z%u", i % ZONES);
        wb_engine_state_add_model(state, model, 1);
        wb_fleet_announce(fleet, state);
    }
    return fleet;
}

static GPtrArray *subset(const wb_fleet_t *fleet, const char *model, const char *zone) {
    return wb_engine_subset(wb_fleet_service(fleet, "llm"), model, zone, wb_clock_ms());
}

static void assert_same(const GPtrArray *left, const GPtrArray *right) {
    g_assert_cmpuint(left->len, ==, right->len);
    for (guint i = 0; i < left->len; i++) {
        g_assert_true(g_ptr_array_index(left, i) == g_ptr_array_index(right, i));
    }
}

/* What a gateway is told of a model doesn't grow with the fleet beyond the bound: rows by hand at
 * N, 2 N and 4 N engines. */
static void test_rows_told_are_bounded(void) {
    static const unsigned sizes[] = {1000, 10000, 20000, 40000};
    for (gsize i = 0; i < G_N_ELEMENTS(sizes); i++) {
        wb_fleet_t *fleet = fleet_create(sizes[i]);
        g_autoptr(GPtrArray) one = subset(fleet, "m7", "z1");
        g_autoptr(GPtrArray) any = subset(fleet, "", "z1");
        guint holders = sizes[i] / MODELS + (7 < sizes[i] % MODELS);
        g_assert_cmpuint(one->len, ==, MIN(holders, WB_ENGINE_SUBSET_MAX));
        g_assert_cmpuint(any->len, ==, WB_ENGINE_SUBSET_MAX);
    }
}

static void test_own_zone_first_and_alike(void) {
    wb_fleet_t *fleet = fleet_create(10000);
    g_autoptr(GPtrArray) first = subset(fleet, "m7", "z1");
    g_autoptr(GPtrArray) second = subset(fleet, "m7", "z1");
    assert_same(first, second);
    gboolean left_zone = FALSE;
    for (guint i = 0; i < first->len; i++) {
        const wb_engine_t *engine = g_ptr_array_index(first, i);
        gboolean own = strcmp(engine->state->zone, "z1") == 0;
        g_assert_false(own && left_zone);
        left_zone |= !own;
        g_assert_true(wb_engine_holds(engine, "m7", "", wb_clock_ms()));
    }
}

/* One engine that goes changes one place of the list. */
static void test_changes_little(void) {
    wb_fleet_t *fleet = fleet_create(10000);
    g_autoptr(GPtrArray) before = subset(fleet, "", "z1");
    const wb_engine_t *gone = g_ptr_array_index(before, 20);
    wb_fleet_remove(fleet, gone->state->id, 0);
    g_autoptr(GPtrArray) after = subset(fleet, "", "z1");
    g_assert_cmpuint(after->len, ==, WB_ENGINE_SUBSET_MAX);
    for (guint i = 0; i + 1 < after->len; i++) {
        g_assert_true(g_ptr_array_index(after, i) == g_ptr_array_index(before, i + (i >= 20)));
    }
}

static void test_nothing_there(void) {
    wb_fleet_t *fleet = fleet_create(10);
    g_autoptr(GPtrArray) none = subset(fleet, "m299", "z1");
    g_assert_cmpuint(none->len, ==, 0);
    g_autoptr(GPtrArray) nobody = wb_engine_subset(NULL, "m1", "z1", wb_clock_ms());
    g_assert_cmpuint(nobody->len, ==, 0);
}

static void tests_add(void) {
    g_test_add_func("/engine-subset/rows-told-are-bounded", test_rows_told_are_bounded);
    g_test_add_func("/engine-subset/own-zone-first-and-alike", test_own_zone_first_and_alike);
    g_test_add_func("/engine-subset/changes-little", test_changes_little);
    g_test_add_func("/engine-subset/nothing-there", test_nothing_there);
}

UNIT_TEST_MAIN(tests_add)
