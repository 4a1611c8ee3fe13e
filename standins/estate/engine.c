/* The stand-in's engines: lifecycle, requests and event streams. */
#include "engine_internal.h"

#include "wickbridge/json.h"

#include <stdlib.h>
#include <string.h>

/* The prefix of a body that crashes each engine that runs the request. */
#define CRASH_TEXT "crash"
/* The prefix of the id of a part that does so, anywhere in a prompt but at its end. */
#define CRASH_PART "bad"
#define CRASH_AFTER_MS 20
#define INCOMPLETE_EVENT "id: 99\nda"
/* A row that isn't renewed expires after this many heartbeat intervals. */
#define EXPIRY_HEARTBEATS 3

/* A request in progress. */
typedef struct wb_estate_run_t {
    wb_estate_engine_t *engine;
    wb_http_connection_t *connection;
    wb_timer_t *timer;
    char *id;
    gboolean streams;
    int next_event;
    int events;
    int cut_after;         /* number of the event after which the stream ends early; -1: never */
    gboolean cut_is_plain; /* it then ends like a complete one */
    gboolean unframed;     /* its response has neither length nor chunks */
} wb_estate_run_t;

const char *wb_estate_engine_id(const wb_estate_engine_t *engine) {
    return engine->id;
}

int64_t wb_estate_engine_option(const wb_estate_engine_t *engine, const char *name,
                                int64_t fallback) {
    return wb_json_integer(engine->options, name, fallback);
}

/* The engine's row and report include its start time. */
static void start_time_add(const wb_estate_engine_t *engine, json_t *object) {
    json_object_set_new(object, "born", json_integer((json_int_t)engine->started_ms));
}

void wb_estate_engine_set_option(wb_estate_engine_t *engine, const char *name, int64_t value) {
    json_object_set_new(engine->options, name, json_integer((json_int_t)value));
}

void wb_estate_engine_announce(wb_estate_engine_t *engine) {
    if (engine->ended || wb_estate_engine_option(engine, "quiet", 0) != 0)
        return;
    int64_t own_port = wb_http_listener_port(engine->listener);
    g_autofree char *address = g_strdup_printf(
        "127.0.0.1:%lld", (long long)wb_estate_engine_option(engine, "announce_port", own_port));
    json_t *row = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:O}", "service",
                            wb_json_text(engine->options, "service", "engines"), "address", address,
                            "zone", wb_json_text(engine->options, "zone", "zone-1"), "version",
                            wb_json_text(engine->options, "version", "v1"), "slots",
                            (int)wb_estate_engine_option(engine, "slots", 8), "state",
                            engine->draining ? "draining" : "ready", "coldRemainingMs",
                            (int)wb_estate_engine_option(engine, "cold_ms", 0), "sequence",
                            (json_int_t)++engine->heartbeats, "models", engine->models);
    start_time_add(engine, row);
    char *text = wb_json_dump(row);
    wb_estate_store_put(engine->store, "servers", engine->id, text);
    free(text);
    json_decref(row);
}

static void heartbeat_due(void *context) {
    wb_estate_engine_announce(context);
}

gboolean wb_estate_engine_consume_fault(wb_estate_engine_t *engine, const char *fault) {
    if (engine->fault_count <= 0 || strcmp(engine->fault, fault) != 0)
        return FALSE;
    engine->fault_count--;
    return TRUE;
}

/* The row of a crashed engine until it expires. */
typedef struct wb_estate_expiry_t {
    wb_estate_store_t *store;
    char *id;
} wb_estate_expiry_t;

static void row_expire(void *context) {
    wb_estate_expiry_t *expiry = context;
    wb_estate_store_put(expiry->store, "servers", expiry->id, NULL);
    g_free(expiry->id);
    g_free(expiry);
}

static void engine_open(wb_estate_engine_t *engine);

static void engine_restart(void *context) {
    wb_estate_engine_t *engine = context;
    engine->restart = NULL;
    engine->ended = FALSE;
    engine->busy = FALSE;
    engine->draining = FALSE;
    wb_estate_engine_set_state_lines(engine, "");
    wb_estate_engine_set_backoff(engine, "");
    engine->sequence = 0;
    if (wb_estate_engine_option(engine, "keep_models", 0) == 0)
        json_array_clear(engine->models);
    engine_open(engine);
}

/* Only its last event shows that an unframed stream was cut off by a crash. */
static void unframed_streams_cut(const wb_estate_engine_t *engine) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, engine->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_estate_run_t *run = value;
        if (run->unframed && run->next_event > 1)
            wb_http_connection_stream_write(run->connection, INCOMPLETE_EVENT,
                                            strlen(INCOMPLETE_EVENT));
    }
}

