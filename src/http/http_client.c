/* HTTP client on libcurl's multi interface. One thread runs all calls; other threads queue starts
 * and cancellations for it and wake it. */
#include "wickbridge/http_client.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#define POLL_LIMIT_MS 1000
#define CONNECT_TIMEOUT_MS 1000
#define RECEIVE_BUFFER_BYTES 4096L
#define MAX_IDLE_CONNECTIONS 512
#define MAX_PER_HOST 0 /* 0: no limit */
/* Of a response that is collected; libcurl limits its head. */
#define RESPONSE_MAX_BYTES ((size_t)32 * 1024 * 1024)

struct wb_http_client_t {
    CURLM *multi;
    GThread *thread;
    GMutex lock; /* guards the two queues and `stopping` */
    GQueue starting;
    GQueue cancelling;
    gboolean stopping;
    gint64 bytes;       /* sent and received; written by the client's thread only */
    GHashTable *active; /* set of running calls; used by the client's thread only */
    char *trust_file;
    char *certificate_file;
    char *key_file;
};

struct wb_http_call_t {
    int references;
    wb_http_client_t *client;
    CURL *easy;
    struct curl_slist *headers;
    char *body;
    GString *response;
    int64_t idle_timeout_us;
    int64_t last_activity_us;
    int64_t retry_after_ms;
    gboolean got_bytes;
    gboolean head_ended; /* of the latest response, which may be an interim one */
    gboolean framed;
    char seed[24];
    char reason[CURL_ERROR_SIZE];
    wb_http_data_fn on_data;
    wb_http_done_fn on_done;
    void *context;
};

wb_http_call_t *wb_http_call_ref(wb_http_call_t *call) {
    g_atomic_int_inc(&call->references);
    return call;
}

void wb_http_call_unref(wb_http_call_t *call) {
    if (!g_atomic_int_dec_and_test(&call->references))
        return;
    curl_easy_cleanup(call->easy);
    curl_slist_free_all(call->headers);
    g_free(call->body);
    g_string_free(call->response, TRUE);
    g_free(call);
}

static size_t body_receive(char *data, size_t size, size_t count, void *context) {
    wb_http_call_t *call = context;
    size_t length = size * count;
    long status = 0;
    call->last_activity_us = g_get_monotonic_time();
    call->got_bytes = TRUE;
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    if (call->on_data != NULL && status == 200) {
        call->on_data(data, length, call->context);
        return length;
    }
    if (call->response->len + length > RESPONSE_MAX_BYTES)
        return 0; /* libcurl fails the call */
    g_string_append_len(call->response, data, (gssize)length);
    return length;
}

/* Whether the header line begins with `name` (with its colon). The line is not zero-terminated. */
static gboolean header_is(const char *line, size_t length, const char *name) {
    size_t name_length = strlen(name);
    return length > name_length && g_ascii_strncasecmp(line, name, name_length) == 0;
}

/* Returns the value when the header line begins with `name`, else NULL. */
static char *header_value(const char *line, size_t length, const char *name) {
    size_t name_length = strlen(name);
    if (!header_is(line, length, name))
        return NULL;
    return g_strstrip(g_strndup(line + name_length, length - name_length));
}

/* Notes where a response's head begins and ends. */
static void head_line_note(wb_http_call_t *call, const char *line, size_t length) {
    if (header_is(line, length, "HTTP/")) {
        call->head_ended = FALSE;
        call->framed = FALSE;
    } else if (*line == '\r' || *line == '\n') {
        call->head_ended = TRUE;
    }
}

/* Whether a final response's head has been read. libcurl takes a connection that ends within a head
 * for the end of a response without a body. */
static gboolean head_is_whole(const wb_http_call_t *call, unsigned status) {
    return call->head_ended && status >= 200;
}

