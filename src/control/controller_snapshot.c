/* What the placement controller decides on, as one picture. */
#include "control/controller_types.h"

#include <string.h>

/* A limit is shared by nodes in whole requests, and these don't ask evenly: an engine serves its
 * models' requests if it takes so many times what they come to. */
#define LIMIT_HEADROOM 2.0

/* What loading_count is asked with. */
typedef struct wb_loading_scene_t {
    wb_controller_t *controller;
    const wb_service_t *service;
    wb_placement_engine_t *place;
} wb_loading_scene_t;

static void loading_count(const char *model, const char *adapter, void *context) {
    const wb_loading_scene_t *scene = context;
    if (*adapter != '\0')
        return;
    wb_model_use_t *use =
        &wb_demand_stats_get(scene->controller->book, scene->service->name, model, "", wb_clock_ms())
             ->use;
    use->in_loading++;
    use->loading_speed += scene->place->speed;
    const wb_model_spec_t *spec = g_hash_table_lookup(scene->service->models, model);
    if (spec != NULL && !g_hash_table_contains(scene->place->state->models, model))
        scene->place->pending_mb += spec->weights_mb;
}

static const wb_engine_orders_t *orders_of(const wb_controller_t *controller,
                                           const wb_engine_t *engine) {
    return g_hash_table_lookup(controller->orders, engine->state->id);
}

/* Counts an engine's models as replicas, or as those that go with its zone's evacuation or at its
 * own word: these are only looked up, as a model that nobody asks for isn't missed. */
static void replicas_count(wb_controller_t *controller, const char *service,
                           const wb_placement_engine_t *place, int64_t now_ms) {
    gboolean stays = wb_engine_is_available(place->engine);
    if (!stays && place->engine->draining_since_ms != 0 && !place->engine->drain_reported) {
        return;
    }
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, place->state->models);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        wb_usage_t *usage = stays ? wb_demand_stats_get(controller->book, service, name, "", now_ms)
                                  : wb_demand_stats_find(controller->book, service, name, "");
        if (stays) {
            usage->use.replicas++;
            usage->use.speed += place->speed;
        } else if (usage != NULL) {
            usage->use.unreliable++;
        }
    }
}

/* Adds an engine to a snapshot. Returns its place there. @param orders of the engine; NULL: none */
static wb_placement_engine_t *
snapshot_add_engine(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                    wb_engine_t *engine, const wb_engine_orders_t *orders, int64_t now_ms) {
    wb_placement_engine_t place = {.engine = engine, .state = engine->state};
    place.speed = controller->settings->engine_pace != 0
                      ? 1 / wb_engine_pace_intrinsic_factor(&engine->pace, now_ms)
                      : 1;
    place.available = wb_engine_is_available(engine) && now_ms >= engine->avoid_until_ms;
    place.in_need = engine->limit.named || now_ms < engine->backoff_until_ms;
    if (orders != NULL) {
        place.state = wb_engine_orders_state(orders);
        place.busy_ms = wb_engine_orders_busy_ms(orders);
        place.available = place.available && !wb_engine_orders_is_unreachable(orders);
    }
    place.busy_ms +=
        (double)controller->events.blocked_ms(engine->state->id, controller->events.context);
    g_array_append_val(snapshot->engines, place);
    snapshot->power.slots = MAX(snapshot->power.slots, engine->state->slots);
    return &g_array_index(snapshot->engines, wb_placement_engine_t, snapshot->engines->len - 1);
}

/* Counts what an engine holds and what it is about to load. */
static void engine_count(wb_controller_t *controller, const wb_placement_snapshot_t *snapshot,
                         wb_placement_engine_t *place, const wb_engine_orders_t *orders,
                         int64_t now_ms) {
    if (orders != NULL && wb_engine_is_available(place->engine)) {
        wb_loading_scene_t scene = {controller, snapshot->service, place};
        wb_engine_orders_each(orders, loading_count, &scene);
    }
    replicas_count(controller, snapshot->service->name, place, now_ms);
}

/* Requests a second that an engine's models are asked for, when their replicas share them. */
static double asked_per_s(wb_controller_t *controller, const char *service,
                          const wb_placement_engine_t *place) {
    double per_s = 0;
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, place->state->models);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        const wb_usage_t *usage = wb_demand_stats_find(controller->book, service, name, "");
        per_s += usage != NULL ? usage->use.rate_per_s / MAX(usage->use.replicas, 1) : 0;
    }
    return per_s;
}

/* What an engine holds that takes less than it is asked for doesn't count as replicas. */
static void limited_discount(wb_controller_t *controller, const wb_placement_snapshot_t *snapshot,
                             const wb_placement_engine_t *place) {
    const char *service = snapshot->service->name;
    const wb_engine_limit_t *limit = &place->engine->limit;
    if (!limit->named || !wb_engine_is_available(place->engine) ||
        limit->per_s >= LIMIT_HEADROOM * asked_per_s(controller, service, place)) {
        return;
    }
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, place->state->models);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        wb_usage_t *usage = wb_demand_stats_find(controller->book, service, name, "");
        if (usage != NULL && usage->use.replicas > 0) {
            usage->use.replicas--;
            usage->use.speed -= place->speed;
            usage->use.unreliable++;
        }
    }
}

/* Requests for a replica, on average over all models. */
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

/* What is known of models' use, once replicas are counted. */
static void uses_add(wb_controller_t *controller, wb_placement_snapshot_t *snapshot) {
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, snapshot->service->models);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        wb_usage_t *usage =
            wb_demand_stats_find(controller->book, snapshot->service->name, name, "");
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
            wb_placement_engine_t *place =
                snapshot_add_engine(controller, snapshot, engine, orders, now_ms);
            engine_count(controller, snapshot, place, orders, now_ms);
        }
    }
    for (guint i = 0; i < snapshot->engines->len; i++) {
        limited_discount(controller, snapshot,
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
