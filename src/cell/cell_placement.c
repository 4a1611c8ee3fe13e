/* Chooses the engine for a new replica, and what must go to make room for it. */
#include "cell_types.h"

#define GIB (1024.0 * 1024.0 * 1024.0)
#define ROOM_TIMEOUT_MS 30000
#define EVICTION_PENALTY_MS 200   /* an unload, and the evicted model's later return */
#define SAME_ZONE_PENALTY_MS 1000 /* a second replica in a zone that has one */
#define BUSY_PENALTY_MS 20        /* for each other model on the engine */

cell_source_t cell_source(const cell_engine_t *engine, const char *model) {
    if (engine->inventory == NULL)
        return SOURCE_REMOTE;
    if (g_hash_table_contains(engine->inventory->memory_copies, model))
        return SOURCE_MEMORY;
    if (g_hash_table_contains(engine->inventory->disk_copies, model))
        return SOURCE_DISK;
    return SOURCE_REMOTE;
}

int64_t cell_load_estimate_ms(const wb_cell_t *cell, const cell_engine_t *engine, const char *model,
                              int64_t bytes) {
    double gib = (double)bytes / GIB;
    return (int64_t)(gib * cell->ms_per_gib[cell_source(engine, model)]);
}

static int64_t adapters_bytes(const wb_held_model_t *held) {
    int64_t bytes = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, held->adapters);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        bytes += ((wb_held_adapter_t *)value)->bytes;
    return bytes;
}

/* Memory that is not spoken for: what the engine holds, and slots whose model is not there yet. */
int64_t cell_engine_free_bytes(const wb_cell_t *cell, const cell_engine_t *engine,
                               const char *except_model) {
    int64_t spoken_for = engine->ordered_bytes;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, engine->inventory->models);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const wb_held_model_t *held = value;
        spoken_for += held->bytes + adapters_bytes(held);
    }
    for (guint i = 0; i < cell->record->slots->len; i++) {
        const wb_slot_t *slot = cell->record->slots->pdata[i];
        if (strcmp(slot->engine, engine->id) != 0 || cell_held(engine, slot->model) != NULL)
            continue;
        const wb_model_t *model = wb_config_model(cell->config, slot->model);
        spoken_for += model != NULL ? model->memory_bytes : 0;
    }
    if (engine->room_for != NULL &&
        (except_model == NULL || strcmp(engine->room_for, except_model) != 0)) {
        const wb_model_t *model = wb_config_model(cell->config, engine->room_for);
        spoken_for += model != NULL ? model->memory_bytes : 0;
    }
    return engine->inventory->capacity_bytes - spoken_for;
}

gboolean cell_model_is_idle_at(const wb_cell_t *cell, const cell_engine_t *engine,
                               const char *model) {
    const wb_held_model_t *held = cell_held(engine, model);
    if (held != NULL && (held->running > 0 || held->state != WB_LOAD_LOADED))
        return FALSE;
    cell_busy_t busy = cell_model_busy(cell, model);
    return busy.waiting == 0 && busy.running == 0;
}

/* A model on an engine that may go to make room. */
typedef struct victim_t {
    const char *model;
    int64_t bytes;
    int64_t used_ms;
} victim_t;

static gint victim_compare(gconstpointer left, gconstpointer right) {
    const victim_t *a = left;
    const victim_t *b = right;
    return a->used_ms < b->used_ms ? -1 : a->used_ms > b->used_ms;
}

static gboolean may_be_evicted(const wb_cell_t *cell, const cell_engine_t *engine,
                               const char *name) {
    const wb_model_t *model = wb_config_model(cell->config, name);
    if (model != NULL && (int64_t)wb_record_slot_count(cell->record, name) <= model->min_replicas)
        return FALSE;
    char pair[CELL_PAIR_SIZE];
    return !g_hash_table_contains(cell->retiring, cell_pair(pair, name, engine->id)) &&
           cell_model_is_idle_at(cell, engine, name);
}

/* The idle models whose leaving makes enough room, least recently used first; NULL if they don't.
 */
static GArray *victims_find(const wb_cell_t *cell, const cell_engine_t *engine, int64_t missing) {
    GArray *victims = g_array_new(FALSE, TRUE, sizeof(victim_t));
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, engine->inventory->models);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const wb_held_model_t *held = value;
        if (!may_be_evicted(cell, engine, held->name))
            continue;
        victim_t victim = {held->name, held->bytes + adapters_bytes(held),
                           cell_model_busy(cell, held->name).used_ms};
        g_array_append_val(victims, victim);
    }
    g_array_sort(victims, victim_compare);
    guint needed = 0;
    while (needed < victims->len && missing > 0)
        missing -= g_array_index(victims, victim_t, needed++).bytes;
    if (missing > 0) {
        g_array_unref(victims);
        return NULL;
    }
    g_array_set_size(victims, needed);
    return victims;
}

guint cell_zone_replicas(const wb_cell_t *cell, const char *model, const char *zone) {
    guint count = 0;
    for (guint i = 0; i < cell->record->slots->len; i++) {
        const wb_slot_t *slot = cell->record->slots->pdata[i];
        const cell_engine_t *engine = g_hash_table_lookup(cell->engines, slot->engine);
        if (engine != NULL && strcmp(slot->model, model) == 0 && strcmp(engine->zone, zone) == 0)
            count++;
    }
    return count;
}

