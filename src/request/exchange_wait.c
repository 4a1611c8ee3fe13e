/* Requests that wait for an engine or a model load: until when waiting is useful, and when it ends.
 * Times are monotonic, in ms. */
#include "request/exchange_internal.h"

#include "control/placement.h"

#include <string.h>

#define DEFAULT_RETRY_AFTER_MS 300
/* Retry-After of a node that has no catalog yet: it reads one 0.5 s after a start of the whole
 * system (docs/PLATFORM.md), and earlier retries would be refused again. */
#define NO_CATALOG_MS 700
#define RETRY_AFTER_MARGIN_MS 50
/* How late an expected load may be before the requests that wait for it are refused. */
#define LOAD_GRACE_MS 700
/* Time reserved for prefill after the wait. */
#define SERVE_MS 150
/* By this time after a request's arrival the controller has reacted to its demand and the update
 * has reached this node; without one, no load was started. A decision takes some ms, and some tens
 * at 1,000 engines. An adapter is loaded by then too, unless its engine is loading a model. */
#define DECISION_MS 600
/* A request that waits for an engine to become available is dispatched at the next tick or, on a
 * slow machine, the one after. */
#define AVAILABLE_MARGIN_MS 100
/* Client timeout of a stream: the longest of a fixed time, a multiple of the target latency and a
 * multiple of the target gap. */
#define STREAM_TIMEOUT_MS 2000
#define STREAM_TIMEOUT_TARGETS 4
#define STREAM_TIMEOUT_GAPS 8

void wb_exchange_stop_waiting(wb_exchange_t *exchange) {
    if (!wb_list_is_linked(&exchange->waiting)) {
        return;
    }
    wb_list_remove(&exchange->edge->waiting, &exchange->waiting);
    int64_t waited_ms = wb_clock_ms() - exchange->waiting_since_ms;
    exchange->waited_ms += waited_ms;
    wb_histogram_add(&exchange->edge->metrics.wait_ms, waited_ms);
    if (exchange->awaits_load) {
        wb_demand_set_waiting(exchange->edge->demand, exchange, FALSE);
    }
}

/* @param software_version NULL: at an engine of any */
static char *expected_key(const char *service, const char *model, const char *software_version) {
    return g_strjoin("/", service, model, software_version, NULL);
}

static int64_t *expected_find(const wb_exchange_t *exchange) {
    g_autofree char *key =
        expected_key(exchange->service->name, exchange->model, exchange->bound_version);
    return g_hash_table_lookup(exchange->edge->expected, key);
}

static wb_controller_view_t controller_view(const wb_edge_t *edge) {
    if (edge->controller_view == NULL) {
        return (wb_controller_view_t){WB_CONTROLLER_REACHABLE, 0};
    }
    return edge->controller_view(edge->node_context);
}

gboolean wb_exchange_lacks_controller(const wb_exchange_t *exchange) {
    return controller_view(exchange->edge).reach != WB_CONTROLLER_REACHABLE;
}

/* Shortest load time of the model at any engine of the service, by where each has a copy. */
static int64_t min_load_ms(const wb_exchange_t *exchange, const wb_model_spec_t *spec) {
    const GPtrArray *engines = wb_fleet_service(exchange->edge->fleet, exchange->service->name);
    double min_ms = (double)spec->store_load_ms;
    for (guint i = 0; engines != NULL && i < engines->len; i++) {
        const wb_engine_t *engine = g_ptr_array_index(engines, i);
        if (wb_exchange_may_use(exchange, engine))
            min_ms = MIN(min_ms, wb_placement_load_ms(spec, engine->state, NULL));
    }
    return (int64_t)min_ms;
}

/* Returns the time in ms until the request's model should be ready: as reported by the controller,
 * or, while a takeover is pending, the time until the takeover and a load; -1: not known. */
