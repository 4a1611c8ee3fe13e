/* Division of a shared budget among nodes. */
#include "quota/equal_share.h"

#include <string.h>
#include <xxhash.h>

/* Longest time from a change of the list until no node uses the list before it. */
#define SETTLE_MS (WB_SHARE_VALID_MS + WB_SHARE_DELAY_MS)

/* A node, by its id. */
typedef struct wb_shared_node_t {
    gboolean listed;
    int64_t since_ms; /* monotonic time of the last change of `listed` */
} wb_shared_node_t;

struct wb_equal_share_t {
    char *own_id;
    int64_t window_ms;
    GHashTable *nodes; /* id -> wb_shared_node_t */
    unsigned listed;   /* number of listed nodes */
    uint64_t digest;   /* of the listed ids */
    int64_t as_of_ms;  /* time as of which the list is complete; 0: never */
    gboolean is_first; /* no process ran on this machine before this one */
};

wb_equal_share_t *wb_equal_share_create(const char *own_id, int64_t window_ms) {
    wb_equal_share_t *share = g_new0(wb_equal_share_t, 1);
    share->own_id = g_strdup(own_id);
    share->window_ms = window_ms;
    share->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return share;
}

void wb_equal_share_free(wb_equal_share_t *share) {
    g_hash_table_unref(share->nodes);
    g_free(share->own_id);
    g_free(share);
}

static uint64_t id_digest(const char *id) {
    return XXH64(id, strlen(id), 0);
}

void wb_equal_share_add(wb_equal_share_t *share, const char *id, int64_t now_ms) {
    wb_shared_node_t *node = g_hash_table_lookup(share->nodes, id);
    if (node != NULL && node->listed) {
        return;
    }
    if (node == NULL) {
        node = g_new0(wb_shared_node_t, 1);
        g_hash_table_insert(share->nodes, g_strdup(id), node);
    }
    node->listed = TRUE;
    node->since_ms = now_ms;
    share->listed++;
    share->digest += id_digest(id);
}

void wb_equal_share_remove(wb_equal_share_t *share, const char *id, int64_t now_ms) {
    wb_shared_node_t *node = g_hash_table_lookup(share->nodes, id);
    if (node == NULL || !node->listed) {
        return;
    }
    node->listed = FALSE;
    node->since_ms = now_ms;
    share->listed--;
    share->digest -= id_digest(id);
}

void wb_equal_share_set_as_of(wb_equal_share_t *share, int64_t as_of_ms) {
    share->as_of_ms = MAX(share->as_of_ms, as_of_ms);
}

void wb_equal_share_after_pause(wb_equal_share_t *share, int64_t now_ms) {
    wb_shared_node_t *own = g_hash_table_lookup(share->nodes, share->own_id);
    if (own != NULL) {
        own->since_ms = now_ms;
    }
}

void wb_equal_share_set_first_process(wb_equal_share_t *share, int64_t now_ms) {
    wb_shared_node_t *own = g_hash_table_lookup(share->nodes, share->own_id);
    share->is_first = TRUE;
    if (own != NULL && own->listed && g_hash_table_size(share->nodes) == 1) {
        own->since_ms = now_ms - SETTLE_MS - share->window_ms;
    }
}

/* Whether a node counts: it is listed, or may still use its share, or did so within the window. */
static gboolean still_counts(const wb_shared_node_t *node, int64_t window_ms, int64_t now_ms) {
    return node->listed || now_ms - node->since_ms < SETTLE_MS + window_ms;
}

static gboolean all_are_listed(const wb_equal_share_t *share) {
    return share->listed == g_hash_table_size(share->nodes);
}

void wb_equal_share_sweep(wb_equal_share_t *share, int64_t now_ms) {
    if (all_are_listed(share)) {
        return; /* the normal case, without a scan of all nodes */
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, share->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (!still_counts(value, share->window_ms, now_ms)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

uint64_t wb_equal_share_digest(const wb_equal_share_t *share) {
    return share->digest;
}

GHashTable *wb_equal_share_ids(const wb_equal_share_t *share) {
    return share->nodes;
}

/* Whether this node has been listed for at least `min_ms`. */
static gboolean listed_for_at_least(const wb_equal_share_t *share, int64_t min_ms, int64_t now_ms) {
    const wb_shared_node_t *own = g_hash_table_lookup(share->nodes, share->own_id);
    return own != NULL && own->listed && now_ms - own->since_ms >= min_ms;
}

static gboolean list_is_valid(const wb_equal_share_t *share, int64_t now_ms) {
    return share->as_of_ms != 0 && now_ms - share->as_of_ms < WB_SHARE_VALID_MS;
}

static unsigned count_nodes(const wb_equal_share_t *share, int64_t window_ms, int64_t now_ms) {
    if (all_are_listed(share)) {
        return share->listed;
    }
    unsigned count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, share->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += still_counts(value, window_ms, now_ms);
    }
    return count;
}

unsigned wb_equal_share_nodes(const wb_equal_share_t *share, int64_t window_ms, int64_t now_ms) {
    gboolean has_share =
        list_is_valid(share, now_ms) && listed_for_at_least(share, SETTLE_MS + window_ms, now_ms);
    return has_share ? count_nodes(share, window_ms, now_ms) : 0;
}

/* Number of nodes ordered before this one. A longer list of nodes never lowers it: nodes with
 * different lists don't claim more units than there are. */
static unsigned own_rank(const wb_equal_share_t *share) {
    uint64_t own = id_digest(share->own_id);
    unsigned preceding = 0;
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, share->nodes);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        preceding += id_digest(id) > own;
    }
    return preceding;
}

double wb_equal_share_amount(const wb_equal_share_t *share, double whole, int64_t window_ms,
                             int64_t now_ms) {
    unsigned nodes = wb_equal_share_nodes(share, window_ms, now_ms);
    if (nodes == 0) {
        return 0;
    }
    if (whole >= nodes) {
        return whole / nodes;
    }
    return own_rank(share) + 1 <= whole ? 1 : 0;
}

unsigned wb_equal_share_listed(const wb_equal_share_t *share, int64_t window_ms, int64_t now_ms) {
    int64_t min_ms = share->is_first ? 0 : window_ms;
    return listed_for_at_least(share, min_ms, now_ms) ? count_nodes(share, window_ms, now_ms) : 0;
}
