/**
 * @file limit_oracle.h
 * @brief Checks that nodes respect an engine's reported limit, from arrivals at the engine and
 * responses to clients.
 *
 * The bound: in every window of 4 s, at most 1.5 times the number of requests that the limit
 * allows, plus 5, arrive at the engine. An arrival counts if the engine first reported its limit at
 * least `contact_ms` earlier, and the sending node first forwarded a response that reports the
 * limit at least 500 ms earlier. Windows start at every millisecond. Times are in ms, limits in
 * requests per second.
 */
#ifndef WICKBRIDGE_TEST_LIMIT_ORACLE_H
#define WICKBRIDGE_TEST_LIMIT_ORACLE_H

#include <glib.h>
#include <stdint.h>

typedef struct limit_oracle_t limit_oracle_t;

/** The window with the most arrivals. */
typedef struct limit_window_t {
    int64_t from_ms;
    unsigned arrivals;
    double allowed;
} limit_window_t;

limit_oracle_t *limit_oracle_create(double per_s, int64_t contact_ms);
void limit_oracle_free(limit_oracle_t *oracle);
/** Record that the engine reported its limit; the earliest time is used. */
void limit_oracle_reported(limit_oracle_t *oracle, int64_t at_ms);
/** Record that a node forwarded a response that reports the limit; its earliest time is used. */
void limit_oracle_forwarded(limit_oracle_t *oracle, int node, int64_t at_ms);
/** Record the arrival of a request from a node, even if the engine rejects it. */
void limit_oracle_arrival(limit_oracle_t *oracle, int node, int64_t at_ms);
limit_window_t limit_oracle_fullest_window(limit_oracle_t *oracle);

#endif
