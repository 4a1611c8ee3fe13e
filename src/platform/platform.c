/* Speaks the platform's protocol: table service, object store, machine list. */
#include "wickbridge/platform.h"

#include <stdlib.h>
#include <string.h>

struct wb_platform_t {
    wb_http_client_t *client;
    wb_loop_t *loop;
    char *base_url;
    int64_t timeout_ms;
    int64_t table_operations;
};

typedef struct platform_call_t {
    wb_platform_done_fn done;
    void *context;
} platform_call_t;

wb_platform_t *wb_platform_create(wb_http_client_t *client, wb_loop_t *loop, const char *address,
                                  const char *scheme, int64_t timeout_ms) {
    wb_platform_t *platform = g_new0(wb_platform_t, 1);
    platform->client = client;
    platform->loop = loop;
    platform->base_url = *address != '\0' ? g_strdup_printf("%s://%s", scheme, address) : NULL;
    platform->timeout_ms = timeout_ms;
    return platform;
}

void wb_platform_free(wb_platform_t *platform) {
    g_free(platform->base_url);
    g_free(platform);
}

static wb_platform_status_t status_from(const wb_http_result_t *result) {
    if (result->outcome == WB_HTTP_NOT_SENT)
        return WB_PLATFORM_UNAVAILABLE;
    if (result->outcome == WB_HTTP_INCOMPLETE)
        return WB_PLATFORM_UNKNOWN;
    switch (result->status) {
    case 200:
        return WB_PLATFORM_DONE;
    case 404:
        return WB_PLATFORM_NOT_FOUND;
    case 409:
        return WB_PLATFORM_CONFLICT;
    case 429:
    case 503:
        return WB_PLATFORM_UNAVAILABLE;
    default:
        return WB_PLATFORM_UNKNOWN;
    }
}

static void call_done(const wb_http_result_t *result, void *context) {
    platform_call_t *call = context;
    wb_platform_status_t status = status_from(result);
    json_t *body = json_loadb(result->body, result->body_length, 0, NULL);
    if (body == NULL && status == WB_PLATFORM_DONE)
        status = WB_PLATFORM_UNKNOWN;
    call->done(status, body, call->context);
    json_decref(body);
    g_free(call);
}

static void unavailable_deliver(void *context) {
    platform_call_t *call = context;
    call->done(WB_PLATFORM_UNAVAILABLE, NULL, call->context);
    g_free(call);
}

static void call_start(wb_platform_t *platform, const char *method, const char *path,
                       const char *body, wb_platform_done_fn done, void *context) {
    platform_call_t *call = g_new(platform_call_t, 1);
    call->done = done;
    call->context = context;
    if (platform->base_url == NULL) {
        wb_loop_post(platform->loop, unavailable_deliver, call);
        return;
    }
    g_autofree char *url = g_strconcat(platform->base_url, path, NULL);
    wb_http_request_t request = {.method = method,
                                 .url = url,
                                 .body = body,
                                 .body_length = body != NULL ? strlen(body) : 0,
                                 .timeout_ms = platform->timeout_ms,
                                 .send_once = strcmp(method, "POST") == 0,
                                 .on_done = call_done,
                                 .context = call};
    wb_http_client_fetch(platform->client, platform->loop, &request);
}

json_t *wb_platform_make_check(const char *key, int64_t version) {
    return json_pack("{s:s, s:I}", "key", key, "version", (json_int_t)version);
}

json_t *wb_platform_make_write(const char *key, json_t *value) {
    return json_pack("{s:s, s:o}", "key", key, "value", value != NULL ? value : json_null());
}

void wb_platform_transact(wb_platform_t *platform, json_t *checks, json_t *writes,
                          wb_platform_done_fn done, void *context) {
    json_t *body = json_pack("{s:o, s:o}", "checks", checks, "writes", writes);
    char *text = wb_json_dump(body);
    platform->table_operations++;
    call_start(platform, "POST", "/table/v1/transact", text, done, context);
    free(text);
    json_decref(body);
}

static void query_start(wb_platform_t *platform, const char *path, const char *argument,
                        wb_platform_done_fn done, void *context) {
    g_autofree char *escaped = g_uri_escape_string(argument, NULL, FALSE);
    g_autofree char *full = g_strconcat(path, escaped, NULL);
    call_start(platform, "GET", full, NULL, done, context);
}

void wb_platform_read_row(wb_platform_t *platform, const char *key, wb_platform_done_fn done,
                     void *context) {
    platform->table_operations++;
    query_start(platform, "/table/v1/row?key=", key, done, context);
}

void wb_platform_scan_rows(wb_platform_t *platform, const char *prefix, wb_platform_done_fn done,
                      void *context) {
    platform->table_operations++;
    query_start(platform, "/table/v1/scan?prefix=", prefix, done, context);
}

void wb_platform_object_put(wb_platform_t *platform, const char *name, const json_t *body,
                            wb_platform_done_fn done, void *context) {
    g_autofree char *path = g_strconcat("/objects/v1/", name, NULL);
    char *text = wb_json_dump(body);
    call_start(platform, "PUT", path, text, done, context);
    free(text);
}

void wb_platform_object_get(wb_platform_t *platform, const char *name, wb_platform_done_fn done,
                            void *context) {
    g_autofree char *path = g_strconcat("/objects/v1/", name, NULL);
    call_start(platform, "GET", path, NULL, done, context);
}

void wb_platform_list_machines(wb_platform_t *platform, int64_t after, wb_platform_done_fn done,
                          void *context) {
    g_autofree char *path =
        g_strdup_printf("/machines/v1/list?after=%" G_GINT64_FORMAT, (gint64)after);
    call_start(platform, "GET", path, NULL, done, context);
}

int64_t wb_platform_table_operations(const wb_platform_t *platform) {
    return platform->table_operations;
}
