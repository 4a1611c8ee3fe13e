/* What may run once runs at most once; "not run" is said only when it is known. */
#include "edge.h"

#include <string.h>

/* Asks with a fault at both engines of the service, and checks status and runs. */
static void asked_with_fault(const char *path, const char *fault, int count, int status, int runs) {
    estate_t *estate = estate_start(1, NULL);
    estate_wait_share(estate, 0, 1);
    estate_do(estate,
              "{\"do\":\"engine-fault\",\"engine\":\"lock-1\",\"fault\":\"%s\",\"count\":%d}",
              fault, count);
    estate_do(estate,
              "{\"do\":\"engine-fault\",\"engine\":\"lock-2\",\"fault\":\"%s\",\"count\":%d}",
              fault, count);
    wire_answer_t *answer = wire_ask(estate->nodes[0].callers_port, path, "o1", EDGE_DEADLINE);
    g_test_message("%s with %s: %d, %d runs", path, fault, answer->status,
                   estate_runs(estate, "o1"));
    g_assert_cmpint(answer->status, ==, status);
    g_assert_cmpint(estate_runs(estate, "o1"), ==, runs);
    wire_answer_free(answer);
    estate_stop(estate);
}

static void test_broken_runs(void) {
    asked_with_fault("/lock/x", "reset", 1, 502, 1);    /* it may have run: no promise */
    asked_with_fault("/lock/x", "unsealed", 1, 502, 1); /* no proper answer */
    asked_with_fault("/lock/x", "error", 1, 500, 1);    /* the engine's own failure, as it is */
    asked_with_fault("/lock/x", "mute", 1, 504, 1);     /* until the route's time is over */
}

static void test_rejected_runs(void) {
    asked_with_fault("/lock/x", "reject", 9, 503, 0); /* both turn it away, again and again */
    asked_with_fault("/lock/x", "reject", 1, 200,
                     1); /* both do once: asked again within its target */
}

/* The only engine that holds a model turns a request away for the moment: it is asked again soon,
 * and the model isn't loaded elsewhere. */
static void test_only_holder_rejects(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_wait_share(estate, 0, 1);
    for (int i = 0; i < 3; i++) {
        g_autofree char *id = g_strdup_printf("h%d", i);
        estate_do(
            estate,
            "{\"do\":\"engine-fault\",\"engine\":\"llm-1\",\"fault\":\"reject\",\"count\":1}");
        int64_t began_ms = harness_now_ms();
        wire_answer_t *answer =
            wire_ask(estate->nodes[0].callers_port, "/chat/x", id, EDGE_MODEL("m1"));
        int64_t took_ms = harness_now_ms() - began_ms;
        g_test_message("%d after %d ms", answer->status, (int)took_ms);
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_cmpint(took_ms, <, 550);
        g_assert_cmpint(estate_runs(estate, id), ==, 1);
        wire_answer_free(answer);
    }
    g_assert_cmpint(estate_orders(estate, "model_load", "m1"), ==, 0);
    estate_stop(estate);
}

static void test_repeatable_runs(void) {
    asked_with_fault("/look/x", "reset", 1, 502, 2); /* as many engines as the route allows */
    asked_with_fault("/look/x", "mute", 1, 504, 2);
}

/* A resumable stream that breaks off goes on elsewhere after its last whole event. */
static void test_stream_is_resumed(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_wait_share(estate, 0, 1);
    int resumed = 0;
    for (int i = 0; i < 8; i++) {
        /* One engine breaks its next answer off; the other goes on with it. */
        estate_do(estate,
                  "{\"do\":\"engine-fault\",\"engine\":\"llm-1\",\"fault\":\"cut\",\"count\":1}");
        g_autofree char *id = g_strdup_printf("t%d", i);
        wire_answer_t *answer =
            wire_ask(estate->nodes[0].callers_port, "/chat/x", id, EDGE_MODEL("m0"));
        g_assert_true(answer->whole);
        for (int event = 1; event <= 5; event++) {
            g_autofree char *text = g_strdup_printf("id: %d\ndata: %s-%d\n\n", event, id, event);
            const char *place = strstr(answer->body->str, text);
            g_assert_nonnull(place);
            g_assert_null(strstr(place + 1, text));
        }
        resumed += estate_runs(estate, id) == 2;
        wire_answer_free(answer);
        g_usleep(500000); /* the engine is no longer avoided */
    }
    g_assert_cmpint(resumed, >, 0);
    estate_stop(estate);
}

/* A stream that may not be resumed is broken off, never ended as if it were whole. */
static void test_cut_stream_is_not_whole(void) {
    estate_t *estate = estate_start(1, NULL);
    for (int i = 1; i <= 2; i++)
        estate_do(estate,
                  "{\"do\":\"engine-fault\",\"engine\":\"llm-%d\",\"fault\":\"cut\",\"count\":9}",
                  i);
    wire_answer_t *answer =
        wire_ask(estate->nodes[0].callers_port, "/note/x", "n1", EDGE_MODEL("m0"));
    g_assert_false(answer->whole);
    g_assert_true(answer->closed);
    g_assert_cmpint(estate_runs(estate, "n1"), ==, 1);
    g_assert_null(strstr(answer->body->str, "id: 99"));
    wire_answer_free(answer);
    estate_stop(estate);
}

/* An engine that says nothing to what was sent gets no more, long before those requests are given
 * up. */
