/* Runs requests on engines: sends them, passes answers on, takes up cut streams, or moves on. */
#include "gateway_types.h"

#include "wickbridge/json.h"
#include "wickbridge/log.h"

#include <stdlib.h>
#include <string.h>

#define RESUME_LIMIT 3
#define RESUME_WAIT_MS 60
#define RESUME_TIMEOUT_MS 1500 /* silence of an engine that we ask about a stream */
#define DOWN_UNREACHABLE_MS 1000
#define DOWN_NOT_LOADED_MS 200
#define DOWN_LEAVING_MS 5000
#define DOWN_FULL_MS 30
#define RETRY_AFTER_MS 1000
#define MAX_HEADERS 8
#define HEADER_SIZE 320

static const char last_event[] = "data: [DONE]\n\n";

static wb_http_client_t *client_of(const gw_request_t *request) {
    const wb_gateway_parts_t *parts = &request->gateway->parts;
    return parts->clients[g_str_hash(request->id) % parts->client_count];
}

static char *stream_url(const gw_request_t *request, const char *query) {
    return g_strdup_printf("%s://%s/engine/v1/streams/%s%s",
                           request->gateway->options.engine_scheme, request->engine_address,
                           request->stream, query);
}

/* The caller went away, or has its whole answer. On an HTTP server thread. */
static void stream_closed(gboolean whole, void *context) {
    gw_request_t *request = context;
    if (!whole && request->key == NULL) {
        g_mutex_lock(&request->lock);
        request->caller_gone = TRUE;
        wb_http_call_t *call = request->call != NULL ? wb_http_call_ref(request->call) : NULL;
        g_mutex_unlock(&request->lock);
        if (call != NULL) {
            wb_http_call_cancel(call);
            wb_http_call_unref(call);
        }
    }
    request_unref(request);
}

static void stream_begin(gw_request_t *request) {
    request->stream_begun = TRUE;
    answer_headers(request, NULL);
    wb_http_exchange_add_header(request->exchange, "Cache-Control", "no-cache");
    wb_http_exchange_stream_begin(request->exchange, 200, "text/event-stream", stream_closed,
                                  request_ref(request));
}

static int events_count(const char *data, size_t length) {
    int count = 0;
    const char *place = data;
    const char *end = data + length;
    while ((place = memchr(place, '\n', (size_t)(end - place))) != NULL && place + 1 < end) {
        if (place[1] == '\n') {
            count++;
            place++;
        }
        place++;
    }
    return count;
}

/* The length of the whole events at the front. */
static size_t whole_length(const char *data, size_t length) {
    for (size_t end = length; end >= 2; end--)
        if (data[end - 1] == '\n' && data[end - 2] == '\n')
            return end;
    return 0;
}

static void events_pass(gw_request_t *request, const char *data, size_t length) {
    int events = events_count(data, length);
    request->events += events;
    g_atomic_int_add(&request->gateway->counters.events, events);
    size_t last = sizeof(last_event) - 1;
    if (length >= last && memcmp(data + length - last, last_event, last) == 0)
        request->done_seen = TRUE;
    wb_http_exchange_stream_write(request->exchange, data, length);
}

/* Passes whole events on; the start of another one waits for its rest. */
static void run_data(const char *data, size_t length, void *context) {
    gw_request_t *request = context;
    if (request->stage == STAGE_FINISHED)
        return;
    if (!request->stream_begun)
        stream_begin(request);
    if (request->partial->len > 0) {
        g_string_append_len(request->partial, data, (gssize)length);
        size_t whole = whole_length(request->partial->str, request->partial->len);
        if (whole == 0)
            return;
        events_pass(request, request->partial->str, whole);
        g_string_erase(request->partial, 0, (gssize)whole);
        return;
    }
    size_t whole = whole_length(data, length);
    if (whole > 0)
        events_pass(request, data, whole);
    if (whole < length)
        g_string_append_len(request->partial, data + whole, (gssize)(length - whole));
}

static void call_set(gw_request_t *request, wb_http_call_t *call) {
    g_mutex_lock(&request->lock);
    wb_http_call_t *old = request->call;
    request->call = call;
    gboolean gone = request->caller_gone;
    g_mutex_unlock(&request->lock);
    if (old != NULL)
        wb_http_call_unref(old);
    if (gone && call != NULL)
        wb_http_call_cancel(call);
}

/* The call may end before its handle is stored; then the handle is stale but still referenced, and
 * the next call or the request's end drops it. */
