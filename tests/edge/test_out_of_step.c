/* Guards against streams that hold events of two software versions where a node was out of step
 * with the others, cut off or standing still, while engines of another version joined. */
#include "versions.h"

#include <signal.h>

/* Streams that are taken up without naming them. */
#define UNNAMED EDGE_MODEL("m3") "Last-Event-Id: 2\r\n"
#define LATE_STREAMS 6
#define LATE_SPREAD_US 100000
#define ANSWER_MS 7000
/* Streams are no older than this, so that a version that has left for longer counts no more. */
#define SHORT_AGE " --stream-age-max-s=3 --resume-window-s=2 --lease-duration-ms=4000"
/* Time until a version that leaves counts no more: its engines' leaving, and the above. */
#define AGED_US 7500000
/* Nodes that get no updates read the engines themselves by then; shorter than the lease. */
#define UNSEEN_US 1900000
/* Take-ups follow the holder's return, until it has read the engines. */
#define RETURN_STREAMS 10
#define RETURN_SPREAD_US 60000

/* Starts nodes with engines a1 and a2 of version v1. */
static estate_t *nodes_start(int nodes, const char *flags) {
    estate_t *estate = estate_start(nodes, flags);
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
        g_snprintf(id, 32, "b%d", ++number);
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
    estate_t *estate = nodes_start(NODES, FLAGS);
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

/* Guards against a version that comes back after its streams are too old, while the lease's holder
 * stands still: other nodes that have had it before begin streams there, and the holder concludes,
 * before it has read the engines again, that only the other version can have begun them. */
static void test_version_returns(void) {
    estate_t *estate = nodes_start(NODES, FLAGS SHORT_AGE);
    char id[32];
    wire_t *wires[RETURN_STREAMS];
    int joined = 0;
    version_start(estate, "llm", "v2", "b1", "b2");
    g_usleep(SETTLE_US);
    version_stop(estate, "a1", "a2");
    g_usleep(AGED_US);
    int controller = estate_wait_controller(estate, 8000);
    wire_response_t *answer =
        wire_request(estate->nodes[controller].clients_port, "/once/x", "early", UNNAMED);
    g_assert_cmpstr(version_of(answer), ==, "v2"); /* by then v2 is the only one */
    wire_response_free(answer);
    process_signal(&estate->nodes[controller].process, SIGSTOP);
    version_start(estate, "llm", "v1", "c1", "c2");
    stream_fault_set(estate, "c1", "cut", 1000);
    stream_fault_set(estate, "c2", "cut", 1000);
    g_usleep(UNSEEN_US);
    gboolean began = stream_begin_try(estate, (controller + 1) % NODES, "v1", id);
    for (int i = 0; i < RETURN_STREAMS; i++) {
        if (i == 1)
            process_signal(&estate->nodes[controller].process, SIGCONT);
        g_snprintf(id, sizeof(id), "t%d", i);
        wires[i] = wire_open(estate->nodes[controller].clients_port);
        wire_post(wires[i], "/once/x", id, UNNAMED, "hello");
        g_usleep(RETURN_SPREAD_US);
    }
    for (int i = 0; i < RETURN_STREAMS; i++) {
        g_snprintf(id, sizeof(id), "t%d", i);
        joined += answer_has(wires[i], "v2", id);
    }
    g_test_message("streams %s", began ? "began at v1" : "waited for v1 to be stored");
    g_assert_false(began && joined > 0);
    g_assert_true(stream_begin_try(estate, (controller + 1) % NODES, "v1", id));
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/out-of-step/version-returns", test_version_returns);
    g_test_add_func("/edge/out-of-step/late-answer", test_late_answer);
}

PROCESS_TEST_MAIN(tests_add)
