/* The table service: versioned rows, and transactions of checks and writes, with a rate limit. */
#include "platform.h"

#include "wickbridge/json.h"

#include <string.h>

typedef struct table_row_t {
    int64_t version;
    json_t *value;
} table_row_t;

static struct {
    GMutex lock;
    GTree *rows;
    int64_t version;
    platform_bucket_t bucket;
    platform_mode_t mode;
    int64_t delay_ms;
} table;

static void row_free(gpointer data) {
    table_row_t *row = data;
    json_decref(row->value);
    g_free(row);
}

static gint key_compare(gconstpointer left, gconstpointer right, gpointer data) {
    (void)data;
    return strcmp(left, right);
}

void table_setup(double operations_per_s) {
    table.rows = g_tree_new_full(key_compare, NULL, g_free, row_free);
    table.bucket.per_s = operations_per_s;
}

void table_set_fault(platform_mode_t mode, int64_t delay_ms) {
    g_mutex_lock(&table.lock);
    table.mode = mode;
    table.delay_ms = delay_ms;
    g_mutex_unlock(&table.lock);
}

json_t *table_counters(void) {
    g_mutex_lock(&table.lock);
    json_t *counters = json_pack("{s:I, s:I}", "operations", (json_int_t)table.bucket.taken,
                                 "refused", (json_int_t)table.bucket.refused);
    g_mutex_unlock(&table.lock);
    return counters;
}

static json_t *row_describe(const char *key) {
    const table_row_t *row = g_tree_lookup(table.rows, key);
    if (row == NULL)
        return json_pack("{s:s, s:I, s:n}", "key", key, "version", (json_int_t)0, "value");
    return json_pack("{s:s, s:I, s:O}", "key", key, "version", (json_int_t)row->version, "value",
                     row->value);
}

/* Returns the current row of the first failed check, or NULL. Lock held. */
static json_t *conflict_find(const json_t *checks) {
    size_t index;
    json_t *check;
    json_array_foreach(checks, index, check) {
        const char *key = wb_json_text(check, "key", "");
        const table_row_t *row = g_tree_lookup(table.rows, key);
        int64_t version = row != NULL ? row->version : 0;
        if (version != wb_json_integer(check, "version", 0))
            return row_describe(key);
    }
    return NULL;
}

static void writes_apply(const json_t *writes) {
    size_t index;
    json_t *write;
    table.version++;
    json_array_foreach(writes, index, write) {
        const char *key = wb_json_text(write, "key", "");
        json_t *value = json_object_get(write, "value");
        if (value == NULL || json_is_null(value)) {
            g_tree_remove(table.rows, key);
            continue;
        }
        table_row_t *row = g_new0(table_row_t, 1);
        row->version = table.version;
        row->value = json_incref(value);
        g_tree_replace(table.rows, g_strdup(key), row);
    }
}

static void transact(wb_http_exchange_t *exchange) {
    json_t *body = standin_read_json(exchange);
    if (body == NULL)
        return;
    g_mutex_lock(&table.lock);
    json_t *conflict = conflict_find(json_object_get(body, "checks"));
    if (conflict == NULL)
        writes_apply(json_object_get(body, "writes"));
    int64_t version = table.version;
    g_mutex_unlock(&table.lock);
    json_decref(body);
    if (conflict != NULL)
        standin_reply_json(exchange, 409, json_pack("{s:o}", "conflict", conflict));
    else
        standin_reply_json(exchange, 200, json_pack("{s:I}", "version", (json_int_t)version));
}

static void row_get(wb_http_exchange_t *exchange) {
    const char *key = wb_http_exchange_query(exchange, "key");
    g_mutex_lock(&table.lock);
    json_t *row = row_describe(key != NULL ? key : "");
    g_mutex_unlock(&table.lock);
    standin_reply_json(exchange, 200, row);
}

typedef struct table_scan_t {
    const char *prefix;
    json_t *rows;
} table_scan_t;

static gboolean scan_visit(gpointer key, gpointer value, gpointer data) {
    (void)value;
    table_scan_t *scan = data;
    if (g_str_has_prefix(key, scan->prefix))
        json_array_append_new(scan->rows, row_describe(key));
    return FALSE;
}

static void rows_scan(wb_http_exchange_t *exchange) {
    const char *prefix = wb_http_exchange_query(exchange, "prefix");
    table_scan_t scan = {prefix != NULL ? prefix : "", json_array()};
    g_mutex_lock(&table.lock);
    g_tree_foreach(table.rows, scan_visit, &scan);
    g_mutex_unlock(&table.lock);
    standin_reply_json(exchange, 200, json_pack("{s:o}", "rows", scan.rows));
}

void table_handle(wb_http_exchange_t *exchange) {
    g_mutex_lock(&table.lock);
    platform_mode_t mode = table.mode;
    int64_t delay_ms = table.delay_ms;
    int64_t retry_after_ms = mode == PLATFORM_UP ? platform_bucket_take(&table.bucket) : 0;
    g_mutex_unlock(&table.lock);
    const char *path = wb_http_exchange_path(exchange);
    if (delay_ms > 0)
        g_usleep((gulong)delay_ms * 1000);
    if (mode == PLATFORM_HANG)
        platform_hang(exchange);
    else if (mode == PLATFORM_REFUSE)
        standin_reply_error(exchange, 503, "unavailable", "The table service is down.", 1000);
    else if (retry_after_ms > 0)
        standin_reply_error(exchange, 429, "rate_limited", "Too many operations.", retry_after_ms);
    else if (strcmp(path, "/table/v1/transact") == 0)
        transact(exchange);
    else if (strcmp(path, "/table/v1/row") == 0)
        row_get(exchange);
    else if (strcmp(path, "/table/v1/scan") == 0)
        rows_scan(exchange);
    else
        standin_reply_error(exchange, 404, "no_such_path", path, -1);
}
