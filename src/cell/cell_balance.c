/* Balances ownership: hands a cell over to a member of its group that owns at least MIN_DIFFERENCE
 * fewer cells. One cell per BALANCE_INTERVAL_MS (milliseconds). */
#include "cell_host_types.h"

#include "wickbridge/log.h"

#include <string.h>

#define BALANCE_INTERVAL_MS 2000
#define MIN_DIFFERENCE 2 /* in owned cells; with 1, a cell would move back and forth */

/* Number of cells owned by each node, according to gossip. */
static GHashTable *owned_counts(wb_cell_host_t *host) {
    GHashTable *counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter iterator;
    gpointer name;
    g_hash_table_iter_init(&iterator, host->cells);
    while (g_hash_table_iter_next(&iterator, &name, NULL)) {
        const char *owner = wb_membership_owner(host->parts.membership, name, NULL);
        if (owner == NULL)
            continue;
        guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, owner));
        g_hash_table_replace(counts, g_strdup(owner), GUINT_TO_POINTER(count + 1));
    }
    return counts;
}

/* The alive member other than this node that owns the fewest cells, or NULL. */
static const char *member_choose(hosted_cell_t *hosted, GHashTable *counts, guint *fewest) {
    const wb_member_table_t *table = wb_membership_table(hosted->host->parts.membership);
    const GPtrArray *members = wb_group_record(hosted->group)->members;
    const char *best = NULL;
    for (guint i = 0; i < members->len; i++) {
        const char *node = members->pdata[i];
        const wb_member_t *member = wb_member_table_find(table, node);
        guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, node));
        if (strcmp(node, hosted->host->node) == 0 || member == NULL ||
            member->state != WB_MEMBER_ALIVE || (best != NULL && count >= *fewest))
            continue;
        best = node;
        *fewest = count;
    }
    return best;
}

void cell_balance_tick(wb_cell_host_t *host, int64_t now_ms) {
    if (host->handing_over || now_ms < host->balance_next_ms)
        return;
    host->balance_next_ms = now_ms + BALANCE_INTERVAL_MS;
    guint own = wb_cell_host_owned_count(host);
    if (own < MIN_DIFFERENCE)
        return;
    g_autoptr(GHashTable) counts = owned_counts(host);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, host->cells);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hosted_cell_t *hosted = value;
        guint fewest = 0;
        const char *node = hosted->cell != NULL ? member_choose(hosted, counts, &fewest) : NULL;
        if (node == NULL || own < fewest + MIN_DIFFERENCE)
            continue;
        if (wb_group_hand_over_to(hosted->group, node)) {
            wb_log_message(WB_LOG_CELL, "Handing cell %s over to node %s, which owns fewer cells.",
                           hosted->name, node);
            return; /* at most one per interval */
        }
    }
}
