/* Loaded models stay served while the store is unavailable, slow, silent or without its history. */
#include "edge.h"

#include <string.h>

/* An answer to a renewal that takes so long comes after the lease, but before others may take it
 * over. */
#define LAPSE_DELAY_MS 700
/* Time after which an engine that leaves must get no requests. */
#define DRAIN_MS 2000

static void assert_status(const estate_t *estate, const char *path, const char *id,
                          const char *headers, int status) {
    wire_response_t *answer = wire_request(estate->nodes[0].clients_port, path, id, headers);
    g_assert_cmpint(answer->status, ==, status);
    wire_response_free(answer);
}

static void store_fault(const estate_t *estate, const char *fault, int delay_ms) {
    estate_command(estate, "{\"do\":\"store-fault\",\"fault\":\"%s\",\"delay_ms\":%d}", fault,
                   delay_ms);
}

static void test_faults(void) {
    static const char *const faults[] = {"busy", "silent", "reset", "lost", "late"};
    estate_t *estate = estate_start(1, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
        store_fault(estate, faults[i], 0);
        g_usleep(1500000);
        assert_status(estate, "/chat/x", faults[i], EDGE_MODEL("m0"), 200);
        assert_status(estate, "/lock/x", faults[i], EDGE_DEADLINE, 200);
        g_assert_true(estate_node_is_ready(estate, 0));
        store_fault(estate, "", 0);
        g_usleep(3000000);
        g_assert_cmpint(estate_controller(estate), ==, 0);
    }
    assert_status(estate, "/chat/x", "cold", EDGE_MODEL("m5"), 200);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* A configuration that changed while the change history expired is found by a full read. */
static void test_forgotten_history(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_command(estate, "{\"do\":\"compact\"}");
    estate_configure(estate,
                     "{\"name\":\"new\",\"host\":\"a.example\",\"pathPrefix\":\"/new/\","
                     "\"routeType\":\"idempotent\",\"timeoutMs\":2000,\"service\":\"lock\"}");
    estate_command(estate, "{\"do\":\"compact\"}");
    g_usleep(1000000);
    assert_status(estate, "/new/x", "h1", EDGE_DEADLINE, 200);
    assert_status(estate, "/lock/x", "h2", EDGE_DEADLINE, 404);
    estate_stop(estate);
}

/* Without a configuration a node responds with 503, never 404. */
static void test_no_catalog(void) {
    estate_t *estate = estate_start(1, NULL);
    store_fault(estate, "busy", 0);
    process_kill(&estate->nodes[0].process);
    estate_node_launch(estate, 0);
    g_usleep(500000);
    g_assert_false(estate_node_is_ready(estate, 0));
    assert_status(estate, "/lock/x", "n1", EDGE_DEADLINE, 503);
    store_fault(estate, "", 0);
    estate_wait_ready(estate, 0);
    assert_status(estate, "/lock/x", "n2", EDGE_DEADLINE, 200);
    estate_stop(estate);
}

/* A draining engine gets no requests after the drain time. */
static void test_leaving_engines(void) {
    estate_t *estate = estate_start(1, "--drain-ms=1000");
    estate_command(estate, "{\"do\":\"engine-leave\",\"engine\":\"lock-1\"}");
    g_usleep(1100000);
    for (int i = 0; i < 20; i++)
        assert_status(estate, "/lock/x", "v1", EDGE_DEADLINE, 200);
    json_t *seen = estate_records(estate);
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run)
        g_assert_cmpstr(json_string_value(json_object_get(run, "engine")), ==, "lock-2");
    json_decref(seen);
    estate_stop(estate);
}

/* The controller's store connection freezes: another node takes over, and the old controller keeps
 * serving loaded models. */
