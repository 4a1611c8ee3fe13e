/* One pass of a cell's decisions: fences engines, adds, loads and removes slots, unloads surplus
 * replicas, and sends changed routes. Decisions are sent as commands and orders; a decision that
 * can't be made now is tried again in the next step. Times are in milliseconds. */
#include "cell_types.h"

#define GATEWAY_EXPIRY_MS 15000
#define TARGET_EXPIRY_MS (10 * 60 * 1000)

static void gateways_expire(wb_cell_t *cell, int64_t now_ms) {
    GHashTableIter targets, gateways;
    gpointer target_value, gateway_value;
    g_hash_table_iter_init(&targets, cell->targets);
    while (g_hash_table_iter_next(&targets, NULL, &target_value)) {
        cell_target_t *target = target_value;
        g_hash_table_iter_init(&gateways, target->gateways);
        while (g_hash_table_iter_next(&gateways, NULL, &gateway_value))
            if (now_ms - ((cell_gateway_t *)gateway_value)->demand_received_ms > GATEWAY_EXPIRY_MS)
                g_hash_table_iter_remove(&gateways);
        if (g_hash_table_size(target->gateways) == 0 && now_ms - target->used_ms > TARGET_EXPIRY_MS)
            g_hash_table_iter_remove(&targets);
    }
}

/* Whether the engine holds the model without a slot: possible after a majority was lost. */
static gboolean engine_has_stray(const wb_cell_t *cell, const cell_engine_t *engine,
                                 const char *model) {
    return engine->machine != WB_MACHINE_REMOVED && cell_held_model(engine, model) != NULL &&
           !wb_record_has_slot(cell->record, model, engine->id);
}

static gboolean cell_has_stray(const wb_cell_t *cell) {
    GHashTableIter engines, models;
    gpointer engine_value, model;
    g_hash_table_iter_init(&engines, cell->engines);
    while (g_hash_table_iter_next(&engines, NULL, &engine_value)) {
        const cell_engine_t *engine = engine_value;
        if (engine->inventory == NULL)
            continue;
        g_hash_table_iter_init(&models, engine->inventory->models);
        while (g_hash_table_iter_next(&models, &model, NULL))
            if (engine_has_stray(cell, engine, model))
                return TRUE;
    }
    return FALSE;
}

/* Raises the fence of engines that have not accepted this epoch, or that an earlier order may still
 * reach. Slots count as verified once the machine list is known, all its engines are fenced and
 * none holds a stray model. */
static void engines_fence(wb_cell_t *cell, int64_t now_ms) {
    gboolean all_fenced = TRUE;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        cell_engine_t *engine = value;
        if (engine->machine == WB_MACHINE_REMOVED)
            continue;
        all_fenced = all_fenced && engine->fenced;
        if (engine->order_pending || now_ms < engine->retry_at_ms ||
            (engine->fenced && engine->settled))
            continue;
        cell_order_send(cell, engine, WB_ORDER_FENCE, NULL, NULL, 0, 0);
    }
    if (cell->record->slots_unverified && all_fenced && cell->machines_known &&
        !cell_has_stray(cell)) {
        wb_wire_command command = {.kind = WB_WIRE_COMMAND_SLOTS_VERIFIED};
        cell->events.propose(&command, cell->events.context);
    }
}

/* Copies the names, which may belong to the slot: applying the command frees it. */
static void slot_remove_propose(wb_cell_t *cell, const char *model, const char *engine) {
    char pair[CELL_PAIR_SIZE];
    cell_pair(pair, model, engine);
    g_autofree char *model_copy = g_strdup(model);
    g_autofree char *engine_copy = g_strdup(engine);
    wb_wire_command command = {.kind = WB_WIRE_COMMAND_SLOT_REMOVE};
    command.wb_wire_command_u.slot_remove.model = model_copy;
    command.wb_wire_command_u.slot_remove.engine = engine_copy;
    if (cell->events.propose(&command, cell->events.context) == 0)
        return;
    g_hash_table_remove(cell->uncommitted, pair);
    g_hash_table_remove(cell->retiring, pair);
}

static gboolean slot_is_committed(const wb_cell_t *cell, const char *pair) {
    const uint64_t *sequence = g_hash_table_lookup(cell->uncommitted, pair);
    return sequence == NULL || *sequence <= cell->committed;
}

/* Sends the load order for a slot. After a majority was lost, nothing is loaded before all engines
 * have been fenced: the record may lack slots. */
static void slot_load(wb_cell_t *cell, cell_engine_t *engine, const wb_model_t *model,
                      int64_t now_ms) {
    if (cell->record->slots_unverified)
        return;
    if (cell_engine_free_bytes(cell, engine, NULL) < 0) {
        /* An earlier owner removed this slot and reused its memory, but lost ownership before the
         * removal was committed. */
        char pair[CELL_PAIR_SIZE];
        g_hash_table_replace(cell->retiring, g_strdup(cell_pair(pair, model->name, engine->id)),
                             "there is no room for it any more");
        return;
    }
    if (cell_source(engine, model->name) == SOURCE_REMOTE &&
        (int64_t)cell_remote_loads(cell) >= cell->options.max_remote_loads)
        return; /* this cell's share of the weight store is in use */
    cell_load_record_start(cell, engine, model->name, model->memory_bytes, now_ms);
    cell_order_send(cell, engine, WB_ORDER_LOAD, model->name, NULL, model->version,
                    model->memory_bytes);
}

