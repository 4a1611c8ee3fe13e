/**
 * @file admission.h
 * @brief Whether a request is taken, by when its first event is predicted at the best engine.
 *
 * The load that it answers: the engines of a model are asked for more than they can read, for
 * seconds, and nowhere else is the model loaded. All that is taken then waits for all that was
 * taken before: every answer is late, and of long prompts up to a half isn't there when its caller
 * leaves, though the engine has read it. An engine that is behind reads as much when less waits, so
 * what it can't answer near the target is refused at once, with when to come back.
 *
 * Gateways know an engine's backlog half a second late, so the chance of a refusal rises by
 * degrees: all of them refusing at once, then taking all, would swing. Urgent requests are refused
 * later than others.
 *
 * Pure. What it doesn't do: requests that wait for a model (exchange_wait.c), limits of tenants.
 */
#ifndef WICKBRIDGE_ADMISSION_H
#define WICKBRIDGE_ADMISSION_H

#include "dispatch/engine_choice.h"

#include <stdint.h>

/**
 * @param rank       0 is the most urgent
 * @param patience_ms time from its arrival after which its caller leaves
 * @return chance of a refusal, 0 to 1
 */
double wb_admission_refusal_probability(const wb_choice_request_t *request,
                                   const wb_choice_estimate_t *estimate, int rank,
                                   double patience_ms);

/** @return ms after which coming back has a use: the backlog is then within the target */
int64_t wb_admission_retry_ms(const wb_choice_request_t *request,
                              const wb_choice_estimate_t *estimate);

#endif
