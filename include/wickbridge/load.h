/**
 * @file load.h
 * @brief Load generator: runs many concurrent streams against nodes or engines and measures
 * latencies as clients see them.
 *
 * Latencies are in milliseconds. Failed requests are counted, not reported as errors. Threads: one
 * HTTP client thread carries all streams of a run; results are read after it has ended.
 */
#ifndef WICKBRIDGE_LOAD_H
#define WICKBRIDGE_LOAD_H

#include "wickbridge/http_client.h"

#include <glib.h>

/** A set of measurements. */
typedef struct wb_samples_t {
    GArray *values; /**< double, in ms */
    gboolean sorted;
} wb_samples_t;

void wb_samples_init(wb_samples_t *samples);
void wb_samples_clear(wb_samples_t *samples);
void wb_samples_add(wb_samples_t *samples, double value);
/** Sorts the samples if necessary. @param quantile 0 to 1 @return the value, or 0 without samples
 */
double wb_samples_quantile(wb_samples_t *samples, double quantile);
double wb_samples_mean(const wb_samples_t *samples);

/** A run: a fixed number of streams is kept open for a given time. */
typedef struct wb_load_plan_t {
    const char *const *addresses; /**< IP:PORT of nodes or engines, used in turn; ended by NULL */
    gboolean direct;              /**< the addresses are those of engines */
    const char *model;
    int streams;       /**< number of concurrent streams */
    int tokens;        /**< tokens requested per stream */
    int64_t run_ms;    /**< no streams are started after this time */
    const char *owner; /**< sent with each request; NULL: none */
} wb_load_plan_t;

typedef struct wb_load_result_t {
    wb_samples_t first_token; /**< ms from the request to the first event */
    wb_samples_t gaps; /**< ms between two chunks of a stream; one gap in eight is recorded */
    int64_t whole;     /**< complete streams, with their last event and all tokens */
    int64_t refused;   /**< requests refused with the verdict "not-run" */
    int64_t broken;    /**< all other requests */
    int64_t events;
    double seconds; /**< duration of the run */
} wb_load_result_t;

/** Run a plan; blocks until it is over. */
void wb_load_run(const wb_load_plan_t *plan, wb_load_result_t *result);
void wb_load_result_clear(wb_load_result_t *result);

#endif
