/* The stand-in's engines: they run requests, stream events, and take orders. */
#include "engine_inner.h"

#include "wickbridge/json.h"

#include <stdlib.h>
#include <string.h>

/* A request whose body begins so crashes each engine that begins to run it. */
#define CRASH_TEXT "crash"
#define CRASH_AFTER_MS 20
/* A row that isn't renewed lapses after so many beats. */
#define LAPSE_BEATS 3

/* A request that runs. */
typedef struct wb_estate_run_t {
    wb_estate_engine_t *engine;
    wb_http_connection_t *connection;
    wb_timer_t *timer;
    char *id;
    gboolean streams;
    int next_event;
    int events;
    int cut_after; /* events after which it breaks off; -1: never */
} wb_estate_run_t;

const char *wb_estate_engine_id(const wb_estate_engine_t *engine) {
    return engine->id;
}

int64_t wb_estate_engine_option(const wb_estate_engine_t *engine, const char *name,
                                int64_t fallback) {
    return wb_json_integer(engine->options, name, fallback);
}

/* Everything that it says of itself tells when it started. */
static void born_tell(const wb_estate_engine_t *engine, json_t *object) {
    json_object_set_new(object, "born", json_integer((json_int_t)engine->born_ms));
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
                            "v1", "slots", (int)wb_estate_engine_option(engine, "slots", 8),
                            "state", engine->leaving ? "draining" : "ready", "coldRemainingMs",
                            (int)wb_estate_engine_option(engine, "cold_ms", 0), "sequence",
                            (json_int_t)++engine->beats, "models", engine->models);
    born_tell(engine, row);
    char *text = wb_json_dump(row);
    wb_estate_store_put(engine->store, "servers", engine->id, text);
    free(text);
    json_decref(row);
}

static void engine_beat(void *context) {
    wb_estate_engine_announce(context);
}

gboolean wb_estate_engine_take_fault(wb_estate_engine_t *engine, const char *fault) {
    if (engine->fault_count <= 0 || strcmp(engine->fault, fault) != 0)
        return FALSE;
    engine->fault_count--;
    return TRUE;
}

/* A row that lapses some time after its engine crashed. */
typedef struct wb_estate_lapse_t {
    wb_estate_store_t *store;
    char *id;
} wb_estate_lapse_t;

static void row_lapses(void *context) {
    wb_estate_lapse_t *lapse = context;
    wb_estate_store_put(lapse->store, "servers", lapse->id, NULL);
    g_free(lapse->id);
    g_free(lapse);
}

static void engine_open(wb_estate_engine_t *engine);

static void engine_restart(void *context) {
    wb_estate_engine_t *engine = context;
    engine->restart = NULL;
    engine->ended = FALSE;
    engine->busy = FALSE;
    engine->leaving = FALSE;
    wb_estate_engine_set_state_lines(engine, "");
    wb_estate_engine_set_rest(engine, "");
    engine->sequence = 0;
    json_array_clear(engine->models);
    engine_open(engine);
}

static void engine_down(wb_estate_engine_t *engine) {
    engine->ended = TRUE;
    if (engine->crash != NULL)
        wb_timer_cancel(engine->crash);
    engine->crash = NULL;
    wb_timer_cancel(engine->beat);
    wb_http_listener_close(engine->listener);
}

void wb_estate_engine_crash(wb_estate_engine_t *engine) {
    json_array_append_new(engine->seen->crashes, json_pack("{s:s, s:I}", "engine", engine->id,
                                                           "at_ms", (json_int_t)wb_clock_ms()));
    wb_estate_engine_end(engine);
}

/* All connections end, nobody listens, and the row stays for a while. Another start of the engine
 * comes at the same address, empty. */
void wb_estate_engine_end(wb_estate_engine_t *engine) {
    if (engine->ended) {
        return;
    }
    engine_down(engine);
    engine->restart = wb_loop_after(engine->loop, wb_estate_engine_option(engine, "back_ms", 600),
                                    engine_restart, engine);
    if (wb_estate_engine_option(engine, "same_id", 0) != 0) {
        return; /* the next start writes the row before it lapses */
    }
    wb_estate_lapse_t *lapse = g_new0(wb_estate_lapse_t, 1);
    lapse->store = engine->store;
    lapse->id = g_strdup(engine->id);
    wb_loop_after(engine->loop, LAPSE_BEATS * wb_estate_engine_option(engine, "beat_ms", 300),
                  row_lapses, lapse);
}