static void test_one_node_is_cut(void) {
    estate_t *estate = estate_start(2, "--lease-quiet-ms=1000 --lease-duration-ms=800");
    g_usleep(500000);
    int cut = estate_controller(estate);
    g_assert_cmpint(cut, >=, 0);
    estate_store_fault(estate, cut, "freeze", 0);
    int64_t cut_ms = harness_now_ms();
    while (estate_metric(estate, 1 - cut, "lease_held") <= 0) {
        g_assert_cmpint(harness_now_ms() - cut_ms, <, 5000);
        g_usleep(20000);
    }
    g_assert_cmpfloat(estate_metric(estate, cut, "lease_held"), ==, 0);
    wire_response_t *answer =
        wire_request(estate->nodes[cut].clients_port, "/chat/x", "c1", EDGE_MODEL("m0"));
    g_assert_cmpint(answer->status, ==, 200);
    wire_response_free(answer);
    answer = wire_request(estate->nodes[1 - cut].clients_port, "/chat/x", "c2", EDGE_MODEL("m5"));
    g_assert_cmpint(answer->status, ==, 200);
    wire_response_free(answer);
    /* The other node may take over before a store call of the cut-off node times out. */
    while (!estate_log_has(estate, cut, "\"event\":\"store-lost\"")) {
        g_assert_cmpint(harness_now_ms() - cut_ms, <, 5000);
        g_usleep(20000);
    }
    estate_store_fault(estate, cut, "pass", 0);
    g_usleep(3000000);
    answer = wire_request(estate->nodes[cut].clients_port, "/chat/x", "c3", EDGE_MODEL("m6"));
    g_assert_cmpint(answer->status, ==, 200);
    wire_response_free(answer);
    g_assert_true(estate_log_has(estate, cut, "\"event\":\"store-lost\""));
    g_assert_true(estate_log_has(estate, cut, "\"event\":\"store-back\""));
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* With a store that delays each transaction by 200 ms, behind connections that delay bytes by 120
 * ms, the lease is kept, models are loaded and configurations are applied. */
static void test_slow_store(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_store_fault(estate, 0, "delay", 120);
    store_fault(estate, "", 200);
    g_usleep(4000000);
    g_assert_cmpint(estate_controller(estate), ==, 0);
    assert_status(estate, "/chat/x", "s1", EDGE_MODEL("m5"), 200);
    estate_configure(estate,
                     "{\"name\":\"new\",\"host\":\"a.example\",\"pathPrefix\":\"/new/\","
                     "\"routeType\":\"idempotent\",\"timeoutMs\":2000,\"service\":\"lock\"}");
    g_usleep(1500000);
    assert_status(estate, "/new/x", "s2", EDGE_DEADLINE, 200);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Guards against refusing a request whose model's load order still waits for the lease row (one
 * write of the store, or two if another is in progress): it may be able to wait for the load. */
static void test_slow_lease_row(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_store_fault(estate, 0, "delay", 120);
    store_fault(estate, "", 300);
    g_usleep(4000000);
    g_assert_cmpint(estate_controller(estate), ==, 0);
    for (int model = 4; model < 7; model++) {
        g_autofree char *id = g_strdup_printf("row-%d", model);
        g_autofree char *headers =
            g_strdup_printf("Model: m%d\r\nPrompt-Prefix: ab:50\r\n" EDGE_DEADLINE, model);
        assert_status(estate, "/chat/x", id, headers, 200);
    }
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Nodes that haven't renewed their rows no longer share the retry budget, and their rows are
 * removed. */
static void test_gone_nodes_are_forgotten(void) {
    estate_t *estate = estate_start(2, "--node-life-s=2");
    estate_command(
        estate, "{\"do\":\"put\",\"table\":\"wickbridge\",\"key\":\"node/ghost\",\"value\":\"x\"}");
    g_usleep(1200000);
    g_assert_cmpfloat(estate_metric(estate, 0, "nodes"), ==, 3);
    g_usleep(2500000);
    g_assert_cmpfloat(estate_metric(estate, 0, "nodes"), ==, 2);
    process_kill(&estate->nodes[1].process);
    estate_node_launch(estate, 1); /* a full read of the table */
    estate_wait_ready(estate, 1);
    g_assert_cmpfloat(estate_metric(estate, 1, "nodes"), ==, 2);
    estate_stop(estate);
}

static int follower_wait(const estate_t *estate) {
    int holder = -1;
    for (int i = 0; holder < 0 && i < 100; i++) {
        holder = estate_controller(estate);
        g_usleep(50000);
    }
    g_assert_cmpint(holder, >=, 0);
    return (holder + 1) % estate->node_count;
}

/* Nodes that get store updates from the lease holder make few store calls and stay up to date. */
static void test_holder_reads_for_others(void) {
    estate_t *estate = estate_start(3, NULL);
    int follower = follower_wait(estate);
    g_usleep(3000000);
    double calls = estate_metric(estate, follower, "store_calls_total");
    g_usleep(4000000);
    calls = estate_metric(estate, follower, "store_calls_total") - calls;
    g_test_message("%g calls in 4 s", calls);
    g_assert_cmpfloat(calls, <=, 8);
    estate_configure(estate,
                     "{\"name\":\"new\",\"host\":\"a.example\",\"pathPrefix\":\"/new/\","
                     "\"routeType\":\"idempotent\",\"timeoutMs\":2000,\"service\":\"lock\"}");
    g_usleep(1000000);
    for (int i = 0; i < estate->node_count; i++) {
        wire_response_t *answer =
            wire_request(estate->nodes[i].clients_port, "/new/x", "w1", EDGE_DEADLINE);
        g_assert_cmpint(answer->status, ==, 200);
        wire_response_free(answer);
    }
    estate_stop(estate);
}

static void assert_only_second_engine_runs(const estate_t *estate, int node, const char *id) {
    for (int i = 0; i < 20; i++) {
        wire_response_t *answer =
            wire_request(estate->nodes[node].clients_port, "/lock/x", id, EDGE_DEADLINE);
        g_assert_cmpint(answer->status, ==, 200);
        wire_response_free(answer);
    }
    json_t *seen = estate_records(estate);
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run) {
        if (strcmp(json_string_value(json_object_get(run, "id")), id) == 0)
            g_assert_cmpstr(json_string_value(json_object_get(run, "engine")), ==, "lock-2");
    }
    json_decref(seen);
}

/* A node whose store connection is frozen learns from the lease holder that an engine drains. */
static void test_news_reach_a_cut_node(void) {
    estate_t *estate = estate_start(2, "--drain-ms=1000");
    int follower = follower_wait(estate);
    g_usleep(1500000);
    estate_store_fault(estate, follower, "freeze", 0);
    g_usleep(500000);
    estate_command(estate, "{\"do\":\"engine-leave\",\"engine\":\"lock-1\"}");
    g_usleep(1100000);
    assert_only_second_engine_runs(estate, follower, "n1");
    estate_stop(estate);
}

/* A lease holder without a working store connection doesn't stop others from polling the store. */
static void test_holder_without_a_store(void) {
    estate_t *estate = estate_start(2, "--drain-ms=1000");
    int follower = follower_wait(estate);
    g_usleep(1500000);
    estate_store_fault(estate, 1 - follower, "freeze", 0);
    g_usleep(200000);
    estate_command(estate, "{\"do\":\"engine-leave\",\"engine\":\"lock-1\"}");
    g_usleep(1100000);
    assert_only_second_engine_runs(estate, follower, "h1");
    estate_stop(estate);
}

/* Returns how often an engine ran requests that it got from `from_ms` on. */
static int runs_since(const estate_t *estate, const char *engine, int64_t from_ms) {
    json_t *seen = estate_records(estate);
    int count = 0;
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run) count +=
        strcmp(json_string_value(json_object_get(run, "engine")), engine) == 0 &&
        json_integer_value(json_object_get(run, "at_ms")) >= from_ms;
    json_decref(seen);
    return count;
}

