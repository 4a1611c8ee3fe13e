/* Requests that crash every engine that runs them (poison requests) must be refused after three
 * crashes, at every node and under any request id, also after restarts of nodes. */
#include "edge.h"

#include <string.h>

#define NODES 3
/* Its model is on several engines and can be loaded on any; the route doesn't allow retries. */
#define PATH "/note/x"
#define POISON "crash: what no engine survives"
/* Three crashes until the request is refused, and attempts that were running elsewhere by then. */
#define CRASHES_MOST 5
/* Time after the third crash from which no node may send the request. */
#define DETECTION_MS 500
/* Time until a crashed engine has restarted and loaded its model. */
#define RESTART_US 2500000
/* Retry interval of a client that ignores Retry-After. */
#define RETRY_INTERVAL_MS 60
/* The refusal lasts, so Retry-After must be long, too. */
#define COME_BACK_LEAST_S 60.0

typedef struct repeats_t {
    const estate_t *estate;
    GPtrArray *wires;
    int sent;
} repeats_t;

static void repeats_send(repeats_t *repeats, int node) {
    g_autofree char *id = g_strdup_printf("again-%d", repeats->sent++);
    wire_t *wire = wire_try_open(repeats->estate->nodes[node].clients_port);
    if (wire == NULL) {
        return; /* the node is down */
    }
    wire_post(wire, PATH, id, EDGE_MODEL("m0"), POISON);
    g_ptr_array_add(repeats->wires, wire);
}

/* Sends the request repeatedly to all nodes in turn. */
static void repeats_send_for(repeats_t *repeats, int64_t duration_ms) {
    int64_t until_ms = harness_now_ms() + duration_ms;
    while (harness_now_ms() < until_ms) {
        repeats_send(repeats, repeats->sent % repeats->estate->node_count);
        g_usleep(RETRY_INTERVAL_MS * 1000);
    }
}

static repeats_t repeats_create(const estate_t *estate) {
    return (repeats_t){estate, g_ptr_array_new_with_free_func((GDestroyNotify)wire_close), 0};
}

static int crashes_count(const estate_t *estate) {
    json_t *seen = estate_records(estate);
    int count = (int)json_array_size(json_object_get(seen, "crashes"));
    json_decref(seen);
    return count;
}

/* Sends the request until three engines have crashed, then for DETECTION_MS more. */
static void repeats_send_until_detected(repeats_t *repeats) {
    int64_t until_ms = harness_now_ms() + 15000;
    while (crashes_count(repeats->estate) < 3) {
        g_assert_cmpint(harness_now_ms(), <, until_ms);
        repeats_send_for(repeats, 200);
    }
    repeats_send_for(repeats, DETECTION_MS);
}

/* Sends a harmless request to each node, without waiting for the response. */
static void others_send(repeats_t *repeats) {
    for (int node = 0; node < repeats->estate->node_count; node++) {
        g_autofree char *id = g_strdup_printf("other-%d-%d", repeats->sent, node);
        wire_t *wire = wire_open(repeats->estate->nodes[node].clients_port);
        wire_post(wire, PATH, id, EDGE_MODEL("m0"), id);
        g_ptr_array_add(repeats->wires, wire);
    }
}

/* Asserts the number of crashes, and that the request reached no engine from DETECTION_MS after the
 * third crash. */
static void assert_stopped(const estate_t *estate) {
    json_t *seen = estate_records(estate);
    const json_t *crashes = json_object_get(seen, "crashes");
    g_test_message("%zu engines crashed", json_array_size(crashes));
    g_assert_cmpint(json_array_size(crashes), >=, 3);
    int64_t third_ms = json_integer_value(json_object_get(json_array_get(crashes, 2), "at_ms"));
    int late = 0;
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run) {
        gboolean is_poison = strcmp(json_string_value(json_object_get(run, "body")), POISON) == 0;
        int64_t after_ms = json_integer_value(json_object_get(run, "at_ms")) - third_ms;
        if (is_poison && after_ms > DETECTION_MS) {
            late++;
            g_test_message("reached an engine %d ms after the third crash", (int)after_ms);
        }
    }
    g_assert_cmpint(late, ==, 0);
    g_assert_cmpint(json_array_size(crashes), <=, CRASHES_MOST);
    json_decref(seen);
}

