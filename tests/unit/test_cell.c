/* A cell's decisions, step by step, without any clock or network. */
#include "unit.h"

#include "wickbridge/cell.h"

#include <string.h>

typedef struct bench_t {
    wb_record_t *record;
    wb_cell_t *cell;
    uint64_t sequence;
    GPtrArray *orders; /* "action model engine" */
    uint64_t fences[4];
    wb_route_state_t shown;
    int64_t estimate_ms;
} bench_t;

static uint64_t propose(const wb_wire_command *command, void *context) {
    bench_t *bench = context;
    wb_record_apply(bench->record, command, 0);
    return ++bench->sequence;
}

static void order(const wb_order_t *sent, void *context) {
    static const char *const names[] = {"fence", "load", "unload"};
    bench_t *bench = context;
    bench->fences[sent->engine[1] - '0'] = sent->fence;
    g_ptr_array_add(bench->orders,
                    g_strdup_printf("%s %s %s", names[sent->action],
                                    sent->model != NULL ? sent->model : "-", sent->engine));
}

static void show(const char *node, const wb_route_t *route, void *context) {
    (void)node;
    ((bench_t *)context)->shown = route->state;
    ((bench_t *)context)->estimate_ms = route->estimate_ms;
}

static wb_config_t *config_create(const char *text) {
    json_t *objects = json_loads(text, 0, NULL);
    wb_config_t *config = NULL;
    g_assert_cmpint(wb_config_parse(objects, 1, &config, NULL, NULL), ==, APR_SUCCESS);
    json_decref(objects);
    return config;
}

static bench_t *bench_create(const char *config_text, int64_t now_ms) {
    bench_t *bench = g_new0(bench_t, 1);
    wb_cell_options_t options = {"s/0", 4, 250, 120, 30};
    wb_cell_events_t events = {propose, order, show, bench};
    wb_config_t *config = config_create(config_text);
    bench->record = wb_record_create();
    bench->orders = g_ptr_array_new_with_free_func(g_free);
    bench->cell = wb_cell_create(&options, bench->record, 5, &events, now_ms);
    wb_cell_set_config(bench->cell, config);
    wb_config_unref(config);
    return bench;
}

static void bench_free(bench_t *bench) {
    wb_cell_free(bench->cell);
    wb_record_free(bench->record);
    g_ptr_array_unref(bench->orders);
    g_free(bench);
}

static wb_inventory_t *inventory(const char *engine, int64_t sequence, int64_t capacity_mib) {
    wb_inventory_t *created = wb_inventory_create(engine);
    created->sequence = sequence;
    created->capacity_bytes = capacity_mib * WB_MIB;
    created->batch = 4;
    return created;
}

static void engine_join(bench_t *bench, const char *engine, int64_t now_ms) {
    wb_cell_set_machine(bench->cell, engine, "127.0.0.1:1", "zone", WB_MACHINE_LIVE, now_ms);
    wb_cell_step(bench->cell, now_ms);
    wb_cell_order_done(bench->cell, engine, bench->fences[engine[1] - '0'], WB_ORDER_ACCEPTED,
                       inventory(engine, 1, 1000), now_ms);
}

static const char config_two[] = "{\"service/s\":{\"keep_alive_ms\":1000},\"model/m\":{\"service\":"
                                 "\"s\",\"memory_mib\":600,\"max_replicas\":1}}";

static void ask(bench_t *bench, int waiting, int64_t now_ms) {
    wb_demand_t demand = {"gateway", "m", "", waiting, 0, 0};
    wb_cell_update_demand(bench->cell, &demand, now_ms);
}

static void test_load_waits_for_the_commit(void) {
    bench_t *bench = bench_create(config_two, 0);
    engine_join(bench, "e1", 0);
    ask(bench, 1, 10);
    g_assert_cmpuint(wb_record_slot_count(bench->record, "m"), ==, 1);
    g_assert_cmpuint(bench->orders->len, ==, 1); /* the fence only */
    wb_cell_set_committed(bench->cell, bench->sequence);
    wb_cell_step(bench->cell, 20);
    g_assert_cmpstr(bench->orders->pdata[1], ==, "load m e1");
    bench_free(bench);
}

/* A lost answer: nothing else is ordered there before the fence was raised again. */
static void test_lost_answer_is_fenced(void) {
    bench_t *bench = bench_create(config_two, 0);
    engine_join(bench, "e1", 0);
    ask(bench, 1, 10);
    wb_cell_set_committed(bench->cell, bench->sequence);
    wb_cell_step(bench->cell, 20);
    wb_cell_order_done(bench->cell, "e1", bench->fences[1], WB_ORDER_NO_RESPONSE, NULL, 30);
    wb_cell_step(bench->cell, 40);
    g_assert_cmpuint(bench->orders->len, ==, 2);
    wb_cell_step(bench->cell, 1000);
    g_assert_cmpstr(bench->orders->pdata[2], ==, "fence - e1");
    bench_free(bench);
}

