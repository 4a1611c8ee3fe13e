/**
 * @file engine_response.h
 * @brief The one place that takes what engines tell of themselves at the heads of their answers.
 */
#ifndef WICKBRIDGE_ENGINE_RESPONSE_H
#define WICKBRIDGE_ENGINE_RESPONSE_H

#include "wickbridge/dialect.h"
#include "wickbridge/edge_metrics.h"
#include "wickbridge/http_reader.h"

/** That a limit still holds, or is over, is told to other nodes so often: well before nodes begin
 * to try whether it has ended. */
#define WB_STATE_RESEND_MS 2000

/** To what an engine has answered. */
typedef enum wb_response_to_t {
    WB_RESPONSE_TO_REQUEST, /**< a caller's request */
    WB_RESPONSE_TO_CALL     /**< a report or an order, where not everything need be told */
} wb_response_to_t;

/** An answer whose head has come. */
typedef struct wb_engine_response_t {
    const wb_dialect_t *dialect;
    const wb_http_head_t *head;
    wb_response_to_t on;
    int64_t sent_ms; /**< steady time at which what it answers was sent */
    int64_t now_ms;
    int64_t drain_ms; /**< for which an engine that leaves serves on */
} wb_engine_response_t;

/** Take what the head tells into what is known of the engine; log what has changed.
 * @return TRUE when other nodes should know what it told */
gboolean wb_engine_update_from_response(wb_engine_t *engine, const wb_engine_response_t *heard, wb_edge_metrics_t *metrics);

#endif
