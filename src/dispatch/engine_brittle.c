/* This node's share of the rejections that a brittle engine survives. */
#include "wickbridge/engine_brittle.h"

/* The engine's second, and room for differences in network delay. */
#define WINDOW_MS 1300
/* Engines reject on arrival: a request without a response for this long was accepted. */
#define CONFIRM_MS 400
/* Time without requests after a rejection, for a node without a share. */
#define NO_SHARE_PAUSE_MS 5000
/* Times kept for an engine; a node that has sent more at once has no share left anyway. */
#define TIMES_MAX 256

gboolean wb_engine_brittle_set(wb_engine_brittle_t *brittle, unsigned rejections, int64_t now_ms) {
    gboolean changed = !brittle->named || brittle->rejections != rejections;
    brittle->named = TRUE;
    brittle->rejections = rejections;
    brittle->reported_ms = now_ms;
    return changed;
}

gboolean wb_engine_brittle_end(wb_engine_brittle_t *brittle, int64_t sent_ms) {
    if (!brittle->named || sent_ms <= brittle->reported_ms) {
        return FALSE;
    }
    brittle->named = FALSE;
    return TRUE;
}

static void times_add(GArray **times, int64_t at_ms, int64_t keep_ms) {
    if (*times == NULL) {
        *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    }
    while ((*times)->len > 0 &&
           (g_array_index(*times, int64_t, 0) + keep_ms <= at_ms || (*times)->len >= TIMES_MAX)) {
        g_array_remove_index(*times, 0);
    }
    g_array_append_val(*times, at_ms);
}

void wb_engine_brittle_sent(wb_engine_brittle_t *brittle, int64_t now_ms) {
    times_add(&brittle->pending_ms, now_ms, CONFIRM_MS);
}

void wb_engine_brittle_accepted(wb_engine_brittle_t *brittle, int64_t sent_ms) {
    for (guint i = 0; brittle->pending_ms != NULL && i < brittle->pending_ms->len; i++) {
        if (g_array_index(brittle->pending_ms, int64_t, i) == sent_ms) {
            g_array_remove_index(brittle->pending_ms, i);
            return;
        }
    }
}

void wb_engine_brittle_rejected(wb_engine_brittle_t *brittle, int64_t sent_ms, int64_t now_ms) {
    wb_engine_brittle_accepted(brittle, sent_ms);
    times_add(&brittle->rejected_ms, now_ms, NO_SHARE_PAUSE_MS);
}

/* Adds when each of the times stops counting, if it still does. */
static void ends_add(GArray *ends, const GArray *times, int64_t counts_ms, int64_t now_ms) {
    for (guint i = 0; times != NULL && i < times->len; i++) {
        int64_t end_ms = g_array_index(times, int64_t, i) + counts_ms;
        if (end_ms > now_ms) {
            g_array_append_val(ends, end_ms);
        }
    }
}

static gint compare_times(gconstpointer left, gconstpointer right) {
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;
    return (a > b) - (a < b);
}

int64_t wb_engine_brittle_next_ms(const wb_engine_brittle_t *brittle,
                                  const wb_share_rank_t *position, unsigned ahead, int64_t now_ms) {
    if (!brittle->named) {
        return now_ms;
    }
    unsigned share = wb_rendezvous_share(brittle->rejections, position->nodes, position->rank);
    int64_t rejected_ms = share > 0 ? WINDOW_MS : NO_SHARE_PAUSE_MS;
    g_autoptr(GArray) ends = g_array_new(FALSE, FALSE, sizeof(int64_t));
    ends_add(ends, brittle->pending_ms, CONFIRM_MS, now_ms);
    ends_add(ends, brittle->rejected_ms, rejected_ms, now_ms);
    unsigned limit = MAX(share, 1);
    if (ends->len + ahead < limit) {
        return now_ms;
    }
    /* One request may be sent each time that one of those before it stops counting. */
    g_array_sort(ends, compare_times);
    guint index = ends->len + ahead - limit;
    if (index < ends->len) {
        return g_array_index(ends, int64_t, index);
    }
    int64_t last_ms = ends->len > 0 ? g_array_index(ends, int64_t, ends->len - 1) : now_ms;
    return last_ms + (int64_t)(1 + (index - ends->len) / limit) * CONFIRM_MS;
}

gboolean wb_engine_brittle_may_have_fallen(const wb_engine_brittle_t *brittle,
                                           const wb_share_rank_t *position, gboolean is_shared,
                                           int64_t now_ms) {
    g_autoptr(GArray) ends = g_array_new(FALSE, FALSE, sizeof(int64_t));
    ends_add(ends, brittle->rejected_ms, WINDOW_MS, now_ms);
    unsigned share = wb_rendezvous_share(brittle->rejections, position->nodes, position->rank);
    if (!brittle->named || ends->len == 0 || (is_shared && ends->len <= MAX(share, 1))) {
        return FALSE;
    }
    ends_add(ends, brittle->pending_ms, CONFIRM_MS, now_ms);
    return ends->len * position->nodes > brittle->rejections;
}

void wb_engine_brittle_clear(wb_engine_brittle_t *brittle) {
    if (brittle->pending_ms != NULL) {
        g_array_unref(brittle->pending_ms);
    }
    if (brittle->rejected_ms != NULL) {
        g_array_unref(brittle->rejected_ms);
    }
    brittle->pending_ms = NULL;
    brittle->rejected_ms = NULL;
}
