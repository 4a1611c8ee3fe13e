/**
 * @file retry_budget.h
 * @brief How many requests this process may send again in any window of time, out of a bound shared
 * by all nodes.
 *
 * Each process may use the ratio of its own requests and its share of the slack (equal_share.h), so
 * that what all processes use together stays within the bound: no message is needed. Windows slide;
 * each one that a resend may come to lie in is looked at.
 *
 * Pure: the time is passed in.
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
void wb_retry_budget_note_request(wb_retry_budget_t *budget, int64_t now_ms);
/**
 * Take one resend out of the budget.
 * @param slack_share this node's share of the slack, in resends
 * @return FALSE when there is none left
 */
gboolean wb_retry_budget_take(wb_retry_budget_t *budget, double slack_share, int64_t now_ms);
/** @return resends that could be taken now; below 0 after a share shrank */
double wb_retry_budget_left(wb_retry_budget_t *budget, double slack_share, int64_t now_ms);

#endif
