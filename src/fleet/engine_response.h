/**
 * @file engine_response.h
 * @brief Applies the state that an engine reports in response headers (load, limit, draining,
 * backoff) to what this node knows of the engine. All such headers are handled here.
 *
 * Times are monotonic and in milliseconds. Invalid values are ignored, counted in the metrics and
 * logged; there are no other errors. Threads: the loop's thread only.
 */
#ifndef WICKBRIDGE_ENGINE_RESPONSE_H
#define WICKBRIDGE_ENGINE_RESPONSE_H

#include "wickbridge/dialect.h"
#include "wickbridge/edge_metrics.h"
#include "wickbridge/http_reader.h"

/** Interval at which other nodes are notified again that a limit still holds or has ended. It is
 * well below the time after which nodes probe whether a limit has ended (engine_limit.c). */
#define WB_STATE_RESEND_MS 2000

/** What the engine has responded to. */
typedef enum wb_response_to_t {
    WB_RESPONSE_TO_REQUEST, /**< a client's request */
    WB_RESPONSE_TO_CALL     /**< a report or an order; such responses may omit state headers */
} wb_response_to_t;

/** A response whose head has been received. */
typedef struct wb_engine_response_t {
    const wb_dialect_t *dialect;
    const wb_http_head_t *head;
    wb_response_to_t on;
    int64_t sent_ms;  /**< when the request or call was sent */
    int64_t now_ms;   /**< when the head was received */
    int64_t drain_ms; /**< time for which a draining engine still serves */
} wb_engine_response_t;

/**
 * Update the engine by the response's headers and log changes.
 * @return TRUE when the state must be sent to other nodes
 */
gboolean wb_engine_update_from_response(wb_engine_t *engine, const wb_engine_response_t *response,
                                        wb_edge_metrics_t *metrics);

#endif
