/* Models and adapters in accelerator memory; only fenced orders change them. */
#include "engine.h"

#include "wickbridge/json.h"
#include "wickbridge/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MIB (1024LL * 1024LL)
#define GIB (1024LL * MIB)

/* A load in progress. Looked up by number when its weights have arrived. */
typedef struct load_job_t {
    char *model;
    char *adapter; /* NULL: the model itself */
    int64_t number;
    int64_t due_ms; /* for local sources; 0 while the weight store transfers it */
    gboolean fetched;
} load_job_t;

typedef struct inventory_poll_t {
    wb_http_exchange_t *exchange;
    int64_t until_ms;
} inventory_poll_t;

static GHashTable *models;
static GPtrArray *jobs;
static GPtrArray *inventory_polls;
static GHashTable *disk_copies;
static GQueue host_copies = G_QUEUE_INIT; /* names, most recent first */
static json_t *history;
static uint64_t fence;
static int64_t sequence;
static int64_t job_count;
static int64_t memory_attempts; /* orders refused since they exceed accelerator memory */
static int64_t stale_orders;
static gboolean draining;

static void adapter_free(gpointer data) {
    engine_adapter_t *adapter = data;
    g_free(adapter->name);
    g_free(adapter);
}

static void model_free(gpointer data) {
    engine_model_t *model = data;
    g_hash_table_unref(model->adapters);
    g_free(model->name);
    g_free(model);
}

void models_setup(void) {
    models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, model_free);
    jobs = g_ptr_array_new();
    inventory_polls = g_ptr_array_new();
    disk_copies = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    history = json_array();
    g_auto(GStrv) names = g_strsplit(engine_settings.disk_models, ",", -1);
    for (int i = 0; names[i] != NULL; i++)
        g_hash_table_add(disk_copies, g_strdup(names[i]));
}

static int64_t memory_used(void) {
    int64_t used = 0;
    GHashTableIter iterator, adapters;
    gpointer value, adapter;
    g_hash_table_iter_init(&iterator, models);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const engine_model_t *model = value;
        used += model->bytes;
        g_hash_table_iter_init(&adapters, model->adapters);
        while (g_hash_table_iter_next(&adapters, NULL, &adapter))
            used += ((engine_adapter_t *)adapter)->bytes;
    }
    return used;
}

/* The history is also printed, so that it survives a killed engine. */
static void history_add(const char *event, const char *model, const char *adapter) {
    fprintf(stderr, "EVENT %" G_GINT64_FORMAT " %s %s %s\n", (gint64)g_get_monotonic_time(), event,
            model, adapter != NULL ? adapter : "-");
    json_array_append_new(history,
                          json_pack("{s:I, s:s, s:s, s:s}", "at_us",
                                    (json_int_t)g_get_monotonic_time(), "event", event, "model",
                                    model, "adapter", adapter != NULL ? adapter : ""));
}

static json_t *adapters_describe(const engine_model_t *model) {
    static const char *const states[] = {"loading", "loaded", "unloading"};
    json_t *list = json_array();
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, model->adapters);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const engine_adapter_t *adapter = value;
        json_array_append_new(list, json_pack("{s:s, s:I, s:s, s:i}", "name", adapter->name,
                                              "bytes", (json_int_t)adapter->bytes, "state",
                                              states[adapter->state], "running", adapter->running));
    }
    return list;
}

static json_t *models_describe(void) {
    static const char *const states[] = {"loading", "loaded", "unloading"};
    json_t *list = json_array();
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, models);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const engine_model_t *model = value;
        json_array_append_new(list, json_pack("{s:s, s:I, s:I, s:s, s:i, s:o}", "name", model->name,
                                              "version", (json_int_t)model->version, "bytes",
                                              (json_int_t)model->bytes, "state",
                                              states[model->state], "running", model->running,
                                              "adapters", adapters_describe(model)));
    }
    return list;
}

static json_t *copies_describe(void) {
    json_t *list = json_array();
    GHashTableIter iterator;
    gpointer name;
    g_hash_table_iter_init(&iterator, disk_copies);
    while (g_hash_table_iter_next(&iterator, &name, NULL))
        if (*(char *)name != '\0')
            json_array_append_new(list, json_string(name));
    return list;
}

