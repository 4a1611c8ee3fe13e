/**
 * @file cell.h
 * @brief Placement decisions of a cell's owner: which models are loaded on which engines, and when
 * they are unloaded.
 *
 * A model may be loaded on an engine only while the cell's record holds a slot for the two, and a
 * model never has more slots than its declared replicas. A slot is removed only when the engine is
 * known not to hold the model and can't accept an older order any more (fencing), or when its
 * machine was removed.
 *
 * Pure: no clock, socket or lock. Actions are requested through callbacks, and their results are
 * passed in by calls; the same code runs in a node, in tests and under the fuzzer. Times are
 * monotonic, in milliseconds. The functions report no errors. Not thread-safe.
 */
#ifndef WICKBRIDGE_CELL_H
#define WICKBRIDGE_CELL_H

#include "wickbridge/declaration.h"
#include "wickbridge/inventory.h"
#include "wickbridge/record.h"

typedef struct wb_cell_t wb_cell_t;

/** State of an engine's machine in the platform's machine list. */
typedef enum wb_machine_state_t {
    WB_MACHINE_LIVE,
    WB_MACHINE_DRAINING, /**< about to be removed; its engines' models are unloaded */
    WB_MACHINE_REMOVED   /**< permanently removed */
} wb_machine_state_t;

typedef enum wb_order_action_t { WB_ORDER_FENCE, WB_ORDER_LOAD, WB_ORDER_UNLOAD } wb_order_action_t;

/** An order to an engine. Strings are borrowed. */
typedef struct wb_order_t {
    wb_order_action_t action;
    const char *engine;
    const char *address;
    uint64_t fence; /**< fencing number: epoch in the upper half, a counter in the lower */
    const char *model;
    const char *adapter; /**< NULL: the model itself */
    int64_t version;
    int64_t bytes;
} wb_order_t;

/** Outcome of an order. Except for WB_ORDER_NO_RESPONSE, the engine's inventory was returned. */
typedef enum wb_order_outcome_t {
    WB_ORDER_ACCEPTED,
    WB_ORDER_REFUSED,    /**< the engine recorded the fencing number but refused the order */
    WB_ORDER_STALE,      /**< the engine has seen a higher fencing number */
    WB_ORDER_NO_RESPONSE /**< no response: the order may still arrive */
} wb_order_outcome_t;

/** An engine on which a model is ready. Strings are borrowed. */
typedef struct wb_route_replica_t {
    const char *engine;
    const char *address;
    const char *zone;
    int batch;
} wb_route_replica_t;

typedef enum wb_route_state_t {
    WB_ROUTE_READY,       /**< there are replicas */
    WB_ROUTE_LOADING,     /**< the model is being loaded */
    WB_ROUTE_UNAVAILABLE, /**< no engine can be used */
    WB_ROUTE_BUSY         /**< all engines are full of models in use */
} wb_route_state_t;

/** Replicas of a model (with an adapter), sent to gateways. Strings are borrowed. */
typedef struct wb_route_t {
    const char *model;
    const char *adapter; /**< "" for none */
    wb_route_state_t state;
    int64_t estimate_ms; /**< time until it is ready, or until clients should retry */
    const char *reason;
    const GArray *replicas; /**< of wb_route_replica_t */
} wb_route_t;

/** A gateway's demand for a model. */
typedef struct wb_demand_t {
    const char *node;
    const char *model;
    const char *adapter;          /**< "" for none */
    int waiting;                  /**< requests */
    int running;                  /**< requests */
    int64_t earliest_deadline_ms; /**< of the waiting requests, from now; 0: none */
} wb_demand_t;

typedef struct wb_cell_events_t {
    /** Append a command to the record. @return its sequence number; 0: not possible now */
    uint64_t (*propose)(const wb_wire_command *command, void *context);
    /** Send an order; wb_cell_order_done must follow. At most one per engine is under way. */
    void (*order)(const wb_order_t *order, void *context);
    /** Send a route to a gateway. */
    void (*show)(const char *node, const wb_route_t *route, void *context);
    void *context;
} wb_cell_events_t;

typedef struct wb_cell_options_t {
    const char *name;
    int64_t max_remote_loads; /**< max concurrent loads from the weight store */
    /* Initial load time estimates by source; replaced by measurements: */
    int64_t remote_ms_per_gib;
    int64_t disk_ms_per_gib;
    int64_t memory_ms_per_gib;
} wb_cell_options_t;

/** Create the cell of a new owner. @param record the group's record; must outlive the cell */
wb_cell_t *wb_cell_create(const wb_cell_options_t *options, wb_record_t *record, uint64_t epoch,
                          const wb_cell_events_t *events, int64_t now_ms);
void wb_cell_free(wb_cell_t *cell);

/** Apply a configuration. @param config a reference is taken */
void wb_cell_set_config(wb_cell_t *cell, wb_config_t *config);

/** Update an engine of this cell from the machine list. */
void wb_cell_set_machine(wb_cell_t *cell, const char *engine, const char *address, const char *zone,
                         wb_machine_state_t state, int64_t now_ms);

/** All engines of a machine list were passed to wb_cell_set_machine. */
void wb_cell_set_machines_known(wb_cell_t *cell);

/** All commands up to this sequence number are committed. */
void wb_cell_set_committed(wb_cell_t *cell, uint64_t sequence);

/** An order ended. @param inventory taken over; NULL with WB_ORDER_NO_RESPONSE */
void wb_cell_order_done(wb_cell_t *cell, const char *engine, uint64_t fence,
                        wb_order_outcome_t outcome, wb_inventory_t *inventory, int64_t now_ms);

/** An engine's inventory was received. @param inventory taken over */
void wb_cell_update_inventory(wb_cell_t *cell, wb_inventory_t *inventory, int64_t now_ms);

/** An engine became unreachable, or reachable again. */
void wb_cell_set_engine_reachable(wb_cell_t *cell, const char *engine, gboolean reachable);

/** Update a gateway's demand; the current route is sent to it. */
void wb_cell_update_demand(wb_cell_t *cell, const wb_demand_t *demand, int64_t now_ms);

/** Remove the demand of a gateway whose node has stopped or counts as dead. */
void wb_cell_remove_gateway(wb_cell_t *cell, const char *node);

/** Make due decisions. Call after events and periodically. */
void wb_cell_step(wb_cell_t *cell, int64_t now_ms);

/** @return a model's slots, demand, estimated time until it is ready, and the cell's engines as
 * JSON, for the explain command */
json_t *wb_cell_explain(const wb_cell_t *cell, const char *model, int64_t now_ms);

/** Call a function for each engine whose machine was not removed. */
void wb_cell_each_engine(const wb_cell_t *cell,
                         void (*visit)(const char *engine, const char *address, void *context),
                         void *context);

#endif
