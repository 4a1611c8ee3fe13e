/* How long requests of a kind really wait to be read. */
#include "dispatch/wait_scale.h"

/* Each measurement takes this share from what was summed up before: some fifty count. */
#define FORGET_SHARE 0.02
/* Before so much was predicted in all, the ratio is chance: a few waits of a busy engine. */
#define LEAST_MS 500.0
#define SCALE_LEAST 0.05
#define SCALE_MOST 3.0
/* A single wait counts up to this: beyond, the engine is at fault. */
#define MEASURED_MOST_MS 5000.0
/* Kinds are an operator's routes: some dozen. A configuration may rename them. */
#define KINDS_LIMIT 512

typedef struct wb_kind_waits_t {
    double predicted_ms;
    double measured_ms;
} wb_kind_waits_t;

struct wb_wait_scale_t {
    GHashTable *kinds; /* name -> wb_kind_waits_t */
};

wb_wait_scale_t *wb_wait_scale_create(void) {
    wb_wait_scale_t *scale = g_new0(wb_wait_scale_t, 1);
    scale->kinds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return scale;
}

void wb_wait_scale_free(wb_wait_scale_t *scale) {
    g_hash_table_unref(scale->kinds);
    g_free(scale);
}

void wb_wait_scale_learn(wb_wait_scale_t *scale, const char *kind, double predicted_ms,
                         double measured_ms) {
    wb_kind_waits_t *waits = g_hash_table_lookup(scale->kinds, kind);
    if (waits == NULL) {
        if (g_hash_table_size(scale->kinds) >= KINDS_LIMIT) {
            g_hash_table_remove_all(scale->kinds);
        }
        waits = g_new0(wb_kind_waits_t, 1);
        g_hash_table_insert(scale->kinds, g_strdup(kind), waits);
    }
    waits->predicted_ms = (1 - FORGET_SHARE) * waits->predicted_ms + MAX(predicted_ms, 0);
    waits->measured_ms =
        (1 - FORGET_SHARE) * waits->measured_ms + CLAMP(measured_ms, 0, MEASURED_MOST_MS);
}

double wb_wait_scale_get(const wb_wait_scale_t *scale, const char *kind) {
    const wb_kind_waits_t *waits = g_hash_table_lookup(scale->kinds, kind);
    if (waits == NULL || waits->predicted_ms < LEAST_MS) {
        return 1;
    }
    return CLAMP(waits->measured_ms / waits->predicted_ms, SCALE_LEAST, SCALE_MOST);
}