static void run_free(gpointer data) {
    wb_estate_run_t *run = data;
    if (run->timer != NULL)
        wb_timer_cancel(run->timer);
    g_free(run->id);
    g_free(run);
}

/* Takes the run off its engine and returns its connection. */
static wb_http_connection_t *run_end(wb_estate_run_t *run) {
    wb_http_connection_t *connection = run->connection;
    wb_http_connection_set_request(connection, NULL);
    g_hash_table_remove(run->engine->runs, connection);
    return connection;
}

void wb_estate_engine_set_pace(wb_estate_engine_t *engine, const char *told, int64_t percent) {
    json_object_set_new(engine->options, "pace_told", json_string(told));
    json_object_set_new(engine->options, "pace", json_integer(percent));
}

/* Time that work takes there: engines differ, whatever they tell. */
static int64_t paced_ms(const wb_estate_engine_t *engine, int64_t usual_ms) {
    return usual_ms * wb_estate_engine_option(engine, "pace", 100) / 100;
}

/* What it tells of its state at the head of each answer. */
static const char *state_lines(const wb_estate_engine_t *engine) {
    return wb_json_text(engine->options, "state_lines", "");
}

void wb_estate_engine_set_state_lines(wb_estate_engine_t *engine, const char *lines) {
    json_object_set_new(engine->options, "state_lines", json_string(lines));
    json_array_append_new(engine->seen->states,
                          json_pack("{s:s, s:s, s:I}", "engine", engine->id, "lines", lines,
                                    "at_ms", (json_int_t)wb_clock_ms()));
}

void wb_estate_engine_set_rest(wb_estate_engine_t *engine, const char *retry_after) {
    json_object_set_new(engine->options, "rest", json_string(retry_after));
}

static char *head_lines(const wb_estate_run_t *run, const char *more) {
    const char *told = wb_json_text(run->engine->options, "pace_told", "");
    return g_strdup_printf("Request-Attempt-Id: %s\r\nServer-Load: %u,0,%d%s%s\r\n"
                           "Keep-Alive: timeout=5\r\n%s%s",
                           run->id, g_hash_table_size(run->engine->runs),
                           (int)wb_estate_engine_option(run->engine, "slots", 8),
                           *told != '\0' ? "," : "", told, state_lines(run->engine), more);
}

static void run_answer(wb_estate_run_t *run, unsigned status, const char *more, const char *body) {
    g_autofree char *lines = head_lines(run, more);
    wb_http_connection_reply(run_end(run), status, wb_http_status_reason(status), lines, body,
                              strlen(body));
}

static void run_go_on(void *context) {
    wb_estate_run_t *run = context;
    wb_estate_engine_t *engine = run->engine;
    run->timer = NULL;
    if (!run->streams) {
        g_autofree char *body = g_strdup_printf("ran %s at %s", run->id, engine->id);
        run_answer(run, 200, "Response-Seal: seal\r\n", body);
        return;
    }
    if (run->cut_after >= 0 && run->next_event > run->cut_after) {
        wb_http_connection_stream_write(run->connection, "id: 99\nda", 9); /* part of an event */
        wb_http_connection_abort(run_end(run));
        return;
    }
    if (run->next_event > run->events) {
        wb_http_connection_stream_end(run_end(run));
        return;
    }
    g_autofree char *event =
        g_strdup_printf("id: %d\ndata: %s-%d\n\n", run->next_event, run->id, run->next_event);
    run->next_event++;
    wb_http_connection_stream_write(run->connection, event, strlen(event));
    run->timer = wb_loop_after(engine->loop,
                               paced_ms(engine, wb_estate_engine_option(engine, "event_ms", 5)),
                               run_go_on, run);
}

static void crash_due(void *context) {
    wb_estate_engine_t *engine = context;
    engine->crash = NULL;
    wb_estate_engine_crash(engine);
}

