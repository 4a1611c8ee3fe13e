/* Who loads next from a slow weight store. */
#include "control/store_turns.h"

#include "control/load_pace.h"

/* Replicas are looked for each 300 ms; a wish that isn't renewed has passed. */
#define WISH_LIFE_MS 1000

void wb_store_turns_wish(wb_store_turns_t *fairness, double gain_ms, int64_t now_ms) {
    if (fairness->wished_at_ms == now_ms && fairness->wished_ms >= gain_ms) {
        return; /* of those that are looked at together the greatest counts */
    }
    fairness->wished_ms = gain_ms;
    fairness->wished_at_ms = now_ms;
}

gboolean wb_store_turns_is_wished(const wb_store_turns_t *fairness, int64_t now_ms) {
    return fairness->wished_ms > 0 && now_ms - fairness->wished_at_ms < WISH_LIFE_MS;
}

gboolean wb_store_turns_missing_may(const wb_store_turns_t *fairness, double gain_ms, int64_t load_ms,
                                    int64_t now_ms) {
    if (!wb_store_turns_is_wished(fairness, now_ms) || !wb_load_pace_is_late(load_ms)) {
        return TRUE;
    }
    return !fairness->was_missing || gain_ms >= fairness->wished_ms;
}

void wb_store_turns_loaded(wb_store_turns_t *fairness, gboolean is_missing) {
    fairness->was_missing = is_missing;
    if (!is_missing) {
        fairness->wished_ms = 0;
    }
}
