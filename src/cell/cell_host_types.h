/* Inner types of the cell host, shared by its files. */
#ifndef WICKBRIDGE_CELL_HOST_TYPES_H
#define WICKBRIDGE_CELL_HOST_TYPES_H

#include "wickbridge/cell_host.h"

/* A cell's row in the table service. */
#define CELL_ROW_PREFIX "cell/"

/* A claim that waits for its command to count. */
typedef struct claim_wait_t {
    uint64_t sequence;
    char *node;
    uint64_t request;
    char *model;
    char *key;
} claim_wait_t;

/* One cell on this node. */
typedef struct hosted_cell_t {
    wb_cell_host_t *host;
    char *name;
    wb_group_t *group; /* NULL while this node is no member */
    wb_cell_t *cell;   /* while this node is the owner */
    wb_engine_client_t *engines;
    GQueue claim_waits;      /* by sequence */
    int64_t orphan_since_ms; /* 0: it has an owner */
    gboolean asking;         /* a table operation for this cell is under way */
    int64_t machines_version;
    int64_t machines_next_ms;
    gboolean machines_asking;
    int64_t member_changed_ms;
    int64_t expire_next_ms;
    gboolean step_is_due; /* a deferred step is posted */
} hosted_cell_t;

struct wb_cell_host_t {
    wb_cell_host_options_t options;
    wb_cell_host_parts_t parts;
    char *node;
    GHashTable *cells; /* name -> hosted_cell_t */
    wb_timer_t *tick_timer;
    int64_t balance_next_ms;
    gboolean leaving;
    int64_t leaving_since_ms;
};

/* cell_balance.c: no node owns many cells while another owns few. */
void cell_balance_tick(wb_cell_host_t *host, int64_t now_ms);

/* cell_bootstrap.c: rows of the table service. */
void cell_founding_tick(hosted_cell_t *hosted, int64_t now_ms);
void cell_members_maintain(hosted_cell_t *hosted, int64_t now_ms);

/* cell_claims.c: requests that may not be repeated. */
void cell_claim_want(wb_cell_host_t *host, const char *node, const wb_wire_claim_request *want);
void cell_claim_done(wb_cell_host_t *host, const wb_wire_claim_done *done);
void cell_claims_committed(hosted_cell_t *hosted, uint64_t sequence);
void cell_claims_drop(hosted_cell_t *hosted);

/* cell_machines.c: the machine list. */
void cell_machines_tick(hosted_cell_t *hosted, int64_t now_ms);

hosted_cell_t *cell_host_find(wb_cell_host_t *host, const char *name);
/* The hosted cell of a declared model, or NULL. */
hosted_cell_t *cell_host_find_model(wb_cell_host_t *host, const char *model);
wb_group_t *cell_host_group(hosted_cell_t *hosted);

#endif
