/* Only one controller at a time sends orders, and orders without a response do no harm. */
#include "edge.h"

#include <signal.h>
#include <string.h>

/* Asserts for two consecutive orders to an engine that fencing tokens never decrease, and that
 * orders of different lease holders are at least `handover_ms` apart. */
static void assert_order_sequence(const json_t *before, const json_t *after, int64_t handover_ms) {
    int64_t gap_ms = json_integer_value(json_object_get(after, "at_ms")) -
                     json_integer_value(json_object_get(before, "at_ms"));
    int64_t token_increase = json_integer_value(json_object_get(after, "token")) -
                             json_integer_value(json_object_get(before, "token"));
    gboolean same_holder = strcmp(json_string_value(json_object_get(before, "holder")),
                                  json_string_value(json_object_get(after, "holder"))) == 0;
    g_assert_cmpint(token_increase, >=, 0);
    if (!same_holder) {
        g_assert_cmpint(token_increase, >, 0);
        g_assert_cmpint(gap_ms, >=, handover_ms);
    }
}

/* Asserts that no engine got orders from two controllers within the handover interval. */
static void assert_one_controller(const estate_t *estate, int64_t handover_ms) {
    json_t *seen = estate_records(estate);
    const json_t *orders = json_object_get(seen, "orders");
    g_autoptr(GHashTable) last = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < json_array_size(orders); i++) {
        json_t *order = json_array_get(orders, i);
        const char *engine = json_string_value(json_object_get(order, "engine"));
        g_assert_nonnull(engine);
        const json_t *before = g_hash_table_lookup(last, engine);
        if (before != NULL) {
            assert_order_sequence(before, order, handover_ms);
        }
        g_hash_table_insert(last, (gpointer)engine, order);
    }
    json_decref(seen);
}

static void model_request(const estate_t *estate, int node, const char *model, const char *id) {
    g_autofree char *headers = g_strdup_printf(
        "Model: %s\r\nPrompt-Prefix: ab:50\r\nRequest-Deadline-Ms: 20000\r\n", model);
    wire_response_t *answer =
        wire_request(estate->nodes[node].clients_port, "/chat/x", id, headers);
    g_test_message("%s at node %d: %d", model, node, answer->status);
    wire_response_free(answer);
}

