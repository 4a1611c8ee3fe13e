/* Connects to an engine, directly or through another node. */
#include "request/engine_connect.h"

#include "tunnel/tunnel_client.h"

/* Several times what connecting takes within a region. */
#define ASK_PEER_AFTER_MS 40
#define MAX_PEERS 3

typedef struct wb_peer_attempt_t {
    wb_engine_connect_t *connect;
    wb_tunnel_client_t *client; /* NULL: not under way */
    char *peer;
} wb_peer_attempt_t;

struct wb_engine_connect_t {
    wb_edge_t *edge;
    wb_engine_t *engine;
    char *request_id;
    const wb_engine_connect_events_t *events; /* NULL: the caller needs nothing more */
    void *context;
    wb_tcp_stream_t *direct; /* NULL: not under way */
    gboolean direct_refused;
    const char *direct_reason;
    wb_peer_attempt_t peers[MAX_PEERS];
    unsigned peers_asked;
    unsigned engine_failures; /* answers of nodes that didn't reach the engine */
    gboolean refused_by_peer; /* nothing listens at the engine's address, another node found */
    gboolean no_more_peers;
    GHashTable *asked;  /* set of ids */
    wb_timer_t *timer;  /* for the next peer */
    wb_timer_t *expiry; /* of the whole attempt */
};

static void peer_stop(wb_peer_attempt_t *attempt) {
    if (attempt->client != NULL)
        wb_tunnel_cancel(attempt->client);
    attempt->client = NULL;
}

static void timer_stop(wb_timer_t **timer) {
    if (*timer != NULL)
        wb_timer_cancel(*timer);
    *timer = NULL;
}

static void peers_stop(wb_engine_connect_t *connect) {
    for (unsigned i = 0; i < MAX_PEERS; i++)
        peer_stop(&connect->peers[i]);
    timer_stop(&connect->timer);
}

static void connect_free(wb_engine_connect_t *connect) {
    peers_stop(connect);
    timer_stop(&connect->expiry);
    if (connect->direct != NULL)
        wb_tcp_stream_close(connect->direct);
    for (unsigned i = 0; i < MAX_PEERS; i++)
        g_free(connect->peers[i].peer);
    g_hash_table_unref(connect->asked);
    wb_engine_unref(connect->engine);
    g_free(connect->request_id);
    g_free(connect);
}

static void cut_log(wb_engine_t *engine, gboolean cut, const char *request_id) {
    if (engine->reach.cut_logged == cut)
        return;
    engine->reach.cut_logged = cut;
    wb_event(cut ? "engine-cut" : "engine-reached-again", ",\"engine\":\"%s\",\"id\":\"%s\"",
             engine->state->id, request_id);
}

void wb_edge_note_reach(wb_edge_t *edge, wb_engine_t *engine, wb_reach_result_t result,
                        const char *request_id) {
    int64_t now_ms = wb_clock_ms();
    wb_reach_summary_add(edge->reach, engine->state->id, result, now_ms);
    if (result == WB_REACH_CONNECTED)
        engine->reach.connected_ms = now_ms;
    if (result != WB_REACH_FAILED)
        cut_log(engine, result == WB_REACH_BY_PEER, request_id);
}

void wb_engine_connect_cancel(wb_engine_connect_t *connect) {
    connect_free(connect);
}

static gboolean any_peer_under_way(const wb_engine_connect_t *connect) {
    for (unsigned i = 0; i < MAX_PEERS; i++)
        if (connect->peers[i].client != NULL)
            return TRUE;
    return FALSE;
}

static void result_note(wb_engine_connect_t *connect, wb_reach_result_t result) {
    wb_edge_note_reach(connect->edge, connect->engine, result, connect->request_id);
}

