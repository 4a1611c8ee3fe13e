/* Guards against an answer that an engine sends a second time being taken for the answer to a later
 * send of the same request. */
#include "faulty.h"

#include <string.h>

static void assert_runs(const estate_t *estate, const char *path, const char *id, int status,
                        int runs) {
    wire_response_t *answer = wire_request(estate->nodes[0].clients_port, path, id, EDGE_DEADLINE);
    g_usleep(100000); /* a run that nobody waits for is recorded, too */
    g_test_message("%s: %d, %d runs", path, answer->status, estate_runs(estate, id));
    g_assert_cmpint(answer->status, ==, status);
    g_assert_cmpint(estate_runs(estate, id), ==, runs);
    wire_response_free(answer);
}

/* Both engines reject the request, then serve it behind copies of their rejections.
 * @param after as of the engines' options */
static void both_engines_test(const char *path, int after, int copies) {
    estate_t *estate = faulty_start(1, 2, NULL);
    for (int engine = 1; engine <= 2; engine++) {
        faulty_option(estate, engine, "after", after);
        faulty_option(estate, engine, "copies", copies);
    }
    for (int i = 0; i < 5; i++) {
        g_autofree char *id = g_strdup_printf("both-%d", i);
        faulty_fault(estate, 1, "reject-again", 1);
        faulty_fault(estate, 2, "reject-again", 1);
        assert_runs(estate, path, id, 200, 1);
        g_usleep(300000); /* until no engine is avoided */
    }
    estate_stop(estate);
}

/* Guards against a request that may run once running at two engines, and being refused as not run
 * after its last send. */
static void test_rejections(void) {
    both_engines_test("/hold/x", 1, 1);
}

/* The same with two copies of each rejection. */
static void test_two_copies(void) {
    both_engines_test("/hold/x", 1, 2);
}

/* The same with a copy that comes directly behind its rejection. */
static void test_copy_comes_at_once(void) {
    both_engines_test("/hold/x", 0, 1);
}

/* The same for a stream that can't be resumed. */
static void test_rejections_of_streams(void) {
    both_engines_test("/tell/x", 1, 1);
}

/* Guards against a request being refused as not run although it ran, where the retry budget allows
 * one resend only. */
static void test_retry_budget_is_used_up(void) {
    estate_t *estate = faulty_start(1, 1, "--retry-slack=1.5 --retry-ratio=0");
    faulty_fault(estate, 1, "reject-again", 1);
    assert_runs(estate, "/hold/x", "budget", 200, 1);
    estate_stop(estate);
}

/* The copy comes only after the answer to another request on the same connection. */
static void test_copy_comes_later(void) {
    estate_t *estate = faulty_start(1, 1, NULL);
    faulty_option(estate, 1, "after", 2);
    faulty_fault(estate, 1, "reject-again", 1);
    wire_t *wire = wire_open(estate->nodes[0].clients_port);
    wire_post(wire, "/hold/x", "later", EDGE_DEADLINE, "hello");
    g_usleep(50000);
    assert_runs(estate, "/hold/x", "between", 200, 1);
    wire_response_t *answer = wire_read(wire, 4000);
    g_usleep(400000); /* until another send would have run, too */
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_cmpint(estate_runs(estate, "later"), ==, 1);
    wire_response_free(answer);
    wire_close(wire);
    estate_stop(estate);
}

/* A client comes back with the id that was refused: the copy belongs to its first try. */
static void test_client_comes_back(void) {
    estate_t *estate = faulty_start(1, 1, "--retry-slack=0 --retry-ratio=0");
    faulty_fault(estate, 1, "reject-again", 1);
    assert_runs(estate, "/hold/x", "back", 503, 0);
    g_usleep(150000);
    assert_runs(estate, "/hold/x", "back", 200, 1);
    estate_stop(estate);
}

/* A failure that is sent twice: the copy must not hide the answer to the client's next try. */
static void test_failures(void) {
    estate_t *estate = faulty_start(1, 1, NULL);
    faulty_fault(estate, 1, "error-again", 1);
    assert_runs(estate, "/hold/x", "failed", 500, 1);
    assert_runs(estate, "/hold/x", "failed", 200, 2);
    estate_stop(estate);
}

