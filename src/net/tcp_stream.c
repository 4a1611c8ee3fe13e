/* TCP connections on a loop. A stream that is closed inside one of its callbacks is freed when the
 * outermost callback returns. */
#include "wickbridge/tcp_stream.h"

#include "net/acceptor.h"
#include "net/socket.h"

#include <apr_pools.h>
#include <apr_portable.h>
#include <errno.h>
#include <linux/sockios.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define READ_CHUNK_BYTES 16384
#define READS_PER_WAKEUP 4
#define LINGER_MS 1000

struct wb_tcp_listener_t {
    wb_loop_t *loop;
    wb_acceptor_t *acceptor;
    int64_t silence_limit_ms;
    wb_tcp_accept_fn on_accept;
    void *context;
};

struct wb_tcp_stream_t {
    wb_loop_t *loop;
    apr_pool_t *pool;
    apr_socket_t *socket;
    wb_watch_t *watch;
    wb_timer_t *timer; /* connect timeout, deferred error or linger timeout */
    const wb_tcp_events_t *events;
    void *context;
    GByteArray *unsent;
    gboolean open;
    gboolean refused; /* connect() itself returned ECONNREFUSED */
    gboolean reading;
    gboolean finishing;            /* close once all output is sent */
    wb_tcp_finishing_t *group;     /* of the owner, while it is finishing; or NULL */
    wb_list_item_t finishing_item; /* in one of their lists */
    gboolean lingering;            /* all output is sent; waits for the peer's close */
    gboolean late_input;           /* input came after the end of the output */
    gboolean ended;                /* on_end was called */
    gboolean closed;               /* to be freed when no callback runs */
    int callbacks;                 /* depth of running callbacks */
};

static const wb_tcp_events_t no_events = {NULL, NULL, NULL, NULL};

static void stream_free(wb_tcp_stream_t *stream) {
    g_byte_array_unref(stream->unsent);
    apr_pool_destroy(stream->pool);
    g_free(stream);
}

static void timer_clear(wb_tcp_stream_t *stream) {
    if (stream->timer == NULL)
        return;
    wb_timer_cancel(stream->timer);
    stream->timer = NULL;
}

static wb_list_t *finishing_list(const wb_tcp_stream_t *stream) {
    return stream->lingering ? &stream->group->lingering : &stream->group->unsent;
}

static void finishing_leave(wb_tcp_stream_t *stream) {
    if (stream->group == NULL)
        return;
    wb_list_remove(finishing_list(stream), &stream->finishing_item);
    stream->group = NULL;
}

void wb_tcp_stream_close(wb_tcp_stream_t *stream) {
    if (stream->closed)
        return;
    stream->closed = TRUE;
    finishing_leave(stream);
    timer_clear(stream);
    if (stream->watch != NULL)
        wb_watch_remove(stream->watch);
    apr_socket_close(stream->socket);
    if (stream->callbacks == 0)
        stream_free(stream);
}

void wb_tcp_stream_reset(wb_tcp_stream_t *stream) {
    struct linger immediate = {1, 0};
    int descriptor;
    apr_os_sock_get(&descriptor, stream->socket);
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
    wb_tcp_stream_close(stream);
}

/* Every callback runs between callback_enter and callback_leave. callback_leave returns FALSE when
 * the stream was closed; it may have been freed. */
static void callback_enter(wb_tcp_stream_t *stream) {
    stream->callbacks++;
}

static gboolean callback_leave(wb_tcp_stream_t *stream) {
    stream->callbacks--;
    if (!stream->closed)
        return TRUE;
    if (stream->callbacks == 0)
        stream_free(stream);
    return FALSE;
}

static void stream_end(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how) {
    if (stream->ended)
        return;
    stream->ended = TRUE;
    if (stream->events->on_end == NULL) {
        wb_tcp_stream_close(stream);
        return;
    }
    wb_watch_set_events(stream->watch, 0);
    callback_enter(stream);
    stream->events->on_end(stream, how, stream->context);
    callback_leave(stream);
}

