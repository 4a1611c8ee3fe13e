/**
 * @file retry_budget.h
 * @brief Retry budget of one process: how many requests it may resend in any sliding window of
 * time.
 *
 * All nodes together are bound to ratio * requests + slack resends in each window. Each process
 * uses the ratio of its own requests and its share of the slack (equal_share.h), so the sum stays
 * within the bound without any communication. A resend is allowed only if every window in which it
 * may arrive has room for it.
 *
 * Units: resends and requests are counts, times are monotonic milliseconds passed in by the caller.
 * No function fails. Not thread-safe.
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
/** Count a client's request; once for each request, not for its resends. */
void wb_retry_budget_note_request(wb_retry_budget_t *budget, int64_t now_ms);
/**
 * Take one resend from the budget.
 * @param slack_share this node's share of the slack, in resends
 * @return FALSE when there is none left
 */
gboolean wb_retry_budget_take(wb_retry_budget_t *budget, double slack_share, int64_t now_ms);
/** @return resends that could be taken now; below 0 after the share has shrunk */
double wb_retry_budget_left(wb_retry_budget_t *budget, double slack_share, int64_t now_ms);

#endif
