/**
 * @file membership.h
 * @brief Cluster membership, failure detection and cell ownership, by heartbeats and gossip on an
 * overlay network of fixed fan-out.
 *
 * Each node exchanges heartbeats with its overlay neighbours only (about eight links, independent
 * of the cluster's size) and floods changes over the same links. Times are monotonic (wb_clock_ms)
 * in milliseconds. The functions report no errors. Loop thread only.
 */
#ifndef WICKBRIDGE_MEMBERSHIP_H
#define WICKBRIDGE_MEMBERSHIP_H

#include "wickbridge/loop.h"
#include "wickbridge/member.h"
#include "wickbridge/peers.h"

typedef struct wb_membership_t wb_membership_t;

/** Identity of this node and settings. Strings are copied. */
typedef struct wb_membership_options_t {
    const char *node;
    const char *address;
    const char *client_address;
    const char *zone;
    const char *const *seeds; /**< addresses to join through, ended by NULL */
    int64_t heartbeat_interval_ms;
    int64_t suspect_after_ms; /**< time without a message after which a neighbour is suspected */
    int64_t dead_after_ms;    /**< time after which a suspected member counts as dead */
} wb_membership_options_t;

typedef struct wb_membership_events_t {
    /** A member was added or changed its state. */
    void (*on_member)(const wb_member_t *member, void *context);
    /** A cell has a new owner, as of this epoch. */
    void (*on_owner)(const char *cell, const char *node, uint64_t epoch, void *context);
    /** A neighbour's heartbeat carried its configuration version. */
    void (*on_config_version)(const char *node, uint64_t version, void *context);
    void *context;
} wb_membership_events_t;

wb_membership_t *wb_membership_start(wb_loop_t *loop, wb_peers_t *peers,
                                     const wb_membership_options_t *options,
                                     const wb_membership_events_t *events);
void wb_membership_stop(wb_membership_t *membership);

/** Handle a message from a node. @return TRUE if it is a membership message */
gboolean wb_membership_handle_message(wb_membership_t *membership, const char *node,
                                      const wb_wire_message *message);
/** Handle wb_peers_events_t.on_up. */
void wb_membership_on_link_up(wb_membership_t *membership, const char *node, gboolean overlay);
/** Handle wb_peers_events_t.on_down: a neighbour becomes suspected. */
void wb_membership_on_link_down(wb_membership_t *membership, const char *node);
/** Handle wb_peers_events_t.on_address_reused: the process of `node` has ended. */
void wb_membership_on_address_reused(wb_membership_t *membership, const char *node);

/** The platform has permanently removed a machine. */
void wb_membership_on_machine_removed(wb_membership_t *membership, const char *machine_id);

const wb_member_table_t *wb_membership_table(const wb_membership_t *membership);
/** @return the node's address for links, or NULL if it is unknown or gone */
const char *wb_membership_address(const wb_membership_t *membership, const char *node);

/** Announce to all nodes that this node owns a cell as of an epoch. */
void wb_membership_announce_owner(wb_membership_t *membership, const char *cell, uint64_t epoch);

/** @return the latest known owner, or NULL. @param epoch out: its epoch, or 0; may be NULL */
const char *wb_membership_owner(const wb_membership_t *membership, const char *cell,
                                uint64_t *epoch);

/** Set the version that this node's heartbeats carry. */
void wb_membership_set_config_version(wb_membership_t *membership, uint64_t version);

/** Announce to all nodes that this node leaves permanently. */
void wb_membership_leave(wb_membership_t *membership);

#endif
