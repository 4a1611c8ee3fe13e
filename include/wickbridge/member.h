/**
 * @file member.h
 * @brief Table of cluster members that merges updates in any order to the same result.
 *
 * A process gets a new name at each start ("id~boot"), so a restarted process is another member and
 * can't be mistaken for the one that lost its state. Pure: no clock, socket or lock. Times are
 * monotonic, in milliseconds. The functions report no errors.
 */
#ifndef WICKBRIDGE_MEMBER_H
#define WICKBRIDGE_MEMBER_H

#include <glib.h>
#include <stdint.h>

/** States in ascending precedence: at the same incarnation the higher one wins. */
typedef enum wb_member_state_t {
    WB_MEMBER_ALIVE,
    WB_MEMBER_SUSPECT, /**< unresponsive to a neighbour */
    WB_MEMBER_DEAD,    /**< suspected for too long; it may still run behind a network partition */
    WB_MEMBER_GONE     /**< final: it left, its process was replaced, or its machine was removed */
} wb_member_state_t;

/** A member as known to this node. */
typedef struct wb_member_t {
    char *node;           /**< "id~boot" */
    char *address;        /**< IP:PORT for links */
    char *client_address; /**< IP:PORT for clients */
    char *zone;
    uint64_t incarnation; /**< increased by the node itself to refute a suspicion */
    wb_member_state_t state;
    int64_t changed_ms; /**< when this node learned `state` */
} wb_member_t;

typedef struct wb_member_table_t wb_member_table_t;

wb_member_table_t *wb_member_table_create(void);
void wb_member_table_free(wb_member_table_t *table);

/**
 * Merge an update, which is copied.
 * @return TRUE if it changed the table, so it should be forwarded
 */
gboolean wb_member_table_merge(wb_member_table_t *table, const wb_member_t *update, int64_t now_ms);

/** @return the member or NULL; valid until the next merge or sweep */
const wb_member_t *wb_member_table_find(const wb_member_table_t *table, const char *node);

/** @return TRUE if the node is known and alive or suspected */
gboolean wb_member_table_is_up(const wb_member_table_t *table, const char *node);

/** @return all members sorted by name, as a GPtrArray of const wb_member_t *; owned by the caller,
 * valid until the next merge or sweep */
GPtrArray *wb_member_table_list(const wb_member_table_t *table);

/** @return a digest of the members that are alive or suspected; equal tables have equal digests */
uint64_t wb_member_table_digest(const wb_member_table_t *table);

/** Remove members that have been dead or gone for longer than `keep_ms`. */
void wb_member_table_sweep(wb_member_table_t *table, int64_t now_ms, int64_t keep_ms);

/**
 * Compute the overlay neighbours that `self` connects to: the next two members on a hash ring, the
 * opposite one, and one chosen by the hash of `self`, so that the overlay stays connected when
 * members fail.
 * @return names as a GPtrArray of char *; owned by the caller
 */
GPtrArray *wb_member_table_neighbours(const wb_member_table_t *table, const char *self);

/**
 * Rank the members that are up for a key, by rendezvous hashing.
 * @param spread_zones put the highest ranked member of each zone first, then the rest
 * @return const wb_member_t *, highest ranked first; owned by the caller, valid until the next
 * merge or sweep
 */
GPtrArray *wb_member_table_rank(const wb_member_table_t *table, const char *key,
                                gboolean spread_zones);

/** Get the machine's id from a member's name. @param id out, zero-terminated, truncated to `size`
 */
void wb_member_machine_id(const char *node, char *id, size_t size);

/** @return "alive", "suspect", "dead" or "gone" */
const char *wb_member_state_name(wb_member_state_t state);

#endif