/* Advances one slot towards being loaded or removed. May free the slot. */
static void slot_step(wb_cell_t *cell, const wb_slot_t *slot, int64_t now_ms) {
    cell_engine_t *engine = g_hash_table_lookup(cell->engines, slot->engine);
    if (engine == NULL)
        return; /* not in the machine list yet */
    if (engine->machine == WB_MACHINE_REMOVED) {
        slot_remove_propose(cell, slot->model, slot->engine);
        return;
    }
    char pair[CELL_PAIR_SIZE];
    cell_pair(pair, slot->model, slot->engine);
    const wb_model_t *model = wb_config_model(cell->config, slot->model);
    const wb_held_model_t *held = cell_held_model(engine, slot->model);
    gboolean draining = engine->machine == WB_MACHINE_DRAINING ||
                        (engine->inventory != NULL && engine->inventory->leaving);
    gboolean outdated = model == NULL || (held != NULL && held->version != model->version);
    if ((draining || outdated) && !g_hash_table_contains(cell->retiring, pair))
        g_hash_table_insert(cell->retiring, g_strdup(pair),
                            draining ? "the engine is leaving" : "the declaration has changed");
    if (!cell_engine_is_orderable(engine, now_ms))
        return;
    gboolean retiring = g_hash_table_contains(cell->retiring, pair);
    if (retiring && held == NULL) {
        slot_remove_propose(cell, slot->model, slot->engine);
        return;
    }
    if (retiring && held->state != WB_LOAD_UNLOADING)
        cell_order_send(cell, engine, WB_ORDER_UNLOAD, slot->model, NULL, 0, 0);
    else if (!retiring && held == NULL && slot_is_committed(cell, pair))
        slot_load(cell, engine, model, now_ms);
}

static void slots_step(wb_cell_t *cell, int64_t now_ms) {
    for (guint i = cell->record->slots->len; i-- > 0;)
        slot_step(cell, cell->record->slots->pdata[i], now_ms);
}

/* Unloads models without a slot, at most one per engine and step. */
static void strays_unload(wb_cell_t *cell, int64_t now_ms) {
    GHashTableIter engines, models;
    gpointer engine_value, model_value;
    g_hash_table_iter_init(&engines, cell->engines);
    while (g_hash_table_iter_next(&engines, NULL, &engine_value)) {
        cell_engine_t *engine = engine_value;
        if (!cell_engine_is_orderable(engine, now_ms))
            continue;
        g_hash_table_iter_init(&models, engine->inventory->models);
        while (g_hash_table_iter_next(&models, NULL, &model_value)) {
            const wb_held_model_t *held = model_value;
            if (held->state == WB_LOAD_UNLOADING || !engine_has_stray(cell, engine, held->name))
                continue;
            cell_order_send(cell, engine, WB_ORDER_UNLOAD, held->name, NULL, 0, 0);
            break;
        }
    }
}

/* Number of slots of the model that are not retiring. */
static guint slots_not_retiring(const wb_cell_t *cell, const char *model) {
    guint count = 0;
    char pair[CELL_PAIR_SIZE];
    for (guint i = 0; i < cell->record->slots->len; i++) {
        const wb_slot_t *slot = cell->record->slots->pdata[i];
        if (strcmp(slot->model, model) == 0 &&
            !g_hash_table_contains(cell->retiring, cell_pair(pair, model, slot->engine)))
            count++;
    }
    return count;
}

/* Batch size of any engine whose inventory is known; 1 if there is none. */
static int64_t typical_batch(const wb_cell_t *cell) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const cell_engine_t *engine = value;
        if (engine->inventory != NULL && engine->inventory->batch > 0)
            return engine->inventory->batch;
    }
    return 1;
}

/* No request waits or runs and, if the model has slots, none has within the keep-alive time. */
static gboolean model_is_idle(wb_cell_t *cell, const wb_model_t *model, const cell_demand_t *demand,
                              int64_t now_ms) {
    if (demand->waiting + demand->running > 0)
        return FALSE;
    if (demand->used_ms == 0 || wb_record_slot_count(cell->record, model->name) == 0)
        return TRUE;
    return now_ms - demand->used_ms > cell_keep_alive_ms(cell, model, demand, now_ms);
}

static int64_t replicas_wanted(const wb_cell_t *cell, const wb_model_t *model,
                               const cell_demand_t *demand, gboolean idle) {
    int64_t wanted = model->min_replicas;
    int64_t total = demand->waiting + demand->running;
    if (!idle)
        wanted = MAX(wanted, 1);
    int64_t batch = typical_batch(cell);
    wanted = MAX(wanted, (total + batch - 1) / batch);
    return MIN(wanted, model->max_replicas);
}

