/**
 * @file http_pool.h
 * @brief Short HTTP calls to one address, over a few kept connections, on a loop.
 *
 * For calls whose answers are small and read whole. Each connection carries one call at a time.
 * Threads: everything here belongs on the loop's thread.
 */
#ifndef WICKBRIDGE_HTTP_POOL_H
#define WICKBRIDGE_HTTP_POOL_H

#include "wickbridge/http_reader.h"
#include "wickbridge/loop.h"

typedef struct wb_http_pool_t wb_http_pool_t;
typedef struct wb_http_call_t wb_http_call_t;

/** What became of a call. */
typedef enum wb_http_outcome_t {
    WB_HTTP_COMPLETED, /**< a whole answer is at hand */
    WB_HTTP_NOT_SENT, /**< no byte of it left */
    WB_HTTP_UNKNOWN   /**< it was sent and not answered: it may have been done, or may be done later
                       */
} wb_http_outcome_t;

typedef struct wb_http_result_t {
    wb_http_outcome_t outcome;
    unsigned status; /**< 0 unless answered */
    const char *body;
    size_t length;
    gboolean refused; /**< not sent, as nobody listens at the address */
} wb_http_result_t;

typedef void (*wb_http_result_fn)(const wb_http_result_t *result, void *context);

/** One call. Texts need to live only during wb_http_pool_call. */
typedef struct wb_http_request_t {
    const char *method;
    const char *target;
    const char *headers; /**< whole lines ended by CR LF, or NULL */
    const char *body;    /**< JSON, or NULL */
    int64_t timeout_ms;  /**< for the whole call, if progress_ms is 0 */
    /** For answers that may be large: once some of it has come, the call ends only when no more
     * comes for so long. 0: timeout_ms holds for the whole call. */
    int64_t progress_ms;
    gboolean fresh; /**< don't use a kept connection */
    /** Asked right before the first byte is sent; FALSE ends the call as not sent. May be NULL. */
    gboolean (*may_send)(void *context);
    /** Told the head of the answer, before its result. May be NULL. */
    void (*on_head)(const wb_http_head_t *head, void *context);
    wb_http_result_fn on_result; /**< called once, never from inside wb_http_pool_call */
    void *context;
} wb_http_request_t;

/**
 * @param connect_timeout_ms longest time to connect
 * @param silence_limit_ms   unacknowledged bytes break a connection after this time
 */
wb_http_pool_t *wb_http_pool_create(wb_loop_t *loop, const char *address,
                                    int64_t connect_timeout_ms, int64_t silence_limit_ms);
/** Free; running calls end without a result. */
void wb_http_pool_free(wb_http_pool_t *peer);
void wb_http_pool_call(wb_http_pool_t *peer, const wb_http_request_t *request);

#endif
