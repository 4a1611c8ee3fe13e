/* Admission by the predicted time to first event. */
#include "dispatch/admission.h"

/* The probability of a refusal rises from 0 to 1 between these multiples of the target. At 1 target
 * a response is as likely late as not (engine_choice.c), at 1.5 it is almost certainly late. */
#define REFUSAL_START 1.5
#define REFUSAL_FULL 2.5
/* Added to both bounds for requests of the highest priority. */
#define URGENT_GRACE 1.0
/* Gateways learn of a backlog up to half a second late, so an earlier retry is of no use. */
#define RETRY_MIN_MS 500
#define RETRY_MAX_MS 8000

double wb_admission_refusal_probability(const wb_choice_request_t *request,
                                        const wb_choice_estimate_t *estimate, int priority,
                                        double client_timeout_ms) {
    if (!request->has_prompt || request->target_ms <= 0) {
        return 0;
    }
    if (request->waited_ms + estimate->first_ms > client_timeout_ms) {
        return 1;
    }
    /* The time already spent waiting for a model doesn't count: such a request is late in any case
     * and is served nevertheless. */
    double grace = priority == 0 ? URGENT_GRACE : 0;
    double targets = estimate->first_ms / request->target_ms - grace;
    return CLAMP((targets - REFUSAL_START) / (REFUSAL_FULL - REFUSAL_START), 0, 1);
}

int64_t wb_admission_retry_ms(const wb_choice_request_t *request,
                              const wb_choice_estimate_t *estimate) {
    return (int64_t)CLAMP(estimate->first_ms - request->target_ms, RETRY_MIN_MS, RETRY_MAX_MS);
}
