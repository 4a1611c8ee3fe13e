/**
 * @file told_state.h
 * @brief Parses the response headers in which an engine reports a rate limit, draining and a
 * backoff. Pure.
 *
 * The limit is the number of requests a second that the engine accepts from all nodes together.
 * The backoff (Retry-After of a 503) applies to this node only. Malformed, repeated and
 * out-of-range values are ignored and counted.
 */
#ifndef WICKBRIDGE_TOLD_STATE_H
#define WICKBRIDGE_TOLD_STATE_H

#include "wickbridge/dialect.h"
#include "wickbridge/http_reader.h"

/** Larger limits are rejected as malformed. */
#define WB_TOLD_LIMIT_MOST_PER_S 100000.0
/** Longer backoffs are rejected as malformed. */
#define WB_TOLD_REST_MOST_MS (3600 * 1000LL)

typedef struct wb_told_state_t {
    gboolean limit_named; /**< the limit header is present, valid or not */
    gboolean limit_known; /**< the limit header is valid */
    double limit_per_s;   /**< requests a second; 0: the engine accepts none */
    gboolean leaving;     /**< the engine drains */
    int64_t rest_ms;      /**< backoff; 0: none */
    unsigned refused;     /**< number of invalid values */
} wb_told_state_t;

wb_told_state_t wb_told_state_read(const wb_http_head_t *head, const wb_dialect_t *dialect);

#endif
