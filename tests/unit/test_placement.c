/* Guards against loads on the wrong engine and eviction of models that are in use. */
#include "unit.h"

#include "control/placement.h"

#include <string.h>

/* Two engines of 100 MB and six models of 40 MB. */
typedef struct fixture_t {
    wb_catalog_t *catalog;
    wb_service_t *service;
    wb_placement_snapshot_t snapshot;
    wb_engine_t engines[2];
    wb_model_use_t uses[6];
} fixture_t;

static void fixture_init(fixture_t *fixture) {
    static const char *const names[] = {"m0", "m1", "m2", "m3", "m4", "m5"};
    memset(fixture, 0, sizeof(*fixture));
    fixture->catalog = wb_catalog_create(1);
    fixture->service = wb_catalog_add_service(fixture->catalog, "s");
    fixture->service->weights_mb = 100;
    fixture->snapshot.service = fixture->service;
    fixture->snapshot.engines = g_array_new(FALSE, TRUE, sizeof(wb_placement_engine_t));
    fixture->snapshot.uses = g_hash_table_new(g_str_hash, g_str_equal);
    fixture->snapshot.power.tokens_per_ms = 30;
    fixture->snapshot.store_loads_allowed = 8;
    for (int i = 0; i < 6; i++) {
        wb_model_spec_t *model = wb_service_add_model(fixture->service, names[i]);
        model->weights_mb = 40;
        model->store_load_ms = 2000;
        model->disk_load_ms = 800;
        model->memory_load_ms = 400;
        g_hash_table_insert(fixture->snapshot.uses, (gpointer)names[i], &fixture->uses[i]);
    }
    for (int i = 0; i < 2; i++) {
        fixture->engines[i].state = wb_engine_state_create(i == 0 ? "e0" : "e1");
        wb_placement_engine_t candidate = {
            .engine = &fixture->engines[i], .state = fixture->engines[i].state, .available = TRUE};
        g_array_append_val(fixture->snapshot.engines, candidate);
    }
}

static void fixture_add_replica(fixture_t *fixture, int engine, int model) {
    static const char *const names[] = {"m0", "m1", "m2", "m3", "m4", "m5"};
    wb_engine_state_add_model(fixture->engines[engine].state, names[model], 1);
    fixture->uses[model].replicas++;
}

static void fixture_clear(fixture_t *fixture) {
    for (int i = 0; i < 2; i++)
        wb_engine_state_free(fixture->engines[i].state);
    g_array_unref(fixture->snapshot.engines);
    g_hash_table_unref(fixture->snapshot.uses);
    wb_catalog_unref(fixture->catalog);
}

static const char *fixture_choose(fixture_t *fixture, const char *model) {
    double cost_ms;
    double victims_ms;
    const wb_placement_engine_t *candidate = wb_placement_choose(
        &fixture->snapshot, g_hash_table_lookup(fixture->service->models, model), &cost_ms,
        &victims_ms);
    return candidate != NULL ? candidate->state->id : NULL;
}

static void test_placement_prefers_copies_at_hand(void) {
    fixture_t fixture;
    fixture_init(&fixture);
    g_hash_table_add(fixture.engines[1].state->on_disk, g_strdup("m0"));
    g_assert_cmpstr(fixture_choose(&fixture, "m0"), ==, "e1");
    g_hash_table_add(fixture.engines[0].state->in_memory, g_strdup("m0"));
    g_assert_cmpstr(fixture_choose(&fixture, "m0"), ==, "e0");
    fixture_clear(&fixture);
}