/* Ends the attempt if nothing is left that may succeed. It may be freed. */
static void end_check(wb_engine_connect_t *connect) {
    if (connect->direct != NULL || any_peer_under_way(connect) ||
        (connect->events != NULL && !connect->no_more_peers))
        return;
    if (connect->events != NULL) {
        if (connect->engine_failures > 0)
            connect->engine->reach.peers_failed_ms = wb_clock_ms();
        result_note(connect, WB_REACH_FAILED);
        connect->events->on_failed(connect->refused_by_peer ? WB_CONNECT_REFUSED_BY_PEER
                                                            : connect->direct_reason,
                                   connect->context);
    }
    connect_free(connect);
}

/* Hands the connection over. The direct attempt may go on. */
static void connected(wb_engine_connect_t *connect, wb_tcp_stream_t *stream,
                      const wb_engine_tunnel_t *tunnel) {
    const wb_engine_connect_events_t *events = connect->events;
    connect->events = NULL;
    events->on_connected(stream, tunnel, connect->context);
}

static void peer_ask_next(wb_engine_connect_t *connect);

static void peer_ask_due(void *context) {
    wb_engine_connect_t *connect = context;
    connect->timer = NULL;
    peer_ask_next(connect);
    end_check(connect);
}

static void peer_done(wb_tunnel_client_t *client, wb_tunnel_outcome_t outcome,
                      wb_tcp_stream_t *stream, gboolean in_blocks, void *context) {
    (void)client;
    wb_peer_attempt_t *attempt = context;
    wb_engine_connect_t *connect = attempt->connect;
    wb_edge_t *edge = connect->edge;
    int64_t now_ms = wb_clock_ms();
    attempt->client = NULL;
    wb_peer_record_add(edge->peers, attempt->peer, outcome == WB_TUNNEL_OPENED, now_ms);
    if (outcome != WB_TUNNEL_OPENED) {
        edge->metrics.tunnels_failed++;
        connect->engine_failures +=
            outcome == WB_TUNNEL_ENGINE_FAILED || outcome == WB_TUNNEL_ENGINE_REFUSED;
        connect->refused_by_peer |= outcome == WB_TUNNEL_ENGINE_REFUSED;
        peer_ask_next(connect);
        end_check(connect);
        return;
    }
    edge->metrics.tunnels_opened++;
    peers_stop(connect);
    connect->engine->reach.by_peer_ms = now_ms;
    /* A direct attempt that still succeeds clears this. */
    connect->engine->reach.failed_ms = now_ms;
    edge->doubted_ms = now_ms;
    if (edge->doubt_since_ms == 0)
        edge->doubt_since_ms = now_ms;
    if (connect->direct == NULL)
        result_note(connect, WB_REACH_BY_PEER);
    connected(connect, stream, &(wb_engine_tunnel_t){attempt->peer, in_blocks});
    end_check(connect);
}

/* Asks the next node, and sets the time for the one after it. */
static void peer_ask_next(wb_engine_connect_t *connect) {
    wb_edge_t *edge = connect->edge;
    wb_peer_t peer;
    timer_stop(&connect->timer);
    connect->no_more_peers =
        connect->peers_asked == MAX_PEERS || edge->choose_peer == NULL ||
        (connect->refused_by_peer && connect->direct_refused) ||
        !wb_engine_reach_may_ask_peers(&connect->engine->reach, wb_clock_ms()) ||
        !edge->choose_peer(connect->asked, &peer, edge->node_context);
    if (connect->no_more_peers)
        return;
    wb_peer_attempt_t *attempt = &connect->peers[connect->peers_asked++];
    const wb_edge_settings_t *settings = &edge->settings;
    wb_tunnel_request_t request = {
        .peer_address = peer.address,
        .node = settings->id,
        .request = connect->request_id,
        .engine = connect->engine->state->id,
        .incarnation = connect->engine->state->incarnation,
        .engine_address = connect->engine->state->address,
        .connect = {settings->connect_timeout_ms, settings->silence_limit_ms, NULL}};
    attempt->connect = connect;
    attempt->peer = g_strdup(peer.id);
    g_hash_table_add(connect->asked, attempt->peer);
    edge->metrics.tunnels_asked++;
    attempt->client = wb_tunnel_open(edge->loop, &request, peer_done, attempt);
    connect->timer = wb_loop_after(edge->loop, ASK_PEER_AFTER_MS, peer_ask_due, connect);
}

