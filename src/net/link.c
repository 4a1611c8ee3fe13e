/* Framed messages over TCP or TLS connections on a loop. A frame is a length of 4 bytes in network
 * order, then a message in XDR, optionally with extensions. */
#include "wickbridge/link.h"

#include "net/acceptor.h"
#include "net/socket.h"
#include "wickbridge/log.h"

#include <apr_pools.h>
#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define READ_CHUNK_BYTES (64 * 1024)
#define CONNECT_TIMEOUT_MS 1500
#define SILENCE_LIMIT_MS 3000
#define UNSENT_LIMIT_BYTES (48 * 1024 * 1024)

struct wb_link_listener_t {
    wb_loop_t *loop;
    wb_acceptor_t *acceptor;
    wb_link_events_t events;
    wb_link_counters_t *counters;
};

struct wb_link_t {
    wb_loop_t *loop;
    apr_pool_t *pool;
    apr_socket_t *socket;
    wb_watch_t *watch;
    wb_timer_t *connect_timer;
    wb_timer_t *close_timer;
    wb_link_events_t events;
    wb_link_counters_t *counters;
    gboolean open;
    GByteArray *received;
    GByteArray *unsent;
    char *close_reason;
    wb_tls_session_t *tls;         /* NULL: no TLS */
    unsigned format_version;       /* of messages that the peer can read */
    wb_wire_extensions extensions; /* of the message that is being delivered */
    void *data;
};

static void link_free(wb_link_t *link) {
    if (link->connect_timer != NULL)
        wb_timer_cancel(link->connect_timer);
    if (link->close_timer != NULL)
        wb_timer_cancel(link->close_timer);
    if (link->watch != NULL)
        wb_watch_remove(link->watch);
    if (link->tls != NULL)
        wb_tls_session_free(link->tls);
    apr_socket_close(link->socket);
    g_byte_array_unref(link->received);
    g_byte_array_unref(link->unsent);
    apr_pool_destroy(link->pool);
    g_free(link->close_reason);
    g_free(link);
}

static void link_fail(wb_link_t *link, const char *reason) {
    link->events.on_close(link, reason, link->events.context);
    link_free(link);
}

void wb_link_close(wb_link_t *link) {
    link_free(link);
}

static void close_timer_run(void *context) {
    wb_link_t *link = context;
    link->close_timer = NULL;
    link_fail(link, link->close_reason);
}

void wb_link_close_later(wb_link_t *link, const char *reason) {
    if (link->close_timer != NULL)
        return;
    link->close_reason = g_strdup(reason);
    link->close_timer = wb_loop_after(link->loop, 0, close_timer_run, link);
}

void wb_link_set_data(wb_link_t *link, void *data) {
    link->data = data;
}

void *wb_link_data(const wb_link_t *link) {
    return link->data;
}

/* Sends over TLS or the plain socket. `length` is set to the bytes sent. */
static apr_status_t bytes_send(wb_link_t *link, const char *data, apr_size_t *length) {
    if (link->tls == NULL)
        return apr_socket_send(link->socket, data, length);
    switch (wb_tls_session_send(link->tls, data, length)) {
    case WB_TLS_DONE:
        return APR_SUCCESS;
    case WB_TLS_WANTS_READ:
    case WB_TLS_WANTS_WRITE:
        return APR_EAGAIN;
    default:
        return APR_EGENERAL;
    }
}

/* Receives over TLS or the plain socket. `length` is set to the bytes received; it is 0 with
 * APR_EAGAIN when none are available. */
static apr_status_t bytes_receive(wb_link_t *link, char *data, apr_size_t *length) {
    if (link->tls == NULL)
        return apr_socket_recv(link->socket, data, length);
    switch (wb_tls_session_receive(link->tls, data, length)) {
    case WB_TLS_DONE:
        return APR_SUCCESS;
    case WB_TLS_WANTS_READ:
    case WB_TLS_WANTS_WRITE:
        return APR_EAGAIN;
    case WB_TLS_ENDED:
        return APR_EOF;
    default:
        return APR_EGENERAL;
    }
}

/* Sends as much as the socket accepts. Returns FALSE when sending failed. */
static gboolean link_flush(wb_link_t *link) {
    while (link->unsent->len > 0) {
        apr_size_t length = link->unsent->len;
        apr_status_t status = bytes_send(link, (const char *)link->unsent->data, &length);
        if (length > 0) {
            link->counters->bytes_sent += (int64_t)length;
            g_byte_array_remove_range(link->unsent, 0, (guint)length);
        }
        if (APR_STATUS_IS_EAGAIN(status))
            break;
        if (status != APR_SUCCESS)
            return FALSE;
    }
    int16_t events = APR_POLLIN;
    if (link->unsent->len > 0)
        events |= APR_POLLOUT;
    wb_watch_set_events(link->watch, events);
    return TRUE;
}

/* Counts a message that was just queued and tries to send it. */
static void message_queued(wb_link_t *link) {
    link->counters->messages_sent++;
    if (link->unsent->len > UNSENT_LIMIT_BYTES)
        wb_link_close_later(link, "the peer doesn't read: too much unsent data");
    else if (link->open && !link_flush(link))
        wb_link_close_later(link, "sending failed");
}

