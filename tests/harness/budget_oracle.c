/* Checks the bound on retries. */
#include "budget_oracle.h"

struct budget_oracle_t {
    double ratio;
    double slack;
    int64_t window_ms;
    GArray *requests; /* of int64_t, ms */
    GArray *repeats;  /* of int64_t, ms */
    GHashTable *seen; /* ids that have arrived */
};

budget_oracle_t *budget_oracle_create(double ratio, double slack, int64_t window_ms) {
    budget_oracle_t *oracle = g_new0(budget_oracle_t, 1);
    oracle->ratio = ratio;
    oracle->slack = slack;
    oracle->window_ms = window_ms;
    oracle->requests = g_array_new(FALSE, FALSE, sizeof(int64_t));
    oracle->repeats = g_array_new(FALSE, FALSE, sizeof(int64_t));
    oracle->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return oracle;
}

void budget_oracle_free(budget_oracle_t *oracle) {
    g_array_unref(oracle->requests);
    g_array_unref(oracle->repeats);
    g_hash_table_unref(oracle->seen);
    g_free(oracle);
}

void budget_oracle_request(budget_oracle_t *oracle, int64_t at_ms) {
    g_array_append_val(oracle->requests, at_ms);
}

void budget_oracle_arrival(budget_oracle_t *oracle, const char *id, int64_t at_ms) {
    if (!g_hash_table_add(oracle->seen, g_strdup(id))) {
        g_array_append_val(oracle->repeats, at_ms);
    }
}

static gint times_compare(gconstpointer a, gconstpointer b) {
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return (left > right) - (left < right);
}

/* Returns how many of the sorted times are before `before_ms`. */
static unsigned count_before(const GArray *times, int64_t before_ms) {
    guint low = 0;
    guint high = times->len;
    while (low < high) {
        guint middle = (low + high) / 2;
        if (g_array_index(times, int64_t, middle) < before_ms) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

static unsigned count_in_window(const budget_oracle_t *oracle, const GArray *times,
                                int64_t from_ms) {
    return count_before(times, from_ms + oracle->window_ms) - count_before(times, from_ms);
}

static budget_window_t window_measure(const budget_oracle_t *oracle, int64_t from_ms) {
    unsigned own = count_in_window(oracle, oracle->requests, from_ms);
    unsigned half = count_in_window(oracle, oracle->requests, from_ms - oracle->window_ms / 2);
    unsigned before = count_in_window(oracle, oracle->requests, from_ms - oracle->window_ms);
    budget_window_t window = {.from_ms = from_ms, .requests = MAX(MAX(own, half), before)};
    window.repeats = count_in_window(oracle, oracle->repeats, from_ms);
    window.allowed = oracle->ratio * window.requests + oracle->slack;
    window.excess = window.repeats - window.allowed;
    return window;
}

budget_window_t budget_oracle_worst_window(budget_oracle_t *oracle) {
    budget_window_t worst = {.excess = -G_MAXDOUBLE};
    g_array_sort(oracle->requests, times_compare);
    g_array_sort(oracle->repeats, times_compare);
    if (oracle->repeats->len == 0) {
        return worst;
    }
    int64_t first_ms = g_array_index(oracle->repeats, int64_t, 0);
    int64_t last_ms = g_array_index(oracle->repeats, int64_t, oracle->repeats->len - 1);
    for (int64_t from_ms = first_ms - oracle->window_ms; from_ms <= last_ms; from_ms++) {
        budget_window_t window = window_measure(oracle, from_ms);
        if (window.excess > worst.excess) {
            worst = window;
        }
    }
    return worst;
}
