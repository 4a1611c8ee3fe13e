/**
 * @file engine_client.h
 * @brief Orders to engines and their inventories over HTTP, for a cell's owner.
 *
 * The adapter file for an engine's control side is src/engine/engine_client.c; docs/ENGINE-API.md
 * has the protocol. Threads: everything on the loop's thread.
 */
#ifndef WICKBRIDGE_ENGINE_CLIENT_H
#define WICKBRIDGE_ENGINE_CLIENT_H

#include "wickbridge/cell.h"
#include "wickbridge/http_client.h"
#include "wickbridge/loop.h"

typedef struct wb_engine_client_t wb_engine_client_t;

typedef struct wb_engine_client_events_t {
    /** The inventory is taken over by the callee. */
    void (*on_order_done)(const char *engine, uint64_t fence, wb_order_outcome_t outcome,
                          wb_inventory_t *inventory, void *context);
    void (*on_inventory)(wb_inventory_t *inventory, void *context);
    void (*on_reachable)(const char *engine, gboolean reachable, void *context);
    void *context;
} wb_engine_client_events_t;

typedef struct wb_engine_client_options_t {
    const char *scheme; /**< "http" or "https" */
    int64_t order_timeout_ms;
    int64_t inventory_wait_ms; /**< how long an engine may hold an inventory call */
} wb_engine_client_options_t;

wb_engine_client_t *wb_engine_client_create(wb_http_client_t *http, wb_loop_t *loop,
                                            const wb_engine_client_options_t *options,
                                            const wb_engine_client_events_t *events);

/** Stop following engines; calls that are under way end without events. */
void wb_engine_client_free(wb_engine_client_t *client);

void wb_engine_client_order(wb_engine_client_t *client, const wb_order_t *order);

/** Follow an engine's inventory from now on; harmless when it is followed already. */
void wb_engine_client_follow(wb_engine_client_t *client, const char *engine, const char *address);
void wb_engine_client_unfollow(wb_engine_client_t *client, const char *engine);

#endif
