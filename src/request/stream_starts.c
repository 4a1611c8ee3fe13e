/* The software versions at which streams began, in a table by key and a list by age. */
#include "request/stream_starts.h"

struct wb_stream_starts_t {
    GHashTable *by_key;   /* wb_request_digest_t, in the entry -> wb_stream_start_t */
    GHashTable *services; /* name -> number of its entries */
    wb_list_t entries;
    uint64_t number;
};

wb_request_digest_t wb_stream_key(const char *tenant, const char *request_id) {
    wb_request_content_t content = {.method = "stream",
                                    .host = "",
                                    .target = request_id,
                                    .tenant = tenant,
                                    .body = (const guint8 *)""};
    return wb_request_digest(&content);
}

wb_stream_starts_t *wb_stream_starts_create(void) {
    wb_stream_starts_t *starts = g_new0(wb_stream_starts_t, 1);
    starts->by_key = g_hash_table_new(wb_request_digest_hash, wb_request_digest_key_equal);
    starts->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    wb_list_init(&starts->entries);
    return starts;
}

/* Adds to the number of a service's entries. */
static void service_count(wb_stream_starts_t *starts, const char *service, int change) {
    int count = GPOINTER_TO_INT(g_hash_table_lookup(starts->services, service)) + change;
    if (count == 0)
        g_hash_table_remove(starts->services, service);
    else
        g_hash_table_replace(starts->services, g_strdup(service), GINT_TO_POINTER(count));
}

static void entry_drop(wb_stream_starts_t *starts, wb_stream_start_t *start) {
    g_hash_table_remove(starts->by_key, &start->key);
    service_count(starts, start->service, -1);
    wb_list_remove(&starts->entries, &start->item);
    g_free(start->service);
    g_free(start->software_version);
    g_free(start);
}

void wb_stream_starts_free(wb_stream_starts_t *starts) {
    WB_LIST_EACH_SAFE(item, &starts->entries) {
        entry_drop(starts, WB_LIST_OF(item, wb_stream_start_t, item));
    }
    g_hash_table_unref(starts->by_key);
    g_hash_table_unref(starts->services);
    g_free(starts);
}

static wb_stream_start_t *entry_add(wb_stream_starts_t *starts, const wb_request_digest_t *key,
                                    const char *service, const char *software_version,
                                    int64_t until_ms) {
    if (wb_stream_starts_find(starts, key) != NULL)
        return NULL;
    if (starts->entries.len >= WB_STREAM_STARTS_MAX)
        entry_drop(starts, WB_LIST_OF(wb_list_first(&starts->entries), wb_stream_start_t, item));
    wb_stream_start_t *start = g_new0(wb_stream_start_t, 1);
    *start = (wb_stream_start_t){.key = *key,
                                 .service = g_strdup(service),
                                 .software_version = g_strdup(software_version),
                                 .until_ms = until_ms,
                                 .number = ++starts->number};
    g_hash_table_insert(starts->by_key, &start->key, start);
    service_count(starts, service, 1);
    wb_list_add_tail(&starts->entries, &start->item);
    return start;
}

const wb_stream_start_t *wb_stream_starts_add(wb_stream_starts_t *starts,
                                              const wb_request_digest_t *key, const char *service,
                                              const char *software_version, int64_t until_ms) {
    return entry_add(starts, key, service, software_version, until_ms);
}

gboolean wb_stream_starts_restore(wb_stream_starts_t *starts, const wb_request_digest_t *key,
                                  const char *service, const char *software_version,
                                  int64_t until_ms) {
    wb_stream_start_t *start = entry_add(starts, key, service, software_version, until_ms);
    if (start != NULL)
        start->is_restored = TRUE;
    return start != NULL;
}

const wb_stream_start_t *wb_stream_starts_find(const wb_stream_starts_t *starts,
                                               const wb_request_digest_t *key) {
    return g_hash_table_lookup(starts->by_key, key);
}

GHashTable *wb_stream_starts_services(const wb_stream_starts_t *starts) {
    return starts->services;
}

const wb_list_t *wb_stream_starts_all(const wb_stream_starts_t *starts) {
    return &starts->entries;
}

uint64_t wb_stream_starts_number(const wb_stream_starts_t *starts) {
    return starts->number;
}

void wb_stream_starts_sweep(wb_stream_starts_t *starts, int64_t now_ms) {
    WB_LIST_EACH_SAFE(item, &starts->entries) {
        wb_stream_start_t *start = WB_LIST_OF(item, wb_stream_start_t, item);
        if (now_ms >= start->until_ms)
            entry_drop(starts, start);
    }
}
