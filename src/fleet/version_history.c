/* Software versions by service, with when engines last had them and whether streams may begin
 * there. */
#include "fleet/version_history.h"

/* What is stored covers a version until no engine has had it for the horizon divided by this. */
#define STORED_SHARE 2

typedef struct wb_version_entry_t {
    int64_t seen_ms;
    uint64_t number;
    gboolean may_begin;
} wb_version_entry_t;

struct wb_version_history_t {
    GHashTable *services; /* service -> GHashTable: version -> wb_version_entry_t */
    int64_t horizon_ms;
    int64_t began_ms;
    uint64_t number; /* of the latest entry */
};

wb_version_history_t *wb_version_history_create(int64_t horizon_ms, int64_t now_ms) {
    wb_version_history_t *history = g_new0(wb_version_history_t, 1);
    history->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_hash_table_unref);
    history->horizon_ms = horizon_ms;
    history->began_ms = now_ms;
    return history;
}

int64_t wb_version_history_horizon_ms(const wb_version_history_t *history) {
    return history->horizon_ms;
}

void wb_version_history_free(wb_version_history_t *history) {
    g_hash_table_unref(history->services);
    g_free(history);
}

/* @param context time before which a version counts no more */
static gboolean is_old(gpointer key, gpointer value, gpointer context) {
    (void)key;
    return ((const wb_version_entry_t *)value)->seen_ms < *(const int64_t *)context;
}

static GHashTable *service_versions(wb_version_history_t *history, const char *service) {
    GHashTable *versions = g_hash_table_lookup(history->services, service);
    if (versions == NULL) {
        versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(history->services, g_strdup(service), versions);
    }
    return versions;
}

/* Whether what was stored at a time is too old for an engine seen at a later one: by then others
 * may soon count the version no more. */
static gboolean has_lapsed(const wb_version_history_t *history, int64_t stored_ms,
                           int64_t seen_ms) {
    return seen_ms - stored_ms > history->horizon_ms / STORED_SHARE;
}

/* A version that comes back after that is to be stored again, as a new one. */
static gboolean entry_renew(wb_version_history_t *history, wb_version_entry_t *entry,
                            int64_t now_ms) {
    gboolean lapsed = has_lapsed(history, entry->seen_ms, now_ms);
    entry->seen_ms = MAX(entry->seen_ms, now_ms);
    if (lapsed) {
        entry->number = ++history->number;
        entry->may_begin = FALSE;
    }
    return lapsed;
}

/* Returns the entry. @param added out: whether it is new */
static wb_version_entry_t *entry_see(wb_version_history_t *history, const char *service,
                                     const char *software_version, int64_t now_ms,
                                     gboolean *added) {
    GHashTable *versions = service_versions(history, service);
    wb_version_entry_t *entry = g_hash_table_lookup(versions, software_version);
    if (entry != NULL) {
        *added = entry_renew(history, entry, now_ms);
        return entry;
    }
    *added = TRUE;
    int64_t oldest_ms = now_ms - history->horizon_ms;
    g_hash_table_foreach_remove(versions, is_old, &oldest_ms);
    entry = g_new0(wb_version_entry_t, 1);
    *entry = (wb_version_entry_t){now_ms, ++history->number, FALSE};
    g_hash_table_insert(versions, g_strdup(software_version), entry);
    return entry;
}

gboolean wb_version_history_see(wb_version_history_t *history, const char *service,
                                const char *software_version, int64_t now_ms) {
    gboolean added;
    entry_see(history, service, software_version, now_ms, &added);
    return added;
}

gboolean wb_version_history_see_stored(wb_version_history_t *history, const char *service,
                                       const char *software_version, int64_t seen_ms) {
    gboolean added;
    wb_version_entry_t *entry = entry_see(history, service, software_version, seen_ms, &added);
    gboolean was_open = entry->may_begin;
    entry->may_begin |= !has_lapsed(history, seen_ms, entry->seen_ms);
    return entry->may_begin && !was_open;
}

uint64_t wb_version_history_number(const wb_version_history_t *history) {
    return history->number;
}

gboolean wb_version_history_confirm(wb_version_history_t *history, uint64_t number) {
    gboolean changed = FALSE;
    GHashTableIter services;
    gpointer versions;
    g_hash_table_iter_init(&services, history->services);
    while (g_hash_table_iter_next(&services, NULL, &versions)) {
        GHashTableIter iter;
        gpointer value;
        g_hash_table_iter_init(&iter, versions);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            wb_version_entry_t *entry = value;
            if (entry->number > number || entry->may_begin)
                continue;
            entry->may_begin = TRUE;
            changed = TRUE;
        }
    }
    return changed;
}

