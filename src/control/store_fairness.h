/**
 * @file store_fairness.h
 * @brief Who loads next from a slow weight store: a model that no engine holds, or one more replica
 * of a busy one.
 *
 * Where a load takes longer than those wait who ask for it, it is for those who come later in
 * either case, so what counts is how much these gain. A missing model that waits is there first,
 * every time; a busy model with one slow engine, at which nine of ten answers were late, never got
 * its second. So they take turns while the replica gains more: no kind is put off by more than one
 * load. Pure.
 */
#ifndef WICKBRIDGE_STORE_FAIRNESS_H
#define WICKBRIDGE_STORE_FAIRNESS_H

#include <glib.h>
#include <stdint.h>

/** Zeroed: nothing was loaded. */
typedef struct wb_store_fairness_t {
    double wished_ms; /* what the replica gains that only lacks the store */
    int64_t wished_at_ms;
    gboolean was_missing; /* the last load was a missing model's */
} wb_store_fairness_t;

/** A replica would be loaded, had the store room. @param gain_ms what its requests gain */
void wb_store_fairness_request_replica(wb_store_fairness_t *turns, double gain_ms, int64_t now_ms);
/** @return TRUE when some replica only lacks the store */
gboolean wb_store_fairness_replica_pending(const wb_store_fairness_t *turns, int64_t now_ms);
/**
 * @param gain_ms  what requests for the missing model gain
 * @param load_ms  what a load takes
 * @return FALSE while a replica's turn is next
 */
gboolean wb_store_fairness_may_load_missing(const wb_store_fairness_t *turns, double gain_ms, int64_t load_ms,
                                    int64_t now_ms);
/** A load from the store was ordered. */
void wb_store_fairness_record_load(wb_store_fairness_t *turns, gboolean is_missing);

#endif
