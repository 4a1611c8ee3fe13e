/**
 * @file token_bucket.h
 * @brief A token bucket, and an exponentially decaying rate.
 *
 * Times are monotonic and in milliseconds, rates in units a second; the caller defines the unit.
 * Pure: the time is passed in. No errors.
 */
#ifndef WICKBRIDGE_TOKEN_BUCKET_H
#define WICKBRIDGE_TOKEN_BUCKET_H

#include <stdint.h>

typedef struct wb_token_bucket_t {
    double level; /**< may be negative: a debt that later tokens pay off first */
    int64_t at_ms;
} wb_token_bucket_t;

/** Add the tokens accrued since the last call, up to `depth`. @return the level */
double wb_token_bucket_fill(wb_token_bucket_t *bucket, double rate_per_s, double depth,
                            int64_t now_ms);

/** A moving average with exponential decay; all calls for one rate pass the same time constant. */
typedef struct wb_decayed_rate_t {
    double per_s;
    int64_t at_ms;
} wb_decayed_rate_t;

void wb_decayed_rate_add(wb_decayed_rate_t *rate, double units, double time_s, int64_t now_ms);
/** @return units a second as of now */
double wb_decayed_rate_read(const wb_decayed_rate_t *rate, double time_s, int64_t now_ms);

#endif