static void test_placement_spares_what_is_used(void) {
    fixture_t fixture;
    fixture_init(&fixture);
    fixture_add_replica(&fixture, 0, 1);
    fixture_add_replica(&fixture, 0, 2);
    fixture_add_replica(&fixture, 1, 3);
    fixture_add_replica(&fixture, 1, 4);
    fixture.uses[1].rate_per_s = fixture.uses[2].rate_per_s = fixture.uses[3].rate_per_s = 2;
    double cost_ms;
    const wb_model_spec_t *model = g_hash_table_lookup(fixture.service->models, "m0");
    g_assert_cmpstr(fixture_choose(&fixture, "m0"), ==, "e1");
    g_autoptr(GPtrArray) victims =
        wb_placement_victims(&fixture.snapshot, fixture.engines[1].state, model, &cost_ms);
    g_assert_cmpuint(victims->len, ==, 1);
    g_assert_cmpstr(g_ptr_array_index(victims, 0), ==, "m4");
    fixture.uses[4].waiting = 1; /* the last replica of a model that requests wait for is kept */
    g_assert_cmpstr(fixture_choose(&fixture, "m0"), !=, NULL);
    g_autoptr(GPtrArray) others =
        wb_placement_victims(&fixture.snapshot, fixture.engines[1].state, model, &cost_ms);
    g_assert_cmpstr(g_ptr_array_index(others, 0), ==, "m3");
    fixture_clear(&fixture);
}

/* Engines with requested adapters are spared: a model load delays adapter loads. */
static void test_placement_spares_adapters(void) {
    fixture_t fixture;
    fixture_init(&fixture);
    fixture_add_replica(&fixture, 0, 1);
    fixture_add_replica(&fixture, 1, 2);
    fixture.uses[1].adapter_rate_per_s = 3;
    g_assert_cmpstr(fixture_choose(&fixture, "m0"), ==, "e1");
    fixture.uses[1].adapter_rate_per_s = 0;
    fixture.uses[2].adapter_rate_per_s = 3;
    g_assert_cmpstr(fixture_choose(&fixture, "m0"), ==, "e0");
    fixture_clear(&fixture);
}

/* Gain of a replica and cost of its eviction use the same measure, so that neither undoes the
 * other. */
static void test_placement_gain_matches_cost(void) {
    fixture_t fixture;
    fixture_init(&fixture);
    fixture_add_replica(&fixture, 0, 1);
    fixture_add_replica(&fixture, 1, 1);
    fixture_add_replica(&fixture, 1, 2);
    fixture.uses[1].rate_per_s = fixture.uses[1].recent_rate_per_s = 8;
    fixture.uses[1].work_per_s = fixture.uses[1].recent_work_per_s = 60000;
    wb_model_use_t single_replica = fixture.uses[1];
    single_replica.replicas = 1;
    g_assert_cmpuint(wb_placement_wanted_replicas(&single_replica, &fixture.snapshot.power), >, 1);
    double gain_ms = wb_placement_gain_ms(&single_replica, &fixture.snapshot.power, 1);
    double cost_ms;
    const wb_model_spec_t *model = g_hash_table_lookup(fixture.service->models, "m0");
    g_autoptr(GPtrArray) victims =
        wb_placement_victims(&fixture.snapshot, fixture.engines[1].state, model, &cost_ms);
    /* Not the second replica of the busy model. */
    g_assert_cmpstr(g_ptr_array_index(victims, 0), ==, "m2");
    g_assert_cmpfloat(gain_ms, >, 1000);
    fixture_clear(&fixture);
}

/* A model that fills its engines' slots is scaled out, even when its prompts are short. */
static void test_placement_spreads_by_slots(void) {
    fixture_t fixture;
    fixture_init(&fixture);
    wb_engine_capacity_t power = {30, 24};
    wb_model_use_t use = {.rate_per_s = 45, .recent_rate_per_s = 45, .replicas = 2, .running = 20};
    use.work_per_s = use.recent_work_per_s = 9000;
    g_assert_cmpuint(wb_placement_wanted_replicas(&use, &power), <=, 2);
    g_assert_cmpfloat(wb_placement_gain_ms(&use, &power, 1), <, 100);
    use.running = 140; /* 70 at each of two engines with 24 slots */
    g_assert_cmpuint(wb_placement_wanted_replicas(&use, &power), >=, 6);
    g_assert_cmpfloat(wb_placement_gain_ms(&use, &power, 1), >, 10000);
    power.slots = 0; /* slots not reported: judged by prompts alone */
    g_assert_cmpuint(wb_placement_wanted_replicas(&use, &power), <=, 2);
    fixture_clear(&fixture);
}