static void direct_open(wb_tcp_stream_t *stream, void *context) {
    wb_engine_connect_t *connect = context;
    connect->direct = NULL;
    result_note(connect, WB_REACH_CONNECTED);
    peers_stop(connect);
    if (connect->events != NULL)
        connected(connect, stream, NULL);
    else
        wb_tcp_stream_close(stream);
    connect_free(connect);
}

/* The direct attempt has failed; another node may have succeeded before. */
static void direct_lost(wb_engine_connect_t *connect, const char *reason) {
    connect->direct_reason = reason;
    connect->engine->reach.failed_ms = wb_clock_ms();
    if (connect->events == NULL)
        result_note(connect, WB_REACH_BY_PEER);
    else if (connect->peers_asked == 0)
        peer_ask_next(connect);
    end_check(connect);
}

static void direct_end(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how, void *context) {
    wb_engine_connect_t *connect = context;
    connect->direct = NULL;
    wb_tcp_stream_close(stream);
    connect->direct_refused = how == WB_TCP_END_REFUSED;
    direct_lost(connect, how == WB_TCP_END_REFUSED ? WB_CONNECT_REFUSED : "unreached");
}

static void direct_not_started(void *context) {
    wb_engine_connect_t *connect = context;
    connect->timer = NULL;
    direct_lost(connect, "no-connection");
}

/* The time is over for everything but a direct attempt, which has its own. */
static void expired(void *context) {
    wb_engine_connect_t *connect = context;
    connect->expiry = NULL;
    peers_stop(connect);
    connect->no_more_peers = TRUE;
    end_check(connect);
}

static void direct_data(wb_tcp_stream_t *stream, const char *data, size_t length, void *context) {
    (void)stream; /* not before it is handed over */
    (void)data;
    (void)length;
    (void)context;
}

static void direct_start(wb_engine_connect_t *connect) {
    static const wb_tcp_events_t events = {direct_open, direct_data, direct_end, NULL};
    wb_edge_t *edge = connect->edge;
    wb_tcp_connect_options_t options = {edge->settings.connect_timeout_ms,
                                        edge->settings.silence_limit_ms, edge->settings.bind_host};
    wb_error_t error;
    if (wb_tcp_stream_connect(edge->loop, connect->engine->state->address, &options, &events,
                              connect, &connect->direct, &error) != APR_SUCCESS) {
        connect->direct = NULL;
        connect->timer = wb_loop_after(edge->loop, 0, direct_not_started, connect);
        return;
    }
    gboolean at_once = wb_engine_reach_is_doubtful(&connect->engine->reach, wb_clock_ms());
    connect->timer =
        wb_loop_after(edge->loop, at_once ? 0 : ASK_PEER_AFTER_MS, peer_ask_due, connect);
}

wb_engine_connect_t *wb_engine_connect_start(wb_edge_t *edge, wb_engine_t *engine,
                                             const char *request_id,
                                             const wb_engine_connect_events_t *events,
                                             void *context) {
    wb_engine_connect_t *connect = g_new0(wb_engine_connect_t, 1);
    connect->edge = edge;
    connect->engine = wb_engine_ref(engine);
    connect->request_id = g_strdup(request_id);
    connect->events = events;
    connect->context = context;
    connect->direct_reason = "unreached";
    connect->asked = g_hash_table_new(g_str_hash, g_str_equal);
    connect->expiry =
        wb_loop_after(edge->loop, edge->settings.connect_timeout_ms, expired, connect);
    direct_start(connect);
    return connect;
}