static int64_t model_ready_in_ms(const wb_exchange_t *exchange) {
    const wb_edge_t *edge = exchange->edge;
    int64_t now_ms = wb_clock_ms();
    if (exchange->model == NULL || exchange->service == NULL) {
        return -1;
    }
    /* If the model is held, an expected load is that of another replica, while the adapter is
     * loaded where the model is. */
    gboolean held = wb_exchange_version_holds(exchange, "");
    const int64_t *ready_ms = held ? NULL : expected_find(exchange);
    if (ready_ms != NULL && *ready_ms + LOAD_GRACE_MS >= now_ms) {
        return MAX(*ready_ms - now_ms, 0);
    }
    wb_controller_view_t view = controller_view(edge);
    if (view.reach != WB_CONTROLLER_TAKEOVER_PENDING) {
        return -1;
    }
    const wb_model_spec_t *spec = g_hash_table_lookup(exchange->service->models, exchange->model);
    if (spec == NULL || held) {
        return view.available_in_ms;
    }
    return view.available_in_ms + min_load_ms(exchange, spec);
}

/* Returns the time in ms until an engine that can serve the request is available; -1: not known. */
static int64_t engine_available_in_ms(const wb_exchange_t *exchange) {
    int64_t now_ms = wb_clock_ms();
    if (exchange->service == NULL) {
        return -1;
    }
    int64_t available_ms = wb_balancer_next_available(exchange->edge, exchange, now_ms).at_ms;
    return available_ms != G_MAXINT64 ? MAX(available_ms - now_ms, 0) : -1;
}

/* Until the model should be ready or an engine available, whichever is earlier; else a default. */
int64_t wb_exchange_retry_after_ms(const wb_exchange_t *exchange) {
    if (exchange->route == NULL && exchange->edge->catalog == NULL) {
        return NO_CATALOG_MS;
    }
    int64_t ready_in_ms = model_ready_in_ms(exchange);
    int64_t available_ms = engine_available_in_ms(exchange);
    if (available_ms >= 0 && (ready_in_ms <= 0 || available_ms < ready_in_ms)) {
        return MAX(available_ms + RETRY_AFTER_MARGIN_MS, DEFAULT_RETRY_AFTER_MS);
    }
    if (ready_in_ms > 0) {
        return ready_in_ms + RETRY_AFTER_MARGIN_MS;
    }
    wb_controller_view_t view = controller_view(exchange->edge);
    return view.reach == WB_CONTROLLER_UNREACHABLE ? view.available_in_ms : DEFAULT_RETRY_AFTER_MS;
}

int64_t wb_exchange_client_timeout_ms(const wb_exchange_t *exchange) {
    const wb_route_t *route = exchange->route;
    int64_t time_ms = exchange->answer_due_ms - exchange->began_ms;
    if (route->kind != WB_ROUTE_STREAM || route->target_latency_ms == 0)
        return time_ms;
    int64_t timeout_ms =
        MAX(STREAM_TIMEOUT_MS, MAX(STREAM_TIMEOUT_TARGETS * route->target_latency_ms,
                                   STREAM_TIMEOUT_GAPS * route->target_gap_ms));
    return MIN(time_ms, timeout_ms);
}

/* Returns until when to wait for an engine that doesn't accept this node's requests at the moment;
 * 0: no engine could serve the request in time. */
static int64_t engine_wait_until_ms(const wb_exchange_t *exchange, const wb_availability_t *next) {
    int64_t serve_ms = exchange->model != NULL || next->is_cold ? SERVE_MS : 0;
    int64_t useful_until_ms =
        exchange->began_ms + wb_exchange_client_timeout_ms(exchange) - serve_ms;
    return next->at_ms < useful_until_ms ? next->at_ms + AVAILABLE_MARGIN_MS : 0;
}

/* Returns until when to wait when it isn't known when the model or adapter will be ready: as long
 * as the answer can meet its target, and until a load that the controller started at once would be
 * done; never beyond the client timeout. */
