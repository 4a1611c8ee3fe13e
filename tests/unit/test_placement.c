/* Where models are loaded, and what makes room for them. */
#include "unit.h"

#include "control/placement.h"

#include <string.h>

/* Placement: two engines of 100 MB, models of 40. */
typedef struct scene_t {
    wb_catalog_t *catalog;
    wb_service_t *service;
    wb_placement_snapshot_t snapshot;
    wb_engine_t engines[2];
    wb_model_use_t uses[6];
} scene_t;

static void scene_open(scene_t *scene) {
    static const char *const names[] = {"m0", "m1", "m2", "m3", "m4", "m5"};
    memset(scene, 0, sizeof(*scene));
    scene->catalog = wb_catalog_create(1);
    scene->service = wb_catalog_add_service(scene->catalog, "s");
    scene->service->weights_mb = 100;
    scene->snapshot.service = scene->service;
    scene->snapshot.engines = g_array_new(FALSE, TRUE, sizeof(wb_placement_engine_t));
    scene->snapshot.uses = g_hash_table_new(g_str_hash, g_str_equal);
    scene->snapshot.power.tokens_per_ms = 30;
    scene->snapshot.store_loads_allowed = 8;
    for (int i = 0; i < 6; i++) {
        wb_model_spec_t *model = wb_service_add_model(scene->service, names[i]);
        model->weights_mb = 40;
        model->store_load_ms = 2000;
        model->disk_load_ms = 800;
        model->memory_load_ms = 400;
        g_hash_table_insert(scene->snapshot.uses, (gpointer)names[i], &scene->uses[i]);
    }
    for (int i = 0; i < 2; i++) {
        scene->engines[i].state = wb_engine_state_create(i == 0 ? "e0" : "e1");
        wb_placement_engine_t place = {
            .engine = &scene->engines[i], .state = scene->engines[i].state, .available = TRUE};
        g_array_append_val(scene->snapshot.engines, place);
    }
}

static void scene_hold(scene_t *scene, int engine, int model) {
    static const char *const names[] = {"m0", "m1", "m2", "m3", "m4", "m5"};
    wb_engine_state_add_model(scene->engines[engine].state, names[model], 1);
    scene->uses[model].replicas++;
}

static void scene_close(scene_t *scene) {
    for (int i = 0; i < 2; i++)
        wb_engine_state_free(scene->engines[i].state);
    g_array_unref(scene->snapshot.engines);
    g_hash_table_unref(scene->snapshot.uses);
    wb_catalog_unref(scene->catalog);
}

static const char *scene_choose(scene_t *scene, const char *model) {
    double cost_ms;
    double victims_ms;
    const wb_placement_engine_t *place =
        wb_placement_choose(&scene->snapshot, g_hash_table_lookup(scene->service->models, model),
                            &cost_ms, &victims_ms);
    return place != NULL ? place->state->id : NULL;
}

static void test_placement_prefers_copies_at_hand(void) {
    scene_t scene;
    scene_open(&scene);
    g_hash_table_add(scene.engines[1].state->on_disk, g_strdup("m0"));
    g_assert_cmpstr(scene_choose(&scene, "m0"), ==, "e1");
    g_hash_table_add(scene.engines[0].state->in_memory, g_strdup("m0"));
    g_assert_cmpstr(scene_choose(&scene, "m0"), ==, "e0");
    scene_close(&scene);
}

static void test_placement_spares_what_is_used(void) {
    scene_t scene;
    scene_open(&scene);
    scene_hold(&scene, 0, 1);
    scene_hold(&scene, 0, 2);
    scene_hold(&scene, 1, 3);
    scene_hold(&scene, 1, 4);
    scene.uses[1].rate_per_s = scene.uses[2].rate_per_s = scene.uses[3].rate_per_s = 2;
    double cost_ms;
    const wb_model_spec_t *model = g_hash_table_lookup(scene.service->models, "m0");
    g_assert_cmpstr(scene_choose(&scene, "m0"), ==, "e1");
    g_autoptr(GPtrArray) victims =
        wb_placement_victims(&scene.snapshot, scene.engines[1].state, model, &cost_ms);
    g_assert_cmpuint(victims->len, ==, 1);
    g_assert_cmpstr(g_ptr_array_index(victims, 0), ==, "m4");
    scene.uses[4].waiting = 1; /* who waits for its last replica keeps it */
    g_assert_cmpstr(scene_choose(&scene, "m0"), !=, NULL);
    g_autoptr(GPtrArray) others =
        wb_placement_victims(&scene.snapshot, scene.engines[1].state, model, &cost_ms);
    g_assert_cmpstr(g_ptr_array_index(others, 0), ==, "m3");
    scene_close(&scene);
}

