/* Finds out whether an engine has ended when it broke requests off. */
#include "request/crash_watch.h"

#include "wickbridge/event_log.h"
#include "wickbridge/tcp_stream.h"

#include <string.h>

/* A process that ends closes its connections one after the other and its listener among them; on a
 * loaded machine that takes some ms. Engines come back after seconds. */
#define CHECK_AFTER_MS 20
/* A row lapses three heartbeats after its engine ended, and is read within three seconds, also just
 * after a change of the controller. */
#define LAPSE_BEATS 3
#define ROW_READ_MS 3000
/* An engine that lives and breaks answers off is asked so often at most: each time takes a new
 * connection, of which it bears some hundred. */
#define CHECK_AGAIN_MS 500
/* An engine runs 64 requests at once and queues some more. */
#define REQUESTS_MOST 128

typedef enum wb_engine_end_t {
    WB_ENGINE_END_ASKED,   /* the check is due or under way */
    WB_ENGINE_END_UNKNOWN, /* its row will show */
    WB_ENGINE_END_SURE
} wb_engine_end_t;

/* An engine that broke requests off. */
typedef struct wb_broken_engine_t {
    wb_crash_watch_t *watch;
    char *id;
    char *address;
    wb_engine_end_t state;
    GArray *requests; /* of wb_aborted_request_t, not yet told */
    wb_timer_t *timer;
    wb_tcp_stream_t *stream;
    int64_t since_ms; /* when the last check was planned */
} wb_broken_engine_t;

struct wb_crash_watch_t {
    wb_loop_t *loop;
    const wb_edge_settings_t *settings;
    wb_crash_watch_events_t events;
    wb_edge_metrics_t *metrics;
    GHashTable *engines; /* id -> wb_broken_engine_t */
};

static void check_end(wb_broken_engine_t *engine) {
    if (engine->timer != NULL) {
        wb_timer_cancel(engine->timer);
    }
    if (engine->stream != NULL) {
        wb_tcp_stream_close(engine->stream);
    }
    engine->timer = NULL;
    engine->stream = NULL;
}

static void engine_free(gpointer data) {
    wb_broken_engine_t *engine = data;
    check_end(engine);
    g_array_unref(engine->requests);
    g_free(engine->id);
    g_free(engine->address);
    g_free(engine);
}

wb_crash_watch_t *wb_crash_watch_create(wb_loop_t *loop, const wb_edge_settings_t *settings,
                                        wb_edge_metrics_t *metrics,
                                        const wb_crash_watch_events_t *events) {
    wb_crash_watch_t *watch = g_new0(wb_crash_watch_t, 1);
    watch->loop = loop;
    watch->settings = settings;
    watch->metrics = metrics;
    watch->events = *events;
    watch->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, engine_free);
    return watch;
}

void wb_crash_watch_free(wb_crash_watch_t *watch) {
    g_hash_table_unref(watch->engines);
    g_free(watch);
}

static void crash_tell(wb_broken_engine_t *engine, const char *shown_by) {
    engine->watch->metrics->engine_crashes += engine->state != WB_ENGINE_END_SURE;
    engine->state = WB_ENGINE_END_SURE;
    if (engine->requests->len == 0) {
        return;
    }
    wb_event("engine-crashed", ",\"engine\":\"%s\",\"shown_by\":\"%s\",\"requests\":%u",
             wb_event_escape(engine->id), shown_by, engine->requests->len);
    g_autoptr(GArray) requests = engine->requests;
    engine->requests = g_array_new(FALSE, FALSE, sizeof(wb_aborted_request_t));
    engine->watch->events.on_crashed(engine->id, requests, engine->watch->events.context);
}

/* Somebody listens there: the engine, the next one, or what stands before engines. */
static void check_open(wb_tcp_stream_t *stream, void *context) {
    (void)stream;
    wb_broken_engine_t *engine = context;
    check_end(engine);
    engine->state = WB_ENGINE_END_UNKNOWN;
}

static void check_data(wb_tcp_stream_t *stream, const char *data, size_t length, void *context) {
    (void)stream;
    (void)data; /* the check ends as it is connected: nothing is asked */
    (void)length;
    (void)context;
}

static void check_failed(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how, void *context) {
    (void)stream;
    wb_broken_engine_t *engine = context;
    check_end(engine);
    if (how == WB_TCP_END_REFUSED) {
        crash_tell(engine, "refused");
    } else {
        engine->state = WB_ENGINE_END_UNKNOWN;
    }
}