static void engine_close(wb_estate_engine_t *engine) {
    engine->ended = TRUE;
    unframed_streams_cut(engine);
    if (engine->crash != NULL)
        wb_timer_cancel(engine->crash);
    engine->crash = NULL;
    wb_timer_cancel(engine->heartbeat);
    wb_http_listener_close(engine->listener);
}

void wb_estate_engine_crash(wb_estate_engine_t *engine) {
    json_array_append_new(engine->seen->crashes,
                          json_pack("{s:s, s:s, s:I}", "engine", engine->id, "part",
                                    engine->crash_part != NULL ? engine->crash_part : "", "at_ms",
                                    (json_int_t)wb_clock_ms()));
    g_clear_pointer(&engine->crash_part, g_free);
    wb_estate_engine_kill(engine);
}

/* Closes all connections and the listener; the row stays until it expires. The engine restarts at
 * the same address without models. */
void wb_estate_engine_kill(wb_estate_engine_t *engine) {
    if (engine->ended) {
        return;
    }
    engine_close(engine);
    engine->restart = wb_loop_after(engine->loop, wb_estate_engine_option(engine, "back_ms", 600),
                                    engine_restart, engine);
    if (wb_estate_engine_option(engine, "same_id", 0) != 0) {
        return; /* the restarted engine renews the row before it expires */
    }
    wb_estate_expiry_t *expiry = g_new0(wb_estate_expiry_t, 1);
    expiry->store = engine->store;
    expiry->id = g_strdup(engine->id);
    wb_loop_after(engine->loop, EXPIRY_HEARTBEATS * wb_estate_engine_option(engine, "beat_ms", 300),
                  row_expire, expiry);
}

static void run_free(gpointer data) {
    wb_estate_run_t *run = data;
    if (run->timer != NULL)
        wb_timer_cancel(run->timer);
    g_free(run->id);
    g_free(run);
}

/* Detaches and frees the run. Returns its connection. */
static wb_http_connection_t *run_detach(wb_estate_run_t *run) {
    wb_http_connection_t *connection = run->connection;
    wb_http_connection_set_request(connection, NULL);
    g_hash_table_remove(run->engine->runs, connection);
    return connection;
}

void wb_estate_engine_set_pace(wb_estate_engine_t *engine, const char *reported, int64_t percent) {
    json_object_set_new(engine->options, "pace_told", json_string(reported));
    json_object_set_new(engine->options, "pace", json_integer(percent));
}

/* Duration of work at the engine's real pace, whatever pace it reports. */
static int64_t paced_ms(const wb_estate_engine_t *engine, int64_t nominal_ms) {
    return nominal_ms * wb_estate_engine_option(engine, "pace", 100) / 100;
}

/* Header lines that report its state in each response. */
static const char *state_lines(const wb_estate_engine_t *engine) {
    return wb_json_text(engine->options, "state_lines", "");
}

void wb_estate_engine_set_state_lines(wb_estate_engine_t *engine, const char *lines) {
    json_object_set_new(engine->options, "state_lines", json_string(lines));
    json_array_append_new(engine->seen->states,
                          json_pack("{s:s, s:s, s:I}", "engine", engine->id, "lines", lines,
                                    "at_ms", (json_int_t)wb_clock_ms()));
}

void wb_estate_engine_set_backoff(wb_estate_engine_t *engine, const char *retry_after) {
    json_object_set_new(engine->options, "rest", json_string(retry_after));
}

static int64_t brittle_option(const wb_estate_engine_t *engine) {
    return wb_estate_engine_option(engine, "brittle", 0);
}

static char *head_lines(const wb_estate_run_t *run, const char *more) {
    const char *reported = wb_json_text(run->engine->options, "pace_told", "");
    g_autofree char *brittle =
        brittle_option(run->engine) > 0
            ? g_strdup_printf("Server-Brittle: %d\r\n", (int)brittle_option(run->engine))
            : g_strdup("");
    return g_strdup_printf("Request-Attempt-Id: %s\r\nServer-Load: %u,0,%d%s%s\r\n"
                           "Keep-Alive: timeout=5\r\n%s%s%s",
                           run->id, g_hash_table_size(run->engine->runs),
                           (int)wb_estate_engine_option(run->engine, "slots", 8),
                           *reported != '\0' ? "," : "", reported, state_lines(run->engine),
                           brittle, more);
}

