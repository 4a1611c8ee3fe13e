/* Alternates loads from a slow weight store between missing models and replicas of busy ones. */
#include "control/store_fairness.h"

#include "control/load_concurrency.h"

/* Time after which a replica is no longer pending unless it is requested again; several times the
 * controller's interval between such requests. */
#define REPLICA_REQUEST_TTL_MS 1000

void wb_store_fairness_request_replica(wb_store_fairness_t *fairness, double gain_ms,
                                       int64_t now_ms) {
    if (fairness->replica_requested_ms == now_ms && fairness->replica_gain_ms >= gain_ms) {
        return; /* of requests made at the same time the largest gain counts */
    }
    fairness->replica_gain_ms = gain_ms;
    fairness->replica_requested_ms = now_ms;
}

gboolean wb_store_fairness_replica_pending(const wb_store_fairness_t *fairness, int64_t now_ms) {
    return fairness->replica_gain_ms > 0 &&
           now_ms - fairness->replica_requested_ms < REPLICA_REQUEST_TTL_MS;
}

gboolean wb_store_fairness_may_load_missing(const wb_store_fairness_t *fairness, double gain_ms,
                                            int64_t load_ms, int64_t now_ms) {
    if (!wb_store_fairness_replica_pending(fairness, now_ms) ||
        !wb_load_exceeds_client_timeout(load_ms)) {
        return TRUE;
    }
    return !fairness->last_was_missing || gain_ms >= fairness->replica_gain_ms;
}

void wb_store_fairness_record_load(wb_store_fairness_t *fairness, gboolean is_missing) {
    fairness->last_was_missing = is_missing;
    if (!is_missing) {
        fairness->replica_gain_ms = 0;
    }
}
