/**
 * @file quota_limiter.h
 * @brief Admits a gateway's requests within their tenants' limits, which hold over all nodes.
 *
 * Three states, by what the node that keeps the book (quota_ledger.h) has told:
 * - the tenant isn't short: all its requests are admitted, and reported;
 * - it is short: the told share of its requests of each kind (quota_order.h) is admitted, by their
 *   cost, one after the other;
 * - the book can't be reached: the tenant has a bucket here that fills at what it asked for here
 *   lately and somewhat more, or at a small part of an equal share of its limit if that is more; a
 * tenant that was short keeps to its share of what it asked for.
 *
 * Costs are large beside what one node may spend in a second, so a request is admitted while its
 * bucket isn't empty, and what it costs beyond that is owed.
 *
 * Pure: the time is passed in.
 */
#ifndef WICKBRIDGE_QUOTA_LIMITER_H
#define WICKBRIDGE_QUOTA_LIMITER_H

#include "quota/quota_share.h"

#include "wickbridge/tenant.h"

typedef struct wb_quota_limiter_t wb_quota_limiter_t;

typedef struct wb_quota_decision_t {
    gboolean admitted;
    int64_t retry_ms; /**< when it is not: time after which a request of its cost is, if no more is
                       * asked for here than lately */
    double share;     /**< the share that is in force for the tenant; 1: it isn't short */
    gboolean reached; /**< whether the book could be reached */
    int64_t told_ms;  /**< steady time at which the share was told; 0: never */
} wb_quota_decision_t;

wb_quota_limiter_t *wb_quota_limiter_create(void);
void wb_quota_limiter_free(wb_quota_limiter_t *gate);

/**
 * Ask to admit a request.
 * @param kind  as wb_quota_class has it; WB_QUOTA_OTHER_CLASSES when kinds don't count
 * @param cost  as wb_tenant_cost has it
 * @param nodes nodes that share the limit; 0: not known yet
 */
wb_quota_decision_t wb_quota_limiter_admit(wb_quota_limiter_t *gate, const wb_tenant_t *tenant,
                                     wb_quota_class_t kind, double cost, unsigned nodes,
                                     int64_t now_ms);
/**
 * An admitted request has run more often than once, or not at all.
 * @param cost what it costs more than was admitted; negative: it is given back
 */
void wb_quota_limiter_adjust(wb_quota_limiter_t *gate, const char *tenant, wb_quota_class_t kind,
                          double cost);
/** The book can, or can't, be reached from now on. */
void wb_quota_limiter_set_connected(wb_quota_limiter_t *gate, gboolean reached);
/** The book has told all tenants that are short; the others aren't. */
void wb_quota_limiter_set_shares(wb_quota_limiter_t *gate, const wb_quota_share_t *told, size_t count,
                        int64_t now_ms);
/** @return wb_quota_usage_t of what was spent since the last call; to be unreffed */
GArray *wb_quota_limiter_take_usage(wb_quota_limiter_t *gate);
/** Forget tenants that asked for nothing for long. */
void wb_quota_limiter_sweep(wb_quota_limiter_t *gate, int64_t now_ms);

#endif
