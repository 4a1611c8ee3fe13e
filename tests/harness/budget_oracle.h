/**
 * @file budget_oracle.h
 * @brief Checks the bound on requests that are sent again, by what callers sent and engines saw.
 *
 * The bound: in every window, the arrivals at a service's engines beyond the first of their request
 * are at most ratio x requests + slack, where requests are counted in that window, in the one
 * before it or in the one half a window before it, whichever holds the most. Windows slide by the
 * millisecond; what nodes know or count plays no part.
 */
#ifndef WICKBRIDGE_TEST_BUDGET_ORACLE_H
#define WICKBRIDGE_TEST_BUDGET_ORACLE_H

#include <glib.h>
#include <stdint.h>

typedef struct budget_oracle_t budget_oracle_t;

/** The window that comes nearest to the bound, or furthest beyond it. */
typedef struct budget_worst_t {
    int64_t from_ms;
    unsigned requests;
    unsigned repeats; /**< arrivals beyond the first of their request */
    double allowed;
    double excess; /**< repeats - allowed; above 0: the bound is broken */
} budget_worst_t;

budget_oracle_t *budget_oracle_create(double ratio, double slack, int64_t window_ms);
void budget_oracle_free(budget_oracle_t *oracle);
/** A caller has sent a request, whether it arrives or not. */
void budget_oracle_request(budget_oracle_t *oracle, int64_t at_ms);
/** A request has come to an engine, which may turn it away. Of one id the first is told first. */
void budget_oracle_arrival(budget_oracle_t *oracle, const char *id, int64_t at_ms);
budget_worst_t budget_oracle_worst(budget_oracle_t *oracle);

#endif
