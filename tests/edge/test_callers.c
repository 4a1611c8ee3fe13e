/* Invalid input from clients gets an error or a closed connection, runs nothing and doesn't affect
 * other requests. */
#include "edge.h"

#include <string.h>

/* Sends raw bytes and expects a status. Nothing may run, the connection must be closed after any
 * status but 404, and the node must serve other requests. */
static void assert_refused(estate_t *estate, const char *bytes, int status) {
    int port = estate->nodes[0].clients_port;
    wire_t *wire = wire_open(port);
    wire_send(wire, "%s", bytes);
    wire_response_t *answer = wire_read(wire, 4000);
    g_test_message("%.60s -> %d", bytes, answer->status);
    g_assert_cmpint(answer->status, ==, status);
    wire_response_free(answer);
    g_assert_true(status == 404 || wire_is_closed(wire, 3000));
    wire_close(wire);
    g_assert_cmpint(estate_runs(estate, "bad"), ==, 0);
    answer = wire_request(port, "/lock/x", "good", EDGE_DEADLINE);
    g_assert_cmpint(answer->status, ==, 200);
    wire_response_free(answer);
}

#define BAD_POST "POST /lock/x HTTP/1.1\r\nHost: a.example\r\nRequest-Attempt-Id: bad\r\n"

static void test_bad_messages(void) {
    estate_t *estate = estate_start(1, NULL);
    assert_refused(estate, BAD_POST "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400);
    assert_refused(estate,
                   BAD_POST
                   "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /lock/y "
                   "HTTP/1.1\r\nHost: a.example\r\nRequest-Attempt-Id: bad\r\n\r\n",
                   400);
    assert_refused(estate, BAD_POST "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", 400);
    assert_refused(estate, "NONSENSE\r\n\r\n", 400);
    assert_refused(estate, "GET /nowhere HTTP/1.1\r\nHost: a.example\r\n\r\n", 404);
    assert_refused(estate, "GET /lock/x HTTP/1.1\r\nHost: b.example\r\n\r\n", 404);
    assert_refused(estate, BAD_POST "Content-Length: 900000\r\n\r\nabc", 413);
    g_autofree char *filler = g_strnfill(6000, 'x');
    g_autofree char *long_headers = g_strconcat(BAD_POST "X-Filler: ", filler, "\r\n\r\n", NULL);
    assert_refused(estate, long_headers, 431);
    assert_refused(estate, BAD_POST "X-Slow: 1", 408); /* the headers are never completed */
    estate_stop(estate);
}

static void test_unknown_model(void) {
    estate_t *estate = estate_start(1, NULL);
    static const char *const models[] = {"m99", "m0/a99", "m0/zz"};
    for (size_t i = 0; i < G_N_ELEMENTS(models); i++) {
        g_autofree char *headers = g_strdup_printf("Model: %s\r\n" EDGE_DEADLINE, models[i]);
        wire_response_t *answer =
            wire_request(estate->nodes[0].clients_port, "/chat/x", "u1", headers);
        g_assert_cmpint(answer->status, ==, 404);
        wire_response_free(answer);
    }
    g_assert_cmpint(estate_runs(estate, "u1"), ==, 0);
    estate_stop(estate);
}

/* Chunked and pipelined requests reach the engine complete, and responses come in order. */
static void test_chunks_and_pipelines(void) {
    estate_t *estate = estate_start(1, NULL);
    wire_t *wire = wire_open(estate->nodes[0].clients_port);
    wire_send(wire, "POST /lock/x HTTP/1.1\r\nHost: a.example\r\nRequest-Attempt-Id: p1\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                    "GET /look/y HTTP/1.1\r\nHost: a.example\r\nRequest-Attempt-Id: p2\r\n\r\n");
    for (int i = 1; i <= 2; i++) {
        wire_response_t *answer = wire_read(wire, 4000);
        g_autofree char *id = g_strdup_printf("Request-Attempt-Id: p%d", i);
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_nonnull(strstr(answer->head->str, id));
        wire_response_free(answer);
    }
    wire_close(wire);
    json_t *seen = estate_records(estate);
    json_t *run = json_array_get(json_object_get(seen, "runs"), 0);
    g_assert_cmpstr(json_string_value(json_object_get(run, "body")), ==, "abcde");
    json_decref(seen);
    estate_stop(estate);
}

/* A request ends when its client disconnects. */
static void test_caller_leaves(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_command(estate,
                   "{\"do\":\"engine-start\",\"engine\":\"llm-9\",\"options\":{\"service\":\"llm\","
                   "\"streams\":1,\"models\":[\"m7\"],\"events\":400,\"event_ms\":20}}");
    g_usleep(600000);
    wire_t *wire = wire_open(estate->nodes[0].clients_port);
    wire_post(wire, "/chat/x", "g1", EDGE_MODEL("m7"), "hello");
    g_usleep(300000);
    wire_close(wire);
    g_usleep(200000);
    g_assert_cmpfloat(estate_metric(estate, 0, "open_requests"), ==, 0);
    g_assert_true(estate_log_has(estate, 0, "\"ending\":\"caller-gone\""));
    estate_stop(estate);
}

/* An HTTP/1.0 client gets a stream without chunked encoding that ends with the connection. */
static void test_old_caller(void) {
    estate_t *estate = estate_start(1, NULL);
    wire_t *wire = wire_open(estate->nodes[0].clients_port);
    wire_send(wire, "POST /chat/x HTTP/1.0\r\nHost: a.example\r\nRequest-Attempt-Id: old\r\n"
                    "Model: m0\r\nContent-Length: 2\r\n\r\nhi");
    wire_response_t *answer = wire_read(wire, 3000);
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_null(strstr(answer->head->str, "chunked"));
    wire_response_free(answer);
    g_usleep(300000);
    wire_is_closed(wire, 1000);
    g_assert_true(g_str_has_prefix(wire->unread->str, "id: 1\ndata: old-1\n\n"));
    g_assert_true(g_str_has_suffix(wire->unread->str, "id: 5\ndata: old-5\n\n"));
    wire_close(wire);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/callers/old-caller", test_old_caller);
    g_test_add_func("/edge/callers/bad-messages", test_bad_messages);
    g_test_add_func("/edge/callers/unknown-model", test_unknown_model);
    g_test_add_func("/edge/callers/chunks-and-pipelines", test_chunks_and_pipelines);
    g_test_add_func("/edge/callers/caller-leaves", test_caller_leaves);
}

PROCESS_TEST_MAIN(tests_add)
