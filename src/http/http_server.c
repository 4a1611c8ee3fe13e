/* HTTP server on libmicrohttpd. A connection is suspended while its exchange waits for a reply or
 * for more of a stream, and is resumed by the thread that supplies it. */
#include "wickbridge/http_server.h"

#include "wickbridge/settings.h"

#include <arpa/inet.h>
#include <gnutls/gnutls.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <unistd.h>
#include <string.h>

#define CONNECTION_MEMORY_BYTES (24 * 1024)
#define STREAM_BLOCK_BYTES 4096
#define CONNECTION_LIMIT 20000

static const char no_certificate_text[] =
    "{\"error\":{\"message\":\"A certificate signed by this interface's authority is needed.\","
    "\"type\":\"permission_error\",\"code\":\"certificate_needed\"},\"verdict\":\"not-run\"}";

struct wb_http_server_t {
    struct MHD_Daemon *daemon;
    wb_http_server_options_t options;
};

typedef enum wb_exchange_state_t {
    EXCHANGE_RECEIVING,
    EXCHANGE_HANDLING, /* the handler was called; no response yet */
    EXCHANGE_ANSWERED, /* the response is ready or being sent */
    EXCHANGE_FINISHED  /* libmicrohttpd has ended the request */
} wb_exchange_state_t;

struct wb_http_exchange_t {
    GMutex lock;
    int references; /* one for libmicrohttpd, one for the handler until it has answered */
    wb_http_server_t *server;
    struct MHD_Connection *connection;
    char *method;
    char *path;
    GString *body;
    gboolean too_large;
    wb_exchange_state_t state;
    gboolean suspended;
    struct MHD_Response *response;
    unsigned status;
    GPtrArray *headers; /* response headers: name, value, name, value ... */
    gboolean streaming;
    GString *stream;      /* output that libmicrohttpd hasn't read to its end */
    size_t stream_offset; /* bytes of `stream` that libmicrohttpd has read */
    gboolean stream_ended;
    gboolean stream_complete;
    wb_http_close_fn on_close;
    void *close_context;
};

static void exchange_release(wb_http_exchange_t *exchange) {
    if (!g_atomic_int_dec_and_test(&exchange->references))
        return;
    if (exchange->response != NULL)
        MHD_destroy_response(exchange->response);
    g_free(exchange->method);
    g_free(exchange->path);
    g_string_free(exchange->body, TRUE);
    g_string_free(exchange->stream, TRUE);
    g_ptr_array_unref(exchange->headers);
    g_mutex_clear(&exchange->lock);
    g_free(exchange);
}

static wb_http_exchange_t *exchange_create(wb_http_server_t *server,
                                           struct MHD_Connection *connection, const char *url,
                                           const char *method) {
    wb_http_exchange_t *exchange = g_new0(wb_http_exchange_t, 1);
    g_mutex_init(&exchange->lock);
    exchange->references = 1;
    exchange->server = server;
    exchange->connection = connection;
    exchange->method = g_strdup(method);
    exchange->path = g_strdup(url);
    exchange->body = g_string_new(NULL);
    exchange->stream = g_string_new(NULL);
    exchange->headers = g_ptr_array_new_with_free_func(g_free);
    return exchange;
}

/* Resumes the connection if it is suspended. The exchange's lock is held. */
static void exchange_resume(wb_http_exchange_t *exchange) {
    if (!exchange->suspended)
        return;
    exchange->suspended = FALSE;
    MHD_resume_connection(exchange->connection);
}

/* Hands the response to libmicrohttpd. The exchange's lock is held. */
static enum MHD_Result exchange_queue(wb_http_exchange_t *exchange) {
    return MHD_queue_response(exchange->connection, exchange->status, exchange->response);
}

