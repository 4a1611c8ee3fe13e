/* An engine that broke requests off has ended, or hasn't: what shows which. */
#include "unit.h"

#include "request/crash_watch.h"

#include "wickbridge/tcp_stream.h"

#define SETTLE_MS 150

typedef struct scene_t {
    wb_loop_t *loop;
    wb_tcp_listener_t *listener; /* NULL: nobody listens at the address */
    char *address;
    wb_edge_settings_t settings;
    wb_edge_metrics_t metrics;
    wb_crash_watch_t *watch;
    guint calls;
    guint requests;
    char *engine; /* that was last told to have crashed */
} scene_t;

static void crashed(const char *engine_id, const GArray *requests, void *context) {
    scene_t *scene = context;
    scene->calls++;
    scene->requests += requests->len;
    g_free(scene->engine);
    scene->engine = g_strdup(engine_id);
}

static void accepted(wb_tcp_stream_t *stream, void *context) {
    (void)context;
    wb_tcp_stream_close(stream);
}

static scene_t *scene_begin(gboolean somebody_listens) {
    scene_t *scene = g_new0(scene_t, 1);
    wb_error_t error;
    scene->settings.connect_timeout_ms = 100;
    scene->settings.engine_heartbeat_ms = 100;
    g_assert_cmpint(wb_loop_create(&scene->loop, "test", 64, &error), ==, APR_SUCCESS);
    g_assert_cmpint(
        wb_tcp_listen(scene->loop, "127.0.0.1:0", 1000, accepted, NULL, &scene->listener, &error),
        ==, APR_SUCCESS);
    scene->address = g_strdup_printf("127.0.0.1:%u", wb_tcp_listener_port(scene->listener));
    if (!somebody_listens) {
        wb_tcp_listener_close(scene->listener);
        scene->listener = NULL;
    }
    wb_crash_watch_events_t events = {crashed, scene};
    scene->watch = wb_crash_watch_create(scene->loop, &scene->settings, &scene->metrics, &events);
    return scene;
}

static void quit(void *context) {
    wb_loop_quit(context);
}

static void scene_run(scene_t *scene) {
    wb_loop_after(scene->loop, SETTLE_MS, quit, scene->loop);
    wb_loop_run(scene->loop);
}

static void broken(scene_t *scene, const char *engine, guint8 digest) {
    wb_aborted_request_t request = {{{digest}}, 5};
    wb_crash_watch_note_aborted(scene->watch, engine, scene->address, &request);
}

static void scene_end(scene_t *scene) {
    wb_crash_watch_free(scene->watch);
    if (scene->listener != NULL) {
        wb_tcp_listener_close(scene->listener);
    }
    g_free(scene->address);
    g_free(scene->engine);
    g_free(scene);
}

/* All that it broke off is told at once, after one look; what comes later, too. */
static void test_nobody_listens(void) {
    scene_t *scene = scene_begin(FALSE);
    broken(scene, "e1", 1);
    broken(scene, "e1", 2);
    g_assert_cmpuint(scene->calls, ==, 0);
    scene_run(scene);
    g_assert_cmpuint(scene->calls, ==, 1);
    g_assert_cmpuint(scene->requests, ==, 2);
    g_assert_cmpstr(scene->engine, ==, "e1");
    broken(scene, "e1", 3);
    g_assert_cmpuint(scene->requests, ==, 3);
    g_assert_cmpuint(scene->metrics.engine_checks, ==, 1);
    g_assert_cmpuint(scene->metrics.engine_crashes, ==, 1);
    scene_end(scene);
}

/* An engine that lives breaks answers off: nothing is held against requests. */
static void test_somebody_listens(void) {
    scene_t *scene = scene_begin(TRUE);
    broken(scene, "e1", 1);
    scene_run(scene);
    broken(scene, "e1", 2);
    scene_run(scene);
    wb_crash_watch_address_taken(scene->watch, "e1", scene->address); /* its own announcement */
    g_assert_cmpuint(scene->calls, ==, 0);
    g_assert_cmpuint(scene->metrics.engine_checks, ==, 1);
    scene_end(scene);
}

/* The next engine answers at the address already, or something stands before engines. */
static void test_successor_announces_itself(void) {
    scene_t *scene = scene_begin(TRUE);
    broken(scene, "e1", 1);
    scene_run(scene);
    wb_crash_watch_address_taken(scene->watch, "e2", "127.0.0.1:1");
    g_assert_cmpuint(scene->calls, ==, 0);
    wb_crash_watch_address_taken(scene->watch, "e2", scene->address);
    g_assert_cmpuint(scene->calls, ==, 1);
    g_assert_cmpstr(scene->engine, ==, "e1");
    scene_end(scene);
}

static void test_row_goes(void) {
    scene_t *scene = scene_begin(TRUE);
    broken(scene, "e1", 1);
    wb_crash_watch_row_removed(scene->watch, "e9"); /* broke nothing off here */
    g_assert_cmpuint(scene->calls, ==, 0);
    wb_crash_watch_row_removed(scene->watch, "e1"); /* while the look is due */
    g_assert_cmpuint(scene->calls, ==, 1);
    scene_run(scene);
    g_assert_cmpuint(scene->calls, ==, 1);
    scene_end(scene);
}

/* What broke off long ago isn't put down to an end that comes later. */
static void test_old_breaks_are_forgotten(void) {
    scene_t *scene = scene_begin(TRUE);
    broken(scene, "e1", 1);
    scene_run(scene);
    wb_crash_watch_sweep(scene->watch, wb_clock_ms() + 60000);
    wb_crash_watch_row_removed(scene->watch, "e1");
    g_assert_cmpuint(scene->calls, ==, 0);
    scene_end(scene);
}

static void tests_add(void) {
    g_test_add_func("/crash-watch/nobody-listens", test_nobody_listens);
    g_test_add_func("/crash-watch/somebody-listens", test_somebody_listens);
    g_test_add_func("/crash-watch/successor-announces-itself", test_successor_announces_itself);
    g_test_add_func("/crash-watch/row-goes", test_row_goes);
    g_test_add_func("/crash-watch/old-breaks-are-forgotten", test_old_breaks_are_forgotten);
}

UNIT_TEST_MAIN(tests_add)
