/* Guards against a cell that sends orders too early, loads a model twice or keeps idle replicas. No
 * clock or network. */
#include "unit.h"

#include "wickbridge/cell.h"

#include <string.h>

typedef struct fixture_t {
    wb_record_t *record;
    wb_cell_t *cell;
    uint64_t sequence;
    GPtrArray *orders; /* "action model engine" */
    uint64_t fences[4];
    wb_route_state_t route_state;
    int64_t estimate_ms;
} fixture_t;

static uint64_t propose(const wb_wire_command *command, void *context) {
    fixture_t *fixture = context;
    wb_record_apply(fixture->record, command, 0);
    return ++fixture->sequence;
}

static void record_order(const wb_order_t *order, void *context) {
    static const char *const names[] = {"fence", "load", "unload"};
    fixture_t *fixture = context;
    fixture->fences[order->engine[1] - '0'] = order->fence;
    g_ptr_array_add(fixture->orders,
                    g_strdup_printf("%s %s %s", names[order->action],
                                    order->model != NULL ? order->model : "-", order->engine));
}

static void record_route(const char *node, const wb_route_t *route, void *context) {
    (void)node;
    ((fixture_t *)context)->route_state = route->state;
    ((fixture_t *)context)->estimate_ms = route->estimate_ms;
}

static wb_config_t *config_create(const char *text) {
    json_t *objects = json_loads(text, 0, NULL);
    wb_config_t *config = NULL;
    g_assert_cmpint(wb_config_parse(objects, 1, &config, NULL, NULL), ==, APR_SUCCESS);
    json_decref(objects);
    return config;
}

static fixture_t *fixture_create(const char *config_text, int64_t now_ms) {
    fixture_t *fixture = g_new0(fixture_t, 1);
    wb_cell_options_t options = {"s/0", 4, 250, 120, 30};
    wb_cell_events_t events = {propose, record_order, record_route, fixture};
    wb_config_t *config = config_create(config_text);
    fixture->record = wb_record_create();
    fixture->orders = g_ptr_array_new_with_free_func(g_free);
    fixture->cell = wb_cell_create(&options, fixture->record, 5, &events, now_ms);
    wb_cell_set_config(fixture->cell, config);
    wb_config_unref(config);
    return fixture;
}

static void fixture_free(fixture_t *fixture) {
    wb_cell_free(fixture->cell);
    wb_record_free(fixture->record);
    g_ptr_array_unref(fixture->orders);
    g_free(fixture);
}

static wb_inventory_t *create_inventory(const char *engine, int64_t sequence,
                                        int64_t capacity_mib) {
    wb_inventory_t *inventory = wb_inventory_create(engine);
    inventory->sequence = sequence;
    inventory->capacity_bytes = capacity_mib * WB_MIB;
    inventory->batch = 4;
    return inventory;
}

static void add_engine(fixture_t *fixture, const char *engine, int64_t now_ms) {
    wb_cell_set_machine(fixture->cell, engine, "127.0.0.1:1", "zone", WB_MACHINE_LIVE, now_ms);
    wb_cell_step(fixture->cell, now_ms);
    wb_cell_order_done(fixture->cell, engine, fixture->fences[engine[1] - '0'], WB_ORDER_ACCEPTED,
                       create_inventory(engine, 1, 1000), now_ms);
}

static const char config_two[] = "{\"service/s\":{\"keep_alive_ms\":1000},\"model/m\":{\"service\":"
                                 "\"s\",\"memory_mib\":600,\"max_replicas\":1}}";

static void set_demand(fixture_t *fixture, int waiting, int64_t now_ms) {
    wb_demand_t demand = {"gateway", "m", "", waiting, 0, 0};
    wb_cell_update_demand(fixture->cell, &demand, now_ms);
}

static void test_load_waits_for_the_commit(void) {
    fixture_t *fixture = fixture_create(config_two, 0);
    add_engine(fixture, "e1", 0);
    set_demand(fixture, 1, 10);
    g_assert_cmpuint(wb_record_slot_count(fixture->record, "m"), ==, 1);
    g_assert_cmpuint(fixture->orders->len, ==, 1); /* the fence only */
    wb_cell_set_committed(fixture->cell, fixture->sequence);
    wb_cell_step(fixture->cell, 20);
    g_assert_cmpstr(fixture->orders->pdata[1], ==, "load m e1");
    fixture_free(fixture);
}

/* After a lost answer no order is sent to the engine until its fence has been raised. */
static void test_lost_answer_is_fenced(void) {
    fixture_t *fixture = fixture_create(config_two, 0);
    add_engine(fixture, "e1", 0);
    set_demand(fixture, 1, 10);
    wb_cell_set_committed(fixture->cell, fixture->sequence);
    wb_cell_step(fixture->cell, 20);
    wb_cell_order_done(fixture->cell, "e1", fixture->fences[1], WB_ORDER_NO_RESPONSE, NULL, 30);
    wb_cell_step(fixture->cell, 40);
    g_assert_cmpuint(fixture->orders->len, ==, 2);
    wb_cell_step(fixture->cell, 1000);
    g_assert_cmpstr(fixture->orders->pdata[2], ==, "fence - e1");
    fixture_free(fixture);
}

