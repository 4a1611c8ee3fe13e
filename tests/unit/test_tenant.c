/* Tenants hold their keys as digests, and a request counts what its limit's unit says. */
#include "unit.h"

#include "wickbridge/tenant.h"

#include <string.h>

static void test_key_finds_its_tenant(void) {
    wb_tenants_t *tenants = wb_tenants_create();
    wb_tenant_t *north = wb_tenants_add(tenants, "north");
    wb_tenant_t *south = wb_tenants_add(tenants, "south");
    wb_tenants_add_key(tenants, north, "k-north-1");
    wb_tenants_add_key(tenants, north, "k-north-2");
    wb_tenants_add_key(tenants, south, "k-south");
    g_assert_true(wb_tenants_add(tenants, "north") == north);
    wb_key_digest_t digest = wb_key_digest("k-north-2", strlen("k-north-2"));
    g_assert_true(wb_tenants_find_by_key(tenants, &digest) == north);
    digest = wb_key_digest("k-south", strlen("k-south"));
    g_assert_true(wb_tenants_find_by_key(tenants, &digest) == south);
    digest = wb_key_digest("k-sout", strlen("k-sout"));
    g_assert_null(wb_tenants_find_by_key(tenants, &digest));
    wb_tenants_free(tenants);
}

/* No byte of a key stands in what is kept of it. */
static void test_digest_hides_the_key(void) {
    const char *key = "0123456789abcdef0123456789abcdef";
    wb_key_digest_t digest = wb_key_digest(key, strlen(key));
    wb_key_digest_t again = wb_key_digest(key, strlen(key));
    g_assert_cmpmem(digest.bytes, sizeof(digest.bytes), again.bytes, sizeof(again.bytes));
    g_assert_null(memmem(digest.bytes, sizeof(digest.bytes), key, 4));
    g_autofree char *plain = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
    g_autoptr(GString) hex = g_string_new(NULL);
    for (size_t i = 0; i < sizeof(digest.bytes); i++) {
        g_string_append_printf(hex, "%02x", digest.bytes[i]);
    }
    g_assert_cmpstr(hex->str, !=, plain); /* a digest without a secret could be guessed */
}

static void test_cost(void) {
    wb_tenant_t tenant = {.unit = WB_QUOTA_TOKENS, .default_tokens = 200};
    g_assert_cmpfloat(wb_tenant_cost(&tenant, 1540), ==, 1540);
    g_assert_cmpfloat(wb_tenant_cost(&tenant, -1), ==, 200);
    tenant.unit = WB_QUOTA_REQUESTS;
    g_assert_cmpfloat(wb_tenant_cost(&tenant, 1540), ==, 1);
}

static void tests_add(void) {
    g_test_add_func("/tenant/key-finds-its-tenant", test_key_finds_its_tenant);
    g_test_add_func("/tenant/digest-hides-the-key", test_digest_hides_the_key);
    g_test_add_func("/tenant/cost", test_cost);
}

UNIT_TEST_MAIN(tests_add)
