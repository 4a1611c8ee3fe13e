/* What nodes know of engines' paces and loads, over all nodes and through failures. */
#include "edge.h"

#include <string.h>

#define NODES 3
/* A report each 250 ms, news each 500 ms, and the loops' ticks. */
#define TOLD_US 1200000
#define ASKED 8
/* A prompt whose reading takes 80 ms longer at the slow engine: more than a zone or chance weigh.
 */
#define HEADERS "Model: m0\r\nPrompt-Prefix: ab:500,cd:500\r\n" EDGE_DEADLINE

static void pace_set(const estate_t *estate, const char *engine, const char *told, int percent) {
    estate_do(estate, "{\"do\":\"engine-pace\",\"engine\":\"%s\",\"told\":\"%s\",\"percent\":%d}",
              engine, told, percent);
}

/* Asks for m0, which both engines hold. Returns how often llm-1 ran it. */
static int asked_at_first(const estate_t *estate, int node, const char *prefix, int count) {
    for (int i = 0; i < count; i++) {
        g_autofree char *id = g_strdup_printf("%s-%d", prefix, i);
        wire_answer_t *answer = wire_ask(estate->nodes[node].callers_port, "/chat/x", id, HEADERS);
        g_assert_cmpint(answer->status, ==, 200);
        wire_answer_free(answer);
    }
    json_t *seen = estate_seen(estate);
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

/* A node that never heard of either engine sends to the fast one, as the others have heard. */
static void test_others_learn(void) {
    estate_t *estate = estate_start(NODES, NULL);
    pace_set(estate, "llm-1", "300", 300);
    pace_set(estate, "llm-2", "50", 50);
    int holder = estate_wait_controller(estate, 3000);
    asked_at_first(estate, (holder + 1) % NODES, "learn", 2 * ASKED);
    g_usleep(TOLD_US);
    g_assert_cmpint(asked_at_first(estate, (holder + 2) % NODES, "other", ASKED), ==, 0);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* The node that put all together is killed, and so is the one that had heard: a node that starts
 * anew learns from who is left. */
static void test_outlives_its_keeper(void) {
    estate_t *estate = estate_start(NODES, "--lease-quiet-ms=1000 --lease-duration-ms=800");
    pace_set(estate, "llm-1", "300", 300);
    pace_set(estate, "llm-2", "50", 50);
    int holder = estate_wait_controller(estate, 3000);
    int heard = (holder + 1) % NODES;
    asked_at_first(estate, heard, "learn", 2 * ASKED);
    g_usleep(TOLD_US);
    process_kill(&estate->nodes[holder].process);
    g_usleep(500000);
    estate_wait_controller(estate, 8000);
    asked_at_first(estate, heard, "again", 2); /* what it heard is told to the new one */
    estate_node_launch(estate, holder);
    estate_wait_ready(estate, holder);
    g_usleep(2 * TOLD_US);
    g_assert_cmpint(asked_at_first(estate, holder, "new", ASKED), ==, 0);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* A node that is cut off from all others goes on with what it knows. */
static void test_cut_off(void) {
    estate_t *estate = estate_start(NODES, NULL);
    pace_set(estate, "llm-1", "300", 300);
    pace_set(estate, "llm-2", "50", 50);
    int holder = estate_wait_controller(estate, 3000);
    int cut = (holder + 1) % NODES;
    asked_at_first(estate, cut, "learn", 2 * ASKED);
    g_usleep(TOLD_US);
    estate_link_fault(estate, holder, "freeze", 0);
    g_usleep(3000000);
    g_assert_cmpint(asked_at_first(estate, cut, "cut", ASKED), ==, 0);
    estate_link_fault(estate, holder, "pass", 0);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Figures that can't be do no harm: both engines serve, and it shows in the metrics. */
static void test_figures_that_lie(void) {
    static const char *const lies[] = {"0", "-50", "1000000000", "fast"};
    estate_t *estate = estate_start(1, NULL);
    for (guint i = 0; i < G_N_ELEMENTS(lies); i++) {
        pace_set(estate, "llm-1", lies[i], 100);
        pace_set(estate, "llm-2", lies[i], 100);
        g_autofree char *prefix = g_strdup_printf("lie%u", i);
        asked_at_first(estate, 0, prefix, 3);
    }
    g_assert_cmpfloat(estate_metric(estate, 0, "engine_figures_refused_total"), >=, 12);
    int first = asked_at_first(estate, 0, "both", 4 * ASKED);
    g_test_message("%d of %d at llm-1", first, 4 * ASKED);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Switched off, a told pace changes nothing: the prompt's home gets all. */
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
