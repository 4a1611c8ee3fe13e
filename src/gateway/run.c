/* Runs requests on engines: sends them, forwards responses to the client, resumes interrupted
 * streams, and retries on another engine where that is safe.
 *
 * Times are in milliseconds. The callbacks of engine calls run on the HTTP client's thread, the
 * other functions on their caller's. A call ends in run_done, which finishes the request
 * (response.c), resumes its stream, or queues it again (run_retry). request->may_have_run decides
 * which errors the client may get. */
#include "gateway_types.h"

#include "wickbridge/json.h"
#include "wickbridge/log.h"

#include <stdlib.h>
#include <string.h>

#define RESUME_LIMIT 3
#define RESUME_DELAY_MS 60
#define DELETE_TIMEOUT_MS 1500 /* of a DELETE for a stream */
/* Times for which a replica isn't used, by reason. */
#define DOWN_UNREACHABLE_MS 1000
#define DOWN_NOT_LOADED_MS 200
#define DOWN_DRAINING_MS 5000
#define DOWN_QUEUE_FULL_MS 30
#define RETRY_AFTER_MS 1000
#define MAX_HEADERS 8
#define HEADER_SIZE 320

static const char last_event[] = "data: [DONE]\n\n";

static wb_http_client_t *http_client_for(const gw_request_t *request) {
    const wb_gateway_parts_t *parts = &request->gateway->parts;
    return parts->clients[g_str_hash(request->id) % parts->client_count];
}

static char *stream_url(const gw_request_t *request, const char *query) {
    return g_strdup_printf("%s://%s/engine/v1/streams/%s%s",
                           request->gateway->options.engine_scheme, request->engine_address,
                           request->stream, query);
}

/* The stream to the client has ended; complete is FALSE if the client disconnected. A run
 * with a key goes on, so that a retry can get its response. On an HTTP server thread. */
