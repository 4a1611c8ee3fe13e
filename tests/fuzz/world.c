/* Main loop of the simulated cluster: nodes, network, demand and failures. */
#include "world_types.h"

#include <stdio.h>
#include <string.h>

guint world_choose(world_t *world, guint limit) {
    if (world->used < world->size)
        return world->data[world->used++] % limit;
    return g_rand_int_range(world->random, 0, (gint32)limit);
}

gboolean world_chance(world_t *world, guint percent) {
    return world_choose(world, 100) < percent;
}

int node_index(const world_t *world, const char *name) {
    for (int i = 0; i < NODES; i++)
        if (strcmp(world->nodes[i].name, name) == 0)
            return i;
    return -1;
}

static void event_free(gpointer data) {
    event_t *event = data;
    if (event->bytes != NULL)
        g_byte_array_unref(event->bytes);
    wb_inventory_free(event->inventory);
    g_free(event);
}

event_t *event_add(world_t *world, event_kind_t kind, int64_t delay_ms) {
    event_t *event = g_new0(event_t, 1);
    event->kind = kind;
    event->at_ms = world->now_ms + delay_ms;
    g_ptr_array_add(world->events, event);
    return event;
}

/* Messages may be delayed, lost, reordered or duplicated. */
static void group_send(const char *to, const wb_wire_message *message, void *context) {
    sim_node_t *node = context;
    world_t *world = node->world;
    if (world_chance(world, world->loss_percent))
        return;
    int copies = world_chance(world, 3) ? 2 : 1;
    for (int i = 0; i < copies; i++) {
        event_t *event = event_add(world, EVENT_MESSAGE, 1 + world_choose(world, 60));
        event->bytes = g_byte_array_new();
        wb_message_encode(message, event->bytes, NULL);
        g_strlcpy(event->from, node->name, sizeof(event->from));
        g_strlcpy(event->to, to, sizeof(event->to));
    }
}

static uint64_t cell_propose(const wb_wire_command *command, void *context) {
    sim_node_t *node = context;
    return wb_group_propose(node->group, command, node->world->now_ms);
}

static void cell_order(const wb_order_t *order, void *context) {
    sim_node_t *node = context;
    world_t *world = node->world;
    event_t *event = event_add(world, EVENT_ORDER, 1 + world_choose(world, 80));
    event->lost_in_transit = world_chance(world, world->loss_percent);
    event->action = order->action;
    event->fence = order->fence;
    event->bytes_needed = order->bytes;
    event->version = order->version;
    g_strlcpy(event->from, node->name, sizeof(event->from));
    g_strlcpy(event->to, order->engine, sizeof(event->to));
    g_strlcpy(event->model, order->model != NULL ? order->model : "", sizeof(event->model));
    g_strlcpy(event->adapter, order->adapter != NULL ? order->adapter : "", sizeof(event->adapter));
}

static void cell_send_route(const char *gateway, const wb_route_t *route, void *context) {
    (void)gateway;
    sim_node_t *node = context;
    if (route->state == WB_ROUTE_READY)
        node->world->counters->served++;
}

static void machines_report(world_t *world, sim_node_t *node) {
    for (int i = 0; i < world->engine_count; i++) {
        const sim_engine_t *engine = &world->engines[i];
        wb_machine_state_t state = engine->draining ? WB_MACHINE_DRAINING : WB_MACHINE_LIVE;
        if (engine->dead && world->now_ms - engine->died_ms > MACHINE_LIST_LAG_MS)
            state = WB_MACHINE_REMOVED;
        wb_cell_set_machine(node->cell, engine->id, "address", i % 2 ? "a" : "b", state,
                            world->now_ms);
    }
    wb_cell_set_machines_known(node->cell);
}

static void group_owner(uint64_t epoch, void *context) {
    sim_node_t *node = context;
    world_t *world = node->world;
    wb_cell_options_t options = {"service/0", 4, 100, 50, 10};
    wb_cell_events_t events = {cell_propose, cell_order, cell_send_route, node};
    world->counters->owners++;
    node->cell =
        wb_cell_create(&options, wb_group_record(node->group), epoch, &events, world->now_ms);
    wb_cell_set_committed(node->cell, wb_group_committed(node->group));
    wb_cell_set_config(node->cell, world->config);
}

static void group_lost(void *context) {
    sim_node_t *node = context;
    wb_cell_free(node->cell);
    node->cell = NULL;
    claims_lost(node);
}

static void group_commit(uint64_t sequence, void *context) {
    sim_node_t *node = context;
    if (node->cell == NULL)
        return;
    wb_cell_set_committed(node->cell, sequence);
    claims_committed(node, sequence);
}

