/**
 * @file engine_client.h
 * @brief Client of the engines' control API, for a cell's owner: sends orders and follows
 * inventories by long polling.
 *
 * docs/ENGINE-API.md has the protocol. Times are in milliseconds. Failures are reported as
 * WB_ORDER_NO_RESPONSE and by on_reachable. Loop thread only.
 */
#ifndef WICKBRIDGE_ENGINE_CLIENT_H
#define WICKBRIDGE_ENGINE_CLIENT_H

#include "wickbridge/cell.h"
#include "wickbridge/http_client.h"
#include "wickbridge/loop.h"

typedef struct wb_engine_client_t wb_engine_client_t;

typedef struct wb_engine_client_events_t {
    /** An order ended. @param inventory owned by the callee; NULL with WB_ORDER_NO_RESPONSE */
    void (*on_order_done)(const char *engine, uint64_t fence, wb_order_outcome_t outcome,
                          wb_inventory_t *inventory, void *context);
    /** An inventory was received. @param inventory owned by the callee */
    void (*on_inventory)(wb_inventory_t *inventory, void *context);
    /** Calls to an engine have failed repeatedly, or succeed again. */
    void (*on_reachable)(const char *engine, gboolean reachable, void *context);
    void *context;
} wb_engine_client_events_t;

typedef struct wb_engine_client_options_t {
    const char *scheme; /**< "http" or "https" */
    int64_t order_timeout_ms;
    int64_t inventory_wait_ms; /**< how long an engine may hold an inventory call (long poll) */
} wb_engine_client_options_t;

/** Create a client. @param http and `loop` must outlive it @param options copied; its scheme must
 * outlive the client @param events copied */
wb_engine_client_t *wb_engine_client_create(wb_http_client_t *http, wb_loop_t *loop,
                                            const wb_engine_client_options_t *options,
                                            const wb_engine_client_events_t *events);

/** Stop following engines and free; calls under way end without events. */
void wb_engine_client_free(wb_engine_client_t *client);

/** Send an order; on_order_done follows. */
void wb_engine_client_order(wb_engine_client_t *client, const wb_order_t *order);

/** Follow an engine's inventory; a no-op if it is followed already. @param address IP:PORT */
void wb_engine_client_follow(wb_engine_client_t *client, const char *engine, const char *address);
void wb_engine_client_unfollow(wb_engine_client_t *client, const char *engine);

#endif
