/* HTTP/1.1 server on a loop: parses requests, frames responses, and closes connections that are
 * idle or too slow. */
#include "wickbridge/http_listener.h"

#include "wickbridge/tcp_stream.h"

#include <string.h>

#define SWEEP_INTERVAL_MS 200
#define SILENCE_LIMIT_MS 8000
#define PENDING_LIMIT_BYTES (256 * 1024)
#define HEAD_TEXT_BYTES 256

struct wb_http_listener_t {
    wb_loop_t *loop;
    wb_tcp_listener_t *listener;
    wb_timer_t *sweep;
    wb_http_handler_t handler;
    wb_http_limits_t limits;
    int64_t noticed_idle_timeout_ms; /* the higher one before `limits` */
    int64_t notice_until_ms;         /* until when waits begin by that */
    GHashTable *connections;         /* set */
    wb_tcp_finishing_t finishing;    /* streams of ended connections */
    wb_http_listener_counts_t counts;
    gboolean draining;
};

struct wb_http_connection_t {
    wb_http_listener_t *listener;
    wb_tcp_stream_t *stream;
    wb_http_reader_t *reader;
    GByteArray *pending; /* received and not yet parsed */
    GByteArray *body;
    void *request;
    gboolean running; /* the handler has a request that isn't answered yet */
    gboolean keep_alive;
    gboolean without_chunks; /* HTTP/1.0 client: the close ends a streamed response */
    gboolean is_head;        /* the running request's method is HEAD */
    gboolean advancing;      /* connection_advance runs, and frees the connection if it is closed */
    gboolean closed;
    size_t body_limit_bytes; /* of the current request */
    unsigned refusal;        /* status to refuse the current request with; 0: none */
    int64_t began_ms;        /* first byte of the current request; 0: none yet */
    int64_t active_ms;       /* last input, or end of the last request */
    int64_t head_timeout_ms; /* the highest since the current request began */
    int64_t idle_timeout_ms; /* the highest since the current wait for input began */
};

static void connection_advance(wb_http_connection_t *connection);