static enum MHD_Result exchange_reject_body(wb_http_exchange_t *exchange) {
    static const char text[] = "{\"error\":{\"message\":\"The body is too large.\",\"type\":"
                               "\"invalid_request_error\",\"code\":\"body_too_large\"},"
                               "\"verdict\":\"not-run\"}";
    struct MHD_Response *response =
        MHD_create_response_from_buffer(sizeof(text) - 1, (void *)text, MHD_RESPMEM_PERSISTENT);
    MHD_add_response_header(response, "Content-Type", "application/json");
    MHD_add_response_header(response, "Wickbridge-Verdict", "not-run");
    enum MHD_Result result =
        MHD_queue_response(exchange->connection, MHD_HTTP_CONTENT_TOO_LARGE, response);
    MHD_destroy_response(response);
    return result;
}

/* Returns TRUE when the client has shown a certificate that a trusted authority signed. */
static gboolean client_is_trusted(struct MHD_Connection *connection) {
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_GNUTLS_SESSION);
    unsigned status = 0;
    unsigned count = 0;
    if (info == NULL || gnutls_certificate_get_peers(info->tls_session, &count) == NULL)
        return FALSE;
    return gnutls_certificate_verify_peers2(info->tls_session, &status) == GNUTLS_E_SUCCESS &&
           status == 0;
}

static enum MHD_Result exchange_handle(wb_http_exchange_t *exchange) {
    wb_http_server_t *server = exchange->server;
    exchange->state = EXCHANGE_HANDLING;
    g_atomic_int_inc(&exchange->references);
    if (server->options.tls_trust_pem != NULL && !client_is_trusted(exchange->connection))
        wb_http_exchange_reply(exchange, MHD_HTTP_FORBIDDEN, "application/json",
                               no_certificate_text, sizeof(no_certificate_text) - 1);
    else
        server->options.handler(exchange, server->options.handler_context);
    g_mutex_lock(&exchange->lock);
    enum MHD_Result result = MHD_YES;
    if (exchange->state == EXCHANGE_ANSWERED)
        result = exchange_queue(exchange);
    else {
        exchange->suspended = TRUE;
        MHD_suspend_connection(exchange->connection);
    }
    g_mutex_unlock(&exchange->lock);
    return result;
}

static enum MHD_Result request_receive(void *context, struct MHD_Connection *connection,
                                       const char *url, const char *method, const char *version,
                                       const char *data, size_t *data_size, void **request) {
    (void)version;
    wb_http_server_t *server = context;
    wb_http_exchange_t *exchange = *request;
    if (exchange == NULL) {
        *request = exchange_create(server, connection, url, method);
        return MHD_YES;
    }
    if (*data_size > 0) {
        if (exchange->body->len + *data_size > server->options.body_limit_bytes)
            exchange->too_large = TRUE;
        else
            g_string_append_len(exchange->body, data, (gssize)*data_size);
        *data_size = 0;
        return MHD_YES;
    }
    if (exchange->too_large)
        return exchange_reject_body(exchange);
    if (exchange->state == EXCHANGE_RECEIVING)
        return exchange_handle(exchange);
    g_mutex_lock(&exchange->lock);
    enum MHD_Result result = MHD_YES;
    if (exchange->state == EXCHANGE_ANSWERED)
        result = exchange_queue(exchange);
    g_mutex_unlock(&exchange->lock);
    return result;
}

static void request_completed(void *context, struct MHD_Connection *connection, void **request,
                              enum MHD_RequestTerminationCode reason) {
    (void)context;
    (void)connection;
    wb_http_exchange_t *exchange = *request;
    if (exchange == NULL)
        return;
    *request = NULL;
    g_mutex_lock(&exchange->lock);
    exchange->state = EXCHANGE_FINISHED;
    exchange->suspended = FALSE;
    wb_http_close_fn on_close = exchange->on_close;
    gboolean complete = exchange->stream_ended && reason == MHD_REQUEST_TERMINATED_COMPLETED_OK;
    exchange->on_close = NULL;
    void *close_context = exchange->close_context;
    g_mutex_unlock(&exchange->lock);
    if (on_close != NULL)
        on_close(complete, close_context);
    exchange_release(exchange);
}

