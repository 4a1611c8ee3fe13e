/* The order in which missing models are loaded, and the times told to those that must wait. */
#include "unit.h"

#include "control/load_queue.h"

static void test_most_missed_first(void) {
    wb_model_spec_t specs[4] = {{0}};
    wb_missing_model_t models[] = {
        {&specs[0], 0, G_MAXUINT}, {&specs[1], 2, 900}, {&specs[2], 5, 4000}, {&specs[3], 2, 100}};
    g_autoptr(GArray) missing = g_array_new(FALSE, FALSE, sizeof(wb_missing_model_t));
    g_array_append_vals(missing, models, G_N_ELEMENTS(models));
    g_array_sort(missing, wb_load_queue_compare);
    static const int order[] = {2, 3, 1, 0};
    for (guint i = 0; i < missing->len; i++) {
        g_assert_true(g_array_index(missing, wb_missing_model_t, i).spec == &specs[order[i]]);
    }
}

/* Four loads of 6 s at once: one ends each 1.5 s. */
static void test_ready_times(void) {
    g_assert_cmpint(wb_load_queue_ready_ms(4, 3, 0, 6000), ==, 6000);
    g_assert_cmpint(wb_load_queue_ready_ms(4, 4, 0, 6000), ==, 7500);
    g_assert_cmpint(wb_load_queue_ready_ms(4, 4, 3, 6000), ==, 12000);
    g_assert_cmpint(wb_load_queue_ready_ms(1, 0, 2, 1000), ==, 3000);
}

static void tests_add(void) {
    g_test_add_func("/load-queue/most-missed-first", test_most_missed_first);
    g_test_add_func("/load-queue/ready-times", test_ready_times);
}

UNIT_TEST_MAIN(tests_add)
