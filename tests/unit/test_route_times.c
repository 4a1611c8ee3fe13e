/* Guards against a time that requests no longer take, or one that is forgotten too early. */
#include "unit.h"

#include "dispatch/route_times.h"

#define MINUTE_MS 60000

static void test_longest(void) {
    wb_route_times_t *times = wb_route_times_create();
    g_assert_cmpint(wb_route_times_longest(times, "lock", 0), ==, -1);
    wb_route_times_add(times, "lock", 300, 10);
    wb_route_times_add(times, "lock", 900, 20);
    wb_route_times_add(times, "lock", 50, 30);
    g_assert_cmpint(wb_route_times_longest(times, "lock", 40), ==, 900);
    g_assert_cmpint(wb_route_times_longest(times, "look", 40), ==, -1);
    wb_route_times_free(times);
}

static void test_windows(void) {
    wb_route_times_t *times = wb_route_times_create();
    wb_route_times_add(times, "lock", 900, MINUTE_MS - 1);
    g_assert_cmpint(wb_route_times_longest(times, "lock", 2 * MINUTE_MS - 1), ==, 900);
    g_assert_cmpint(wb_route_times_longest(times, "lock", 2 * MINUTE_MS), ==, -1);
    wb_route_times_add(times, "lock", 40, MINUTE_MS);
    g_assert_cmpint(wb_route_times_longest(times, "lock", MINUTE_MS), ==, 900);
    g_assert_cmpint(wb_route_times_longest(times, "lock", 2 * MINUTE_MS), ==, 40);
    wb_route_times_add(times, "lock", 7, 10 * MINUTE_MS);
    g_assert_cmpint(wb_route_times_longest(times, "lock", 10 * MINUTE_MS), ==, 7);
    wb_route_times_free(times);
}

/* Routes of many configurations. */
static void test_many_routes(void) {
    wb_route_times_t *times = wb_route_times_create();
    for (int i = 0; i < 5000; i++) {
        g_autofree char *route = g_strdup_printf("route-%d", i);
        wb_route_times_add(times, route, i, 0);
        g_assert_cmpint(wb_route_times_longest(times, route, 0), ==, i);
    }
    wb_route_times_free(times);
}

static void tests_add(void) {
    g_test_add_func("/route-times/longest", test_longest);
    g_test_add_func("/route-times/windows", test_windows);
    g_test_add_func("/route-times/many-routes", test_many_routes);
}

UNIT_TEST_MAIN(tests_add)
