/* Guards against a lease that nobody can hold any more after a row that can't be read, against two
 * holders then, and against tokens that engines refuse. */
#include "unit.h"

#include "wickbridge/lease.h"
#include "wickbridge/store_version.h"

#include <string.h>

#define DURATION_MS 1600
#define MARGIN_MS 200
#define STEP_MS 10
#define GIVE_UP_MS 20000
#define ERA 3

static const wb_lease_settings_t settings_a = {"a",  "1.1.1.1:1", DURATION_MS, 500,
                                               3000, MARGIN_MS,   900};
static const wb_lease_settings_t settings_b = {"b",  "1.1.1.2:1", DURATION_MS, 500,
                                               3000, MARGIN_MS,   900};

/* Writes if a write is due and the row still has the version that it expects. */
static gboolean lease_write(wb_lease_t *lease, int64_t *version, int64_t now_ms) {
    wb_lease_row_t row;
    int64_t expected;
    if (!wb_lease_next_write(lease, now_ms, &row, &expected))
        return FALSE;
    if (expected != *version) {
        wb_lease_on_not_written(lease, row.beat, now_ms);
        return FALSE;
    }
    wb_lease_on_written(lease, row.beat, ++*version, now_ms);
    return TRUE;
}

static int64_t taken_over_ms(wb_lease_t *lease, int64_t *version, int64_t from_ms) {
    for (int64_t now_ms = from_ms; now_ms < from_ms + GIVE_UP_MS; now_ms += STEP_MS)
        if (lease_write(lease, version, now_ms))
            return now_ms;
    return G_MAXINT64;
}

/* A lease that `a` has held since 100 ms, as of a version. */
static wb_lease_t *held_lease(int64_t *version) {
    wb_lease_t *lease = wb_lease_create(&settings_a);
    *version = wb_store_version(ERA, 40);
    wb_lease_on_row(lease, NULL, wb_store_version(ERA, 0), 100);
    wb_lease_row_t row;
    int64_t expected;
    g_assert_true(wb_lease_next_write(lease, 100, &row, &expected));
    wb_lease_on_written(lease, row.beat, *version, 100);
    g_assert_true(wb_lease_is_held(lease, 100));
    return lease;
}

static void test_holder_goes_on(void) {
    int64_t version;
    wb_lease_t *lease = held_lease(&version);
    uint64_t token = wb_lease_token(lease);
    version++;
    wb_lease_on_unreadable_row(lease, version, 300);
    g_assert_true(wb_lease_is_held(lease, 300));
    g_assert_true(lease_write(lease, &version, 300));
    g_assert_true(wb_lease_is_held(lease, 300 + DURATION_MS - MARGIN_MS - 1));
    g_assert_cmpuint(wb_lease_token(lease), ==, token);
    wb_lease_free(lease);
}

/* Another node waits until whoever wrote the row can't hold the lease any more. Any engine may have
 * had orders. */
static void test_others_wait(void) {
    int64_t version;
    wb_lease_t *a = held_lease(&version);
    wb_lease_t *b = wb_lease_create(&settings_b);
    wb_lease_on_row(b, wb_lease_known_row(a), version, 110);
    version++;
    wb_lease_on_unreadable_row(b, version, 1000);
    int64_t taken_ms = taken_over_ms(b, &version, 1000);
    g_assert_cmpint(taken_ms, >=, 1000 + DURATION_MS + MARGIN_MS);
    g_assert_cmpint(taken_ms, <, 1000 + GIVE_UP_MS);
    g_assert_cmpuint(wb_lease_token(b), >, wb_lease_token(a));
    g_assert_cmpint(wb_lease_blocked_ms(b, "e1", taken_ms), >=, 3000);
    wb_lease_free(a);
    wb_lease_free(b);
}

/* A process that knows no earlier row takes a token above those that may have been given out. */
static void test_new_process(void) {
    int64_t version = wb_store_version(ERA, 90);
    wb_lease_t *lease = wb_lease_create(&settings_b);
    wb_lease_on_unreadable_row(lease, version, 1000);
    wb_lease_on_row(lease, NULL, wb_store_version(ERA, 0), 1000); /* end of a full read */
    int64_t taken_ms = taken_over_ms(lease, &version, 1000);
    g_assert_cmpint(taken_ms, >=, 1000 + DURATION_MS + MARGIN_MS);
    g_assert_cmpint(taken_ms, <, 1000 + GIVE_UP_MS);
    g_assert_cmpuint(wb_lease_token(lease), >, ((uint64_t)ERA << 32) + 90);
    wb_lease_free(lease);
}

/* Guards against a token after which none is higher, and one that the orders can't name. */
static void test_token_too_high(void) {
    static const uint64_t tokens[] = {G_MAXUINT64, G_MAXUINT64 - 1, G_MAXINT64, UINT64_C(1) << 53};
    for (size_t i = 0; i < G_N_ELEMENTS(tokens); i++) {
        int64_t version = wb_store_version(ERA, 90);
        wb_lease_t *lease = wb_lease_create(&settings_b);
        wb_lease_row_t row = {.holder = (char *)"x", .address = (char *)"?", .token = tokens[i]};
        row.era = ERA;
        wb_lease_on_row(lease, &row, version, 1000);
        int64_t taken_ms = taken_over_ms(lease, &version, 1000);
        g_assert_cmpint(taken_ms, <, 1000 + GIVE_UP_MS);
        g_assert_true(wb_lease_is_held(lease, taken_ms));
        g_assert_cmpuint(wb_lease_token(lease), <, UINT64_C(1) << 53);
        wb_lease_free(lease);
    }
}

/* The next row that can be read counts as always. */
static void test_readable_again(void) {
    int64_t version;
    wb_lease_t *a = held_lease(&version);
    wb_lease_t *b = wb_lease_create(&settings_b);
    wb_lease_on_unreadable_row(b, version, 110);
    wb_lease_row_t row = {0};
    wb_lease_row_copy(&row, wb_lease_known_row(a));
    row.era = ERA;
    wb_lease_on_row(b, &row, ++version, 300);
    wb_lease_on_unreadable_row(b, version - 1, 310); /* older than what is known */
    g_assert_cmpstr(wb_lease_known_row(b)->holder, ==, "a");
    g_assert_cmpint(wb_lease_confirmed_version(b), ==, version);
    g_assert_cmpint(wb_lease_takeover_at_ms(b), ==, 300 + DURATION_MS + MARGIN_MS);
    wb_lease_row_clear(&row);
    wb_lease_free(a);
    wb_lease_free(b);
}

static void tests_add(void) {
    g_test_add_func("/lease-unreadable/holder-goes-on", test_holder_goes_on);
    g_test_add_func("/lease-unreadable/others-wait", test_others_wait);
    g_test_add_func("/lease-unreadable/new-process", test_new_process);
    g_test_add_func("/lease-unreadable/token-too-high", test_token_too_high);
    g_test_add_func("/lease-unreadable/readable-again", test_readable_again);
}

UNIT_TEST_MAIN(tests_add)
