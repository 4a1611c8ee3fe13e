/* HTTP calls to one address over a small pool of keep-alive connections. A call's connection is
 * closed when the call fails. */
#include "wickbridge/http_pool.h"

#include "wickbridge/http_head.h"
#include "wickbridge/tcp_stream.h"

#include <string.h>

#define HEAD_LIMIT_BYTES 65536
#define RESPONSE_MAX_BYTES ((size_t)32 * 1024 * 1024)
#define MAX_IDLE_CONNECTIONS 4
#define MAX_IDLE_MS 4000

struct wb_http_pool_t {
    wb_loop_t *loop;
    char *address;
    wb_tcp_connect_options_t options;
    GPtrArray *calls; /* connections with a running call */
    GPtrArray *idle;  /* pooled connections without a call */
};

/* A connection and the call that runs on it; without a call, request.on_result is NULL. */
struct wb_http_call_t {
    wb_http_pool_t *pool;
    wb_tcp_stream_t *stream;
    wb_http_reader_t *reader;
    wb_timer_t *timer;
    GString *output; /* the request's text until it is sent */
    GByteArray *body;
    wb_http_request_t request;
    size_t received_bytes; /* of the response, and of interim ones before it */
    unsigned status;
    gboolean keep_alive;
    gboolean sent;
    gboolean refused;  /* connection refused */
    gboolean complete; /* the response was read to its end */
    int64_t idle_since_ms;
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

/* Ends the call without a response: closes its connection and reports the outcome. */
static void call_end(wb_http_call_t *call, wb_http_outcome_t outcome) {
    wb_http_request_t request = call->request;
    wb_http_result_t result = {.outcome = outcome, .refused = call->refused};
    g_ptr_array_remove_fast(call->pool->calls, call);
    connection_free(call);
    request.on_result(&result, request.context);
}

static void call_fail(wb_http_call_t *call) {
    call_end(call, call->sent ? WB_HTTP_UNKNOWN : WB_HTTP_NOT_SENT);
}

static void call_timed_out(void *context) {
    wb_http_call_t *call = context;
    call->timer = NULL;
    call_fail(call);
}

static void reader_complete(wb_http_reader_t *reader, void *context) {
    wb_http_call_t *call = context;
    if (call->status < 200)
        wb_http_reader_next(reader); /* an interim response */
    else
        call->complete = TRUE;
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
    g_byte_array_append(call->body, (const guint8 *)data, (guint)length);
}

static const wb_http_reader_events_t reader_events = {reader_head, reader_body, reader_complete};

static gboolean is_idle(const wb_http_call_t *call) {
    return call->request.on_result == NULL;
}

static void idle_close(wb_http_call_t *call) {
    g_ptr_array_remove_fast(call->pool->idle, call);
    connection_free(call);
}

/* Ends a call with its response: keeps or closes the connection, then reports the result, last, as
 * the callback may free the pool. */
static void call_complete(wb_http_call_t *call, gboolean keep) {
    wb_http_pool_t *pool = call->pool;
    wb_http_request_t request = call->request;
    unsigned status = call->status;
    g_autoptr(GByteArray) body = call->body;
    call->body = g_byte_array_new();
    g_ptr_array_remove_fast(pool->calls, call);
    if (keep && call->keep_alive && pool->idle->len < MAX_IDLE_CONNECTIONS) {
        wb_timer_cancel(call->timer);
        call->timer = NULL;
        wb_http_reader_next(call->reader);
        call->request.on_result = NULL;
        call->idle_since_ms = wb_clock_ms();
        g_ptr_array_add(pool->idle, call);
    } else {
        connection_free(call);
    }
    wb_http_result_t result = {WB_HTTP_COMPLETED, status, (const char *)body->data, body->len,
                               FALSE};
    request.on_result(&result, request.context);
}

/* Restarts the progress timeout after more of the response has arrived. */
static void progress_timer_restart(wb_http_call_t *call) {
    if (call->request.progress_ms == 0) {
        return;
    }
    if (call->timer != NULL) {
        wb_timer_cancel(call->timer);
    }
    call->timer = wb_loop_after(call->pool->loop, call->request.progress_ms, call_timed_out, call);
}

static void stream_data(wb_tcp_stream_t *stream, const char *data, size_t length, void *context) {
    (void)stream;
    wb_http_call_t *call = context;
    if (is_idle(call)) {
        idle_close(call); /* unexpected data */
        return;
    }
    progress_timer_restart(call);
    call->received_bytes += length;
    if (call->received_bytes > call->request.max_bytes) {
        call_fail(call);
        return;
    }
    while (length > 0) {
        size_t used = wb_http_reader_feed(call->reader, data, length);
        data += used;
        length -= used;
        if (call->complete) {
            call_complete(call, length == 0);
            return;
        }
        if (used == 0 || wb_http_reader_error(call->reader) != WB_HTTP_PARSE_OK) {
            call_fail(call);
            return;
        }
    }
}

static void stream_end(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how, void *context) {
    (void)stream;
    wb_http_call_t *call = context;
    if (is_idle(call)) {
        idle_close(call);
        return;
    }
    call->refused = how == WB_TCP_END_REFUSED;
    if (how == WB_TCP_END_CLOSED)
        wb_http_reader_eof(call->reader);
    if (call->complete)
        call_complete(call, FALSE);
    else
        call_fail(call);
}

static void call_send(wb_http_call_t *call) {
    if (call->request.may_send != NULL && !call->request.may_send(call->request.context)) {
        call_fail(call);
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
                                    const wb_tcp_connect_options_t *options) {
    wb_http_pool_t *pool = g_new0(wb_http_pool_t, 1);
    pool->loop = loop;
    pool->address = g_strdup(address);
    pool->options = *options;
    pool->calls = g_ptr_array_new();
    pool->idle = g_ptr_array_new();
    return pool;
}

void wb_http_pool_free(wb_http_pool_t *pool) {
    for (guint i = 0; i < pool->calls->len; i++)
        connection_free(g_ptr_array_index(pool->calls, i));
    for (guint i = 0; i < pool->idle->len; i++)
        connection_free(g_ptr_array_index(pool->idle, i));
    g_ptr_array_unref(pool->calls);
    g_ptr_array_unref(pool->idle);
    g_free(pool->address);
    g_free(pool);
}

static GString *request_text(const wb_http_pool_t *pool, const wb_http_request_t *request) {
    GString *text = g_string_sized_new(512);
    g_string_printf(text, "%s %s HTTP/1.1\r\n", request->method, request->target);
    wb_http_header_append(text, "Host", pool->address);
    g_string_append(text, request->headers != NULL ? request->headers : "");
    if (request->body != NULL)
        g_string_append_printf(text, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
                               strlen(request->body));
    g_string_append_printf(text, "\r\n%s", request->body != NULL ? request->body : "");
    return text;
}

/* Takes the most recently used idle connection out of the pool, or returns NULL. Closes those that
 * have ended or were idle for too long. */
static wb_http_call_t *idle_take(wb_http_pool_t *pool) {
    while (pool->idle->len > 0) {
        guint count = pool->idle->len;
        wb_http_call_t *call = g_ptr_array_index(pool->idle, count - 1);
        wb_tcp_stream_read_now(call->stream);
        if (pool->idle->len < count)
            continue; /* its end had arrived */
        if (wb_clock_ms() - call->idle_since_ms <= MAX_IDLE_MS &&
            wb_tcp_stream_is_open(call->stream)) {
            g_ptr_array_set_size(pool->idle, (gint)pool->idle->len - 1);
            return call;
        }
        idle_close(call);
    }
    return NULL;
}

static void call_failed_to_connect(void *context) {
    wb_http_call_t *call = context;
    call->timer = NULL;
    call_fail(call);
}

void wb_http_pool_call(wb_http_pool_t *pool, const wb_http_request_t *request) {
    wb_http_call_t *call = request->fresh ? NULL : idle_take(pool);
    gboolean reused = call != NULL;
    if (!reused) {
        call = g_new0(wb_http_call_t, 1);
        call->pool = pool;
        call->reader = wb_http_reader_create(FALSE, HEAD_LIMIT_BYTES, &reader_events, call);
        call->body = g_byte_array_new();
    }
    call->request = *request;
    call->sent = FALSE;
    call->complete = FALSE;
    call->output = request_text(pool, request);
    call->status = 0;
    call->received_bytes = 0;
    if (call->request.max_bytes == 0)
        call->request.max_bytes = RESPONSE_MAX_BYTES;
    g_ptr_array_add(pool->calls, call);
    if (reused) {
        call->timer = wb_loop_after(pool->loop, request->timeout_ms, call_timed_out, call);
        call_send(call);
        return;
    }
    wb_error_t error;
    if (wb_tcp_stream_connect(pool->loop, pool->address, &pool->options, &stream_events, call,
                              &call->stream, &error) != APR_SUCCESS)
        call->timer = wb_loop_after(pool->loop, 0, call_failed_to_connect, call);
    else
        call->timer = wb_loop_after(pool->loop, request->timeout_ms, call_timed_out, call);
}
