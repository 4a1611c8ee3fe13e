/* Guards against member tables that depend on the order of updates, and against a split overlay. */
#include "unit.h"

#include "wickbridge/member.h"

static wb_member_t update(const char *node, uint64_t incarnation, wb_member_state_t state) {
    return (wb_member_t){(char *)node, "127.0.0.1:1", "127.0.0.1:2", "zone", incarnation, state, 0};
}

static void test_merge_in_any_order(void) {
    wb_member_t updates[] = {update("a", 1, WB_MEMBER_ALIVE), update("b", 1, WB_MEMBER_ALIVE),
                             update("a", 1, WB_MEMBER_SUSPECT), update("a", 2, WB_MEMBER_ALIVE),
                             update("b", 1, WB_MEMBER_DEAD)};
    wb_member_table_t *forward = wb_member_table_create();
    wb_member_table_t *backward = wb_member_table_create();
    for (gsize i = 0; i < G_N_ELEMENTS(updates); i++)
        wb_member_table_merge(forward, &updates[i], 0);
    for (gsize i = G_N_ELEMENTS(updates); i-- > 0;)
        wb_member_table_merge(backward, &updates[i], 0);
    g_assert_true(wb_member_table_is_up(forward, "a"));
    g_assert_true(wb_member_table_is_up(backward, "a"));
    g_assert_false(wb_member_table_is_up(forward, "b"));
    g_assert_cmpuint(wb_member_table_find(forward, "a")->incarnation, ==, 2);
    wb_member_table_free(forward);
    wb_member_table_free(backward);
}

static void test_gone_is_final(void) {
    wb_member_table_t *table = wb_member_table_create();
    wb_member_t alive = update("a", 1, WB_MEMBER_ALIVE);
    wb_member_t gone = update("a", 1, WB_MEMBER_GONE);
    wb_member_t later = update("a", 9, WB_MEMBER_ALIVE);
    wb_member_table_merge(table, &alive, 0);
    g_assert_true(wb_member_table_merge(table, &gone, 0));
    g_assert_false(wb_member_table_merge(table, &later, 0));
    g_assert_false(wb_member_table_is_up(table, "a"));
    g_assert_cmpuint(wb_member_table_digest(table), ==, 0);
    wb_member_table_free(table);
}

/* The overlay connects all live members, also when a third have failed. */
static void test_overlay_is_connected(void) {
    enum { MEMBERS = 120 };
    wb_member_table_t *table = wb_member_table_create();
    for (int i = 0; i < MEMBERS; i++) {
        g_autofree char *node = g_strdup_printf("node-%d", i);
        wb_member_t member = update(node, 1, WB_MEMBER_ALIVE);
        wb_member_table_merge(table, &member, 0);
    }
    for (int i = 0; i < MEMBERS; i += 3) {
        g_autofree char *node = g_strdup_printf("node-%d", i);
        wb_member_t member = update(node, 1, WB_MEMBER_DEAD);
        wb_member_table_merge(table, &member, 0);
    }
    g_autoptr(GHashTable) reached = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_autoptr(GPtrArray) pending = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(pending, g_strdup("node-1"));
    while (pending->len > 0) {
        g_autofree char *node = g_ptr_array_steal_index(pending, 0);
        if (!g_hash_table_add(reached, g_strdup(node)))
            continue;
        GPtrArray *neighbours = wb_member_table_neighbours(table, node);
        g_assert_cmpuint(neighbours->len, <=, 4);
        for (guint i = 0; i < neighbours->len; i++)
            g_ptr_array_add(pending, g_strdup(neighbours->pdata[i]));
        g_ptr_array_unref(neighbours);
    }
    g_assert_cmpuint(g_hash_table_size(reached), ==, MEMBERS / 3 * 2);
    wb_member_table_free(table);
}

static void test_rank_spreads_zones(void) {
    wb_member_table_t *table = wb_member_table_create();
    for (int i = 0; i < 9; i++) {
        g_autofree char *node = g_strdup_printf("node-%d", i);
        wb_member_t member = update(node, 1, WB_MEMBER_ALIVE);
        member.zone = i % 3 == 0 ? "x" : i % 3 == 1 ? "y" : "z";
        wb_member_table_merge(table, &member, 0);
    }
    g_autoptr(GPtrArray) ranked = wb_member_table_rank(table, "cell", TRUE);
    const wb_member_t *first = ranked->pdata[0], *second = ranked->pdata[1],
                      *third = ranked->pdata[2];
    g_assert_cmpstr(first->zone, !=, second->zone);
    g_assert_cmpstr(second->zone, !=, third->zone);
    g_assert_cmpstr(first->zone, !=, third->zone);
    wb_member_table_free(table);
}

static void tests_add(void) {
    g_test_add_func("/member/merge-in-any-order", test_merge_in_any_order);
    g_test_add_func("/member/gone-is-final", test_gone_is_final);
    g_test_add_func("/member/overlay-is-connected", test_overlay_is_connected);
    g_test_add_func("/member/rank-spreads-zones", test_rank_spreads_zones);
}

UNIT_TEST_MAIN(tests_add)
