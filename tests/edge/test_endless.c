/* Guards against an engine that sends bytes without end, until its caller closes, taking a node's
 * memory or time, or the requests that other engines could serve. */
#include "faulty.h"

#include <signal.h>
#include <string.h>

#define REQUESTS 12
#define SERVED_WITHIN_MS 1500 /* half of the route's timeout */
/* What a node may take: itself, and 1 MiB for each request (docs/CAPACITY.md). */
#define NODE_MEMORY_KIB ((24 + REQUESTS) * 1024)
/* What an engine may have sent for one request: what is read, and what the kernel takes. */
#define FLOOD_MAX_BYTES (16 * 1024 * 1024)
#define ALWAYS 100000

/* Returns the largest memory that the node has ever had. */
static int node_memory_kib(const estate_t *estate, int node) {
    g_autofree char *path =
        g_strdup_printf("/proc/%d/status", (int)estate->nodes[node].process.pid);
    g_autofree char *text = NULL;
    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    const char *line = strstr(text, "VmHWM:");
    g_assert_nonnull(line);
    return (int)g_ascii_strtoll(line + strlen("VmHWM:"), NULL, 10);
}

static void assert_memory(const estate_t *estate, int node) {
    int memory_kib = node_memory_kib(estate, node);
    g_test_message("%d KiB at most", memory_kib);
    g_assert_cmpint(memory_kib, <, NODE_MEMORY_KIB);
}

/* Bytes that the kernel takes for a connection before its reader does. */
static int64_t connection_buffers_bytes(void) {
    static const char *const files[] = {"/proc/sys/net/ipv4/tcp_rmem",
                                        "/proc/sys/net/ipv4/tcp_wmem"};
    int64_t bytes = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
        g_autofree char *text = NULL;
        g_assert_true(g_file_get_contents(files[i], &text, NULL, NULL));
        g_auto(GStrv) values = g_strsplit_set(g_strstrip(text), "\t ", -1);
        bytes += g_ascii_strtoll(values[g_strv_length(values) - 1], NULL, 10);
    }
    return bytes;
}

/* Asserts that engines that flooded were cut off soon. Returns their number. */
static int assert_floods_ended(const estate_t *estate, int64_t max_bytes, int within_ms) {
    json_t *records = estate_records(estate);
    size_t i;
    json_t *flood;
    json_t *floods = json_object_get(records, "floods");
    json_array_foreach(floods, i, flood) {
        int64_t bytes = json_integer_value(json_object_get(flood, "bytes"));
        int64_t ms = json_integer_value(json_object_get(flood, "ms"));
        g_test_message("%d bytes in %d ms", (int)bytes, (int)ms);
        g_assert_cmpint(bytes, <, max_bytes);
        g_assert_cmpint(ms, <, within_ms);
    }
    int count = (int)json_array_size(floods);
    json_decref(records);
    return count;
}

/* Requests that may be repeated are served by the sound engine, in time. */
static void endless_test(const char *fault, int piece_bytes, int pause_ms) {
    estate_t *estate = faulty_start(1, 2, NULL);
    faulty_option(estate, 1, "piece_bytes", piece_bytes);
    faulty_option(estate, 1, "pause_ms", pause_ms);
    faulty_fault(estate, 1, fault, ALWAYS);
    for (int i = 0; i < REQUESTS; i++) {
        g_autofree char *id = g_strdup_printf("endless-%d", i);
        int64_t began_ms = harness_now_ms();
        wire_response_t *answer =
            wire_request(estate->nodes[0].clients_port, "/find/x", id, EDGE_DEADLINE);
        int64_t took_ms = harness_now_ms() - began_ms;
        g_test_message("%s: %d after %d ms", fault, answer->status, (int)took_ms);
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_cmpint(took_ms, <, SERVED_WITHIN_MS);
        wire_response_free(answer);
        g_usleep(60000);
    }
    g_usleep(200000);
    assert_memory(estate, 0);
    g_assert_cmpint(assert_floods_ended(estate, FLOOD_MAX_BYTES, SERVED_WITHIN_MS), >, 0);
    estate_stop(estate);
}

#define FLOOD 65536, 0
#define TRICKLE 64, 20

/* A body that no engine has sealed is no answer, however long it is. */
static void test_body(void) {
    endless_test("endless-body", FLOOD);
}

static void test_body_until_close(void) {
    endless_test("endless-close", FLOOD);
}

static void test_slow_body(void) {
    endless_test("endless-body", TRICKLE);
}

