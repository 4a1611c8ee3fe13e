/* Streams go on only at engines of the software version that began them, within an answer and when
 * a client takes its stream up. */
#include "request/exchange_internal.h"

#include <string.h>

/* The controller answers, or stores a new version, within some ms; one that has just taken over
 * learns of streams for a while. */
#define START_LOOKUP_MS 800
#define START_ASK_AGAIN_MS 100

static gboolean route_is_resumable(const wb_exchange_t *exchange) {
    return exchange->route->kind == WB_ROUTE_STREAM && exchange->route->resumable;
}

static const char *tenant_name(const wb_exchange_t *exchange) {
    return exchange->tenant != NULL ? exchange->tenant->name : NULL;
}

static const char *request_host(const wb_exchange_t *exchange) {
    const char *host = wb_http_head_get(exchange->head, "Host");
    return host != NULL ? host : "";
}

/* Returns what stands for a stream that its client doesn't name: no request has such an id. Each
 * has its own: the answer to an earlier question, which may have been under way for long, says
 * nothing about a stream that has begun since. */
static char *unnamed_stream(wb_edge_t *edge) {
    return g_strdup_printf("\n%llu", (unsigned long long)++edge->unnamed_streams);
}

void wb_exchange_read_stream(wb_exchange_t *exchange) {
    const wb_dialect_t *dialect = exchange->edge->dialect;
    const char *resumes = wb_http_head_get(exchange->head, dialect->resumes);
    const char *last_event_id = wb_http_head_get(exchange->head, dialect->last_event_id);
    /* The headers tell, as the stream may have begun by a newer configuration than this node's. */
    exchange->takes_up =
        exchange->route->kind == WB_ROUTE_STREAM && (resumes != NULL || last_event_id != NULL);
    exchange->begins_stream = route_is_resumable(exchange) && !exchange->takes_up;
    if (!exchange->takes_up)
        return;
    exchange->edge->metrics.streams_taken_up++;
    exchange->names_stream = resumes != NULL && *resumes != '\0';
    g_autofree char *name =
        exchange->names_stream ? g_strdup(resumes) : unnamed_stream(exchange->edge);
    exchange->stream_key = wb_stream_key(tenant_name(exchange), name);
    /* So that what is known here changes the service before the request is counted at it. */
    wb_exchange_find_start(exchange);
}

/* @param by for logs: how the version is known */
static void version_bind(wb_exchange_t *exchange, const char *software_version, const char *by) {
    exchange->bound_version = g_strdup(software_version);
    exchange->bound_by = by;
}

/* Whether the route leads to one service, where its streams begin, then. */
static gboolean has_one_service(const wb_exchange_t *exchange) {
    return exchange->route->parts == NULL || exchange->route->parts->len <= 1;
}

/* Texts are borrowed. */
static wb_stream_place_t stream_place(const wb_exchange_t *exchange) {
    return (wb_stream_place_t){has_one_service(exchange) ? exchange->service->name : "",
                               request_host(exchange), exchange->head->target,
                               exchange->names_stream};
}

/* @param by for logs */
static void start_bind(wb_exchange_t *exchange, const char *service, const char *software_version,
                       const char *by) {
    gboolean can_go_on = wb_exchange_change_service(exchange, service);
    version_bind(exchange, can_go_on ? software_version : "", by);
    exchange->start_has_no_version = *software_version == '\0';
}

gboolean wb_exchange_find_start(wb_exchange_t *exchange) {
    const wb_edge_t *edge = exchange->edge;
    if (!exchange->takes_up || exchange->bound_version != NULL)
        return TRUE;
    const wb_stream_start_t *start =
        wb_stream_starts_find(edge->stream_starts, &exchange->stream_key);
    if (start != NULL) {
        start_bind(exchange, start->service, start->software_version,
                   start->is_restored ? "store" : "record");
        return TRUE;
    }
    wb_stream_place_t place = stream_place(exchange);
    const char *sole =
        edge->sole_version != NULL ? edge->sole_version(&place, edge->node_context) : NULL;
    if (sole == NULL)
        return FALSE;
    version_bind(exchange, sole, "sole");
    return TRUE;
}