void wb_link_send(wb_link_t *link, const wb_wire_message *message) {
    wb_link_send_with_extensions(link, message, NULL);
}

const wb_wire_extensions *wb_link_extensions(const wb_link_t *link) {
    return &link->extensions;
}

void wb_link_set_format_version(wb_link_t *link, unsigned version) {
    link->format_version = version;
}

unsigned wb_link_format_version(const wb_link_t *link) {
    return link->format_version;
}

void wb_link_send_with_extensions(wb_link_t *link, const wb_wire_message *message,
                                  const wb_wire_extensions *extensions) {
    wb_error_t error;
    const wb_wire_extensions *readable = link->format_version >= 2 ? extensions : NULL;
    if (wb_message_encode_with_extensions(message, readable, link->unsent, &error) != APR_SUCCESS) {
        wb_log_warning(WB_LOG_LINK, "Message not sent: %s.", error.message);
        return;
    }
    message_queued(link);
}

void wb_link_send_frame(wb_link_t *link, const GByteArray *frame) {
    g_byte_array_append(link->unsent, frame->data, frame->len);
    message_queued(link);
}

size_t wb_link_unsent(const wb_link_t *link) {
    return link->unsent->len;
}

size_t wb_link_incomplete(const wb_link_t *link) {
    return link->received->len;
}

/* Delivers the frame at offset `used` of the received bytes and advances `used`. Returns FALSE when
 * there is no complete frame; sets `malformed` for an invalid one. */
static gboolean frame_deliver(wb_link_t *link, guint *used, gboolean *malformed) {
    guint left = link->received->len - *used;
    uint32_t head;
    if (left < sizeof(head))
        return FALSE;
    memcpy(&head, link->received->data + *used, sizeof(head));
    uint32_t length = ntohl(head);
    if (length > WB_MESSAGE_MAX_BYTES) {
        *malformed = TRUE;
        return FALSE;
    }
    if (left < sizeof(head) + length)
        return FALSE;
    wb_wire_message message;
    wb_wire_extensions extensions;
    wb_error_t error;
    const void *data = link->received->data + *used + sizeof(head);
    if (wb_message_is_unknown(data, length)) {
        *used += (guint)sizeof(head) + length;
        link->counters->messages_unknown++;
        return TRUE;
    }
    if (wb_message_decode_with_extensions(data, length, &message, &extensions, &error) !=
        APR_SUCCESS) {
        wb_log_warning(WB_LOG_LINK, "Malformed message from a peer: %s.", error.message);
        *malformed = TRUE;
        return FALSE;
    }
    *used += (guint)sizeof(head) + length;
    link->counters->messages_received++;
    link->extensions = extensions;
    link->events.on_message(link, &message, link->events.context);
    wb_message_clear(&message);
    wb_extensions_clear(&link->extensions);
    return TRUE;
}

/* Delivers all complete frames. Returns NULL, or the reason for closing the link. */
static const char *frames_deliver(wb_link_t *link) {
    guint used = 0;
    gboolean malformed = FALSE;
    while (link->close_timer == NULL && frame_deliver(link, &used, &malformed))
        continue;
    if (used > 0)
        g_byte_array_remove_range(link->received, 0, used);
    return malformed ? "the peer sent no valid message" : NULL;
}

/* Returns NULL, or the reason for closing the link. */
static const char *link_read(wb_link_t *link) {
    g_autofree char *chunk = g_malloc(READ_CHUNK_BYTES);
    apr_size_t length = READ_CHUNK_BYTES;
    apr_status_t status = bytes_receive(link, chunk, &length);
    while (length > 0) {
        link->counters->bytes_received += (int64_t)length;
        g_byte_array_append(link->received, (const guint8 *)chunk, (guint)length);
        const char *reason = frames_deliver(link);
        /* The TLS session may hold bytes for which the socket doesn't become readable again, so it
         * is read until it is empty. */
        if (reason != NULL || link->tls == NULL || link->close_timer != NULL)
            return reason;
        length = READ_CHUNK_BYTES;
        status = bytes_receive(link, chunk, &length);
    }
    if (APR_STATUS_IS_EAGAIN(status))
        return NULL;
    return APR_STATUS_IS_EOF(status) ? "the peer closed the connection" : "receiving failed";
}

static void link_ready(int16_t events, void *context) {
    wb_link_t *link = context;
    if (events & APR_POLLIN) {
        const char *reason = link_read(link);
        if (reason != NULL) {
            link_fail(link, reason);
            return;
        }
    } else if (events & (APR_POLLERR | APR_POLLHUP)) {
        link_fail(link, "connection error");
        return;
    }
    if ((events & APR_POLLOUT) && !link_flush(link))
        link_fail(link, "sending failed");
}

