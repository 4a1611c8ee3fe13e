/**
 * @file usage_history.h
 * @brief What a gateway admitted of a tenant's limit in the last seconds, for a node that takes the
 * quota ledger over and doesn't know what the previous one had seen spent.
 *
 * Units are those of wb_tenant_cost, times monotonic and in milliseconds. Pure: the time is passed
 * in. No errors.
 */
#ifndef WICKBRIDGE_USAGE_HISTORY_H
#define WICKBRIDGE_USAGE_HISTORY_H

#include <stdint.h>

#define WB_USAGE_SLOT_MS 500
#define WB_USAGE_SLOTS 17 /* the present one, and 8 s */
/** Times that usage is summed up over; see wb_usage_horizon_ms. */
#define WB_USAGE_HORIZONS 5

/** All zero: no usage. */
typedef struct wb_usage_history_t {
    double units[WB_USAGE_SLOTS]; /**< by time, modulo the number of slots */
    int64_t slot;                 /**< number of the present slot */
} wb_usage_history_t;

/** What one gateway admitted of a tenant's limit. */
typedef struct wb_tenant_history_t {
    const char *tenant;              /**< borrowed */
    double units[WB_USAGE_HORIZONS]; /**< in the last wb_usage_horizon_ms */
} wb_tenant_history_t;

/** @param horizon below WB_USAGE_HORIZONS @return its length: 0.5 s to 8 s */
int64_t wb_usage_horizon_ms(int horizon);
void wb_usage_history_add(wb_usage_history_t *history, double units, int64_t now_ms);
/** @return units of the horizon, and of up to a slot before it */
double wb_usage_history_sum(const wb_usage_history_t *history, int horizon, int64_t now_ms);
/**
 * @param units admitted in each horizon, by all nodes together
 * @return what was spent beyond a full bucket: its debt, or 0
 */
double wb_usage_debt(const double units[WB_USAGE_HORIZONS], double rate_per_s, double burst);

#endif
