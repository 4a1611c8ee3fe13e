/* A gateway admits what a tenant's limit leaves it, whether the book is reached or not. */
#include "unit.h"

#include "quota/quota_limiter.h"

#define NODES 10

static wb_tenant_t limited(void) {
    return (wb_tenant_t){.name = "north",
                         .rank = WB_TENANT_NO_PRIORITY,
                         .unit = WB_QUOTA_TOKENS,
                         .rate_per_s = 100000,
                         .burst = 100000};
}

/* Asks each 10 ms for so long. Returns the share that was admitted. */
static double ask_for(wb_quota_limiter_t *gate, const wb_tenant_t *tenant, int64_t from_ms,
                      int64_t for_ms) {
    unsigned asked = 0;
    unsigned admitted = 0;
    for (int64_t now_ms = from_ms; now_ms < from_ms + for_ms; now_ms += 10) {
        asked++;
        admitted +=
            wb_quota_limiter_admit(gate, tenant, WB_QUOTA_OTHER_CLASSES, 1000, NODES, now_ms).admitted;
    }
    return (double)admitted / asked;
}

static void test_all_is_admitted(void) {
    wb_quota_limiter_t *gate = wb_quota_limiter_create();
    wb_tenant_t tenant = limited();
    wb_tenant_t unlimited = {.name = "south"};
    wb_quota_limiter_set_connected(gate, TRUE);
    g_assert_cmpfloat(ask_for(gate, &tenant, 1000, 5000), ==, 1);
    wb_quota_limiter_set_connected(gate, FALSE);
    g_assert_cmpfloat(ask_for(gate, &unlimited, 6000, 5000), ==, 1);
    wb_quota_limiter_free(gate);
}

/* The told share is admitted by cost, and no longer told means admitted again. */
static void test_share_is_kept(void) {
    wb_quota_limiter_t *gate = wb_quota_limiter_create();
    wb_tenant_t tenant = limited();
    wb_quota_share_t share = {"north", WB_QUOTA_OTHER_CLASSES, 0.25};
    wb_quota_limiter_set_connected(gate, TRUE);
    ask_for(gate, &tenant, 0, 1000);
    wb_quota_limiter_set_shares(gate, &share, 1, 1000);
    double admitted = ask_for(gate, &tenant, 1000, 10000);
    g_assert_cmpfloat(admitted, >, 0.24);
    g_assert_cmpfloat(admitted, <, 0.26);
    wb_quota_limiter_set_shares(gate, NULL, 0, 11000);
    g_assert_cmpfloat(ask_for(gate, &tenant, 11000, 1000), ==, 1);
    wb_quota_limiter_free(gate);
}

/* The time that a refused caller is told comes true: then a request of its cost is admitted. */
static void test_retry_comes_true(void) {
    wb_quota_limiter_t *gate = wb_quota_limiter_create();
    wb_tenant_t tenant = limited();
    wb_quota_share_t share = {"north", WB_QUOTA_OTHER_CLASSES, 0.2};
    unsigned kept = 0;
    unsigned told = 0;
    wb_quota_limiter_set_connected(gate, TRUE);
    ask_for(gate, &tenant, 0, 20000);
    wb_quota_limiter_set_shares(gate, &share, 1, 20000);
    int64_t due_ms = 0;
    for (int64_t now_ms = 20000; now_ms < 40000; now_ms += 10) {
        wb_quota_decision_t verdict =
            wb_quota_limiter_admit(gate, &tenant, WB_QUOTA_OTHER_CLASSES, 1000, NODES, now_ms);
        if (!verdict.admitted && due_ms == 0) {
            due_ms = now_ms + verdict.retry_ms;
            told++;
        } else if (verdict.admitted && due_ms != 0) {
            kept += now_ms <= due_ms + 10;
            due_ms = 0;
        }
    }
    g_assert_cmpuint(told, >, 100);
    g_assert_cmpuint(kept, >=, told - 1);
    wb_quota_limiter_free(gate);
}