/* A way to place a model. */
typedef struct choice_t {
    cell_engine_t *engine;
    GArray *victims; /* NULL: there is room */
    int64_t cost_ms;
} choice_t;

static gboolean choice_weigh(wb_cell_t *cell, cell_engine_t *engine, const wb_model_t *model,
                             choice_t *choice) {
    if (!cell_engine_is_usable(engine) || engine->inventory->capacity_bytes < model->memory_bytes ||
        wb_record_has_slot(cell->record, model->name, engine->id) ||
        cell_held(engine, model->name) != NULL)
        return FALSE;
    if (engine->room_for != NULL && strcmp(engine->room_for, model->name) != 0)
        return FALSE;
    choice->engine = engine;
    choice->victims = NULL;
    int64_t load_ms = cell_load_estimate_ms(cell, engine, model->name, model->memory_bytes);
    choice->cost_ms = load_ms;
    choice->cost_ms +=
        SAME_ZONE_PENALTY_MS * (int64_t)cell_zone_replicas(cell, model->name, engine->zone);
    choice->cost_ms += BUSY_PENALTY_MS * (int64_t)g_hash_table_size(engine->inventory->models);
    int64_t missing = model->memory_bytes - cell_engine_free_bytes(cell, engine, model->name);
    if (missing <= 0) {
        choice->cost_ms += cell_placement_cost_ms(cell, model, engine, 0, load_ms);
        return TRUE;
    }
    choice->victims = victims_find(cell, engine, missing);
    if (choice->victims == NULL)
        return FALSE;
    choice->cost_ms += EVICTION_PENALTY_MS * (int64_t)choice->victims->len;
    choice->cost_ms += cell_placement_cost_ms(cell, model, engine, choice->victims->len, load_ms);
    return TRUE;
}

static void choice_clear(choice_t *choice) {
    if (choice->victims != NULL)
        g_array_unref(choice->victims);
    choice->victims = NULL;
}

static gboolean choice_is_better(const choice_t *choice, const choice_t *best) {
    if (best->engine == NULL || choice->cost_ms != best->cost_ms)
        return best->engine == NULL || choice->cost_ms < best->cost_ms;
    return strcmp(choice->engine->id, best->engine->id) < 0;
}

static choice_t choice_best(wb_cell_t *cell, const wb_model_t *model) {
    choice_t best = {NULL, NULL, 0};
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        choice_t choice;
        if (!choice_weigh(cell, value, model, &choice))
            continue;
        if (choice_is_better(&choice, &best)) {
            choice_clear(&best);
            best = choice;
        } else
            choice_clear(&choice);
    }
    return best;
}

static void slot_propose(wb_cell_t *cell, const char *model, const char *engine) {
    wb_wire_command command = {.kind = WB_WIRE_COMMAND_SLOT_ADD};
    command.wb_wire_command_u.slot_add.model = (char *)model;
    command.wb_wire_command_u.slot_add.engine = (char *)engine;
    uint64_t sequence = cell->events.propose(&command, cell->events.context);
    if (sequence == 0)
        return;
    char pair[CELL_PAIR_SIZE];
    uint64_t *stored = g_new(uint64_t, 1);
    *stored = sequence;
    g_hash_table_replace(cell->uncommitted, g_strdup(cell_pair(pair, model, engine)), stored);
}

static void room_release(cell_engine_t *engine) {
    g_free(engine->room_for);
    engine->room_for = NULL;
}

/* The engine that makes room for this model, if any; gives up one that takes too long. */
static cell_engine_t *room_find(wb_cell_t *cell, const char *model, int64_t now_ms) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        cell_engine_t *engine = value;
        if (engine->room_for == NULL || strcmp(engine->room_for, model) != 0)
            continue;
        if (cell_engine_is_usable(engine) && now_ms - engine->room_since_ms < ROOM_TIMEOUT_MS)
            return engine;
        room_release(engine);
    }
    return NULL;
}

static void room_make(wb_cell_t *cell, const choice_t *choice, const wb_model_t *model,
                      int64_t now_ms) {
    char pair[CELL_PAIR_SIZE];
    for (guint i = 0; i < choice->victims->len; i++) {
        const char *victim = g_array_index(choice->victims, victim_t, i).model;
        g_hash_table_replace(cell->retiring, g_strdup(cell_pair(pair, victim, choice->engine->id)),
                             "evicted for another model");
    }
    choice->engine->room_for = g_strdup(model->name);
    choice->engine->room_since_ms = now_ms;
}

const char *cell_place(wb_cell_t *cell, const wb_model_t *model, int64_t now_ms) {
    cell_engine_t *room = room_find(cell, model->name, now_ms);
    if (room != NULL) {
        if (cell_engine_free_bytes(cell, room, model->name) < model->memory_bytes)
            return NULL; /* still being made */
        room_release(room);
        slot_propose(cell, model->name, room->id);
        return NULL;
    }
    choice_t best = choice_best(cell, model);
    if (best.engine == NULL)
        return "no engine has room for it";
    if (best.victims == NULL)
        slot_propose(cell, model->name, best.engine->id);
    else
        room_make(cell, &best, model, now_ms);
    choice_clear(&best);
    return NULL;
}
