/**
 * @file quota_ledger.h
 * @brief What all gateways together spend of each tenant's limit, and which share of a tenant's
 * requests they may admit.
 *
 * One node keeps the book: the one that gateways tell what is asked for. It has a token bucket a
 * tenant, filled at the tenant's rate up to its burst, from which it takes what gateways say that
 * they have admitted. A tenant whose bucket would run empty before gateways can be told again is
 * **short**: gateways then admit the share of its requests that the bucket can bear. Tenants that
 * are not short cost nothing but the gateways' reports.
 *
 * A node that can't be reached goes on at the rate of its last reports (quota_limiter.h), so the book
 * takes that much for it. Of a node that never reported to this book, or while another node may
 * keep a book too, it takes an equal part of each limit: two books then share each limit by the
 * nodes that report to either.
 *
 * A book starts with empty buckets: who kept it before may have given the bursts away. A tenant
 * within its rate isn't refused for that.
 *
 * Pure: the time is passed in. What it doesn't do: sending, and admitting single requests.
 */
#ifndef WICKBRIDGE_QUOTA_LEDGER_H
#define WICKBRIDGE_QUOTA_LEDGER_H

#include "quota/quota_share.h"

#include "wickbridge/tenant.h"

typedef struct wb_quota_ledger_t wb_quota_ledger_t;

/** What the book knows of a tenant, for operators. */
typedef struct wb_quota_state_t {
    double asked_per_s;
    double admitted_per_s;
    double assumed_per_s; /**< of nodes that can't be reached */
    double level;
    double share; /**< 1: not short */
} wb_quota_state_t;

wb_quota_ledger_t *wb_quota_ledger_create(void);
void wb_quota_ledger_free(wb_quota_ledger_t *book);

/** Take the limits of another configuration. @param tenants NULL: there are none */
void wb_quota_ledger_set_tenants(wb_quota_ledger_t *book, const wb_tenants_t *tenants, int64_t now_ms);

/** A node has told what was asked of it of a kind, and what it admitted, since it told that last.
 */
void wb_quota_ledger_report(wb_quota_ledger_t *book, const char *node, const wb_quota_usage_t *use,
                          int64_t now_ms);
/** A node is reached (anew): nothing is assumed of it any more. */
void wb_quota_ledger_node_connected(wb_quota_ledger_t *book, const char *node);
/** A node can't be reached any more; it may go on. */
void wb_quota_ledger_node_lost(wb_quota_ledger_t *book, const char *node, int64_t now_ms);
/** A node is known to be there: unless it reports, it counts as lost. */
void wb_quota_ledger_expect_node(wb_quota_ledger_t *book, const char *node, int64_t now_ms);
/** Whether this is surely the only book; when it isn't, others may report to another one. */
void wb_quota_ledger_set_sole(wb_quota_ledger_t *book, gboolean sole);
/** Begin anew, with empty buckets: another node has kept the book meanwhile. */
void wb_quota_ledger_clear(wb_quota_ledger_t *book, int64_t now_ms);

/**
 * Which tenants are short.
 * @param changed set to TRUE when gateways should be told: something has changed, or what was told
 * has to be repeated
 * @return wb_quota_share_t of all tenants that are short, owned by the book, until the next call
 */
const GArray *wb_quota_ledger_shares(wb_quota_ledger_t *book, int64_t now_ms, gboolean *changed);

/** @return FALSE when nothing is known of the tenant */
gboolean wb_quota_ledger_state(const wb_quota_ledger_t *book, const char *tenant, int64_t now_ms,
                             wb_quota_state_t *state);

#endif
