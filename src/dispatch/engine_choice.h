/**
 * @file engine_choice.h
 * @brief Which engine a request is sent to: predicted times of each, and the least of them.
 *
 * Engines read prompts in pieces between the tokens of the streams that run there. So an engine
 * that is behind with reading answers late, and makes streams pause: an event of five tokens spans
 * five steps, and each of them may read a piece. The cost of an engine is the time that the request
 * takes there, the time that others lose by it, and what is lost when a target is missed.
 *
 * Loads that it answers, each with a case in its test:
 * - engines of two speeds: streams go to the fast ones while these are not behind with reading;
 * - long prompts beside streams: they go where few streams run, or where they are read fast;
 * - an engine slowed for a moment is passed over while its figure is fresh;
 * - one engine full: more than its places cost as long as the ones before take.
 *
 * Pure: neither connections nor the node. What it doesn't do: find out which engines may be used.
 */
#ifndef WICKBRIDGE_ENGINE_CHOICE_H
#define WICKBRIDGE_ENGINE_CHOICE_H

#include <glib.h>

/** Share of the prompt tokens sent to an engine that it reads anew, though the sender doesn't know
 * that it keeps some: 0.56 of all tokens measured on three deployments, and some margin. */
#define WB_UNCACHED_SHARE 0.66

/** What is known of engines of a service, at a usual engine's pace. */
typedef struct wb_choice_setup_t {
    double tokens_per_ms; /**< prompt tokens read in a ms */
    double step_ms;       /**< a step in which each stream gets a token */
    double chunk_tokens;  /**< prompt tokens that one step reads at most */
    double event_tokens;  /**< tokens of an event of a stream */
    gboolean use_pace;     /**< engines' paces and streams count; else all engines are alike */
} wb_choice_setup_t;

/** What is to be sent. */
typedef struct wb_choice_request_t {
    gboolean has_prompt;  /**< it is a model's; else a short request that only needs a place */
    double out_tokens;    /**< tokens that its answer is expected to have */
    double target_ms;     /**< from its arrival to its first event; 0: none */
    double target_gap_ms; /**< longest pause between two events; 0: none */
    double waited_ms;     /**< since its arrival */
    double wait_scale;    /**< by which waits of its kind differ from the backlog (wait_scale.h) */
} wb_choice_request_t;

/** An engine that may be sent to. */
typedef struct wb_choice_engine_t {
    double pace;           /**< times as long as usual that work takes there now */
    double slots;          /**< requests that run at once */
    double running;        /**< requests running and waiting there, as this gateway knows: what all
                              of them are told is the same and half a second old, and by it they would
                              all go to one engine until they are told anew */
    double uncached_tokens;  /**< of this prompt, that the engine doesn't keep */
    double backlog_tokens; /**< prompt tokens sent there and not known to be read */
    double backlog_ms;     /**< time that it takes to read what all nodes have sent there */
    double reading_share;  /**< share of its time that it reads prompts, of what all nodes send */
    double penalty_ms;     /**< failures, other zones, leaving: what the caller knows beside load */
} wb_choice_engine_t;

/** What is predicted for a request at an engine. */
typedef struct wb_choice_estimate_t {
    double wait_ms;   /**< until its prompt is read, before it is scaled */
    double first_ms;  /**< from the sending to the first event */
    double pause_ms;  /**< the longest pause, if prompts are read all the time */
    double cost_ms;   /**< what is compared */
    double spread_ms; /**< costs that differ by less aren't known to: requests come and go */
} wb_choice_estimate_t;

/** Predict a request's times at an engine, and what sending it there costs. */
wb_choice_estimate_t wb_choice_estimate(const wb_choice_setup_t *setup,
                                        const wb_choice_request_t *request,
                                        const wb_choice_engine_t *engine);

#endif
