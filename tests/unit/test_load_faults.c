/* A model whose loads crash engines is given up for a while, ever longer; one good load forgets. */
#include "unit.h"

#include "control/load_faults.h"

#define NOW_MS 1000000

static void test_pause_grows(void) {
    wb_load_faults_t *faults = wb_load_faults_create();
    for (int i = 1; i < WB_LOAD_FAULTS_MAX_CRASHES; i++) {
        g_assert_cmpuint(wb_load_faults_record_crash(faults, "s", "m1", NOW_MS), ==, i);
        g_assert_cmpint(wb_load_faults_backoff_ms(faults, "s", "m1", NOW_MS), ==, 0);
    }
    int64_t now_ms = NOW_MS;
    int64_t pause_ms = WB_LOAD_FAULTS_BACKOFF_MIN_MS;
    for (int i = 0; i < 8; i++) {
        wb_load_faults_record_crash(faults, "s", "m1", now_ms);
        g_assert_cmpint(wb_load_faults_backoff_ms(faults, "s", "m1", now_ms), ==, pause_ms);
        now_ms += pause_ms;
        g_assert_cmpint(wb_load_faults_backoff_ms(faults, "s", "m1", now_ms), ==, 0);
        pause_ms = MIN(2 * pause_ms, WB_LOAD_FAULTS_BACKOFF_MAX_MS);
    }
    wb_load_faults_free(faults);
}

static void test_good_load_forgets(void) {
    wb_load_faults_t *faults = wb_load_faults_create();
    wb_load_faults_record_crash(faults, "s", "m1", NOW_MS);
    wb_load_faults_record_crash(faults, "s", "m1", NOW_MS);
    wb_load_faults_record_success(faults, "s", "m1");
    g_assert_cmpuint(wb_load_faults_record_crash(faults, "s", "m1", NOW_MS), ==, 1);
    wb_load_faults_free(faults);
}

static void test_models_are_apart(void) {
    wb_load_faults_t *faults = wb_load_faults_create();
    for (int i = 0; i < WB_LOAD_FAULTS_MAX_CRASHES; i++) {
        wb_load_faults_record_crash(faults, "s", "m1", NOW_MS);
    }
    g_assert_cmpint(wb_load_faults_backoff_ms(faults, "s", "m1", NOW_MS), >, 0);
    g_assert_cmpint(wb_load_faults_backoff_ms(faults, "s", "m2", NOW_MS), ==, 0);
    g_assert_cmpint(wb_load_faults_backoff_ms(faults, "t", "m1", NOW_MS), ==, 0);
    wb_load_faults_free(faults);
}

static void tests_add(void) {
    g_test_add_func("/load-faults/pause-grows", test_pause_grows);
    g_test_add_func("/load-faults/good-load-forgets", test_good_load_forgets);
    g_test_add_func("/load-faults/models-are-apart", test_models_are_apart);
}

UNIT_TEST_MAIN(tests_add)
