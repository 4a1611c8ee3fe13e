/* Whether a request is taken, by when its first event is predicted; and how waits are learnt. */
#include "unit.h"

#include "dispatch/admission.h"
#include "dispatch/wait_scale.h"

static double chance(double target_ms, double waited_ms, double first_ms, int rank) {
    wb_choice_request_t request = {
        .has_prompt = TRUE, .target_ms = target_ms, .waited_ms = waited_ms, .wait_scale = 1};
    wb_choice_estimate_t estimate = {.first_ms = first_ms};
    return wb_admission_refusal_probability(&request, &estimate, rank, 4 * target_ms);
}

static void test_by_target(void) {
    g_assert_cmpfloat(chance(800, 0, 100, 1), ==, 0);
    g_assert_cmpfloat(chance(800, 0, 1200, 1), ==, 0); /* late at worst */
    g_assert_cmpfloat_with_epsilon(chance(800, 0, 1600, 1), 0.5, 0.01);
    g_assert_cmpfloat(chance(800, 0, 2100, 1), ==, 1);
    /* Who waited 1.4 s for its model isn't refused once that is there, unless its caller leaves. */
    g_assert_cmpfloat(chance(800, 1400, 200, 1), ==, 0);
    g_assert_cmpfloat(chance(800, 1400, 1600, 1), ==, chance(800, 0, 1600, 1));
    g_assert_cmpfloat(chance(800, 3100, 200, 1), ==, 1);
    g_assert_cmpfloat(chance(5000, 0, 2100, 2), ==, 0); /* who is patient may wait */
    /* The urgent are refused last, but not when their callers leave before. */
    g_assert_cmpfloat(chance(800, 0, 1600, 0), ==, 0);
    g_assert_cmpfloat(chance(800, 0, 3300, 0), ==, 1);
    wb_choice_request_t lookup = {.target_ms = 150, .wait_scale = 1};
    wb_choice_estimate_t estimate = {.first_ms = 1e6};
    g_assert_cmpfloat(wb_admission_refusal_probability(&lookup, &estimate, 1, 600), ==, 0);
}

/* A surge: what all gateways know is half a second old. The share that is refused follows the load
 * without swinging between all and nothing, and the queue stays near the target. */
static void test_surge_settles(void) {
    const double target_ms = 800;
    double backlog_ms = 0;
    double told_ms = 0;
    double least = 1;
    double most = 0;
    for (int ms = 0; ms < 20000; ms += 50) {
        if (ms % 500 == 0) {
            told_ms = backlog_ms;
        }
        double refused = chance(target_ms, 0, told_ms, 1);
        backlog_ms = MAX(backlog_ms + 50 * (2.0 * (1 - refused) - 1), 0); /* twice what it reads */
        if (ms > 5000) {
            least = MIN(least, refused);
            most = MAX(most, refused);
        }
    }
    g_assert_cmpfloat(backlog_ms, <, 2.5 * target_ms);
    g_assert_cmpfloat(most - least, <, 0.5);
    g_assert_cmpfloat(least, >, 0.2);
}

static void test_retry(void) {
    wb_choice_request_t request = {.has_prompt = TRUE, .target_ms = 800, .wait_scale = 1};
    wb_choice_estimate_t estimate = {.first_ms = 2300};
    g_assert_cmpint(wb_admission_retry_ms(&request, &estimate), ==, 1500);
    estimate.first_ms = 1e7;
    g_assert_cmpint(wb_admission_retry_ms(&request, &estimate), ==, 8000);
}

/* Urgent short requests wait a sixth of the backlog, as they are read first. */
static void test_waits_are_learnt(void) {
    wb_wait_scale_t *scale = wb_wait_scale_create();
    g_assert_cmpfloat(wb_wait_scale_get(scale, "chat"), ==, 1);
    wb_wait_scale_learn(scale, "chat", 100, 0); /* too little to go by */
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
