/* Selects the engines of a model that are sent to a gateway. */
#include "directory/engine_subset.h"

#include <string.h>
#include <xxhash.h>

typedef struct wb_ranked_engine_t {
    wb_engine_t *engine;
    gboolean in_zone;
    uint64_t weight;
} wb_ranked_engine_t;

/* Engines in the gateway's zone first, then by descending rendezvous weight. */
static gint best_first(gconstpointer left, gconstpointer right) {
    const wb_ranked_engine_t *a = left;
    const wb_ranked_engine_t *b = right;
    if (a->in_zone != b->in_zone) {
        return a->in_zone ? -1 : 1;
    }
    return a->weight > b->weight ? -1 : a->weight < b->weight;
}

/* How many engines of the subset have this software version. */
static unsigned version_count(const GPtrArray *subset, const char *software_version) {
    unsigned count = 0;
    for (guint i = 0; i < subset->len; i++) {
        const wb_engine_t *engine = g_ptr_array_index(subset, i);
        count += strcmp(engine->state->software_version, software_version) == 0;
    }
    return count;
}

GPtrArray *wb_engine_subset(const GPtrArray *engines, const char *model, const char *zone,
                            int64_t now_ms) {
    g_autoptr(GArray) ranked = g_array_new(FALSE, FALSE, sizeof(wb_ranked_engine_t));
    uint64_t seed = XXH64(model, strlen(model), 0);
    for (guint i = 0; engines != NULL && i < engines->len; i++) {
        wb_engine_t *engine = g_ptr_array_index(engines, i);
        const wb_engine_state_t *state = engine->state;
        if (!wb_engine_is_usable(engine, now_ms) ||
            (*model != '\0' && !wb_engine_holds(engine, model, "", now_ms))) {
            continue;
        }
        wb_ranked_engine_t entry = {engine, g_strcmp0(state->zone, zone) == 0,
                                    XXH64(state->id, strlen(state->id), seed)};
        g_array_append_val(ranked, entry);
    }
    g_array_sort(ranked, best_first);
    GPtrArray *subset = g_ptr_array_new();
    for (guint i = 0; i < ranked->len && subset->len < WB_ENGINE_SUBSET_LIMIT; i++) {
        wb_engine_t *engine = g_array_index(ranked, wb_ranked_engine_t, i).engine;
        /* Streams go on only at engines of the version that began them. */
        if (i < WB_ENGINE_SUBSET_MAX ||
            version_count(subset, engine->state->software_version) < WB_ENGINE_SUBSET_VERSION_MIN) {
            g_ptr_array_add(subset, engine);
        }
    }
    return subset;
}
