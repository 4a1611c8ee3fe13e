/**
 * @file load_queue.h
 * @brief In which order models that no engine holds are loaded, and when the last in line are
 * there.
 *
 * The weight store serves a few loads at once at full speed; when more models are missing than
 * that, the others wait their turn, and callers are told how long. Pure.
 */
#ifndef WICKBRIDGE_LOAD_QUEUE_H
#define WICKBRIDGE_LOAD_QUEUE_H

#include "wickbridge/catalog.h"

#include <glib.h>
#include <stdint.h>

/** A model that no engine holds or is about to load. */
typedef struct wb_missing_model_t {
    const wb_model_spec_t *spec;
    unsigned missed;       /**< requests for it since it is missing; 0: none yet */
    unsigned time_left_ms; /**< of the tightest that waits; G_MAXUINT: nobody does */
} wb_missing_model_t;

/** Order of loading: most missed first, then by the time left to those that wait. For
 * g_array_sort. */
gint wb_load_queue_compare(gconstpointer left, gconstpointer right);

/**
 * When a model that waits for its turn at the weight store should be there.
 * @param at_once   loads that the store serves at once at full speed, 1 or more
 * @param under_way loads that it serves now
 * @param before    models that wait before this one
 * @param load_ms   time of a load at full speed
 * @return ms from now
 */
int64_t wb_load_queue_ready_ms(unsigned at_once, unsigned under_way, unsigned before,
                               int64_t load_ms);

#endif