/* The headers that came, as an object; of several with one name the last. */
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
    const char *rest = wb_json_text(engine->options, "rest", "");
    if (*rest != '\0') {
        g_autofree char *lines = g_strdup_printf("Not-Executed: 1\r\nRetry-After: %s\r\n", rest);
        json_array_append_new(engine->seen->rests,
                              json_pack("{s:s, s:s, s:I, s:I}", "id", run->id, "engine", engine->id,
                                        "rest_ms", (json_int_t)(g_ascii_strtod(rest, NULL) * 1000),
                                        "at_ms", (json_int_t)wb_clock_ms()));
        run_answer(run, 503, lines, "");
        return;
    }
    if (wb_estate_engine_take_fault(engine, "reject")) {
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
                  "deadline_ms", (json_int_t)wb_http_head_get_integer(head, "Request-Deadline-Ms", -1),
                  "at_ms", (json_int_t)wb_clock_ms(), "headers", headers_json(head)));
    if (wb_estate_engine_take_fault(engine, "error")) {
        run_answer(run, 500, "Response-Seal: seal\r\n", "failed");
        return;
    }
    if (wb_estate_engine_take_fault(engine, "unsealed")) {
        run_answer(run, 200, "", "no seal");
        return;
    }
    if (wb_estate_engine_take_fault(engine, "reset")) {
        wb_http_connection_abort(run_end(run));
        return;
    }
    if (wb_estate_engine_take_fault(engine, "mute"))
        return;
    if (wb_estate_engine_take_fault(engine, "cut"))
        run->cut_after = 2;
    if (run->streams) {
        g_autofree char *lines =
            head_lines(run, "Response-Seal: seal\r\nContent-Type: text/event-stream\r\n");
        wb_http_connection_stream_begin(connection, 200, "OK", lines);
    }
    if (body_crashes(engine, body)) {
        if (engine->crash == NULL)
            engine->crash = wb_loop_after(engine->loop, CRASH_AFTER_MS, crash_due, engine);
        return;
    }
    run->timer =
        wb_loop_after(engine->loop, wb_estate_engine_option(engine, "work_ms", 5), run_go_on, run);
}

static void report_call(wb_estate_engine_t *engine, wb_http_connection_t *connection) {
    json_t *report =
        json_pack("{s:s, s:O, s:b, s:I, s:i, s:i}", "stage", "both", "models", engine->models,
                  "busy", engine->busy, "sequence", (json_int_t)engine->sequence, "queued", 0,
                  "running", (int)g_hash_table_size(engine->runs));
    born_tell(engine, report);
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
        report_call(engine, connection);
    else if (strcmp(head->target, "/order") == 0)
        wb_estate_engine_order(engine, connection, head, body);
    else
        run_begin(engine, connection, head, body);
    wb_http_head_free(head);
    g_byte_array_unref(body);
}

static void engine_gone(wb_http_connection_t *connection, void *request, void *context) {
    (void)request;
    wb_estate_engine_t *engine = context;
    g_hash_table_remove(engine->runs, connection);
}

/* Begins to listen and to announce itself, under an id of its own at each start unless it is to
 * keep it. */
static void engine_open(wb_estate_engine_t *engine) {
    static const wb_http_limits_t limits = {65536, 8 * 1024 * 1024, 30000, 600000};
    wb_http_handler_t handler = {engine_request, engine_gone, NULL, engine};
    wb_error_t error;
    gboolean same_id = wb_estate_engine_option(engine, "same_id", 0) != 0;
    engine->starts++;
    engine->born_ms = g_get_real_time() / 1000;
    g_free(engine->id);
    engine->id = engine->starts == 1 || same_id
                     ? g_strdup(engine->name)
                     : g_strdup_printf("%s.%u", engine->name, engine->starts);
    g_autofree char *listen = g_strdup_printf("127.0.0.1:%u", engine->port);
    if (wb_http_listener_open(engine->loop, listen, &handler, &limits, &engine->listener, &error) !=
        APR_SUCCESS)
        g_error("%s", error.message);
    engine->port = wb_http_listener_port(engine->listener);
    wb_estate_engine_announce(engine);
    engine->beat = wb_loop_every(engine->loop, wb_estate_engine_option(engine, "beat_ms", 300),
                                 engine_beat, engine);
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
        wb_estate_engine_put_model(engine, json_string_value(name));
    engine->port = (unsigned)wb_estate_engine_option(engine, "port", 0);
    engine_open(engine);
    return engine;
}

void wb_estate_engine_stop(wb_estate_engine_t *engine, gboolean announce) {
    if (engine->restart != NULL)
        wb_timer_cancel(engine->restart);
    engine->restart = NULL;
    if (!engine->ended)
        engine_down(engine);
    if (announce)
        wb_estate_store_put(engine->store, "servers", engine->id, NULL);
}

void wb_estate_engine_set_leaving(wb_estate_engine_t *engine) {
    engine->leaving = TRUE;
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
