/* The stand-in's store loses its last seconds: it doesn't answer for a moment, and comes back from
 * an older copy, with the next era. */
#include "store_internal.h"

#include <string.h>

/* Table that only the nodes write: what is lost of it isn't written again. */
#define NODES_TABLE "wickbridge"

/* The last write of a row that was lost. */
typedef struct wb_estate_lost_t {
    char *table; /* borrowed from the row, like key */
    char *key;
    char *value; /* base64; NULL: removed */
    int64_t version;
} wb_estate_lost_t;

static void lost_free(wb_estate_lost_t *lost) {
    g_free(lost->value);
    g_free(lost);
}

/* Adds a lost write, instead of one of the same row that an earlier rollback has lost. */
static void lost_add(wb_estate_store_t *store, wb_estate_lost_t *lost) {
    for (guint i = 0; i < store->lost->len; i++) {
        wb_estate_lost_t *other = g_ptr_array_index(store->lost, i);
        if (other->key == lost->key) {
            lost_free(other);
            g_ptr_array_remove_index(store->lost, i);
            break;
        }
    }
    g_ptr_array_add(store->lost, lost);
}

/* Drops a row's versions after a time. The newest of the dropped ones goes to the lost writes. */
static void row_roll_back(wb_estate_store_t *store, wb_estate_row_t *row, int64_t to_ms) {
    wb_estate_lost_t *lost = NULL;
    guint kept = row->trimmed ? 1 : 0;
    while (row->versions->len > kept) {
        wb_estate_row_version_t *last =
            &g_array_index(row->versions, wb_estate_row_version_t, row->versions->len - 1);
        if (last->at_ms <= to_ms)
            break;
        if (lost == NULL) {
            lost = g_new0(wb_estate_lost_t, 1);
            *lost = (wb_estate_lost_t){row->table, row->key, last->value, last->version};
        } else {
            g_free(last->value);
        }
        g_array_set_size(row->versions, row->versions->len - 1);
    }
    if (lost == NULL)
        return;
    g_free(row->value);
    row->value = NULL;
    row->version = 0;
    if (row->versions->len > 0) {
        const wb_estate_row_version_t *last =
            &g_array_index(row->versions, wb_estate_row_version_t, row->versions->len - 1);
        row->value = g_strdup(last->value);
        row->version = last->version;
    }
    lost_add(store, lost);
}

static gint lost_compare_version(gconstpointer left, gconstpointer right) {
    const wb_estate_lost_t *a = *(wb_estate_lost_t *const *)left;
    const wb_estate_lost_t *b = *(wb_estate_lost_t *const *)right;
    return a->version < b->version ? -1 : a->version > b->version;
}

/* Operators and engines write again what was lost, unless the row was written meanwhile. */
static void lost_write(void *context) {
    wb_estate_store_t *store = context;
    for (guint i = 0; i < store->lost->len; i++) {
        wb_estate_lost_t *lost = g_ptr_array_index(store->lost, i);
        const wb_estate_row_t *row = wb_estate_row_find(store, lost->table, lost->key);
        gboolean written_since =
            row != NULL && row->versions->len > 0 &&
            g_array_index(row->versions, wb_estate_row_version_t, row->versions->len - 1).at_ms >
                store->returned_ms;
        if (strcmp(lost->table, NODES_TABLE) != 0 && !written_since &&
            g_strcmp0(row != NULL ? row->value : NULL, lost->value) != 0) {
            store->version++;
            wb_estate_row_write(store, lost->table, lost->key, lost->value);
            wb_estate_polls_answer(store, lost->table);
        }
        lost_free(lost);
    }
    g_ptr_array_set_size(store->lost, 0);
}

static void rollback_end(void *context) {
    wb_estate_store_t *store = context;
    store->version = 0;
    for (guint i = 0; i < store->rows->len; i++) {
        wb_estate_row_t *row = g_ptr_array_index(store->rows, i);
        row_roll_back(store, row, store->rollback_to_ms);
        store->version = MAX(store->version, row->version);
    }
    g_ptr_array_sort(store->lost, lost_compare_version);
    store->era++;
    store->history_from = MIN(store->history_from, store->version);
    store->returned_ms = wb_clock_ms();
    store->rollbacks--;
    wb_loop_after(store->loop, store->rewrite_ms, lost_write, store);
}

void wb_estate_store_skip_versions(wb_estate_store_t *store, int64_t count) {
    store->version += count;
}

void wb_estate_store_roll_back(wb_estate_store_t *store, int64_t back_ms, int64_t away_ms,
                               int64_t rewrite_ms) {
    store->rollback_to_ms = wb_clock_ms() - back_ms;
    store->rewrite_ms = rewrite_ms;
    store->rollbacks++;
    wb_estate_polls_abort(store);
    wb_loop_after(store->loop, away_ms, rollback_end, store);
}