/* Sends a HEAD. Returns the response's status. */
static int head_status(const estate_t *estate, int number) {
    wire_t *wire = wire_open(estate->nodes[0].clients_port);
    wire_send(
        wire,
        "HEAD /hold/x HTTP/1.1\r\nHost: a.example\r\nRequest-Attempt-Id: head-%d\r\n" EDGE_DEADLINE
        "\r\n",
        number);
    wire_response_t *answer = wire_read(wire, 300);
    int status = answer->status;
    wire_response_free(answer);
    wire_close(wire);
    return status;
}

/* Guards against a copy of the answer to a HEAD, which names a length but has no body, taking the
 * first bytes of the next request's answer for that body. */
static void test_copy_before_an_answer_to_post(void) {
    estate_t *estate = faulty_start(1, 1, NULL);
    for (int i = 0; i < 5; i++) {
        g_autofree char *id = g_strdup_printf("behind-%d", i);
        faulty_fault(estate, 1, "error-again", 1);
        g_assert_cmpint(head_status(estate, i), ==, 500);
        assert_runs(estate, "/hold/x", id, 200, 1);
    }
    estate_stop(estate);
}

/* The reverse: the copy has a body, which isn't expected in front of the answer to a HEAD. */
static void test_copy_before_an_answer_to_head(void) {
    estate_t *estate = faulty_start(1, 1, NULL);
    for (int i = 0; i < 5; i++) {
        g_autofree char *id = g_strdup_printf("before-%d", i);
        faulty_fault(estate, 1, "error-again", 1);
        assert_runs(estate, "/hold/x", id, 500, 1);
        g_assert_cmpint(head_status(estate, i), ==, 200);
    }
    estate_stop(estate);
}

/* Connections that have carried a request still carry all others. */
static void test_connections_are_kept(void) {
    estate_t *estate = faulty_start(1, 1, NULL);
    double opened = estate_metric(estate, 0, "engine_connections_opened_total");
    for (int i = 0; i < 20; i++) {
        g_autofree char *id = g_strdup_printf("kept-%d", i);
        faulty_fault(estate, 1, "reject", 1);
        assert_runs(estate, "/hold/x", id, 200, 1);
    }
    opened = estate_metric(estate, 0, "engine_connections_opened_total") - opened;
    g_test_message("%d connections opened", (int)opened);
    g_assert_cmpfloat(opened, <=, 2); /* two are enough: a rejected request takes the other one */
    estate_stop(estate);
}

/* Guards against an engine's own 503, which doesn't say that the request hasn't run, being passed
 * on as such a promise. */
static void test_failure_promises_nothing(void) {
    estate_t *estate = faulty_start(1, 1, NULL);
    faulty_fault(estate, 1, "busy", 1);
    assert_runs(estate, "/hold/x", "busy", 502, 1);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/repeated-answers/rejections", test_rejections);
    g_test_add_func("/edge/repeated-answers/rejections-of-streams", test_rejections_of_streams);
    g_test_add_func("/edge/repeated-answers/retry-budget-is-used-up", test_retry_budget_is_used_up);
    g_test_add_func("/edge/repeated-answers/copy-comes-later", test_copy_comes_later);
    g_test_add_func("/edge/repeated-answers/copy-comes-at-once", test_copy_comes_at_once);
    g_test_add_func("/edge/repeated-answers/two-copies", test_two_copies);
    g_test_add_func("/edge/repeated-answers/client-comes-back", test_client_comes_back);
    g_test_add_func("/edge/repeated-answers/failures", test_failures);
    g_test_add_func("/edge/repeated-answers/copy-before-an-answer-to-post",
                    test_copy_before_an_answer_to_post);
    g_test_add_func("/edge/repeated-answers/copy-before-an-answer-to-head",
                    test_copy_before_an_answer_to_head);
    g_test_add_func("/edge/repeated-answers/connections-are-kept", test_connections_are_kept);
    g_test_add_func("/edge/repeated-answers/failure-promises-nothing",
                    test_failure_promises_nothing);
}

PROCESS_TEST_MAIN(tests_add)
