/**
 * @file wait_scale.h
 * @brief How long requests of a kind really wait to be read, beside what an engine's backlog says.
 *
 * Engines read the prompts of urgent requests first, and nobody tells in which order: under load,
 * urgent short ones wait a sixth of what the whole backlog says, the others a little more than it.
 * So each kind's predicted and measured waits are summed up, and the ratio scales what is predicted
 * next. Pure.
 */
#ifndef WICKBRIDGE_WAIT_SCALE_H
#define WICKBRIDGE_WAIT_SCALE_H

#include <glib.h>

typedef struct wb_wait_scale_t wb_wait_scale_t;

wb_wait_scale_t *wb_wait_scale_create(void);
void wb_wait_scale_free(wb_wait_scale_t *scale);
/** @param predicted_ms before it was scaled */
void wb_wait_scale_learn(wb_wait_scale_t *scale, const char *kind, double predicted_ms,
                         double measured_ms);
/** @return by what a predicted wait of the kind is to be multiplied; 1: nothing is known */
double wb_wait_scale_get(const wb_wait_scale_t *scale, const char *kind);

#endif
