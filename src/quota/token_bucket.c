/* Token bucket and exponentially decaying rate. */
#include "quota/token_bucket.h"

#include <glib.h>
#include <math.h>

double wb_token_bucket_fill(wb_token_bucket_t *bucket, double rate_per_s, double depth,
                            int64_t now_ms) {
    double elapsed_s = (double)MAX(now_ms - bucket->at_ms, 0) / 1000.0;
    bucket->at_ms = now_ms;
    bucket->level = MIN(bucket->level + rate_per_s * elapsed_s, depth);
    return bucket->level;
}

double wb_decayed_rate_read(const wb_decayed_rate_t *rate, double time_s, int64_t now_ms) {
    double elapsed_s = (double)MAX(now_ms - rate->at_ms, 0) / 1000.0;
    return rate->per_s * exp(-elapsed_s / time_s);
}

void wb_decayed_rate_add(wb_decayed_rate_t *rate, double units, double time_s, int64_t now_ms) {
    rate->per_s = wb_decayed_rate_read(rate, time_s, now_ms) + units / time_s;
    rate->at_ms = now_ms;
}
