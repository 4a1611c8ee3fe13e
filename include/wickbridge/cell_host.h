/**
 * @file cell_host.h
 * @brief Runs cells on a node: the groups that it is a member of, and the placement decisions of
 * the cells that it owns.
 *
 * Times are in milliseconds. The functions report no errors. Loop thread only.
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
    int64_t group_size; /**< number of members of a cell's group */
    int64_t group_heartbeat_ms;
    int64_t election_timeout_ms;
    int64_t orphan_after_ms; /**< time without an owner after which a cell is bootstrapped again */
    int64_t claim_retention_ms; /**< retention of claims */
    int64_t machine_poll_ms; /**< interval at which the machine list is read: by a cell's owner, or
                                by the members of its group while it has no owner */
    int64_t weight_loads_at_once; /**< max concurrent loads from the weight store; divided evenly
                                      among the cells, at least one each */
    int64_t order_timeout_ms;
    int64_t inventory_wait_ms;
} wb_cell_host_options_t;

/** Objects that the host uses; they must outlive it. */
typedef struct wb_cell_host_parts_t {
    wb_loop_t *loop;
    wb_http_client_t *http;
    wb_platform_t *platform;
    wb_peers_t *peers;
    wb_membership_t *membership;
    wb_config_store_t *config_store;
    /** Send a message to a node, which may be this one. */
    void (*send)(const char *node, const wb_wire_message *message, void *context);
    void *context;
} wb_cell_host_parts_t;

wb_cell_host_t *wb_cell_host_start(const wb_cell_host_options_t *options,
                                   const wb_cell_host_parts_t *parts);
void wb_cell_host_stop(wb_cell_host_t *host);

/** Handle a message from a node. @return TRUE if it was for the host */
gboolean wb_cell_host_on_message(wb_cell_host_t *host, const char *node,
                                 const wb_wire_message *message);

/** Handle wb_membership_events_t.on_member. */
void wb_cell_host_on_member(wb_cell_host_t *host, const wb_member_t *member);
/** Apply a configuration. */
void wb_cell_host_set_config(wb_cell_host_t *host, wb_config_t *config);

/** Hand over the owned cells whose groups have other members; call repeatedly. @return TRUE once
 * there are none left, or after a time limit */
gboolean wb_cell_host_hand_over(wb_cell_host_t *host);

/** @return the cells of which this node is a group member, with roles and epochs, as JSON */
json_t *wb_cell_host_status(wb_cell_host_t *host);

/** @return wb_cell_explain of a model, or NULL if its cell isn't owned here */
json_t *wb_cell_host_explain(wb_cell_host_t *host, const char *model);

/** @return number of cells owned by this node */
guint wb_cell_host_owned_count(const wb_cell_host_t *host);

#endif
