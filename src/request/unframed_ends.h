/**
 * @file unframed_ends.h
 * @brief Requests whose unframed response has ended, until their engine shows that it is alive.
 *
 * Such a response ends with its connection, and so does the connection of an engine that has
 * crashed. Only bytes that the engine sends later show that it has completed the request.
 *
 * Times are monotonic and in milliseconds. Memory is bounded by ENDS_MAX entries; the oldest are
 * dropped. No errors. Loop thread only.
 */
#ifndef WICKBRIDGE_UNFRAMED_ENDS_H
#define WICKBRIDGE_UNFRAMED_ENDS_H

#include "poison/request_digest.h"

#include "wickbridge/fleet.h"

/** The end of a request at an engine. */
typedef struct wb_run_end_t {
    wb_engine_t *engine;
    gboolean has_digest;
    wb_request_digest_t digest; /**< of its content; if has_digest */
    GArray *parts;              /**< of wb_request_digest_t, keys of its prompt's parts */
    size_t body_bytes;
    unsigned status; /**< of the engine's response */
    int64_t ended_ms;
} wb_run_end_t;

/** Bytes that arrive this much later were not sent before the engine's end. */
#define WB_UNFRAMED_END_DELAY_MS 100

typedef struct wb_unframed_ends_t wb_unframed_ends_t;

typedef void (*wb_unframed_end_fn)(const wb_run_end_t *end, void *context);

wb_unframed_ends_t *wb_unframed_ends_create(void);
void wb_unframed_ends_free(wb_unframed_ends_t *ends);
/** Add a request. References to its engine and its parts are kept. */
void wb_unframed_ends_add(wb_unframed_ends_t *ends, const wb_run_end_t *end);
/** Call a function for each request whose engine has sent bytes since (wb_engine_t.heard_ms), and
 * forget it; forget also those that were not confirmed for long. */
void wb_unframed_ends_confirm(wb_unframed_ends_t *ends, int64_t now_ms,
                              wb_unframed_end_fn on_confirmed, void *context);

#endif
