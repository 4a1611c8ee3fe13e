/**
 * @file http_pool.h
 * @brief HTTP client for short calls to one address, over a small pool of keep-alive connections.
 *
 * Responses are collected in memory; a call fails when its response is longer than its limit. Each
 * connection carries one call at a time. Times are in milliseconds. Failures are reported as a
 * wb_http_outcome_t. Loop thread only.
 */
#ifndef WICKBRIDGE_HTTP_POOL_H
#define WICKBRIDGE_HTTP_POOL_H

#include "wickbridge/http_reader.h"
#include "wickbridge/loop.h"
#include "wickbridge/tcp_stream.h"

typedef struct wb_http_pool_t wb_http_pool_t;
typedef struct wb_http_call_t wb_http_call_t;

/** Outcome of a call. */
typedef enum wb_http_outcome_t {
    WB_HTTP_COMPLETED, /**< a complete response arrived */
    WB_HTTP_NOT_SENT,  /**< no byte of the request was sent */
    WB_HTTP_UNKNOWN /**< sent without a complete response: it may have taken effect, or may later */
} wb_http_outcome_t;

typedef struct wb_http_result_t {
    wb_http_outcome_t outcome;
    unsigned status; /**< 0 unless answered */
    const char *body;
    size_t length;
    gboolean refused; /**< not sent, as the connection was refused */
} wb_http_result_t;

typedef void (*wb_http_result_fn)(const wb_http_result_t *result, void *context);

/** A call. Strings need to live only during wb_http_pool_call. */
typedef struct wb_http_request_t {
    const char *method;
    const char *target;
    const char *headers; /**< header lines, each ended by CR LF, or NULL */
    const char *body;    /**< JSON, or NULL */
    int64_t timeout_ms;  /**< timeout of the complete call; if progress_ms isn't 0, until the first
                            bytes of the response */
    /** Max time without further bytes once the response has begun, for large responses. 0:
     * timeout_ms applies to the complete call. */
    int64_t progress_ms;
    size_t max_bytes; /**< limit of the response, its head included; 0: 32 MiB */
    gboolean fresh;   /**< use a new connection, not a pooled one */
    /** Called right before the first byte is sent; FALSE ends the call as WB_HTTP_NOT_SENT. May be
     * NULL. */
    gboolean (*may_send)(void *context);
    /** Called with the response's head, before on_result. May be NULL. */
    void (*on_head)(const wb_http_head_t *head, void *context);
    wb_http_result_fn on_result; /**< called once, never from inside wb_http_pool_call */
    void *context;
} wb_http_request_t;

/**
 * Create a client. It connects on demand.
 * @param address IP:PORT
 * @param options copied; its strings must outlive the client
 */
wb_http_pool_t *wb_http_pool_create(wb_loop_t *loop, const char *address,
                                    const wb_tcp_connect_options_t *options);
/** Close all connections and free. Calls under way end without on_result. */
void wb_http_pool_free(wb_http_pool_t *pool);
/** Start a call. on_result reports its outcome. */
void wb_http_pool_call(wb_http_pool_t *pool, const wb_http_request_t *request);

#endif