static void call_start(gw_request_t *request, wb_http_request_t *call) {
    request->stage = STAGE_RUNNING;
    request_ref(request); /* keeps the request while the handle is stored */
    call->keep_handle = TRUE;
    call_set(request, wb_http_client_call(client_of(request), call));
    request_unref(request);
}

static void run_ended(const wb_http_result_t *result, void *context);

static const char *kind_query(const gw_request_t *request) {
    static const char *const queries[] = {"?kind=chat", "?kind=completion", "?kind=call"};
    return queries[request->kind];
}

static void headers_fill(const gw_request_t *request, char lines[MAX_HEADERS][HEADER_SIZE],
                         const char *headers[MAX_HEADERS + 1]) {
    int count = 0;
    g_snprintf(lines[count++], HEADER_SIZE, "Engine-Model: %s", request->model);
    if (*request->adapter != '\0')
        g_snprintf(lines[count++], HEADER_SIZE, "Engine-Adapter: %s", request->adapter);
    g_snprintf(lines[count++], HEADER_SIZE, "Engine-Stream: %d", request->streaming ? 1 : 0);
    if (request->path != NULL)
        g_snprintf(lines[count++], HEADER_SIZE, "Engine-Path: %s", request->path);
    if (request->seed != NULL && request->events > 0) {
        g_snprintf(lines[count++], HEADER_SIZE, "Engine-Seed: %s", request->seed);
        g_snprintf(lines[count++], HEADER_SIZE, "Engine-Offset: %d", request->events);
    }
    for (int i = 0; i < count; i++)
        headers[i] = lines[i];
    headers[count] = NULL;
}

void run_on_engine(gw_request_t *request) {
    char lines[MAX_HEADERS][HEADER_SIZE];
    const char *headers[MAX_HEADERS + 1];
    headers_fill(request, lines, headers);
    g_string_truncate(request->partial, 0);
    request->resumes = 0;
    g_autofree char *url = stream_url(request, kind_query(request));
    int64_t left_ms = MAX(request_time_left_ms(request), 1);
    wb_http_request_t call = {.method = "POST",
                              .url = url,
                              .headers = headers,
                              .body = request->body,
                              .body_length = request->body_length,
                              .timeout_ms = request->streaming ? 0 : left_ms,
                              .idle_timeout_ms =
                                  request->streaming ? request->gateway->options.stream_idle_ms : 0,
                              .send_once = !request->repeatable,
                              .on_data = request->streaming ? run_data : NULL,
                              .on_done = run_ended,
                              .context = request};
    call_start(request, &call);
}

void run_attach(gw_request_t *request) {
    g_autofree char *query =
        g_strdup_printf("?offset=%d&stream=%d", request->events, request->streaming ? 1 : 0);
    g_autofree char *url = stream_url(request, query);
    g_string_truncate(request->partial, 0);
    int64_t left_ms = MAX(request_time_left_ms(request), 1);
    wb_http_request_t call = {.method = "GET",
                              .url = url,
                              .timeout_ms = request->streaming ? 0 : left_ms,
                              .idle_timeout_ms =
                                  request->streaming ? request->gateway->options.stream_idle_ms : 0,
                              .on_data = request->streaming ? run_data : NULL,
                              .on_done = run_ended,
                              .context = request};
    call_start(request, &call);
}

static void request_over(gw_request_t *request) {
    request_unref(request);
}

/* The deadline is for the first byte of a stream, and for the whole of other answers. */
static gboolean deadline_is_over(const gw_request_t *request) {
    return !request->stream_begun && request_time_left_ms(request) <= 0;
}

static void cancel_ignored(const wb_http_result_t *result, void *context) {
    (void)result;
    request_unref(context);
}

/* Tells the engine that nobody wants the stream any more. */
void run_cancel(gw_request_t *request) {
    g_autofree char *url = stream_url(request, "");
    wb_http_request_t call = {.method = "DELETE",
                              .url = url,
                              .timeout_ms = RESUME_TIMEOUT_MS,
                              .on_done = cancel_ignored,
                              .context = request_ref(request)};
    wb_http_client_call(client_of(request), &call);
}

/* Back to the queue, in front; for runs that are known not to have happened, or that may be
 * repeated. */
