/* Guards against streams that hold events of two software versions where a node was out of step
 * with the others, cut off or standing still, while engines of another version joined. */
#include "versions.h"

/* Streams that are taken up without naming them. */
#define UNNAMED EDGE_MODEL("m3") "Last-Event-Id: 2\r\n"
#define LATE_STREAMS 6
#define LATE_SPREAD_US 100000
#define ANSWER_MS 7000

/* Starts nodes with engines a1 and a2 of version v1. Streams are broken off after two events. */
static estate_t *nodes_start(const char *flags) {
    estate_t *estate = estate_start(NODES, flags);
    estate_configure(estate, ROUTE("once", "1"));
    engine_stop(estate, "llm-1");
    engine_stop(estate, "llm-2");
    version_start(estate, "llm", "v1", "a1", "a2");
    estate_wait_controller(estate, 8000);
    g_usleep(SETTLE_US);
    return estate;
}

/* Begins streams at a node until one of this version is broken off, a few times. Returns FALSE if
 * none was. @param id out: of its request */
static gboolean stream_begin_try(const estate_t *estate, int node, const char *version,
                                 char id[32]) {
    static int number;
    for (int i = 0; i < STREAMS; i++) {
        g_snprintf(id, 32, "b%d", number++);
        wire_response_t *answer =
            wire_request(estate->nodes[node].clients_port, "/once/x", id, EDGE_MODEL("m3"));
        gboolean found = has_version(answer, version) && !answer->whole;
        wire_response_free(answer);
        if (found)
            return TRUE;
    }
    return FALSE;
}

/* Reads the answer to a take-up. Returns whether it has events of this version. */
static gboolean answer_has(wire_t *wire, const char *version, const char *name) {
    wire_response_t *answer = wire_read(wire, ANSWER_MS);
    gboolean found = has_version(answer, version);
    g_test_message("%s: status %d at %s", name, answer->status,
                   version_of(answer) != NULL ? version_of(answer) : "none");
    wire_response_free(answer);
    wire_close(wire);
    return found;
}

/* Guards against an answer that was under way while a second version came, as nothing reached the
 * node from the controller's: it says how earlier streams began. */
static void test_late_answer(void) {
    estate_t *estate = nodes_start(FLAGS);
    int controller = estate_wait_controller(estate, 8000);
    int node = (controller + 1) % NODES;
    char id[32];
    wire_t *wires[LATE_STREAMS];
    int joined = 0;
    estate_link_fault(estate, controller, "freeze_answer", 0);
    g_usleep(SETTLE_US / 4);
    wire_response_t *answer =
        wire_request(estate->nodes[node].clients_port, "/once/x", "early", UNNAMED);
    g_assert_cmpint(answer->status, ==, 503);
    wire_response_free(answer);
    version_start(estate, "llm", "v2", "b1", "b2");
    faults_set(estate, "cut", 1000);
    g_usleep(SETTLE_US);
    g_assert_true(stream_begin_try(estate, controller, "v2", id));
    faults_set(estate, "", 0);
    for (int i = 0; i < LATE_STREAMS; i++) {
        g_snprintf(id, sizeof(id), "t%d", i);
        wires[i] = wire_open(estate->nodes[node].clients_port);
        wire_post(wires[i], "/once/x", id, UNNAMED, "hello");
        g_usleep(LATE_SPREAD_US);
    }
    estate_link_fault(estate, controller, "pass", 0);
    for (int i = 0; i < LATE_STREAMS; i++) {
        g_snprintf(id, sizeof(id), "t%d", i);
        joined += answer_has(wires[i], "v1", id);
    }
    g_assert_cmpint(joined, ==, 0);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/out-of-step/late-answer", test_late_answer);
}

PROCESS_TEST_MAIN(tests_add)
