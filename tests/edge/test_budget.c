/* The bound on retries holds over all nodes, also while nodes are killed, restarted, added, or cut
 * off from the store: neither a new process nor unknown nodes may add to the budget of a window. */
#include "edge.h"

#include "harness/budget_oracle.h"

#define RATIO 0.2
#define SLACK 24
#define WINDOW_MS 4000
#define FLAGS "--retry-ratio=0.2 --retry-slack=24 --retry-window-s=4"
/* Time between two requests, over all clients. */
#define SEND_INTERVAL_US 25000

/* Clients that send requests at a constant rate without waiting for responses. */
typedef struct clients_t {
    const estate_t *estate;
    budget_oracle_t *oracle;
    GPtrArray *wires;
    int sent;
} clients_t;

static clients_t clients_create(const estate_t *estate) {
    return (clients_t){estate, budget_oracle_create(RATIO, SLACK, WINDOW_MS),
                       g_ptr_array_new_with_free_func((GDestroyNotify)wire_close), 0};
}

static void client_send(clients_t *clients) {
    const estate_t *estate = clients->estate;
    int index = clients->sent++;
    budget_oracle_request(clients->oracle, harness_now_ms());
    wire_t *wire = wire_try_open(estate->nodes[index % estate->node_count].clients_port);
    if (wire == NULL) {
        return; /* the node is down */
    }
    g_autofree char *id = g_strdup_printf("r%d", index);
    wire_post(wire, "/lock/x", id, EDGE_DEADLINE, "hello");
    g_ptr_array_add(clients->wires, wire);
}

static void clients_send_for(clients_t *clients, int64_t duration_ms) {
    int64_t until_ms = harness_now_ms() + duration_ms;
    while (harness_now_ms() < until_ms) {
        client_send(clients);
        g_usleep(SEND_INTERVAL_US);
    }
}

/* Checks the bound against arrivals at the engines, and that there were retries at all. */
static void clients_finish(clients_t *clients) {
    json_t *seen = estate_records(clients->estate);
    size_t i;
    json_t *arrival;
    json_array_foreach(json_object_get(seen, "arrivals"), i, arrival) {
        budget_oracle_arrival(clients->oracle, json_string_value(json_object_get(arrival, "id")),
                              json_integer_value(json_object_get(arrival, "at_ms")));
    }
    json_decref(seen);
    budget_window_t worst = budget_oracle_worst_window(clients->oracle);
    g_test_message("%u arrivals beyond the first for %u requests, %.1f allowed", worst.repeats,
                   worst.requests, worst.allowed);
    g_assert_cmpuint(worst.repeats, >, 0);
    g_assert_cmpfloat(worst.repeats, <=, worst.allowed);
    g_ptr_array_unref(clients->wires);
    budget_oracle_free(clients->oracle);
}

static void shares_wait(const estate_t *estate) {
    for (int i = 0; i < estate->node_count; i++) {
        estate_wait_retry_share(estate, i, estate->node_count);
    }
}

/* Makes all engines of the service reject every request from now on. */
static void engines_reject(const estate_t *estate) {
    for (int i = 1; i <= ESTATE_LOCK_ENGINES; i++) {
        estate_command(estate,
                       "{\"do\":\"engine-fault\",\"engine\":\"lock-%d\",\"fault\":\"reject\","
                       "\"count\":1000000}",
                       i);
    }
}

/* Retries as counted by the nodes. */
static int repeats_count(const estate_t *estate) {
    double count = 0;
    for (int i = 0; i < estate->node_count; i++) {
        count += estate_metric(estate, i, "resends_total");
    }
    return (int)count;
}

/* The bound holds without faults at the nodes, while the engines reject every request. */
static void test_undisturbed(void) {
    estate_t *estate = estate_start(3, FLAGS);
    shares_wait(estate);
    clients_t clients = clients_create(estate);
    clients_send_for(&clients, WINDOW_MS);
    engines_reject(estate);
    clients_send_for(&clients, 2 * WINDOW_MS);
    clients_finish(&clients);
    estate_stop(estate);
}

/* Retries sent by a killed process count against the budget of its successor. */
static void test_nodes_killed_again_and_again(void) {
    estate_t *estate = estate_start(3, FLAGS);
    shares_wait(estate);
    clients_t clients = clients_create(estate);
    clients_send_for(&clients, WINDOW_MS);
    engines_reject(estate);
    for (int i = 0; i < 9; i++) {
        clients_send_for(&clients, 700);
        process_kill(&estate->nodes[i % 3].process);
        estate_node_launch(estate, i % 3);
    }
    clients_finish(&clients);
    estate_stop(estate);
}

/* Nodes are added while an older node, cut off from the store, can't learn of them. */
static void test_nodes_added_unseen(void) {
    estate_t *estate = estate_start(1, FLAGS);
    shares_wait(estate);
    clients_t clients = clients_create(estate);
    clients_send_for(&clients, WINDOW_MS);
    estate_store_fault(estate, 0, "cut", 0);
    engines_reject(estate);
    for (int i = 0; i < 3; i++) {
        estate_wait_ready(estate, estate_node_add(estate));
    }
    clients_send_for(&clients, 2 * WINDOW_MS);
    clients_finish(&clients);
    estate_stop(estate);
}

/* Guards against a budget that is too strict: without faults at the nodes it can be spent. */
static void test_share_is_used(void) {
    estate_t *estate = estate_start(3, FLAGS);
    shares_wait(estate);
    clients_t clients = clients_create(estate);
    clients_send_for(&clients, WINDOW_MS / 4);
    engines_reject(estate);
    clients_send_for(&clients, WINDOW_MS);
    g_assert_cmpint(repeats_count(estate), >=, SLACK);
    clients_finish(&clients);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/budget/undisturbed", test_undisturbed);
    g_test_add_func("/edge/budget/nodes-killed-again-and-again", test_nodes_killed_again_and_again);
    g_test_add_func("/edge/budget/nodes-added-unseen", test_nodes_added_unseen);
    g_test_add_func("/edge/budget/share-is-used", test_share_is_used);
}

PROCESS_TEST_MAIN(tests_add)
