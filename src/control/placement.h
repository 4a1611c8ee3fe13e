/**
 * @file placement.h
 * @brief Decides on which engine a model is loaded and which models are evicted to make room for
 * it.
 *
 * Pure functions on a snapshot of the fleet: no clock, no sockets, no locks. They don't fail; where
 * no engine or no set of victims will do they return NULL. Costs and gains are estimates of the
 * time that requests lose or save, in ms summed over requests. Speeds are relative: a baseline
 * engine has speed 1. Weights and adapters are in MB.
 */
#ifndef WICKBRIDGE_PLACEMENT_H
#define WICKBRIDGE_PLACEMENT_H

#include "wickbridge/catalog.h"
#include "wickbridge/fleet.h"

/** If requests still wait for a model after this time although an engine holds it, it is loaded on
 * one more engine. */
#define WB_PLACEMENT_STUCK_MS 600

/** Demand for a model over all nodes, and the engines that serve it. */
typedef struct wb_model_use_t {
    unsigned waiting;          /**< requests that wait until it is loaded */
    unsigned running;          /**< requests sent to engines and not finished */
    double rate_per_s;         /**< arrivals, exponentially decayed */
    double work_per_s;         /**< prompt tokens of arrivals, exponentially decayed */
    double recent_rate_per_s;  /**< as rate_per_s, with a shorter time constant */
    double recent_work_per_s;  /**< as work_per_s, with a shorter time constant */
    double adapter_rate_per_s; /**< arrivals that name an adapter, exponentially decayed */
    unsigned replicas;         /**< available engines that hold it */
    unsigned unreliable;       /**< engines that hold it but don't count as replicas: they are
                                  draining, their zone is being evacuated, or they limit their
                                  requests below the demand */
    unsigned loading_replicas; /**< engines that are loading it or have been ordered to */
    double speed;              /**< sum over the replicas; 0: each counts as 1 */
    double loading_speed;      /**< sum over the loading replicas; 0: each counts as 1 */
} wb_model_use_t;

/** An engine as the controller expects it to be. */
typedef struct wb_placement_engine_t {
    wb_engine_t *engine;
    const wb_engine_state_t *state; /**< its last report, or its announcement */
    double busy_ms;                 /**< time until it can take another order */
    double pending_mb;              /**< weights ordered there that it doesn't hold yet */
    gboolean available;             /**< it can be reached and isn't draining */
    gboolean overloaded;            /**< it limits its requests or asked for backoff: no more
                                       models are loaded there */
    double speed;                   /**< relative to a baseline engine; 0: 1 */
} wb_placement_engine_t;

/** Capacity of one engine. */
typedef struct wb_engine_capacity_t {
    double tokens_per_ms; /**< prompt tokens processed in a millisecond */
    unsigned slots;       /**< requests that it runs concurrently; 0: unknown */
} wb_engine_capacity_t;

/** Engines evaluated for one placement. In a larger fleet a placement evaluates this many from a
 * random one on, to bound the time of a decision: evaluating one takes 2 us, and 600 models may
 * wait at a start. The best of 512 is among the best 0.6 % of all engines in 19 of 20 placements.
 */
#define WB_PLACEMENT_MAX_CANDIDATES 512

/** @return TRUE when an engine is loading a model or has been ordered to */
typedef gboolean (*wb_placement_is_loading_fn)(const wb_engine_t *engine, const char *model,
                                               void *context);

/** The input of one placement decision for one service. */
typedef struct wb_placement_snapshot_t {
    const wb_service_t *service;
    GArray *engines;                       /**< of wb_placement_engine_t */
    guint first;                           /**< index of the engine that an evaluation starts at */
    GHashTable *uses;                      /**< model -> wb_model_use_t */
    wb_engine_capacity_t power;            /**< capacity of an engine of speed 1 */
    double replica_rate_per_s;             /**< requests per replica, on average over all models */
    const char *software_version;          /**< only engines of it are chosen; NULL: of any */
    unsigned store_loads_allowed;          /**< loads from the weight store that may start now */
    wb_placement_is_loading_fn is_loading; /**< NULL: no engine is loading */
    void *context;                         /**< of is_loading */
} wb_placement_snapshot_t;

/** @return MB that an engine's models and adapters take, including adapters being loaded */
double wb_placement_used_mb(const wb_service_t *service, const wb_engine_state_t *state);

/** @return TRUE when the engine has memory and a slot for one more adapter of the model; adapters
 * being loaded count as present */
gboolean wb_placement_adapter_fits(const wb_service_t *service, const wb_engine_state_t *state,
                                   const wb_model_spec_t *spec);

/**
 * Estimate the time to load a model on an engine.
 * @param from_store out: the weights come from the weight store rather than from the engine's
 * memory or disk; may be NULL
 */
double wb_placement_load_ms(const wb_model_spec_t *model, const wb_engine_state_t *state,
                            gboolean *from_store);

/**
 * Find the cheapest models to evict from an engine so that a model fits.
 * @param cost_ms out: cost of the evictions; 0 when it fits already
 * @return names of models to evict, owned by the caller, empty when it fits already; NULL when it
 * can't be made to fit
 */
GPtrArray *wb_placement_victims(const wb_placement_snapshot_t *snapshot,
                                const wb_engine_state_t *state, const wb_model_spec_t *model,
                                double *cost_ms);

/** @return FALSE when the engine is of another software version than the snapshot asks for */
gboolean wb_placement_allows(const wb_placement_snapshot_t *snapshot,
                             const wb_placement_engine_t *candidate);

/**
 * Choose the cheapest engine to load a model on, among those that neither hold nor load it.
 * @param cost_ms out: total cost, including the load's time
 * @param victim_cost_ms out: the part of it that evictions cause
 * @return owned by the snapshot; NULL when no engine will do
 */
wb_placement_engine_t *wb_placement_choose(const wb_placement_snapshot_t *snapshot,
                                           const wb_model_spec_t *model, double *cost_ms,
                                           double *victim_cost_ms);

/** @return baseline engines that a model's prompt tokens and running requests call for */
unsigned wb_placement_wanted_replicas(const wb_model_use_t *use, const wb_engine_capacity_t *power);

/** @return total speed of the engines that hold or load a model */
double wb_placement_total_speed(const wb_model_use_t *use);

/** @return speed of the service's fastest available engine */
double wb_placement_max_speed(const wb_placement_snapshot_t *snapshot);

/**
 * Check whether a model's engines are so much slower on average than the fastest that one more,
 * fast engine may be worth its load even if their capacity suffices.
 * @param fastest as returned by wb_placement_max_speed
 */
gboolean wb_placement_engines_are_slow(const wb_model_use_t *use, double fastest);

/**
 * Estimate what one more engine of the given speed would save a model's requests, in waiting and in
 * running time, over the period for which the present rate is extrapolated. Requests are assumed to
 * be shared among engines in proportion to speed. The prefill delay is that of a single-server
 * queue, which grows without bound as utilization approaches 1; the delay for a slot is
 * Sakasegawa's approximation for a multi-server queue (1977).
 */
double wb_placement_gain_ms(const wb_model_use_t *use, const wb_engine_capacity_t *power,
                            double speed);

/** As wb_placement_load_cost_ms, for a load from the weight store. */
double wb_placement_store_load_cost_ms(const wb_model_spec_t *model);

/** @return cost of a load to other requests, without that of evictions */
double wb_placement_load_cost_ms(const wb_model_spec_t *model, const wb_engine_state_t *state);

#endif
