/* Collects the input of a placement decision: the engines of a service and the demand for its
 * models. */
#include "control/controller_types.h"

#include <string.h>

/* Ratio of an engine's request limit to its models' demand above which it can serve them: nodes
 * share the limit in whole requests, and their demand is uneven. */
#define LIMIT_HEADROOM 2.0

/* Context of loading_replica_add. */
typedef struct wb_loading_context_t {
    wb_controller_t *controller;
    const wb_service_t *service;
    wb_placement_engine_t *candidate;
} wb_loading_context_t;

static void loading_replica_add(const char *model, const char *adapter, void *context) {
    const wb_loading_context_t *data = context;
    if (*adapter != '\0')
        return;
    wb_model_use_t *use =
        &wb_demand_stats_get(data->controller->stats, data->service->name, model, "", wb_clock_ms())
             ->use;
    use->loading_replicas++;
    use->loading_speed += data->candidate->speed;
    const wb_model_spec_t *spec = g_hash_table_lookup(data->service->models, model);
    if (spec != NULL && !g_hash_table_contains(data->candidate->state->models, model))
        data->candidate->pending_mb += spec->weights_mb;
}

static const wb_engine_orders_t *orders_of(const wb_controller_t *controller,
                                           const wb_engine_t *engine) {
    return g_hash_table_lookup(controller->orders, engine->state->id);
}

/* Counts an engine's models as replicas, or as unreliable ones if its zone is being evacuated or it
 * reported that it is draining. The latter are only looked up, not added to the demand stats: a
 * model without demand needs no replacement. */
static void replicas_add(wb_controller_t *controller, const char *service,
                         const wb_placement_engine_t *candidate, int64_t now_ms) {
    gboolean available = wb_engine_is_available(candidate->engine);
    if (!available && candidate->engine->draining_since_ms != 0 &&
        !candidate->engine->drain_reported) {
        return;
    }
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, candidate->state->models);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        wb_usage_t *usage = available
                                ? wb_demand_stats_get(controller->stats, service, name, "", now_ms)
                                : wb_demand_stats_find(controller->stats, service, name, "");
        if (available) {
            usage->use.replicas++;
            usage->use.speed += candidate->speed;
        } else if (usage != NULL) {
            usage->use.unreliable++;
        }
    }
}

/* Adds an engine to a snapshot. Returns its entry there, valid until the next one is added.
 * @param orders of the engine; NULL: none */
static wb_placement_engine_t *
snapshot_add_engine(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                    wb_engine_t *engine, const wb_engine_orders_t *orders, int64_t now_ms) {
    wb_placement_engine_t candidate = {.engine = engine, .state = engine->state};
    candidate.speed = controller->settings->engine_pace != 0
                          ? 1 / wb_engine_pace_intrinsic_factor(&engine->pace, now_ms)
                          : 1;
    candidate.available = wb_engine_is_available(engine) && now_ms >= engine->avoid_until_ms;
    candidate.overloaded = engine->limit.named || now_ms < engine->backoff_until_ms;
    if (orders != NULL) {
        candidate.state = wb_engine_orders_state(orders);
        candidate.busy_ms = wb_engine_orders_busy_ms(orders);
        candidate.available = candidate.available && !wb_engine_orders_is_unreachable(orders);
    }
    candidate.busy_ms +=
        (double)controller->events.blocked_ms(engine->state->id, controller->events.context);
    g_array_append_val(snapshot->engines, candidate);
    snapshot->power.slots = MAX(snapshot->power.slots, engine->state->slots);
    return &g_array_index(snapshot->engines, wb_placement_engine_t, snapshot->engines->len - 1);
}

/* Adds what an engine holds and what it has been ordered to load to the models' counts. */
static void engine_replicas_add(wb_controller_t *controller,
                                const wb_placement_snapshot_t *snapshot,
                                wb_placement_engine_t *candidate, const wb_engine_orders_t *orders,
                                int64_t now_ms) {
    if (orders != NULL && wb_engine_is_available(candidate->engine)) {
        wb_loading_context_t data = {controller, snapshot->service, candidate};
        wb_engine_orders_each(orders, loading_replica_add, &data);
    }
    replicas_add(controller, snapshot->service->name, candidate, now_ms);
}

/* Demand for an engine's models, in requests per second, as shared evenly among their replicas. */
static double demand_per_s(wb_controller_t *controller, const char *service,
                           const wb_placement_engine_t *candidate) {
    double per_s = 0;
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, candidate->state->models);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        const wb_usage_t *usage = wb_demand_stats_find(controller->stats, service, name, "");
        per_s += usage != NULL ? usage->use.rate_per_s / MAX(usage->use.replicas, 1) : 0;
    }
    return per_s;
}

