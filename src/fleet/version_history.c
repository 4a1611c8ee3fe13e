/* When engines of each software version were last announced, by service. */
#include "fleet/version_history.h"

struct wb_version_history_t {
    GHashTable *services; /* service -> GHashTable: version -> int64_t *, when it was last seen */
    int64_t window_ms;
    int64_t began_ms;
};

wb_version_history_t *wb_version_history_create(int64_t window_ms, int64_t now_ms) {
    wb_version_history_t *history = g_new0(wb_version_history_t, 1);
    history->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_hash_table_unref);
    history->window_ms = window_ms;
    history->began_ms = now_ms;
    return history;
}

int64_t wb_version_history_window_ms(const wb_version_history_t *history) {
    return history->window_ms;
}

void wb_version_history_free(wb_version_history_t *history) {
    g_hash_table_unref(history->services);
    g_free(history);
}

/* @param context time before which a version counts no more */
static gboolean is_old(gpointer key, gpointer value, gpointer context) {
    (void)key;
    return *(const int64_t *)value < *(const int64_t *)context;
}

void wb_version_history_see(wb_version_history_t *history, const char *service,
                            const char *software_version, int64_t now_ms) {
    GHashTable *versions = g_hash_table_lookup(history->services, service);
    if (versions == NULL) {
        versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(history->services, g_strdup(service), versions);
    }
    int64_t *seen_ms = g_hash_table_lookup(versions, software_version);
    if (seen_ms != NULL) {
        *seen_ms = MAX(*seen_ms, now_ms);
        return;
    }
    int64_t window_began_ms = now_ms - history->window_ms;
    g_hash_table_foreach_remove(versions, is_old, &window_began_ms);
    g_hash_table_insert(versions, g_strdup(software_version), g_memdup2(&now_ms, sizeof(now_ms)));
}

void wb_version_history_extend(wb_version_history_t *history, int64_t began_ms) {
    history->began_ms = MIN(history->began_ms, began_ms);
}

int64_t wb_version_history_began_ms(const wb_version_history_t *history) {
    return history->began_ms;
}

void wb_version_history_each(const wb_version_history_t *history, int64_t now_ms,
                             void (*visit)(const char *service, const char *software_version,
                                           int64_t age_ms, void *context),
                             void *context) {
    int64_t window_began_ms = now_ms - history->window_ms;
    GHashTableIter services;
    gpointer service;
    gpointer versions;
    g_hash_table_iter_init(&services, history->services);
    while (g_hash_table_iter_next(&services, &service, &versions)) {
        GHashTableIter iter;
        gpointer version;
        gpointer seen_ms;
        g_hash_table_iter_init(&iter, versions);
        while (g_hash_table_iter_next(&iter, &version, &seen_ms)) {
            if (!is_old(version, seen_ms, &window_began_ms))
                visit(service, version, now_ms - *(const int64_t *)seen_ms, context);
        }
    }
}

void wb_version_history_restart(wb_version_history_t *history, int64_t now_ms) {
    history->began_ms = now_ms;
}

const char *wb_version_history_sole(const wb_version_history_t *history, const char *service,
                                    int64_t now_ms) {
    GHashTable *versions = g_hash_table_lookup(history->services, service);
    int64_t window_began_ms = now_ms - history->window_ms;
    if (versions == NULL || history->began_ms > window_began_ms)
        return NULL;
    const char *sole = NULL;
    GHashTableIter iter;
    gpointer version;
    gpointer seen_ms;
    g_hash_table_iter_init(&iter, versions);
    while (g_hash_table_iter_next(&iter, &version, &seen_ms)) {
        if (is_old(version, seen_ms, &window_began_ms))
            continue;
        if (sole != NULL)
            return NULL;
        sole = version;
    }
    return sole != NULL && *sole != '\0' ? sole : NULL;
}
