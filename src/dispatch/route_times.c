/* The longest time that requests of a route have lately taken. */
#include "dispatch/route_times.h"

#define WINDOW_MS 60000
#define UNKNOWN_MS (-1)
/* All routes are dropped at this bound; those of former configurations aren't removed otherwise. */
#define ROUTES_MAX 512

typedef struct route_time_t {
    int64_t window;      /* number of the current window */
    int64_t current_ms;  /* longest in it */
    int64_t previous_ms; /* longest in the one before */
} route_time_t;

struct wb_route_times_t {
    GHashTable *routes; /* route -> route_time_t */
};

wb_route_times_t *wb_route_times_create(void) {
    wb_route_times_t *times = g_new0(wb_route_times_t, 1);
    times->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return times;
}

void wb_route_times_free(wb_route_times_t *times) {
    g_hash_table_unref(times->routes);
    g_free(times);
}

/* Returns the times as they are in this window. */
static route_time_t time_at(const route_time_t *time, int64_t window) {
    if (time->window == window)
        return *time;
    return (route_time_t){window, UNKNOWN_MS,
                          time->window + 1 == window ? time->current_ms : UNKNOWN_MS};
}

void wb_route_times_add(wb_route_times_t *times, const char *route, int64_t took_ms,
                        int64_t now_ms) {
    route_time_t *time = g_hash_table_lookup(times->routes, route);
    if (time == NULL) {
        if (g_hash_table_size(times->routes) >= ROUTES_MAX)
            g_hash_table_remove_all(times->routes);
        time = g_new(route_time_t, 1);
        *time = (route_time_t){now_ms / WINDOW_MS, UNKNOWN_MS, UNKNOWN_MS};
        g_hash_table_insert(times->routes, g_strdup(route), time);
    }
    *time = time_at(time, now_ms / WINDOW_MS);
    time->current_ms = MAX(time->current_ms, took_ms);
}

int64_t wb_route_times_longest(const wb_route_times_t *times, const char *route, int64_t now_ms) {
    const route_time_t *known = g_hash_table_lookup(times->routes, route);
    if (known == NULL)
        return UNKNOWN_MS;
    route_time_t time = time_at(known, now_ms / WINDOW_MS);
    return MAX(time.current_ms, time.previous_ms);
}
