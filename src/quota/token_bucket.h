/**
 * @file token_bucket.h
 * @brief A token bucket, and a rate that forgets what is long ago. Pure: the time is passed in.
 */
#ifndef WICKBRIDGE_TOKEN_BUCKET_H
#define WICKBRIDGE_TOKEN_BUCKET_H

#include <stdint.h>

typedef struct wb_token_bucket_t {
    double level; /**< may be negative: what was taken beyond it is owed */
    int64_t at_ms;
} wb_token_bucket_t;

/** Fill it by what has come since the last call, up to `depth`. @return its level */
double wb_token_bucket_fill(wb_token_bucket_t *bucket, double rate_per_s, double depth,
                            int64_t now_ms);

/** A rate over about `time_s`: what is older counts less and less. */
typedef struct wb_decayed_rate_t {
    double per_s;
    int64_t at_ms;
} wb_decayed_rate_t;

void wb_decayed_rate_add(wb_decayed_rate_t *rate, double units, double time_s, int64_t now_ms);
/** @return units a second as of now */
double wb_decayed_rate_read(const wb_decayed_rate_t *rate, double time_s, int64_t now_ms);

#endif
