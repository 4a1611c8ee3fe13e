/* Inner types of a cell, shared by the files that decide. */
#ifndef WICKBRIDGE_CELL_TYPES_H
#define WICKBRIDGE_CELL_TYPES_H

#include "wickbridge/cell.h"
#include "wickbridge/policy.h"

#include <string.h>

/* Where weights come from; each source has its own measured speed. */
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
    gboolean fenced;   /* it took a number of our epoch */
    gboolean settled;  /* no order of ours can still arrive */
    gboolean ordering; /* an order is under way */
    wb_order_action_t order_action;
    int64_t ordered_bytes;     /* of an adapter whose load may still take effect */
    uint64_t fence_sent;       /* highest number that we used */
    int64_t retry_at_ms;       /* no orders before this */
    wb_inventory_t *inventory; /* NULL until fenced */
    char *room_for;            /* a model that waits for room here, or NULL */
    int64_t room_since_ms;
} cell_engine_t;

/* A load that is under way, for estimates. */
typedef struct cell_load_t {
    char *model;
    char *engine;
    cell_source_t source;
    int64_t bytes;
    int64_t started_ms;
} cell_load_t;

/* What one gateway has of a target. */
typedef struct cell_gateway_t {
    char *node;
    int waiting;
    int running;
    int64_t deadline_ms; /* on the cell's clock; 0: none */
    int64_t heard_ms;
    guint shown; /* hash of the route last shown */
} cell_gateway_t;

/* A model, or a model with an adapter, that gateways ask for. */
typedef struct cell_target_t {
    char *model;
    char *adapter; /* "" for none */
    GHashTable *gateways;
    int64_t used_ms; /* when something last waited or ran */
} cell_target_t;

struct wb_cell_t {
    char *name;
    wb_cell_options_t options;
    wb_cell_events_t events;
    wb_record_t *record;
    wb_config_t *config;
    wb_policy_program_t *policy; /* of the service; NULL: the built-in rules */
    int64_t policy_failures;
    char policy_failure[WB_ERROR_MESSAGE_SIZE]; /* the last one */
    uint64_t epoch;
    uint64_t committed;
    gboolean machines_known; /* a whole machine list came since we own the cell */
    GHashTable *engines;     /* id -> cell_engine_t */
    GHashTable *targets;     /* "model\nadapter" -> cell_target_t */
    GHashTable *uncommitted; /* "model\nengine" -> sequence of its slot's command */
    GHashTable *retiring;    /* "model\nengine" -> why */
    GHashTable *surplus;     /* model -> since when it has more replicas than it needs, int64_t */
    GPtrArray *loads;        /* cell_load_t */
    double ms_per_gib[SOURCE_COUNT]; /* measured */
    int64_t started_ms;
};

/* How busy a model is over all gateways and adapters. */
typedef struct cell_busy_t {
    int waiting;
    int running;
    int64_t deadline_ms; /* tightest, 0: none */
    int64_t used_ms;
} cell_busy_t;

#define CELL_PAIR_SIZE 512

/* "model\nengine" in a buffer of CELL_PAIR_SIZE */
const char *cell_pair(char *buffer, const char *first, const char *second);

cell_busy_t cell_model_busy(const wb_cell_t *cell, const char *model);
cell_busy_t cell_target_busy(const cell_target_t *target);

const wb_held_model_t *cell_held(const cell_engine_t *engine, const char *model);
gboolean cell_engine_is_usable(const cell_engine_t *engine);
/* An order may be sent to it now. */
gboolean cell_engine_is_orderable(const cell_engine_t *engine, int64_t now_ms);
void cell_order_send(wb_cell_t *cell, cell_engine_t *engine, wb_order_action_t action,
                     const char *model, const char *adapter, int64_t version, int64_t bytes);

/* cell_placement.c */
int64_t cell_engine_free_bytes(const wb_cell_t *cell, const cell_engine_t *engine,
                               const char *except_model);
guint cell_zone_replicas(const wb_cell_t *cell, const char *model, const char *zone);
cell_source_t cell_source(const cell_engine_t *engine, const char *model);
int64_t cell_load_estimate_ms(const wb_cell_t *cell, const cell_engine_t *engine, const char *model,
                              int64_t bytes);
/* Adds a slot for the model, or makes room for one. Returns why not, or NULL. */
const char *cell_place(wb_cell_t *cell, const wb_model_t *model, int64_t now_ms);
gboolean cell_model_is_idle_at(const wb_cell_t *cell, const cell_engine_t *engine,
                               const char *model);

/* cell_policy.c: what the operators' policy says, or the built-in rule. */
void cell_policy_load(wb_cell_t *cell);
int64_t cell_keep_alive_ms(wb_cell_t *cell, const wb_model_t *model, const cell_busy_t *busy,
                           int64_t now_ms);
/* In addition to the built-in cost. */
int64_t cell_placement_cost_ms(wb_cell_t *cell, const wb_model_t *model,
                               const cell_engine_t *engine, guint evictions, int64_t load_ms);

/* cell_adapters.c */
void cell_adapters_step(wb_cell_t *cell, int64_t now_ms);

/* cell_route.c */
void cell_routes_show(wb_cell_t *cell, int64_t now_ms);
void cell_route_show_to(wb_cell_t *cell, cell_target_t *target, cell_gateway_t *gateway,
                        gboolean always, int64_t now_ms);
int64_t cell_wake_estimate_ms(const wb_cell_t *cell, const char *model, int64_t now_ms);

/* cell_loads.c */
void cell_load_begun(wb_cell_t *cell, const cell_engine_t *engine, const char *model, int64_t bytes,
                     int64_t now_ms);
void cell_loads_observe(wb_cell_t *cell, const cell_engine_t *engine, int64_t now_ms);
guint cell_remote_loads(const wb_cell_t *cell);
const cell_load_t *cell_load_find(const wb_cell_t *cell, const char *engine, const char *model);

#endif
