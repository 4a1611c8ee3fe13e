/* Asks other nodes to connect to an engine within their shares of its limit. */
#include "request/share_connect.h"

#include "tunnel/tunnel_client.h"

#define MAX_PEERS 3

struct wb_share_connect_t {
    wb_edge_t *edge;
    wb_engine_t *engine;
    char *request_id;
    const wb_engine_connect_events_t *events;
    void *context;
    wb_tunnel_client_t *client; /* NULL: no question is under way */
    char *peer;                 /* that is asked */
    GHashTable *asked;          /* set of ids, owned */
    wb_timer_t *timer;          /* to fail later */
};

static void connect_free(wb_share_connect_t *connect) {
    if (connect->timer != NULL)
        wb_timer_cancel(connect->timer);
    if (connect->client != NULL)
        wb_tunnel_cancel(connect->client);
    g_hash_table_unref(connect->asked);
    wb_engine_unref(connect->engine);
    g_free(connect->request_id);
    g_free(connect);
}

void wb_share_connect_cancel(wb_share_connect_t *connect) {
    connect_free(connect);
}

static void connect_fail(void *context) {
    wb_share_connect_t *connect = context;
    connect->timer = NULL;
    connect->events->on_failed(WB_CONNECT_NO_SHARE, connect->context);
    connect_free(connect);
}

static gboolean peer_ask_next(wb_share_connect_t *connect);

static void peer_done(wb_tunnel_client_t *client, wb_tunnel_outcome_t outcome,
                      wb_tcp_stream_t *stream, gboolean in_blocks, void *context) {
    (void)client;
    wb_share_connect_t *connect = context;
    connect->client = NULL;
    if (outcome == WB_TUNNEL_OPENED) {
        connect->edge->metrics.limit_shares_borrowed++;
        connect->events->on_connected(stream, &(wb_engine_tunnel_t){connect->peer, in_blocks},
                                      connect->context);
        connect_free(connect);
    } else if (!peer_ask_next(connect)) {
        connect_fail(connect);
    }
}

/* Returns FALSE when there is nobody left to ask. */
static gboolean peer_ask_next(wb_share_connect_t *connect) {
    wb_edge_t *edge = connect->edge;
    const wb_engine_state_t *state = connect->engine->state;
    wb_peer_t peer;
    while (g_hash_table_size(connect->asked) < MAX_PEERS &&
           edge->choose_peer(connect->asked, &peer, edge->node_context)) {
        wb_tunnel_request_t request = {
            .peer_address = peer.address,
            .node = edge->settings.id,
            .request = connect->request_id,
            .engine = state->id,
            .incarnation = state->incarnation,
            .engine_address = state->address,
            .is_counted = TRUE,
            .connect = {edge->settings.connect_timeout_ms, edge->settings.silence_limit_ms, NULL}};
        connect->peer = g_strdup(peer.id);
        g_hash_table_add(connect->asked, connect->peer);
        connect->client = wb_tunnel_open(edge->loop, &request, peer_done, connect);
        if (connect->client != NULL)
            return TRUE;
    }
    return FALSE;
}

wb_share_connect_t *wb_share_connect_start(wb_edge_t *edge, wb_engine_t *engine,
                                           const char *request_id,
                                           const wb_engine_connect_events_t *events,
                                           void *context) {
    wb_share_connect_t *connect = g_new0(wb_share_connect_t, 1);
    connect->edge = edge;
    connect->engine = wb_engine_ref(engine);
    connect->request_id = g_strdup(request_id);
    connect->events = events;
    connect->context = context;
    connect->asked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (!peer_ask_next(connect))
        connect->timer = wb_loop_after(edge->loop, 0, connect_fail, connect);
    return connect;
}