/* Asserts that every node serves other requests with the same path. */
static void assert_others_served(const estate_t *estate, const char *prefix) {
    for (int node = 0; node < estate->node_count; node++) {
        g_autofree char *id = g_strdup_printf("%s-%d", prefix, node);
        wire_response_t *answer =
            wire_request(estate->nodes[node].clients_port, PATH, id, EDGE_MODEL("m0"));
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_true(answer->whole);
        wire_response_free(answer);
    }
}

/* Asserts that the node refuses the request at once, without a run and with a long Retry-After. */
static void assert_refused(const estate_t *estate, int node) {
    int64_t sent_ms = harness_now_ms();
    wire_t *wire = wire_open(estate->nodes[node].clients_port);
    wire_post(wire, PATH, "told", EDGE_MODEL("m0"), POISON);
    wire_response_t *answer = wire_read(wire, 9000);
    g_assert_cmpint(answer->status, ==, 503);
    g_assert_cmpint(harness_now_ms() - sent_ms, <, 300);
    const char *header = strstr(answer->head->str, "Retry-After: ");
    g_assert_nonnull(header);
    g_assert_cmpfloat(g_ascii_strtod(header + strlen("Retry-After: "), NULL), >=,
                      COME_BACK_LEAST_S);
    g_assert_cmpint(estate_runs(estate, "told"), ==, 0);
    wire_response_free(answer);
    wire_close(wire);
}

/* The request is sent to all nodes, also while it waits for its model to be reloaded. */
static void test_repeats_at_all_nodes(void) {
    estate_t *estate = estate_start(NODES, NULL);
    repeats_t repeats = repeats_create(estate);
    estate_wait_controller(estate, 8000);
    repeats_send_until_detected(&repeats);
    repeats_send_for(&repeats, 5000);
    assert_stopped(estate);
    for (int node = 0; node < NODES; node++) {
        assert_refused(estate, node);
    }
    assert_others_served(estate, "other");
    g_ptr_array_unref(repeats.wires);
    estate_stop(estate);
}

/* All nodes are killed at once: restarted nodes have to get the crash history elsewhere. */
static void test_all_nodes_killed(void) {
    estate_t *estate = estate_start(NODES, NULL);
    repeats_t repeats = repeats_create(estate);
    estate_wait_controller(estate, 8000);
    repeats_send_until_detected(&repeats);
    repeats_send_for(&repeats, 1500);
    for (int node = 0; node < NODES; node++) {
        process_kill(&estate->nodes[node].process);
    }
    for (int node = 0; node < NODES; node++) {
        estate_node_launch(estate, node);
    }
    for (int node = 0; node < NODES; node++) {
        estate_wait_ready(estate, node);
    }
    repeats_send_for(&repeats, 6000);
    assert_stopped(estate);
    assert_others_served(estate, "other");
    g_ptr_array_unref(repeats.wires);
    estate_stop(estate);
}

/* The controller, which gets the other nodes' reports, is killed after the third crash. */
static void test_controller_killed(void) {
    estate_t *estate = estate_start(NODES, "--lease-quiet-ms=1000 --lease-duration-ms=800");
    repeats_t repeats = repeats_create(estate);
    int controller = estate_wait_controller(estate, 8000);
    repeats_send_until_detected(&repeats);
    process_kill(&estate->nodes[controller].process);
    repeats_send_for(&repeats, 4000);
    estate_node_launch(estate, controller);
    estate_wait_ready(estate, controller);
    repeats_send_for(&repeats, 3000);
    assert_stopped(estate);
    assert_others_served(estate, "other");
    g_ptr_array_unref(repeats.wires);
    estate_stop(estate);
}