/* An unreachable engine keeps its slot: the model isn't loaded elsewhere. */
static void test_unreachable_engine_keeps_its_slot(void) {
    fixture_t *fixture = fixture_create(config_two, 0);
    add_engine(fixture, "e1", 0);
    set_demand(fixture, 1, 10);
    wb_cell_set_committed(fixture->cell, fixture->sequence);
    wb_cell_step(fixture->cell, 20);
    wb_cell_order_done(fixture->cell, "e1", fixture->fences[1], WB_ORDER_NO_RESPONSE, NULL, 30);
    wb_cell_set_engine_reachable(fixture->cell, "e1", FALSE);
    add_engine(fixture, "e2", 40);
    set_demand(fixture, 5, 3000);
    wb_cell_set_committed(fixture->cell, fixture->sequence);
    wb_cell_step(fixture->cell, 3100);
    g_assert_true(wb_record_has_slot(fixture->record, "m", "e1"));
    g_assert_false(wb_record_has_slot(fixture->record, "m", "e2"));
    /* Once its machine is removed, the slot moves to another engine. */
    wb_cell_set_machine(fixture->cell, "e1", "", "", WB_MACHINE_REMOVED, 3200);
    wb_cell_step(fixture->cell, 3200);
    g_assert_false(wb_record_has_slot(fixture->record, "m", "e1"));
    g_assert_true(wb_record_has_slot(fixture->record, "m", "e2"));
    fixture_free(fixture);
}

/* An idle replica is unloaded after its keep-alive; its slot is released when the engine no longer
 * holds the model. */
static void test_idle_replica_goes(void) {
    fixture_t *fixture = fixture_create(config_two, 0);
    add_engine(fixture, "e1", 0);
    set_demand(fixture, 1, 10);
    wb_cell_set_committed(fixture->cell, fixture->sequence);
    wb_cell_step(fixture->cell, 20);
    wb_inventory_t *loaded = create_inventory("e1", 2, 1000);
    wb_inventory_add_model(loaded, "m", 600 * WB_MIB, WB_LOAD_LOADED);
    wb_cell_order_done(fixture->cell, "e1", fixture->fences[1], WB_ORDER_ACCEPTED, loaded, 30);
    set_demand(fixture, 0, 40);
    g_assert_cmpint(fixture->route_state, ==, WB_ROUTE_READY);
    wb_cell_step(fixture->cell, 900);
    g_assert_cmpuint(fixture->orders->len, ==, 2);
    wb_cell_step(fixture->cell, 1200);
    wb_cell_step(fixture->cell, 1210);
    g_assert_cmpstr(fixture->orders->pdata[2], ==, "unload m e1");
    g_assert_true(wb_record_has_slot(fixture->record, "m", "e1"));
    wb_cell_order_done(fixture->cell, "e1", fixture->fences[1], WB_ORDER_ACCEPTED,
                       create_inventory("e1", 3, 1000), 1220);
    wb_cell_step(fixture->cell, 1230);
    g_assert_false(wb_record_has_slot(fixture->record, "m", "e1"));
    fixture_free(fixture);
}

/* The estimate of an overdue load grows instead of staying near zero. */
static void test_late_load_is_estimated_later(void) {
    fixture_t *fixture = fixture_create(config_two, 0);
    add_engine(fixture, "e1", 0);
    set_demand(fixture, 1, 10);
    wb_cell_set_committed(fixture->cell, fixture->sequence);
    wb_cell_step(fixture->cell, 20);
    wb_inventory_t *loading = create_inventory("e1", 2, 1000);
    wb_inventory_add_model(loading, "m", 600 * WB_MIB, WB_LOAD_LOADING);
    wb_cell_order_done(fixture->cell, "e1", fixture->fences[1], WB_ORDER_ACCEPTED, loading, 30);
    set_demand(fixture, 1, 40);
    g_assert_cmpint(fixture->route_state, ==, WB_ROUTE_LOADING);
    g_assert_cmpint(fixture->estimate_ms, <, 300);
    set_demand(fixture, 1, 10020);
    g_assert_cmpint(fixture->route_state, ==, WB_ROUTE_LOADING);
    g_assert_cmpint(fixture->estimate_ms, >=, 10000);
    fixture_free(fixture);
}

static void test_no_engine_is_refused(void) {
    fixture_t *fixture = fixture_create(config_two, 0);
    set_demand(fixture, 1, 10000);
    g_assert_cmpint(fixture->route_state, ==, WB_ROUTE_UNAVAILABLE);
    fixture_free(fixture);
}

static void tests_add(void) {
    g_test_add_func("/cell/load-waits-for-the-commit", test_load_waits_for_the_commit);
    g_test_add_func("/cell/lost-answer-is-fenced", test_lost_answer_is_fenced);
    g_test_add_func("/cell/unreachable-engine-keeps-its-slot",
                    test_unreachable_engine_keeps_its_slot);
    g_test_add_func("/cell/idle-replica-goes", test_idle_replica_goes);
    g_test_add_func("/cell/late-load-is-estimated-later", test_late_load_is_estimated_later);
    g_test_add_func("/cell/no-engine-is-refused", test_no_engine_is_refused);
}

UNIT_TEST_MAIN(tests_add)
