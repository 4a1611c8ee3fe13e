/**
 * @file answer_use.h
 * @brief Decides from the head of an engine's response what becomes of its body.
 *
 * Decided once for each attempt. What reads the body and what handles its end follow the decision.
 * Pure; no errors.
 */
#ifndef WICKBRIDGE_ANSWER_USE_H
#define WICKBRIDGE_ANSWER_USE_H

#include <glib.h>

typedef enum wb_answer_use_t {
    WB_ANSWER_REFUSE,  /**< it can't be an answer to the request: the attempt fails at once */
    WB_ANSWER_DROP,    /**< it isn't the client's answer: its body is only read to keep the
                          connection */
    WB_ANSWER_FORWARD, /**< it is forwarded once it is complete, or fills the buffer */
    WB_ANSWER_STREAM   /**< it is forwarded by complete events as they arrive */
} wb_answer_use_t;

/** What the decision rests on. */
typedef struct wb_answer_facts_t {
    unsigned status;
    gboolean rejected;      /**< the engine states that it did not run the request */
    gboolean sealed;        /**< it has the header that marks an engine's own response */
    gboolean has_events;    /**< its body may be an event stream that is in no further coding */
    gboolean on_stream;     /**< the request's route is one of streams */
    unsigned client_status; /**< of the answer whose events the client has begun to get; 0: none */
    gboolean may_resend;    /**< the request may be sent to another engine after this one ran it */
} wb_answer_facts_t;

typedef struct wb_answer_decision_t {
    wb_answer_use_t use;
    const char *reason; /**< for logs, of WB_ANSWER_REFUSE and WB_ANSWER_DROP; static; else NULL */
} wb_answer_decision_t;

wb_answer_decision_t wb_answer_decide(const wb_answer_facts_t *facts);

#endif
