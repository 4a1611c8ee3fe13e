/* The placement controller: decides which engine loads and unloads what. */
#include "control/controller_types.h"

#include "wickbridge/event_log.h"

#include <string.h>

#define TICK_MS 50
#define SCALE_OUT_INTERVAL_MS 300
/* Minimum interval between decisions triggered by messages, as a multiple of a decision's time. */
#define DECISION_INTERVAL_FACTOR 8
/* A decision starts no further placement after this: lease renewals and clients' streams are
 * handled by the same thread. */
#define DECISION_MAX_US 20000
/* Maximum loads from the weight store that an engine can start within a lease's duration (1.6 s):
 * it loads one model at a time, and the fastest load takes 1.3 s. */
#define UNREPORTED_LOADS_PER_ENGINE 2

const wb_service_t *wb_controller_service(const char *name, void *context) {
    const wb_controller_t *controller = context;
    return controller->catalog != NULL ? wb_catalog_service(controller->catalog, name) : NULL;
}

wb_load_window_t *wb_controller_window(wb_controller_t *controller, const char *service) {
    wb_load_window_t *window = g_hash_table_lookup(controller->windows, service);
    if (window == NULL) {
        window = wb_load_window_create((int64_t)(controller->settings->load_window_s * 1000),
                                       controller->settings->lease_duration_ms);
        g_hash_table_insert(controller->windows, g_strdup(service), window);
    }
    const wb_service_t *spec = wb_controller_service(service, controller);
    wb_load_window_set_rate(window, spec != NULL ? spec->loads_per_s : 0);
    return window;
}

void wb_controller_send_placement(wb_controller_t *controller, const wb_engine_t *engine,
                                  const char *model, const char *adapter, gboolean held,
                                  unsigned ready_in_ms) {
    wb_wire_placement_entry entry = {engine->state->id, (char *)model, (char *)adapter, held,
                                     ready_in_ms};
    wb_wire_message update = {.kind = WB_WIRE_PLACEMENT};
    update.wb_wire_message_u.placement.token = controller->token;
    update.wb_wire_message_u.placement.entries.entries_len = 1;
    update.wb_wire_message_u.placement.entries.entries_val = &entry;
    controller->events.on_update(&update, controller->events.context);
}

static gboolean owner_may_act(void *context) {
    wb_controller_t *controller = context;
    return controller->token != 0 && controller->events.may_act(controller->events.context);
}

static int64_t owner_authorize_order(const char *engine, void *context) {
    wb_controller_t *controller = context;
    return controller->events.authorize_order(engine, controller->events.context);
}

static gboolean owner_store_allows_load(const char *service, void *context) {
    return wb_load_window_allows(wb_controller_window(context, service), wb_clock_ms());
}

static wb_load_concurrency_t *concurrency_of(wb_controller_t *controller, const char *service) {
    wb_load_concurrency_t *concurrency =
        g_hash_table_lookup(controller->concurrency_limits, service);
    if (concurrency == NULL) {
        concurrency = g_new0(wb_load_concurrency_t, 1);
        g_hash_table_insert(controller->concurrency_limits, g_strdup(service), concurrency);
    }
    return concurrency;
}

wb_store_fairness_t *wb_controller_fairness(wb_controller_t *controller, const char *service) {
    wb_store_fairness_t *fairness = g_hash_table_lookup(controller->fairness, service);
    if (fairness == NULL) {
        fairness = g_new0(wb_store_fairness_t, 1);
        g_hash_table_insert(controller->fairness, g_strdup(service), fairness);
    }
    return fairness;
}

unsigned wb_controller_store_loads(const wb_controller_t *controller, const char *service) {
    unsigned loads = 0;
    GHashTableIter iter;
    gpointer id;
    gpointer orders;
    g_hash_table_iter_init(&iter, controller->orders);
    while (g_hash_table_iter_next(&iter, &id, &orders)) {
        const wb_engine_t *engine = wb_fleet_find(controller->fleet, id);
        if (engine != NULL && strcmp(engine->state->service, service) == 0)
            loads += wb_engine_orders_store_loads(orders);
    }
    return loads;
}

/* Time of a load without other loads; the models of a service differ little in it. */
static int64_t nominal_load_ms(const wb_controller_t *controller, const char *service) {
    const wb_service_t *spec = wb_controller_service(service, (void *)controller);
    return spec != NULL ? spec->store_load_ms : 0;
}

unsigned wb_controller_store_limit(wb_controller_t *controller, const char *service) {
    return wb_load_concurrency_limit(concurrency_of(controller, service),
                                     nominal_load_ms(controller, service));
}

unsigned wb_controller_store_room(wb_controller_t *controller, const char *service) {
    if (!owner_store_allows_load(service, controller))
        return 0;
    unsigned limit = wb_controller_store_limit(controller, service);
    unsigned loads = wb_controller_store_loads(controller, service);
    return limit > loads ? limit - loads : 0;
}

