/* Whether a controller receives this node's demand, and how long requests wait or back off
 * meanwhile.
 * Times are in ms. */
#include "edge/edge_node_types.h"

/* A link that broke may be reopened at once: time for two attempts to connect. */
#define UNREACHED_GRACE_MS 400
/* Retry time while only this node is cut off: the client's next attempt reaches another node. */
#define OTHER_NODE_RETRY_MS 300
/* Retry time while the store is unavailable, which affects all nodes: the interval at which a
 * failing table is polled. */
#define STORE_UNAVAILABLE_RETRY_MS 1200
/* Time from when the lease may be taken over until the new holder has received demand: jitter of
 * the attempts, a write, a link, a decision. */
#define TAKEOVER_SLACK_MS 500
/* A takeover that isn't seen this long after it was due has failed or can't be seen here: jitter of
 * the attempts, a write to the store up to its timeout, a link to the new holder. */
#define TAKEOVER_OVERDUE_MS 1300
/* Age of the last update at which two updates are overdue. */
#define UPDATE_LATE_MS 700

static const char *reach_name(wb_controller_reach_t reach) {
    static const char *const names[] = {"reached", "awaited", "unreached"};
    return names[reach];
}

/* Returns TRUE when the holder renews the lease though this node isn't connected to it. A renewal
 * from before the link was lost may be read a little later and doesn't count. */
static gboolean unreached_holder_renews(const wb_edge_node_t *node) {
    int64_t renewal_ms = node->edge.settings.lease_renew_ms;
    return wb_lease_row_changed_ms(node->lease) >
           node->unreached_since_ms + UNREACHED_GRACE_MS + renewal_ms;
}

/* Returns TRUE when a call to the store has failed, and none succeeded since the controller became
 * unreachable. */
static gboolean store_is_unreachable(const wb_edge_node_t *node) {
    gboolean failed = FALSE;
    for (unsigned table = WB_TABLE_CATALOG; table <= WB_TABLE_NODES; table++) {
        failed |= node->store_unavailable[table];
        if (wb_table_watch_known_ms(wb_edge_node_watch(node, table)) > node->unreached_since_ms) {
            return FALSE;
        }
    }
    return failed;
}

wb_controller_view_t wb_edge_node_controller_view(void *context) {
    const wb_edge_node_t *node = context;
    int64_t now_ms = wb_clock_ms();
    if (wb_edge_node_has_recent_updates(node) || node->unreached_since_ms == 0 ||
        now_ms - node->unreached_since_ms < UNREACHED_GRACE_MS) {
        return (wb_controller_view_t){WB_CONTROLLER_REACHABLE, 0};
    }
    /* The holder is connected but may not send orders: the store is unavailable for it too, so no
     * other node is better. */
    gboolean store_unreachable = store_is_unreachable(node);
    if (node->controller_link_open && store_unreachable) {
        return (wb_controller_view_t){WB_CONTROLLER_UNREACHABLE, STORE_UNAVAILABLE_RETRY_MS};
    }
    int64_t takeover_ms = wb_lease_takeover_at_ms(node->lease);
    gboolean overdue = takeover_ms != 0 && now_ms > takeover_ms + TAKEOVER_OVERDUE_MS;
    if (store_unreachable || overdue || unreached_holder_renews(node)) {
        return (wb_controller_view_t){WB_CONTROLLER_UNREACHABLE, OTHER_NODE_RETRY_MS};
    }
    return (wb_controller_view_t){WB_CONTROLLER_TAKEOVER_PENDING,
                                  MAX(takeover_ms - now_ms, 0) + TAKEOVER_SLACK_MS};
}

/* Reads the lease row at once when an update is late: the lease's time runs from when its row was
 * last seen to change, and the read also shows whether the store is available. */
static void late_update_check(wb_edge_node_t *node, int64_t now_ms) {
    if (node->lease_held || node->update_received_ms == 0 ||
        node->late_update_ms == node->update_received_ms ||
        now_ms - node->update_received_ms < UPDATE_LATE_MS) {
        return;
    }
    node->late_update_ms = node->update_received_ms;
    wb_table_watch_poll_soon(node->nodes_watch);
}

void wb_edge_node_tick_reach(wb_edge_node_t *node, int64_t now_ms) {
    late_update_check(node, now_ms);
    gboolean just_opened =
        node->controller_link_open && now_ms - node->link_opened_ms < WB_UPDATE_LIFE_MS;
    if (wb_edge_node_has_recent_updates(node) || just_opened) {
        node->unreached_since_ms = 0;
        node->reach_notified = WB_CONTROLLER_REACHABLE;
        return;
    }
    const wb_lease_row_t *lease = wb_lease_known_row(node->lease);
    uint64_t token = lease != NULL ? lease->token : 0;
    if (node->unreached_since_ms == 0 || node->unreached_token != token) {
        /* A new holder gets its own time to become reachable. */
        node->unreached_since_ms = now_ms;
        node->unreached_token = token;
    }
    wb_controller_view_t view = wb_edge_node_controller_view(node);
    if (view.reach == node->reach_notified) {
        return;
    }
    node->reach_notified = view.reach;
    wb_exchanges_update_waits(&node->edge);
    if (view.reach == WB_CONTROLLER_REACHABLE) {
        return; /* a new holder was found and may be reachable soon */
    }
    wb_event("controller-missing", ",\"for_ms\":%lld,\"reach\":\"%s\",\"expected_in_ms\":%lld",
             (long long)(now_ms - node->unreached_since_ms), reach_name(view.reach),
             (long long)view.available_in_ms);
}
