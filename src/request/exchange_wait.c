/* Waiting for an engine or a model: how long it has a use, and when it ends. */
#include "request/exchange_internal.h"

#include "control/placement.h"

#include <string.h>

#define RETRY_AFTER_MS 300
/* A node that has just started knows no configuration yet: it reads one 0.5 s after a start of the
 * whole system (docs/PLATFORM.md), and callers that come back before are refused again. */
#define NO_CATALOG_MS 700
#define COME_BACK_MARGIN_MS 50
/* An expected load may be so much late before its waiters are refused; then a prompt is read. */
#define LOAD_LATE_MS 700
#define SERVE_MS 150
/* Who decides on loads answers a new need within some ms, at 1,000 engines within some tens; the
 * news pass one link. Who has heard nothing after so long won't. An adapter is there by then, too,
 * unless its engine is loading a model. */
#define DECIDED_MS 600
/* Who waits for an engine that opens is sent at the next tick or, on a slow machine, the one after.
 */
#define OPENS_MARGIN_MS 100
/* A caller of a stream leaves after the longest of a fixed time, some targets, and some gaps. */
#define STREAM_PATIENCE_MS 2000
#define STREAM_PATIENCE_TARGETS 4
#define STREAM_PATIENCE_GAPS 8

void wb_exchange_stop_waiting(wb_exchange_t *exchange) {
    if (!wb_list_is_linked(&exchange->waiting)) {
        return;
    }
    wb_list_remove(&exchange->edge->waiting, &exchange->waiting);
    int64_t waited_ms = wb_clock_ms() - exchange->waiting_since_ms;
    exchange->waited_ms += waited_ms;
    wb_histogram_add(&exchange->edge->metrics.wait_ms, waited_ms);
    if (exchange->wants_load) {
        wb_demand_set_waiting(exchange->edge->demand, exchange, FALSE);
    }
}

static char *expected_key(const char *service, const char *model) {
    return g_strjoin("/", service, model, NULL);
}