static wb_start_lookup_t start_ask(wb_exchange_t *exchange, int64_t now_ms) {
    wb_edge_t *edge = exchange->edge;
    if (edge->ask_stream_start == NULL)
        return WB_START_UNKNOWN;
    if (exchange->start_asked_ms != 0 && now_ms - exchange->start_asked_ms < START_ASK_AGAIN_MS)
        return WB_START_ASKED;
    exchange->start_asked_ms = now_ms;
    edge->metrics.stream_starts_asked++;
    wb_stream_place_t place = stream_place(exchange);
    return edge->ask_stream_start(&exchange->stream_key, &place, edge->node_context);
}

static wb_outcome_t unknown_outcome(gboolean is_lost) {
    return is_lost ? WB_OUTCOME_STREAM_LOST : WB_OUTCOME_START_UNKNOWN;
}

/* Whether the newest configuration has streams on this route that no client takes up. */
static gboolean none_is_taken_up(const wb_exchange_t *exchange) {
    return !route_is_resumable(exchange) && exchange->catalog == exchange->edge->catalog &&
           wb_edge_catalog_is_confirmed(exchange->edge);
}

/* Nobody knows how the stream began. If none can be taken up, the request is one like any other. */
static void start_is_unknown(wb_exchange_t *exchange, gboolean is_lost) {
    if (!none_is_taken_up(exchange)) {
        wb_exchange_give_up(exchange, unknown_outcome(is_lost));
        return;
    }
    exchange->takes_up = FALSE;
    wb_exchange_end_start_wait(exchange);
    wb_exchange_dispatch(exchange);
}

void wb_exchange_await_start(wb_exchange_t *exchange) {
    int64_t now_ms = wb_clock_ms();
    wb_start_lookup_t lookup = exchange->takes_up ? start_ask(exchange, now_ms) : WB_START_ASKED;
    if (lookup != WB_START_ASKED) {
        start_is_unknown(exchange, lookup == WB_START_LOST);
        return;
    }
    if (exchange->awaits_start)
        return;
    exchange->edge->metrics.stream_origin_waits += exchange->begins_stream;
    wb_exchange_stop_waiting(exchange);
    exchange->awaits_start = TRUE;
    exchange->awaits_load = FALSE;
    exchange->awaits_engine = FALSE;
    exchange->waiting_since_ms = now_ms;
    exchange->wait_until_ms = now_ms + START_LOOKUP_MS;
    wb_list_add_tail(&exchange->edge->waiting, &exchange->waiting);
    wb_exchange_arm_timeout(exchange);
}

void wb_exchange_end_start_wait(wb_exchange_t *exchange) {
    if (exchange->awaits_start)
        wb_exchange_stop_waiting(exchange);
    exchange->awaits_start = FALSE;
}

/* Whether a request waits to learn how the stream with this key began. */
static gboolean awaits_start_of(const wb_exchange_t *exchange, const wb_request_digest_t *key) {
    return exchange->takes_up && exchange->awaits_start && exchange->bound_version == NULL &&
           wb_list_is_linked(&exchange->waiting) &&
           wb_request_digest_equal(&exchange->stream_key, key);
}

void wb_exchanges_start_unknown(wb_edge_t *edge, const wb_request_digest_t *key, gboolean is_lost) {
    g_autoptr(GList) open = g_hash_table_get_keys(edge->open);
    for (GList *item = open; item != NULL; item = item->next) {
        wb_exchange_t *exchange = item->data;
        /* Ending one request may end others, so each is checked to be still open. */
        if (g_hash_table_contains(edge->open, exchange) && awaits_start_of(exchange, key))
            start_is_unknown(exchange, is_lost);
    }
}

void wb_exchanges_start_known(wb_edge_t *edge, const wb_request_digest_t *key, const char *service,
                              const char *software_version, gboolean is_recorded) {
    WB_LIST_EACH(item, &edge->waiting) {
        wb_exchange_t *exchange = WB_LIST_OF(item, wb_exchange_t, waiting);
        if (awaits_start_of(exchange, key))
            start_bind(exchange, service, software_version, is_recorded ? "answer" : "answer-sole");
    }
    wb_exchanges_retry_waiting(edge);
}

