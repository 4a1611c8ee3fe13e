/* Guards against requests that wait too long for a model or adapter, or are refused although it
 * comes in time. */
#include "unit.h"

#include "request/exchange_internal.h"

#include <string.h>

#define TARGET_MS 800
#define LONG_LOAD_MS 60000

/* A node with one engine that holds model m1, and one request that no engine can serve yet. */
typedef struct fixture_t {
    wb_edge_t edge;
    wb_catalog_t *catalog;
    wb_route_t *route;
    wb_exchange_t *exchange;
    wb_controller_view_t view;
} fixture_t;

static wb_controller_view_t get_controller_view(void *context) {
    return ((fixture_t *)context)->view;
}

static void ignore_pending_demand(void *context) {
    (void)context;
}

static void fixture_init(fixture_t *fixture, const char *model, const char *adapter) {
    wb_error_t error;
    wb_edge_t *edge = &fixture->edge;
    memset(fixture, 0, sizeof(*fixture));
    g_assert_cmpint(wb_loop_create(&edge->loop, "test", 16, &error), ==, APR_SUCCESS);
    edge->fleet = wb_fleet_create();
    edge->demand = wb_demand_create();
    edge->expected = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    edge->on_pending_demand = ignore_pending_demand;
    edge->controller_view = get_controller_view;
    edge->node_context = fixture;
    wb_list_init(&edge->waiting);
    fixture->catalog = wb_catalog_create(1);
    wb_service_t *service = wb_catalog_add_service(fixture->catalog, "llm");
    for (int i = 1; i <= 2; i++) {
        g_autofree char *name = g_strdup_printf("m%d", i);
        wb_service_add_model(service, name)->store_load_ms = 500;
    }
    fixture->route = wb_catalog_add_route(fixture->catalog, "chat", "a.example", "/chat/");
    fixture->route->kind = WB_ROUTE_STREAM;
    fixture->route->target_latency_ms = TARGET_MS;
    wb_engine_state_t *state = wb_engine_state_create("e1");
    state->service = g_strdup("llm");
    state->address = g_strdup("127.0.0.1:1");
    state->zone = g_strdup("zone-1");
    wb_engine_state_add_model(state, "m1", 1);
    wb_fleet_announce(edge->fleet, state);
    wb_exchange_t *exchange = g_new0(wb_exchange_t, 1);
    exchange->edge = edge;
    exchange->route = fixture->route;
    exchange->service = service;
    exchange->id = "r1";
    exchange->model = g_strdup(model);
    exchange->adapter = g_strdup(adapter);
    exchange->tried = g_array_new(FALSE, FALSE, sizeof(wb_tried_engine_t));
    exchange->began_ms = wb_clock_ms();
    exchange->answer_due_ms = exchange->began_ms + 20000;
    fixture->exchange = exchange;
}

/* @return how long the request waits in ms; 0 when it is refused at once */
static int64_t fixture_wait_ms(fixture_t *fixture) {
    wb_exchange_wait(fixture->exchange);
    return MAX(fixture->exchange->wait_until_ms - wb_clock_ms(), 0);
}

static void test_model_that_comes_too_late(void) {
    fixture_t fixture;
    fixture_init(&fixture, "m2", "");
    wb_exchanges_expect_model(&fixture.edge, "llm", "m2", NULL, LONG_LOAD_MS);
    g_assert_cmpint(fixture_wait_ms(&fixture), ==, 0);
    g_assert_cmpint(wb_exchange_retry_after_ms(fixture.exchange), >, LONG_LOAD_MS - 1000);
}

/* A request that waits for an adapter isn't delayed by the load of another replica of its model. */
static void test_adapter_does_not_wait_for_a_replica(void) {
    fixture_t fixture;
    fixture_init(&fixture, "m1", "a1");
    wb_exchanges_expect_model(&fixture.edge, "llm", "m1", NULL, LONG_LOAD_MS);
    int64_t wait_ms = fixture_wait_ms(&fixture);
    g_assert_cmpint(wait_ms, >, TARGET_MS / 2);
    g_assert_cmpint(wait_ms, <, 4 * TARGET_MS);
    g_assert_cmpint(wb_exchange_retry_after_ms(fixture.exchange), <, 1000);
    /* Nor when the load is reported while it waits. */
    wb_exchanges_expect_model(&fixture.edge, "llm", "m1", NULL, LONG_LOAD_MS);
    g_assert_cmpint(fixture.exchange->wait_until_ms, >, wb_clock_ms());
}

static void test_nobody_decides(void) {
    fixture_t fixture;
    fixture_init(&fixture, "m2", "");
    fixture.view = (wb_controller_view_t){WB_CONTROLLER_TAKEOVER_PENDING, 5000};
    g_assert_cmpint(fixture_wait_ms(&fixture), ==, 0);
    g_assert_cmpint(wb_exchange_retry_after_ms(fixture.exchange), >=, 5500);
    fixture_init(&fixture, "m2", "");
    fixture.view = (wb_controller_view_t){WB_CONTROLLER_TAKEOVER_PENDING, 700};
    g_assert_cmpint(fixture_wait_ms(&fixture), >=, 1200);
}

