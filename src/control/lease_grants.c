/* Grants of the lease holder: the engines that it may send orders to. */
#include "control/lease_grants.h"

#include <string.h>

/* A row with more names would exceed the store's limit for a row (64 KiB); it grants any engine
 * instead. */
#define MAX_NAMES 1500

typedef struct wb_grant_t {
    int64_t requested_ms; /* when an order was last requested; 0: never */
    uint64_t beat; /* of the first row that lists the engine, as all later ones do; 0: none does */
    int64_t blocked_until_ms; /* another holder may have ordered it recently; 0: never blocked */
} wb_grant_t;

struct wb_lease_grants_t {
    int64_t handover_interval_ms;
    GHashTable *engines;          /* id -> wb_grant_t */
    int64_t all_blocked_until_ms; /* until then any engine counts as recently ordered */
    uint64_t written_beat;        /* of this node's newest row that is known to be in the store */
    GPtrArray *granted;           /* names in the last row, owned by `engines` or by `dropped` */
    GPtrArray *inherited;
    GPtrArray *dropped; /* names removed from `engines` that the last row may still borrow */
};

wb_lease_grants_t *wb_lease_grants_create(int64_t handover_interval_ms) {
    wb_lease_grants_t *grants = g_new0(wb_lease_grants_t, 1);
    grants->handover_interval_ms = handover_interval_ms;
    grants->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    grants->granted = g_ptr_array_new();
    grants->inherited = g_ptr_array_new();
    grants->dropped = g_ptr_array_new_with_free_func(g_free);
    return grants;
}

static gboolean engine_drop(gpointer name, gpointer grant, gpointer context) {
    (void)grant;
    wb_lease_grants_t *grants = context;
    g_ptr_array_add(grants->dropped, name);
    return TRUE;
}

static void names_clear(wb_lease_grants_t *grants) {
    g_ptr_array_set_size(grants->granted, 0);
    g_ptr_array_set_size(grants->inherited, 0);
    g_ptr_array_set_size(grants->dropped, 0);
}

void wb_lease_grants_free(wb_lease_grants_t *grants) {
    g_hash_table_foreach_remove(grants->engines, engine_drop, grants);
    g_hash_table_unref(grants->engines);
    g_ptr_array_unref(grants->granted);
    g_ptr_array_unref(grants->inherited);
    g_ptr_array_unref(grants->dropped);
    g_free(grants);
}

static wb_grant_t *grant_get(wb_lease_grants_t *grants, const char *engine) {
    wb_grant_t *grant = g_hash_table_lookup(grants->engines, engine);
    if (grant == NULL) {
        grant = g_new0(wb_grant_t, 1);
        g_hash_table_insert(grants->engines, g_strdup(engine), grant);
    }
    return grant;
}

void wb_lease_grants_begin(wb_lease_grants_t *grants, const wb_lease_row_t *row, gboolean same,
                           int64_t until_ms, int64_t now_ms) {
    g_hash_table_foreach_remove(grants->engines, engine_drop, grants);
    grants->written_beat = 0;
    grants->all_blocked_until_ms = 0;
    if (row == NULL) {
        return;
    }
    if (!row->has_grants || row->grants_unlisted) {
        grants->all_blocked_until_ms = until_ms;
        return;
    }
    for (guint i = 0; i < row->granted_count; i++) {
        wb_grant_t *grant = grant_get(grants, row->granted[i]);
        grant->requested_ms = same ? now_ms : 0;
        grant->blocked_until_ms = same ? 0 : until_ms;
    }
    for (guint i = 0; i < row->inherited_count; i++) {
        grant_get(grants, row->inherited[i])->blocked_until_ms = until_ms;
    }
}

int64_t wb_lease_grants_blocked_ms(const wb_lease_grants_t *grants, const char *engine,
                                   int64_t now_ms) {
    const wb_grant_t *grant = g_hash_table_lookup(grants->engines, engine);
    int64_t until_ms =
        MAX(grants->all_blocked_until_ms, grant != NULL ? grant->blocked_until_ms : 0);
    return MAX(until_ms - now_ms, 0);
}

int64_t wb_lease_grants_request(wb_lease_grants_t *grants, const char *engine, int64_t now_ms) {
    wb_grant_t *grant = grant_get(grants, engine);
    grant->requested_ms = now_ms;
    int64_t blocked_ms = wb_lease_grants_blocked_ms(grants, engine, now_ms);
    if (blocked_ms > 0) {
        return blocked_ms;
    }
    return grant->beat != 0 && grant->beat <= grants->written_beat ? 0 : -1;
}

gboolean wb_lease_grants_has_pending(const wb_lease_grants_t *grants) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, grants->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_grant_t *grant = value;
        if (grant->requested_ms != 0 && (grant->beat == 0 || grant->beat > grants->written_beat)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Context of engine_expire. */
typedef struct wb_expiry_context_t {
    wb_lease_grants_t *grants;
    int64_t now_ms;
} wb_expiry_context_t;

/* Drops an engine that neither this holder nor the previous one can have ordered recently. */
static gboolean engine_expire(gpointer name, gpointer value, gpointer context) {
    const wb_grant_t *grant = value;
    wb_expiry_context_t *data = context;
    gboolean recently_requested =
        grant->requested_ms != 0 &&
        data->now_ms - grant->requested_ms < data->grants->handover_interval_ms;
    if (recently_requested || data->now_ms < grant->blocked_until_ms) {
        return FALSE;
    }
    g_ptr_array_add(data->grants->dropped, name);
    return TRUE;
}

void wb_lease_grants_fill_row(wb_lease_grants_t *grants, wb_lease_row_t *row, int64_t now_ms) {
    names_clear(grants);
    wb_expiry_context_t data = {grants, now_ms};
    g_hash_table_foreach_remove(grants->engines, engine_expire, &data);
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    g_hash_table_iter_init(&iter, grants->engines);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        wb_grant_t *grant = value;
        if (grant->requested_ms != 0 && grant->beat == 0) {
            grant->beat = row->beat;
        }
        if (now_ms < grant->blocked_until_ms) {
            g_ptr_array_add(grants->inherited, name);
        } else {
            g_ptr_array_add(grants->granted, name);
        }
    }
    row->has_grants = TRUE;
    row->grants_unlisted =
        now_ms < grants->all_blocked_until_ms || g_hash_table_size(grants->engines) > MAX_NAMES;
    row->granted = row->grants_unlisted ? NULL : (char **)grants->granted->pdata;
    row->granted_count = row->grants_unlisted ? 0 : grants->granted->len;
    row->inherited = row->grants_unlisted ? NULL : (char **)grants->inherited->pdata;
    row->inherited_count = row->grants_unlisted ? 0 : grants->inherited->len;
}

void wb_lease_grants_on_written(wb_lease_grants_t *grants, uint64_t beat) {
    grants->written_beat = MAX(grants->written_beat, beat);
}
