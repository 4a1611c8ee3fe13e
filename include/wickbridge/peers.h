/**
 * @file peers.h
 * @brief Links to other nodes by name: opened on demand, with a handshake, closed when idle.
 *
 * Overlay links are those on which either side asked for heartbeats; they stay open. Times are
 * monotonic (wb_clock_ms) in milliseconds. A failed link is reported by on_down. Loop thread only.
 */
#ifndef WICKBRIDGE_PEERS_H
#define WICKBRIDGE_PEERS_H

#include "wickbridge/link.h"

typedef struct wb_peers_t wb_peers_t;

/** This node's identity, sent in handshakes, and options of its links. Strings are copied. */
typedef struct wb_peers_self_t {
    const char *cluster;
    const char *node;
    const char *address; /**< IP:PORT at which other nodes reach this one */
    const char *listen;  /**< IP:PORT to listen on */
    const char *zone;
    const char *bind_host; /**< local IP of outgoing links; NULL or "": any */
    wb_tls_context_t *tls; /**< NULL: no TLS; must outlive the links */
} wb_peers_self_t;

typedef struct wb_peers_events_t {
    /** @return the node's address, or NULL if it is unknown */
    const char *(*find_address)(const char *node, void *context);
    /** The handshake with a node is done, or its link became an overlay link. */
    void (*on_up)(const char *node, gboolean overlay, void *context);
    /** The last link to a node failed, or was closed by the peer or wb_peers_disconnect. */
    void (*on_down)(const char *node, const char *reason, void *context);
    void (*on_message)(const char *node, const wb_wire_message *message, void *context);
    /** `node` answered the handshake at the address of `expected`. */
    void (*on_address_reused)(const char *expected, const char *node, void *context);
    void *context;
} wb_peers_events_t;

/** Listen for links. @return APR_SUCCESS, or the reason in `error` */
apr_status_t wb_peers_start(wb_peers_t **peers, wb_loop_t *loop, const wb_peers_self_t *self,
                            const wb_peers_events_t *events, wb_error_t *error);
/** Close all links without on_down, and free. */
void wb_peers_stop(wb_peers_t *peers);

/** Send to a node over an existing link or a new one. @return FALSE if its address is unknown or
 * the link can't be created */
gboolean wb_peers_send(wb_peers_t *peers, const char *node, const wb_wire_message *message);

/** Send over an existing link only. @return FALSE if there is none */
gboolean wb_peers_send_if_connected(wb_peers_t *peers, const char *node,
                                    const wb_wire_message *message);

/** Open a link unless there is one. @param overlay make it an overlay link */
void wb_peers_connect(wb_peers_t *peers, const char *node, gboolean overlay);

/** Connect to an address whose node isn't known yet; a no-op if there is a link to it. */
void wb_peers_connect_address(wb_peers_t *peers, const char *address);

/** @return names (char *) of the nodes with an overlay link; owned by the caller */
GPtrArray *wb_peers_overlay_nodes(wb_peers_t *peers);

/** @return when the last message arrived from the node; 0 if there is no link to it */
int64_t wb_peers_last_received_ms(wb_peers_t *peers, const char *node);

/** Stop asking for heartbeats on the link to a node. */
void wb_peers_release_overlay(wb_peers_t *peers, const char *node);

/** Close the links to a node, if any; on_down follows. */
void wb_peers_disconnect(wb_peers_t *peers, const char *node, const char *reason);

/** Close links, other than overlay links, that were not used for `idle_ms`; without on_down. */
void wb_peers_close_idle(wb_peers_t *peers, int64_t idle_ms);

const wb_link_counters_t *wb_peers_counters(const wb_peers_t *peers);
unsigned wb_peers_link_count(const wb_peers_t *peers);

#endif
