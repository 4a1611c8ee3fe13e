/**
 * @file engine_connect.h
 * @brief Connects to an engine, directly or through another node, whichever succeeds first.
 *
 * The direct attempt starts at once. If it fails, or isn't done after a short time, other nodes are
 * asked to connect (tunnel/tunnel_client.h), one after the other, each a little later than the one
 * before. At an engine whose last direct attempt failed, the first node is asked at once. Nothing
 * is written to the engine by this module, so an attempt that fails has run no request.
 *
 * The direct attempt goes on after another node was faster: whether it succeeds tells a slow
 * engine from one that this node can't reach (wickbridge/engine_reach.h).
 *
 * Times are in milliseconds. Loop thread only.
 */
#ifndef WICKBRIDGE_ENGINE_CONNECT_H
#define WICKBRIDGE_ENGINE_CONNECT_H

#include "request/request_types.h"

/** Reasons of a failure: nothing listens at the engine's address, as this node found, or another
 * one did. */
#define WB_CONNECT_REFUSED "refused"
#define WB_CONNECT_REFUSED_BY_PEER "refused-by-peer"
/** No node that was asked has a share of the engine's limit left. */
#define WB_CONNECT_NO_SHARE "no-share"

typedef struct wb_engine_connect_t wb_engine_connect_t;

/** How a connection leads through another node. */
typedef struct wb_engine_tunnel_t {
    const char *peer;   /**< id of the node; valid during the call */
    gboolean in_blocks; /**< the engine's bytes arrive in blocks (tunnel/tunnel_frame.h) */
} wb_engine_tunnel_t;

typedef struct wb_engine_connect_events_t {
    /** @param stream now the callee's, which sets its events
     * @param tunnel NULL: this node connected itself */
    void (*on_connected)(wb_tcp_stream_t *stream, const wb_engine_tunnel_t *tunnel, void *context);
    /** @param reason one of the above or another one, for logs; static */
    void (*on_failed)(const char *reason, void *context);
} wb_engine_connect_events_t;

/** Start to connect. One of the events follows, never from inside this call.
 * @param request_id for logs, also of the other node; "": none
 * @param events     must outlive the attempt */
wb_engine_connect_t *wb_engine_connect_start(wb_edge_t *edge, wb_engine_t *engine,
                                             const char *request_id,
                                             const wb_engine_connect_events_t *events,
                                             void *context);
/** Give up without an event. Not after an event. */
void wb_engine_connect_cancel(wb_engine_connect_t *connect);

#endif
