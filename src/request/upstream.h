/**
 * @file upstream.h
 * @brief Connections to engines, each used by one attempt at a time or idle in its engine's pool.
 *
 * Private to the request path: attempt.c reads and writes on the connections. Loop thread only.
 */
#ifndef WICKBRIDGE_UPSTREAM_H
#define WICKBRIDGE_UPSTREAM_H

#include "request/engine_connect.h"
#include "request/request_types.h"
#include "request/share_connect.h"
#include "tunnel/tunnel_frame.h"

typedef struct wb_upstream_t {
    wb_edge_t *edge;
    wb_engine_t *engine;
    wb_engine_connect_t *connect;      /* while the connection is being established, else NULL */
    wb_share_connect_t *share_connect; /* while another node's share is asked for, else NULL */
    wb_tcp_stream_t *stream;           /* NULL while it is being established */
    gboolean by_peer;   /* it leads through another node, and carries one request only */
    gboolean in_blocks; /* by_peer: the engine's bytes arrive in blocks */
    wb_tunnel_blocks_t blocks;
    uint64_t number;  /* of the connection in this process, for logs */
    GArray *carried;  /* uint64_t: hashes of the ids of all requests written to it */
    int64_t heard_ms; /* when the last bytes of the engine arrived, or it was established */
    wb_http_reader_t *reader;
    wb_attempt_t *attempt;   /* NULL while it is idle */
    wb_list_item_t idle;     /* on engine->idle while it is idle */
    int64_t usable_until_ms; /* while it is idle: monotonic time until which it may be reused */
    gboolean feeding;        /* the reader is running: freeing is deferred */
    gboolean closed;
} wb_upstream_t;

/** Create a connection that isn't established yet. @param events of its reader, with the connection
 * as their context */
wb_upstream_t *wb_upstream_create(wb_edge_t *edge, wb_engine_t *engine,
                                  const wb_http_reader_events_t *events);
/** Close it, and free it unless its reader is running: then free it by a second call. */
void wb_upstream_close(wb_upstream_t *upstream);
/** Add it to its engine's pool, unless that is full. @param idle_limit_ms duration for which the
 * engine keeps it open; 0: the engine didn't say. @return FALSE: it was closed */
gboolean wb_upstream_pool(wb_upstream_t *upstream, int64_t idle_limit_ms);
/** Take a connection for a request out of the pool, one that the engine still keeps open and that
 * has never carried a request with this id: an answer names its request, not the send that it
 * belongs to, so there a late answer to an earlier send would be taken for the next one's.
 * @return NULL: there is none */
wb_upstream_t *wb_upstream_take(const wb_edge_t *edge, wb_engine_t *engine, const char *request_id,
                                int64_t now_ms);
/** A request is written to the connection. @return number of those written to it before */
unsigned wb_upstream_note_request(wb_upstream_t *upstream, const char *request_id);
/** Remove it from its engine's pool and close it. */
void wb_upstream_close_idle(wb_upstream_t *upstream);

#endif
