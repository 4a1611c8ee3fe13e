/* Which nodes of a large fleet read the engines' table. */
#include "directory/table_readers.h"

#include <string.h>
#include <xxhash.h>

/* A machine with less than this share of the strongest one's processor leaves the table to it. */
#define STRONG_SHARE 0.8
/* A relay of the smallest kind, an eighth of a core, tells 32 gateways of some rows a second each.
 */
#define GATEWAYS_A_READER 32

static gint strongest_first(gconstpointer left, gconstpointer right) {
    const wb_table_reader_t *a = left;
    const wb_table_reader_t *b = right;
    if (a->processor_share != b->processor_share) {
        return a->processor_share > b->processor_share ? -1 : 1;
    }
    return strcmp(a->id, b->id);
}

void wb_table_readers_select(GArray *nodes, guint all) {
    guint least = (all + GATEWAYS_A_READER - 1) / GATEWAYS_A_READER;
    guint count = 0;
    g_array_sort(nodes, strongest_first);
    while (count < nodes->len) {
        const wb_table_reader_t *strongest = &g_array_index(nodes, wb_table_reader_t, 0);
        const wb_table_reader_t *node = &g_array_index(nodes, wb_table_reader_t, count);
        gboolean strong = node->processor_share >= STRONG_SHARE * strongest->processor_share;
        if (count >= least && !strong) {
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

const char *wb_table_readers_choose_relay(const GArray *readers, const char *own, GHashTable *failed) {
    uint64_t seed = XXH64(own, strlen(own), 0);
    const char *best = NULL;
    uint64_t highest = 0;
    for (guint i = 0; i < readers->len; i++) {
        const char *id = g_array_index(readers, wb_table_reader_t, i).id;
        uint64_t weight = XXH64(id, strlen(id), seed);
        if ((failed == NULL || !g_hash_table_contains(failed, id)) &&
            (best == NULL || weight > highest)) {
            best = id;
            highest = weight;
        }
    }
    return best;
}