static size_t header_receive(char *line, size_t size, size_t count, void *context) {
    wb_http_call_t *call = context;
    size_t length = size * count;
    call->last_activity_us = g_get_monotonic_time();
    call->got_bytes = TRUE;
    head_line_note(call, line, length);
    g_autofree char *retry_after = header_value(line, length, "retry-after:");
    if (retry_after != NULL)
        call->retry_after_ms = (int64_t)(g_ascii_strtod(retry_after, NULL) * 1000);
    g_autofree char *seed = header_value(line, length, "engine-seed:");
    if (seed != NULL)
        g_strlcpy(call->seed, seed, sizeof(call->seed));
    call->framed = call->framed || header_is(line, length, "content-length:") ||
                   header_is(line, length, "transfer-encoding:");
    return length;
}

/* Returns TRUE when no byte of the request can have reached the server: the connection was never
 * established. */
static gboolean call_was_not_sent(CURL *easy, CURLcode code) {
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
        code == CURLE_SSL_CONNECT_ERROR || code == CURLE_PEER_FAILED_VERIFICATION ||
        code == CURLE_SSL_CERTPROBLEM)
        return TRUE;
    curl_off_t pretransfer = 0;
    curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer);
    return code != CURLE_OK && pretransfer == 0;
}

static void transfer_bytes_add(wb_http_call_t *call) {
    long head = 0, request = 0;
    curl_off_t up = 0, down = 0;
    curl_easy_getinfo(call->easy, CURLINFO_HEADER_SIZE, &head);
    curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request);
    curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &up);
    curl_easy_getinfo(call->easy, CURLINFO_SIZE_DOWNLOAD_T, &down);
    call->client->bytes += head + request + (gint64)up + (gint64)down;
}

int64_t wb_http_client_bytes(const wb_http_client_t *client) {
    return client->bytes;
}

static void call_finish(wb_http_call_t *call, CURLcode code) {
    wb_http_result_t result = {WB_HTTP_INCOMPLETE,
                               0,
                               call->response->str,
                               call->response->len,
                               call->retry_after_ms,
                               call->reason,
                               call->seed[0] != '\0' ? call->seed : NULL,
                               call->framed};
    long status = 0;
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    result.status = (unsigned)status;
    if (code == CURLE_OK && head_is_whole(call, result.status))
        result.outcome = WB_HTTP_COMPLETED;
    else if (code == CURLE_OK)
        result.reason = "the connection ended within the response's head";
    else if (!call->got_bytes && call_was_not_sent(call->easy, code))
        result.outcome = WB_HTTP_NOT_SENT;
    if (call->reason[0] == '\0' && code != CURLE_OK)
        result.reason = curl_easy_strerror(code);
    transfer_bytes_add(call);
    curl_multi_remove_handle(call->client->multi, call->easy);
    g_hash_table_remove(call->client->active, call);
    call->on_done(&result, call->context);
    wb_http_call_unref(call);
}

static void queues_take(wb_http_client_t *client, GQueue *starting, GQueue *cancelling) {
    g_mutex_lock(&client->lock);
    *starting = client->starting;
    *cancelling = client->cancelling;
    g_queue_init(&client->starting);
    g_queue_init(&client->cancelling);
    g_mutex_unlock(&client->lock);
}

static void queues_process(wb_http_client_t *client) {
    GQueue starting, cancelling;
    queues_take(client, &starting, &cancelling);
    wb_http_call_t *call;
    while ((call = g_queue_pop_head(&starting)) != NULL) {
        g_hash_table_add(client->active, call);
        call->last_activity_us = g_get_monotonic_time();
        curl_multi_add_handle(client->multi, call->easy);
    }
    while ((call = g_queue_pop_head(&cancelling)) != NULL) {
        if (g_hash_table_contains(client->active, call))
            call_finish(call, CURLE_ABORTED_BY_CALLBACK);
        wb_http_call_unref(call);
    }
}

static void idle_calls_abort(wb_http_client_t *client) {
    GHashTableIter iterator;
    gpointer key;
    int64_t now_us = g_get_monotonic_time();
    GQueue idle = G_QUEUE_INIT;
    g_hash_table_iter_init(&iterator, client->active);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        wb_http_call_t *call = key;
        if (call->idle_timeout_us > 0 && now_us - call->last_activity_us > call->idle_timeout_us)
            g_queue_push_tail(&idle, call);
    }
    wb_http_call_t *call;
    while ((call = g_queue_pop_head(&idle)) != NULL)
        call_finish(call, CURLE_OPERATION_TIMEDOUT);
}

