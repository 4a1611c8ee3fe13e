/* Control interfaces of many engines in one process, for the scale benchmark. Each 127.x.y.z
 * address on the port is one engine; it takes fenced orders and shows its inventory, but runs no
 * streams. */
#include "../standin_http.h"

#include "wickbridge/json.h"
#include "wickbridge/log.h"
#include "wickbridge/settings.h"

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#define TICK_MS 10
#define BODY_LIMIT_BYTES (1024 * 1024)
#define CAPACITY_BYTES (80LL << 30)
#define BATCH 32

typedef struct hollow_settings_t {
    const char *listen;
    int64_t load_ms;
    int64_t threads;
} hollow_settings_t;

static hollow_settings_t settings;

static const wb_setting_t rows[] = {
    {"listen", WB_SETTING_ADDRESS, "", 0, 0, "0.0.0.0:7600", offsetof(hollow_settings_t, listen),
     "Address to listen on"},
    {"load-ms", WB_SETTING_INTEGER, "ms", 0, 600000, "500", offsetof(hollow_settings_t, load_ms),
     "Time that a load takes"},
    {"threads", WB_SETTING_INTEGER, "threads", 1, 64, "2", offsetof(hollow_settings_t, threads),
     "Threads that serve"},
};

static const wb_settings_table_t table = {
    "wb-hollow-engines", "Many engines' control sides in one process.", rows, G_N_ELEMENTS(rows)};

/* A model or an adapter (key "model+adapter") on an engine. */
typedef struct hollow_resident_t {
    int64_t bytes;
    int64_t loaded_at_ms;
    gboolean loaded;
} hollow_resident_t;

typedef struct hollow_poll_t {
    wb_http_exchange_t *exchange;
    int64_t until_ms;
} hollow_poll_t;

typedef struct hollow_engine_t {
    char *id;
    GMutex lock;
    uint64_t fence;
    int64_t sequence;
    GHashTable *residents; /* name -> hollow_resident_t */
    GPtrArray *polls;
} hollow_engine_t;

static GMutex engines_lock;
static GHashTable *engines;

static int64_t now_ms(void) {
    return g_get_monotonic_time() / 1000;
}

static hollow_engine_t *engine_find_or_create(wb_http_exchange_t *exchange) {
    char address[64];
    wb_http_exchange_local_address(exchange, address, sizeof(address));
    g_mutex_lock(&engines_lock);
    hollow_engine_t *engine = g_hash_table_lookup(engines, address);
    if (engine == NULL) {
        engine = g_new0(hollow_engine_t, 1);
        engine->id = g_strconcat("engine-", address, NULL);
        g_mutex_init(&engine->lock);
        engine->residents = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        engine->polls = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(engines, g_strdup(address), engine);
    }
    g_mutex_unlock(&engines_lock);
    return engine;
}

static json_t *adapters_describe(const hollow_engine_t *engine, const char *model) {
    json_t *list = json_array();
    g_autofree char *prefix = g_strconcat(model, "+", NULL);
    GHashTableIter iterator;
    gpointer key, value;
    g_hash_table_iter_init(&iterator, engine->residents);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const hollow_resident_t *resident = value;
        if (g_str_has_prefix(key, prefix))
            json_array_append_new(list,
                                  json_pack("{s:s, s:I, s:s}", "name", (char *)key + strlen(prefix),
                                            "bytes", (json_int_t)resident->bytes, "state",
                                            resident->loaded ? "loaded" : "loading"));
    }
    return list;
}

static json_t *inventory_describe(const hollow_engine_t *engine) {
    json_t *models = json_array();
    int64_t used = 0;
    GHashTableIter iterator;
    gpointer key, value;
    g_hash_table_iter_init(&iterator, engine->residents);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const hollow_resident_t *resident = value;
        used += resident->bytes;
        if (strchr(key, '+') == NULL)
            json_array_append_new(models,
                                  json_pack("{s:s, s:i, s:I, s:s, s:o}", "name", key, "version", 1,
                                            "bytes", (json_int_t)resident->bytes, "state",
                                            resident->loaded ? "loaded" : "loading", "adapters",
                                            adapters_describe(engine, key)));
    }
    char fence[32];
    g_snprintf(fence, sizeof(fence), "%" G_GUINT64_FORMAT, (guint64)engine->fence);
    return json_pack("{s:s, s:s, s:I, s:I, s:I, s:b, s:i, s:o}", "id", engine->id, "fence", fence,
                     "sequence", (json_int_t)engine->sequence, "capacity_bytes",
                     (json_int_t)CAPACITY_BYTES, "used_bytes", (json_int_t)used, "leaving", 0,
                     "batch", BATCH, "models", models);
}

static void engine_changed(hollow_engine_t *engine) {
    engine->sequence++;
    for (guint i = 0; i < engine->polls->len; i++)
        standin_reply_json(((hollow_poll_t *)engine->polls->pdata[i])->exchange, 200,
                           inventory_describe(engine));
    g_ptr_array_set_size(engine->polls, 0);
}

static gboolean key_is_in_model(gpointer key, gpointer value, gpointer data) {
    (void)value;
    size_t length = strlen(data);
    return strncmp(key, data, length) == 0 &&
           (((char *)key)[length] == '\0' || ((char *)key)[length] == '+');
}

