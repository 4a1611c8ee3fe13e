/* Streams in a bounded batch: queued by priority, one token a step, resumable at an offset. */
#include "engine.h"

#include "wickbridge/json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define DEFAULT_TOKENS 16
#define MAX_TOKENS 100000
#define KEEP_ALIVE_MS 1000

typedef enum stream_state_t {
    STREAM_WAITING,
    STREAM_RUNNING,
    STREAM_DONE,
    STREAM_CANCELLED /* or cancelled before its start arrived */
} stream_state_t;

/* A connection that reads a stream. */
typedef struct stream_reader_t {
    wb_http_exchange_t *exchange;
    gboolean streaming; /* FALSE: gets the complete response at the end */
} stream_reader_t;

typedef struct engine_stream_t {
    char *id;
    char *model;
    char *adapter;
    stream_state_t state;
    gboolean ran; /* it has been in the batch */
    char *path;   /* path of a call */
    int priority;
    int64_t arrived;     /* order of arrival */
    int64_t ready_ms;    /* prefill ends */
    int64_t finished_ms; /* done or cancelled */
    int produced;        /* events so far */
    int64_t written_ms;  /* time of the last write to readers */
    answer_t answer;
    GPtrArray *readers;
} engine_stream_t;

static GHashTable *streams;
static GPtrArray *running;
static GPtrArray *waiting;
static json_t *ledger; /* calls that ran */
static int64_t arrivals;
static uint64_t seed_base;

void streams_setup(void) {
    streams = g_hash_table_new(g_str_hash, g_str_equal);
    running = g_ptr_array_new();
    waiting = g_ptr_array_new();
    ledger = json_array();
    seed_base =
        XXH64(engine_settings.id, strlen(engine_settings.id), (uint64_t)g_get_monotonic_time());
}

void streams_count(int *running_count, int *waiting_count) {
    *running_count = (int)running->len;
    *waiting_count = (int)waiting->len;
}

static void stream_free(engine_stream_t *stream) {
    g_ptr_array_unref(stream->readers);
    g_free(stream->answer.id);
    g_free(stream->answer.model);
    g_free(stream->answer.call_result);
    g_free(stream->model);
    g_free(stream->adapter);
    g_free(stream->path);
    g_free(stream->id);
    g_free(stream);
}

static engine_stream_t *stream_create(const char *id) {
    engine_stream_t *stream = g_new0(engine_stream_t, 1);
    stream->id = g_strdup(id);
    stream->readers = g_ptr_array_new_with_free_func(g_free);
    stream->arrived = ++arrivals;
    g_hash_table_insert(streams, stream->id, stream);
    return stream;
}

static void refuse(wb_http_exchange_t *exchange, unsigned status, const char *code,
                   int64_t retry_after_ms) {
    wb_http_exchange_add_header(exchange, "Engine-Verdict", "not-run");
    standin_reply_error(exchange, status, code, code, retry_after_ms);
}

/* Sends a reader what is produced so far, and adds it for the rest. Lock held. */
static void reader_add(engine_stream_t *stream, wb_http_exchange_t *exchange, gboolean streaming,
                       int offset) {
    char seed[24];
    g_snprintf(seed, sizeof(seed), "%" G_GUINT64_FORMAT, (guint64)stream->answer.seed);
    wb_http_exchange_add_header(exchange, "Engine-Seed", seed);
    gboolean done = stream->state == STREAM_DONE;
    if (!streaming && done) {
        char *complete = answer_whole(&stream->answer);
        wb_http_exchange_reply(exchange, 200, "application/json", complete, strlen(complete));
        g_free(complete);
        return;
    }
    if (streaming) {
        GString *text = g_string_new(NULL);
        for (int i = offset; i < stream->produced; i++)
            answer_append_event(text, &stream->answer, i);
        wb_http_exchange_stream_begin(exchange, 200, "text/event-stream", NULL, NULL);
        if (text->len > 0)
            wb_http_exchange_stream_write(exchange, text->str, text->len);
        g_string_free(text, TRUE);
        if (done) {
            wb_http_exchange_stream_end(exchange, TRUE);
            return;
        }
    }
    stream_reader_t *reader = g_new(stream_reader_t, 1);
    reader->exchange = exchange;
    reader->streaming = streaming;
    g_ptr_array_add(stream->readers, reader);
}