/* A busy model is placed on the faster of two engines, a rarely used one on the slower. */
static void test_placement_by_speed(void) {
    fixture_t fixture;
    fixture_init(&fixture);
    wb_placement_engine_t *candidates =
        (wb_placement_engine_t *)(void *)fixture.snapshot.engines->data;
    candidates[0].speed = 0.8;
    candidates[1].speed = 1.8;
    fixture.snapshot.replica_rate_per_s = 1;
    wb_model_use_t *busy = &fixture.uses[0];
    *busy = (wb_model_use_t){.rate_per_s = 8, .replicas = 1, .running = 12, .speed = 0.8};
    g_assert_cmpstr(fixture_choose(&fixture, "m0"), ==, "e1");
    g_assert_true(wb_placement_engines_are_slow(busy, wb_placement_max_speed(&fixture.snapshot)));
    wb_model_use_t *rare = &fixture.uses[1];
    *rare = (wb_model_use_t){.rate_per_s = 0.2, .replicas = 1, .running = 0.4, .speed = 0.8};
    g_assert_cmpstr(fixture_choose(&fixture, "m1"), ==, "e0");
    /* Another replica gains more on the fast engine, and almost nothing on one no faster than the
     * present. */
    double fast_ms = wb_placement_gain_ms(busy, &fixture.snapshot.power, 1.8);
    double slow_ms = wb_placement_gain_ms(busy, &fixture.snapshot.power, 0.8);
    g_assert_cmpfloat(fast_ms, >, slow_ms);
    g_assert_cmpfloat(fast_ms, >, 5000);
    g_assert_cmpfloat(slow_ms, <, 100);
    busy->speed = 1.8;
    g_assert_false(wb_placement_engines_are_slow(busy, wb_placement_max_speed(&fixture.snapshot)));
    fixture_clear(&fixture);
}

/* While the weight store allows no further load, only models on an engine's disk are loaded. */
static void test_placement_waits_for_the_store(void) {
    fixture_t fixture;
    fixture_init(&fixture);
    fixture.snapshot.store_loads_allowed = 0;
    g_assert_null(fixture_choose(&fixture, "m0"));
    g_hash_table_add(fixture.engines[1].state->on_disk, g_strdup("m0"));
    g_assert_cmpstr(fixture_choose(&fixture, "m0"), ==, "e1");
    fixture_clear(&fixture);
}

/* Memory reserved by an ordered load is not available to another. */
static void test_placement_counts_ordered_loads(void) {
    fixture_t fixture;
    fixture_init(&fixture);
    fixture_add_replica(&fixture, 0, 1);
    fixture_add_replica(&fixture, 1, 2);
    fixture_add_replica(&fixture, 1, 3);
    g_assert_cmpstr(fixture_choose(&fixture, "m0"), ==, "e0"); /* it has memory for one more */
    wb_placement_engine_t *candidate =
        &g_array_index(fixture.snapshot.engines, wb_placement_engine_t, 0);
    candidate->pending_mb = 40;
    fixture.uses[1].rate_per_s = 2;
    g_assert_cmpstr(fixture_choose(&fixture, "m0"), ==, "e1");
    fixture_clear(&fixture);
}

/* @return cost of evicting the single victim on the first engine, in ms */
static double fixture_eviction_cost_ms(fixture_t *fixture, const char *wanted) {
    double cost_ms;
    g_autoptr(GPtrArray) victims =
        wb_placement_victims(&fixture->snapshot, fixture->engines[0].state,
                             g_hash_table_lookup(fixture->service->models, wanted), &cost_ms);
    g_assert_cmpuint(victims->len, ==, 1);
    return cost_ms;
}

