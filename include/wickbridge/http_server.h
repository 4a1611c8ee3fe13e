/**
 * @file http_server.h
 * @brief HTTP server on libmicrohttpd: receives complete requests, sends complete or streamed
 * responses.
 *
 * Only wb_http_server_start fails, with a message in its wb_error_t. Threads: handlers run on the
 * server's threads; an exchange may be answered from any thread. Locks: each exchange has its own
 * lock; no lock is held while a handler or close callback runs.
 */
#ifndef WICKBRIDGE_HTTP_SERVER_H
#define WICKBRIDGE_HTTP_SERVER_H

#include "wickbridge/error.h"

#include <glib.h>
#include <stddef.h>

typedef struct wb_http_server_t wb_http_server_t;

/** A request and its response. */
typedef struct wb_http_exchange_t wb_http_exchange_t;

/** Called once the complete request has arrived; must lead to exactly one reply or stream. */
typedef void (*wb_http_handler_fn)(wb_http_exchange_t *exchange, void *context);

/**
 * Called exactly once, at the end of a streamed response.
 * @param complete FALSE if the client disconnected before the response was complete
 */
typedef void (*wb_http_close_fn)(gboolean complete, void *context);

/** Options of wb_http_server_start. */
typedef struct wb_http_server_options_t {
    const char *address;       /**< IP:PORT to listen on */
    size_t body_limit_bytes;   /**< larger bodies get status 413 */
    unsigned thread_count;     /**< number of server threads */
    unsigned idle_timeout_s;   /**< idle connections are closed after this time */
    const char *tls_key_pem;   /**< NULL: plain HTTP */
    const char *tls_cert_pem;  /**< server certificate; required with a key */
    const char *tls_trust_pem; /**< authority that must have signed clients' certificates; NULL:
                                  clients need none */
    wb_http_handler_fn handler;
    void *handler_context;
} wb_http_server_options_t;

/** Start listening. @return APR_SUCCESS, or the reason in `error` */
apr_status_t wb_http_server_start(wb_http_server_t **server,
                                  const wb_http_server_options_t *options, wb_error_t *error);

/** Close all connections, join the threads and free the server. */
void wb_http_server_stop(wb_http_server_t *server);

const char *wb_http_exchange_method(const wb_http_exchange_t *exchange);
const char *wb_http_exchange_path(const wb_http_exchange_t *exchange);
/** @return the request's body, zero-terminated */
const char *wb_http_exchange_body(const wb_http_exchange_t *exchange, size_t *length);
/** @return a request header's value or NULL; only valid inside the handler */
const char *wb_http_exchange_header(wb_http_exchange_t *exchange, const char *name);
/** @return a query argument's value or NULL; only valid inside the handler */
const char *wb_http_exchange_query(wb_http_exchange_t *exchange, const char *name);

/** Get the local IP address of the client's connection; only valid inside the handler. */
void wb_http_exchange_local_address(wb_http_exchange_t *exchange, char *text, size_t size);

/** Add a response header; before wb_http_exchange_reply or wb_http_exchange_stream_begin. */
void wb_http_exchange_add_header(wb_http_exchange_t *exchange, const char *name, const char *value);

/** Send a complete response and release the exchange. Any thread. */
void wb_http_exchange_reply(wb_http_exchange_t *exchange, unsigned status, const char *content_type,
                            const char *body, size_t length);

/** Begin a streamed response. @param on_close may be NULL */
void wb_http_exchange_stream_begin(wb_http_exchange_t *exchange, unsigned status,
                                   const char *content_type, wb_http_close_fn on_close,
                                   void *context);

/** Append data to a stream. @return bytes buffered and not yet taken by libmicrohttpd */
size_t wb_http_exchange_stream_write(wb_http_exchange_t *exchange, const char *data, size_t length);

/**
 * End a stream and release the exchange.
 * @param complete FALSE: close the connection, so that the client sees that the response is
 * incomplete
 */
void wb_http_exchange_stream_end(wb_http_exchange_t *exchange, gboolean complete);

#endif
