/* Pace of an engine relative to the baseline. */
#include "wickbridge/engine_pace.h"

#include <math.h>

/* Decay time of interference by co-located workloads after a measurement: about half of its typical
 * duration, as half has passed on average. */
#define INTERFERENCE_DECAY_MS 300.0

unsigned wb_engine_pace_parse(const char *text) {
    if (text == NULL || !g_ascii_isdigit(*text)) {
        return 0;
    }
    guint64 percent = g_ascii_strtoull(text, NULL, 10);
    gboolean valid = percent >= WB_PACE_MIN_PERCENT && percent <= WB_PACE_MAX_PERCENT;
    return valid ? (unsigned)percent : 0;
}

/* Begins a new window when the current one has ended. After two windows without a value nothing is
 * left. */
static void window_advance(wb_engine_pace_t *pace, int64_t now_ms) {
    int64_t passed_ms = now_ms - pace->window_began_ms;
    if (passed_ms < WB_PACE_WINDOW_MS) {
        return;
    }
    pace->previous_min_percent = passed_ms < 2 * WB_PACE_WINDOW_MS ? pace->current_min_percent : 0;
    pace->current_min_percent = 0;
    pace->window_began_ms = now_ms;
}

void wb_engine_pace_add(wb_engine_pace_t *pace, unsigned percent, int64_t now_ms) {
    if (percent == 0) {
        return;
    }
    window_advance(pace, now_ms);
    pace->last_percent = percent;
    pace->last_ms = now_ms;
    if (pace->current_min_percent == 0 || percent < pace->current_min_percent) {
        pace->current_min_percent = percent;
    }
}

void wb_engine_pace_set_shared(wb_engine_pace_t *pace, unsigned percent) {
    pace->shared_percent = percent;
}

unsigned wb_engine_pace_recent_min(const wb_engine_pace_t *pace, int64_t now_ms) {
    if (pace->last_percent == 0 || now_ms - pace->last_ms >= 2 * WB_PACE_WINDOW_MS) {
        return 0;
    }
    unsigned min_percent = pace->current_min_percent;
    if (pace->previous_min_percent != 0 && pace->previous_min_percent < min_percent) {
        min_percent = pace->previous_min_percent;
    }
    return min_percent;
}

unsigned wb_engine_pace_intrinsic(const wb_engine_pace_t *pace, int64_t now_ms) {
    unsigned recent_min = wb_engine_pace_recent_min(pace, now_ms);
    if (recent_min == 0) {
        return pace->shared_percent != 0 ? pace->shared_percent : pace->last_percent;
    }
    /* The shared value is lower if all values received here were measured under interference. */
    return pace->shared_percent != 0 ? MIN(recent_min, pace->shared_percent) : recent_min;
}

double wb_engine_pace_intrinsic_factor(const wb_engine_pace_t *pace, int64_t now_ms) {
    unsigned percent = wb_engine_pace_intrinsic(pace, now_ms);
    return percent != 0 ? percent / 100.0 : 1;
}

double wb_engine_pace_current_factor(const wb_engine_pace_t *pace, int64_t now_ms) {
    double intrinsic = wb_engine_pace_intrinsic_factor(pace, now_ms);
    if (pace->last_percent == 0) {
        return intrinsic;
    }
    double interference = MAX(pace->last_percent / 100.0 - intrinsic, 0);
    return intrinsic +
           interference * exp(-(double)(now_ms - pace->last_ms) / INTERFERENCE_DECAY_MS);
}
