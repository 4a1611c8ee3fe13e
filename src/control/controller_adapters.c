/* Chooses engines to load adapters on, and adapters to evict. */
#include "control/controller_types.h"

#include "wickbridge/event_log.h"

#include <string.h>
#include <xxhash.h>

/* Added to the last use of an adapter with running requests when eviction victims are compared. */
#define RUNNING_BONUS_MS 30000

/* Chooses among the engines that hold the model by rendezvous hashing, so that an adapter is loaded
 * on few engines. Engines that aren't overloaded are preferred, then idle ones. */
static wb_engine_t *adapter_engine_choose(wb_controller_t *controller,
                                          const wb_placement_snapshot_t *snapshot,
                                          const char *model, const char *adapter) {
    wb_engine_t *best = NULL;
    uint64_t highest = 0;
    g_autofree char *name = g_strjoin("/", model, adapter, NULL);
    uint64_t seed = XXH64(name, strlen(name), 0);
    for (guint i = 0; i < snapshot->engines->len; i++) {
        const wb_placement_engine_t *candidate =
            &g_array_index(snapshot->engines, wb_placement_engine_t, i);
        if (!candidate->available || !wb_placement_allows(snapshot, candidate) ||
            !g_hash_table_contains(candidate->state->models, model))
            continue;
        const char *id = candidate->engine->state->id;
        uint64_t weight = XXH64(id, strlen(id), seed) >> 8;
        const wb_engine_orders_t *orders = g_hash_table_lookup(controller->orders, id);
        if (!candidate->overloaded)
            weight += (uint64_t)1 << 61;
        if (orders == NULL || !wb_engine_orders_is_busy(orders))
            weight += (uint64_t)1 << 60;
        if (best == NULL || weight > highest) {
            best = candidate->engine;
            highest = weight;
        }
    }
    return best;
}

static gboolean adapter_is_ordered(const wb_controller_t *controller,
                                   const wb_placement_snapshot_t *snapshot, const char *model,
                                   const char *adapter) {
    for (guint i = 0; i < snapshot->engines->len; i++) {
        const wb_placement_engine_t *candidate =
            &g_array_index(snapshot->engines, wb_placement_engine_t, i);
        const wb_engine_orders_t *orders =
            g_hash_table_lookup(controller->orders, candidate->engine->state->id);
        if (orders != NULL && wb_placement_allows(snapshot, candidate) &&
            wb_engine_orders_has(orders, model, adapter))
            return TRUE;
    }
    return FALSE;
}

void wb_controller_place_adapter(wb_controller_t *controller,
                                 const wb_placement_snapshot_t *snapshot,
                                 const wb_wire_demand_entry *entry) {
    if (adapter_is_ordered(controller, snapshot, entry->model, entry->adapter))
        return;
    wb_engine_t *engine = adapter_engine_choose(controller, snapshot, entry->model, entry->adapter);
    if (engine == NULL)
        return;
    wb_event("adapter-placed",
             ",\"service\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\",\"engine\":\"%s\","
             "\"waiting\":%u,\"time_left_ms\":%u",
             entry->service, entry->model, entry->adapter, engine->state->id, entry->waiting,
             entry->time_left_ms);
    wb_engine_orders_add(wb_controller_orders(controller, engine), entry->model, entry->adapter);
}

/* Context of adapter_visit. */
typedef struct wb_adapter_context_t {
    wb_controller_t *controller;
    const wb_placement_snapshot_t *snapshot;
} wb_adapter_context_t;

static void adapter_visit(const wb_wire_demand_entry *entry, void *context) {
    const wb_adapter_context_t *data = context;
    wb_controller_place_adapter(data->controller, data->snapshot, entry);
}

void wb_controller_place_adapters(wb_controller_t *controller,
                                  const wb_placement_snapshot_t *snapshot) {
    wb_adapter_context_t data = {controller, snapshot};
    wb_demand_stats_each_waiting_adapter(controller->stats, snapshot->service->name, adapter_visit,
                                         &data);
}

/* Picks the least recently used adapter. Skips adapters that are being loaded or waited for. */
char *wb_controller_pick_adapter_victim(const wb_engine_state_t *state, void *context) {
    wb_controller_t *controller = context;
    wb_engine_t *engine = wb_fleet_find(controller->fleet, state->id);
    if (engine == NULL)
        return NULL;
    char *victim = NULL;
    int64_t oldest_use_ms = G_MAXINT64;
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
                wb_demand_stats_find(controller->stats, engine->state->service, model, adapter);
            int64_t last_used_ms = usage != NULL ? usage->last_used_ms : 0;
            if (usage != NULL && usage->use.waiting > 0)
                continue;
            if (usage != NULL && usage->use.running > 0)
                last_used_ms += RUNNING_BONUS_MS;
            if (last_used_ms >= oldest_use_ms)
                continue;
            oldest_use_ms = last_used_ms;
            g_free(victim);
            victim = g_steal_pointer(&name);
        }
    }
    return victim;
}
