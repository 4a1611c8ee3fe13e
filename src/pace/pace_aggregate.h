/**
 * @file pace_aggregate.h
 * @brief What all gateways together know of engines: their own pace, and what is sent there.
 *
 * The node that gateways report to keeps the book. It tells them what has changed: an engine's own
 * pace (engine_pace.h), the prompt tokens that all gateways send there, averaged over some seconds,
 * and how far behind it is with reading them. What runs there isn't told: it changes faster than
 * news pass, and gateways that all go by the same old count all choose the same engine (of a quiet
 * day's 3,727 reviews at 60 engines 219 paused too long so, 52 without it). Figures go by how much
 * they have changed, within a number of entries a message, so that what it sends is bounded however
 * many engines there are.
 *
 * Nothing here outlives the node: another one that gateways report to hears all within two reports.
 *
 * Pure: the time is passed in.
 */
#ifndef WICKBRIDGE_PACE_AGGREGATE_H
#define WICKBRIDGE_PACE_AGGREGATE_H

#include <glib.h>
#include <stdint.h>

typedef struct wb_pace_aggregate_t wb_pace_aggregate_t;

/** What a gateway knows of an engine, since its last report. */
typedef struct wb_pace_report_t {
    const char *engine;
    unsigned pace_percent; /**< the engine's own, by what it heard; 0: nothing */
    double tokens;         /**< prompt tokens sent there since the last report */
} wb_pace_report_t;

/** What gateways are told of an engine. */
typedef struct wb_engine_load_t {
    uint32_t engine;       /**< wb_pace_engine_key of its id */
    unsigned pace_percent; /**< 0: not known */
    unsigned tokens_per_s; /**< prompt tokens that all gateways send there */
    unsigned backlog_ms;   /**< time that it takes to read those that it can't have read yet */
} wb_engine_load_t;

/** @return a short key of an engine's id; two engines of 1,400 share one in 0.02 % of fleets */
uint32_t wb_pace_engine_key(const char *id);

/** @param token_ms time in which a usual engine reads a prompt token that was sent, those that it
 * keeps among them */
wb_pace_aggregate_t *wb_pace_aggregate_create(double token_ms);
/** Other figures of engines are in force. */
void wb_pace_aggregate_set_token_ms(wb_pace_aggregate_t *book, double token_ms);
void wb_pace_aggregate_free(wb_pace_aggregate_t *book);
/** A gateway's report of the engines that it heard from or sent to. */
void wb_pace_aggregate_report(wb_pace_aggregate_t *book, const wb_pace_report_t *reports, size_t count,
                         int64_t now_ms);
/** @return an engine's own pace in percent, by what all gateways heard; 0: nothing */
unsigned wb_pace_aggregate_pace(const wb_pace_aggregate_t *book, const char *engine, int64_t now_ms);
/**
 * @param most entries at most
 * @return wb_engine_load_t of engines whose figures have changed since they were told, those that
 * changed most first; to be unreffed. They count as told.
 */
GArray *wb_pace_aggregate_changes(wb_pace_aggregate_t *book, size_t most, int64_t now_ms);
/** @param backlog_ms out: how far it is behind
 * @return id of the engine that is furthest behind with reading, or NULL when none is; owned by the
 * book */
const char *wb_pace_aggregate_max_backlog(const wb_pace_aggregate_t *book, int64_t now_ms,
                                         double *backlog_ms);
/** @return wb_engine_load_t of all engines as they were told last, for a gateway that has just
 * come; to be unreffed */
GArray *wb_pace_aggregate_snapshot(const wb_pace_aggregate_t *book);
/** Nobody was told anything by this node yet: another one kept the book. */
void wb_pace_aggregate_resend_all(wb_pace_aggregate_t *book);
/** The engine has started again: what was heard of it and sent there before counts no more. */
void wb_pace_aggregate_remove(wb_pace_aggregate_t *book, const char *engine);
/** Forget engines that weren't reported for long. */
void wb_pace_aggregate_sweep(wb_pace_aggregate_t *book, int64_t now_ms);

#endif
