/* Selects the nodes of a large fleet that read the engine table, and the relay of each gateway. */
#include "directory/table_readers.h"

#include "directory/rendezvous.h"

#include <string.h>

/* Nodes with less than this share of the strongest node's processor don't read the table, unless
 * they are needed for the minimum number of readers. */
#define STRONG_SHARE 0.8
/* Gateways that a relay can serve, even on an eighth of a core. */
#define GATEWAYS_PER_READER 32

static gint strongest_first(gconstpointer left, gconstpointer right) {
    const wb_table_reader_t *a = left;
    const wb_table_reader_t *b = right;
    if (a->processor_share != b->processor_share) {
        return a->processor_share > b->processor_share ? -1 : 1;
    }
    return strcmp(a->id, b->id);
}

void wb_table_readers_select(GArray *nodes, guint all) {
    guint min_count = (all + GATEWAYS_PER_READER - 1) / GATEWAYS_PER_READER;
    guint count = 0;
    g_array_sort(nodes, strongest_first);
    while (count < nodes->len) {
        const wb_table_reader_t *strongest = &g_array_index(nodes, wb_table_reader_t, 0);
        const wb_table_reader_t *node = &g_array_index(nodes, wb_table_reader_t, count);
        gboolean strong = node->processor_share >= STRONG_SHARE * strongest->processor_share;
        if (count >= min_count && !strong) {
            break;
        }
        count++;
    }
    g_array_set_size(nodes, count);
}

gboolean wb_table_readers_has(const GArray *readers, const char *id) {
    for (guint i = 0; i < readers->len; i++) {
        if (strcmp(g_array_index(readers, wb_table_reader_t, i).id, id) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

const char *wb_table_readers_choose_relay(const GArray *readers, const char *own,
                                          GHashTable *failed) {
    g_autoptr(GPtrArray) ids = g_ptr_array_sized_new(readers->len);
    for (guint i = 0; i < readers->len; i++) {
        g_ptr_array_add(ids, (gpointer)g_array_index(readers, wb_table_reader_t, i).id);
    }
    return wb_rendezvous_choose(ids, own, failed);
}
