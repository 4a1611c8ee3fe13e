/* This node's share of the request rate that an engine accepts. */
#include "wickbridge/engine_limit.h"

/* Period whose requests are divided among the nodes in whole numbers. */
#define LIMIT_PERIOD_S 4.0
/* Longest time between two requests of all nodes to a limited engine, even at a limit of 0: the
 * response shows whether the limit still holds. */
#define PROBE_MS 10000
/* Time since the limit was last reported after which nodes without a share probe in turn. */
#define PROBE_AFTER_MS 10000
/* Time slot in which one such node may send a probe. */
#define PROBE_SLOT_MS 5000

/* Requests that all nodes may send within a window. */
typedef struct wb_limit_units_t {
    unsigned count;
    int64_t window_ms;
} wb_limit_units_t;

static wb_limit_units_t limit_units(double per_s) {
    unsigned count = (unsigned)(per_s * LIMIT_PERIOD_S);
    if (count > 0) {
        return (wb_limit_units_t){count, WB_LIMIT_WINDOW_MS};
    }
    double request_ms = per_s > 0 ? 1000 / per_s : PROBE_MS;
    return (wb_limit_units_t){1, (int64_t)CLAMP(request_ms, WB_LIMIT_WINDOW_MS, PROBE_MS)};
}

gboolean wb_engine_limit_set(wb_engine_limit_t *limit, double per_s, int64_t sent_ms,
                             int64_t limit_reported_ms) {
    if (!limit->named) {
        if (limit->ended_ms != 0 && sent_ms <= limit->ended_ms) {
            return FALSE; /* older than the response that ended the limit */
        }
        limit->named = TRUE;
        limit->per_s = per_s;
        limit->limit_reported_ms = limit_reported_ms;
        return TRUE;
    }
    /* If the order of the two responses is unknown, the stricter limit applies. */
    double next_per_s = sent_ms > limit->limit_reported_ms ? per_s : MIN(limit->per_s, per_s);
    gboolean changed = next_per_s != limit->per_s;
    limit->per_s = next_per_s;
    limit->limit_reported_ms = MAX(limit->limit_reported_ms, limit_reported_ms);
    return changed;
}

gboolean wb_engine_limit_end(wb_engine_limit_t *limit, int64_t sent_ms) {
    if (limit->named && sent_ms <= limit->limit_reported_ms) {
        return FALSE;
    }
    gboolean ends = limit->named;
    limit->named = FALSE;
    limit->ended_ms = MAX(limit->ended_ms, sent_ms);
    return ends;
}

/* Returns when a node without a share may send its next probe. */
static int64_t probe_next_ms(const wb_engine_limit_t *limit, const wb_share_rank_t *position,
                             unsigned units, int64_t now_ms) {
    int64_t slots = position->nodes - units;
    int64_t own_slot = (position->rank - units) % slots;
    int64_t first_slot_ms = limit->limit_reported_ms + PROBE_AFTER_MS;
    int64_t slot = now_ms > first_slot_ms ? (now_ms - first_slot_ms) / PROBE_SLOT_MS : 0;
    int64_t next_slot = slot - slot % slots + own_slot;
    next_slot += next_slot < slot ? slots : 0;
    int64_t slot_ms = first_slot_ms + next_slot * PROBE_SLOT_MS;
    int64_t limiter_ms = wb_send_limiter_next_ms(&limit->limiter, 1, PROBE_SLOT_MS, 0, now_ms);
    int64_t next_ms = MAX(slot_ms, limiter_ms);
    return next_ms < slot_ms + PROBE_SLOT_MS ? next_ms : slot_ms + slots * PROBE_SLOT_MS;
}

int64_t wb_engine_limit_next_ms(const wb_engine_limit_t *limit, const wb_share_rank_t *position,
                                unsigned ahead, int64_t now_ms) {
    if (!limit->named) {
        return now_ms;
    }
    if (position->nodes == 0) {
        return G_MAXINT64;
    }
    wb_limit_units_t units = limit_units(limit->per_s);
    unsigned share = wb_rendezvous_share(units.count, position->nodes, position->rank);
    if (share > 0) {
        return wb_send_limiter_next_ms(&limit->limiter, share, units.window_ms, ahead, now_ms);
    }
    return ahead == 0 ? probe_next_ms(limit, position, units.count, now_ms) : G_MAXINT64;
}

void wb_engine_limit_record(wb_engine_limit_t *limit, int64_t now_ms) {
    if (limit->named) {
        wb_send_limiter_record(&limit->limiter,
                               MAX(limit_units(limit->per_s).window_ms, PROBE_SLOT_MS), now_ms);
    }
}

void wb_engine_limit_clear(wb_engine_limit_t *limit) {
    wb_send_limiter_clear(&limit->limiter);
}
