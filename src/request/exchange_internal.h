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
/** Send the request to an engine, let it wait, or answer it. The exchange may be freed. */
void wb_exchange_dispatch(wb_exchange_t *exchange);
/** Answer the request from this node: with the outcome's own status if it certainly has not run,
 * else with 502 or 504. If an answer has begun, the connection is aborted. The exchange is freed.
 */
void wb_exchange_give_up(wb_exchange_t *exchange, wb_outcome_t outcome);
/** Record the outcome and free the exchange. @return its connection, to send the answer on */
wb_http_connection_t *wb_exchange_end(wb_exchange_t *exchange, wb_outcome_t outcome,
                                      unsigned status);
/** Cancel the attempt, if there is one, and remove it from its engine's counts. */
void wb_exchange_stop_attempt(wb_exchange_t *exchange);
/** Count a failure of an engine, and avoid the engine for some time. @param reason for logs */
void wb_engine_note_failure(wb_engine_t *engine, const char *reason, const char *request_id);
/** Cancel a timer if it is set, and clear it. */
void wb_exchange_clear_timer(wb_timer_t **timer);
void wb_exchange_clear_reply(wb_reply_t *reply);
/** The engine has prefilled the prompt, or won't: remove it from the engine's backlog. */
void wb_exchange_release_prefill(wb_exchange_t *exchange);
/** @return TRUE when the request may be sent again although it has run, or may have: by its route,
 * what its client has got of an answer, and what is known of crashes under it */
gboolean wb_exchange_may_run_again(wb_exchange_t *exchange);
/** @return TRUE when its service's retry budget and its own attempts allow one more */
gboolean wb_exchange_has_resend(const wb_exchange_t *exchange);
/** Arm the timer for the end of the wait if the request waits, else for the time its answer is due.
 */
void wb_exchange_arm_timeout(wb_exchange_t *exchange);

/* exchange_silence.c */
/** From now on, send the request to another engine once that is expected to answer sooner than the
 * one that has it. */
void wb_exchange_watch_silence(wb_exchange_t *exchange);
/** The attempt's engine has answered, or has been given this long in vain. */
void wb_exchange_note_answer_time(const wb_exchange_t *exchange);

/* exchange_refuse.c */
/** End the exchange with an answer of this node; if an answer has begun, abort the connection. The
 * exchange is freed. */
void wb_exchange_refuse(wb_exchange_t *exchange, wb_outcome_t outcome, unsigned status);

/* exchange_read.c */
/** @return TRUE when the catalog in force is known to be the newest that may be in force */
gboolean wb_edge_catalog_is_confirmed(const wb_edge_t *edge);
/** Find the request's route, service, model and times. @return WB_OUTCOME_COUNT, or why it can't be
 * served */
wb_outcome_t wb_exchange_read(wb_exchange_t *exchange);
/** @return TRUE when a planned stop is under way, and the request can't be known to end before it
 * does if it is sent to an engine now */
gboolean wb_exchange_stop_refuses_run(const wb_exchange_t *exchange, int64_t now_ms);
/** Send the request to this service, whichever of its route's is drawn.
 * @return FALSE: its route doesn't lead there, or the service doesn't have its model */
gboolean wb_exchange_change_service(wb_exchange_t *exchange, const char *name);
/** @return the HTTP status of an outcome of a request that has not run */
unsigned wb_outcome_status(wb_outcome_t outcome);

/* exchange_tenant.c */
/** Find the request's tenant and priority. @return WB_OUTCOME_COUNT, or why it can't be served */
wb_outcome_t wb_exchange_read_tenant(wb_exchange_t *exchange);
/** Charge one run of the request to its tenant's limit. @return WB_OUTCOME_COUNT, or why it isn't
 * admitted */
wb_outcome_t wb_exchange_charge_quota(wb_exchange_t *exchange);
/** The request has ended: refund the charge if it has not run, else charge each further run. */
void wb_exchange_settle_quota(const wb_exchange_t *exchange);

/* exchange_budget.c */
/** Count the request's arrival, which adds to the retry budget of its service. */
void wb_exchange_count_request(const wb_exchange_t *exchange);
/** @return resends that this node's retry budget for the request's service allows now */
double wb_exchange_resends_left(const wb_exchange_t *exchange);
/** Take one resend from the budget, and log it. @return FALSE when there is none left */
gboolean wb_exchange_take_resend(wb_exchange_t *exchange);

/* exchange_wait.c */
/** @return the client timeout, counted from the request's arrival */
int64_t wb_exchange_client_timeout_ms(const wb_exchange_t *exchange);
/** Let the request wait for an engine or a load as long as that is useful; if it waits already,
 * update the end of its wait. */
void wb_exchange_wait(wb_exchange_t *exchange);
/** @return why a request that has waited isn't served */
wb_outcome_t wb_exchange_wait_outcome(const wb_exchange_t *exchange);
/** @return TRUE when the request's engines couldn't be connected to, and neither this node nor
 * another reaches any: waiting is useless */
gboolean wb_exchange_reaches_no_engine(const wb_exchange_t *exchange);
/** End the request's wait, if it waits. */
void wb_exchange_stop_waiting(wb_exchange_t *exchange);
/** @return TRUE while no controller is reachable */
gboolean wb_exchange_lacks_controller(const wb_exchange_t *exchange);
/** @return the Retry-After for its client */
int64_t wb_exchange_retry_after_ms(const wb_exchange_t *exchange);

/* exchange_poison.c */
/** @return the digest of the request's content; computed on first use, as few requests need it */
const wb_request_digest_t *wb_exchange_digest(wb_exchange_t *exchange);

