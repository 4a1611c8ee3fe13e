/* How long work takes at an engine, beside what it takes at a usual one. */
#include "wickbridge/engine_pace.h"

#include <math.h>

/* What neighbours do is over about so long after it was told: half of their 0.6 s has passed on
 * average when a figure is told. */
#define MOMENT_MS 300.0

unsigned wb_engine_pace_parse(const char *text) {
    if (text == NULL || !g_ascii_isdigit(*text)) {
        return 0;
    }
    guint64 percent = g_ascii_strtoull(text, NULL, 10);
    gboolean possible = percent >= WB_PACE_MIN_PERCENT && percent <= WB_PACE_MAX_PERCENT;
    return possible ? (unsigned)percent : 0;
}

/* Begins a new window when one is over; two windows without a figure leave nothing. */
static void window_turn(wb_engine_pace_t *pace, int64_t now_ms) {
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
    window_turn(pace, now_ms);
    pace->last_percent = percent;
    pace->told_ms = now_ms;
    if (pace->current_min_percent == 0 || percent < pace->current_min_percent) {
        pace->current_min_percent = percent;
    }
}

void wb_engine_pace_set_shared(wb_engine_pace_t *pace, unsigned percent) {
    pace->shared_percent = percent;
}

unsigned wb_engine_pace_recent_min(const wb_engine_pace_t *pace, int64_t now_ms) {
    if (pace->last_percent == 0 || now_ms - pace->told_ms >= 2 * WB_PACE_WINDOW_MS) {
        return 0;
    }
    unsigned least = pace->current_min_percent;
    if (pace->previous_min_percent != 0 && pace->previous_min_percent < least) {
        least = pace->previous_min_percent;
    }
    return least;
}

unsigned wb_engine_pace_intrinsic(const wb_engine_pace_t *pace, int64_t now_ms) {
    unsigned heard = wb_engine_pace_recent_min(pace, now_ms);
    if (heard == 0) {
        return pace->shared_percent != 0 ? pace->shared_percent : pace->last_percent;
    }
    /* What others heard is lower while a neighbour is at work each time that this node hears. */
    return pace->shared_percent != 0 ? MIN(heard, pace->shared_percent) : heard;
}

double wb_engine_pace_intrinsic_factor(const wb_engine_pace_t *pace, int64_t now_ms) {
    unsigned percent = wb_engine_pace_intrinsic(pace, now_ms);
    return percent != 0 ? percent / 100.0 : 1;
}

double wb_engine_pace_current_factor(const wb_engine_pace_t *pace, int64_t now_ms) {
    double usual = wb_engine_pace_intrinsic_factor(pace, now_ms);
    if (pace->last_percent == 0) {
        return usual;
    }
    double beyond = MAX(pace->last_percent / 100.0 - usual, 0);
    return usual + beyond * exp(-(double)(now_ms - pace->told_ms) / MOMENT_MS);
}