/* An evicted model is reloaded from its engine's disk, or from the weight store without one. */
static void test_placement_reload_is_from_disk(void) {
    fixture_t fixture;
    fixture_init(&fixture);
    fixture_add_replica(&fixture, 0, 1);
    fixture_add_replica(&fixture, 0, 2);
    fixture.uses[1].rate_per_s = fixture.uses[2].rate_per_s = 1;
    double from_disk_ms = fixture_eviction_cost_ms(&fixture, "m0");
    GHashTableIter iter;
    gpointer model;
    g_hash_table_iter_init(&iter, fixture.service->models);
    while (g_hash_table_iter_next(&iter, NULL, &model)) {
        ((wb_model_spec_t *)model)->disk_load_ms = 0;
    }
    double from_store_ms = fixture_eviction_cost_ms(&fixture, "m0");
    g_assert_cmpfloat(from_store_ms - from_disk_ms, >, 1000);
    fixture_clear(&fixture);
}

static gboolean count_loading_query(const wb_engine_t *engine, const char *model, void *context) {
    (void)engine;
    (void)model;
    ++*(unsigned *)context;
    return FALSE;
}

/* The number of engines judged per choice is bounded for any fleet size, and an engine with a copy
 * is still found. */
static void test_placement_judges_a_bounded_number(void) {
    static const guint sizes[] = {256, 2000, 10000, 20000, 40000};
    for (gsize i = 0; i < G_N_ELEMENTS(sizes); i++) {
        fixture_t fixture;
        unsigned query_count = 0;
        fixture_init(&fixture);
        fixture.snapshot.is_loading = count_loading_query;
        fixture.snapshot.context = &query_count;
        g_array_set_size(fixture.snapshot.engines, 0);
        g_autoptr(GPtrArray) states =
            g_ptr_array_new_with_free_func((GDestroyNotify)wb_engine_state_free);
        for (guint j = 0; j < sizes[i]; j++) {
            wb_engine_state_t *state = wb_engine_state_create("e");
            if (j % 20 == 0) {
                g_hash_table_add(state->on_disk, g_strdup("m0"));
            }
            g_ptr_array_add(states, state);
            wb_placement_engine_t candidate = {
                .engine = &fixture.engines[0], .state = state, .available = TRUE};
            g_array_append_val(fixture.snapshot.engines, candidate);
        }
        fixture.snapshot.first = sizes[i] - 3;
        double cost_ms;
        double victims_ms;
        const wb_placement_engine_t *candidate = wb_placement_choose(
            &fixture.snapshot, g_hash_table_lookup(fixture.service->models, "m0"), &cost_ms,
            &victims_ms);
        g_assert_true(g_hash_table_contains(candidate->state->on_disk, "m0"));
        g_assert_cmpuint(query_count, ==, MIN(sizes[i], WB_PLACEMENT_MAX_CANDIDATES));
        fixture_clear(&fixture);
    }
}

static void tests_add(void) {
    g_test_add_func("/placement/copies-at-hand", test_placement_prefers_copies_at_hand);
    g_test_add_func("/placement/spares-what-is-used", test_placement_spares_what_is_used);
    g_test_add_func("/placement/spares-adapters", test_placement_spares_adapters);
    g_test_add_func("/placement/spreads-by-slots", test_placement_spreads_by_slots);
    g_test_add_func("/placement/waits-for-the-store", test_placement_waits_for_the_store);
    g_test_add_func("/placement/counts-ordered-loads", test_placement_counts_ordered_loads);
    g_test_add_func("/placement/reload-is-from-disk", test_placement_reload_is_from_disk);
    g_test_add_func("/placement/judges-a-bounded-number", test_placement_judges_a_bounded_number);
    g_test_add_func("/placement/by-speed", test_placement_by_speed);
    g_test_add_func("/placement/gain-matches-cost", test_placement_gain_matches_cost);
}

UNIT_TEST_MAIN(tests_add)
