/**
 * @file http_server.h
 * @brief HTTP server on libmicrohttpd: whole requests in, whole or streamed answers out.
 *
 * Threads: handlers run on the server's threads. An exchange may be answered from any thread.
 * Locks: each exchange has its own lock; no lock is held while a handler or close callback runs.
 */
#ifndef WICKBRIDGE_HTTP_SERVER_H
#define WICKBRIDGE_HTTP_SERVER_H

#include "wickbridge/error.h"

#include <glib.h>
#include <stddef.h>

typedef struct wb_http_server_t wb_http_server_t;

/** One request and its answer. */
typedef struct wb_http_exchange_t wb_http_exchange_t;

/** Called once the whole request has arrived; must lead to exactly one reply or stream. */
typedef void (*wb_http_handler_fn)(wb_http_exchange_t *exchange, void *context);

/**
 * Called exactly once, when a streamed answer is over.
 * @param whole FALSE when the caller went away before the answer was whole
 */
typedef void (*wb_http_close_fn)(gboolean whole, void *context);

/** What a server needs to start. */
typedef struct wb_http_server_options_t {
    const char *address;       /**< IP:PORT to listen on */
    size_t body_limit_bytes;   /**< larger bodies get 413 */
    unsigned thread_count;     /**< server threads */
    unsigned idle_timeout_s;   /**< a slow sender is cut after this */
    const char *tls_key_pem;   /**< NULL: plain HTTP */
    const char *tls_cert_pem;  /**< with the key */
    const char *tls_trust_pem; /**< with it, callers must show a certificate it signed */
    wb_http_handler_fn handler;
    void *handler_context;
} wb_http_server_options_t;

/** Start listening. @return APR_SUCCESS, or why not, in `error` */
apr_status_t wb_http_server_start(wb_http_server_t **server,
                                  const wb_http_server_options_t *options, wb_error_t *error);

/** Cut what is open, join the threads and free the server. */
void wb_http_server_stop(wb_http_server_t *server);

const char *wb_http_exchange_method(const wb_http_exchange_t *exchange);
const char *wb_http_exchange_path(const wb_http_exchange_t *exchange);
/** @return the request's body, ended by a zero byte */
const char *wb_http_exchange_body(const wb_http_exchange_t *exchange, size_t *length);
/** @return a request header's value or NULL; only valid inside the handler */
const char *wb_http_exchange_header(wb_http_exchange_t *exchange, const char *name);
/** @return a query argument's value or NULL; only valid inside the handler */
const char *wb_http_exchange_query(wb_http_exchange_t *exchange, const char *name);

/** Write the IP address that the caller connected to; only valid inside the handler. */
void wb_http_exchange_local_address(wb_http_exchange_t *exchange, char *text, size_t size);

/** Add an answer header; before the reply or the stream's begin. */
void wb_http_exchange_add_header(wb_http_exchange_t *exchange, const char *name, const char *value);

/** Answer whole and release the exchange. Any thread. */
void wb_http_exchange_reply(wb_http_exchange_t *exchange, unsigned status, const char *content_type,
                            const char *body, size_t length);

/** Begin a streamed answer. @param on_close may be NULL */
void wb_http_exchange_stream_begin(wb_http_exchange_t *exchange, unsigned status,
                                   const char *content_type, wb_http_close_fn on_close,
                                   void *context);

/** Add data to a stream. @return bytes that wait for the caller to read them */
size_t wb_http_exchange_stream_write(wb_http_exchange_t *exchange, const char *data, size_t length);

/**
 * End a stream and release the exchange.
 * @param whole FALSE cuts the connection, so that the caller sees the answer isn't whole
 */
void wb_http_exchange_stream_end(wb_http_exchange_t *exchange, gboolean whole);

#endif
