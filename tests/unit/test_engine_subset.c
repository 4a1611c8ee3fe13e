/* Guards against engine subsets that grow with the fleet, differ between gateways of a zone, or
 * don't begin with the own zone. */
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

/* The number of rows sent for a model is bounded for any fleet size. */
static void test_rows_told_are_bounded(void) {
    static const unsigned sizes[] = {1000, 10000, 20000, 40000};
    for (gsize i = 0; i < G_N_ELEMENTS(sizes); i++) {
        wb_fleet_t *fleet = fleet_create(sizes[i]);
        g_autoptr(GPtrArray) of_model = subset(fleet, "m7", "z1");
        g_autoptr(GPtrArray) of_service = subset(fleet, "", "z1");
        guint holder_count = sizes[i] / MODELS + (7 < sizes[i] % MODELS);
        g_assert_cmpuint(of_model->len, ==, MIN(holder_count, WB_ENGINE_SUBSET_MAX));
        g_assert_cmpuint(of_service->len, ==, WB_ENGINE_SUBSET_MAX);
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

/* Removing one engine changes one entry of the subset. */
static void test_changes_little(void) {
    wb_fleet_t *fleet = fleet_create(10000);
    g_autoptr(GPtrArray) before = subset(fleet, "", "z1");
    const wb_engine_t *removed = g_ptr_array_index(before, 20);
    wb_fleet_remove(fleet, removed->state->id, 0);
    g_autoptr(GPtrArray) after = subset(fleet, "", "z1");
    g_assert_cmpuint(after->len, ==, WB_ENGINE_SUBSET_MAX);
    for (guint i = 0; i + 1 < after->len; i++) {
        g_assert_true(g_ptr_array_index(after, i) == g_ptr_array_index(before, i + (i >= 20)));
    }
}

/* Guards against a gateway that knows no engine of the version at which a stream has to go on. */
static void test_each_version(void) {
    wb_fleet_t *fleet = fleet_create(1000);
    for (unsigned i = 0; i < 12 * MODELS; i += MODELS) {
        g_autofree char *id = g_strdup_printf("older-%u", i);
        wb_engine_state_t *state = wb_engine_state_create(id);
        state->service = g_strdup("llm");
        state->zone = g_strdup("z5");
        g_free(state->software_version);
        state->software_version = g_strdup_printf("v%u", i % 5 == 0);
        wb_engine_state_add_model(state, "m7", 1);
        wb_fleet_announce(fleet, state);
    }
    g_autoptr(GPtrArray) of_service = subset(fleet, "", "z1");
    unsigned older = 0;
    for (guint i = 0; i < of_service->len; i++) {
        const wb_engine_t *engine = g_ptr_array_index(of_service, i);
        older += *engine->state->software_version != '\0';
    }
    g_assert_cmpuint(older, >=, WB_ENGINE_SUBSET_VERSION_MIN);
    g_assert_cmpuint(of_service->len, <=, WB_ENGINE_SUBSET_LIMIT);
}

static void test_nothing_there(void) {
    wb_fleet_t *fleet = fleet_create(10);
    g_autoptr(GPtrArray) none = subset(fleet, "m299", "z1");
    g_assert_cmpuint(none->len, ==, 0);
    g_autoptr(GPtrArray) without_service = wb_engine_subset(NULL, "m1", "z1", wb_clock_ms());
    g_assert_cmpuint(without_service->len, ==, 0);
}

static void tests_add(void) {
    g_test_add_func("/engine-subset/rows-told-are-bounded", test_rows_told_are_bounded);
    g_test_add_func("/engine-subset/own-zone-first-and-alike", test_own_zone_first_and_alike);
    g_test_add_func("/engine-subset/changes-little", test_changes_little);
    g_test_add_func("/engine-subset/each-version", test_each_version);
    g_test_add_func("/engine-subset/nothing-there", test_nothing_there);
}

UNIT_TEST_MAIN(tests_add)
