/* How long work takes at an engine: what it tells, what others heard, and how both age. */
#include "unit.h"

#include "wickbridge/engine_pace.h"

#include "dispatch/load_header.h"

static void test_figures_that_cannot_be(void) {
    static const char *const texts[] = {
        NULL, "", "0", "-120", "9", "1001", "1000000000", "99999999999999999999", "fast"};
    for (guint i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_assert_cmpuint(wb_engine_pace_parse(texts[i]), ==, 0);
    }
    g_assert_cmpuint(wb_engine_pace_parse("120"), ==, 120);
    wb_engine_pace_t pace = {0};
    wb_engine_pace_add(&pace, 0, 1000);
    g_assert_cmpfloat(wb_engine_pace_current_factor(&pace, 1000), ==, 1);
}

static void test_told_load(void) {
    wb_load_header_t load;
    g_assert_true(wb_load_header_parse("3,0,48,120", &load));
    g_assert_cmpuint(load.running, ==, 3);
    g_assert_cmpuint(load.pace_percent, ==, 120);
    g_assert_true(wb_load_header_parse("3, 1, 48", &load));
    g_assert_cmpuint(load.waiting, ==, 1);
    g_assert_cmpuint(load.pace_percent, ==, 0);
    g_assert_true(wb_load_header_parse("3,1,48,slow", &load));
    g_assert_cmpuint(load.pace_percent, ==, 0);
    static const char *const bad[] = {NULL,    "", "3", "x,1,48", "-1,0,48,120", "3,99999999999,48",
                                      "3;1;48"};
    for (guint i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_false(wb_load_header_parse(bad[i], &load));
        g_assert_cmpuint(load.running + load.waiting + load.pace_percent, ==, 0);
    }
}

/* Neighbours slow an engine of 120 to 300 for moments: its own figure stays. */
static void test_neighbours_come_and_go(void) {
    wb_engine_pace_t pace = {0};
    wb_engine_pace_add(&pace, 120, 1000);
    wb_engine_pace_add(&pace, 300, 2000);
    g_assert_cmpfloat_with_epsilon(wb_engine_pace_current_factor(&pace, 2000), 3.0, 0.01);
    g_assert_cmpfloat_with_epsilon(wb_engine_pace_intrinsic_factor(&pace, 2000), 1.2, 0.01);
    g_assert_cmpfloat(wb_engine_pace_current_factor(&pace, 3000), <, 1.35);
}

/* An engine that turns five times slower for good counts so within two windows, at once for what
 * is sent next. */
static void test_turns_slow(void) {
    wb_engine_pace_t pace = {0};
    int64_t now_ms = 1000;
    for (; now_ms < 5000; now_ms += 500) {
        wb_engine_pace_add(&pace, 60, now_ms);
    }
    wb_engine_pace_add(&pace, 300, now_ms);
    g_assert_cmpfloat(wb_engine_pace_current_factor(&pace, now_ms), >, 2.9);
    for (int64_t until_ms = now_ms + 2 * WB_PACE_WINDOW_MS; now_ms < until_ms; now_ms += 500) {
        wb_engine_pace_add(&pace, 300, now_ms);
    }
    g_assert_cmpuint(wb_engine_pace_intrinsic(&pace, now_ms), ==, 300);
}

/* Who hears nothing goes by what all heard; what was heard here lately isn't raised by it. */
static void test_shared(void) {
    wb_engine_pace_t pace = {0};
    wb_engine_pace_set_shared(&pace, 55);
    g_assert_cmpfloat_with_epsilon(wb_engine_pace_current_factor(&pace, 1000), 0.55, 0.001);
    wb_engine_pace_add(&pace, 137, 2000); /* a neighbour was at work the only time it was heard */
    g_assert_cmpuint(wb_engine_pace_intrinsic(&pace, 2000), ==, 55);
    g_assert_cmpuint(wb_engine_pace_recent_min(&pace, 2000), ==, 137);
    wb_engine_pace_set_shared(&pace, 200);
    g_assert_cmpuint(wb_engine_pace_intrinsic(&pace, 2000), ==, 137);
    g_assert_cmpuint(wb_engine_pace_intrinsic(&pace, 2000 + 3 * WB_PACE_WINDOW_MS), ==, 200);
    wb_engine_pace_set_shared(&pace, 0);
    g_assert_cmpuint(wb_engine_pace_intrinsic(&pace, 2000 + 3 * WB_PACE_WINDOW_MS), ==, 137);
}

static void tests_add(void) {
    g_test_add_func("/engine-pace/figures-that-cannot-be", test_figures_that_cannot_be);
    g_test_add_func("/engine-pace/told-load", test_told_load);
    g_test_add_func("/engine-pace/neighbours-come-and-go", test_neighbours_come_and_go);
    g_test_add_func("/engine-pace/turns-slow", test_turns_slow);
    g_test_add_func("/engine-pace/shared", test_shared);
}

UNIT_TEST_MAIN(tests_add)
