/* Whether the controller hears of what is asked for at this node, and what those are told who wait
 * for it meanwhile. */
#include "edge/edge_node_types.h"

/* A link that ended may be back at once: two tries to connect, 150 ms apart. */
#define UNHEARD_GRACE_MS 400
/* A caller that is refused because this node is cut off should come back soon: its next try
 * reaches another node. */
#define ELSEWHERE_MS 300
/* While the store is away no node is better than another. One that was lost is asked for a table
 * every 1.2 s, so nothing is known to have changed sooner. */
#define STORE_AWAY_MS 1200
/* From when a lease may be taken over until its new holder has heard what is waited for: few nodes'
 * spread of tries (200 ms), a write, a link (150 ms), a decision. */
#define TAKEOVER_SLACK_MS 500
/* A take-over that isn't heard of for so long after it was due has failed, or isn't heard here: the
 * spread of tries (200 ms), a write to the store (its timeout is 900 ms) and a link to its holder.
 */
#define TAKEOVER_LATE_MS 1300
/* News that are later than this have missed twice. */
#define NEWS_LATE_MS 700

static const char *reach_name(wb_controller_reach_t reach) {
    static const char *const names[] = {"reached", "awaited", "unreached"};
    return names[reach];
}

/* The holder renews the lease, though this node can't hear it. A renewal that was made before the
 * link was lost may be read a little later. */
static gboolean holder_renews_unheard(const wb_edge_node_t *node) {
    int64_t renewal_ms = node->edge.settings.lease_renew_ms;
    return wb_lease_row_changed_ms(node->lease) >
           node->unheard_since_ms + UNHEARD_GRACE_MS + renewal_ms;
}

/* A call to the store has failed, and none was answered since the controller is unheard. */
static gboolean store_is_unheard(const wb_edge_node_t *node) {
    gboolean failed = FALSE;
    for (unsigned table = WB_TABLE_CATALOG; table <= WB_TABLE_NODES; table++) {
        failed |= node->store_lost[table];
        if (wb_table_watch_known_ms(wb_edge_node_watch(node, table)) > node->unheard_since_ms) {
            return FALSE;
        }
    }
    return failed;
}

wb_controller_view_t wb_edge_node_controller_view(void *context) {
    const wb_edge_node_t *node = context;
    int64_t now_ms = wb_clock_ms();
    if (wb_edge_node_hears_news(node) || node->unheard_since_ms == 0 ||
        now_ms - node->unheard_since_ms < UNHEARD_GRACE_MS) {
        return (wb_controller_view_t){WB_CONTROLLER_REACHABLE, 0};
    }
    /* The holder is there but may not act: the store is away for it, too, so no other node is
     * better. */
    gboolean store_unheard = store_is_unheard(node);
    if (node->controller_link_open && store_unheard) {
        return (wb_controller_view_t){WB_CONTROLLER_UNREACHABLE, STORE_AWAY_MS};
    }
    int64_t takeover_ms = wb_lease_takeover_at_ms(node->lease);
    gboolean overdue = takeover_ms != 0 && now_ms > takeover_ms + TAKEOVER_LATE_MS;
    if (store_unheard || overdue || holder_renews_unheard(node)) {
        return (wb_controller_view_t){WB_CONTROLLER_UNREACHABLE, ELSEWHERE_MS};
    }
    return (wb_controller_view_t){WB_CONTROLLER_TAKEOVER_PENDING,
                                  MAX(takeover_ms - now_ms, 0) + TAKEOVER_SLACK_MS};
}

/* When news are late, the lease's row is read at once: its time runs from when it was last seen to
 * change, and whether the store is there shows, too. */
static void late_news_check(wb_edge_node_t *node, int64_t now_ms) {
    if (node->held || node->news_heard_ms == 0 || node->late_news_ms == node->news_heard_ms ||
        now_ms - node->news_heard_ms < NEWS_LATE_MS) {
        return;
    }
    node->late_news_ms = node->news_heard_ms;
    wb_table_watch_poll_soon(node->nodes_watch);
}

void wb_edge_node_tick_hearing(wb_edge_node_t *node, int64_t now_ms) {
    late_news_check(node, now_ms);
    gboolean just_opened =
        node->controller_link_open && now_ms - node->link_opened_ms < WB_NEWS_LIFE_MS;
    if (wb_edge_node_hears_news(node) || just_opened) {
        node->unheard_since_ms = 0;
        node->reach_told = WB_CONTROLLER_REACHABLE;
        return;
    }
    const wb_lease_row_t *lease = wb_lease_known_row(node->lease);
    uint64_t token = lease != NULL ? lease->token : 0;
    if (node->unheard_since_ms == 0 || node->unheard_token != token) {
        /* Another holder than the one that was lost has its own time to be heard. */
        node->unheard_since_ms = now_ms;
        node->unheard_token = token;
    }
    wb_controller_view_t view = wb_edge_node_controller_view(node);
    if (view.reach == node->reach_told) {
        return;
    }
    node->reach_told = view.reach;
    wb_exchanges_update_waits(&node->edge);
    if (view.reach == WB_CONTROLLER_REACHABLE) {
        return; /* another holder was found: it may be heard soon */
    }
    wb_event("controller-missing", ",\"for_ms\":%lld,\"reach\":\"%s\",\"expected_in_ms\":%lld",
             (long long)(now_ms - node->unheard_since_ms), reach_name(view.reach),
             (long long)view.available_in_ms);
}
