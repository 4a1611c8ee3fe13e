/* Guards against a response without end that is collected as long as bytes arrive, and responses
 * that are taken for complete although their connection ended before they did. */
#include "raw_server.h"
#include "unit.h"

#include "wickbridge/http_client.h"
#include "wickbridge/http_listener.h"
#include "wickbridge/loop.h"

#include <string.h>

#define TIMEOUT_MS 20000
#define RESPONSE_MAX_BYTES ((size_t)32 * 1024 * 1024)
#define PIECE_BYTES (2 * RESPONSE_MAX_BYTES) /* more than the client and the kernel take */

typedef struct fixture_t {
    wb_loop_t *loop;
    wb_http_outcome_t outcome;
    unsigned status;
    size_t length;
    gboolean framed;
} fixture_t;

static void send_endless(wb_http_connection_t *connection, void *request, void *context) {
    g_autofree char *piece = g_malloc0(PIECE_BYTES);
    (void)request;
    (void)context;
    wb_http_connection_stream_write(connection, piece, PIECE_BYTES);
}

static void on_request(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                       void *context) {
    wb_http_head_free(head);
    g_byte_array_unref(body);
    wb_http_connection_stream_begin(connection, 500, "Failed", "");
    send_endless(connection, NULL, context);
}

static void record_result(const wb_http_result_t *result, void *context) {
    fixture_t *fixture = context;
    fixture->outcome = result->outcome;
    fixture->status = result->status;
    fixture->length = result->body_length;
    fixture->framed = result->framed;
    wb_loop_quit(fixture->loop);
}

static void test_endless_response_ends(void) {
    fixture_t fixture = {0};
    wb_error_t error;
    wb_http_limits_t limits = {4096, 4096, 5000, 5000};
    wb_http_handler_t handler = {on_request, NULL, send_endless, &fixture};
    wb_http_listener_t *listener;
    wb_http_client_t *client;
    g_assert_cmpint(wb_loop_create(&fixture.loop, "test", 64, &error), ==, APR_SUCCESS);
    g_assert_cmpint(
        wb_http_listener_open(fixture.loop, "127.0.0.1:0", &handler, &limits, &listener, &error),
        ==, APR_SUCCESS);
    g_assert_cmpint(wb_http_client_start(&client, NULL, &error), ==, APR_SUCCESS);
    g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u/", wb_http_listener_port(listener));
    wb_http_request_t request = {.method = "GET",
                                 .url = url,
                                 .timeout_ms = TIMEOUT_MS,
                                 .on_done = record_result,
                                 .context = &fixture};
    int64_t began_ms = wb_clock_ms();
    wb_http_client_fetch(client, fixture.loop, &request);
    wb_loop_run(fixture.loop);
    g_assert_cmpint(fixture.outcome, ==, WB_HTTP_INCOMPLETE);
    g_assert_cmpuint(fixture.length, <=, RESPONSE_MAX_BYTES);
    g_assert_cmpint(wb_clock_ms() - began_ms, <, TIMEOUT_MS / 2);
    wb_http_client_stop(client);
}

/* A client, and a server that sends raw bytes. */
typedef struct raw_t {
    fixture_t fixture;
    raw_server_t server;
    char *url;
    wb_http_client_t *client;
} raw_t;

static raw_t *raw_create(void) {
    raw_t *raw = g_new0(raw_t, 1);
    wb_error_t error;
    g_assert_cmpint(wb_loop_create(&raw->fixture.loop, "test", 64, &error), ==, APR_SUCCESS);
    g_autofree char *address = raw_server_open(&raw->server, raw->fixture.loop);
    raw->url = g_strdup_printf("http://%s/", address);
    g_assert_cmpint(wb_http_client_start(&raw->client, NULL, &error), ==, APR_SUCCESS);
    return raw;
}

static void raw_free(raw_t *raw) {
    wb_http_client_stop(raw->client);
    wb_tcp_listener_close(raw->server.listener);
    g_free(raw->url);
    g_free(raw);
}

/* Calls the server, which sends the first bytes of a text. */
static void raw_call(raw_t *raw, const char *text, size_t bytes) {
    wb_http_request_t request = {.method = "GET",
                                 .url = raw->url,
                                 .timeout_ms = TIMEOUT_MS,
                                 .send_once = TRUE,
                                 .on_done = record_result,
                                 .context = &raw->fixture};
    raw->server.text = text;
    raw->server.text_bytes = bytes;
    wb_http_client_fetch(raw->client, raw->fixture.loop, &request);
    wb_loop_run(raw->fixture.loop);
}

#define INTERIM "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\nLink: x\r\n\r\n"
#define OK "HTTP/1.1 200 OK\r\nDate: today\r\n"
#define FULL "HTTP/1.1 429 Full\r\nRetry-After: 1\r\n"
#define LENGTH "Content-Length: 5\r\n\r\nhello"
#define EMPTY "Content-Length: 0\r\n\r\n"
#define CHUNKS "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n"

static const char *const framed_responses[] = {
    OK LENGTH,
    OK EMPTY,
    OK CHUNKS "\r\n",
    OK CHUNKS "Checksum: 1\r\n\r\n",
    INTERIM OK LENGTH,
    INTERIM INTERIM OK CHUNKS "\r\n",
    FULL LENGTH,
    FULL EMPTY,
    "HTTP/1.1 204 No Content\r\nDate: today\r\n\r\n",
};

static gboolean is_chunked(const char *text) {
    return strstr(text, "chunked") != NULL;
}

/* Guards against a server that dies within its response's head, after the status line: what it has
 * not sent is taken for an empty body, and its status for a whole response. */
static void test_cut_responses_are_incomplete(void) {
    raw_t *raw = raw_create();
    for (size_t i = 0; i < G_N_ELEMENTS(framed_responses); i++) {
        const char *text = framed_responses[i];
        for (size_t bytes = 1; bytes < strlen(text); bytes++) {
            raw_call(raw, text, bytes);
            if (raw->fixture.outcome == WB_HTTP_INCOMPLETE)
                continue;
            g_test_message("response %zu, %zu of %zu bytes: complete, status %u, %zu bytes", i,
                           bytes, strlen(text), raw->fixture.status, raw->fixture.length);
            /* The last chunk has arrived: nothing but the line feed behind it lacks. */
            g_assert_true(is_chunked(text) && bytes == strlen(text) - 1);
            g_assert_cmpuint(raw->fixture.length, ==, 5);
        }
        raw_call(raw, text, strlen(text));
        g_assert_cmpint(raw->fixture.outcome, ==, WB_HTTP_COMPLETED);
    }
    raw_free(raw);
}

/* A response without a frame ends with its connection, also where an interim one had a length. */
static void test_unframed_responses(void) {
    static const char *const texts[] = {OK "\r\nhello", INTERIM OK "\r\nhello"};
    raw_t *raw = raw_create();
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        raw_call(raw, texts[i], strlen(texts[i]));
        g_assert_cmpint(raw->fixture.outcome, ==, WB_HTTP_COMPLETED);
        g_assert_cmpuint(raw->fixture.length, ==, 5);
        g_assert_false(raw->fixture.framed);
    }
    raw_free(raw);
}

static void tests_add(void) {
    g_test_add_func("/http-client/endless-response-ends", test_endless_response_ends);
    g_test_add_func("/http-client/cut-responses-are-incomplete", test_cut_responses_are_incomplete);
    g_test_add_func("/http-client/unframed-responses", test_unframed_responses);
}

UNIT_TEST_MAIN(tests_add)
