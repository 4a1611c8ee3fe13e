/**
 * @file engine_limit.h
 * @brief This node's share of a request rate limit that an engine reports for all nodes together.
 *
 * The requests that the limit allows in four seconds are divided among the nodes in whole requests,
 * by rendezvous hashing. If there are more nodes than requests, most nodes have no share, and these
 * are different nodes for each engine. A node may send its share in any window of 4.5 s; the extra
 * 0.5 s allows for differences in network delay.
 *
 * A limit is in force while the engine's responses report it. As responses may arrive out of order,
 * only a response to a request sent after the limit was last reported can end it. A node without a
 * share gets no responses and learns the end from other nodes. If no node has had a response for
 * some time, the nodes without a share may send one probe each, in turn, one every five seconds.
 *
 * In any four seconds all nodes together send at most what the reported rate allows (but at least
 * one request) plus two requests.
 *
 * Pure: the time is passed in. Times are monotonic (wb_clock_ms) in milliseconds; rates are in
 * requests per second. The functions can't fail. Not thread-safe.
 */
#ifndef WICKBRIDGE_ENGINE_LIMIT_H
#define WICKBRIDGE_ENGINE_LIMIT_H

#include "wickbridge/send_limiter.h"

/** Window in which a node's requests are counted, for limits of at least one request in 4 s. */
#define WB_LIMIT_WINDOW_MS 4500

/** An engine's limit; zeroed: no limit. */
typedef struct wb_engine_limit_t {
    gboolean named;            /**< the limit is in force */
    double per_s;              /**< requests per second */
    int64_t limit_reported_ms; /**< when a response to any node last reported it */
    int64_t ended_ms; /**< when the request was sent whose response showed its end; 0: never */
    wb_send_limiter_t limiter; /**< requests that this node has sent to the engine */
} wb_engine_limit_t;

/** Position of this node among those that share an engine's limit. */
typedef struct wb_share_rank_t {
    unsigned nodes; /**< number of nodes that share it; 0: this node has no share now */
    unsigned rank;  /**< number of nodes that precede this one, by wb_rendezvous_rank */
} wb_share_rank_t;

/**
 * A response reported the limit.
 * @param sent_ms  when its request was sent
 * @param limit_reported_ms when it arrived
 * @return TRUE if the limit is new or its rate has changed
 */
gboolean wb_engine_limit_set(wb_engine_limit_t *limit, double per_s, int64_t sent_ms,
                             int64_t limit_reported_ms);
/** A response reported no limit. @param sent_ms as above @return TRUE if that ended the limit */
gboolean wb_engine_limit_end(wb_engine_limit_t *limit, int64_t sent_ms);
/**
 * Compute the next send time of this node.
 * @param ahead number of this node's requests that wait for the engine and will be sent first
 * @return time from which this node may send; now_ms: at once; G_MAXINT64: unknown
 */
int64_t wb_engine_limit_next_ms(const wb_engine_limit_t *limit, const wb_share_rank_t *position,
                                unsigned ahead, int64_t now_ms);
/** Record that this node sends a request to the engine. */
void wb_engine_limit_record(wb_engine_limit_t *limit, int64_t now_ms);
/** Free the record of sent requests. */
void wb_engine_limit_clear(wb_engine_limit_t *limit);

#endif
