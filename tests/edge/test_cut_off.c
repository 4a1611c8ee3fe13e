/* A node that is cut off says at once that it can't serve what isn't loaded, so that its callers go
 * to another node; what is loaded it serves on. */
#include "edge.h"

#include <string.h>

/* Longer than the time in which a node would hear the controller or the store again. */
#define CUT_OFF_US 3500000
/* A lease of the times below is taken over after so long; the cut node knows it and waits no more.
 */
#define TAKEOVER_US 3000000
#define LEASE_FLAGS "--lease-quiet-ms=1000 --lease-duration-ms=800"
/* What "at once" may take on a busy machine. */
#define AT_ONCE_MS 250
/* A caller that comes back later than this has waited for nothing: other nodes are well. */
#define COME_BACK_MOST_S 1.0

/* Asks for a model that no engine holds, and is refused at once with a time to come back. */
static void assert_refused_at_once(const estate_t *estate, int node, const char *id) {
    int64_t asked_ms = harness_now_ms();
    wire_answer_t *answer =
        wire_ask(estate->nodes[node].callers_port, "/chat/x", id, EDGE_MODEL("m5"));
    int64_t took_ms = harness_now_ms() - asked_ms;
    g_test_message("%s: %d after %d ms", id, answer->status, (int)took_ms);
    g_assert_cmpint(answer->status, ==, 503);
    g_assert_cmpint(took_ms, <, AT_ONCE_MS);
    const char *told = strstr(answer->head->str, "Retry-After: ");
    g_assert_nonnull(told);
    g_assert_cmpfloat(g_ascii_strtod(told + strlen("Retry-After: "), NULL), <, COME_BACK_MOST_S);
    wire_answer_free(answer);
    g_assert_cmpint(estate_runs(estate, id), ==, 0);
}

/* An estate whose nodes have known each other and the controller for a second. */
typedef struct cut_off_t {
    estate_t *estate;
    int controller;
    int cut; /* the node next to it */
} cut_off_t;

static cut_off_t cut_off_begin(int nodes) {
    cut_off_t scene = {estate_start(nodes, LEASE_FLAGS), 0, 0};
    scene.controller = estate_wait_controller(scene.estate, 8000);
    scene.cut = (scene.controller + 1) % nodes;
    g_usleep(1000000);
    return scene;
}

static void assert_served(const estate_t *estate, int node, const char *id, const char *headers) {
    wire_answer_t *answer = wire_ask(estate->nodes[node].callers_port, "/chat/x", id, headers);
    g_assert_cmpint(answer->status, ==, 200);
    wire_answer_free(answer);
    g_assert_cmpint(estate_runs(estate, id), ==, 1);
}

/* Cut off from its peers only: it sees that the lease is renewed by one that it can't reach. */
static void test_from_peers(void) {
    cut_off_t scene = cut_off_begin(2);
    estate_t *estate = scene.estate;
    int controller = scene.controller;
    int cut = scene.cut;
    estate_link_fault(estate, controller, "cut", 0);
    g_usleep(CUT_OFF_US);
    assert_refused_at_once(estate, cut, "p1");
    assert_served(estate, cut, "p2", EDGE_MODEL("m0"));
    /* The caller's next try reaches another node. */
    assert_served(estate, controller, "p3", EDGE_MODEL("m5"));
    estate_link_fault(estate, controller, "pass", 0);
    g_usleep(2000000);
    assert_served(estate, cut, "p4", EDGE_MODEL("m6"));
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Cut off from its peers and from the store, at first while a take-over could be under way. */
static void test_from_peers_and_store(void) {
    cut_off_t scene = cut_off_begin(2);
    estate_t *estate = scene.estate;
    int controller = scene.controller;
    int cut = scene.cut;
    estate_link_fault(estate, controller, "cut", 0);
    estate_store_fault(estate, cut, "freeze", 0);
    g_usleep(CUT_OFF_US);
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

/* A request that waits as the node is cut off is refused once that is known, not at its deadline.
 */
static void test_while_it_waits(void) {
    cut_off_t scene = cut_off_begin(2);
    estate_t *estate = scene.estate;
    int controller = scene.controller;
    int cut = scene.cut;
    estate_link_fault(estate, controller, "cut", 0);
    estate_store_fault(estate, cut, "freeze", 0);
    int64_t asked_ms = harness_now_ms();
    wire_answer_t *answer =
        wire_ask(estate->nodes[cut].callers_port, "/chat/x", "w1", EDGE_MODEL("m5"));
    g_test_message("%d after %d ms", answer->status, (int)(harness_now_ms() - asked_ms));
    g_assert_cmpint(answer->status, ==, 503);
    g_assert_cmpint(harness_now_ms() - asked_ms, <, 2500);
    wire_answer_free(answer);
    estate_stop(estate);
}

/* Cut off from the store only, while the controller dies: the new one makes itself known, and what
 * isn't loaded is served as at any node. */
static void test_from_store_while_the_controller_changes(void) {
    cut_off_t scene = cut_off_begin(3);
    estate_t *estate = scene.estate;
    int controller = scene.controller;
    int cut = scene.cut;
    estate_store_fault(estate, cut, "cut", 0);
    process_kill(&estate->nodes[controller].process);
    g_usleep(CUT_OFF_US);
    int successor = estate_wait_controller(estate, 8000);
    g_assert_cmpint(successor, !=, cut);
    g_usleep(2500000);
    assert_served(estate, cut, "c1", EDGE_MODEL("m5"));
    g_assert_true(estate_log_has(estate, successor, "\"event\":\"announced\""));
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* The controller itself is cut off from the store, with another node: that one finds the new
 * controller though both could see each other all the time. */
static void test_controller_and_another_from_store(void) {
    cut_off_t scene = cut_off_begin(3);
    estate_t *estate = scene.estate;
    int controller = scene.controller;
    int cut = scene.cut;
    estate_store_fault(estate, cut, "cut", 0);
    estate_store_fault(estate, controller, "cut", 0);
    g_usleep(CUT_OFF_US);
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
