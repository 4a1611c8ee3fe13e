/* Rows of engines: what a row must have to name an engine to use, whoever wrote it. */
#include "unit.h"

#include "../../platform/platform.h"

#include <string.h>

#define DAY_MS (24 * 3600 * 1000LL)

#define GOOD                                                                                       \
    "\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\",\"slots\":64,"                \
    "\"state\":\"ready\",\"sequence\":4"

static wb_engine_state_t *parse(const char *text, gsize length, wb_error_t *error) {
    return wb_platform_engine_parse("e1", (const guchar *)text, length, error);
}

static void assert_engine(const char *text, int64_t born_ms) {
    wb_error_t error = {0};
    wb_engine_state_t *state = parse(text, strlen(text), &error);
    g_assert_cmpstr(error.message, ==, "");
    g_assert_nonnull(state);
    g_assert_cmpint(state->born_ms, ==, born_ms);
    wb_engine_state_free(state);
}

static void assert_none(const char *text, gsize length) {
    wb_error_t error = {0};
    g_assert_null(parse(text, length, &error));
    g_assert_cmpstr(error.message, !=, "");
}

static void test_good_rows(void) {
    assert_engine("{" GOOD "}", 0);
    assert_engine("{" GOOD ",\"coldRemainingMs\":0,\"models\":[],\"born\":1700000000123}",
                  1700000000123);
    assert_engine("{" GOOD ",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                  "\"atHand\":{\"resident\":[\"m\"]},\"unheardOf\":{\"x\":[1]}}",
                  0);
}

/* Each field that is needed, once missing and once of another type. */
static void test_fields_missing_or_of_another_type(void) {
    static const char *const bad[] = {
        "{}",
        "[]",
        "null",
        "7",
        "\"text\"",
        "",
        "{\"address\":\"10.0.0.1:80\",\"zone\":\"z1\",\"slots\":64,\"state\":\"ready\","
        "\"sequence\":4}",
        "{\"service\":\"llm\",\"zone\":\"z1\",\"slots\":64,\"state\":\"ready\",\"sequence\":4}",
        "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"slots\":64,\"state\":\"ready\","
        "\"sequence\":4}",
        "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\",\"state\":\"ready\","
        "\"sequence\":4}",
        "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\",\"slots\":64,"
        "\"sequence\":4}",
        "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\",\"slots\":64,"
        "\"state\":\"ready\"}",
        "{" GOOD ",\"service\":7}",
        "{" GOOD ",\"service\":\"\"}",
        "{" GOOD ",\"address\":80}",
        "{" GOOD ",\"address\":\"nowhere\"}",
        "{" GOOD ",\"zone\":[]}",
        "{" GOOD ",\"slots\":\"64\"}",
        "{" GOOD ",\"slots\":6.5}",
        "{" GOOD ",\"slots\":0}",
        "{" GOOD ",\"slots\":-1}",
        "{" GOOD ",\"slots\":1000000000000}",
        "{" GOOD ",\"state\":\"sleeping\"}",
        "{" GOOD ",\"state\":true}",
        "{" GOOD ",\"sequence\":null}",
        "{" GOOD ",\"sequence\":\"4\"}",
        "{" GOOD ",\"coldRemainingMs\":\"soon\"}",
        "{" GOOD ",\"models\":{}}",
    };
    for (gsize i = 0; i < G_N_ELEMENTS(bad); i++) {
        assert_none(bad[i], strlen(bad[i]));
    }
}

/* A start is a whole number of ms in the past; clocks may be wrong, but not by days. */
static void test_starts_that_cannot_be(void) {
    static const char *const bad[] = {"\"1700000000123\"", "1700000000123.5", "-5",  "0", "null",
                                      "[1700000000123]",   "1e300",           "true"};
    for (gsize i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_autofree char *text = g_strdup_printf("{" GOOD ",\"born\":%s}", bad[i]);
        assert_none(text, strlen(text));
    }
    int64_t now_ms = g_get_real_time() / 1000;
    g_autofree char *ahead =
        g_strdup_printf("{" GOOD ",\"born\":%lld}", (long long)(now_ms + 2 * DAY_MS));
    assert_none(ahead, strlen(ahead));
    g_autofree char *skewed =
        g_strdup_printf("{" GOOD ",\"born\":%lld}", (long long)(now_ms + 10000));
    assert_engine(skewed, now_ms + 10000);
}

static void test_absurd_cold_times_are_bounded(void) {
    static const char *const told[] = {"-7", "1000000000000", "1e300"};
    for (gsize i = 0; i < G_N_ELEMENTS(told); i++) {
        g_autofree char *text = g_strdup_printf("{" GOOD ",\"coldRemainingMs\":%s}", told[i]);
        wb_error_t error = {0};
        wb_engine_state_t *state = parse(text, strlen(text), &error);
        g_assert_nonnull(state);
        g_assert_cmpint(state->cold_ms, >=, 0);
        g_assert_cmpint(state->cold_ms, <=, 600000);
        wb_engine_state_free(state);
    }
}

/* Bytes that can't be read: not UTF-8, cut off, nested 10,000 deep, a mebibyte of them. */
static void test_unreadable_bytes(void) {
    static const char not_utf8[] = "{" GOOD ",\"x\":\"\xff\xfe\"}";
    static const char good[] = "{" GOOD "}";
    assert_none(not_utf8, sizeof(not_utf8) - 1);
    for (gsize length = 0; length + 1 < sizeof(good) - 1; length++) {
        assert_none(good, length);
    }
    g_autoptr(GString) deep = g_string_new("{" GOOD ",\"x\":");
    for (int i = 0; i < 10000; i++) {
        g_string_append_c(deep, '[');
    }
    assert_none(deep->str, deep->len);
    g_autofree char *large = g_malloc(1 << 20);
    memset(large, 'a', 1 << 20);
    assert_none(large, 1 << 20);
    memset(large, 0, 1 << 20);
    assert_none(large, 1 << 20);
}

static void tests_add(void) {
    g_test_add_func("/engine-rows/good", test_good_rows);
    g_test_add_func("/engine-rows/fields", test_fields_missing_or_of_another_type);
    g_test_add_func("/engine-rows/starts-that-cannot-be", test_starts_that_cannot_be);
    g_test_add_func("/engine-rows/absurd-cold-times", test_absurd_cold_times_are_bounded);
    g_test_add_func("/engine-rows/unreadable-bytes", test_unreadable_bytes);
}

UNIT_TEST_MAIN(tests_add)
