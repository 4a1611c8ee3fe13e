/* Guards against rows of nodes by another writer that are taken for strong or reachable machines.
 */
#include "unit.h"

#include "edge/node_row.h"

#include <string.h>

static wb_node_row_t *row_read(const char *text) {
    wb_node_row_t *row = g_new0(wb_node_row_t, 1);
    wb_node_row_read((const guchar *)text, strlen(text), row);
    return row;
}

static void test_whole(void) {
    wb_node_row_t *row = row_read("10.0.0.1:7000 17 0.125 4 10.0.0.1:7001 zone-2 later fields");
    g_assert_cmpstr(row->address, ==, "10.0.0.1:7000");
    g_assert_cmpfloat(row->processor_share, ==, 0.125);
    g_assert_cmpuint(row->format_version, ==, 4);
    g_assert_cmpstr(row->tunnel_address, ==, "10.0.0.1:7001");
    g_assert_cmpstr(row->zone, ==, "zone-2");
    wb_node_row_free(row);
    row = row_read("10.0.0.1:7000 17");
    g_assert_cmpstr(row->address, ==, "10.0.0.1:7000");
    g_assert_cmpuint(row->format_version, ==, 1);
    g_assert_null(row->tunnel_address);
    wb_node_row_free(row);
}

static void test_odd_shares(void) {
    static const char *const shares[] = {"nan", "inf", "-inf", "1e300", "1e999", "-1", "x", ""};
    for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
        g_autofree char *text = g_strdup_printf("10.0.0.1:7000 17 %s 4", shares[i]);
        wb_node_row_t *row = row_read(text);
        g_assert_cmpfloat(row->processor_share, ==, 0);
        wb_node_row_free(row);
    }
}

static void test_odd_addresses(void) {
    static const char *const addresses[] = {
        "",    "nowhere",     "10.0.0.1",    "10.0.0.1:", "10.0.0.1:0",      "10.0.0.1:65536",
        "x:1", "10.0.0.1:-1", "999.0.0.1:1", "[::1]:1",   "10.0.0.1:1\r\nX", "10.0.0.1:1x"};
    for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
        g_autofree char *text = g_strdup_printf("%1$s 17 1 4 %1$s zone", addresses[i]);
        wb_node_row_t *row = row_read(text);
        g_assert_null(row->address);
        g_assert_null(row->tunnel_address);
        wb_node_row_free(row);
    }
}

static void test_odd_format_versions(void) {
    static const char *const versions[] = {"0", "-1", "99999999999999999999999", "4294967296", "x"};
    for (size_t i = 0; i < G_N_ELEMENTS(versions); i++) {
        g_autofree char *text = g_strdup_printf("10.0.0.1:7000 17 1 %s", versions[i]);
        wb_node_row_t *row = row_read(text);
        g_assert_cmpuint(row->format_version, >=, 1);
        wb_node_row_free(row);
    }
}

static void tests_add(void) {
    g_test_add_func("/node-row/whole", test_whole);
    g_test_add_func("/node-row/odd-shares", test_odd_shares);
    g_test_add_func("/node-row/odd-addresses", test_odd_addresses);
    g_test_add_func("/node-row/odd-format-versions", test_odd_format_versions);
}

UNIT_TEST_MAIN(tests_add)
