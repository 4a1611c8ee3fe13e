/**
 * @file placement.h
 * @brief Where a model is loaded, and what makes room for it: pure functions on a snapshot.
 *
 * No clock, no socket, no lock: the same code runs in a node, in tests and under a fuzzer. Costs
 * are estimated times in ms that requests lose.
 */
#ifndef WICKBRIDGE_PLACEMENT_H
#define WICKBRIDGE_PLACEMENT_H

#include "wickbridge/catalog.h"
#include "wickbridge/fleet.h"

/** A model that is waited for though an engine should hold it gets another engine after this time.
 */
#define WB_PLACEMENT_STUCK_MS 600

/** How much a model is asked for, over all nodes. */
typedef struct wb_model_use_t {
    unsigned waiting;          /**< requests that wait for it to be loaded */
    unsigned running;          /**< requests under way */
    double rate_per_s;         /**< arrivals, decayed */
    double work_per_s;         /**< prompt tokens of arrivals, decayed */
    double recent_rate_per_s;  /**< arrivals of the last moments */
    double recent_work_per_s;  /**< prompt tokens of the last moments' arrivals */
    double adapter_rate_per_s; /**< those arrivals that name an adapter, decayed */
    unsigned replicas;         /**< engines that hold it and stay */
    unsigned unreliable;       /**< engines that hold it and don't count: their zones are being
                                  evacuated, or they take less than they are asked for */
    unsigned in_loading;       /**< engines that are about to load it */
    double speed;         /**< of the engines that hold it, together; 0: one for each replica */
    double loading_speed; /**< of those that are about to load it; 0: one for each */
} wb_model_use_t;

/** An engine as the controller believes it to be. */
typedef struct wb_placement_engine_t {
    wb_engine_t *engine;
    const wb_engine_state_t *state; /**< its last report, or its announcement */
    double busy_ms;                 /**< time until it can take an order */
    double pending_mb;              /**< weights ordered there that it doesn't hold yet */
    gboolean available;             /**< it stays, and answers */
    gboolean in_need;               /**< it wants fewer requests: no more models go there */
    double speed;                   /**< beside a usual engine's; 0: as a usual one */
} wb_placement_engine_t;

/** What one engine does. */
typedef struct wb_engine_capacity_t {
    double tokens_per_ms; /**< prompt tokens that it reads in a millisecond */
    unsigned slots;       /**< requests that it runs at once; 0: not known */
} wb_engine_capacity_t;

/** A choice of a place judges so many engines at most, from a random one on. Judging one takes 2
 * us, so among 10,000 a choice would take 20 ms, and 600 models wait at a start. The best of 512 is
 * among the best 0.6 in 100 of all in 19 of 20 choices. Fleets of up to so many are judged whole.
 */
#define WB_PLACEMENT_MAX_CANDIDATES 512

/** Says whether an engine is about to load a model. */
typedef gboolean (*wb_placement_is_loading_fn)(const wb_engine_t *engine, const char *model,
                                            void *context);

typedef struct wb_placement_snapshot_t {
    const wb_service_t *service;
    GArray *engines;                    /**< of wb_placement_engine_t */
    guint first;                        /**< engine that a choice among them begins at */
    GHashTable *uses;                   /**< model -> wb_model_use_t */
    wb_engine_capacity_t power;            /**< what an engine does */
    double replica_rate_per_s;            /**< requests for a replica, on average over all */
    unsigned store_loads_allowed;                /**< loads from the weight store that may begin now */
    wb_placement_is_loading_fn is_loading; /**< NULL: none loads anything */
    void *context;                      /**< of is_loading */
} wb_placement_snapshot_t;

/** @return MB that an engine's models and adapters take */
double wb_placement_used_mb(const wb_service_t *service, const wb_engine_state_t *state);

/** @return TRUE when one more adapter of a model has room and a place; those on their way count */
gboolean wb_placement_adapter_fits(const wb_service_t *service, const wb_engine_state_t *state,
                                   const wb_model_spec_t *spec);

/** Time to load a model on an engine, by where its weights are. @param from_store out, may be NULL
 */
double wb_placement_load_ms(const wb_model_spec_t *model, const wb_engine_state_t *state,
                            gboolean *from_store);

/**
 * Find what costs least to drop on an engine so that a model fits.
 * @param cost_ms out: what dropping costs; 0 when it fits as it is
 * @return names of models to drop, owned by the caller, empty when it fits; NULL when it can't be
 * made to fit
 */
GPtrArray *wb_placement_victims(const wb_placement_snapshot_t *snapshot,
                                const wb_engine_state_t *state, const wb_model_spec_t *model,
                                double *cost_ms);

/**
 * Choose an engine to load a model on, that neither holds nor loads it.
 * @param cost_ms out: the whole cost, with the load's time
 * @param victim_cost_ms out: the part of it that dropping others makes
 * @return NULL when there is none
 */
wb_placement_engine_t *wb_placement_choose(const wb_placement_snapshot_t *snapshot,
                                           const wb_model_spec_t *model, double *cost_ms,
                                           double *victim_cost_ms);

/** Engines that a model's measured work asks for, by its prompts and by what runs. */
unsigned wb_placement_wanted_replicas(const wb_model_use_t *use, const wb_engine_capacity_t *power);

/** @return speeds of the engines that hold a model or load it, together */
double wb_placement_total_speed(const wb_model_use_t *use);

/** @return speed of the service's fastest engine that can take a model */
double wb_placement_max_speed(const wb_placement_snapshot_t *snapshot);

/** @return TRUE when a model's engines are slower on average than the fastest by so much that one
 * more at a fast one may be worth its load, though they could read its prompts
 * @param fastest as wb_placement_max_speed gives it */
gboolean wb_placement_engines_are_slow(const wb_model_use_t *use, double fastest);

/**
 * What one more engine of a speed would save a model's requests, in ms, over the time that its
 * rate is believed: the waits, and the time that they run. Requests are shared among engines by
 * their speeds. The delay for reading is that of a single queue, so it grows without bound as an
 * engine's reading fills up; that for a place among those that run is Sakasegawa's approximation of
 * a queue with many servers (1977).
 */
double wb_placement_gain_ms(const wb_model_use_t *use, const wb_engine_capacity_t *power,
                            double speed);

/** As wb_placement_load_cost_ms, for a load from the weight store. */
double wb_placement_store_load_cost_ms(const wb_model_spec_t *model);

/** What a load costs all others, in ms, besides what it displaces. */
double wb_placement_load_cost_ms(const wb_model_spec_t *model, const wb_engine_state_t *state);

#endif
