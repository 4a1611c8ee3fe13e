/* Guards against a request that is taken, or passed on, later in a planned stop than it can end. */
#include "unit.h"

#include "request/stop_admission.h"

#define BEGAN_MS 100000
#define GRACE_MS 8000
/* Requests that are still open then are cut. */
#define CUT_MS (BEGAN_MS + GRACE_MS - 700)
#define UNTIL_NOT_READY_MS 2800

static wb_stop_time_t at(int64_t elapsed_ms) {
    return (wb_stop_time_t){BEGAN_MS, GRACE_MS, BEGAN_MS + elapsed_ms};
}

/* A request that may run once, as its route's requests have shown to take `longest_ms`. */
static wb_stop_request_t once(int64_t longest_ms, const wb_stop_time_t *time, int64_t left_ms) {
    return (wb_stop_request_t){FALSE, FALSE, time->now_ms + left_ms, longest_ms};
}

static void test_known_time(void) {
    for (int64_t longest_ms = 50; longest_ms <= 7000; longest_ms += 50) {
        for (int64_t elapsed_ms = 0; elapsed_ms <= GRACE_MS; elapsed_ms += 20) {
            wb_stop_time_t time = at(elapsed_ms);
            wb_stop_request_t request = once(longest_ms, &time, 60000);
            gboolean can_end = time.now_ms + longest_ms < CUT_MS;
            if (!can_end) {
                g_assert_true(wb_stop_refuses_arrival(&request, &time));
                g_assert_true(wb_stop_refuses_run(&request, &time));
            }
            if (time.now_ms + longest_ms < CUT_MS - 100) {
                g_assert_false(wb_stop_refuses_arrival(&request, &time));
                g_assert_false(wb_stop_refuses_run(&request, &time));
            }
        }
    }
}

/* Nothing is known of its route: what counts is when its answer is due. */
static void test_unknown_time(void) {
    for (int64_t elapsed_ms = UNTIL_NOT_READY_MS; elapsed_ms <= GRACE_MS; elapsed_ms += 20) {
        wb_stop_time_t time = at(elapsed_ms);
        wb_stop_request_t lasting = once(-1, &time, 60000);
        wb_stop_request_t brief = once(-1, &time, 1000);
        g_assert_true(wb_stop_refuses_arrival(&lasting, &time));
        g_assert_true(wb_stop_refuses_run(&lasting, &time));
        g_assert_cmpint(wb_stop_refuses_arrival(&brief, &time), ==,
                        time.now_ms + 1000 >= CUT_MS - 100 + 1);
    }
}

/* Load balancers go on sending until they have seen that the node isn't ready. */
static void test_until_not_ready(void) {
    for (int64_t elapsed_ms = 0; elapsed_ms < UNTIL_NOT_READY_MS; elapsed_ms += 20) {
        wb_stop_time_t time = at(elapsed_ms);
        wb_stop_request_t unknown = once(-1, &time, 60000);
        wb_stop_request_t repeatable = {FALSE, TRUE, time.now_ms + 60000, 60000};
        wb_stop_request_t stream = {TRUE, FALSE, time.now_ms + 60000, 60000};
        g_assert_false(wb_stop_refuses_arrival(&unknown, &time));
        g_assert_false(wb_stop_refuses_arrival(&repeatable, &time));
        g_assert_false(wb_stop_refuses_arrival(&stream, &time));
    }
}

static void test_late_stream(void) {
    wb_stop_time_t time = at(UNTIL_NOT_READY_MS);
    wb_stop_request_t stream = {TRUE, TRUE, time.now_ms + 100, 50};
    g_assert_true(wb_stop_refuses_arrival(&stream, &time));
    g_assert_false(wb_stop_refuses_run(&stream, &time)); /* it was taken before */
}

static void tests_add(void) {
    g_test_add_func("/stop-admission/known-time", test_known_time);
    g_test_add_func("/stop-admission/unknown-time", test_unknown_time);
    g_test_add_func("/stop-admission/until-not-ready", test_until_not_ready);
    g_test_add_func("/stop-admission/late-stream", test_late_stream);
}

UNIT_TEST_MAIN(tests_add)
