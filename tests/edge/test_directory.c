/* Only the strongest nodes (relays) read a large table of engines; weak nodes subscribe to the
 * engines that their clients need. Guards against stale rows when engines change or relays fail. */
#include "edge.h"

#include <string.h>

#define NODES 4
/* Smaller than the number of engines, which is four. */
#define FLAGS "--engine-rows-most=2"
#define DECISION_TIMEOUT_MS 4000

static const char *const node_flags[] = {"--processor-share=1", "--processor-share=1",
                                         "--processor-share=0.12", "--processor-share=0.12"};

/* Waits until a node has logged how it reads the table. Each node decides by its own clock, 2.5 s
 * after it sees that the table is large. */
static void assert_reads(const estate_t *estate, int node, const char *mode) {
    g_autofree char *line = g_strdup_printf("\"read\":\"%s\"", mode);
    int64_t until_ms = harness_now_ms() + DECISION_TIMEOUT_MS;
    while (!estate_log_has(estate, node, line)) {
        g_assert_cmpint(harness_now_ms(), <, until_ms);
        g_usleep(20000);
    }
}

/* Weak nodes get only the engines that they subscribe to; missing models are loaded once for them,
 * and a strong node holds the lease. */
static void test_weak_nodes_ask(void) {
    estate_t *estate = estate_start_each(NODES, FLAGS, node_flags);
    int holder = estate_wait_controller(estate, 8000);
    g_assert_cmpint(holder, <, 2);
    for (int node = 0; node < NODES; node++) {
        assert_reads(estate, node, node < 2 ? "whole" : "part");
    }
    g_assert_cmpfloat(estate_metric(estate, 2, "engines"), ==, 0);
    g_assert_cmpint(asked(estate, 2, "/chat/x", "w1", EDGE_MODEL("m2")), ==, 200);
    g_assert_cmpfloat(estate_metric(estate, 2, "engines"), ==, 1); /* only llm-2 holds m2 */
    g_assert_cmpint(asked(estate, 2, "/lock/x", "w2", EDGE_DEADLINE), ==, 200);
    g_assert_cmpint(asked(estate, 3, "/chat/x", "w3", EDGE_MODEL("m5")), ==, 200);
    g_assert_cmpint(asked(estate, 2, "/chat/x", "w4", EDGE_MODEL("m5")), ==, 200);
    g_assert_cmpint(estate_orders(estate, "model_load", "m5"), ==, 1);
    g_assert_cmpint(estate_orders(estate, "model_load", "m2"), ==, 0);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Weak nodes learn promptly of engines that drain, crash or restart. */
static void test_changes_are_told(void) {
    estate_t *estate = estate_start_each(NODES, FLAGS " --drain-ms=1000", node_flags);
    estate_wait_controller(estate, 8000);
    for (int node = 2; node < NODES; node++) {
        g_autofree char *id = g_strdup_printf("c%d", node);
        g_assert_cmpint(asked(estate, node, "/lock/x", id, EDGE_DEADLINE), ==, 200);
        g_autofree char *chat_id = g_strdup_printf("cc%d", node);
        g_assert_cmpint(asked(estate, node, "/chat/x", chat_id, EDGE_MODEL("m2")), ==, 200);
    }
    estate_command(estate, "{\"do\":\"engine-leave\",\"engine\":\"lock-1\"}");
    estate_command(estate, "{\"do\":\"engine-option\",\"engine\":\"llm-2\",\"name\":\"same_id\","
                           "\"value\":1}");
    estate_command(estate, "{\"do\":\"engine-option\",\"engine\":\"llm-2\",\"name\":\"back_ms\","
                           "\"value\":100}");
    estate_command(estate, "{\"do\":\"engine-crash\",\"engine\":\"llm-2\"}");
    g_usleep(1500000);
    for (int i = 0; i < 20; i++) {
        g_autofree char *id = g_strdup_printf("left-%d", i);
        g_assert_cmpint(asked(estate, 2 + i % 2, "/lock/x", id, EDGE_DEADLINE), ==, 200);
    }
    json_t *seen = estate_records(estate);
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run) {
        gboolean after_change =
            g_str_has_prefix(json_string_value(json_object_get(run, "id")), "left-");
        g_assert_false(after_change &&
                       strcmp(json_string_value(json_object_get(run, "engine")), "lock-1") == 0);
    }
    json_decref(seen);
    g_assert_true(estate_log_has(estate, 2, "\"event\":\"engine-restarted\""));
    g_assert_cmpint(asked(estate, 3, "/chat/x", "again", EDGE_MODEL("m2")), ==, 200);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Both relays are killed, one after the other: weak nodes serve from the rows they have, switch to
 * the other relay, and then read the table themselves. */
static void test_relays_are_lost(void) {
    estate_t *estate = estate_start_each(
        NODES, FLAGS " --lease-quiet-ms=1000 --lease-duration-ms=800", node_flags);
    estate_wait_controller(estate, 8000);
    g_assert_cmpint(asked(estate, 2, "/chat/x", "l1", EDGE_MODEL("m0")), ==, 200);
    process_kill(&estate->nodes[0].process);
    for (int i = 0; i < 10; i++) {
        g_autofree char *id = g_strdup_printf("one-%d", i);
        g_assert_cmpint(asked(estate, 2 + i % 2, "/chat/x", id, EDGE_MODEL("m0")), ==, 200);
        g_usleep(100000);
    }
    g_usleep(2500000);
    g_assert_cmpint(asked(estate, 3, "/chat/x", "cold", EDGE_MODEL("m6")), ==, 200);
    process_kill(&estate->nodes[1].process);
    g_assert_cmpint(asked(estate, 2, "/chat/x", "none", EDGE_MODEL("m0")), ==, 200);
    g_usleep(14000000);
    assert_reads(estate, 2, "whole");
    assert_reads(estate, 3, "whole");
    g_assert_cmpint(asked(estate, 2, "/chat/x", "own", EDGE_MODEL("m1")), ==, 200);
    g_assert_cmpint(asked(estate, 3, "/chat/x", "own-cold", EDGE_MODEL("m7")), ==, 200);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* An engine ends while both relays restart: subscribers must learn that it is removed, though the
 * new relays never knew it. */
static void test_relays_start_anew(void) {
    estate_t *estate = estate_start_each(NODES, FLAGS, node_flags);
    estate_wait_controller(estate, 8000);
    g_assert_cmpint(asked(estate, 2, "/lock/x", "s1", EDGE_DEADLINE), ==, 200);
    g_assert_cmpfloat(estate_metric(estate, 2, "engines"), ==, 2);
    process_kill(&estate->nodes[0].process);
    process_kill(&estate->nodes[1].process);
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-1\"}");
    estate_node_launch(estate, 0);
    estate_node_launch(estate, 1);
    estate_wait_ready(estate, 0);
    estate_wait_ready(estate, 1);
    g_usleep(3000000);
    assert_reads(estate, 2, "part");
    g_assert_cmpfloat(estate_metric(estate, 2, "engines"), ==, 1);
    g_assert_cmpint(asked(estate, 2, "/lock/x", "s2", EDGE_DEADLINE), ==, 200);
    estate_stop(estate);
}

/* All nodes are killed at once: restarted nodes find the strong nodes by their rows and soon serve
 * requests. */
static void test_all_killed(void) {
    estate_t *estate = estate_start_each(NODES, FLAGS, node_flags);
    estate_wait_controller(estate, 8000);
    for (int node = 0; node < NODES; node++) {
        process_kill(&estate->nodes[node].process);
    }
    int64_t started_ms = harness_now_ms();
    for (int node = 0; node < NODES; node++) {
        estate_node_launch(estate, node);
    }
    for (int node = 0; node < NODES; node++) {
        estate_wait_ready(estate, node);
    }
    g_assert_cmpint(harness_now_ms() - started_ms, <, 2000);
    for (int node = 0; node < NODES; node++) {
        g_autofree char *id = g_strdup_printf("k%d", node);
        g_assert_cmpint(asked(estate, node, "/chat/x", id, EDGE_MODEL("m0")), ==, 200);
    }
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/directory/weak-nodes-ask", test_weak_nodes_ask);
    g_test_add_func("/edge/directory/changes-are-told", test_changes_are_told);
    g_test_add_func("/edge/directory/relays-are-lost", test_relays_are_lost);
    g_test_add_func("/edge/directory/relays-start-anew", test_relays_start_anew);
    g_test_add_func("/edge/directory/all-killed", test_all_killed);
}

PROCESS_TEST_MAIN(tests_add)