static void run_answer(wb_estate_run_t *run, unsigned status, const char *more, const char *body) {
    g_autofree char *lines = head_lines(run, more);
    wb_http_connection_reply(run_detach(run), status, wb_http_status_reason(status), lines, body,
                             strlen(body));
}

static void run_advance(void *context) {
    wb_estate_run_t *run = context;
    wb_estate_engine_t *engine = run->engine;
    run->timer = NULL;
    if (!run->streams) {
        g_autofree char *body = g_strdup_printf("ran %s at %s", run->id, engine->id);
        run_answer(run, 200, "Response-Seal: seal\r\n", body);
        return;
    }
    if (run->cut_after >= 0 && run->next_event > run->cut_after) {
        wb_http_connection_stream_write(run->connection, INCOMPLETE_EVENT,
                                        strlen(INCOMPLETE_EVENT));
        if (run->cut_is_plain)
            wb_http_connection_stream_end(run_detach(run));
        else
            wb_http_connection_abort(run_detach(run));
        return;
    }
    if (run->next_event > run->events) {
        wb_http_connection_stream_end(run_detach(run));
        return;
    }
    const char *version = wb_json_text(engine->options, "version", "");
    g_autofree char *event =
        g_strdup_printf("id: %d\ndata: %s-%d%s%s\n\n", run->next_event, run->id, run->next_event,
                        *version != '\0' ? " " : "", version);
    run->next_event++;
    wb_http_connection_stream_write(run->connection, event, strlen(event));
    run->timer = wb_loop_after(engine->loop,
                               paced_ms(engine, wb_estate_engine_option(engine, "event_ms", 5)),
                               run_advance, run);
}

static void crash_due(void *context) {
    wb_estate_engine_t *engine = context;
    engine->crash = NULL;
    wb_estate_engine_crash(engine);
}

/* Rejects a request for want of room. A brittle engine falls when that are too many in a second. */
static void run_reject_full(wb_estate_run_t *run) {
    wb_estate_engine_t *engine = run->engine;
    int64_t now_ms = wb_clock_ms();
    if (now_ms - engine->second_began_ms >= 1000) {
        engine->second_began_ms = now_ms;
        engine->rejections = 0;
    }
    gboolean falls = brittle_option(engine) > 0 && ++engine->rejections > brittle_option(engine);
    run_answer(run, 503, "Not-Executed: 1\r\n", "");
    if (!falls || engine->crash != NULL)
        return;
    json_array_append_new(engine->seen->falls, json_pack("{s:s, s:I}", "engine", engine->id,
                                                         "at_ms", (json_int_t)now_ms));
    engine->crash = wb_loop_after(engine->loop, 0, crash_due, engine);
}

/* The request's headers as an object. Of repeated headers the last one is kept. */
static json_t *headers_json(const wb_http_head_t *head) {
    json_t *headers = json_object();
    for (guint i = 0; i < head->headers->len; i++) {
        const wb_http_header_t *header = &g_array_index(head->headers, wb_http_header_t, i);
        json_object_set_new(headers, header->name, json_string(header->value));
    }
    return headers;
}

static gboolean body_crashes(const wb_estate_engine_t *engine, const GByteArray *body) {
    return !engine->hardened && body->len >= strlen(CRASH_TEXT) &&
           memcmp(body->data, CRASH_TEXT, strlen(CRASH_TEXT)) == 0;
}

/* Returns the part of a prompt that crashes the engine, or NULL. */
static char *crash_part_find(const wb_estate_engine_t *engine, const wb_http_head_t *head) {
    const char *text = wb_http_head_get(head, "Prompt-Prefix");
    if (engine->hardened || text == NULL)
        return NULL;
    g_auto(GStrv) parts = g_strsplit(text, ",", -1);
    for (guint i = 0; parts[i] != NULL && parts[i + 1] != NULL; i++)
        if (g_str_has_prefix(parts[i], CRASH_PART))
            return g_strndup(parts[i], strcspn(parts[i], ":"));
    return NULL;
}

