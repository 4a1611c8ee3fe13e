/* Requests that aren't repeatable run at most once, and a response says "not run" only if that is
 * certain. */
#include "edge.h"

#include <string.h>

/* Sends a request with a fault at both engines of the service, and checks its status and runs. */
static void fault_test(const char *path, const char *fault, int count, int status, int runs) {
    estate_t *estate = estate_start(1, NULL);
    estate_wait_retry_share(estate, 0, 1);
    estate_command(estate,
                   "{\"do\":\"engine-fault\",\"engine\":\"lock-1\",\"fault\":\"%s\",\"count\":%d}",
                   fault, count);
    estate_command(estate,
                   "{\"do\":\"engine-fault\",\"engine\":\"lock-2\",\"fault\":\"%s\",\"count\":%d}",
                   fault, count);
    wire_response_t *answer =
        wire_request(estate->nodes[0].clients_port, path, "o1", EDGE_DEADLINE);
    g_test_message("%s with %s: %d, %d runs", path, fault, answer->status,
                   estate_runs(estate, "o1"));
    g_assert_cmpint(answer->status, ==, status);
    g_assert_cmpint(estate_runs(estate, "o1"), ==, runs);
    wire_response_free(answer);
    estate_stop(estate);
}

static void test_broken_runs(void) {
    fault_test("/lock/x", "reset", 1, 502, 1);    /* it may have run */
    fault_test("/lock/x", "unsealed", 1, 502, 1); /* invalid response */
    fault_test("/lock/x", "error", 1, 500, 1);    /* the engine's error is forwarded */
    fault_test("/lock/x", "mute", 1, 504, 1);     /* until the route's timeout */
}

static void test_rejected_runs(void) {
    fault_test("/lock/x", "reject", 9, 503, 0); /* both always reject it */
    fault_test("/lock/x", "reject", 1, 200, 1); /* both reject it once: retried in time */
}

/* If the only engine with the model rejects a request once, the request is retried there soon and
 * the model isn't loaded on another engine. */
static void test_only_holder_rejects(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_wait_retry_share(estate, 0, 1);
    for (int i = 0; i < 3; i++) {
        g_autofree char *id = g_strdup_printf("h%d", i);
        estate_command(
            estate,
            "{\"do\":\"engine-fault\",\"engine\":\"llm-1\",\"fault\":\"reject\",\"count\":1}");
        int64_t started_ms = harness_now_ms();
        wire_response_t *answer =
            wire_request(estate->nodes[0].clients_port, "/chat/x", id, EDGE_MODEL("m1"));
        int64_t elapsed_ms = harness_now_ms() - started_ms;
        g_test_message("%d after %d ms", answer->status, (int)elapsed_ms);
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_cmpint(elapsed_ms, <, 550);
        g_assert_cmpint(estate_runs(estate, id), ==, 1);
        wire_response_free(answer);
    }
    g_assert_cmpint(estate_orders(estate, "model_load", "m1"), ==, 0);
    estate_stop(estate);
}

static void test_repeatable_runs(void) {
    fault_test("/look/x", "reset", 1, 502, 2); /* as many engines as the route allows */
    fault_test("/look/x", "mute", 1, 504, 2);
}

/* A resumable stream that is aborted continues on another engine after its last complete event. */
static void test_stream_is_resumed(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_wait_retry_share(estate, 0, 1);
    int resumed = 0;
    for (int i = 0; i < 8; i++) {
        /* One engine aborts its next response; the other one resumes it. */
        estate_command(
            estate, "{\"do\":\"engine-fault\",\"engine\":\"llm-1\",\"fault\":\"cut\",\"count\":1}");
        g_autofree char *id = g_strdup_printf("t%d", i);
        wire_response_t *answer =
            wire_request(estate->nodes[0].clients_port, "/chat/x", id, EDGE_MODEL("m0"));
        g_assert_true(answer->whole);
        for (int event = 1; event <= 5; event++) {
            g_autofree char *text = g_strdup_printf("id: %d\ndata: %s-%d\n\n", event, id, event);
            const char *position = strstr(answer->body->str, text);
            g_assert_nonnull(position);
            g_assert_null(strstr(position + 1, text));
        }
        resumed += estate_runs(estate, id) == 2;
        wire_response_free(answer);
        g_usleep(500000); /* until the engine is no longer avoided */
    }
    g_assert_cmpint(resumed, >, 0);
    estate_stop(estate);
}

/* An aborted stream that can't be resumed must not end as if it were complete. */
static void test_cut_stream_is_not_whole(void) {
    estate_t *estate = estate_start(1, NULL);
    for (int i = 1; i <= 2; i++)
        estate_command(
            estate, "{\"do\":\"engine-fault\",\"engine\":\"llm-%d\",\"fault\":\"cut\",\"count\":9}",
            i);
    wire_response_t *answer =
        wire_request(estate->nodes[0].clients_port, "/note/x", "n1", EDGE_MODEL("m0"));
    g_assert_false(answer->whole);
    g_assert_true(answer->closed);
    g_assert_cmpint(estate_runs(estate, "n1"), ==, 1);
    g_assert_null(strstr(answer->body->str, "id: 99"));
    wire_response_free(answer);
    estate_stop(estate);
}

