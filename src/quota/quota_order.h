/**
 * @file quota_order.h
 * @brief Allocates a throttled tenant's limit to its traffic classes.
 *
 * A traffic class is a service and a priority. Classes with a low mean cost come first, as their
 * requests can mostly be served in full for a small part of the limit. Classes of similar cost
 * share alike, no class comes before a more urgent one of its service, and each class keeps part of
 * its proportional share, so that none starves.
 *
 * Single requests are not ranked by their cost: within a class a long prompt is treated like a
 * short one.
 *
 * Rates are in units a second (see wb_tenant_cost). Pure: the same claims give the same shares on
 * every node. No errors.
 */
#ifndef WICKBRIDGE_QUOTA_ORDER_H
#define WICKBRIDGE_QUOTA_ORDER_H

#include <glib.h>
#include <stdint.h>

/** Traffic class: a hash of the service and a priority. */
typedef uint32_t wb_quota_class_t;

/** Stands for all classes that aren't listed. */
#define WB_QUOTA_OTHER_CLASSES 0

/** Demand of a traffic class. */
typedef struct wb_quota_claim_t {
    wb_quota_class_t kind;
    double asked_per_s; /**< units a second requested */
    double cost;        /**< mean units of a request */
    double share;       /**< out: share of the requested units to admit, 0 to 1 */
} wb_quota_claim_t;

/** @param priority 0 is the most urgent; 254 and above form one class */
wb_quota_class_t wb_quota_class(const char *service, int priority);

/**
 * Set the share of each claim.
 * @param available_per_s units a second to allocate. The allocated units add up to it, or all
 * shares are 1
 */
void wb_quota_order_allocate(wb_quota_claim_t *claims, size_t count, double available_per_s);

#endif
