/* Guards against streams that hold events of engines of two software versions. */
#include "versions.h"

#define CUT_STREAMS_MIN 6
/* Longer than the resume window of the test with one version, and than the lease row takes. */
#define WINDOW_US 6000000
/* Long enough for knowledge of engines to be old, and too short for some to come and go unseen. */
#define STORE_AWAY_US 5000000
/* Within this time a resume that can't go on must be refused. */
#define REFUSED_MS 1500

/* A route that splits over two services, and the second of them. */
#define SPLIT_ROUTE                                                                                \
    "{\"name\":\"once\",\"host\":\"a.example\",\"pathPrefix\":\"/once/\",\"routeType\":"           \
    "\"streaming\",\"timeoutMs\":6000,\"targetLatencyMs\":800,\"priority\":1,\"trafficSplit\":["   \
    "{\"service\":\"llm\",\"weight\":50},{\"service\":\"other\",\"weight\":50}],\"maxAttempts\":"  \
    "1,"                                                                                           \
    "\"resumable\":true,\"targetGapMs\":400}"
/* Starts nodes before engines a1 and a2 of version v1, b1 and b2 of v2.
 * @param models of the second engine of each version */
static estate_t *start(const char *models) {
    estate_t *estate = estate_start(NODES, FLAGS);
    estate_configure(estate, ROUTE("chat", "2") "," ROUTE("once", "1"));
    engine_stop(estate, "llm-1");
    engine_stop(estate, "llm-2");
    engine_start(estate, "a1", "v1", "\"m3\"");
    engine_start(estate, "b1", "v2", "\"m3\"");
    engine_start(estate, "a2", "v1", models);
    engine_start(estate, "b2", "v2", models);
    estate_wait_controller(estate, 8000);
    for (int i = 0; i < NODES; i++)
        estate_wait_retry_share(estate, i, NODES);
    g_usleep(SETTLE_US);
    return estate;
}

/* Guards against an answer that goes on at an engine of another version. */
static void test_within_an_answer(void) {
    estate_t *estate = start("\"m3\"");
    int cut = 0;
    int whole = 0;
    int mixed = 0;
    stream_fault_set(estate, "a1", "cut", 1000);
    stream_fault_set(estate, "b1", "cut", 1000);
    for (int i = 0; i < 3 * STREAMS; i++) {
        g_autofree char *id = g_strdup_printf("w%d", i);
        wire_response_t *answer =
            wire_request(estate->nodes[i % NODES].clients_port, "/chat/x", id, EDGE_MODEL("m3"));
        gboolean was_cut = estate_runs(estate, id) > 1;
        cut += was_cut;
        whole += was_cut && answer->whole;
        mixed += has_version(answer, "v1") && has_version(answer, "v2");
        wire_response_free(answer);
    }
    g_test_message("%d cut, %d of them went on, %d mixed", cut, whole, mixed);
    g_assert_cmpint(mixed, ==, 0);
    g_assert_cmpint(whole, >=, CUT_STREAMS_MIN);
    estate_stop(estate);
}

/* Returns the number of a stream that began at a version. */
static int stream_of(const char *const began[STREAMS], const char *version) {
    for (int i = 0; i < STREAMS; i++)
        if (strcmp(began[i], version) == 0)
            return i;
    g_assert_not_reached();
}

/* Guards against a client that takes its stream up, here or at another node, and gets events of
 * another version. */
static void test_client_resumes(void) {
    estate_t *estate = start("\"m3\"");
    const char *began[STREAMS];
    streams_begin(estate, 0, began);
    resumed_t result = streams_resume(estate, began, 0, 1);
    g_assert_cmpint(result.mixed, ==, 0);
    g_assert_cmpint(result.whole, ==, STREAMS);
    estate_stop(estate);
}

/* Guards against a stream of a route that splits over services being refused, or begun anew, at the
 * service where it didn't begin. */
static void test_split_route(void) {
    estate_t *estate = estate_start(NODES, FLAGS);
    const char *began[STREAMS];
    estate->services = OTHER_SERVICE;
    estate_configure(estate, SPLIT_ROUTE);
    engine_stop(estate, "llm-1");
    engine_stop(estate, "llm-2");
    service_engine_start(estate, "llm", "a1", "v1", "\"m3\"");
    service_engine_start(estate, "llm", "a2", "v1", "\"m3\"");
    service_engine_start(estate, "other", "b1", "v2", "\"m3\"");
    service_engine_start(estate, "other", "b2", "v2", "\"m3\"");
    estate_wait_controller(estate, 8000);
    g_usleep(SETTLE_US);
    streams_begin(estate, 0, began);
    g_assert_cmpint(stream_of(began, "v1"), !=, stream_of(began, "v2"));
    resumed_t result = streams_resume(estate, began, 0, 1);
    g_assert_cmpint(result.mixed, ==, 0);
    g_assert_cmpint(result.whole, ==, STREAMS);
    estate_stop(estate);
}

