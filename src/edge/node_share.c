/* How this node learns among how many nodes is divided what all of them may spend together.
 *
 * It reads the nodes' table itself, or the lease's holder tells it how old its own reading is and a
 * digest of the nodes that it knows: where that is the same as here, nothing is missing here. The
 * highest version of a row wouldn't show that, as rows that came before a link was up may be
 * missing below it. */
#include "edge/edge_node_types.h"

/* Time between two digests in the holder's news. */
#define DIGEST_INTERVAL_MS 1000
/* A node whose rounds are so far apart stood still. */
#define SUSPENDED_MS 1000

gboolean wb_edge_node_share_digest_is_due(wb_edge_node_t *node, int64_t now_ms) {
    if (now_ms - node->share_told_ms < DIGEST_INTERVAL_MS) {
        return FALSE;
    }
    node->share_told_ms = now_ms;
    return TRUE;
}

void wb_edge_node_share_hear(wb_edge_node_t *node, const wb_wire_table_view *view, int64_t now_ms) {
    if (view->newest == wb_equal_share_digest(node->edge.share)) {
        wb_equal_share_set_as_of(node->edge.share, now_ms - (int64_t)view->age_ms);
    } else if (now_ms - node->share_looked_ms >= WB_SHARE_VALID_MS) {
        /* Either side has missed a node: ask the store, but not with each digest. */
        node->share_looked_ms = now_ms;
        wb_table_watch_poll_soon(node->nodes_watch);
    }
}

/* The store orders writes and reads: of two nodes that begin at the same time at least one reads
 * the other's row with its own. */
static void begin_first(wb_edge_node_t *node, int64_t now_ms) {
    if (node->node_row_created && g_hash_table_contains(node->nodes, node->edge.settings.id)) {
        node->node_row_created = FALSE;
        wb_equal_share_set_first_process(node->edge.share, now_ms);
    }
}

static void nodes_log(wb_edge_node_t *node, int64_t now_ms) {
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
    if (node->share_ticked_ms != 0 && now_ms - node->share_ticked_ms > SUSPENDED_MS) {
        wb_event("share-restarted", ",\"after_ms\":%lld",
                 (long long)(now_ms - node->share_ticked_ms));
        wb_equal_share_after_pause(share, now_ms);
    }
    node->share_ticked_ms = now_ms;
    wb_equal_share_set_as_of(share, wb_table_watch_known_ms(node->nodes_watch));
    begin_first(node, now_ms);
    wb_equal_share_sweep(share, now_ms);
    nodes_log(node, now_ms);
}