static json_t *host_copies_describe(void) {
    json_t *list = json_array();
    for (GList *item = host_copies.head; item != NULL; item = item->next)
        json_array_append_new(list, json_string(item->data));
    return list;
}

/* The fence is a string in JSON, since it has 64 bits. */
static json_t *inventory_describe(void) {
    char fence_text[32];
    g_snprintf(fence_text, sizeof(fence_text), "%" G_GUINT64_FORMAT, (guint64)fence);
    int running, waiting;
    streams_count(&running, &waiting);
    return json_pack("{s:s, s:s, s:I, s:I, s:I, s:b, s:i, s:i, s:i, s:o, s:o, s:o}", "id",
                     engine_settings.id, "fence", fence_text, "sequence", (json_int_t)sequence,
                     "capacity_bytes", (json_int_t)(engine_settings.memory_mib * MIB), "used_bytes",
                     (json_int_t)memory_used(), "leaving", draining, "running", running, "waiting",
                     waiting, "batch", (int)engine_settings.batch, "models", models_describe(),
                     "disk_copies", copies_describe(), "memory_copies", host_copies_describe());
}

void models_changed(void) {
    sequence++;
    for (guint i = 0; i < inventory_polls->len; i++) {
        inventory_poll_t *poll = inventory_polls->pdata[i];
        standin_reply_json(poll->exchange, 200, inventory_describe());
        g_free(poll);
    }
    g_ptr_array_set_size(inventory_polls, 0);
}

void models_inventory(wb_http_exchange_t *exchange) {
    const char *after = wb_http_exchange_query(exchange, "after");
    const char *wait_ms = wb_http_exchange_query(exchange, "wait_ms");
    g_mutex_lock(&engine_lock);
    if (after != NULL && wait_ms != NULL && g_ascii_strtoll(after, NULL, 10) == sequence) {
        inventory_poll_t *poll = g_new(inventory_poll_t, 1);
        poll->exchange = exchange;
        poll->until_ms = engine_now_ms() + g_ascii_strtoll(wait_ms, NULL, 10);
        g_ptr_array_add(inventory_polls, poll);
    } else
        standin_reply_json(exchange, 200, inventory_describe());
    g_mutex_unlock(&engine_lock);
}

void models_history(wb_http_exchange_t *exchange) {
    g_mutex_lock(&engine_lock);
    json_t *body = json_pack("{s:I, s:I, s:O, s:s}", "memory_attempts", (json_int_t)memory_attempts,
                             "stale_orders", (json_int_t)stale_orders, "events", history, "id",
                             engine_settings.id);
    standin_reply_json(exchange, 200, body);
    g_mutex_unlock(&engine_lock);
}

static engine_adapter_t *adapter_find(const char *model_name, const char *name,
                                      engine_model_t **model) {
    *model = g_hash_table_lookup(models, model_name);
    return *model != NULL && name != NULL ? g_hash_table_lookup((*model)->adapters, name) : NULL;
}

/* Completes a load. Lock held. */
static void job_finish(load_job_t *job) {
    engine_model_t *model;
    engine_adapter_t *adapter = adapter_find(job->model, job->adapter, &model);
    if (job->adapter != NULL && adapter != NULL && adapter->state == ENGINE_LOADING)
        adapter->state = ENGINE_LOADED;
    else if (job->adapter == NULL && model != NULL && model->state == ENGINE_LOADING)
        model->state = ENGINE_LOADED;
    history_add("loaded", job->model, job->adapter);
    if (job->adapter == NULL)
        g_hash_table_add(disk_copies, g_strdup(job->model));
    models_changed();
}

static void job_free(load_job_t *job) {
    g_free(job->model);
    g_free(job->adapter);
    g_free(job);
}

static void remote_load_finished(void *ticket) {
    int64_t number = *(int64_t *)ticket;
    g_free(ticket);
    g_mutex_lock(&engine_lock);
    for (guint i = 0; i < jobs->len; i++) {
        load_job_t *job = jobs->pdata[i];
        if (job->number == number)
            job->fetched = TRUE;
    }
    g_mutex_unlock(&engine_lock);
}

static gboolean host_copy_exists(const char *name) {
    for (GList *item = host_copies.head; item != NULL; item = item->next)
        if (strcmp(item->data, name) == 0)
            return TRUE;
    return FALSE;
}

