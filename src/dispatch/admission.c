/* Whether a request is taken, by when its first event is predicted. */
#include "dispatch/admission.h"

/* Predicted at its target, an answer is as likely late as not (engine_choice.c); from this many
 * targets on it hardly is in time: the chance of a refusal begins there and is whole a target
 * later. */
#define LATE_FROM 1.5
#define LATE_WHOLE 2.5
/* What is most urgent is refused so many targets later. */
#define URGENT_GRACE 1.0
/* Nobody is told to come back sooner: gateways hear of a backlog that has gone half a second late.
 */
#define RETRY_LEAST_MS 500
#define RETRY_MOST_MS 8000

double wb_admission_refusal_probability(const wb_choice_request_t *request,
                                   const wb_choice_estimate_t *estimate, int rank,
                                   double patience_ms) {
    if (!request->has_prompt || request->target_ms <= 0) {
        return 0;
    }
    if (request->waited_ms + estimate->first_ms > patience_ms) {
        return 1;
    }
    /* Who has waited for a model is late already and served all the same: only the engine counts.
     */
    double grace = rank == 0 ? URGENT_GRACE : 0;
    double targets = estimate->first_ms / request->target_ms - grace;
    return CLAMP((targets - LATE_FROM) / (LATE_WHOLE - LATE_FROM), 0, 1);
}

int64_t wb_admission_retry_ms(const wb_choice_request_t *request,
                              const wb_choice_estimate_t *estimate) {
    return (int64_t)CLAMP(estimate->first_ms - request->target_ms, RETRY_LEAST_MS, RETRY_MOST_MS);
}
