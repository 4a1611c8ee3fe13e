/* The pool of idle connections to engines. */
#include "request/upstream.h"

#include <string.h>
#include <xxhash.h>

#define HEAD_LIMIT_BYTES 65536
/* An idle connection is no longer reused this long before the engine closes it. */
#define KEEP_ALIVE_MARGIN_MS 600
#define IDLE_DEFAULT_MS 250 /* for engines that send no Keep-Alive timeout */
#define IDLE_MAX_PER_ENGINE 6
/* Bounds the memory and search time of a connection's `carried`. */
#define REQUESTS_MAX 1000

wb_upstream_t *wb_upstream_create(wb_edge_t *edge, wb_engine_t *engine,
                                  const wb_http_reader_events_t *events) {
    wb_upstream_t *upstream = g_new0(wb_upstream_t, 1);
    upstream->edge = edge;
    upstream->engine = wb_engine_ref(engine);
    upstream->number = ++edge->upstreams_created;
    upstream->carried = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    upstream->reader = wb_http_reader_create(FALSE, HEAD_LIMIT_BYTES, events, upstream);
    return upstream;
}

void wb_upstream_close(wb_upstream_t *upstream) {
    if (!upstream->closed) {
        upstream->closed = TRUE;
        if (upstream->connect != NULL)
            wb_engine_connect_cancel(upstream->connect);
        upstream->connect = NULL;
        if (upstream->share_connect != NULL)
            wb_share_connect_cancel(upstream->share_connect);
        upstream->share_connect = NULL;
        if (upstream->stream != NULL)
            wb_tcp_stream_close(upstream->stream);
        upstream->stream = NULL;
    }
    if (upstream->feeding)
        return;
    wb_http_reader_free(upstream->reader);
    g_array_unref(upstream->carried);
    wb_engine_unref(upstream->engine);
    g_free(upstream);
}

gboolean wb_upstream_pool(wb_upstream_t *upstream, int64_t idle_limit_ms) {
    wb_engine_t *engine = upstream->engine;
    int64_t usable_ms = idle_limit_ms > 0 ? idle_limit_ms - KEEP_ALIVE_MARGIN_MS : IDLE_DEFAULT_MS;
    if (upstream->by_peer || engine->gone || !wb_engine_is_available(engine) ||
        wb_tcp_stream_unsent(upstream->stream) > 0 || engine->idle.len >= IDLE_MAX_PER_ENGINE ||
        upstream->carried->len >= REQUESTS_MAX || usable_ms <= 0) {
        wb_upstream_close(upstream);
        return FALSE;
    }
    upstream->usable_until_ms = wb_clock_ms() + usable_ms;
    wb_http_reader_next(upstream->reader);
    wb_tcp_stream_set_reading(upstream->stream, TRUE);
    wb_list_add_head(&engine->idle, &upstream->idle);
    return TRUE;
}

void wb_upstream_close_idle(wb_upstream_t *upstream) {
    wb_list_remove(&upstream->engine->idle, &upstream->idle);
    wb_upstream_close(upstream);
}

/* Returns the time after which a connection must have had bytes to be trusted: the engine's
 * connections may be dead since then. 0: there is no doubt. */
static int64_t doubt_ms(const wb_edge_t *edge, const wb_engine_t *engine, int64_t now_ms) {
    int64_t since_ms = edge->doubt_since_ms;
    if (wb_engine_reach_is_doubtful(&engine->reach, now_ms))
        since_ms = MAX(since_ms, engine->reach.failed_ms);
    if (wb_balancer_is_unresponsive(edge, engine, now_ms))
        since_ms = MAX(since_ms, engine->unanswered_since_ms);
    return since_ms;
}

static uint64_t id_hash(const char *request_id) {
    return XXH3_64bits(request_id, strlen(request_id));
}

unsigned wb_upstream_note_request(wb_upstream_t *upstream, const char *request_id) {
    uint64_t hash = id_hash(request_id);
    g_array_append_val(upstream->carried, hash);
    return upstream->carried->len - 1;
}

static gboolean has_carried(const wb_upstream_t *upstream, uint64_t hash) {
    for (guint i = 0; i < upstream->carried->len; i++)
        if (g_array_index(upstream->carried, uint64_t, i) == hash)
            return TRUE;
    return FALSE;
}

static gboolean is_usable(const wb_upstream_t *upstream, int64_t heard_after_ms, int64_t now_ms) {
    return now_ms < upstream->usable_until_ms && wb_tcp_stream_is_open(upstream->stream) &&
           (heard_after_ms == 0 || upstream->heard_ms > heard_after_ms);
}

/* Returns an idle connection that may carry the request, or NULL. Closes unusable ones. */
static wb_upstream_t *idle_find(wb_engine_t *engine, uint64_t hash, int64_t heard_after_ms,
                                int64_t now_ms) {
    WB_LIST_EACH_SAFE(item, &engine->idle) {
        wb_upstream_t *upstream = WB_LIST_OF(item, wb_upstream_t, idle);
        if (!is_usable(upstream, heard_after_ms, now_ms))
            wb_upstream_close_idle(upstream);
        else if (!has_carried(upstream, hash))
            return upstream;
    }
    return NULL;
}

wb_upstream_t *wb_upstream_take(const wb_edge_t *edge, wb_engine_t *engine, const char *request_id,
                                int64_t now_ms) {
    int64_t heard_after_ms = doubt_ms(edge, engine, now_ms);
    uint64_t hash = id_hash(request_id);
    wb_upstream_t *upstream;
    while ((upstream = idle_find(engine, hash, heard_after_ms, now_ms)) != NULL) {
        unsigned count = engine->idle.len;
        wb_tcp_stream_read_now(upstream->stream);
        if (engine->idle.len < count)
            continue; /* its end had arrived */
        wb_list_remove(&engine->idle, &upstream->idle);
        return upstream;
    }
    return NULL;
}

/* Closes the idle connections of an engine that have expired, or all of them. */
static void idle_sweep(wb_engine_t *engine, gboolean all, int64_t now_ms) {
    WB_LIST_EACH_SAFE(item, &engine->idle) {
        wb_upstream_t *upstream = WB_LIST_OF(item, wb_upstream_t, idle);
        if (all || now_ms >= upstream->usable_until_ms)
            wb_upstream_close_idle(upstream);
    }
}

void wb_upstreams_close_idle(wb_engine_t *engine) {
    idle_sweep(engine, TRUE, 0);
}

void wb_upstreams_sweep_idle(wb_edge_t *edge, int64_t now_ms) {
    GHashTableIter iter;
    gpointer service;
    g_hash_table_iter_init(&iter, edge->catalog != NULL ? edge->catalog->services : edge->budgets);
    while (g_hash_table_iter_next(&iter, &service, NULL)) {
        const GPtrArray *engines = wb_fleet_service(edge->fleet, service);
        for (guint i = 0; engines != NULL && i < engines->len; i++) {
            wb_engine_t *engine = g_ptr_array_index(engines, i);
            idle_sweep(engine, !wb_engine_is_available(engine), now_ms);
        }
    }
}
