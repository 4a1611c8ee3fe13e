/**
 * @file route_times.h
 * @brief The longest time that requests of a route have lately taken, from arrival to the end of
 * the answer.
 *
 * Kept for one to two windows of a minute. Times are in ms. Pure; no errors.
 */
#ifndef WICKBRIDGE_ROUTE_TIMES_H
#define WICKBRIDGE_ROUTE_TIMES_H

#include <glib.h>
#include <stdint.h>

typedef struct wb_route_times_t wb_route_times_t;

wb_route_times_t *wb_route_times_create(void);
void wb_route_times_free(wb_route_times_t *times);
/** Add a request that has ended. @param took_ms duration */
void wb_route_times_add(wb_route_times_t *times, const char *route, int64_t took_ms,
                        int64_t now_ms);
/** @return the longest duration; -1: none is known */
int64_t wb_route_times_longest(const wb_route_times_t *times, const char *route, int64_t now_ms);

#endif
