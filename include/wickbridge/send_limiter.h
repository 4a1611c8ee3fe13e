/**
 * @file send_limiter.h
 * @brief How many requests this node may send to an engine in any window of time, and the part of a
 * node of what an engine takes from all of them.
 *
 * Pure: the time is passed in.
 */
#ifndef WICKBRIDGE_SEND_LIMITER_H
#define WICKBRIDGE_SEND_LIMITER_H

#include <glib.h>
#include <stdint.h>

/** What this node sent lately; all zeros: nothing. */
typedef struct wb_send_limiter_t {
    GArray *sent_ms; /**< steady times, oldest first; NULL: none */
} wb_send_limiter_t;

/**
 * @param share     requests for this node in each window
 * @param window_ms as long as all calls for this gate have it
 * @param ahead     requests that will be sent before the one that is asked for
 * @return steady time from which it may be sent; now_ms: now; G_MAXINT64: never
 */
int64_t wb_send_limiter_next_ms(const wb_send_limiter_t *gate, unsigned share, int64_t window_ms,
                              unsigned ahead, int64_t now_ms);
/** It has sent one. */
void wb_send_limiter_record(wb_send_limiter_t *gate, int64_t window_ms, int64_t now_ms);
void wb_send_limiter_clear(wb_send_limiter_t *gate);

/**
 * Deal units out among nodes, in whole ones.
 * @param nodes all that share them, with this one; 0: this one has no part now
 * @param rank  nodes that come before this one
 * @return units for this node
 */
unsigned wb_rendezvous_share(unsigned units, unsigned nodes, unsigned rank);
/**
 * The order of nodes by rendezvous hashing: each node finds the same one.
 * @param subject whose units are dealt out, an engine's incarnation, say
 * @param own     this node's id
 * @param nodes   set of nodes' ids, with or without this one's
 * @return nodes that come before this one for that subject
 */
unsigned wb_rendezvous_rank(const char *subject, const char *own, GHashTable *nodes);

#endif
