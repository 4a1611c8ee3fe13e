/* Which of a tenant's requests go first: loads as on the users' sheet, properties, and an oracle.
 */
#include "unit.h"

#include "quota/quota_limiter.h"

#include <math.h>

enum { LEDGER, CHAT, BATCH, AUDIT, KINDS };

/* A tenant's requests a second by kind, as their shares on the sheet; 7.5 times the usual. */
static void claims_make(wb_quota_claim_t *claims, double times) {
    claims[LEDGER] = (wb_quota_claim_t){wb_quota_class("ledger", 2), 1450 * times, 200, 0};
    claims[CHAT] = (wb_quota_claim_t){wb_quota_class("models", 0), 12600 * times, 1750, 0};
    claims[BATCH] = (wb_quota_claim_t){wb_quota_class("models", 1), 55500 * times, 9800, 0};
    claims[AUDIT] = (wb_quota_claim_t){wb_quota_class("models", 2), 41400 * times, 9700, 0};
}

static double sum_of(const wb_quota_claim_t *claims, size_t count) {
    double sum = 0;
    for (size_t i = 0; i < count; i++) {
        sum += claims[i].share * claims[i].asked_per_s;
    }
    return sum;
}

/* One hot tenant: what is cheap is served whole, the dear kinds alike, all within the limit. */
static void test_hot_tenant(void) {
    wb_quota_claim_t claims[KINDS];
    claims_make(claims, 7.5);
    double limit = 1.8 * 111000;
    wb_quota_order_allocate(claims, KINDS, limit);
    g_assert_cmpfloat_with_epsilon(sum_of(claims, KINDS), limit, 1);
    g_assert_cmpfloat(claims[LEDGER].share, ==, 1);
    g_assert_cmpfloat(claims[CHAT].share, ==, 1);
    g_assert_cmpfloat_with_epsilon(claims[BATCH].share, claims[AUDIT].share, 1e-9);
    /* Requests answered within the same tokens: over twice as many as by chance. */
    double requests = 0;
    double by_chance = 0;
    for (unsigned i = 0; i < KINDS; i++) {
        double asked = claims[i].asked_per_s / claims[i].cost;
        requests += claims[i].share * asked;
        by_chance += limit / (7.5 * 111000) * asked;
    }
    g_assert_cmpfloat(requests, >, 2 * by_chance);
}

/* A limit below what the cheap kinds ask: they share it alike, and the dear ones keep their floor.
 */
static void test_nothing_starves(void) {
    wb_quota_claim_t claims[KINDS];
    claims_make(claims, 20);
    double limit = 30000;
    wb_quota_order_allocate(claims, KINDS, limit);
    double chance = limit / (20 * 110950.0);
    for (unsigned i = 0; i < KINDS; i++) {
        g_assert_cmpfloat(claims[i].share, >, 0.25 * chance);
    }
    g_assert_cmpfloat_with_epsilon(sum_of(claims, KINDS), limit, 1);
    wb_quota_order_allocate(claims, KINDS, 0);
    g_assert_cmpfloat(sum_of(claims, KINDS), ==, 0);
    wb_quota_order_allocate(claims, KINDS, 1e9);
    g_assert_cmpfloat(claims[AUDIT].share, ==, 1);
}

/* A cheap kind that is less urgent doesn't go before a dear one of its service. */
static void test_ranks_are_kept(void) {
    wb_quota_claim_t claims[] = {{wb_quota_class("models", 0), 9000, 9000, 0},
                                 {wb_quota_class("models", 3), 9000, 100, 0}};
    wb_quota_order_allocate(claims, 2, 6000);
    g_assert_cmpfloat(claims[0].share, >=, claims[1].share - 1e-9);
}

/* The most requests that a limit can serve, of kinds that may be cut anywhere above their floors:
 * cheapest first. No order by mean costs serves more. */
static double oracle_requests(const wb_quota_claim_t *claims, size_t count, double limit,
                              double floor) {
    double requests = 0;
    double left = limit;
    gboolean done[8] = {FALSE};
    for (size_t i = 0; i < count; i++) {
        requests += floor * claims[i].asked_per_s / claims[i].cost;
        left -= floor * claims[i].asked_per_s;
    }
    for (size_t round = 0; round < count; round++) {
        size_t best = count;
        for (size_t i = 0; i < count; i++) {
            if (!done[i] && (best == count || claims[i].cost < claims[best].cost)) {
                best = i;
            }
        }
        double units = MIN(left, (1 - floor) * claims[best].asked_per_s);
        requests += units / claims[best].cost;
        left -= units;
        done[best] = TRUE;
    }
    return requests;
}