static unsigned owner_store_load_started(const char *service, void *context) {
    wb_load_window_record(wb_controller_window(context, service), wb_clock_ms());
    return wb_controller_store_loads(context, service);
}

static void owner_store_load_ended(const char *service, unsigned concurrent, int64_t took_ms,
                                   int64_t nominal_ms, void *context) {
    wb_load_concurrency_t *concurrency = concurrency_of(context, service);
    wb_load_concurrency_record(concurrency, concurrent, took_ms, nominal_ms);
    wb_event("store-load-ended",
             ",\"service\":\"%s\",\"at_once\":%u,\"ms\":%lld,\"alone_ms\":%lld,\"limit\":%u",
             service, concurrent, (long long)took_ms, (long long)nominal_ms,
             wb_load_concurrency_limit(concurrency, nominal_ms));
}

static void owner_load_crashed(const wb_engine_t *engine, const char *model, void *context) {
    wb_controller_t *controller = context;
    const char *service = engine->state->service;
    int64_t now_ms = wb_clock_ms();
    if (engine->draining_since_ms != 0) {
        return; /* it was draining, so its end isn't a crash */
    }
    guint engines = wb_load_faults_record_crash(controller->faults, service, model, now_ms);
    wb_event("load-crashed",
             ",\"service\":\"%s\",\"model\":\"%s\",\"engine\":\"%s\",\"in_a_row\":%u,"
             "\"paused_ms\":%lld",
             service, model, engine->state->id, engines,
             (long long)wb_load_faults_backoff_ms(controller->faults, service, model, now_ms));
}

static uint64_t owner_token(void *context) {
    return ((wb_controller_t *)context)->token;
}

static void owner_engine_state_changed(wb_engine_t *engine, void *context) {
    const wb_controller_t *controller = context;
    controller->events.on_engine_state(engine, controller->events.context);
}

static void owner_call_failed(wb_engine_t *engine, void *context) {
    const wb_controller_t *controller = context;
    controller->events.on_call_failed(engine, controller->events.context);
}

static gboolean owner_may_be_cut_off(const wb_engine_t *engine, void *context) {
    const wb_controller_t *controller = context;
    return controller->events.may_be_cut_off(engine, controller->events.context);
}

static void owner_report_holding(wb_engine_t *engine, const char *model, const char *adapter,
                                 gboolean held, void *context) {
    wb_controller_t *controller = context;
    if (held && *adapter == '\0')
        wb_load_faults_record_success(controller->faults, engine->state->service, model);
    if (held)
        wb_demand_stats_mark_served(controller->stats, engine->state->service, model, adapter);
    wb_controller_send_placement(controller, engine, model, adapter, held, 0);
}

static void owner_report_estimate(const wb_engine_t *engine, const char *model,
                                  unsigned ready_in_ms, void *context) {
    wb_controller_send_placement(context, engine, model, "", FALSE, MAX(ready_in_ms, 1));
}

wb_engine_orders_t *wb_controller_orders(wb_controller_t *controller, wb_engine_t *engine) {
    wb_engine_orders_t *orders = g_hash_table_lookup(controller->orders, engine->state->id);
    if (orders != NULL)
        return orders;
    wb_engine_orders_owner_t owner = {owner_may_act,
                                      owner_authorize_order,
                                      wb_controller_pick_victims,
                                      wb_controller_pick_adapter_victim,
                                      wb_controller_service,
                                      owner_store_allows_load,
                                      owner_store_load_started,
                                      owner_store_load_ended,
                                      owner_load_crashed,
                                      owner_report_holding,
                                      owner_report_estimate,
                                      owner_token,
                                      owner_engine_state_changed,
                                      owner_call_failed,
                                      owner_may_be_cut_off,
                                      controller};
    orders = wb_engine_orders_create(controller->loop, controller->settings, controller->dialect,
                                     engine, controller->metrics, &owner);
    g_hash_table_insert(controller->orders, g_strdup(engine->state->id), orders);
    return orders;
}

static void service_decide(wb_controller_t *controller, const wb_service_t *service,
                           gboolean scale_out, int64_t now_ms) {
    wb_placement_snapshot_t snapshot;
    wb_controller_snapshot(controller, service, &snapshot);
    wb_controller_place_missing(controller, &snapshot, now_ms);
    wb_controller_place_versions(controller, &snapshot, now_ms);
    wb_controller_place_adapters(controller, &snapshot);
    if (scale_out)
        wb_controller_scale_out(controller, &snapshot);
    wb_controller_snapshot_clear(&snapshot);
}

void wb_controller_on_demand(wb_controller_t *controller, const wb_wire_demand *demand) {
    /* Limits the share of time spent on decisions in a large fleet; otherwise the tick decides. */
    if (wb_demand_stats_update(controller->stats, demand, wb_clock_ms()) &&
        wb_clock_us() >= controller->next_decision_us)
        wb_controller_decide(controller);
}

gboolean wb_controller_deadline_passed(const wb_controller_t *controller) {
    return wb_clock_us() > controller->deadline_us;
}

