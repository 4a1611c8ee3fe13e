/* Choice of the node that connects to an engine for this one. */
#include "dispatch/peer_choice.h"

#include <string.h>

/* How long a node's last answer counts. */
#define USEFUL_MS 5000
#define USELESS_MS 2000
/* Share of questions that go to nodes that have lately been useful, where others are unknown: the
 * others take their part of the load once they are known. */
#define USEFUL_SHARE 0.8

typedef struct wb_peer_entry_t {
    gboolean useful;
    int64_t at_ms;
} wb_peer_entry_t;

struct wb_peer_record_t {
    GHashTable *peers; /* id -> wb_peer_entry_t */
};

typedef enum wb_peer_rank_t { PEER_USEFUL, PEER_UNKNOWN, PEER_USELESS, PEER_RANKS } wb_peer_rank_t;

wb_peer_record_t *wb_peer_record_create(void) {
    wb_peer_record_t *record = g_new0(wb_peer_record_t, 1);
    record->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return record;
}

void wb_peer_record_free(wb_peer_record_t *record) {
    g_hash_table_unref(record->peers);
    g_free(record);
}

static gboolean entry_is_old(gpointer key, gpointer value, gpointer now_ms) {
    (void)key;
    return *(int64_t *)now_ms - ((wb_peer_entry_t *)value)->at_ms >= USEFUL_MS;
}

void wb_peer_record_add(wb_peer_record_t *record, const char *id, gboolean useful, int64_t now_ms) {
    g_hash_table_foreach_remove(record->peers, entry_is_old, &now_ms);
    wb_peer_entry_t entry = {useful, now_ms};
    g_hash_table_replace(record->peers, g_strdup(id), g_memdup2(&entry, sizeof(entry)));
}

static wb_peer_rank_t rank_of(const wb_peer_record_t *record, const char *id, int64_t now_ms) {
    const wb_peer_entry_t *entry = g_hash_table_lookup(record->peers, id);
    if (entry == NULL || now_ms - entry->at_ms >= (entry->useful ? USEFUL_MS : USELESS_MS))
        return PEER_UNKNOWN;
    return entry->useful ? PEER_USEFUL : PEER_USELESS;
}

/* Picks one of these indexes at random; -1: there is none. */
static int index_pick(const GArray *indexes) {
    guint len = indexes->len;
    return len > 0 ? g_array_index(indexes, int, g_random_int_range(0, (gint)len)) : -1;
}

/* Picks from the preferred ranks of one zone; -1: it has no candidate of them. */
static int zone_pick(GArray *const ranks[PEER_RANKS]) {
    int useful = index_pick(ranks[PEER_USEFUL]);
    int unknown = index_pick(ranks[PEER_UNKNOWN]);
    if (useful < 0 || unknown < 0)
        return MAX(useful, unknown);
    return g_random_double() < USEFUL_SHARE ? useful : unknown;
}

int wb_peer_choose(wb_peer_record_t *record, const GArray *candidates, GHashTable *asked,
                   const char *zone, int64_t now_ms) {
    GArray *indexes[2][PEER_RANKS]; /* of candidates in other zones, in the own zone */
    for (int own = 0; own < 2; own++)
        for (int rank = 0; rank < PEER_RANKS; rank++)
            indexes[own][rank] = g_array_new(FALSE, FALSE, sizeof(int));
    for (guint i = 0; i < candidates->len; i++) {
        const wb_peer_candidate_t *peer = &g_array_index(candidates, wb_peer_candidate_t, i);
        int index = (int)i;
        if (g_hash_table_contains(asked, peer->id))
            continue;
        gboolean own = strcmp(peer->zone, zone) == 0;
        g_array_append_val(indexes[own][rank_of(record, peer->id, now_ms)], index);
    }
    gboolean own_first = g_hash_table_size(asked) % 2 == 0;
    int chosen = zone_pick(indexes[own_first]);
    if (chosen < 0)
        chosen = zone_pick(indexes[!own_first]);
    if (chosen < 0)
        chosen = index_pick(indexes[own_first][PEER_USELESS]);
    if (chosen < 0)
        chosen = index_pick(indexes[!own_first][PEER_USELESS]);
    for (int own = 0; own < 2; own++)
        for (int rank = 0; rank < PEER_RANKS; rank++)
            g_array_unref(indexes[own][rank]);
    return chosen;
}