static void watch_update(wb_tcp_stream_t *stream) {
    if (!stream->open || stream->closed || stream->ended)
        return;
    int16_t events = 0;
    if (stream->reading)
        events |= APR_POLLIN;
    if (stream->unsent->len > 0)
        events |= APR_POLLOUT;
    wb_watch_set_events(stream->watch, events);
}

static void linger_timed_out(void *context) {
    wb_tcp_stream_t *stream = context;
    stream->timer = NULL;
    wb_tcp_stream_close(stream);
}

/* Shuts down sending after all output is sent, and waits up to LINGER_MS for the peer's close:
 * closing at once could reset the connection and lose output. */
static void linger_begin(wb_tcp_stream_t *stream) {
    if (stream->group != NULL) {
        wb_list_remove(&stream->group->unsent, &stream->finishing_item);
        wb_list_add_tail(&stream->group->lingering, &stream->finishing_item);
    }
    stream->lingering = TRUE;
    apr_socket_shutdown(stream->socket, APR_SHUTDOWN_WRITE);
    stream->reading = TRUE;
    watch_update(stream);
    timer_clear(stream);
    stream->timer = wb_loop_after(stream->loop, LINGER_MS, linger_timed_out, stream);
}

/* Sends as much as the socket accepts. Returns FALSE when sending failed. */
static gboolean output_flush(wb_tcp_stream_t *stream) {
    guint sent = 0;
    while (sent < stream->unsent->len) {
        apr_size_t length = stream->unsent->len - sent;
        apr_status_t status =
            apr_socket_send(stream->socket, (const char *)stream->unsent->data + sent, &length);
        sent += (guint)length;
        if (APR_STATUS_IS_EAGAIN(status))
            break;
        if (status != APR_SUCCESS)
            return FALSE;
    }
    if (sent > 0)
        g_byte_array_remove_range(stream->unsent, 0, sent);
    return TRUE;
}

static void send_failed_later(void *context) {
    wb_tcp_stream_t *stream = context;
    stream->timer = NULL;
    stream_end(stream, WB_TCP_END_RESET);
}

void wb_tcp_stream_write(wb_tcp_stream_t *stream, const void *data, size_t length) {
    if (stream->closed || stream->ended || stream->finishing)
        return;
    g_byte_array_append(stream->unsent, data, (guint)length);
    if (!stream->open)
        return;
    if (!output_flush(stream)) {
        /* Reports the error from the loop, as on_end must not run inside the owner's call. */
        g_byte_array_set_size(stream->unsent, 0);
        timer_clear(stream);
        stream->timer = wb_loop_after(stream->loop, 0, send_failed_later, stream);
        return;
    }
    watch_update(stream);
}

size_t wb_tcp_stream_unsent(const wb_tcp_stream_t *stream) {
    return stream->unsent->len;
}

gboolean wb_tcp_stream_is_open(const wb_tcp_stream_t *stream) {
    return stream->open && !stream->ended && !stream->closed;
}

