/**
 * @file engine_choice.h
 * @brief Predicts a request's latency at an engine, and the cost of sending it there. The balancer
 * chooses the engine with the lowest cost.
 *
 * Engines prefill prompts in chunks between the decoding steps of running streams. An engine with a
 * prefill backlog therefore responds late and widens the gaps between events of its streams: an
 * event of five tokens spans five steps, and each step may include a chunk. The cost of an engine
 * is the time that the request takes there, the time that other requests lose by it, and a penalty
 * for the probability that a latency target is missed.
 *
 * Effects (each has a case in the unit test):
 * - with engines of two speeds, streams go to the fast ones unless these have a prefill backlog;
 * - long prompts go to engines with few streams, or to engines that prefill fast;
 * - an engine that is temporarily slowed is avoided while its measurement is recent;
 * - requests beyond an engine's slots are charged the expected wait for a free slot.
 *
 * Times are in milliseconds unless a name says otherwise, and prompt sizes in tokens. Pure
 * functions without errors. The caller selects the eligible engines.
 */
#ifndef WICKBRIDGE_ENGINE_CHOICE_H
#define WICKBRIDGE_ENGINE_CHOICE_H

#include <glib.h>

/** Expected share of the prompt tokens sent to an engine that aren't in its prefix cache, where the
 * sender doesn't know what the engine has cached: 0.56 of all tokens on three deployments, and a
 * margin. */
#define WB_UNCACHED_SHARE 0.66

/** Properties of a service's engines at baseline pace. */
typedef struct wb_choice_setup_t {
    double tokens_per_ms; /**< prefill speed */
    double step_ms;       /**< duration of a decoding step, in which each stream gets a token */
    double chunk_tokens;  /**< max prompt tokens that one step prefills */
    double event_tokens;  /**< tokens of one event of a stream */
    gboolean use_pace;    /**< consider engine paces and streams; FALSE: all engines count alike */
} wb_choice_setup_t;

/** A request to be sent. */
typedef struct wb_choice_request_t {
    gboolean has_prompt;  /**< FALSE: a short request that only needs a slot */
    double out_tokens;    /**< expected output tokens */
    double target_ms;     /**< target for the time from arrival to first event; 0: none */
    double target_gap_ms; /**< target for the longest gap between two events; 0: none */
    double waited_ms;     /**< time since arrival */
    double wait_scale;    /**< correction factor for predicted waits (wait_scale.h) */
} wb_choice_request_t;

/** An eligible engine. */
typedef struct wb_choice_engine_t {
    double pace;            /**< current slowdown relative to baseline: 2 takes twice as long */
    double slots;           /**< requests that can run at once */
    double running;         /**< requests running and waiting, by this gateway's own count. Counts
                               shared between gateways are half a second old and the same for all:
                               all gateways would choose the same engine until the next update */
    double uncached_tokens; /**< tokens of this prompt that aren't in the engine's prefix cache */
    double backlog_tokens;  /**< prompt tokens sent by this node and not known to be prefilled */
    double backlog_ms;      /**< time to prefill the backlog of all nodes */
    double reading_share;   /**< share of its time spent on prefill, with the load of all nodes */
    double penalty_ms;      /**< cost of failures, another zone, draining; added to the estimate */
} wb_choice_engine_t;

/** Prediction for a request at an engine. */
typedef struct wb_choice_estimate_t {
    double wait_ms;   /**< until prefill of the prompt begins, before scaling by wait_scale */
    double first_ms;  /**< from sending to first event */
    double pause_ms;  /**< longest gap between events if each step includes a chunk of a prompt */
    double cost_ms;   /**< the engine with the lowest cost is chosen */
    double spread_ms; /**< uncertainty of the cost: smaller differences are noise */
} wb_choice_estimate_t;

/** Predict a request's latency at an engine and the cost of sending it there. */
wb_choice_estimate_t wb_choice_estimate(const wb_choice_setup_t *setup,
                                        const wb_choice_request_t *request,
                                        const wb_choice_engine_t *engine);

#endif
