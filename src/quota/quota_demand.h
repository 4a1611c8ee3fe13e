/**
 * @file quota_demand.h
 * @brief A tenant's demand over all nodes, as the quota ledger learns it from reports.
 *
 * Rates are in units a second, times monotonic and in milliseconds. Pure: the time is passed in. No
 * errors.
 */
#ifndef WICKBRIDGE_QUOTA_DEMAND_H
#define WICKBRIDGE_QUOTA_DEMAND_H

#include "quota/token_bucket.h"

/** All zero: no reports yet. */
typedef struct wb_quota_demand_t {
    wb_decayed_rate_t asked;
    wb_decayed_rate_t surge;          /**< asked, over a short time */
    wb_decayed_rate_t surge_requests; /**< requests over that time */
    wb_decayed_rate_t admitted;       /**< over the time that nodes average their own demand */
} wb_quota_demand_t;

/** Add a report: units asked for, by how many requests, and units admitted. */
void wb_quota_demand_add(wb_quota_demand_t *demand, double asked, double requests, double admitted,
                         int64_t now_ms);
/** @return units a second that are asked for; a surge of many requests counts at once */
double wb_quota_demand_asked_per_s(const wb_quota_demand_t *demand, int64_t now_ms);
/** @return the factor of their demand that nodes out of touch may admit (quota_share.h) */
double wb_quota_demand_factor(const wb_quota_demand_t *demand, double limit_per_s, int64_t now_ms);

#endif
