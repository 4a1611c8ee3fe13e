/**
 * @file engine_pace.h
 * @brief How long work takes at an engine, beside what it takes at a usual one.
 *
 * Engines that share their machines with others tell on each answer how long work takes there at
 * this moment, in percent of what is usual. The figure has two parts: what the engine is (engines
 * of one service differ by more than two times), which lasts, and what its neighbours do, which
 * only slows it and is over within a second. The least figure of some seconds is taken for the
 * first part; a figure of some hundred ms ago tells of the second.
 *
 * A gateway hears from an engine rarely: 89 gateways before 140 engines with 300 requests a second
 * between them hear from each once in 40 s. So what all of them hear is put together
 * (pace_aggregate.h), and `wb_engine_pace_set_shared` takes what others heard.
 *
 * Pure: the time is passed in. What it doesn't do: choose an engine (engine_choice.h).
 */
#ifndef WICKBRIDGE_ENGINE_PACE_H
#define WICKBRIDGE_ENGINE_PACE_H

#include <glib.h>
#include <stdint.h>

/** Figures beyond these are no measure of an engine, in percent: a tenth to ten times the usual. */
#define WB_PACE_MIN_PERCENT 10
#define WB_PACE_MAX_PERCENT 1000
/** The least figure of so long, and of so long before, is the engine's own. Neighbours' work lasts
 * 0.6 s, and each engine of 140 is heard from twice a second by all gateways together. */
#define WB_PACE_WINDOW_MS 6000

/** An engine's pace as one node knows it; zeroed: nothing is known, and it counts as usual. */
typedef struct wb_engine_pace_t {
    unsigned last_percent; /* the last figure heard here; 0: none */
    int64_t told_ms;
    unsigned current_min_percent;        /* of the window that runs; 0: none */
    unsigned previous_min_percent; /* of the window before; 0: none */
    int64_t window_began_ms;
    unsigned shared_percent; /* the engine's own, by what all nodes heard; 0: not told */
} wb_engine_pace_t;

/** Read a told figure. @return percent, or 0 when the text is no figure of a possible pace */
unsigned wb_engine_pace_parse(const char *text);
/** The engine has told a figure here. @param percent as wb_engine_pace_parse gives it; 0: ignored */
void wb_engine_pace_add(wb_engine_pace_t *pace, unsigned percent, int64_t now_ms);
/** All nodes together have heard this least figure. */
void wb_engine_pace_set_shared(wb_engine_pace_t *pace, unsigned percent);
/** @return the least figure that was heard here lately; 0: none */
unsigned wb_engine_pace_recent_min(const wb_engine_pace_t *pace, int64_t now_ms);
/** @return the engine's own figure in percent, neighbours aside; 0: nothing is known */
unsigned wb_engine_pace_intrinsic(const wb_engine_pace_t *pace, int64_t now_ms);
/** @return how many times as long as usual work takes there by itself: 1 when nothing is known */
double wb_engine_pace_intrinsic_factor(const wb_engine_pace_t *pace, int64_t now_ms);
/** @return how many times as long as usual work is expected to take there now */
double wb_engine_pace_current_factor(const wb_engine_pace_t *pace, int64_t now_ms);

#endif
