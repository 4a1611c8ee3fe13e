/* Guards against answers that were broken off and reach their client as complete. */
#include "edge.h"

#include <signal.h>
#include <string.h>

#define FLAGS "--lease-quiet-ms=1000 --lease-duration-ms=800"
#define ALL_ENGINES 15U
#define EVENT_MS 300
#define REQUESTS_MAX 100
#define KILL_AFTER_US 800000
/* What the stand-in's engines answer, whole and up to their faults. */
#define TWO_EVENTS "id: 1\ndata: %s-1\n\nid: 2\ndata: %s-2\n\n"
#define ALL_EVENTS TWO_EVENTS "id: 3\ndata: %s-3\n\nid: 4\ndata: %s-4\n\nid: 5\ndata: %s-5\n\n"

static char *two_events(const char *id) {
    return g_strdup_printf(TWO_EVENTS, id, id);
}

static char *all_events(const char *id) {
    return g_strdup_printf(ALL_EVENTS, id, id, id, id, id);
}

static void engine_option(const estate_t *estate, int engine, const char *name, int value) {
    estate_command(estate,
                   "{\"do\":\"engine-option\",\"engine\":\"llm-%d\",\"name\":\"%s\",\"value\":%d}",
                   engine, name, value);
}

static void engines_option(const estate_t *estate, const char *name, int value) {
    engine_option(estate, 1, name, value);
    engine_option(estate, 2, name, value);
}

static void engines_fault(const estate_t *estate, const char *fault, int count) {
    for (int i = 1; i <= 2; i++) {
        estate_command(estate,
                       "{\"do\":\"engine-fault\",\"engine\":\"llm-%d\",\"fault\":\"%s\","
                       "\"count\":%d}",
                       i, fault, count);
    }
}

/* A stream that can't be resumed: the client gets its complete events, and then a broken
 * connection. */
static void assert_broken_off(const estate_t *estate, const char *id) {
    g_autofree char *expected = two_events(id);
    wire_response_t *answer =
        wire_request(estate->nodes[0].clients_port, "/note/x", id, EDGE_MODEL("m0"));
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_cmpstr(answer->body->str, ==, expected);
    g_assert_false(answer->whole);
    g_assert_true(answer->closed);
    g_assert_cmpint(estate_runs(estate, id), ==, 1);
    wire_response_free(answer);
}

/* Guards against a crash that looks like the end of an answer with neither length nor chunks. */
static void test_plain_close_inside_event(void) {
    estate_t *estate = estate_start(1, FLAGS);
    engines_option(estate, "unframed", 1);
    engines_fault(estate, "cut-plain", 1);
    assert_broken_off(estate, "plain");
    g_assert_cmpfloat(estate_metric(estate, 0, "answers_ended_in_event_total"), ==, 1);
    estate_stop(estate);
}

/* The same where the engine ends its chunks properly. */
static void test_framed_end_inside_event(void) {
    estate_t *estate = estate_start(1, FLAGS);
    engines_fault(estate, "cut-plain", 1);
    assert_broken_off(estate, "framed");
    estate_stop(estate);
}

static void assert_whole(const estate_t *estate, const char *path, const char *id) {
    g_autofree char *expected = all_events(id);
    wire_response_t *answer =
        wire_request(estate->nodes[0].clients_port, path, id, EDGE_MODEL("m0"));
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_cmpstr(answer->body->str, ==, expected);
    g_assert_true(answer->whole);
    wire_response_free(answer);
}

/* A stream that may be resumed goes on in the same answer. */
static void assert_goes_on(int unframed) {
    estate_t *estate = estate_start(1, FLAGS);
    engines_option(estate, "unframed", unframed);
    estate_wait_retry_share(estate, 0, 1);
    estate_command(estate, "{\"do\":\"engine-fault\",\"engine\":\"llm-1\",\"fault\":\"cut-plain\","
                           "\"count\":1}");
    for (int i = 0; estate_metric(estate, 0, "answers_ended_in_event_total") == 0; i++) {
        g_autofree char *id = g_strdup_printf("cut-%d", i);
        g_assert_cmpint(i, <, REQUESTS_MAX); /* until llm-1 gets one */
        assert_whole(estate, "/chat/x", id);
    }
    estate_stop(estate);
}

