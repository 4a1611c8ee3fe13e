/* Internal types and functions of a cell (cell.h), shared by cell.c, cell_step.c, cell_placement.c,
 * cell_adapters.c, cell_loads.c, cell_route.c, cell_policy.c and cell_explain.c. Pure: no clock,
 * socket or lock inside. Times are milliseconds of the caller's monotonic clock, sizes are bytes;
 * lookups return NULL when there is no match. */
#ifndef WICKBRIDGE_CELL_TYPES_H
#define WICKBRIDGE_CELL_TYPES_H

#include "wickbridge/cell.h"
#include "wickbridge/policy.h"

#include <string.h>

/* Where an engine reads weights from. */
typedef enum cell_source_t {
    SOURCE_MEMORY,
    SOURCE_DISK,
    SOURCE_REMOTE,
    SOURCE_COUNT
} cell_source_t;

typedef struct cell_engine_t {
    char *id;
    char *address;
    char *zone;
    wb_machine_state_t machine;
    gboolean reachable;
    gboolean fenced;        /* it accepted a fencing number of this epoch */
    gboolean settled;       /* no earlier order can still arrive */
    gboolean order_pending; /* an order waits for its response */
    wb_order_action_t order_action;
    int64_t ordered_bytes;     /* size of an adapter whose load may still take effect */
    uint64_t last_fence;       /* highest fencing number sent */
    int64_t retry_at_ms;       /* no orders before this */
    wb_inventory_t *inventory; /* NULL until fenced */
    char *reserved_for;        /* model for which memory is being freed, or NULL */
    int64_t reserved_since_ms;
} cell_engine_t;

/* A load in progress, for estimates. */
typedef struct cell_load_t {
    char *model;
    char *engine;
    cell_source_t source;
    int64_t bytes;
    int64_t started_ms;
} cell_load_t;

/* Demand of one gateway for a target. */
typedef struct cell_gateway_t {
    char *node;
    int waiting;
    int running;
    int64_t deadline_ms; /* earliest of its waiting requests; 0: none */
    int64_t demand_received_ms;
    guint sent_hash; /* of the last route sent; 0: none */
} cell_gateway_t;

/* A model, or an adapter on it, with demand. */
typedef struct cell_target_t {
    char *model;
    char *adapter; /* "" for none */
    GHashTable *gateways;
    int64_t used_ms; /* last time a request waited or ran */
} cell_target_t;

struct wb_cell_t {
    char *name;
    wb_cell_options_t options;
    wb_cell_events_t events;
    wb_record_t *record;
    wb_config_t *config;
    wb_policy_program_t *policy; /* NULL: built-in rules */
    int64_t policy_failures;
    char policy_failure[WB_ERROR_MESSAGE_SIZE]; /* text of the last failure */
    uint64_t epoch;
    uint64_t committed;
    gboolean machines_known;         /* this owner has read a full machine list */
    GHashTable *engines;             /* id -> cell_engine_t */
    GHashTable *targets;             /* "model\nadapter" -> cell_target_t */
    GHashTable *uncommitted;         /* "model\nengine" -> sequence of its slot's command */
    GHashTable *retiring;            /* "model\nengine" -> reason, a static string */
    GHashTable *surplus_since;       /* model -> int64_t ms since it has surplus replicas */
    GPtrArray *loads;                /* cell_load_t */
    double ms_per_gib[SOURCE_COUNT]; /* moving averages */
    int64_t started_ms;
};

/* Total demand of all gateways, for a target or for a model with its adapters. */
typedef struct cell_demand_t {
    int waiting;
    int running;
    int64_t deadline_ms; /* earliest; 0: none */
    int64_t used_ms;
} cell_demand_t;

#define CELL_PAIR_SIZE 512

/* Writes "first\nsecond" to a buffer of CELL_PAIR_SIZE bytes and returns it. */
const char *cell_pair(char *buffer, const char *first, const char *second);

cell_demand_t cell_model_demand(const wb_cell_t *cell, const char *model);
cell_demand_t cell_target_demand(const cell_target_t *target);

const wb_held_model_t *cell_held_model(const cell_engine_t *engine, const char *model);
/* Whether the engine may get replicas: live, reachable, fenced and not draining. */
gboolean cell_engine_is_usable(const cell_engine_t *engine);
/* Whether an order may be sent to the engine now. */
gboolean cell_engine_is_orderable(const cell_engine_t *engine, int64_t now_ms);
/* Sends an order with the next fencing number. `adapter` is NULL for the model itself. */
void cell_order_send(wb_cell_t *cell, cell_engine_t *engine, wb_order_action_t action,
                     const char *model, const char *adapter, int64_t version, int64_t bytes);

/* cell_placement.c */
/* Free memory after all reservations but the one for `except_model`, which may be NULL. The engine
 * must have an inventory. */
int64_t cell_engine_free_bytes(const wb_cell_t *cell, const cell_engine_t *engine,
                               const char *except_model);
guint cell_zone_replicas(const wb_cell_t *cell, const char *model, const char *zone);
cell_source_t cell_source(const cell_engine_t *engine, const char *model);
/* From the fastest source that the engine has. */
int64_t cell_load_estimate_ms(const wb_cell_t *cell, const cell_engine_t *engine, const char *model,
                              int64_t bytes);
/* Proposes a slot for the model, or starts evictions for one. Returns the reason when neither is
 * possible, a static string, or NULL. */
const char *cell_place(wb_cell_t *cell, const wb_model_t *model, int64_t now_ms);
/* Whether the model has no demand, and the engine neither runs requests of it nor loads or unloads
 * it. */
gboolean cell_model_is_idle_on(const wb_cell_t *cell, const cell_engine_t *engine,
                               const char *model);

/* cell_policy.c: decisions of the service's policy, or of the built-in rules. */
void cell_policy_load(wb_cell_t *cell);
int64_t cell_keep_alive_ms(wb_cell_t *cell, const wb_model_t *model, const cell_demand_t *demand,
                           int64_t now_ms);
/* Added to the built-in cost. */
int64_t cell_placement_cost_ms(wb_cell_t *cell, const wb_model_t *model,
                               const cell_engine_t *engine, guint evictions, int64_t load_ms);

/* cell_adapters.c */
void cell_adapters_step(wb_cell_t *cell, int64_t now_ms);

/* cell_route.c */
void cell_routes_send(wb_cell_t *cell, int64_t now_ms);
/* Sends the current route to a gateway; if not `always`, only when it differs from the last one. */
void cell_route_send(wb_cell_t *cell, cell_target_t *target, cell_gateway_t *gateway,
                     gboolean always, int64_t now_ms);
/* Time until the first replica of the model is loaded. */
int64_t cell_ready_estimate_ms(const wb_cell_t *cell, const char *model, int64_t now_ms);

/* cell_loads.c */
void cell_load_record_start(wb_cell_t *cell, const cell_engine_t *engine, const char *model,
                            int64_t bytes, int64_t now_ms);
/* Ends the loads that a new inventory shows as finished, and measures their load time per GiB. */
void cell_loads_observe(wb_cell_t *cell, const cell_engine_t *engine, int64_t now_ms);
/* Number of loads in progress from the weight store. */
guint cell_remote_loads(const wb_cell_t *cell);
const cell_load_t *cell_load_find(const wb_cell_t *cell, const char *engine, const char *model);

#endif
