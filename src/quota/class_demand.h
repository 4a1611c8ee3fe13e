/**
 * @file class_demand.h
 * @brief Demand of a tenant's traffic classes over all nodes, and the shares that the quota ledger
 * gives them.
 *
 * Rates are in units a second, times monotonic and in milliseconds. Pure: the time is passed in. No
 * errors.
 */
#ifndef WICKBRIDGE_CLASS_DEMAND_H
#define WICKBRIDGE_CLASS_DEMAND_H

#include "quota/quota_share.h"
#include "quota/token_bucket.h"

typedef struct wb_class_demand_t {
    wb_decayed_rate_t units;    /**< requested */
    wb_decayed_rate_t costs;    /**< units, over a longer time */
    wb_decayed_rate_t requests; /**< over that time */
    double share;               /**< of the requested units to admit */
    double sent_share;          /**< as last sent to gateways */
} wb_class_demand_t;

/** @return wb_quota_class_t -> wb_class_demand_t; to be freed with g_hash_table_unref */
GHashTable *wb_class_demands_create(void);
/** Add a report. @param share of a class without one yet */
void wb_class_demands_add(GHashTable *demands, const wb_quota_usage_t *usage, double share,
                          int64_t now_ms);
/** Set the shares of all classes, so that what is admitted adds up to `available_per_s`. */
void wb_class_demands_allocate(GHashTable *demands, double available_per_s, int64_t now_ms);

#endif
