/* Where models are loaded, and how many replicas busy ones get. */
#include "control/controller_types.h"

#include "wickbridge/event_log.h"

#define SPREADS_AT_ONCE 3
/* Of models that may get one more engine, so many are looked at in a decision, those that gain most
 * first: each look judges all engines, and where engines differ in speed nearly all models would do
 * better at a fast one. Looking at all took half of a core at 1,000 engines. */
#define SPREADS_LOOKED_AT 8
/* Making room takes about so long before a load begins. */
#define DROP_TIME_MS 250

gboolean wb_controller_place_model(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                                   const wb_model_spec_t *spec, double limit_ms, const char *why) {
    double cost_ms;
    double victims_ms;
    wb_placement_engine_t *place = wb_placement_choose(snapshot, spec, &cost_ms, &victims_ms);
    if (place == NULL ||
        victims_ms + wb_placement_load_cost_ms(spec, place->engine->state) > limit_ms)
        return FALSE;
    wb_usage_t *usage = wb_demand_stats_get(controller->book, snapshot->service->name, spec->name,
                                           "", wb_clock_ms());
    wb_event("model-placed",
             ",\"service\":\"%s\",\"model\":\"%s\",\"engine\":\"%s\",\"why\":\"%s\","
             "\"cost_ms\":%.0f,\"victims_ms\":%.0f,\"waiting\":%u,\"replicas\":%u,"
             "\"rate\":%.2f,\"time_left_ms\":%u",
             snapshot->service->name, spec->name, place->engine->state->id, why, cost_ms,
             victims_ms, usage->use.waiting, usage->use.replicas, usage->use.rate_per_s,
             usage->time_left_ms);
    wb_engine_orders_add(wb_controller_orders(controller, place->engine), spec->name, "");
    gboolean from_store;
    double load_ms = wb_placement_load_ms(spec, place->engine->state, &from_store);
    if (from_store) {
        snapshot->store_loads_allowed -= snapshot->store_loads_allowed > 0;
        wb_store_fairness_record_load(wb_controller_turns(controller, snapshot->service->name),
                              usage->use.replicas == 0);
    }
    double ready_ms = place->busy_ms + load_ms + (victims_ms > 0 ? DROP_TIME_MS : 0);
    wb_controller_tell(controller, place->engine, spec->name, "", FALSE,
                       (unsigned)MAX(ready_ms, 1));
    place->busy_ms += load_ms;
    place->pending_mb += spec->weights_mb;
    usage->use.in_loading++;
    usage->use.loading_speed += place->speed;
    return TRUE;
}

/* A model that may get one more engine, and what that saves at most. */
typedef struct wb_spread_t {
    const wb_model_spec_t *spec;
    const wb_model_use_t *use;
    double gain_ms;
} wb_spread_t;

static gint gain_first(gconstpointer left, gconstpointer right) {
    const wb_spread_t *a = left;
    const wb_spread_t *b = right;
    return a->gain_ms > b->gain_ms ? -1 : a->gain_ms < b->gain_ms;
}

/* Whether a model's measured work asks for one more engine, or for a faster one. */
static gboolean wants_engine(const wb_model_use_t *use, const wb_engine_capacity_t *power,
                             double fastest) {
    if (use->replicas == 0) {
        return FALSE;
    }
    return wb_placement_total_speed(use) < wb_placement_wanted_replicas(use, power) ||
           wb_placement_engines_are_slow(use, fastest);
}

static GArray *spreads_collect(const wb_controller_t *controller,
                               const wb_placement_snapshot_t *snapshot) {
    GArray *spreads = g_array_new(FALSE, FALSE, sizeof(wb_spread_t));
    const char *service = snapshot->service->name;
    double fastest = wb_placement_max_speed(snapshot);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, snapshot->service->models);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_model_spec_t *spec = value;
        const wb_usage_t *usage = wb_demand_stats_find(controller->book, service, spec->name, "");
        if (usage == NULL || !wants_engine(&usage->use, &snapshot->power, fastest) ||
            wb_load_faults_backoff_ms(controller->faults, service, spec->name, wb_clock_ms()) > 0) {
            continue;
        }
        wb_spread_t spread = {spec, &usage->use,
                              wb_placement_gain_ms(&usage->use, &snapshot->power, fastest)};
        g_array_append_val(spreads, spread);
    }
    g_array_sort(spreads, gain_first);
    return spreads;
}

/* Gives a model one more engine if that saves its requests more than it costs others.
 * @param found out: whether there was a place for it */
static gboolean spread_one(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                           const wb_spread_t *spread, gboolean *found) {
    double cost_ms;
    double victims_ms;
    const wb_placement_engine_t *place =
        wb_placement_choose(snapshot, spread->spec, &cost_ms, &victims_ms);
    *found = place != NULL;
    if (place == NULL) {
        if (snapshot->store_loads_allowed == 0 &&
            spread->gain_ms > wb_placement_store_load_cost_ms(spread->spec)) {
            wb_store_fairness_request_replica(wb_controller_turns(controller, snapshot->service->name),
                                spread->gain_ms, wb_clock_ms());
        }
        return FALSE;
    }
    double gain_ms = wb_placement_gain_ms(spread->use, &snapshot->power, place->speed);
    return wb_controller_place_model(controller, snapshot, spread->spec, gain_ms, "load");
}

/* Models whose prompts, or places among what runs, take more than their engines should give to one,
 * and those whose engines are slow: those that gain most go first. */
void wb_controller_spread(wb_controller_t *controller, wb_placement_snapshot_t *snapshot) {
    g_autoptr(GArray) spreads = spreads_collect(controller, snapshot);
    unsigned placed = 0;
    unsigned looked_at = 0;
    for (guint i = 0; i < spreads->len && placed < SPREADS_AT_ONCE && looked_at < SPREADS_LOOKED_AT;
         i++) {
        if (i > 0 && wb_controller_time_is_over(controller))
            break;
        gboolean found;
        /* The first that lacks the store makes the wish: it gains most. */
        placed += spread_one(controller, snapshot, &g_array_index(spreads, wb_spread_t, i), &found);
        looked_at += found;
    }
}

/* What a model's loss costs depends on all its replicas, so everything is counted anew; in a large
 * fleet, where a model has tens of them, the last count does. */
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
        wb_demand_stats_aggregate(controller->book, wb_clock_ms());
        wb_controller_snapshot(controller, service, &snapshot);
    }
    double cost_ms;
    GPtrArray *victims = wb_placement_victims(&snapshot, state, spec, &cost_ms);
    wb_controller_snapshot_clear(&snapshot);
    return victims;
}