static void check_begin(void *context) {
    static const wb_tcp_events_t events = {check_open, check_data, check_failed, NULL};
    wb_broken_engine_t *engine = context;
    int64_t limit_ms = engine->watch->settings->connect_timeout_ms;
    wb_error_t error;
    engine->timer = NULL;
    engine->watch->metrics->engine_checks++;
    if (wb_tcp_stream_connect(engine->watch->loop, engine->address, limit_ms, limit_ms, &events,
                              engine, &engine->stream, &error) != APR_SUCCESS) {
        wb_event("engine-check-failed", ",\"engine\":\"%s\",\"reason\":\"%s\"",
                 wb_event_escape(engine->id), wb_event_escape(error.message));
        engine->stream = NULL;
        engine->state = WB_ENGINE_END_UNKNOWN;
    }
}

static void check_plan(wb_broken_engine_t *engine) {
    engine->state = WB_ENGINE_END_ASKED;
    engine->since_ms = wb_clock_ms();
    engine->timer = wb_loop_after(engine->watch->loop, CHECK_AFTER_MS, check_begin, engine);
}

static wb_broken_engine_t *engine_begin(wb_crash_watch_t *watch, const char *id,
                                        const char *address) {
    wb_broken_engine_t *engine = g_new0(wb_broken_engine_t, 1);
    engine->watch = watch;
    engine->id = g_strdup(id);
    engine->address = g_strdup(address);
    engine->requests = g_array_new(FALSE, FALSE, sizeof(wb_aborted_request_t));
    check_plan(engine);
    g_hash_table_insert(watch->engines, engine->id, engine);
    return engine;
}

void wb_crash_watch_note_aborted(wb_crash_watch_t *watch, const char *engine_id, const char *address,
                           const wb_aborted_request_t *request) {
    wb_broken_engine_t *engine = g_hash_table_lookup(watch->engines, engine_id);
    if (engine == NULL) {
        engine = engine_begin(watch, engine_id, address);
    } else if (engine->state == WB_ENGINE_END_UNKNOWN &&
               wb_clock_ms() - engine->since_ms > CHECK_AGAIN_MS) {
        check_plan(engine);
    }
    if (engine->requests->len < REQUESTS_MOST) {
        g_array_append_val(engine->requests, *request);
    }
    if (engine->state == WB_ENGINE_END_SURE) {
        crash_tell(engine, "before");
    }
}

static void engine_ended(wb_broken_engine_t *engine, const char *shown_by) {
    if (engine->state != WB_ENGINE_END_SURE) {
        check_end(engine);
        crash_tell(engine, shown_by);
    }
}

void wb_crash_watch_row_removed(wb_crash_watch_t *watch, const char *engine_id) {
    wb_broken_engine_t *engine = g_hash_table_lookup(watch->engines, engine_id);
    if (engine != NULL) {
        engine_ended(engine, "row");
    }
}

/* Returns another engine that was at the address and isn't known to have ended, or NULL. */
static wb_broken_engine_t *predecessor_find(const wb_crash_watch_t *watch, const char *engine_id,
                                            const char *address) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, watch->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_broken_engine_t *engine = value;
        if (engine->state != WB_ENGINE_END_SURE && strcmp(engine->address, address) == 0 &&
            strcmp(engine->id, engine_id) != 0) {
            return engine;
        }
    }
    return NULL;
}

void wb_crash_watch_address_taken(wb_crash_watch_t *watch, const char *engine_id,
                                  const char *address) {
    wb_broken_engine_t *engine;
    while ((engine = predecessor_find(watch, engine_id, address)) != NULL) {
        engine_ended(engine, "successor");
    }
}

typedef struct wb_sweep_t {
    int64_t now_ms;
    int64_t remembered_ms;
} wb_sweep_t;

static gboolean engine_is_old(gpointer key, gpointer value, gpointer context) {
    (void)key;
    const wb_sweep_t *sweep = context;
    return sweep->now_ms - ((const wb_broken_engine_t *)value)->since_ms > sweep->remembered_ms;
}

void wb_crash_watch_sweep(wb_crash_watch_t *watch, int64_t now_ms) {
    wb_sweep_t sweep = {now_ms, LAPSE_BEATS * watch->settings->engine_heartbeat_ms + ROW_READ_MS};
    g_hash_table_foreach_remove(watch->engines, engine_is_old, &sweep);
}
