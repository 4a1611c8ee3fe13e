/* Guards against timers that conclude from a silence while what ended it waits to be read. */
#include "unit.h"

#include "wickbridge/loop.h"

#include <apr_pools.h>
#include <apr_portable.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOLD_MS 200

typedef struct fixture_t {
    wb_loop_t *loop;
    apr_pool_t *pool;
    int near[2]; /* descriptors that the loop watches */
    int far[2];  /* their peers */
    wb_watch_t *watches[2];
    GString *order; /* a letter for each callback: s, b: sockets; t: timer */
} fixture_t;

static void peer_writes(const fixture_t *fixture, int index) {
    g_assert_cmpint(write(fixture->far[index], "x", 1), ==, 1);
}

static void input_take(const fixture_t *fixture, int index) {
    char byte;
    g_assert_cmpint(read(fixture->near[index], &byte, 1), ==, 1);
}

static void socket_ready(int16_t events, void *context) {
    (void)events;
    fixture_t *fixture = context;
    input_take(fixture, 0);
    g_string_append_c(fixture->order, 's');
}

/* Holds the loop up while the other socket gets input. */
static void busy_socket_ready(int16_t events, void *context) {
    (void)events;
    fixture_t *fixture = context;
    input_take(fixture, 1);
    g_string_append_c(fixture->order, 'b');
    peer_writes(fixture, 0);
    g_usleep(HOLD_MS * 1000);
}

static void timer_due(void *context) {
    fixture_t *fixture = context;
    g_string_append_c(fixture->order, 't');
    wb_loop_quit(fixture->loop);
}

/* Holds the loop up while a socket gets input. */
static void hold(void *context) {
    const fixture_t *fixture = context;
    peer_writes(fixture, 0);
    g_usleep(HOLD_MS * 1000);
}

static void fixture_start(fixture_t *fixture) {
    static const wb_watch_fn callbacks[] = {socket_ready, busy_socket_ready};
    wb_error_t error;
    memset(fixture, 0, sizeof(*fixture));
    fixture->order = g_string_new(NULL);
    apr_pool_create(&fixture->pool, NULL);
    g_assert_cmpint(wb_loop_create(&fixture->loop, "test", 16, &error), ==, APR_SUCCESS);
    for (int i = 0; i < 2; i++) {
        int pair[2];
        apr_socket_t *socket = NULL;
        g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), ==, 0);
        fixture->near[i] = pair[0];
        fixture->far[i] = pair[1];
        apr_os_sock_put(&socket, &pair[0], fixture->pool);
        fixture->watches[i] =
            wb_loop_watch(fixture->loop, socket, APR_POLLIN, callbacks[i], fixture);
    }
}

static void fixture_stop(fixture_t *fixture) {
    for (int i = 0; i < 2; i++) {
        wb_watch_remove(fixture->watches[i]);
        close(fixture->near[i]);
        close(fixture->far[i]);
    }
    wb_loop_stop(fixture->loop);
    apr_pool_destroy(fixture->pool);
    g_string_free(fixture->order, TRUE);
}

/* Guards against timers before input after a task that held the loop up. */
static void test_input_before_timers(void) {
    fixture_t fixture;
    fixture_start(&fixture);
    wb_loop_after(fixture.loop, HOLD_MS / 2, timer_due, &fixture);
    wb_loop_post(fixture.loop, hold, &fixture);
    wb_loop_run(fixture.loop);
    g_assert_cmpstr(fixture.order->str, ==, "st");
    fixture_stop(&fixture);
}

/* The same after another timer's task. */
static void test_input_between_timers(void) {
    fixture_t fixture;
    fixture_start(&fixture);
    wb_loop_after(fixture.loop, 10, hold, &fixture);
    wb_loop_after(fixture.loop, 10, timer_due, &fixture);
    wb_loop_run(fixture.loop);
    g_assert_cmpstr(fixture.order->str, ==, "st");
    fixture_stop(&fixture);
}

/* The same after a socket's callback. */
static void test_input_after_a_long_callback(void) {
    fixture_t fixture;
    fixture_start(&fixture);
    wb_loop_after(fixture.loop, HOLD_MS / 2, timer_due, &fixture);
    peer_writes(&fixture, 1);
    wb_loop_run(fixture.loop);
    g_assert_cmpstr(fixture.order->str, ==, "bst");
    fixture_stop(&fixture);
}

static gpointer flood(gpointer context) {
    const fixture_t *fixture = context;
    for (int i = 0; i < 40; i++) {
        peer_writes(fixture, 1);
        g_usleep(HOLD_MS * 500);
    }
    return NULL;
}

/* Input that keeps the loop busy doesn't keep timers from running. */
static void test_timers_run_beside_input(void) {
    fixture_t fixture;
    fixture_start(&fixture);
    int64_t began_ms = wb_clock_ms();
    wb_loop_after(fixture.loop, HOLD_MS, timer_due, &fixture);
    GThread *thread = g_thread_new("flood", flood, &fixture);
    wb_loop_run(fixture.loop);
    g_assert_cmpint(wb_clock_ms() - began_ms, <, 6 * HOLD_MS);
    g_thread_join(thread);
    fixture_stop(&fixture);
}

static void quit_then_hold(void *context) {
    const fixture_t *fixture = context;
    wb_loop_quit(fixture->loop);
    g_usleep(HOLD_MS * 1000);
}

static void nothing_due(void *context) {
    (void)context;
}

/* Guards against a loop that waits for sockets after it was told to end, as reading between timers
 * has taken the wakeup. */
static void test_quit_between_timers(void) {
    fixture_t fixture;
    fixture_start(&fixture);
    int64_t began_ms = wb_clock_ms();
    wb_loop_after(fixture.loop, 10, quit_then_hold, &fixture);
    wb_loop_after(fixture.loop, 10, nothing_due, &fixture);
    wb_loop_run(fixture.loop);
    g_assert_cmpint(wb_clock_ms() - began_ms, <, 3 * HOLD_MS);
    fixture_stop(&fixture);
}

static void quit_with_input(void *context) {
    fixture_t *fixture = context;
    g_string_append_c(fixture->order, 't');
    wb_loop_quit(fixture->loop);
    peer_writes(fixture, 0);
}

/* Guards against requests that are read, and run, after the last check of a planned stop. */
static void test_no_input_after_quit(void) {
    fixture_t fixture;
    fixture_start(&fixture);
    wb_loop_after(fixture.loop, 10, quit_with_input, &fixture);
    wb_loop_run(fixture.loop);
    g_assert_cmpstr(fixture.order->str, ==, "t");
    fixture_stop(&fixture);
}

static void tests_add(void) {
    g_test_add_func("/loop/input-before-timers", test_input_before_timers);
    g_test_add_func("/loop/input-between-timers", test_input_between_timers);
    g_test_add_func("/loop/input-after-a-long-callback", test_input_after_a_long_callback);
    g_test_add_func("/loop/timers-run-beside-input", test_timers_run_beside_input);
    g_test_add_func("/loop/no-input-after-quit", test_no_input_after_quit);
    g_test_add_func("/loop/quit-between-timers", test_quit_between_timers);
}

UNIT_TEST_MAIN(tests_add)