static int64_t default_wait_until_ms(const wb_exchange_t *exchange) {
    const wb_model_spec_t *spec = g_hash_table_lookup(exchange->service->models, exchange->model);
    int64_t load_ms = spec != NULL ? min_load_ms(exchange, spec) : 0;
    int64_t in_time_ms = exchange->route->target_latency_ms - SERVE_MS;
    int64_t useful_ms = MAX(wb_exchange_client_timeout_ms(exchange) - SERVE_MS, 0);
    return exchange->began_ms + MIN(MAX(in_time_ms, DECISION_MS + load_ms), useful_ms);
}

/* Returns until when to wait for another replica of a model whose present engines aren't available
 * in time; 0: it would come too late. */
static int64_t replica_wait_until_ms(const wb_exchange_t *exchange) {
    const wb_model_spec_t *spec = g_hash_table_lookup(exchange->service->models, exchange->model);
    int64_t load_ms = spec != NULL ? min_load_ms(exchange, spec) : 0;
    int64_t ready_ms = exchange->began_ms + WB_PLACEMENT_STUCK_MS + DECISION_MS + load_ms;
    int64_t useful_until_ms =
        exchange->began_ms + wb_exchange_client_timeout_ms(exchange) - SERVE_MS;
    return ready_ms < useful_until_ms ? default_wait_until_ms(exchange) : 0;
}

/* Returns until when to wait for a load; a time in the past: not at all. */
static int64_t load_wait_until_ms(const wb_exchange_t *exchange, const wb_availability_t *next) {
    if (exchange->model == NULL) {
        return 0;
    }
    int64_t ready_in_ms = model_ready_in_ms(exchange);
    if (ready_in_ms < 0) {
        gboolean unreachable = controller_view(exchange->edge).reach == WB_CONTROLLER_UNREACHABLE;
        gboolean held = next->at_ms != G_MAXINT64;
        if (unreachable) {
            return 0;
        }
        return held ? replica_wait_until_ms(exchange) : default_wait_until_ms(exchange);
    }
    int64_t ready_ms = wb_clock_ms() + ready_in_ms;
    int64_t useful_until_ms =
        exchange->began_ms + wb_exchange_client_timeout_ms(exchange) - SERVE_MS;
    if (ready_ms > useful_until_ms) {
        return 0;
    }
    /* A late load must not end the wait earlier than if no load were known. */
    return MIN(MAX(ready_ms + LOAD_GRACE_MS, default_wait_until_ms(exchange)), useful_until_ms);
}

/* What a request waits for, and until when; a time in the past: waiting is useless. */
typedef struct wb_wait_t {
    gboolean awaits_engine;
    gboolean awaits_load;
    int64_t until_ms;
} wb_wait_t;

static wb_wait_t wait_decide(const wb_exchange_t *exchange) {
    wb_availability_t next = wb_balancer_next_available(exchange->edge, exchange, wb_clock_ms());
    int64_t engine_until_ms = engine_wait_until_ms(exchange, &next);
    gboolean awaits_engine = engine_until_ms != 0;
    if (awaits_engine && next.is_cold) {
        return (wb_wait_t){TRUE, FALSE, engine_until_ms};
    }
    int64_t load_until_ms = load_wait_until_ms(exchange, &next);
    return (wb_wait_t){awaits_engine, TRUE, MAX(engine_until_ms, load_until_ms)};
}

/* Updates a wait whose cause may have changed, such as when the awaited engine was removed.
 * Requests that wait for a load alone are updated by wb_exchanges_expect_model and
 * wb_exchanges_update_waits. */
static void wait_recheck(wb_exchange_t *exchange) {
    if (exchange->awaits_load && !exchange->awaits_engine) {
        return;
    }
    wb_wait_t wait = wait_decide(exchange);
    exchange->awaits_engine = wait.awaits_engine;
    if (exchange->wait_until_ms != wait.until_ms) {
        exchange->wait_until_ms = wait.until_ms;
        wb_exchange_arm_timeout(exchange);
    }
    if (exchange->awaits_load || !wait.awaits_load) {
        return;
    }
    exchange->awaits_load = TRUE;
    wb_demand_set_waiting(exchange->edge->demand, exchange, TRUE);
    if (exchange->model != NULL && exchange->edge->on_pending_demand != NULL) {
        exchange->edge->on_pending_demand(exchange->edge->node_context);
    }
}

