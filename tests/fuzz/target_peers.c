/* What the aggregator and gateways do with the numbers and texts of a peer's message. */
#include "targets.h"

#include "pace/pace_aggregate.h"
#include "quota/quota_ledger.h"
#include "quota/quota_limiter.h"

#include "wickbridge/message.h"
#include "wickbridge/tenant.h"

#include <math.h>
#include <stdlib.h>

#define RATE_PER_S 10
#define BURST 20
#define NOW_MS 1000
#define LATER_MS 61000
#define TOKEN_MS 0.1

/* One tenant with a limit, named as in the seeds. */
static wb_tenants_t *tenants_create(void) {
    wb_tenants_t *tenants = wb_tenants_create();
    wb_tenant_t *tenant = wb_tenants_add(tenants, "t");
    tenant->rate_per_s = RATE_PER_S;
    tenant->burst = BURST;
    return tenants;
}

/* Shares that are sent to gateways are shares, whatever gateways have reported. */
static void usage_check(const wb_wire_demand *demand) {
    wb_tenants_t *tenants = tenants_create();
    wb_quota_ledger_t *ledger = wb_quota_ledger_create();
    wb_quota_ledger_set_tenants(ledger, tenants, 0);
    for (u_int i = 0; i < demand->tenants.tenants_len; i++) {
        const wb_wire_tenant_usage *wire = &demand->tenants.tenants_val[i];
        wb_quota_usage_t usage = {wire->tenant, wire->kind, (double)wire->asked,
                                  (double)wire->requests, (double)wire->admitted};
        wb_quota_ledger_report(ledger, demand->node, &usage, NOW_MS);
    }
    for (int64_t now_ms = NOW_MS; now_ms <= LATER_MS; now_ms += LATER_MS - NOW_MS) {
        gboolean changed;
        const GArray *shares = wb_quota_ledger_shares(ledger, now_ms, &changed);
        for (guint i = 0; i < shares->len; i++) {
            double share = g_array_index(shares, wb_quota_share_t, i).share;
            if (!isfinite(share) || share < 0)
                abort();
        }
    }
    wb_quota_ledger_free(ledger);
    wb_tenants_free(tenants);
}

static void paces_check(const wb_wire_demand *demand) {
    wb_pace_aggregate_t *aggregate = wb_pace_aggregate_create(TOKEN_MS);
    for (u_int i = 0; i < demand->engines.engines_len; i++) {
        const wb_wire_engine_usage *usage = &demand->engines.engines_val[i];
        wb_pace_report_t report = {usage->engine, usage->pace_percent, usage->tokens};
        wb_pace_aggregate_report(aggregate, &report, 1, NOW_MS);
    }
    double backlog_ms;
    wb_pace_aggregate_max_backlog(aggregate, NOW_MS, &backlog_ms);
    if (!isfinite(backlog_ms) || backlog_ms < 0)
        abort();
    g_array_unref(wb_pace_aggregate_changes(aggregate, WB_WIRE_LIST_MAX, NOW_MS));
    wb_pace_aggregate_free(aggregate);
}

static void shares_take(const wb_wire_quota *quota) {
    wb_quota_limiter_t *limiter = wb_quota_limiter_create();
    for (u_int i = 0; i < quota->tenants.tenants_len; i++) {
        const wb_wire_quota_entry *entry = &quota->tenants.tenants_val[i];
        wb_quota_share_t share = {entry->tenant, entry->kind, entry->share_ppm / 1e6};
        wb_quota_limiter_set_shares(limiter, &share, 1, NOW_MS);
    }
    wb_quota_limiter_tick(limiter, LATER_MS);
    wb_quota_limiter_free(limiter);
}

void target_peer_message(const uint8_t *data, size_t size) {
    wb_wire_message message;
    if (wb_message_decode(data, size, &message, NULL) != APR_SUCCESS)
        return;
    if (message.kind == WB_WIRE_DEMAND) {
        usage_check(&message.wb_wire_message_u.demand);
        paces_check(&message.wb_wire_message_u.demand);
    }
    if (message.kind == WB_WIRE_QUOTA)
        shares_take(&message.wb_wire_message_u.quota);
    wb_message_clear(&message);
}
