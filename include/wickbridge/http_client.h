/**
 * @file http_client.h
 * @brief HTTP client on libcurl's multi interface, with one thread for all calls.
 *
 * Times are in milliseconds. Failures of a call are reported in its wb_http_result_t. Calls are
 * started and cancelled from any thread; callbacks run on the client's thread, or on the loop's
 * thread for calls started with wb_http_client_fetch.
 */
#ifndef WICKBRIDGE_HTTP_CLIENT_H
#define WICKBRIDGE_HTTP_CLIENT_H

#include "wickbridge/error.h"
#include "wickbridge/loop.h"

#include <glib.h>

typedef struct wb_http_client_t wb_http_client_t;
typedef struct wb_http_call_t wb_http_call_t;

/** TLS files of a client (PEM); all NULL for plain HTTP. */
typedef struct wb_http_client_tls_t {
    const char *trust_file;       /**< certificate authorities */
    const char *certificate_file; /**< client certificate */
    const char *key_file;         /**< client key */
} wb_http_client_tls_t;

/** How far a call got. */
typedef enum wb_http_outcome_t {
    WB_HTTP_NOT_SENT,   /**< no byte of the request can have arrived */
    WB_HTTP_INCOMPLETE, /**< sent, but no complete response arrived */
    WB_HTTP_COMPLETED   /**< a complete response arrived, with any status */
} wb_http_outcome_t;

/** Result of a call. Valid only inside the callback. */
typedef struct wb_http_result_t {
    wb_http_outcome_t outcome;
    unsigned status;  /**< HTTP status, 0 if none arrived */
    const char *body; /**< the part of the body not passed to on_data; zero-terminated */
    size_t body_length;
    int64_t retry_after_ms; /**< from Retry-After, -1 if absent */
    const char *reason;     /**< one line on why the call failed */
    const char *seed; /**< from Engine-Seed, NULL if absent; invalid after wb_http_client_fetch */
    gboolean framed;  /**< Content-Length or chunks mark the body's end, else it ended with its
                         connection, as it does when the server crashes */
} wb_http_result_t;

typedef void (*wb_http_done_fn)(const wb_http_result_t *result, void *context);

/** Called for each chunk of the body of a 200 response. */
typedef void (*wb_http_data_fn)(const char *data, size_t length, void *context);

/** A call to make; strings are copied. */
typedef struct wb_http_request_t {
    const char *method;
    const char *url;
    const char *const *headers; /**< "Name: value" lines, ended by NULL; may be NULL */
    const char *body;           /**< NULL for none */
    size_t body_length;
    int64_t timeout_ms;      /**< for the whole call; 0 for none */
    int64_t idle_timeout_ms; /**< max time without received data; 0 for no limit */
    gboolean send_once;      /**< the library must not resend it on a second connection */
    gboolean keep_handle;    /**< the returned handle is a reference, to be dropped with
                                wb_http_call_unref */
    wb_http_data_fn on_data; /**< NULL: the body is collected */
    wb_http_done_fn on_done; /**< called exactly once, also after a cancel */
    void *context;
} wb_http_request_t;

/** Create a client and start its thread. @return APR_SUCCESS, or the reason in `error` */
apr_status_t wb_http_client_start(wb_http_client_t **client, const wb_http_client_tls_t *tls,
                                  wb_error_t *error);

/** Cancel all calls (their on_done runs), join the thread and free the client. */
void wb_http_client_stop(wb_http_client_t *client);

/** @return total bytes of headers and bodies sent and received, for metrics; any thread */
int64_t wb_http_client_bytes(const wb_http_client_t *client);

/** Start a call. @return a handle for cancel, valid until on_done has run */
wb_http_call_t *wb_http_client_call(wb_http_client_t *client, const wb_http_request_t *request);

/** Cancel a call from any thread; a no-op if it has ended, provided the handle is still referenced.
 */
void wb_http_call_cancel(wb_http_call_t *call);

/** Keep a handle beyond on_done, so that cancel stays safe. */
wb_http_call_t *wb_http_call_ref(wb_http_call_t *call);
void wb_http_call_unref(wb_http_call_t *call);

/** Like wb_http_client_call with a collected body, but on_done runs on the loop's thread. */
void wb_http_client_fetch(wb_http_client_t *client, wb_loop_t *loop,
                          const wb_http_request_t *request);

#endif
