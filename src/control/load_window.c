/* Sliding-window rate limit of loads from the weight store. */
#include "control/load_window.h"

struct wb_load_window_t {
    int64_t window_ms;
    int64_t burst_ms;
    unsigned max_loads;           /* loads in a window; 0: no limit */
    unsigned max_burst_loads;     /* loads in the shorter window */
    GArray *started_ms;           /* int64_t start times of loads, oldest first */
    unsigned predecessor_loads;   /* loads that the previous lease holder may have started */
    int64_t predecessor_until_ms; /* time until which it may have started them */
};

wb_load_window_t *wb_load_window_create(int64_t window_ms, int64_t burst_ms) {
    wb_load_window_t *window = g_new0(wb_load_window_t, 1);
    window->window_ms = window_ms;
    window->burst_ms = MIN(burst_ms, window_ms);
    window->started_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
    return window;
}

void wb_load_window_free(wb_load_window_t *window) {
    g_array_unref(window->started_ms);
    g_free(window);
}

void wb_load_window_set_rate(wb_load_window_t *window, double loads_per_s) {
    double max_loads = loads_per_s * (double)window->window_ms / 1000.0;
    double max_burst_loads = loads_per_s * (double)window->burst_ms / 1000.0;
    window->max_loads = loads_per_s <= 0 ? 0 : MAX((unsigned)max_loads, 1);
    window->max_burst_loads = MAX((unsigned)max_burst_loads, 1);
}

void wb_load_window_add_predecessor(wb_load_window_t *window, unsigned reported,
                                    unsigned max_unreported, int64_t until_ms) {
    window->predecessor_loads =
        MIN(reported + MIN(window->max_burst_loads, max_unreported), window->max_loads);
    window->predecessor_until_ms = until_ms;
}

static unsigned counted_since(const wb_load_window_t *window, int64_t since_ms) {
    unsigned counted = 0;
    for (guint i = window->started_ms->len; i > 0; i--) {
        if (g_array_index(window->started_ms, int64_t, i - 1) <= since_ms)
            break;
        counted++;
    }
    return counted;
}

unsigned wb_load_window_used(const wb_load_window_t *window, int64_t now_ms) {
    gboolean counts_predecessor = window->predecessor_until_ms > now_ms - window->window_ms;
    return counted_since(window, now_ms - window->window_ms) +
           (counts_predecessor ? window->predecessor_loads : 0);
}

gboolean wb_load_window_allows(const wb_load_window_t *window, int64_t now_ms) {
    if (window->max_loads == 0)
        return TRUE;
    return wb_load_window_used(window, now_ms) < window->max_loads &&
           counted_since(window, now_ms - window->burst_ms) < window->max_burst_loads;
}

void wb_load_window_record(wb_load_window_t *window, int64_t now_ms) {
    while (window->started_ms->len > 0 &&
           g_array_index(window->started_ms, int64_t, 0) <= now_ms - window->window_ms)
        g_array_remove_index(window->started_ms, 0);
    g_array_append_val(window->started_ms, now_ms);
}
