/* Models whose loads crash engines. */
#include "control/load_faults.h"

typedef struct wb_load_fault_t {
    guint engines; /* that ended in a row */
    int64_t pause_ms;
    int64_t until_ms;
} wb_load_fault_t;

struct wb_load_faults_t {
    GHashTable *models; /* SERVICE/MODEL -> wb_load_fault_t; few, and of the configuration */
};

wb_load_faults_t *wb_load_faults_create(void) {
    wb_load_faults_t *faults = g_new0(wb_load_faults_t, 1);
    faults->models = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return faults;
}

void wb_load_faults_free(wb_load_faults_t *faults) {
    g_hash_table_unref(faults->models);
    g_free(faults);
}

static char *key_of(const char *service, const char *model) {
    return g_strjoin("/", service, model, NULL);
}

guint wb_load_faults_record_crash(wb_load_faults_t *faults, const char *service, const char *model,
                             int64_t now_ms) {
    g_autofree char *key = key_of(service, model);
    wb_load_fault_t *fault = g_hash_table_lookup(faults->models, key);
    if (fault == NULL) {
        fault = g_new0(wb_load_fault_t, 1);
        g_hash_table_insert(faults->models, g_steal_pointer(&key), fault);
    }
    fault->engines++;
    if (fault->engines >= WB_LOAD_FAULTS_MAX_CRASHES) {
        fault->pause_ms =
            CLAMP(2 * fault->pause_ms, WB_LOAD_FAULTS_BACKOFF_MIN_MS, WB_LOAD_FAULTS_BACKOFF_MAX_MS);
        fault->until_ms = now_ms + fault->pause_ms;
    }
    return fault->engines;
}

void wb_load_faults_record_success(wb_load_faults_t *faults, const char *service, const char *model) {
    if (!wb_load_faults_any(faults)) {
        return;
    }
    g_autofree char *key = key_of(service, model);
    g_hash_table_remove(faults->models, key);
}

gboolean wb_load_faults_any(const wb_load_faults_t *faults) {
    return g_hash_table_size(faults->models) > 0;
}

int64_t wb_load_faults_backoff_ms(const wb_load_faults_t *faults, const char *service,
                                 const char *model, int64_t now_ms) {
    if (!wb_load_faults_any(faults)) {
        return 0;
    }
    g_autofree char *key = key_of(service, model);
    const wb_load_fault_t *fault = g_hash_table_lookup(faults->models, key);
    return fault != NULL ? MAX(fault->until_ms - now_ms, 0) : 0;
}
