/**
 * @file quota_share.h
 * @brief What gateways and the node that keeps the quota ledger send each other: shares of
 * throttled tenants, and usage.
 *
 * Units are those of wb_tenant_cost.
 */
#ifndef WICKBRIDGE_QUOTA_SHARE_H
#define WICKBRIDGE_QUOTA_SHARE_H

#include "quota/quota_order.h"

/** While the ledger is unreachable, a node admits an unthrottled tenant up to this multiple of the
 * tenant's recent demand at the node. Limits are usually further above demand (1.8 times), and
 * single requests are large compared to what one node sees. */
#define WB_QUOTA_OFFLINE_FACTOR 1.5
/** If this share of an equal share of the tenant's limit is more, the node admits that instead. All
 * nodes may be disconnected at once, and their allowances together must not exceed the limit: they
 * come to 1.5 / 1.8 of it and this share, 0.98. */
#define WB_QUOTA_OFFLINE_SHARE 0.15
/** Depth of the tenant's token bucket at the node while the ledger is unreachable, in seconds of
 * its fill rate. */
#define WB_QUOTA_OFFLINE_DEPTH_S 1.0

/** Share of a throttled tenant's requests to admit. A throttled tenant has one for
 * WB_QUOTA_OTHER_CLASSES, and one for each traffic class with a share of its own. */
typedef struct wb_quota_share_t {
    const char *tenant; /**< borrowed */
    wb_quota_class_t kind;
    double share; /**< of the units requested, 0 to 1 */
} wb_quota_share_t;

/** Usage of a tenant's traffic class at a gateway since its last report. */
typedef struct wb_quota_usage_t {
    const char *tenant; /**< borrowed */
    wb_quota_class_t kind;
    double asked;    /**< units requested */
    double requests; /**< requests that asked for them */
    double admitted; /**< units admitted; negative when more was given back than admitted */
} wb_quota_usage_t;

#endif
