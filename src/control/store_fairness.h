/**
 * @file store_fairness.h
 * @brief Alternates loads from a slow weight store between missing models and replicas of busy
 * ones.
 *
 * Where a load takes longer than clients wait, it serves later requests in either case, so what
 * counts is how much those gain. Without alternation, missing models that are waited for would
 * always go first, and a busy model would never get another replica. While the pending replica
 * gains more than the missing model, the two kinds of loads take turns, so neither is delayed by
 * more than one load. Pure: the time is passed in, in ms of the monotonic clock. Gains are
 * estimated ms that requests save. Nothing here fails.
 */
#ifndef WICKBRIDGE_STORE_FAIRNESS_H
#define WICKBRIDGE_STORE_FAIRNESS_H

#include <glib.h>
#include <stdint.h>

/** Zero-initialize: nothing has been loaded. */
typedef struct wb_store_fairness_t {
    double replica_gain_ms;       /* gain of the pending replica; 0: none is pending */
    int64_t replica_requested_ms; /* when it was last requested */
    gboolean last_was_missing;    /* the last load was a missing model's */
} wb_store_fairness_t;

/** Request a replica that waits only for the weight store. Of the requests made at the same time
 * the one with the largest gain counts. */
void wb_store_fairness_request_replica(wb_store_fairness_t *fairness, double gain_ms,
                                       int64_t now_ms);
/** @return TRUE when a replica waits only for the weight store */
gboolean wb_store_fairness_replica_pending(const wb_store_fairness_t *fairness, int64_t now_ms);
/**
 * Check whether a missing model may be loaded from the weight store now.
 * @param gain_ms gain of the requests for the missing model
 * @param load_ms time of a load
 * @return FALSE when it is a replica's turn
 */
gboolean wb_store_fairness_may_load_missing(const wb_store_fairness_t *fairness, double gain_ms,
                                            int64_t load_ms, int64_t now_ms);
/** Record that a load from the weight store was ordered. */
void wb_store_fairness_record_load(wb_store_fairness_t *fairness, gboolean is_missing);

#endif
