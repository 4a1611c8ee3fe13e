/* Adaptive limit on concurrent loads from the weight store. */
#include "control/load_concurrency.h"

#include <math.h>

/* Limit until the first load has ended. */
#define INITIAL_LIMIT 6.0
/* Time after which nearly all clients that wait when a load starts have timed out. Such a load
 * serves only later requests, so the first one should not be slowed down by others. */
#define CLIENT_TIMEOUT_MS 8000
/* Ratio of a load's time to its nominal time: below the first the load was fast, above the second
 * it was slowed down by others. */
#define FAST_RATIO 1.25
#define SLOW_RATIO 1.5

gboolean wb_load_exceeds_client_timeout(int64_t nominal_ms) {
    return nominal_ms > CLIENT_TIMEOUT_MS;
}

unsigned wb_load_concurrency_limit(const wb_load_concurrency_t *concurrency, int64_t nominal_ms) {
    if (concurrency->limit > 0) {
        return (unsigned)MAX(concurrency->limit, 1);
    }
    return wb_load_exceeds_client_timeout(nominal_ms) ? 1 : (unsigned)INITIAL_LIMIT;
}

void wb_load_concurrency_record(wb_load_concurrency_t *concurrency, unsigned concurrent,
                                int64_t took_ms, int64_t nominal_ms) {
    if (concurrent == 0 || took_ms <= 0 || nominal_ms <= 0) {
        return;
    }
    double limit = wb_load_concurrency_limit(concurrency, nominal_ms);
    double slowdown = (double)took_ms / (double)nominal_ms;
    if (slowdown < FAST_RATIO && concurrent >= limit) {
        limit += 1;
    } else if (slowdown > SLOW_RATIO) {
        limit = MIN(limit, ceil(concurrent / slowdown));
    }
    concurrency->limit = limit;
}
