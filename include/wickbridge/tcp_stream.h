/**
 * @file tcp_stream.h
 * @brief One TCP connection on a loop: non-blocking, with buffered output and a close that is
 * always seen.
 *
 * Threads: everything here belongs on the loop's thread.
 */
#ifndef WICKBRIDGE_TCP_STREAM_H
#define WICKBRIDGE_TCP_STREAM_H

#include "wickbridge/loop.h"

#include <glib.h>

typedef struct wb_tcp_stream_t wb_tcp_stream_t;
typedef struct wb_tcp_listener_t wb_tcp_listener_t;

/** How a connection ended. */
typedef enum wb_tcp_end_reason_t {
    WB_TCP_END_UNREACHABLE, /**< it was never connected, so nothing was sent: there was no answer */
    WB_TCP_END_REFUSED,   /**< the same, and the machine said that nobody listens there */
    WB_TCP_END_CLOSED,    /**< the peer closed it in order */
    WB_TCP_END_RESET      /**< it broke, or the peer stopped acknowledging */
} wb_tcp_end_reason_t;

typedef struct wb_tcp_events_t {
    /** Connected; not called for accepted connections. May be NULL. */
    void (*on_open)(wb_tcp_stream_t *stream, void *context);
    void (*on_data)(wb_tcp_stream_t *stream, const char *data, size_t length, void *context);
    /** The stream has ended; the callee must still call wb_tcp_stream_close. */
    void (*on_end)(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how, void *context);
    /** All output was handed to the system. May be NULL. */
    void (*on_drained)(wb_tcp_stream_t *stream, void *context);
} wb_tcp_events_t;

/** Called for each accepted connection; the callee sets its events. */
typedef void (*wb_tcp_accept_fn)(wb_tcp_stream_t *stream, void *context);

/**
 * Begin to connect. on_open or on_end follows, never from inside this call.
 * @param address            IP:PORT
 * @param connect_timeout_ms time after which on_end says WB_TCP_END_UNREACHABLE
 * @param silence_limit_ms   unacknowledged bytes end the connection after this time
 */
apr_status_t wb_tcp_stream_connect(wb_loop_t *loop, const char *address, int64_t connect_timeout_ms,
                                   int64_t silence_limit_ms, const wb_tcp_events_t *events,
                                   void *context, wb_tcp_stream_t **stream, wb_error_t *error);

/** Set who hears of a stream from now on. `events` must outlive the stream. */
void wb_tcp_stream_set_events(wb_tcp_stream_t *stream, const wb_tcp_events_t *events,
                              void *context);

/** Queue bytes; they are sent as the socket takes them. */
void wb_tcp_stream_write(wb_tcp_stream_t *stream, const void *data, size_t length);

/** @return bytes queued and not yet handed to the system */
size_t wb_tcp_stream_unsent(const wb_tcp_stream_t *stream);

/** @return TRUE while it is connected and neither ended nor closed */
gboolean wb_tcp_stream_is_open(const wb_tcp_stream_t *stream);

/** Stop or go on calling on_data; a close of the peer behind unread bytes is then seen late. */
void wb_tcp_stream_set_reading(wb_tcp_stream_t *stream, gboolean reading);

/** Close at once and free. Safe from every callback of the stream. */
void wb_tcp_stream_close(wb_tcp_stream_t *stream);

/** Close at once so that the peer sees a broken connection, not an ended one. */
void wb_tcp_stream_reset(wb_tcp_stream_t *stream);

/** Close once all output is sent and the peer has closed or a short time has passed. No callbacks
 * follow. */
void wb_tcp_stream_finish(wb_tcp_stream_t *stream);

/**
 * Listen for connections.
 * @param silence_limit_ms as in wb_tcp_stream_connect, for accepted connections
 */
apr_status_t wb_tcp_listen(wb_loop_t *loop, const char *address, int64_t silence_limit_ms,
                           wb_tcp_accept_fn on_accept, void *context, wb_tcp_listener_t **listener,
                           wb_error_t *error);
/** @return the port listened on */
unsigned wb_tcp_listener_port(const wb_tcp_listener_t *listener);
void wb_tcp_listener_close(wb_tcp_listener_t *listener);

#endif
