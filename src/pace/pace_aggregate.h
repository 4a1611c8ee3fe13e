/**
 * @file pace_aggregate.h
 * @brief Aggregate of what all gateways report about engines: intrinsic pace, prompt load and
 * prefill backlog.
 *
 * The node to which gateways report keeps the aggregate and sends them what has changed: an
 * engine's intrinsic pace (engine_pace.h), the prompt tokens that all gateways send there, averaged
 * over some seconds, and its prefill backlog. The number of running requests isn't sent: it changes
 * faster than updates arrive, and gateways that use the same outdated count all choose the same
 * engine. The largest changes are sent first, up to a number of entries a message, so that messages
 * are bounded however many engines there are.
 *
 * The aggregate isn't stored. When another node takes over, two reports of each gateway fill its
 * aggregate.
 *
 * Paces are in percent of the baseline, times monotonic and in milliseconds. Pure: the time is
 * passed in. No errors; invalid paces must be filtered by wb_engine_pace_parse.
 */
#ifndef WICKBRIDGE_PACE_AGGREGATE_H
#define WICKBRIDGE_PACE_AGGREGATE_H

#include <glib.h>
#include <stdint.h>

typedef struct wb_pace_aggregate_t wb_pace_aggregate_t;

/** A gateway's report about an engine, since its last report. */
typedef struct wb_pace_report_t {
    const char *engine;    /**< id */
    unsigned pace_percent; /**< lowest pace received from the engine; 0: none */
    double tokens;         /**< prompt tokens sent there */
} wb_pace_report_t;

/** What is sent to gateways about an engine. */
typedef struct wb_engine_load_t {
    uint32_t engine;       /**< wb_pace_engine_key of its id */
    unsigned pace_percent; /**< intrinsic pace; 0: unknown */
    unsigned tokens_per_s; /**< prompt tokens that all gateways send there */
    unsigned backlog_ms;   /**< time to prefill the tokens that it can't have prefilled yet */
} wb_engine_load_t;

/** @return a 32-bit hash of an engine's id; collisions are rare enough to be ignored */
uint32_t wb_pace_engine_key(const char *id);

/** @param token_ms time that a baseline engine needs for a prompt token sent, averaged over cached
 * and uncached ones */
wb_pace_aggregate_t *wb_pace_aggregate_create(double token_ms);
/** Apply a new configuration. @param token_ms as for wb_pace_aggregate_create */
void wb_pace_aggregate_set_token_ms(wb_pace_aggregate_t *aggregate, double token_ms);
void wb_pace_aggregate_free(wb_pace_aggregate_t *aggregate);
/** Add a gateway's reports about the engines that it received from or sent to. */
void wb_pace_aggregate_report(wb_pace_aggregate_t *aggregate, const wb_pace_report_t *reports,
                              size_t count, int64_t now_ms);
/** @return an engine's intrinsic pace in percent; 0: unknown */
unsigned wb_pace_aggregate_pace(const wb_pace_aggregate_t *aggregate, const char *engine,
                                int64_t now_ms);
/**
 * Collect the engines whose values have changed noticeably since they were last sent, the largest
 * changes first, and mark them as sent.
 * @param max max number of entries
 * @return array of wb_engine_load_t; to be freed with g_array_unref
 */
GArray *wb_pace_aggregate_changes(wb_pace_aggregate_t *aggregate, size_t max, int64_t now_ms);
/**
 * @param backlog_ms out: its backlog; 0 if there is none
 * @return id of the engine with the largest prefill backlog, owned by the aggregate; NULL: none has
 * a backlog
 */
const char *wb_pace_aggregate_max_backlog(const wb_pace_aggregate_t *aggregate, int64_t now_ms,
                                          double *backlog_ms);
/** @return array of wb_engine_load_t of all engines as last sent, for a gateway that has just
 * connected; to be freed with g_array_unref */
GArray *wb_pace_aggregate_snapshot(const wb_pace_aggregate_t *aggregate);
/** Mark all engines as not sent: another node has kept the aggregate in the meantime. */
void wb_pace_aggregate_resend_all(wb_pace_aggregate_t *aggregate);
/** Remove an engine that was restarted: what was reported about its earlier incarnation is void. */
void wb_pace_aggregate_remove(wb_pace_aggregate_t *aggregate, const char *engine);
/** Remove engines without recent reports. */
void wb_pace_aggregate_sweep(wb_pace_aggregate_t *aggregate, int64_t now_ms);

#endif
