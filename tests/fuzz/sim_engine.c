/* Simulated engines, and the oracle that inspects them. */
#include "world_types.h"

#include <string.h>

#define CAPACITY_BYTES (100 * WB_MIB)

void engine_add(world_t *world) {
    if (world->engine_count == MAX_ENGINES)
        return;
    sim_engine_t *engine = &world->engines[world->engine_count];
    g_snprintf(engine->id, sizeof(engine->id), "e%d", world->engine_count++);
    engine->capacity_bytes = CAPACITY_BYTES;
    engine->inventory = wb_inventory_create(engine->id);
    engine->loads = g_ptr_array_new_with_free_func(g_free);
    engine->streams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void engine_clear(sim_engine_t *engine) {
    wb_inventory_free(engine->inventory);
    g_ptr_array_unref(engine->loads);
    g_hash_table_unref(engine->streams);
}

/* An engine dies or starts draining; a new one is added. */
void engine_fail(world_t *world) {
    sim_engine_t *engine = &world->engines[world_choose(world, (guint)world->engine_count)];
    if (engine->dead)
        return;
    if (world_chance(world, 40))
        engine->draining = TRUE;
    else {
        engine->dead = TRUE;
        engine->died_ms = world->now_ms;
    }
    engine_add(world);
}

sim_engine_t *engine_find(world_t *world, const char *id) {
    for (int i = 0; i < world->engine_count; i++)
        if (strcmp(world->engines[i].id, id) == 0)
            return &world->engines[i];
    return NULL;
}

static int64_t memory_used(const sim_engine_t *engine) {
    int64_t used = 0;
    GHashTableIter models, adapters;
    gpointer model, adapter;
    g_hash_table_iter_init(&models, engine->inventory->models);
    while (g_hash_table_iter_next(&models, NULL, &model)) {
        used += ((wb_held_model_t *)model)->bytes;
        g_hash_table_iter_init(&adapters, ((wb_held_model_t *)model)->adapters);
        while (g_hash_table_iter_next(&adapters, NULL, &adapter))
            used += ((wb_held_adapter_t *)adapter)->bytes;
    }
    return used;
}

static wb_inventory_t *inventory_copy(const sim_engine_t *engine) {
    wb_inventory_t *copy = wb_inventory_create(engine->id);
    copy->fence = engine->fence;
    copy->sequence = engine->sequence;
    copy->capacity_bytes = engine->capacity_bytes;
    copy->used_bytes = memory_used(engine);
    copy->leaving = engine->draining;
    copy->batch = 8;
    GHashTableIter models, adapters;
    gpointer value, held;
    g_hash_table_iter_init(&models, engine->inventory->models);
    while (g_hash_table_iter_next(&models, NULL, &value)) {
        const wb_held_model_t *model = value;
        wb_held_model_t *added =
            wb_inventory_add_model(copy, model->name, model->bytes, model->state);
        g_hash_table_iter_init(&adapters, model->adapters);
        while (g_hash_table_iter_next(&adapters, NULL, &held)) {
            const wb_held_adapter_t *adapter = held;
            wb_held_model_add_adapter(added, adapter->name, adapter->bytes, adapter->state);
        }
    }
    return copy;
}

static void load_begin(world_t *world, sim_engine_t *engine, const event_t *event) {
    sim_load_t *load = g_new0(sim_load_t, 1);
    g_strlcpy(load->model, event->model, sizeof(load->model));
    g_strlcpy(load->adapter, event->adapter, sizeof(load->adapter));
    load->done_ms = world->now_ms + 20 + world_choose(world, 250) * 4;
    g_ptr_array_add(engine->loads, load);
    world->counters->loads++;
}

/* Returns FALSE when the engine can't execute the order. */
static gboolean load_accept(world_t *world, sim_engine_t *engine, const event_t *event) {
    gboolean of_adapter = *event->adapter != '\0';
    wb_held_model_t *model = g_hash_table_lookup(engine->inventory->models, event->model);
    if (!of_adapter && model != NULL)
        return model->state != WB_LOAD_UNLOADING;
    if (of_adapter && (model == NULL || model->state != WB_LOAD_LOADED))
        return FALSE;
    if (of_adapter && g_hash_table_contains(model->adapters, event->adapter))
        return TRUE;
    if (memory_used(engine) + event->bytes_needed > engine->capacity_bytes) {
        world->fault = "an order would have exceeded accelerator memory";
        return FALSE;
    }
    if (of_adapter)
        wb_held_model_add_adapter(model, event->adapter, event->bytes_needed, WB_LOAD_LOADING);
    else
        wb_inventory_add_model(engine->inventory, event->model, event->bytes_needed,
                               WB_LOAD_LOADING);
    load_begin(world, engine, event);
    return TRUE;
}

static void unload_accept(sim_engine_t *engine, const event_t *event) {
    wb_held_model_t *model = g_hash_table_lookup(engine->inventory->models, event->model);
    if (model == NULL)
        return;
    if (*event->adapter != '\0')
        g_hash_table_remove(model->adapters, event->adapter);
    else
        g_hash_table_remove(engine->inventory->models, event->model);
}

static wb_order_outcome_t order_accept(world_t *world, sim_engine_t *engine, const event_t *event) {
    gboolean newer = event->fence > engine->fence;
    if (!newer && !(event->action == WB_ORDER_FENCE && event->fence == engine->fence)) {
        world->counters->stale_orders++;
        return WB_ORDER_STALE;
    }
    engine->fence = event->fence;
    engine->sequence++;
    if (event->action == WB_ORDER_LOAD && !load_accept(world, engine, event))
        return WB_ORDER_REFUSED;
    if (event->action == WB_ORDER_UNLOAD)
        unload_accept(engine, event);
    return WB_ORDER_ACCEPTED;
}

/* Delivers the order after its sender has timed out. */
static void order_deliver_late(world_t *world, const event_t *event) {
    event_t *late = event_add(world, EVENT_ORDER, 200 + world_choose(world, 250) * 10);
    int64_t at_ms = late->at_ms;
    *late = *event;
    late->at_ms = at_ms;
    late->sender_timed_out = TRUE;
}

void engine_receive_order(world_t *world, const event_t *event) {
    sim_engine_t *engine = engine_find(world, event->to);
    gboolean alive = engine != NULL && !engine->dead;
    if (event->sender_timed_out) {
        if (alive)
            order_accept(world, engine, event);
        return;
    }
    gboolean arrives = alive && !event->lost_in_transit;
    event_t *response = event_add(world, EVENT_ORDER_RESPONSE, 1 + world_choose(world, 60));
    g_strlcpy(response->from, event->to, sizeof(response->from));
    g_strlcpy(response->to, event->from, sizeof(response->to));
    response->fence = event->fence;
    response->outcome = arrives ? order_accept(world, engine, event) : WB_ORDER_NO_RESPONSE;
    if (arrives && world_chance(world, world->loss_percent))
        response->outcome =
            WB_ORDER_NO_RESPONSE; /* the order took effect, but the response is lost */
    if (response->outcome != WB_ORDER_NO_RESPONSE)
        response->inventory = inventory_copy(engine);
    if (alive && event->lost_in_transit && world_chance(world, 50))
        order_deliver_late(world, event);
}

static void load_finish(sim_engine_t *engine, const sim_load_t *load) {
    wb_held_model_t *model = g_hash_table_lookup(engine->inventory->models, load->model);
    if (model == NULL)
        return;
    wb_held_adapter_t *adapter =
        *load->adapter != '\0' ? g_hash_table_lookup(model->adapters, load->adapter) : NULL;
    if (adapter != NULL)
        adapter->state = WB_LOAD_LOADED;
    else if (*load->adapter == '\0')
        model->state = WB_LOAD_LOADED;
    engine->sequence++;
}

/* Reports the inventory to each node that owns the cell, at random intervals. */
static void inventory_report(world_t *world, const sim_engine_t *engine) {
    for (int i = 0; i < NODES; i++) {
        sim_node_t *node = &world->nodes[i];
        if (node->cell != NULL && !node->frozen && world_chance(world, 20))
            wb_cell_update_inventory(node->cell, inventory_copy(engine), world->now_ms);
    }
}

void engines_tick(world_t *world) {
    for (int i = 0; i < world->engine_count; i++) {
        sim_engine_t *engine = &world->engines[i];
        for (guint j = engine->loads->len; j-- > 0;) {
            const sim_load_t *load = engine->loads->pdata[j];
            if (load->done_ms > world->now_ms)
                continue;
            load_finish(engine, load);
            g_ptr_array_remove_index_fast(engine->loads, j);
        }
        if (!engine->dead)
            inventory_report(world, engine);
    }
}

void engine_receive_request(world_t *world, const event_t *event) {
    sim_engine_t *engine = engine_find(world, event->to);
    if (engine == NULL || engine->dead ||
        !g_hash_table_add(engine->streams, g_strdup(event->stream)))
        return;
    world->counters->runs++;
    if (!g_hash_table_add(world->keys_run, g_strdup(event->key)))
        world->fault = "a key ran twice";
}

static guint replicas_held(const world_t *world, const char *model) {
    guint count = 0;
    for (int i = 0; i < world->engine_count; i++)
        if (!world->engines[i].dead &&
            wb_inventory_model(world->engines[i].inventory, model) != NULL)
            count++;
    return count;
}

/* Invariants: no model has more than max_replicas replicas and no engine exceeds its memory.
 * engine_receive_request and load_accept record further violations in world->fault. */
const char *oracle_check(world_t *world) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, world->config->models);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const wb_model_t *model = value;
        if ((int64_t)replicas_held(world, model->name) > model->max_replicas)
            world->fault = "more replicas than decided";
    }
    for (int i = 0; i < world->engine_count; i++)
        if (memory_used(&world->engines[i]) > world->engines[i].capacity_bytes)
            world->fault = "accelerator memory is overcommitted";
    return world->fault;
}
