/* Loads adapters in demand onto replicas of their models, and unloads or evicts idle ones. At most
 * one order per engine and step. */
#include "cell_types.h"

static const wb_held_adapter_t *held_adapter(const cell_engine_t *engine, const char *model,
                                             const char *adapter) {
    const wb_held_model_t *held = cell_held_model(engine, model);
    return held != NULL ? g_hash_table_lookup(held->adapters, adapter) : NULL;
}

static const cell_target_t *target_find(const wb_cell_t *cell, const char *model,
                                        const char *adapter) {
    char pair[CELL_PAIR_SIZE];
    return g_hash_table_lookup(cell->targets, cell_pair(pair, model, adapter));
}

/* Loaded, without waiting or running requests. */
static gboolean adapter_is_idle(const wb_cell_t *cell, const char *model,
                                const wb_held_adapter_t *adapter) {
    if (adapter->state != WB_LOAD_LOADED || adapter->running > 0)
        return FALSE;
    const cell_target_t *target = target_find(cell, model, adapter->name);
    if (target == NULL)
        return TRUE;
    cell_demand_t demand = cell_target_demand(target);
    return demand.waiting == 0 && demand.running == 0;
}

static int64_t adapter_used_ms(const wb_cell_t *cell, const char *model, const char *adapter) {
    const cell_target_t *target = target_find(cell, model, adapter);
    return target != NULL ? target->used_ms : 0;
}

/* Unloads the least recently used idle adapter of the engine. Returns FALSE when none is idle. */
static gboolean adapter_evict(wb_cell_t *cell, cell_engine_t *engine) {
    const char *victim_model = NULL;
    const char *victim = NULL;
    int64_t oldest_ms = INT64_MAX;
    GHashTableIter models, adapters;
    gpointer model_value, adapter_value;
    g_hash_table_iter_init(&models, engine->inventory->models);
    while (g_hash_table_iter_next(&models, NULL, &model_value)) {
        const wb_held_model_t *held = model_value;
        g_hash_table_iter_init(&adapters, held->adapters);
        while (g_hash_table_iter_next(&adapters, NULL, &adapter_value)) {
            const wb_held_adapter_t *adapter = adapter_value;
            int64_t used_ms = adapter_used_ms(cell, held->name, adapter->name);
            if (used_ms >= oldest_ms || !adapter_is_idle(cell, held->name, adapter))
                continue;
            victim_model = held->name;
            victim = adapter->name;
            oldest_ms = used_ms;
        }
    }
    if (victim == NULL)
        return FALSE;
    cell_order_send(cell, engine, WB_ORDER_UNLOAD, victim_model, victim, 0, 0);
    return TRUE;
}

/* Of the loaded replicas of the model that don't hold the adapter, the one with the most free
 * memory, or NULL. */
static cell_engine_t *replica_choose(wb_cell_t *cell, const char *model, const char *adapter) {
    cell_engine_t *best = NULL;
    int64_t max_free_bytes = INT64_MIN;
    for (guint i = 0; i < cell->record->slots->len; i++) {
        const wb_slot_t *slot = cell->record->slots->pdata[i];
        if (strcmp(slot->model, model) != 0)
            continue;
        cell_engine_t *engine = g_hash_table_lookup(cell->engines, slot->engine);
        if (engine == NULL || !cell_engine_is_usable(engine))
            continue;
        const wb_held_model_t *held = cell_held_model(engine, model);
        char pair[CELL_PAIR_SIZE];
        if (held == NULL || held->state != WB_LOAD_LOADED ||
            g_hash_table_contains(cell->retiring, cell_pair(pair, model, engine->id)) ||
            g_hash_table_contains(held->adapters, adapter))
            continue;
        int64_t free_bytes = cell_engine_free_bytes(cell, engine, NULL);
        if (free_bytes > max_free_bytes) {
            max_free_bytes = free_bytes;
            best = engine;
        }
    }
    return best;
}

/* Number of usable engines that hold the adapter or load it. Sets `batch` to the batch size of one
 * of them, if there are any. */
static guint adapter_replicas(const wb_cell_t *cell, const char *model, const char *adapter,
                              int *batch) {
    guint count = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const cell_engine_t *engine = value;
        const wb_held_adapter_t *held = held_adapter(engine, model, adapter);
        if (held == NULL || held->state == WB_LOAD_UNLOADING || !cell_engine_is_usable(engine))
            continue;
        count++;
        *batch = engine->inventory->batch;
    }
    return count;
}

static void target_serve(wb_cell_t *cell, const cell_target_t *target, int64_t now_ms) {
    const wb_adapter_t *adapter = wb_config_adapter(cell->config, target->adapter);
    cell_demand_t demand = cell_target_demand(target);
    if (adapter == NULL || strcmp(adapter->model, target->model) != 0 || demand.waiting == 0)
        return;
    int batch = 1;
    guint replicas = adapter_replicas(cell, target->model, target->adapter, &batch);
    if (replicas > 0 && demand.waiting + demand.running <= (int)replicas * batch)
        return;
    cell_engine_t *engine = replica_choose(cell, target->model, target->adapter);
    if (engine == NULL || !cell_engine_is_orderable(engine, now_ms))
        return;
    if (cell_engine_free_bytes(cell, engine, NULL) >= adapter->memory_bytes)
        cell_order_send(cell, engine, WB_ORDER_LOAD, target->model, target->adapter, 1,
                        adapter->memory_bytes);
    else
        adapter_evict(cell, engine);
}

/* Unloads one adapter that is no longer declared, or has been idle for longer than the service's
 * keep-alive time. */
static void adapters_unload_idle(wb_cell_t *cell, cell_engine_t *engine, int64_t now_ms) {
    GHashTableIter models, adapters;
    gpointer model_value, adapter_value;
    g_hash_table_iter_init(&models, engine->inventory->models);
    while (g_hash_table_iter_next(&models, NULL, &model_value)) {
        const wb_held_model_t *held = model_value;
        const wb_model_t *model = wb_config_model(cell->config, held->name);
        const wb_service_t *service =
            model != NULL ? wb_config_service(cell->config, model->service) : NULL;
        int64_t keep_ms = service != NULL ? service->keep_alive_ms : 0;
        g_hash_table_iter_init(&adapters, held->adapters);
        while (g_hash_table_iter_next(&adapters, NULL, &adapter_value)) {
            const wb_held_adapter_t *adapter = adapter_value;
            int64_t used_ms =
                MAX(adapter_used_ms(cell, held->name, adapter->name), cell->started_ms);
            gboolean declared = wb_config_adapter(cell->config, adapter->name) != NULL;
            if ((declared && now_ms - used_ms <= keep_ms) ||
                !adapter_is_idle(cell, held->name, adapter))
                continue;
            cell_order_send(cell, engine, WB_ORDER_UNLOAD, held->name, adapter->name, 0, 0);
            return;
        }
    }
}

void cell_adapters_step(wb_cell_t *cell, int64_t now_ms) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const cell_target_t *target = value;
        if (*target->adapter != '\0')
            target_serve(cell, target, now_ms);
    }
    g_hash_table_iter_init(&iterator, cell->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        cell_engine_t *engine = value;
        if (cell_engine_is_orderable(engine, now_ms))
            adapters_unload_idle(cell, engine, now_ms);
    }
}
