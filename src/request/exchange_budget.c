/* Retry budgets: whether requests of a service may be sent again. */
#include "request/exchange_internal.h"

int64_t wb_edge_retry_window_ms(const wb_edge_t *edge) {
    return (int64_t)(edge->settings.retry_window_s * 1000);
}

static wb_retry_budget_t *budget_of(wb_edge_t *edge, const char *service) {
    wb_retry_budget_t *budget = g_hash_table_lookup(edge->budgets, service);
    if (budget == NULL) {
        budget = wb_retry_budget_create(edge->settings.retry_ratio, wb_edge_retry_window_ms(edge));
        g_hash_table_insert(edge->budgets, g_strdup(service), budget);
    }
    return budget;
}

/* This node's equal share of the slack that all nodes have together, in resends. A process that has
 * just started knows neither what its predecessor has spent nor whether all other nodes count it
 * yet: until then its share is 0, and only the ratio of its own requests remains. */
static double slack_share(const wb_edge_t *edge, int64_t now_ms) {
    return wb_equal_share_amount(edge->share, edge->settings.retry_slack,
                                 wb_edge_retry_window_ms(edge), now_ms);
}

void wb_exchange_count_request(const wb_exchange_t *exchange) {
    wb_retry_budget_note_request(budget_of(exchange->edge, exchange->service->name), wb_clock_ms());
}

double wb_exchange_resends_left(const wb_exchange_t *exchange) {
    wb_edge_t *edge = exchange->edge;
    int64_t now_ms = wb_clock_ms();
    return wb_retry_budget_left(budget_of(edge, exchange->service->name), slack_share(edge, now_ms),
                                now_ms);
}

gboolean wb_exchange_take_resend(wb_exchange_t *exchange) {
    wb_edge_t *edge = exchange->edge;
    int64_t now_ms = wb_clock_ms();
    wb_retry_budget_t *budget = budget_of(edge, exchange->service->name);
    double share = slack_share(edge, now_ms);
    double left = wb_retry_budget_left(budget, share, now_ms);
    gboolean taken = wb_retry_budget_take(budget, share, now_ms);
    if (taken) {
        edge->metrics.resends++;
    } else {
        edge->metrics.resends_refused++;
    }
    wb_event(taken ? "resend" : "resend-refused",
             ",\"id\":\"%s\",\"service\":\"%s\",\"sends\":%u,\"left\":%.2f,\"share\":%.2f,"
             "\"nodes\":%u",
             exchange->id, exchange->service->name, exchange->sends, left, share,
             wb_equal_share_nodes(edge->share, wb_edge_retry_window_ms(edge), now_ms));
    return taken;
}
