/**
 * @file cell.h
 * @brief Decisions of a cell's owner: which models are loaded, on which engines, and when they go.
 *
 * A model may be loaded on an engine only while the cell's record holds a slot for the two, and a
 * model never has more slots than replicas were declared. A slot goes only when the engine is
 * known not to hold the model and can't take an older order any more, or its machine is gone.
 *
 * Pure: no clock, socket or lock inside. What is to be done goes out through callbacks; results
 * come back as calls. The same code runs in a node, in tests and under the fuzzer.
 */
#ifndef WICKBRIDGE_CELL_H
#define WICKBRIDGE_CELL_H

#include "wickbridge/declaration.h"
#include "wickbridge/inventory.h"
#include "wickbridge/record.h"

typedef struct wb_cell_t wb_cell_t;

/** What the machine list says of an engine's machine. */
typedef enum wb_machine_state_t {
    WB_MACHINE_LIVE,
    WB_MACHINE_DRAINING,
    WB_MACHINE_REMOVED
} wb_machine_state_t;

typedef enum wb_order_action_t { WB_ORDER_FENCE, WB_ORDER_LOAD, WB_ORDER_UNLOAD } wb_order_action_t;

/** An order to an engine. Texts are borrowed. */
typedef struct wb_order_t {
    wb_order_action_t action;
    const char *engine;
    const char *address;
    uint64_t fence; /**< epoch in the upper half, a count in the lower */
    const char *model;
    const char *adapter; /**< NULL: the model itself */
    int64_t version;
    int64_t bytes;
} wb_order_t;

/** How an order ended. */
typedef enum wb_order_outcome_t {
    WB_ORDER_ACCEPTED,   /**< the engine took it; its inventory came back */
    WB_ORDER_REFUSED, /**< the engine took the number, not the order; its inventory came back */
    WB_ORDER_STALE,   /**< a higher number came first; its inventory came back */
    WB_ORDER_NO_RESPONSE     /**< no answer: it may still arrive */
} wb_order_outcome_t;

/** One engine with a model ready. Texts are borrowed. */
typedef struct wb_route_replica_t {
    const char *engine;
    const char *address;
    const char *zone;
    int batch;
} wb_route_replica_t;

typedef enum wb_route_state_t {
    WB_ROUTE_READY,
    WB_ROUTE_LOADING,
    WB_ROUTE_UNAVAILABLE, /**< no engine can be used at all */
    WB_ROUTE_BUSY     /**< all engines are full of models that are in use */
} wb_route_state_t;

/** Where a model (with an adapter) runs, for gateways. Texts are borrowed. */
typedef struct wb_route_t {
    const char *model;
    const char *adapter; /**< "" for none */
    wb_route_state_t state;
    int64_t estimate_ms; /**< until ready, or until it is worth coming back */
    const char *reason;
    const GArray *replicas; /**< of wb_route_replica_t */
} wb_route_t;

/** What a gateway has of a model. */
typedef struct wb_demand_t {
    const char *node;
    const char *model;
    const char *adapter; /**< "" for none */
    int waiting;
    int running;
    int64_t earliest_deadline_ms; /**< from now, of what waits; 0 for none */
} wb_demand_t;

typedef struct wb_cell_events_t {
    /** Add a command to the record. @return its sequence; 0: can't now */
    uint64_t (*propose)(const wb_wire_command *command, void *context);
    /** Send an order; wb_cell_order_done follows. At most one is under way for an engine. */
    void (*order)(const wb_order_t *order, void *context);
    /** Tell a gateway. */
    void (*show)(const char *node, const wb_route_t *route, void *context);
    void *context;
} wb_cell_events_t;

typedef struct wb_cell_options_t {
    const char *name;
    int64_t max_remote_loads; /**< this cell's share of the weight store */
    int64_t remote_ms_per_gib;    /**< first guesses; measured loads replace them */
    int64_t disk_ms_per_gib;
    int64_t memory_ms_per_gib;
} wb_cell_options_t;

/** Create the decisions of a new owner. @param record the group's record; must outlive the cell */
wb_cell_t *wb_cell_create(const wb_cell_options_t *options, wb_record_t *record, uint64_t epoch,
                          const wb_cell_events_t *events, int64_t now_ms);
void wb_cell_free(wb_cell_t *cell);

void wb_cell_set_config(wb_cell_t *cell, wb_config_t *config);

/** The machine list shows an engine of this cell. */
void wb_cell_set_machine(wb_cell_t *cell, const char *engine, const char *address, const char *zone,
                     wb_machine_state_t state, int64_t now_ms);

/** All engines of a machine list were given to wb_cell_set_machine. */
void wb_cell_set_machines_known(wb_cell_t *cell);

/** Commands up to this sequence count. */
void wb_cell_set_committed(wb_cell_t *cell, uint64_t sequence);

/** An order ended. @param inventory taken over; NULL when lost */
void wb_cell_order_done(wb_cell_t *cell, const char *engine, uint64_t fence,
                        wb_order_outcome_t outcome, wb_inventory_t *inventory, int64_t now_ms);

/** An engine's inventory came; taken over. */
void wb_cell_update_inventory(wb_cell_t *cell, wb_inventory_t *inventory, int64_t now_ms);

/** An engine doesn't answer, or does again. */
void wb_cell_set_engine_reachable(wb_cell_t *cell, const char *engine, gboolean reachable);

/** A gateway tells what it has; the present route is shown to it. */
void wb_cell_update_demand(wb_cell_t *cell, const wb_demand_t *demand, int64_t now_ms);

/** A gateway is gone. */
void wb_cell_remove_gateway(wb_cell_t *cell, const char *node);

/** Decide what is due. Call after events and every 100 ms or so. */
void wb_cell_step(wb_cell_t *cell, int64_t now_ms);

/** @return the route of a model as JSON for explain, with slots, engines and demand */
json_t *wb_cell_explain(const wb_cell_t *cell, const char *model, int64_t now_ms);

/** Call a function for each engine that is not gone. */
void wb_cell_each_engine(const wb_cell_t *cell,
                          void (*visit)(const char *engine, const char *address, void *context),
                          void *context);

#endif
