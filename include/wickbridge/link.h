/**
 * @file link.h
 * @brief Links between nodes: TCP connections that carry framed messages, on a loop.
 *
 * Threads: everything here belongs on the loop's thread.
 */
#ifndef WICKBRIDGE_LINK_H
#define WICKBRIDGE_LINK_H

#include "wickbridge/loop.h"
#include "wickbridge/message.h"
#include "wickbridge/tls.h"

typedef struct wb_link_t wb_link_t;
typedef struct wb_link_listener_t wb_link_listener_t;

/** Bytes and messages of a group of links, for metrics. */
typedef struct wb_link_counters_t {
    int64_t bytes_sent;
    int64_t bytes_received;
    int64_t messages_sent;
    int64_t messages_received;
    int64_t messages_unknown; /**< of kinds that this build doesn't know; passed over */
} wb_link_counters_t;

/** What happens on a link. */
typedef struct wb_link_events_t {
    void (*on_open)(wb_link_t *link, void *context);
    /** The message is cleared after the callback. */
    void (*on_message)(wb_link_t *link, const wb_wire_message *message, void *context);
    /** The link is broken and is freed after the callback. */
    void (*on_close)(wb_link_t *link, const char *reason, void *context);
    void *context;
    wb_tls_context_t *tls; /**< NULL: no TLS */
    const char *bind_host; /**< IP that connections are made from; NULL: any */
} wb_link_events_t;

/** Listen for links. @param address IP:PORT; port 0 picks one */
apr_status_t wb_link_listen(wb_loop_t *loop, const char *address, const wb_link_events_t *events,
                            wb_link_counters_t *counters, wb_link_listener_t **listener,
                            wb_error_t *error);
unsigned wb_link_listener_port(const wb_link_listener_t *listener);
void wb_link_listener_close(wb_link_listener_t *listener);

/** Begin to connect; on_open or on_close follows, never from inside this call. */
apr_status_t wb_link_connect(wb_loop_t *loop, const char *address, const wb_link_events_t *events,
                             wb_link_counters_t *counters, wb_link_t **link, wb_error_t *error);

/** Queue a message; it is sent when the socket lets it. */
void wb_link_send(wb_link_t *link, const wb_wire_message *message);
/** As wb_link_send; a peer of form 1 gets the message without the parts. */
void wb_link_send_with_extensions(wb_link_t *link, const wb_wire_message *message,
                        const wb_wire_extensions *parts);
/** @return the parts of the message that on_message is called for; valid until it returns */
const wb_wire_extensions *wb_link_extensions(const wb_link_t *link);
/** Set which form of messages the other end reads, as it told; 1 until then. */
void wb_link_set_format_version(wb_link_t *link, unsigned form);
/** @return it */
unsigned wb_link_format_version(const wb_link_t *link);

/**
 * Queue a message that was encoded before, so that one that goes to many links is encoded once.
 * @param frame as wb_message_encode makes it
 */
void wb_link_send_frame(wb_link_t *link, const GByteArray *frame);

/** @return bytes that wait to be sent */
size_t wb_link_unsent(const wb_link_t *link);

/** Close without on_close and free. Must not be called from inside on_message of the same link. */
void wb_link_close(wb_link_t *link);

/** Break the link soon; on_close will run. Safe from any callback. */
void wb_link_close_later(wb_link_t *link, const char *reason);

void wb_link_set_data(wb_link_t *link, void *data);
void *wb_link_data(const wb_link_t *link);

#endif