void run_again(gw_request_t *request, const char *why) {
    wb_gateway_t *gateway = request->gateway;
    request_why(request, "%s", why);
    request->attached = FALSE;
    if (request->repeatable)
        request->may_have_run = FALSE;
    if (request->caller_gone) {
        answer_caller_gone(request);
        request_over(request);
        return;
    }
    if (request->attempts >= gateway->options.attempt_limit || deadline_is_over(request)) {
        answer_not_run(request, RETRY_AFTER_MS, "no_engine", why);
        request_over(request);
        return;
    }
    request_name_stream(request);
    GQueue starting = G_QUEUE_INIT;
    int64_t now_ms = wb_clock_ms();
    g_mutex_lock(&request->shard->lock);
    gw_target_t *target = target_get(request->shard, request->model, request->adapter, "", now_ms);
    target->wanted_waiting = 0; /* the owner hears of it at once */
    target_enqueue(target, request, TRUE);
    target_dispatch(gateway, target, &starting, now_ms);
    g_mutex_unlock(&request->shard->lock);
    run_start_all(&starting);
    want_now(gateway);
}

void run_start_all(GQueue *starting) {
    gw_request_t *request;
    while ((request = g_queue_pop_head(starting)) != NULL) {
        if (request->key != NULL)
            claim_ask(request, request->claim_attempt);
        else
            run_on_engine(request);
    }
}

static void run_completed(gw_request_t *request, const wb_http_result_t *result) {
    target_release(request, TRUE, FALSE, 0);
    if (request->streaming) {
        claim_tell_done(request, 200, "", 0);
        answer_stream_end(request);
    } else {
        claim_tell_done(request, 200, result->body, result->body_length);
        answer_whole(request, 200, result->body, result->body_length);
    }
    request_over(request);
}

/* The engine is lost with a run that may have happened. */
static void engine_lost(gw_request_t *request) {
    gboolean may_repeat = request->repeatable && !request->fetching &&
                          (!request->stream_begun || request->seed != NULL);
    target_release(request, FALSE, FALSE, DOWN_UNREACHABLE_MS);
    request->may_have_run = TRUE;
    if (!may_repeat) {
        answer_may_have_run(request, "The engine was lost while the request ran.");
        request_over(request);
        return;
    }
    g_atomic_int_inc(&request->gateway->counters.moved);
    run_again(request, "the engine was lost while the request ran");
}

static void attach_on_loop(void *context) {
    run_attach(context);
}

static void attach_later(void *context) {
    gw_request_t *request = context;
    wb_loop_after(request->gateway->parts.loop, RESUME_WAIT_MS, attach_on_loop, request);
}

/* Asks the engine for the rest of a stream that was cut. */
static void run_resume(gw_request_t *request) {
    if (request->caller_gone || deadline_is_over(request)) {
        gboolean gone = request->caller_gone;
        if (request->key == NULL) /* with a key, a retry may want the answer */
            run_cancel(request);
        target_release(request, FALSE, FALSE, 0);
        request->may_have_run = TRUE;
        if (gone)
            answer_caller_gone(request);
        else
            answer_error(request, 504, "server_error", "deadline_exceeded", WB_VERDICT_MAY_HAVE_RUN,
                         RETRY_AFTER_MS, "The deadline passed while the request ran.");
        request_over(request);
        return;
    }
    if (request->resumes++ >= RESUME_LIMIT) {
        engine_lost(request);
        return;
    }
    g_atomic_int_inc(&request->gateway->counters.resumed);
    wb_loop_post(request->gateway->parts.loop, attach_later, request);
}

static void never_seen_ended(const wb_http_result_t *result, void *context) {
    gw_request_t *request = context;
    json_t *body = json_loadb(result->body, result->body_length, 0, NULL);
    const char *was = wb_json_text(body, "was", "");
    gboolean answered = result->outcome == WB_HTTP_COMPLETED && result->status == 200;
    if (answered && (strcmp(was, "never-seen") == 0 || strcmp(was, "waiting") == 0 ||
                     strcmp(was, "forbidden") == 0)) {
        /* The engine will refuse the stream if it still arrives: the run did not happen. */
        request->may_have_run = FALSE;
        target_release(request, FALSE, FALSE, 0);
        run_again(request, "the request did not reach the engine");
    } else
        run_resume(request);
    json_decref(body);
}

/* The engine doesn't know the stream. It is told never to start it; then that is certain. */
static void run_forbid(gw_request_t *request) {
    g_autofree char *url = stream_url(request, "");
    wb_http_request_t call = {.method = "DELETE",
                              .url = url,
                              .timeout_ms = RESUME_TIMEOUT_MS,
                              .on_done = never_seen_ended,
                              .context = request};
    call_start(request, &call);
}

