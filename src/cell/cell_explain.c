/* Says why a model is where it is, for operators. */
#include "cell_types.h"

static json_t *engine_explain(const wb_cell_t *cell, const cell_engine_t *engine,
                              const char *model) {
    static const char *const machines[] = {"live", "leaving", "gone"};
    static const char *const states[] = {"loading", "loaded", "unloading"};
    char pair[CELL_PAIR_SIZE];
    const wb_held_model_t *held = cell_held(engine, model);
    const char *why = g_hash_table_lookup(cell->retiring, cell_pair(pair, model, engine->id));
    return json_pack("{s:s, s:s, s:s, s:b, s:b, s:b, s:s, s:i, s:I, s:s}", "engine", engine->id,
                     "zone", engine->zone, "machine", machines[engine->machine], "reachable",
                     engine->reachable, "usable", cell_engine_is_usable(engine), "slot",
                     wb_record_has_slot(cell->record, model, engine->id), "model",
                     held != NULL ? states[held->state] : "absent", "running",
                     held != NULL ? held->running : 0, "free_bytes",
                     engine->inventory != NULL
                         ? (json_int_t)cell_engine_free_bytes(cell, engine, NULL)
                         : (json_int_t)-1,
                     "retiring", why != NULL ? why : "");
}

json_t *wb_cell_explain(const wb_cell_t *cell, const char *model, int64_t now_ms) {
    json_t *engines = json_array();
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        json_array_append_new(engines, engine_explain(cell, value, model));
    cell_busy_t busy = cell_model_busy(cell, model);
    return json_pack(
        "{s:s, s:s, s:I, s:b, s:i, s:i, s:i, s:I, s:I, s:o}", "model", model, "cell", cell->name,
        "epoch", (json_int_t)cell->epoch, "record_is_sure", !cell->record->slots_unverified, "slots",
        (int)wb_record_slot_count(cell->record, model), "waiting", busy.waiting, "running",
        busy.running, "idle_ms", (json_int_t)(busy.used_ms > 0 ? now_ms - busy.used_ms : -1),
        "wake_estimate_ms", (json_int_t)cell_wake_estimate_ms(cell, model, now_ms), "engines",
        engines);
}
