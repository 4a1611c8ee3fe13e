/* Finds a request's tenant by its API key, and charges the request to the tenant's limit. */
#include "request/exchange_internal.h"

/* Outcome for a key that no tenant has. */
static wb_outcome_t unknown_key(const wb_edge_t *edge) {
    return wb_edge_catalog_is_confirmed(edge) ? WB_OUTCOME_BAD_KEY : WB_OUTCOME_KEY_UNVERIFIED;
}

wb_outcome_t wb_exchange_read_tenant(wb_exchange_t *exchange) {
    const wb_edge_t *edge = exchange->edge;
    const wb_route_t *route = exchange->route;
    exchange->priority = route->rank;
    if (exchange->catalog->tenants == NULL) {
        return WB_OUTCOME_COUNT;
    }
    wb_api_key_t key = wb_api_key_read(exchange->head, edge->dialect);
    if (key.state == WB_API_KEY_PRESENT) {
        exchange->key = key.digest;
        exchange->tenant = wb_tenants_find_by_key(exchange->catalog->tenants, &key.digest);
    }
    if (exchange->tenant != NULL) {
        if (exchange->tenant->rank != WB_TENANT_NO_PRIORITY) {
            exchange->priority = exchange->tenant->rank;
        }
        return WB_OUTCOME_COUNT;
    }
    if (route->is_public) {
        return WB_OUTCOME_COUNT;
    }
    return key.state == WB_API_KEY_PRESENT ? unknown_key(edge) : WB_OUTCOME_BAD_KEY;
}

/* Sum of the prompt tokens and the maximum output tokens; -1 when the request names none. */
static double requested_tokens(const wb_exchange_t *exchange) {
    const char *text = wb_http_head_get(exchange->head, exchange->edge->dialect->token_usage);
    if (text == NULL || !g_ascii_isdigit(*text)) {
        return -1;
    }
    char *end;
    double tokens = (double)g_ascii_strtoull(text, &end, 10);
    return *end == ',' ? tokens + (double)g_ascii_strtoull(end + 1, NULL, 10) : tokens;
}

static void over_quota_log(const wb_exchange_t *exchange, double cost,
                           const wb_quota_decision_t *decision) {
    wb_event("quota-spent",
             ",\"id\":\"%s\",\"tenant\":\"%s\",\"cost\":%.0f,\"limit_per_s\":%.0f,"
             "\"share\":%.3f,\"book_reached\":%s,\"share_age_ms\":%lld,\"retry_ms\":%lld",
             exchange->id, exchange->tenant->name, cost, exchange->tenant->rate_per_s,
             decision->share, decision->basis != WB_QUOTA_LOCAL ? "true" : "false",
             (long long)decision->age_ms, (long long)decision->retry_ms);
}

/* Traffic classes are distinguished by service and by the route's priority, as a tenant's own
 * priority is the same for all of its requests. */
static wb_quota_class_t traffic_class(const wb_exchange_t *exchange) {
    if (exchange->edge->settings.quota_order == 0) {
        return WB_QUOTA_OTHER_CLASSES;
    }
    return wb_quota_class(exchange->service->name, exchange->route->rank);
}

wb_outcome_t wb_exchange_charge_quota(wb_exchange_t *exchange) {
    wb_edge_t *edge = exchange->edge;
    if (exchange->tenant == NULL) {
        return WB_OUTCOME_COUNT;
    }
    double cost = wb_tenant_cost(exchange->tenant, requested_tokens(exchange));
    exchange->quota_class = traffic_class(exchange);
    wb_quota_decision_t decision =
        wb_quota_limiter_admit(edge->quota, exchange->tenant, exchange->quota_class, cost,
                               edge->node_count, wb_clock_ms());
    exchange->quota_basis = decision.basis;
    exchange->quota_age_ms = decision.age_ms;
    if (decision.admitted) {
        exchange->quota_cost = cost;
        edge->metrics.quota_units[decision.basis] += (uint64_t)cost;
        if (decision.report_due && edge->on_quota_report_due != NULL) {
            edge->on_quota_report_due(edge->node_context);
        }
        return WB_OUTCOME_COUNT;
    }
    exchange->quota_retry_ms = decision.retry_ms;
    over_quota_log(exchange, cost, &decision);
    gboolean is_known = decision.basis != WB_QUOTA_LOCAL || decision.share < 1;
    return is_known ? WB_OUTCOME_OVER_QUOTA : WB_OUTCOME_QUOTA_UNKNOWN;
}

void wb_exchange_settle_quota(const wb_exchange_t *exchange) {
    if (exchange->quota_cost > 0 && exchange->runs != 1) {
        wb_quota_limiter_adjust(exchange->edge->quota, exchange->tenant->name,
                                exchange->quota_class,
                                exchange->quota_cost * ((double)exchange->runs - 1));
    }
}
