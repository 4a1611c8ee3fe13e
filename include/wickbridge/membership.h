/**
 * @file membership.h
 * @brief Who is up and who owns which cell: heartbeats on a fixed fan-out overlay, with gossip.
 *
 * Each node heartbeats only its overlay neighbours (about eight links, whatever the cluster's
 * size) and floods changes over the same links. Threads: everything on the loop's thread.
 */
#ifndef WICKBRIDGE_MEMBERSHIP_H
#define WICKBRIDGE_MEMBERSHIP_H

#include "wickbridge/loop.h"
#include "wickbridge/member.h"
#include "wickbridge/peers.h"

typedef struct wb_membership_t wb_membership_t;

/** Settings and identity. Texts are copied. */
typedef struct wb_membership_options_t {
    const char *node;
    const char *address;
    const char *client_address;
    const char *zone;
    const char *const *seeds; /**< addresses to join through, ended by NULL */
    int64_t heartbeat_interval_ms;
    int64_t suspect_after_ms; /**< silence before a neighbour is suspected */
    int64_t dead_after_ms;    /**< suspicion before it counts as dead */
} wb_membership_options_t;

typedef struct wb_membership_events_t {
    void (*on_member)(const wb_member_t *member, void *context);
    void (*on_owner)(const char *cell, const char *node, uint64_t epoch, void *context);
    /** A neighbour's heartbeat shows its configuration version. */
    void (*on_config_version)(const char *node, uint64_t version, void *context);
    void *context;
} wb_membership_events_t;

wb_membership_t *wb_membership_start(wb_loop_t *loop, wb_peers_t *peers,
                                     const wb_membership_options_t *options,
                                     const wb_membership_events_t *events);
void wb_membership_stop(wb_membership_t *membership);

/** Give it a message or a change of a link. @return TRUE when the message was its own */
gboolean wb_membership_message(wb_membership_t *membership, const char *node,
                               const wb_wire_message *message);
void wb_membership_link_up(wb_membership_t *membership, const char *node, gboolean overlay);
void wb_membership_link_down(wb_membership_t *membership, const char *node);
void wb_membership_replaced(wb_membership_t *membership, const char *node);

/** The platform says that this machine is gone for good. */
void wb_membership_machine_gone(wb_membership_t *membership, const char *machine_id);

const wb_member_table_t *wb_membership_table(const wb_membership_t *membership);
const char *wb_membership_address(const wb_membership_t *membership, const char *node);

/** Tell all that this node owns a cell at an epoch. */
void wb_membership_announce_owner(wb_membership_t *membership, const char *cell, uint64_t epoch);

/** @return the owner last heard of, or NULL; `epoch` may be NULL */
const char *wb_membership_owner(const wb_membership_t *membership, const char *cell,
                                uint64_t *epoch);

void wb_membership_set_config_version(wb_membership_t *membership, uint64_t version);

/** Tell all that this node leaves for good. */
void wb_membership_leave(wb_membership_t *membership);

#endif
