/* Guards against a node that waits for the store longer than a change of the configuration may
 * take, asks peers without need, or fills its link with answers. */
#include "unit.h"

#include "edge/catalog_fetch.h"

#define BOUND_MS 2000

static gboolean is_due(int64_t age_ms, int64_t behind_ms, gboolean store_failing) {
    wb_catalog_status_t status = {age_ms, behind_ms, store_failing, BOUND_MS};
    return wb_catalog_fetch_is_due(&status);
}

static void test_due(void) {
    g_assert_false(is_due(1000, 0, FALSE));
    g_assert_false(is_due(1000, 0, TRUE));   /* another node confirms it */
    g_assert_false(is_due(100, 300, FALSE)); /* the store has time to answer */
    g_assert_true(is_due(100, 500, FALSE));
    g_assert_true(is_due(100, 1, TRUE));
    g_assert_true(is_due(1400, 0, FALSE));
}

static void test_send_budget(void) {
    wb_catalog_send_budget_t budget = {0};
    unsigned sent = 0;
    for (int i = 0; i < 100; i++) {
        sent += wb_catalog_send_budget_take(&budget, 120000, 1000);
    }
    g_assert_cmpint(sent, ==, 2); /* 240 kB in the first 0.3 s */
    g_assert_true(wb_catalog_send_budget_take(&budget, 120000, 1100));
    g_assert_true(wb_catalog_send_budget_take(&budget, 4000000, 10000));
    g_assert_false(wb_catalog_send_budget_take(&budget, 1, 11000));
}

static void tests_add(void) {
    g_test_add_func("/catalog-fetch/due", test_due);
    g_test_add_func("/catalog-fetch/send-budget", test_send_budget);
}

UNIT_TEST_MAIN(tests_add)