/* Delays renewals until the holder's lease has lapsed. */
static void lapse_begin(const estate_t *estate, int holder) {
    int64_t until_ms = harness_now_ms() + 5000;
    store_fault(estate, "", LAPSE_DELAY_MS);
    while (estate_metric(estate, holder, "lease_held") > 0 && harness_now_ms() < until_ms)
        g_usleep(5000);
    g_assert_cmpfloat(estate_metric(estate, holder, "lease_held"), ==, 0);
}

/* Guards against a change that the holder reads while its lease has lapsed, for want of timely
 * answers to its renewals, and that other nodes never hear of once it goes on: an engine that
 * leaves. */
static void test_leaving_in_a_lapse(void) {
    estate_t *estate = estate_start(3, "--lease-quiet-ms=1000 --lease-duration-ms=800");
    int holder = estate_wait_controller(estate, 8000);
    int other = (holder + 1) % 3;
    estate_command(estate, "{\"do\":\"engine-start\",\"engine\":\"guest\",\"options\":{"
                           "\"service\":\"lock\",\"zone\":\"zone-1\",\"work_ms\":10}}");
    /* A long lapse makes the other nodes read the table themselves, after which they take the
     * holder's word for it. */
    lapse_begin(estate, holder);
    g_usleep(3000000);
    store_fault(estate, "", 0);
    g_usleep(1500000);
    lapse_begin(estate, holder);
    estate_command(estate, "{\"do\":\"engine-leave\",\"engine\":\"guest\"}");
    int64_t left_ms = harness_now_ms();
    g_usleep(450000); /* the holder reads it, and the others don't read yet */
    store_fault(estate, "", 0);
    while (harness_now_ms() < left_ms + DRAIN_MS)
        g_usleep(10000);
    for (int i = 0; i < 30; i++) {
        g_autofree char *id = g_strdup_printf("left-%d", i);
        wire_response_t *answer =
            wire_request(estate->nodes[other].clients_port, "/lock/x", id, EDGE_DEADLINE);
        g_assert_cmpint(answer->status, ==, 200);
        wire_response_free(answer);
    }
    g_assert_cmpint(estate_controller(estate), ==, holder);
    g_assert_cmpint(runs_since(estate, "guest", left_ms + DRAIN_MS), ==, 0);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/store/leaving-in-a-lapse", test_leaving_in_a_lapse);
    g_test_add_func("/edge/store/holder-reads-for-others", test_holder_reads_for_others);
    g_test_add_func("/edge/store/news-reach-a-cut-node", test_news_reach_a_cut_node);
    g_test_add_func("/edge/store/holder-without-a-store", test_holder_without_a_store);
    g_test_add_func("/edge/store/gone-nodes-are-forgotten", test_gone_nodes_are_forgotten);
    g_test_add_func("/edge/store/one-node-is-cut", test_one_node_is_cut);
    g_test_add_func("/edge/store/slow", test_slow_store);
    g_test_add_func("/edge/store/slow-lease-row", test_slow_lease_row);
    g_test_add_func("/edge/store/faults", test_faults);
    g_test_add_func("/edge/store/forgotten-history", test_forgotten_history);
    g_test_add_func("/edge/store/no-catalog", test_no_catalog);
    g_test_add_func("/edge/store/leaving-engines", test_leaving_engines);
}

PROCESS_TEST_MAIN(tests_add)
