/**
 * @file cell_host.h
 * @brief A node's part in the cells: its groups, and the decisions of the cells that it owns.
 *
 * Threads: everything on the loop's thread.
 */
#ifndef WICKBRIDGE_CELL_HOST_H
#define WICKBRIDGE_CELL_HOST_H

#include "wickbridge/cell.h"
#include "wickbridge/config_store.h"
#include "wickbridge/engine_client.h"
#include "wickbridge/group.h"
#include "wickbridge/membership.h"
#include "wickbridge/platform.h"

typedef struct wb_cell_host_t wb_cell_host_t;

typedef struct wb_cell_host_options_t {
    const char *node;
    const char *engine_scheme;
    int64_t group_size; /**< members of a cell's group */
    int64_t group_heartbeat_ms;
    int64_t election_timeout_ms;
    int64_t orphan_after_ms;    /**< a cell without an owner this long is looked after */
    int64_t claim_retention_ms; /**< how long a key's run is remembered */
    int64_t machine_poll_ms;    /**< how often an owner reads the machine list */
    int64_t weight_loads_at_once;
    int64_t order_timeout_ms;
    int64_t inventory_wait_ms;
} wb_cell_host_options_t;

/** What the host needs around it. */
typedef struct wb_cell_host_parts_t {
    wb_loop_t *loop;
    wb_http_client_t *http;
    wb_platform_t *platform;
    wb_peers_t *peers;
    wb_membership_t *membership;
    wb_config_store_t *config_store;
    /** Give a message to a node, also to this one. */
    void (*send)(const char *node, const wb_wire_message *message, void *context);
    void *context;
} wb_cell_host_parts_t;

wb_cell_host_t *wb_cell_host_start(const wb_cell_host_options_t *options,
                                   const wb_cell_host_parts_t *parts);
void wb_cell_host_stop(wb_cell_host_t *host);

/** Give it a message. @return TRUE when the message was its own */
gboolean wb_cell_host_on_message(wb_cell_host_t *host, const char *node,
                              const wb_wire_message *message);

void wb_cell_host_on_member(wb_cell_host_t *host, const wb_member_t *member);
void wb_cell_host_set_config(wb_cell_host_t *host, wb_config_t *config);

/** Hand all cells over. @return TRUE once none is owned any more */
gboolean wb_cell_host_hand_over(wb_cell_host_t *host);

/** @return the cells with a group here, with roles and epochs, as JSON */
json_t *wb_cell_host_status(wb_cell_host_t *host);

/** @return the owner's explanation of a model, or NULL when its cell isn't owned here */
json_t *wb_cell_host_explain(wb_cell_host_t *host, const char *model);

guint wb_cell_host_owned_count(const wb_cell_host_t *host);

#endif
