/**
 * @file exchange_internal.h
 * @brief Private functions shared by the exchange*.c files, which implement a client's request.
 *
 * Names ending in _ms are milliseconds; functions return durations. Functions that may end the
 * exchange free it and say so: the caller must not use it afterwards. All run on the loop's thread.
 */
#ifndef WICKBRIDGE_EXCHANGE_INTERNAL_H
#define WICKBRIDGE_EXCHANGE_INTERNAL_H

#include "request/request_types.h"

/* exchange.c */
/** Send it to an engine, let it wait, or end it. It may be freed. */
void wb_exchange_dispatch(wb_exchange_t *exchange);
/** End it with an answer of this node: the outcome's own status if it certainly has not run, else
 * 502 or 504. If the answer has begun, the connection is aborted. It is freed. */
void wb_exchange_give_up(wb_exchange_t *exchange, wb_outcome_t outcome);
/** Record the outcome and free the exchange. @return its connection, to send the answer on */
wb_http_connection_t *wb_exchange_end(wb_exchange_t *exchange, wb_outcome_t outcome,
                                      unsigned status);
/** Cancel a timer if it is set, and clear it. */
void wb_exchange_clear_timer(wb_timer_t **timer);
void wb_exchange_clear_reply(wb_reply_t *reply);
/** The engine has prefilled the prompt, or won't: remove it from the engine's backlog. */
void wb_exchange_release_prefill(wb_exchange_t *exchange);
/** Arm the timer for the end of its wait if it waits, else for the time its answer is due. */
void wb_exchange_arm_timeout(wb_exchange_t *exchange);

/* exchange_read.c */
/** Find its route, service, model and times. @return WB_OUTCOME_COUNT, or why it can't be served */
wb_outcome_t wb_exchange_read(wb_exchange_t *exchange);
/** @return the HTTP status of an outcome of a request that has not run */
unsigned wb_outcome_status(wb_outcome_t outcome);

/* exchange_tenant.c */
/** Find its tenant and priority. @return WB_OUTCOME_COUNT, or why it can't be served */
wb_outcome_t wb_exchange_read_tenant(wb_exchange_t *exchange);
/** Charge its tenant's limit for one run. @return FALSE when the limit is used up */
gboolean wb_exchange_charge_quota(wb_exchange_t *exchange);
/** It has ended: refund the charge if it has not run, and charge each further run. */
void wb_exchange_settle_quota(const wb_exchange_t *exchange);

/* exchange_budget.c */
/** Count its arrival, which adds to the retry budget of its service. */
void wb_exchange_count_request(const wb_exchange_t *exchange);
/** @return resends that this node's retry budget for its service allows now */
double wb_exchange_resends_left(const wb_exchange_t *exchange);
/** Take one resend from the budget, and log it. @return FALSE when there is none left */
gboolean wb_exchange_take_resend(wb_exchange_t *exchange);

/* exchange_wait.c */
/** @return the client timeout, from its arrival */
int64_t wb_exchange_client_timeout_ms(const wb_exchange_t *exchange);
/** Let it wait for an engine or a load as long as that is useful; if it waits already, update that.
 */
void wb_exchange_wait(wb_exchange_t *exchange);
/** End its wait, if it waits. */
void wb_exchange_stop_waiting(wb_exchange_t *exchange);
/** @return TRUE while no controller is reachable */
gboolean wb_exchange_lacks_controller(const wb_exchange_t *exchange);
/** @return the Retry-After for its client */
int64_t wb_exchange_retry_after_ms(const wb_exchange_t *exchange);

/* exchange_poison.c */
/** @return the digest of its content; computed on first use, as few requests need it */
const wb_request_digest_t *wb_exchange_digest(wb_exchange_t *exchange);

/** @return FALSE when it is known to crash the engines that run it, unless a trial is due: then it
 * is marked as the trial */
gboolean wb_exchange_may_send(wb_exchange_t *exchange);
/** @return TRUE when one more engine that ends while running it makes it poison */
gboolean wb_exchange_is_suspect(wb_exchange_t *exchange);
/** @return the time until its poison entry expires; at least 1 */
int64_t wb_exchange_poison_left_ms(wb_exchange_t *exchange);
/** Its engine aborted it, and may have crashed while running it. */
void wb_exchange_note_aborted(wb_exchange_t *exchange);
/** Its engine completed an answer, whatever its status: it didn't crash the engine. */
void wb_exchange_note_completed(wb_exchange_t *exchange);

/* exchange_wait.c */
/** @return TRUE when the engines that can serve it are known here; else they have been requested */
gboolean wb_exchange_engines_known(const wb_exchange_t *exchange);
/** Let it wait until its engines are known here. */
void wb_exchange_wait_for_engines(wb_exchange_t *exchange);

/* exchange_answer.c */
/** The engine has begun to answer: record the latency. Only the first call has an effect. */
void wb_exchange_note_first_event(wb_exchange_t *exchange);
/** Forward the engine's complete answer, or the rest of it. It is freed. */
void wb_exchange_forward_answer(wb_exchange_t *exchange);

/* exchange_outcome.c */
/** Record its outcome in the log, the metrics and the ring of ended requests. */
void wb_exchange_record_outcome(const wb_exchange_t *exchange, wb_outcome_t outcome,
                                unsigned status);

#endif
