/* How many requests this node may send to an engine that has named a limit. */
#include "wickbridge/engine_limit.h"

/* Time for which a limit is dealt out in whole requests. */
#define LIMIT_PERIOD_S 4.0
/* Longest time between two requests of all nodes: one shows whether a limit still holds. */
#define PROBE_MS 10000
/* Nodes without a part try in turn once nobody has heard the engine for so long. */
#define UNHEARD_MS 10000
/* Length of a turn. */
#define TURN_MS 5000

/* Requests that all nodes may send within a window. */
typedef struct wb_limit_units_t {
    unsigned count;
    int64_t window_ms;
} wb_limit_units_t;

static wb_limit_units_t units_of(double per_s) {
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
            return FALSE; /* overtaken by the answer that showed its end */
        }
        limit->named = TRUE;
        limit->per_s = per_s;
        limit->limit_reported_ms = limit_reported_ms;
        return TRUE;
    }
    /* Of two answers whose order isn't known the stricter one holds. */
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

/* When a node without a part may next try. */
static int64_t turn_opens_ms(const wb_engine_limit_t *limit, const wb_share_rank_t *place,
                             unsigned units, int64_t now_ms) {
    int64_t turns = place->nodes - units;
    int64_t own = (place->rank - units) % turns;
    int64_t first_ms = limit->limit_reported_ms + UNHEARD_MS;
    int64_t turn = now_ms > first_ms ? (now_ms - first_ms) / TURN_MS : 0;
    int64_t next = turn - turn % turns + own;
    next += next < turn ? turns : 0;
    int64_t from_ms = first_ms + next * TURN_MS;
    int64_t gate_ms = wb_send_limiter_next_ms(&limit->gate, 1, TURN_MS, 0, now_ms);
    int64_t opens_ms = MAX(from_ms, gate_ms);
    return opens_ms < from_ms + TURN_MS ? opens_ms : from_ms + turns * TURN_MS;
}

int64_t wb_engine_limit_next_ms(const wb_engine_limit_t *limit, const wb_share_rank_t *place,
                                 unsigned ahead, int64_t now_ms) {
    if (!limit->named) {
        return now_ms;
    }
    if (place->nodes == 0) {
        return G_MAXINT64;
    }
    wb_limit_units_t units = units_of(limit->per_s);
    unsigned share = wb_rendezvous_share(units.count, place->nodes, place->rank);
    if (share > 0) {
        return wb_send_limiter_next_ms(&limit->gate, share, units.window_ms, ahead, now_ms);
    }
    return ahead == 0 ? turn_opens_ms(limit, place, units.count, now_ms) : G_MAXINT64;
}

void wb_engine_limit_record(wb_engine_limit_t *limit, int64_t now_ms) {
    if (limit->named) {
        wb_send_limiter_record(&limit->gate, MAX(units_of(limit->per_s).window_ms, TURN_MS), now_ms);
    }
}

void wb_engine_limit_clear(wb_engine_limit_t *limit) {
    wb_send_limiter_clear(&limit->gate);
}
