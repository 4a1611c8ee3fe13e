/* Guards against admission that refuses requests that would be in time, or oscillates under
 * overload. */
#include "unit.h"

#include "dispatch/admission.h"
#include "dispatch/wait_scale.h"

static double refusal_probability(double target_ms, double waited_ms, double first_ms,
                                  int priority) {
    wb_choice_request_t request = {
        .has_prompt = TRUE, .target_ms = target_ms, .waited_ms = waited_ms, .wait_scale = 1};
    wb_choice_estimate_t estimate = {.first_ms = first_ms};
    return wb_admission_refusal_probability(&request, &estimate, priority, 4 * target_ms);
}

static void test_by_target(void) {
    g_assert_cmpfloat(refusal_probability(800, 0, 100, 1), ==, 0);
    g_assert_cmpfloat(refusal_probability(800, 0, 1200, 1), ==, 0); /* late at worst */
    g_assert_cmpfloat_with_epsilon(refusal_probability(800, 0, 1600, 1), 0.5, 0.01);
    g_assert_cmpfloat(refusal_probability(800, 0, 2100, 1), ==, 1);
    /* A request that waited 1.4 s for its model is admitted once that is loaded, unless the client
     * would time out. */
    g_assert_cmpfloat(refusal_probability(800, 1400, 200, 1), ==, 0);
    g_assert_cmpfloat(refusal_probability(800, 1400, 1600, 1), ==,
                      refusal_probability(800, 0, 1600, 1));
    g_assert_cmpfloat(refusal_probability(800, 3100, 200, 1), ==, 1);
    /* A long target allows a long wait. */
    g_assert_cmpfloat(refusal_probability(5000, 0, 2100, 2), ==, 0);
    /* Urgent requests are refused last, but not admitted beyond the client timeout. */
    g_assert_cmpfloat(refusal_probability(800, 0, 1600, 0), ==, 0);
    g_assert_cmpfloat(refusal_probability(800, 0, 3300, 0), ==, 1);
    wb_choice_request_t lookup = {.target_ms = 150, .wait_scale = 1};
    wb_choice_estimate_t estimate = {.first_ms = 1e6};
    g_assert_cmpfloat(wb_admission_refusal_probability(&lookup, &estimate, 1, 600), ==, 0);
}

/* Overload with reports half a second old: the refusal probability doesn't oscillate between 0 and
 * 1, and the queue stays near the target. */
static void test_surge_settles(void) {
    const double target_ms = 800;
    double backlog_ms = 0;
    double reported_ms = 0;
    double min_refused = 1;
    double max_refused = 0;
    for (int ms = 0; ms < 20000; ms += 50) {
        if (ms % 500 == 0) {
            reported_ms = backlog_ms;
        }
        double refused = refusal_probability(target_ms, 0, reported_ms, 1);
        /* Requests arrive at twice the prefill rate. */
        backlog_ms = MAX(backlog_ms + 50 * (2.0 * (1 - refused) - 1), 0);
        if (ms > 5000) {
            min_refused = MIN(min_refused, refused);
            max_refused = MAX(max_refused, refused);
        }
    }
    g_assert_cmpfloat(backlog_ms, <, 2.5 * target_ms);
    g_assert_cmpfloat(max_refused - min_refused, <, 0.5);
    g_assert_cmpfloat(min_refused, >, 0.2);
}

static void test_retry(void) {
    wb_choice_request_t request = {.has_prompt = TRUE, .target_ms = 800, .wait_scale = 1};
    wb_choice_estimate_t estimate = {.first_ms = 2300};
    g_assert_cmpint(wb_admission_retry_ms(&request, &estimate), ==, 1500);
    estimate.first_ms = 1e7;
    g_assert_cmpint(wb_admission_retry_ms(&request, &estimate), ==, 8000);
}

/* Urgent short requests wait a sixth of the backlog because engines prefill them first. */
static void test_waits_are_learnt(void) {
    wb_wait_scale_t *scale = wb_wait_scale_create();
    g_assert_cmpfloat(wb_wait_scale_get(scale, "chat"), ==, 1);
    wb_wait_scale_learn(scale, "chat", 100, 0); /* backlog too small to learn from */
    g_assert_cmpfloat(wb_wait_scale_get(scale, "chat"), ==, 1);
    for (unsigned i = 0; i < 200; i++) {
        wb_wait_scale_learn(scale, "chat", 600, 100);
        wb_wait_scale_learn(scale, "draft", 600, 1e9);
    }
    g_assert_cmpfloat_with_epsilon(wb_wait_scale_get(scale, "chat"), 1.0 / 6, 0.01);
    g_assert_cmpfloat(wb_wait_scale_get(scale, "draft"), ==, 3);
    wb_wait_scale_free(scale);
}

static void tests_add(void) {
    g_test_add_func("/admission/by-target", test_by_target);
    g_test_add_func("/admission/surge-settles", test_surge_settles);
    g_test_add_func("/admission/retry", test_retry);
    g_test_add_func("/admission/waits-are-learnt", test_waits_are_learnt);
}

UNIT_TEST_MAIN(tests_add)
