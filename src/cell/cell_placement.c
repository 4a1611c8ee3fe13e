/* Chooses the engine for a new replica, and the idle models to evict when no engine has enough free
 * memory. Costs are in milliseconds, sizes in bytes. An engine that evicts models is reserved for
 * the new replica until enough memory is free or RESERVATION_TIMEOUT_MS have passed. */
#include "cell_types.h"

#define GIB (1024.0 * 1024.0 * 1024.0)
#define RESERVATION_TIMEOUT_MS 30000
#define EVICTION_PENALTY_MS 200    /* for unloading a model and loading it again later */
#define SAME_ZONE_PENALTY_MS 1000  /* for each replica in the same zone */
#define LOADED_MODEL_PENALTY_MS 20 /* for each model on the engine */

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

/* Capacity less the held models and adapters, slots that are not loaded yet, a pending adapter
 * load, and a reservation for a model other than `except_model`. Negative when overcommitted. */
int64_t cell_engine_free_bytes(const wb_cell_t *cell, const cell_engine_t *engine,
                               const char *except_model) {
    int64_t reserved_bytes = engine->ordered_bytes;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, engine->inventory->models);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const wb_held_model_t *held = value;
        reserved_bytes += held->bytes + adapters_bytes(held);
    }
    for (guint i = 0; i < cell->record->slots->len; i++) {
        const wb_slot_t *slot = cell->record->slots->pdata[i];
        if (strcmp(slot->engine, engine->id) != 0 || cell_held_model(engine, slot->model) != NULL)
            continue;
        const wb_model_t *model = wb_config_model(cell->config, slot->model);
        reserved_bytes += model != NULL ? model->memory_bytes : 0;
    }
    if (engine->reserved_for != NULL &&
        (except_model == NULL || strcmp(engine->reserved_for, except_model) != 0)) {
        const wb_model_t *model = wb_config_model(cell->config, engine->reserved_for);
        reserved_bytes += model != NULL ? model->memory_bytes : 0;
    }
    return engine->inventory->capacity_bytes - reserved_bytes;
}

gboolean cell_model_is_idle_on(const wb_cell_t *cell, const cell_engine_t *engine,
                               const char *model) {
    const wb_held_model_t *held = cell_held_model(engine, model);
    if (held != NULL && (held->running > 0 || held->state != WB_LOAD_LOADED))
        return FALSE;
    cell_demand_t demand = cell_model_demand(cell, model);
    return demand.waiting == 0 && demand.running == 0;
}

/* A model that may be evicted from an engine. */
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
           cell_model_is_idle_on(cell, engine, name);
}

/* The models to evict to free `missing_bytes`, least recently used first, or NULL when all idle
 * models together are too small. */
