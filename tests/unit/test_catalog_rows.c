/* Guards against odd configurations that are taken, or that overflow, and sound ones that aren't.
 */
#include "unit.h"

#include "../../platform/platform.h"

#include <string.h>

#define DEEP_MAX 30000
#define ROUTE "\"host\":\"a.example\",\"pathPrefix\":\"/x/\",\"service\":\"s\""

static wb_catalog_t *parse(const char *text) {
    wb_error_t error = {0};
    wb_catalog_t *catalog = wb_platform_catalog_parse((const guchar *)text, strlen(text), &error);
    g_assert_true((catalog == NULL) == (*error.message != '\0'));
    return catalog;
}

static void assert_refused(const char *text) {
    g_test_message("%.80s", text);
    g_assert_null(parse(text));
}

/* A configuration with these members after its version, routes and services. */
static char *with_members(const char *members) {
    return g_strdup_printf("{\"version\":7,\"routes\":[],\"services\":[]%s}", members);
}

static char *with_route(const char *members) {
    return g_strdup_printf("{\"version\":7,\"routes\":[{" ROUTE "%s}],\"services\":[]}", members);
}

static char *with_service(const char *members) {
    return g_strdup_printf("{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"s\"%s}]}",
                           members);
}

static void assert_all_refused(char *(*make)(const char *), const char *const *members,
                               size_t count) {
    for (size_t i = 0; i < count; i++) {
        g_autofree char *text = make(members[i]);
        assert_refused(text);
    }
}

static void test_no_configurations(void) {
    static const char *const texts[] = {
        "",
        "null",
        "[]",
        "5",
        "\"text\"",
        "{",
        "{}",
        "{\"version\":7}",
        "{\"version\":7,\"routes\":[]}",
        "{\"version\":7,\"services\":[]}",
        "{\"routes\":[],\"services\":[]}",
        "{\"version\":\"7\",\"routes\":[],\"services\":[]}",
        "{\"version\":null,\"routes\":[],\"services\":[]}",
        "{\"version\":-7,\"routes\":[],\"services\":[]}",
        "{\"version\":9223372036854775807,\"routes\":[],\"services\":[]}",
        "{\"version\":1e300,\"routes\":[],\"services\":[]}",
        "{\"version\":1e999,\"routes\":[],\"services\":[]}",
        "{\"version\":99999999999999999999,\"routes\":[],\"services\":[]}",
        "{\"version\":7,\"routes\":{},\"services\":[]}",
        "{\"version\":7,\"routes\":[null],\"services\":[]}",
        "{\"version\":7,\"routes\":[[]],\"services\":[]}",
        "{\"version\":7,\"routes\":[{}],\"services\":[]}",
        "{\"version\":7,\"routes\":[],\"services\":{}}",
        "{\"version\":7,\"routes\":[],\"services\":[{}]}",
        "{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"\"}]}",
        "{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"a\\u0000b\"}]}",
        "{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"a\\nb\"}]}",
        "{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"\xff\"}]}"};
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
        assert_refused(texts[i]);
    g_autofree char *name = g_strnfill(201, 'n');
    g_autofree char *member = g_strdup_printf(",\"tenants\":[{\"name\":\"%s\"}]", name);
    g_autofree char *text = with_members(member);
    assert_refused(text);
}

static void test_odd_members(void) {
    static const char *const members[] = {",\"limits\":5",
                                          ",\"limits\":{\"maxHeaderBytes\":-1}",
                                          ",\"limits\":{\"maxBodyBytes\":\"4\"}",
                                          ",\"limits\":{\"headerTimeoutMs\":-1e300}",
                                          ",\"limits\":{\"idleTimeoutMs\":[]}",
                                          ",\"tenants\":5",
                                          ",\"tenants\":[5]",
                                          ",\"tenants\":[{}]",
                                          ",\"tenants\":[{\"name\":\"t\",\"ratePerS\":-1}]",
                                          ",\"tenants\":[{\"name\":\"t\",\"apiKeys\":\"k\"}]",
                                          ",\"tenants\":[{\"name\":\"t\",\"allowedRegions\":{}}]"};
    static const char *const route_members[] = {
        ",\"name\":5",
        ",\"routeType\":{}",
        ",\"resumable\":1",
        ",\"timeoutMs\":-1",
        ",\"timeoutMs\":\"long\"",
        ",\"targetLatencyMs\":-5",
        ",\"priority\":-9223372036854775808",
        ",\"maxAttempts\":[1]",
        ",\"trafficSplit\":{}",
        ",\"trafficSplit\":[5]",
        ",\"trafficSplit\":[{\"service\":\"s\",\"weight\":-1}]",
        ",\"trafficSplit\":[{\"weight\":1}]"};
    static const char *const service_members[] = {
        ",\"maxConnections\":-1",
        ",\"coldPerS\":\"2\"",
        ",\"engine\":5",
        ",\"engine\":{\"models\":{}}",
        ",\"engine\":{\"models\":[{}]}",
        ",\"engine\":{\"models\":[{\"name\":\"m\",\"loadS\":-1}]}"};
    assert_all_refused(with_members, members, G_N_ELEMENTS(members));
    assert_all_refused(with_route, route_members, G_N_ELEMENTS(route_members));
    assert_all_refused(with_service, service_members, G_N_ELEMENTS(service_members));
}