/* Guards against an engine's own failure without end being passed on, until the request's time is
 * over, although another engine can serve the request. */
static void test_failure(void) {
    endless_test("endless-failure", FLOOD);
    endless_test("endless-failure-close", FLOOD);
}

static void test_slow_failure(void) {
    endless_test("endless-failure", TRICKLE);
    endless_test("endless-failure-close", TRICKLE);
}

/* The head of a rejection says that the request hasn't run: it needn't wait for the body's end. */
static void test_rejection(void) {
    endless_test("endless-rejection", FLOOD);
}

static void test_slow_rejection(void) {
    endless_test("endless-rejection", TRICKLE);
}

static void test_answer_to_another_request(void) {
    endless_test("endless-foreign", FLOOD);
}

static void test_slow_answer_to_another_request(void) {
    endless_test("endless-foreign", TRICKLE);
}

static void test_interim_responses(void) {
    endless_test("endless-interim", FLOOD);
}

static void test_slow_interim_responses(void) {
    endless_test("endless-interim", TRICKLE);
}

static void test_heads(void) {
    endless_test("endless-head", FLOOD);
    endless_test("endless-reason", FLOOD);
    endless_test("endless-garbage", FLOOD);
    endless_test("endless-head", TRICKLE);
}

/* Chunk extensions and trailers of a sealed answer. */
static void test_framing(void) {
    endless_test("endless-extension", FLOOD);
    endless_test("endless-trailer", FLOOD);
}

/* A request that may run once: rejected ones are served elsewhere, others may have run. */
static void single_run_test(const char *fault, int status) {
    estate_t *estate = faulty_start(1, 2, NULL);
    for (int i = 0; i < REQUESTS; i++) {
        g_autofree char *id = g_strdup_printf("single-%d", i);
        faulty_fault(estate, 1, fault, 1);
        faulty_fault(estate, 2, fault, 1);
        int64_t began_ms = harness_now_ms();
        wire_response_t *answer =
            wire_request(estate->nodes[0].clients_port, "/hold/x", id, EDGE_DEADLINE);
        int64_t took_ms = harness_now_ms() - began_ms;
        g_test_message("%s: %d after %d ms", fault, answer->status, (int)took_ms);
        g_assert_cmpint(answer->status, ==, status);
        g_assert_cmpint(estate_runs(estate, id), ==, 1);
        g_assert_cmpint(took_ms, <, SERVED_WITHIN_MS);
        wire_response_free(answer);
        faulty_fault(estate, 1, "", 0);
        faulty_fault(estate, 2, "", 0);
        g_usleep(1000000); /* until no engine is avoided */
    }
    assert_memory(estate, 0);
    g_assert_cmpint(assert_floods_ended(estate, FLOOD_MAX_BYTES, SERVED_WITHIN_MS), >=, 0);
    estate_stop(estate);
}

static void test_single_run_rejected(void) {
    single_run_test("endless-rejection", 200);
}

static void test_single_run_unsealed(void) {
    single_run_test("endless-body", 502);
}

/* A rejection whose body stops or is cut off has said all the same that the request hasn't run. */
static void test_incomplete_rejections(void) {
    single_run_test("reject-stalls", 200);
    single_run_test("reject-cut", 200);
}

/* An engine's own answer without end: its client decides. What it doesn't read isn't read from the
 * engine, and the engine is cut off with it. */
static void sealed_test(const char *path, const char *fault) {
    estate_t *estate = faulty_start(1, 1, NULL);
    faulty_fault(estate, 1, fault, 1);
    wire_t *wire = wire_open(estate->nodes[0].clients_port);
    wire_post(wire, path, "sealed", EDGE_DEADLINE, "hello");
    g_usleep(1500000);
    assert_memory(estate, 0);
    wire_response_t *answer = wire_read(wire, 200);
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_false(answer->whole);
    g_assert_cmpint((int)answer->body->len, >, 65536);
    int64_t read_bytes = (int64_t)answer->body->len;
    wire_response_free(answer);
    wire_close(wire);
    g_usleep(500000);
    g_assert_cmpint(assert_floods_ended(estate, read_bytes + FLOOD_MAX_BYTES, 3000), ==, 1);
    estate_stop(estate);
}

static void test_sealed(void) {
    sealed_test("/find/x", "endless-sealed");
}

static void test_event_without_end(void) {
    sealed_test("/tell/x", "endless-event");
}

