/**
 * @file tunnel_client.h
 * @brief Asks another node to connect to an engine.
 *
 * On success the connection to that node behaves like one to the engine: what is written arrives
 * there, and it ends as the engine's connection ends. Nothing is written to the engine before
 * that, so a tunnel that isn't opened has run no request. What the engine sends arrives in blocks
 * (tunnel_frame.h), from nodes of an earlier release as it is. An open tunnel that ends may be due
 * to the engine, the other node, or the network; it was a normal close of the engine only if the
 * blocks say so.
 *
 * Times are in milliseconds. Loop thread only.
 */
#ifndef WICKBRIDGE_TUNNEL_CLIENT_H
#define WICKBRIDGE_TUNNEL_CLIENT_H

#include "wickbridge/tcp_stream.h"

typedef enum wb_tunnel_outcome_t {
    WB_TUNNEL_OPENED,
    WB_TUNNEL_ENGINE_FAILED,   /**< the node didn't reach the engine either */
    WB_TUNNEL_ENGINE_REFUSED,  /**< nothing listens at the engine's address */
    WB_TUNNEL_PEER_UNAVAILABLE /**< no answer, or the node doesn't use the engine, is cut off from
                                  it itself, or is busy */
} wb_tunnel_outcome_t;

typedef struct wb_tunnel_request_t {
    const char *peer_address; /**< of the node's tunnel server */
    const char *node;         /**< this one */
    const char *request;      /**< id, for logs; "" when there is none */
    const char *engine;
    const char *incarnation;
    const char *engine_address;
    gboolean is_counted; /**< the request counts in the other node's share of the engine's limit */
    wb_tcp_connect_options_t connect; /**< the timeout includes the node's answer */
} wb_tunnel_request_t;

typedef struct wb_tunnel_client_t wb_tunnel_client_t;

/** The question is decided; the client is freed after this. Not called from inside wb_tunnel_open.
 * @param stream WB_TUNNEL_OPENED: now the callee's, which sets its events; else NULL
 * @param in_blocks the engine's bytes arrive in blocks */
typedef void (*wb_tunnel_done_fn)(wb_tunnel_client_t *client, wb_tunnel_outcome_t outcome,
                                  wb_tcp_stream_t *stream, gboolean in_blocks, void *context);

/** Start to open a tunnel. @param request used during the call only @return NULL when no connection
 * can be started */
wb_tunnel_client_t *wb_tunnel_open(wb_loop_t *loop, const wb_tunnel_request_t *request,
                                   wb_tunnel_done_fn on_done, void *context);
/** Give up, and free. */
void wb_tunnel_cancel(wb_tunnel_client_t *client);

#endif
