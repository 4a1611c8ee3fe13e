/* A node that is cut off from peers or the store immediately refuses requests for models that
 * aren't loaded, so that clients try another node, and keeps serving loaded models. */
#include "edge.h"

#include <string.h>

/* Longer than the time after which a node considers the controller or the store unreachable. */
#define CUT_OFF_DETECTION_US 3500000
/* Longer than a takeover with LEASE_FLAGS, after which the cut-off node stops waiting for one. */
#define TAKEOVER_US 3000000
#define LEASE_FLAGS "--lease-quiet-ms=1000 --lease-duration-ms=800"
/* Maximum time of an immediate refusal on a busy machine. */
#define AT_ONCE_MS 250
/* Retry-After must be short, because other nodes can serve the request. */
#define COME_BACK_MOST_S 1.0

/* Asserts that a request for a model that isn't loaded is refused at once with a Retry-After. */
static void assert_refused_at_once(const estate_t *estate, int node, const char *id) {
    int64_t sent_ms = harness_now_ms();
    wire_response_t *answer =
        wire_request(estate->nodes[node].clients_port, "/chat/x", id, EDGE_MODEL("m5"));
    int64_t elapsed_ms = harness_now_ms() - sent_ms;
    g_test_message("%s: %d after %d ms", id, answer->status, (int)elapsed_ms);
    g_assert_cmpint(answer->status, ==, 503);
    g_assert_cmpint(elapsed_ms, <, AT_ONCE_MS);
    const char *header = strstr(answer->head->str, "Retry-After: ");
    g_assert_nonnull(header);
    g_assert_cmpfloat(g_ascii_strtod(header + strlen("Retry-After: "), NULL), <, COME_BACK_MOST_S);
    wire_response_free(answer);
    g_assert_cmpint(estate_runs(estate, id), ==, 0);
}

/* A cluster whose nodes have been connected to each other and the controller for a second. */
typedef struct cut_off_test_t {
    estate_t *estate;
    int controller;
    int cut; /* the node to cut off */
} cut_off_test_t;

static cut_off_test_t cut_off_create(int nodes) {
    cut_off_test_t test = {estate_start(nodes, LEASE_FLAGS), 0, 0};
    test.controller = estate_wait_controller(test.estate, 8000);
    test.cut = (test.controller + 1) % nodes;
    g_usleep(1000000);
    return test;
}

static void assert_served(const estate_t *estate, int node, const char *id, const char *headers) {
    wire_response_t *answer =
        wire_request(estate->nodes[node].clients_port, "/chat/x", id, headers);
    g_assert_cmpint(answer->status, ==, 200);
    wire_response_free(answer);
    g_assert_cmpint(estate_runs(estate, id), ==, 1);
}

/* Cut off from its peers only: the node sees that an unreachable controller renews the lease. */
static void test_from_peers(void) {
    cut_off_test_t test = cut_off_create(2);
    estate_t *estate = test.estate;
    int controller = test.controller;
    int cut = test.cut;
    estate_link_fault(estate, controller, "cut", 0);
    g_usleep(CUT_OFF_DETECTION_US);
    assert_refused_at_once(estate, cut, "p1");
    assert_served(estate, cut, "p2", EDGE_MODEL("m0"));
    /* The client's retry reaches another node. */
    assert_served(estate, controller, "p3", EDGE_MODEL("m5"));
    estate_link_fault(estate, controller, "pass", 0);
    g_usleep(2000000);
    assert_served(estate, cut, "p4", EDGE_MODEL("m6"));
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Cut off from its peers and the store, first while a takeover may be pending, then after it. */
static void test_from_peers_and_store(void) {
    cut_off_test_t test = cut_off_create(2);
    estate_t *estate = test.estate;
    int controller = test.controller;
    int cut = test.cut;
    estate_link_fault(estate, controller, "cut", 0);
    estate_store_fault(estate, cut, "freeze", 0);
    g_usleep(CUT_OFF_DETECTION_US);
    assert_refused_at_once(estate, cut, "b1");
    g_usleep(TAKEOVER_US);
    assert_refused_at_once(estate, cut, "b2");
    assert_served(estate, cut, "b3", EDGE_MODEL("m0"));
    assert_served(estate, controller, "b4", EDGE_MODEL("m5"));
    estate_link_fault(estate, controller, "pass", 0);
    estate_store_fault(estate, cut, "pass", 0);
    g_usleep(4000000);
    assert_served(estate, cut, "b5", EDGE_MODEL("m6"));
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* A request that is waiting when its node is cut off is refused before its deadline. */
static void test_while_it_waits(void) {
    cut_off_test_t test = cut_off_create(2);
    estate_t *estate = test.estate;
    int controller = test.controller;
    int cut = test.cut;
    estate_link_fault(estate, controller, "cut", 0);
    estate_store_fault(estate, cut, "freeze", 0);
    int64_t sent_ms = harness_now_ms();
    wire_response_t *answer =
        wire_request(estate->nodes[cut].clients_port, "/chat/x", "w1", EDGE_MODEL("m5"));
    g_test_message("%d after %d ms", answer->status, (int)(harness_now_ms() - sent_ms));
    g_assert_cmpint(answer->status, ==, 503);
    g_assert_cmpint(harness_now_ms() - sent_ms, <, 2500);
    wire_response_free(answer);
    estate_stop(estate);
}

/* Cut off from the store only, while the controller changes: the new controller announces itself,
 * and the node serves models that weren't loaded. */
static void test_from_store_while_the_controller_changes(void) {
    cut_off_test_t test = cut_off_create(3);
    estate_t *estate = test.estate;
    int controller = test.controller;
    int cut = test.cut;
    estate_store_fault(estate, cut, "cut", 0);
    process_kill(&estate->nodes[controller].process);
    g_usleep(CUT_OFF_DETECTION_US);
    int successor = estate_wait_controller(estate, 8000);
    g_assert_cmpint(successor, !=, cut);
    g_usleep(2500000);
    assert_served(estate, cut, "c1", EDGE_MODEL("m5"));
    g_assert_true(estate_log_has(estate, successor, "\"event\":\"announced\""));
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* The controller and another node are cut off from the store but not from each other: both must
 * find the new controller. */
static void test_controller_and_another_from_store(void) {
    cut_off_test_t test = cut_off_create(3);
    estate_t *estate = test.estate;
    int controller = test.controller;
    int cut = test.cut;
    estate_store_fault(estate, cut, "cut", 0);
    estate_store_fault(estate, controller, "cut", 0);
    g_usleep(CUT_OFF_DETECTION_US);
    g_usleep(2500000);
    assert_served(estate, cut, "d1", EDGE_MODEL("m5"));
    assert_served(estate, controller, "d2", EDGE_MODEL("m6"));
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/cut-off/from-store-while-the-controller-changes",
                    test_from_store_while_the_controller_changes);
    g_test_add_func("/edge/cut-off/controller-and-another-from-store",
                    test_controller_and_another_from_store);
    g_test_add_func("/edge/cut-off/from-peers", test_from_peers);
    g_test_add_func("/edge/cut-off/from-peers-and-store", test_from_peers_and_store);
    g_test_add_func("/edge/cut-off/while-it-waits", test_while_it_waits);
}

PROCESS_TEST_MAIN(tests_add)