gboolean wb_tcp_stream_has_unacknowledged(const wb_tcp_stream_t *stream) {
    int descriptor;
    int bytes = 0;
    apr_os_sock_get(&descriptor, stream->socket);
    return ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void wb_tcp_stream_set_reading(wb_tcp_stream_t *stream, gboolean reading) {
    if (stream->reading == reading)
        return;
    stream->reading = reading;
    watch_update(stream);
}

void wb_tcp_stream_set_silence_limit(wb_tcp_stream_t *stream, int64_t limit_ms) {
    wb_socket_set_silence_limit(stream->socket, limit_ms);
}

void wb_tcp_stream_set_events(wb_tcp_stream_t *stream, const wb_tcp_events_t *events,
                              void *context) {
    stream->events = events;
    stream->context = context;
}

void wb_tcp_stream_finish(wb_tcp_stream_t *stream) {
    wb_tcp_stream_finish_listed(stream, NULL);
}

void wb_tcp_finishing_init(wb_tcp_finishing_t *finishing) {
    wb_list_init(&finishing->unsent);
    wb_list_init(&finishing->lingering);
}

size_t wb_tcp_finishing_unsent(const wb_tcp_finishing_t *finishing) {
    size_t bytes = 0;
    WB_LIST_EACH(item, &finishing->unsent) {
        bytes += WB_LIST_OF(item, wb_tcp_stream_t, finishing_item)->unsent->len;
    }
    return bytes;
}

static void finishing_list_clear(wb_list_t *list) {
    WB_LIST_EACH_SAFE(item, list) {
        finishing_leave(WB_LIST_OF(item, wb_tcp_stream_t, finishing_item));
    }
}

void wb_tcp_finishing_clear(wb_tcp_finishing_t *finishing) {
    finishing_list_clear(&finishing->unsent);
    finishing_list_clear(&finishing->lingering);
}

void wb_tcp_stream_finish_listed(wb_tcp_stream_t *stream, wb_tcp_finishing_t *finishing) {
    if (stream->closed || stream->finishing)
        return;
    if (stream->ended || !stream->open) {
        wb_tcp_stream_close(stream);
        return;
    }
    stream->events = &no_events;
    stream->finishing = TRUE;
    stream->group = finishing;
    if (finishing != NULL)
        wb_list_add_tail(&finishing->unsent, &stream->finishing_item);
    if (stream->unsent->len == 0)
        linger_begin(stream);
    else
        watch_update(stream);
}

/* Counts, once a stream, input that nobody will answer. */
static void late_input_note(wb_tcp_stream_t *stream) {
    if (!stream->lingering || stream->late_input)
        return;
    stream->late_input = TRUE;
    if (stream->group != NULL)
        stream->group->late_inputs++;
}

/* Reads available input. Returns FALSE when the stream was closed or has ended. */
static gboolean input_read(wb_tcp_stream_t *stream) {
    char chunk[READ_CHUNK_BYTES];
    for (int i = 0; i < READS_PER_WAKEUP && stream->reading; i++) {
        apr_size_t length = sizeof(chunk);
        apr_status_t status = apr_socket_recv(stream->socket, chunk, &length);
        if (length > 0)
            late_input_note(stream);
        if (length > 0 && stream->events->on_data != NULL) {
            callback_enter(stream);
            stream->events->on_data(stream, chunk, length, stream->context);
            if (!callback_leave(stream))
                return FALSE;
        }
        if (status == APR_SUCCESS) {
            if (length < sizeof(chunk))
                return TRUE;
            continue;
        }
        if (APR_STATUS_IS_EAGAIN(status))
            return TRUE;
        stream_end(stream, APR_STATUS_IS_EOF(status) ? WB_TCP_END_CLOSED : WB_TCP_END_RESET);
        return FALSE;
    }
    return TRUE;
}

void wb_tcp_stream_read_now(wb_tcp_stream_t *stream) {
    if (!wb_tcp_stream_is_open(stream) || !stream->reading)
        return;
    callback_enter(stream);
    input_read(stream);
    callback_leave(stream);
}

static void output_ready(wb_tcp_stream_t *stream) {
    if (!output_flush(stream)) {
        stream_end(stream, WB_TCP_END_RESET);
        return;
    }
    watch_update(stream);
    if (stream->unsent->len > 0)
        return;
    if (stream->finishing) {
        linger_begin(stream);
        return;
    }
    if (stream->events->on_drained != NULL) {
        callback_enter(stream);
        stream->events->on_drained(stream, stream->context);
        callback_leave(stream);
    }
}

static void stream_ready(int16_t events, void *context) {
    wb_tcp_stream_t *stream = context;
    if (stream->ended)
        return;
    if (events & (APR_POLLIN | APR_POLLHUP | APR_POLLERR)) {
        gboolean was_reading = stream->reading;
        if (events & (APR_POLLHUP | APR_POLLERR))
            stream->reading = TRUE;
        callback_enter(stream);
        gboolean still_open = input_read(stream);
        if (!callback_leave(stream) || !still_open)
            return;
        if (stream->reading && !was_reading)
            stream->reading = FALSE;
    }
    if ((events & APR_POLLOUT) && stream->unsent->len > 0)
        output_ready(stream);
}

static wb_tcp_stream_t *stream_create(wb_loop_t *loop, apr_pool_t *pool, apr_socket_t *socket,
                                      int64_t silence_limit_ms) {
    wb_tcp_stream_t *stream = g_new0(wb_tcp_stream_t, 1);
    stream->loop = loop;
    stream->pool = pool;
    stream->socket = socket;
    stream->events = &no_events;
    stream->unsent = g_byte_array_new();
    stream->reading = TRUE;
    apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
    apr_socket_timeout_set(socket, 0);
    apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
    wb_socket_set_silence_limit(socket, silence_limit_ms);
    return stream;
}

static void connect_timed_out(void *context) {
    wb_tcp_stream_t *stream = context;
    stream->timer = NULL;
    stream_end(stream, WB_TCP_END_UNREACHABLE);
}

static void connect_ready(int16_t events, void *context) {
    wb_tcp_stream_t *stream = context;
    timer_clear(stream);
    int failure = wb_socket_connect_failure(stream->socket, events);
    if (failure != 0) {
        gboolean refused = stream->refused || failure == ECONNREFUSED;
        stream_end(stream, refused ? WB_TCP_END_REFUSED : WB_TCP_END_UNREACHABLE);
        return;
    }
    wb_watch_remove(stream->watch);
    stream->open = TRUE;
    stream->watch = wb_loop_watch(stream->loop, stream->socket, APR_POLLIN, stream_ready, stream);
    callback_enter(stream);
    if (stream->events->on_open != NULL)
        stream->events->on_open(stream, stream->context);
    if (!callback_leave(stream))
        return;
    if (stream->unsent->len > 0)
        output_ready(stream);
}

apr_status_t wb_tcp_stream_connect(wb_loop_t *loop, const char *address,
                                   const wb_tcp_connect_options_t *options,
                                   const wb_tcp_events_t *events, void *context,
                                   wb_tcp_stream_t **stream, wb_error_t *error) {
    apr_pool_t *pool;
    apr_pool_create(&pool, NULL);
    apr_sockaddr_t *target;
    apr_socket_t *socket;
    apr_status_t status = wb_socket_open(address, pool, &target, &socket, error);
    if (status != APR_SUCCESS) {
        apr_pool_destroy(pool);
        return status;
    }
    wb_tcp_stream_t *created = stream_create(loop, pool, socket, options->silence_limit_ms);
    wb_socket_bind_host(socket, options->bind_host, pool);
    wb_tcp_stream_set_events(created, events, context);
    created->refused = APR_STATUS_IS_ECONNREFUSED(apr_socket_connect(socket, target));
    created->watch = wb_loop_watch(loop, socket, APR_POLLOUT, connect_ready, created);
    created->timer = wb_loop_after(loop, options->connect_timeout_ms, connect_timed_out, created);
    *stream = created;
    return APR_SUCCESS;
}

static void connection_accepted(apr_socket_t *socket, apr_pool_t *pool, void *context) {
    wb_tcp_listener_t *listener = context;
    wb_tcp_stream_t *stream =
        stream_create(listener->loop, pool, socket, listener->silence_limit_ms);
    stream->open = TRUE;
    stream->watch = wb_loop_watch(listener->loop, socket, APR_POLLIN, stream_ready, stream);
    listener->on_accept(stream, listener->context);
}

apr_status_t wb_tcp_listen(wb_loop_t *loop, const char *address, int64_t silence_limit_ms,
                           wb_tcp_accept_fn on_accept, void *context, wb_tcp_listener_t **listener,
                           wb_error_t *error) {
    wb_tcp_listener_t *created = g_new0(wb_tcp_listener_t, 1);
    created->loop = loop;
    created->silence_limit_ms = silence_limit_ms;
    created->on_accept = on_accept;
    created->context = context;
    apr_status_t status =
        wb_acceptor_open(loop, address, connection_accepted, created, &created->acceptor, error);
    if (status != APR_SUCCESS) {
        g_free(created);
        return status;
    }
    *listener = created;
    return APR_SUCCESS;
}

unsigned wb_tcp_listener_port(const wb_tcp_listener_t *listener) {
    return wb_acceptor_port(listener->acceptor);
}

void wb_tcp_listener_close(wb_tcp_listener_t *listener) {
    wb_acceptor_close(listener->acceptor);
    g_free(listener);
}
