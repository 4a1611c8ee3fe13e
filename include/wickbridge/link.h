/**
 * @file link.h
 * @brief Links between nodes: TCP connections that carry length-prefixed messages, optionally over
 * TLS.
 *
 * A malformed or oversized message closes its link. Failures of a link are reported by on_close;
 * wb_link_listen and wb_link_connect also return an APR status with a message. Loop thread only.
 */
#ifndef WICKBRIDGE_LINK_H
#define WICKBRIDGE_LINK_H

#include "wickbridge/loop.h"
#include "wickbridge/message.h"
#include "wickbridge/tls.h"

typedef struct wb_link_t wb_link_t;
typedef struct wb_link_listener_t wb_link_listener_t;

/** Traffic of a group of links, for metrics. */
typedef struct wb_link_counters_t {
    int64_t bytes_sent;
    int64_t bytes_received;
    int64_t messages_sent;
    int64_t messages_received;
    int64_t messages_unknown; /**< of a kind that this build doesn't know; ignored */
} wb_link_counters_t;

/** Callbacks and options of links. */
typedef struct wb_link_events_t {
    void (*on_open)(wb_link_t *link, void *context);
    /** The message is freed after the callback. */
    void (*on_message)(wb_link_t *link, const wb_wire_message *message, void *context);
    /** The link has failed or was closed by the peer; it is freed after the callback. */
    void (*on_close)(wb_link_t *link, const char *reason, void *context);
    void *context;
    wb_tls_context_t *tls; /**< NULL: no TLS; must outlive the links */
    const char *bind_host; /**< local IP of outgoing connections; NULL: any */
} wb_link_events_t;

/** Listen for links. @param address IP:PORT; port 0 picks one @param counters must outlive the
 * links */
apr_status_t wb_link_listen(wb_loop_t *loop, const char *address, const wb_link_events_t *events,
                            wb_link_counters_t *counters, wb_link_listener_t **listener,
                            wb_error_t *error);
unsigned wb_link_listener_port(const wb_link_listener_t *listener);
void wb_link_listener_close(wb_link_listener_t *listener);

/** Start to connect; on_open or on_close follows, never from inside this call. */
apr_status_t wb_link_connect(wb_loop_t *loop, const char *address, const wb_link_events_t *events,
                             wb_link_counters_t *counters, wb_link_t **link, wb_error_t *error);

/** Queue a message to be sent as the socket accepts it. */
void wb_link_send(wb_link_t *link, const wb_wire_message *message);
/** Like wb_link_send, with extensions; a peer of format version 1 gets the message without them. */
void wb_link_send_with_extensions(wb_link_t *link, const wb_wire_message *message,
                                  const wb_wire_extensions *extensions);
/** @return the extensions of the message passed to on_message; valid until that returns */
const wb_wire_extensions *wb_link_extensions(const wb_link_t *link);
/** Set the format version that the peer sent in its handshake; 1 until then. */
void wb_link_set_format_version(wb_link_t *link, unsigned version);
/** @return the peer's format version */
unsigned wb_link_format_version(const wb_link_t *link);

/**
 * Queue an encoded message; avoids encoding it for each link.
 * @param frame copied; as wb_message_encode creates it
 */
void wb_link_send_frame(wb_link_t *link, const GByteArray *frame);

/** @return bytes queued and not yet handed to the system */
size_t wb_link_unsent(const wb_link_t *link);

/** @return bytes received of a message that isn't complete yet */
size_t wb_link_incomplete(const wb_link_t *link);

/** Close without on_close and free. Must not be called from inside on_message of the same link. */
void wb_link_close(wb_link_t *link);

/** Close the link from the loop soon; on_close will run. Safe from any callback. */
void wb_link_close_later(wb_link_t *link, const char *reason);

/** Attach a pointer for the owner's use. */
void wb_link_set_data(wb_link_t *link, void *data);
void *wb_link_data(const wb_link_t *link);

#endif
