/* Guards against too many readers of the engine table, or nodes that disagree on which nodes
 * are readers. */
#include "unit.h"

#include "directory/table_readers.h"

#include <string.h>

typedef struct nodes_t {
    GPtrArray *ids;
    GArray *readers;
} nodes_t;

static nodes_t nodes_create(guint strong, guint weak) {
    nodes_t nodes = {g_ptr_array_new_with_free_func(g_free),
                     g_array_new(FALSE, FALSE, sizeof(wb_table_reader_t))};
    for (guint i = 0; i < strong + weak; i++) {
        char *id = g_strdup_printf("edge-%u", i);
        wb_table_reader_t node = {id, i < strong ? 1.0 : 0.12};
        g_ptr_array_add(nodes.ids, id);
        g_array_append_val(nodes.readers, node);
    }
    return nodes;
}

static void nodes_clear(nodes_t *nodes) {
    g_ptr_array_unref(nodes->ids);
    g_array_unref(nodes->readers);
}

/* Bounds the rows read at a start: readers are the nodes about as strong as the strongest one, and
 * at least a thirty-second of all nodes. */
static void test_count(void) {
    static const struct {
        guint strong;
        guint weak;
        guint readers;
    } fleets[] = {{60, 925, 60}, {120, 1850, 120}, {2, 98, 4},  {0, 985, 985},
                  {1, 6, 1},     {0, 1, 1},        {1, 311, 10}};
    for (gsize i = 0; i < G_N_ELEMENTS(fleets); i++) {
        nodes_t nodes = nodes_create(fleets[i].strong, fleets[i].weak);
        wb_table_readers_select(nodes.readers, nodes.ids->len);
        g_assert_cmpuint(nodes.readers->len, ==, fleets[i].readers);
        g_assert_true(wb_table_readers_has(nodes.readers, "edge-0"));
        nodes_clear(&nodes);
    }
    g_autoptr(GArray) no_readers = g_array_new(FALSE, FALSE, sizeof(wb_table_reader_t));
    wb_table_readers_select(no_readers, 5);
    g_assert_cmpuint(no_readers->len, ==, 0);
    g_assert_null(wb_table_readers_choose_relay(no_readers, "edge-1", NULL));
}

/* Independent of the order in which nodes are listed. */
static void test_found_alike(void) {
    nodes_t nodes = nodes_create(3, 200);
    nodes_t reordered = nodes_create(3, 200);
    for (guint i = 0; i < 100; i++) {
        wb_table_reader_t *a = &g_array_index(reordered.readers, wb_table_reader_t, i);
        wb_table_reader_t *b = &g_array_index(reordered.readers, wb_table_reader_t, 202 - i);
        wb_table_reader_t saved = *a;
        *a = *b;
        *b = saved;
    }
    wb_table_readers_select(nodes.readers, 203);
    wb_table_readers_select(reordered.readers, 203);
    g_assert_cmpuint(nodes.readers->len, ==, 7);
    for (guint i = 0; i < nodes.readers->len; i++) {
        g_assert_cmpstr(g_array_index(nodes.readers, wb_table_reader_t, i).id, ==,
                        g_array_index(reordered.readers, wb_table_reader_t, i).id);
    }
    nodes_clear(&nodes);
    nodes_clear(&reordered);
}

/* Gateways spread over the readers; only those of a failed reader choose another. */
static void test_relays(void) {
    nodes_t nodes = nodes_create(60, 925);
    g_autoptr(GHashTable) failed = g_hash_table_new(g_str_hash, g_str_equal);
    guint counts[60] = {0};
    wb_table_readers_select(nodes.readers, 985);
    g_hash_table_add(failed, (gpointer) "edge-7");
    for (guint i = 60; i < 985; i++) {
        const char *own = g_ptr_array_index(nodes.ids, i);
        const char *relay = wb_table_readers_choose_relay(nodes.readers, own, NULL);
        const char *next = wb_table_readers_choose_relay(nodes.readers, own, failed);
        counts[g_ascii_strtoull(relay + strlen("edge-"), NULL, 10)]++;
        g_assert_cmpstr(next, !=, "edge-7");
        g_assert_true(strcmp(relay, "edge-7") == 0 || strcmp(relay, next) == 0);
    }
    for (guint i = 0; i < 60; i++) {
        g_assert_cmpuint(counts[i], >, 3); /* 15 on average */
        g_assert_cmpuint(counts[i], <, 40);
    }
    nodes_clear(&nodes);
}

static void tests_add(void) {
    g_test_add_func("/table-readers/count", test_count);
    g_test_add_func("/table-readers/found-alike", test_found_alike);
    g_test_add_func("/table-readers/relays", test_relays);
}

UNIT_TEST_MAIN(tests_add)
