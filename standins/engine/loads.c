/* Fetches weights from the platform's weight store; retries after Retry-After, or RETRY_MS without
 * one. */
#include "engine.h"

#include <string.h>

#define RETRY_MS 250

typedef struct loads_fetch_t {
    int64_t full_speed_ms;
    loads_finished_fn finished;
    void *ticket;
    char *body;
    char *url;
} loads_fetch_t;

static void fetch_start(loads_fetch_t *fetch);

typedef struct loads_retry_t {
    loads_fetch_t *fetch;
    int64_t wait_ms;
} loads_retry_t;

static gpointer retry_run(gpointer data) {
    loads_retry_t *retry = data;
    g_usleep((gulong)retry->wait_ms * 1000);
    fetch_start(retry->fetch);
    g_free(retry);
    return NULL;
}

static void fetch_done(const wb_http_result_t *result, void *context) {
    loads_fetch_t *fetch = context;
    if (result->outcome == WB_HTTP_COMPLETED && result->status == 200) {
        fetch->finished(fetch->ticket);
        g_free(fetch->body);
        g_free(fetch->url);
        g_free(fetch);
        return;
    }
    loads_retry_t *retry = g_new(loads_retry_t, 1);
    retry->fetch = fetch;
    retry->wait_ms = result->retry_after_ms >= 0 ? result->retry_after_ms : RETRY_MS;
    g_thread_unref(g_thread_new("load-retry", retry_run, retry));
}

static void fetch_start(loads_fetch_t *fetch) {
    wb_http_request_t request = {.method = "POST",
                                 .url = fetch->url,
                                 .body = fetch->body,
                                 .body_length = strlen(fetch->body),
                                 .on_done = fetch_done,
                                 .context = fetch};
    wb_http_client_call(engine_client, &request);
}

void loads_fetch_remote(int64_t full_speed_ms, loads_finished_fn finished, void *ticket) {
    loads_fetch_t *fetch = g_new0(loads_fetch_t, 1);
    fetch->full_speed_ms = full_speed_ms;
    fetch->finished = finished;
    fetch->ticket = ticket;
    fetch->body = g_strdup_printf("{\"full_speed_ms\":%" G_GINT64_FORMAT "}", full_speed_ms);
    fetch->url = g_strdup_printf("http://%s/weights/v1/loads", engine_settings.weights);
    fetch_start(fetch);
}