void wb_version_history_allow_only(wb_version_history_t *history, const char *service) {
    GHashTable *versions = g_hash_table_lookup(history->services, service);
    if (versions == NULL || g_hash_table_size(versions) != 1)
        return;
    GHashTableIter iter;
    gpointer entry;
    g_hash_table_iter_init(&iter, versions);
    g_hash_table_iter_next(&iter, NULL, &entry);
    ((wb_version_entry_t *)entry)->may_begin = TRUE;
}

static gboolean is_open(gpointer key, gpointer value, gpointer context) {
    (void)key;
    (void)context;
    return ((const wb_version_entry_t *)value)->may_begin;
}

void wb_version_history_doubt(wb_version_history_t *history, int64_t now_ms) {
    g_autoptr(GList) services = g_hash_table_get_keys(history->services);
    for (GList *item = services; item != NULL; item = item->next) {
        GHashTable *versions = g_hash_table_lookup(history->services, item->data);
        if (g_hash_table_find(versions, is_open, NULL) == NULL)
            wb_version_history_see(history, item->data, "", now_ms);
    }
}

gboolean wb_version_history_has_service(const wb_version_history_t *history, const char *service) {
    GHashTable *versions = g_hash_table_lookup(history->services, service);
    return versions != NULL && g_hash_table_size(versions) > 0;
}

gboolean wb_version_history_may_begin(const wb_version_history_t *history, const char *service,
                                      const char *software_version) {
    GHashTable *versions = g_hash_table_lookup(history->services, service);
    const wb_version_entry_t *entry =
        versions != NULL ? g_hash_table_lookup(versions, software_version) : NULL;
    return entry != NULL && entry->may_begin;
}

void wb_version_history_set_began(wb_version_history_t *history, int64_t began_ms) {
    history->began_ms = began_ms;
}

int64_t wb_version_history_began_ms(const wb_version_history_t *history) {
    return history->began_ms;
}

void wb_version_history_each(const wb_version_history_t *history, gboolean open_only,
                             int64_t now_ms,
                             void (*visit)(const char *service, const char *software_version,
                                           int64_t age_ms, void *context),
                             void *context) {
    int64_t oldest_ms = now_ms - history->horizon_ms;
    GHashTableIter services;
    gpointer service;
    gpointer versions;
    g_hash_table_iter_init(&services, history->services);
    while (g_hash_table_iter_next(&services, &service, &versions)) {
        GHashTableIter iter;
        gpointer version;
        gpointer value;
        g_hash_table_iter_init(&iter, versions);
        while (g_hash_table_iter_next(&iter, &version, &value)) {
            const wb_version_entry_t *entry = value;
            if (!is_old(version, value, &oldest_ms) && (entry->may_begin || !open_only))
                visit(service, version, MAX(now_ms - entry->seen_ms, 0), context);
        }
    }
}

static gboolean are_mixed(GHashTable *versions, int64_t since_ms) {
    unsigned count = 0;
    GHashTableIter iter;
    gpointer entry;
    g_hash_table_iter_init(&iter, versions);
    while (g_hash_table_iter_next(&iter, NULL, &entry))
        count += !is_old(NULL, entry, &since_ms);
    return count > 1;
}

gboolean wb_version_history_is_mixed(const wb_version_history_t *history, const char *service,
                                     int64_t since_ms) {
    GHashTable *versions = g_hash_table_lookup(history->services, service);
    return versions != NULL && are_mixed(versions, since_ms);
}

gboolean wb_version_history_any_is_mixed(const wb_version_history_t *history, int64_t since_ms) {
    GHashTableIter services;
    gpointer versions;
    g_hash_table_iter_init(&services, history->services);
    while (g_hash_table_iter_next(&services, NULL, &versions))
        if (are_mixed(versions, since_ms))
            return TRUE;
    return FALSE;
}

const char *wb_version_history_sole(const wb_version_history_t *history, const char *service,
                                    int64_t now_ms) {
    GHashTable *versions = g_hash_table_lookup(history->services, service);
    int64_t oldest_ms = now_ms - history->horizon_ms;
    if (versions == NULL || history->began_ms > oldest_ms)
        return NULL;
    const char *sole = NULL;
    GHashTableIter iter;
    gpointer version;
    gpointer value;
    g_hash_table_iter_init(&iter, versions);
    while (g_hash_table_iter_next(&iter, &version, &value)) {
        if (is_old(version, value, &oldest_ms))
            continue;
        if (sole != NULL)
            return NULL;
        sole = version;
    }
    return sole != NULL && *sole != '\0' ? sole : NULL;
}
