/**
 * @file tcp_stream.h
 * @brief A non-blocking TCP connection on a loop, with buffered output and detection of a dead
 * peer.
 *
 * Times are in milliseconds. A connection's failure is reported by on_end; wb_tcp_stream_connect
 * and wb_tcp_listen also return an APR status with a message. Loop thread only.
 */
#ifndef WICKBRIDGE_TCP_STREAM_H
#define WICKBRIDGE_TCP_STREAM_H

#include "wickbridge/list.h"
#include "wickbridge/loop.h"

#include <glib.h>

typedef struct wb_tcp_stream_t wb_tcp_stream_t;
typedef struct wb_tcp_listener_t wb_tcp_listener_t;

/** How a connection ended. */
typedef enum wb_tcp_end_reason_t {
    WB_TCP_END_UNREACHABLE, /**< never connected, nothing was sent: timeout or unreachable */
    WB_TCP_END_REFUSED,     /**< never connected, nothing was sent: connection refused */
    WB_TCP_END_CLOSED,      /**< closed normally by the peer */
    WB_TCP_END_RESET        /**< reset, or the peer stopped acknowledging */
} wb_tcp_end_reason_t;

typedef struct wb_tcp_events_t {
    /** Connected; not called for accepted connections. May be NULL. */
    void (*on_open)(wb_tcp_stream_t *stream, void *context);
    void (*on_data)(wb_tcp_stream_t *stream, const char *data, size_t length, void *context);
    /** The connection has ended; the callee must still call wb_tcp_stream_close. */
    void (*on_end)(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how, void *context);
    /** All buffered output was handed to the system. May be NULL. */
    void (*on_drained)(wb_tcp_stream_t *stream, void *context);
} wb_tcp_events_t;

/** How to connect. */
typedef struct wb_tcp_connect_options_t {
    int64_t connect_timeout_ms; /**< after which on_end reports WB_TCP_END_UNREACHABLE */
    int64_t silence_limit_ms;   /**< max time for which sent bytes may stay unacknowledged */
    const char *bind_host;      /**< IP of the local end; NULL or "": any */
} wb_tcp_connect_options_t;

/** Called for each accepted connection; the callee sets its events. */
typedef void (*wb_tcp_accept_fn)(wb_tcp_stream_t *stream, void *context);

/**
 * Start to connect. on_open or on_end follows, never from inside this call.
 * @param address IP:PORT
 * @param options used during the call only
 * @param events  must outlive the stream
 * @return APR_SUCCESS, or the reason in `error`; no callback follows then
 */
apr_status_t wb_tcp_stream_connect(wb_loop_t *loop, const char *address,
                                   const wb_tcp_connect_options_t *options,
                                   const wb_tcp_events_t *events, void *context,
                                   wb_tcp_stream_t **stream, wb_error_t *error);

/** Replace the callbacks of a stream. `events` must outlive it. */
void wb_tcp_stream_set_events(wb_tcp_stream_t *stream, const wb_tcp_events_t *events,
                              void *context);

/** Change the max time for which sent bytes may stay unacknowledged. It also decides when the
 * system takes a quiet peer for dead: at its first keep-alive probe after that time without a
 * packet. */
void wb_tcp_stream_set_silence_limit(wb_tcp_stream_t *stream, int64_t limit_ms);

/** Queue bytes (copied) to be sent as the socket accepts them. */
void wb_tcp_stream_write(wb_tcp_stream_t *stream, const void *data, size_t length);

/** @return bytes queued and not yet handed to the system */
size_t wb_tcp_stream_unsent(const wb_tcp_stream_t *stream);

/** @return TRUE while the system has output that the peer's system didn't acknowledge; FALSE where
 * the system can't tell */
gboolean wb_tcp_stream_has_unacknowledged(const wb_tcp_stream_t *stream);

/** @return TRUE while it is connected and neither ended nor closed */
gboolean wb_tcp_stream_is_open(const wb_tcp_stream_t *stream);

/** Read what the system has received, before concluding from a silence. on_data and on_end may be
 * called from inside; the owner must expect that the stream is closed after it. */
void wb_tcp_stream_read_now(wb_tcp_stream_t *stream);

/** Pause or resume reading. While paused, a close by the peer is detected only after the unread
 * bytes. */
void wb_tcp_stream_set_reading(wb_tcp_stream_t *stream, gboolean reading);

/** Streams that were told to finish, by one owner. Zeroed, then wb_tcp_finishing_init. */
typedef struct wb_tcp_finishing_t {
    wb_list_t unsent;     /**< streams whose output the system doesn't have yet */
    wb_list_t lingering;  /**< streams that wait for the peer's close */
    uint64_t late_inputs; /**< streams with input, which is dropped, after all output was sent */
} wb_tcp_finishing_t;

/** Close at once and free. Safe from every callback of the stream. */
void wb_tcp_stream_close(wb_tcp_stream_t *stream);

/** Close at once with a TCP reset, so that the peer sees an aborted connection. Frees the stream as
 * wb_tcp_stream_close does. */
void wb_tcp_stream_reset(wb_tcp_stream_t *stream);

/** Send all buffered output, then close, after the peer has closed or one second has passed. No
 * callbacks follow. */
void wb_tcp_stream_finish(wb_tcp_stream_t *stream);
/** The same; the stream is in one of the owner's lists until it is closed.
 * @param finishing must outlive that, or be emptied by wb_tcp_finishing_clear; NULL: none */
void wb_tcp_stream_finish_listed(wb_tcp_stream_t *stream, wb_tcp_finishing_t *finishing);
void wb_tcp_finishing_init(wb_tcp_finishing_t *finishing);
/** @return output bytes of the finishing streams that the system doesn't have yet */
size_t wb_tcp_finishing_unsent(const wb_tcp_finishing_t *finishing);
/** Empty the lists; the streams go on to finish. */
void wb_tcp_finishing_clear(wb_tcp_finishing_t *finishing);

/**
 * Listen for connections.
 * @param address          IP:PORT; port 0 picks one
 * @param silence_limit_ms as in wb_tcp_connect_options_t, for accepted connections
 * @return APR_SUCCESS, or the reason in `error`
 */
apr_status_t wb_tcp_listen(wb_loop_t *loop, const char *address, int64_t silence_limit_ms,
                           wb_tcp_accept_fn on_accept, void *context, wb_tcp_listener_t **listener,
                           wb_error_t *error);
/** @return the port listened on */
unsigned wb_tcp_listener_port(const wb_tcp_listener_t *listener);
/** Stop listening and free; accepted connections stay open. */
void wb_tcp_listener_close(wb_tcp_listener_t *listener);

#endif
