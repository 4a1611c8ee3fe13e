/**
 * @file equal_share.h
 * @brief Among how many nodes something is divided that all of them may spend together.
 *
 * Each node spends an equal part of the whole in any window of time, without a message about what
 * it spends. Whichever nodes start, end, come or are cut off from the store, all parts together are
 * never more than the whole. That rests on three rules, all kept here:
 *
 * - A node has a part only while it knows which nodes are listed, itself among them, as of
 *   WB_SHARE_VALID_MS ago at most.
 * - It has none until it has been listed for as long as it takes that nobody goes by an older list,
 *   and a window more: by then all others count it, and what they spent by larger parts, or what a
 *   process before it spent on its machine, has left the window.
 * - A node that is no longer listed is counted for just as long: it may go on by an older list.
 *
 * So whoever spends in a window is counted by all others that do: each of N nodes divides by N at
 * least, and no more than N parts of 1/N are spent.
 *
 * Pure: the time is passed in.
 */
#ifndef WICKBRIDGE_EQUAL_SHARE_H
#define WICKBRIDGE_EQUAL_SHARE_H

#include <glib.h>
#include <stdint.h>

/** What is known of the nodes stands for so long: some times the second in which it is usually told
 * anew. */
#define WB_SHARE_VALID_MS 4000
/** What another node told may have been under way for so long: then links that are cut end. */
#define WB_SHARE_DELAY_MS 3000

typedef struct wb_equal_share_t wb_equal_share_t;

/**
 * @param own_id    this node
 * @param window_ms the longest window that will be asked for
 */
wb_equal_share_t *wb_equal_share_create(const char *own_id, int64_t window_ms);
void wb_equal_share_free(wb_equal_share_t *share);
/** A node is listed; nothing changes if it was. */
void wb_equal_share_add(wb_equal_share_t *share, const char *id, int64_t now_ms);
/** A node is no longer listed. */
void wb_equal_share_remove(wb_equal_share_t *share, const char *id, int64_t now_ms);
/** All that are listed are known as of this steady time, or as of a later one told before. */
void wb_equal_share_set_as_of(wb_equal_share_t *share, int64_t as_of_ms);
/** This process stood still and can't know how old what it is told is: it waits as after a start.
 */
void wb_equal_share_after_pause(wb_equal_share_t *share, int64_t now_ms);
/**
 * This process has written the first row that its machine ever had, and has read it back: no
 * process before it has spent anything. If no other node is listed, nobody has: it has the whole at
 * once.
 */
void wb_equal_share_set_first_process(wb_equal_share_t *share, int64_t now_ms);
/** Forget nodes that are gone for so long that nobody counts them. */
void wb_equal_share_sweep(wb_equal_share_t *share, int64_t now_ms);
/** @return a digest of the ids that are listed, whatever the order in which they came */
uint64_t wb_equal_share_digest(const wb_equal_share_t *share);
/** @return set of ids: all that count, and maybe some that no longer do; owned by the share */
GHashTable *wb_equal_share_ids(const wb_equal_share_t *share);
/**
 * @param window_ms in which what is shared is counted
 * @return by how many the whole is divided in such a window; 0: this node has no part now
 */
unsigned wb_equal_share_nodes(const wb_equal_share_t *share, int64_t window_ms, int64_t now_ms);
/**
 * @param whole     units that all nodes may spend together in the window
 * @param window_ms as above
 * @return this node's part. Where there are more nodes than units, a part of one is of no use to
 * anybody: as many nodes as there are units have a whole one, by the order of their ids' hashes
 */
double wb_equal_share_amount(const wb_equal_share_t *share, double whole, int64_t window_ms,
                           int64_t now_ms);
/**
 * The same where a part of the whole is set aside for nodes that don't know of each other yet: this
 * one waits only until what a process before it spent has left the window.
 */
unsigned wb_equal_share_listed(const wb_equal_share_t *share, int64_t window_ms, int64_t now_ms);

#endif