static void stream_closed(gboolean complete, void *context) {
    gw_request_t *request = context;
    if (!complete && request->key == NULL) {
        g_mutex_lock(&request->lock);
        request->client_gone = TRUE;
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
    request->stream_started = TRUE;
    response_add_headers(request, NULL);
    wb_http_exchange_add_header(request->exchange, "Cache-Control", "no-cache");
    wb_http_exchange_stream_begin(request->exchange, 200, "text/event-stream", stream_closed,
                                  request_ref(request));
}

static int events_count(const char *data, size_t length) {
    int count = 0;
    const char *position = data;
    const char *end = data + length;
    while ((position = memchr(position, '\n', (size_t)(end - position))) != NULL &&
           position + 1 < end) {
        if (position[1] == '\n') {
            count++;
            position++;
        }
        position++;
    }
    return count;
}

/* Returns the length of the complete events at the start of data. */
static size_t complete_events_length(const char *data, size_t length) {
    for (size_t end = length; end >= 2; end--)
        if (data[end - 1] == '\n' && data[end - 2] == '\n')
            return end;
    return 0;
}

static void events_forward(gw_request_t *request, const char *data, size_t length) {
    int events = events_count(data, length);
    request->events += events;
    g_atomic_int_add(&request->gateway->counters.events, events);
    size_t last = sizeof(last_event) - 1;
    if (length >= last && memcmp(data + length - last, last_event, last) == 0)
        request->done_forwarded = TRUE;
    wb_http_exchange_stream_write(request->exchange, data, length);
}

/* Forwards complete events and buffers an incomplete one. */
static void run_on_data(const char *data, size_t length, void *context) {
    gw_request_t *request = context;
    if (request->stage == STAGE_FINISHED)
        return;
    if (!request->stream_started)
        stream_begin(request);
    if (request->partial_event->len > 0) {
        g_string_append_len(request->partial_event, data, (gssize)length);
        size_t complete =
            complete_events_length(request->partial_event->str, request->partial_event->len);
        if (complete == 0)
            return;
        events_forward(request, request->partial_event->str, complete);
        g_string_erase(request->partial_event, 0, (gssize)complete);
        return;
    }
    size_t complete = complete_events_length(data, length);
    if (complete > 0)
        events_forward(request, data, complete);
    if (complete < length)
        g_string_append_len(request->partial_event, data + complete, (gssize)(length - complete));
}

/* Replaces the request's call handle. Cancels the new call if the client has disconnected. */
static void request_set_call(gw_request_t *request, wb_http_call_t *call) {
    g_mutex_lock(&request->lock);
    wb_http_call_t *old = request->call;
    request->call = call;
    gboolean client_left = request->client_gone;
    g_mutex_unlock(&request->lock);
    if (old != NULL)
        wb_http_call_unref(old);
    if (client_left && call != NULL)
        wb_http_call_cancel(call);
}

/* The call may end before its handle is stored. The handle is then stale but still a valid
 * reference, which the next call or request_unref drops. */
static void engine_call_start(gw_request_t *request, wb_http_request_t *call) {
    request->stage = STAGE_RUNNING;
    /* run_done may drop the request's last reference before the handle is stored. */
    request_ref(request);
    call->keep_handle = TRUE;
    request_set_call(request, wb_http_client_call(http_client_for(request), call));
    request_unref(request);
}

static void run_done(const wb_http_result_t *result, void *context);

static const char *kind_query_string(const gw_request_t *request) {
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
    g_string_truncate(request->partial_event, 0);
    request->resume_count = 0;
    g_autofree char *url = stream_url(request, kind_query_string(request));
    int64_t timeout_left_ms = MAX(request_time_left_ms(request), 1);
    wb_http_request_t call = {.method = "POST",
                              .url = url,
                              .headers = headers,
                              .body = request->body,
                              .body_length = request->body_length,
                              .timeout_ms = request->streaming ? 0 : timeout_left_ms,
                              .idle_timeout_ms =
                                  request->streaming ? request->gateway->options.stream_idle_ms : 0,
                              .send_once = !request->repeatable,
                              .on_data = request->streaming ? run_on_data : NULL,
                              .on_done = run_done,
                              .context = request};
    engine_call_start(request, &call);
}

void run_attach(gw_request_t *request) {
    g_autofree char *query =
        g_strdup_printf("?offset=%d&stream=%d", request->events, request->streaming ? 1 : 0);
    g_autofree char *url = stream_url(request, query);
    g_string_truncate(request->partial_event, 0);
    int64_t timeout_left_ms = MAX(request_time_left_ms(request), 1);
    wb_http_request_t call = {.method = "GET",
                              .url = url,
                              .timeout_ms = request->streaming ? 0 : timeout_left_ms,
                              .idle_timeout_ms =
                                  request->streaming ? request->gateway->options.stream_idle_ms : 0,
                              .on_data = request->streaming ? run_on_data : NULL,
                              .on_done = run_done,
                              .context = request};
    engine_call_start(request, &call);
}

static void request_release(gw_request_t *request) {
    request_unref(request);
}

/* The deadline applies to the start of a stream, and to the complete response otherwise. */
static gboolean deadline_has_passed(const gw_request_t *request) {
    return !request->stream_started && request_time_left_ms(request) <= 0;
}

static void cancel_done(const wb_http_result_t *result, void *context) {
    (void)result;
    request_unref(context);
}

void run_cancel(gw_request_t *request) {
    g_autofree char *url = stream_url(request, "");
    wb_http_request_t call = {.method = "DELETE",
                              .url = url,
                              .timeout_ms = DELETE_TIMEOUT_MS,
                              .on_done = cancel_done,
                              .context = request_ref(request)};
    wb_http_client_call(http_client_for(request), &call);
}

/* Queues the request at the front. Only for runs that are known not to have happened, or that may
 * be repeated. */
void run_retry(gw_request_t *request, const char *reason) {
    wb_gateway_t *gateway = request->gateway;
    request_set_reason(request, "%s", reason);
    request->attached = FALSE;
    if (request->repeatable)
        request->may_have_run = FALSE;
    if (request->client_gone) {
        response_end_client_gone(request);
        request_release(request);
        return;
    }
    if (request->attempts >= gateway->options.attempt_limit || deadline_has_passed(request)) {
        response_send_not_run(request, RETRY_AFTER_MS, "no_engine", reason);
        request_release(request);
        return;
    }
    request_new_stream_id(request);
    GQueue starting = G_QUEUE_INIT;
    int64_t now_ms = wb_clock_ms();
    g_mutex_lock(&request->shard->lock);
    gw_target_t *target = target_get(request->shard, request->model, request->adapter, "", now_ms);
    target->sent_waiting = 0; /* makes demand_is_due TRUE: the owner is informed at once */
    target_enqueue(target, request, TRUE);
    target_dispatch(gateway, target, &starting, now_ms);
    g_mutex_unlock(&request->shard->lock);
    run_start_all(&starting);
    demand_report_now(gateway);
}

void run_start_all(GQueue *starting) {
    gw_request_t *request;
    while ((request = g_queue_pop_head(starting)) != NULL) {
        if (request->key != NULL)
            claim_start(request, request->claim_attempt);
        else
            run_on_engine(request);
    }
}

static void run_completed(gw_request_t *request, const wb_http_result_t *result) {
    target_release(request, TRUE, FALSE, 0);
    if (request->streaming) {
        claim_report_completed(request, 200, "", 0);
        response_end_stream(request);
    } else {
        claim_report_completed(request, 200, result->body, result->body_length);
        response_send_complete(request, 200, result->body, result->body_length);
    }
    request_release(request);
}

/* The run may have happened, and its stream can't be resumed. Retries a repeatable request; if its
 * stream has started, only with the engine's seed, which makes the output the same. */
static void engine_lost(gw_request_t *request) {
    gboolean may_repeat = request->repeatable && !request->fetch_only &&
                          (!request->stream_started || request->seed != NULL);
    target_release(request, FALSE, FALSE, DOWN_UNREACHABLE_MS);
    request->may_have_run = TRUE;
    if (!may_repeat) {
        response_send_may_have_run(request, "The engine was lost while the request ran.");
        request_release(request);
        return;
    }
    g_atomic_int_inc(&request->gateway->counters.moved);
    run_retry(request, "the engine was lost while the request ran");
}

static void attach_on_loop(void *context) {
    run_attach(context);
}

static void attach_after_delay(void *context) {
    gw_request_t *request = context;
    wb_loop_after(request->gateway->parts.loop, RESUME_DELAY_MS, attach_on_loop, request);
}

/* Resumes an interrupted stream after RESUME_DELAY_MS, up to RESUME_LIMIT times. */
static void run_resume(gw_request_t *request) {
    if (request->client_gone || deadline_has_passed(request)) {
        gboolean client_left = request->client_gone;
        if (request->key == NULL) /* with a key, a retry of the client may fetch the response */
            run_cancel(request);
        target_release(request, FALSE, FALSE, 0);
        request->may_have_run = TRUE;
        if (client_left)
            response_end_client_gone(request);
        else
            response_send_error(request, 504, "server_error", "deadline_exceeded",
                                WB_VERDICT_MAY_HAVE_RUN, RETRY_AFTER_MS,
                                "The deadline passed while the request ran.");
        request_release(request);
        return;
    }
    if (request->resume_count++ >= RESUME_LIMIT) {
        engine_lost(request);
        return;
    }
    g_atomic_int_inc(&request->gateway->counters.resumed);
    wb_loop_post(request->gateway->parts.loop, attach_after_delay, request);
}

/* The engine responded to the DELETE of run_forbid, or the call failed. */
static void forbid_done(const wb_http_result_t *result, void *context) {
    gw_request_t *request = context;
    json_t *body = json_loadb(result->body, result->body_length, 0, NULL);
    const char *was = wb_json_text(body, "was", "");
    gboolean answered = result->outcome == WB_HTTP_COMPLETED && result->status == 200;
    if (answered && (strcmp(was, "never-seen") == 0 || strcmp(was, "waiting") == 0 ||
                     strcmp(was, "forbidden") == 0)) {
        /* The run did not happen: the engine refuses the stream from now on, even if the request
         * still arrives. */
        request->may_have_run = FALSE;
        target_release(request, FALSE, FALSE, 0);
        run_retry(request, "the request did not reach the engine");
    } else
        run_resume(request);
    json_decref(body);
}

/* The engine doesn't know the stream. Forbids it on the engine, so that it can never start. */
static void run_forbid(gw_request_t *request) {
    g_autofree char *url = stream_url(request, "");
    wb_http_request_t call = {.method = "DELETE",
                              .url = url,
                              .timeout_ms = DELETE_TIMEOUT_MS,
                              .on_done = forbid_done,
                              .context = request};
    engine_call_start(request, &call);
}

/* Another node may have forbidden the stream, or run the request: claims the key again to find
 * out. */
static void run_reclaim(gw_request_t *request) {
    request_new_stream_id(request);
    claim_start(request, 0);
}

static void fetch_not_found(gw_request_t *request) {
    response_send_error(request, 503, "server_error", "not_started", WB_VERDICT_MAY_HAVE_RUN,
                        RETRY_AFTER_MS, "The engine doesn't know this request, or not yet.");
    request_release(request);
}

/* The engine doesn't know the stream of the key's first run. That proves nothing once the engine
 * may have dropped the stream, stream_memory_ms after the claim. */
static void first_run_not_found(gw_request_t *request) {
    int64_t age_ms = wb_clock_ms() - request->first_run_claimed_ms;
    if (request->first_run_completed)
        response_send_error(request, 410, "invalid_request_error", "answer_expired",
                            WB_VERDICT_COMPLETED, -1,
                            "The request ran to its end; its answer is no longer kept.");
    else if (age_ms >= request->gateway->options.stream_memory_ms)
        response_send_may_have_run(request, "The engine no longer remembers the key's first run.");
    else {
        run_forbid(request);
        return;
    }
    request_release(request);
}

static void run_not_found(gw_request_t *request, const char *code) {
    gboolean unknown = strcmp(code, "unknown_stream") == 0;
    if (unknown && request->fetch_only)
        fetch_not_found(request);
    else if (unknown && request->attached)
        first_run_not_found(request);
    else if (unknown)
        run_forbid(request);
    else {
        target_release(request, FALSE, FALSE, DOWN_NOT_LOADED_MS);
        run_retry(request, "the engine does not hold the model");
    }
}

/* The stream was cancelled. If it was forbidden before it began, it has not run. */
static void run_cancelled(gw_request_t *request, const char *code) {
    gboolean forbidden = strcmp(code, "forbidden") == 0;
    if (forbidden && request->attached && !request->fetch_only) {
        request->may_have_run = FALSE;
        run_retry(request, "the key's first run was forbidden before it began");
    } else if (forbidden && !request->attached && request->key != NULL)
        run_reclaim(request);
    else
        engine_lost(request);
}

/* The engine responded with a status other than 200. */
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
            run_reclaim(request);
        else
            run_attach(request); /* the engine already has this stream */
        break;
    case 410:
        run_cancelled(request, code);
        break;
    case 429:
        target_release(request, FALSE, TRUE, DOWN_QUEUE_FULL_MS);
        request->attempts--; /* a full queue isn't counted as an attempt */
        run_retry(request, "the engine's queue is full");
        break;
    case 503:
        target_release(request, FALSE, FALSE, DOWN_DRAINING_MS);
        run_retry(request, "the engine is leaving");
        break;
    case 400:
        target_release(request, FALSE, FALSE, 0);
        response_send_error(request, 400, "invalid_request_error", code, WB_VERDICT_NOT_RUN, -1,
                            "The engine did not accept the request.");
        request_release(request);
        break;
    default:
        run_resume(request);
    }
}

