/**
 * @file send_limiter.h
 * @brief Sliding-window limit on the requests that this node sends to one engine, and division of
 * an engine's capacity among nodes by rendezvous hashing.
 *
 * Pure: the time is passed in. Times are monotonic (wb_clock_ms) in milliseconds. The functions
 * can't fail. Not thread-safe.
 */
#ifndef WICKBRIDGE_SEND_LIMITER_H
#define WICKBRIDGE_SEND_LIMITER_H

#include <glib.h>
#include <stdint.h>

/** Send times within the last window; zeroed: none. */
typedef struct wb_send_limiter_t {
    GArray *sent_ms; /**< int64_t times, oldest first; NULL: none */
} wb_send_limiter_t;

/**
 * Compute the next send time.
 * @param share     max number of requests in any window
 * @param window_ms length of the window; at most that passed to wb_send_limiter_record
 * @param ahead     number of requests that will be sent before this one
 * @return time from which the request may be sent; now_ms: at once; G_MAXINT64: never (no share)
 */
int64_t wb_send_limiter_next_ms(const wb_send_limiter_t *limiter, unsigned share, int64_t window_ms,
                                unsigned ahead, int64_t now_ms);
/** Record that a request is sent now. Times older than `window_ms` are dropped. */
void wb_send_limiter_record(wb_send_limiter_t *limiter, int64_t window_ms, int64_t now_ms);
/** Free the recorded times. */
void wb_send_limiter_clear(wb_send_limiter_t *limiter);

/**
 * Divide whole units evenly among nodes; nodes of lower rank get the remainder.
 * @param nodes number of nodes that share them, this one included; 0: this node has no share now
 * @param rank  number of nodes that precede this one
 * @return units for this node
 */
unsigned wb_rendezvous_share(unsigned units, unsigned nodes, unsigned rank);
/**
 * Rank this node by rendezvous hashing; all nodes compute the same order.
 * @param subject what is shared, for example an engine's incarnation
 * @param own     this node's id
 * @param nodes   set of node ids, with or without this node's
 * @return number of nodes that precede this one for that subject
 */
unsigned wb_rendezvous_rank(const char *subject, const char *own, GHashTable *nodes);

#endif
