/**
 * @file state_headers.h
 * @brief Reads what an engine tells of its state at the head of an answer, beside its load. Pure.
 *
 * Three things: how many requests a second it takes from all nodes together, that it leaves, and
 * for how long it wants nothing from this node. A value that can't be tells nothing.
 */
#ifndef WICKBRIDGE_STATE_HEADERS_H
#define WICKBRIDGE_STATE_HEADERS_H

#include "wickbridge/dialect.h"
#include "wickbridge/http_reader.h"

/** Far above what any engine takes. */
#define WB_STATE_MAX_LIMIT_PER_S 100000.0
/** An engine that wants nothing for longer has gone, or tells nonsense. */
#define WB_STATE_MAX_BACKOFF_MS (3600 * 1000LL)

typedef struct wb_state_headers_t {
    gboolean limit_present; /**< a limit is named, be it one that can't be read */
    gboolean limit_valid; /**< it could be read */
    double limit_per_s;   /**< 0: it takes none */
    gboolean leaving;
    int64_t rest_ms;  /**< 0: none is asked for */
    unsigned refused; /**< values that can't be */
} wb_state_headers_t;

wb_state_headers_t wb_state_headers_parse(const wb_http_head_t *head, const wb_dialect_t *dialect);

#endif