static void test_unframed_goes_on(void) {
    assert_goes_on(1);
}

static void test_framed_goes_on(void) {
    assert_goes_on(0);
}

/* An unframed stream that ended before its first event answers nothing: nobody may take it for a
 * complete one. */
static void test_crash_before_first_event(void) {
    estate_t *estate = estate_start(1, FLAGS);
    engines_option(estate, "unframed", 1);
    wire_t *wire = wire_open(estate->nodes[0].clients_port);
    wire_post(wire, "/note/x", "empty", EDGE_MODEL("m0"), "crash");
    wire_response_t *answer = wire_read(wire, 5000);
    g_test_message("status %d, whole %d", answer->status, answer->whole);
    g_assert_false(answer->status == 200 && answer->whole);
    g_assert_cmpint(answer->status, !=, 503); /* it has run */
    wire_response_free(answer);
    wire_close(wire);
    estate_stop(estate);
}

/* Answers that nothing disturbed are complete, and their ends are known for what they are. */
static void test_whole(void) {
    estate_t *estate = estate_start(1, FLAGS);
    engines_option(estate, "unframed", 1);
    assert_whole(estate, "/note/x", "whole");
    g_assert_cmpfloat(estate_metric(estate, 0, "unframed_answers_total"), ==, 1);
    estate_stop(estate);
}

/* A node that reaches engines only through the other one, and an unframed stream on its way. */
typedef struct tunnelled_t {
    estate_t *estate;
    int cut;
    int peer;
    wire_t *wire;
} tunnelled_t;

static tunnelled_t tunnelled_open(const char *id) {
    tunnelled_t stream = {.estate = estate_start_partitionable(2, FLAGS)};
    stream.cut = (estate_wait_controller(stream.estate, 8000) + 1) % 2;
    stream.peer = 1 - stream.cut;
    engines_option(stream.estate, "unframed", 1);
    engines_option(stream.estate, "event_ms", EVENT_MS);
    estate_partition(stream.estate, 1U << stream.cut, ALL_ENGINES, "silent");
    stream.wire = wire_open(stream.estate->nodes[stream.cut].clients_port);
    wire_post(stream.wire, "/note/x", id, EDGE_MODEL("m0"), "hello");
    g_usleep(KILL_AFTER_US);
    return stream;
}

/* Guards against the death of a node between, whose kernel closes its connections plainly, being
 * taken for the engine's end. */
static void test_peer_killed(void) {
    tunnelled_t stream = tunnelled_open("killed");
    process_kill(&stream.estate->nodes[stream.peer].process);
    wire_response_t *answer = wire_read(stream.wire, 5000);
    g_test_message("status %d, whole %d: %s", answer->status, answer->whole, answer->body->str);
    g_assert_false(answer->whole);
    g_assert_cmpint(estate_runs(stream.estate, "killed"), ==, 1);
    wire_response_free(answer);
    wire_close(stream.wire);
    estate_stop(stream.estate);
}

static void test_whole_by_peer(void) {
    tunnelled_t stream = tunnelled_open("tunnelled");
    g_autofree char *expected = all_events("tunnelled");
    wire_response_t *answer = wire_read(stream.wire, 5000);
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_true(answer->whole);
    g_assert_cmpstr(answer->body->str, ==, expected);
    wire_response_free(answer);
    wire_close(stream.wire);
    estate_stop(stream.estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/answer-ends/plain-close-inside-event", test_plain_close_inside_event);
    g_test_add_func("/edge/answer-ends/framed-end-inside-event", test_framed_end_inside_event);
    g_test_add_func("/edge/answer-ends/unframed-goes-on", test_unframed_goes_on);
    g_test_add_func("/edge/answer-ends/framed-goes-on", test_framed_goes_on);
    g_test_add_func("/edge/answer-ends/crash-before-first-event", test_crash_before_first_event);
    g_test_add_func("/edge/answer-ends/whole", test_whole);
    g_test_add_func("/edge/answer-ends/peer-killed", test_peer_killed);
    g_test_add_func("/edge/answer-ends/whole-by-peer", test_whole_by_peer);
}

PROCESS_TEST_MAIN(tests_add)