/* Without the book a tenant keeps what it asked for lately and half as much again; one that asks
 * for more is held there. */
static void test_alone(void) {
    wb_quota_limiter_t *gate = wb_quota_limiter_create();
    wb_tenant_t tenant = limited();
    tenant.rate_per_s = 20000; /* an equal share is small beside what is asked here */
    wb_quota_limiter_set_connected(gate, TRUE);
    for (int64_t now_ms = 0; now_ms < 40000; now_ms += 100) {
        wb_quota_limiter_admit(gate, &tenant, WB_QUOTA_OTHER_CLASSES, 1000, NODES, now_ms);
    }
    wb_quota_limiter_set_connected(gate, FALSE);
    unsigned admitted = 0;
    for (int64_t now_ms = 40000; now_ms < 50000; now_ms += 100) {
        admitted +=
            wb_quota_limiter_admit(gate, &tenant, WB_QUOTA_OTHER_CLASSES, 1000, NODES, now_ms).admitted;
    }
    g_assert_cmpuint(admitted, ==, 100);
    admitted = 0;
    for (int64_t now_ms = 50000; now_ms < 60000; now_ms += 10) {
        admitted +=
            wb_quota_limiter_admit(gate, &tenant, WB_QUOTA_OTHER_CLASSES, 1000, NODES, now_ms).admitted;
    }
    g_assert_cmpuint(admitted, >, 130);
    g_assert_cmpuint(admitted, <, 175);
    wb_quota_limiter_free(gate);
}

/* Who shares the limit isn't known yet: of an equal part of it this node has nothing, where all of
 * it would be spent once at each node that starts. */
static void test_alone_at_start(void) {
    wb_quota_limiter_t *gate = wb_quota_limiter_create();
    wb_tenant_t tenant = limited();
    unsigned admitted = 0;
    tenant.rate_per_s = 100000;
    wb_quota_limiter_set_connected(gate, FALSE);
    for (int64_t now_ms = 0; now_ms < 10000; now_ms += 100) {
        admitted +=
            wb_quota_limiter_admit(gate, &tenant, WB_QUOTA_OTHER_CLASSES, 1000, 0, now_ms).admitted;
    }
    g_assert_cmpuint(admitted, <=, 1); /* a bucket holds one unit at least */
    wb_quota_limiter_free(gate);
}

/* What didn't run is given back in the next report. */
static void test_uses(void) {
    wb_quota_limiter_t *gate = wb_quota_limiter_create();
    wb_tenant_t tenant = limited();
    wb_quota_limiter_set_connected(gate, TRUE);
    ask_for(gate, &tenant, 0, 100);
    wb_quota_limiter_adjust(gate, "north", WB_QUOTA_OTHER_CLASSES, -3000);
    GArray *uses = wb_quota_limiter_take_usage(gate);
    g_assert_cmpuint(uses->len, ==, 1);
    g_assert_cmpfloat(g_array_index(uses, wb_quota_usage_t, 0).asked, ==, 10000);
    g_assert_cmpfloat(g_array_index(uses, wb_quota_usage_t, 0).admitted, ==, 7000);
    g_array_unref(uses);
    uses = wb_quota_limiter_take_usage(gate);
    g_assert_cmpuint(uses->len, ==, 0);
    g_array_unref(uses);
    wb_quota_limiter_adjust(gate, "nobody", WB_QUOTA_OTHER_CLASSES, 100);
    wb_quota_limiter_sweep(gate, 1000000);
    wb_quota_limiter_free(gate);
}

static void tests_add(void) {
    g_test_add_func("/quota-gate/all-is-admitted", test_all_is_admitted);
    g_test_add_func("/quota-gate/share-is-kept", test_share_is_kept);
    g_test_add_func("/quota-gate/retry-comes-true", test_retry_comes_true);
    g_test_add_func("/quota-gate/alone", test_alone);
    g_test_add_func("/quota-gate/alone-at-start", test_alone_at_start);
    g_test_add_func("/quota-gate/uses", test_uses);
}

UNIT_TEST_MAIN(tests_add)