wb_group_t *node_ensure_group(sim_node_t *node) {
    if (node->group != NULL)
        return node->group;
    wb_group_options_t options = {"service/0", node->name, 100, 400,
                                  world_choose(node->world, 256)};
    wb_group_events_t events = {group_send, group_owner, group_lost, group_commit, node};
    node->group = wb_group_create(&options, &events, node->world->now_ms);
    return node->group;
}

static void node_clear(sim_node_t *node) {
    if (node->cell != NULL)
        wb_cell_free(node->cell);
    if (node->group != NULL)
        wb_group_free(node->group);
    claims_clear(node);
    node->cell = NULL;
    node->group = NULL;
}

/* Kills a node process and starts another in its place under a new name. */
static void node_replace(world_t *world, int index) {
    sim_node_t *node = &world->nodes[index];
    g_hash_table_insert(world->killed_nodes, g_strdup(node->name),
                        g_memdup2(&world->now_ms, sizeof(world->now_ms)));
    node_clear(node);
    memset(node, 0, sizeof(*node));
    node->world = world;
    g_queue_init(&node->pending_claims);
    g_snprintf(node->name, sizeof(node->name), "n%d~%d", index, ++world->node_names_used);
}

gboolean node_is_removed(const world_t *world, const char *name) {
    const int64_t *died_ms = g_hash_table_lookup(world->killed_nodes, name);
    return died_ms != NULL && world->now_ms - *died_ms > MACHINE_LIST_LAG_MS;
}

static void message_deliver(world_t *world, const event_t *event) {
    int index = node_index(world, event->to);
    if (index < 0)
        return;
    sim_node_t *node = &world->nodes[index];
    int from = node_index(world, event->from);
    if (from >= 0 && (world->cut[from][index] || world->cut[index][from]))
        return;
    wb_wire_message message;
    if (wb_message_decode(event->bytes->data + 4, event->bytes->len - 4, &message, NULL) !=
        APR_SUCCESS)
        g_error("a message that was sent can't be read");
    if (message.kind == WB_WIRE_GROUP_STATE)
        node_ensure_group(node);
    if (node->group != NULL)
        wb_group_on_message(node->group, event->from, &message, world->now_ms);
    wb_message_clear(&message);
}

static void order_response_deliver(world_t *world, event_t *event) {
    int index = node_index(world, event->to);
    sim_node_t *node = index >= 0 ? &world->nodes[index] : NULL;
    if (node == NULL || node->cell == NULL)
        return;
    wb_cell_order_done(node->cell, event->from, event->fence, event->outcome,
                       g_steal_pointer(&event->inventory), world->now_ms);
    wb_cell_step(node->cell, world->now_ms);
}

/* Events for a frozen node are delivered once it resumes. */
static gboolean event_is_deferred(const world_t *world, const event_t *event) {
    if (event->kind == EVENT_ORDER || event->kind == EVENT_REQUEST)
        return FALSE;
    int index = node_index(world, event->to);
    return index >= 0 && world->nodes[index].frozen;
}

static void event_deliver(world_t *world, event_t *event) {
    switch (event->kind) {
    case EVENT_MESSAGE:
        message_deliver(world, event);
        break;
    case EVENT_ORDER:
        engine_receive_order(world, event);
        break;
    case EVENT_ORDER_RESPONSE:
        order_response_deliver(world, event);
        break;
    case EVENT_REQUEST:
        engine_receive_request(world, event);
        break;
    }
}

static void events_deliver(world_t *world) {
    for (;;) {
        guint best = world->events->len;
        for (guint i = 0; i < world->events->len; i++) {
            const event_t *event = world->events->pdata[i];
            if (event->at_ms > world->now_ms || event_is_deferred(world, event))
                continue;
            if (best == world->events->len ||
                event->at_ms < ((event_t *)world->events->pdata[best])->at_ms)
                best = i;
        }
        if (best == world->events->len)
            return;
        event_t *event = g_ptr_array_steal_index_fast(world->events, best);
        event_deliver(world, event);
        event_free(event);
    }
}

static void time_advance(world_t *world) {
    static const int64_t steps_ms[] = {1, 5, 20, 20, 50, 50, 100, 300};
    world->now_ms += steps_ms[world_choose(world, G_N_ELEMENTS(steps_ms))];
    engines_tick(world);
    events_deliver(world);
    for (int i = 0; i < NODES; i++) {
        sim_node_t *node = &world->nodes[i];
        if (node->frozen || node->group == NULL)
            continue;
        wb_group_tick(node->group, world->now_ms);
        if (node->cell != NULL) {
            machines_report(world, node);
            members_maintain(node);
            wb_cell_step(node->cell, world->now_ms);
        }
    }
}