static void readers_finish(engine_stream_t *stream, gboolean complete) {
    char *text = complete ? answer_whole(&stream->answer) : NULL;
    for (guint i = 0; i < stream->readers->len; i++) {
        stream_reader_t *reader = stream->readers->pdata[i];
        if (reader->streaming)
            wb_http_exchange_stream_end(reader->exchange, complete);
        else if (complete)
            wb_http_exchange_reply(reader->exchange, 200, "application/json", text, strlen(text));
        else
            standin_reply_error(reader->exchange, 410, "cancelled", "The stream was cancelled.",
                                -1);
    }
    g_free(text);
    g_ptr_array_set_size(stream->readers, 0);
}

static void answer_prepare(engine_stream_t *stream, const json_t *body, const char *text,
                           size_t length) {
    answer_t *answer = &stream->answer;
    const json_t *prompt = json_object_get(body, "messages");
    if (prompt == NULL)
        prompt = json_object_get(body, "prompt");
    char *prompt_text = prompt != NULL ? wb_json_dump(prompt) : g_strndup(text, length);
    answer->prompt_hash = XXH64(prompt_text, strlen(prompt_text), 0);
    answer->prompt_bytes = (int64_t)strlen(prompt_text);
    free(prompt_text);
    int64_t tokens = wb_json_integer(
        body, "max_tokens", wb_json_integer(body, "max_completion_tokens", DEFAULT_TOKENS));
    answer->tokens = (int)CLAMP(tokens, 1, MAX_TOKENS);
    answer->id = g_strdup(stream->id);
    answer->created_s = g_get_real_time() / G_USEC_PER_SEC;
    answer->model = g_strdup(wb_json_text(body, "model", stream->model));
}

static answer_kind_t kind_parse(const char *kind) {
    if (kind != NULL && strcmp(kind, "call") == 0)
        return ANSWER_CALL;
    return kind != NULL && strcmp(kind, "completion") == 0 ? ANSWER_COMPLETION : ANSWER_CHAT;
}

static int header_integer(wb_http_exchange_t *exchange, const char *name, int fallback) {
    const char *value = wb_http_exchange_header(exchange, name);
    return value != NULL ? atoi(value) : fallback;
}

/* Returns 0 when the stream can start, else an HTTP status, with its code. Lock held. */
static unsigned start_check(const char *id, const char *model_name, const char *adapter,
                            const char **code) {
    if (g_hash_table_lookup(streams, id) != NULL) {
        *code = "stream_exists";
        return 409;
    }
    engine_model_t *model = models_find_loaded(model_name);
    if (model == NULL || (*adapter != '\0' && models_find_adapter(model, adapter) == NULL)) {
        *code = model == NULL ? "model_not_loaded" : "adapter_not_loaded";
        return 404;
    }
    if ((int64_t)waiting->len >= engine_settings.queue_limit) {
        *code = "queue_full";
        return 429;
    }
    return 0;
}

static void model_retain(const char *model_name, const char *adapter_name) {
    engine_model_t *model = models_find_loaded(model_name);
    model->running++;
    engine_adapter_t *adapter =
        *adapter_name != '\0' ? models_find_adapter(model, adapter_name) : NULL;
    if (adapter != NULL)
        adapter->running++;
}

