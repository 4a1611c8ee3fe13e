/* Reaching engines through other nodes: which nodes can be asked, the server for those that ask
 * this one, and what being isolated means for the lease. Times are in ms. */
#include "edge/edge_node_types.h"

#include <string.h>

/* A node that reaches an engine connects within a few ms; the asking one waits for little more. */
#define TUNNEL_CONNECT_MS 150
/* Silence of an engine or an asking node after which a tunnel ends: beyond three keep-alive probes,
 * as a sound engine may be silent for a second or so. */
#define TUNNEL_SILENCE_MS 3500
/* Two descriptors each. */
#define MAX_TUNNELS 512
/* Delay between the connections by which this node finds out whether it is isolated. */
#define PROBE_INTERVAL_MS 100
/* Time after another node was faster by which the direct attempt has a result. */
#define DOUBT_MS 500
/* How long a holder is isolated before it hands the lease over. */
#define HANDOVER_DELAY_MS 200

const char *wb_edge_node_tunnel_address(const wb_edge_node_t *node) {
    const wb_edge_settings_t *settings = &node->edge.settings;
    return *settings->advertise_tunnels != '\0' ? settings->advertise_tunnels
                                                : settings->listen_tunnels;
}

gboolean wb_edge_node_choose_peer(GHashTable *asked, wb_peer_t *peer, void *context) {
    const wb_edge_node_t *node = context;
    g_autoptr(GArray) candidates = g_array_new(FALSE, FALSE, sizeof(wb_peer_candidate_t));
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    g_hash_table_iter_init(&iter, node->nodes);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const wb_node_row_t *row = value;
        wb_peer_candidate_t candidate = {id, row->tunnel_address, row->zone};
        if (row->tunnel_address != NULL && strcmp(id, node->edge.settings.id) != 0)
            g_array_append_val(candidates, candidate);
    }
    int index = wb_peer_choose(node->edge.peers, candidates, asked, node->edge.settings.zone,
                               wb_clock_ms());
    if (index < 0)
        return FALSE;
    const wb_peer_candidate_t *chosen = &g_array_index(candidates, wb_peer_candidate_t, index);
    *peer = (wb_peer_t){chosen->id, chosen->address};
    return TRUE;
}

/* The server. */

static wb_wire_tunnel_result tunnel_check(const wb_wire_tunnel_open *question, gboolean is_counted,
                                          void *context) {
    wb_edge_node_t *node = context;
    int64_t now_ms = wb_clock_ms();
    wb_engine_t *engine = wb_fleet_find(node->edge.fleet, question->engine);
    if (engine == NULL)
        return wb_edge_node_has_large_fleet(node) && !is_counted ? WB_WIRE_TUNNEL_CONNECTED
                                                                 : WB_WIRE_TUNNEL_NOT_IN_USE;
    if (strcmp(engine->state->incarnation, question->incarnation) != 0 ||
        strcmp(engine->state->address, question->address) != 0 ||
        !wb_engine_is_usable(engine, now_ms))
        return WB_WIRE_TUNNEL_NOT_IN_USE;
    if (wb_engine_reach_is_cut(&engine->reach, now_ms))
        return WB_WIRE_TUNNEL_CUT_OFF;
    if (is_counted && !wb_balancer_take_limit_share(&node->edge, engine, now_ms))
        return WB_WIRE_TUNNEL_NO_SHARE;
    return WB_WIRE_TUNNEL_CONNECTED;
}

static void tunnel_result(const char *engine_id, gboolean connected, void *context) {
    wb_edge_node_t *node = context;
    wb_engine_t *engine = wb_fleet_find(node->edge.fleet, engine_id);
    if (engine == NULL)
        return;
    if (connected)
        wb_edge_note_reach(&node->edge, engine, WB_REACH_CONNECTED, "");
    else
        engine->reach.failed_ms = wb_clock_ms();
}

static gboolean is_in_doubt(void *context) {
    return ((const wb_edge_node_t *)context)->edge.doubt_since_ms != 0;
}

apr_status_t wb_edge_node_open_tunnels(wb_edge_node_t *node, wb_error_t *error) {
    const wb_edge_settings_t *settings = &node->edge.settings;
    if (*settings->listen_tunnels == '\0')
        return APR_SUCCESS;
    wb_tunnel_server_options_t options = {
        .listen = settings->listen_tunnels,
        .connect = {TUNNEL_CONNECT_MS, TUNNEL_SILENCE_MS, settings->bind_host},
        .silence_limit_ms = TUNNEL_SILENCE_MS,
        .max_tunnels = MAX_TUNNELS,
        .metrics = &node->edge.metrics,
        .check = tunnel_check,
        .may_be_cut_off = is_in_doubt,
        .on_result = tunnel_result,
        .context = node};
    return wb_tunnel_server_create(node->edge.loop, &options, &node->tunnel_server, error);
}