static ssize_t stream_read(void *context, uint64_t position, char *buffer, size_t size) {
    (void)position;
    wb_http_exchange_t *exchange = context;
    g_mutex_lock(&exchange->lock);
    size_t left = exchange->stream->len - exchange->stream_offset;
    ssize_t result = 0;
    if (left > 0) {
        size_t taken = MIN(left, size);
        memcpy(buffer, exchange->stream->str + exchange->stream_offset, taken);
        exchange->stream_offset += taken;
        if (exchange->stream_offset == exchange->stream->len) {
            g_string_truncate(exchange->stream, 0);
            exchange->stream_offset = 0;
        }
        result = (ssize_t)taken;
    } else if (exchange->stream_ended) {
        result = exchange->stream_complete ? MHD_CONTENT_READER_END_OF_STREAM
                                           : MHD_CONTENT_READER_END_WITH_ERROR;
    } else {
        exchange->suspended = TRUE;
        MHD_suspend_connection(exchange->connection);
    }
    g_mutex_unlock(&exchange->lock);
    return result;
}

/* Called by libmicrohttpd at the start of a request; the result is the initial value of `*request`
 * in request_receive. */
static void *request_log_uri(void *context, const char *uri, struct MHD_Connection *connection) {
    (void)context;
    (void)uri;
    (void)connection;
    return NULL;
}

static void address_split(const char *address, struct sockaddr_in *socket_address) {
    char host[64];
    g_strlcpy(host, address, sizeof(host));
    char *colon = strrchr(host, ':');
    memset(socket_address, 0, sizeof(*socket_address));
    socket_address->sin_family = AF_INET;
    if (colon == NULL)
        return;
    *colon = '\0';
    socket_address->sin_port = htons((uint16_t)atoi(colon + 1));
    inet_pton(AF_INET, host, &socket_address->sin_addr);
}

apr_status_t wb_http_server_start(wb_http_server_t **server,
                                  const wb_http_server_options_t *options, wb_error_t *error) {
    if (!wb_address_is_valid(options->address))
        return wb_error_set(error, APR_EINVAL, "'%s' is not IP:PORT", options->address);
    wb_http_server_t *created = g_new0(wb_http_server_t, 1);
    created->options = *options;
    struct sockaddr_in address;
    address_split(options->address, &address);
    struct MHD_OptionItem tls[] = {{MHD_OPTION_END, 0, NULL},
                                   {MHD_OPTION_END, 0, NULL},
                                   {MHD_OPTION_END, 0, NULL},
                                   {MHD_OPTION_END, 0, NULL}};
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
    if (options->tls_key_pem != NULL) {
        flags |= MHD_USE_TLS;
        tls[0] = (struct MHD_OptionItem){MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)options->tls_key_pem};
        tls[1] =
            (struct MHD_OptionItem){MHD_OPTION_HTTPS_MEM_CERT, 0, (void *)options->tls_cert_pem};
        if (options->tls_trust_pem != NULL)
            tls[2] = (struct MHD_OptionItem){MHD_OPTION_HTTPS_MEM_TRUST, 0,
                                             (void *)options->tls_trust_pem};
    }
    created->daemon = MHD_start_daemon(
        flags, 0, NULL, NULL, request_receive, created, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, request_completed, NULL, MHD_OPTION_URI_LOG_CALLBACK,
        request_log_uri, NULL, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
        MHD_OPTION_CONNECTION_TIMEOUT, options->idle_timeout_s, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned)CONNECTION_LIMIT, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
        MHD_OPTION_THREAD_POOL_SIZE, options->thread_count, MHD_OPTION_ARRAY, tls, MHD_OPTION_END);
    if (created->daemon == NULL) {
        g_free(created);
        return wb_error_set(error, APR_EGENERAL, "can't listen on %s", options->address);
    }
    *server = created;
    return APR_SUCCESS;
}

void wb_http_server_stop(wb_http_server_t *server) {
    MHD_stop_daemon(server->daemon);
    g_free(server);
}

