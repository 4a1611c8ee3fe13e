/* Loads models and adds replicas of busy ones. */
#include "control/controller_types.h"

#include "wickbridge/event_log.h"

#define SCALE_OUT_MAX_LOADS 3
/* Models considered for one more replica in a decision, those with the largest gain first. Bounds
 * the time of a decision, as each of them is evaluated against all engines: where engines differ in
 * speed, nearly all models would gain, and evaluating all took half of a core at 1,000 engines. */
#define SCALE_OUT_MAX_CANDIDATES 8
/* Estimated time that evictions delay a load. */
#define EVICTION_TIME_MS 250

gboolean wb_controller_place_model(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                                   const wb_model_spec_t *spec, double limit_ms, const char *why) {
    double cost_ms;
    double eviction_ms;
    wb_placement_engine_t *target = wb_placement_choose(snapshot, spec, &cost_ms, &eviction_ms);
    if (target == NULL ||
        eviction_ms + wb_placement_load_cost_ms(spec, target->engine->state) > limit_ms)
        return FALSE;
    wb_usage_t *usage = wb_demand_stats_get(controller->stats, snapshot->service->name, spec->name,
                                            "", wb_clock_ms());
    wb_event("model-placed",
             ",\"service\":\"%s\",\"model\":\"%s\",\"engine\":\"%s\",\"why\":\"%s\","
             "\"cost_ms\":%.0f,\"victims_ms\":%.0f,\"waiting\":%u,\"replicas\":%u,"
             "\"rate\":%.2f,\"time_left_ms\":%u",
             snapshot->service->name, spec->name, target->engine->state->id, why, cost_ms,
             eviction_ms, usage->use.waiting, usage->use.replicas, usage->use.rate_per_s,
             usage->time_left_ms);
    wb_engine_orders_add(wb_controller_orders(controller, target->engine), spec->name, "");
    gboolean from_store;
    double load_ms = wb_placement_load_ms(spec, target->engine->state, &from_store);
    if (from_store) {
        snapshot->store_loads_allowed -= snapshot->store_loads_allowed > 0;
        wb_store_fairness_record_load(wb_controller_fairness(controller, snapshot->service->name),
                                      usage->use.replicas == 0);
    }
    double ready_ms = target->busy_ms + load_ms + (eviction_ms > 0 ? EVICTION_TIME_MS : 0);
    wb_controller_send_placement(controller, target->engine, spec->name, "", FALSE,
                                 (unsigned)MAX(ready_ms, 1));
    target->busy_ms += load_ms;
    target->pending_mb += spec->weights_mb;
    usage->use.loading_replicas++;
    usage->use.loading_speed += target->speed;
    return TRUE;
}

/* A model that may get one more replica, and the gain if that is on the fastest engine. */
typedef struct wb_scale_out_t {
    const wb_model_spec_t *spec;
    const wb_model_use_t *use;
    double gain_ms;
} wb_scale_out_t;

static gint larger_gain_first(gconstpointer left, gconstpointer right) {
    const wb_scale_out_t *a = left;
    const wb_scale_out_t *b = right;
    return a->gain_ms > b->gain_ms ? -1 : a->gain_ms < b->gain_ms;
}

/* Returns TRUE when a model's load calls for one more engine, or for a faster one. */
static gboolean needs_engine(const wb_model_use_t *use, const wb_engine_capacity_t *power,
                             double fastest) {
    if (use->replicas == 0) {
        return FALSE;
    }
    return wb_placement_total_speed(use) < wb_placement_wanted_replicas(use, power) ||
           wb_placement_engines_are_slow(use, fastest);
}

static GArray *scale_outs_collect(const wb_controller_t *controller,
                                  const wb_placement_snapshot_t *snapshot) {
    GArray *scale_outs = g_array_new(FALSE, FALSE, sizeof(wb_scale_out_t));
    const char *service = snapshot->service->name;
    double fastest = wb_placement_max_speed(snapshot);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, snapshot->service->models);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_model_spec_t *spec = value;
        const wb_usage_t *usage = wb_demand_stats_find(controller->stats, service, spec->name, "");
        if (usage == NULL || !needs_engine(&usage->use, &snapshot->power, fastest) ||
            wb_load_faults_backoff_ms(controller->faults, service, spec->name, wb_clock_ms()) > 0) {
            continue;
        }
        wb_scale_out_t scale_out = {spec, &usage->use,
                                    wb_placement_gain_ms(&usage->use, &snapshot->power, fastest)};
        g_array_append_val(scale_outs, scale_out);
    }
    g_array_sort(scale_outs, larger_gain_first);
    return scale_outs;
}

/* Loads one more replica of a model if that saves its requests more than it costs others.
 * @param found out: TRUE when there was an engine for it, even if the load was too expensive */
static gboolean scale_out_place(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                                const wb_scale_out_t *scale_out, gboolean *found) {
    double cost_ms;
    double eviction_ms;
    const wb_placement_engine_t *target =
        wb_placement_choose(snapshot, scale_out->spec, &cost_ms, &eviction_ms);
    *found = target != NULL;
    if (target == NULL) {
        if (snapshot->store_loads_allowed == 0 &&
            scale_out->gain_ms > wb_placement_store_load_cost_ms(scale_out->spec)) {
            wb_store_fairness_request_replica(
                wb_controller_fairness(controller, snapshot->service->name), scale_out->gain_ms,
                wb_clock_ms());
        }
        return FALSE;
    }
    double gain_ms = wb_placement_gain_ms(scale_out->use, &snapshot->power, target->speed);
    return wb_controller_place_model(controller, snapshot, scale_out->spec, gain_ms, "load");
}

void wb_controller_scale_out(wb_controller_t *controller, wb_placement_snapshot_t *snapshot) {
    g_autoptr(GArray) scale_outs = scale_outs_collect(controller, snapshot);
    unsigned placed = 0;
    unsigned evaluated = 0;
    for (guint i = 0; i < scale_outs->len && placed < SCALE_OUT_MAX_LOADS &&
                      evaluated < SCALE_OUT_MAX_CANDIDATES;
         i++) {
        if (i > 0 && wb_controller_deadline_passed(controller))
            break;
        gboolean found;
        /* Of the replicas that wait only for the weight store, the one with the largest gain, which
         * is evaluated first, becomes the pending one. */
        placed += scale_out_place(controller, snapshot,
                                  &g_array_index(scale_outs, wb_scale_out_t, i), &found);
        evaluated += found;
    }
}

/* The cost of evicting a model depends on the number of its replicas, so all are counted again. In
 * a large fleet, where a model has tens of replicas, the last count is accurate enough. */
GPtrArray *wb_controller_pick_victims(const wb_engine_state_t *state, const char *model,
                                      void *context) {
    wb_controller_t *controller = context;
    wb_engine_t *engine = wb_fleet_find(controller->fleet, state->id);
    const wb_service_t *service =
        engine != NULL ? wb_controller_service(engine->state->service, controller) : NULL;
    const wb_model_spec_t *spec =
        service != NULL ? g_hash_table_lookup(service->models, model) : NULL;
    if (spec == NULL)
        return NULL;
    wb_placement_snapshot_t snapshot;
    if (wb_controller_is_large(controller)) {
        wb_controller_snapshot_one(controller, service, engine, &snapshot);
    } else {
        wb_demand_stats_aggregate(controller->stats, wb_clock_ms());
        wb_controller_snapshot(controller, service, &snapshot);
    }
    double cost_ms;
    GPtrArray *victims = wb_placement_victims(&snapshot, state, spec, &cost_ms);
    wb_controller_snapshot_clear(&snapshot);
    return victims;
}