/* Whether an engine's answer is whole: the end of one without a frame may be that of the engine. */
static gboolean answer_is_whole(const wb_http_result_t *result) {
    size_t flags = JSON_DECODE_ANY | JSON_ALLOW_NUL | JSON_DECODE_INT_AS_REAL;
    if (result->framed)
        return TRUE;
    json_t *answer = json_loadb(result->body, result->body_length, flags, NULL);
    json_decref(answer);
    return answer != NULL;
}

/* A call to an engine has ended. On the HTTP client's thread. */
static void run_done(const wb_http_result_t *result, void *context) {
    gw_request_t *request = context;
    request_set_call(request, NULL);
    if (request->seed == NULL && result->seed != NULL)
        request->seed = g_strdup(result->seed);
    gboolean answered = result->outcome == WB_HTTP_COMPLETED;
    gboolean complete = answered && result->status == 200 &&
                        (request->streaming ? request->done_forwarded : answer_is_whole(result));
    if (complete || (request->streaming && request->done_forwarded))
        run_completed(request, result);
    else if (answered && result->status != 200)
        run_refused(request, result);
    else if (result->outcome == WB_HTTP_NOT_SENT && !request->may_have_run) {
        target_release(request, FALSE, FALSE, DOWN_UNREACHABLE_MS);
        run_retry(request, "the engine can't be reached");
    } else {
        request->may_have_run = TRUE;
        request_set_reason(request, "cut from the engine: %s",
                           answered ? "its answer is incomplete" : result->reason);
        run_resume(request);
    }
}