static GArray *victims_find(const wb_cell_t *cell, const cell_engine_t *engine,
                            int64_t missing_bytes) {
    GArray *victims = g_array_new(FALSE, TRUE, sizeof(victim_t));
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, engine->inventory->models);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const wb_held_model_t *held = value;
        if (!may_be_evicted(cell, engine, held->name))
            continue;
        victim_t victim = {held->name, held->bytes + adapters_bytes(held),
                           cell_model_demand(cell, held->name).used_ms};
        g_array_append_val(victims, victim);
    }
    g_array_sort(victims, victim_compare);
    guint needed = 0;
    while (needed < victims->len && missing_bytes > 0)
        missing_bytes -= g_array_index(victims, victim_t, needed++).bytes;
    if (missing_bytes > 0) {
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

/* An engine evaluated for a new replica. */
typedef struct candidate_t {
    cell_engine_t *engine;
    GArray *victims; /* NULL: enough memory is free */
    int64_t cost_ms;
} candidate_t;

/* Sets the candidate's cost and the models to evict. Returns FALSE if the engine can't take the
 * model. */
static gboolean candidate_evaluate(wb_cell_t *cell, cell_engine_t *engine, const wb_model_t *model,
                                   candidate_t *candidate) {
    if (!cell_engine_is_usable(engine) || engine->inventory->capacity_bytes < model->memory_bytes ||
        wb_record_has_slot(cell->record, model->name, engine->id) ||
        cell_held_model(engine, model->name) != NULL)
        return FALSE;
    if (engine->reserved_for != NULL && strcmp(engine->reserved_for, model->name) != 0)
        return FALSE;
    candidate->engine = engine;
    candidate->victims = NULL;
    int64_t load_ms = cell_load_estimate_ms(cell, engine, model->name, model->memory_bytes);
    candidate->cost_ms = load_ms;
    candidate->cost_ms +=
        SAME_ZONE_PENALTY_MS * (int64_t)cell_zone_replicas(cell, model->name, engine->zone);
    candidate->cost_ms +=
        LOADED_MODEL_PENALTY_MS * (int64_t)g_hash_table_size(engine->inventory->models);
    int64_t missing_bytes = model->memory_bytes - cell_engine_free_bytes(cell, engine, model->name);
    if (missing_bytes <= 0) {
        candidate->cost_ms += cell_placement_cost_ms(cell, model, engine, 0, load_ms);
        return TRUE;
    }
    candidate->victims = victims_find(cell, engine, missing_bytes);
    if (candidate->victims == NULL)
        return FALSE;
    candidate->cost_ms += EVICTION_PENALTY_MS * (int64_t)candidate->victims->len;
    candidate->cost_ms +=
        cell_placement_cost_ms(cell, model, engine, candidate->victims->len, load_ms);
    return TRUE;
}

static void candidate_clear(candidate_t *candidate) {
    if (candidate->victims != NULL)
        g_array_unref(candidate->victims);
    candidate->victims = NULL;
}

static gboolean candidate_is_better(const candidate_t *candidate, const candidate_t *best) {
    if (best->engine == NULL || candidate->cost_ms != best->cost_ms)
        return best->engine == NULL || candidate->cost_ms < best->cost_ms;
    return strcmp(candidate->engine->id, best->engine->id) < 0;
}

static candidate_t candidate_best(wb_cell_t *cell, const wb_model_t *model) {
    candidate_t best = {NULL, NULL, 0};
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        candidate_t candidate;
        if (!candidate_evaluate(cell, value, model, &candidate))
            continue;
        if (candidate_is_better(&candidate, &best)) {
            candidate_clear(&best);
            best = candidate;
        } else
            candidate_clear(&candidate);
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

static void reservation_release(cell_engine_t *engine) {
    g_free(engine->reserved_for);
    engine->reserved_for = NULL;
}

/* The engine reserved for this model, or NULL. Releases a reservation that has timed out. */
static cell_engine_t *reservation_find(wb_cell_t *cell, const char *model, int64_t now_ms) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        cell_engine_t *engine = value;
        if (engine->reserved_for == NULL || strcmp(engine->reserved_for, model) != 0)
            continue;
        if (cell_engine_is_usable(engine) &&
            now_ms - engine->reserved_since_ms < RESERVATION_TIMEOUT_MS)
            return engine;
        reservation_release(engine);
    }
    return NULL;
}

static void reservation_make(wb_cell_t *cell, const candidate_t *candidate, const wb_model_t *model,
                             int64_t now_ms) {
    char pair[CELL_PAIR_SIZE];
    for (guint i = 0; i < candidate->victims->len; i++) {
        const char *victim = g_array_index(candidate->victims, victim_t, i).model;
        g_hash_table_replace(cell->retiring,
                             g_strdup(cell_pair(pair, victim, candidate->engine->id)),
                             "evicted for another model");
    }
    candidate->engine->reserved_for = g_strdup(model->name);
    candidate->engine->reserved_since_ms = now_ms;
}

const char *cell_place(wb_cell_t *cell, const wb_model_t *model, int64_t now_ms) {
    cell_engine_t *reserved = reservation_find(cell, model->name, now_ms);
    if (reserved != NULL) {
        if (cell_engine_free_bytes(cell, reserved, model->name) < model->memory_bytes)
            return NULL; /* the evicted models are still being unloaded */
        reservation_release(reserved);
        slot_propose(cell, model->name, reserved->id);
        return NULL;
    }
    candidate_t best = candidate_best(cell, model);
    if (best.engine == NULL)
        return "no engine has room for it";
    if (best.victims == NULL)
        slot_propose(cell, model->name, best.engine->id);
    else
        reservation_make(cell, &best, model, now_ms);
    candidate_clear(&best);
    return NULL;
}