/* Nodes stop sending requests to an unresponsive engine long before the pending ones time out. */
static void test_quiet_engine_is_left_alone(void) {
    enum { REQUESTS = 24 };
    estate_t *estate = estate_start(1, NULL);
    estate_command(
        estate, "{\"do\":\"engine-fault\",\"engine\":\"lock-1\",\"fault\":\"mute\",\"count\":99}");
    wire_t *wires[REQUESTS];
    int served = 0;
    for (int i = 0; i < REQUESTS; i++) {
        g_autofree char *id = g_strdup_printf("q%d", i);
        wires[i] = wire_open(estate->nodes[0].clients_port);
        wire_post(wires[i], "/lock/x", id, EDGE_DEADLINE, "hello");
        g_usleep(70000);
    }
    for (int i = 0; i < REQUESTS; i++) {
        wire_response_t *answer = wire_read(wires[i], 4000);
        served += answer->status == 200;
        wire_response_free(answer);
        wire_close(wires[i]);
    }
    g_test_message("%d of %d served", served, REQUESTS);
    g_assert_cmpint(served, >=, REQUESTS - 6);
    estate_stop(estate);
}

#define PROXY_SETTLE_US 20000 /* the proxy applies a fault shortly after it responds */

/* Cuts the connections to both engines at every third byte: the status must agree with the runs. */
static void single_run_cut_test(estate_t *estate, const char *fault, int bytes) {
    int unknown_outcomes = 0;
    for (int offset = 0; offset <= bytes; offset += 3) {
        g_autofree char *id = g_strdup_printf("once-%d", offset);
        estate_engine_fault(estate, 0, fault, offset, 1);
        estate_engine_fault(estate, 1, fault, offset, 1);
        g_usleep(PROXY_SETTLE_US);
        wire_response_t *answer =
            wire_request(estate->nodes[0].clients_port, "/lock/x", id, EDGE_DEADLINE);
        int runs = estate_runs(estate, id);
        g_test_message("%s behind %d: %d, %d runs", fault, offset, answer->status, runs);
        g_assert_cmpint(runs, <=, 1);
        g_assert_true(answer->status == 200 || answer->status == 502 || answer->status == 503);
        if (answer->status == 503)
            g_assert_cmpint(runs, ==, 0);
        if (answer->status == 200) {
            g_autofree char *body = g_strdup_printf("ran %s at lock-", id);
            g_assert_true(g_str_has_prefix(answer->body->str, body));
            g_assert_true(answer->whole);
        }
        unknown_outcomes += answer->status == 502;
        wire_response_free(answer);
    }
    g_assert_cmpint(unknown_outcomes, >, 20);
}

/* Cuts the connection to one engine at every third byte: the other engine serves the request. */
static void repeatable_cut_test(estate_t *estate, const char *fault, int bytes) {
    estate_engine_fault(estate, 1, "pass", 0, 0);
    for (int offset = 0; offset <= bytes; offset += 3) {
        g_autofree char *id = g_strdup_printf("again-%d", offset);
        estate_engine_fault(estate, 0, fault, offset, 1);
        g_usleep(PROXY_SETTLE_US);
        wire_response_t *answer =
            wire_request(estate->nodes[0].clients_port, "/look/x", id, EDGE_DEADLINE);
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_cmpint(estate_runs(estate, id), <=, 2);
        wire_response_free(answer);
    }
}

static void cut_test(const char *fault, int bytes) {
    estate_t *estate = estate_start(1, NULL);
    single_run_cut_test(estate, fault, bytes);
    estate_stop(estate);
    /* A new cluster, because kept connections would still be cut at their offset. */
    estate = estate_start(1, NULL);
    estate_wait_retry_share(estate, 0, 1);
    repeatable_cut_test(estate, fault, bytes);
    estate_stop(estate);
}

static void test_cut_at_every_byte_of_the_request(void) {
    cut_test("cut_request", 200);
}

static void test_cut_at_every_byte_of_the_answer(void) {
    cut_test("cut_answer", 170);
}

/* No repeatable request fails because of an unreachable engine. */
static void test_unreached_engine(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_wait_retry_share(estate, 0, 1);
    estate_engine_fault(estate, 0, "cut", 0, 0);
    for (int i = 0; i < 10; i++) {
        g_autofree char *id = g_strdup_printf("u%d", i);
        wire_response_t *answer =
            wire_request(estate->nodes[0].clients_port, "/look/x", id, EDGE_DEADLINE);
        g_assert_cmpint(answer->status, ==, 200);
        wire_response_free(answer);
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
