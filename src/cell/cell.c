/* State of a cell's owner: its engines, their inventories and pending orders, and gateway demand.
 * Times are milliseconds of the caller's monotonic clock. Events for engines or orders that are not
 * known are ignored. */
#include "cell_types.h"

#define ORDER_RETRY_MS 300

const char *cell_pair(char *buffer, const char *first, const char *second) {
    g_snprintf(buffer, CELL_PAIR_SIZE, "%s\n%s", first, second);
    return buffer;
}

static void engines_from_record(wb_cell_t *cell, int64_t now_ms);

static void engine_free(gpointer data) {
    cell_engine_t *engine = data;
    wb_inventory_free(engine->inventory);
    g_free(engine->reserved_for);
    g_free(engine->id);
    g_free(engine->address);
    g_free(engine->zone);
    g_free(engine);
}

static void gateway_free(gpointer data) {
    cell_gateway_t *gateway = data;
    g_free(gateway->node);
    g_free(gateway);
}

static void target_free(gpointer data) {
    cell_target_t *target = data;
    g_hash_table_unref(target->gateways);
    g_free(target->model);
    g_free(target->adapter);
    g_free(target);
}

static void load_free(gpointer data) {
    cell_load_t *load = data;
    g_free(load->model);
    g_free(load->engine);
    g_free(load);
}

wb_cell_t *wb_cell_create(const wb_cell_options_t *options, wb_record_t *record, uint64_t epoch,
                          const wb_cell_events_t *events, int64_t now_ms) {
    wb_cell_t *cell = g_new0(wb_cell_t, 1);
    cell->name = g_strdup(options->name);
    cell->options = *options;
    cell->events = *events;
    cell->record = record;
    cell->epoch = epoch;
    cell->started_ms = now_ms;
    cell->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, engine_free);
    cell->targets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, target_free);
    cell->uncommitted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cell->retiring = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    cell->surplus_since = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cell->loads = g_ptr_array_new_with_free_func(load_free);
    cell->ms_per_gib[SOURCE_MEMORY] = (double)options->memory_ms_per_gib;
    cell->ms_per_gib[SOURCE_DISK] = (double)options->disk_ms_per_gib;
    cell->ms_per_gib[SOURCE_REMOTE] = (double)options->remote_ms_per_gib;
    engines_from_record(cell, now_ms);
    return cell;
}

void wb_cell_free(wb_cell_t *cell) {
    g_hash_table_unref(cell->engines);
    g_hash_table_unref(cell->targets);
    g_hash_table_unref(cell->uncommitted);
    g_hash_table_unref(cell->retiring);
    g_hash_table_unref(cell->surplus_since);
    g_ptr_array_unref(cell->loads);
    wb_policy_free(cell->policy);
    wb_config_unref(cell->config);
    g_free(cell->name);
    g_free(cell);
}

void wb_cell_set_config(wb_cell_t *cell, wb_config_t *config) {
    wb_config_ref(config);
    wb_config_unref(cell->config);
    cell->config = config;
    cell_policy_load(cell);
}

static cell_engine_t *engine_get(wb_cell_t *cell, const char *id, const char *address,
                                 const char *zone, int64_t now_ms) {
    cell_engine_t *engine = g_hash_table_lookup(cell->engines, id);
    if (engine == NULL) {
        engine = g_new0(cell_engine_t, 1);
        engine->id = g_strdup(id);
        engine->address = g_strdup(address);
        engine->zone = g_strdup(zone);
        engine->reachable = TRUE;
        engine->retry_at_ms = now_ms;
        g_hash_table_insert(cell->engines, engine->id, engine);
    }
    return engine;
}

/* Adds the engines that the previous owner stored in the record. */
static void engines_from_record(wb_cell_t *cell, int64_t now_ms) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->record->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const wb_record_engine_t *recorded = value;
        cell_engine_t *engine =
            engine_get(cell, recorded->engine, recorded->address, recorded->zone, now_ms);
        engine->machine = (wb_machine_state_t)recorded->state;
    }
}

/* Stores the engine in the record, so that the next owner knows it before it reads the machine
 * list. */
