/* Internal types of the simulated cluster, shared by world.c and sim_*.c. Times are in simulated
 * milliseconds, sizes in bytes. */
#ifndef WICKBRIDGE_FUZZ_WORLD_TYPES_H
#define WICKBRIDGE_FUZZ_WORLD_TYPES_H

#include "world.h"

#include "wickbridge/cell.h"
#include "wickbridge/group.h"

#define NODES 5
#define ENGINES 3
#define MAX_ENGINES 64
#define MODELS 4
#define KEYS 6
#define MACHINE_LIST_LAG_MS 300
#define GROUP_SIZE 3

typedef enum event_kind_t {
    EVENT_MESSAGE,        /* node to node */
    EVENT_ORDER,          /* node to engine */
    EVENT_ORDER_RESPONSE, /* engine to the node that sent the order */
    EVENT_REQUEST         /* request with an idempotency key, to an engine */
} event_kind_t;

typedef struct event_t {
    event_kind_t kind;
    int64_t at_ms;
    char from[24];
    char to[24];
    GByteArray *bytes;
    gboolean lost_in_transit;
    gboolean sender_timed_out; /* arrives after its sender timed out */
    wb_order_action_t action;
    wb_order_outcome_t outcome;
    uint64_t fence;
    char model[16];
    char adapter[16];
    int64_t version;
    int64_t bytes_needed;
    wb_inventory_t *inventory;
    char key[16];
    char stream[24];
} event_t;

typedef struct sim_node_t {
    struct world_t *world;
    char name[24];
    gboolean frozen;
    wb_group_t *group;
    wb_cell_t *cell;
    GQueue pending_claims;
    int64_t maintained_ms;
} sim_node_t;

typedef struct sim_load_t {
    char model[16];
    char adapter[16]; /* "" for the model itself */
    int64_t done_ms;
} sim_load_t;

typedef struct sim_engine_t {
    char id[24];
    gboolean dead;
    gboolean draining;
    int64_t died_ms;
    uint64_t fence;
    int64_t sequence;
    int64_t capacity_bytes;
    wb_inventory_t *inventory; /* actual state, not as reported */
    GPtrArray *loads;
    GHashTable *streams; /* stream ids that ran or are fenced off */
} sim_engine_t;

struct world_t {
    const uint8_t *data;
    size_t size;
    size_t used;
    GRand *random;
    world_counters_t *counters;
    int64_t now_ms;
    wb_config_t *config;
    sim_node_t nodes[NODES];
    int node_names_used;
    sim_engine_t engines[MAX_ENGINES];
    int engine_count;
    GPtrArray *events;
    gboolean cut[NODES][NODES];
    guint loss_percent;
    GHashTable *killed_nodes; /* name of a killed node -> time of death in ms */
    /* The cell's row in the table service. */
    uint64_t row_generation;
    uint64_t row_era;
    GPtrArray *row_members;
    int streams;
    GHashTable *keys_run; /* idempotency keys that ran */
    const char *fault;
};

guint world_choose(world_t *world, guint limit);
gboolean world_chance(world_t *world, guint percent);
int node_index(const world_t *world, const char *name);
gboolean node_is_removed(const world_t *world, const char *name);
wb_group_t *node_ensure_group(sim_node_t *node);
event_t *event_add(world_t *world, event_kind_t kind, int64_t delay_ms);

/* sim_engine.c */
void engine_add(world_t *world);
void engine_clear(sim_engine_t *engine);
void engine_fail(world_t *world);
void engine_receive_order(world_t *world, const event_t *event);
void engines_tick(world_t *world);
void engine_receive_request(world_t *world, const event_t *event);
sim_engine_t *engine_find(world_t *world, const char *id);
const char *oracle_check(world_t *world);

/* sim_claims.c */
void sim_claim_start(world_t *world);
void claims_committed(sim_node_t *node, uint64_t sequence);
void claims_lost(sim_node_t *node);
void claims_clear(sim_node_t *node);

/* sim_founding.c */
void founding_try(world_t *world, sim_node_t *node);
void members_maintain(sim_node_t *node);

#endif
