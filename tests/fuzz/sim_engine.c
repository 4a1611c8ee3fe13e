/* Simulated engines, and the oracle that looks at them. */
#include "world_types.h"

#include <string.h>

#define CAPACITY_BYTES (100 * WB_MIB)

void engine_add(world_t *world) {
    if (world->engine_count == MOST_ENGINES)
        return;
    sim_engine_t *engine = &world->engines[world->engine_count];
    g_snprintf(engine->id, sizeof(engine->id), "e%d", world->engine_count++);
    engine->capacity_bytes = CAPACITY_BYTES;
    engine->held = wb_inventory_create(engine->id);
    engine->loads = g_ptr_array_new_with_free_func(g_free);
    engine->streams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void engine_clear(sim_engine_t *engine) {
    wb_inventory_free(engine->held);
    g_ptr_array_unref(engine->loads);
    g_hash_table_unref(engine->streams);
}

/* A machine is reclaimed, or says that it will leave; another one comes. */
void engine_fail(world_t *world) {
    sim_engine_t *engine = &world->engines[world_choose(world, (guint)world->engine_count)];
    if (engine->dead)
        return;
    if (world_chance(world, 40))
        engine->leaving = TRUE;
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
    g_hash_table_iter_init(&models, engine->held->models);
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
    copy->leaving = engine->leaving;
    copy->batch = 8;
    GHashTableIter models, adapters;
    gpointer value, held;
    g_hash_table_iter_init(&models, engine->held->models);
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
    world->figures->loads++;
}

/* Returns FALSE when the engine can't carry the order out. */
static gboolean load_take(world_t *world, sim_engine_t *engine, const event_t *event) {
    gboolean of_adapter = *event->adapter != '\0';
    wb_held_model_t *model = g_hash_table_lookup(engine->held->models, event->model);
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
        wb_inventory_add_model(engine->held, event->model, event->bytes_needed, WB_LOAD_LOADING);
    load_begin(world, engine, event);
    return TRUE;
}

static void unload_take(sim_engine_t *engine, const event_t *event) {
    wb_held_model_t *model = g_hash_table_lookup(engine->held->models, event->model);
    if (model == NULL)
        return;
    if (*event->adapter != '\0')
        g_hash_table_remove(model->adapters, event->adapter);
    else
        g_hash_table_remove(engine->held->models, event->model);
}

static wb_order_outcome_t order_take(world_t *world, sim_engine_t *engine, const event_t *event) {
    gboolean newer = event->fence > engine->fence;
    if (!newer && !(event->action == WB_ORDER_FENCE && event->fence == engine->fence)) {
        world->figures->stale_orders++;
        return WB_ORDER_STALE;
    }
    engine->fence = event->fence;
    engine->sequence++;
    if (event->action == WB_ORDER_LOAD && !load_take(world, engine, event))
        return WB_ORDER_REFUSED;
    if (event->action == WB_ORDER_UNLOAD)
        unload_take(engine, event);
    return WB_ORDER_ACCEPTED;
}

/* The sender has given up, and the order is still on its way. */
static void order_delay(world_t *world, const event_t *event) {
    event_t *late = event_add(world, EVENT_ORDER, 200 + world_choose(world, 250) * 10);
    int64_t at_ms = late->at_ms;
    *late = *event;
    late->at_ms = at_ms;
    late->is_late = TRUE;
}

void engine_order(world_t *world, const event_t *event) {
    sim_engine_t *engine = engine_find(world, event->to);
    gboolean alive = engine != NULL && !engine->dead;
    if (event->is_late) {
        if (alive)
            order_take(world, engine, event);
        return;
    }
    gboolean arrives = alive && !event->lost_on_the_way;
    event_t *answer = event_add(world, EVENT_ORDER_ANSWER, 1 + world_choose(world, 60));
    g_strlcpy(answer->from, event->to, sizeof(answer->from));
    g_strlcpy(answer->to, event->from, sizeof(answer->to));
    answer->fence = event->fence;
    answer->outcome = arrives ? order_take(world, engine, event) : WB_ORDER_NO_RESPONSE;
    if (arrives && world_chance(world, world->loss_percent))
        answer->outcome = WB_ORDER_NO_RESPONSE; /* it took effect, and the answer is lost */
    if (answer->outcome != WB_ORDER_NO_RESPONSE)
        answer->inventory = inventory_copy(engine);
    if (alive && event->lost_on_the_way && world_chance(world, 50))
        order_delay(world, event);
}

static void load_finish(sim_engine_t *engine, const sim_load_t *load) {
    wb_held_model_t *model = g_hash_table_lookup(engine->held->models, load->model);
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

/* Owners that reach an engine see its inventory now and then. */
static void inventory_tell(world_t *world, const sim_engine_t *engine) {
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
            inventory_tell(world, engine);
    }
}

void engine_run(world_t *world, const event_t *event) {
    sim_engine_t *engine = engine_find(world, event->to);
    if (engine == NULL || engine->dead ||
        !g_hash_table_add(engine->streams, g_strdup(event->stream)))
        return;
    world->figures->runs++;
    if (!g_hash_table_add(world->ran, g_strdup(event->key)))
        world->fault = "a key ran twice";
}

static guint replicas_held(const world_t *world, const char *model) {
    guint count = 0;
    for (int i = 0; i < world->engine_count; i++)
        if (!world->engines[i].dead && wb_inventory_model(world->engines[i].held, model) != NULL)
            count++;
    return count;
}

/* The promises, as seen at the engines. */
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
