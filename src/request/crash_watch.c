/* Finds out whether an engine that aborted requests has crashed. */
#include "request/crash_watch.h"

#include "wickbridge/event_log.h"
#include "wickbridge/tcp_stream.h"

#include <string.h>

/* Delay of the check: an ending process closes its connections and its listener one after another,
 * which takes some ms on a loaded machine. Engines take seconds to restart. */
#define CHECK_DELAY_MS 20
/* The row of an engine that ended expires after three missed heartbeats, and its removal is read
 * within three seconds, even just after a change of the lease holder. */
#define EXPIRY_HEARTBEATS 3
#define ROW_READ_MS 3000
/* Minimum interval between checks of a live engine that keeps aborting requests: each check opens a
 * connection, and an engine accepts a limited number of them. */
#define CHECK_INTERVAL_MS 500
/* Maximum requests kept for an engine; more than an engine runs and queues at once. */
#define REQUESTS_MAX 128

typedef enum wb_liveness_t {
    WB_LIVENESS_CHECKING, /* a check is scheduled or in progress */
    WB_LIVENESS_UNKNOWN,  /* the check had no result: the store decides */
    WB_LIVENESS_ENDED
} wb_liveness_t;

/* An engine that aborted requests. */
typedef struct wb_watched_engine_t {
    wb_crash_watch_t *watch;
    char *id;
    char *address;
    wb_liveness_t state;
    GArray *requests; /* of wb_aborted_request_t, not yet reported */
    wb_timer_t *timer;
    wb_tcp_stream_t *stream;
    int64_t since_ms; /* monotonic time at which the last check was scheduled */
} wb_watched_engine_t;

struct wb_crash_watch_t {
    wb_loop_t *loop;
    const wb_edge_settings_t *settings;
    wb_crash_watch_events_t events;
    wb_edge_metrics_t *metrics;
    GHashTable *engines; /* id -> wb_watched_engine_t */
};

