/* What was lately served is remembered for a while, in bounded memory. */
#include "unit.h"

#include "poison/served_set.h"

#include <string.h>

#define NOW_MS 1000000

static wb_request_digest_t digest_of(uint64_t first) {
    wb_request_digest_t digest = {{0}};
    memcpy(digest.bytes, &first, sizeof(first));
    return digest;
}

static void test_for_a_while(void) {
    wb_served_set_t *set = wb_served_set_create();
    wb_request_digest_t digest = digest_of(7);
    wb_request_digest_t other = digest_of(8);
    wb_request_digest_t none = digest_of(0);
    g_assert_false(wb_served_set_has(set, &digest, NOW_MS));
    g_assert_false(wb_served_set_has(set, &none, 1));
    wb_served_set_add(set, &digest, NOW_MS);
    g_assert_true(wb_served_set_has(set, &digest, NOW_MS + WB_SERVED_MS - 1));
    g_assert_false(wb_served_set_has(set, &digest, NOW_MS + WB_SERVED_MS));
    g_assert_false(wb_served_set_has(set, &other, NOW_MS));
    wb_served_set_free(set);
}

/* Two requests that share a place aren't taken for each other. */
static void test_shared_place(void) {
    wb_served_set_t *set = wb_served_set_create();
    wb_request_digest_t digest = digest_of(7);
    wb_request_digest_t other = digest_of(7 + WB_SERVED_SLOTS);
    wb_served_set_add(set, &digest, NOW_MS);
    g_assert_false(wb_served_set_has(set, &other, NOW_MS));
    wb_served_set_add(set, &other, NOW_MS);
    g_assert_true(wb_served_set_has(set, &other, NOW_MS));
    g_assert_false(wb_served_set_has(set, &digest, NOW_MS));
    wb_served_set_free(set);
}

static void tests_add(void) {
    g_test_add_func("/served-set/for-a-while", test_for_a_while);
    g_test_add_func("/served-set/shared-place", test_shared_place);
}

UNIT_TEST_MAIN(tests_add)
