/**
 * @file controller_types.h
 * @brief The placement controller's internals, shared by the controller*.c files only.
 *
 * Times are in ms of the monotonic clock unless they end in `_us`. Threads: the loop's thread.
 */
#ifndef WICKBRIDGE_CONTROLLER_TYPES_H
#define WICKBRIDGE_CONTROLLER_TYPES_H

#include "control/controller.h"

#include "control/demand_stats.h"
#include "control/engine_orders.h"
#include "control/load_faults.h"
#include "control/load_concurrency.h"
#include "control/load_window.h"
#include "control/placement.h"
#include "control/store_fairness.h"
#include "control/version_demand.h"

struct wb_controller_t {
    wb_loop_t *loop;
    const wb_edge_settings_t *settings;
    const wb_dialect_t *dialect;
    wb_fleet_t *fleet;
    wb_edge_metrics_t *metrics;
    wb_controller_events_t events;
    wb_catalog_t *catalog;
    uint64_t token; /* 0: this node doesn't hold the lease */
    wb_demand_stats_t *stats;
    wb_version_demand_t *version_demand;
    GHashTable *orders;             /* engine id -> wb_engine_orders_t */
    GHashTable *windows;            /* service -> wb_load_window_t */
    GHashTable *concurrency_limits; /* service -> wb_load_concurrency_t */
    GHashTable *fairness;           /* service -> wb_store_fairness_t */
    wb_load_faults_t *faults;
    int64_t scale_out_ms;     /* when replicas were last considered for busy models */
    int64_t deadline_us;      /* the current decision starts no further placement after this */
    int64_t next_decision_us; /* neither messages nor the tick trigger a decision before this */
};

/* controller.c */
/** @return a service of the current configuration, or NULL. @param context the controller */
const wb_service_t *wb_controller_service(const char *name, void *context);
/** @return a service's rate limit of loads; created when there is none */
wb_load_window_t *wb_controller_window(wb_controller_t *controller, const char *service);
/** @return loads from the weight store that may start now, by its rate limit and by its limit of
 * concurrent loads */
unsigned wb_controller_store_room(wb_controller_t *controller, const char *service);
/** @return a service's alternation between missing models and replicas; created when there is none
 */
wb_store_fairness_t *wb_controller_fairness(wb_controller_t *controller, const char *service);
/** @return an engine's orders; created when there are none */
wb_engine_orders_t *wb_controller_orders(wb_controller_t *controller, wb_engine_t *engine);
/** Report to all gateways whether an engine holds a model or adapter.
 * @param ready_in_ms estimated time until it is loaded; 0: no load is under way */
void wb_controller_send_placement(wb_controller_t *controller, const wb_engine_t *engine,
                                  const char *model, const char *adapter, gboolean held,
                                  unsigned ready_in_ms);

/** @return loads from the weight store under way or ordered, over all engines of a service */
unsigned wb_controller_store_loads(const wb_controller_t *controller, const char *service);
/** @return concurrent loads that the weight store is found to serve at full speed */
unsigned wb_controller_store_limit(wb_controller_t *controller, const char *service);

/** @return TRUE when the current decision has used up its time; the rest is left to the next one */
gboolean wb_controller_deadline_passed(const wb_controller_t *controller);

/* controller_snapshot.c */
/** Collect the input of a placement decision, to be cleared with wb_controller_snapshot_clear.
 * Counts each model's replicas in the demand stats. */
void wb_controller_snapshot(wb_controller_t *controller, const wb_service_t *service,
                            wb_placement_snapshot_t *snapshot);
/** As wb_controller_snapshot, with one engine only; replica counts are those of the last full
 * snapshot, at most 300 ms old. */
void wb_controller_snapshot_one(wb_controller_t *controller, const wb_service_t *service,
                                wb_engine_t *engine, wb_placement_snapshot_t *snapshot);
/** @return TRUE when the fleet is too large to count all replicas for each order */
gboolean wb_controller_is_large(const wb_controller_t *controller);
void wb_controller_snapshot_clear(wb_placement_snapshot_t *snapshot);

/* controller_missing.c */
/** Place models that no engine holds or loads and for which requests wait or were recently refused.
 * Gateways get a load estimate for those that must wait for the weight store. */
void wb_controller_place_missing(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                                 int64_t now_ms);

/* controller_models.c */
/** Load a model on the cheapest engine.
 * @param limit_ms maximum cost to other requests
 * @param why      reason for the event log
 * @return FALSE when no engine will do within the limit */
gboolean wb_controller_place_model(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                                   const wb_model_spec_t *spec, double limit_ms, const char *why);
/** Add a replica to models whose engines have too little prefill capacity, too few slots or a low
 * speed, where that saves their requests more than it costs others. */
void wb_controller_scale_out(wb_controller_t *controller, wb_placement_snapshot_t *snapshot);
/** @return models to evict from an engine so that `model` fits, owned by the caller, or NULL.
 * @param context the controller */
GPtrArray *wb_controller_pick_victims(const wb_engine_state_t *state, const char *model,
                                      void *context);

/* controller_versions.c */
/** Load models and adapters at engines of the software versions where requests wait for them. */
void wb_controller_place_versions(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                                  int64_t now_ms);

/* controller_adapters.c */
/** Load an adapter that requests wait for, unless that has been ordered. */
void wb_controller_place_adapter(wb_controller_t *controller,
                                 const wb_placement_snapshot_t *snapshot,
                                 const wb_wire_demand_entry *entry);
/** Load adapters that requests wait for on engines that hold their models. */
void wb_controller_place_adapters(wb_controller_t *controller,
                                  const wb_placement_snapshot_t *snapshot);
/** @return an adapter to evict, as MODEL/ADAPTER, owned by the caller, or NULL. @param context the
 * controller */
char *wb_controller_pick_adapter_victim(const wb_engine_state_t *state, void *context);

#endif
