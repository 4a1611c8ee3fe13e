/* Guards against large responses cut off by the timeout while bytes arrive, calls that don't end as
 * their response stalls or has no end, and responses that are taken for complete although their
 * connection ended before they did. */
#include "raw_server.h"
#include "unit.h"

#include "wickbridge/http_listener.h"
#include "wickbridge/http_pool.h"
#include "wickbridge/loop.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNKS 8
#define CHUNK_MS 60
#define TIMEOUT_MS 200 /* less than all chunks take, more than one does */

/* A server that sends its response in chunks, and stops after stop_after of them. */
typedef struct fixture_t {
    wb_loop_t *loop;
    wb_http_listener_t *listener;
    wb_http_connection_t *connection;
    int sent;
    int stop_after;
    gboolean endless; /* it sends as fast as the client reads, until the client closes */
    size_t endless_bytes;
    wb_http_outcome_t outcome;
    size_t length;
    int64_t began_ms;
    int64_t took_ms;
} fixture_t;

static void send_chunk(void *context) {
    fixture_t *fixture = context;
    if (fixture->connection == NULL) {
        return;
    }
    if (fixture->sent == CHUNKS) {
        wb_http_connection_stream_end(fixture->connection);
        fixture->connection = NULL;
        return;
    }
    if (fixture->sent++ < fixture->stop_after) {
        wb_http_connection_stream_write(fixture->connection, "piece", 5);
    }
    wb_loop_after(fixture->loop, CHUNK_MS, send_chunk, fixture);
}

static void send_endless(wb_http_connection_t *connection, void *request, void *context) {
    static const char piece[65536];
    fixture_t *fixture = context;
    (void)request;
    if (!fixture->endless) {
        return;
    }
    while (wb_http_connection_unsent(connection) == 0) {
        fixture->endless_bytes += sizeof(piece);
        wb_http_connection_stream_write(connection, piece, sizeof(piece));
    }
}

static void on_request(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                       void *context) {
    fixture_t *fixture = context;
    wb_http_head_free(head);
    g_byte_array_unref(body);
    fixture->connection = connection;
    wb_http_connection_stream_begin(connection, 200, "OK", "");
    if (fixture->endless) {
        send_endless(connection, NULL, fixture);
        return;
    }
    wb_loop_after(fixture->loop, CHUNK_MS, send_chunk, fixture);
}

static void on_client_left(wb_http_connection_t *connection, void *request, void *context) {
    (void)connection;
    (void)request;
    ((fixture_t *)context)->connection = NULL;
}

static void record_result(const wb_http_result_t *result, void *context) {
    fixture_t *fixture = context;
    fixture->outcome = result->outcome;
    fixture->length = result->length;
    fixture->took_ms = wb_clock_ms() - fixture->began_ms;
    wb_loop_quit(fixture->loop);
}

static void fixture_run(fixture_t *fixture, int stop_after, int64_t progress_ms, size_t max_bytes) {
    wb_error_t error;
    wb_http_limits_t limits = {4096, 4096, 5000, 5000};
    wb_http_handler_t handler = {on_request, on_client_left, send_endless, fixture};
    memset(fixture, 0, sizeof(*fixture));
    fixture->endless = max_bytes > 0;
    fixture->stop_after = stop_after;
    g_assert_cmpint(wb_loop_create(&fixture->loop, "test", 64, &error), ==, APR_SUCCESS);
    g_assert_cmpint(wb_http_listener_open(fixture->loop, "127.0.0.1:0", &handler, &limits,
                                          &fixture->listener, &error),
                    ==, APR_SUCCESS);
    g_autofree char *address =
        g_strdup_printf("127.0.0.1:%u", wb_http_listener_port(fixture->listener));
    wb_tcp_connect_options_t options = {1000, 1000, NULL};
    wb_http_pool_t *peer = wb_http_pool_create(fixture->loop, address, &options);
    wb_http_request_t request = {.method = "GET",
                                 .target = "/",
                                 .timeout_ms = TIMEOUT_MS,
                                 .progress_ms = progress_ms,
                                 .max_bytes = max_bytes,
                                 .on_result = record_result,
                                 .context = fixture};
    fixture->began_ms = wb_clock_ms();
    wb_http_pool_call(peer, &request);
    wb_loop_run(fixture->loop);
}

static void test_whole_call_is_bounded(void) {
    fixture_t fixture;
    fixture_run(&fixture, CHUNKS, 0, 0);
    g_assert_cmpint(fixture.outcome, ==, WB_HTTP_UNKNOWN);
    g_assert_cmpint(fixture.took_ms, <, 2 * TIMEOUT_MS);
}

static void test_progress_goes_on(void) {
    fixture_t fixture;
    fixture_run(&fixture, CHUNKS, TIMEOUT_MS, 0);
    g_assert_cmpint(fixture.outcome, ==, WB_HTTP_COMPLETED);
    g_assert_cmpuint(fixture.length, ==, CHUNKS * 5);
    g_assert_cmpint(fixture.took_ms, >, TIMEOUT_MS);
}

static void test_silence_ends_it(void) {
    fixture_t fixture;
    fixture_run(&fixture, 2, TIMEOUT_MS, 0);
    g_assert_cmpint(fixture.outcome, ==, WB_HTTP_UNKNOWN);
    g_assert_cmpint(fixture.took_ms, <, 2 * CHUNK_MS + 3 * TIMEOUT_MS);
}