void wb_controller_decide(wb_controller_t *controller) {
    if (controller->catalog == NULL || !owner_may_act(controller))
        return;
    int64_t started_us = wb_clock_us();
    int64_t now_ms = wb_clock_ms();
    controller->deadline_us = started_us + DECISION_MAX_US;
    wb_demand_stats_aggregate(controller->stats, now_ms);
    wb_demand_stats_expire(controller->stats, now_ms);
    gboolean scale_out = now_ms - controller->scale_out_ms >= SCALE_OUT_INTERVAL_MS;
    if (scale_out)
        controller->scale_out_ms = now_ms;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, controller->catalog->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_service_t *service = value;
        if (g_hash_table_size(service->models) > 0)
            service_decide(controller, service, scale_out, now_ms);
    }
    int64_t finished_us = wb_clock_us();
    controller->next_decision_us =
        finished_us + DECISION_INTERVAL_FACTOR * (finished_us - started_us);
}

static void controller_tick(void *context) {
    wb_controller_t *controller = context;
    if (controller->token == 0)
        return;
    int64_t now_ms = wb_clock_ms();
    if (wb_clock_us() < controller->next_decision_us)
        return;
    if (wb_demand_stats_has_waiting(controller->stats) ||
        wb_version_demand_any(controller->version_demand) ||
        now_ms - controller->scale_out_ms >= SCALE_OUT_INTERVAL_MS)
        wb_controller_decide(controller);
}

wb_controller_t *wb_controller_create(wb_loop_t *loop, const wb_edge_settings_t *settings,
                                      const wb_dialect_t *dialect, wb_fleet_t *fleet,
                                      wb_edge_metrics_t *metrics,
                                      const wb_controller_events_t *events) {
    wb_controller_t *controller = g_new0(wb_controller_t, 1);
    controller->loop = loop;
    controller->settings = settings;
    controller->dialect = dialect;
    controller->fleet = fleet;
    controller->metrics = metrics;
    controller->events = *events;
    controller->stats = wb_demand_stats_create();
    controller->version_demand = wb_version_demand_create();
    controller->orders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                               (GDestroyNotify)wb_engine_orders_free);
    controller->faults = wb_load_faults_create();
    controller->fairness = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    controller->concurrency_limits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    controller->windows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)wb_load_window_free);
    wb_loop_every(loop, TICK_MS, controller_tick, controller);
    return controller;
}

void wb_controller_set_lease(wb_controller_t *controller, uint64_t token,
                             const wb_lease_predecessor_t *predecessor) {
    if (controller->token == token)
        return;
    controller->token = token;
    /* Cached engine states are invalid once another node may have sent orders. */
    g_hash_table_remove_all(controller->orders);
    if (token == 0 || predecessor->seen_ms == 0 || controller->catalog == NULL)
        return;
    unsigned unreported_loads =
        predecessor->max_ordered_engines > G_MAXUINT / UNREPORTED_LOADS_PER_ENGINE
            ? G_MAXUINT
            : UNREPORTED_LOADS_PER_ENGINE * predecessor->max_ordered_engines;
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, controller->catalog->services);
    while (g_hash_table_iter_next(&iter, &name, NULL))
        wb_load_window_add_predecessor(
            wb_controller_window(controller, name), predecessor->loads, unreported_loads,
            predecessor->seen_ms + controller->settings->lease_duration_ms);
}

unsigned wb_controller_recent_loads(const wb_controller_t *controller) {
    unsigned max_loads = 0;
    GHashTableIter iter;
    gpointer window;
    g_hash_table_iter_init(&iter, controller->windows);
    while (g_hash_table_iter_next(&iter, NULL, &window))
        max_loads = MAX(max_loads, wb_load_window_used(window, wb_clock_ms()));
    return max_loads;
}

void wb_controller_set_catalog(wb_controller_t *controller, wb_catalog_t *catalog) {
    wb_catalog_unref(controller->catalog);
    controller->catalog = wb_catalog_ref(catalog);
}

void wb_controller_engine_changed(wb_controller_t *controller, const char *engine_id) {
    wb_engine_orders_t *orders = g_hash_table_lookup(controller->orders, engine_id);
    if (orders == NULL)
        return;
    if (wb_fleet_find(controller->fleet, engine_id) != NULL)
        wb_engine_orders_on_engine_announced(orders);
    else
        g_hash_table_remove(controller->orders, engine_id);
}

void wb_controller_engine_restarted(wb_controller_t *controller, const char *engine_id) {
    wb_engine_orders_t *orders = g_hash_table_lookup(controller->orders, engine_id);
    if (orders != NULL) {
        wb_engine_orders_on_engine_ended(orders);
    }
}

const struct wb_model_use_t *wb_controller_model_use(const wb_controller_t *controller,
                                                     const char *service, const char *model) {
    const wb_usage_t *usage = wb_demand_stats_find(controller->stats, service, model, "");
    return usage != NULL ? &usage->use : NULL;
}
