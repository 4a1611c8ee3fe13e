/* Short HTTP calls over a few kept connections. */
#include "wickbridge/http_pool.h"

#include "wickbridge/tcp_stream.h"

#include <string.h>

#define HEAD_LIMIT_BYTES 65536
#define BODY_LIMIT_BYTES (32 * 1024 * 1024)
#define KEPT_CONNECTIONS 4
#define KEPT_FOR_MS 4000

struct wb_http_pool_t {
    wb_loop_t *loop;
    char *address;
    int64_t connect_timeout_ms;
    int64_t silence_limit_ms;
    GPtrArray *calls; /* connections with a running call */
    GPtrArray *kept;  /* connections without one */
};

/* A connection, with the call that runs on it. */
struct wb_http_call_t {
    wb_http_pool_t *peer;
    wb_tcp_stream_t *stream;
    wb_http_reader_t *reader;
    wb_timer_t *timer;
    GString *output; /* not yet sent */
    GByteArray *body;
    wb_http_request_t request;
    unsigned status;
    gboolean keep_alive;
    gboolean sent;
    gboolean refused; /* nobody listens there */
    gboolean whole;   /* the answer is read */
    int64_t kept_since_ms;
};

static void connection_free(wb_http_call_t *call) {
    if (call->timer != NULL)
        wb_timer_cancel(call->timer);
    if (call->stream != NULL)
        wb_tcp_stream_close(call->stream);
    wb_http_reader_free(call->reader);
    if (call->output != NULL)
        g_string_free(call->output, TRUE);
    g_byte_array_unref(call->body);
    g_free(call);
}

/* Ends the running call: its connection is closed, and its owner is told. */
static void call_end(wb_http_call_t *call, wb_http_outcome_t outcome) {
    wb_http_request_t request = call->request;
    wb_http_result_t result = {.outcome = outcome, .refused = call->refused};
    g_ptr_array_remove_fast(call->peer->calls, call);
    connection_free(call);
    request.on_result(&result, request.context);
}

static void call_break(wb_http_call_t *call) {
    call_end(call, call->sent ? WB_HTTP_UNKNOWN : WB_HTTP_NOT_SENT);
}

static void call_timed_out(void *context) {
    wb_http_call_t *call = context;
    call->timer = NULL;
    call_break(call);
}

static void reader_complete(wb_http_reader_t *reader, void *context) {
    wb_http_call_t *call = context;
    if (call->status < 200)
        wb_http_reader_next(reader); /* an interim answer */
    else
        call->whole = TRUE;
}

static void reader_head(wb_http_reader_t *reader, const wb_http_head_t *head, void *context) {
    (void)reader;
    wb_http_call_t *call = context;
    call->status = head->status;
    call->keep_alive = head->keep_alive;
    if (head->status >= 200 && call->request.on_head != NULL)
        call->request.on_head(head, call->request.context);
}

static void reader_body(wb_http_reader_t *reader, const char *data, size_t length, void *context) {
    (void)reader;
    wb_http_call_t *call = context;
    if (call->body->len + length <= BODY_LIMIT_BYTES)
        g_byte_array_append(call->body, (const guint8 *)data, (guint)length);
}

static const wb_http_reader_events_t reader_events = {reader_head, reader_body, reader_complete};

static gboolean is_kept(const wb_http_call_t *call) {
    return call->request.on_result == NULL;
}

static void kept_drop(wb_http_call_t *call) {
    g_ptr_array_remove_fast(call->peer->kept, call);
    connection_free(call);
}

/* The answer is whole: keep or close the connection, then tell the owner, who may free the peer. */
static void call_answered(wb_http_call_t *call, gboolean keep) {
    wb_http_pool_t *peer = call->peer;
    wb_http_request_t request = call->request;
    unsigned status = call->status;
    g_autoptr(GByteArray) body = call->body;
    call->body = g_byte_array_new();
    g_ptr_array_remove_fast(peer->calls, call);
    if (keep && call->keep_alive && peer->kept->len < KEPT_CONNECTIONS) {
        wb_timer_cancel(call->timer);
        call->timer = NULL;
        wb_http_reader_next(call->reader);
        call->request.on_result = NULL;
        call->kept_since_ms = wb_clock_ms();
        g_ptr_array_add(peer->kept, call);
    } else {
        connection_free(call);
    }
    wb_http_result_t result = {WB_HTTP_COMPLETED, status, (const char *)body->data, body->len,
                               FALSE};
    request.on_result(&result, request.context);
}

/* The answer goes on: wait for more of it, however long it has taken. */
static void progress_note(wb_http_call_t *call) {
    if (call->request.progress_ms == 0) {
        return;
    }
    if (call->timer != NULL) {
        wb_timer_cancel(call->timer);
    }
    call->timer = wb_loop_after(call->peer->loop, call->request.progress_ms, call_timed_out, call);
}

