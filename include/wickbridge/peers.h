/**
 * @file peers.h
 * @brief Links to other nodes by their names: opened when needed, closed when idle.
 *
 * Threads: everything belongs on the loop's thread.
 */
#ifndef WICKBRIDGE_PEERS_H
#define WICKBRIDGE_PEERS_H

#include "wickbridge/link.h"

typedef struct wb_peers_t wb_peers_t;

/** Who we are on every link. Texts are copied. */
typedef struct wb_peers_self_t {
    const char *cluster;
    const char *node;
    const char *address; /**< as others reach us */
    const char *listen;  /**< where we listen */
    const char *zone;
    const char *bind_host; /**< IP that links are made from; NULL or "": any */
    wb_tls_context_t *tls; /**< NULL: plain links; must outlive the links */
} wb_peers_self_t;

/** What the owner of the links wants to know. */
typedef struct wb_peers_events_t {
    /** @return the node's address, or NULL when it is not known */
    const char *(*find_address)(const char *node, void *context);
    void (*on_up)(const char *node, gboolean overlay, void *context);
    /** @param refused the connection was refused or reset: no process listens there */
    void (*on_down)(const char *node, const char *reason, void *context);
    void (*on_message)(const char *node, const wb_wire_message *message, void *context);
    /** At `address` now answers `node`, another one than was expected. */
    void (*on_address_reused)(const char *expected, const char *node, void *context);
    void *context;
} wb_peers_events_t;

apr_status_t wb_peers_start(wb_peers_t **peers, wb_loop_t *loop, const wb_peers_self_t *self,
                            const wb_peers_events_t *events, wb_error_t *error);
void wb_peers_stop(wb_peers_t *peers);

/** Send to a node, over an open link or a new one. @return FALSE when its address isn't known */
gboolean wb_peers_send(wb_peers_t *peers, const char *node, const wb_wire_message *message);

/** Send over an open link only. @return FALSE when there is none */
gboolean wb_peers_send_if_connected(wb_peers_t *peers, const char *node, const wb_wire_message *message);

/** Make sure that a link is open or opening. @param overlay ask for heartbeats on it */
void wb_peers_connect(wb_peers_t *peers, const char *node, gboolean overlay);

/** Connect to an address whose node isn't known yet. */
void wb_peers_connect_address(wb_peers_t *peers, const char *address);

/** @return names of nodes with an open link that either side wants heartbeats on */
GPtrArray *wb_peers_overlay_nodes(wb_peers_t *peers);

/** @return when something last arrived from the node, 0 when no link is open */
int64_t wb_peers_last_received_ms(wb_peers_t *peers, const char *node);

/** We don't want heartbeats from this node any more. */
void wb_peers_release_overlay(wb_peers_t *peers, const char *node);

/** Break the link to a node, if any. */
void wb_peers_disconnect(wb_peers_t *peers, const char *node, const char *reason);

/** Close links that are not in the overlay and were not used for `idle_ms`. */
void wb_peers_close_idle(wb_peers_t *peers, int64_t idle_ms);

const wb_link_counters_t *wb_peers_counters(const wb_peers_t *peers);
unsigned wb_peers_link_count(const wb_peers_t *peers);

#endif
