/* Guards against crashes that are missed, and requests recorded for crashes that did not happen. */
#include "unit.h"

#include "request/crash_watch.h"

#include "wickbridge/tcp_stream.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#define SETTLE_MS 150

typedef struct fixture_t {
    wb_loop_t *loop;
    wb_tcp_listener_t *listener; /* NULL: the address refuses connections */
    char *address;
    wb_edge_settings_t settings;
    wb_edge_metrics_t metrics;
    wb_crash_watch_t *watch;
    guint calls;
    guint requests;
    char *engine; /* last engine reported as crashed */
    char *asked;  /* last engine that other nodes were to be asked about */
} fixture_t;

static void on_crashed(const char *engine_id, const GArray *requests, void *context) {
    fixture_t *fixture = context;
    fixture->calls++;
    fixture->requests += requests->len;
    g_free(fixture->engine);
    fixture->engine = g_strdup(engine_id);
}

static void on_accepted(wb_tcp_stream_t *stream, void *context) {
    (void)context;
    wb_tcp_stream_close(stream);
}

static fixture_t *fixture_create(gboolean listens) {
    fixture_t *fixture = g_new0(fixture_t, 1);
    wb_error_t error;
    fixture->settings.connect_timeout_ms = 100;
    fixture->settings.engine_heartbeat_ms = 100;
    g_assert_cmpint(wb_loop_create(&fixture->loop, "test", 64, &error), ==, APR_SUCCESS);
    g_assert_cmpint(wb_tcp_listen(fixture->loop, "127.0.0.1:0", 1000, on_accepted, NULL,
                                  &fixture->listener, &error),
                    ==, APR_SUCCESS);
    fixture->address = g_strdup_printf("127.0.0.1:%u", wb_tcp_listener_port(fixture->listener));
    if (!listens) {
        wb_tcp_listener_close(fixture->listener);
        fixture->listener = NULL;
    }
    wb_crash_watch_events_t events = {.on_crashed = on_crashed, .context = fixture};
    fixture->watch =
        wb_crash_watch_create(fixture->loop, &fixture->settings, &fixture->metrics, &events);
    return fixture;
}

static void quit(void *context) {
    wb_loop_quit(context);
}

static void fixture_run(fixture_t *fixture) {
    wb_loop_after(fixture->loop, SETTLE_MS, quit, fixture->loop);
    wb_loop_run(fixture->loop);
}

static void abort_request(fixture_t *fixture, const char *engine, guint8 digest) {
    wb_aborted_request_t request = {.digest = {{digest}}, .body_bytes = 5};
    wb_crash_watch_note_aborted(fixture->watch, engine, fixture->address, &request);
}

static void fixture_free(fixture_t *fixture) {
    wb_crash_watch_free(fixture->watch);
    if (fixture->listener != NULL) {
        wb_tcp_listener_close(fixture->listener);
    }
    g_free(fixture->address);
    g_free(fixture->engine);
    g_free(fixture->asked);
    g_free(fixture);
}

/* Opens a listener whose queue is full: further connections get no answer. */
static int silent_listener_open(char **address) {
    struct sockaddr_in name = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
    socklen_t length = sizeof(name);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(bind(listener, (struct sockaddr *)&name, sizeof(name)), ==, 0);
    g_assert_cmpint(listen(listener, 0), ==, 0);
    g_assert_cmpint(getsockname(listener, (struct sockaddr *)&name, &length), ==, 0);
    for (int i = 0; i < 4; i++) {
        int queued = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        connect(queued, (struct sockaddr *)&name, sizeof(name)); /* stays open */
    }
    g_free(*address);
    *address = g_strdup_printf("127.0.0.1:%u", ntohs(name.sin_port));
    return listener;
}

/* All requests that the engine aborted are reported after one connection check; later ones at once.
 */
static void test_nobody_listens(void) {
    fixture_t *fixture = fixture_create(FALSE);
    abort_request(fixture, "e1", 1);
    abort_request(fixture, "e1", 2);
    g_assert_cmpuint(fixture->calls, ==, 0);
    fixture_run(fixture);
    g_assert_cmpuint(fixture->calls, ==, 1);
    g_assert_cmpuint(fixture->requests, ==, 2);
    g_assert_cmpstr(fixture->engine, ==, "e1");
    abort_request(fixture, "e1", 3);
    g_assert_cmpuint(fixture->requests, ==, 3);
    g_assert_cmpuint(fixture->metrics.engine_checks, ==, 1);
    g_assert_cmpuint(fixture->metrics.engine_crashes, ==, 1);
    fixture_free(fixture);
}