/* Aborted responses of engines that keep running don't count as crashes. */
static void test_broken_answers_are_no_crash(void) {
    estate_t *estate = estate_start(1, NULL);
    for (int i = 0; i < 8; i++) {
        g_autofree char *id = g_strdup_printf("cut-%d", i);
        estate_command(estate,
                       "{\"do\":\"engine-fault\",\"engine\":\"lock-%d\",\"fault\":\"reset\","
                       "\"count\":1}",
                       i % 2 + 1);
        wire_response_free(
            wire_request(estate->nodes[0].clients_port, "/lock/x", id, EDGE_DEADLINE));
        g_usleep(50000);
    }
    for (int i = 1; i <= 2; i++) {
        estate_command(
            estate, "{\"do\":\"engine-fault\",\"engine\":\"lock-%d\",\"fault\":\"\",\"count\":0}",
            i);
    }
    wire_response_t *answer =
        wire_request(estate->nodes[0].clients_port, "/lock/x", "well", EDGE_DEADLINE);
    g_assert_cmpint(answer->status, ==, 200);
    wire_response_free(answer);
    estate_stop(estate);
}

/* Sends the poison request to a node. Returns its status, 0 if the response isn't complete. */
static int status_at(const estate_t *estate, int node, const char *id) {
    wire_t *wire = wire_open(estate->nodes[node].clients_port);
    wire_post(wire, PATH, id, EDGE_MODEL("m0"), POISON);
    wire_response_t *answer = wire_read(wire, 9000);
    int status = answer->whole ? answer->status : 0;
    wire_response_free(answer);
    wire_close(wire);
    return status;
}

/* A bystander request that runs at every engine that crashes must not be refused. */
static void test_bystanders_are_served(void) {
    estate_t *estate = estate_start(NODES, NULL);
    repeats_t repeats = repeats_create(estate);
    estate_wait_controller(estate, 8000);
    assert_others_served(estate, "before");
    while (crashes_count(estate) < 3) {
        for (int i = 0; i < 10; i++) {
            g_autofree char *id = g_strdup_printf("beside-%d", repeats.sent);
            int node = repeats.sent % NODES;
            wire_t *wire = wire_open(estate->nodes[node].clients_port);
            wire_post(wire, PATH, id, EDGE_MODEL("m0"), "hello");
            g_ptr_array_add(repeats.wires, wire);
            repeats_send(&repeats, node);
            g_usleep(10000);
        }
    }
    repeats_send_for(&repeats, DETECTION_MS);
    assert_stopped(estate);
    g_usleep(RESTART_US);
    assert_others_served(estate, "after");
    g_ptr_array_unref(repeats.wires);
    estate_stop(estate);
}

/* One node runs trials of the request: each crashes one engine at most, and when engines survive it
 * all nodes serve it again. */
static void test_tried_again(void) {
    estate_t *estate = estate_start(NODES, "--poison-trial-s=1");
    repeats_t repeats = repeats_create(estate);
    int controller = estate_wait_controller(estate, 8000);
    repeats_send_until_detected(&repeats);
    repeats_send_for(&repeats, 3500); /* includes the first trial but not the second */
    g_assert_true(estate_log_has(estate, controller, "\"event\":\"request-tried\""));
    g_test_message("%d crashes", crashes_count(estate));
    g_assert_cmpint(crashes_count(estate), ==, 4);
    for (int engine = 1; engine <= 2; engine++) {
        estate_command(estate, "{\"do\":\"engine-harden\",\"engine\":\"llm-%d\"}", engine);
    }
    int64_t until_ms = harness_now_ms() + 8000;
    int status = 0;
    while (status != 200) {
        g_assert_cmpint(harness_now_ms(), <, until_ms);
        status = status_at(estate, controller, "tried");
        g_usleep(100000);
    }
    g_usleep(300000);
    for (int node = 0; node < NODES; node++) {
        g_assert_cmpint(status_at(estate, node, "after"), ==, 200);
    }
    g_ptr_array_unref(repeats.wires);
    estate_stop(estate);
}

/* A request that crashes engines stays recorded though an engine rejects it with an error response,
 * before it has begun to run it. */
static void test_error_clears_nothing(void) {
    estate_t *estate = estate_start(NODES, NULL);
    repeats_t repeats = repeats_create(estate);
    estate_wait_controller(estate, 8000);
    /* Each node gets an error response: it must not take the request for harmless. */
    for (int engine = 1; engine <= 2; engine++) {
        estate_command(
            estate,
            "{\"do\":\"engine-fault\",\"engine\":\"llm-%d\",\"fault\":\"error\",\"count\":6}",
            engine);
    }
    for (int i = 0; i < 6 * NODES; i++) {
        g_autofree char *id = g_strdup_printf("error-%d", i);
        status_at(estate, i % NODES, id);
    }
    repeats_send_until_detected(&repeats);
    repeats_send_for(&repeats, 3000);
    assert_stopped(estate);
    g_ptr_array_unref(repeats.wires);
    estate_stop(estate);
}

