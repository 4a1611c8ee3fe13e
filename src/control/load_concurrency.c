/* How many loads from the weight store are worth having under way at once. */
#include "control/load_concurrency.h"

#include <math.h>

/* Before anything is known. */
#define FIRST_LIMIT 6.0
/* A load that takes longer comes too late for nearly all who wait as it begins: callers of streams
 * leave after four targets, 8 s for one of 2 s. It is for those who come later, so the first one
 * is to come as soon as it can: six at once took 30 s each where two are served at full speed in
 * 10 s. */
#define PATIENCE_MS 8000
/* Times what a load takes alone: below the first it was timely, above the second it was held up. */
#define TIMELY 1.25
#define SLOW 1.5

gboolean wb_load_exceeds_client_timeout(int64_t nominal_ms) {
    return nominal_ms > PATIENCE_MS;
}

unsigned wb_load_concurrency_limit(const wb_load_concurrency_t *pace, int64_t nominal_ms) {
    if (pace->limit > 0) {
        return (unsigned)MAX(pace->limit, 1);
    }
    return wb_load_exceeds_client_timeout(nominal_ms) ? 1 : (unsigned)FIRST_LIMIT;
}

void wb_load_concurrency_record(wb_load_concurrency_t *pace, unsigned at_once, int64_t took_ms,
                       int64_t nominal_ms) {
    if (at_once == 0 || took_ms <= 0 || nominal_ms <= 0) {
        return;
    }
    double limit = wb_load_concurrency_limit(pace, nominal_ms);
    double times = (double)took_ms / (double)nominal_ms;
    if (times < TIMELY && at_once >= limit) {
        limit += 1;
    } else if (times > SLOW) {
        limit = MIN(limit, ceil(at_once / times));
    }
    pace->limit = limit;
}
