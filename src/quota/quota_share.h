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

/** What a node may admit of an unthrottled tenant while it is out of touch, from a token bucket.
 * All nodes may be so at once, while any of them meets a surge, so all buckets together, with what
 * was admitted before, must keep the limit of any 8 s (unit-quota-ledger simulates that).
 *
 * Fill rate: a factor times the tenant's demand at the node when it was in touch, or this part of
 * an equal share of the limit if that is more. */
#define WB_QUOTA_OFFLINE_SHARE 0.15
/** The factor unless the ledger sends another, which it does for a tenant whose demand times this
 * exceeds WB_QUOTA_OFFLINE_DEMAND of its limit. */
#define WB_QUOTA_OFFLINE_FACTOR 1.3
#define WB_QUOTA_OFFLINE_DEMAND 0.7
/** Depth of the bucket: seconds of its fill rate, and for nodes with little demand seconds of an
 * equal share of the limit, but at most the cost of some requests. */
#define WB_QUOTA_OFFLINE_DEPTH_S 3.0
#define WB_QUOTA_OFFLINE_BASE_S 5.0
#define WB_QUOTA_OFFLINE_BASE_REQUESTS 3.0

/** What a node in touch may admit of a tenant until the ledger has acknowledged its reports:
 * seconds of an equal share of the limit, and of what it lately admitted. */
#define WB_QUOTA_UNCONFIRMED_S 1.5
/** It may always admit so many requests. */
#define WB_QUOTA_UNCONFIRMED_REQUESTS 2
/** A share of this kind is the tenant's factor, in place of the share of a traffic class. */
#define WB_QUOTA_FACTOR_CLASS G_MAXUINT32

/** A gateway reports at once when it has admitted so much of a tenant's limit since its last
 * report, in seconds of an equal share, and at least this long after that. */
#define WB_QUOTA_URGENT_S 1.0
#define WB_QUOTA_URGENT_MS 50

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
