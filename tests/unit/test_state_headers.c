/* What an engine tells of itself at the head of an answer, as far as it can be. */
#include "unit.h"

#include "dispatch/state_headers.h"

static const wb_dialect_t dialect = {.engine_limit = "Server-Limit",
                                     .engine_draining = "Server-Leaving"};

/* Reads an answer with up to two headers. */
static wb_state_headers_t told_by(unsigned status, const char *name, const char *value,
                               const char *again) {
    wb_http_head_t *head = wb_http_head_create();
    head->status = status;
    const char *const values[] = {value, again};
    for (gsize i = 0; i < G_N_ELEMENTS(values); i++) {
        if (values[i] != NULL) {
            wb_http_header_t header = {g_strdup(name), g_strdup(values[i])};
            g_array_append_val(head->headers, header);
        }
    }
    wb_state_headers_t told = wb_state_headers_parse(head, &dialect);
    wb_http_head_free(head);
    return told;
}

static void test_nothing(void) {
    wb_state_headers_t told = told_by(200, "X-Other", "1", NULL);
    g_assert_false(told.limit_present || told.limit_valid || told.leaving);
    g_assert_cmpint(told.rest_ms, ==, 0);
    g_assert_cmpuint(told.refused, ==, 0);
}

static void test_limit(void) {
    static const struct {
        const char *text;
        double per_s;
    } limits[] = {{"1", 1}, {"0.4", 0.4}, {"0", 0}, {"250", 250}};
    for (gsize i = 0; i < G_N_ELEMENTS(limits); i++) {
        wb_state_headers_t told = told_by(200, "server-limit", limits[i].text, NULL);
        g_assert_true(told.limit_present && told.limit_valid);
        g_assert_cmpfloat(told.limit_per_s, ==, limits[i].per_s);
        g_assert_cmpuint(told.refused, ==, 0);
    }
}

/* It names a limit, so that none ends by it, and none that could be gone by. */
static void test_limits_that_cant_be(void) {
    static const char *const texts[] = {"",    "-1",  "nan", "inf",  "1e3",  "1000000000000",
                                        "1,2", "1 2", ".",   "0x10", "1.2.3"};
    for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
        wb_state_headers_t told = told_by(200, "Server-Limit", texts[i], NULL);
        g_assert_true(told.limit_present);
        g_assert_false(told.limit_valid);
        g_assert_cmpuint(told.refused, ==, 1);
    }
    wb_state_headers_t twice = told_by(200, "Server-Limit", "1", "5");
    g_assert_true(twice.limit_present);
    g_assert_false(twice.limit_valid);
    g_assert_cmpuint(twice.refused, ==, 1);
}

static void test_leaving(void) {
    static const struct {
        const char *text;
        const char *again;
        gboolean leaving;
        unsigned refused;
    } words[] = {
        {"1", NULL, TRUE, 0}, {"0", NULL, FALSE, 0}, {"yes", NULL, FALSE, 1}, {"1", "1", FALSE, 1}};
    for (gsize i = 0; i < G_N_ELEMENTS(words); i++) {
        wb_state_headers_t told = told_by(200, "Server-Leaving", words[i].text, words[i].again);
        g_assert_cmpint(told.leaving, ==, words[i].leaving);
        g_assert_cmpuint(told.refused, ==, words[i].refused);
    }
}

static void test_rest(void) {
    static const struct {
        unsigned status;
        const char *text;
        const char *again;
        int64_t rest_ms;
        unsigned refused;
    } words[] = {{503, "3", NULL, 3000, 0},
                 {503, "0.25", NULL, 250, 0},
                 {503, "0", NULL, 0, 0},
                 {429, "3", NULL, 0, 0}, /* when to come back, no wish for rest */
                 {503, "", NULL, 0, 1},
                 {503, "-3", NULL, 0, 1},
                 {503, "nan", NULL, 0, 1},
                 {503, "1000000000000", NULL, 0, 1},
                 {503, "Thu, 03 Dec 2026 08:00:00 GMT", NULL, 0, 1},
                 {503, "3", "5", 0, 1}};
    for (gsize i = 0; i < G_N_ELEMENTS(words); i++) {
        wb_state_headers_t told =
            told_by(words[i].status, "Retry-After", words[i].text, words[i].again);
        g_assert_cmpint(told.rest_ms, ==, words[i].rest_ms);
        g_assert_cmpuint(told.refused, ==, words[i].refused);
    }
}

static void tests_add(void) {
    g_test_add_func("/told-state/nothing", test_nothing);
    g_test_add_func("/told-state/limit", test_limit);
    g_test_add_func("/told-state/limits-that-cant-be", test_limits_that_cant_be);
    g_test_add_func("/told-state/leaving", test_leaving);
    g_test_add_func("/told-state/rest", test_rest);
}

UNIT_TEST_MAIN(tests_add)