static void run_begin(wb_estate_engine_t *engine, wb_http_connection_t *connection,
                      const wb_http_head_t *head, const GByteArray *body) {
    wb_estate_run_t *run = g_new0(wb_estate_run_t, 1);
    const char *id = wb_http_head_get(head, "Request-Attempt-Id");
    const char *model = wb_http_head_get(head, "Model");
    run->engine = engine;
    run->connection = connection;
    run->id = g_strdup(id != NULL ? id : "");
    run->cut_after = -1;
    run->events = (int)wb_estate_engine_option(engine, "events", 5);
    run->streams = wb_estate_engine_option(engine, "streams", 0) != 0;
    run->next_event = (int)wb_http_head_get_integer(head, "Last-Event-Id", 0) + 1;
    g_hash_table_insert(engine->runs, connection, run);
    wb_http_connection_set_request(connection, run);
    json_array_append_new(engine->seen->arrivals,
                          json_pack("{s:s, s:s, s:s, s:I}", "id", run->id, "service",
                                    wb_json_text(engine->options, "service", "engines"), "engine",
                                    engine->id, "at_ms", (json_int_t)wb_clock_ms()));
    const char *expected = wb_http_head_get(head, "Expected-Instance");
    if (expected != NULL && strcmp(expected, engine->id) != 0) {
        run_answer(run, 421, "", "");
        return;
    }
    if (model != NULL && !wb_estate_engine_holds(engine, model)) {
        run_answer(run, 421, "Not-Executed: 1\r\n", "");
        return;
    }
    const char *backoff = wb_json_text(engine->options, "rest", "");
    if (*backoff != '\0') {
        g_autofree char *lines = g_strdup_printf("Not-Executed: 1\r\nRetry-After: %s\r\n", backoff);
        json_array_append_new(engine->seen->backoffs,
                              json_pack("{s:s, s:s, s:I, s:I}", "id", run->id, "engine", engine->id,
                                        "rest_ms",
                                        (json_int_t)(g_ascii_strtod(backoff, NULL) * 1000), "at_ms",
                                        (json_int_t)wb_clock_ms()));
        run_answer(run, 503, lines, "");
        return;
    }
    int64_t room = wb_estate_engine_option(engine, "room", 0);
    if (room > 0 && g_hash_table_size(engine->runs) > room) {
        run_reject_full(run);
        return;
    }
    if (wb_estate_engine_consume_fault(engine, "reject")) {
        run_answer(run, 503, "Not-Executed: 1\r\n", "");
        return;
    }
    json_array_append_new(
        engine->seen->runs,
        json_pack("{s:s, s:s, s:s%, s:s, s:s, s:s, s:I, s:I, s:o}", "id", run->id, "engine",
                  engine->id, "body", (const char *)body->data, (size_t)body->len, "path",
                  head->target, "model", model != NULL ? model : "", "last_event_id",
                  wb_http_head_get(head, "Last-Event-Id") != NULL
                      ? wb_http_head_get(head, "Last-Event-Id")
                      : "",
                  "deadline_ms",
                  (json_int_t)wb_http_head_get_integer(head, "Request-Deadline-Ms", -1), "at_ms",
                  (json_int_t)wb_clock_ms(), "headers", headers_json(head)));
    if (wb_estate_engine_consume_fault(engine, "error")) {
        run_answer(run, 500, "Response-Seal: seal\r\n", "failed");
        return;
    }
    if (wb_estate_engine_consume_fault(engine, "unsealed")) {
        run_answer(run, 200, "", "no seal");
        return;
    }
    if (wb_estate_engine_consume_fault(engine, "reset")) {
        wb_http_connection_abort(run_detach(run));
        return;
    }
    if (wb_estate_engine_consume_fault(engine, "mute"))
        return;
    if (wb_estate_engine_consume_fault(engine, "cut"))
        run->cut_after = 2;
    if (run->next_event == 1 && wb_estate_engine_consume_fault(engine, "cut-start"))
        run->cut_after = 2;
    if (wb_estate_engine_consume_fault(engine, "cut-plain")) {
        run->cut_after = 2;
        run->cut_is_plain = TRUE;
    }
    run->unframed = run->streams && wb_estate_engine_option(engine, "unframed", 0) != 0;
    if (run->unframed)
        wb_http_connection_end_by_close(connection);
    if (run->streams) {
        g_autofree char *lines =
            head_lines(run, "Response-Seal: seal\r\nContent-Type: text/event-stream\r\n");
        wb_http_connection_stream_begin(connection, 200, "OK", lines);
    }
    g_autofree char *part = crash_part_find(engine, head);
    if (part != NULL || body_crashes(engine, body)) {
        if (engine->crash == NULL) {
            engine->crash_part = g_steal_pointer(&part);
            engine->crash = wb_loop_after(engine->loop, CRASH_AFTER_MS, crash_due, engine);
        }
        return;
    }
    run->timer = wb_loop_after(engine->loop, wb_estate_engine_option(engine, "work_ms", 5),
                               run_advance, run);
}

