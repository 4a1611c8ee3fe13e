/* Parses an engine's inventory from JSON. */
#include "wickbridge/inventory.h"

#include "wickbridge/json.h"

#include <string.h>

static void adapter_free(gpointer data) {
    wb_held_adapter_t *adapter = data;
    g_free(adapter->name);
    g_free(adapter);
}

static void model_free(gpointer data) {
    wb_held_model_t *model = data;
    g_hash_table_unref(model->adapters);
    g_free(model->name);
    g_free(model);
}

wb_inventory_t *wb_inventory_create(const char *engine) {
    wb_inventory_t *inventory = g_new0(wb_inventory_t, 1);
    inventory->engine = g_strdup(engine);
    inventory->models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, model_free);
    inventory->disk_copies = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    inventory->memory_copies = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return inventory;
}

void wb_inventory_free(wb_inventory_t *inventory) {
    if (inventory == NULL)
        return;
    g_free(inventory->engine);
    g_hash_table_unref(inventory->models);
    g_hash_table_unref(inventory->disk_copies);
    g_hash_table_unref(inventory->memory_copies);
    g_free(inventory);
}

wb_held_model_t *wb_inventory_add_model(wb_inventory_t *inventory, const char *name, int64_t bytes,
                                        wb_load_state_t state) {
    wb_held_model_t *model = g_new0(wb_held_model_t, 1);
    model->name = g_strdup(name);
    model->version = 1;
    model->bytes = bytes;
    model->state = state;
    model->adapters = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, adapter_free);
    g_hash_table_replace(inventory->models, model->name, model);
    return model;
}

wb_held_adapter_t *wb_held_model_add_adapter(wb_held_model_t *model, const char *name,
                                             int64_t bytes, wb_load_state_t state) {
    wb_held_adapter_t *adapter = g_new0(wb_held_adapter_t, 1);
    adapter->name = g_strdup(name);
    adapter->bytes = bytes;
    adapter->state = state;
    g_hash_table_replace(model->adapters, adapter->name, adapter);
    return adapter;
}

static wb_load_state_t state_parse(const json_t *object) {
    const char *name = wb_json_text(object, "state", "");
    if (strcmp(name, "loaded") == 0)
        return WB_LOAD_LOADED;
    return strcmp(name, "unloading") == 0 ? WB_LOAD_UNLOADING : WB_LOAD_LOADING;
}

static void models_parse(wb_inventory_t *inventory, const json_t *models) {
    size_t i, j;
    json_t *entry, *held;
    json_array_foreach(models, i, entry) {
        wb_held_model_t *model =
            wb_inventory_add_model(inventory, wb_json_text(entry, "name", ""),
                                   wb_json_integer(entry, "bytes", 0), state_parse(entry));
        model->version = wb_json_integer(entry, "version", 1);
        model->running = (int)wb_json_integer(entry, "running", 0);
        json_array_foreach(json_object_get(entry, "adapters"), j, held) {
            wb_held_adapter_t *adapter =
                wb_held_model_add_adapter(model, wb_json_text(held, "name", ""),
                                          wb_json_integer(held, "bytes", 0), state_parse(held));
            adapter->running = (int)wb_json_integer(held, "running", 0);
        }
    }
}

static void names_parse(GHashTable *set, const json_t *names) {
    size_t index;
    json_t *name;
    json_array_foreach(names, index, name) {
        if (json_is_string(name))
            g_hash_table_add(set, g_strdup(json_string_value(name)));
    }
}

wb_inventory_t *wb_inventory_parse(const json_t *body) {
    const char *id = wb_json_text(body, "id", NULL);
    const char *fence = wb_json_text(body, "fence", NULL);
    if (id == NULL || fence == NULL)
        return NULL;
    wb_inventory_t *inventory = wb_inventory_create(id);
    inventory->fence = g_ascii_strtoull(fence, NULL, 10);
    inventory->sequence = wb_json_integer(body, "sequence", 0);
    inventory->capacity_bytes = wb_json_integer(body, "capacity_bytes", 0);
    inventory->used_bytes = wb_json_integer(body, "used_bytes", 0);
    inventory->leaving = wb_json_boolean(body, "leaving", FALSE);
    inventory->batch = (int)wb_json_integer(body, "batch", 1);
    models_parse(inventory, json_object_get(body, "models"));
    names_parse(inventory->disk_copies, json_object_get(body, "disk_copies"));
    names_parse(inventory->memory_copies, json_object_get(body, "memory_copies"));
    return inventory;
}

const wb_held_model_t *wb_inventory_model(const wb_inventory_t *inventory, const char *name) {
    return g_hash_table_lookup(inventory->models, name);
}
