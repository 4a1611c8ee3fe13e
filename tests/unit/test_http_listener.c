/* Guards against whole requests without an answer: connections that are closed by what the process
 * has read so far instead of what their clients have sent. */
#include "unit.h"

#include "wickbridge/http_listener.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define IDLE_MS 400
#define SWEEP_MS 200 /* how often the listener looks for idle connections */
#define ANSWER_MS 3000
#define NOTICE_MS 2000 /* how long waits begin by the higher limit after it was lowered */
#define REQUEST_BYTES 65536
#define LARGE_BYTES (16 * 1024 * 1024) /* more than the kernel's buffers take */
#define RUNNING_MAX 64

static const char request_text[] = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/* A listener on a loop with a thread of its own, which answers requests at once or when told. */
typedef struct fixture_t {
    wb_loop_t *loop;
    wb_http_listener_t *listener;
    gboolean is_held; /* requests are answered by answer_all */
    gboolean answers_large;
    size_t answers_medium; /* bytes; 0: not */
    wb_http_connection_t *held[RUNNING_MAX];
    int held_count;
    int requests;
    int64_t request_ms; /* how long the handler of a request holds the loop up */
    GMutex lock;
    GCond done;
    gboolean is_done;
    void (*task)(struct fixture_t *);
    int64_t hold_ms;
    wb_http_limits_t limits;
    wb_http_listener_counts_t counts;
} fixture_t;

static void answer_large(wb_http_connection_t *connection) {
    g_autofree char *body = g_strnfill(LARGE_BYTES, 'a');
    wb_http_connection_reply(connection, 200, "OK", "", body, LARGE_BYTES);
}

static void on_request(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                       void *context) {
    fixture_t *fixture = context;
    wb_http_head_free(head);
    g_byte_array_unref(body);
    fixture->requests++;
    g_usleep((gulong)fixture->request_ms * 1000);
    if (fixture->is_held)
        fixture->held[fixture->held_count++] = connection;
    else if (fixture->answers_large)
        answer_large(connection);
    else if (fixture->answers_medium > 0) {
        g_autofree char *text = g_strnfill(fixture->answers_medium, 'a');
        wb_http_connection_reply(connection, 200, "OK", "", text, fixture->answers_medium);
        g_assert_cmpuint(wb_http_connection_unsent(connection), ==, 0); /* the system has it */
    } else
        wb_http_connection_reply(connection, 200, "OK", "", "done", 4);
}

static void task_run(void *context) {
    fixture_t *fixture = context;
    fixture->task(fixture);
    g_mutex_lock(&fixture->lock);
    fixture->is_done = TRUE;
    g_cond_signal(&fixture->done);
    g_mutex_unlock(&fixture->lock);
}

static void task_post(fixture_t *fixture, void (*task)(fixture_t *)) {
    fixture->is_done = FALSE;
    fixture->task = task;
    wb_loop_post(fixture->loop, task_run, fixture);
}

static void task_wait(fixture_t *fixture) {
    g_mutex_lock(&fixture->lock);
    while (!fixture->is_done)
        g_cond_wait(&fixture->done, &fixture->lock);
    g_mutex_unlock(&fixture->lock);
}

static void on_loop(fixture_t *fixture, void (*task)(fixture_t *)) {
    task_post(fixture, task);
    task_wait(fixture);
}

static void listener_open(fixture_t *fixture) {
    wb_error_t error;
    wb_http_handler_t handler = {.on_request = on_request, .context = fixture};
    g_assert_cmpint(wb_http_listener_open(fixture->loop, "127.0.0.1:0", &handler, &fixture->limits,
                                          &fixture->listener, &error),
                    ==, APR_SUCCESS);
}

static void listener_close(fixture_t *fixture) {
    wb_http_listener_close(fixture->listener);
}

static void limits_apply(fixture_t *fixture) {
    wb_http_listener_set_limits(fixture->listener, &fixture->limits);
}

static void idle_close(fixture_t *fixture) {
    wb_http_listener_close_idle(fixture->listener);
}

static void counts_read(fixture_t *fixture) {
    fixture->counts = wb_http_listener_counts(fixture->listener);
}

static void hold(fixture_t *fixture) {
    g_usleep((gulong)fixture->hold_ms * 1000);
}

static void hold_then_close_idle(fixture_t *fixture) {
    hold(fixture);
    idle_close(fixture);
}

static void answer_all(fixture_t *fixture) {
    int count = fixture->held_count;
    fixture->held_count = 0;
    fixture->is_held = FALSE;
    for (int i = 0; i < count; i++)
        wb_http_connection_reply(fixture->held[i], 200, "OK", "", "done", 4);
}