/* Whether no stream may begin at any of the engines that serve new requests of the service. */
static gboolean all_begin_no_stream(const wb_exchange_t *exchange) {
    const GPtrArray *engines = wb_fleet_service(exchange->edge->fleet, exchange->service->name);
    int64_t now_ms = wb_clock_ms();
    gboolean has_any = FALSE;
    for (guint i = 0; engines != NULL && i < engines->len; i++) {
        const wb_engine_t *engine = g_ptr_array_index(engines, i);
        if (!wb_engine_is_usable(engine, now_ms))
            continue;
        if (!engine->begins_no_stream)
            return FALSE;
        has_any = TRUE;
    }
    return has_any;
}

gboolean wb_exchange_may_begin(const wb_exchange_t *exchange) {
    if (!exchange->begins_stream || exchange->bound_version != NULL)
        return TRUE;
    if (exchange->route->moved && !exchange->catalog->moves_stored)
        return FALSE;
    return !exchange->edge->some_begin_no_stream || !all_begin_no_stream(exchange);
}

void wb_exchange_note_stream_began(wb_exchange_t *exchange) {
    wb_edge_t *edge = exchange->edge;
    if (exchange->began_noted)
        return;
    exchange->began_noted = TRUE;
    /* One that takes a stream up is recorded too: its client may name it when it breaks off again.
     */
    if (exchange->bound_version == NULL)
        version_bind(exchange, exchange->engine->state->software_version, "began");
    if (!route_is_resumable(exchange) || *exchange->id == '\0')
        return;
    wb_request_digest_t key = wb_stream_key(tenant_name(exchange), exchange->id);
    int64_t until_ms = wb_clock_ms() + (int64_t)(edge->settings.resume_window_s * 1000);
    const wb_stream_start_t *start = wb_stream_starts_add(
        edge->stream_starts, &key, exchange->service->name, exchange->bound_version, until_ms);
    if (start != NULL && edge->on_stream_begun != NULL)
        edge->on_stream_begun(start, edge->node_context);
}

gboolean wb_exchange_may_use(const wb_exchange_t *exchange, const wb_engine_t *engine) {
    const char *bound = exchange->bound_version;
    if (bound == NULL)
        return !exchange->begins_stream || !engine->begins_no_stream;
    return *bound != '\0' && strcmp(engine->state->software_version, bound) == 0;
}

/* Whether an engine serves the request, or could once its model is loaded there. */
static gboolean may_serve(const wb_exchange_t *exchange, const wb_engine_t *engine,
                          int64_t now_ms) {
    if (!wb_exchange_may_use(exchange, engine))
        return FALSE;
    if (wb_engine_is_available(engine))
        return TRUE;
    return wb_engine_is_usable(engine, now_ms) &&
           (exchange->model == NULL ||
            wb_engine_holds(engine, exchange->model, exchange->adapter, now_ms));
}

gboolean wb_exchange_version_serves(const wb_exchange_t *exchange) {
    const GPtrArray *engines = wb_fleet_service(exchange->edge->fleet, exchange->service->name);
    int64_t now_ms = wb_clock_ms();
    if (exchange->bound_version == NULL ||
        (exchange->edge->engines_partial && *exchange->bound_version != '\0'))
        return TRUE;
    for (guint i = 0; engines != NULL && i < engines->len; i++)
        if (may_serve(exchange, g_ptr_array_index(engines, i), now_ms))
            return TRUE;
    return FALSE;
}

gboolean wb_exchange_version_holds(const wb_exchange_t *exchange, const char *adapter) {
    const wb_edge_t *edge = exchange->edge;
    int64_t now_ms = wb_clock_ms();
    if (exchange->bound_version == NULL)
        return wb_fleet_holds(edge->fleet, exchange->service->name, exchange->model, adapter,
                              now_ms);
    const GPtrArray *engines = wb_fleet_service(edge->fleet, exchange->service->name);
    for (guint i = 0; engines != NULL && i < engines->len; i++) {
        const wb_engine_t *engine = g_ptr_array_index(engines, i);
        if (wb_engine_is_available(engine) && wb_exchange_may_use(exchange, engine) &&
            wb_engine_holds(engine, exchange->model, adapter, now_ms))
            return TRUE;
    }
    return FALSE;
}
