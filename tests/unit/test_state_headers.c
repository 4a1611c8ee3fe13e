/* Guards against invalid state headers of engines that are applied. */
#include "unit.h"

#include "dispatch/state_headers.h"

static const wb_dialect_t dialect = {.engine_limit = "Server-Limit",
                                     .engine_brittle = "Server-Brittle",
                                     .engine_draining = "Server-Leaving"};

/* Parses a response with up to two headers of the same name. */
static wb_state_headers_t parse_response(unsigned status, const char *name, const char *value,
                                         const char *second) {
    wb_http_head_t *head = wb_http_head_create();
    head->status = status;
    const char *const values[] = {value, second};
    for (gsize i = 0; i < G_N_ELEMENTS(values); i++) {
        if (values[i] != NULL) {
            wb_http_header_t header = {g_strdup(name), g_strdup(values[i])};
            g_array_append_val(head->headers, header);
        }
    }
    wb_state_headers_t state = wb_state_headers_parse(head, &dialect);
    wb_http_head_free(head);
    return state;
}

static void test_nothing(void) {
    wb_state_headers_t state = parse_response(200, "X-Other", "1", NULL);
    g_assert_false(state.limit_present || state.limit_valid || state.leaving);
    g_assert_cmpint(state.rest_ms, ==, 0);
    g_assert_cmpuint(state.refused, ==, 0);
}

static void test_limit(void) {
    static const struct {
        const char *text;
        double per_s;
    } limits[] = {{"1", 1}, {"0.4", 0.4}, {"0", 0}, {"250", 250}};
    for (gsize i = 0; i < G_N_ELEMENTS(limits); i++) {
        wb_state_headers_t state = parse_response(200, "server-limit", limits[i].text, NULL);
        g_assert_true(state.limit_present && state.limit_valid);
        g_assert_cmpfloat(state.limit_per_s, ==, limits[i].per_s);
        g_assert_cmpuint(state.refused, ==, 0);
    }
}

static void test_brittle(void) {
    wb_state_headers_t state = parse_response(503, "Server-Brittle", "12", NULL);
    g_assert_true(state.brittle_present && state.brittle_valid);
    g_assert_cmpuint(state.rejections, ==, 12);
    static const char *const texts[] = {"", "-1", "many", "1000000000000", "3,4"};
    for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
        wb_state_headers_t invalid = parse_response(200, "Server-Brittle", texts[i], NULL);
        g_assert_true(invalid.brittle_present);
        g_assert_false(invalid.brittle_valid);
        g_assert_cmpuint(invalid.refused, ==, 1);
    }
}

/* An invalid limit keeps the present limit, and sets none. */
static void test_limits_that_cant_be(void) {
    static const char *const texts[] = {"",    "-1",  "nan", "inf",  "1e3",  "1000000000000",
                                        "1,2", "1 2", ".",   "0x10", "1.2.3"};
    for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
        wb_state_headers_t state = parse_response(200, "Server-Limit", texts[i], NULL);
        g_assert_true(state.limit_present);
        g_assert_false(state.limit_valid);
        g_assert_cmpuint(state.refused, ==, 1);
    }
    wb_state_headers_t twice = parse_response(200, "Server-Limit", "1", "5");
    g_assert_true(twice.limit_present);
    g_assert_false(twice.limit_valid);
    g_assert_cmpuint(twice.refused, ==, 1);
}

static void test_leaving(void) {
    static const struct {
        const char *text;
        const char *second;
        gboolean leaving;
        unsigned refused;
    } cases[] = {
        {"1", NULL, TRUE, 0}, {"0", NULL, FALSE, 0}, {"yes", NULL, FALSE, 1}, {"1", "1", FALSE, 1}};
    for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
        wb_state_headers_t state =
            parse_response(200, "Server-Leaving", cases[i].text, cases[i].second);
        g_assert_cmpint(state.leaving, ==, cases[i].leaving);
        g_assert_cmpuint(state.refused, ==, cases[i].refused);
    }
}

static void test_rest(void) {
    static const struct {
        unsigned status;
        const char *text;
        const char *second;
        int64_t rest_ms;
        unsigned refused;
    } cases[] = {{503, "3", NULL, 3000, 0},
                 {503, "0.25", NULL, 250, 0},
                 {503, "0", NULL, 0, 0},
                 {429, "3", NULL, 0, 0}, /* Retry-After of one request, not a backoff */
                 {503, "", NULL, 0, 1},
                 {503, "-3", NULL, 0, 1},
                 {503, "nan", NULL, 0, 1},
                 {503, "1000000000000", NULL, 0, 1},
                 {503, "Thu, 03 Dec 2026 08:00:00 GMT", NULL, 0, 1},
                 {503, "3", "5", 0, 1}};
    for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
        wb_state_headers_t state =
            parse_response(cases[i].status, "Retry-After", cases[i].text, cases[i].second);
        g_assert_cmpint(state.rest_ms, ==, cases[i].rest_ms);
        g_assert_cmpuint(state.refused, ==, cases[i].refused);
    }
}

static void tests_add(void) {
    g_test_add_func("/told-state/nothing", test_nothing);
    g_test_add_func("/told-state/limit", test_limit);
    g_test_add_func("/told-state/brittle", test_brittle);
    g_test_add_func("/told-state/limits-that-cant-be", test_limits_that_cant_be);
    g_test_add_func("/told-state/leaving", test_leaving);
    g_test_add_func("/told-state/rest", test_rest);
}

UNIT_TEST_MAIN(tests_add)