const char *wb_http_exchange_method(const wb_http_exchange_t *exchange) {
    return exchange->method;
}

const char *wb_http_exchange_path(const wb_http_exchange_t *exchange) {
    return exchange->path;
}

const char *wb_http_exchange_body(const wb_http_exchange_t *exchange, size_t *length) {
    if (length != NULL)
        *length = exchange->body->len;
    return exchange->body->str;
}

const char *wb_http_exchange_header(wb_http_exchange_t *exchange, const char *name) {
    return MHD_lookup_connection_value(exchange->connection, MHD_HEADER_KIND, name);
}

const char *wb_http_exchange_query(wb_http_exchange_t *exchange, const char *name) {
    return MHD_lookup_connection_value(exchange->connection, MHD_GET_ARGUMENT_KIND, name);
}

void wb_http_exchange_local_address(wb_http_exchange_t *exchange, char *text, size_t size) {
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    struct sockaddr_in address;
    socklen_t length = sizeof(address);
    text[0] = '\0';
    if (info != NULL && getsockname(info->connect_fd, (struct sockaddr *)&address, &length) == 0)
        inet_ntop(AF_INET, &address.sin_addr, text, (socklen_t)size);
}

void wb_http_exchange_add_header(wb_http_exchange_t *exchange, const char *name,
                                 const char *value) {
    g_ptr_array_add(exchange->headers, g_strdup(name));
    g_ptr_array_add(exchange->headers, g_strdup(value));
}

/* Sets the response and resumes the connection. The exchange's lock is held. */
static void exchange_set_response(wb_http_exchange_t *exchange, unsigned status,
                                  const char *content_type, struct MHD_Response *response) {
    exchange->status = status;
    exchange->response = response;
    MHD_add_response_header(response, "Content-Type", content_type);
    for (guint i = 0; i + 1 < exchange->headers->len; i += 2)
        MHD_add_response_header(response, exchange->headers->pdata[i],
                                exchange->headers->pdata[i + 1]);
    if (exchange->state != EXCHANGE_FINISHED)
        exchange->state = EXCHANGE_ANSWERED;
    exchange_resume(exchange);
}

void wb_http_exchange_reply(wb_http_exchange_t *exchange, unsigned status, const char *content_type,
                            const char *body, size_t length) {
    struct MHD_Response *response =
        MHD_create_response_from_buffer(length, (void *)body, MHD_RESPMEM_MUST_COPY);
    g_mutex_lock(&exchange->lock);
    exchange_set_response(exchange, status, content_type, response);
    g_mutex_unlock(&exchange->lock);
    exchange_release(exchange);
}

void wb_http_exchange_stream_begin(wb_http_exchange_t *exchange, unsigned status,
                                   const char *content_type, wb_http_close_fn on_close,
                                   void *context) {
    struct MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, stream_read, exchange, NULL);
    g_mutex_lock(&exchange->lock);
    exchange->streaming = TRUE;
    exchange->on_close = on_close;
    exchange->close_context = context;
    exchange_set_response(exchange, status, content_type, response);
    g_mutex_unlock(&exchange->lock);
}

size_t wb_http_exchange_stream_write(wb_http_exchange_t *exchange, const char *data,
                                     size_t length) {
    g_mutex_lock(&exchange->lock);
    if (exchange->state != EXCHANGE_FINISHED)
        g_string_append_len(exchange->stream, data, (gssize)length);
    size_t waiting = exchange->stream->len - exchange->stream_offset;
    exchange_resume(exchange);
    g_mutex_unlock(&exchange->lock);
    return waiting;
}

void wb_http_exchange_stream_end(wb_http_exchange_t *exchange, gboolean complete) {
    g_mutex_lock(&exchange->lock);
    exchange->stream_ended = TRUE;
    exchange->stream_complete = complete;
    exchange_resume(exchange);
    g_mutex_unlock(&exchange->lock);
    exchange_release(exchange);
}
