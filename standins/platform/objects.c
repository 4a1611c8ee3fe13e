/* The object store: complete bodies by name, with a rate limit. */
#include "platform.h"

#include <string.h>

static struct {
    GMutex lock;
    GHashTable *bodies; /* name -> GBytes */
    platform_bucket_t bucket;
    platform_mode_t mode;
} objects;

void objects_setup(double operations_per_s) {
    objects.bodies =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
    objects.bucket.per_s = operations_per_s;
}

void objects_set_fault(platform_mode_t mode) {
    g_mutex_lock(&objects.lock);
    objects.mode = mode;
    g_mutex_unlock(&objects.lock);
}

json_t *objects_counters(void) {
    g_mutex_lock(&objects.lock);
    json_t *counters = json_pack("{s:I, s:I}", "operations", (json_int_t)objects.bucket.taken,
                                 "refused", (json_int_t)objects.bucket.refused);
    g_mutex_unlock(&objects.lock);
    return counters;
}

static void object_put(wb_http_exchange_t *exchange, const char *name) {
    size_t length;
    const char *body = wb_http_exchange_body(exchange, &length);
    g_mutex_lock(&objects.lock);
    g_hash_table_replace(objects.bodies, g_strdup(name), g_bytes_new(body, length));
    g_mutex_unlock(&objects.lock);
    standin_reply_json(exchange, 200, json_object());
}

static void object_get(wb_http_exchange_t *exchange, const char *name) {
    g_mutex_lock(&objects.lock);
    GBytes *body = g_hash_table_lookup(objects.bodies, name);
    if (body != NULL)
        g_bytes_ref(body);
    g_mutex_unlock(&objects.lock);
    if (body == NULL) {
        standin_reply_error(exchange, 404, "no_such_object", name, -1);
        return;
    }
    gsize length;
    const char *data = g_bytes_get_data(body, &length);
    wb_http_exchange_reply(exchange, 200, "application/octet-stream", data, length);
    g_bytes_unref(body);
}

void objects_handle(wb_http_exchange_t *exchange) {
    g_mutex_lock(&objects.lock);
    platform_mode_t mode = objects.mode;
    int64_t retry_after_ms = mode == PLATFORM_UP ? platform_bucket_take(&objects.bucket) : 0;
    g_mutex_unlock(&objects.lock);
    const char *name = wb_http_exchange_path(exchange) + strlen("/objects/v1/");
    const char *method = wb_http_exchange_method(exchange);
    if (mode == PLATFORM_HANG)
        platform_hang(exchange);
    else if (mode == PLATFORM_REFUSE)
        standin_reply_error(exchange, 503, "unavailable", "The object store is down.", 1000);
    else if (retry_after_ms > 0)
        standin_reply_error(exchange, 429, "rate_limited", "Too many operations.", retry_after_ms);
    else if (strcmp(method, "PUT") == 0)
        object_put(exchange, name);
    else if (strcmp(method, "GET") == 0)
        object_get(exchange, name);
    else
        standin_reply_error(exchange, 405, "bad_method", method, -1);
}
