/* Nodes that are cut off from engines, while clients, the store and other nodes reach them, serve
 * as the others do. */
#include "edge.h"

#include <signal.h>
#include <string.h>

#define FLAGS "--lease-quiet-ms=1000 --lease-duration-ms=800"
/* Time after which nodes that are cut off from engines must serve as the others do. */
#define CUT_DETECTION_US 3000000
#define ALL_ENGINES 15U
#define LOCK_ENGINES 3U
#define ROUNDS 8
/* Time for another node to take the lease over, and for its orders to be allowed. */
#define HANDOVER_MS 6000
#define HEAL_US 2000000
#define LOG_MS 1000
#define ACKNOWLEDGED_US 200000
#define SILENCE_US 1100000
#define EVENT_MS 600
/* Time after which an engine must not be at work for a client that has left. */
#define GONE_US 500000
/* Of its requests a node must serve this share of what the others serve, at least. */
#define SERVED_RATIO (2.0 / 3)
/* Longer than the stand-in's engines keep idle connections. */
#define KEEP_ALIVE_US 5500000

static gboolean is_served(const estate_t *estate, int node, const char *path, const char *id,
                          const char *headers) {
    wire_response_t *answer = wire_request(estate->nodes[node].clients_port, path, id, headers);
    gboolean served = answer->status == 200 && answer->whole;
    if (!served)
        g_test_message("%s at node %d: status %d", id, node, answer->status);
    wire_response_free(answer);
    return served;
}

/* Sends requests of each kind to a node. Returns how many are served at the first try; asserts that
 * none runs more often than its route allows. */
static int served_count(const estate_t *estate, int node, const char *phase) {
    static const char *const paths[] = {"/lock/x", "/look/x", "/chat/x"};
    int served = 0;
    for (int i = 0; i < ROUNDS; i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(paths); j++) {
            g_autofree char *id = g_strdup_printf("%s-%d-%d-%zu", phase, node, i, j);
            served +=
                is_served(estate, node, paths[j], id, j == 2 ? EDGE_MODEL("m0") : EDGE_DEADLINE);
            g_assert_cmpint(estate_runs(estate, id), <=, j == 0 ? 1 : 2);
        }
    }
    return served;
}

static void assert_all_serve(const estate_t *estate, const char *phase) {
    for (int i = 0; i < estate->node_count; i++) {
        int served = served_count(estate, i, phase);
        g_test_message("%s: node %d serves %d of %d", phase, i, served, ROUNDS * 3);
        g_assert_cmpint(served, ==, ROUNDS * 3);
    }
}

static estate_t *start(int nodes) {
    estate_t *estate = estate_start_partitionable(nodes, FLAGS);
    estate_wait_controller(estate, 8000);
    g_usleep(1000000);
    return estate;
}

static unsigned bit(int index) {
    return 1U << index;
}

/* Lets acknowledgements arrive: engines whose data isn't acknowledged send it again through a
 * silent cut, which is then one in one direction only. */
static void traffic_settle(void) {
    g_usleep(ACKNOWLEDGED_US);
}