static void check_stop(wb_watched_engine_t *engine) {
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
    wb_watched_engine_t *engine = data;
    check_stop(engine);
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

/* Reports the pending requests of an engine that has ended. */
static void crash_report(wb_watched_engine_t *engine, const char *shown_by) {
    engine->watch->metrics->engine_crashes += engine->state != WB_LIVENESS_ENDED;
    engine->state = WB_LIVENESS_ENDED;
    if (engine->requests->len == 0) {
        return;
    }
    wb_event("engine-crashed", ",\"engine\":\"%s\",\"shown_by\":\"%s\",\"requests\":%u", engine->id,
             shown_by, engine->requests->len);
    g_autoptr(GArray) requests = engine->requests;
    engine->requests = g_array_new(FALSE, FALSE, sizeof(wb_aborted_request_t));
    engine->watch->events.on_crashed(engine->id, requests, engine->watch->events.context);
}

/* Something listens at the address: the engine, its successor or a proxy. */
static void check_open(wb_tcp_stream_t *stream, void *context) {
    (void)stream;
    wb_watched_engine_t *engine = context;
    check_stop(engine);
    engine->state = WB_LIVENESS_UNKNOWN;
}

static void check_data(wb_tcp_stream_t *stream, const char *data, size_t length, void *context) {
    (void)stream;
    (void)data; /* the check ends when it is connected and sends nothing */
    (void)length;
    (void)context;
}

static void check_failed(wb_tcp_stream_t *stream, wb_tcp_end_reason_t how, void *context) {
    (void)stream;
    wb_watched_engine_t *engine = context;
    check_stop(engine);
    const wb_crash_watch_events_t *events = &engine->watch->events;
    if (events->confirm_ended != NULL && events->confirm_ended(engine->id, events->context)) {
        return;
    }
    if (how == WB_TCP_END_REFUSED) {
        crash_report(engine, "refused");
    } else {
        engine->state = WB_LIVENESS_UNKNOWN;
    }
}

static void check_begin(void *context) {
    static const wb_tcp_events_t events = {check_open, check_data, check_failed, NULL};
    wb_watched_engine_t *engine = context;
    const wb_edge_settings_t *settings = engine->watch->settings;
    wb_tcp_connect_options_t options = {settings->connect_timeout_ms, settings->connect_timeout_ms,
                                        settings->bind_host};
    wb_error_t error;
    engine->timer = NULL;
    engine->watch->metrics->engine_checks++;
    if (wb_tcp_stream_connect(engine->watch->loop, engine->address, &options, &events, engine,
                              &engine->stream, &error) != APR_SUCCESS) {
        wb_event("engine-check-failed", ",\"engine\":\"%s\",\"reason\":\"%s\"", engine->id,
                 error.message);
        engine->stream = NULL;
        engine->state = WB_LIVENESS_UNKNOWN;
    }
}

static void check_schedule(wb_watched_engine_t *engine) {
    engine->state = WB_LIVENESS_CHECKING;
    engine->since_ms = wb_clock_ms();
    engine->timer = wb_loop_after(engine->watch->loop, CHECK_DELAY_MS, check_begin, engine);
}

static wb_watched_engine_t *engine_add(wb_crash_watch_t *watch, const char *id,
                                       const char *address) {
    wb_watched_engine_t *engine = g_new0(wb_watched_engine_t, 1);
    engine->watch = watch;
    engine->id = g_strdup(id);
    engine->address = g_strdup(address);
    engine->requests = g_array_new(FALSE, FALSE, sizeof(wb_aborted_request_t));
    check_schedule(engine);
    g_hash_table_insert(watch->engines, engine->id, engine);
    return engine;
}

void wb_crash_watch_note_aborted(wb_crash_watch_t *watch, const char *engine_id,
                                 const char *address, const wb_aborted_request_t *request) {
    wb_watched_engine_t *engine = g_hash_table_lookup(watch->engines, engine_id);
    if (engine == NULL) {
        engine = engine_add(watch, engine_id, address);
    } else if (engine->state == WB_LIVENESS_UNKNOWN &&
               wb_clock_ms() - engine->since_ms > CHECK_INTERVAL_MS) {
        check_schedule(engine);
    }
    if (engine->requests->len < REQUESTS_MAX) {
        g_array_append_val(engine->requests, *request);
    }
    if (engine->state == WB_LIVENESS_ENDED) {
        crash_report(engine, "before");
    }
}

static void engine_ended(wb_watched_engine_t *engine, const char *shown_by) {
    if (engine->state != WB_LIVENESS_ENDED) {
        check_stop(engine);
        crash_report(engine, shown_by);
    }
}

void wb_crash_watch_confirm(wb_crash_watch_t *watch, const char *engine_id, gboolean ended) {
    wb_watched_engine_t *engine = g_hash_table_lookup(watch->engines, engine_id);
    if (engine == NULL || engine->state != WB_LIVENESS_CHECKING) {
        return;
    }
    if (ended) {
        crash_report(engine, "refused");
    } else {
        engine->state = WB_LIVENESS_UNKNOWN;
    }
}

void wb_crash_watch_row_removed(wb_crash_watch_t *watch, const char *engine_id) {
    wb_watched_engine_t *engine = g_hash_table_lookup(watch->engines, engine_id);
    if (engine != NULL) {
        engine_ended(engine, "row");
    }
}

/* Returns another engine that had the address and isn't known to have ended, or NULL. */
static wb_watched_engine_t *predecessor_find(const wb_crash_watch_t *watch, const char *engine_id,
                                             const char *address) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, watch->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_watched_engine_t *engine = value;
        if (engine->state != WB_LIVENESS_ENDED && strcmp(engine->address, address) == 0 &&
            strcmp(engine->id, engine_id) != 0) {
            return engine;
        }
    }
    return NULL;
}

void wb_crash_watch_address_taken(wb_crash_watch_t *watch, const char *engine_id,
                                  const char *address) {
    wb_watched_engine_t *engine;
    while ((engine = predecessor_find(watch, engine_id, address)) != NULL) {
        engine_ended(engine, "successor");
    }
}

typedef struct wb_sweep_t {
    int64_t now_ms;
    int64_t kept_ms;
} wb_sweep_t;

static gboolean engine_is_old(gpointer key, gpointer value, gpointer context) {
    (void)key;
    const wb_sweep_t *sweep = context;
    return sweep->now_ms - ((const wb_watched_engine_t *)value)->since_ms > sweep->kept_ms;
}

void wb_crash_watch_sweep(wb_crash_watch_t *watch, int64_t now_ms) {
    wb_sweep_t sweep = {now_ms,
                        EXPIRY_HEARTBEATS * watch->settings->engine_heartbeat_ms + ROW_READ_MS};
    g_hash_table_foreach_remove(watch->engines, engine_is_old, &sweep);
}
