/* How long a request waits for its model or adapter, and when it is refused at once. */
#include "unit.h"

#include "request/exchange_internal.h"

#include <string.h>

#define TARGET_MS 800
#define LONG_LOAD_MS 60000

/* A node that knows one engine with model m1, and one request that no engine can take. */
typedef struct scene_t {
    wb_edge_t edge;
    wb_catalog_t *catalog;
    wb_route_t *route;
    wb_exchange_t *exchange;
    wb_controller_view_t view;
} scene_t;

static wb_controller_view_t view_of(void *context) {
    return ((scene_t *)context)->view;
}

static void need_ignore(void *context) {
    (void)context;
}

static void scene_open(scene_t *scene, const char *model, const char *adapter) {
    wb_error_t error;
    wb_edge_t *edge = &scene->edge;
    memset(scene, 0, sizeof(*scene));
    g_assert_cmpint(wb_loop_create(&edge->loop, "test", 16, &error), ==, APR_SUCCESS);
    edge->fleet = wb_fleet_create();
    edge->demand = wb_demand_create();
    edge->expected = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    edge->on_pending_demand = need_ignore;
    edge->controller_view = view_of;
    edge->node_context = scene;
    wb_list_init(&edge->waiting);
    scene->catalog = wb_catalog_create(1);
    wb_service_t *service = wb_catalog_add_service(scene->catalog, "llm");
    for (int i = 1; i <= 2; i++) {
        g_autofree char *name = g_strdup_printf("m%d", i);
        wb_service_add_model(service, name)->store_load_ms = 500;
    }
    scene->route = wb_catalog_add_route(scene->catalog, "chat", "a.example", "/chat/");
    scene->route->kind = WB_ROUTE_STREAM;
    scene->route->target_latency_ms = TARGET_MS;
    wb_engine_state_t *state = wb_engine_state_create("e1");
    state->service = g_strdup("llm");
    state->address = g_strdup("127.0.0.1:1");
    state->zone = g_strdup("zone-1");
    wb_engine_state_add_model(state, "m1", 1);
    wb_fleet_announce(edge->fleet, state);
    wb_exchange_t *exchange = g_new0(wb_exchange_t, 1);
    exchange->edge = edge;
    exchange->route = scene->route;
    exchange->service = service;
    exchange->id = "r1";
    exchange->model = g_strdup(model);
    exchange->adapter = g_strdup(adapter);
    exchange->tried = g_array_new(FALSE, FALSE, sizeof(wb_tried_engine_t));
    exchange->began_ms = wb_clock_ms();
    exchange->answer_due_ms = exchange->began_ms + 20000;
    scene->exchange = exchange;
}

/* Returns how long the request would wait; 0 when it is refused at once. */
static int64_t scene_wait(scene_t *scene) {
    wb_exchange_wait(scene->exchange);
    return MAX(scene->exchange->wait_until_ms - wb_clock_ms(), 0);
}

static void test_model_that_comes_too_late(void) {
    scene_t scene;
    scene_open(&scene, "m2", "");
    wb_exchanges_expect_model(&scene.edge, "llm", "m2", LONG_LOAD_MS);
    g_assert_cmpint(scene_wait(&scene), ==, 0);
    g_assert_cmpint(wb_exchange_retry_after_ms(scene.exchange), >, LONG_LOAD_MS - 1000);
}

/* One more engine that loads the model is nothing to a request whose adapter comes to the first. */
static void test_adapter_does_not_wait_for_a_replica(void) {
    scene_t scene;
    scene_open(&scene, "m1", "a1");
    wb_exchanges_expect_model(&scene.edge, "llm", "m1", LONG_LOAD_MS);
    int64_t waits_ms = scene_wait(&scene);
    g_assert_cmpint(waits_ms, >, TARGET_MS / 2);
    g_assert_cmpint(waits_ms, <, 4 * TARGET_MS);
    g_assert_cmpint(wb_exchange_retry_after_ms(scene.exchange), <, 1000);
    /* Nor when the load is told while it waits. */
    wb_exchanges_expect_model(&scene.edge, "llm", "m1", LONG_LOAD_MS);
    g_assert_cmpint(scene.exchange->wait_until_ms, >, wb_clock_ms());
}

static void test_nobody_decides(void) {
    scene_t scene;
    scene_open(&scene, "m2", "");
    scene.view = (wb_controller_view_t){WB_CONTROLLER_TAKEOVER_PENDING, 5000};
    g_assert_cmpint(scene_wait(&scene), ==, 0);
    g_assert_cmpint(wb_exchange_retry_after_ms(scene.exchange), >=, 5500);
    scene_open(&scene, "m2", "");
    scene.view = (wb_controller_view_t){WB_CONTROLLER_TAKEOVER_PENDING, 700};
    g_assert_cmpint(scene_wait(&scene), >=, 1200);
}

/* The time until a load is done is that of the copy nearest at hand; without one it comes from the
 * weight store, however quick disks are. */