static void stream_data(wb_tcp_stream_t *stream, const char *data, size_t length, void *context) {
    (void)stream;
    wb_http_call_t *call = context;
    if (is_kept(call)) {
        kept_drop(call); /* bytes that nobody asked for */
        return;
    }
    progress_note(call);
    while (length > 0) {
        size_t used = wb_http_reader_feed(call->reader, data, length);
        data += used;
        length -= used;
        if (call->whole) {
            call_answered(call, length == 0);
            return;
        }
        if (used == 0 || wb_http_reader_error(call->reader) != WB_HTTP_PARSE_OK) {
            call_break(call);
            return;
        }
    }
}

static void stream_end(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how, void *context) {
    (void)stream;
    wb_http_call_t *call = context;
    if (is_kept(call)) {
        kept_drop(call);
        return;
    }
    call->refused = how == WB_TCP_END_REFUSED;
    if (how == WB_TCP_END_CLOSED)
        wb_http_reader_eof(call->reader);
    if (call->whole)
        call_answered(call, FALSE);
    else
        call_break(call);
}

static void call_send(wb_http_call_t *call) {
    if (call->request.may_send != NULL && !call->request.may_send(call->request.context)) {
        call_break(call);
        return;
    }
    call->sent = TRUE;
    wb_tcp_stream_write(call->stream, call->output->str, call->output->len);
    g_string_free(call->output, TRUE);
    call->output = NULL;
}

static void stream_open(wb_tcp_stream_t *stream, void *context) {
    (void)stream;
    call_send(context);
}

static const wb_tcp_events_t stream_events = {stream_open, stream_data, stream_end, NULL};

wb_http_pool_t *wb_http_pool_create(wb_loop_t *loop, const char *address,
                                    int64_t connect_timeout_ms, int64_t silence_limit_ms) {
    wb_http_pool_t *peer = g_new0(wb_http_pool_t, 1);
    peer->loop = loop;
    peer->address = g_strdup(address);
    peer->connect_timeout_ms = connect_timeout_ms;
    peer->silence_limit_ms = silence_limit_ms;
    peer->calls = g_ptr_array_new();
    peer->kept = g_ptr_array_new();
    return peer;
}

void wb_http_pool_free(wb_http_pool_t *peer) {
    for (guint i = 0; i < peer->calls->len; i++)
        connection_free(g_ptr_array_index(peer->calls, i));
    for (guint i = 0; i < peer->kept->len; i++)
        connection_free(g_ptr_array_index(peer->kept, i));
    g_ptr_array_unref(peer->calls);
    g_ptr_array_unref(peer->kept);
    g_free(peer->address);
    g_free(peer);
}

static GString *request_text(const wb_http_pool_t *peer, const wb_http_request_t *request) {
    GString *text = g_string_sized_new(512);
    g_string_printf(text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", request->method, request->target,
                    peer->address, request->headers != NULL ? request->headers : "");
    if (request->body != NULL)
        g_string_append_printf(text, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
                               strlen(request->body));
    g_string_append_printf(text, "\r\n%s", request->body != NULL ? request->body : "");
    return text;
}

/* Returns a kept connection that is surely young enough, or NULL. */
static wb_http_call_t *kept_take(wb_http_pool_t *peer) {
    while (peer->kept->len > 0) {
        wb_http_call_t *call = g_ptr_array_index(peer->kept, peer->kept->len - 1);
        if (wb_clock_ms() - call->kept_since_ms <= KEPT_FOR_MS &&
            wb_tcp_stream_is_open(call->stream)) {
            g_ptr_array_set_size(peer->kept, (gint)peer->kept->len - 1);
            return call;
        }
        kept_drop(call);
    }
    return NULL;
}

static void call_begin_later(void *context) {
    wb_http_call_t *call = context;
    call->timer = NULL;
    call_break(call);
}

void wb_http_pool_call(wb_http_pool_t *peer, const wb_http_request_t *request) {
    wb_http_call_t *call = request->fresh ? NULL : kept_take(peer);
    gboolean reused = call != NULL;
    if (!reused) {
        call = g_new0(wb_http_call_t, 1);
        call->peer = peer;
        call->reader = wb_http_reader_create(FALSE, HEAD_LIMIT_BYTES, &reader_events, call);
        call->body = g_byte_array_new();
    }
    call->request = *request;
    call->sent = FALSE;
    call->whole = FALSE;
    call->output = request_text(peer, request);
    call->status = 0;
    g_ptr_array_add(peer->calls, call);
    if (reused) {
        call->timer = wb_loop_after(peer->loop, request->timeout_ms, call_timed_out, call);
        call_send(call);
        return;
    }
    wb_error_t error;
    if (wb_tcp_stream_connect(peer->loop, peer->address, peer->connect_timeout_ms,
                              peer->silence_limit_ms, &stream_events, call, &call->stream,
                              &error) != APR_SUCCESS)
        call->timer = wb_loop_after(peer->loop, 0, call_begin_later, call);
    else
        call->timer = wb_loop_after(peer->loop, request->timeout_ms, call_timed_out, call);
}
