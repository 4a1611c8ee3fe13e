/* Guards against requests routed to the wrong route or service. */
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

static void assert_route(const wb_catalog_t *catalog, const char *host, const char *path,
                         const char *name) {
    const wb_route_t *route = wb_catalog_route(catalog, host, path);
    g_assert_cmpstr(route != NULL ? route->name : NULL, ==, name);
}

static void test_longest_prefix(void) {
    wb_catalog_t *catalog = catalog_create();
    assert_route(catalog, "a.example", "/a/b/c", "deep");
    assert_route(catalog, "a.example:8080", "/a/bc", "shallow");
    assert_route(catalog, "A.EXAMPLE", "/x", "all");
    assert_route(catalog, "a.example", "/x?y=/a/b/", "all");
    assert_route(catalog, "b.example", "/a/", NULL);
    g_assert_null(wb_route_pick_service(wb_catalog_route(catalog, "a.example", "/a/x")));
    wb_catalog_unref(catalog);
}

/* Weights of split targets hold within any 200 requests, not only in the long run. */
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

/* Guards against requests for a split target of weight 0, and for a service of other routes. */
static void test_split_targets(void) {
    wb_catalog_t *catalog = catalog_create();
    wb_route_t *route = wb_catalog_route(catalog, "a.example", "/a/b/c");
    g_assert_true(wb_route_leads_to(route, "two"));
    g_assert_true(wb_route_leads_to(route, "three"));
    wb_route_add_target(route, "unused", 0);
    g_assert_false(wb_route_leads_to(route, "unused"));
    g_assert_false(wb_route_leads_to(route, "elsewhere"));
    wb_catalog_unref(catalog);
}

static void tests_add(void) {
    g_test_add_func("/catalog/longest-prefix", test_longest_prefix);
    g_test_add_func("/catalog/split-shares", test_split_shares);
    g_test_add_func("/catalog/split-targets", test_split_targets);
}

UNIT_TEST_MAIN(tests_add)