/* A gateway sends demand to a node that believes it is the owner, possibly a former owner. */
static void demand_create(world_t *world) {
    sim_node_t *node = &world->nodes[world_choose(world, NODES)];
    if (node->cell == NULL || node->frozen)
        return;
    guint model = world_choose(world, MODELS);
    g_autofree char *name = g_strdup_printf("m%u", model);
    g_autofree char *gateway = g_strdup_printf("g%u", world_choose(world, 3));
    wb_demand_t demand = {gateway,
                          name,
                          world_chance(world, 20) && model == 0 ? "a0" : "",
                          (int)world_choose(world, 40),
                          (int)world_choose(world, 4),
                          0};
    wb_cell_update_demand(node->cell, &demand, world->now_ms);
}

static void failure_inject(world_t *world) {
    sim_node_t *node = &world->nodes[world_choose(world, NODES)];
    switch (world_choose(world, 8)) {
    case 0:
        node->frozen = TRUE;
        break;
    case 1:
    case 2:
        node->frozen = FALSE;
        break;
    case 3:
        if (world_chance(world, 30))
            node_replace(world, (int)(node - world->nodes));
        break;
    case 4: {
        guint from = world_choose(world, NODES), to = world_choose(world, NODES);
        world->cut[from][to] = world_chance(world, 40);
        break;
    }
    case 5:
        memset(world->cut, 0, sizeof(world->cut));
        break;
    case 6:
        world->loss_percent = world_chance(world, 60) ? 0 : world_choose(world, 30);
        break;
    case 7:
        if (world_chance(world, 25))
            engine_fail(world);
        break;
    }
}

static wb_config_t *config_create(void) {
    json_t *objects = json_pack("{s:{s:i}, s:{s:s, s:i}}", "service/service", "keep_alive_ms", 800,
                                "adapter/a0", "model", "m0", "memory_mib", 5);
    for (int i = 0; i < MODELS; i++) {
        g_autofree char *key = g_strdup_printf("model/m%d", i);
        json_object_set_new(objects, key,
                            json_pack("{s:s, s:i, s:i, s:i}", "service", "service", "memory_mib",
                                      20 + 10 * i, "max_replicas", 1 + i % 2, "min_replicas",
                                      i == 1 ? 1 : 0));
    }
    wb_config_t *config = NULL;
    wb_error_t error;
    if (wb_config_parse(objects, 1, &config, NULL, &error) != APR_SUCCESS)
        g_error("%s", error.message);
    json_decref(objects);
    return config;
}

static void world_init(world_t *world) {
    world->now_ms = 1000000;
    world->config = config_create();
    world->events = g_ptr_array_new_with_free_func(event_free);
    world->killed_nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    world->keys_run = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    world->row_members = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < NODES; i++) {
        world->nodes[i].world = world;
        g_queue_init(&world->nodes[i].pending_claims);
        g_snprintf(world->nodes[i].name, sizeof(world->nodes[i].name), "n%d~0", i);
    }
    for (int i = 0; i < ENGINES; i++)
        engine_add(world);
}

static void world_clear(world_t *world) {
    for (int i = 0; i < NODES; i++)
        node_clear(&world->nodes[i]);
    for (int i = 0; i < world->engine_count; i++)
        engine_clear(&world->engines[i]);
    g_ptr_array_unref(world->events);
    g_hash_table_unref(world->killed_nodes);
    g_hash_table_unref(world->keys_run);
    g_ptr_array_unref(world->row_members);
    wb_config_unref(world->config);
    g_rand_free(world->random);
    g_free(world);
}

const char *simulation_run(const uint8_t *data, size_t size, guint32 seed, guint64 steps,
                           world_counters_t *counters) {
    world_t *world = g_new0(world_t, 1);
    world->data = data;
    world->size = size;
    world->random = g_rand_new_with_seed(seed);
    world->counters = counters;
    world_init(world);
    const char *fault = NULL;
    for (guint64 i = 0; fault == NULL && (steps > 0 ? i < steps : world->used < size); i++) {
        counters->steps++;
        guint choice = world_choose(world, 20);
        if (choice < 11)
            time_advance(world);
        else if (choice < 14)
            demand_create(world);
        else if (choice < 16)
            sim_claim_start(world);
        else if (choice < 17)
            founding_try(world, &world->nodes[world_choose(world, NODES)]);
        else
            failure_inject(world);
        fault = oracle_check(world);
    }
    world_clear(world);
    return fault;
}
