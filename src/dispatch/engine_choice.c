/* Which engine a request is sent to: predicted times of each. */
#include "dispatch/engine_choice.h"

#include <math.h>

/* What one more running request costs the others of a batch, as a share of its full size. */
#define FULLNESS_MS 150.0
/* Beyond its places a request waits until others end: a chat of 290 tokens takes 2 to 4 s. */
#define FULLNESS_FULL_MS 4000.0
/* Ties go by chance, so that gateways without news don't all choose the same. */
#define CHANCE_MS 1.0
/* The range within which chance decides, in roots of what runs. */
#define SPREAD_TIMES 1.0
/* Reading is a queue: at this share of an engine's time its wait is ten times a prompt's, and what
 * is known of it is half a second old, so more makes no difference. */
#define READING_MOST 0.9
/* Tokens of a prompt that are not kept, on average: the wait before a prompt is read is counted in
 * such prompts. Drafts have 9,200, two thirds of them unread; chats have 830. */
#define PROMPT_TOKENS 4000.0
/* A caller takes an answer that is late, or pauses too long, for little more than none: it counts
 * as much as so much more time, two to four targets of those who chat or wait for a draft. Chosen,
 * not fitted. */
#define MISS_MS 2000.0
/* How surely a predicted time is taken to be kept: of answers predicted at half of their target one
 * in 13 is late, of those at their target every other one. Chosen, not fitted: neighbours slow an
 * engine 2.5 times in a tenth of answers. */
#define MISS_SLOPE 5.0
/* Streams pause too long so often, in a second in which prompts are read all the time and one event
 * takes as long as the pause that is allowed. Measured on one day with engines of two speeds: 5.6 %
 * of chats of 1.1 s at engines that read a third of the time and whose events then take half of it,
 * 34 % of chats of 2.3 s where they take 1.1 times of it. */
#define PAUSES_PER_S 0.6
/* A stream's length counts up to this: beyond, it pauses somewhere in any case. */
#define STREAM_MOST_S 4.0
/* Nobody waits for the last token as for the first: this share of the time in which an answer is
 * made counts, as its place is taken for so long. */
#define STREAM_SHARE 0.2

/* How likely a first event comes late. */
static double late_chance(double predicted_ms, double target_ms) {
    if (target_ms <= 0) {
        return 0;
    }
    return 1 / (1 + exp(MISS_SLOPE * (1 - predicted_ms / target_ms)));
}

/* How likely a stream pauses too long while prompts are read beside it for so many seconds. */
static double pause_chance(double pause_ms, double target_gap_ms, double reading_s) {
    if (target_gap_ms <= 0) {
        return 0;
    }
    double length = pause_ms / target_gap_ms;
    return 1 - exp(-PAUSES_PER_S * reading_s * length * length);
}

/* Time until an engine reads this prompt: what was sent there, and what others send meanwhile. */
static double wait_ms(const wb_choice_setup_t *setup, const wb_choice_engine_t *engine) {
    double token_ms = engine->pace / setup->tokens_per_ms;
    double share = MIN(engine->reading_share, READING_MOST);
    double queued = share / (1 - share) * PROMPT_TOKENS;
    return MAX(MAX(engine->backlog_tokens, queued) * token_ms, engine->backlog_ms);
}

/* Requests come and go meanwhile: as many more or less as the root of what runs.
 * @param each_ms what one more running request makes a choice cost */
static double spread_ms(const wb_choice_engine_t *engine, double each_ms) {
    return CHANCE_MS + SPREAD_TIMES * each_ms * sqrt(engine->running + 1);
}

static double fullness_ms(const wb_choice_engine_t *engine) {
    double fullness = engine->running / MAX(engine->slots, 1);
    double cost = FULLNESS_MS * fullness;
    if (fullness >= 1) {
        cost += FULLNESS_FULL_MS * (fullness - 1) + FULLNESS_MS;
    }
    return cost;
}

wb_choice_estimate_t wb_choice_estimate(const wb_choice_setup_t *setup,
                                        const wb_choice_request_t *request,
                                        const wb_choice_engine_t *engine) {
    double place_ms = setup->use_pace ? FULLNESS_MS / MAX(engine->slots, 1) : 0;
    wb_choice_estimate_t estimate = {.cost_ms = fullness_ms(engine) + engine->penalty_ms,
                                     .spread_ms = spread_ms(engine, place_ms)};
    if (!request->has_prompt) {
        return estimate;
    }
    double token_ms = engine->pace / setup->tokens_per_ms;
    double step_ms = setup->step_ms * engine->pace;
    double read_ms = engine->uncached_tokens * token_ms;
    estimate.wait_ms = wait_ms(setup, engine);
    estimate.first_ms = request->wait_scale * estimate.wait_ms + read_ms + step_ms;
    estimate.pause_ms = setup->event_tokens * (step_ms + setup->chunk_tokens * token_ms);
    estimate.cost_ms += estimate.first_ms;
    if (!setup->use_pace) {
        return estimate;
    }
    double stream_ms = request->out_tokens * step_ms;
    double beside_s = MIN(stream_ms / 1000, STREAM_MOST_S) * MIN(engine->reading_share, 1);
    double own = late_chance(request->waited_ms + estimate.first_ms, request->target_ms) +
                 pause_chance(estimate.pause_ms, request->target_gap_ms, beside_s);
    /* What runs there is mostly streams with a like bound on pauses. */
    double other = pause_chance(estimate.pause_ms, request->target_gap_ms, read_ms / 1000);
    estimate.cost_ms += STREAM_SHARE * stream_ms + MISS_MS * (own + engine->running * other);
    estimate.spread_ms = spread_ms(engine, place_ms + MISS_MS * other);
    return estimate;
}
