/* How many requests a second this node may send to an engine that is cold. */
#include "wickbridge/cold_share.h"

#include <string.h>
#include <xxhash.h>

/* Nodes that come and go are known to others some seconds later: until then two of them may take
 * one share. Of 87 nodes some three come at a time. */
#define USED_SHARE 0.75

unsigned wb_cold_share(double per_s, unsigned nodes, unsigned rank) {
    if (nodes == 0) {
        return 0;
    }
    unsigned all = (unsigned)MAX(USED_SHARE * per_s, 1);
    return all / nodes + (rank < all % nodes);
}

static uint64_t weight(const char *node, uint64_t seed) {
    return XXH64(node, strlen(node), seed);
}

unsigned wb_cold_rank(const char *incarnation, const char *own, GHashTable *nodes) {
    uint64_t seed = XXH64(incarnation, strlen(incarnation), 0);
    uint64_t own_weight = weight(own, seed);
    unsigned before = 0;
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, nodes);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        before += strcmp(id, own) != 0 && weight(id, seed) > own_weight;
    }
    return before;
}

int64_t wb_cold_gate_opens_ms(const wb_cold_gate_t *gate, unsigned share, int64_t now_ms) {
    guint sent = gate->sent_ms != NULL ? gate->sent_ms->len : 0;
    if (share == 0) {
        return G_MAXINT64;
    }
    if (sent < share) {
        return now_ms;
    }
    return MAX(now_ms, g_array_index(gate->sent_ms, int64_t, sent - share) + WB_COLD_WINDOW_MS);
}

void wb_cold_gate_note(wb_cold_gate_t *gate, int64_t now_ms) {
    if (gate->sent_ms == NULL) {
        gate->sent_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
    }
    while (gate->sent_ms->len > 0 &&
           g_array_index(gate->sent_ms, int64_t, 0) + WB_COLD_WINDOW_MS <= now_ms) {
        g_array_remove_index(gate->sent_ms, 0);
    }
    g_array_append_val(gate->sent_ms, now_ms);
}

void wb_cold_gate_clear(wb_cold_gate_t *gate) {
    if (gate->sent_ms != NULL) {
        g_array_unref(gate->sent_ms);
    }
    gate->sent_ms = NULL;
}
