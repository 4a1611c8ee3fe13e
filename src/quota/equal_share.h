/**
 * @file equal_share.h
 * @brief Divides a shared budget equally among nodes, without messages about what each has used.
 *
 * In any window of time each node may use an equal share of the whole. All shares together never
 * exceed the whole, whichever nodes start, stop, join or lose the store. This rests on three rules,
 * all implemented here:
 *
 * - A node has a share only while its list of nodes, which must include itself, is at most
 *   WB_SHARE_VALID_MS old.
 * - A node has no share until it has been listed long enough that no node uses an older list, and
 *   one window longer. By then all other nodes count it, and whatever they used from larger shares,
 *   or an earlier process used on this machine, has left the window.
 * - A node that is no longer listed is counted for the same time, as it may still use an older
 *   list.
 *
 * So each node that uses its share in a window is counted by all others that do: each of N nodes
 * divides by at least N, and at most N shares of 1/N are used.
 *
 * Times are monotonic and in milliseconds. Pure: the time is passed in. No errors: a node that
 * can't have a share gets 0.
 */
#ifndef WICKBRIDGE_EQUAL_SHARE_H
#define WICKBRIDGE_EQUAL_SHARE_H

#include <glib.h>
#include <stdint.h>

/** Validity of the list of nodes. It is normally refreshed every second. */
#define WB_SHARE_VALID_MS 4000
/** Longest time that another node's report of the list may be in transit: a broken link is closed
 * after this time. */
#define WB_SHARE_DELAY_MS 3000

typedef struct wb_equal_share_t wb_equal_share_t;

/**
 * @param own_id    id of this node
 * @param window_ms the longest window that will be asked for
 */
wb_equal_share_t *wb_equal_share_create(const char *own_id, int64_t window_ms);
void wb_equal_share_free(wb_equal_share_t *share);
/** A node is listed; no effect if it already was. */
void wb_equal_share_add(wb_equal_share_t *share, const char *id, int64_t now_ms);
/** A node is no longer listed; no effect if it wasn't. */
void wb_equal_share_remove(wb_equal_share_t *share, const char *id, int64_t now_ms);
/** The list of nodes is complete as of this time; an earlier time than before has no effect. */
void wb_equal_share_set_as_of(wb_equal_share_t *share, int64_t as_of_ms);
/** This process was paused, so the age of what it receives is unknown: it waits as after a start.
 */
void wb_equal_share_after_pause(wb_equal_share_t *share, int64_t now_ms);
/**
 * This process has written the first row that its machine ever had, and has read it back: no
 * earlier process on this machine used anything. If no other node is listed, this node gets the
 * whole budget at once.
 */
void wb_equal_share_set_first_process(wb_equal_share_t *share, int64_t now_ms);
/** Drop removed nodes that no node counts any more. */
void wb_equal_share_sweep(wb_equal_share_t *share, int64_t now_ms);
/** @return a digest of the listed ids that doesn't depend on their order */
uint64_t wb_equal_share_digest(const wb_equal_share_t *share);
/** @return set of the ids that count, possibly with some that no longer do; owned by `share` */
GHashTable *wb_equal_share_ids(const wb_equal_share_t *share);
/**
 * @param window_ms window over which usage is counted
 * @return number of nodes by which the whole is divided; 0: this node has no share now
 */
unsigned wb_equal_share_nodes(const wb_equal_share_t *share, int64_t window_ms, int64_t now_ms);
/**
 * @param whole     units that all nodes together may use in the window
 * @param window_ms window over which usage is counted
 * @return units for this node. With more nodes than units the units aren't split: one each goes to
 * as many nodes, ordered by the hashes of their ids
 */
double wb_equal_share_amount(const wb_equal_share_t *share, double whole, int64_t window_ms,
                             int64_t now_ms);
/**
 * Like wb_equal_share_nodes, for budgets of which a part is reserved for nodes that don't know of
 * each other yet: this node only waits until the usage of an earlier process on its machine has
 * left the window.
 */
unsigned wb_equal_share_listed(const wb_equal_share_t *share, int64_t window_ms, int64_t now_ms);

#endif
