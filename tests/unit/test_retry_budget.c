/* Resends stay within the budget in every window. */
#include "unit.h"

#include "request/retry_budget.h"

#include <string.h>

/* In every window of 10 s the resends taken stay within ratio x requests + slack. */
static void test_retry_budget(void) {
    enum { SECONDS = 60, PER_S = 20 };
    static unsigned taken[SECONDS * 10];
    wb_retry_budget_t *budget = wb_retry_budget_create(0.2, 10000);
    GRand *random = g_rand_new_with_seed(5);
    for (int tick = 0; tick < SECONDS * 10; tick++) {
        int64_t now_ms = 1000000 + tick * 100;
        for (int i = 0; i < PER_S / 10; i++)
            wb_retry_budget_request(budget, now_ms);
        for (int i = 0; i < g_rand_int_range(random, 0, 8); i++)
            taken[tick] += wb_retry_budget_take(budget, 7, now_ms) ? 1 : 0;
    }
    for (int begin = 0; begin + 100 <= SECONDS * 10; begin++) {
        unsigned sum = 0;
        for (int tick = begin; tick < begin + 100; tick++)
            sum += taken[tick];
        /* Requests of a window may be counted in the one before it, too. */
        g_assert_cmpfloat(sum, <=, 0.2 * PER_S * 10.5 + 7);
    }
    g_rand_free(random);
    wb_retry_budget_free(budget);
}

static void tests_add(void) {
    g_test_add_func("/retry-budget/every-window", test_retry_budget);
}

UNIT_TEST_MAIN(tests_add)
