/* Requests that are sent again stay within their bound over all nodes.
 *
 * Seen: while engines turned most requests away, a service got twice the arrivals beyond the first
 * of a request that are allowed in 10 s (196 where 95 were), on days on which nodes were killed,
 * started again, added or turned away by the store at the same time.
 *
 * How it came about: each node has an equal share of the slack. A process that was killed had spent
 * it; the next one on that machine began with a whole one. A node that the store turned away
 * divided by the number that it knew, while those that came since had their shares, too.
 *
 * Cause: a share was taken for granted by whoever could work one out. Nothing made sure that all
 * who spend in a window divide by all who do: neither by what a process before had spent, nor by
 * nodes that didn't know of each other.
 *
 * Proof: a line for each request sent again, with the share and by how many it was divided, added
 * up to what the engines saw to the last one (173 of 173), each life of a process with a share of
 * its own and 11 nodes' shares beside 7 nodes'; and these tests. That nodes which nobody disturbed
 * came out above the bound, too, has another cause, which the test of the retry budget tells. */
#include "edge.h"

#include "harness/budget_oracle.h"

#define RATIO 0.2
#define SLACK 24
#define WINDOW_MS 4000
#define FLAGS "--retry-ratio=0.2 --retry-slack=24 --retry-window-s=4"
/* Time between two requests of all callers together. */
#define PACE_US 25000

/* Callers that send one request after the other, whatever becomes of those before. */
typedef struct callers_t {
    const estate_t *estate;
    budget_oracle_t *oracle;
    GPtrArray *wires;
    int sent;
} callers_t;

static callers_t callers_begin(const estate_t *estate) {
    return (callers_t){estate, budget_oracle_create(RATIO, SLACK, WINDOW_MS),
                       g_ptr_array_new_with_free_func((GDestroyNotify)wire_close), 0};
}

static void callers_send(callers_t *callers) {
    const estate_t *estate = callers->estate;
    int number = callers->sent++;
    budget_oracle_request(callers->oracle, harness_now_ms());
    wire_t *wire = wire_try_open(estate->nodes[number % estate->node_count].callers_port);
    if (wire == NULL) {
        return; /* the node is down */
    }
    g_autofree char *id = g_strdup_printf("r%d", number);
    wire_post(wire, "/lock/x", id, EDGE_DEADLINE, "hello");
    g_ptr_array_add(callers->wires, wire);
}

static void callers_send_for(callers_t *callers, int64_t duration_ms) {
    int64_t until_ms = harness_now_ms() + duration_ms;
    while (harness_now_ms() < until_ms) {
        callers_send(callers);
        g_usleep(PACE_US);
    }
}

/* Checks what the engines saw, and that requests were sent again at all. */
static void callers_end(callers_t *callers) {
    json_t *seen = estate_seen(callers->estate);
    size_t i;
    json_t *arrival;
    json_array_foreach(json_object_get(seen, "arrivals"), i, arrival) {
        budget_oracle_arrival(callers->oracle, json_string_value(json_object_get(arrival, "id")),
                              json_integer_value(json_object_get(arrival, "at_ms")));
    }
    json_decref(seen);
    budget_worst_t worst = budget_oracle_worst(callers->oracle);
    g_test_message("%u arrivals beyond the first for %u requests, %.1f allowed", worst.repeats,
                   worst.requests, worst.allowed);
    g_assert_cmpuint(worst.repeats, >, 0);
    g_assert_cmpfloat(worst.repeats, <=, worst.allowed);
    g_ptr_array_unref(callers->wires);
    budget_oracle_free(callers->oracle);
}

static void shares_wait(const estate_t *estate) {
    for (int i = 0; i < estate->node_count; i++) {
        estate_wait_share(estate, i, estate->node_count);
    }
}

/* All engines of the service turn everything away from now on. */
static void engines_reject(const estate_t *estate) {
    for (int i = 1; i <= ESTATE_PROXIED_ENGINES; i++) {
        estate_do(estate,
                  "{\"do\":\"engine-fault\",\"engine\":\"lock-%d\",\"fault\":\"reject\","
                  "\"count\":1000000}",
                  i);
    }
}

/* Requests that nodes have sent again, as they count them. */
static int repeats_count(const estate_t *estate) {
    double count = 0;
    for (int i = 0; i < estate->node_count; i++) {
        count += estate_metric(estate, i, "resends_total");
    }
    return (int)count;
}

/* Nobody disturbs the nodes. */
static void test_undisturbed(void) {
    estate_t *estate = estate_start(3, FLAGS);
    shares_wait(estate);
    callers_t callers = callers_begin(estate);
    callers_send_for(&callers, WINDOW_MS);
    engines_reject(estate);
    callers_send_for(&callers, 2 * WINDOW_MS);
    callers_end(&callers);
    estate_stop(estate);
}

/* What a process has spent still counts when the next one runs on its machine. */
static void test_nodes_killed_again_and_again(void) {
    estate_t *estate = estate_start(3, FLAGS);
    shares_wait(estate);
    callers_t callers = callers_begin(estate);
    callers_send_for(&callers, WINDOW_MS);
    engines_reject(estate);
    for (int i = 0; i < 9; i++) {
        callers_send_for(&callers, 700);
        process_kill(&estate->nodes[i % 3].process);
        estate_node_launch(estate, i % 3);
    }
    callers_end(&callers);
    estate_stop(estate);
}

/* Nodes are added that one of those before can't learn of. */
static void test_nodes_added_unseen(void) {
    estate_t *estate = estate_start(1, FLAGS);
    shares_wait(estate);
    callers_t callers = callers_begin(estate);
    callers_send_for(&callers, WINDOW_MS);
    estate_store_fault(estate, 0, "cut", 0);
    engines_reject(estate);
    for (int i = 0; i < 3; i++) {
        estate_wait_ready(estate, estate_node_add(estate));
    }
    callers_send_for(&callers, 2 * WINDOW_MS);
    callers_end(&callers);
    estate_stop(estate);
}

/* A share is there to be used: that of nodes which nobody disturbs is spent. */
static void test_share_is_used(void) {
    estate_t *estate = estate_start(3, FLAGS);
    shares_wait(estate);
    callers_t callers = callers_begin(estate);
    callers_send_for(&callers, WINDOW_MS / 4);
    engines_reject(estate);
    callers_send_for(&callers, WINDOW_MS);
    g_assert_cmpint(repeats_count(estate), >=, SLACK);
    callers_end(&callers);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/budget/undisturbed", test_undisturbed);
    g_test_add_func("/edge/budget/nodes-killed-again-and-again", test_nodes_killed_again_and_again);
    g_test_add_func("/edge/budget/nodes-added-unseen", test_nodes_added_unseen);
    g_test_add_func("/edge/budget/share-is-used", test_share_is_used);
}

PROCESS_TEST_MAIN(tests_add)
