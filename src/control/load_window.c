/* A sliding window of loads from the weight store. */
#include "control/load_window.h"

struct wb_load_window_t {
    int64_t window_ms;
    int64_t burst_ms;
    unsigned most;       /* loads in a window; 0: no limit */
    unsigned most_burst; /* loads in the shorter window */
    GArray *began;       /* of int64_t, oldest first */
    unsigned assumed;    /* loads that a holder before may have begun */
    int64_t assumed_ms;  /* until when */
};

wb_load_window_t *wb_load_window_create(int64_t window_ms, int64_t burst_ms) {
    wb_load_window_t *window = g_new0(wb_load_window_t, 1);
    window->window_ms = window_ms;
    window->burst_ms = MIN(burst_ms, window_ms);
    window->began = g_array_new(FALSE, FALSE, sizeof(int64_t));
    return window;
}

void wb_load_window_free(wb_load_window_t *window) {
    g_array_unref(window->began);
    g_free(window);
}

void wb_load_window_set_rate(wb_load_window_t *window, double loads_per_s) {
    double most = loads_per_s * (double)window->window_ms / 1000.0;
    double most_burst = loads_per_s * (double)window->burst_ms / 1000.0;
    window->most = loads_per_s <= 0 ? 0 : MAX((unsigned)most, 1);
    window->most_burst = MAX((unsigned)most_burst, 1);
}

void wb_load_window_add_predecessor(wb_load_window_t *window, unsigned told, unsigned untold_most,
                           int64_t until_ms) {
    window->assumed = MIN(told + MIN(window->most_burst, untold_most), window->most);
    window->assumed_ms = until_ms;
}

static unsigned counted_since(const wb_load_window_t *window, int64_t since_ms) {
    unsigned counted = 0;
    for (guint i = window->began->len; i > 0; i--) {
        if (g_array_index(window->began, int64_t, i - 1) <= since_ms)
            break;
        counted++;
    }
    return counted;
}

unsigned wb_load_window_used(const wb_load_window_t *window, int64_t now_ms) {
    gboolean assumed = window->assumed_ms > now_ms - window->window_ms;
    return counted_since(window, now_ms - window->window_ms) + (assumed ? window->assumed : 0);
}

gboolean wb_load_window_allows(const wb_load_window_t *window, int64_t now_ms) {
    if (window->most == 0)
        return TRUE;
    return wb_load_window_used(window, now_ms) < window->most &&
           counted_since(window, now_ms - window->burst_ms) < window->most_burst;
}

void wb_load_window_record(wb_load_window_t *window, int64_t now_ms) {
    while (window->began->len > 0 &&
           g_array_index(window->began, int64_t, 0) <= now_ms - window->window_ms)
        g_array_remove_index(window->began, 0);
    g_array_append_val(window->began, now_ms);
}
