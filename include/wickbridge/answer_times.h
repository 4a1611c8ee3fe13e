/**
 * @file answer_times.h
 * @brief How long an engine lately took to begin its answers, by route, and whether another engine
 * is worth asking for a request that it hasn't answered yet.
 *
 * Times are durations in ms. Pure; no errors.
 */
#ifndef WICKBRIDGE_ANSWER_TIMES_H
#define WICKBRIDGE_ANSWER_TIMES_H

#include <glib.h>
#include <stdint.h>

#define WB_ANSWER_TIME_UNKNOWN (-1)

typedef struct wb_answer_times_t wb_answer_times_t;

wb_answer_times_t *wb_answer_times_create(void);
void wb_answer_times_free(wb_answer_times_t *times);
/** Add the time from a request to its answer, or the time after which it was given up. */
void wb_answer_times_add(wb_answer_times_t *times, const char *route, int64_t took_ms);
/**
 * The time that a request is expected to take from now on: the median over those of the latest
 * answers that took longer than it has taken. Without one, it is later than usual, and expected to
 * take as long again.
 * @param silent_ms since it was sent; 0: it isn't sent yet
 * @return WB_ANSWER_TIME_UNKNOWN when no answer of the route is known
 */
int64_t wb_answer_times_left(const wb_answer_times_t *times, const char *route, int64_t silent_ms);
/** @param left_ms expected of the engine that has the request @param other_ms of the other one
 * @return TRUE if the other one is worth a run more */
gboolean wb_second_try_pays(int64_t left_ms, int64_t other_ms);

#endif