void streams_start(wb_http_exchange_t *exchange, const char *id) {
    const char *model = wb_http_exchange_header(exchange, "Engine-Model");
    const char *adapter = wb_http_exchange_header(exchange, "Engine-Adapter");
    const char *seed = wb_http_exchange_header(exchange, "Engine-Seed");
    if (adapter == NULL)
        adapter = "";
    if (model == NULL) {
        refuse(exchange, 400, "no_model", -1);
        return;
    }
    if (engine_is_draining()) {
        refuse(exchange, 503, "leaving", 0);
        return;
    }
    size_t length;
    const char *text = wb_http_exchange_body(exchange, &length);
    json_t *body = json_loadb(text, length, 0, NULL);
    g_mutex_lock(&engine_lock);
    const char *code = NULL;
    unsigned status = start_check(id, model, adapter, &code);
    if (status != 0) {
        refuse(exchange, status, code, status == 429 ? 200 : -1);
    } else {
        engine_stream_t *stream = stream_create(id);
        stream->model = g_strdup(model);
        stream->adapter = g_strdup(adapter);
        const char *path = wb_http_exchange_header(exchange, "Engine-Path");
        stream->path = g_strdup(path != NULL ? path : "");
        stream->priority = header_integer(exchange, "Engine-Priority", 0);
        stream->produced = header_integer(exchange, "Engine-Offset", 0);
        int first = stream->produced;
        stream->answer.kind = kind_parse(wb_http_exchange_query(exchange, "kind"));
        stream->answer.seed = seed != NULL ? g_ascii_strtoull(seed, NULL, 10)
                                           : seed_base + (uint64_t)stream->arrived * 7919;
        answer_prepare(stream, body, text, length);
        if (stream->answer.kind == ANSWER_CALL)
            stream->answer.call_result = g_strndup(text, length);
        model_retain(model, adapter);
        g_ptr_array_add(waiting, stream);
        reader_add(stream, exchange, header_integer(exchange, "Engine-Stream", 0) != 0, first);
    }
    g_mutex_unlock(&engine_lock);
    json_decref(body);
}

void streams_resume(wb_http_exchange_t *exchange, const char *id) {
    const char *offset = wb_http_exchange_query(exchange, "offset");
    const char *streaming = wb_http_exchange_query(exchange, "stream");
    g_mutex_lock(&engine_lock);
    engine_stream_t *stream = g_hash_table_lookup(streams, id);
    if (stream == NULL)
        standin_reply_error(exchange, 404, "unknown_stream", id, -1);
    else if (stream->state == STREAM_CANCELLED)
        standin_reply_error(exchange, 410, stream->ran ? "cancelled" : "forbidden", id, -1);
    else
        reader_add(stream, exchange, streaming != NULL && *streaming == '1',
                   offset != NULL ? atoi(offset) : 0);
    g_mutex_unlock(&engine_lock);
}

static void stream_end(engine_stream_t *stream, stream_state_t state) {
    stream->state = state;
    stream->finished_ms = engine_now_ms();
    models_release(stream->model, stream->adapter);
    readers_finish(stream, state == STREAM_DONE);
}

void streams_cancel(wb_http_exchange_t *exchange, const char *id) {
    static const char *const names[] = {"waiting", "running", "done", "cancelled"};
    const char *was = "never-seen";
    g_mutex_lock(&engine_lock);
    engine_stream_t *stream = g_hash_table_lookup(streams, id);
    if (stream == NULL) {
        stream = stream_create(id);
        stream->state = STREAM_CANCELLED;
        stream->finished_ms = engine_now_ms();
    } else {
        was =
            stream->state == STREAM_CANCELLED && !stream->ran ? "forbidden" : names[stream->state];
        if (stream->state == STREAM_WAITING || stream->state == STREAM_RUNNING) {
            g_ptr_array_remove(stream->state == STREAM_WAITING ? waiting : running, stream);
            stream_end(stream, STREAM_CANCELLED);
        }
    }
    g_mutex_unlock(&engine_lock);
    standin_reply_json(exchange, 200, json_pack("{s:s}", "was", was));
}

void streams_ledger(wb_http_exchange_t *exchange) {
    g_mutex_lock(&engine_lock);
    standin_reply_json(exchange, 200, json_pack("{s:O}", "calls", ledger));
    g_mutex_unlock(&engine_lock);
}

/* A call takes effect when it starts to run, so it enters the ledger here. */
static void call_run(engine_stream_t *stream) {
    char *body = stream->answer.call_result;
    fprintf(stderr, "RAN %s\n", body);
    json_array_append_new(ledger, json_pack("{s:s, s:s, s:s}", "stream", stream->id, "model",
                                            stream->model, "body", body));
    json_t *parsed = json_loads(body, JSON_DECODE_ANY, NULL);
    json_t *result = json_pack("{s:b, s:s, s:s, s:i, s:o}", "ok", 1, "engine", engine_settings.id,
                               "path", stream->path, "entry", (int)json_array_size(ledger),
                               "request", parsed != NULL ? parsed : json_null());
    stream->answer.call_result = wb_json_dump(result);
    json_decref(result);
    g_free(body);
}

