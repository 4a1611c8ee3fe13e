/* Nodes of two builds run side by side while nodes are upgraded and downgraded one at a time. The
 * older build is the last one whose messages have no format version, so the newer one must send it
 * the old format. */
#include "edge.h"

#include <string.h>

#define NODES 3
/* Minimum time between orders of two lease holders to the same engine. */
#define QUIET_MS 3000
/* Minimum share of requests that are served: requests or connections may be refused while a node
 * restarts or the lease changes hands. */
#define SERVED_SHARE 0.9

typedef struct load_t {
    const estate_t *estate;
    int asked;
    int served;
    int wrong; /* unexpected status, a refused request that ran, or more than one run */
} load_t;

static void load_send(load_t *load, int node, const char *path, const char *headers) {
    g_autofree char *id = g_strdup_printf("load-%d", load->asked++);
    wire_t *wire = wire_try_open(load->estate->nodes[node].clients_port);
    if (wire == NULL) {
        return; /* the node is being replaced; clients use another one */
    }
    wire_post(wire, path, id, headers, "hello");
    wire_response_t *answer = wire_read(wire, 10000);
    int runs = estate_runs(load->estate, id);
    load->served += answer->status == 200;
    load->wrong += answer->status != 200 && answer->status != 503 && answer->status != 0;
    load->wrong += answer->status == 503 && runs > 0;
    load->wrong += runs > 1;
    wire_response_free(answer);
    wire_close(wire);
}

static void load_run(load_t *load, int64_t duration_ms) {
    static const char *const models[] = {EDGE_MODEL("m0"), EDGE_MODEL("m1"), EDGE_MODEL("m2"),
                                         EDGE_MODEL("m3")};
    int64_t until_ms = harness_now_ms() + duration_ms;
    for (int i = 0; harness_now_ms() < until_ms; i++) {
        load_send(load, i % NODES, "/lock/x", EDGE_DEADLINE);
        load_send(load, (i + 1) % NODES, "/note/x", models[i % (int)G_N_ELEMENTS(models)]);
        g_usleep(30000);
    }
}

static void node_replace(load_t *load, estate_t *estate, int node, gboolean older) {
    process_kill(&estate->nodes[node].process);
    load_run(load, 300);
    estate->nodes[node].older = older;
    estate_node_launch(estate, node);
    estate_wait_ready(estate, node);
    load_run(load, 1500);
}

/* Asserts that no engine got orders from two lease holders within the handover interval. */
static void assert_one_holder(const estate_t *estate) {
    json_t *seen = estate_records(estate);
    g_autoptr(GHashTable) last = g_hash_table_new(g_str_hash, g_str_equal);
    size_t i;
    json_t *order;
    json_array_foreach(json_object_get(seen, "orders"), i, order) {
        const char *engine = json_string_value(json_object_get(order, "engine"));
        const json_t *before = g_hash_table_lookup(last, engine);
        if (before != NULL && strcmp(json_string_value(json_object_get(before, "holder")),
                                     json_string_value(json_object_get(order, "holder"))) != 0) {
            int64_t gap_ms = json_integer_value(json_object_get(order, "at_ms")) -
                             json_integer_value(json_object_get(before, "at_ms"));
            g_assert_cmpint(gap_ms, >=, QUIET_MS);
        }
        g_hash_table_insert(last, (gpointer)engine, order);
    }
    json_decref(seen);
}

static void assert_load(const load_t *load) {
    g_assert_cmpint(load->wrong, ==, 0);
    g_assert_cmpint(load->served, >=, (int)(SERVED_SHARE * load->asked));
}

/* All nodes are upgraded, the lease holder second; meanwhile an engine restarts with the same id
 * and the configuration changes. */
static void test_forth(void) {
    estate_t *estate = estate_start_builds(NODES, NODES, NULL);
    load_t load = {.estate = estate};
    load_run(&load, 1000);
    int holder = estate_wait_controller(estate, 5000);
    node_replace(&load, estate, (holder + 1) % NODES, FALSE);
    estate_command(estate, "{\"do\":\"engine-option\",\"engine\":\"llm-2\",\"name\":\"same_id\","
                           "\"value\":1}");
    estate_command(estate, "{\"do\":\"engine-option\",\"engine\":\"llm-2\",\"name\":\"back_ms\","
                           "\"value\":100}");
    estate_command(estate, "{\"do\":\"engine-crash\",\"engine\":\"llm-2\"}");
    load_run(&load, 2000);
    node_replace(&load, estate, holder, FALSE);
    estate_configure(estate, NULL);
    load_run(&load, 1500);
    node_replace(&load, estate, (holder + 2) % NODES, FALSE);
    for (int node = 0; node < NODES; node++) {
        g_assert_false(estate_log_has(estate, node, "lease-row-refused"));
        g_assert_cmpfloat(estate_metric(estate, node, "catalog_version"), ==,
                          (double)estate->catalog_version);
    }
    assert_load(&load);
    assert_one_holder(estate);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* A node is upgraded and downgraded twice, with a lease holder of either build. Each time the row
 * of its machine changes, which contains the format version that the node reads. */
static void test_forth_and_back(void) {
    estate_t *estate = estate_start_builds(NODES, 2, NULL);
    load_t load = {.estate = estate};
    for (int round = 0; round < 2; round++) {
        int holder = estate_wait_controller(estate, 8000);
        int node = (holder + 1) % NODES;
        node_replace(&load, estate, node, FALSE);
        node_replace(&load, estate, node, TRUE);
        process_kill(&estate->nodes[holder].process);
        load_run(&load, 500);
        estate->nodes[holder].older = !estate->nodes[holder].older;
        estate_node_launch(estate, holder);
        estate_wait_ready(estate, holder);
        load_run(&load, 3000);
    }
    assert_load(&load);
    assert_one_holder(estate);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Placement updates between newer nodes include the engine's incarnation; older nodes get the same
 * updates without it. */
static void test_news_reach_both(void) {
    estate_t *estate = estate_start_builds(NODES, 1, NULL);
    int holder = estate_wait_controller(estate, 5000);
    if (holder == 0) {
        process_kill(&estate->nodes[0].process); /* a newer node must be the sender */
        holder = estate_wait_controller(estate, 10000);
        estate_node_launch(estate, 0);
        estate_wait_ready(estate, 0);
    }
    g_usleep(1000000);
    static const char *const models[] = {EDGE_MODEL("m4"), EDGE_MODEL("m5"), EDGE_MODEL("m6")};
    for (int node = 0; node < NODES; node++) {
        load_t load = {.estate = estate};
        load_send(&load, node, "/note/x", models[node]);
        g_assert_cmpint(load.served, ==, 1);
        g_usleep(300000);
    }
    for (int node = 0; node < NODES; node++) {
        g_assert_true(node == holder || estate_log_has(estate, node, "placement-news"));
        g_assert_false(estate_log_has(estate, node, "no valid message"));
    }
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/upgrade/forth", test_forth);
    g_test_add_func("/edge/upgrade/forth-and-back", test_forth_and_back);
    g_test_add_func("/edge/upgrade/news-reach-both", test_news_reach_both);
}

PROCESS_TEST_MAIN(tests_add)