/* Of the remaining nodes the one with the largest processor share takes over. */
static void test_strongest_takes_over(void) {
    estate_t *estate =
        estate_start(4, "--lease-quiet-ms=1000 --lease-duration-ms=800 --node-life-s=3");
    int controller = estate_wait_controller(estate, 3000);
    int strongest = (controller + 2) % 4;
    process_kill(&estate->nodes[strongest].process);
    estate->nodes[strongest].flags = "--processor-share=0.5";
    estate_node_launch(estate, strongest);
    estate_wait_ready(estate, strongest);
    g_usleep(2500000); /* the node updates its row each second */
    process_kill(&estate->nodes[controller].process);
    g_usleep(500000);
    g_assert_cmpint(estate_wait_controller(estate, 8000), ==, strongest);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* After the controller is killed another takes over after the handover interval, with a higher
 * token. */
static void test_takeover(void) {
    estate_t *estate = estate_start(3, "--lease-quiet-ms=1000 --lease-duration-ms=800");
    int controller = estate_wait_controller(estate, 3000);
    model_request(estate, controller, "m5", "t1");
    process_kill(&estate->nodes[controller].process);
    int64_t killed_ms = harness_now_ms();
    int successor = estate_wait_controller(estate, 8000);
    g_test_message("another controller after %d ms", (int)(harness_now_ms() - killed_ms));
    g_assert_cmpint(harness_now_ms() - killed_ms, <, 4000);
    model_request(estate, successor, "m6", "t2");
    g_assert_cmpint(estate_runs(estate, "t2"), ==, 1);
    assert_one_controller(estate, 1000);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* A successor waits for the handover interval only at engines that its predecessor may have sent
 * orders to. */
static void test_successor_orders_others_at_once(void) {
    estate_t *estate = estate_start(3, "--lease-quiet-ms=4000 --lease-duration-ms=800");
    int controller = estate_wait_controller(estate, 3000);
    model_request(estate, controller, "m5", "s1");
    process_kill(&estate->nodes[controller].process);
    int64_t killed_ms = harness_now_ms();
    int successor = estate_wait_controller(estate, 8000);
    model_request(estate, successor, "m6", "s2");
    g_test_message("served %d ms after the kill", (int)(harness_now_ms() - killed_ms));
    g_assert_cmpint(harness_now_ms() - killed_ms, <, 3000);
    g_assert_cmpint(estate_runs(estate, "s2"), ==, 1);
    assert_one_controller(estate, 4000);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* While no controller is reachable, a request that can't be served in time is refused at once with
 * a Retry-After, at the end of which its model is loaded. */
static void test_refused_while_nobody_decides(void) {
    estate_t *estate = estate_start(2, "--lease-quiet-ms=2500 --lease-duration-ms=4000");
    int controller = estate_wait_controller(estate, 3000);
    int other = 1 - controller;
    g_usleep(1000000);
    process_kill(&estate->nodes[controller].process);
    int64_t killed_ms = harness_now_ms();
    g_usleep(700000);
    int64_t sent_ms = harness_now_ms();
    wire_response_t *answer =
        wire_request(estate->nodes[other].clients_port, "/chat/x", "b1", EDGE_MODEL("m5"));
    g_assert_cmpint(answer->status, ==, 503);
    g_assert_cmpint(harness_now_ms() - sent_ms, <, 250);
    const char *header = strstr(answer->head->str, "Retry-After: ");
    g_assert_nonnull(header);
    double retry_after_s = g_ascii_strtod(header + strlen("Retry-After: "), NULL);
    wire_response_free(answer);
    g_test_message("come back in %.2f s", retry_after_s);
    g_assert_cmpfloat(retry_after_s, >, 2.5);
    g_assert_cmpfloat(retry_after_s, <, 6.0);
    g_usleep((gulong)(retry_after_s * 1e6));
    sent_ms = harness_now_ms();
    answer = wire_request(estate->nodes[other].clients_port, "/chat/x", "b2", EDGE_MODEL("m5"));
    g_test_message("%d after %d ms, %d ms after the kill", answer->status,
                   (int)(harness_now_ms() - sent_ms), (int)(harness_now_ms() - killed_ms));
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_cmpint(harness_now_ms() - sent_ms, <, 300);
    wire_response_free(answer);
    g_assert_cmpint(estate_orders(estate, "model_load", "m5"), ==, 1);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* A controller that was paused sends no orders after another node took the lease. */
static void test_frozen_controller(void) {
    estate_t *estate = estate_start(3, "--lease-quiet-ms=1000 --lease-duration-ms=800");
    for (int round = 0; round < 2; round++) {
        int frozen = estate_wait_controller(estate, 8000);
        g_autofree char *id = g_strdup_printf("z%d", round);
        process_signal(&estate->nodes[frozen].process, SIGSTOP);
        g_usleep(3500000);
        model_request(estate, (frozen + 1) % 3, round == 0 ? "m5" : "m4", id);
        process_signal(&estate->nodes[frozen].process, SIGCONT);
        model_request(estate, frozen, round == 0 ? "m6" : "m3", "z9");
        g_usleep(500000);
    }
    assert_one_controller(estate, 1000);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* A controller that is stopped keeps sending orders while it finishes its requests, and releases
 * the lease when it exits: its successor takes over sooner than after a crash. */
static void test_released_lease(void) {
    estate_t *estate =
        estate_start(2, "--lease-quiet-ms=500 --lease-duration-ms=3000 --stop-grace-s=6");
    int controller = estate_wait_controller(estate, 3000);
    int other = 1 - controller;
    process_signal(&estate->nodes[controller].process, SIGTERM);
    g_usleep(1000000);
    g_assert_cmpfloat(estate_metric(estate, controller, "lease_held"), ==, 1);
    model_request(estate, other, "m5", "r1");
    g_assert_cmpint(estate_runs(estate, "r1"), ==, 1);
    g_assert_cmpint(process_stop(&estate->nodes[controller].process, 6000), ==, 0);
    int64_t ended_ms = harness_now_ms();
    while (estate_metric(estate, other, "lease_held") <= 0) {
        g_assert_cmpint(harness_now_ms() - ended_ms, <, 1500);
        g_usleep(20000);
    }
    estate_stop(estate);
}

static void order_fault_test(const char *fault) {
    estate_t *estate = estate_start(1, NULL);
    estate_wait_controller(estate, 3000);
    for (int i = 1; i <= 2; i++)
        estate_command(
            estate, "{\"do\":\"engine-fault\",\"engine\":\"llm-%d\",\"fault\":\"%s\",\"count\":1}",
            i, fault);
    model_request(estate, 0, "m5", "f1");
    g_assert_cmpint(estate_runs(estate, "f1"), ==, 1);
    model_request(estate, 0, "m6", "f2");
    g_usleep(2000000); /* delayed orders are executed */
    model_request(estate, 0, "m7", "f3");
    g_assert_cmpint(estate_runs(estate, "f3"), ==, 1);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

static void test_orders_without_answer(void) {
    order_fault_test("order-lost");
    order_fault_test("order-late");
}

/* A model is loaded once, even if nodes report late that no request waits for it any more. */
static void test_model_is_loaded_once(void) {
    estate_t *estate = estate_start(2, "--demand-interval-ms=3000");
    int controller = estate_wait_controller(estate, 3000);
    model_request(estate, 1 - controller, "m5", "o1");
    g_usleep(2000000);
    g_assert_cmpint(estate_runs(estate, "o1"), ==, 1);
    g_assert_cmpint(estate_orders(estate, "model_load", "m5"), ==, 1);
    estate_stop(estate);
}

/* A model whose only engine dies is loaded on another engine. */
static void test_engine_dies(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_wait_controller(estate, 3000);
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"llm-2\",\"announce\":true}");
    g_usleep(500000);
    model_request(estate, 0, "m2", "d1");
    g_assert_cmpint(estate_runs(estate, "d1"), ==, 1);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Loads of a model that crashes every engine back off after a few crashes, and other models are
 * served. */
static void test_model_that_crashes_engines(void) {
    enum { MAX_CRASHES = 4, DURATION_MS = 12000 };
    estate_t *estate = estate_start(2, NULL);
    estate_wait_controller(estate, 8000);
    for (int engine = 1; engine <= 2; engine++) {
        estate_command(estate,
                       "{\"do\":\"engine-crash-model\",\"engine\":\"llm-%d\",\"model\":\"m5\"}",
                       engine);
    }
    int64_t until_ms = harness_now_ms() + DURATION_MS;
    for (int i = 0; harness_now_ms() < until_ms; i++) {
        g_autofree char *id = g_strdup_printf("x%d", i);
        wire_response_free(
            wire_request(estate->nodes[i % 2].clients_port, "/note/x", id, EDGE_MODEL("m5")));
        g_usleep(100000);
    }
    json_t *seen = estate_records(estate);
    size_t crashes = json_array_size(json_object_get(seen, "crashes"));
    json_decref(seen);
    g_test_message("%zu engines crashed", crashes);
    g_assert_cmpint(crashes, >=, 2);
    g_assert_cmpint(crashes, <=, MAX_CRASHES);
    for (int node = 0; node < 2; node++) {
        g_autofree char *id = g_strdup_printf("y%d", node);
        wire_response_t *answer =
            wire_request(estate->nodes[node].clients_port, "/note/x", id, EDGE_MODEL("m0"));
        g_assert_cmpint(answer->status, ==, 200);
        wire_response_free(answer);
    }
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/control/model-that-crashes-engines", test_model_that_crashes_engines);
    g_test_add_func("/edge/control/strongest-takes-over", test_strongest_takes_over);
    g_test_add_func("/edge/control/takeover", test_takeover);
    g_test_add_func("/edge/control/successor-orders-others-at-once",
                    test_successor_orders_others_at_once);
    g_test_add_func("/edge/control/refused-while-nobody-decides",
                    test_refused_while_nobody_decides);
    g_test_add_func("/edge/control/frozen-controller", test_frozen_controller);
    g_test_add_func("/edge/control/released-lease", test_released_lease);
    g_test_add_func("/edge/control/orders-without-answer", test_orders_without_answer);
    g_test_add_func("/edge/control/model-is-loaded-once", test_model_is_loaded_once);
    g_test_add_func("/edge/control/engine-dies", test_engine_dies);
}

PROCESS_TEST_MAIN(tests_add)