/* Guards against a long event, which is forwarded in parts, losing or gaining bytes. */
static void test_long_event(void) {
    enum { EVENT_BYTES = 300000 };
    estate_t *estate = faulty_start(1, 1, NULL);
    faulty_fault(estate, 1, "long-event", 1);
    wire_response_t *answer =
        wire_request(estate->nodes[0].clients_port, "/tell/x", "long", EDGE_DEADLINE);
    g_autofree char *filler = g_strnfill(EVENT_BYTES, 'z');
    g_autofree char *expected = g_strdup_printf("data: a\n\ndata: %s\n\ndata: b\n\n", filler);
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_true(answer->whole);
    g_assert_true(g_str_equal(answer->body->str, expected));
    wire_response_free(answer);
    estate_stop(estate);
}

/* Guards against an engine that sends bytes, but never an answer, being taken for a busy one: it is
 * left alone long before the requests that it holds have timed out. */
static void test_only_interim_responses(void) {
    enum { CLIENTS = 24, HELD_MAX = 6 };
    estate_t *estate = faulty_start(1, 2, NULL);
    faulty_option(estate, 1, "piece_bytes", 64);
    faulty_option(estate, 1, "pause_ms", 20);
    faulty_fault(estate, 1, "endless-interim", ALWAYS);
    wire_t *wires[CLIENTS];
    int served = 0;
    for (int i = 0; i < CLIENTS; i++) {
        g_autofree char *id = g_strdup_printf("interim-%d", i);
        wires[i] = wire_open(estate->nodes[0].clients_port);
        wire_post(wires[i], "/hold/x", id, EDGE_DEADLINE, "hello");
        g_usleep(70000);
    }
    for (int i = 0; i < CLIENTS; i++) {
        wire_response_t *answer = wire_read(wires[i], 4000);
        served += answer->status == 200;
        wire_response_free(answer);
        wire_close(wires[i]);
    }
    g_test_message("%d of %d served", served, CLIENTS);
    g_assert_cmpint(served, >=, CLIENTS - HELD_MAX);
    estate_stop(estate);
}

/* Through another node: neither of the two grows, the sound engine serves, and the other one is
 * avoided, though the node between might be at fault for a connection that ends. What an engine has
 * sent is in the buffers of the test's proxy too, so the bound holds for what passes the node
 * between. */
static void by_peer_test(const char *fault) {
    estate_t *estate = faulty_start_tunnelled();
    double passed_bytes = estate_metric(estate, 1, "tunnel_bytes_total");
    g_assert_cmpfloat(passed_bytes, >=, 0);
    faulty_fault(estate, 1, fault, ALWAYS);
    for (int i = 0; i < REQUESTS; i++) {
        g_autofree char *id = g_strdup_printf("peer-%d", i);
        wire_response_t *answer =
            wire_request(estate->nodes[0].clients_port, "/look/x", id, EDGE_DEADLINE);
        double before_bytes = passed_bytes;
        passed_bytes = estate_metric(estate, 1, "tunnel_bytes_total");
        g_test_message("%s: %d, %.0f bytes passed", fault, answer->status,
                       passed_bytes - before_bytes);
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_cmpfloat(passed_bytes, >=, before_bytes);
        g_assert_cmpfloat(passed_bytes - before_bytes, <, FLOOD_MAX_BYTES);
        wire_response_free(answer);
    }
    g_usleep(200000);
    g_assert_cmpfloat(estate_metric(estate, 1, "tunnel_bytes_total") - passed_bytes, <,
                      FLOOD_MAX_BYTES);
    assert_memory(estate, 0);
    assert_memory(estate, 1);
    int floods = assert_floods_ended(estate, FLOOD_MAX_BYTES + 2 * connection_buffers_bytes(),
                                     SERVED_WITHIN_MS);
    g_assert_cmpint(floods, >, 0);
    g_assert_cmpint(floods, <, REQUESTS / 2);
    estate_stop(estate);
}

static void test_by_peer(void) {
    by_peer_test("endless-body");
    by_peer_test("endless-failure");
    by_peer_test("endless-rejection");
    by_peer_test("endless-foreign");
}

/* All engines of the service at once: nothing can be served, and nothing is held until its
 * deadline. */
