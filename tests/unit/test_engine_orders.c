/* Guards against an engine that refuses only this node, while it loads a model, being taken for one
 * that the load has crashed. */
#include "unit.h"

#include "control/engine_orders.h"

#include "wickbridge/catalog.h"
#include "wickbridge/http_listener.h"

#include <string.h>

#define MODEL "m1"
#define LOAD_MS 100
/* Time for an order, the check of its load, and three failed calls. */
#define SETTLE_MS 1500

typedef struct fixture_t {
    wb_loop_t *loop;
    wb_http_listener_t *listener; /* of the engine; NULL: its address refuses connections */
    wb_edge_settings_t settings;
    wb_edge_metrics_t metrics;
    wb_service_t *service;
    gboolean cut_off;
    guint calls_failed;
    guint loads_crashed;
} fixture_t;

/* The engine: idle and empty. It accepts an order, and refuses connections from then on. */

static void engine_end(void *context) {
    fixture_t *fixture = context;
    wb_http_listener_close(fixture->listener);
    fixture->listener = NULL;
}

static void on_request(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                       void *context) {
    fixture_t *fixture = context;
    gboolean is_order = strcmp(head->method, "POST") == 0;
    wb_http_head_free(head);
    g_byte_array_unref(body);
    wb_http_connection_reply(connection, is_order ? 202 : 200, "OK", "", "", 0);
    if (is_order)
        wb_loop_after(fixture->loop, LOAD_MS / 2, engine_end, fixture);
}

static void on_client_left(wb_http_connection_t *connection, void *request, void *context) {
    (void)connection;
    (void)request;
    (void)context;
}

static wb_engine_state_t *report_parse(const char *engine_id, const char *body, size_t length) {
    (void)body;
    (void)length;
    wb_engine_state_t *state = wb_engine_state_create(engine_id);
    state->reported = TRUE;
    return state;
}

static char *order_body(const wb_order_t *order) {
    return g_strdup(order->model);
}

static const wb_dialect_t dialect = {.expected_engine = "Expected-Engine",
                                     .not_run = "Not-Run",
                                     .seal = "Seal",
                                     .engine_load = "Load",
                                     .engine_limit = "Limit",
                                     .engine_brittle = "Brittle",
                                     .engine_draining = "Draining",
                                     .report_target = "/report",
                                     .order_target = "/order",
                                     .order_body = order_body,
                                     .report_parse = report_parse};

/* The controller. */

static gboolean may_act(void *context) {
    (void)context;
    return TRUE;
}

static int64_t authorize_order(const char *engine, void *context) {
    (void)engine;
    (void)context;
    return 0;
}

static GPtrArray *pick_victims(const wb_engine_state_t *state, const char *model, void *context) {
    (void)state;
    (void)model;
    (void)context;
    return g_ptr_array_new();
}

static const wb_service_t *service_find(const char *name, void *context) {
    (void)name;
    return ((fixture_t *)context)->service;
}

static gboolean store_allows_load(const char *service, void *context) {
    (void)service;
    (void)context;
    return TRUE;
}

static unsigned store_load_started(const char *service, void *context) {
    (void)service;
    (void)context;
    return 1;
}

static void load_crashed(const wb_engine_t *engine, const char *model, void *context) {
    (void)engine;
    g_assert_cmpstr(model, ==, MODEL);
    ((fixture_t *)context)->loads_crashed++;
}

static uint64_t token(void *context) {
    (void)context;
    return 1;
}

static void call_failed(wb_engine_t *engine, void *context) {
    (void)engine;
    ((fixture_t *)context)->calls_failed++;
}

static gboolean may_be_cut_off(const wb_engine_t *engine, void *context) {
    (void)engine;
    return ((fixture_t *)context)->cut_off;
}

static void quit(void *context) {
    wb_loop_quit(context);
}

static wb_engine_t *engine_announce(const fixture_t *fixture, wb_fleet_t *fleet) {
    wb_engine_state_t *state = wb_engine_state_create("e1");
    state->service = g_strdup("llm");
    state->address = g_strdup_printf("127.0.0.1:%u", wb_http_listener_port(fixture->listener));
    state->zone = g_strdup("zone-1");
    state->slots = 1;
    return wb_fleet_announce(fleet, state);
}

/* Orders a load, during which the engine begins to refuse connections. */
static void fixture_run(fixture_t *fixture) {
    const wb_http_handler_t handler = {on_request, on_client_left, NULL, fixture};
    const wb_http_limits_t limits = {4096, 4096, 5000, 5000};
    const wb_engine_orders_owner_t owner = {.may_act = may_act,
                                            .authorize_order = authorize_order,
                                            .pick_victims = pick_victims,
                                            .service = service_find,
                                            .store_allows_load = store_allows_load,
                                            .store_load_started = store_load_started,
                                            .load_crashed = load_crashed,
                                            .token = token,
                                            .call_failed = call_failed,
                                            .may_be_cut_off = may_be_cut_off,
                                            .context = fixture};
    wb_error_t error;
    fixture->settings = (wb_edge_settings_t){.id = "n1",
                                             .connect_timeout_ms = 100,
                                             .silence_limit_ms = 1000,
                                             .order_timeout_ms = 500,
                                             .drain_ms = 1000};
    g_assert_cmpint(wb_loop_create(&fixture->loop, "test", 64, &error), ==, APR_SUCCESS);
    g_assert_cmpint(wb_http_listener_open(fixture->loop, "127.0.0.1:0", &handler, &limits,
                                          &fixture->listener, &error),
                    ==, APR_SUCCESS);
    wb_catalog_t *catalog = wb_catalog_create(1);
    fixture->service = wb_catalog_add_service(catalog, "llm");
    wb_model_spec_t *model = wb_service_add_model(fixture->service, MODEL);
    model->store_load_ms = LOAD_MS;
    model->weights_mb = 1;
    wb_fleet_t *fleet = wb_fleet_create();
    wb_engine_orders_t *orders =
        wb_engine_orders_create(fixture->loop, &fixture->settings, &dialect,
                                engine_announce(fixture, fleet), &fixture->metrics, &owner);
    wb_engine_orders_add(orders, MODEL, "");
    wb_loop_after(fixture->loop, SETTLE_MS, quit, fixture->loop);
    wb_loop_run(fixture->loop);
    g_assert_null(fixture->listener);
    g_assert_false(wb_engine_orders_is_busy(orders));
    g_assert_true(wb_engine_orders_is_unreachable(orders));
    wb_engine_orders_free(orders);
}

/* The owner is asked to find out who reaches the engine before its end counts as a crash. */
static void test_refused_by_ended_engine(void) {
    fixture_t fixture = {.cut_off = FALSE};
    fixture_run(&fixture);
    g_assert_cmpuint(fixture.loads_crashed, ==, 1);
    g_assert_cmpuint(fixture.calls_failed, ==, 1);
}

static void test_refused_by_a_cut(void) {
    fixture_t fixture = {.cut_off = TRUE};
    fixture_run(&fixture);
    g_assert_cmpuint(fixture.loads_crashed, ==, 0);
    g_assert_cmpuint(fixture.calls_failed, ==, 3);
}

static void tests_add(void) {
    g_test_add_func("/engine-orders/refused-by-ended-engine", test_refused_by_ended_engine);
    g_test_add_func("/engine-orders/refused-by-a-cut", test_refused_by_a_cut);
}

UNIT_TEST_MAIN(tests_add)
