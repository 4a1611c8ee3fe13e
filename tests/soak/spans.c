/* Which faults were active at a node, or may have had effects there, in a given time. */
#include "soak.h"

#include <string.h>

/* Whether the span of a fault with one of these names overlaps this time at a node. */
static gboolean had_fault(soak_t *soak, int node, int64_t from_ms, int64_t to_ms,
                          const char *const *names) {
    gboolean found = FALSE;
    g_mutex_lock(&soak->lock);
    for (guint i = 0; i < soak->spans->len; i++) {
        const soak_span_t *span = &g_array_index(soak->spans, soak_span_t, i);
        gboolean overlaps = (span->node < 0 || span->node == node) && span->from_ms <= to_ms &&
                            span->to_ms >= from_ms;
        found |= overlaps && g_strv_contains(names, span->name);
    }
    g_mutex_unlock(&soak->lock);
    return found;
}

/* A process is killed at the beginning of the span, all of them one after the other. */
#define KILL_MS 500

gboolean soak_is_killed(soak_t *soak, int node, int64_t from_ms, int64_t to_ms) {
    static const char *const kills[] = {"kill", "all-killed", "other-build", NULL};
    gboolean found = FALSE;
    g_mutex_lock(&soak->lock);
    for (guint i = 0; i < soak->spans->len; i++) {
        const soak_span_t *span = &g_array_index(soak->spans, soak_span_t, i);
        found |= (span->node < 0 || span->node == node) && span->from_ms <= to_ms &&
                 span->from_ms >= from_ms - KILL_MS && g_strv_contains(kills, span->name);
    }
    g_mutex_unlock(&soak->lock);
    return found;
}

gboolean soak_is_stopped(soak_t *soak, int node, int64_t from_ms, int64_t to_ms) {
    static const char *const stops[] = {"planned-stop", NULL};
    return soak_is_killed(soak, node, from_ms, to_ms) ||
           had_fault(soak, node, from_ms, to_ms, stops);
}

gboolean soak_is_halted(soak_t *soak, int node, int64_t from_ms, int64_t to_ms) {
    static const char *const halts[] = {"kill", "pause", "all-killed", "other-build", NULL};
    return had_fault(soak, node, from_ms, to_ms, halts);
}

gboolean soak_is_restarted(soak_t *soak, int node, int64_t from_ms, int64_t to_ms) {
    static const char *const restarts[] = {"kill",       "pause",       "planned-stop",
                                           "all-killed", "other-build", NULL};
    return had_fault(soak, node, from_ms, to_ms, restarts);
}

gboolean soak_is_excused(soak_t *soak, int node, int64_t from_ms, int64_t to_ms) {
    static const char *const excuses[] = {"kill",        "pause",         "planned-stop",
                                          "all-killed",  "way-to-store",  "way-to-node",
                                          "other-build", "way-to-engine", NULL};
    return had_fault(soak, node, from_ms, to_ms, excuses);
}

gboolean soak_is_out_of_touch(soak_t *soak, int node, int64_t from_ms, int64_t to_ms) {
    static const char *const own[] = {
        "kill", "pause", "planned-stop", "other-build", "way-to-node", "way-to-store", NULL};
    static const char *const common[] = {"all-killed", "store", "store-behind", "store-rollback",
                                         NULL};
    gboolean found = FALSE;
    g_mutex_lock(&soak->lock);
    for (guint i = 0; i < soak->spans->len; i++) {
        const soak_span_t *span = &g_array_index(soak->spans, soak_span_t, i);
        gboolean affects = g_strv_contains(common, span->name) ||
                           (g_strv_contains(own, span->name) && span->target == node);
        found |= affects && span->from_ms <= to_ms && span->to_ms >= from_ms;
    }
    g_mutex_unlock(&soak->lock);
    return found;
}

gboolean soak_store_turns_nodes_away(soak_t *soak, int node, int64_t from_ms, int64_t to_ms) {
    static const char *const names[] = {"store-turns-away", NULL};
    return had_fault(soak, node, from_ms, to_ms, names);
}

gboolean soak_is_disturbed(soak_t *soak, int node, int64_t from_ms, int64_t to_ms) {
    return soak_is_disturbed_except(soak, node, from_ms, to_ms, "");
}

gboolean soak_is_disturbed_except(soak_t *soak, int node, int64_t from_ms, int64_t to_ms,
                                  const char *name) {
    gboolean disturbed = FALSE;
    g_mutex_lock(&soak->lock);
    for (guint i = 0; i < soak->spans->len; i++) {
        const soak_span_t *span = &g_array_index(soak->spans, soak_span_t, i);
        disturbed |= strcmp(span->name, name) != 0 &&
                     (node < 0 || span->node < 0 || span->node == node) && span->from_ms <= to_ms &&
                     span->to_ms >= from_ms;
    }
    g_mutex_unlock(&soak->lock);
    return disturbed;
}