/* A request that crashes engines is refused also where engines reject others for want of room. */
static void test_brittle_engines(void) {
    estate_t *estate = estate_start(NODES, NULL);
    repeats_t repeats = repeats_create(estate);
    estate_wait_controller(estate, 8000);
    for (int engine = 1; engine <= 2; engine++) {
        static const char *const options[] = {"\"work_ms\",\"value\":150", "\"slots\",\"value\":1",
                                              "\"room\",\"value\":1", "\"brittle\",\"value\":30"};
        for (size_t i = 0; i < G_N_ELEMENTS(options); i++) {
            estate_command(estate, "{\"do\":\"engine-option\",\"engine\":\"llm-%d\",\"name\":%s}",
                           engine, options[i]);
        }
    }
    int64_t until_ms = harness_now_ms() + 20000;
    while (crashes_count(estate) < 3) {
        g_assert_cmpint(harness_now_ms(), <, until_ms);
        others_send(&repeats);
        repeats_send_for(&repeats, 200);
    }
    int64_t settled_ms = harness_now_ms() + DETECTION_MS + 4000;
    while (harness_now_ms() < settled_ms) {
        others_send(&repeats);
        repeats_send_for(&repeats, 200);
    }
    json_t *seen = estate_records(estate);
    g_assert_cmpuint(json_array_size(json_object_get(seen, "falls")), ==, 0);
    json_decref(seen);
    assert_stopped(estate);
    g_ptr_array_unref(repeats.wires);
    estate_stop(estate);
}

static char *wickctl(const estate_t *estate, int node, const char *words) {
    g_autofree char *command =
        g_strdup_printf("%s/wickctl poison %s --node 127.0.0.1:%d", estate->files.build, words,
                        estate->nodes[node].metrics_port);
    char *output = NULL;
    int status = 0;
    g_assert_true(g_spawn_command_line_sync(command, &output, NULL, &status, NULL));
    g_test_message("%s", output);
    g_assert_cmpint(status, ==, 0);
    return output;
}

/* An operator can list refused requests and clear one at any node, for all nodes. */
static void test_operator_forgives(void) {
    estate_t *estate = estate_start(2, NULL);
    repeats_t repeats = repeats_create(estate);
    int controller = estate_wait_controller(estate, 8000);
    repeats_send_until_detected(&repeats);
    g_autofree char *refused = wickctl(estate, 1 - controller, "");
    g_assert_nonnull(strstr(refused, " refused   3 engines"));
    g_autofree char *digest = g_strndup(refused, strcspn(refused, " "));
    g_autofree char *words = g_strdup_printf("forgive %s", digest);
    g_autofree char *done = wickctl(estate, 1 - controller, words);
    g_assert_nonnull(strstr(done, "served again"));
    g_usleep(500000);
    for (int node = 0; node < 2; node++) {
        g_autofree char *now = wickctl(estate, node, "");
        g_assert_nonnull(strstr(now, " forgiven "));
    }
    g_ptr_array_unref(repeats.wires);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/poison/repeats-at-all-nodes", test_repeats_at_all_nodes);
    g_test_add_func("/edge/poison/all-nodes-killed", test_all_nodes_killed);
    g_test_add_func("/edge/poison/controller-killed", test_controller_killed);
    g_test_add_func("/edge/poison/tried-again", test_tried_again);
    g_test_add_func("/edge/poison/bystanders-are-served", test_bystanders_are_served);
    g_test_add_func("/edge/poison/operator-forgives", test_operator_forgives);
    g_test_add_func("/edge/poison/error-clears-nothing", test_error_clears_nothing);
    g_test_add_func("/edge/poison/brittle-engines", test_brittle_engines);
    g_test_add_func("/edge/poison/broken-answers-are-no-crash", test_broken_answers_are_no_crash);
}

PROCESS_TEST_MAIN(tests_add)
