/**
 * @file quota_activity.h
 * @brief By what a gateway admitted a tenant's requests, for logs and metrics.
 *
 * Units are those of wb_tenant_cost. No errors.
 */
#ifndef WICKBRIDGE_QUOTA_ACTIVITY_H
#define WICKBRIDGE_QUOTA_ACTIVITY_H

#include <glib.h>
#include <stdint.h>

/** By what a request was decided. */
typedef enum wb_quota_basis_t {
    WB_QUOTA_UNTHROTTLED, /**< its tenant isn't throttled */
    WB_QUOTA_SHARE,       /**< the tenant's share */
    WB_QUOTA_LOCAL, /**< the local bucket, out of touch with the ledger; or usage that the ledger
                     * must acknowledge first */
    WB_QUOTA_BASES
} wb_quota_basis_t;

/** What was admitted of a tenant's requests, and what was refused, in some time. */
typedef struct wb_quota_activity_t {
    const char *tenant;              /**< borrowed */
    double admitted[WB_QUOTA_BASES]; /**< units, by what they were decided by */
    double refused;                  /**< units */
    unsigned requests;
    int64_t age_max_ms; /**< the largest age of the knowledge that one was decided by */
} wb_quota_activity_t;

/** @return name of a basis, for logs and metrics */
const char *wb_quota_basis_name(wb_quota_basis_t basis);
/** Add a decision. @param age_ms of the knowledge; -1: there was none */
void wb_quota_activity_add(wb_quota_activity_t *activity, wb_quota_basis_t basis, gboolean admitted,
                           double cost, int64_t age_ms);
/** @return whether something was refused, or admitted otherwise than unthrottled */
gboolean wb_quota_activity_is_notable(const wb_quota_activity_t *activity);

#endif