/* Engines whose adapters are asked for are spared, as a load holds adapters up. */
static void test_placement_spares_adapters(void) {
    scene_t scene;
    scene_open(&scene);
    scene_hold(&scene, 0, 1);
    scene_hold(&scene, 1, 2);
    scene.uses[1].adapter_rate_per_s = 3;
    g_assert_cmpstr(scene_choose(&scene, "m0"), ==, "e1");
    scene.uses[1].adapter_rate_per_s = 0;
    scene.uses[2].adapter_rate_per_s = 3;
    g_assert_cmpstr(scene_choose(&scene, "m0"), ==, "e0");
    scene_close(&scene);
}

/* Adding an engine and dropping one are judged by the same measure, so neither undoes the other. */
static void test_placement_gain_matches_cost(void) {
    scene_t scene;
    scene_open(&scene);
    scene_hold(&scene, 0, 1);
    scene_hold(&scene, 1, 1);
    scene_hold(&scene, 1, 2);
    scene.uses[1].rate_per_s = scene.uses[1].recent_rate_per_s = 8;
    scene.uses[1].work_per_s = scene.uses[1].recent_work_per_s = 60000;
    wb_model_use_t one = scene.uses[1];
    one.replicas = 1;
    g_assert_cmpuint(wb_placement_wanted_replicas(&one, &scene.snapshot.power), >, 1);
    double gain_ms = wb_placement_gain_ms(&one, &scene.snapshot.power, 1);
    double cost_ms;
    const wb_model_spec_t *model = g_hash_table_lookup(scene.service->models, "m0");
    g_autoptr(GPtrArray) victims =
        wb_placement_victims(&scene.snapshot, scene.engines[1].state, model, &cost_ms);
    g_assert_cmpstr(g_ptr_array_index(victims, 0), ==, "m2"); /* not the busy one's second */
    g_assert_cmpfloat(gain_ms, >, 1000);
    scene_close(&scene);
}

/* A model whose requests fill its engines' places is spread, though its prompts are short. */
static void test_placement_spreads_by_slots(void) {
    scene_t scene;
    scene_open(&scene);
    wb_engine_capacity_t power = {30, 24};
    wb_model_use_t use = {.rate_per_s = 45, .recent_rate_per_s = 45, .replicas = 2, .running = 20};
    use.work_per_s = use.recent_work_per_s = 9000;
    g_assert_cmpuint(wb_placement_wanted_replicas(&use, &power), <=, 2);
    g_assert_cmpfloat(wb_placement_gain_ms(&use, &power, 1), <, 100);
    use.running = 140; /* 70 at each of two engines that run 24 at once */
    g_assert_cmpuint(wb_placement_wanted_replicas(&use, &power), >=, 6);
    g_assert_cmpfloat(wb_placement_gain_ms(&use, &power, 1), >, 10000);
    power.slots = 0; /* not told: by prompts alone */
    g_assert_cmpuint(wb_placement_wanted_replicas(&use, &power), <=, 2);
    scene_close(&scene);
}

/* Of two engines, one twice as fast: a busy model takes the fast one, a rare one leaves it. */
static void test_placement_by_speed(void) {
    scene_t scene;
    scene_open(&scene);
    wb_placement_engine_t *places = (wb_placement_engine_t *)(void *)scene.snapshot.engines->data;
    places[0].speed = 0.8;
    places[1].speed = 1.8;
    scene.snapshot.replica_rate_per_s = 1;
    wb_model_use_t *busy = &scene.uses[0];
    *busy = (wb_model_use_t){.rate_per_s = 8, .replicas = 1, .running = 12, .speed = 0.8};
    g_assert_cmpstr(scene_choose(&scene, "m0"), ==, "e1");
    g_assert_true(wb_placement_engines_are_slow(busy, wb_placement_max_speed(&scene.snapshot)));
    wb_model_use_t *rare = &scene.uses[1];
    *rare = (wb_model_use_t){.rate_per_s = 0.2, .replicas = 1, .running = 0.4, .speed = 0.8};
    g_assert_cmpstr(scene_choose(&scene, "m1"), ==, "e0");
    /* One more replica is worth more at the fast engine, and nothing at a slower one than it has.
     */
    double fast_ms = wb_placement_gain_ms(busy, &scene.snapshot.power, 1.8);
    double slow_ms = wb_placement_gain_ms(busy, &scene.snapshot.power, 0.8);
    g_assert_cmpfloat(fast_ms, >, slow_ms);
    g_assert_cmpfloat(fast_ms, >, 5000);
    g_assert_cmpfloat(slow_ms, <, 100);
    busy->speed = 1.8;
    g_assert_false(wb_placement_engines_are_slow(busy, wb_placement_max_speed(&scene.snapshot)));
    scene_close(&scene);
}