/* An unreachable engine keeps its slot: the model isn't loaded elsewhere. */
static void test_unreachable_engine_keeps_its_slot(void) {
    bench_t *bench = bench_create(config_two, 0);
    engine_join(bench, "e1", 0);
    ask(bench, 1, 10);
    wb_cell_set_committed(bench->cell, bench->sequence);
    wb_cell_step(bench->cell, 20);
    wb_cell_order_done(bench->cell, "e1", bench->fences[1], WB_ORDER_NO_RESPONSE, NULL, 30);
    wb_cell_set_engine_reachable(bench->cell, "e1", FALSE);
    engine_join(bench, "e2", 40);
    ask(bench, 5, 3000);
    wb_cell_set_committed(bench->cell, bench->sequence);
    wb_cell_step(bench->cell, 3100);
    g_assert_true(wb_record_has_slot(bench->record, "m", "e1"));
    g_assert_false(wb_record_has_slot(bench->record, "m", "e2"));
    /* once its machine is gone, the slot goes, and another one comes */
    wb_cell_set_machine(bench->cell, "e1", "", "", WB_MACHINE_REMOVED, 3200);
    wb_cell_step(bench->cell, 3200);
    g_assert_false(wb_record_has_slot(bench->record, "m", "e1"));
    g_assert_true(wb_record_has_slot(bench->record, "m", "e2"));
    bench_free(bench);
}

/* A replica goes after its keep-alive, and its slot only once the engine no longer holds it. */
static void test_idle_replica_goes(void) {
    bench_t *bench = bench_create(config_two, 0);
    engine_join(bench, "e1", 0);
    ask(bench, 1, 10);
    wb_cell_set_committed(bench->cell, bench->sequence);
    wb_cell_step(bench->cell, 20);
    wb_inventory_t *loaded = inventory("e1", 2, 1000);
    wb_inventory_add_model(loaded, "m", 600 * WB_MIB, WB_LOAD_LOADED);
    wb_cell_order_done(bench->cell, "e1", bench->fences[1], WB_ORDER_ACCEPTED, loaded, 30);
    ask(bench, 0, 40);
    g_assert_cmpint(bench->shown, ==, WB_ROUTE_READY);
    wb_cell_step(bench->cell, 900);
    g_assert_cmpuint(bench->orders->len, ==, 2);
    wb_cell_step(bench->cell, 1200);
    wb_cell_step(bench->cell, 1210);
    g_assert_cmpstr(bench->orders->pdata[2], ==, "unload m e1");
    g_assert_true(wb_record_has_slot(bench->record, "m", "e1"));
    wb_cell_order_done(bench->cell, "e1", bench->fences[1], WB_ORDER_ACCEPTED,
                       inventory("e1", 3, 1000), 1220);
    wb_cell_step(bench->cell, 1230);
    g_assert_false(wb_record_has_slot(bench->record, "m", "e1"));
    bench_free(bench);
}

/* A load that takes far longer than thought isn't promised for the next moment all the time. */
static void test_late_load_is_estimated_later(void) {
    bench_t *bench = bench_create(config_two, 0);
    engine_join(bench, "e1", 0);
    ask(bench, 1, 10);
    wb_cell_set_committed(bench->cell, bench->sequence);
    wb_cell_step(bench->cell, 20);
    wb_inventory_t *loading = inventory("e1", 2, 1000);
    wb_inventory_add_model(loading, "m", 600 * WB_MIB, WB_LOAD_LOADING);
    wb_cell_order_done(bench->cell, "e1", bench->fences[1], WB_ORDER_ACCEPTED, loading, 30);
    ask(bench, 1, 40);
    g_assert_cmpint(bench->shown, ==, WB_ROUTE_LOADING);
    g_assert_cmpint(bench->estimate_ms, <, 300);
    ask(bench, 1, 10020);
    g_assert_cmpint(bench->shown, ==, WB_ROUTE_LOADING);
    g_assert_cmpint(bench->estimate_ms, >=, 10000);
    bench_free(bench);
}

static void test_no_engine_is_refused(void) {
    bench_t *bench = bench_create(config_two, 0);
    ask(bench, 1, 10000);
    g_assert_cmpint(bench->shown, ==, WB_ROUTE_UNAVAILABLE);
    bench_free(bench);
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
