/**
 * @file exchange_internal.h
 * @brief What the files of a request share: exchange.c (sendings and answers), exchange_read.c,
 * exchange_budget.c, exchange_tenant.c, exchange_poison.c, exchange_wait.c, exchange_outcome.c.
 */
#ifndef WICKBRIDGE_EXCHANGE_INTERNAL_H
#define WICKBRIDGE_EXCHANGE_INTERNAL_H

#include "request/request_types.h"

/** Send it to an engine, let it wait, or give it up. It may be freed. */
void wb_exchange_dispatch(wb_exchange_t *exchange);
/** Give the final answer: 503 when it surely has not run, else a status that promises nothing. It
 * is freed. */
void wb_exchange_give_up(wb_exchange_t *exchange, wb_outcome_t ending);
/** Note the end and free the exchange. @return its connection, to answer on */
wb_http_connection_t *wb_exchange_end(wb_exchange_t *exchange, wb_outcome_t ending, unsigned status);
/** Cancel a timer, if it is set. */
void wb_exchange_clear_timer(wb_timer_t **timer);
void wb_exchange_clear_reply(wb_reply_t *reply);
/** The engine has read the prompt, or won't: it no longer counts as its backlog. */
void wb_exchange_release_prefill(wb_exchange_t *exchange);
/** Set the timer for when its wait, or its time, is over. */
void wb_exchange_arm_timeout(wb_exchange_t *exchange);

/** Find route, service, model and times. @return WB_OUTCOME_COUNT, or why it can't be served */
wb_outcome_t wb_exchange_read(wb_exchange_t *exchange);
/** @return the status of an ending that wb_exchange_read gives */
unsigned wb_outcome_status(wb_outcome_t ending);

/* exchange_tenant.c */
/** Find tenant and rank. @return WB_OUTCOME_COUNT, or why the request can't be served */
wb_outcome_t wb_exchange_read_tenant(wb_exchange_t *exchange);
/** Charge its tenant's limit for one run. @return FALSE when the limit is spent */
gboolean wb_exchange_charge_quota(wb_exchange_t *exchange);
/** It has ended: what it didn't run is given back, what it ran more often is charged. */
void wb_exchange_settle_quota(const wb_exchange_t *exchange);

/* exchange_budget.c */
/** It has come: its service may send the more again. */
void wb_exchange_count_request(const wb_exchange_t *exchange);
/** @return how often its service's requests might be sent again now, by this node */
double wb_exchange_resends_left(const wb_exchange_t *exchange);
/** Take one out of that. @return FALSE when there is none left */
gboolean wb_exchange_take_resend(wb_exchange_t *exchange);

/** @return time from its arrival after which its caller leaves */
int64_t wb_exchange_client_timeout_ms(const wb_exchange_t *exchange);
/** Let it wait for an engine, as long as that has a use. */
void wb_exchange_wait(wb_exchange_t *exchange);
/** It no longer waits; does nothing when it doesn't. */
void wb_exchange_stop_waiting(wb_exchange_t *exchange);
/** @return TRUE while nobody can decide on loads */
gboolean wb_exchange_lacks_controller(const wb_exchange_t *exchange);
/** @return ms after which coming back has a use */
int64_t wb_exchange_retry_after_ms(const wb_exchange_t *exchange);

/* exchange_poison.c */
/** @return the digest of what it asks for; worked out when it is first asked for, as that costs
 * some 40 us for a body of 18 KB */
const wb_request_digest_t *wb_exchange_digest(wb_exchange_t *exchange);

/** @return FALSE when it is known to crash the engines that run it, but for one try now and then */
gboolean wb_exchange_may_send(wb_exchange_t *exchange);
/** @return TRUE when one more engine that ends under it makes it poison */
gboolean wb_exchange_is_suspect(wb_exchange_t *exchange);
/** @return ms for which that is held against it */
int64_t wb_exchange_poison_left_ms(wb_exchange_t *exchange);
/** Its engine broke it off, and may have crashed under it. */
void wb_exchange_note_aborted(wb_exchange_t *exchange);
/** Its engine has answered it whole, whatever the answer is. */
void wb_exchange_note_completed(wb_exchange_t *exchange);

/** @return TRUE when the engines that could serve it are known here; else they have been asked for
 */
gboolean wb_exchange_engines_known(const wb_exchange_t *exchange);
/** It waits until its engines are known here, which takes some ms. */
void wb_exchange_wait_for_engines(wb_exchange_t *exchange);

/* exchange_answer.c */
/** The answer begins to come; only the first call counts. */
void wb_exchange_note_first_event(wb_exchange_t *exchange);
/** Pass the engine's whole answer on, or what is left of it. It is freed. */
void wb_exchange_forward_answer(wb_exchange_t *exchange);

/* exchange_outcome.c */
/** Write its end into log, counters and memory for operators. */
void wb_exchange_record_outcome(const wb_exchange_t *exchange, wb_outcome_t ending, unsigned status);

#endif
