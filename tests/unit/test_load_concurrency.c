/* Guards against too many or too few parallel loads from the weight store. */
#include "unit.h"

#include "control/load_concurrency.h"

#define NOMINAL_MS 6000

/* Runs loads, as many in parallel as allowed, on a store that serves `full_speed` of them without
 * slowing. @return the limit at the end */
static unsigned run_loads(wb_load_concurrency_t *concurrency, unsigned full_speed, unsigned loads) {
    for (unsigned i = 0; i < loads; i++) {
        unsigned parallel = wb_load_concurrency_limit(concurrency, NOMINAL_MS);
        double slowdown = MAX((double)parallel / full_speed, 1);
        wb_load_concurrency_record(concurrency, parallel, (int64_t)(slowdown * NOMINAL_MS) + 250,
                                   NOMINAL_MS);
    }
    return wb_load_concurrency_limit(concurrency, NOMINAL_MS);
}

static void test_learns_the_store(void) {
    for (unsigned full_speed = 2; full_speed <= 60; full_speed++) {
        wb_load_concurrency_t concurrency = {0};
        unsigned limit = run_loads(&concurrency, full_speed, 100);
        g_assert_cmpuint(limit, >=, full_speed);
        g_assert_cmpuint(limit, <=, full_speed + full_speed / 2);
    }
}

/* The limit falls when the store becomes slow, and rises when it is fast again. */
static void test_follows_the_store(void) {
    wb_load_concurrency_t concurrency = {0};
    g_assert_cmpuint(run_loads(&concurrency, 20, 50), >=, 20);
    g_assert_cmpuint(run_loads(&concurrency, 3, 10), <=, 4);
    g_assert_cmpuint(run_loads(&concurrency, 20, 50), >=, 20);
}

/* On-time loads below the limit don't raise it. */
static void test_few_loads_raise_nothing(void) {
    wb_load_concurrency_t concurrency = {0};
    unsigned limit = wb_load_concurrency_limit(&concurrency, NOMINAL_MS);
    for (int i = 0; i < 20; i++) {
        wb_load_concurrency_record(&concurrency, 1, NOMINAL_MS, NOMINAL_MS);
    }
    g_assert_cmpuint(wb_load_concurrency_limit(&concurrency, NOMINAL_MS), ==, limit);
}

/* The initial limit is one for long loads, and several for short ones. */
static void test_begins_by_the_load_time(void) {
    wb_load_concurrency_t concurrency = {0};
    g_assert_cmpuint(wb_load_concurrency_limit(&concurrency, 13200), ==, 1);
    g_assert_cmpuint(wb_load_concurrency_limit(&concurrency, 12001), ==, 1);
    g_assert_cmpuint(wb_load_concurrency_limit(&concurrency, 10200), ==, 1);
    g_assert_cmpuint(wb_load_concurrency_limit(&concurrency, 6500), ==, 6);
    g_assert_cmpuint(wb_load_concurrency_limit(&concurrency, 1300), ==, 6);
    g_assert_cmpuint(wb_load_concurrency_limit(&concurrency, 0), >=, 1);
}

static void tests_add(void) {
    g_test_add_func("/load-pace/begins-by-the-load-time", test_begins_by_the_load_time);
    g_test_add_func("/load-pace/learns-the-store", test_learns_the_store);
    g_test_add_func("/load-pace/follows-the-store", test_follows_the_store);
    g_test_add_func("/load-pace/few-loads-raise-nothing", test_few_loads_raise_nothing);
}

UNIT_TEST_MAIN(tests_add)
