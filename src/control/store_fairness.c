/* Who loads next from a slow weight store. */
#include "control/store_fairness.h"

#include "control/load_concurrency.h"

/* Replicas are looked for each 300 ms; a wish that isn't renewed has passed. */
#define WISH_LIFE_MS 1000

void wb_store_fairness_request_replica(wb_store_fairness_t *turns, double gain_ms, int64_t now_ms) {
    if (turns->wished_at_ms == now_ms && turns->wished_ms >= gain_ms) {
        return; /* of those that are looked at together the greatest counts */
    }
    turns->wished_ms = gain_ms;
    turns->wished_at_ms = now_ms;
}

gboolean wb_store_fairness_replica_pending(const wb_store_fairness_t *turns, int64_t now_ms) {
    return turns->wished_ms > 0 && now_ms - turns->wished_at_ms < WISH_LIFE_MS;
}

gboolean wb_store_fairness_may_load_missing(const wb_store_fairness_t *turns, double gain_ms, int64_t load_ms,
                                    int64_t now_ms) {
    if (!wb_store_fairness_replica_pending(turns, now_ms) || !wb_load_exceeds_client_timeout(load_ms)) {
        return TRUE;
    }
    return !turns->was_missing || gain_ms >= turns->wished_ms;
}

void wb_store_fairness_record_load(wb_store_fairness_t *turns, gboolean is_missing) {
    turns->was_missing = is_missing;
    if (!is_missing) {
        turns->wished_ms = 0;
    }
}
