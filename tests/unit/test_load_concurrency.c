/* The number of loads at once is learnt from how long they take. */
#include "unit.h"

#include "control/load_concurrency.h"

#define NOMINAL_MS 6000

/* A weight store that serves so many loads at full speed, asked for as many as the pace allows. */
static unsigned pace_play(wb_load_concurrency_t *pace, unsigned full_speed, unsigned loads) {
    for (unsigned i = 0; i < loads; i++) {
        unsigned at_once = wb_load_concurrency_limit(pace, NOMINAL_MS);
        double slowed = MAX((double)at_once / full_speed, 1);
        wb_load_concurrency_record(pace, at_once, (int64_t)(slowed * NOMINAL_MS) + 250, NOMINAL_MS);
    }
    return wb_load_concurrency_limit(pace, NOMINAL_MS);
}

static void test_learns_the_store(void) {
    for (unsigned full_speed = 2; full_speed <= 60; full_speed++) {
        wb_load_concurrency_t pace = {0};
        unsigned limit = pace_play(&pace, full_speed, 100);
        g_assert_cmpuint(limit, >=, full_speed);
        g_assert_cmpuint(limit, <=, full_speed + full_speed / 2);
    }
}

/* A store that turns slow is asked for less, and for more again when it is quick. */
static void test_follows_the_store(void) {
    wb_load_concurrency_t pace = {0};
    g_assert_cmpuint(pace_play(&pace, 20, 50), >=, 20);
    g_assert_cmpuint(pace_play(&pace, 3, 10), <=, 4);
    g_assert_cmpuint(pace_play(&pace, 20, 50), >=, 20);
}

/* Few loads that are timely show nothing about more of them. */
static void test_few_loads_raise_nothing(void) {
    wb_load_concurrency_t pace = {0};
    unsigned limit = wb_load_concurrency_limit(&pace, NOMINAL_MS);
    for (int i = 0; i < 20; i++) {
        wb_load_concurrency_record(&pace, 1, NOMINAL_MS, NOMINAL_MS);
    }
    g_assert_cmpuint(wb_load_concurrency_limit(&pace, NOMINAL_MS), ==, limit);
}

/* Where a wrong number costs long, it begins with one load; where it costs little, with several. */
static void test_begins_by_the_load_time(void) {
    wb_load_concurrency_t pace = {0};
    g_assert_cmpuint(wb_load_concurrency_limit(&pace, 13200), ==, 1);
    g_assert_cmpuint(wb_load_concurrency_limit(&pace, 12001), ==, 1);
    g_assert_cmpuint(wb_load_concurrency_limit(&pace, 10200), ==, 1);
    g_assert_cmpuint(wb_load_concurrency_limit(&pace, 6500), ==, 6);
    g_assert_cmpuint(wb_load_concurrency_limit(&pace, 1300), ==, 6);
    g_assert_cmpuint(wb_load_concurrency_limit(&pace, 0), >=, 1);
}

static void tests_add(void) {
    g_test_add_func("/load-pace/begins-by-the-load-time", test_begins_by_the_load_time);
    g_test_add_func("/load-pace/learns-the-store", test_learns_the_store);
    g_test_add_func("/load-pace/follows-the-store", test_follows_the_store);
    g_test_add_func("/load-pace/few-loads-raise-nothing", test_few_loads_raise_nothing);
}

UNIT_TEST_MAIN(tests_add)
