/* Types and functions that the cell host's files share: the cells on this node, their groups, and
 * the claims that wait for a commit. Not for other modules. Loop thread only; times in ms. */
#ifndef WICKBRIDGE_CELL_HOST_TYPES_H
#define WICKBRIDGE_CELL_HOST_TYPES_H

#include "wickbridge/cell_host.h"

/* Prefix of a cell's key in the table service. */
#define CELL_ROW_PREFIX "cell/"

/* A claim whose command is not committed yet. */
typedef struct pending_claim_t {
    uint64_t sequence;
    char *node;
    uint64_t request;
    char *model;
    char *key;
} pending_claim_t;

/* A cell on this node. */
typedef struct hosted_cell_t {
    wb_cell_host_t *host;
    char *name;
    wb_group_t *group; /* NULL until this node takes part in the group */
    wb_cell_t *cell;   /* NULL unless this node is the owner */
    wb_engine_client_t *engines;
    GQueue pending_claims;      /* pending_claim_t, by sequence */
    int64_t ownerless_since_ms; /* 0: the cell has an owner */
    gboolean row_call_pending;  /* a read or write of the cell's row */
    int64_t machines_version;
    int64_t machines_next_ms;
    gboolean machines_call_pending;
    int64_t members_checked_ms; /* last time a member change was considered */
    int64_t expire_next_ms;
    gboolean step_is_posted; /* to the loop */
} hosted_cell_t;

struct wb_cell_host_t {
    wb_cell_host_options_t options;
    wb_cell_host_parts_t parts;
    char *node;
    GHashTable *cells; /* name -> hosted_cell_t */
    wb_timer_t *tick_timer;
    int64_t balance_next_ms;
    gboolean handing_over;
    int64_t hand_over_since_ms;
};

/* cell_balance.c: balances the number of owned cells. */
void cell_balance_tick(wb_cell_host_t *host, int64_t now_ms);

/* cell_bootstrap.c: cells' rows in the table service. */
/* Creates the group of a cell without an owner, after a delay that differs by node. */
void cell_bootstrap_tick(hosted_cell_t *hosted, int64_t now_ms);
/* As the owner, replaces failed members and fills up the group, one member at a time. */
void cell_members_maintain(hosted_cell_t *hosted, int64_t now_ms);

/* cell_claims.c: claims of requests that are not repeatable. */
void cell_claim_on_request(wb_cell_host_t *host, const char *node,
                           const wb_wire_claim_request *message);
void cell_claim_on_done(wb_cell_host_t *host, const wb_wire_claim_done *done);
void cell_claims_on_commit(hosted_cell_t *hosted, uint64_t sequence);
void cell_claims_refuse_pending(hosted_cell_t *hosted);

/* cell_machines.c: the machine list. */
void cell_machines_tick(hosted_cell_t *hosted, int64_t now_ms);

hosted_cell_t *cell_host_find(wb_cell_host_t *host, const char *name);
/* The cell of a declared model, or NULL. */
hosted_cell_t *cell_host_find_model(wb_cell_host_t *host, const char *model);
/* The cell's group; creates it when there is none. */
wb_group_t *cell_host_group(hosted_cell_t *hosted);

#endif
