/**
 * @file load_window.h
 * @brief How many loads from the weight store may begin in any span of time. Pure.
 */
#ifndef WICKBRIDGE_LOAD_WINDOW_H
#define WICKBRIDGE_LOAD_WINDOW_H

#include <glib.h>
#include <stdint.h>

typedef struct wb_load_window_t wb_load_window_t;

/** @param burst_ms a shorter window, which takes only its own part of the rate */
wb_load_window_t *wb_load_window_create(int64_t window_ms, int64_t burst_ms);
void wb_load_window_free(wb_load_window_t *window);
/** @param loads_per_s the store's rate; 0: no limit */
void wb_load_window_set_rate(wb_load_window_t *window, double loads_per_s);
/**
 * Count what a holder before may have begun until `until_ms`: what it told, and a burst after that.
 * The shorter window takes only one's own loads: each holder keeps to it by itself.
 * @param untold_most it can't have begun more than so many without telling
 */
void wb_load_window_add_predecessor(wb_load_window_t *window, unsigned told, unsigned untold_most,
                           int64_t until_ms);
/** @return loads counted in the window */
unsigned wb_load_window_used(const wb_load_window_t *window, int64_t now_ms);
/** @return TRUE when one more load may begin now */
gboolean wb_load_window_allows(const wb_load_window_t *window, int64_t now_ms);
void wb_load_window_record(wb_load_window_t *window, int64_t now_ms);

#endif
