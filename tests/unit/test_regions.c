/* Regions in which requests may be served. */
#include "unit.h"

#include "wickbridge/regions.h"

static void test_regions(void) {
    g_autoptr(GHashTable) regions = wb_zone_regions_parse("a-1=a,a-2=a,b-1=b,,odd,=c");
    g_assert_cmpuint(g_hash_table_size(regions), ==, 3);
    g_assert_cmpstr(g_hash_table_lookup(regions, "a-2"), ==, "a");
    g_assert_null(g_hash_table_lookup(regions, "odd"));
    g_autoptr(GHashTable) none = wb_zone_regions_parse("");
    g_assert_cmpuint(g_hash_table_size(none), ==, 0);
}

static void test_allow(void) {
    static const char *const allowed_regions[] = {"a", "b", NULL};
    static const char *const nowhere[] = {NULL};
    g_assert_true(wb_regions_allow(NULL, "a"));
    g_assert_true(wb_regions_allow(NULL, NULL));
    g_assert_true(wb_regions_allow(allowed_regions, "b"));
    g_assert_false(wb_regions_allow(allowed_regions, "c"));
    g_assert_false(wb_regions_allow(allowed_regions, NULL));
    g_assert_false(wb_regions_allow(nowhere, "a"));
}

static void tests_add(void) {
    g_test_add_func("/homes/regions", test_regions);
    g_test_add_func("/homes/allow", test_allow);
}

UNIT_TEST_MAIN(tests_add)
