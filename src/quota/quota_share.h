/**
 * @file quota_share.h
 * @brief What the node that keeps the book tells gateways of a tenant that is short of its limit.
 */
#ifndef WICKBRIDGE_QUOTA_SHARE_H
#define WICKBRIDGE_QUOTA_SHARE_H

#include "quota/quota_order.h"

/** While the book can't be reached, a tenant that wasn't short may ask at a node for so many times
 * what it asked for there lately: limits are further above what is usual (1.8 times on the users'
 * sheets), and single requests are large beside what one node sees. */
#define WB_QUOTA_OFFLINE_FACTOR 1.5
/** Or this part of an equal share of its limit, if that is more. All nodes may be alone at once,
 * for as long as a holder is cut off from them that the store still serves: together they then
 * spend 1.5 / 1.8 of a limit and this part of it, 0.98. With a half, 1.33: 9 s of a surge came
 * to 1.09 of the users' rule in its window. */
#define WB_QUOTA_OFFLINE_SHARE 0.15
/** Meanwhile its bucket at a node holds what it gets there in so long. */
#define WB_QUOTA_OFFLINE_DEPTH_S 1.0

/** A tenant that is short has one for all kinds that aren't named, and one a kind that is. */
typedef struct wb_quota_share_t {
    const char *tenant; /**< borrowed */
    wb_quota_class_t kind;
    double share; /**< of what is asked that may be admitted, 0 to 1 */
} wb_quota_share_t;

/** What a tenant's requests of a kind spent at a gateway since its last report. */
typedef struct wb_quota_usage_t {
    const char *tenant; /**< borrowed */
    wb_quota_class_t kind;
    double asked;
    double requests; /**< that asked for it */
    double admitted; /**< negative when more was given back than admitted */
} wb_quota_usage_t;

#endif