static void fixture_start(fixture_t *fixture, int64_t idle_ms) {
    wb_error_t error;
    memset(fixture, 0, sizeof(*fixture));
    g_mutex_init(&fixture->lock);
    g_cond_init(&fixture->done);
    fixture->limits = (wb_http_limits_t){4096, 4 * REQUEST_BYTES, 5000, idle_ms, NOTICE_MS};
    g_assert_cmpint(wb_loop_create(&fixture->loop, "test", 256, &error), ==, APR_SUCCESS);
    wb_loop_start(fixture->loop);
    on_loop(fixture, listener_open);
}

static void fixture_stop(fixture_t *fixture) {
    on_loop(fixture, listener_close);
    wb_loop_stop(fixture->loop);
    g_mutex_clear(&fixture->lock);
    g_cond_clear(&fixture->done);
}

static int client_open_sized(const fixture_t *fixture, int receive_bytes) {
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port =
                                      htons((uint16_t)wb_http_listener_port(fixture->listener)),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int client = socket(AF_INET, SOCK_STREAM, 0);
    if (receive_bytes > 0)
        setsockopt(client, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
    g_assert_cmpint(connect(client, (struct sockaddr *)&address, sizeof(address)), ==, 0);
    return client;
}

static int client_open(const fixture_t *fixture) {
    return client_open_sized(fixture, 0);
}

static void client_send(int client, const char *text, size_t length) {
    size_t sent = 0;
    while (sent < length) {
        ssize_t count = send(client, text + sent, length - sent, 0);
        g_assert_cmpint(count, >, 0);
        sent += (size_t)count;
    }
}

/* Reads until a number of answers have come. Returns how many came before the end of the connection
 * or of the time. */
static int client_read(int client, int answers) {
    g_autoptr(GString) text = g_string_new(NULL);
    int count = 0;
    while (count < answers) {
        char part[4096];
        struct pollfd ready = {client, POLLIN, 0};
        if (poll(&ready, 1, ANSWER_MS) <= 0)
            return count;
        ssize_t length = recv(client, part, sizeof(part), 0);
        if (length <= 0)
            return count;
        g_string_append_len(text, part, length);
        count = 0;
        for (const char *at = text->str; (at = strstr(at, "\r\n\r\ndone")) != NULL; at++)
            count++;
    }
    return count;
}

static gboolean client_ask(int client) {
    client_send(client, request_text, strlen(request_text));
    return client_read(client, 1) == 1;
}

/* Guards against the sweep of idle connections closing one whose request arrived while the loop was
 * held up. */
static void test_request_in_a_held_loop(void) {
    fixture_t fixture;
    fixture_start(&fixture, IDLE_MS);
    int client = client_open(&fixture);
    g_assert_true(client_ask(client));
    fixture.hold_ms = 2 * IDLE_MS;
    task_post(&fixture, hold);
    g_usleep(IDLE_MS / 2 * 1000);
    g_assert_true(client_ask(client));
    task_wait(&fixture);
    close(client);
    fixture_stop(&fixture);
}

/* The same where a body's rest arrives meanwhile. */
static void test_body_in_a_held_loop(void) {
    static const char head[] = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\nhalf";
    fixture_t fixture;
    fixture_start(&fixture, IDLE_MS);
    int client = client_open(&fixture);
    client_send(client, head, strlen(head));
    g_usleep(IDLE_MS / 4 * 1000);
    fixture.hold_ms = 2 * IDLE_MS;
    task_post(&fixture, hold);
    g_usleep(IDLE_MS / 4 * 1000);
    client_send(client, "rest", 4);
    g_assert_cmpint(client_read(client, 1), ==, 1);
    task_wait(&fixture);
    close(client);
    fixture_stop(&fixture);
}

/* Guards against a head refused as slow whose rest arrived while the loop was held up. */
static void test_head_in_a_held_loop(void) {
    fixture_t fixture;
    fixture_start(&fixture, 5000);
    fixture.limits.head_timeout_ms = IDLE_MS;
    on_loop(&fixture, limits_apply);
    int client = client_open(&fixture);
    client_send(client, request_text, 10);
    g_usleep(IDLE_MS / 4 * 1000);
    fixture.hold_ms = 2 * IDLE_MS;
    task_post(&fixture, hold);
    g_usleep(IDLE_MS / 4 * 1000);
    client_send(client, request_text + 10, strlen(request_text) - 10);
    g_assert_cmpint(client_read(client, 1), ==, 1);
    task_wait(&fixture);
    close(client);
    fixture_stop(&fixture);
}

/* Guards against the sweep closing one whose request arrived after the loop had read its sockets
 * twice, as other requests held it up both times. */
static void test_request_beside_long_callbacks(void) {
    enum { REQUEST_MS = 300 };
    fixture_t fixture;
    fixture_start(&fixture, IDLE_MS);
    int busy[] = {client_open(&fixture), client_open(&fixture)};
    int client = client_open(&fixture);
    g_assert_true(client_ask(client));
    fixture.request_ms = REQUEST_MS;
    for (int i = 0; i < 2; i++) {
        client_send(busy[i], request_text, strlen(request_text));
        g_usleep(REQUEST_MS / 3 * 1000);
    }
    g_usleep(REQUEST_MS / 2 * 1000);
    g_assert_true(client_ask(client));
    for (int i = 0; i < 2; i++)
        close(busy[i]);
    close(client);
    fixture_stop(&fixture);
}

/* Guards against a planned stop that closes a connection as idle whose request wasn't read yet. */
static void test_close_idle_reads_first(void) {
    fixture_t fixture;
    fixture_start(&fixture, 5000);
    int client = client_open(&fixture);
    g_assert_true(client_ask(client));
    fixture.hold_ms = 300;
    task_post(&fixture, hold_then_close_idle);
    g_usleep(100000);
    g_assert_true(client_ask(client));
    task_wait(&fixture);
    close(client);
    fixture_stop(&fixture);
}

/* Guards against a lowered idle time that closes connections which rest as the higher one allows.
 */
static void test_lower_limit_spares_a_rest(void) {
    fixture_t fixture;
    fixture_start(&fixture, 5 * IDLE_MS);
    int client = client_open(&fixture);
    g_assert_true(client_ask(client));
    fixture.limits.idle_timeout_ms = IDLE_MS / 2;
    on_loop(&fixture, limits_apply);
    g_usleep(4 * IDLE_MS * 1000);
    g_assert_true(client_ask(client));
    close(client);
    fixture_stop(&fixture);
}

/* Guards against a lowered idle time that closes connections of clients that don't know of it yet;
 * it is in force for rests that begin later. */
static void test_lower_limit_after_notice(void) {
    fixture_t fixture;
    fixture_start(&fixture, 5 * IDLE_MS);
    int client = client_open(&fixture);
    fixture.limits.idle_timeout_ms = IDLE_MS / 2;
    on_loop(&fixture, limits_apply);
    g_assert_true(client_ask(client));
    g_usleep(4 * IDLE_MS * 1000);
    g_assert_true(client_ask(client));
    g_usleep((NOTICE_MS - 4 * IDLE_MS + 100) * 1000);
    g_assert_true(client_ask(client));
    g_usleep((IDLE_MS / 2 + 2 * SWEEP_MS + 100) * 1000);
    char byte;
    g_assert_cmpint(recv(client, &byte, 1, MSG_DONTWAIT), ==, 0);
    on_loop(&fixture, counts_read);
    g_assert_cmpuint(fixture.counts.idle_closes, ==, 1);
    close(client);
    fixture_stop(&fixture);
}

static void client_read_bytes(int client, size_t bytes) {
    g_autofree char *part = g_malloc(REQUEST_BYTES);
    size_t read_bytes = 0;
    while (read_bytes < bytes) {
        ssize_t length = recv(client, part, REQUEST_BYTES, 0);
        g_assert_cmpint(length, >, 0);
        read_bytes += (size_t)length;
    }
}

static void client_read_large(int client) {
    client_read_bytes(client, LARGE_BYTES);
}

/* Guards against an idle time that runs while a client still reads its last answer. */
static void test_rest_begins_after_the_answer(void) {
    fixture_t fixture;
    fixture_start(&fixture, IDLE_MS);
    fixture.answers_large = TRUE;
    int client = client_open(&fixture);
    client_send(client, request_text, strlen(request_text));
    g_usleep(3 * IDLE_MS * 1000);
    fixture.answers_large = FALSE;
    client_read_large(client);
    g_usleep(IDLE_MS / 2 * 1000);
    client_send(client, request_text, strlen(request_text));
    g_assert_cmpint(client_read(client, 1), ==, 1);
    close(client);
    fixture_stop(&fixture);
}

/* Guards against a raised idle time that isn't in force for connections that already rest. */
static void test_higher_limit_holds_at_once(void) {
    fixture_t fixture;
    fixture_start(&fixture, IDLE_MS);
    int client = client_open(&fixture);
    g_assert_true(client_ask(client));
    fixture.limits.idle_timeout_ms = 5 * IDLE_MS;
    on_loop(&fixture, limits_apply);
    g_usleep(3 * IDLE_MS * 1000);
    g_assert_true(client_ask(client));
    close(client);
    fixture_stop(&fixture);
}

/* Guards against a lowered time for heads that refuses one under way. */
static void test_lower_head_limit_spares_a_head(void) {
    fixture_t fixture;
    fixture_start(&fixture, 5000);
    int client = client_open(&fixture);
    client_send(client, request_text, 10);
    g_usleep(100000);
    fixture.limits.head_timeout_ms = IDLE_MS / 2;
    on_loop(&fixture, limits_apply);
    g_usleep(2 * IDLE_MS * 1000);
    client_send(client, request_text + 10, strlen(request_text) - 10);
    g_assert_cmpint(client_read(client, 1), ==, 1);
    close(client);
    fixture_stop(&fixture);
}

/* Guards against a limit that is raised and lowered within one rest: its client may rest by the
 * higher one. */
static void test_lower_limit_after_a_raise(void) {
    fixture_t fixture;
    fixture_start(&fixture, 2 * IDLE_MS);
    int client = client_open(&fixture);
    g_assert_true(client_ask(client));
    fixture.limits.idle_timeout_ms = 10 * IDLE_MS;
    on_loop(&fixture, limits_apply);
    g_usleep(4 * IDLE_MS * 1000);
    fixture.limits.idle_timeout_ms = 2 * IDLE_MS;
    on_loop(&fixture, limits_apply);
    g_usleep((2 * SWEEP_MS + 100) * 1000);
    g_assert_true(client_ask(client));
    close(client);
    fixture_stop(&fixture);
}

/* Guards against an idle time that runs while the system still sends the last answer. */
static void test_rest_begins_after_a_medium_answer(void) {
    enum { MEDIUM_BYTES = 256 * 1024 };
    fixture_t fixture;
    fixture_start(&fixture, IDLE_MS);
    fixture.answers_medium = MEDIUM_BYTES;
    int client = client_open_sized(&fixture, 4096);
    client_send(client, request_text, strlen(request_text));
    g_usleep(3 * IDLE_MS * 1000);
    fixture.answers_medium = 0;
    client_read_bytes(client, MEDIUM_BYTES);
    g_usleep(IDLE_MS / 2 * 1000);
    client_send(client, request_text, strlen(request_text));
    g_assert_cmpint(client_read(client, 1), ==, 1);
    close(client);
    fixture_stop(&fixture);
}

static void *requests_send(void *context) {
    int client = GPOINTER_TO_INT(context);
    g_autoptr(GString) text = g_string_new(NULL);
    g_string_printf(text, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n",
                    REQUEST_BYTES);
    gsize head = text->len;
    g_string_set_size(text, head + REQUEST_BYTES);
    memset(text->str + head, 'a', REQUEST_BYTES);
    for (int i = 0; i < 16; i++)
        client_send(client, text->str, text->len);
    return NULL;
}

/* Guards against a client that is never read again, as it sent much behind a running request. */
static void test_pipeline_beyond_the_limit(void) {
    fixture_t fixture;
    fixture_start(&fixture, 5000);
    fixture.is_held = TRUE;
    int client = client_open(&fixture);
    client_send(client, request_text, strlen(request_text));
    g_autoptr(GThread) sender = g_thread_new("sender", requests_send, GINT_TO_POINTER(client));
    g_usleep(500000);
    on_loop(&fixture, answer_all);
    g_assert_cmpint(client_read(client, 17), ==, 17);
    g_thread_join(g_steal_pointer(&sender));
    close(client);
    fixture_stop(&fixture);
}

static void tests_add(void) {
    g_test_add_func("/http-listener/request-in-a-held-loop", test_request_in_a_held_loop);
    g_test_add_func("/http-listener/body-in-a-held-loop", test_body_in_a_held_loop);
    g_test_add_func("/http-listener/head-in-a-held-loop", test_head_in_a_held_loop);
    g_test_add_func("/http-listener/request-beside-long-callbacks",
                    test_request_beside_long_callbacks);
    g_test_add_func("/http-listener/close-idle-reads-first", test_close_idle_reads_first);
    g_test_add_func("/http-listener/lower-limit-spares-a-rest", test_lower_limit_spares_a_rest);
    g_test_add_func("/http-listener/lower-limit-after-notice", test_lower_limit_after_notice);
    g_test_add_func("/http-listener/rest-begins-after-the-answer",
                    test_rest_begins_after_the_answer);
    g_test_add_func("/http-listener/higher-limit-holds-at-once", test_higher_limit_holds_at_once);
    g_test_add_func("/http-listener/lower-head-limit-spares-a-head",
                    test_lower_head_limit_spares_a_head);
    g_test_add_func("/http-listener/lower-limit-after-a-raise", test_lower_limit_after_a_raise);
    g_test_add_func("/http-listener/rest-begins-after-a-medium-answer",
                    test_rest_begins_after_a_medium_answer);
    g_test_add_func("/http-listener/pipeline-beyond-the-limit", test_pipeline_beyond_the_limit);
}

UNIT_TEST_MAIN(tests_add)
