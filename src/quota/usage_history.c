/* Usage of the last seconds. */
#include "quota/usage_history.h"

#include <glib.h>

int64_t wb_usage_horizon_ms(int horizon) {
    return (int64_t)WB_USAGE_SLOT_MS << horizon;
}

/* Empties the slots that have begun since the last usage. */
static void slots_advance(wb_usage_history_t *history, int64_t slot) {
    int64_t passed = MIN(slot - history->slot, WB_USAGE_SLOTS);
    for (int64_t i = 0; i < passed; i++) {
        history->units[(slot - i) % WB_USAGE_SLOTS] = 0;
    }
    history->slot = MAX(history->slot, slot);
}

void wb_usage_history_add(wb_usage_history_t *history, double units, int64_t now_ms) {
    slots_advance(history, now_ms / WB_USAGE_SLOT_MS);
    history->units[history->slot % WB_USAGE_SLOTS] += units;
}

double wb_usage_history_sum(const wb_usage_history_t *history, int horizon, int64_t now_ms) {
    int64_t last = now_ms / WB_USAGE_SLOT_MS;
    int64_t first = last - wb_usage_horizon_ms(horizon) / WB_USAGE_SLOT_MS;
    double sum = 0;
    for (int64_t slot = MAX(first, history->slot - WB_USAGE_SLOTS + 1); slot <= history->slot;
         slot++) {
        sum += slot >= 0 ? history->units[slot % WB_USAGE_SLOTS] : 0;
    }
    return sum;
}

double wb_usage_debt(const double units[WB_USAGE_HORIZONS], double rate_per_s, double burst) {
    double debt = 0;
    for (int i = 0; i < WB_USAGE_HORIZONS; i++) {
        double allowed = burst + rate_per_s * (double)wb_usage_horizon_ms(i) / 1000;
        debt = MAX(debt, units[i] - allowed);
    }
    return debt;
}
