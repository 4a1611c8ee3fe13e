/* Links to other nodes by node name. Both sides begin a link with a handshake (WB_WIRE_HELLO) that
 * names cluster and node. There may be several links to a node, for example when both have
 * connected at the same time; `by_node` holds the one used for sending. */
#include "wickbridge/peers.h"

#include "wickbridge/log.h"

#include <string.h>

typedef struct wb_peer_t {
    wb_peers_t *peers;
    wb_link_t *link;
    char *node; /* for a link opened by address: NULL until the peer's handshake */
    char *address;
    gboolean handshake_received;
    gboolean overlay_wanted;    /* this node asks for heartbeats */
    gboolean overlay_requested; /* the peer asks for heartbeats */
    gboolean announced;
    int64_t last_received_ms;
    int64_t last_used_ms; /* last message that is neither a handshake nor a heartbeat */
} wb_peer_t;

struct wb_peers_t {
    wb_loop_t *loop;
    char *cluster;
    char *node;
    char *address;
    char *zone;
    wb_peers_events_t events;
    wb_tls_context_t *tls;
    char *bind_host;
    wb_link_listener_t *listener;
    wb_link_counters_t counters;
    GPtrArray *all;      /* every wb_peer_t */
    GHashTable *by_node; /* node -> wb_peer_t whose link is used for sending */
};

static void handshake_send(wb_peer_t *peer) {
    wb_peers_t *peers = peer->peers;
    wb_wire_message message = {.kind = WB_WIRE_HELLO};
    wb_wire_hello *hello = &message.wb_wire_message_u.hello;
    hello->cluster = peers->cluster;
    hello->node = peers->node;
    hello->address = peers->address;
    hello->zone = peers->zone;
    hello->overlay = peer->overlay_wanted;
    wb_link_send(peer->link, &message);
}

static void peer_free(wb_peer_t *peer) {
    wb_peers_t *peers = peer->peers;
    if (peer->node != NULL && g_hash_table_lookup(peers->by_node, peer->node) == peer) {
        g_hash_table_remove(peers->by_node, peer->node);
        /* Falls back to another link to the same node. */
        for (guint i = 0; i < peers->all->len; i++) {
            wb_peer_t *other = peers->all->pdata[i];
            if (other != peer && other->handshake_received &&
                strcmp(other->node, peer->node) == 0) {
                g_hash_table_insert(peers->by_node, other->node, other);
                break;
            }
        }
    }
    g_ptr_array_remove_fast(peers->all, peer);
    g_free(peer->node);
    g_free(peer->address);
    g_free(peer);
}

static void peer_closed(wb_link_t *link, const char *reason, void *context) {
    (void)context;
    wb_peer_t *peer = wb_link_data(link);
    if (peer == NULL)
        return;
    wb_peers_t *peers = peer->peers;
    g_autofree char *node = g_strdup(peer->node);
    peer_free(peer);
    if (node != NULL && g_hash_table_lookup(peers->by_node, node) == NULL)
        peers->events.on_down(node, reason, peers->events.context);
}

/* Applies the peer's handshake; later ones on a link change the overlay request only. Returns FALSE
 * when the link must be closed. */
static gboolean handshake_receive(wb_peer_t *peer, const wb_wire_hello *hello) {
    wb_peers_t *peers = peer->peers;
    if (strcmp(hello->cluster, peers->cluster) != 0) {
        wb_log_warning(WB_LOG_LINK, "Rejected a link: the peer belongs to cluster %s.",
                       hello->cluster);
        return FALSE;
    }
    if (strcmp(hello->node, peers->node) == 0)
        return FALSE; /* a link to this node itself */
    gboolean newly_requested = hello->overlay && !peer->overlay_requested;
    peer->overlay_requested = hello->overlay;
    if (peer->handshake_received) {
        if (newly_requested)
            peers->events.on_up(peer->node, TRUE, peers->events.context);
        return TRUE;
    }
    peer->handshake_received = TRUE;
    if (peer->node != NULL && strcmp(peer->node, hello->node) != 0) {
        g_autofree char *expected = peer->node;
        if (g_hash_table_lookup(peers->by_node, expected) == peer)
            g_hash_table_remove(peers->by_node, expected);
        peer->node = NULL;
        peers->events.on_address_reused(expected, hello->node, peers->events.context);
    }
    if (peer->node == NULL)
        peer->node = g_strdup(hello->node);
    if (g_hash_table_lookup(peers->by_node, peer->node) == NULL)
        g_hash_table_insert(peers->by_node, peer->node, peer);
    return TRUE;
}

