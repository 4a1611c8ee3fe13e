/* Guards against retries that exceed the retry budget in any window, also over several nodes and
 * with delayed arrivals. */
#include "unit.h"

#include "harness/budget_oracle.h"
#include "request/retry_budget.h"

#define RATIO 0.2
#define WINDOW_MS 10000

/* The bound holds in every window of steady traffic with many failures. */
static void test_retry_budget(void) {
    enum { SECONDS = 60, PER_S = 20, SHARE = 7 };
    budget_oracle_t *oracle = budget_oracle_create(RATIO, SHARE, WINDOW_MS);
    wb_retry_budget_t *budget = wb_retry_budget_create(RATIO, WINDOW_MS);
    GRand *random = g_rand_new_with_seed(5);
    budget_oracle_arrival(oracle, "again", 0);
    for (int tick = 0; tick < SECONDS * 10; tick++) {
        int64_t now_ms = 1000000 + tick * 100;
        for (int i = 0; i < PER_S / 10; i++) {
            wb_retry_budget_note_request(budget, now_ms);
            budget_oracle_request(oracle, now_ms);
        }
        for (int i = 0; i < g_rand_int_range(random, 0, 8); i++) {
            if (wb_retry_budget_take(budget, SHARE, now_ms)) {
                budget_oracle_arrival(oracle, "again", now_ms);
            }
        }
    }
    budget_window_t worst = budget_oracle_worst_window(oracle);
    g_test_message("%u resends for %u requests, %.1f allowed", worst.repeats, worst.requests,
                   worst.allowed);
    g_assert_cmpfloat(worst.excess, <=, 0);
    g_rand_free(random);
    wb_retry_budget_free(budget);
    budget_oracle_free(oracle);
}

/* Nodes with bursts of traffic, each retrying whenever allowed. Requests take up to half a second
 * from clients to nodes, and from nodes to engines. */
static void nodes_run(guint32 seed, budget_window_t *worst) {
    enum {
        NODES = 5,
        SHARE = 4,
        DURATION_MS = 90000,
        STEP_MS = 20,
        DELAY_MS = 500,
        BURST_MS = 800
    };
    GRand *random = g_rand_new_with_seed(seed);
    wb_retry_budget_t *budgets[NODES];
    int rates[NODES] = {0}; /* requests in a hundred steps */
    budget_oracle_t *oracle = budget_oracle_create(RATIO, NODES * SHARE, WINDOW_MS);
    budget_oracle_arrival(oracle, "again", 0);
    for (int node = 0; node < NODES; node++) {
        budgets[node] = wb_retry_budget_create(RATIO, WINDOW_MS);
    }
    for (int64_t now_ms = 50000; now_ms < 50000 + DURATION_MS; now_ms += STEP_MS) {
        int node = g_rand_int_range(random, 0, NODES);
        if (g_rand_int_range(random, 0, BURST_MS / STEP_MS) == 0) {
            rates[node] = g_rand_boolean(random) ? g_rand_int_range(random, 0, 300) : 0;
        }
        for (node = 0; node < NODES; node++) {
            for (int due = rates[node] - g_rand_int_range(random, 0, 100); due > 0; due -= 100) {
                wb_retry_budget_note_request(budgets[node], now_ms);
                budget_oracle_request(oracle, now_ms - g_rand_int_range(random, 0, DELAY_MS));
            }
            while (wb_retry_budget_take(budgets[node], SHARE, now_ms)) {
                budget_oracle_arrival(oracle, "again",
                                      now_ms + g_rand_int_range(random, 0, DELAY_MS));
            }
        }
    }
    *worst = budget_oracle_worst_window(oracle);
    budget_oracle_free(oracle);
    for (int node = 0; node < NODES; node++) {
        wb_retry_budget_free(budgets[node]);
    }
    g_rand_free(random);
}

static void test_nodes_together(void) {
    for (guint32 seed = 1; seed <= 40; seed++) {
        budget_window_t worst;
        nodes_run(seed, &worst);
        g_test_message("seed %u: %u for %u requests, %.1f allowed", seed, worst.repeats,
                       worst.requests, worst.allowed);
        g_assert_cmpfloat(worst.excess, <=, 0);
    }
}

/* The budget is usable: steady traffic gets four fifths of the ratio and the whole share in each
 * window, and a new burst gets its share at once. */
static void test_is_usable(void) {
    wb_retry_budget_t *budget = wb_retry_budget_create(RATIO, WINDOW_MS);
    int taken = 0;
    for (int64_t now_ms = 100000; now_ms < 130000; now_ms += 50) {
        wb_retry_budget_note_request(budget, now_ms);
        taken += now_ms >= 120000 && wb_retry_budget_take(budget, 7, now_ms);
    }
    g_assert_cmpint(taken, >=, 7 + (int)(0.8 * RATIO * 200));
    for (int i = 0; i < 7; i++) {
        g_assert_true(wb_retry_budget_take(budget, 7, 200000));
    }
    g_assert_false(wb_retry_budget_take(budget, 7, 200000));
    wb_retry_budget_free(budget);
}

/* The first retry may reach its engine half a second late, and the next one at once: both lie
 * within the bound. */
static void test_late_arrival(void) {
    for (int64_t first_ms = 100000; first_ms < 100500; first_ms += 10) {
        wb_retry_budget_t *budget = wb_retry_budget_create(RATIO, WINDOW_MS);
        g_assert_true(wb_retry_budget_take(budget, 1, first_ms));
        int64_t next_ms = first_ms;
        while (!wb_retry_budget_take(budget, 1, next_ms)) {
            next_ms += 10;
        }
        g_assert_cmpint(next_ms - first_ms, >=, WINDOW_MS + 500);
        g_assert_cmpint(next_ms - first_ms, <=, WINDOW_MS + 1000);
        wb_retry_budget_free(budget);
    }
}

static void tests_add(void) {
    g_test_add_func("/retry-budget/every-window", test_retry_budget);
    g_test_add_func("/retry-budget/nodes-together", test_nodes_together);
    g_test_add_func("/retry-budget/late-arrival", test_late_arrival);
    g_test_add_func("/retry-budget/is-usable", test_is_usable);
}

UNIT_TEST_MAIN(tests_add)
