/* Who loads next from a slow weight store. */
#include "unit.h"

#include "control/store_fairness.h"

#define LOAD_MS 13200

/* A busy model lacks its second engine while rare ones are missing: they take turns. */
static void test_take_turns(void) {
    wb_store_fairness_t turns = {0};
    g_assert_true(wb_store_fairness_may_load_missing(&turns, 1000, LOAD_MS, 1000));
    wb_store_fairness_record_load(&turns, TRUE);
    wb_store_fairness_request_replica(&turns, 100000, 2000);
    wb_store_fairness_request_replica(&turns, 5000, 2000); /* another, that gains less */
    g_assert_false(wb_store_fairness_may_load_missing(&turns, 6000, LOAD_MS, 2100));
    g_assert_true(wb_store_fairness_may_load_missing(&turns, 200000, LOAD_MS, 2100));
    wb_store_fairness_record_load(&turns, FALSE);
    wb_store_fairness_request_replica(&turns, 50000, 2400);
    g_assert_true(wb_store_fairness_may_load_missing(&turns, 1000, LOAD_MS, 2400));
}

/* A wish passes, and a quick store serves all. */
static void test_nobody_waits_in_vain(void) {
    wb_store_fairness_t turns = {0};
    wb_store_fairness_record_load(&turns, TRUE);
    wb_store_fairness_request_replica(&turns, 100000, 2000);
    g_assert_true(wb_store_fairness_may_load_missing(&turns, 1000, 2000, 2000));
    g_assert_false(wb_store_fairness_may_load_missing(&turns, 1000, LOAD_MS, 2500));
    g_assert_true(wb_store_fairness_may_load_missing(&turns, 1000, LOAD_MS, 3500));
}

static void tests_add(void) {
    g_test_add_func("/store-turns/take-turns", test_take_turns);
    g_test_add_func("/store-turns/nobody-waits-in-vain", test_nobody_waits_in_vain);
}

UNIT_TEST_MAIN(tests_add)
