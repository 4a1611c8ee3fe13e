/* Engines' reported pace and load reach all nodes, also through failures. */
#include "edge.h"

#include <string.h>

#define NODES 3
/* Time to reach all nodes: reports each 250 ms, updates each 500 ms, and the event loops' ticks. */
#define PROPAGATION_US 1200000
#define ASKED 8
/* Prefill takes 80 ms longer on the slow engine, which outweighs zones and random choice. */
#define HEADERS "Model: m0\r\nPrompt-Prefix: ab:500,cd:500\r\n" EDGE_DEADLINE

static void pace_set(const estate_t *estate, const char *engine, const char *reported,
                     int percent) {
    estate_command(estate,
                   "{\"do\":\"engine-pace\",\"engine\":\"%s\",\"told\":\"%s\",\"percent\":%d}",
                   engine, reported, percent);
}

/* Sends requests for m0, which both engines have. Returns how many of them ran on llm-1. */
static int asked_at_first(const estate_t *estate, int node, const char *prefix, int count) {
    for (int i = 0; i < count; i++) {
        g_autofree char *id = g_strdup_printf("%s-%d", prefix, i);
        wire_response_t *answer =
            wire_request(estate->nodes[node].clients_port, "/chat/x", id, HEADERS);
        g_assert_cmpint(answer->status, ==, 200);
        wire_response_free(answer);
    }
    json_t *seen = estate_records(estate);
    const json_t *runs = json_object_get(seen, "runs");
    int first = 0;
    for (size_t i = 0; i < json_array_size(runs); i++) {
        const json_t *run = json_array_get(runs, i);
        const char *id = json_string_value(json_object_get(run, "id"));
        const char *engine = json_string_value(json_object_get(run, "engine"));
        first += g_str_has_prefix(id, prefix) && strcmp(engine, "llm-1") == 0;
    }
    json_decref(seen);
    return first;
}

/* A node that got no response from either engine uses the one that other nodes found faster. */
static void test_others_learn(void) {
    estate_t *estate = estate_start(NODES, NULL);
    pace_set(estate, "llm-1", "300", 300);
    pace_set(estate, "llm-2", "50", 50);
    int holder = estate_wait_controller(estate, 3000);
    asked_at_first(estate, (holder + 1) % NODES, "learn", 2 * ASKED);
    g_usleep(PROPAGATION_US);
    g_assert_cmpint(asked_at_first(estate, (holder + 2) % NODES, "other", ASKED), ==, 0);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* After the aggregator is killed, its restarted node gets the paces from the remaining nodes. */
static void test_outlives_its_keeper(void) {
    estate_t *estate = estate_start(NODES, "--lease-quiet-ms=1000 --lease-duration-ms=800");
    pace_set(estate, "llm-1", "300", 300);
    pace_set(estate, "llm-2", "50", 50);
    int holder = estate_wait_controller(estate, 3000);
    int receiver = (holder + 1) % NODES;
    asked_at_first(estate, receiver, "learn", 2 * ASKED);
    g_usleep(PROPAGATION_US);
    process_kill(&estate->nodes[holder].process);
    g_usleep(500000);
    estate_wait_controller(estate, 8000);
    asked_at_first(estate, receiver, "again", 2); /* reported to the new aggregator */
    estate_node_launch(estate, holder);
    estate_wait_ready(estate, holder);
    g_usleep(2 * PROPAGATION_US);
    g_assert_cmpint(asked_at_first(estate, holder, "new", ASKED), ==, 0);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* A node that is cut off from all others keeps using the paces it knows. */
static void test_cut_off(void) {
    estate_t *estate = estate_start(NODES, NULL);
    pace_set(estate, "llm-1", "300", 300);
    pace_set(estate, "llm-2", "50", 50);
    int holder = estate_wait_controller(estate, 3000);
    int cut = (holder + 1) % NODES;
    asked_at_first(estate, cut, "learn", 2 * ASKED);
    g_usleep(PROPAGATION_US);
    estate_link_fault(estate, holder, "freeze", 0);
    g_usleep(3000000);
    g_assert_cmpint(asked_at_first(estate, cut, "cut", ASKED), ==, 0);
    estate_link_fault(estate, holder, "pass", 0);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Malformed and out-of-range values are counted and otherwise ignored: requests are served. */
static void test_figures_that_lie(void) {
    static const char *const invalid_values[] = {"0", "-50", "1000000000", "fast"};
    estate_t *estate = estate_start(1, NULL);
    for (guint i = 0; i < G_N_ELEMENTS(invalid_values); i++) {
        pace_set(estate, "llm-1", invalid_values[i], 100);
        pace_set(estate, "llm-2", invalid_values[i], 100);
        g_autofree char *prefix = g_strdup_printf("lie%u", i);
        asked_at_first(estate, 0, prefix, 3);
    }
    g_assert_cmpfloat(estate_metric(estate, 0, "engine_figures_refused_total"), >=, 12);
    int first = asked_at_first(estate, 0, "both", 4 * ASKED);
    g_test_message("%d of %d at llm-1", first, 4 * ASKED);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* With --engine-pace=0 reported paces don't change which engine runs a prompt's requests. */
static void test_switched_off(void) {
    estate_t *estate = estate_start(1, "--engine-pace=0");
    int before = asked_at_first(estate, 0, "before", ASKED);
    pace_set(estate, "llm-1", "300", 300);
    pace_set(estate, "llm-2", "300", 300);
    int after = asked_at_first(estate, 0, "after", ASKED);
    g_assert_cmpint(before, ==, after);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/pace/others-learn", test_others_learn);
    g_test_add_func("/edge/pace/outlives-its-keeper", test_outlives_its_keeper);
    g_test_add_func("/edge/pace/cut-off", test_cut_off);
    g_test_add_func("/edge/pace/figures-that-lie", test_figures_that_lie);
    g_test_add_func("/edge/pace/switched-off", test_switched_off);
}

PROCESS_TEST_MAIN(tests_add)