static void engine_propose(wb_cell_t *cell, const cell_engine_t *engine) {
    const wb_record_engine_t *recorded = g_hash_table_lookup(cell->record->engines, engine->id);
    gboolean gone = engine->machine == WB_MACHINE_REMOVED;
    if (recorded == NULL ? gone : recorded->state == (unsigned)engine->machine)
        return;
    wb_wire_command command = {.kind = WB_WIRE_COMMAND_ENGINE};
    wb_wire_engine *wire = &command.wb_wire_command_u.engine;
    wire->engine = engine->id;
    wire->address = engine->address;
    wire->zone = engine->zone;
    wire->state = engine->machine;
    cell->events.propose(&command, cell->events.context);
}

void wb_cell_set_machine(wb_cell_t *cell, const char *id, const char *address, const char *zone,
                         wb_machine_state_t state, int64_t now_ms) {
    cell_engine_t *engine = engine_get(cell, id, address, zone, now_ms);
    /* States only advance: live, draining, removed. */
    engine->machine = MAX(engine->machine, state);
    engine_propose(cell, engine);
}

void wb_cell_set_machines_known(wb_cell_t *cell) {
    cell->machines_known = TRUE;
}

void wb_cell_set_committed(wb_cell_t *cell, uint64_t sequence) {
    cell->committed = MAX(cell->committed, sequence);
}

cell_demand_t cell_target_demand(const cell_target_t *target) {
    cell_demand_t demand = {0, 0, 0, target->used_ms};
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, target->gateways);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const cell_gateway_t *gateway = value;
        demand.waiting += gateway->waiting;
        demand.running += gateway->running;
        if (gateway->deadline_ms > 0 &&
            (demand.deadline_ms == 0 || gateway->deadline_ms < demand.deadline_ms))
            demand.deadline_ms = gateway->deadline_ms;
    }
    return demand;
}

cell_demand_t cell_model_demand(const wb_cell_t *cell, const char *model) {
    cell_demand_t demand = {0, 0, 0, 0};
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const cell_target_t *target = value;
        if (strcmp(target->model, model) != 0)
            continue;
        cell_demand_t part = cell_target_demand(target);
        demand.waiting += part.waiting;
        demand.running += part.running;
        demand.used_ms = MAX(demand.used_ms, part.used_ms);
        if (part.deadline_ms > 0 &&
            (demand.deadline_ms == 0 || part.deadline_ms < demand.deadline_ms))
            demand.deadline_ms = part.deadline_ms;
    }
    return demand;
}

const wb_held_model_t *cell_held_model(const cell_engine_t *engine, const char *model) {
    return engine->inventory != NULL ? wb_inventory_model(engine->inventory, model) : NULL;
}

gboolean cell_engine_is_usable(const cell_engine_t *engine) {
    return engine->machine == WB_MACHINE_LIVE && engine->reachable && engine->fenced &&
           engine->inventory != NULL && !engine->inventory->leaving;
}

gboolean cell_engine_is_orderable(const cell_engine_t *engine, int64_t now_ms) {
    return engine->machine != WB_MACHINE_REMOVED && engine->fenced && engine->settled &&
           engine->reachable && !engine->order_pending && engine->inventory != NULL &&
           now_ms >= engine->retry_at_ms;
}

static uint64_t fence_next(const wb_cell_t *cell, const cell_engine_t *engine) {
    return MAX(engine->last_fence, cell->epoch << 32) + 1;
}

void cell_order_send(wb_cell_t *cell, cell_engine_t *engine, wb_order_action_t action,
                     const char *model, const char *adapter, int64_t version, int64_t bytes) {
    wb_order_t order = {action, engine->id, engine->address, fence_next(cell, engine),
                        model,  adapter,    version,         bytes};
    engine->last_fence = order.fence;
    engine->order_pending = TRUE;
    engine->order_action = action;
    if (action == WB_ORDER_LOAD && adapter != NULL)
        engine->ordered_bytes = bytes;
    cell->events.order(&order, cell->events.context);
}

static void inventory_update(wb_cell_t *cell, cell_engine_t *engine, wb_inventory_t *inventory,
                             int64_t now_ms) {
    gboolean older = engine->inventory != NULL && inventory->sequence < engine->inventory->sequence;
    if (older) {
        wb_inventory_free(inventory);
        return;
    }
    wb_inventory_free(engine->inventory);
    engine->inventory = inventory;
    cell_loads_observe(cell, engine, now_ms);
}

