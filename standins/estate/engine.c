/* The stand-in's engines: they run requests, stream events, and take orders. */
#include "estate.h"

#include "wickbridge/json.h"

#include <stdlib.h>
#include <string.h>

#define ORDER_LATE_MS 1500
#define REPORT_LAG_MS 40
/* A request whose body begins so crashes each engine that begins to run it. */
#define CRASH_TEXT "crash"
#define CRASH_AFTER_MS 20
/* A row that isn't renewed lapses after so many beats. */
#define LAPSE_BEATS 3

struct wb_estate_engine_t {
    wb_loop_t *loop;
    wb_estate_store_t *store;
    wb_estate_seen_t *seen;
    wb_http_listener_t *listener;
    wb_timer_t *beat;
    char *name; /* that it keeps when it starts again */
    char *id;
    unsigned starts;
    unsigned port; /* 0: any */
    wb_timer_t *crash;
    wb_timer_t *restart;
    json_t *options; /* service, zone, models, work_ms, event_ms, events, load_ms, weights_mb,
                        adapter_slots, back_ms */
    json_t *models;  /* [{name, version, adapters}] */
    int64_t sequence;
    int64_t beats;
    gboolean busy;
    gboolean leaving;
    gboolean hardened; /* no request crashes it any more */
    gboolean ended;    /* for good, or until it starts again */
    char *fault;
    int fault_count;
    GHashTable *runs; /* connection -> wb_estate_run_t */
};

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

/* An order that takes its time. */
typedef struct wb_estate_load_t {
    wb_estate_engine_t *engine;
    json_t *order;
} wb_estate_load_t;

const char *wb_estate_engine_id(const wb_estate_engine_t *engine) {
    return engine->id;
}

static int64_t option(const wb_estate_engine_t *engine, const char *name, int64_t fallback) {
    return wb_json_integer(engine->options, name, fallback);
}

static void engine_announce(wb_estate_engine_t *engine) {
    if (engine->ended)
        return;
    int64_t own_port = wb_http_listener_port(engine->listener);
    g_autofree char *address =
        g_strdup_printf("127.0.0.1:%lld", (long long)option(engine, "announce_port", own_port));
    json_t *row = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:O}", "service",
                            wb_json_text(engine->options, "service", "engines"), "address", address,
                            "zone", wb_json_text(engine->options, "zone", "zone-1"), "version",
                            "v1", "slots", (int)option(engine, "slots", 8), "state",
                            engine->leaving ? "draining" : "ready", "coldRemainingMs", 0,
                            "sequence", (json_int_t)++engine->beats, "models", engine->models);
    char *text = wb_json_dump(row);
    wb_estate_store_put(engine->store, "servers", engine->id, text);
    free(text);
    json_decref(row);
}

static void engine_beat(void *context) {
    engine_announce(context);
}

static gboolean fault_take(wb_estate_engine_t *engine, const char *fault) {
    if (engine->fault_count <= 0 || strcmp(engine->fault, fault) != 0)
        return FALSE;
    engine->fault_count--;
    return TRUE;
}

