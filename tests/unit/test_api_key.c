/* A caller's key is read from one well-formed header, or from none. */
#include "unit.h"

#include "request/api_key.h"

#include <string.h>

static const wb_dialect_t dialect = {
    .api_key = "Authorization", .api_key_scheme = "Token", .tenant = "Tenant"};

static wb_api_key_t read_values(const char *const *values, size_t count) {
    wb_http_head_t *head = wb_http_head_create();
    for (size_t i = 0; i < count; i++) {
        wb_http_header_t header = {g_strdup("authorization"), g_strdup(values[i])};
        g_array_append_val(head->headers, header);
    }
    wb_api_key_t key = wb_api_key_read(head, &dialect);
    wb_http_head_free(head);
    return key;
}

static wb_api_key_t read_value(const char *value) {
    return read_values(&value, 1);
}

static void test_good_keys(void) {
    wb_key_digest_t digest = wb_key_digest("secret", strlen("secret"));
    const char *const good[] = {"Token secret", "token secret", "Token   secret", "Token secret "};
    for (size_t i = 0; i < G_N_ELEMENTS(good); i++) {
        wb_api_key_t key = read_value(good[i]);
        g_assert_cmpint(key.state, ==, WB_API_KEY_PRESENT);
        g_assert_cmpmem(key.digest.bytes, sizeof(key.digest.bytes), digest.bytes,
                        sizeof(digest.bytes));
    }
}

static void test_bad_keys(void) {
    g_autofree char *long_key = g_strnfill(WB_KEY_MAX_BYTES + 1, 'x');
    g_autofree char *too_long = g_strconcat("Token ", long_key, NULL);
    const char *const bad[] = {
        "",          "Token",        "Token ",       "Tokensecret",   "secret", "Bearer secret",
        "Token a b", "Token s\x01t", "Token s\xfft", "Token\tsecret", too_long};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_cmpint(read_value(bad[i]).state, ==, WB_API_KEY_MALFORMED);
    }
    const char *const twice[] = {"Token secret", "Token secret"};
    g_assert_cmpint(read_values(twice, 2).state, ==, WB_API_KEY_MALFORMED);
    g_assert_cmpint(read_values(twice, 0).state, ==, WB_API_KEY_ABSENT);
}

static void test_private_headers(void) {
    g_assert_true(wb_api_key_strips_header(&dialect, "AUTHORIZATION"));
    g_assert_true(wb_api_key_strips_header(&dialect, "tenant"));
    g_assert_false(wb_api_key_strips_header(&dialect, "Tenant-Hint"));
}

static void tests_add(void) {
    g_test_add_func("/api-key/good", test_good_keys);
    g_test_add_func("/api-key/bad", test_bad_keys);
    g_test_add_func("/api-key/private-headers", test_private_headers);
}

UNIT_TEST_MAIN(tests_add)
