/**
 * @file retry_budget.h
 * @brief How many requests may be sent again in any span of time, out of a bound shared by all
 * nodes.
 *
 * Each node may use its own requests' ratio and an equal share of the slack: no message is needed.
 * Pure.
 */
#ifndef WICKBRIDGE_RETRY_BUDGET_H
#define WICKBRIDGE_RETRY_BUDGET_H

#include <glib.h>
#include <stdint.h>

typedef struct wb_retry_budget_t wb_retry_budget_t;

/**
 * @param ratio     resends allowed for each request in the window
 * @param window_ms length of the sliding window
 */
wb_retry_budget_t *wb_retry_budget_create(double ratio, int64_t window_ms);
void wb_retry_budget_free(wb_retry_budget_t *budget);
/** A request of a caller was counted for the first time. */
void wb_retry_budget_request(wb_retry_budget_t *budget, int64_t now_ms);
/**
 * Take one resend out of the budget.
 * @param slack_share this node's share of the slack, in resends
 * @return FALSE when there is none left
 */
gboolean wb_retry_budget_take(wb_retry_budget_t *budget, double slack_share, int64_t now_ms);
/** @return resends that could be taken now */
double wb_retry_budget_left(wb_retry_budget_t *budget, double slack_share, int64_t now_ms);

#endif
