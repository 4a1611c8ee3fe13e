/* Loads from the weight store stay under their ceiling in every window. */
#include "unit.h"

#include "control/load_window.h"

#include <string.h>

static void test_load_window(void) {
    wb_load_window_t *window = wb_load_window_create(5000, 1500);
    wb_load_window_set_rate(window, 4);
    int64_t begun[1000] = {0};
    int count = 0;
    wb_load_window_add_predecessor(window, 5, G_MAXUINT, 0);
    for (int64_t now_ms = 0; now_ms < 60000; now_ms += 10)
        if (wb_load_window_allows(window, now_ms)) {
            wb_load_window_record(window, now_ms);
            begun[count++] = now_ms;
        }
    g_assert_cmpint(count, >=, 200); /* the rate is used */
    for (int i = 0; i + 20 < count; i++)
        g_assert_cmpint(begun[i + 20] - begun[i], >=, 5000);
    g_assert_cmpint(begun[9], >=, 5000); /* what the holder before began counts */
    wb_load_window_free(window);
}

/* A holder before that can have begun little leaves room at once; each keeps to its own bursts. */
static void test_load_window_after_takeover(void) {
    wb_load_window_t *window = wb_load_window_create(5000, 1500);
    wb_load_window_set_rate(window, 4);
    wb_load_window_add_predecessor(window, 3, 2, 900);
    g_assert_cmpuint(wb_load_window_used(window, 1000), ==, 5);
    unsigned begun = 0;
    while (wb_load_window_allows(window, 1000)) {
        wb_load_window_record(window, 1000);
        begun++;
    }
    g_assert_cmpuint(begun, ==, 6);
    g_assert_cmpuint(wb_load_window_used(window, 5899), ==, 11);
    g_assert_cmpuint(wb_load_window_used(window, 5900), ==, 6);
    wb_load_window_free(window);
}

static void tests_add(void) {
    g_test_add_func("/load-window/after-takeover", test_load_window_after_takeover);
    g_test_add_func("/load-window/every-window", test_load_window);
}

UNIT_TEST_MAIN(tests_add)