static engine_stream_t *waiting_take(void) {
    engine_stream_t *best = NULL;
    for (guint i = 0; i < waiting->len; i++) {
        engine_stream_t *stream = waiting->pdata[i];
        if (best == NULL || stream->priority > best->priority ||
            (stream->priority == best->priority && stream->arrived < best->arrived))
            best = stream;
    }
    if (best != NULL)
        g_ptr_array_remove(waiting, best);
    return best;
}

static void batch_fill(void) {
    engine_stream_t *stream;
    while ((int64_t)running->len < engine_settings.batch && (stream = waiting_take()) != NULL) {
        stream->state = STREAM_RUNNING;
        stream->ran = TRUE;
        gboolean cached = cache_touch(stream->answer.prompt_hash);
        int64_t prefill_ms =
            cached ? 0 : stream->answer.prompt_bytes * engine_settings.prefill_ms_per_kib / 1024;
        stream->ready_ms = engine_now_ms() + prefill_ms;
        if (stream->answer.kind == ANSWER_CALL) {
            call_run(stream);
            stream->ready_ms = engine_now_ms() + engine_settings.call_ms;
        }
        g_ptr_array_add(running, stream);
    }
}

static void stream_produce(engine_stream_t *stream) {
    g_autoptr(GString) text = g_string_new(NULL);
    int last_token = answer_events(&stream->answer) - 2;
    stream->written_ms = engine_now_ms();
    do {
        answer_append_event(text, &stream->answer, stream->produced);
        stream->produced++;
    } while (stream->produced >= last_token && stream->produced < answer_events(&stream->answer));
    for (guint i = 0; i < stream->readers->len; i++) {
        stream_reader_t *reader = stream->readers->pdata[i];
        if (reader->streaming)
            wb_http_exchange_stream_write(reader->exchange, text->str, text->len);
    }
}

/* Writes a comment line, by which readers distinguish an idle stream from a dead connection. */
static void stream_keep_alive(engine_stream_t *stream, int64_t now_ms) {
    if (now_ms - stream->written_ms < KEEP_ALIVE_MS)
        return;
    stream->written_ms = now_ms;
    for (guint i = 0; i < stream->readers->len; i++) {
        stream_reader_t *reader = stream->readers->pdata[i];
        if (reader->streaming)
            wb_http_exchange_stream_write(reader->exchange, ":\n", 2);
    }
}

static gboolean stream_expired(gpointer key, gpointer value, gpointer data) {
    (void)key;
    const engine_stream_t *stream = value;
    int64_t now_ms = *(int64_t *)data;
    gboolean ended = stream->state == STREAM_DONE || stream->state == STREAM_CANCELLED;
    if (!ended || now_ms - stream->finished_ms < engine_settings.stream_retention_ms)
        return FALSE;
    stream_free(value);
    return TRUE;
}

void streams_tick(void) {
    g_mutex_lock(&engine_lock);
    int64_t now_ms = engine_now_ms();
    batch_fill();
    for (guint i = running->len; i-- > 0;) {
        engine_stream_t *stream = running->pdata[i];
        if (stream->ready_ms > now_ms) {
            stream_keep_alive(stream, now_ms);
            continue;
        }
        stream_produce(stream);
        if (stream->produced < answer_events(&stream->answer))
            continue;
        g_ptr_array_remove_index(running, i);
        stream_end(stream, STREAM_DONE);
    }
    batch_fill();
    for (guint i = 0; i < waiting->len; i++)
        stream_keep_alive(waiting->pdata[i], now_ms);
    static int64_t swept_ms;
    if (now_ms - swept_ms > 1000) {
        g_hash_table_foreach_remove(streams, stream_expired, &now_ms);
        swept_ms = now_ms;
    }
    g_mutex_unlock(&engine_lock);
}