/* Guards against a response without end that is read as long as bytes arrive. */
static void test_endless_response_ends(void) {
    enum { MAX_BYTES = 1000000, KERNEL_BYTES = 16 * 1024 * 1024 };
    fixture_t fixture;
    fixture_run(&fixture, 0, TIMEOUT_MS, MAX_BYTES);
    g_assert_cmpint(fixture.outcome, ==, WB_HTTP_UNKNOWN);
    g_assert_cmpint(fixture.took_ms, <, TIMEOUT_MS);
    g_assert_cmpuint(fixture.endless_bytes, <, MAX_BYTES + KERNEL_BYTES);
}

#define OK "HTTP/1.1 200 OK\r\nDate: today\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"

/* Guards against a store, or an engine that reports, that dies within its response and whose call
 * counts as answered. */
static void test_cut_responses_are_unknown(void) {
    static const char *const responses[] = {
        OK "Content-Length: 2\r\n\r\n{}",
        OK "Content-Length: 0\r\n\r\n",
        OK CHUNKED "\r\n",
        OK CHUNKED "Checksum: 1\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" OK "Content-Length: 2\r\n\r\n{}",
        "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 204 No Content\r\nDate: today\r\n\r\n",
    };
    fixture_t fixture = {0};
    raw_server_t server = {0};
    wb_error_t error;
    wb_tcp_connect_options_t options = {1000, 1000, NULL};
    g_assert_cmpint(wb_loop_create(&fixture.loop, "test", 64, &error), ==, APR_SUCCESS);
    g_autofree char *address = raw_server_open(&server, fixture.loop);
    wb_http_pool_t *pool = wb_http_pool_create(fixture.loop, address, &options);
    wb_http_request_t request = {.method = "GET",
                                 .target = "/",
                                 .timeout_ms = 5000,
                                 .fresh = TRUE,
                                 .on_result = record_result,
                                 .context = &fixture};
    for (size_t i = 0; i < G_N_ELEMENTS(responses); i++) {
        size_t length = strlen(responses[i]);
        server.text = responses[i];
        for (server.text_bytes = 0; server.text_bytes <= length; server.text_bytes++) {
            gboolean is_whole = server.text_bytes == length;
            wb_http_pool_call(pool, &request);
            wb_loop_run(fixture.loop);
            g_assert_cmpint(fixture.outcome, ==, is_whole ? WB_HTTP_COMPLETED : WB_HTTP_UNKNOWN);
        }
    }
    wb_http_pool_free(pool);
}

/* Answers one request on each of two connections, and closes each soon after. */
static gpointer closing_server(gpointer context) {
    static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    int listening = GPOINTER_TO_INT(context);
    for (int i = 0; i < 2; i++) {
        char request[4096];
        int connection = accept(listening, NULL, NULL);
        if (recv(connection, request, sizeof(request), 0) > 0)
            send(connection, answer, strlen(answer), MSG_NOSIGNAL);
        g_usleep(50000);
        close(connection);
    }
    return NULL;
}

typedef struct two_calls_t {
    fixture_t fixture;
    wb_http_pool_t *pool;
    wb_http_request_t request;
    int done;
} two_calls_t;

/* Holds the loop up while the server closes the idle connection, then calls again. */
static void call_again(const wb_http_result_t *result, void *context) {
    two_calls_t *calls = context;
    calls->fixture.outcome = result->outcome;
    if (++calls->done == 2) {
        wb_loop_quit(calls->fixture.loop);
        return;
    }
    g_usleep(200000);
    wb_http_pool_call(calls->pool, &calls->request);
}

/* Guards against a call on an idle connection whose end has arrived and isn't read yet. */
static void test_ended_connection_is_not_reused(void) {
    two_calls_t calls = {.done = 0};
    wb_error_t error;
    wb_tcp_connect_options_t options = {1000, 1000, NULL};
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);
    int listening = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(bind(listening, (struct sockaddr *)&address, size), ==, 0);
    g_assert_cmpint(listen(listening, 2), ==, 0);
    g_assert_cmpint(getsockname(listening, (struct sockaddr *)&address, &size), ==, 0);
    g_autoptr(GThread) thread = g_thread_new("server", closing_server, GINT_TO_POINTER(listening));
    g_autofree char *text = g_strdup_printf("127.0.0.1:%u", ntohs(address.sin_port));
    g_assert_cmpint(wb_loop_create(&calls.fixture.loop, "test", 64, &error), ==, APR_SUCCESS);
    calls.pool = wb_http_pool_create(calls.fixture.loop, text, &options);
    calls.request = (wb_http_request_t){.method = "GET",
                                        .target = "/",
                                        .timeout_ms = 5000,
                                        .on_result = call_again,
                                        .context = &calls};
    wb_http_pool_call(calls.pool, &calls.request);
    wb_loop_run(calls.fixture.loop);
    g_assert_cmpint(calls.fixture.outcome, ==, WB_HTTP_COMPLETED);
    g_thread_join(g_steal_pointer(&thread));
    wb_http_pool_free(calls.pool);
    close(listening);
}

static void tests_add(void) {
    g_test_add_func("/http-peer/whole-call-is-bounded", test_whole_call_is_bounded);
    g_test_add_func("/http-peer/progress-goes-on", test_progress_goes_on);
    g_test_add_func("/http-peer/silence-ends-it", test_silence_ends_it);
    g_test_add_func("/http-peer/endless-response-ends", test_endless_response_ends);
    g_test_add_func("/http-peer/ended-connection-is-not-reused",
                    test_ended_connection_is_not_reused);
    g_test_add_func("/http-peer/cut-responses-are-unknown", test_cut_responses_are_unknown);
}

UNIT_TEST_MAIN(tests_add)
