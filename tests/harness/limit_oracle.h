/**
 * @file limit_oracle.h
 * @brief Checks how much an engine gets that has named a limit, by what it saw and callers were
 * answered.
 *
 * The bound: from `contact_ms` after the engine first named its limit, in every 4 s, at most one
 * and a half times what the limit allows and 5 requests, over all nodes that had passed on an
 * answer naming it half a second before or earlier. Windows slide by the millisecond.
 */
#ifndef WICKBRIDGE_TEST_LIMIT_ORACLE_H
#define WICKBRIDGE_TEST_LIMIT_ORACLE_H

#include <glib.h>
#include <stdint.h>

typedef struct limit_oracle_t limit_oracle_t;

/** The fullest window. */
typedef struct limit_worst_t {
    int64_t from_ms;
    unsigned arrivals;
    double allowed;
} limit_worst_t;

limit_oracle_t *limit_oracle_create(double per_s, int64_t contact_ms);
void limit_oracle_free(limit_oracle_t *oracle);
/** The engine named its limit; the first time counts. */
void limit_oracle_named(limit_oracle_t *oracle, int64_t at_ms);
/** A node passed on an answer that names it; its first time counts. */
void limit_oracle_passed_on(limit_oracle_t *oracle, int node, int64_t at_ms);
/** A request has come from a node, which the engine may turn away. */
void limit_oracle_arrival(limit_oracle_t *oracle, int node, int64_t at_ms);
limit_worst_t limit_oracle_worst(limit_oracle_t *oracle);

#endif