static void report_handle(wb_estate_engine_t *engine, wb_http_connection_t *connection) {
    json_t *report =
        json_pack("{s:s, s:O, s:b, s:I, s:i, s:i}", "stage", "both", "models", engine->models,
                  "busy", engine->busy, "sequence", (json_int_t)engine->sequence, "queued", 0,
                  "running", (int)g_hash_table_size(engine->runs));
    start_time_add(engine, report);
    char *text = wb_json_dump(report);
    g_autofree char *lines =
        g_strconcat("Content-Type: application/json\r\n", state_lines(engine), NULL);
    wb_http_connection_reply(connection, 200, "OK", lines, text, strlen(text));
    free(text);
    json_decref(report);
}

static void engine_request(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                           void *context) {
    wb_estate_engine_t *engine = context;
    if (strcmp(head->target, "/report") == 0)
        report_handle(engine, connection);
    else if (strcmp(head->target, "/order") == 0)
        wb_estate_engine_order(engine, connection, head, body);
    else
        run_begin(engine, connection, head, body);
    wb_http_head_free(head);
    g_byte_array_unref(body);
}

static void engine_disconnected(wb_http_connection_t *connection, void *request, void *context) {
    (void)request;
    wb_estate_engine_t *engine = context;
    g_hash_table_remove(engine->runs, connection);
}

/* Listens and writes the engine's row. Each incarnation has an id of its own, unless same_id is
 * set. */
static void engine_open(wb_estate_engine_t *engine) {
    static const wb_http_limits_t limits = {65536, 8 * 1024 * 1024, 30000, 600000};
    wb_http_handler_t handler = {engine_request, engine_disconnected, NULL, engine};
    wb_error_t error;
    gboolean same_id = wb_estate_engine_option(engine, "same_id", 0) != 0;
    engine->start_count++;
    engine->started_ms = g_get_real_time() / 1000;
    g_free(engine->id);
    engine->id = engine->start_count == 1 || same_id
                     ? g_strdup(engine->name)
                     : g_strdup_printf("%s.%u", engine->name, engine->start_count);
    g_autofree char *listen = g_strdup_printf("127.0.0.1:%u", engine->port);
    if (wb_http_listener_open(engine->loop, listen, &handler, &limits, &engine->listener, &error) !=
        APR_SUCCESS)
        g_error("%s", error.message);
    engine->port = wb_http_listener_port(engine->listener);
    wb_estate_engine_announce(engine);
    engine->heartbeat = wb_loop_every(engine->loop, wb_estate_engine_option(engine, "beat_ms", 300),
                                      heartbeat_due, engine);
}

wb_estate_engine_t *wb_estate_engine_start(wb_loop_t *loop, wb_estate_store_t *store,
                                           wb_estate_seen_t *seen, const char *id,
                                           json_t *options) {
    wb_estate_engine_t *engine = g_new0(wb_estate_engine_t, 1);
    engine->loop = loop;
    engine->store = store;
    engine->seen = seen;
    engine->name = g_strdup(id);
    engine->options = json_incref(options);
    engine->fault = g_strdup("");
    engine->runs = g_hash_table_new_full(NULL, NULL, NULL, run_free);
    engine->models = json_array();
    size_t i;
    json_t *name;
    json_array_foreach(json_object_get(options, "models"), i, name)
        wb_estate_engine_add_model(engine, json_string_value(name));
    engine->port = (unsigned)wb_estate_engine_option(engine, "port", 0);
    engine_open(engine);
    return engine;
}

void wb_estate_engine_stop(wb_estate_engine_t *engine, gboolean announce) {
    if (engine->restart != NULL)
        wb_timer_cancel(engine->restart);
    engine->restart = NULL;
    if (!engine->ended)
        engine_close(engine);
    if (announce)
        wb_estate_store_put(engine->store, "servers", engine->id, NULL);
}

void wb_estate_engine_set_draining(wb_estate_engine_t *engine) {
    engine->draining = TRUE;
    wb_estate_engine_announce(engine);
}

void wb_estate_engine_set_crash_model(wb_estate_engine_t *engine, const char *model) {
    g_free(engine->crash_model);
    engine->crash_model = g_strdup(model);
}

void wb_estate_engine_harden(wb_estate_engine_t *engine) {
    engine->hardened = TRUE;
}

void wb_estate_engine_set_fault(wb_estate_engine_t *engine, const char *fault, int count) {
    g_free(engine->fault);
    engine->fault = g_strdup(fault);
    engine->fault_count = count;
}
