/* Draining engines get no new requests, and planned stops interrupt none. */
#include "integration.h"

#include <signal.h>
#include <string.h>

static int engine_index(cluster_t *cluster, const char *name) {
    for (int i = 0; i < cluster->engine_count; i++)
        if (g_str_equal(cluster->engines[i].process.name, name))
            return i;
    return -1;
}

/* An engine that the machine list marks as draining gets no new requests after a few seconds. */
static void test_leaving_engine_gets_no_new_work(void) {
    cluster_options_t options = {.nodes = 2, .engines = 2};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 2);
    answer_t *answer = chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL);
    int leaving = engine_index(cluster, answer->engine);
    answer_free(answer);
    machine_drain(cluster, cluster->engines[leaving].process.name);
    int64_t marked_ms = harness_now_ms();
    int64_t last_ms = marked_ms;
    while (harness_now_ms() - marked_ms < 8000) {
        answer = chat(cluster->nodes[1].clients_port, "m1", 4, NULL, NULL);
        answer_print(answer);
        g_assert_true(answer_is_complete(answer, 4));
        if (engine_index(cluster, answer->engine) == leaving)
            last_ms = harness_now_ms();
        answer_free(answer);
        g_usleep(20000);
    }
    g_test_message("last new request %d ms after the mark (the list's lag is 500 ms)",
                   (int)(last_ms - marked_ms));
    g_assert_cmpint(last_ms - marked_ms, <, 5000);
    cluster_stop(cluster);
}

/* On SIGTERM a node completes its open streams and waiting requests. */
static void test_node_stop_cuts_off_nothing(void) {
    cluster_options_t options = {
        .nodes = 3, .engines = 2, .engine_flags = "--token-interval-ms=10 --load-slowdown=4"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 2, 2);
    answer_free(chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL));
    int victim = cell_owner(cluster, "assistant/0"); /* its stop also needs a takeover */
    crowd_call_t calls[24];
    for (int i = 0; i < 24; i++)
        calls[i] = (crowd_call_t){cluster->nodes[victim].clients_port, i % 3 == 0 ? "m2" : "m1",
                                  120, i % 2 == 0 ? ",\"stream\":true" : NULL};
    crowd_t *crowd = crowd_start(calls, 24);
    g_usleep(400000);
    int status = process_stop(&cluster->nodes[victim].process, 60000);
    crowd_join(crowd);
    g_assert_cmpint(crowd_complete(crowd, 120), ==, 24);
    g_assert_cmpint(status, ==, 0);
    crowd_free(crowd);
    cluster_stop(cluster);
}

/* On SIGTERM an engine completes its streams; new requests run elsewhere. */
static void test_engine_stop_cuts_off_nothing(void) {
    cluster_options_t options = {
        .nodes = 2, .engines = 3, .engine_flags = "--token-interval-ms=10"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    answer_t *answer = chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL);
    int victim = engine_index(cluster, answer->engine);
    answer_free(answer);
    crowd_call_t calls[16];
    for (int i = 0; i < 16; i++)
        calls[i] = (crowd_call_t){cluster->nodes[i % 2].clients_port, "m1", 150,
                                  i % 2 == 0 ? ",\"stream\":true" : NULL};
    crowd_t *crowd = crowd_start(calls, 16);
    g_usleep(500000);
    int status = process_stop(&cluster->engines[victim].process, 60000);
    cluster->engines[victim].killed_us = g_get_monotonic_time();
    crowd_t *later = crowd_start(calls, 16);
    crowd_join(crowd);
    crowd_join(later);
    g_assert_cmpint(crowd_complete(crowd, 150), ==, 16);
    g_assert_cmpint(crowd_complete(later, 150), ==, 16);
    g_assert_cmpint(status, ==, 0);
    g_assert_cmpint(peak_replicas(cluster, "m1"), ==, 1);
    crowd_free(crowd);
    crowd_free(later);
    cluster_stop(cluster);
}

/* A rolling restart of all nodes must not interrupt clients. */
static void test_rolling_replacement(void) {
    cluster_options_t options = {.nodes = 3, .engines = 2};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 2, 2);
    answer_free(chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL));
    for (int i = 0; i < 3; i++) {
        crowd_call_t calls[12];
        for (int j = 0; j < 12; j++)
            calls[j] = (crowd_call_t){cluster->nodes[j % 3].clients_port, j % 2 ? "m1" : "m2", 60,
                                      j % 4 < 2 ? ",\"stream\":true" : NULL};
        crowd_t *crowd = crowd_start(calls, 12);
        g_usleep(200000);
        g_assert_cmpint(process_stop(&cluster->nodes[i].process, 60000), ==, 0);
        crowd_join(crowd);
        g_assert_cmpint(crowd_complete(crowd, 60), ==, 12);
        crowd_free(crowd);
        node_start(cluster, i);
        wait_ready(cluster);
    }
    g_assert_cmpint(peak_replicas(cluster, "m1"), <=, 2);
    cluster_stop(cluster);
}

static void tests_add(void) {
    g_test_add_func("/stops/leaving-engine-gets-no-new-work", test_leaving_engine_gets_no_new_work);
    g_test_add_func("/stops/node-stop-cuts-off-nothing", test_node_stop_cuts_off_nothing);
    g_test_add_func("/stops/engine-stop-cuts-off-nothing", test_engine_stop_cuts_off_nothing);
    g_test_add_func("/stops/rolling-replacement", test_rolling_replacement);
}

PROCESS_TEST_MAIN(tests_add)
