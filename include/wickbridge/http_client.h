/**
 * @file http_client.h
 * @brief HTTP client on libcurl's multi interface, with one thread for all calls.
 *
 * Threads: calls are started and cancelled from any thread; callbacks run on the client's thread,
 * or on the loop's thread for calls started through wb_http_client_fetch with a loop.
 */
#ifndef WICKBRIDGE_HTTP_CLIENT_H
#define WICKBRIDGE_HTTP_CLIENT_H

#include "wickbridge/error.h"
#include "wickbridge/loop.h"

#include <glib.h>

typedef struct wb_http_client_t wb_http_client_t;
typedef struct wb_http_call_t wb_http_call_t;

/** TLS files of a client; all NULL for plain HTTP. */
typedef struct wb_http_client_tls_t {
    const char *trust_file;       /**< certificate authorities, PEM */
    const char *certificate_file; /**< own certificate, PEM */
    const char *key_file;         /**< own key, PEM */
} wb_http_client_tls_t;

/** How far a call got. */
typedef enum wb_http_outcome_t {
    WB_HTTP_NOT_SENT, /**< no byte of the request can have arrived */
    WB_HTTP_INCOMPLETE,   /**< sent, and no whole answer came back */
    WB_HTTP_COMPLETED  /**< a whole answer came back, whatever its status */
} wb_http_outcome_t;

/** The end of a call. Valid only inside the callback. */
typedef struct wb_http_result_t {
    wb_http_outcome_t outcome;
    unsigned status;  /**< HTTP status, 0 if none arrived */
    const char *body; /**< what arrived and was not taken by on_data; ends with a zero byte */
    size_t body_length;
    int64_t retry_after_ms; /**< from Retry-After, -1 when absent */
    const char *reason;     /**< one line on what broke */
    const char *seed;       /**< from Engine-Seed, NULL when absent */
} wb_http_result_t;

typedef void (*wb_http_done_fn)(const wb_http_result_t *result, void *context);

/** Called for each piece of a 200 answer's body. */
typedef void (*wb_http_data_fn)(const char *data, size_t length, void *context);

/** One call to make; texts are copied. */
typedef struct wb_http_request_t {
    const char *method;
    const char *url;
    const char *const *headers; /**< "Name: value" lines, ended by NULL; may be NULL */
    const char *body;           /**< NULL for none */
    size_t body_length;
    int64_t timeout_ms;      /**< for the whole call; 0 for none */
    int64_t idle_timeout_ms; /**< broken when nothing arrives this long; 0 for none */
    gboolean send_once;      /**< never sent again on a second connection by the library */
    gboolean keep_handle;    /**< the returned handle is a reference that the caller drops */
    wb_http_data_fn on_data; /**< NULL: the body is collected */
    wb_http_done_fn on_done; /**< exactly once, also after a cancel */
    void *context;
} wb_http_request_t;

/** Start a client's thread. */
apr_status_t wb_http_client_start(wb_http_client_t **client, const wb_http_client_tls_t *tls,
                                  wb_error_t *error);

/** Break all calls (their on_done runs), join the thread and free the client. */
void wb_http_client_stop(wb_http_client_t *client);

/** @return bytes of bodies and headers sent and received so far, for metrics; any thread */
int64_t wb_http_client_bytes(const wb_http_client_t *client);

/** Start a call. @return a handle for cancel, valid until on_done has run */
wb_http_call_t *wb_http_client_call(wb_http_client_t *client, const wb_http_request_t *request);

/** Break a call from any thread; harmless once it has ended, if the handle is still referenced. */
void wb_http_call_cancel(wb_http_call_t *call);

/** Keep a handle beyond on_done, so that cancel stays safe. */
wb_http_call_t *wb_http_call_ref(wb_http_call_t *call);
void wb_http_call_unref(wb_http_call_t *call);

/** As wb_http_client_call with a collected body, but on_done runs on the loop's thread. */
void wb_http_client_fetch(wb_http_client_t *client, wb_loop_t *loop,
                          const wb_http_request_t *request);

#endif
