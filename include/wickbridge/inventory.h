/**
 * @file inventory.h
 * @brief An engine's inventory: the models, adapters and cached weights that it reports.
 *
 * Sizes are in bytes. Not thread-safe.
 */
#ifndef WICKBRIDGE_INVENTORY_H
#define WICKBRIDGE_INVENTORY_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

typedef enum wb_load_state_t { WB_LOAD_LOADING, WB_LOAD_LOADED, WB_LOAD_UNLOADING } wb_load_state_t;

/** An adapter of a model on an engine. */
typedef struct wb_held_adapter_t {
    char *name;
    int64_t bytes;
    wb_load_state_t state;
    int running;
} wb_held_adapter_t;

/** A model on an engine. */
typedef struct wb_held_model_t {
    char *name;
    int64_t version;
    int64_t bytes;
    wb_load_state_t state;
    int running;
    GHashTable *adapters; /**< name -> wb_held_adapter_t */
} wb_held_model_t;

typedef struct wb_inventory_t {
    char *engine;
    uint64_t fence;   /**< the highest fencing number that it has accepted */
    int64_t sequence; /**< number of its changes so far */
    int64_t capacity_bytes;
    int64_t used_bytes;
    gboolean leaving;          /**< draining */
    int batch;                 /**< requests that a replica runs concurrently */
    GHashTable *models;        /**< name -> wb_held_model_t */
    GHashTable *disk_copies;   /**< set of models whose weights are cached on disk */
    GHashTable *memory_copies; /**< set of models whose weights are cached in host memory */
} wb_inventory_t;

/** Parse an inventory. @return the inventory, owned by the caller, or NULL if its id or fencing
 * number is missing */
wb_inventory_t *wb_inventory_parse(const json_t *body);
wb_inventory_t *wb_inventory_create(const char *engine);
void wb_inventory_free(wb_inventory_t *inventory);

const wb_held_model_t *wb_inventory_model(const wb_inventory_t *inventory, const char *name);
/** Add a model; it replaces one of the same name. @return the model, owned by the inventory */
wb_held_model_t *wb_inventory_add_model(wb_inventory_t *inventory, const char *name, int64_t bytes,
                                        wb_load_state_t state);
wb_held_adapter_t *wb_held_model_add_adapter(wb_held_model_t *model, const char *name,
                                             int64_t bytes, wb_load_state_t state);

#endif
