/* Latency prediction and cost of a request at an engine. */
#include "dispatch/engine_choice.h"

#include <math.h>

/* Cost of a batch with all slots in use; scaled by the share of slots in use. */
#define FULL_BATCH_MS 150.0
/* Cost of a full batch queued beyond the slots: such requests wait until running ones end. A chat
 * of 290 tokens runs for 2 to 4 s. */
#define QUEUED_MS 4000.0
/* Spread of an idle engine. It makes gateways break ties at random, so that those without recent
 * updates don't all choose the same engine. */
#define MIN_SPREAD_MS 1.0
/* Spread in multiples of the square root of the number of running requests. */
#define SPREAD_FACTOR 1.0
/* Bound on the utilization used in the queueing formula of wait_ms(), which diverges at 1 while its
 * input is up to half a second old. */
#define PREFILL_SHARE_MAX 0.9
/* Mean uncached tokens of a prompt: the unit in which queued prefill work is estimated. Drafts have
 * 9,200 tokens, two thirds of them uncached, chats 830. */
#define UNCACHED_PROMPT_TOKENS 4000.0
/* Cost of a missed target: a late response, or a gap between events that is too long. */
#define MISS_MS 2000.0
/* Steepness of the logistic curve for missed targets: a response predicted at half of its target is
 * late with probability 1/13, one predicted at its target with probability 1/2: neighbours slow an
 * engine 2.5 times in a tenth of responses. */
#define MISS_SLOPE 5.0
/* Rate of overlong gaps in a stream while the engine prefills all the time and an event takes as
 * long as the target gap. Of chats of 1.1 s, 5.6 % have one at engines that prefill a third of the
 * time and whose events take half of the gap; of chats of 2.3 s, 34 % where they take 1.1 of it. */
#define LONG_GAPS_PER_S 0.6
/* Stream duration up to which overlong gaps are counted; a longer stream almost surely has one. */
#define STREAM_MAX_S 4.0
/* Weight of the streaming time, during which the request occupies a slot, against the time to first
 * event. */
#define STREAM_SHARE 0.2

/* Probability that the first event misses its target. */
static double late_probability(double predicted_ms, double target_ms) {
    if (target_ms <= 0) {
        return 0;
    }
    return 1 / (1 + exp(MISS_SLOPE * (1 - predicted_ms / target_ms)));
}

/* Probability that a stream has an overlong gap while prompts are prefilled beside it for
 * `prefill_s` seconds: Poisson arrivals whose rate grows with the square of the gap. */
static double long_gap_probability(double gap_ms, double target_gap_ms, double prefill_s) {
    if (target_gap_ms <= 0) {
        return 0;
    }
    double length = gap_ms / target_gap_ms;
    return 1 - exp(-LONG_GAPS_PER_S * prefill_s * length * length);
}

/* Time until the engine begins to prefill this prompt: the largest of this node's backlog there,
 * the backlog of all nodes, and the mean queue at its utilization (M/M/1). */
static double wait_ms(const wb_choice_setup_t *setup, const wb_choice_engine_t *engine) {
    double token_ms = engine->pace / setup->tokens_per_ms;
    double share = MIN(engine->reading_share, PREFILL_SHARE_MAX);
    double queued = share / (1 - share) * UNCACHED_PROMPT_TOKENS;
    return MAX(MAX(engine->backlog_tokens, queued) * token_ms, engine->backlog_ms);
}

/* Uncertainty of a cost: the number of running requests varies by about its square root.
 * @param each_ms cost of one more running request */
static double spread_ms(const wb_choice_engine_t *engine, double each_ms) {
    return MIN_SPREAD_MS + SPREAD_FACTOR * each_ms * sqrt(engine->running + 1);
}

static double occupancy_ms(const wb_choice_engine_t *engine) {
    double occupancy = engine->running / MAX(engine->slots, 1);
    double cost = FULL_BATCH_MS * occupancy;
    if (occupancy >= 1) {
        cost += QUEUED_MS * (occupancy - 1) + FULL_BATCH_MS;
    }
    return cost;
}

wb_choice_estimate_t wb_choice_estimate(const wb_choice_setup_t *setup,
                                        const wb_choice_request_t *request,
                                        const wb_choice_engine_t *engine) {
    double slot_ms = setup->use_pace ? FULL_BATCH_MS / MAX(engine->slots, 1) : 0;
    wb_choice_estimate_t estimate = {.cost_ms = occupancy_ms(engine) + engine->penalty_ms,
                                     .spread_ms = spread_ms(engine, slot_ms)};
    if (!request->has_prompt) {
        return estimate;
    }
    double token_ms = engine->pace / setup->tokens_per_ms;
    double step_ms = setup->step_ms * engine->pace;
    double prefill_ms = engine->uncached_tokens * token_ms;
    estimate.wait_ms = wait_ms(setup, engine);
    estimate.first_ms = request->wait_scale * estimate.wait_ms + prefill_ms + step_ms;
    estimate.pause_ms = setup->event_tokens * (step_ms + setup->chunk_tokens * token_ms);
    estimate.cost_ms += estimate.first_ms;
    if (!setup->use_pace) {
        return estimate;
    }
    double stream_ms = request->out_tokens * step_ms;
    double overlap_s = MIN(stream_ms / 1000, STREAM_MAX_S) * MIN(engine->reading_share, 1);
    double own_miss = late_probability(request->waited_ms + estimate.first_ms, request->target_ms) +
                      long_gap_probability(estimate.pause_ms, request->target_gap_ms, overlap_s);
    /* Running requests are assumed to be streams with the same target gap. */
    double other_miss =
        long_gap_probability(estimate.pause_ms, request->target_gap_ms, prefill_ms / 1000);
    estimate.cost_ms +=
        STREAM_SHARE * stream_ms + MISS_MS * (own_miss + engine->running * other_miss);
    estimate.spread_ms = spread_ms(engine, slot_ms + MISS_MS * other_miss);
    return estimate;
}