void wb_cell_order_done(wb_cell_t *cell, const char *id, uint64_t fence, wb_order_outcome_t outcome,
                        wb_inventory_t *inventory, int64_t now_ms) {
    cell_engine_t *engine = g_hash_table_lookup(cell->engines, id);
    if (engine == NULL || !engine->order_pending || fence != engine->last_fence) {
        wb_inventory_free(inventory);
        return;
    }
    engine->order_pending = FALSE;
    if (inventory != NULL)
        inventory_update(cell, engine, inventory, now_ms);
    switch (outcome) {
    case WB_ORDER_ACCEPTED:
        engine->fenced = TRUE;
        engine->settled = TRUE;
        engine->ordered_bytes = 0;
        break;
    case WB_ORDER_REFUSED:
        engine->settled = TRUE;
        engine->ordered_bytes = 0;
        engine->retry_at_ms = now_ms + ORDER_RETRY_MS;
        break;
    case WB_ORDER_STALE:
        /* Either an earlier order of this owner arrived late, or an owner with a higher epoch has
         * taken over; then the engine rejects all further orders of this one. */
        engine->fenced = FALSE;
        engine->settled = FALSE;
        engine->retry_at_ms = now_ms + ORDER_RETRY_MS;
        break;
    case WB_ORDER_NO_RESPONSE:
        engine->settled = FALSE;
        engine->retry_at_ms = now_ms + ORDER_RETRY_MS;
        break;
    }
}

void wb_cell_update_inventory(wb_cell_t *cell, wb_inventory_t *inventory, int64_t now_ms) {
    cell_engine_t *engine = g_hash_table_lookup(cell->engines, inventory->engine);
    if (engine == NULL || engine->inventory == NULL) {
        wb_inventory_free(inventory);
        return;
    }
    inventory_update(cell, engine, inventory, now_ms);
}

void wb_cell_set_engine_reachable(wb_cell_t *cell, const char *id, gboolean reachable) {
    cell_engine_t *engine = g_hash_table_lookup(cell->engines, id);
    if (engine != NULL)
        engine->reachable = reachable;
}

void wb_cell_update_demand(wb_cell_t *cell, const wb_demand_t *demand, int64_t now_ms) {
    char pair[CELL_PAIR_SIZE];
    cell_pair(pair, demand->model, demand->adapter);
    cell_target_t *target = g_hash_table_lookup(cell->targets, pair);
    if (target == NULL) {
        target = g_new0(cell_target_t, 1);
        target->model = g_strdup(demand->model);
        target->adapter = g_strdup(demand->adapter);
        target->used_ms = now_ms;
        target->gateways = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, gateway_free);
        g_hash_table_insert(cell->targets, g_strdup(pair), target);
    }
    cell_gateway_t *gateway = g_hash_table_lookup(target->gateways, demand->node);
    if (gateway == NULL) {
        gateway = g_new0(cell_gateway_t, 1);
        gateway->node = g_strdup(demand->node);
        g_hash_table_insert(target->gateways, gateway->node, gateway);
    }
    gateway->waiting = demand->waiting;
    gateway->running = demand->running;
    gateway->demand_received_ms = now_ms;
    gateway->deadline_ms =
        demand->earliest_deadline_ms > 0 ? now_ms + demand->earliest_deadline_ms : 0;
    if (demand->waiting + demand->running > 0)
        target->used_ms = now_ms;
    wb_cell_step(cell, now_ms);
    cell_route_send(cell, target, gateway, TRUE, now_ms);
}

void wb_cell_remove_gateway(wb_cell_t *cell, const char *node) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        g_hash_table_remove(((cell_target_t *)value)->gateways, node);
}

void wb_cell_each_engine(const wb_cell_t *cell,
                         void (*visit)(const char *engine, const char *address, void *context),
                         void *context) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const cell_engine_t *engine = value;
        if (engine->machine != WB_MACHINE_REMOVED)
            visit(engine->id, engine->address, context);
    }
}