/* When a live engine aborts responses, nothing is recorded against the requests. */
static void test_somebody_listens(void) {
    fixture_t *fixture = fixture_create(TRUE);
    abort_request(fixture, "e1", 1);
    fixture_run(fixture);
    abort_request(fixture, "e1", 2);
    fixture_run(fixture);
    /* Announced by the same engine. */
    wb_crash_watch_address_taken(fixture->watch, "e1", fixture->address);
    g_assert_cmpuint(fixture->calls, ==, 0);
    g_assert_cmpuint(fixture->metrics.engine_checks, ==, 1);
    fixture_free(fixture);
}

/* A crash is reported when another engine announces the address, though it accepts connections. */
static void test_successor_announces_itself(void) {
    fixture_t *fixture = fixture_create(TRUE);
    abort_request(fixture, "e1", 1);
    fixture_run(fixture);
    wb_crash_watch_address_taken(fixture->watch, "e2", "127.0.0.1:1");
    g_assert_cmpuint(fixture->calls, ==, 0);
    wb_crash_watch_address_taken(fixture->watch, "e2", fixture->address);
    g_assert_cmpuint(fixture->calls, ==, 1);
    g_assert_cmpstr(fixture->engine, ==, "e1");
    fixture_free(fixture);
}

static void test_row_goes(void) {
    fixture_t *fixture = fixture_create(TRUE);
    abort_request(fixture, "e1", 1);
    wb_crash_watch_row_removed(fixture->watch, "e9"); /* aborted nothing here */
    g_assert_cmpuint(fixture->calls, ==, 0);
    wb_crash_watch_row_removed(fixture->watch, "e1"); /* while the check is pending */
    g_assert_cmpuint(fixture->calls, ==, 1);
    fixture_run(fixture);
    g_assert_cmpuint(fixture->calls, ==, 1);
    fixture_free(fixture);
}

/* Requests aborted long ago aren't recorded for a later removal of the engine. */
static void test_old_breaks_are_forgotten(void) {
    fixture_t *fixture = fixture_create(TRUE);
    abort_request(fixture, "e1", 1);
    fixture_run(fixture);
    wb_crash_watch_sweep(fixture->watch, wb_clock_ms() + 60000);
    wb_crash_watch_row_removed(fixture->watch, "e1");
    g_assert_cmpuint(fixture->calls, ==, 0);
    fixture_free(fixture);
}

static gboolean confirm_start(const char *engine_id, void *context) {
    fixture_t *fixture = context;
    g_free(fixture->asked);
    fixture->asked = g_strdup(engine_id);
    return TRUE;
}

/* A node that is cut off from engines learns of a crash by asking other nodes, not only when the
 * engine's row goes, some seconds later. */
static void test_silent_address_is_confirmed(void) {
    fixture_t *fixture = fixture_create(FALSE);
    int silent = silent_listener_open(&fixture->address);
    wb_crash_watch_events_t events = {
        .on_crashed = on_crashed, .confirm_ended = confirm_start, .context = fixture};
    wb_crash_watch_free(fixture->watch);
    fixture->watch =
        wb_crash_watch_create(fixture->loop, &fixture->settings, &fixture->metrics, &events);
    abort_request(fixture, "e1", 1);
    fixture_run(fixture);
    g_assert_cmpstr(fixture->asked, ==, "e1");
    g_assert_cmpuint(fixture->calls, ==, 0);
    wb_crash_watch_confirm(fixture->watch, "e1", TRUE);
    g_assert_cmpuint(fixture->calls, ==, 1);
    close(silent);
    fixture_free(fixture);
}

static void tests_add(void) {
    g_test_add_func("/crash-watch/nobody-listens", test_nobody_listens);
    g_test_add_func("/crash-watch/somebody-listens", test_somebody_listens);
    g_test_add_func("/crash-watch/silent-address-is-confirmed", test_silent_address_is_confirmed);
    g_test_add_func("/crash-watch/successor-announces-itself", test_successor_announces_itself);
    g_test_add_func("/crash-watch/row-goes", test_row_goes);
    g_test_add_func("/crash-watch/old-breaks-are-forgotten", test_old_breaks_are_forgotten);
}

UNIT_TEST_MAIN(tests_add)
