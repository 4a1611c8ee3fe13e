/* The versions of a table's rows that are known here, also of removed ones. */
#include "control/table_rows.h"

#include "wickbridge/loop.h"

/* Removed rows are remembered so that older data from peers doesn't restore them. Beyond the
 * maximum number, those older than the TTL are dropped. */
#define TOMBSTONE_TTL_MS 60000
#define MAX_TOMBSTONES 256

/* A row that was removed. */
typedef struct wb_tombstone_t {
    int64_t version;
    int64_t removed_ms;
} wb_tombstone_t;

struct wb_table_rows_t {
    GHashTable *versions;   /* key -> int64_t *, of existing rows */
    GHashTable *tombstones; /* key -> wb_tombstone_t */
};

wb_table_rows_t *wb_table_rows_create(void) {
    wb_table_rows_t *rows = g_new0(wb_table_rows_t, 1);
    rows->tombstones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    rows->versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return rows;
}

void wb_table_rows_clear(wb_table_rows_t *rows) {
    g_hash_table_remove_all(rows->versions);
}

guint wb_table_rows_count(const wb_table_rows_t *rows) {
    return g_hash_table_size(rows->versions);
}

static gboolean tombstone_is_expired(gpointer key, gpointer value, gpointer context) {
    (void)key;
    return ((wb_tombstone_t *)value)->removed_ms < *(int64_t *)context;
}

static void tombstone_add(wb_table_rows_t *rows, const char *key, int64_t version) {
    int64_t now_ms = wb_clock_ms();
    if (g_hash_table_size(rows->tombstones) >= MAX_TOMBSTONES) {
        int64_t oldest_ms = now_ms - TOMBSTONE_TTL_MS;
        g_hash_table_foreach_remove(rows->tombstones, tombstone_is_expired, &oldest_ms);
    }
    wb_tombstone_t tombstone = {version, now_ms};
    g_hash_table_replace(rows->tombstones, g_strdup(key), g_memdup2(&tombstone, sizeof(tombstone)));
}

/* Returns the known version of a row, removed or not; 0: unknown. */
static int64_t known_version(const wb_table_rows_t *rows, const char *key) {
    const int64_t *known = g_hash_table_lookup(rows->versions, key);
    const wb_tombstone_t *tombstone = g_hash_table_lookup(rows->tombstones, key);
    if (known != NULL)
        return *known;
    return tombstone != NULL ? tombstone->version : 0;
}

wb_row_change_t wb_table_rows_apply(wb_table_rows_t *rows, const wb_table_row_t *row,
                                    int64_t oldest) {
    int64_t known = known_version(rows, row->key);
    if (known > row->version || row->version < oldest)
        return WB_ROW_OLDER;
    if (row->value == NULL) {
        tombstone_add(rows, row->key, row->version);
        return g_hash_table_remove(rows->versions, row->key) ? WB_ROW_CHANGED : WB_ROW_NOT_HERE;
    }
    g_hash_table_replace(rows->versions, g_strdup(row->key),
                         g_memdup2(&row->version, sizeof(row->version)));
    g_hash_table_remove(rows->tombstones, row->key);
    return known == row->version ? WB_ROW_SAME : WB_ROW_CHANGED;
}

gboolean wb_table_rows_was_removed_before(const wb_table_rows_t *rows, const wb_table_row_t *row) {
    const wb_tombstone_t *tombstone = g_hash_table_lookup(rows->tombstones, row->key);
    return tombstone != NULL &&
           wb_store_version_era(tombstone->version) < wb_store_version_era(row->version);
}

GPtrArray *wb_table_rows_remove_others(wb_table_rows_t *rows, GHashTable *present,
                                       int64_t version) {
    GPtrArray *removed = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, rows->versions);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        if (g_hash_table_contains(present, key))
            continue;
        g_ptr_array_add(removed, g_strdup(key));
        tombstone_add(rows, key, version);
        g_hash_table_iter_remove(&iter);
    }
    return removed;
}
