/**
 * @file group.h
 * @brief Agreement of a cell's few members on its owner and its record, without the table service.
 *
 * One owner at a time, by epochs: a member promises an epoch to one candidate and then takes
 * nothing from lower ones. The owner's commands count once a majority holds them; a new owner
 * starts from the newest record in a majority, so it knows every command that counted. This is
 * primary-backup with view changes in the manner of Viewstamped Replication (Oki and Liskov 1988;
 * Liskov and Cowling 2012), with a whole record in place of a log, and changes of one member at a
 * time as in Raft (Ongaro 2014, section 4.1). A process that restarts has another name and is no
 * member any more, so a promise is never forgotten.
 *
 * Pure: no clock, socket or lock inside; messages go out through a callback.
 */
#ifndef WICKBRIDGE_GROUP_H
#define WICKBRIDGE_GROUP_H

#include "wickbridge/record.h"

typedef struct wb_group_t wb_group_t;

typedef enum wb_group_role_t {
    WB_GROUP_FOLLOWER,
    WB_GROUP_CANDIDATE,    /**< asks for votes */
    WB_GROUP_ESTABLISHING, /**< elected; its record is not yet held by a majority */
    WB_GROUP_OWNER
} wb_group_role_t;

typedef struct wb_group_options_t {
    const char *cell;
    const char *self;
    int64_t heartbeat_ms;
    int64_t election_timeout_ms; /**< silence of the owner before a follower asks for votes */
    uint64_t random_seed;
} wb_group_options_t;

typedef struct wb_group_events_t {
    void (*send)(const char *node, const wb_wire_message *message, void *context);
    /** This node is the owner now, from this epoch on. */
    void (*on_owner)(uint64_t epoch, void *context);
    /** This node is no longer the owner; commands that didn't count yet may or may not. */
    void (*on_lost)(void *context);
    /** All commands up to this sequence count. */
    void (*on_commit)(uint64_t sequence, void *context);
    void *context;
} wb_group_events_t;

/** An epoch is an era, raised through the table service when a majority is lost, and a count. */
#define WB_GROUP_ERA_SHIFT 16

wb_group_t *wb_group_create(const wb_group_options_t *options, const wb_group_events_t *events,
                            int64_t now_ms);
void wb_group_free(wb_group_t *group);

/**
 * Start a new record with these members, as its first owner. The caller has made sure that nobody
 * else does (a transaction on the cell's row), and that no earlier majority can still act.
 * @param record what is known of an earlier record, or an empty one; owned by the group from here
 */
void wb_group_bootstrap(wb_group_t *group, wb_record_t *record, const GPtrArray *members,
                    uint64_t generation, uint64_t epoch, int64_t now_ms);

/** Take a message from another member. */
void wb_group_on_message(wb_group_t *group, const char *node, const wb_wire_message *message,
                      int64_t now_ms);

/** Let time pass; call every 50 ms or so. */
void wb_group_tick(wb_group_t *group, int64_t now_ms);

/** Add a command. Only the owner can. @return its sequence, or 0 */
uint64_t wb_group_propose(wb_group_t *group, const wb_wire_command *command, int64_t now_ms);

/** Ask another member, whichever is ready, to take over at once. */
void wb_group_hand_over(wb_group_t *group);

/** Ask this member to take over at once. @return FALSE when it is not ready to */
gboolean wb_group_hand_over_to(wb_group_t *group, const char *node);

/** @return TRUE when the owner has heard from a majority lately */
gboolean wb_group_has_quorum(const wb_group_t *group, int64_t now_ms);

/** The owner is down: ask for votes without waiting for the time-out. */
void wb_group_on_owner_down(wb_group_t *group, const char *node, int64_t now_ms);

wb_group_role_t wb_group_role(const wb_group_t *group);
uint64_t wb_group_epoch(const wb_group_t *group);
uint64_t wb_group_committed(const wb_group_t *group);
uint64_t wb_group_sequence(const wb_group_t *group);
/** @return the record; NULL before any came */
wb_record_t *wb_group_record(wb_group_t *group);
/** @return the owner as known here, or NULL */
const char *wb_group_owner(const wb_group_t *group);

/**
 * Promise an era to someone who founds the record again because a majority is gone.
 * Afterwards this member takes nothing from lower epochs. @return its record, or NULL
 */
wb_record_t *wb_group_promise_epoch(wb_group_t *group, uint64_t epoch);

#endif
