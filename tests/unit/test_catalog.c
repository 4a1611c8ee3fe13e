/* Which route and which service a request gets. */
#include "unit.h"

#include "wickbridge/catalog.h"

#include <string.h>

static wb_catalog_t *catalog_create(void) {
    wb_catalog_t *catalog = wb_catalog_create(1);
    wb_route_t *all = wb_catalog_add_route(catalog, "all", "A.example", "/");
    wb_route_t *deep = wb_catalog_add_route(catalog, "deep", "a.example", "/a/b/");
    wb_route_t *shallow = wb_catalog_add_route(catalog, "shallow", "a.example", "/a/");
    wb_route_add_target(all, "one", 1);
    wb_route_add_target(deep, "one", 70);
    wb_route_add_target(deep, "two", 25);
    wb_route_add_target(deep, "three", 5);
    wb_route_add_target(shallow, "one", 0);
    wb_catalog_seal(catalog);
    return catalog;
}

static void route_is(const wb_catalog_t *catalog, const char *host, const char *path,
                     const char *name) {
    const wb_route_t *route = wb_catalog_route(catalog, host, path);
    g_assert_cmpstr(route != NULL ? route->name : NULL, ==, name);
}

static void test_longest_prefix(void) {
    wb_catalog_t *catalog = catalog_create();
    route_is(catalog, "a.example", "/a/b/c", "deep");
    route_is(catalog, "a.example:8080", "/a/bc", "shallow");
    route_is(catalog, "A.EXAMPLE", "/x", "all");
    route_is(catalog, "a.example", "/x?y=/a/b/", "all");
    route_is(catalog, "b.example", "/a/", NULL);
    g_assert_null(wb_route_pick_service(wb_catalog_route(catalog, "a.example", "/a/x")));
    wb_catalog_unref(catalog);
}

/* Shares of a split are met closely in any 200 requests, not only in the long run. */
static void test_split_shares(void) {
    wb_catalog_t *catalog = catalog_create();
    wb_route_t *route = wb_catalog_route(catalog, "a.example", "/a/b/c");
    for (int window = 0; window < 50; window++) {
        int two = 0;
        int three = 0;
        for (int i = 0; i < 200; i++) {
            const char *service = wb_route_pick_service(route);
            two += strcmp(service, "two") == 0;
            three += strcmp(service, "three") == 0;
        }
        g_assert_cmpint(ABS(two - 50), <=, 3);
        g_assert_cmpint(ABS(three - 10), <=, 3);
    }
    wb_catalog_unref(catalog);
}

static void tests_add(void) {
    g_test_add_func("/catalog/longest-prefix", test_longest_prefix);
    g_test_add_func("/catalog/split-shares", test_split_shares);
}

UNIT_TEST_MAIN(tests_add)