/* What the weight store can't deliver now is loaded from an engine's disk or not at all. */
static void test_placement_waits_for_the_store(void) {
    scene_t scene;
    scene_open(&scene);
    scene.snapshot.store_loads_allowed = 0;
    g_assert_null(scene_choose(&scene, "m0"));
    g_hash_table_add(scene.engines[1].state->on_disk, g_strdup("m0"));
    g_assert_cmpstr(scene_choose(&scene, "m0"), ==, "e1");
    scene_close(&scene);
}

/* Room that an ordered load is about to take is not free for another one. */
static void test_placement_counts_ordered_loads(void) {
    scene_t scene;
    scene_open(&scene);
    scene_hold(&scene, 0, 1);
    scene_hold(&scene, 1, 2);
    scene_hold(&scene, 1, 3);
    g_assert_cmpstr(scene_choose(&scene, "m0"), ==, "e0"); /* it has room for one more */
    wb_placement_engine_t *place = &g_array_index(scene.snapshot.engines, wb_placement_engine_t, 0);
    place->pending_mb = 40;
    scene.uses[1].rate_per_s = 2;
    g_assert_cmpstr(scene_choose(&scene, "m0"), ==, "e1");
    scene_close(&scene);
}

/* What dropping the only replica of a model costs, on the first engine. */
static double scene_drop_cost_ms(scene_t *scene, const char *wanted) {
    double cost_ms;
    g_autoptr(GPtrArray) victims =
        wb_placement_victims(&scene->snapshot, scene->engines[0].state,
                             g_hash_table_lookup(scene->service->models, wanted), &cost_ms);
    g_assert_cmpuint(victims->len, ==, 1);
    return cost_ms;
}

/* A dropped model comes back from its engine's disk; without one, from the weight store. */
static void test_placement_reload_is_from_disk(void) {
    scene_t scene;
    scene_open(&scene);
    scene_hold(&scene, 0, 1);
    scene_hold(&scene, 0, 2);
    scene.uses[1].rate_per_s = scene.uses[2].rate_per_s = 1;
    double from_disk_ms = scene_drop_cost_ms(&scene, "m0");
    GHashTableIter iter;
    gpointer model;
    g_hash_table_iter_init(&iter, scene.service->models);
    while (g_hash_table_iter_next(&iter, NULL, &model)) {
        ((wb_model_spec_t *)model)->disk_load_ms = 0;
    }
    double from_store_ms = scene_drop_cost_ms(&scene, "m0");
    g_assert_cmpfloat(from_store_ms - from_disk_ms, >, 1000);
    scene_close(&scene);
}

/* Counts how many engines a choice asks about. */
static gboolean loading_counted(const wb_engine_t *engine, const char *model, void *context) {
    (void)engine;
    (void)model;
    ++*(unsigned *)context;
    return FALSE;
}

/* What a choice of a place costs doesn't grow with the fleet beyond a bound, and it still finds one
 * of the many good places. */
static void test_placement_judges_a_bounded_number(void) {
    static const guint sizes[] = {256, 2000, 10000, 20000, 40000};
    for (gsize i = 0; i < G_N_ELEMENTS(sizes); i++) {
        scene_t scene;
        unsigned asked = 0;
        scene_open(&scene);
        scene.snapshot.is_loading = loading_counted;
        scene.snapshot.context = &asked;
        g_array_set_size(scene.snapshot.engines, 0);
        g_autoptr(GPtrArray) states =
            g_ptr_array_new_with_free_func((GDestroyNotify)wb_engine_state_free);
        for (guint j = 0; j < sizes[i]; j++) {
            wb_engine_state_t *state = wb_engine_state_create("e");
            if (j % 20 == 0) {
                g_hash_table_add(state->on_disk, g_strdup("m0"));
            }
            g_ptr_array_add(states, state);
            wb_placement_engine_t place = {
                .engine = &scene.engines[0], .state = state, .available = TRUE};
            g_array_append_val(scene.snapshot.engines, place);
        }
        scene.snapshot.first = sizes[i] - 3;
        double cost_ms;
        double victims_ms;
        const wb_placement_engine_t *place =
            wb_placement_choose(&scene.snapshot, g_hash_table_lookup(scene.service->models, "m0"),
                                &cost_ms, &victims_ms);
        g_assert_true(g_hash_table_contains(place->state->on_disk, "m0"));
        g_assert_cmpuint(asked, ==, MIN(sizes[i], WB_PLACEMENT_MAX_CANDIDATES));
        scene_close(&scene);
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