/* Moves the models of an engine from the replicas to the unreliable ones if its request limit is
 * too low for their demand. */
static void limited_replicas_discount(wb_controller_t *controller,
                                      const wb_placement_snapshot_t *snapshot,
                                      const wb_placement_engine_t *candidate) {
    const char *service = snapshot->service->name;
    const wb_engine_limit_t *limit = &candidate->engine->limit;
    if (!limit->named || !wb_engine_is_available(candidate->engine) ||
        limit->per_s >= LIMIT_HEADROOM * demand_per_s(controller, service, candidate)) {
        return;
    }
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, candidate->state->models);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        wb_usage_t *usage = wb_demand_stats_find(controller->stats, service, name, "");
        if (usage != NULL && usage->use.replicas > 0) {
            usage->use.replicas--;
            usage->use.speed -= candidate->speed;
            usage->use.unreliable++;
        }
    }
}

/* Requests per replica, on average over all models. */
static double replica_rate_per_s(const wb_placement_snapshot_t *snapshot) {
    double rate_per_s = 0;
    unsigned replicas = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, snapshot->uses);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_model_use_t *use = value;
        rate_per_s += use->rate_per_s;
        replicas += use->replicas;
    }
    return rate_per_s / MAX(replicas, 1);
}

static gboolean engine_is_loading(const wb_engine_t *engine, const char *model, void *context) {
    const wb_controller_t *controller = context;
    const wb_engine_orders_t *orders = orders_of(controller, engine);
    return orders != NULL && wb_engine_orders_has(orders, model, "");
}

gboolean wb_controller_is_large(const wb_controller_t *controller) {
    return g_hash_table_size(wb_fleet_all(controller->fleet)) > WB_PLACEMENT_MAX_CANDIDATES;
}

static void snapshot_begin(wb_controller_t *controller, const wb_service_t *service,
                           wb_placement_snapshot_t *snapshot) {
    *snapshot = (wb_placement_snapshot_t){
        .service = service,
        .engines = g_array_new(FALSE, FALSE, sizeof(wb_placement_engine_t)),
        .uses = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL),
        .store_loads_allowed = wb_controller_store_room(controller, service->name),
        .power = {controller->settings->prefill_tokens_per_ms, 0},
        .is_loading = engine_is_loading,
        .context = controller};
}

/* Adds the demand for the service's models, once replicas are counted. */
static void uses_add(wb_controller_t *controller, wb_placement_snapshot_t *snapshot) {
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, snapshot->service->models);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        wb_usage_t *usage =
            wb_demand_stats_find(controller->stats, snapshot->service->name, name, "");
        if (usage != NULL)
            g_hash_table_insert(snapshot->uses, name, &usage->use);
    }
    snapshot->replica_rate_per_s = replica_rate_per_s(snapshot);
}

void wb_controller_snapshot(wb_controller_t *controller, const wb_service_t *service,
                            wb_placement_snapshot_t *snapshot) {
    int64_t now_ms = wb_clock_ms();
    snapshot_begin(controller, service, snapshot);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, wb_fleet_all(controller->fleet));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_engine_t *engine = value;
        if (strcmp(engine->state->service, service->name) == 0) {
            const wb_engine_orders_t *orders = orders_of(controller, engine);
            wb_placement_engine_t *candidate =
                snapshot_add_engine(controller, snapshot, engine, orders, now_ms);
            engine_replicas_add(controller, snapshot, candidate, orders, now_ms);
        }
    }
    for (guint i = 0; i < snapshot->engines->len; i++) {
        limited_replicas_discount(controller, snapshot,
                                  &g_array_index(snapshot->engines, wb_placement_engine_t, i));
    }
    if (snapshot->engines->len > WB_PLACEMENT_MAX_CANDIDATES) {
        snapshot->first = (guint)g_random_int_range(0, (gint32)snapshot->engines->len);
    }
    uses_add(controller, snapshot);
}

void wb_controller_snapshot_one(wb_controller_t *controller, const wb_service_t *service,
                                wb_engine_t *engine, wb_placement_snapshot_t *snapshot) {
    snapshot_begin(controller, service, snapshot);
    snapshot_add_engine(controller, snapshot, engine, orders_of(controller, engine), wb_clock_ms());
    uses_add(controller, snapshot);
}

void wb_controller_snapshot_clear(wb_placement_snapshot_t *snapshot) {
    g_array_unref(snapshot->engines);
    g_hash_table_unref(snapshot->uses);
}
