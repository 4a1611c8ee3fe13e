/* Pace of an engine relative to the baseline. */
#include "wickbridge/engine_pace.h"

#include <math.h>

/* Decay time of interference by co-located workloads after a measurement: about half of its typical
 * duration, as half has passed on average. */
#define INTERFERENCE_DECAY_MS 300.0

unsigned wb_engine_pace_read(const char *text) {
    if (text == NULL || !g_ascii_isdigit(*text)) {
        return 0;
    }
    guint64 percent = g_ascii_strtoull(text, NULL, 10);
    gboolean valid = percent >= WB_PACE_LEAST_PERCENT && percent <= WB_PACE_MOST_PERCENT;
    return valid ? (unsigned)percent : 0;
}

/* Begins a new window when the current one has ended. After two windows without a value nothing is
 * left. */
static void window_advance(wb_engine_pace_t *pace, int64_t now_ms) {
    int64_t passed_ms = now_ms - pace->window_began_ms;
    if (passed_ms < WB_PACE_WINDOW_MS) {
        return;
    }
    pace->least_before_percent = passed_ms < 2 * WB_PACE_WINDOW_MS ? pace->least_percent : 0;
    pace->least_percent = 0;
    pace->window_began_ms = now_ms;
}

void wb_engine_pace_told(wb_engine_pace_t *pace, unsigned percent, int64_t now_ms) {
    if (percent == 0) {
        return;
    }
    window_advance(pace, now_ms);
    pace->told_percent = percent;
    pace->told_ms = now_ms;
    if (pace->least_percent == 0 || percent < pace->least_percent) {
        pace->least_percent = percent;
    }
}

void wb_engine_pace_share(wb_engine_pace_t *pace, unsigned percent) {
    pace->shared_percent = percent;
}

unsigned wb_engine_pace_heard(const wb_engine_pace_t *pace, int64_t now_ms) {
    if (pace->told_percent == 0 || now_ms - pace->told_ms >= 2 * WB_PACE_WINDOW_MS) {
        return 0;
    }
    unsigned min_percent = pace->least_percent;
    if (pace->least_before_percent != 0 && pace->least_before_percent < min_percent) {
        min_percent = pace->least_before_percent;
    }
    return min_percent;
}

unsigned wb_engine_pace_own(const wb_engine_pace_t *pace, int64_t now_ms) {
    unsigned recent_min = wb_engine_pace_heard(pace, now_ms);
    if (recent_min == 0) {
        return pace->shared_percent != 0 ? pace->shared_percent : pace->told_percent;
    }
    /* The shared value is lower if all values received here were measured under interference. */
    return pace->shared_percent != 0 ? MIN(recent_min, pace->shared_percent) : recent_min;
}

double wb_engine_pace_usual(const wb_engine_pace_t *pace, int64_t now_ms) {
    unsigned percent = wb_engine_pace_own(pace, now_ms);
    return percent != 0 ? percent / 100.0 : 1;
}

double wb_engine_pace_now(const wb_engine_pace_t *pace, int64_t now_ms) {
    double intrinsic = wb_engine_pace_usual(pace, now_ms);
    if (pace->told_percent == 0) {
        return intrinsic;
    }
    double interference = MAX(pace->told_percent / 100.0 - intrinsic, 0);
    return intrinsic +
           interference * exp(-(double)(now_ms - pace->told_ms) / INTERFERENCE_DECAY_MS);
}
