/**
 * @file engine_pace.h
 * @brief Pace of an engine: the time that work takes there, in percent of the baseline (100).
 * Higher is slower.
 *
 * Engines on shared machines report their current pace in each response. It has two parts: the
 * engine's intrinsic pace, which is constant (engines of one service differ by more than a factor
 * of two), and interference by co-located workloads, which only slows the engine down and lasts
 * less than a second. The lowest value of the last 6 to 12 s (WB_PACE_WINDOW_MS) is taken as the
 * intrinsic pace; a value of the last few hundred ms indicates current interference.
 *
 * A single gateway receives too few responses from each engine, so the values of all gateways are
 * aggregated (pace_aggregate.h), and the aggregate is set with wb_engine_pace_set_shared.
 *
 * Pure: the time is passed in, monotonic (wb_clock_ms) in milliseconds. Invalid values are ignored;
 * the functions report no other errors. Not thread-safe. Engines are chosen in engine_choice.h.
 */
#ifndef WICKBRIDGE_ENGINE_PACE_H
#define WICKBRIDGE_ENGINE_PACE_H

#include <glib.h>
#include <stdint.h>

/** Bounds of a valid pace in percent. */
#define WB_PACE_MIN_PERCENT 10
#define WB_PACE_MAX_PERCENT 1000
/** Length of a window. The lowest value of the current and the previous window is the engine's
 * intrinsic pace; interference lasts much less than a window. */
#define WB_PACE_WINDOW_MS 6000

/** An engine's pace as known to this node; zeroed: unknown, and assumed to be the baseline. */
typedef struct wb_engine_pace_t {
    unsigned last_percent;         /* last value received here; 0: none */
    int64_t last_ms;               /* when it was received */
    unsigned current_min_percent;  /* lowest of the current window; 0: none */
    unsigned previous_min_percent; /* lowest of the previous window; 0: none */
    int64_t window_began_ms;
    unsigned shared_percent; /* intrinsic pace by the values of all nodes; 0: unknown */
} wb_engine_pace_t;

/** Parse a reported pace. @return percent, or 0 if it is malformed or out of bounds */
unsigned wb_engine_pace_parse(const char *text);
/** Add a value that this node received. @param percent as wb_engine_pace_parse returns it; 0 is
 * ignored */
void wb_engine_pace_add(wb_engine_pace_t *pace, unsigned percent, int64_t now_ms);
/** Set the lowest value that all nodes together received. @param percent 0: unknown */
void wb_engine_pace_set_shared(wb_engine_pace_t *pace, unsigned percent);
/** @return the lowest value received here in the current and the previous window, in percent; 0:
 * none */
unsigned wb_engine_pace_recent_min(const wb_engine_pace_t *pace, int64_t now_ms);
/** @return the engine's intrinsic pace in percent, without interference; 0: unknown */
unsigned wb_engine_pace_intrinsic(const wb_engine_pace_t *pace, int64_t now_ms);
/** @return the engine's intrinsic pace as a factor of the baseline; 1 if unknown */
double wb_engine_pace_intrinsic_factor(const wb_engine_pace_t *pace, int64_t now_ms);
/** @return the pace expected now, with interference, as a factor of the baseline */
double wb_engine_pace_current_factor(const wb_engine_pace_t *pace, int64_t now_ms);

#endif
