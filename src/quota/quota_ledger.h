/**
 * @file quota_ledger.h
 * @brief Ledger of what all gateways admit of each tenant's limit. It decides which share of a
 * tenant's requests they may admit.
 *
 * One node, to which all gateways report, keeps the ledger. For each tenant it has a token bucket,
 * filled at the tenant's rate up to its burst, from which it takes what gateways report as
 * admitted. A tenant whose bucket would run empty before the next shares can take effect is
 * **throttled**: gateways then admit the share of its requests that the bucket can sustain. Tenants
 * that aren't throttled cause no messages to gateways.
 *
 * A disconnected node goes on admitting at the rate of its last reports (quota_limiter.h), so the
 * ledger deducts that rate. For nodes that never reported to this ledger, and for all disconnected
 * nodes while another node may keep a ledger too, it deducts an equal share of each limit: two
 * ledgers thus divide each limit by the nodes that report to either.
 *
 * A ledger starts with empty buckets, as the previous one may have used up the bursts. A tenant
 * within its rate isn't refused because of that. Gateways tell a new ledger what they admitted in
 * the last seconds, from which it takes the debt that the previous one had to pay off.
 *
 * Rates are in units a second (see wb_tenant_cost), times monotonic and in milliseconds. Pure: the
 * time is passed in. No errors: reports about tenants without a limit are ignored. Messages and the
 * admission of single requests are handled elsewhere.
 */
#ifndef WICKBRIDGE_QUOTA_LEDGER_H
#define WICKBRIDGE_QUOTA_LEDGER_H

#include "quota/quota_share.h"
#include "quota/usage_history.h"

#include "wickbridge/tenant.h"

typedef struct wb_quota_ledger_t wb_quota_ledger_t;

/** State of a tenant, for operators. */
typedef struct wb_quota_state_t {
    double asked_per_s;    /**< requested by clients */
    double admitted_per_s; /**< admitted, as reported by gateways */
    double assumed_per_s;  /**< deducted for disconnected nodes */
    double level;          /**< of the token bucket, in units; negative: overdrawn */
    double share;          /**< of the requested units to admit; 1: not throttled */
} wb_quota_state_t;

wb_quota_ledger_t *wb_quota_ledger_create(void);
void wb_quota_ledger_free(wb_quota_ledger_t *ledger);

/** Apply the limits of a new configuration. @param tenants NULL: there are none */
void wb_quota_ledger_set_tenants(wb_quota_ledger_t *ledger, const wb_tenants_t *tenants,
                                 int64_t now_ms);

/** A node has reported its usage of one traffic class since its last report. */
void wb_quota_ledger_report(wb_quota_ledger_t *ledger, const char *node,
                            const wb_quota_usage_t *usage, int64_t now_ms);
/** Take what a node had admitted before this ledger began, of one tenant: the debt of a previous
 * ledger is paid off here. No effect once the node has reported; to be called before its report. */
void wb_quota_ledger_take_history(wb_quota_ledger_t *ledger, const char *node,
                                  const wb_tenant_history_t *history, int64_t now_ms);
/** A node is connected (again): nothing is deducted for it any more. */
void wb_quota_ledger_node_connected(wb_quota_ledger_t *ledger, const char *node);
/** A node is disconnected, but may go on admitting requests. */
void wb_quota_ledger_node_lost(wb_quota_ledger_t *ledger, const char *node, int64_t now_ms);
/** A node exists: until it reports, it counts as disconnected. */
void wb_quota_ledger_expect_node(wb_quota_ledger_t *ledger, const char *node, int64_t now_ms);
/** @param sole whether this is certainly the only ledger; else nodes may report to another one */
void wb_quota_ledger_set_sole(wb_quota_ledger_t *ledger, gboolean sole);
/** Start again with empty buckets: another node has kept the ledger in the meantime. */
void wb_quota_ledger_clear(wb_quota_ledger_t *ledger, int64_t now_ms);

/**
 * Compute the shares of throttled tenants.
 * @param changed out: TRUE when the shares must be sent to gateways, because they have changed or
 * because a repetition is due; they then count as sent
 * @return wb_quota_share_t of all throttled tenants; owned by the ledger, valid until the next call
 */
const GArray *wb_quota_ledger_shares(wb_quota_ledger_t *ledger, int64_t now_ms, gboolean *changed);

/** @return the shares as last computed, like wb_quota_ledger_shares */
const GArray *wb_quota_ledger_last_shares(const wb_quota_ledger_t *ledger);

/** @return FALSE when the tenant is unknown or has no limit */
gboolean wb_quota_ledger_state(const wb_quota_ledger_t *ledger, const char *tenant, int64_t now_ms,
                               wb_quota_state_t *state);

#endif
