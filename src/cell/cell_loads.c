/* Tracks the loads in progress and measures the load time of each weight source, in milliseconds
 * per GiB. */
#include "cell_types.h"

#define GIB (1024.0 * 1024.0 * 1024.0)
#define MEASUREMENT_WEIGHT 0.3 /* weight of a new measurement in the moving average */

static gint load_index(const wb_cell_t *cell, const char *engine, const char *model) {
    for (guint i = 0; i < cell->loads->len; i++) {
        const cell_load_t *load = cell->loads->pdata[i];
        if (strcmp(load->engine, engine) == 0 && strcmp(load->model, model) == 0)
            return (gint)i;
    }
    return -1;
}

const cell_load_t *cell_load_find(const wb_cell_t *cell, const char *engine, const char *model) {
    gint index = load_index(cell, engine, model);
    return index >= 0 ? cell->loads->pdata[index] : NULL;
}

void cell_load_record_start(wb_cell_t *cell, const cell_engine_t *engine, const char *model,
                            int64_t bytes, int64_t now_ms) {
    if (load_index(cell, engine->id, model) >= 0)
        return;
    cell_load_t *load = g_new0(cell_load_t, 1);
    load->model = g_strdup(model);
    load->engine = g_strdup(engine->id);
    load->source = cell_source(engine, model);
    load->bytes = bytes;
    load->started_ms = now_ms;
    g_ptr_array_add(cell->loads, load);
}

static void load_time_update(wb_cell_t *cell, const cell_load_t *load, int64_t now_ms) {
    double gib = (double)load->bytes / GIB;
    if (gib <= 0.0)
        return;
    double measured = (double)(now_ms - load->started_ms) / gib;
    double *average = &cell->ms_per_gib[load->source];
    *average = (1.0 - MEASUREMENT_WEIGHT) * *average + MEASUREMENT_WEIGHT * measured;
}

void cell_loads_observe(wb_cell_t *cell, const cell_engine_t *engine, int64_t now_ms) {
    for (guint i = cell->loads->len; i-- > 0;) {
        const cell_load_t *load = cell->loads->pdata[i];
        if (strcmp(load->engine, engine->id) != 0)
            continue;
        const wb_held_model_t *held = cell_held_model(engine, load->model);
        if (held != NULL && held->state == WB_LOAD_LOADING)
            continue;
        if (held != NULL && held->state == WB_LOAD_LOADED)
            load_time_update(cell, load, now_ms);
        g_ptr_array_remove_index_fast(cell->loads, i);
    }
}

guint cell_remote_loads(const wb_cell_t *cell) {
    guint count = 0;
    for (guint i = 0; i < cell->loads->len; i++)
        if (((cell_load_t *)cell->loads->pdata[i])->source == SOURCE_REMOTE)
            count++;
    return count;
}