static void test_deep(void) {
    static const char *const openings[] = {"[", "{\"a\":"};
    for (size_t i = 0; i < G_N_ELEMENTS(openings); i++) {
        for (int depth = 50; depth <= DEEP_MAX; depth *= 5) {
            g_autoptr(GString) text = g_string_new("{\"version\":7,\"services\":[],\"routes\":");
            for (int j = 0; j < depth; j++)
                g_string_append(text, openings[i]);
            assert_refused(text->str);
        }
    }
}

/* Guards against times that overflow when they are added to a clock, and undefined conversions. */
static void test_large_numbers(void) {
    static const char *const numbers[] = {"1e18", "1e300", "9223372036854775807", "4294967296.5"};
    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
        g_autofree char *text = g_strdup_printf(
            "{\"version\":7,\"routes\":[{" ROUTE ",\"timeoutMs\":%1$s,\"targetLatencyMs\":%1$s,"
            "\"targetGapMs\":%1$s,\"priority\":%1$s,\"maxAttempts\":%1$s}],\"services\":[{\"name\":"
            "\"s\",\"maxConnections\":%1$s,\"coldStartS\":%1$s,\"engine\":{\"adapterSlots\":%1$s,"
            "\"loadsPerS\":%1$s,\"models\":[{\"name\":\"m\",\"adapters\":%1$s,\"loadS\":%1$s},"
            "{\"name\":\"n\",\"diskS\":%1$s,\"loadS\":%1$s}]}}],\"limits\":{\"maxHeaderBytes\":%1$"
            "s,"
            "\"maxBodyBytes\":%1$s,\"headerTimeoutMs\":%1$s,\"idleTimeoutMs\":%1$s}}",
            numbers[i]);
        wb_catalog_t *catalog = parse(text);
        g_assert_nonnull(catalog);
        const wb_route_t *route = wb_catalog_route(catalog, "a.example", "/x/y");
        const wb_service_t *service = wb_catalog_service(catalog, "s");
        g_assert_cmpint(route->timeout_ms, ==, G_MAXINT);
        g_assert_cmpint(route->target_latency_ms, ==, G_MAXINT);
        g_assert_cmpint(route->max_attempts, ==, G_MAXINT);
        g_assert_cmpint(route->rank, ==, G_MAXINT);
        g_assert_cmpint(service->cold_start_ms, ==, G_MAXINT);
        g_assert_cmpint(service->store_load_ms, ==, G_MAXINT);
        g_assert_cmpint(service->max_connections, ==, G_MAXINT);
        g_assert_cmpint(catalog->limits.idle_timeout_ms, ==, G_MAXINT);
        g_assert_cmpint(catalog->limits.head_timeout_ms, ==, G_MAXINT);
        g_assert_cmpuint(catalog->limits.head_bytes, ==, G_MAXINT);
        wb_catalog_unref(catalog);
    }
}

/* What is null or unknown is as good as absent; numbers may be reals. */
static void test_sound(void) {
    wb_catalog_t *catalog = parse(
        "{\"version\":7.0,\"unheardOf\":[{\"x\":1}],\"routes\":[{" ROUTE ",\"name\":null,"
        "\"timeoutMs\":800.5,\"trafficSplit\":[],\"allowedRegions\":null,\"maxAttempts\":null}],"
        "\"services\":[{\"name\":\"s\",\"engine\":null}],\"limits\":null,\"tenants\":null}");
    g_assert_nonnull(catalog);
    g_assert_cmpint(catalog->version, ==, 7);
    g_assert_null(catalog->tenants);
    const wb_route_t *route = wb_catalog_route(catalog, "a.example", "/x/y");
    g_assert_cmpint(route->timeout_ms, ==, 800);
    g_assert_cmpint(route->max_attempts, ==, 1);
    g_assert_cmpuint(route->parts->len, ==, 1);
    g_assert_cmpint(catalog->limits.head_bytes, ==, 16384);
    wb_catalog_unref(catalog);
}

static void tests_add(void) {
    g_test_add_func("/catalog-rows/no-configurations", test_no_configurations);
    g_test_add_func("/catalog-rows/odd-members", test_odd_members);
    g_test_add_func("/catalog-rows/deep", test_deep);
    g_test_add_func("/catalog-rows/large-numbers", test_large_numbers);
    g_test_add_func("/catalog-rows/sound", test_sound);
}

UNIT_TEST_MAIN(tests_add)
