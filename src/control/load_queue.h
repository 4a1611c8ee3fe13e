/**
 * @file load_queue.h
 * @brief The order in which models that no engine holds are loaded, and estimates of when they are
 * ready.
 *
 * The weight store serves a few concurrent loads at full speed. When more models are missing, the
 * others wait for their turn, and clients get the estimate in Retry-After. Pure; times are in ms.
 * Nothing here fails.
 */
#ifndef WICKBRIDGE_LOAD_QUEUE_H
#define WICKBRIDGE_LOAD_QUEUE_H

#include "wickbridge/catalog.h"

#include <glib.h>
#include <stdint.h>

/** A model that is in demand and that no engine holds or loads. */
typedef struct wb_missing_model_t {
    const wb_model_spec_t *spec;
    unsigned missed_requests; /**< requests for it that arrived while no engine held it */
    unsigned time_left_ms;    /**< as wb_usage_t.time_left_ms; G_MAXUINT: none wait */
} wb_missing_model_t;

/** GCompareFunc for g_array_sort: most missed requests first, then least time left. */
gint wb_load_queue_compare(gconstpointer left, gconstpointer right);

/**
 * Estimate when a model that waits for the weight store will be loaded.
 * @param concurrent  loads that the store serves concurrently at full speed, at least 1
 * @param in_progress loads under way
 * @param ahead       models that are loaded before this one
 * @param load_ms     time of a load at full speed
 * @return ms from now
 */
int64_t wb_load_queue_ready_ms(unsigned concurrent, unsigned in_progress, unsigned ahead,
                               int64_t load_ms);

#endif
