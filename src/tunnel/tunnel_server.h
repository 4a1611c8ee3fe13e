/**
 * @file tunnel_server.h
 * @brief Connects to engines for other nodes, and passes bytes between the two connections.
 *
 * A tunnel carries one request, as the asking node closes it after the answer. Reading from one
 * side stops while the other doesn't take what was read. When the asking node's side ends, the
 * engine's is closed at once, so that a request whose client has left ends there; when the engine's
 * side ends, what it sent is still delivered, and a reset arrives as a reset. To asking nodes that
 * read blocks (tunnel_frame.h) a normal close is marked: this process's own end isn't.
 *
 * Nothing is forwarded further: a tunnel leads from a node to an engine that the server's own node
 * connects to.
 *
 * Times are in milliseconds. Loop thread only.
 */
#ifndef WICKBRIDGE_TUNNEL_SERVER_H
#define WICKBRIDGE_TUNNEL_SERVER_H

#include "wickbridge/edge_metrics.h"
#include "wickbridge/message.h"
#include "wickbridge/tcp_stream.h"

typedef struct wb_tunnel_server_t wb_tunnel_server_t;

typedef struct wb_tunnel_server_options_t {
    const char *listen;               /**< IP:PORT */
    wb_tcp_connect_options_t connect; /**< for connections to engines; strings must outlive the
                                           server */
    int64_t silence_limit_ms;         /**< of asking nodes */
    unsigned max_tunnels;             /**< further ones are refused */
    wb_edge_metrics_t *metrics;       /**< must outlive the server */
    /** Whether the engine may be connected to for another node now.
     * @param is_counted the request is to count in this node's share of the engine's limit
     * @return WB_WIRE_TUNNEL_CONNECTED, or why not */
    wb_wire_tunnel_result (*check)(const wb_wire_tunnel_open *question, gboolean is_counted,
                                   void *context);
    /** Whether this node may be cut off from engines: then a refused connection doesn't show that
     * nothing listens there. May be NULL. */
    gboolean (*may_be_cut_off)(void *context);
    /** The result of a connection attempt. May be NULL. */
    void (*on_result)(const char *engine, gboolean connected, void *context);
    void *context;
} wb_tunnel_server_options_t;

/** Start to listen. @param options copied @return APR_SUCCESS, or the reason in `error` */
apr_status_t wb_tunnel_server_create(wb_loop_t *loop, const wb_tunnel_server_options_t *options,
                                     wb_tunnel_server_t **server, wb_error_t *error);
/** @return the port listened on */
unsigned wb_tunnel_server_port(const wb_tunnel_server_t *server);
/** Refuse further tunnels; open ones go on. */
void wb_tunnel_server_drain(wb_tunnel_server_t *server);
/** @return number of tunnels that are open or being opened */
unsigned wb_tunnel_server_count(const wb_tunnel_server_t *server);
/** Close everything, and free. */
void wb_tunnel_server_free(wb_tunnel_server_t *server);

#endif
