/* Guards against an oracle of configurations that accepts an outdated version or rejects one that
 * may be in force. */
#include "unit.h"

#include "harness/config_oracle.h"

#define IN_FORCE_MS 2000
#define ROUTES 2

/* Version 0: route 0 leads to a; version 1, at 1000: to b, and route 1 to a or b. */
static config_oracle_t *oracle_make(void) {
    static const char *const first[ROUTES] = {"a", NULL};
    static const char *const second[ROUTES] = {"b", "a,b"};
    config_oracle_t *oracle = config_oracle_create(ROUTES, IN_FORCE_MS);
    config_oracle_write(oracle, first, 0, 10);
    config_oracle_write(oracle, second, 1000, 1010);
    return oracle;
}

static config_verdict_t judge(const config_oracle_t *oracle, guint route, const char *service,
                              int64_t sent_ms) {
    config_outcome_t outcome = {route, service, sent_ms, sent_ms + 5};
    return config_oracle_judge(oracle, &outcome);
}

static void test_moved_route(void) {
    config_oracle_t *oracle = oracle_make();
    g_assert_cmpint(judge(oracle, 0, "a", 500), ==, CONFIG_ALLOWED);
    g_assert_cmpint(judge(oracle, 0, "b", 500), ==, CONFIG_INVALID);
    g_assert_cmpint(judge(oracle, 0, "b", 996), ==, CONFIG_ALLOWED); /* it ended after the write */
    g_assert_cmpint(judge(oracle, 0, "a", 3010), ==, CONFIG_ALLOWED);
    g_assert_cmpint(judge(oracle, 0, "a", 3011), ==, CONFIG_OUTDATED);
    g_assert_cmpint(judge(oracle, 0, "b", 3011), ==, CONFIG_ALLOWED);
    config_oracle_free(oracle);
}

static void test_added_route(void) {
    config_oracle_t *oracle = oracle_make();
    g_assert_cmpint(judge(oracle, 1, NULL, 3010), ==, CONFIG_ALLOWED);
    g_assert_cmpint(judge(oracle, 1, NULL, 3011), ==, CONFIG_OUTDATED);
    g_assert_cmpint(judge(oracle, 1, "a", 3011), ==, CONFIG_ALLOWED);
    g_assert_cmpint(judge(oracle, 1, "c", 3011), ==, CONFIG_INVALID);
    g_assert_false(config_oracle_has_route(oracle, 1, 3010, 3015));
    g_assert_true(config_oracle_has_route(oracle, 1, 3011, 3015));
    g_assert_true(config_oracle_is_first(oracle, 0));
    g_assert_false(config_oracle_is_first(oracle, 1));
    config_oracle_free(oracle);
}

static void test_newest_effect(void) {
    config_oracle_t *oracle = oracle_make();
    config_outcome_t old = {0, "a", 1500, 1505};
    config_outcome_t new = {0, "b", 1500, 1505};
    g_assert_cmpint(config_oracle_oldest(oracle, &old), ==, 0);
    g_assert_cmpint(config_oracle_oldest(oracle, &new), ==, 1);
    g_assert_false(config_oracle_allows_since(oracle, &old, 1));
    g_assert_true(config_oracle_allows_since(oracle, &new, 1));
    config_oracle_free(oracle);
}

static void tests_add(void) {
    g_test_add_func("/config-oracle/moved-route", test_moved_route);
    g_test_add_func("/config-oracle/added-route", test_added_route);
    g_test_add_func("/config-oracle/newest-effect", test_newest_effect);
}

UNIT_TEST_MAIN(tests_add)