/* Cuts one node that isn't the controller off from all engines, and heals it. */
static void one_node_cut(const char *how) {
    estate_t *estate = start(3);
    int cut = (estate_controller(estate) + 1) % 3;
    assert_all_serve(estate, "before");
    traffic_settle();
    estate_partition(estate, bit(cut), ALL_ENGINES, how);
    g_usleep(strcmp(how, "new") == 0 ? KEEP_ALIVE_US : CUT_DETECTION_US);
    assert_all_serve(estate, "cut");
    estate_partition(estate, 0, 0, how);
    g_usleep(HEAL_US);
    assert_all_serve(estate, "healed");
    g_assert_cmpfloat(estate_metric(estate, cut, "suspected_requests"), ==, 0);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

static void test_silent(void) {
    one_node_cut("silent");
}

static void test_reset(void) {
    one_node_cut("reset");
}

static void test_new_connections(void) {
    one_node_cut("new");
}

/* Guards against requests that are broken off, or sent again, because a sound engine was silent for
 * a second: a stream that waits for its first event, and one between two events. */
static void test_engine_silent_for_a_second(void) {
    estate_t *estate = start(2);
    for (int i = 1; i <= 2; i++) {
        estate_command(estate,
                       "{\"do\":\"engine-option\",\"engine\":\"llm-%d\",\"name\":\"work_ms\","
                       "\"value\":4500}",
                       i);
    }
    wire_t *wires[4];
    for (size_t i = 0; i < G_N_ELEMENTS(wires); i++) {
        g_autofree char *id = g_strdup_printf("quiet-%zu", i);
        wires[i] = wire_open(estate->nodes[i % 2].clients_port);
        wire_post(wires[i], i < 2 ? "/chat/x" : "/note/x", id, EDGE_MODEL("m0"), "hello");
        g_usleep(150000); /* so that the silence begins at different times after the last byte */
    }
    g_usleep(250000);
    estate_partition(estate, ~0U, ALL_ENGINES, "silent");
    g_usleep(SILENCE_US);
    estate_partition(estate, 0, 0, "silent");
    for (size_t i = 0; i < G_N_ELEMENTS(wires); i++) {
        g_autofree char *id = g_strdup_printf("quiet-%zu", i);
        wire_response_t *answer = wire_read(wires[i], 9000);
        g_test_message("%s: status %d, whole %d", id, answer->status, answer->whole);
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_true(answer->whole);
        g_assert_cmpint(estate_runs(estate, id), ==, 1);
        wire_response_free(answer);
        wire_close(wires[i]);
    }
    estate_stop(estate);
}

/* Cut off in one direction, right after requests: what engines send again makes their kept
 * connections look alive, and the first requests on them may be lost. */
static void test_one_way(void) {
    estate_t *estate = start(3);
    int cut = (estate_controller(estate) + 1) % 3;
    served_count(estate, cut, "before");
    estate_partition(estate, bit(cut), ALL_ENGINES, "silent");
    g_usleep(CUT_DETECTION_US);
    int served = served_count(estate, cut, "cut");
    g_test_message("served %d of %d", served, ROUNDS * 3);
    g_assert_cmpfloat(served, >=, SERVED_RATIO * ROUNDS * 3);
    estate_stop(estate);
}

static void test_one_service(void) {
    estate_t *estate = start(3);
    int cut = (estate_controller(estate) + 1) % 3;
    assert_all_serve(estate, "before");
    traffic_settle();
    estate_partition(estate, bit(cut), LOCK_ENGINES, "silent");
    g_usleep(CUT_DETECTION_US);
    assert_all_serve(estate, "cut");
    estate_stop(estate);
}

static void test_all_but_one(void) {
    estate_t *estate = start(4);
    int reached = (estate_controller(estate) + 1) % 4;
    estate_partition(estate, ~bit(reached), ALL_ENGINES, "silent");
    g_usleep(CUT_DETECTION_US);
    assert_all_serve(estate, "cut");
    estate_stop(estate);
}

/* A controller that reaches no engine hands the lease over: models are loaded again. */
static void test_controller(void) {
    estate_t *estate = start(3);
    int cut = estate_controller(estate);
    estate_partition(estate, bit(cut), ALL_ENGINES, "silent");
    /* The controller finds out by its orders: they are for models that aren't loaded. */
    is_served(estate, (cut + 1) % 3, "/chat/x", "c0", EDGE_MODEL("m4"));
    int64_t until_ms = harness_now_ms() + HANDOVER_MS;
    while (estate_controller(estate) == cut && harness_now_ms() < until_ms)
        g_usleep(50000);
    g_assert_cmpint(estate_controller(estate), !=, cut);
    g_usleep(CUT_DETECTION_US);
    g_assert_true(is_served(estate, (cut + 1) % 3, "/chat/x", "c1", EDGE_MODEL("m5")));
    g_assert_true(is_served(estate, cut, "/chat/x", "c2", EDGE_MODEL("m6")));
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Log lines are written some time after their event. */
static gboolean log_has_soon(const estate_t *estate, int node, const char *text) {
    int64_t until_ms = harness_now_ms() + LOG_MS;
    while (!estate_log_has(estate, node, text) && harness_now_ms() < until_ms)
        g_usleep(20000);
    return estate_log_has(estate, node, text);
}

/* Where no node reaches any engine, the lease isn't handed round, and refusals name the reason. */
static void test_nobody_reaches_engines(void) {
    estate_t *estate = start(3);
    int controller = estate_controller(estate);
    double token = estate_metric(estate, controller, "lease_token");
    assert_all_serve(estate, "before");
    estate_partition(estate, ~0U, ALL_ENGINES, "silent");
    g_usleep(CUT_DETECTION_US);
    for (int i = 0; i < 3; i++) {
        g_autofree char *id = g_strdup_printf("n-%d", i);
        g_assert_false(is_served(estate, i, "/chat/x", id, EDGE_MODEL("m0")));
        g_assert_true(log_has_soon(estate, i, "\"ending\":\"unreachable\""));
    }
    g_usleep(CUT_DETECTION_US);
    g_assert_cmpint(estate_wait_controller(estate, HANDOVER_MS), ==, controller);
    g_assert_cmpfloat(estate_metric(estate, controller, "lease_token"), ==, token);
    estate_partition(estate, 0, 0, "silent");
    g_usleep(HEAL_US);
    assert_all_serve(estate, "healed");
    estate_stop(estate);
}

/* A cut-off node that streams through the only other one. */
typedef struct cut_stream_t {
    estate_t *estate;
    int cut;
    int peer;
    wire_t *wire; /* its first event has arrived */
} cut_stream_t;

static cut_stream_t cut_stream_open(const char *path, const char *id) {
    cut_stream_t stream = {.estate = start(2)};
    stream.cut = (estate_controller(stream.estate) + 1) % 2;
    stream.peer = 1 - stream.cut;
    for (int i = 1; i <= 2; i++) {
        estate_command(stream.estate,
                       "{\"do\":\"engine-option\",\"engine\":\"llm-%d\",\"name\":\"event_ms\","
                       "\"value\":%d}",
                       i, EVENT_MS);
    }
    estate_partition(stream.estate, bit(stream.cut), ALL_ENGINES, "silent");
    stream.wire = wire_open(stream.estate->nodes[stream.cut].clients_port);
    wire_post(stream.wire, path, id, EDGE_MODEL("m0"), "hello");
    g_usleep(EVENT_MS * 1000);
    return stream;
}

/* Returns how many requests the two engines with models run. */
static int running_count(const estate_t *estate) {
    int running = 0;
    for (int i = ESTATE_LOCK_ENGINES; i < ESTATE_ENGINES; i++) {
        answer_t *answer = call("GET", estate->engine_ports[i], "/report", NULL, NULL, 2000);
        json_t *report = json_loads(answer->body, 0, NULL);
        running += (int)json_integer_value(json_object_get(report, "running"));
        json_decref(report);
        answer_free(answer);
    }
    return running;
}

/* Guards against engines that stay at work for a client that has left, behind the node between. */
static void test_client_leaves(void) {
    cut_stream_t stream = cut_stream_open("/note/x", "gone");
    g_assert_cmpint(running_count(stream.estate), ==, 1);
    wire_close(stream.wire);
    g_usleep(GONE_US);
    g_assert_cmpint(running_count(stream.estate), ==, 0);
    estate_stop(stream.estate);
}

/* Guards against a cut-off answer that looks complete, and against a second run, where the node
 * between is killed. */
static void test_peer_killed(void) {
    cut_stream_t stream = cut_stream_open("/note/x", "killed");
    process_kill(&stream.estate->nodes[stream.peer].process);
    wire_response_t *answer = wire_read(stream.wire, 5000);
    g_assert_false(answer->whole);
    g_assert_cmpint(estate_runs(stream.estate, "killed"), ==, 1);
    g_assert_cmpfloat(estate_metric(stream.estate, stream.cut, "suspected_requests"), ==, 0);
    wire_response_free(answer);
    wire_close(stream.wire);
    estate_stop(stream.estate);
}

/* Guards against streams that a planned stop of the node between breaks off. */
static void test_peer_stopped(void) {
    cut_stream_t stream = cut_stream_open("/note/x", "stopped");
    process_signal(&stream.estate->nodes[stream.peer].process, SIGTERM);
    wire_response_t *answer = wire_read(stream.wire, 5000);
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_true(answer->whole);
    g_assert_cmpint(estate_runs(stream.estate, "stopped"), ==, 1);
    wire_response_free(answer);
    wire_close(stream.wire);
    g_assert_cmpint(process_stop(&stream.estate->nodes[stream.peer].process, 12000), ==, 0);
    estate_stop(stream.estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/reach/silent", test_silent);
    g_test_add_func("/edge/reach/reset", test_reset);
    g_test_add_func("/edge/reach/new-connections", test_new_connections);
    g_test_add_func("/edge/reach/engine-silent-for-a-second", test_engine_silent_for_a_second);
    g_test_add_func("/edge/reach/client-leaves", test_client_leaves);
    g_test_add_func("/edge/reach/peer-killed", test_peer_killed);
    g_test_add_func("/edge/reach/peer-stopped", test_peer_stopped);
    g_test_add_func("/edge/reach/one-way", test_one_way);
    g_test_add_func("/edge/reach/one-service", test_one_service);
    g_test_add_func("/edge/reach/all-but-one", test_all_but_one);
    g_test_add_func("/edge/reach/controller", test_controller);
    g_test_add_func("/edge/reach/nobody-reaches-engines", test_nobody_reaches_engines);
}

PROCESS_TEST_MAIN(tests_add)