static void host_copy_add(const char *name) {
    if (host_copy_exists(name))
        return;
    g_queue_push_head(&host_copies, g_strdup(name));
    int64_t max_copies = MAX(engine_settings.host_cache_mib / 4096, 1);
    while ((int64_t)host_copies.length > max_copies)
        g_free(g_queue_pop_tail(&host_copies));
}

/* Starts a load from the fastest source: host memory, disk, weight store. Lock held. */
static void job_start(const char *model, const char *adapter, int64_t bytes) {
    load_job_t *job = g_new0(load_job_t, 1);
    job->model = g_strdup(model);
    job->adapter = g_strdup(adapter);
    job->number = ++job_count;
    const char *weights = adapter != NULL ? adapter : model;
    double gib = (double)bytes / (double)GIB * (double)engine_settings.load_slowdown;
    g_ptr_array_add(jobs, job);
    if (host_copy_exists(weights))
        job->due_ms = engine_now_ms() + (int64_t)(gib * (double)engine_settings.memory_ms_per_gib);
    else if (g_hash_table_contains(disk_copies, weights) || *engine_settings.weights == '\0')
        job->due_ms = engine_now_ms() + (int64_t)(gib * (double)engine_settings.disk_ms_per_gib);
    else {
        int64_t *ticket = g_new(int64_t, 1);
        *ticket = job->number;
        loads_fetch_remote((int64_t)(gib * (double)engine_settings.remote_ms_per_gib),
                           remote_load_finished, ticket);
    }
    history_add("loading", model, adapter);
}

/* Frees models and adapters that are unloading and have no streams left. Lock held. */
static void unloads_finish(void) {
    GHashTableIter iterator, adapters;
    gpointer value, adapter_value;
    gboolean changed = FALSE;
    g_hash_table_iter_init(&iterator, models);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        engine_model_t *model = value;
        g_hash_table_iter_init(&adapters, model->adapters);
        while (g_hash_table_iter_next(&adapters, NULL, &adapter_value)) {
            engine_adapter_t *adapter = adapter_value;
            if (adapter->state != ENGINE_UNLOADING || adapter->running > 0)
                continue;
            history_add("unloaded", model->name, adapter->name);
            g_hash_table_iter_remove(&adapters);
            changed = TRUE;
        }
        if (model->state != ENGINE_UNLOADING || model->running > 0)
            continue;
        history_add("unloaded", model->name, NULL);
        host_copy_add(model->name);
        g_hash_table_iter_remove(&iterator);
        changed = TRUE;
    }
    if (changed)
        models_changed();
}

void models_tick(void) {
    g_mutex_lock(&engine_lock);
    int64_t now_ms = engine_now_ms();
    for (guint i = jobs->len; i-- > 0;) {
        load_job_t *job = jobs->pdata[i];
        if (!job->fetched && (job->due_ms == 0 || job->due_ms > now_ms))
            continue;
        g_ptr_array_remove_index_fast(jobs, i);
        job_finish(job);
        job_free(job);
    }
    unloads_finish();
    for (guint i = inventory_polls->len; i-- > 0;) {
        inventory_poll_t *poll = inventory_polls->pdata[i];
        if (poll->until_ms > now_ms)
            continue;
        standin_reply_json(poll->exchange, 200, inventory_describe());
        g_ptr_array_remove_index_fast(inventory_polls, i);
        g_free(poll);
    }
    g_mutex_unlock(&engine_lock);
}

engine_model_t *models_find_loaded(const char *name) {
    engine_model_t *model = g_hash_table_lookup(models, name);
    return model != NULL && model->state == ENGINE_LOADED ? model : NULL;
}

engine_adapter_t *models_find_adapter(engine_model_t *model, const char *name) {
    engine_adapter_t *adapter = g_hash_table_lookup(model->adapters, name);
    return adapter != NULL && adapter->state == ENGINE_LOADED ? adapter : NULL;
}

void models_release(const char *model_name, const char *adapter_name) {
    engine_model_t *model;
    engine_adapter_t *adapter =
        adapter_find(model_name, *adapter_name != '\0' ? adapter_name : NULL, &model);
    if (model != NULL)
        model->running--;
    if (adapter != NULL)
        adapter->running--;
}

