/* Guards against a request that is taken from an engine which would answer as soon as any other, or
 * left at one that has stopped answering. */
#include "unit.h"

#include "wickbridge/answer_times.h"

static wb_answer_times_t *times_of(const int *took_ms, size_t count) {
    wb_answer_times_t *times = wb_answer_times_create();
    for (size_t i = 0; i < count; i++)
        wb_answer_times_add(times, "look", took_ms[i]);
    return times;
}

static void test_left(void) {
    static const int took_ms[] = {40, 50, 60, 600, 700, 800, 45, 55};
    wb_answer_times_t *times = times_of(took_ms, G_N_ELEMENTS(took_ms));
    g_assert_cmpint(wb_answer_times_left(times, "lock", 0), ==, WB_ANSWER_TIME_UNKNOWN);
    g_assert_cmpint(wb_answer_times_left(times, "look", 0), ==, 60);
    g_assert_cmpint(wb_answer_times_left(times, "look", 100), ==, 600);
    g_assert_cmpint(wb_answer_times_left(times, "look", 900), ==, 900);
    for (int i = 0; i < 8; i++)
        wb_answer_times_add(times, "look", 30); /* only the latest count */
    g_assert_cmpint(wb_answer_times_left(times, "look", 0), ==, 30);
    g_assert_cmpint(wb_answer_times_left(times, "look", 100), ==, 100);
    wb_answer_times_free(times);
}

/* Of engines that are equally slow none is worth more than the one that has the request, until that
 * is later than all of them. */
static void test_equally_slow(void) {
    for (int work_ms = 50; work_ms <= 4000; work_ms += 50) {
        const int took_ms[] = {work_ms, work_ms + 9, work_ms + 3, work_ms + 5};
        wb_answer_times_t *times = times_of(took_ms, G_N_ELEMENTS(took_ms));
        int64_t other_ms = wb_answer_times_left(times, "look", 0);
        for (int64_t silent_ms = 40; silent_ms < work_ms + work_ms / 12; silent_ms += 20)
            g_assert_false(
                wb_second_try_pays(wb_answer_times_left(times, "look", silent_ms), other_ms));
        g_assert_true(
            wb_second_try_pays(wb_answer_times_left(times, "look", 2 * work_ms), other_ms));
        wb_answer_times_free(times);
    }
}

/* An engine that has stopped answering, or has become slow, is left for one that is quick. */
static void test_stopped_engine(void) {
    static const int quick_ms[] = {50, 60, 40};
    static const int slow_ms[] = {2000, 2100, 50};
    wb_answer_times_t *quick = times_of(quick_ms, G_N_ELEMENTS(quick_ms));
    wb_answer_times_t *slow = times_of(slow_ms, G_N_ELEMENTS(slow_ms));
    int64_t other_ms = wb_answer_times_left(quick, "look", 0);
    g_assert_true(wb_second_try_pays(wb_answer_times_left(quick, "look", 300), other_ms));
    g_assert_true(wb_second_try_pays(wb_answer_times_left(slow, "look", 300), other_ms));
    g_assert_false(wb_second_try_pays(wb_answer_times_left(quick, "look", 300),
                                      wb_answer_times_left(slow, "look", 0)));
    wb_answer_times_free(quick);
    wb_answer_times_free(slow);
}

static void tests_add(void) {
    g_test_add_func("/answer-times/left", test_left);
    g_test_add_func("/answer-times/equally-slow", test_equally_slow);
    g_test_add_func("/answer-times/stopped-engine", test_stopped_engine);
}

UNIT_TEST_MAIN(tests_add)
