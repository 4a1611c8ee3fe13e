/* How many requests this node may send to an engine in any window of time. */
#include "wickbridge/send_limiter.h"

#include <string.h>
#include <xxhash.h>

int64_t wb_send_limiter_next_ms(const wb_send_limiter_t *gate, unsigned share, int64_t window_ms,
                              unsigned ahead, int64_t now_ms) {
    if (share == 0) {
        return G_MAXINT64;
    }
    int64_t sent = gate->sent_ms != NULL ? gate->sent_ms->len : 0;
    /* The one that it follows in its place by a window: sent already, or itself ahead. */
    int64_t before = sent + ahead % share - share;
    int64_t opens_ms = now_ms;
    if (before >= 0) {
        opens_ms = MAX(now_ms, g_array_index(gate->sent_ms, int64_t, before) + window_ms);
    }
    return opens_ms + (int64_t)(ahead / share) * window_ms;
}

void wb_send_limiter_record(wb_send_limiter_t *gate, int64_t window_ms, int64_t now_ms) {
    if (gate->sent_ms == NULL) {
        gate->sent_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
    }
    while (gate->sent_ms->len > 0 &&
           g_array_index(gate->sent_ms, int64_t, 0) + window_ms <= now_ms) {
        g_array_remove_index(gate->sent_ms, 0);
    }
    g_array_append_val(gate->sent_ms, now_ms);
}

void wb_send_limiter_clear(wb_send_limiter_t *gate) {
    if (gate->sent_ms != NULL) {
        g_array_unref(gate->sent_ms);
    }
    gate->sent_ms = NULL;
}

unsigned wb_rendezvous_share(unsigned units, unsigned nodes, unsigned rank) {
    return nodes > 0 ? units / nodes + (rank < units % nodes) : 0;
}

static uint64_t weight(const char *node, uint64_t seed) {
    return XXH64(node, strlen(node), seed);
}

unsigned wb_rendezvous_rank(const char *subject, const char *own, GHashTable *nodes) {
    uint64_t seed = XXH64(subject, strlen(subject), 0);
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
