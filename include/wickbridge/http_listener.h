/**
 * @file http_listener.h
 * @brief HTTP/1.1 server on a loop: receives complete requests, sends complete or streamed
 * responses.
 *
 * A connection runs one request at a time; pipelined requests stay buffered until then. A client
 * that disconnects while its request runs is detected at once. Malformed, oversized and slow
 * requests are answered with an error status here. Times are in milliseconds. Loop thread only.
 */
#ifndef WICKBRIDGE_HTTP_LISTENER_H
#define WICKBRIDGE_HTTP_LISTENER_H

#include "wickbridge/http_reader.h"
#include "wickbridge/loop.h"

typedef struct wb_http_listener_t wb_http_listener_t;
typedef struct wb_http_connection_t wb_http_connection_t;

/** Limits on requests. */
typedef struct wb_http_limits_t {
    size_t head_bytes;
    size_t body_bytes;
    int64_t head_timeout_ms; /**< from a request's first byte to the end of its head */
    int64_t idle_timeout_ms; /**< max idle time between requests and within a body */
    int64_t notice_ms;       /**< how long clients may not know of a lower idle timeout */
} wb_http_limits_t;

typedef struct wb_http_handler_t {
    /** A complete request arrived. The callee takes ownership of head and body, and responds now
     * or later. */
    void (*on_request)(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                       void *context);
    /** The client disconnected while its request ran; the connection is freed after this call. May
     * be NULL. */
    void (*on_client_closed)(wb_http_connection_t *connection, void *request, void *context);
    /** All buffered output was handed to the system. May be NULL. */
    void (*on_drained)(wb_http_connection_t *connection, void *request, void *context);
    void *context;
} wb_http_handler_t;

/** What became of connections without a running request, since the listener was opened. */
typedef struct wb_http_listener_counts_t {
    uint64_t idle_closes; /**< connections closed because they were idle */
    uint64_t idle_reads;  /**< times that one wasn't idle after all, as input waited to be read */
    uint64_t late_inputs; /**< connections with input after the end of their output */
} wb_http_listener_counts_t;

/** Listen on an address. @param address IP:PORT; port 0 picks one @param handler copied
 * @param limits copied @return APR_SUCCESS, or the reason in `error` */
apr_status_t wb_http_listener_open(wb_loop_t *loop, const char *address,
                                   const wb_http_handler_t *handler, const wb_http_limits_t *limits,
                                   wb_http_listener_t **listener, wb_error_t *error);
/** @return the port listened on */
unsigned wb_http_listener_port(const wb_http_listener_t *listener);
/** Change the limits. On open connections lower limits apply from the next request, or the next
 * wait for input, on; a lower idle timeout to waits that begin later than `notice_ms` after it. */
void wb_http_listener_set_limits(wb_http_listener_t *listener, const wb_http_limits_t *limits);
/** From now on close each connection after its response. */
void wb_http_listener_drain(wb_http_listener_t *listener);
/** Stop listening: the system refuses new connections. Open connections are kept. */
void wb_http_listener_stop(wb_http_listener_t *listener);
/** Close idle connections: those without a running or partly received request, after reading what
 * has arrived on them. */
void wb_http_listener_close_idle(wb_http_listener_t *listener);
/** @return counts since the listener was opened */
wb_http_listener_counts_t wb_http_listener_counts(const wb_http_listener_t *listener);
/** @return number of connections with a running or partly received request, or unsent output, ended
 * ones included */
unsigned wb_http_listener_active_count(const wb_http_listener_t *listener);
/** @return output bytes of all connections, ended ones included, that the system doesn't have yet
 */
size_t wb_http_listener_unsent(const wb_http_listener_t *listener);
/** Close all connections, also those with running requests (on_client_closed is called), and free.
 */
void wb_http_listener_close(wb_http_listener_t *listener);

/** Attach a request's state to its connection; passed to on_client_closed and on_drained. */
void wb_http_connection_set_request(wb_http_connection_t *connection, void *request);

/**
 * Send the complete response to the running request.
 * @param headers header lines, each ended by CR LF, without Content-Length; may be empty
 */
void wb_http_connection_reply(wb_http_connection_t *connection, unsigned status, const char *reason,
                              const char *headers, const void *body, size_t length);
/** Let the next response end with its connection, without length or chunks, as to HTTP/1.0 clients.
 */
void wb_http_connection_end_by_close(wb_http_connection_t *connection);
/** Begin a response of unknown length; it is sent in chunks. */
void wb_http_connection_stream_begin(wb_http_connection_t *connection, unsigned status,
                                     const char *reason, const char *headers);
void wb_http_connection_stream_write(wb_http_connection_t *connection, const void *data,
                                     size_t length);
/** Complete a streamed response. */
void wb_http_connection_stream_end(wb_http_connection_t *connection);
/** Reset the connection, so that the client sees that its response is incomplete. */
void wb_http_connection_abort(wb_http_connection_t *connection);
/** @return output bytes not yet handed to the system */
size_t wb_http_connection_unsent(const wb_http_connection_t *connection);
/** @return monotonic time (wb_clock_ms) at which the request's first byte arrived */
int64_t wb_http_connection_request_began_ms(const wb_http_connection_t *connection);

/** @return the standard reason phrase of a status */
const char *wb_http_status_reason(unsigned status);

#endif
