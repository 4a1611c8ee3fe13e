/* State that an engine announces: its incarnation, and the models and adapters that it holds. */
#include "wickbridge/fleet.h"

static void model_free(gpointer data) {
    wb_engine_model_t *model = data;
    g_free(model->name);
    g_hash_table_unref(model->adapters);
    g_free(model);
}

static GHashTable *set_create(void) {
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

wb_engine_state_t *wb_engine_state_create(const char *id) {
    wb_engine_state_t *state = g_new0(wb_engine_state_t, 1);
    state->id = g_strdup(id);
    state->incarnation = g_strdup(id);
    state->software_version = g_strdup("");
    state->models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, model_free);
    state->in_memory = set_create();
    state->on_disk = set_create();
    state->arriving = set_create();
    return state;
}

void wb_engine_state_free(wb_engine_state_t *state) {
    if (state == NULL)
        return;
    g_free(state->id);
    g_free(state->incarnation);
    g_free(state->service);
    g_free(state->address);
    g_free(state->zone);
    g_free(state->software_version);
    g_hash_table_unref(state->models);
    g_hash_table_unref(state->in_memory);
    g_hash_table_unref(state->on_disk);
    g_hash_table_unref(state->arriving);
    g_free(state);
}

wb_engine_model_t *wb_engine_state_add_model(wb_engine_state_t *state, const char *name,
                                             int64_t version) {
    wb_engine_model_t *model = g_new0(wb_engine_model_t, 1);
    model->name = g_strdup(name);
    model->version = version;
    model->adapters = set_create();
    g_hash_table_replace(state->models, model->name, model);
    return model;
}

void wb_engine_state_set_born(wb_engine_state_t *state, int64_t born_ms) {
    state->born_ms = born_ms;
    g_free(state->incarnation);
    state->incarnation = born_ms != 0 ? g_strdup_printf("%s@%lld", state->id, (long long)born_ms)
                                      : g_strdup(state->id);
}

gboolean wb_engine_state_is_later(const wb_engine_state_t *known, const wb_engine_state_t *state) {
    return state->born_ms > known->born_ms;
}

static gboolean models_contain(GHashTable *models, GHashTable *others) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, others);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_engine_model_t *other = value;
        const wb_engine_model_t *model = g_hash_table_lookup(models, other->name);
        if (model == NULL ||
            g_hash_table_size(model->adapters) != g_hash_table_size(other->adapters)) {
            return FALSE;
        }
        GHashTableIter adapters;
        gpointer adapter;
        g_hash_table_iter_init(&adapters, other->adapters);
        while (g_hash_table_iter_next(&adapters, &adapter, NULL)) {
            if (!g_hash_table_contains(model->adapters, adapter)) {
                return FALSE;
            }
        }
    }
    return TRUE;
}

gboolean wb_engine_state_holds_same(const wb_engine_state_t *left, const wb_engine_state_t *right) {
    return g_hash_table_size(left->models) == g_hash_table_size(right->models) &&
           models_contain(left->models, right->models);
}