static void test_quiet_engine_is_left_alone(void) {
    enum { ASKED = 24 };
    estate_t *estate = estate_start(1, NULL);
    estate_do(estate,
              "{\"do\":\"engine-fault\",\"engine\":\"lock-1\",\"fault\":\"mute\",\"count\":99}");
    wire_t *wires[ASKED];
    int served = 0;
    for (int i = 0; i < ASKED; i++) {
        g_autofree char *id = g_strdup_printf("q%d", i);
        wires[i] = wire_open(estate->nodes[0].callers_port);
        wire_post(wires[i], "/lock/x", id, EDGE_DEADLINE, "hello");
        g_usleep(70000);
    }
    for (int i = 0; i < ASKED; i++) {
        wire_answer_t *answer = wire_read(wires[i], 4000);
        served += answer->status == 200;
        wire_answer_free(answer);
        wire_close(wires[i]);
    }
    g_test_message("%d of %d served", served, ASKED);
    g_assert_cmpint(served, >=, ASKED - 6);
    estate_stop(estate);
}

#define RELAY_SETTLES_US 20000 /* the proxy takes a fault up a moment after it has said so */

/* Cuts the way to both engines behind each byte, and checks what each answer promises. */
static void once_cut_at_every_byte(estate_t *estate, const char *fault, int bytes) {
    int unsure = 0;
    for (int at = 0; at <= bytes; at += 3) {
        g_autofree char *id = g_strdup_printf("once-%d", at);
        estate_engine_fault(estate, 0, fault, at, 1);
        estate_engine_fault(estate, 1, fault, at, 1);
        g_usleep(RELAY_SETTLES_US);
        wire_answer_t *answer =
            wire_ask(estate->nodes[0].callers_port, "/lock/x", id, EDGE_DEADLINE);
        int runs = estate_runs(estate, id);
        g_test_message("%s behind %d: %d, %d runs", fault, at, answer->status, runs);
        g_assert_cmpint(runs, <=, 1);
        g_assert_true(answer->status == 200 || answer->status == 502 || answer->status == 503);
        if (answer->status == 503)
            g_assert_cmpint(runs, ==, 0);
        if (answer->status == 200) {
            g_autofree char *body = g_strdup_printf("ran %s at lock-", id);
            g_assert_true(g_str_has_prefix(answer->body->str, body));
            g_assert_true(answer->whole);
        }
        unsure += answer->status == 502;
        wire_answer_free(answer);
    }
    g_assert_cmpint(unsure, >, 20);
}

/* Cuts the way to one engine: a request that may be repeated is served by the other. */
static void again_cut_at_every_byte(estate_t *estate, const char *fault, int bytes) {
    estate_engine_fault(estate, 1, "pass", 0, 0);
    for (int at = 0; at <= bytes; at += 3) {
        g_autofree char *id = g_strdup_printf("again-%d", at);
        estate_engine_fault(estate, 0, fault, at, 1);
        g_usleep(RELAY_SETTLES_US);
        wire_answer_t *answer =
            wire_ask(estate->nodes[0].callers_port, "/look/x", id, EDGE_DEADLINE);
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_cmpint(estate_runs(estate, id), <=, 2);
        wire_answer_free(answer);
    }
}

static void cut_at_every_byte(const char *fault, int bytes) {
    estate_t *estate = estate_start(1, NULL);
    once_cut_at_every_byte(estate, fault, bytes);
    estate_stop(estate);
    /* Anew: connections that were kept would still be cut behind their byte. */
    estate = estate_start(1, NULL);
    estate_wait_share(estate, 0, 1);
    again_cut_at_every_byte(estate, fault, bytes);
    estate_stop(estate);
}

static void test_cut_at_every_byte_of_the_request(void) {
    cut_at_every_byte("cut_request", 200);
}

static void test_cut_at_every_byte_of_the_answer(void) {
    cut_at_every_byte("cut_answer", 170);
}

/* An engine that can't be reached costs nobody a request. */
static void test_unreached_engine(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_wait_share(estate, 0, 1);
    estate_engine_fault(estate, 0, "cut", 0, 0);
    for (int i = 0; i < 10; i++) {
        g_autofree char *id = g_strdup_printf("u%d", i);
        wire_answer_t *answer =
            wire_ask(estate->nodes[0].callers_port, "/look/x", id, EDGE_DEADLINE);
        g_assert_cmpint(answer->status, ==, 200);
        wire_answer_free(answer);
    }
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/once/cut-at-every-byte-of-the-request",
                    test_cut_at_every_byte_of_the_request);
    g_test_add_func("/edge/once/cut-at-every-byte-of-the-answer",
                    test_cut_at_every_byte_of_the_answer);
    g_test_add_func("/edge/once/unreached-engine", test_unreached_engine);
    g_test_add_func("/edge/once/quiet-engine-is-left-alone", test_quiet_engine_is_left_alone);
    g_test_add_func("/edge/once/broken-runs", test_broken_runs);
    g_test_add_func("/edge/once/rejected-runs", test_rejected_runs);
    g_test_add_func("/edge/once/only-holder-rejects", test_only_holder_rejects);
    g_test_add_func("/edge/once/repeatable-runs", test_repeatable_runs);
    g_test_add_func("/edge/once/stream-is-resumed", test_stream_is_resumed);
    g_test_add_func("/edge/once/cut-stream-is-not-whole", test_cut_stream_is_not_whole);
}

PROCESS_TEST_MAIN(tests_add)