static void peer_message(wb_link_t *link, const wb_wire_message *message, void *context) {
    (void)context;
    wb_peer_t *peer = wb_link_data(link);
    wb_peers_t *peers = peer->peers;
    peer->last_received_ms = wb_clock_ms();
    if (message->kind == WB_WIRE_HELLO) {
        gboolean first = !peer->handshake_received;
        if (!handshake_receive(peer, &message->wb_wire_message_u.hello))
            wb_link_close_later(link, "the peer's handshake was rejected");
        else if (first)
            peers->events.on_up(peer->node, peer->overlay_wanted || peer->overlay_requested,
                                peers->events.context);
        return;
    }
    if (!peer->handshake_received) {
        wb_link_close_later(link, "the peer sent a message before its handshake");
        return;
    }
    if (message->kind != WB_WIRE_HEARTBEAT)
        peer->last_used_ms = peer->last_received_ms;
    peers->events.on_message(peer->node, message, peers->events.context);
}

static wb_peer_t *peer_create(wb_peers_t *peers, wb_link_t *link, const char *node,
                              const char *address) {
    wb_peer_t *peer = g_new0(wb_peer_t, 1);
    peer->peers = peers;
    peer->link = link;
    peer->node = g_strdup(node);
    peer->address = g_strdup(address);
    peer->last_received_ms = wb_clock_ms();
    peer->last_used_ms = peer->last_received_ms;
    wb_link_set_data(link, peer);
    g_ptr_array_add(peers->all, peer);
    return peer;
}

/* Creates the peer of an accepted link and sends the handshake. For outgoing links peer_open has
 * done both. */
static void link_opened(wb_link_t *link, void *context) {
    if (wb_link_data(link) == NULL)
        handshake_send(peer_create(context, link, NULL, NULL));
}

static wb_peer_t *peer_open(wb_peers_t *peers, const char *node, const char *address,
                            gboolean overlay) {
    wb_link_events_t events = {link_opened, peer_message, peer_closed,
                               peers,       peers->tls,   peers->bind_host};
    wb_link_t *link;
    wb_error_t error;
    if (wb_link_connect(peers->loop, address, &events, &peers->counters, &link, &error) !=
        APR_SUCCESS) {
        wb_log_warning(WB_LOG_LINK, "Can't open a link: %s.", error.message);
        return NULL;
    }
    wb_peer_t *peer = peer_create(peers, link, node, address);
    peer->overlay_wanted = overlay;
    if (node != NULL)
        g_hash_table_insert(peers->by_node, peer->node, peer);
    handshake_send(peer);
    return peer;
}

static wb_peer_t *peer_get(wb_peers_t *peers, const char *node, gboolean overlay) {
    wb_peer_t *peer = g_hash_table_lookup(peers->by_node, node);
    if (peer != NULL)
        return peer;
    const char *address = peers->events.find_address(node, peers->events.context);
    return address != NULL ? peer_open(peers, node, address, overlay) : NULL;
}

apr_status_t wb_peers_start(wb_peers_t **peers, wb_loop_t *loop, const wb_peers_self_t *self,
                            const wb_peers_events_t *events, wb_error_t *error) {
    wb_peers_t *created = g_new0(wb_peers_t, 1);
    created->loop = loop;
    created->cluster = g_strdup(self->cluster);
    created->node = g_strdup(self->node);
    created->address = g_strdup(self->address);
    created->zone = g_strdup(self->zone);
    created->tls = self->tls;
    created->bind_host = g_strdup(self->bind_host);
    created->events = *events;
    created->all = g_ptr_array_new();
    created->by_node = g_hash_table_new(g_str_hash, g_str_equal);
    wb_link_events_t link_events = {link_opened, peer_message, peer_closed,
                                    created,     created->tls, NULL};
    apr_status_t status = wb_link_listen(loop, self->listen, &link_events, &created->counters,
                                         &created->listener, error);
    if (status == APR_SUCCESS)
        *peers = created;
    return status;
}