static unsigned model_load(const json_t *order, const char *name) {
    engine_model_t *model = g_hash_table_lookup(models, name);
    if (model != NULL) {
        if (model->state == ENGINE_UNLOADING)
            return 409;
        return 202;
    }
    int64_t bytes = wb_json_integer(order, "bytes", 0);
    if (memory_used() + bytes > engine_settings.memory_mib * MIB)
        return 507;
    model = g_new0(engine_model_t, 1);
    model->name = g_strdup(name);
    model->version = wb_json_integer(order, "version", 1);
    model->bytes = bytes;
    model->adapters = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, adapter_free);
    g_hash_table_insert(models, model->name, model);
    job_start(name, NULL, bytes);
    return 202;
}

static unsigned adapter_load(const json_t *order, const char *model_name, const char *name) {
    engine_model_t *model = models_find_loaded(model_name);
    if (model == NULL)
        return 404;
    engine_adapter_t *adapter = g_hash_table_lookup(model->adapters, name);
    if (adapter != NULL)
        return adapter->state == ENGINE_UNLOADING ? 409 : 202;
    int64_t bytes = wb_json_integer(order, "bytes", 0);
    if (memory_used() + bytes > engine_settings.memory_mib * MIB)
        return 507;
    adapter = g_new0(engine_adapter_t, 1);
    adapter->name = g_strdup(name);
    adapter->bytes = bytes;
    g_hash_table_insert(model->adapters, adapter->name, adapter);
    job_start(model_name, name, bytes);
    return 202;
}

static unsigned unload(const char *model_name, const char *adapter_name) {
    engine_model_t *model;
    engine_adapter_t *adapter = adapter_find(model_name, adapter_name, &model);
    if (adapter_name != NULL && adapter != NULL)
        adapter->state = ENGINE_UNLOADING;
    else if (adapter_name == NULL && model != NULL)
        model->state = ENGINE_UNLOADING;
    unloads_finish();
    return 202;
}

/* Applies an order that passed the fence check. Returns its HTTP status. Lock held. */
static unsigned order_apply(const json_t *order) {
    const char *action = wb_json_text(order, "action", "");
    const char *model = wb_json_text(order, "model", "");
    const char *adapter = wb_json_text(order, "adapter", NULL);
    unsigned status = 400;
    if (strcmp(action, "load") == 0)
        status = adapter != NULL ? adapter_load(order, model, adapter) : model_load(order, model);
    else if (strcmp(action, "unload") == 0)
        status = unload(model, adapter);
    else if (strcmp(action, "set_role") == 0) {
        draining = strcmp(wb_json_text(order, "role", ""), "leaving") == 0;
        status = 202;
    }
    if (status == 507) {
        memory_attempts++;
        history_add("memory-attempt", model, adapter);
    }
    return status;
}

static uint64_t fence_parse(const json_t *body) {
    return g_ascii_strtoull(wb_json_text(body, "fence", "0"), NULL, 10);
}

void models_order(wb_http_exchange_t *exchange) {
    json_t *order = standin_read_json(exchange);
    if (order == NULL)
        return;
    uint64_t number = fence_parse(order);
    g_mutex_lock(&engine_lock);
    unsigned status = 409;
    if (number > fence) {
        fence = number;
        status = order_apply(order);
        models_changed();
    } else
        stale_orders++;
    json_t *inventory = inventory_describe();
    g_mutex_unlock(&engine_lock);
    json_decref(order);
    standin_reply_json(exchange, status, inventory);
}

void models_fence(wb_http_exchange_t *exchange) {
    json_t *body = standin_read_json(exchange);
    if (body == NULL)
        return;
    uint64_t number = fence_parse(body);
    g_mutex_lock(&engine_lock);
    unsigned status = number >= fence ? 200 : 409;
    if (number > fence) {
        fence = number;
        models_changed();
    }
    json_t *inventory = inventory_describe();
    g_mutex_unlock(&engine_lock);
    json_decref(body);
    standin_reply_json(exchange, status, inventory);
}

gboolean engine_is_draining(void) {
    g_mutex_lock(&engine_lock);
    gboolean result = draining;
    g_mutex_unlock(&engine_lock);
    return result;
}

void engine_drain(void) {
    g_mutex_lock(&engine_lock);
    draining = TRUE;
    models_changed();
    g_mutex_unlock(&engine_lock);
}