static void finished_calls_handle(wb_http_client_t *client) {
    CURLMsg *message;
    int left;
    while ((message = curl_multi_info_read(client->multi, &left)) != NULL) {
        if (message->msg != CURLMSG_DONE)
            continue;
        wb_http_call_t *call = NULL;
        CURLcode code = message->data.result;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
        call_finish(call, code);
    }
}

static void all_calls_abort(wb_http_client_t *client) {
    queues_process(client);
    GHashTableIter iterator;
    gpointer key;
    for (;;) {
        g_hash_table_iter_init(&iterator, client->active);
        if (!g_hash_table_iter_next(&iterator, &key, NULL))
            return;
        call_finish(key, CURLE_ABORTED_BY_CALLBACK);
    }
}

static gpointer client_run(gpointer data) {
    wb_http_client_t *client = data;
    int64_t next_idle_check_us = 0;
    for (;;) {
        int running = 0;
        queues_process(client);
        curl_multi_perform(client->multi, &running);
        finished_calls_handle(client);
        int64_t now_us = g_get_monotonic_time();
        if (now_us >= next_idle_check_us) {
            idle_calls_abort(client);
            next_idle_check_us = now_us + 100 * 1000;
        }
        g_mutex_lock(&client->lock);
        gboolean stopping = client->stopping;
        gboolean queued = client->starting.length + client->cancelling.length > 0;
        g_mutex_unlock(&client->lock);
        if (stopping)
            break;
        if (!queued)
            curl_multi_poll(client->multi, NULL, 0,
                            g_hash_table_size(client->active) > 0 ? 100 : POLL_LIMIT_MS, NULL);
    }
    all_calls_abort(client);
    return NULL;
}

apr_status_t wb_http_client_start(wb_http_client_t **client, const wb_http_client_tls_t *tls,
                                  wb_error_t *error) {
    static gsize initialised = 0;
    if (g_once_init_enter(&initialised)) {
        curl_global_init(CURL_GLOBAL_ALL);
        g_once_init_leave(&initialised, 1);
    }
    wb_http_client_t *created = g_new0(wb_http_client_t, 1);
    created->multi = curl_multi_init();
    if (created->multi == NULL) {
        g_free(created);
        return wb_error_set(error, APR_ENOMEM, "can't start libcurl");
    }
    curl_multi_setopt(created->multi, CURLMOPT_MAXCONNECTS, (long)MAX_IDLE_CONNECTIONS);
    curl_multi_setopt(created->multi, CURLMOPT_MAX_HOST_CONNECTIONS, (long)MAX_PER_HOST);
    if (tls != NULL) {
        created->trust_file = g_strdup(tls->trust_file);
        created->certificate_file = g_strdup(tls->certificate_file);
        created->key_file = g_strdup(tls->key_file);
    }
    g_mutex_init(&created->lock);
    created->active = g_hash_table_new(NULL, NULL);
    created->thread = g_thread_new("http-client", client_run, created);
    *client = created;
    return APR_SUCCESS;
}

void wb_http_client_stop(wb_http_client_t *client) {
    g_mutex_lock(&client->lock);
    client->stopping = TRUE;
    g_mutex_unlock(&client->lock);
    curl_multi_wakeup(client->multi);
    g_thread_join(client->thread);
    curl_multi_cleanup(client->multi);
    g_hash_table_unref(client->active);
    g_mutex_clear(&client->lock);
    g_free(client->trust_file);
    g_free(client->certificate_file);
    g_free(client->key_file);
    g_free(client);
}

static void call_set_headers(wb_http_call_t *call, const wb_http_request_t *request) {
    call->headers = curl_slist_append(NULL, "Expect:");
    for (const char *const *line = request->headers; line != NULL && *line != NULL; line++)
        call->headers = curl_slist_append(call->headers, *line);
    if (request->body != NULL)
        call->headers = curl_slist_append(call->headers, "Content-Type: application/json");
    curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
}

