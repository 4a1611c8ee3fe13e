/* Who loads next from a slow weight store. */
#include "control/store_fairness.h"

#include "control/load_concurrency.h"

/* Replicas are looked for each 300 ms; a wish that isn't renewed has passed. */
#define WISH_LIFE_MS 1000

void wb_store_turns_wish(wb_store_turns_t *turns, double gain_ms, int64_t now_ms) {
    if (turns->wished_at_ms == now_ms && turns->wished_ms >= gain_ms) {
        return; /* of those that are looked at together the greatest counts */
    }
    turns->wished_ms = gain_ms;
    turns->wished_at_ms = now_ms;
}

gboolean wb_store_turns_is_wished(const wb_store_turns_t *turns, int64_t now_ms) {
    return turns->wished_ms > 0 && now_ms - turns->wished_at_ms < WISH_LIFE_MS;
}

gboolean wb_store_turns_missing_may(const wb_store_turns_t *turns, double gain_ms, int64_t load_ms,
                                    int64_t now_ms) {
    if (!wb_store_turns_is_wished(turns, now_ms) || !wb_load_pace_is_late(load_ms)) {
        return TRUE;
    }
    return !turns->was_missing || gain_ms >= turns->wished_ms;
}

void wb_store_turns_loaded(wb_store_turns_t *turns, gboolean is_missing) {
    turns->was_missing = is_missing;
    if (!is_missing) {
        turns->wished_ms = 0;
    }
}
