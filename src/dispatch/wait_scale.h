/**
 * @file wait_scale.h
 * @brief Learns for each route how its measured waits for prefill relate to predictions.
 *
 * Engines prefill urgent prompts first, in an order that gateways don't know. Under load, urgent
 * short requests wait much less than the whole backlog suggests, and others slightly longer. The
 * ratio of the route's decayed sums of measured and predicted waits corrects later predictions.
 *
 * Waits are in milliseconds. Pure; no errors.
 */
#ifndef WICKBRIDGE_WAIT_SCALE_H
#define WICKBRIDGE_WAIT_SCALE_H

#include <glib.h>

typedef struct wb_wait_scale_t wb_wait_scale_t;

wb_wait_scale_t *wb_wait_scale_create(void);
void wb_wait_scale_free(wb_wait_scale_t *scale);
/** Add a measurement. @param predicted_ms the prediction before scaling */
void wb_wait_scale_learn(wb_wait_scale_t *scale, const char *route, double predicted_ms,
                         double measured_ms);
/** @return factor for predicted waits of the route; 1 before there are enough measurements */
double wb_wait_scale_get(const wb_wait_scale_t *scale, const char *route);

#endif