const char *wb_http_status_reason(unsigned status) {
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

/* Frees the connection; while connection_advance runs, leaves that to connection_advance. */
static void connection_free(wb_http_connection_t *connection) {
    g_hash_table_remove(connection->listener->connections, connection);
    connection->closed = TRUE;
    if (connection->advancing)
        return;
    wb_http_reader_free(connection->reader);
    g_byte_array_unref(connection->pending);
    if (connection->body != NULL)
        g_byte_array_unref(connection->body);
    g_free(connection);
}

static void connection_finish(wb_http_connection_t *connection) {
    wb_tcp_stream_finish_listed(connection->stream, &connection->listener->finishing);
    connection_free(connection);
}

static void output_write(wb_http_connection_t *connection, const GString *text) {
    wb_tcp_stream_write(connection->stream, text->str, text->len);
}

static GString *head_text(const wb_http_connection_t *connection, unsigned status,
                          const char *reason, const char *headers) {
    GString *text = g_string_sized_new(HEAD_TEXT_BYTES);
    g_string_printf(text, "HTTP/1.1 %u %s\r\n%s", status, reason, headers);
    if (!connection->keep_alive)
        g_string_append(text, "Connection: close\r\n");
    return text;
}

static gboolean status_has_body(const wb_http_connection_t *connection, unsigned status) {
    return !connection->is_head && status != 204 && status != 304;
}

/* Idle timeout of waits that begin now. */
static int64_t idle_timeout_now_ms(const wb_http_listener_t *listener) {
    int64_t idle_ms = listener->limits.idle_timeout_ms;
    return wb_clock_ms() < listener->notice_until_ms
               ? MAX(idle_ms, listener->noticed_idle_timeout_ms)
               : idle_ms;
}

/* Begins a wait for input. A limit that is lowered later doesn't apply to it, as the client may
 * have begun to rest by the higher one. */
static void wait_begin(wb_http_connection_t *connection) {
    connection->active_ms = wb_clock_ms();
    connection->idle_timeout_ms = idle_timeout_now_ms(connection->listener);
}

/* Ends the answered request: closes the connection or goes on with the next request. */
static void request_finish(wb_http_connection_t *connection) {
    connection->running = FALSE;
    connection->request = NULL;
    wait_begin(connection);
    if (!connection->keep_alive) {
        connection_finish(connection);
        return;
    }
    wb_http_reader_next(connection->reader);
    wb_http_reader_set_head_limit(connection->reader, connection->listener->limits.head_bytes);
    connection->began_ms = 0;
    connection->refusal = 0;
    if (!connection->advancing)
        connection_advance(connection);
}

void wb_http_connection_reply(wb_http_connection_t *connection, unsigned status, const char *reason,
                              const char *headers, const void *body, size_t length) {
    if (connection->listener->draining)
        connection->keep_alive = FALSE;
    g_autoptr(GString) text = head_text(connection, status, reason, headers);
    if (status != 204)
        g_string_append_printf(text, "Content-Length: %zu\r\n", length);
    g_string_append(text, "\r\n");
    if (status_has_body(connection, status) && length > 0)
        g_string_append_len(text, body, (gssize)length);
    output_write(connection, text);
    request_finish(connection);
}

void wb_http_connection_end_by_close(wb_http_connection_t *connection) {
    connection->without_chunks = TRUE;
    connection->keep_alive = FALSE;
}

void wb_http_connection_stream_begin(wb_http_connection_t *connection, unsigned status,
                                     const char *reason, const char *headers) {
    if (connection->listener->draining)
        connection->keep_alive = FALSE;
    g_autoptr(GString) text = head_text(connection, status, reason, headers);
    g_string_append(text,
                    connection->without_chunks ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n");
    output_write(connection, text);
}

void wb_http_connection_stream_write(wb_http_connection_t *connection, const void *data,
                                     size_t length) {
    if (length == 0)
        return;
    if (connection->without_chunks) {
        wb_tcp_stream_write(connection->stream, data, length);
        return;
    }
    g_autoptr(GString) text = g_string_sized_new(length + 16);
    g_string_printf(text, "%zx\r\n", length);
    g_string_append_len(text, data, (gssize)length);
    g_string_append(text, "\r\n");
    output_write(connection, text);
}

void wb_http_connection_stream_end(wb_http_connection_t *connection) {
    if (!connection->without_chunks)
        wb_tcp_stream_write(connection->stream, "0\r\n\r\n", 5);
    request_finish(connection);
}

void wb_http_connection_abort(wb_http_connection_t *connection) {
    connection->running = FALSE;
    if (connection->without_chunks)
        wb_tcp_stream_reset(connection->stream); /* a close would mark the response complete */
    else
        wb_tcp_stream_close(connection->stream);
    connection_free(connection);
}

size_t wb_http_connection_unsent(const wb_http_connection_t *connection) {
    return wb_tcp_stream_unsent(connection->stream);
}

int64_t wb_http_connection_request_began_ms(const wb_http_connection_t *connection) {
    return connection->began_ms;
}

void wb_http_connection_set_request(wb_http_connection_t *connection, void *request) {
    connection->request = request;
}

/* Replies with an error status and closes the connection; the rest of its input is discarded. */
static void connection_refuse(wb_http_connection_t *connection, unsigned status) {
    connection->keep_alive = FALSE;
    connection->running = TRUE;
    wb_http_connection_reply(connection, status, wb_http_status_reason(status), "", NULL, 0);
}

static void reader_head(wb_http_reader_t *reader, const wb_http_head_t *head, void *context) {
    (void)reader;
    wb_http_connection_t *connection = context;
    connection->without_chunks = head->minor_version == 0;
    connection->keep_alive = head->keep_alive && !connection->without_chunks;
    connection->is_head = strcmp(head->method, "HEAD") == 0;
    connection->body_limit_bytes = connection->listener->limits.body_bytes;
    if (head->has_length && head->content_length > connection->body_limit_bytes)
        connection->refusal = 413;
    connection->body = g_byte_array_new();
    const char *expect = wb_http_head_get(head, "Expect");
    if (connection->refusal == 0 && expect != NULL &&
        g_ascii_strcasecmp(expect, "100-continue") == 0)
        wb_tcp_stream_write(connection->stream, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

static void reader_body(wb_http_reader_t *reader, const char *data, size_t length, void *context) {
    (void)reader;
    wb_http_connection_t *connection = context;
    if (connection->body->len + length > connection->body_limit_bytes)
        connection->refusal = 413;
    else
        g_byte_array_append(connection->body, (const guint8 *)data, (guint)length);
}

static void reader_complete(wb_http_reader_t *reader, void *context) {
    wb_http_connection_t *connection = context;
    if (connection->refusal != 0)
        return;
    wb_http_head_t *head = wb_http_reader_take_head(reader);
    GByteArray *body = connection->body;
    connection->body = NULL;
    connection->running = TRUE;
    connection->listener->handler.on_request(connection, head, body,
                                             connection->listener->handler.context);
}

static const wb_http_reader_events_t reader_events = {reader_head, reader_body, reader_complete};

static unsigned failure_status(const wb_http_connection_t *connection) {
    switch (wb_http_reader_error(connection->reader)) {
    case WB_HTTP_PARSE_HEAD_TOO_LARGE:
        return 431;
    case WB_HTTP_PARSE_SYNTAX:
        return 400;
    default:
        return connection->refusal;
    }
}

/* Reads on unless much is waiting behind a running request. */
static void reading_update(wb_http_connection_t *connection) {
    wb_tcp_stream_set_reading(connection->stream, connection->pending->len <= PENDING_LIMIT_BYTES);
}

/* Parses pending bytes until a request runs or no bytes are left. */
static void connection_advance(wb_http_connection_t *connection) {
    connection->advancing = TRUE;
    while (!connection->closed && !connection->running && connection->pending->len > 0) {
        if (connection->began_ms == 0) {
            connection->began_ms = wb_clock_ms();
            connection->head_timeout_ms = connection->listener->limits.head_timeout_ms;
        }
        /* Takes the bytes out first: wb_http_reader_feed may run a request that is answered at
         * once, and `pending` may be used again meanwhile. */
        GByteArray *input = connection->pending;
        connection->pending = g_byte_array_new();
        size_t used =
            wb_http_reader_feed(connection->reader, (const char *)input->data, input->len);
        g_byte_array_append(connection->pending, input->data + used, input->len - (guint)used);
        g_byte_array_unref(input);
        if (connection->closed || connection->running)
            break;
        unsigned status = failure_status(connection);
        if (status != 0) {
            connection_refuse(connection, status);
            break;
        }
    }
    connection->advancing = FALSE;
    if (connection->closed)
        connection_free(connection);
    else
        reading_update(connection);
}

static void stream_data(wb_tcp_stream_t *stream, const char *data, size_t length, void *context) {
    (void)stream;
    wb_http_connection_t *connection = context;
    wait_begin(connection);
    g_byte_array_append(connection->pending, (const guint8 *)data, (guint)length);
    if (connection->running)
        reading_update(connection);
    else
        connection_advance(connection);
}

static void stream_end(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how, void *context) {
    (void)how;
    wb_http_connection_t *connection = context;
    wb_http_listener_t *listener = connection->listener;
    if (connection->running && listener->handler.on_client_closed != NULL)
        listener->handler.on_client_closed(connection, connection->request,
                                           listener->handler.context);
    wb_tcp_stream_close(stream);
    connection_free(connection);
}

static void stream_drained(wb_tcp_stream_t *stream, void *context) {
    (void)stream;
    wb_http_connection_t *connection = context;
    wb_http_listener_t *listener = connection->listener;
    if (!connection->running)
        wait_begin(connection);
    if (connection->running && listener->handler.on_drained != NULL)
        listener->handler.on_drained(connection, connection->request, listener->handler.context);
}

static const wb_tcp_events_t stream_events = {NULL, stream_data, stream_end, stream_drained};

static void connection_accepted(wb_tcp_stream_t *stream, void *context) {
    wb_http_listener_t *listener = context;
    wb_http_connection_t *connection = g_new0(wb_http_connection_t, 1);
    connection->listener = listener;
    connection->stream = stream;
    connection->reader =
        wb_http_reader_create(TRUE, listener->limits.head_bytes, &reader_events, connection);
    connection->pending = g_byte_array_new();
    wait_begin(connection);
    wb_tcp_stream_set_events(stream, &stream_events, connection);
    g_hash_table_add(listener->connections, connection);
}

/* What a connection has waited for too long. */
typedef enum wb_overdue_t {
    WB_OVERDUE_NOTHING,
    WB_OVERDUE_HEAD,
    WB_OVERDUE_INPUT /* between requests or within a body */
} wb_overdue_t;

static wb_overdue_t connection_overdue(const wb_http_connection_t *connection, int64_t now_ms) {
    if (connection->running || wb_tcp_stream_unsent(connection->stream) > 0)
        return WB_OVERDUE_NOTHING;
    gboolean in_head = connection->began_ms != 0 && connection->body == NULL;
    if (in_head && now_ms - connection->began_ms > connection->head_timeout_ms)
        return WB_OVERDUE_HEAD;
    return now_ms - connection->active_ms > connection->idle_timeout_ms ? WB_OVERDUE_INPUT
                                                                        : WB_OVERDUE_NOTHING;
}

static gboolean connection_rests(const wb_http_connection_t *connection) {
    return !connection->running && connection->began_ms == 0;
}

/* Reads what has arrived on a connection. Returns FALSE when that has ended the connection. */
static gboolean connection_read(wb_http_listener_t *listener, wb_http_connection_t *connection) {
    wb_tcp_stream_read_now(connection->stream);
    return g_hash_table_contains(listener->connections, connection);
}

/* Refuses a request whose head arrives too slowly, and closes an idle connection. */
static void connection_check(wb_http_listener_t *listener, wb_http_connection_t *connection) {
    if (connection_overdue(connection, wb_clock_ms()) == WB_OVERDUE_NOTHING ||
        !connection_read(listener, connection))
        return;
    if (wb_tcp_stream_has_unacknowledged(connection->stream)) {
        wait_begin(connection); /* its client still reads the last answer */
        return;
    }
    switch (connection_overdue(connection, wb_clock_ms())) {
    case WB_OVERDUE_NOTHING:
        listener->counts.idle_reads++;
        break;
    case WB_OVERDUE_HEAD:
        connection_refuse(connection, 408);
        break;
    case WB_OVERDUE_INPUT:
        listener->counts.idle_closes++;
        connection_finish(connection);
        break;
    }
}

/* Calls a function for each connection that is still open when its turn comes. */
static void connections_each(wb_http_listener_t *listener,
                             void (*visit)(wb_http_listener_t *, wb_http_connection_t *)) {
    g_autoptr(GList) connections = g_hash_table_get_keys(listener->connections);
    for (GList *item = connections; item != NULL; item = item->next)
        if (g_hash_table_contains(listener->connections, item->data))
            visit(listener, item->data);
}

static void listener_sweep(void *context) {
    connections_each(context, connection_check);
}

apr_status_t wb_http_listener_open(wb_loop_t *loop, const char *address,
                                   const wb_http_handler_t *handler, const wb_http_limits_t *limits,
                                   wb_http_listener_t **listener, wb_error_t *error) {
    wb_http_listener_t *created = g_new0(wb_http_listener_t, 1);
    created->loop = loop;
    created->handler = *handler;
    created->limits = *limits;
    created->connections = g_hash_table_new(NULL, NULL);
    wb_tcp_finishing_init(&created->finishing);
    apr_status_t status = wb_tcp_listen(loop, address, SILENCE_LIMIT_MS, connection_accepted,
                                        created, &created->listener, error);
    if (status != APR_SUCCESS) {
        g_hash_table_unref(created->connections);
        g_free(created);
        return status;
    }
    created->sweep = wb_loop_every(loop, SWEEP_INTERVAL_MS, listener_sweep, created);
    *listener = created;
    return APR_SUCCESS;
}

unsigned wb_http_listener_port(const wb_http_listener_t *listener) {
    return wb_tcp_listener_port(listener->listener);
}

void wb_http_listener_set_limits(wb_http_listener_t *listener, const wb_http_limits_t *limits) {
    gboolean is_raised = limits->head_bytes > listener->limits.head_bytes;
    int64_t idle_before_ms = idle_timeout_now_ms(listener);
    GHashTableIter iter;
    gpointer key;
    if (limits->idle_timeout_ms < listener->limits.idle_timeout_ms) {
        listener->noticed_idle_timeout_ms = idle_before_ms;
        listener->notice_until_ms = wb_clock_ms() + limits->notice_ms;
    }
    listener->limits = *limits;
    g_hash_table_iter_init(&iter, listener->connections);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        wb_http_connection_t *connection = key;
        if (connection->began_ms == 0 || is_raised)
            wb_http_reader_set_head_limit(connection->reader, limits->head_bytes);
        /* Clients may wait by a raised limit from now on, also once it is lowered again. */
        connection->idle_timeout_ms = MAX(connection->idle_timeout_ms, limits->idle_timeout_ms);
        connection->head_timeout_ms = MAX(connection->head_timeout_ms, limits->head_timeout_ms);
    }
}

void wb_http_listener_drain(wb_http_listener_t *listener) {
    listener->draining = TRUE;
}

void wb_http_listener_stop(wb_http_listener_t *listener) {
    if (listener->listener != NULL)
        wb_tcp_listener_close(listener->listener);
    listener->listener = NULL;
}

static void connection_close_resting(wb_http_listener_t *listener,
                                     wb_http_connection_t *connection) {
    if (!connection_rests(connection) || !connection_read(listener, connection))
        return;
    if (!connection_rests(connection)) {
        listener->counts.idle_reads++;
        return;
    }
    listener->counts.idle_closes++;
    connection_finish(connection);
}

void wb_http_listener_close_idle(wb_http_listener_t *listener) {
    connections_each(listener, connection_close_resting);
}

wb_http_listener_counts_t wb_http_listener_counts(const wb_http_listener_t *listener) {
    wb_http_listener_counts_t counts = listener->counts;
    counts.late_inputs = listener->finishing.late_inputs;
    return counts;
}

unsigned wb_http_listener_active_count(const wb_http_listener_t *listener) {
    unsigned busy = listener->finishing.unsent.len;
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, listener->connections);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const wb_http_connection_t *connection = key;
        if (connection->running || connection->began_ms != 0 ||
            wb_tcp_stream_unsent(connection->stream) > 0)
            busy++;
    }
    return busy;
}

size_t wb_http_listener_unsent(const wb_http_listener_t *listener) {
    size_t bytes = wb_tcp_finishing_unsent(&listener->finishing);
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, listener->connections);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        bytes += wb_tcp_stream_unsent(((const wb_http_connection_t *)key)->stream);
    }
    return bytes;
}

void wb_http_listener_close(wb_http_listener_t *listener) {
    wb_tcp_finishing_clear(&listener->finishing);
    wb_timer_cancel(listener->sweep);
    wb_http_listener_stop(listener);
    g_autoptr(GList) connections = g_hash_table_get_keys(listener->connections);
    for (GList *item = connections; item != NULL; item = item->next)
        stream_end(((wb_http_connection_t *)item->data)->stream, WB_TCP_END_CLOSED, item->data);
    g_hash_table_unref(listener->connections);
    g_free(listener);
}
