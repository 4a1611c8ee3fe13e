/* Resends stay within the budget in every window. */
#include "unit.h"

#include "harness/budget_oracle.h"
#include "request/retry_budget.h"

#define RATIO 0.2
#define WINDOW_MS 10000

/* Steady traffic of which much must be sent again: the bound holds in every window. */
static void test_retry_budget(void) {
    enum { SECONDS = 60, PER_S = 20, SHARE = 7 };
    budget_oracle_t *oracle = budget_oracle_create(RATIO, SHARE, WINDOW_MS);
    wb_retry_budget_t *budget = wb_retry_budget_create(RATIO, WINDOW_MS);
    GRand *random = g_rand_new_with_seed(5);
    budget_oracle_arrival(oracle, "again", 0);
    for (int tick = 0; tick < SECONDS * 10; tick++) {
        int64_t now_ms = 1000000 + tick * 100;
        for (int i = 0; i < PER_S / 10; i++) {
            wb_retry_budget_request(budget, now_ms);
            budget_oracle_request(oracle, now_ms);
        }
        for (int i = 0; i < g_rand_int_range(random, 0, 8); i++) {
            if (wb_retry_budget_take(budget, SHARE, now_ms)) {
                budget_oracle_arrival(oracle, "again", now_ms);
            }
        }
    }
    budget_worst_t worst = budget_oracle_worst(oracle);
    g_test_message("%u resends for %u requests, %.1f allowed", worst.repeats, worst.requests,
                   worst.allowed);
    g_assert_cmpfloat(worst.excess, <=, 0);
    g_rand_free(random);
    wb_retry_budget_free(budget);
    budget_oracle_free(oracle);
}

static void tests_add(void) {
    g_test_add_func("/retry-budget/every-window", test_retry_budget);
}

UNIT_TEST_MAIN(tests_add)