/* Streams go on where the node that began them was killed, be it the controller or not. */
static void first_node_killed(gboolean is_controller) {
    estate_t *estate = start("\"m3\"");
    const char *began[STREAMS];
    int controller = estate_wait_controller(estate, 8000);
    int first = is_controller ? controller : (controller + 1) % NODES;
    streams_begin(estate, first, began);
    process_kill(&estate->nodes[first].process);
    if (is_controller)
        g_usleep(SETTLE_US * 4); /* another node takes the lease */
    resumed_t result = streams_resume(estate, began, (first + 1) % NODES, (first + 2) % NODES);
    g_assert_cmpint(result.mixed, ==, 0);
    g_assert_cmpint(result.whole, ==, STREAMS);
    estate_stop(estate);
}

static void test_first_node_killed(void) {
    first_node_killed(FALSE);
}

static void test_controller_killed(void) {
    first_node_killed(TRUE);
}

/* Guards against a guess: no node knows how the stream began, and two versions serve. */
static void test_unknown_start(void) {
    estate_t *estate = start("\"m3\"");
    static const char *const headers[] = {
        EDGE_MODEL("m3") "Last-Event-Id: 2\r\nResumes: never-seen\r\n",
        EDGE_MODEL("m3") "Last-Event-Id: 2\r\nResumes: \r\n",
        EDGE_MODEL("m3") "Last-Event-Id: 2\r\n",
        EDGE_MODEL("m3") "Resumes: never-seen\r\n",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(headers); i++) {
        g_autofree char *id = g_strdup_printf("u%zu", i);
        int64_t began_ms = harness_now_ms();
        wire_response_t *answer =
            wire_request(estate->nodes[i % NODES].clients_port, "/once/x", id, headers[i]);
        g_test_message("%s: status %d", headers[i], answer->status);
        g_assert_cmpint(answer->status, ==, 503);
        g_assert_cmpint(harness_now_ms() - began_ms, <, REFUSED_MS);
        g_assert_cmpint(estate_runs(estate, id), ==, 0);
        wire_response_free(answer);
    }
    estate_stop(estate);
}

/* Guards against a resume that waits in vain: no engine of its version is left. */
static void test_no_engine_left(void) {
    estate_t *estate = start("\"m3\"");
    const char *began[STREAMS];
    streams_begin(estate, 0, began);
    engine_stop(estate, "a1");
    engine_stop(estate, "a2");
    g_usleep(SETTLE_US);
    for (int node = 0; node < NODES; node++) {
        g_autofree char *id = g_strdup_printf("r%d", node);
        int64_t began_ms = harness_now_ms();
        wire_response_t *answer = stream_resume(estate, node, stream_of(began, "v1"), id);
        g_assert_cmpint(answer->status, ==, 503);
        g_assert_cmpint(harness_now_ms() - began_ms, <, REFUSED_MS);
        g_assert_cmpint(estate_runs(estate, id), ==, 0);
        wire_response_free(answer);
    }
    estate_stop(estate);
}

