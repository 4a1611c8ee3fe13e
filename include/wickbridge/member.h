/**
 * @file member.h
 * @brief What a node knows of the others: a table of members that merges updates in any order.
 *
 * Pure: no clock, socket or lock inside. A process has a new name at each start ("id~boot"), so a
 * restarted process is another member and can't be taken for the one that lost its state.
 */
#ifndef WICKBRIDGE_MEMBER_H
#define WICKBRIDGE_MEMBER_H

#include <glib.h>
#include <stdint.h>

/** States in order of gravity; at one incarnation the graver one wins. */
typedef enum wb_member_state_t {
    WB_MEMBER_ALIVE,
    WB_MEMBER_SUSPECT, /**< a neighbour has not heard from it */
    WB_MEMBER_DEAD,    /**< suspected long enough; may still be alive behind a cut */
    WB_MEMBER_GONE     /**< certain: it left, its process was replaced, or its machine is gone */
} wb_member_state_t;

/** One node as known here. */
typedef struct wb_member_t {
    char *node;           /**< "id~boot" */
    char *address;        /**< IP:PORT for links */
    char *client_address; /**< IP:PORT for callers */
    char *zone;
    uint64_t incarnation; /**< raised by the node itself to refute a suspicion */
    wb_member_state_t state;
    int64_t changed_ms; /**< when `state` was learnt here */
} wb_member_t;

typedef struct wb_member_table_t wb_member_table_t;

wb_member_table_t *wb_member_table_create(void);
void wb_member_table_free(wb_member_table_t *table);

/**
 * Merge one update.
 * @return TRUE when it told something new (then it should be passed on)
 */
gboolean wb_member_table_merge(wb_member_table_t *table, const wb_member_t *update, int64_t now_ms);

/** @return the member or NULL; valid until the next merge or sweep */
const wb_member_t *wb_member_table_find(const wb_member_table_t *table, const char *node);

/** @return TRUE when the node is known and alive or only suspected */
gboolean wb_member_table_is_up(const wb_member_table_t *table, const char *node);

/** @return all members sorted by name, as a GPtrArray of const wb_member_t *, freed by the caller
 */
GPtrArray *wb_member_table_list(const wb_member_table_t *table);

/** @return a digest of the members that are not dead or gone; equal tables have equal digests */
uint64_t wb_member_table_digest(const wb_member_table_t *table);

/** Forget members that have been dead or gone for longer than `keep_ms`. */
void wb_member_table_sweep(wb_member_table_t *table, int64_t now_ms, int64_t keep_ms);

/**
 * The overlay neighbours that `self` connects to: the next two on a ring of hashes, the opposite
 * one, and one chosen by hash, so that the graph stays connected when members fail.
 * @return names as a GPtrArray of char *, freed by the caller
 */
GPtrArray *wb_member_table_neighbours(const wb_member_table_t *table, const char *self);

/**
 * Rendezvous hashing: the members that are up, best first for this key.
 * @param spread_zones put the best of each zone first, then the rest
 */
GPtrArray *wb_member_table_rank(const wb_member_table_t *table, const char *key,
                                gboolean spread_zones);

/** @return the machine's id in a member's name, in `id` */
void wb_member_machine_id(const char *node, char *id, size_t size);

/** @return "alive", "suspect", "dead" or "gone" */
const char *wb_member_state_name(wb_member_state_t state);

#endif
