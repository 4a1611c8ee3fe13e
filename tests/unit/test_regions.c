/* Guards against requests served outside their allowed regions. */
#include "unit.h"

#include "wickbridge/regions.h"

static void test_regions(void) {
    g_autoptr(GHashTable) regions = wb_regions_read("a-1=a,a-2=a,b-1=b,,odd,=c");
    g_assert_cmpuint(g_hash_table_size(regions), ==, 3);
    g_assert_cmpstr(g_hash_table_lookup(regions, "a-2"), ==, "a");
    g_assert_null(g_hash_table_lookup(regions, "odd"));
    g_autoptr(GHashTable) none = wb_regions_read("");
    g_assert_cmpuint(g_hash_table_size(none), ==, 0);
}

static void test_allow(void) {
    static const char *const homes[] = {"a", "b", NULL};
    static const char *const no_regions[] = {NULL};
    g_assert_true(wb_homes_allow(NULL, "a"));
    g_assert_true(wb_homes_allow(NULL, NULL));
    g_assert_true(wb_homes_allow(homes, "b"));
    g_assert_false(wb_homes_allow(homes, "c"));
    g_assert_false(wb_homes_allow(homes, NULL));
    g_assert_false(wb_homes_allow(no_regions, "a"));
}

static void tests_add(void) {
    g_test_add_func("/homes/regions", test_regions);
    g_test_add_func("/homes/allow", test_allow);
}

UNIT_TEST_MAIN(tests_add)