/* The only other engine of the version lacks the model: it is loaded there. */
static void test_model_is_loaded_at_the_version(void) {
    estate_t *estate = start("");
    const char *began[STREAMS];
    streams_begin(estate, 0, began);
    int stream = stream_of(began, "v1");
    engine_stop(estate, "a1");
    g_usleep(SETTLE_US);
    wire_response_t *answer = stream_resume(estate, 1, stream, "r");
    g_test_message("status %d: %s", answer->status, answer->body->str);
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_true(answer->whole);
    g_assert_cmpstr(version_of(answer), ==, "v1");
    wire_response_free(answer);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Guards against streams that nobody may take up after a restart of all nodes, though one version
 * only has had engines; and against a guess after that once there are two. */
static void test_one_version(void) {
    estate_t *estate = estate_start(NODES, FLAGS " --resume-window-s=4");
    estate_configure(estate, ROUTE("chat", "2") "," ROUTE("once", "1"));
    engine_stop(estate, "llm-1");
    engine_stop(estate, "llm-2");
    engine_start(estate, "a1", "v1", "\"m3\"");
    g_usleep(WINDOW_US);
    all_killed(estate);
    wire_response_t *answer = stream_resume(estate, 1, 0, "r-one");
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_true(answer->whole);
    wire_response_free(answer);
    engine_start(estate, "b1", "v2", "\"m3\"");
    g_usleep(SETTLE_US);
    all_killed(estate);
    answer = stream_resume(estate, 1, 0, "r-two");
    g_assert_cmpint(answer->status, ==, 503);
    g_assert_cmpint(estate_runs(estate, "r-two"), ==, 0);
    wire_response_free(answer);
    estate_stop(estate);
}

/* Guards against streams that nobody may take up after a time without the store, though one version
 * only has had engines. */
static void test_store_away(void) {
    estate_t *estate = estate_start(NODES, FLAGS " --resume-window-s=4");
    estate_configure(estate, ROUTE("chat", "2") "," ROUTE("once", "1"));
    engine_stop(estate, "llm-1");
    engine_stop(estate, "llm-2");
    engine_start(estate, "a1", "v1", "\"m3\"");
    g_usleep(WINDOW_US);
    for (int i = 0; i < NODES; i++)
        estate_store_fault(estate, i, "cut", 0);
    g_usleep(STORE_AWAY_US);
    for (int i = 0; i < NODES; i++)
        estate_store_fault(estate, i, "pass", 0);
    estate_wait_controller(estate, 8000);
    g_usleep(SETTLE_US);
    wire_response_t *answer = stream_resume(estate, 1, 0, "r-away");
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_true(answer->whole);
    wire_response_free(answer);
    estate_stop(estate);
}

/* Guards against a stream that breaks off again after it was taken up, and is refused as its client
 * names the later of its requests. */
static void test_breaks_again(void) {
    estate_t *estate = start("\"m3\"");
    const char *began[STREAMS];
    streams_begin(estate, 0, began);
    faults_set(estate, "cut", 1000);
    wire_response_t *answer = wire_request(estate->nodes[0].clients_port, "/once/x", "r0",
                                           EDGE_MODEL("m3") "Last-Event-Id: 1\r\nResumes: s0\r\n");
    g_assert_cmpstr(version_of(answer), ==, began[0]);
    g_assert_false(answer->whole);
    wire_response_free(answer);
    faults_set(estate, "", 0);
    g_usleep(SETTLE_US);
    answer = wire_request(estate->nodes[1].clients_port, "/once/x", "q0",
                          EDGE_MODEL("m3") "Last-Event-Id: 2\r\nResumes: r0\r\n");
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_true(answer->whole);
    g_assert_cmpstr(version_of(answer), ==, began[0]);
    wire_response_free(answer);
    estate_stop(estate);
}

/* Guards against streams that nobody may take up in the first half minute of a system. */
static void test_new_system(void) {
    estate_t *estate = estate_start(NODES, FLAGS);
    estate_configure(estate, ROUTE("chat", "2") "," ROUTE("once", "1"));
    g_usleep(SETTLE_US);
    for (int i = 0; i < NODES; i++) {
        g_autofree char *id = g_strdup_printf("n%d", i);
        wire_response_t *answer = wire_request(estate->nodes[i].clients_port, "/once/x", id,
                                               EDGE_MODEL("m0") "Last-Event-Id: 2\r\n");
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_true(answer->whole);
        wire_response_free(answer);
    }
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/versions/new-system", test_new_system);
    g_test_add_func("/edge/versions/store-away", test_store_away);
    g_test_add_func("/edge/versions/one-version", test_one_version);
    g_test_add_func("/edge/versions/within-an-answer", test_within_an_answer);
    g_test_add_func("/edge/versions/breaks-again", test_breaks_again);
    g_test_add_func("/edge/versions/client-resumes", test_client_resumes);
    g_test_add_func("/edge/versions/split-route", test_split_route);
    g_test_add_func("/edge/versions/first-node-killed", test_first_node_killed);
    g_test_add_func("/edge/versions/controller-killed", test_controller_killed);
    g_test_add_func("/edge/versions/unknown-start", test_unknown_start);
    g_test_add_func("/edge/versions/no-engine-left", test_no_engine_left);
    g_test_add_func("/edge/versions/model-is-loaded-at-the-version",
                    test_model_is_loaded_at_the_version);
}

PROCESS_TEST_MAIN(tests_add)
