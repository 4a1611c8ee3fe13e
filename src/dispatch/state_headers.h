/**
 * @file state_headers.h
 * @brief Parses the response headers in which an engine reports a rate limit, draining, a
 * backoff, and that it is brittle. Pure.
 *
 * The limit is the number of requests a second that the engine accepts from all nodes together.
 * The backoff (Retry-After of a 503) applies to this node only. Malformed, repeated and
 * out-of-range values are ignored and counted.
 */
#ifndef WICKBRIDGE_STATE_HEADERS_H
#define WICKBRIDGE_STATE_HEADERS_H

#include "wickbridge/dialect.h"
#include "wickbridge/http_reader.h"

/** Larger limits are rejected as malformed. */
#define WB_STATE_MAX_LIMIT_PER_S 100000.0
/** Larger numbers of rejections are rejected as malformed. */
#define WB_STATE_MAX_REJECTIONS 100000.0
/** Longer backoffs are rejected as malformed. */
#define WB_STATE_MAX_BACKOFF_MS (3600 * 1000LL)

typedef struct wb_state_headers_t {
    gboolean limit_present;   /**< the limit header is present, valid or not */
    gboolean limit_valid;     /**< the limit header is valid */
    double limit_per_s;       /**< requests a second; 0: the engine accepts none */
    gboolean brittle_present; /**< the header that says whether it is brittle is present */
    gboolean brittle_valid;   /**< the engine says that it is brittle */
    unsigned rejections;      /**< in a second that it survives then */
    gboolean leaving;         /**< the engine drains */
    int64_t rest_ms;          /**< backoff; 0: none */
    unsigned refused;         /**< number of invalid values */
} wb_state_headers_t;

wb_state_headers_t wb_state_headers_parse(const wb_http_head_t *head, const wb_dialect_t *dialect);

#endif
