/* Where models are loaded, and how many replicas busy ones get. */
#include "control/controller_types.h"

#include "wickbridge/event_log.h"

#define SPREADS_AT_ONCE 3
/* Making room takes about so long before a load begins. */
#define DROP_TIME_MS 250

gboolean wb_controller_place_model(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                                   const wb_model_spec_t *spec, double limit_ms, const char *why) {
    double cost_ms;
    double victims_ms;
    wb_placement_engine_t *place = wb_placement_choose(snapshot, spec, &cost_ms, &victims_ms);
    if (place == NULL ||
        victims_ms + wb_placement_load_price_ms(spec, place->engine->state) > limit_ms)
        return FALSE;
    wb_usage_t *usage = wb_demand_book_get(controller->book, snapshot->service->name, spec->name,
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
    if (from_store && snapshot->store_room > 0)
        snapshot->store_room--;
    double ready_ms = place->busy_ms + load_ms + (victims_ms > 0 ? DROP_TIME_MS : 0);
    wb_controller_tell(controller, place->engine, spec->name, "", FALSE,
                       (unsigned)MAX(ready_ms, 1));
    place->busy_ms += load_ms;
    place->pending_mb += spec->weights_mb;
    usage->use.in_loading++;
    return TRUE;
}

/* Models whose prompts, or places among what runs, take more than their engines should give to one.
 */
void wb_controller_spread(wb_controller_t *controller, wb_placement_snapshot_t *snapshot) {
    unsigned placed = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, snapshot->service->models);
    while (placed < SPREADS_AT_ONCE && g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_model_spec_t *spec = value;
        const wb_usage_t *usage =
            wb_demand_book_find(controller->book, snapshot->service->name, spec->name, "");
        if (usage == NULL || usage->use.replicas == 0 ||
            wb_load_faults_paused_ms(controller->faults, snapshot->service->name, spec->name,
                                     wb_clock_ms()) > 0)
            continue;
        unsigned wanted = wb_placement_wanted(&usage->use, &snapshot->power);
        if (usage->use.replicas + usage->use.in_loading >= wanted)
            continue;
        double gain_ms = wb_placement_gain_ms(&usage->use, &snapshot->power);
        placed += wb_controller_place_model(controller, snapshot, spec, gain_ms, "load");
    }
}

/* What a model's loss costs depends on all its replicas, so everything is counted anew. */
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
    wb_demand_book_count(controller->book, wb_clock_ms());
    wb_controller_snapshot(controller, service, &snapshot);
    double cost_ms;
    GPtrArray *victims = wb_placement_victims(&snapshot, state, spec, &cost_ms);
    wb_controller_snapshot_clear(&snapshot);
    return victims;
}
