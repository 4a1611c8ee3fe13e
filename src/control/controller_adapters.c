/* Which adapters are loaded where, and which go for them. */
#include "control/controller_types.h"

#include "wickbridge/event_log.h"

#include <string.h>
#include <xxhash.h>

/* An adapter that runs counts as asked for so much later than it was. */
#define RUNNING_BONUS_MS 30000

/* Chooses among the engines that hold the model: rendezvous hashing, so an adapter keeps to few
 * engines. */
static wb_engine_t *adapter_engine(wb_controller_t *controller,
                                   const wb_placement_snapshot_t *snapshot, const char *model,
                                   const char *adapter) {
    wb_engine_t *best = NULL;
    uint64_t highest = 0;
    g_autofree char *name = g_strjoin("/", model, adapter, NULL);
    uint64_t seed = XXH64(name, strlen(name), 0);
    for (guint i = 0; i < snapshot->engines->len; i++) {
        const wb_placement_engine_t *place =
            &g_array_index(snapshot->engines, wb_placement_engine_t, i);
        if (!place->available || !g_hash_table_contains(place->state->models, model))
            continue;
        const char *id = place->engine->state->id;
        uint64_t weight = XXH64(id, strlen(id), seed) >> 8;
        const wb_engine_orders_t *orders = g_hash_table_lookup(controller->orders, id);
        if (!place->in_need)
            weight += (uint64_t)1 << 61;
        if (orders == NULL || !wb_engine_orders_is_busy(orders))
            weight += (uint64_t)1 << 60; /* engines that can take an order go first */
        if (best == NULL || weight > highest) {
            best = place->engine;
            highest = weight;
        }
    }
    return best;
}

static gboolean adapter_is_coming(const wb_controller_t *controller,
                                  const wb_placement_snapshot_t *snapshot, const char *model,
                                  const char *adapter) {
    for (guint i = 0; i < snapshot->engines->len; i++) {
        const wb_placement_engine_t *place =
            &g_array_index(snapshot->engines, wb_placement_engine_t, i);
        const wb_engine_orders_t *orders =
            g_hash_table_lookup(controller->orders, place->engine->state->id);
        if (orders != NULL && wb_engine_orders_has(orders, model, adapter))
            return TRUE;
    }
    return FALSE;
}

/* What adapter_need is asked with. */
typedef struct wb_adapter_scene_t {
    wb_controller_t *controller;
    const wb_placement_snapshot_t *snapshot;
} wb_adapter_scene_t;

static void adapter_need(const wb_wire_demand_entry *entry, void *context) {
    const wb_adapter_scene_t *scene = context;
    wb_controller_t *controller = scene->controller;
    if (adapter_is_coming(controller, scene->snapshot, entry->model, entry->adapter))
        return;
    wb_engine_t *engine = adapter_engine(controller, scene->snapshot, entry->model, entry->adapter);
    if (engine == NULL)
        return;
    wb_event("adapter-placed",
             ",\"service\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\",\"engine\":\"%s\","
             "\"waiting\":%u,\"time_left_ms\":%u",
             entry->service, entry->model, entry->adapter, engine->state->id, entry->waiting,
             entry->time_left_ms);
    wb_engine_orders_add(wb_controller_orders(controller, engine), entry->model, entry->adapter);
}

void wb_controller_place_adapters(wb_controller_t *controller,
                                  const wb_placement_snapshot_t *snapshot) {
    wb_adapter_scene_t scene = {controller, snapshot};
    wb_demand_stats_each_waiting_adapter(controller->book, snapshot->service->name, adapter_need, &scene);
}

/* The adapter that was asked for longest ago, and isn't running or waited for. */
char *wb_controller_pick_adapter_victim(const wb_engine_state_t *state, void *context) {
    wb_controller_t *controller = context;
    wb_engine_t *engine = wb_fleet_find(controller->fleet, state->id);
    if (engine == NULL)
        return NULL;
    char *victim = NULL;
    int64_t oldest_ms = G_MAXINT64;
    GHashTableIter models;
    gpointer model;
    gpointer held;
    g_hash_table_iter_init(&models, state->models);
    while (g_hash_table_iter_next(&models, &model, &held)) {
        GHashTableIter adapters;
        gpointer adapter;
        g_hash_table_iter_init(&adapters, ((wb_engine_model_t *)held)->adapters);
        while (g_hash_table_iter_next(&adapters, &adapter, NULL)) {
            g_autofree char *name = g_strjoin("/", (char *)model, (char *)adapter, NULL);
            if (g_hash_table_contains(state->arriving, name)) {
                continue;
            }
            const wb_usage_t *usage =
                wb_demand_stats_find(controller->book, engine->state->service, model, adapter);
            int64_t used_ms = usage != NULL ? usage->used_ms : 0;
            if (usage != NULL && usage->use.waiting > 0)
                continue;
            if (usage != NULL && usage->use.running > 0)
                used_ms += RUNNING_BONUS_MS;
            if (used_ms >= oldest_ms)
                continue;
            oldest_ms = used_ms;
            g_free(victim);
            victim = g_steal_pointer(&name);
        }
    }
    return victim;
}