void wb_exchange_wait(wb_exchange_t *exchange) {
    wb_edge_t *edge = exchange->edge;
    if (wb_list_is_linked(&exchange->waiting)) {
        wait_recheck(exchange);
        return;
    }
    wb_wait_t wait = wait_decide(exchange);
    exchange->awaits_engine = wait.awaits_engine;
    exchange->awaits_load = wait.awaits_load;
    exchange->wait_until_ms = wait.until_ms;
    exchange->waiting_since_ms = wb_clock_ms();
    wb_list_add_tail(&edge->waiting, &exchange->waiting);
    edge->metrics.waits++;
    if (exchange->awaits_load) {
        wb_demand_set_waiting(edge->demand, exchange, TRUE);
    }
    wb_event("request-waits",
             ",\"id\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\",\"service\":\"%s\","
             "\"stream_version\":\"%s\",\"for_ms\":%lld",
             exchange->id, exchange->model, exchange->adapter, exchange->service->name,
             exchange->bound_version,
             (long long)MAX(exchange->wait_until_ms - exchange->waiting_since_ms, 0));
    wb_exchange_arm_timeout(exchange);
    if (exchange->model != NULL && exchange->awaits_load && edge->on_pending_demand != NULL)
        edge->on_pending_demand(edge->node_context);
}

wb_outcome_t wb_exchange_wait_outcome(const wb_exchange_t *exchange) {
    if (exchange->awaits_start) {
        return exchange->takes_up ? WB_OUTCOME_START_UNKNOWN : WB_OUTCOME_NO_ENGINE;
    }
    if (exchange->model == NULL) {
        return WB_OUTCOME_NO_ENGINE;
    }
    gboolean unreachable = exchange->connect_failures > 0 && wb_exchange_model_is_held(exchange);
    return unreachable ? WB_OUTCOME_UNREACHABLE : WB_OUTCOME_MODEL_NOT_LOADED;
}

gboolean wb_exchange_reaches_no_engine(const wb_exchange_t *exchange) {
    const wb_edge_t *edge = exchange->edge;
    unsigned engines = g_hash_table_size(wb_fleet_all(edge->fleet));
    return exchange->connect_failures > 0 &&
           wb_reach_summary_verdict(edge->reach, engines, wb_clock_ms()) == WB_REACH_NONE;
}

gboolean wb_exchange_engines_known(const wb_exchange_t *exchange) {
    const wb_edge_t *edge = exchange->edge;
    return edge->engines_known == NULL ||
           edge->engines_known(exchange->service->name,
                               exchange->model != NULL ? exchange->model : "", exchange->began_ms,
                               edge->node_context);
}

void wb_exchange_wait_for_engines(wb_exchange_t *exchange) {
    if (wb_list_is_linked(&exchange->waiting)) {
        return;
    }
    exchange->awaits_load = FALSE;
    exchange->awaits_engine = FALSE;
    exchange->wait_until_ms = exchange->answer_due_ms;
    exchange->waiting_since_ms = wb_clock_ms();
    wb_list_add_tail(&exchange->edge->waiting, &exchange->waiting);
    wb_exchange_arm_timeout(exchange);
}

