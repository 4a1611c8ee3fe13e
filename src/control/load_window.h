/**
 * @file load_window.h
 * @brief Sliding-window rate limit of loads from the weight store.
 *
 * The rate holds in each window of `window_ms` and in each shorter one of `burst_ms`, but each
 * window allows at least one load. Pure: the time is passed in, in ms of the monotonic clock.
 * Nothing here fails.
 */
#ifndef WICKBRIDGE_LOAD_WINDOW_H
#define WICKBRIDGE_LOAD_WINDOW_H

#include <glib.h>
#include <stdint.h>

typedef struct wb_load_window_t wb_load_window_t;

/** @param burst_ms length of the shorter window */
wb_load_window_t *wb_load_window_create(int64_t window_ms, int64_t burst_ms);
void wb_load_window_free(wb_load_window_t *window);
/** @param loads_per_s the store's rate limit; 0: none */
void wb_load_window_set_rate(wb_load_window_t *window, double loads_per_s);
/**
 * Count the loads that the previous lease holder may have started until `until_ms`: those that it
 * reported, and a burst after that. They don't count in the shorter window, which each holder keeps
 * to by itself.
 * @param max_unreported maximum number of loads that it can have started without reporting them
 */
void wb_load_window_add_predecessor(wb_load_window_t *window, unsigned reported,
                                    unsigned max_unreported, int64_t until_ms);
/** @return loads in the current window, those of the previous lease holder included */
unsigned wb_load_window_used(const wb_load_window_t *window, int64_t now_ms);
/** @return TRUE when one more load may start now */
gboolean wb_load_window_allows(const wb_load_window_t *window, int64_t now_ms);
/** Record the start of a load. */
void wb_load_window_record(wb_load_window_t *window, int64_t now_ms);

#endif