/* Retires the replica with the fewest running requests. */
static void replica_retire(wb_cell_t *cell, const char *model, const char *reason) {
    const char *best = NULL;
    int min_running = INT_MAX;
    char pair[CELL_PAIR_SIZE];
    for (guint i = 0; i < cell->record->slots->len; i++) {
        const wb_slot_t *slot = cell->record->slots->pdata[i];
        const cell_engine_t *engine = g_hash_table_lookup(cell->engines, slot->engine);
        if (strcmp(slot->model, model) != 0 || engine == NULL ||
            g_hash_table_contains(cell->retiring, cell_pair(pair, model, slot->engine)))
            continue;
        const wb_held_model_t *held = cell_held_model(engine, model);
        int running = held != NULL ? held->running : 0;
        if (running < min_running) {
            min_running = running;
            best = slot->engine;
        }
    }
    if (best != NULL)
        g_hash_table_replace(cell->retiring, g_strdup(cell_pair(pair, model, best)),
                             (gpointer)reason);
}

/* Retires one surplus replica: at once when the model is idle or over its maximum, otherwise after
 * half the keep-alive time. */
static void surplus_step(wb_cell_t *cell, const wb_model_t *model, int64_t remaining, gboolean idle,
                         int64_t now_ms) {
    const wb_service_t *service = wb_config_service(cell->config, model->service);
    int64_t *since_ms = g_hash_table_lookup(cell->surplus_since, model->name);
    if (since_ms == NULL) {
        since_ms = g_new(int64_t, 1);
        *since_ms = now_ms;
        g_hash_table_insert(cell->surplus_since, g_strdup(model->name), since_ms);
    }
    if (remaining > model->max_replicas || idle ||
        now_ms - *since_ms > service->keep_alive_ms / 2) {
        *since_ms = now_ms;
        replica_retire(cell, model->name, idle ? "idle" : "more replicas than needed");
    }
}

static void model_step(wb_cell_t *cell, const wb_model_t *model, cell_demand_t demand,
                       int64_t now_ms) {
    /* A new owner has not received all demand yet, so for a model with slots the keep-alive time
     * starts no earlier than this owner did. */
    demand.used_ms = MAX(
        demand.used_ms, wb_record_slot_count(cell->record, model->name) > 0 ? cell->started_ms : 0);
    gboolean idle = model_is_idle(cell, model, &demand, now_ms);
    int64_t wanted = replicas_wanted(cell, model, &demand, idle);
    int64_t slots = wb_record_slot_count(cell->record, model->name);
    int64_t remaining = slots_not_retiring(cell, model->name);
    if (remaining > wanted) {
        surplus_step(cell, model, remaining, idle, now_ms);
        return;
    }
    g_hash_table_remove(cell->surplus_since, model->name);
    gboolean needed = demand.waiting > 0 || model->min_replicas > remaining;
    if (remaining < wanted && needed && slots < model->max_replicas &&
        !cell->record->slots_unverified)
        cell_place(cell, model, now_ms);
}

/* A model with its demand, for sorting by deadline. */
typedef struct model_entry_t {
    const wb_model_t *model;
    cell_demand_t demand;
    int64_t deadline_ms;
} model_entry_t;

static gint model_entry_compare(gconstpointer left, gconstpointer right) {
    const model_entry_t *a = left;
    const model_entry_t *b = right;
    if (a->deadline_ms != b->deadline_ms)
        return a->deadline_ms < b->deadline_ms ? -1 : 1;
    return strcmp(a->model->name, b->model->name);
}

/* Decides for each model of the cell, in the order of the earliest deadline of its waiting
 * requests. */
static void models_step(wb_cell_t *cell, int64_t now_ms) {
    g_autoptr(GArray) entries = g_array_new(FALSE, FALSE, sizeof(model_entry_t));
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->config->models);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const wb_model_t *model = value;
        if (strcmp(model->cell, cell->name) != 0)
            continue;
        cell_demand_t demand = cell_model_demand(cell, model->name);
        model_entry_t entry = {model, demand,
                               demand.waiting > 0 && demand.deadline_ms > 0 ? demand.deadline_ms
                                                                            : INT64_MAX};
        g_array_append_val(entries, entry);
    }
    g_array_sort(entries, model_entry_compare);
    for (guint i = 0; i < entries->len; i++) {
        const model_entry_t *entry = &g_array_index(entries, model_entry_t, i);
        model_step(cell, entry->model, entry->demand, now_ms);
    }
}

void wb_cell_step(wb_cell_t *cell, int64_t now_ms) {
    if (cell->config == NULL)
        return;
    gateways_expire(cell, now_ms);
    engines_fence(cell, now_ms);
    slots_step(cell, now_ms);
    strays_unload(cell, now_ms);
    models_step(cell, now_ms);
    slots_step(cell, now_ms);
    cell_adapters_step(cell, now_ms);
    cell_routes_send(cell, now_ms);
}