/* Retry-After is computed from the fastest copy: from the engine's disk only when the model is on
 * that disk, else from the weight store. */
static void test_load_time_is_that_of_a_copy(void) {
    fixture_t fixture;
    fixture_init(&fixture, "m2", "");
    wb_model_spec_t *spec = g_hash_table_lookup(fixture.exchange->service->models, "m2");
    spec->store_load_ms = 13000;
    spec->disk_load_ms = 1000;
    fixture.view = (wb_controller_view_t){WB_CONTROLLER_TAKEOVER_PENDING, 700};
    g_assert_cmpint(fixture_wait_ms(&fixture), ==, 0);
    g_assert_cmpint(wb_exchange_retry_after_ms(fixture.exchange), >=, 13700);
    wb_engine_t *engine = wb_fleet_find(fixture.edge.fleet, "e1");
    g_hash_table_add(engine->state->on_disk, g_strdup("m2"));
    g_assert_cmpint(wb_exchange_retry_after_ms(fixture.exchange), <, 2000);
}

/* Without a controller a request is refused at once, also one that waits for an adapter, unless a
 * load that was reported before ends in time. */
static void test_controller_is_unreached(void) {
    static const wb_controller_view_t unreachable = {WB_CONTROLLER_UNREACHABLE, 300};
    fixture_t fixture;
    fixture_init(&fixture, "m2", "");
    fixture.view = unreachable;
    g_assert_cmpint(fixture_wait_ms(&fixture), ==, 0);
    g_assert_cmpint(wb_exchange_retry_after_ms(fixture.exchange), ==, 300);
    fixture_init(&fixture, "m1", "a1");
    fixture.view = unreachable;
    g_assert_cmpint(fixture_wait_ms(&fixture), ==, 0);
    fixture_init(&fixture, "m2", "");
    fixture.view = unreachable;
    wb_exchanges_expect_model(&fixture.edge, "llm", "m2", NULL, 500);
    g_assert_cmpint(fixture_wait_ms(&fixture), >=, 500);
}

/* A node without a configuration sends a short Retry-After. */
static void test_no_catalog(void) {
    fixture_t fixture;
    fixture_init(&fixture, "m2", "");
    fixture.exchange->route = NULL;
    g_assert_cmpint(wb_exchange_retry_after_ms(fixture.exchange), ==, 700);
}

/* Without load reports a request waits until its answer would be late. An overdue load doesn't
 * shorten the wait; a reported later one extends it. */
static void test_late_load_is_waited_for(void) {
    fixture_t fixture;
    fixture_init(&fixture, "m2", "");
    fixture.route->target_latency_ms = 2500;
    int64_t wait_ms = fixture_wait_ms(&fixture);
    g_assert_cmpint(wait_ms, >=, 2250);
    g_assert_cmpint(wait_ms, <=, 2500);
    wb_exchanges_expect_model(&fixture.edge, "llm", "m2", NULL, 100);
    g_assert_cmpint(fixture.exchange->wait_until_ms - wb_clock_ms(), >=, wait_ms - 50);
    wb_exchanges_expect_model(&fixture.edge, "llm", "m2", NULL, 4000);
    g_assert_cmpint(fixture.exchange->wait_until_ms - wb_clock_ms(), >=, 4600);
}

/* With a short target a request still waits long enough for the controller's decision and a load
 * (0.5 s). */
static void test_decision_is_waited_for(void) {
    fixture_t fixture;
    fixture_init(&fixture, "m2", "");
    fixture.route->target_latency_ms = 100;
    int64_t wait_ms = fixture_wait_ms(&fixture);
    g_assert_cmpint(wait_ms, >, 1000);
    g_assert_cmpint(wait_ms, <=, 1100);
}

static void add_tried_engine(wb_exchange_t *exchange, const char *engine, int64_t eligible_at_ms) {
    wb_tried_engine_t tried = {g_strdup(engine), eligible_at_ms};
    g_array_append_val(exchange->tried, tried);
}

/* A request that engines refused waits until an engine becomes available again; if none will, the
 * request is refused at once. */
static void test_engine_that_opens(void) {
    fixture_t fixture;
    fixture_init(&fixture, NULL, "");
    fixture.route->kind = WB_ROUTE_ONCE;
    g_assert_cmpint(fixture_wait_ms(&fixture), ==, 0);
    wb_exchange_stop_waiting(fixture.exchange);
    add_tried_engine(fixture.exchange, "e1", 0);
    g_assert_cmpint(fixture_wait_ms(&fixture), ==, 0);
    wb_exchange_stop_waiting(fixture.exchange);
    add_tried_engine(fixture.exchange, "e1", wb_clock_ms() + 120);
    int64_t wait_ms = fixture_wait_ms(&fixture);
    g_assert_cmpint(wait_ms, >=, 120);
    g_assert_cmpint(wait_ms, <, 250);
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