static void call_set_body(wb_http_call_t *call, const wb_http_request_t *request) {
    if (request->body == NULL && strcmp(request->method, "POST") != 0)
        return;
    call->body = g_strndup(request->body != NULL ? request->body : "", request->body_length);
    curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE, (long)request->body_length);
    curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, call->body);
}

static void call_set_tls(wb_http_call_t *call) {
    const wb_http_client_t *client = call->client;
    /* Machines are reached by IP addresses, which change, so the host name isn't verified; the
     * signing authority is. */
    curl_easy_setopt(call->easy, CURLOPT_SSL_VERIFYHOST, 0L);
    if (client->trust_file != NULL)
        curl_easy_setopt(call->easy, CURLOPT_CAINFO, client->trust_file);
    if (client->certificate_file != NULL)
        curl_easy_setopt(call->easy, CURLOPT_SSLCERT, client->certificate_file);
    if (client->key_file != NULL)
        curl_easy_setopt(call->easy, CURLOPT_SSLKEY, client->key_file);
}

wb_http_call_t *wb_http_client_call(wb_http_client_t *client, const wb_http_request_t *request) {
    wb_http_call_t *call = g_new0(wb_http_call_t, 1);
    call->references = request->keep_handle ? 2 : 1;
    call->client = client;
    call->easy = curl_easy_init();
    call->response = g_string_new(NULL);
    call->idle_timeout_us = request->idle_timeout_ms * 1000;
    call->retry_after_ms = -1;
    call->on_data = request->on_data;
    call->on_done = request->on_done;
    call->context = request->context;
    curl_easy_setopt(call->easy, CURLOPT_URL, request->url);
    curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(call->easy, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER_BYTES);
    curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(call->easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(call->easy, CURLOPT_ERRORBUFFER, call->reason);
    curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
    curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, body_receive);
    curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(call->easy, CURLOPT_HEADERFUNCTION, header_receive);
    curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call);
    /* libcurl repeats a request by itself when a reused connection turns out to be dead. It never
     * repeats one on a new connection. */
    curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, request->send_once ? 1L : 0L);
    call_set_headers(call, request);
    call_set_body(call, request);
    call_set_tls(call);
    curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, request->method);
    g_mutex_lock(&client->lock);
    g_queue_push_tail(&client->starting, call);
    g_mutex_unlock(&client->lock);
    curl_multi_wakeup(client->multi);
    return call;
}

void wb_http_call_cancel(wb_http_call_t *call) {
    wb_http_client_t *client = call->client;
    g_mutex_lock(&client->lock);
    g_queue_push_tail(&client->cancelling, wb_http_call_ref(call));
    g_mutex_unlock(&client->lock);
    curl_multi_wakeup(client->multi);
}

/* A call whose result is delivered on a loop's thread. */
typedef struct wb_http_fetch_t {
    wb_loop_t *loop;
    wb_http_done_fn on_done;
    void *context;
    wb_http_result_t result;
    char *body;
    char *reason;
} wb_http_fetch_t;

static void fetch_deliver(void *data) {
    wb_http_fetch_t *fetch = data;
    fetch->on_done(&fetch->result, fetch->context);
    g_free(fetch->body);
    g_free(fetch->reason);
    g_free(fetch);
}

static void fetch_done(const wb_http_result_t *result, void *context) {
    wb_http_fetch_t *fetch = context;
    fetch->result = *result;
    fetch->body = g_strndup(result->body, result->body_length);
    fetch->reason = g_strdup(result->reason);
    fetch->result.body = fetch->body;
    fetch->result.reason = fetch->reason;
    wb_loop_post(fetch->loop, fetch_deliver, fetch);
}

void wb_http_client_fetch(wb_http_client_t *client, wb_loop_t *loop,
                          const wb_http_request_t *request) {
    wb_http_fetch_t *fetch = g_new0(wb_http_fetch_t, 1);
    fetch->loop = loop;
    fetch->on_done = request->on_done;
    fetch->context = request->context;
    wb_http_request_t copy = *request;
    copy.on_done = fetch_done;
    copy.context = fetch;
    wb_http_client_call(client, &copy);
}
