/**
 * @file share_connect.h
 * @brief Connects to an engine through a node that has a share of the engine's limit left.
 *
 * Nodes share the request rate that an engine accepts equally, whoever gets the requests. When most
 * clients connect to one of them, it asks others, one after the other, to connect and to count the
 * request in their shares. So all nodes together stay within the limit.
 *
 * Nothing is written to the engine by this module. Loop thread only.
 */
#ifndef WICKBRIDGE_SHARE_CONNECT_H
#define WICKBRIDGE_SHARE_CONNECT_H

#include "request/engine_connect.h"

typedef struct wb_share_connect_t wb_share_connect_t;

/** Start to ask. One of the events follows, never from inside this call; the reason of a failure is
 * WB_CONNECT_NO_SHARE. @param events must outlive the attempt */
wb_share_connect_t *wb_share_connect_start(wb_edge_t *edge, wb_engine_t *engine,
                                           const char *request_id,
                                           const wb_engine_connect_events_t *events, void *context);
/** Give up without an event. Not after an event. */
void wb_share_connect_cancel(wb_share_connect_t *connect);

#endif
