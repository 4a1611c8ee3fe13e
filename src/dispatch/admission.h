/**
 * @file admission.h
 * @brief Admission control: refuses requests whose first event is predicted too late at the best
 * engine.
 *
 * When all engines of a model are overloaded, admitting every request makes every response late,
 * and engines spend time on prompts whose clients time out before the first event. A request that
 * can't be answered near its target is therefore refused at once, with a Retry-After. This doesn't
 * lower the throughput, as an overloaded engine prefills as much with a shorter queue.
 *
 * A gateway's view of an engine's backlog is up to half a second old. The probability of a refusal
 * therefore rises gradually: with a hard threshold all gateways would refuse and admit in step, and
 * the load would oscillate. Requests of the highest priority are refused later than others.
 *
 * Times are in milliseconds. Pure functions without errors. Requests that wait for a model
 * (exchange_wait.c) and limits of tenants (quota_limiter.h) are handled elsewhere.
 */
#ifndef WICKBRIDGE_ADMISSION_H
#define WICKBRIDGE_ADMISSION_H

#include "dispatch/engine_choice.h"

#include <stdint.h>

/**
 * @param priority          0 is the most urgent
 * @param client_timeout_ms time from the request's arrival after which the client gives up
 * @return probability of a refusal, 0 to 1
 */
double wb_admission_refusal_probability(const wb_choice_request_t *request,
                                        const wb_choice_estimate_t *estimate, int priority,
                                        double client_timeout_ms);

/** @return Retry-After in ms: time until the backlog is within the target, within fixed bounds */
int64_t wb_admission_retry_ms(const wb_choice_request_t *request,
                              const wb_choice_estimate_t *estimate);

#endif
