/* Guards against nodes that all choose the same peer, or the same one again. */
#include "unit.h"

#include "directory/rendezvous.h"

static void test_order_differs(void) {
    static char *ids[] = {"a", "b", "c", "d", "e", "f", "g", "h"};
    g_autoptr(GPtrArray) peers = g_ptr_array_new();
    g_autoptr(GHashTable) firsts = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        g_ptr_array_add(peers, ids[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        g_autoptr(GHashTable) asked = g_hash_table_new(g_str_hash, g_str_equal);
        const char *peer;
        g_hash_table_add(firsts, (gpointer)wb_rendezvous_choose(peers, ids[i], asked));
        while ((peer = wb_rendezvous_choose(peers, ids[i], asked)) != NULL) {
            g_assert_cmpstr(peer, !=, ids[i]);
            g_hash_table_add(asked, (gpointer)peer);
        }
        g_assert_cmpint(g_hash_table_size(asked), ==, G_N_ELEMENTS(ids) - 1);
    }
    g_assert_cmpint(g_hash_table_size(firsts), >=, 3);
}

static void test_none_left(void) {
    g_autoptr(GPtrArray) peers = g_ptr_array_new();
    g_assert_null(wb_rendezvous_choose(peers, "a", NULL));
    g_ptr_array_add(peers, "a");
    g_assert_null(wb_rendezvous_choose(peers, "a", NULL));
    g_assert_cmpstr(wb_rendezvous_choose(peers, "b", NULL), ==, "a");
}

static void tests_add(void) {
    g_test_add_func("/rendezvous/order-differs", test_order_differs);
    g_test_add_func("/rendezvous/none-left", test_none_left);
}

UNIT_TEST_MAIN(tests_add)
