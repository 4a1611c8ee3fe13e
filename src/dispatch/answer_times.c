/* How long an engine lately took to begin its answers, by route. */
#include "wickbridge/answer_times.h"

#include <stdlib.h>

#define SAMPLES 8
/* All routes are dropped at this bound; those of former configurations aren't removed otherwise. */
#define ROUTES_MAX 512
/* How much sooner another engine must be expected to answer. */
#define GAIN 1.1

typedef struct route_samples_t {
    int32_t ms[SAMPLES];
    unsigned count; /* added so far; the latest SAMPLES are kept */
} route_samples_t;

struct wb_answer_times_t {
    GHashTable *routes; /* route -> route_samples_t */
};

wb_answer_times_t *wb_answer_times_create(void) {
    wb_answer_times_t *times = g_new0(wb_answer_times_t, 1);
    times->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return times;
}

void wb_answer_times_free(wb_answer_times_t *times) {
    g_hash_table_unref(times->routes);
    g_free(times);
}

void wb_answer_times_add(wb_answer_times_t *times, const char *route, int64_t took_ms) {
    route_samples_t *samples = g_hash_table_lookup(times->routes, route);
    if (samples == NULL) {
        if (g_hash_table_size(times->routes) >= ROUTES_MAX)
            g_hash_table_remove_all(times->routes);
        samples = g_new0(route_samples_t, 1);
        g_hash_table_insert(times->routes, g_strdup(route), samples);
    }
    samples->ms[samples->count++ % SAMPLES] = (int32_t)CLAMP(took_ms, 0, G_MAXINT32);
}

static int compare(const void *a, const void *b) {
    int32_t left = *(const int32_t *)a;
    int32_t right = *(const int32_t *)b;
    return (left > right) - (left < right);
}

int64_t wb_answer_times_left(const wb_answer_times_t *times, const char *route, int64_t silent_ms) {
    const route_samples_t *samples = g_hash_table_lookup(times->routes, route);
    if (samples == NULL)
        return WB_ANSWER_TIME_UNKNOWN;
    int32_t longer[SAMPLES] = {0};
    unsigned count = 0;
    for (unsigned i = 0; i < MIN(samples->count, SAMPLES); i++)
        if (samples->ms[i] > silent_ms)
            longer[count++] = samples->ms[i];
    if (count == 0)
        return silent_ms;
    qsort(longer, count, sizeof(longer[0]), compare);
    return longer[count / 2] - silent_ms;
}

gboolean wb_second_try_pays(int64_t left_ms, int64_t other_ms) {
    return GAIN * (double)other_ms < (double)left_ms;
}
