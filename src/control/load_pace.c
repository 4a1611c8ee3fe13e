/* How many loads from the weight store are worth having under way at once. */
#include "control/load_pace.h"

#include <glib.h>
#include <math.h>

/* Before anything is known: as many as would end within this time one after the other. Callers of
 * missing models come back for 7 s (MISSED_LIFE_MS of controller_missing.c). */
#define FIRST_TIME_MS 8000.0
/* Times what a load takes alone: below the first it was timely, above the second it was held up. */
#define TIMELY 1.25
#define SLOW 1.5

unsigned wb_load_pace_limit(const wb_load_pace_t *pace, int64_t nominal_ms) {
    if (pace->limit > 0) {
        return (unsigned)MAX(pace->limit, 1);
    }
    return (unsigned)MAX(FIRST_TIME_MS / (double)MAX(nominal_ms, 1), 1);
}

void wb_load_pace_note(wb_load_pace_t *pace, unsigned at_once, int64_t took_ms,
                       int64_t nominal_ms) {
    if (at_once == 0 || took_ms <= 0 || nominal_ms <= 0) {
        return;
    }
    double limit = wb_load_pace_limit(pace, nominal_ms);
    double times = (double)took_ms / (double)nominal_ms;
    if (times < TIMELY && at_once >= limit) {
        limit += 1;
    } else if (times > SLOW) {
        limit = MIN(limit, ceil(at_once / times));
    }
    pace->limit = limit;
}