void wb_peers_stop(wb_peers_t *peers) {
    wb_link_listener_close(peers->listener);
    while (peers->all->len > 0) {
        wb_peer_t *peer = peers->all->pdata[0];
        wb_link_close(peer->link);
        peer_free(peer);
    }
    g_ptr_array_unref(peers->all);
    g_hash_table_unref(peers->by_node);
    g_free(peers->cluster);
    g_free(peers->node);
    g_free(peers->address);
    g_free(peers->zone);
    g_free(peers->bind_host);
    g_free(peers);
}

gboolean wb_peers_send(wb_peers_t *peers, const char *node, const wb_wire_message *message) {
    wb_peer_t *peer = peer_get(peers, node, FALSE);
    if (peer == NULL)
        return FALSE;
    peer->last_used_ms = wb_clock_ms();
    wb_link_send(peer->link, message);
    return TRUE;
}

gboolean wb_peers_send_if_connected(wb_peers_t *peers, const char *node,
                                    const wb_wire_message *message) {
    wb_peer_t *peer = g_hash_table_lookup(peers->by_node, node);
    if (peer == NULL)
        return FALSE;
    wb_link_send(peer->link, message);
    return TRUE;
}

void wb_peers_connect(wb_peers_t *peers, const char *node, gboolean overlay) {
    wb_peer_t *peer = peer_get(peers, node, overlay);
    if (peer == NULL || !overlay || peer->overlay_wanted)
        return;
    peer->overlay_wanted = TRUE;
    handshake_send(peer);
    if (peer->handshake_received)
        peers->events.on_up(node, TRUE, peers->events.context);
}

void wb_peers_connect_address(wb_peers_t *peers, const char *address) {
    for (guint i = 0; i < peers->all->len; i++) {
        const wb_peer_t *peer = peers->all->pdata[i];
        if (peer->address != NULL && strcmp(peer->address, address) == 0)
            return;
    }
    peer_open(peers, NULL, address, FALSE);
}

GPtrArray *wb_peers_overlay_nodes(wb_peers_t *peers) {
    GPtrArray *nodes = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < peers->all->len; i++) {
        const wb_peer_t *peer = peers->all->pdata[i];
        if (peer->handshake_received && (peer->overlay_wanted || peer->overlay_requested) &&
            !g_ptr_array_find_with_equal_func(nodes, peer->node, g_str_equal, NULL))
            g_ptr_array_add(nodes, g_strdup(peer->node));
    }
    return nodes;
}

int64_t wb_peers_last_received_ms(wb_peers_t *peers, const char *node) {
    int64_t last_ms = 0;
    for (guint i = 0; i < peers->all->len; i++) {
        const wb_peer_t *peer = peers->all->pdata[i];
        if (peer->handshake_received && strcmp(peer->node, node) == 0)
            last_ms = MAX(last_ms, peer->last_received_ms);
    }
    return last_ms;
}

void wb_peers_release_overlay(wb_peers_t *peers, const char *node) {
    wb_peer_t *peer = g_hash_table_lookup(peers->by_node, node);
    if (peer == NULL || !peer->overlay_wanted)
        return;
    peer->overlay_wanted = FALSE;
    handshake_send(peer);
}

void wb_peers_disconnect(wb_peers_t *peers, const char *node, const char *reason) {
    for (guint i = 0; i < peers->all->len; i++) {
        wb_peer_t *peer = peers->all->pdata[i];
        if (peer->node != NULL && strcmp(peer->node, node) == 0)
            wb_link_close_later(peer->link, reason);
    }
}

void wb_peers_close_idle(wb_peers_t *peers, int64_t idle_ms) {
    int64_t now_ms = wb_clock_ms();
    for (guint i = peers->all->len; i-- > 0;) {
        wb_peer_t *peer = peers->all->pdata[i];
        if (peer->overlay_wanted || peer->overlay_requested ||
            now_ms - peer->last_used_ms < idle_ms)
            continue;
        wb_link_close(peer->link);
        peer_free(peer);
    }
}

const wb_link_counters_t *wb_peers_counters(const wb_peers_t *peers) {
    return &peers->counters;
}

unsigned wb_peers_link_count(const wb_peers_t *peers) {
    return peers->all->len;
}