/** @return FALSE when the request is known to crash the engines that run it, unless a trial is due:
 * then it is marked as the trial */
gboolean wb_exchange_may_send(wb_exchange_t *exchange);
/** @return TRUE when it may be the cause of crashes, so that it isn't sent again by itself */
gboolean wb_exchange_is_suspect(wb_exchange_t *exchange);
/** The request is refused as it crashes engines: log and count it if a part of its prompt is why.
 */
void wb_exchange_note_refused(wb_exchange_t *exchange);
/** @return the time until the entry expires for which it is refused; at least 1 */
int64_t wb_exchange_poison_left_ms(wb_exchange_t *exchange);
/** A brittle engine rejected the request: its end soon after shows nothing about what it ran. */
void wb_exchange_note_brittle_rejection(const wb_exchange_t *exchange);
/** The engine aborted the request, and may have crashed while running it. */
void wb_exchange_note_aborted(wb_exchange_t *exchange);
/** The engine completed an answer. If it shows that the engine has run the request, the request
 * didn't crash it. An unframed answer counts once the engine has sent something later. */
void wb_exchange_note_completed(wb_exchange_t *exchange);

/* exchange_parts.c */
/** @return keys of the parts of the request's prompt (wb_request_digest_t), but for its last one;
 * WB_PARTS_MAX at most */
const GArray *wb_exchange_part_keys(wb_exchange_t *exchange);
/** Parts of a prompt that are refused. */
typedef struct wb_refused_parts_t {
    guint count;
    const wb_request_digest_t *first; /* NULL: none is */
} wb_refused_parts_t;

wb_refused_parts_t wb_exchange_refused_parts(wb_exchange_t *exchange);
/** @return TRUE when a part of its prompt is suspected to crash engines, or refused */
gboolean wb_exchange_has_suspect_part(wb_exchange_t *exchange);
void wb_exchange_log_refused_part(const wb_exchange_t *exchange, const wb_request_digest_t *key);
/** An engine has run a request to its end. @param keys of its prompt's parts */
void wb_edge_parts_completed(wb_edge_t *edge, const GArray *keys, const char *request_id);
/** An engine crashed that had broken off a request. @return TRUE when that is new for a part of its
 * prompt */
gboolean wb_edge_parts_crashed(wb_edge_t *edge, const char *engine_id,
                               const wb_aborted_request_t *request);

/* exchange_wait.c */
/** @return TRUE when the engines that can serve the request are known here; else they have been
 * requested from a relay */
gboolean wb_exchange_engines_known(const wb_exchange_t *exchange);
/** Let the request wait until its engines are known here. */
void wb_exchange_wait_for_engines(wb_exchange_t *exchange);

/* exchange_answer.c */
/** The engine has begun to answer: record the latency, and clear the engine's failures. Only the
 * first call has an effect. */
void wb_exchange_note_first_event(wb_exchange_t *exchange);
/** The engine's response has ended as its framing says. @return why it is incomplete all the same,
 * for logs; NULL: it isn't */
const char *wb_exchange_cut_off_reason(wb_exchange_t *exchange);
/** A complete answer may be one that broke off: a success of which no byte of the body has come,
 * and whose end only its connection has shown. @return TRUE once for a request, if another engine
 * can be asked now */
gboolean wb_exchange_doubts_answer(wb_exchange_t *exchange);
/** Forward the engine's complete answer, or the rest of it. It is freed. */
void wb_exchange_forward_answer(wb_exchange_t *exchange);

/* exchange_stream.c */
/** Read whether the request takes up an earlier stream, and look whether its start is known here.
 */
void wb_exchange_read_stream(wb_exchange_t *exchange);
/** Find out at which software version the stream began that the request takes up.
 * @return FALSE: it isn't known here */
gboolean wb_exchange_find_start(wb_exchange_t *exchange);
/** @return FALSE when the request begins a stream that its client may take up, and it isn't stored
 * yet that streams may begin where it leads */
gboolean wb_exchange_may_begin(const wb_exchange_t *exchange);
/** Let the request wait until either changes, or refuse it. The exchange may be freed. */
void wb_exchange_await_start(wb_exchange_t *exchange);
/** It has changed: end that wait, as the request may have to wait for an engine or a load. */
void wb_exchange_end_start_wait(wb_exchange_t *exchange);
/** The first event is about to be forwarded: its engine's software version binds the stream. Only
 * the first call has an effect. */
void wb_exchange_note_stream_began(wb_exchange_t *exchange);
/** @return FALSE when the engine's software version isn't that of the request's stream, or no
 * stream may begin there yet */
gboolean wb_exchange_may_use(const wb_exchange_t *exchange, const wb_engine_t *engine);
/** @return FALSE when the request is bound to a software version, and no engine of it serves the
 * request, or may once its model is loaded there */
gboolean wb_exchange_version_serves(const wb_exchange_t *exchange);
/** @return TRUE when an available engine that the request may use holds its model, and the adapter
 * unless it is "" */
gboolean wb_exchange_version_holds(const wb_exchange_t *exchange, const char *adapter);

/* exchange_outcome.c */
/** @return TRUE when an engine announces the request's model: a refusal isn't for want of a load */
gboolean wb_exchange_model_is_held(const wb_exchange_t *exchange);
/** Record the request's outcome in the log, the metrics and the ring of ended requests. */
void wb_exchange_record_outcome(const wb_exchange_t *exchange, wb_outcome_t outcome,
                                unsigned status);

#endif
