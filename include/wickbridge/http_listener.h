/**
 * @file http_listener.h
 * @brief HTTP/1.1 server on a loop: requests come whole, answers go out whole or as a stream.
 *
 * One request at a time runs on a connection; further ones wait in their bytes. A caller that
 * closes while its request runs is seen at once. Threads: everything here belongs on the loop's
 * thread.
 */
#ifndef WICKBRIDGE_HTTP_LISTENER_H
#define WICKBRIDGE_HTTP_LISTENER_H

#include "wickbridge/http_reader.h"
#include "wickbridge/loop.h"

typedef struct wb_http_listener_t wb_http_listener_t;
typedef struct wb_http_connection_t wb_http_connection_t;

/** Bounds on what a caller may send. */
typedef struct wb_http_limits_t {
    size_t head_bytes;
    size_t body_bytes;
    int64_t head_timeout_ms; /**< from a request's first byte to the end of its head */
    int64_t idle_timeout_ms; /**< rest between requests, and silence inside a body */
} wb_http_limits_t;

typedef struct wb_http_handler_t {
    /** A whole request; the callee owns head and body and answers now or later. */
    void (*on_request)(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                       void *context);
    /** The caller left while its request ran; the connection is gone after this call. May be NULL.
     */
    void (*on_client_closed)(wb_http_connection_t *connection, void *request, void *context);
    /** Output that had piled up was sent. May be NULL. */
    void (*on_drained)(wb_http_connection_t *connection, void *request, void *context);
    void *context;
} wb_http_handler_t;

apr_status_t wb_http_listener_open(wb_loop_t *loop, const char *address,
                                   const wb_http_handler_t *handler, const wb_http_limits_t *limits,
                                   wb_http_listener_t **listener, wb_error_t *error);
unsigned wb_http_listener_port(const wb_http_listener_t *listener);
void wb_http_listener_set_limits(wb_http_listener_t *listener, const wb_http_limits_t *limits);
/** From now on each answer ends its connection. */
void wb_http_listener_drain(wb_http_listener_t *listener);
/** Take no more connections: who connects is refused by the system. Open ones go on. */
void wb_http_listener_stop(wb_http_listener_t *listener);
/** Close the connections on which no request runs or is partly read. */
void wb_http_listener_close_idle(wb_http_listener_t *listener);
/** @return connections that have a request running or partly read */
unsigned wb_http_listener_active_count(const wb_http_listener_t *listener);
/** Close everything, running requests too, and free. */
void wb_http_listener_close(wb_http_listener_t *listener);

/** Keep a request's state with its connection; told to on_client_closed and on_drained. */
void wb_http_connection_set_request(wb_http_connection_t *connection, void *request);

/**
 * Answer the running request whole.
 * @param headers whole lines, each ended by CR LF, without lengths; may be empty
 */
void wb_http_connection_reply(wb_http_connection_t *connection, unsigned status,
                               const char *reason, const char *headers, const void *body,
                               size_t length);
/** Begin an answer whose length isn't known; it goes out in chunks. */
void wb_http_connection_stream_begin(wb_http_connection_t *connection, unsigned status,
                                     const char *reason, const char *headers);
void wb_http_connection_stream_write(wb_http_connection_t *connection, const void *data,
                                     size_t length);
/** The streamed answer is whole. */
void wb_http_connection_stream_end(wb_http_connection_t *connection);
/** Break the connection, so that an answer that has begun doesn't look whole. */
void wb_http_connection_abort(wb_http_connection_t *connection);
/** @return output bytes not yet handed to the system */
size_t wb_http_connection_unsent(const wb_http_connection_t *connection);
/** @return steady time in ms at which the request's first byte came */
int64_t wb_http_connection_request_began_ms(const wb_http_connection_t *connection);

/** @return the usual reason phrase of a status */
const char *wb_http_status_reason(unsigned status);

#endif
