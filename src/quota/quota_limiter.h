/**
 * @file quota_limiter.h
 * @brief Admits a gateway's requests within their tenants' limits, which apply to all nodes
 * together.
 *
 * A tenant is in one of three states, depending on the node that keeps the ledger (quota_ledger.h):
 * - not throttled: all requests are admitted and reported;
 * - throttled: of each traffic class (quota_order.h) the share received from the ledger is
 *   admitted, by the cost of its requests in the order of their arrival;
 * - out of touch with the ledger: the tenant has a local token bucket, filled at what it was
 *   admitted here when the node was in touch, or at a small part of an equal share of its limit if
 *   that is more; a throttled tenant's at its share of its demand.
 *
 * Whether the node is in touch is decided anew for each request, by when the ledger's node sent its
 * last message: a process that was paused must not admit what arrived meanwhile by what it knew
 * before. After a pause only messages that were sent after it count. Reports must be acknowledged:
 * what isn't is bounded, and after WB_QUOTA_ACK_MS the node is out of touch.
 *
 * A single request may cost more than a node's local bucket ever holds. It is then admitted with
 * the probability of level / cost, so that nodes together admit what their buckets hold.
 *
 * Costs are in units (wb_tenant_cost), times monotonic and in milliseconds. Pure: the time is
 * passed in. No errors.
 */
#ifndef WICKBRIDGE_QUOTA_LIMITER_H
#define WICKBRIDGE_QUOTA_LIMITER_H

#include "quota/quota_activity.h"
#include "quota/quota_share.h"
#include "quota/quota_touch.h"
#include "quota/usage_history.h"

#include "wickbridge/tenant.h"

typedef struct wb_quota_limiter_t wb_quota_limiter_t;

typedef struct wb_quota_decision_t {
    gboolean admitted;
    wb_quota_basis_t basis;
    int64_t age_ms;   /**< since when the ledger's last message is known to be sent; -1: none was */
    int64_t retry_ms; /**< if refused: time after which a request of this cost would be admitted at
                       * the recent demand */
    gboolean report_due; /**< usage should be reported now, not at the next interval */
    double share;        /**< share in force for the request's traffic class; 1: not throttled */
} wb_quota_decision_t;

wb_quota_limiter_t *wb_quota_limiter_create(void);
void wb_quota_limiter_free(wb_quota_limiter_t *limiter);

/**
 * Decide whether to admit a request, and count it.
 * @param kind  traffic class by wb_quota_class; WB_QUOTA_OTHER_CLASSES when classes aren't used
 * @param cost  by wb_tenant_cost
 * @param nodes number of nodes that share the limit; 0: unknown yet
 */
wb_quota_decision_t wb_quota_limiter_admit(wb_quota_limiter_t *limiter, const wb_tenant_t *tenant,
                                           wb_quota_class_t kind, double cost, unsigned nodes,
                                           int64_t now_ms);
/**
 * Correct the cost of an admitted request that ran more than once, or not at all.
 * @param cost units beyond those admitted; negative: units given back
 */
void wb_quota_limiter_adjust(wb_quota_limiter_t *limiter, const char *tenant, wb_quota_class_t kind,
                             double cost);
/** A message of the ledger's node was received. @param sent_ms when it was sent, by this node's
 * clock */
void wb_quota_limiter_heard(wb_quota_limiter_t *limiter, int64_t sent_ms, int64_t now_ms);
/** The ledger has acted on the reports that were taken until this time. */
void wb_quota_limiter_acknowledged(wb_quota_limiter_t *limiter, int64_t report_ms, int64_t now_ms);
/** The link to the ledger's node is lost, or one to another node is open. */
void wb_quota_limiter_lost(wb_quota_limiter_t *limiter);
/** To be called every 50 ms, so that a pause of the process is noticed. */
void wb_quota_limiter_tick(wb_quota_limiter_t *limiter, int64_t now_ms);
/** Set the shares of all throttled tenants; a tenant that isn't listed isn't throttled. */
void wb_quota_limiter_set_shares(wb_quota_limiter_t *limiter, const wb_quota_share_t *shares,
                                 size_t count, int64_t now_ms);
/** @return wb_quota_usage_t of the usage since the last call that the ledger doesn't know of; to be
 * freed with g_array_unref, the tenants' names belong to the limiter */
GArray *wb_quota_limiter_take_usage(wb_quota_limiter_t *limiter, int64_t now_ms);
/** @return wb_quota_activity_t of tenants that were throttled or without a ledger since the last
 * call; to be freed with g_array_unref, the tenants' names belong to the limiter */
GArray *wb_quota_limiter_take_activity(wb_quota_limiter_t *limiter);
/** @return wb_tenant_history_t of tenants with usage in the last 8 s that was reported, or admitted
 * out of touch; to be freed with g_array_unref, the tenants' names belong to the limiter */
GArray *wb_quota_limiter_history(const wb_quota_limiter_t *limiter, int64_t now_ms);
/** Drop tenants without recent requests. */
void wb_quota_limiter_sweep(wb_quota_limiter_t *limiter, int64_t now_ms);

#endif
