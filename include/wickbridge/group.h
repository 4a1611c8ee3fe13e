/**
 * @file group.h
 * @brief Consensus of a cell's members on its owner and its record, without the table service.
 *
 * There is one owner per epoch: a member promises an epoch to one candidate and from then on
 * rejects messages of lower epochs. A command is committed once a majority holds it; a new owner
 * starts from the newest record of a majority, which contains every committed command. This is
 * primary-backup replication with view changes as in Viewstamped Replication (Oki and Liskov 1988;
 * Liskov and Cowling 2012), with a complete record in place of a log, and with changes of one
 * member at a time as in Raft (Ongaro 2014, section 4.1). A restarted process has another name and
 * is no longer a member, so promises need not be persisted.
 *
 * Pure: no clock, socket or lock; messages are sent through a callback. Times are monotonic, in
 * milliseconds. Not thread-safe.
 */
#ifndef WICKBRIDGE_GROUP_H
#define WICKBRIDGE_GROUP_H

#include "wickbridge/record.h"

typedef struct wb_group_t wb_group_t;

typedef enum wb_group_role_t {
    WB_GROUP_FOLLOWER,
    WB_GROUP_CANDIDATE,    /**< requests votes */
    WB_GROUP_ESTABLISHING, /**< elected, but a majority doesn't hold its record yet */
    WB_GROUP_OWNER
} wb_group_role_t;

typedef struct wb_group_options_t {
    const char *cell;
    const char *self;
    int64_t heartbeat_ms;
    int64_t election_timeout_ms; /**< time without a message of the owner until an election */
    uint64_t random_seed;
} wb_group_options_t;

typedef struct wb_group_events_t {
    void (*send)(const char *node, const wb_wire_message *message, void *context);
    /** This node became the owner, as of this epoch. */
    void (*on_owner)(uint64_t epoch, void *context);
    /** This node is no longer the owner; commands not committed yet may still be committed. */
    void (*on_lost)(void *context);
    /** All commands up to this sequence number are committed. */
    void (*on_commit)(uint64_t sequence, void *context);
    void *context;
} wb_group_events_t;

/** An epoch consists of an era (upper bits), increased through the table service when a majority is
 * lost, and a counter (lower 16 bits). */
#define WB_GROUP_ERA_SHIFT 16

/** Create a group without a record. @param options copied; the strings as well */
wb_group_t *wb_group_create(const wb_group_options_t *options, const wb_group_events_t *events,
                            int64_t now_ms);
void wb_group_free(wb_group_t *group);

/**
 * Found the group with these members, with this node as its owner. The caller must have ensured
 * that no other node founds it (by a transaction on the cell's row), and that no earlier majority
 * can still commit.
 * @param record what is known of an earlier record, or an empty one; taken over
 */
void wb_group_bootstrap(wb_group_t *group, wb_record_t *record, const GPtrArray *members,
                    uint64_t generation, uint64_t epoch, int64_t now_ms);

/** Handle a message from another member. */
void wb_group_on_message(wb_group_t *group, const char *node, const wb_wire_message *message,
                      int64_t now_ms);

/** Handle timeouts and heartbeats; call about every 50 ms. */
void wb_group_tick(wb_group_t *group, int64_t now_ms);

/** Propose a command, as the owner. @return its sequence number; 0 if this node isn't the owner, or
 * for a change of members while commands are uncommitted */
uint64_t wb_group_propose(wb_group_t *group, const wb_wire_command *command, int64_t now_ms);

/** As the owner, ask any up-to-date member to take over at once. */
void wb_group_hand_over(wb_group_t *group);

/** As the owner, ask a member to take over at once. @return FALSE if it is not up to date */
gboolean wb_group_hand_over_to(wb_group_t *group, const char *node);

/** @return TRUE if this node is the owner and has recently received messages from a majority */
gboolean wb_group_has_quorum(const wb_group_t *group, int64_t now_ms);

/** The owner is known to be down: start an election after a short random delay. */
void wb_group_on_owner_down(wb_group_t *group, const char *node, int64_t now_ms);

wb_group_role_t wb_group_role(const wb_group_t *group);
/** @return the highest epoch promised */
uint64_t wb_group_epoch(const wb_group_t *group);
/** @return sequence number up to which commands are committed */
uint64_t wb_group_committed(const wb_group_t *group);
/** @return sequence number of the last command in the record */
uint64_t wb_group_sequence(const wb_group_t *group);
/** @return the record, owned by the group; NULL before the first one was received */
wb_record_t *wb_group_record(wb_group_t *group);
/** @return the known owner, or NULL */
const char *wb_group_owner(const wb_group_t *group);

/**
 * Promise an epoch of a new era to a node that founds the group again because its majority is lost.
 * From then on this member rejects messages of lower epochs. @return its record, or NULL
 */
wb_record_t *wb_group_promise_epoch(wb_group_t *group, uint64_t epoch);

#endif