static void order_apply(hollow_engine_t *engine, const json_t *order) {
    const char *adapter = wb_json_text(order, "adapter", NULL);
    const char *model = wb_json_text(order, "model", "");
    g_autofree char *key =
        adapter != NULL ? g_strconcat(model, "+", adapter, NULL) : g_strdup(model);
    if (strcmp(wb_json_text(order, "action", ""), "unload") == 0) {
        g_hash_table_foreach_remove(engine->residents, key_is_in_model, key);
        return;
    }
    hollow_resident_t *resident = g_new0(hollow_resident_t, 1);
    resident->bytes = wb_json_integer(order, "bytes", 0);
    resident->loaded_at_ms = now_ms() + settings.load_ms;
    g_hash_table_replace(engine->residents, g_steal_pointer(&key), resident);
}

static void order_handle(wb_http_exchange_t *exchange, hollow_engine_t *engine,
                         gboolean fence_only) {
    json_t *order = standin_read_json(exchange);
    if (order == NULL)
        return;
    uint64_t fence = g_ascii_strtoull(wb_json_text(order, "fence", "0"), NULL, 10);
    unsigned status = 409;
    g_mutex_lock(&engine->lock);
    if (fence > engine->fence) {
        engine->fence = fence;
        if (!fence_only)
            order_apply(engine, order);
        status = fence_only ? 200 : 202;
        engine_changed(engine);
    }
    json_t *body = inventory_describe(engine);
    g_mutex_unlock(&engine->lock);
    json_decref(order);
    standin_reply_json(exchange, status, body);
}

static void inventory_handle(wb_http_exchange_t *exchange, hollow_engine_t *engine) {
    const char *after = wb_http_exchange_query(exchange, "after");
    const char *wait_ms = wb_http_exchange_query(exchange, "wait_ms");
    g_mutex_lock(&engine->lock);
    if (after != NULL && wait_ms != NULL && g_ascii_strtoll(after, NULL, 10) == engine->sequence) {
        hollow_poll_t *poll = g_new(hollow_poll_t, 1);
        poll->exchange = exchange;
        poll->until_ms = now_ms() + g_ascii_strtoll(wait_ms, NULL, 10);
        g_ptr_array_add(engine->polls, poll);
    } else
        standin_reply_json(exchange, 200, inventory_describe(engine));
    g_mutex_unlock(&engine->lock);
}

static void request_handle(wb_http_exchange_t *exchange, void *context) {
    (void)context;
    const char *path = wb_http_exchange_path(exchange);
    hollow_engine_t *engine = engine_find_or_create(exchange);
    if (strcmp(path, "/engine/v1/orders") == 0)
        order_handle(exchange, engine, FALSE);
    else if (strcmp(path, "/engine/v1/fence") == 0)
        order_handle(exchange, engine, TRUE);
    else if (strcmp(path, "/engine/v1/inventory") == 0)
        inventory_handle(exchange, engine);
    else
        standin_reply_error(exchange, 404, "no_such_path", path, -1);
}

static void engine_tick(hollow_engine_t *engine) {
    gboolean changed = FALSE;
    GHashTableIter iterator;
    gpointer value;
    g_mutex_lock(&engine->lock);
    g_hash_table_iter_init(&iterator, engine->residents);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hollow_resident_t *resident = value;
        if (resident->loaded || resident->loaded_at_ms > now_ms())
            continue;
        resident->loaded = TRUE;
        changed = TRUE;
    }
    if (changed)
        engine_changed(engine);
    for (guint i = engine->polls->len; i-- > 0;) {
        hollow_poll_t *poll = engine->polls->pdata[i];
        if (poll->until_ms > now_ms())
            continue;
        standin_reply_json(poll->exchange, 200, inventory_describe(engine));
        g_ptr_array_remove_index_fast(engine->polls, i);
    }
    g_mutex_unlock(&engine->lock);
}

static gpointer tick_run(gpointer data) {
    (void)data;
    for (;;) {
        g_mutex_lock(&engines_lock);
        g_autoptr(GList) all = g_hash_table_get_values(engines);
        g_mutex_unlock(&engines_lock);
        for (GList *item = all; item != NULL; item = item->next)
            engine_tick(item->data);
        g_usleep(TICK_MS * 1000);
    }
    return NULL;
}

int main(int argc, char **argv) {
    apr_initialize();
    wb_error_t error;
    wb_http_server_t *server;
    if (wb_settings_read(&table, argc, argv, &settings, &error) != APR_SUCCESS) {
        fprintf(stderr, "wb-hollow-engines: %s\n", error.message);
        return 2;
    }
    wb_log_setup(FALSE, G_LOG_LEVEL_WARNING, "hollow");
    standin_signals_block();
    engines = g_hash_table_new(g_str_hash, g_str_equal);
    wb_http_server_options_t options = {.address = settings.listen,
                                        .body_limit_bytes = BODY_LIMIT_BYTES,
                                        .thread_count = (unsigned)settings.threads,
                                        .handler = request_handle};
    if (wb_http_server_start(&server, &options, &error) != APR_SUCCESS) {
        fprintf(stderr, "wb-hollow-engines: %s\n", error.message);
        return 1;
    }
    g_thread_unref(g_thread_new("tick", tick_run, NULL));
    standin_signals_wait();
    return 0;
}
