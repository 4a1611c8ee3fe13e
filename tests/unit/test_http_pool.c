/* A call whose answer is large goes on while its bytes come; one that falls silent ends. */
#include "unit.h"

#include "wickbridge/http_listener.h"
#include "wickbridge/http_pool.h"
#include "wickbridge/loop.h"

#include <string.h>

#define PIECES 8
#define PIECE_MS 60
#define TIMEOUT_MS 200 /* less than all pieces take, more than one does */

/* A server that answers in pieces, and stops after some of them. */
typedef struct scene_t {
    wb_loop_t *loop;
    wb_http_listener_t *listener;
    wb_http_connection_t *connection;
    int sent;
    int stop_after;
    wb_http_outcome_t outcome;
    size_t length;
    int64_t began_ms;
    int64_t took_ms;
} scene_t;

static void piece_send(void *context) {
    scene_t *scene = context;
    if (scene->connection == NULL) {
        return;
    }
    if (scene->sent == PIECES) {
        wb_http_connection_stream_end(scene->connection);
        scene->connection = NULL;
        return;
    }
    if (scene->sent++ < scene->stop_after) {
        wb_http_connection_stream_write(scene->connection, "piece", 5);
    }
    wb_loop_after(scene->loop, PIECE_MS, piece_send, scene);
}

static void request_came(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                         void *context) {
    scene_t *scene = context;
    wb_http_head_free(head);
    g_byte_array_unref(body);
    scene->connection = connection;
    wb_http_connection_stream_begin(connection, 200, "OK", "");
    wb_loop_after(scene->loop, PIECE_MS, piece_send, scene);
}

static void caller_left(wb_http_connection_t *connection, void *request, void *context) {
    (void)connection;
    (void)request;
    ((scene_t *)context)->connection = NULL;
}

static void call_ended(const wb_http_result_t *result, void *context) {
    scene_t *scene = context;
    scene->outcome = result->outcome;
    scene->length = result->length;
    scene->took_ms = wb_clock_ms() - scene->began_ms;
    wb_loop_quit(scene->loop);
}

static void scene_play(scene_t *scene, int stop_after, int64_t progress_ms) {
    wb_error_t error;
    wb_http_limits_t limits = {4096, 4096, 5000, 5000};
    wb_http_handler_t handler = {request_came, caller_left, NULL, scene};
    memset(scene, 0, sizeof(*scene));
    scene->stop_after = stop_after;
    g_assert_cmpint(wb_loop_create(&scene->loop, "test", 64, &error), ==, APR_SUCCESS);
    g_assert_cmpint(wb_http_listener_open(scene->loop, "127.0.0.1:0", &handler, &limits,
                                          &scene->listener, &error),
                    ==, APR_SUCCESS);
    g_autofree char *address =
        g_strdup_printf("127.0.0.1:%u", wb_http_listener_port(scene->listener));
    wb_http_pool_t *peer = wb_http_pool_create(scene->loop, address, 1000, 1000);
    wb_http_request_t request = {.method = "GET",
                                 .target = "/",
                                 .timeout_ms = TIMEOUT_MS,
                                 .progress_ms = progress_ms,
                                 .on_result = call_ended,
                                 .context = scene};
    scene->began_ms = wb_clock_ms();
    wb_http_pool_call(peer, &request);
    wb_loop_run(scene->loop);
}

static void test_whole_call_is_bounded(void) {
    scene_t scene;
    scene_play(&scene, PIECES, 0);
    g_assert_cmpint(scene.outcome, ==, WB_HTTP_UNKNOWN);
    g_assert_cmpint(scene.took_ms, <, 2 * TIMEOUT_MS);
}

static void test_progress_goes_on(void) {
    scene_t scene;
    scene_play(&scene, PIECES, TIMEOUT_MS);
    g_assert_cmpint(scene.outcome, ==, WB_HTTP_COMPLETED);
    g_assert_cmpuint(scene.length, ==, PIECES * 5);
    g_assert_cmpint(scene.took_ms, >, TIMEOUT_MS);
}

static void test_silence_ends_it(void) {
    scene_t scene;
    scene_play(&scene, 2, TIMEOUT_MS);
    g_assert_cmpint(scene.outcome, ==, WB_HTTP_UNKNOWN);
    g_assert_cmpint(scene.took_ms, <, 2 * PIECE_MS + 3 * TIMEOUT_MS);
}

static void tests_add(void) {
    g_test_add_func("/http-peer/whole-call-is-bounded", test_whole_call_is_bounded);
    g_test_add_func("/http-peer/progress-goes-on", test_progress_goes_on);
    g_test_add_func("/http-peer/silence-ends-it", test_silence_ends_it);
}

UNIT_TEST_MAIN(tests_add)
