/* The table's row and the rules by which nodes found groups and change members, in short form.
 * src/cell/cell_bootstrap.c is the real one; it reads and writes the row over HTTP. */
#include "world_types.h"

#include <string.h>

#define MAINTAIN_MS 200
#define UNSURE_MS 1000000 /* longer than a run: a lost claim is never forgotten too early here */

static gboolean row_has(const world_t *world, const char *name) {
    return g_ptr_array_find_with_equal_func(world->row_members, name, g_str_equal, NULL);
}

static gboolean others_are_gone(const world_t *world, const char *self) {
    for (guint i = 0; i < world->row_members->len; i++) {
        const char *name = world->row_members->pdata[i];
        if (strcmp(name, self) != 0 && !node_is_gone(world, name))
            return FALSE;
    }
    return TRUE;
}

static gboolean majority_is_gone(const world_t *world) {
    guint gone = 0;
    for (guint i = 0; i < world->row_members->len; i++)
        if (node_is_gone(world, world->row_members->pdata[i]))
            gone++;
    return world->row_members->len - gone < world->row_members->len / 2 + 1;
}

static void row_write(world_t *world, const GPtrArray *members) {
    world->row_generation++;
    g_ptr_array_set_size(world->row_members, 0);
    for (guint i = 0; i < members->len; i++)
        g_ptr_array_add(world->row_members, g_strdup(members->pdata[i]));
}

static void members_choose(world_t *world, const char *first, GPtrArray *members) {
    g_ptr_array_add(members, g_strdup(first));
    guint start = world_choose(world, NODES);
    for (guint i = 0; i < NODES && members->len < GROUP_SIZE; i++) {
        const sim_node_t *node = &world->nodes[(start + i) % NODES];
        if (!g_ptr_array_find_with_equal_func(members, node->name, g_str_equal, NULL))
            g_ptr_array_add(members, g_strdup(node->name));
    }
}

static wb_record_t *record_copy(wb_group_t *group, int64_t now_ms) {
    wb_record_t *known = wb_group_record(group);
    if (known == NULL)
        return wb_record_create();
    wb_wire_record wire;
    wb_record_to_wire(known, &wire, now_ms);
    wb_record_t *copy = wb_record_from_wire(&wire, now_ms);
    wb_record_wire_clear(&wire);
    return copy;
}

void founding_try(world_t *world, sim_node_t *node) {
    if (node->frozen || (node->group != NULL && wb_group_owner(node->group) != NULL))
        return;
    gboolean again = world->row_members->len > 0;
    if (again && !(majority_is_gone(world) && others_are_gone(world, node->name)))
        return;
    wb_group_t *group = node_group(node);
    uint64_t era = world->row_era + 1;
    if (row_has(world, node->name))
        wb_group_promise_epoch(group, era << WB_GROUP_ERA_SHIFT);
    g_autoptr(GPtrArray) members = g_ptr_array_new_with_free_func(g_free);
    members_choose(world, node->name, members);
    row_write(world, members);
    world->row_era = era;
    if (world_chance(world, 10))
        return; /* killed or cut off behind the transaction: the row stands, nobody acts on it */
    wb_record_t *record = record_copy(group, world->now_ms);
    if (again) {
        record->slots_unverified = TRUE;
        record->claims_incomplete_until_ms = world->now_ms + UNSURE_MS;
    }
    world->figures->foundings++;
    wb_group_bootstrap(group, record, members, world->row_generation, (era << WB_GROUP_ERA_SHIFT) | 1,
                   world->now_ms);
}

/* One step: a lost member goes, or another comes. */
static gboolean members_next(sim_node_t *node, GPtrArray *next) {
    world_t *world = node->world;
    const wb_record_t *record = wb_group_record(node->group);
    gboolean lost = FALSE;
    for (guint i = 0; i < record->members->len; i++) {
        const char *name = record->members->pdata[i];
        int index = node_index(world, name);
        gboolean down = index < 0 || (world->nodes[index].frozen && world_chance(world, 30));
        if (!lost && down && strcmp(name, node->name) != 0)
            lost = TRUE;
        else
            g_ptr_array_add(next, g_strdup(name));
    }
    if (lost)
        return TRUE;
    if (next->len >= GROUP_SIZE)
        return FALSE;
    const sim_node_t *other = &world->nodes[world_choose(world, NODES)];
    if (g_ptr_array_find_with_equal_func(next, other->name, g_str_equal, NULL))
        return FALSE;
    g_ptr_array_add(next, g_strdup(other->name));
    return TRUE;
}

void members_maintain(sim_node_t *node) {
    world_t *world = node->world;
    if (world->now_ms - node->maintained_ms < MAINTAIN_MS ||
        world->row_era != wb_group_epoch(node->group) >> WB_GROUP_ERA_SHIFT ||
        wb_group_committed(node->group) != wb_group_sequence(node->group))
        return;
    node->maintained_ms = world->now_ms;
    g_autoptr(GPtrArray) next = g_ptr_array_new_with_free_func(g_free);
    if (!members_next(node, next))
        return;
    row_write(world, next);
    if (world_chance(world, 10))
        return;
    wb_wire_command command = {.kind = WB_WIRE_COMMAND_MEMBERS};
    wb_wire_members *members = &command.wb_wire_command_u.members;
    members->generation = world->row_generation;
    members->names.names_len = next->len;
    members->names.names_val = (wb_wire_name *)next->pdata;
    wb_group_propose(node->group, &command, world->now_ms);
}