static int64_t *expected_find(const wb_exchange_t *exchange) {
    g_autofree char *key = expected_key(exchange->service->name, exchange->model);
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

/* What loading the model takes at the engine that has it nearest at hand. */
static int64_t quickest_load_ms(const wb_exchange_t *exchange, const wb_model_spec_t *spec) {
    const GPtrArray *engines = wb_fleet_service(exchange->edge->fleet, exchange->service->name);
    double quickest_ms = (double)spec->store_load_ms;
    for (guint i = 0; engines != NULL && i < engines->len; i++) {
        const wb_engine_t *engine = g_ptr_array_index(engines, i);
        quickest_ms = MIN(quickest_ms, wb_placement_load_ms(spec, engine->state, NULL));
    }
    return (int64_t)quickest_ms;
}

/* Returns ms until what the request lacks should be there: as the controller told, or, while there
 * is none, once there is one and it is loaded; -1 when nothing is known. */
static int64_t model_ready_in_ms(const wb_exchange_t *exchange) {
    const wb_edge_t *edge = exchange->edge;
    int64_t now_ms = wb_clock_ms();
    if (exchange->model == NULL || exchange->service == NULL) {
        return -1;
    }
    /* A load that is expected is another replica's, and an adapter comes to where the model is. */
    gboolean held =
        wb_fleet_holds(edge->fleet, exchange->service->name, exchange->model, "", now_ms);
    const int64_t *ready_ms = held ? NULL : expected_find(exchange);
    if (ready_ms != NULL && *ready_ms + LOAD_LATE_MS >= now_ms) {
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
    return view.available_in_ms + quickest_load_ms(exchange, spec);
}

/* Time until an engine opens that could serve the request; -1: none is known to. */
static int64_t opens_in_ms(const wb_exchange_t *exchange) {
    int64_t now_ms = wb_clock_ms();
    if (exchange->service == NULL) {
        return -1;
    }
    int64_t opens_ms = wb_balancer_next_available(exchange->edge, exchange, now_ms).at_ms;
    return opens_ms != G_MAXINT64 ? MAX(opens_ms - now_ms, 0) : -1;
}

/* When coming back has a use: once the model should be there, or an engine opens, else soon. */
int64_t wb_exchange_retry_after_ms(const wb_exchange_t *exchange) {
    if (exchange->route == NULL && exchange->edge->catalog == NULL) {
        return NO_CATALOG_MS;
    }
    int64_t ready_in_ms = model_ready_in_ms(exchange);
    int64_t opens_ms = opens_in_ms(exchange);
    if (opens_ms >= 0 && (ready_in_ms <= 0 || opens_ms < ready_in_ms)) {
        return MAX(opens_ms + COME_BACK_MARGIN_MS, RETRY_AFTER_MS);
    }
    if (ready_in_ms > 0) {
        return ready_in_ms + COME_BACK_MARGIN_MS;
    }
    wb_controller_view_t view = controller_view(exchange->edge);
    return view.reach == WB_CONTROLLER_UNREACHABLE ? view.available_in_ms : RETRY_AFTER_MS;
}

int64_t wb_exchange_client_timeout_ms(const wb_exchange_t *exchange) {
    const wb_route_t *route = exchange->route;
    int64_t time_ms = exchange->answer_due_ms - exchange->began_ms;
    if (route->kind != WB_ROUTE_STREAM || route->target_latency_ms == 0)
        return time_ms;
    int64_t patience_ms =
        MAX(STREAM_PATIENCE_MS, MAX(STREAM_PATIENCE_TARGETS * route->target_latency_ms,
                                    STREAM_PATIENCE_GAPS * route->target_gap_ms));
    return MIN(time_ms, patience_ms);
}

/* Steady time until which it has a use to wait for an engine that takes none of this node's
 * requests for the moment; 0: none could serve it, or not in time. */
static int64_t opening_wait_until_ms(const wb_exchange_t *exchange, const wb_availability_t *opening) {
    int64_t serve_ms = exchange->model != NULL || opening->is_cold ? SERVE_MS : 0;
    int64_t useful_until_ms = exchange->began_ms + wb_exchange_client_timeout_ms(exchange) - serve_ms;
    return opening->at_ms < useful_until_ms ? opening->at_ms + OPENS_MARGIN_MS : 0;
}

/* Nothing is known of when the model, or its adapter, is there. It has a use to wait as long as the
 * answer can be in time, and until a load would have ended that was decided on at once. */
static int64_t unknown_wait_until_ms(const wb_exchange_t *exchange) {
    const wb_model_spec_t *spec = g_hash_table_lookup(exchange->service->models, exchange->model);
    int64_t load_ms = spec != NULL ? quickest_load_ms(exchange, spec) : 0;
    int64_t in_time_ms = exchange->route->target_latency_ms - SERVE_MS;
    int64_t useful_ms = MAX(wb_exchange_client_timeout_ms(exchange) - SERVE_MS, 0);
    return exchange->began_ms + MIN(MAX(in_time_ms, DECIDED_MS + load_ms), useful_ms);
}

/* Steady time until which it has a use to wait for another replica of a model that is held only by
 * engines which don't open in time; in the past when it has none. */
static int64_t replica_wait_until_ms(const wb_exchange_t *exchange) {
    const wb_model_spec_t *spec = g_hash_table_lookup(exchange->service->models, exchange->model);
    int64_t load_ms = spec != NULL ? quickest_load_ms(exchange, spec) : 0;
    int64_t ready_ms = exchange->began_ms + WB_PLACEMENT_STUCK_MS + DECIDED_MS + load_ms;
    int64_t useful_until_ms = exchange->began_ms + wb_exchange_client_timeout_ms(exchange) - SERVE_MS;
    return ready_ms < useful_until_ms ? unknown_wait_until_ms(exchange) : 0;
}

/* Steady time until which it has a use to wait for a load; in the past when it has none. */
static int64_t load_wait_until_ms(const wb_exchange_t *exchange, const wb_availability_t *opening) {
    if (exchange->model == NULL) {
        return 0;
    }
    int64_t ready_in_ms = model_ready_in_ms(exchange);
    if (ready_in_ms < 0) {
        gboolean in_vain = controller_view(exchange->edge).reach == WB_CONTROLLER_UNREACHABLE;
        gboolean held = opening->at_ms != G_MAXINT64;
        if (in_vain) {
            return 0;
        }
        return held ? replica_wait_until_ms(exchange) : unknown_wait_until_ms(exchange);
    }
    int64_t ready_ms = wb_clock_ms() + ready_in_ms;
    int64_t useful_until_ms = exchange->began_ms + wb_exchange_client_timeout_ms(exchange) - SERVE_MS;
    if (ready_ms > useful_until_ms) {
        return 0;
    }
    /* A load that is late is no reason to leave earlier than with no load in sight. */
    return MIN(MAX(ready_ms + LOAD_LATE_MS, unknown_wait_until_ms(exchange)), useful_until_ms);
}

/* For what a request waits, and until when that has a use: in the past when it has none. */
typedef struct wb_wait_t {
    gboolean awaits_opening;
    gboolean wants_load;
    int64_t until_ms;
} wb_wait_t;

static wb_wait_t wait_decide(const wb_exchange_t *exchange) {
    wb_availability_t opening = wb_balancer_next_available(exchange->edge, exchange, wb_clock_ms());
    int64_t opening_until_ms = opening_wait_until_ms(exchange, &opening);
    gboolean awaits_opening = opening_until_ms != 0;
    if (awaits_opening && opening.is_cold) {
        return (wb_wait_t){TRUE, FALSE, opening_until_ms};
    }
    int64_t load_until_ms = load_wait_until_ms(exchange, &opening);
    return (wb_wait_t){awaits_opening, TRUE, MAX(opening_until_ms, load_until_ms)};
}

/* What it waited for has changed: an engine that it awaited is no longer there, say. Who waits for
 * a load alone is told by news of loads. */
static void wait_check(wb_exchange_t *exchange) {
    if (exchange->wants_load && !exchange->awaits_opening) {
        return;
    }
    wb_wait_t wait = wait_decide(exchange);
    exchange->awaits_opening = wait.awaits_opening;
    if (exchange->wait_until_ms != wait.until_ms) {
        exchange->wait_until_ms = wait.until_ms;
        wb_exchange_arm_timeout(exchange);
    }
    if (exchange->wants_load || !wait.wants_load) {
        return;
    }
    exchange->wants_load = TRUE;
    wb_demand_set_waiting(exchange->edge->demand, exchange, TRUE);
    if (exchange->model != NULL && exchange->edge->on_pending_demand != NULL) {
        exchange->edge->on_pending_demand(exchange->edge->node_context);
    }
}

/* Waits for an engine that holds the model, or for any engine, as long as that has a use. */
void wb_exchange_wait(wb_exchange_t *exchange) {
    wb_edge_t *edge = exchange->edge;
    if (wb_list_is_linked(&exchange->waiting)) {
        wait_check(exchange);
        return;
    }
    wb_wait_t wait = wait_decide(exchange);
    exchange->awaits_opening = wait.awaits_opening;
    exchange->wants_load = wait.wants_load;
    exchange->wait_until_ms = wait.until_ms;
    exchange->waiting_since_ms = wb_clock_ms();
    wb_list_add_tail(&edge->waiting, &exchange->waiting);
    edge->metrics.waits++;
    if (exchange->wants_load) {
        wb_demand_set_waiting(edge->demand, exchange, TRUE);
    }
    wb_event(
        "request-waits",
        ",\"id\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\",\"service\":\"%s\",\"for_ms\":%lld",
        wb_event_escape(exchange->id), wb_event_escape(exchange->model),
        wb_event_escape(exchange->adapter), exchange->service->name,
        (long long)MAX(exchange->wait_until_ms - exchange->waiting_since_ms, 0));
    wb_exchange_arm_timeout(exchange);
    if (exchange->model != NULL && exchange->wants_load && edge->on_pending_demand != NULL)
        edge->on_pending_demand(edge->node_context);
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
    exchange->wants_load = FALSE;
    exchange->awaits_opening = FALSE;
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

/* Calls a function for each request that waits. What ends one request may end others or begin new
 * ones, so the list is copied. */
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

/* What is known of its model has changed: who waits in vain is refused by the timer, at once. */
static void wait_reconsider(wb_exchange_t *exchange) {
    exchange->wait_until_ms = wait_decide(exchange).until_ms;
    wb_exchange_arm_timeout(exchange);
}

void wb_exchanges_expect_model(wb_edge_t *edge, const char *service, const char *model,
                         unsigned ready_in_ms) {
    int64_t ready_ms = wb_clock_ms() + ready_in_ms;
    g_hash_table_replace(edge->expected, expected_key(service, model),
                         g_memdup2(&ready_ms, sizeof(ready_ms)));
    WB_LIST_EACH(item, &edge->waiting) {
        wb_exchange_t *exchange = WB_LIST_OF(item, wb_exchange_t, waiting);
        if (exchange->model != NULL && strcmp(exchange->model, model) == 0 &&
            strcmp(exchange->service->name, service) == 0) {
            wait_reconsider(exchange);
        }
    }
}

void wb_exchanges_update_waits(wb_edge_t *edge) {
    WB_LIST_EACH(item, &edge->waiting) {
        wait_reconsider(WB_LIST_OF(item, wb_exchange_t, waiting));
    }
}

/* Refuses a request whose key nobody holds any more. What has run, or may have, is left to its end.
 */
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

void wb_exchanges_model_loaded(wb_edge_t *edge, const char *service, const char *model) {
    g_autofree char *key = expected_key(service, model);
    g_hash_table_remove(edge->expected, key);
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
