/* Decides from the head of an engine's response what becomes of its body. */
#include "request/answer_use.h"

/* Whether clients take the status to say that their request has not run, and never will. */
static gboolean promises_no_run(unsigned status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Whether the body can follow the events that the client has. */
static gboolean continues_stream(const wb_answer_facts_t *facts) {
    return facts->on_stream && facts->has_events && facts->status == facts->client_status;
}

wb_answer_decision_t wb_answer_decide(const wb_answer_facts_t *facts) {
    gboolean succeeded = facts->status / 100 == 2;
    if (facts->rejected)
        return (wb_answer_decision_t){WB_ANSWER_DROP, "rejected"};
    if (promises_no_run(facts->status))
        return (wb_answer_decision_t){WB_ANSWER_REFUSE, "promise-unfounded"};
    if (!facts->sealed)
        return (wb_answer_decision_t){WB_ANSWER_REFUSE, "unsealed"};
    if (facts->client_status != 0)
        return continues_stream(facts) ? (wb_answer_decision_t){WB_ANSWER_STREAM, NULL}
                                       : (wb_answer_decision_t){WB_ANSWER_DROP, "no-continuation"};
    if (facts->status >= 500 && facts->may_resend)
        return (wb_answer_decision_t){WB_ANSWER_DROP, "engine-failed"};
    return (wb_answer_decision_t){
        succeeded && facts->on_stream ? WB_ANSWER_STREAM : WB_ANSWER_FORWARD, NULL};
}
