/* Which engines a lease's holder may order, and which its successor must leave alone for how long.
 */
#include "unit.h"

#include "control/lease_grants.h"

#include <string.h>

#define QUIET_MS 3200

/* Writes a row with this beat; it is in the store when `counts`. */
static void row_write(wb_lease_grants_t *grants, wb_lease_row_t *row, uint64_t beat,
                      gboolean counts, int64_t now_ms) {
    wb_lease_row_t next = {.beat = beat};
    wb_lease_grants_fill_row(grants, &next, now_ms);
    wb_lease_row_copy(row, &next);
    if (counts) {
        wb_lease_grants_on_written(grants, beat);
    }
}

static gboolean has_name(char **names, guint count, const char *name) {
    for (guint i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* An order is given only once a row that names its engine is known to be in the store. */
static void test_order_after_row(void) {
    wb_lease_row_t row = {0};
    wb_lease_grants_t *grants = wb_lease_grants_create(QUIET_MS);
    wb_lease_grants_begin(grants, NULL, FALSE, 0, 100);
    row_write(grants, &row, 1, TRUE, 100);
    g_assert_false(wb_lease_grants_has_pending(grants));
    g_assert_cmpint(wb_lease_grants_request(grants, "e1", 110), ==, -1);
    g_assert_true(wb_lease_grants_has_pending(grants));
    row_write(grants, &row, 2, FALSE, 110); /* its answer is lost */
    g_assert_cmpint(wb_lease_grants_request(grants, "e1", 120), ==, -1);
    row_write(grants, &row, 3, TRUE, 500);
    g_assert_true(has_name(row.granted, row.granted_count, "e1"));
    g_assert_cmpint(wb_lease_grants_request(grants, "e1", 510), ==, 0);
    g_assert_cmpint(wb_lease_grants_request(grants, "e2", 510), ==, -1);
    wb_lease_row_clear(&row);
    wb_lease_grants_free(grants);
}

/* An engine is named for the quiet time after its last order, and must be named anew after that. */
static void test_named_while_not_quiet(void) {
    wb_lease_row_t row = {0};
    wb_lease_grants_t *grants = wb_lease_grants_create(QUIET_MS);
    wb_lease_grants_begin(grants, NULL, FALSE, 0, 0);
    wb_lease_grants_request(grants, "e1", 10);
    row_write(grants, &row, 1, TRUE, 10);
    g_assert_cmpint(wb_lease_grants_request(grants, "e1", 1000), ==, 0);
    row_write(grants, &row, 2, TRUE, 1000 + QUIET_MS - 1);
    g_assert_cmpuint(row.granted_count, ==, 1);
    row_write(grants, &row, 3, FALSE, 1000 + QUIET_MS);
    g_assert_cmpuint(row.granted_count, ==, 0);
    /* Whether that row is in the store isn't known, so the engine can't be ordered any more. */
    g_assert_cmpint(wb_lease_grants_request(grants, "e1", 1000 + QUIET_MS), ==, -1);
    wb_lease_row_clear(&row);
    wb_lease_grants_free(grants);
}

/* A successor leaves alone what the row before names, and says so to its own successor. */
static void test_successor(void) {
    wb_lease_row_t last = {0};
    wb_lease_grants_t *before = wb_lease_grants_create(QUIET_MS);
    wb_lease_grants_begin(before, NULL, FALSE, 0, 0);
    wb_lease_grants_request(before, "e1", 10);
    row_write(before, &last, 1, TRUE, 10);
    wb_lease_row_t row = {0};
    wb_lease_grants_t *after = wb_lease_grants_create(QUIET_MS);
    wb_lease_grants_begin(after, &last, FALSE, 5000, 2000);
    row_write(after, &row, 7, TRUE, 2000);
    g_assert_true(has_name(row.inherited, row.inherited_count, "e1"));
    g_assert_cmpint(wb_lease_grants_request(after, "e1", 2000), ==, 3000);
    g_assert_cmpint(wb_lease_grants_blocked_ms(after, "e2", 2000), ==, 0);
    wb_lease_grants_request(after, "e2", 2000);
    row_write(after, &row, 8, TRUE, 2010);
    g_assert_cmpint(wb_lease_grants_request(after, "e2", 2020), ==, 0);
    g_assert_cmpint(wb_lease_grants_request(after, "e1", 5000), ==, 0); /* named since beat 8 */
    wb_lease_row_clear(&row);
    wb_lease_row_clear(&last);
    wb_lease_grants_free(before);
    wb_lease_grants_free(after);
}

/* The same machine's next process goes on at once, but not at engines that it had inherited. */
static void test_same_machine(void) {
    char *granted[] = {"e1"};
    char *inherited[] = {"e2"};
    wb_lease_row_t last = {.has_grants = TRUE,
                           .granted = granted,
                           .granted_count = 1,
                           .inherited = inherited,
                           .inherited_count = 1};
    wb_lease_row_t row = {0};
    wb_lease_grants_t *grants = wb_lease_grants_create(QUIET_MS);
    wb_lease_grants_begin(grants, &last, TRUE, 5000, 1000);
    row_write(grants, &row, 1, TRUE, 1000);
    g_assert_true(has_name(row.granted, row.granted_count, "e1"));
    g_assert_true(has_name(row.inherited, row.inherited_count, "e2"));
    g_assert_cmpint(wb_lease_grants_request(grants, "e1", 1010), ==, 0);
    g_assert_cmpint(wb_lease_grants_request(grants, "e2", 1010), ==, 3990);
    wb_lease_row_clear(&row);
    wb_lease_grants_free(grants);
}

/* A row that was only heard of in short, or that names too many, blocks all engines. */
static void test_unknown_row(void) {
    wb_lease_row_t in_short = {.has_grants = FALSE};
    wb_lease_row_t row = {0};
    wb_lease_grants_t *grants = wb_lease_grants_create(QUIET_MS);
    wb_lease_grants_begin(grants, &in_short, FALSE, 5000, 1000);
    row_write(grants, &row, 1, TRUE, 1000);
    g_assert_true(row.grants_unlisted);
    g_assert_cmpint(wb_lease_grants_request(grants, "e1", 1000), ==, 4000);
    g_assert_cmpint(wb_lease_grants_request(grants, "e1", 4900), ==, 100);
    row_write(grants, &row, 2, TRUE, 5000);
    g_assert_false(row.grants_unlisted);
    g_assert_cmpint(wb_lease_grants_request(grants, "e1", 5000), ==, 0);
    wb_lease_row_clear(&row);
    wb_lease_grants_free(grants);
}

static void tests_add(void) {
    g_test_add_func("/lease-grants/order-after-row", test_order_after_row);
    g_test_add_func("/lease-grants/named-while-not-quiet", test_named_while_not_quiet);
    g_test_add_func("/lease-grants/successor", test_successor);
    g_test_add_func("/lease-grants/same-machine", test_same_machine);
    g_test_add_func("/lease-grants/unknown-row", test_unknown_row);
}

UNIT_TEST_MAIN(tests_add)
