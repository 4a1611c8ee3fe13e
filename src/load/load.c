/* Load generator: keeps a number of streams open against nodes or engines and measures them. */
#include "wickbridge/load.h"

#include <string.h>

#define GAP_SAMPLE_INTERVAL 8 /* one of this many gaps is recorded, to save memory */
#define STREAM_TIMEOUT_MS 300000

typedef struct load_run_t load_run_t;

/* One open stream; restarted when it ends. */
typedef struct load_stream_t {
    load_run_t *run;
    int number;
    gint64 started_us;
    gint64 received_us;
    int events;
    int chunks;
    char tail[16]; /* last bytes received, to detect the final event */
} load_stream_t;

struct load_run_t {
    const wb_load_plan_t *plan;
    wb_load_result_t *result; /* used on the HTTP client's thread only while the run lasts */
    wb_http_client_t *client;
    gint64 deadline_us;
    int address_count;
    int next_address;
    guint64 stream_ids;
    GMutex lock;
    GCond ended;
    int open;
};

static void stream_start(load_stream_t *stream);

static void tail_append(load_stream_t *stream, const char *data, size_t length) {
    size_t capacity = sizeof(stream->tail) - 1;
    if (length >= capacity) {
        memcpy(stream->tail, data + length - capacity, capacity);
        return;
    }
    memmove(stream->tail, stream->tail + length, capacity - length);
    memcpy(stream->tail + capacity - length, data, length);
}

static int count_events(const char *data, size_t length) {
    int count = 0;
    for (size_t i = 0; i + 1 < length; i++)
        if (data[i] == '\n' && data[i + 1] == '\n')
            count++;
    return count;
}

static void stream_data(const char *data, size_t length, void *context) {
    load_stream_t *stream = context;
    wb_load_result_t *result = stream->run->result;
    gint64 now_us = g_get_monotonic_time();
    int events = count_events(data, length);
    if (stream->events == 0 && events > 0)
        wb_samples_add(&result->first_token, (double)(now_us - stream->started_us) / 1000.0);
    else if (stream->chunks % GAP_SAMPLE_INTERVAL == 0)
        wb_samples_add(&result->gaps, (double)(now_us - stream->received_us) / 1000.0);
    stream->chunks++;
    stream->received_us = now_us;
    stream->events += events;
    result->events += events;
    tail_append(stream, data, length);
}

static void stream_ended(const wb_http_result_t *outcome, void *context) {
    load_stream_t *stream = context;
    load_run_t *run = stream->run;
    gboolean completed = outcome->outcome == WB_HTTP_COMPLETED;
    gboolean has_last_event = memcmp(stream->tail + 1, "data: [DONE]\n\n", 14) == 0;
    if (completed && outcome->status == 200 && has_last_event &&
        stream->events == run->plan->tokens + 2)
        run->result->whole++;
    else if (completed && outcome->status == 503 && strstr(outcome->body, "not-run") != NULL)
        run->result->refused++;
    else
        run->result->broken++;
    if (g_get_monotonic_time() < run->deadline_us) {
        stream_start(stream);
        return;
    }
    g_mutex_lock(&run->lock);
    run->open--;
    g_cond_signal(&run->ended);
    g_mutex_unlock(&run->lock);
}

static char *stream_url(load_run_t *run, const char *address) {
    if (!run->plan->direct)
        return g_strdup_printf("http://%s/v1/chat/completions", address);
    return g_strdup_printf("http://%s/engine/v1/streams/load-%" G_GINT64_MODIFIER "x-%d?kind=chat",
                           address, (guint64)g_get_monotonic_time(), (int)++run->stream_ids);
}

static void stream_start(load_stream_t *stream) {
    load_run_t *run = stream->run;
    const wb_load_plan_t *plan = run->plan;
    const char *address = plan->addresses[run->next_address++ % run->address_count];
    g_autofree char *url = stream_url(run, address);
    g_autofree char *body = g_strdup_printf(
        "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,\"messages\":[{\"role\":\"user\","
        "\"content\":\"stream %d\"}]}",
        plan->model, plan->tokens, stream->number);
    g_autofree char *model = g_strconcat("Engine-Model: ", plan->model, NULL);
    g_autofree char *owner =
        plan->owner != NULL ? g_strconcat("Wickbridge-Owner: ", plan->owner, NULL) : NULL;
    const char *direct_headers[] = {model, "Engine-Stream: 1", NULL};
    const char *node_headers[] = {owner, NULL};
    stream->started_us = g_get_monotonic_time();
    stream->events = 0;
    stream->chunks = 0;
    memset(stream->tail, 0, sizeof(stream->tail));
    wb_http_request_t request = {.method = "POST",
                                 .url = url,
                                 .headers = plan->direct ? direct_headers : node_headers,
                                 .body = body,
                                 .body_length = strlen(body),
                                 .timeout_ms = STREAM_TIMEOUT_MS,
                                 .on_data = stream_data,
                                 .on_done = stream_ended,
                                 .context = stream};
    wb_http_client_call(run->client, &request);
}

void wb_load_run(const wb_load_plan_t *plan, wb_load_result_t *result) {
    load_run_t run = {.plan = plan, .result = result, .open = plan->streams};
    memset(result, 0, sizeof(*result));
    wb_samples_init(&result->first_token);
    wb_samples_init(&result->gaps);
    while (plan->addresses[run.address_count] != NULL)
        run.address_count++;
    g_mutex_init(&run.lock);
    g_cond_init(&run.ended);
    if (wb_http_client_start(&run.client, NULL, NULL) != APR_SUCCESS)
        return;
    gint64 started_us = g_get_monotonic_time();
    run.deadline_us = started_us + plan->run_ms * 1000;
    g_autofree load_stream_t *streams = g_new0(load_stream_t, (gsize)plan->streams);
    for (int i = 0; i < plan->streams; i++) {
        streams[i].run = &run;
        streams[i].number = i;
        stream_start(&streams[i]);
    }
    g_mutex_lock(&run.lock);
    while (run.open > 0)
        g_cond_wait(&run.ended, &run.lock);
    g_mutex_unlock(&run.lock);
    result->seconds = (double)(g_get_monotonic_time() - started_us) / 1e6;
    wb_http_client_stop(run.client);
    g_mutex_clear(&run.lock);
    g_cond_clear(&run.ended);
}

void wb_load_result_clear(wb_load_result_t *result) {
    wb_samples_clear(&result->first_token);
    wb_samples_clear(&result->gaps);
}