static void test_all_engines(void) {
    estate_t *estate = faulty_start(1, 2, NULL);
    faulty_fault(estate, 1, "endless-body", ALWAYS);
    faulty_fault(estate, 2, "endless-body", ALWAYS);
    for (int i = 0; i < REQUESTS; i++) {
        g_autofree char *id = g_strdup_printf("all-%d", i);
        int64_t began_ms = harness_now_ms();
        wire_response_t *answer =
            wire_request(estate->nodes[0].clients_port, "/find/x", id, EDGE_DEADLINE);
        int64_t took_ms = harness_now_ms() - began_ms;
        int runs = estate_runs(estate, id);
        g_test_message("%d after %d ms, %d runs", answer->status, (int)took_ms, runs);
        g_assert_cmpint(answer->status, ==, runs > 0 ? 502 : 503);
        g_assert_cmpint(took_ms, <, SERVED_WITHIN_MS);
        wire_response_free(answer);
    }
    assert_memory(estate, 0);
    estate_stop(estate);
}

/* A planned stop: sealed answers without end hold the process until its grace ends, not longer. */
static void test_planned_stop(void) {
    enum { GRACE_MS = 3000 };
    estate_t *estate = faulty_start(1, 1, "--stop-grace-s=3");
    faulty_fault(estate, 1, "endless-sealed", 1);
    wire_t *wire = wire_open(estate->nodes[0].clients_port);
    wire_post(wire, "/find/x", "stopped", EDGE_DEADLINE, "hello");
    g_usleep(300000);
    g_assert_cmpint(process_stop(&estate->nodes[0].process, GRACE_MS), ==, 0);
    wire_close(wire);
    estate_stop(estate);
}

/* Six clients at once; the sound engine's requests don't wait for the flood. */
static void test_many_at_once(void) {
    enum { CLIENTS = 6 };
    estate_t *estate = faulty_start(1, 2, NULL);
    faulty_fault(estate, 1, "endless-foreign", ALWAYS);
    wire_t *wires[CLIENTS];
    for (int round = 0; round < 4; round++) {
        int64_t began_ms = harness_now_ms();
        for (int i = 0; i < CLIENTS; i++) {
            g_autofree char *id = g_strdup_printf("many-%d-%d", round, i);
            wires[i] = wire_open(estate->nodes[0].clients_port);
            wire_post(wires[i], "/find/x", id, EDGE_DEADLINE, "hello");
        }
        for (int i = 0; i < CLIENTS; i++) {
            wire_response_t *answer = wire_read(wires[i], 4000);
            g_assert_cmpint(answer->status, ==, 200);
            wire_response_free(answer);
            wire_close(wires[i]);
        }
        g_assert_cmpint(harness_now_ms() - began_ms, <, SERVED_WITHIN_MS);
        g_usleep(300000);
    }
    assert_memory(estate, 0);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/endless/body", test_body);
    g_test_add_func("/edge/endless/body-until-close", test_body_until_close);
    g_test_add_func("/edge/endless/slow-body", test_slow_body);
    g_test_add_func("/edge/endless/failure", test_failure);
    g_test_add_func("/edge/endless/slow-failure", test_slow_failure);
    g_test_add_func("/edge/endless/rejection", test_rejection);
    g_test_add_func("/edge/endless/slow-rejection", test_slow_rejection);
    g_test_add_func("/edge/endless/answer-to-another-request", test_answer_to_another_request);
    g_test_add_func("/edge/endless/slow-answer-to-another-request",
                    test_slow_answer_to_another_request);
    g_test_add_func("/edge/endless/interim-responses", test_interim_responses);
    g_test_add_func("/edge/endless/slow-interim-responses", test_slow_interim_responses);
    g_test_add_func("/edge/endless/heads", test_heads);
    g_test_add_func("/edge/endless/framing", test_framing);
    g_test_add_func("/edge/endless/single-run-rejected", test_single_run_rejected);
    g_test_add_func("/edge/endless/single-run-unsealed", test_single_run_unsealed);
    g_test_add_func("/edge/endless/incomplete-rejections", test_incomplete_rejections);
    g_test_add_func("/edge/endless/sealed", test_sealed);
    g_test_add_func("/edge/endless/event-without-end", test_event_without_end);
    g_test_add_func("/edge/endless/long-event", test_long_event);
    g_test_add_func("/edge/endless/only-interim-responses", test_only_interim_responses);
    g_test_add_func("/edge/endless/by-peer", test_by_peer);
    g_test_add_func("/edge/endless/all-engines", test_all_engines);
    g_test_add_func("/edge/endless/planned-stop", test_planned_stop);
    g_test_add_func("/edge/endless/many-at-once", test_many_at_once);
}

PROCESS_TEST_MAIN(tests_add)
