/* Whether a request may be sent again: the budget of its service, and what is written of it. */
#include "request/exchange_inner.h"

static int64_t window_ms(const wb_edge_t *edge) {
    return (int64_t)(edge->settings.retry_window_s * 1000);
}

static wb_retry_budget_t *budget_of(wb_edge_t *edge, const char *service) {
    wb_retry_budget_t *budget = g_hash_table_lookup(edge->budgets, service);
    if (budget == NULL) {
        budget = wb_retry_budget_create(edge->settings.retry_ratio, window_ms(edge));
        g_hash_table_insert(edge->budgets, g_strdup(service), budget);
    }
    return budget;
}

/* This node's equal share of the slack that all nodes have together. A process that starts doesn't
 * know what the one before it has spent, nor whether all others count it yet: until that is over it
 * has the ratio of its own requests alone. */
static double slack_share(const wb_edge_t *edge) {
    return wb_equal_share_part(edge->share, edge->settings.retry_slack, window_ms(edge),
                               wb_clock_ms());
}

void wb_exchange_count_request(const wb_exchange_t *exchange) {
    wb_retry_budget_request(budget_of(exchange->edge, exchange->service->name), wb_clock_ms());
}

double wb_exchange_resends_left(const wb_exchange_t *exchange) {
    wb_edge_t *edge = exchange->edge;
    return wb_retry_budget_left(budget_of(edge, exchange->service->name), slack_share(edge),
                                wb_clock_ms());
}

/* Writes what the budget allowed when a request was sent again, or was not. */
static void resend_log(const char *event, const wb_exchange_t *exchange, double left) {
    const wb_edge_t *edge = exchange->edge;
    wb_event(event,
             ",\"id\":\"%s\",\"service\":\"%s\",\"sends\":%u,\"left\":%.2f,\"share\":%.2f,"
             "\"nodes\":%u",
             wb_event_text(exchange->id), exchange->service->name, exchange->sends, left,
             slack_share(edge), wb_equal_share_nodes(edge->share, window_ms(edge), wb_clock_ms()));
}

gboolean wb_exchange_take_resend(wb_exchange_t *exchange) {
    wb_edge_t *edge = exchange->edge;
    double left = wb_exchange_resends_left(exchange);
    if (!wb_retry_budget_take(budget_of(edge, exchange->service->name), slack_share(edge),
                              wb_clock_ms())) {
        edge->metrics.resends_refused++;
        resend_log("resend-refused", exchange, left);
        return FALSE;
    }
    edge->metrics.resends++;
    resend_log("resend", exchange, left);
    return TRUE;
}
