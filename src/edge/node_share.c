/* The number of nodes that divide the cluster-wide budgets (equal_share.h).
 * A node reads the nodes table itself, or the lease holder sends the age of its own read and a
 * digest of the node ids that it knows: with an equal digest no node is missing here. The highest
 * row version wouldn't show that, as rows from before the link was opened may be missing below it.
 * Times are in ms. */
#include "edge/edge_node_types.h"

/* Interval of the digest in store updates. */
#define DIGEST_INTERVAL_MS 1000
/* Ticks further apart than this mean that the process was paused. */
#define PAUSED_MS 1000

gboolean wb_edge_node_share_digest_is_due(wb_edge_node_t *node, int64_t now_ms) {
    if (now_ms - node->digest_sent_ms < DIGEST_INTERVAL_MS) {
        return FALSE;
    }
    node->digest_sent_ms = now_ms;
    return TRUE;
}

void wb_edge_node_share_take_digest(wb_edge_node_t *node, const wb_wire_table_view *view,
                                    int64_t now_ms) {
    if (view->newest == wb_equal_share_digest(node->edge.share)) {
        wb_equal_share_set_as_of(node->edge.share, now_ms - (int64_t)view->age_ms);
    } else if (now_ms - node->digest_polled_ms >= WB_SHARE_VALID_MS) {
        /* One side has missed a node: poll the store, but not for each digest. */
        node->digest_polled_ms = now_ms;
        wb_table_watch_poll_soon(node->nodes_watch);
    }
}

/* The store orders writes and reads: of two nodes that create their rows at the same time, at least
 * one reads the other's row along with its own. */
static void first_row_check(wb_edge_node_t *node, int64_t now_ms) {
    if (node->node_row_created && g_hash_table_contains(node->nodes, node->edge.settings.id)) {
        node->node_row_created = FALSE;
        wb_equal_share_set_first_process(node->edge.share, now_ms);
    }
}

static void share_nodes_log(wb_edge_node_t *node, int64_t now_ms) {
    unsigned nodes =
        wb_equal_share_nodes(node->edge.share, wb_edge_retry_window_ms(&node->edge), now_ms);
    if (nodes == node->share_nodes) {
        return;
    }
    wb_event("share-changed", ",\"nodes\":%u,\"before\":%u,\"listed\":%u", nodes, node->share_nodes,
             node->edge.node_count);
    node->share_nodes = nodes;
}

void wb_edge_node_tick_share(wb_edge_node_t *node, int64_t now_ms) {
    wb_equal_share_t *share = node->edge.share;
    if (node->share_ticked_ms != 0 && now_ms - node->share_ticked_ms > PAUSED_MS) {
        wb_event("share-restarted", ",\"after_ms\":%lld",
                 (long long)(now_ms - node->share_ticked_ms));
        wb_equal_share_after_pause(share, now_ms);
    }
    node->share_ticked_ms = now_ms;
    wb_equal_share_set_as_of(share, wb_table_watch_known_ms(node->nodes_watch));
    first_row_check(node, now_ms);
    wb_equal_share_sweep(share, now_ms);
    share_nodes_log(node, now_ms);
}
