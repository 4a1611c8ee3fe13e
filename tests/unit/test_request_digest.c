/* A request is known again by what it asks for, whatever its id and wherever it comes. */
#include "unit.h"

#include "poison/request_digest.h"

#include <string.h>

static wb_request_digest_t digest_of(const char *method, const char *host, const char *target,
                                     const char *tenant, const char *body) {
    wb_request_content_t content = {method,      host, target, tenant, (const guint8 *)body,
                                    strlen(body)};
    return wb_request_digest(&content);
}

static void assert_differs(const wb_request_digest_t *left, wb_request_digest_t right) {
    g_assert_false(wb_request_digest_equal(left, &right));
}

static void test_same_content(void) {
    wb_request_digest_t first = digest_of("POST", "a.example", "/x?y=1", NULL, "body");
    wb_request_digest_t again = digest_of("POST", "a.example", "/x?y=1", NULL, "body");
    g_assert_true(wb_request_digest_equal(&first, &again));
}

/* Nodes and starts must agree, so the value itself is part of what is promised between them. */
static void test_value_is_fixed(void) {
    char text[WB_REQUEST_DIGEST_TEXT_BYTES];
    wb_request_digest_t digest = digest_of("POST", "a.example", "/x", "t1", "body");
    g_assert_cmpstr(wb_request_digest_format(&digest, text), ==, "f58b869447b9bab86a3e6d65b58d1e53");
}

static void test_other_content(void) {
    wb_request_digest_t first = digest_of("POST", "a.example", "/x?y=1", "t1", "body");
    assert_differs(&first, digest_of("PUT", "a.example", "/x?y=1", "t1", "body"));
    assert_differs(&first, digest_of("POST", "b.example", "/x?y=1", "t1", "body"));
    assert_differs(&first, digest_of("POST", "a.example", "/x?y=2", "t1", "body"));
    assert_differs(&first, digest_of("POST", "a.example", "/x?y=1", "t2", "body"));
    assert_differs(&first, digest_of("POST", "a.example", "/x?y=1", NULL, "body"));
    assert_differs(&first, digest_of("POST", "a.example", "/x?y=1", "t1", "bodz"));
}

/* An operator names a request by what the log says. */
static void test_read_back(void) {
    char text[WB_REQUEST_DIGEST_TEXT_BYTES];
    wb_request_digest_t digest = digest_of("POST", "a.example", "/x", "t1", "body");
    wb_request_digest_t read;
    g_assert_true(wb_request_digest_parse(wb_request_digest_format(&digest, text), &read));
    g_assert_true(wb_request_digest_equal(&digest, &read));
    const char *const bad[] = {"", "f5", "f58b869447b9bab86a3e6d65b58d1e5",
                               "f58b869447b9bab86a3e6d65b58d1e533",
                               "g58b869447b9bab86a3e6d65b58d1e53"};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_false(wb_request_digest_parse(bad[i], &read));
    }
}

/* Bytes that move from one part to the next make another request. */
static void test_parts_dont_run_together(void) {
    wb_request_digest_t first = digest_of("POST", "a.example", "/x", "t1", "body");
    assert_differs(&first, digest_of("POST", "a.example", "/xt", "1", "body"));
    assert_differs(&first, digest_of("POST", "a.example", "/x", "t1b", "ody"));
    assert_differs(&first, digest_of("POST", "a.exampl", "e/x", "t1", "body"));
}

static void tests_add(void) {
    g_test_add_func("/request-digest/same-content", test_same_content);
    g_test_add_func("/request-digest/value-is-fixed", test_value_is_fixed);
    g_test_add_func("/request-digest/other-content", test_other_content);
    g_test_add_func("/request-digest/read-back", test_read_back);
    g_test_add_func("/request-digest/parts-dont-run-together", test_parts_dont_run_together);
}

UNIT_TEST_MAIN(tests_add)
