/**
 * @file budget_oracle.h
 * @brief Checks the bound on retries from what clients sent and engines received.
 *
 * The bound: in every window, retries (arrivals at a service's engines beyond the first of their
 * request) are at most ratio x requests + slack. Requests are counted in the same window, in the
 * one before it, or in the one half a window before it; the largest count is used. Windows start at
 * every millisecond. The nodes' own counters aren't used. Times are in ms.
 */
#ifndef WICKBRIDGE_TEST_BUDGET_ORACLE_H
#define WICKBRIDGE_TEST_BUDGET_ORACLE_H

#include <glib.h>
#include <stdint.h>

typedef struct budget_oracle_t budget_oracle_t;

/** The window with the largest excess over the bound. */
typedef struct budget_window_t {
    int64_t from_ms;
    unsigned requests;
    unsigned repeats; /**< arrivals beyond the first of their request */
    double allowed;
    double excess; /**< repeats - allowed; above 0: the bound is exceeded */
} budget_window_t;

budget_oracle_t *budget_oracle_create(double ratio, double slack, int64_t window_ms);
void budget_oracle_free(budget_oracle_t *oracle);
/** Record a request that a client sent, even if it doesn't arrive. */
void budget_oracle_request(budget_oracle_t *oracle, int64_t at_ms);
/** Record the arrival of a request at an engine, even if it is rejected. The arrivals of one id
 * must be recorded in order. */
void budget_oracle_arrival(budget_oracle_t *oracle, const char *id, int64_t at_ms);
/** @return the worst window; its excess is -G_MAXDOUBLE if there were no retries */
budget_window_t budget_oracle_worst_window(budget_oracle_t *oracle);

#endif
