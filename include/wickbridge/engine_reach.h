/**
 * @file engine_reach.h
 * @brief What this node knows about reaching engines: by its own connections, or only through other
 * nodes.
 *
 * An engine that doesn't accept a connection has either failed or can't be reached from this node.
 * Only another node that connects to it at the same time tells the two apart. Evidence expires, as
 * a cut may end at any time.
 *
 * Pure: the time is passed in. Times are monotonic (wb_clock_ms) in milliseconds. The functions
 * can't fail. Not thread-safe.
 */
#ifndef WICKBRIDGE_ENGINE_REACH_H
#define WICKBRIDGE_ENGINE_REACH_H

#include <glib.h>
#include <stdint.h>

/** Evidence about one engine; zeroed: none. */
typedef struct wb_engine_reach_t {
    int64_t connected_ms;    /**< when this node last connected to it; 0: never */
    int64_t failed_ms;       /**< when it last didn't accept a connection of this node in time */
    int64_t by_peer_ms;      /**< when another node last connected to it for this node */
    int64_t peers_failed_ms; /**< when other nodes last failed to connect to it */
    gboolean cut_logged;     /**< that it is reached through other nodes only has been logged */
} wb_engine_reach_t;

/** @return TRUE if this node's last attempt to connect failed, recently */
gboolean wb_engine_reach_is_doubtful(const wb_engine_reach_t *reach, int64_t now_ms);
/** @return TRUE if it is doubtful, and another node has reached the engine since this one did */
gboolean wb_engine_reach_is_cut(const wb_engine_reach_t *reach, int64_t now_ms);
/** @return FALSE while asking other nodes is useless: they have just failed as well */
gboolean wb_engine_reach_may_ask_peers(const wb_engine_reach_t *reach, int64_t now_ms);

/** The result of a node's attempt to reach an engine. */
typedef enum wb_reach_result_t {
    WB_REACH_CONNECTED, /**< this node connected to it */
    WB_REACH_BY_PEER,   /**< only another node did */
    WB_REACH_FAILED     /**< nobody did */
} wb_reach_result_t;

/** Recent results over all engines. */
typedef struct wb_reach_summary_t wb_reach_summary_t;

wb_reach_summary_t *wb_reach_summary_create(void);
void wb_reach_summary_free(wb_reach_summary_t *summary);
/** Add a result; it replaces earlier ones for the engine. @param engine id */
void wb_reach_summary_add(wb_reach_summary_t *summary, const char *engine, wb_reach_result_t result,
                          int64_t now_ms);
/** What the recent results show about this node. */
typedef enum wb_reach_verdict_t {
    WB_REACH_NORMAL,    /**< it reaches engines */
    WB_REACH_UNDECIDED, /**< only other nodes reach some engine, and too few others were tried */
    WB_REACH_ISOLATED,  /**< only other nodes reach most of the engines that were tried */
    WB_REACH_NONE       /**< no node reaches any of the engines that were tried */
} wb_reach_verdict_t;

/** Judge by the results since the first engine that only other nodes reach, or no node.
 * @param engines number of all engines */
wb_reach_verdict_t wb_reach_summary_verdict(wb_reach_summary_t *summary, unsigned engines,
                                            int64_t now_ms);
/** @return TRUE if there is a recent result for the engine */
gboolean wb_reach_summary_has(wb_reach_summary_t *summary, const char *engine, int64_t now_ms);
/** @return the number of engines with this recent result */
unsigned wb_reach_summary_count(wb_reach_summary_t *summary, wb_reach_result_t result,
                                int64_t now_ms);

#endif
