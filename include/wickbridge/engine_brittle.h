/**
 * @file engine_brittle.h
 * @brief Keeps a brittle engine from falling over: one that fails when it has to reject more than a
 * number of requests in a second, from all nodes together, for want of room.
 *
 * Each node may cause its share of these rejections, divided by rendezvous hashing. A request
 * counts against the share from when it is sent until it is known to have been accepted, by a
 * response or because a rejection would have arrived by then; a rejected one counts for a little
 * more than a second. A node without a share sends one request at a time, and none for some seconds
 * after a rejection.
 *
 * An engine is brittle while its responses say so; only the response to a request sent after the
 * last such one can end that.
 *
 * Pure: the time is passed in. Times are monotonic (wb_clock_ms) in milliseconds. The functions
 * can't fail. Not thread-safe.
 */
#ifndef WICKBRIDGE_ENGINE_BRITTLE_H
#define WICKBRIDGE_ENGINE_BRITTLE_H

#include "wickbridge/engine_limit.h"

/** An engine's brittleness; zeroed: it isn't brittle. */
typedef struct wb_engine_brittle_t {
    gboolean named;      /**< the engine is brittle */
    unsigned rejections; /**< that it survives in a second */
    int64_t reported_ms; /**< when a response last said so; 0: never */
    GArray *pending_ms;  /**< private: times of requests that may still be rejected; NULL: none */
    GArray *rejected_ms; /**< private: times of recent rejections; NULL: none */
} wb_engine_brittle_t;

/** A response said that the engine is brittle. @return TRUE if that is new, or its number is */
gboolean wb_engine_brittle_set(wb_engine_brittle_t *brittle, unsigned rejections, int64_t now_ms);
/** A response didn't say so. @param sent_ms when its request was sent @return TRUE if that ended it
 */
gboolean wb_engine_brittle_end(wb_engine_brittle_t *brittle, int64_t sent_ms);
/**
 * Compute the next send time of this node.
 * @param position of this node among those that share the rejections
 * @param ahead    number of this node's requests that wait for the engine and will be sent first
 * @return time from which this node may send, as far as is known; now_ms: at once
 */
int64_t wb_engine_brittle_next_ms(const wb_engine_brittle_t *brittle,
                                  const wb_share_rank_t *position, unsigned ahead, int64_t now_ms);
/** A request is sent. Recorded for all engines, as the response may say that it is brittle. */
void wb_engine_brittle_sent(wb_engine_brittle_t *brittle, int64_t now_ms);
/** The request sent at this time was accepted, or never reached the engine. */
void wb_engine_brittle_accepted(wb_engine_brittle_t *brittle, int64_t sent_ms);
/** The request sent at this time was rejected. */
void wb_engine_brittle_rejected(wb_engine_brittle_t *brittle, int64_t sent_ms, int64_t now_ms);
/**
 * Whether an engine that has ended may have fallen over, judged by what it rejected of this node.
 * @param position as above
 * @param is_shared all nodes know that the engine is brittle: while none exceeds its share, it
 * doesn't fall over
 */
gboolean wb_engine_brittle_may_have_fallen(const wb_engine_brittle_t *brittle,
                                           const wb_share_rank_t *position, gboolean is_shared,
                                           int64_t now_ms);
/** Free the recorded times. */
void wb_engine_brittle_clear(wb_engine_brittle_t *brittle);

#endif