/* Another node may have told the engine not to run it, or ran it itself: see the key's claim. */
static void run_claim_again(gw_request_t *request) {
    request_name_stream(request);
    claim_ask(request, 0);
}

static void fetch_unknown(gw_request_t *request) {
    answer_error(request, 503, "server_error", "not_started", WB_VERDICT_MAY_HAVE_RUN,
                 RETRY_AFTER_MS, "The engine doesn't know this request, or not yet.");
    request_over(request);
}

/* The engine doesn't know the stream of an earlier run, or that run was cancelled. What does that
 * prove? Nothing, if the engine may have forgotten it. */
static void first_run_unknown(gw_request_t *request) {
    int64_t age_ms = wb_clock_ms() - request->attached_ms;
    if (request->attached_done)
        answer_error(request, 410, "invalid_request_error", "answer_expired", WB_VERDICT_COMPLETED,
                     -1, "The request ran to its end; its answer is no longer kept.");
    else if (age_ms >= request->gateway->options.stream_memory_ms)
        answer_may_have_run(request, "The engine no longer remembers the key's first run.");
    else {
        run_forbid(request);
        return;
    }
    request_over(request);
}

static void run_not_found(gw_request_t *request, const char *code) {
    gboolean unknown = strcmp(code, "unknown_stream") == 0;
    if (unknown && request->fetching)
        fetch_unknown(request);
    else if (unknown && request->attached)
        first_run_unknown(request);
    else if (unknown)
        run_forbid(request);
    else {
        target_release(request, FALSE, FALSE, DOWN_NOT_LOADED_MS);
        run_again(request, "the engine does not hold the model");
    }
}

/* The stream was cancelled. One that was forbidden before it began has certainly not run. */
static void run_cancelled(gw_request_t *request, const char *code) {
    gboolean forbidden = strcmp(code, "forbidden") == 0;
    if (forbidden && request->attached && !request->fetching) {
        request->may_have_run = FALSE;
        run_again(request, "the key's first run was forbidden before it began");
    } else if (forbidden && !request->attached && request->key != NULL)
        run_claim_again(request);
    else
        engine_lost(request);
}

/* The engine answered with something else than 200. */
static void run_refused(gw_request_t *request, const wb_http_result_t *result) {
    json_t *body = json_loadb(result->body, result->body_length, 0, NULL);
    g_autofree char *code =
        g_strdup(wb_json_text(json_object_get(body, "error"), "code", "unknown"));
    json_decref(body);
    switch (result->status) {
    case 404:
        run_not_found(request, code);
        break;
    case 409:
        if (request->key != NULL)
            run_claim_again(request);
        else
            run_attach(request); /* it has our stream already */
        break;
    case 410:
        run_cancelled(request, code);
        break;
    case 429:
        target_release(request, FALSE, TRUE, DOWN_FULL_MS);
        request->attempts--; /* a full queue is no failure */
        run_again(request, "the engine's queue is full");
        break;
    case 503:
        target_release(request, FALSE, FALSE, DOWN_LEAVING_MS);
        run_again(request, "the engine is leaving");
        break;
    case 400:
        target_release(request, FALSE, FALSE, 0);
        answer_error(request, 400, "invalid_request_error", code, WB_VERDICT_NOT_RUN, -1,
                     "The engine did not accept the request.");
        request_over(request);
        break;
    default:
        run_resume(request);
    }
}

/* A call to an engine is over, on the HTTP client's thread. */
static void run_ended(const wb_http_result_t *result, void *context) {
    gw_request_t *request = context;
    call_set(request, NULL);
    if (request->seed == NULL && result->seed != NULL)
        request->seed = g_strdup(result->seed);
    gboolean answered = result->outcome == WB_HTTP_COMPLETED;
    gboolean whole =
        answered && result->status == 200 && (!request->streaming || request->done_seen);
    if (whole || (request->streaming && request->done_seen))
        run_completed(request, result);
    else if (answered && result->status != 200)
        run_refused(request, result);
    else if (result->outcome == WB_HTTP_NOT_SENT && !request->may_have_run) {
        target_release(request, FALSE, FALSE, DOWN_UNREACHABLE_MS);
        run_again(request, "the engine can't be reached");
    } else {
        request->may_have_run = TRUE;
        request_why(request, "cut from the engine: %s", result->reason);
        run_resume(request);
    }
}