static void test_load_time_is_that_of_a_copy(void) {
    scene_t scene;
    scene_open(&scene, "m2", "");
    wb_model_spec_t *spec = g_hash_table_lookup(scene.exchange->service->models, "m2");
    spec->store_load_ms = 13000;
    spec->disk_load_ms = 1000;
    scene.view = (wb_controller_view_t){WB_CONTROLLER_TAKEOVER_PENDING, 700};
    g_assert_cmpint(scene_wait(&scene), ==, 0);
    g_assert_cmpint(wb_exchange_retry_after_ms(scene.exchange), >=, 13700);
    wb_engine_t *engine = wb_fleet_find(scene.edge.fleet, "e1");
    g_hash_table_add(engine->state->on_disk, g_strdup("m2"));
    g_assert_cmpint(wb_exchange_retry_after_ms(scene.exchange), <, 2000);
}

/* A node that can't reach the controller refuses at once, also what waits for an adapter, unless a
 * load that it was told of comes in time. */
static void test_controller_is_unreached(void) {
    static const wb_controller_view_t unreached = {WB_CONTROLLER_UNREACHABLE, 300};
    scene_t scene;
    scene_open(&scene, "m2", "");
    scene.view = unreached;
    g_assert_cmpint(scene_wait(&scene), ==, 0);
    g_assert_cmpint(wb_exchange_retry_after_ms(scene.exchange), ==, 300);
    scene_open(&scene, "m1", "a1");
    scene.view = unreached;
    g_assert_cmpint(scene_wait(&scene), ==, 0);
    scene_open(&scene, "m2", "");
    scene.view = unreached;
    wb_exchanges_expect_model(&scene.edge, "llm", "m2", 500);
    g_assert_cmpint(scene_wait(&scene), >=, 500);
}

/* A node without a configuration has one soon, but not at once. */
static void test_no_catalog(void) {
    scene_t scene;
    scene_open(&scene, "m2", "");
    scene.exchange->route = NULL;
    g_assert_cmpint(wb_exchange_retry_after_ms(scene.exchange), ==, 700);
}

/* Without any news a request waits until its answer would be late, and a load that is late doesn't
 * shorten that; one that is told lengthens it. */
static void test_late_load_is_waited_for(void) {
    scene_t scene;
    scene_open(&scene, "m2", "");
    scene.route->target_latency_ms = 2500;
    int64_t patience_ms = scene_wait(&scene);
    g_assert_cmpint(patience_ms, >=, 2250);
    g_assert_cmpint(patience_ms, <=, 2500);
    wb_exchanges_expect_model(&scene.edge, "llm", "m2", 100);
    g_assert_cmpint(scene.exchange->wait_until_ms - wb_clock_ms(), >=, patience_ms - 50);
    wb_exchanges_expect_model(&scene.edge, "llm", "m2", 4000);
    g_assert_cmpint(scene.exchange->wait_until_ms - wb_clock_ms(), >=, 4600);
}

/* A short target: who decides on loads must have had time to answer, and a load (0.5 s) to end. */
static void test_decision_is_waited_for(void) {
    scene_t scene;
    scene_open(&scene, "m2", "");
    scene.route->target_latency_ms = 100;
    int64_t waits_ms = scene_wait(&scene);
    g_assert_cmpint(waits_ms, >, 1000);
    g_assert_cmpint(waits_ms, <=, 1100);
}

static void tried_add(wb_exchange_t *exchange, const char *engine, int64_t eligible_at_ms) {
    wb_tried_engine_t tried = {g_strdup(engine), eligible_at_ms};
    g_array_append_val(exchange->tried, tried);
}

/* Any engine will do: who was turned away waits until one is open again; when none will be, nothing
 * is waited for. */
static void test_engine_that_opens(void) {
    scene_t scene;
    scene_open(&scene, NULL, "");
    scene.route->kind = WB_ROUTE_ONCE;
    g_assert_cmpint(scene_wait(&scene), ==, 0);
    wb_exchange_stop_waiting(scene.exchange);
    tried_add(scene.exchange, "e1", 0);
    g_assert_cmpint(scene_wait(&scene), ==, 0);
    wb_exchange_stop_waiting(scene.exchange);
    tried_add(scene.exchange, "e1", wb_clock_ms() + 120);
    int64_t waits_ms = scene_wait(&scene);
    g_assert_cmpint(waits_ms, >=, 120);
    g_assert_cmpint(waits_ms, <, 250);
}

static void tests_add(void) {
    g_test_add_func("/exchange-wait/model-that-comes-too-late", test_model_that_comes_too_late);
    g_test_add_func("/exchange-wait/adapter-does-not-wait-for-a-replica",
                    test_adapter_does_not_wait_for_a_replica);
    g_test_add_func("/exchange-wait/late-load-is-waited-for", test_late_load_is_waited_for);
    g_test_add_func("/exchange-wait/decision-is-waited-for", test_decision_is_waited_for);
    g_test_add_func("/exchange-wait/engine-that-opens", test_engine_that_opens);
    g_test_add_func("/exchange-wait/nobody-decides", test_nobody_decides);
    g_test_add_func("/exchange-wait/no-catalog", test_no_catalog);
    g_test_add_func("/exchange-wait/load-time-is-that-of-a-copy", test_load_time_is_that_of_a_copy);
    g_test_add_func("/exchange-wait/controller-is-unreached", test_controller_is_unreached);
}

UNIT_TEST_MAIN(tests_add)
