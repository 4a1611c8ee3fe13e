/* Guards against missing models or additional replicas that starve on a slow weight store. */
#include "unit.h"

#include "control/store_fairness.h"

#define LOAD_MS 13200

/* Replicas of a busy model and missing rare models alternate. */
static void test_take_turns(void) {
    wb_store_fairness_t fairness = {0};
    g_assert_true(wb_store_fairness_may_load_missing(&fairness, 1000, LOAD_MS, 1000));
    wb_store_fairness_record_load(&fairness, TRUE);
    wb_store_fairness_request_replica(&fairness, 100000, 2000);
    wb_store_fairness_request_replica(&fairness, 5000, 2000); /* another one, with less gain */
    g_assert_false(wb_store_fairness_may_load_missing(&fairness, 6000, LOAD_MS, 2100));
    g_assert_true(wb_store_fairness_may_load_missing(&fairness, 200000, LOAD_MS, 2100));
    wb_store_fairness_record_load(&fairness, FALSE);
    wb_store_fairness_request_replica(&fairness, 50000, 2400);
    g_assert_true(wb_store_fairness_may_load_missing(&fairness, 1000, LOAD_MS, 2400));
}

/* A pending replica load expires, and on a fast store missing models need not wait for it. */
static void test_nobody_waits_in_vain(void) {
    wb_store_fairness_t fairness = {0};
    wb_store_fairness_record_load(&fairness, TRUE);
    wb_store_fairness_request_replica(&fairness, 100000, 2000);
    g_assert_true(wb_store_fairness_may_load_missing(&fairness, 1000, 2000, 2000));
    g_assert_false(wb_store_fairness_may_load_missing(&fairness, 1000, LOAD_MS, 2500));
    g_assert_true(wb_store_fairness_may_load_missing(&fairness, 1000, LOAD_MS, 3500));
}

static void tests_add(void) {
    g_test_add_func("/store-turns/take-turns", test_take_turns);
    g_test_add_func("/store-turns/nobody-waits-in-vain", test_nobody_waits_in_vain);
}

UNIT_TEST_MAIN(tests_add)
