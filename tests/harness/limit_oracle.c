/* Checks that nodes respect an engine's reported limit. */
#include "limit_oracle.h"

#define WINDOW_MS 4000
#define OVERAGE 1.5
#define SLACK 5
#define NODE_DELAY_MS 500
#define NODES_MOST 64

typedef struct arrival_t {
    int node;
    int64_t at_ms;
} arrival_t;

struct limit_oracle_t {
    double per_s;
    int64_t contact_ms;
    int64_t reported_ms;              /* G_MAXINT64: not reported yet */
    int64_t forwarded_ms[NODES_MOST]; /* first forwarded response per node; G_MAXINT64: none */
    GArray *arrivals;                 /* of arrival_t */
};

limit_oracle_t *limit_oracle_create(double per_s, int64_t contact_ms) {
    limit_oracle_t *oracle = g_new0(limit_oracle_t, 1);
    oracle->per_s = per_s;
    oracle->contact_ms = contact_ms;
    oracle->reported_ms = G_MAXINT64;
    for (int i = 0; i < NODES_MOST; i++) {
        oracle->forwarded_ms[i] = G_MAXINT64;
    }
    oracle->arrivals = g_array_new(FALSE, FALSE, sizeof(arrival_t));
    return oracle;
}

void limit_oracle_free(limit_oracle_t *oracle) {
    g_array_unref(oracle->arrivals);
    g_free(oracle);
}

void limit_oracle_reported(limit_oracle_t *oracle, int64_t at_ms) {
    oracle->reported_ms = MIN(oracle->reported_ms, at_ms);
}

void limit_oracle_forwarded(limit_oracle_t *oracle, int node, int64_t at_ms) {
    g_assert_cmpint(node, <, NODES_MOST);
    oracle->forwarded_ms[node] = MIN(oracle->forwarded_ms[node], at_ms);
}

void limit_oracle_arrival(limit_oracle_t *oracle, int node, int64_t at_ms) {
    arrival_t arrival = {node, at_ms};
    g_array_append_val(oracle->arrivals, arrival);
}

static gint arrivals_compare(gconstpointer a, gconstpointer b) {
    int64_t left = ((const arrival_t *)a)->at_ms;
    int64_t right = ((const arrival_t *)b)->at_ms;
    return (left > right) - (left < right);
}

/* Returns whether the limit binds the arrival's node at the time of the arrival. */
static gboolean is_counted(const limit_oracle_t *oracle, const arrival_t *arrival) {
    int64_t forwarded_ms = oracle->forwarded_ms[arrival->node];
    return oracle->reported_ms != G_MAXINT64 && forwarded_ms != G_MAXINT64 &&
           arrival->at_ms >= oracle->reported_ms + oracle->contact_ms &&
           arrival->at_ms >= forwarded_ms + NODE_DELAY_MS;
}

limit_window_t limit_oracle_fullest_window(limit_oracle_t *oracle) {
    limit_window_t worst = {.allowed = OVERAGE * oracle->per_s * WINDOW_MS / 1000 + SLACK};
    g_autoptr(GArray) times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    g_array_sort(oracle->arrivals, arrivals_compare);
    for (guint i = 0; i < oracle->arrivals->len; i++) {
        const arrival_t *arrival = &g_array_index(oracle->arrivals, arrival_t, i);
        if (is_counted(oracle, arrival)) {
            g_array_append_val(times, arrival->at_ms);
        }
    }
    for (guint first = 0, last = 0; last < times->len; last++) {
        int64_t last_ms = g_array_index(times, int64_t, last);
        while (last_ms - g_array_index(times, int64_t, first) >= WINDOW_MS) {
            first++;
        }
        if (last - first + 1 > worst.arrivals) {
            worst.arrivals = last - first + 1;
            worst.from_ms = g_array_index(times, int64_t, first);
        }
    }
    return worst;
}
