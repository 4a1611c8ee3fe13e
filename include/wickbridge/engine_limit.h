/**
 * @file engine_limit.h
 * @brief How many requests this node may send to an engine that has named a limit for all nodes
 * together.
 *
 * What the engine takes in four seconds is dealt out among the nodes in whole requests, by
 * rendezvous hashing: where there are more nodes than requests, most have none, and other nodes for
 * each engine. Each sends its part in any four and a half seconds, so that requests which are half
 * a second longer on their way still arrive in no more than that.
 *
 * A limit holds as long as the engine names it. Answers overtake one another: only one to a request
 * that was sent after the limit was last named shows that it has ended. A node without a part hears
 * no answers. It learns the end from others; where nobody has heard the engine for some time, such
 * nodes may try in turn, one in five seconds.
 *
 * Over all nodes that is at most what is named, or one request, and two more in four seconds.
 *
 * Pure: the time is passed in.
 */
#ifndef WICKBRIDGE_ENGINE_LIMIT_H
#define WICKBRIDGE_ENGINE_LIMIT_H

#include "wickbridge/send_limiter.h"

/** In which a node's requests are counted, for a limit of one request in four seconds or more. */
#define WB_LIMIT_WINDOW_MS 4500

/** An engine's limit; all zeros: it has none. */
typedef struct wb_engine_limit_t {
    gboolean named;
    double per_s;        /**< requests a second */
    int64_t limit_reported_ms;    /**< steady time at which an answer to any node last named it */
    int64_t ended_ms;    /**< when the request was sent whose answer showed its end; 0: never */
    wb_send_limiter_t gate; /**< what this node has sent since */
} wb_engine_limit_t;

/** This node among those that share what an engine takes. */
typedef struct wb_share_rank_t {
    unsigned nodes; /**< 0: it has no part now */
    unsigned rank;  /**< nodes before it, by wb_rendezvous_rank */
} wb_share_rank_t;

/**
 * An answer has named a limit.
 * @param sent_ms  when its request was sent
 * @param limit_reported_ms when the answer came
 * @return TRUE when the limit is new or another one
 */
gboolean wb_engine_limit_set(wb_engine_limit_t *limit, double per_s, int64_t sent_ms,
                              int64_t limit_reported_ms);
/** An answer has named none. @param sent_ms as above @return TRUE when the limit has ended by that
 */
gboolean wb_engine_limit_end(wb_engine_limit_t *limit, int64_t sent_ms);
/**
 * @param ahead requests of this node that wait for the engine and come first
 * @return steady time from which this node may send; now_ms: now; G_MAXINT64: none is known
 */
int64_t wb_engine_limit_next_ms(const wb_engine_limit_t *limit, const wb_share_rank_t *place,
                                 unsigned ahead, int64_t now_ms);
/** A request is sent there. */
void wb_engine_limit_record(wb_engine_limit_t *limit, int64_t now_ms);
void wb_engine_limit_clear(wb_engine_limit_t *limit);

#endif