/* Drawn loads: shares are shares, add up to the limit, rise with it, and serve nearly as many
 * requests as the oracle where ranks don't forbid it. */
static void test_drawn_loads(void) {
    GRand *rand = g_rand_new_with_seed(3);
    for (unsigned round = 0; round < 5000; round++) {
        wb_quota_claim_t claims[5];
        double asked = 0;
        for (unsigned i = 0; i < 5; i++) {
            g_autofree char *service = g_strdup_printf("s%u", i);
            claims[i] =
                (wb_quota_claim_t){wb_quota_class(service, 0), g_rand_double_range(rand, 0, 1e5),
                                   pow(10, g_rand_double_range(rand, 1, 5)), 0};
            asked += claims[i].asked_per_s;
        }
        double limit = g_rand_double_range(rand, 0, 1) * asked;
        wb_quota_order_allocate(claims, 5, limit);
        double requests = 0;
        double shares[5];
        for (unsigned i = 0; i < 5; i++) {
            g_assert_cmpfloat(claims[i].share, >=, 0);
            g_assert_cmpfloat(claims[i].share, <=, 1 + 1e-9);
            shares[i] = claims[i].share;
            requests += claims[i].share * claims[i].asked_per_s / claims[i].cost;
        }
        g_assert_cmpfloat_with_epsilon(sum_of(claims, 5), limit, 1e-3);
        /* Kinds within twice the cost of another share alike, so up to half may be left. */
        g_assert_cmpfloat(requests, >=,
                          0.5 * oracle_requests(claims, 5, limit, 0.35 * limit / asked));
        wb_quota_order_allocate(claims, 5, limit * 1.1);
        for (unsigned i = 0; i < 5; i++) {
            g_assert_cmpfloat(claims[i].share, >=, shares[i] - 1e-9);
        }
    }
    g_rand_free(rand);
}

/* At a gateway: each kind gets what is told of it, and one that isn't named what is told of all. */
static void test_at_the_gate(void) {
    wb_quota_limiter_t *gate = wb_quota_limiter_create();
    wb_tenant_t tenant = {.name = "north", .unit = WB_QUOTA_TOKENS, .rate_per_s = 1e5};
    wb_quota_class_t chat = wb_quota_class("models", 0);
    wb_quota_class_t draft = wb_quota_class("models", 1);
    wb_quota_class_t lookup = wb_quota_class("ledger", 2);
    wb_quota_share_t told[] = {
        {"north", WB_QUOTA_OTHER_CLASSES, 0.3}, {"north", chat, 1}, {"north", draft, 0.1}};
    wb_quota_limiter_set_connected(gate, TRUE);
    wb_quota_limiter_set_shares(gate, told, G_N_ELEMENTS(told), 0);
    unsigned admitted[3] = {0};
    for (int64_t now_ms = 0; now_ms < 10000; now_ms += 10) {
        admitted[0] += wb_quota_limiter_admit(gate, &tenant, chat, 1750, 1, now_ms).admitted;
        admitted[1] += wb_quota_limiter_admit(gate, &tenant, draft, 9800, 1, now_ms).admitted;
        admitted[2] += wb_quota_limiter_admit(gate, &tenant, lookup, 200, 1, now_ms).admitted;
    }
    g_assert_cmpuint(admitted[0], ==, 1000);
    g_assert_cmpuint(admitted[1], >=, 99);
    g_assert_cmpuint(admitted[1], <=, 101);
    g_assert_cmpuint(admitted[2], >=, 299);
    g_assert_cmpuint(admitted[2], <=, 301);
    wb_quota_limiter_free(gate);
}

static void tests_add(void) {
    g_test_add_func("/quota-order/hot-tenant", test_hot_tenant);
    g_test_add_func("/quota-order/nothing-starves", test_nothing_starves);
    g_test_add_func("/quota-order/ranks-are-kept", test_ranks_are_kept);
    g_test_add_func("/quota-order/drawn-loads", test_drawn_loads);
    g_test_add_func("/quota-order/at-the-gate", test_at_the_gate);
}

UNIT_TEST_MAIN(tests_add)