gboolean wb_exchanges_any_waiting_for(const wb_edge_t *edge, const char *model) {
    WB_LIST_EACH(item, &edge->waiting) {
        const wb_exchange_t *exchange = WB_LIST_OF(item, wb_exchange_t, waiting);
        if (exchange->model != NULL && strcmp(exchange->model, model) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Calls a function for each waiting request. Ending a request may end others or start new ones, so
 * the list is copied and each entry is checked again before its call. */
static void waiting_each(wb_edge_t *edge, void (*visit)(wb_exchange_t *exchange)) {
    g_autoptr(GPtrArray) waiting = g_ptr_array_sized_new(edge->waiting.len);
    WB_LIST_EACH(item, &edge->waiting) {
        g_ptr_array_add(waiting, WB_LIST_OF(item, wb_exchange_t, waiting));
    }
    for (guint i = 0; i < waiting->len; i++) {
        wb_exchange_t *exchange = g_ptr_array_index(waiting, i);
        if (g_hash_table_contains(edge->open, exchange) && wb_list_is_linked(&exchange->waiting))
            visit(exchange);
    }
}

void wb_exchanges_retry_waiting(wb_edge_t *edge) {
    waiting_each(edge, wb_exchange_dispatch);
}

/* Recomputes how long a request waits. If waiting is now useless, the timer refuses it at once. */
static void wait_update(wb_exchange_t *exchange) {
    if (exchange->awaits_start) {
        return;
    }
    exchange->wait_until_ms = wait_decide(exchange).until_ms;
    wb_exchange_arm_timeout(exchange);
}

static void expected_set(wb_edge_t *edge, const char *service, const char *model,
                         const char *software_version, int64_t ready_ms) {
    g_hash_table_replace(edge->expected, expected_key(service, model, software_version),
                         g_memdup2(&ready_ms, sizeof(ready_ms)));
}

void wb_exchanges_expect_model(wb_edge_t *edge, const char *service, const char *model,
                               const char *software_version, unsigned ready_in_ms) {
    int64_t ready_ms = wb_clock_ms() + ready_in_ms;
    expected_set(edge, service, model, NULL, ready_ms);
    if (software_version != NULL)
        expected_set(edge, service, model, software_version, ready_ms);
    WB_LIST_EACH(item, &edge->waiting) {
        wb_exchange_t *exchange = WB_LIST_OF(item, wb_exchange_t, waiting);
        if (exchange->model != NULL && strcmp(exchange->model, model) == 0 &&
            strcmp(exchange->service->name, service) == 0) {
            wait_update(exchange);
        }
    }
}

void wb_exchanges_update_waits(wb_edge_t *edge) {
    WB_LIST_EACH(item, &edge->waiting) {
        wait_update(WB_LIST_OF(item, wb_exchange_t, waiting));
    }
}

/* Refuses a request whose API key was removed, unless it has run or may have. */
static void key_check(wb_exchange_t *exchange) {
    const wb_catalog_t *catalog = exchange->edge->catalog;
    gboolean may_end = exchange->runs == 0 && !exchange->answer_begun;
    gboolean needs_key = exchange->tenant != NULL && !exchange->route->is_public;
    if (may_end && needs_key && catalog->tenants != NULL &&
        wb_tenants_find_by_key(catalog->tenants, &exchange->key) == NULL) {
        wb_exchange_give_up(exchange, WB_OUTCOME_BAD_KEY);
    }
}

void wb_exchanges_recheck_keys(wb_edge_t *edge) {
    waiting_each(edge, key_check);
}

static void expected_clear(wb_edge_t *edge, const char *service, const char *model,
                           const char *software_version) {
    g_autofree char *key = expected_key(service, model, software_version);
    g_hash_table_remove(edge->expected, key);
}

void wb_exchanges_clear_expected(wb_edge_t *edge, const char *service, const char *model,
                                 const char *software_version) {
    expected_clear(edge, service, model, NULL);
    if (software_version != NULL) {
        expected_clear(edge, service, model, software_version);
    }
}

static void exchanges_stop(wb_edge_t *edge, gboolean waiting_only) {
    g_autoptr(GList) open = g_hash_table_get_keys(edge->open);
    for (GList *item = open; item != NULL; item = item->next) {
        wb_exchange_t *exchange = item->data;
        if (g_hash_table_contains(edge->open, exchange) && !exchange->answer_begun &&
            (!waiting_only || wb_list_is_linked(&exchange->waiting)))
            wb_exchange_give_up(exchange, WB_OUTCOME_STOPPING);
    }
}

void wb_exchanges_refuse_waiting(wb_edge_t *edge) {
    if (edge->waiting.len > 0)
        exchanges_stop(edge, TRUE);
}

void wb_exchanges_refuse_unanswered(wb_edge_t *edge) {
    exchanges_stop(edge, FALSE);
}