/* The connection is established, and so is the TLS session if the link uses TLS. */
static void link_opened(wb_link_t *link) {
    link->open = TRUE;
    if (link->connect_timer != NULL) {
        wb_timer_cancel(link->connect_timer);
        link->connect_timer = NULL;
    }
    link->watch = wb_loop_watch(link->loop, link->socket, APR_POLLIN, link_ready, link);
    if (link->events.on_open != NULL)
        link->events.on_open(link, link->events.context);
    if (!link_flush(link))
        wb_link_close_later(link, "sending failed");
}

static void handshake_ready(int16_t events, void *context) {
    (void)events;
    wb_link_t *link = context;
    switch (wb_tls_session_handshake(link->tls)) {
    case WB_TLS_DONE:
        wb_watch_remove(link->watch);
        link->watch = NULL;
        link_opened(link);
        break;
    case WB_TLS_WANTS_READ:
        wb_watch_set_events(link->watch, APR_POLLIN);
        break;
    case WB_TLS_WANTS_WRITE:
        wb_watch_set_events(link->watch, APR_POLLOUT);
        break;
    default:
        wb_log_warning(WB_LOG_LINK, "TLS handshake failed: %s.", wb_tls_session_error(link->tls));
        link_fail(link, "the TLS handshake failed");
    }
}

static void connect_timed_out(void *context) {
    wb_link_t *link = context;
    link->connect_timer = NULL;
    link_fail(link, "connecting timed out");
}

/* The TCP connection is established; starts the TLS handshake if the link uses TLS. */
static void link_connected(wb_link_t *link, gboolean is_server) {
    apr_socket_opt_set(link->socket, APR_TCP_NODELAY, 1);
    wb_socket_set_silence_limit(link->socket, SILENCE_LIMIT_MS);
    if (link->events.tls == NULL) {
        link_opened(link);
        return;
    }
    link->tls = wb_tls_session_create(link->events.tls, link->socket, is_server);
    if (link->connect_timer == NULL)
        link->connect_timer =
            wb_loop_after(link->loop, CONNECT_TIMEOUT_MS, connect_timed_out, link);
    link->watch =
        wb_loop_watch(link->loop, link->socket, APR_POLLIN | APR_POLLOUT, handshake_ready, link);
}

static wb_link_t *link_create(wb_loop_t *loop, apr_pool_t *pool, apr_socket_t *socket,
                              const wb_link_events_t *events, wb_link_counters_t *counters) {
    wb_link_t *link = g_new0(wb_link_t, 1);
    link->loop = loop;
    link->pool = pool;
    link->socket = socket;
    link->events = *events;
    link->counters = counters;
    link->format_version = 1;
    link->received = g_byte_array_new();
    link->unsent = g_byte_array_new();
    apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
    apr_socket_timeout_set(socket, 0);
    return link;
}

static void connect_ready(int16_t events, void *context) {
    wb_link_t *link = context;
    wb_watch_remove(link->watch);
    link->watch = NULL;
    if (wb_socket_connect_failure(link->socket, events) == 0)
        link_connected(link, FALSE);
    else
        link_fail(link, "connecting failed");
}

apr_status_t wb_link_connect(wb_loop_t *loop, const char *address, const wb_link_events_t *events,
                             wb_link_counters_t *counters, wb_link_t **link, wb_error_t *error) {
    apr_pool_t *pool;
    apr_pool_create(&pool, NULL);
    apr_sockaddr_t *target;
    apr_socket_t *socket;
    apr_status_t status = wb_socket_open(address, pool, &target, &socket, error);
    if (status != APR_SUCCESS) {
        apr_pool_destroy(pool);
        return status;
    }
    wb_link_t *created = link_create(loop, pool, socket, events, counters);
    wb_socket_bind_host(socket, events->bind_host, pool);
    apr_socket_connect(socket, target);
    created->watch = wb_loop_watch(loop, socket, APR_POLLOUT, connect_ready, created);
    created->connect_timer = wb_loop_after(loop, CONNECT_TIMEOUT_MS, connect_timed_out, created);
    *link = created;
    return APR_SUCCESS;
}

static void connection_accepted(apr_socket_t *socket, apr_pool_t *pool, void *context) {
    wb_link_listener_t *listener = context;
    link_connected(link_create(listener->loop, pool, socket, &listener->events, listener->counters),
                   TRUE);
}

apr_status_t wb_link_listen(wb_loop_t *loop, const char *address, const wb_link_events_t *events,
                            wb_link_counters_t *counters, wb_link_listener_t **listener,
                            wb_error_t *error) {
    wb_link_listener_t *created = g_new0(wb_link_listener_t, 1);
    created->loop = loop;
    created->events = *events;
    created->counters = counters;
    apr_status_t status =
        wb_acceptor_open(loop, address, connection_accepted, created, &created->acceptor, error);
    if (status != APR_SUCCESS) {
        g_free(created);
        return status;
    }
    *listener = created;
    return APR_SUCCESS;
}

unsigned wb_link_listener_port(const wb_link_listener_t *listener) {
    return wb_acceptor_port(listener->acceptor);
}

void wb_link_listener_close(wb_link_listener_t *listener) {
    wb_acceptor_close(listener->acceptor);
    g_free(listener);
}
