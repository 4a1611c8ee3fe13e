/* Ratio of measured to predicted waits for prefill, by route. */
#include "dispatch/wait_scale.h"

/* Share of the sums that decays with each measurement. */
#define DECAY 0.02
/* The ratio isn't used while the decayed sum of predicted waits is below this. */
#define PREDICTED_MIN_MS 500.0
#define SCALE_MIN 0.05
#define SCALE_MAX 3.0
/* Longer waits are due to a fault of the engine and are capped at this. */
#define MEASURED_MAX_MS 5000.0
/* All routes are dropped at this bound; those of former configurations aren't removed otherwise. */
#define ROUTES_MAX 512

typedef struct wb_route_waits_t {
    double predicted_ms;
    double measured_ms;
} wb_route_waits_t;

struct wb_wait_scale_t {
    GHashTable *routes; /* route -> wb_route_waits_t */
};

wb_wait_scale_t *wb_wait_scale_create(void) {
    wb_wait_scale_t *scale = g_new0(wb_wait_scale_t, 1);
    scale->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return scale;
}

void wb_wait_scale_free(wb_wait_scale_t *scale) {
    g_hash_table_unref(scale->routes);
    g_free(scale);
}

void wb_wait_scale_learn(wb_wait_scale_t *scale, const char *route, double predicted_ms,
                         double measured_ms) {
    wb_route_waits_t *waits = g_hash_table_lookup(scale->routes, route);
    if (waits == NULL) {
        if (g_hash_table_size(scale->routes) >= ROUTES_MAX) {
            g_hash_table_remove_all(scale->routes);
        }
        waits = g_new0(wb_route_waits_t, 1);
        g_hash_table_insert(scale->routes, g_strdup(route), waits);
    }
    waits->predicted_ms = (1 - DECAY) * waits->predicted_ms + MAX(predicted_ms, 0);
    waits->measured_ms = (1 - DECAY) * waits->measured_ms + CLAMP(measured_ms, 0, MEASURED_MAX_MS);
}

double wb_wait_scale_get(const wb_wait_scale_t *scale, const char *route) {
    const wb_route_waits_t *waits = g_hash_table_lookup(scale->routes, route);
    if (waits == NULL || waits->predicted_ms < PREDICTED_MIN_MS) {
        return 1;
    }
    return CLAMP(waits->measured_ms / waits->predicted_ms, SCALE_MIN, SCALE_MAX);
}