/* Probes. */

static void probe_connected(wb_tcp_stream_t *stream, const wb_engine_tunnel_t *tunnel,
                            void *context) {
    (void)tunnel;
    ((wb_edge_node_t *)context)->probe = NULL;
    wb_tcp_stream_close(stream);
}

static void probe_failed(const char *reason, void *context) {
    (void)reason;
    ((wb_edge_node_t *)context)->probe = NULL;
}

/* Connects to an engine, only to learn who reaches it. */
static void probe_start(wb_edge_node_t *node, wb_engine_t *engine, int64_t now_ms) {
    static const wb_engine_connect_events_t events = {probe_connected, probe_failed};
    if (node->probe != NULL || now_ms < node->probe_next_ms)
        return;
    node->probe_next_ms = now_ms + PROBE_INTERVAL_MS;
    node->probe = wb_engine_connect_start(&node->edge, engine, "", &events, node);
}

void wb_edge_node_call_failed(wb_engine_t *engine, void *context) {
    probe_start(context, engine, wb_clock_ms());
}

gboolean wb_edge_node_may_be_cut_off(const wb_engine_t *engine, void *context) {
    const wb_edge_node_t *node = context;
    return node->edge.doubt_since_ms != 0 || wb_engine_reach_is_cut(&engine->reach, wb_clock_ms());
}

/* Returns an engine that wasn't tried lately, or NULL. */
static wb_engine_t *untried_engine(const wb_edge_node_t *node, int64_t now_ms) {
    GHashTableIter iter;
    gpointer id;
    gpointer engine;
    g_hash_table_iter_init(&iter, wb_fleet_all(node->edge.fleet));
    while (g_hash_table_iter_next(&iter, &id, &engine)) {
        if (!wb_reach_summary_has(node->edge.reach, id, now_ms))
            return engine;
    }
    return NULL;
}

/* Isolation. */

static void isolation_log(const wb_edge_node_t *node, const char *event, int64_t now_ms) {
    const wb_edge_t *edge = &node->edge;
    wb_event(event, ",\"engines_cut\":%u,\"engines_reached\":%u",
             wb_reach_summary_count(edge->reach, WB_REACH_BY_PEER, now_ms),
             wb_reach_summary_count(edge->reach, WB_REACH_CONNECTED, now_ms));
}

static void isolation_update(wb_edge_node_t *node, int64_t now_ms) {
    wb_edge_t *edge = &node->edge;
    unsigned engines = g_hash_table_size(wb_fleet_all(edge->fleet));
    wb_reach_verdict_t verdict = wb_reach_summary_verdict(edge->reach, engines, now_ms);
    gboolean was_isolated = edge->isolated_since_ms != 0;
    if (verdict == WB_REACH_ISOLATED && !was_isolated) {
        edge->isolated_since_ms = now_ms;
        edge->metrics.isolations++;
        isolation_log(node, "isolated", now_ms);
    } else if (verdict != WB_REACH_ISOLATED && was_isolated) {
        edge->isolated_since_ms = 0;
        isolation_log(node, "isolation-over", now_ms);
    }
    if (verdict == WB_REACH_NORMAL && now_ms - edge->doubted_ms > DOUBT_MS)
        edge->doubt_since_ms = 0;
    wb_engine_t *untried = verdict == WB_REACH_UNDECIDED ? untried_engine(node, now_ms) : NULL;
    if (untried != NULL)
        probe_start(node, untried, now_ms);
}

/* A holder that can't order engines which others can hands the lease over. */
static void holder_check(wb_edge_node_t *node, int64_t now_ms) {
    wb_edge_t *edge = &node->edge;
    if (!node->lease_held || edge->isolated_since_ms == 0 ||
        now_ms - edge->isolated_since_ms < HANDOVER_DELAY_MS)
        return;
    edge->metrics.lease_handovers++;
    wb_event("lease-handed-over", ",\"token\":%llu",
             (unsigned long long)wb_lease_token(node->lease));
    wb_lease_hand_over(node->lease, now_ms);
    wb_edge_node_check_lease(node);
}

void wb_edge_node_tick_tunnels(wb_edge_node_t *node, int64_t now_ms) {
    isolation_update(node, now_ms);
    holder_check(node, now_ms);
}