static void violation(wb_estate_engine_t *engine, const char *text) {
    json_array_append_new(engine->seen->violations, json_sprintf("%s at %s", text, engine->id));
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

/* All connections end, nobody listens, and the row stays for a while. Another start of the engine
 * comes at the same address, empty. */
static void engine_crash(void *context) {
    wb_estate_engine_t *engine = context;
    engine->crash = NULL;
    engine_down(engine);
    json_array_append_new(engine->seen->crashes, json_pack("{s:s, s:I}", "engine", engine->id,
                                                           "at_ms", (json_int_t)wb_clock_ms()));
    wb_estate_lapse_t *lapse = g_new0(wb_estate_lapse_t, 1);
    lapse->store = engine->store;
    lapse->id = g_strdup(engine->id);
    wb_loop_after(engine->loop, LAPSE_BEATS * option(engine, "beat_ms", 300), row_lapses, lapse);
    engine->restart =
        wb_loop_after(engine->loop, option(engine, "back_ms", 600), engine_restart, engine);
}

static json_t *model_find(const wb_estate_engine_t *engine, const char *name, size_t *place) {
    size_t i;
    json_t *model;
    json_array_foreach(engine->models, i,
                       model) if (strcmp(wb_json_text(model, "name", ""), name) == 0) {
        if (place != NULL)
            *place = i;
        return model;
    }
    return NULL;
}

static size_t adapter_find(const json_t *model, const char *name) {
    size_t i;
    json_t *adapter;
    json_array_foreach(json_object_get(model, "adapters"), i,
                       adapter) if (strcmp(json_string_value(adapter), name) == 0) return i;
    return G_MAXSIZE;
}

static gboolean engine_holds(const wb_estate_engine_t *engine, const char *wanted) {
    g_auto(GStrv) names = g_strsplit(wanted, "/", 2);
    const json_t *model = model_find(engine, names[0], NULL);
    return model != NULL && (names[1] == NULL || adapter_find(model, names[1]) != G_MAXSIZE);
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

static char *head_lines(const wb_estate_run_t *run, const char *more) {
    return g_strdup_printf("Request-Attempt-Id: %s\r\nServer-Load: %u,0,%d\r\n"
                           "Keep-Alive: timeout=5\r\n%s",
                           run->id, g_hash_table_size(run->engine->runs),
                           (int)option(run->engine, "slots", 8), more);
}

static void run_answer(wb_estate_run_t *run, unsigned status, const char *more, const char *body) {
    g_autofree char *lines = head_lines(run, more);
    wb_http_connection_answer(run_end(run), status, wb_http_reason(status), lines, body,
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
    run->timer = wb_loop_after(engine->loop, option(engine, "event_ms", 5), run_go_on, run);
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
    run->events = (int)option(engine, "events", 5);
    run->streams = option(engine, "streams", 0) != 0;
    run->next_event = (int)wb_http_head_number(head, "Last-Event-Id", 0) + 1;
    g_hash_table_insert(engine->runs, connection, run);
    wb_http_connection_set_request(connection, run);
    const char *expected = wb_http_head_get(head, "Expected-Instance");
    if (expected != NULL && strcmp(expected, engine->id) != 0) {
        run_answer(run, 421, "", "");
        return;
    }
    if (model != NULL && !engine_holds(engine, model)) {
        run_answer(run, 421, "Not-Executed: 1\r\n", "");
        return;
    }
    if (fault_take(engine, "reject")) {
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
                  "deadline_ms", (json_int_t)wb_http_head_number(head, "Request-Deadline-Ms", -1),
                  "at_ms", (json_int_t)wb_clock_ms(), "headers", headers_json(head)));
    if (fault_take(engine, "error")) {
        run_answer(run, 500, "Response-Seal: seal\r\n", "failed");
        return;
    }
    if (fault_take(engine, "unsealed")) {
        run_answer(run, 200, "", "no seal");
        return;
    }
    if (fault_take(engine, "reset")) {
        wb_http_connection_abort(run_end(run));
        return;
    }
    if (fault_take(engine, "mute"))
        return;
    if (fault_take(engine, "cut"))
        run->cut_after = 2;
    if (run->streams) {
        g_autofree char *lines =
            head_lines(run, "Response-Seal: seal\r\nContent-Type: text/event-stream\r\n");
        wb_http_connection_stream_begin(connection, 200, "OK", lines);
    }
    if (body_crashes(engine, body)) {
        if (engine->crash == NULL)
            engine->crash = wb_loop_after(engine->loop, CRASH_AFTER_MS, engine_crash, engine);
        return;
    }
    run->timer = wb_loop_after(engine->loop, option(engine, "work_ms", 5), run_go_on, run);
}

static double used_mb(const wb_estate_engine_t *engine) {
    double used = 0;
    size_t i;
    json_t *model;
    json_array_foreach(engine->models, i, model) used += (double)option(engine, "model_mb", 1000);
    return used;
}

static void model_put(wb_estate_engine_t *engine, const char *name) {
    if (used_mb(engine) + (double)option(engine, "model_mb", 1000) >
        (double)option(engine, "weights_mb", 2000))
        violation(engine, "loaded beyond its room");
    json_array_append_new(engine->models,
                          json_pack("{s:s, s:i, s:[]}", "name", name, "version", 1, "adapters"));
}

static void load_done(void *context) {
    wb_estate_load_t *load = context;
    wb_estate_engine_t *engine = load->engine;
    const char *name = wb_json_text(load->order, "model", "");
    size_t place;
    engine->busy = FALSE;
    if (strcmp(wb_json_text(load->order, "operation", ""), "model_load") == 0) {
        if (model_find(engine, name, NULL) == NULL)
            model_put(engine, name);
    } else if (model_find(engine, name, &place) != NULL) {
        json_array_remove(engine->models, place);
    }
    engine_announce(engine);
    json_decref(load->order);
    g_free(load);
}

static unsigned adapter_order(wb_estate_engine_t *engine, const json_t *order, gboolean is_load) {
    json_t *model = model_find(engine, wb_json_text(order, "model", ""), NULL);
    const char *adapter = wb_json_text(order, "adapter", "");
    if (model == NULL)
        return 400;
    json_t *adapters = json_object_get(model, "adapters");
    size_t place = adapter_find(model, adapter);
    if (is_load && place == G_MAXSIZE) {
        if ((int64_t)json_array_size(adapters) >= option(engine, "adapter_slots", 2))
            violation(engine, "adapters beyond its places");
        json_array_append_new(adapters, json_string(adapter));
    } else if (!is_load && place != G_MAXSIZE) {
        json_array_remove(adapters, place);
    }
    engine->sequence++;
    return is_load ? 202 : 200;
}

/* Carries an order out. Returns its status. */
static unsigned order_do(wb_estate_engine_t *engine, const json_t *order) {
    const json_t *expected = json_object_get(order, "expectedVersion");
    if (json_object_get(order, "holder") == NULL || json_object_get(order, "fencingToken") == NULL)
        return 400;
    if (engine->busy || (expected != NULL && json_integer_value(expected) != engine->sequence))
        return 409;
    gboolean is_load = strcmp(wb_json_text(order, "operation", ""), "model_load") == 0;
    if (json_object_get(order, "adapter") != NULL)
        return adapter_order(engine, order, is_load);
    if (is_load == (model_find(engine, wb_json_text(order, "model", ""), NULL) != NULL))
        return 200;
    engine->sequence++;
    engine->busy = TRUE;
    wb_estate_load_t *load = g_new0(wb_estate_load_t, 1);
    load->engine = engine;
    load->order = json_deep_copy(order);
    wb_loop_after(engine->loop, option(engine, is_load ? "load_ms" : "unload_ms", 50), load_done,
                  load);
    return 202;
}

static void order_late(void *context) {
    wb_estate_load_t *load = context;
    order_do(load->engine, load->order);
    json_decref(load->order);
    g_free(load);
}

static void order_call(wb_estate_engine_t *engine, wb_http_connection_t *connection,
                       const wb_http_head_t *head, const GByteArray *body) {
    json_t *order = json_loadb((const char *)body->data, body->len, 0, NULL);
    const char *expected = wb_http_head_get(head, "Expected-Instance");
    unsigned status = 400;
    gboolean answered = TRUE;
    if (expected != NULL && strcmp(expected, engine->id) != 0) {
        status = 421;
    } else if (fault_take(engine, "order-lost")) {
        status = order_do(engine, order);
        answered = FALSE;
    } else if (fault_take(engine, "order-late")) {
        wb_estate_load_t *load = g_new0(wb_estate_load_t, 1);
        load->engine = engine;
        load->order = json_deep_copy(order);
        wb_loop_after(engine->loop, ORDER_LATE_MS, order_late, load);
        status = 0;
        answered = FALSE;
    } else if (order != NULL) {
        status = order_do(engine, order);
    }
    json_array_append_new(engine->seen->orders,
                          json_pack("{s:s, s:s, s:I, s:s, s:s, s:s, s:i, s:I}", "engine",
                                    engine->id, "holder", wb_json_text(order, "holder", ""),
                                    "token", (json_int_t)wb_json_integer(order, "fencingToken", 0),
                                    "operation", wb_json_text(order, "operation", ""), "model",
                                    wb_json_text(order, "model", ""), "adapter",
                                    wb_json_text(order, "adapter", ""), "status", (int)status,
                                    "at_ms", (json_int_t)wb_clock_ms()));
    json_decref(order);
    if (answered)
        wb_http_connection_answer(connection, status, wb_http_reason(status), "", NULL, 0);
}

static void report_call(wb_estate_engine_t *engine, wb_http_connection_t *connection) {
    json_t *report =
        json_pack("{s:s, s:O, s:b, s:I, s:i, s:i}", "stage", "both", "models", engine->models,
                  "busy", engine->busy, "sequence", (json_int_t)engine->sequence, "queued", 0,
                  "running", (int)g_hash_table_size(engine->runs));
    char *text = wb_json_dump(report);
    wb_http_connection_answer(connection, 200, "OK", "Content-Type: application/json\r\n", text,
                              strlen(text));
    free(text);
    json_decref(report);
}

static void engine_request(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                           void *context) {
    wb_estate_engine_t *engine = context;
    if (strcmp(head->target, "/report") == 0)
        report_call(engine, connection);
    else if (strcmp(head->target, "/order") == 0)
        order_call(engine, connection, head, body);
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

/* Begins to listen and to announce itself, under an id of its own at each start. */
static void engine_open(wb_estate_engine_t *engine) {
    static const wb_http_limits_t limits = {65536, 8 * 1024 * 1024, 30000, 600000};
    wb_http_handler_t handler = {engine_request, engine_gone, NULL, engine};
    wb_error_t error;
    engine->starts++;
    g_free(engine->id);
    engine->id = engine->starts == 1 ? g_strdup(engine->name)
                                     : g_strdup_printf("%s.%u", engine->name, engine->starts);
    g_autofree char *listen = g_strdup_printf("127.0.0.1:%u", engine->port);
    if (wb_http_listener_open(engine->loop, listen, &handler, &limits, &engine->listener, &error) !=
        APR_SUCCESS)
        g_error("%s", error.message);
    engine->port = wb_http_listener_port(engine->listener);
    engine_announce(engine);
    engine->beat = wb_loop_every(engine->loop, option(engine, "beat_ms", 300), engine_beat, engine);
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
        model_put(engine, json_string_value(name));
    engine->port = (unsigned)option(engine, "port", 0);
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
    engine_announce(engine);
}

void wb_estate_engine_harden(wb_estate_engine_t *engine) {
    engine->hardened = TRUE;
}

void wb_estate_engine_set_fault(wb_estate_engine_t *engine, const char *fault, int count) {
    g_free(engine->fault);
    engine->fault = g_strdup(fault);
    engine->fault_count = count;
}
