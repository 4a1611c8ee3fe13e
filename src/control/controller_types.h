/**
 * @file controller_types.h
 * @brief The placement controller as its own files share it.
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

struct wb_controller_t {
    wb_loop_t *loop;
    const wb_edge_settings_t *settings;
    const wb_dialect_t *dialect;
    wb_fleet_t *fleet;
    wb_edge_metrics_t *metrics;
    wb_controller_events_t events;
    wb_catalog_t *catalog;
    uint64_t token; /* 0: not acting */
    wb_demand_stats_t *book;
    GHashTable *orders;  /* engine id -> wb_engine_orders_t */
    GHashTable *windows; /* service -> wb_load_window_t */
    GHashTable *paces;   /* service -> wb_load_concurrency_t */
    GHashTable *turns;   /* service -> wb_store_fairness_t */
    wb_load_faults_t *faults;
    int64_t spread_ms;
    int64_t until_us; /* the decision under way begins no further choice after this */
    int64_t next_us;  /* not before this is a decision made for a message */
};

/* controller.c */
/** @return a service of the configuration in force, or NULL. @param context the controller */
const wb_service_t *wb_controller_service(const char *name, void *context);
wb_load_window_t *wb_controller_window(wb_controller_t *controller, const char *service);
/** @return loads from the weight store that may begin now, by its rate and by what it is found to
 * deliver at once */
unsigned wb_controller_store_room(wb_controller_t *controller, const char *service);
/** @return whose turn at the weight store it is; created when there is none */
wb_store_fairness_t *wb_controller_turns(wb_controller_t *controller, const char *service);
/** @return an engine's orders; they are created when there are none */
wb_engine_orders_t *wb_controller_orders(wb_controller_t *controller, wb_engine_t *engine);
/** Tell all gateways of a model or adapter. @param ready_in_ms when it should be there; 0: no load
 */
void wb_controller_tell(wb_controller_t *controller, const wb_engine_t *engine, const char *model,
                        const char *adapter, gboolean held, unsigned ready_in_ms);

/** @return loads from the weight store under way or ordered, over all engines of a service */
unsigned wb_controller_store_loads(const wb_controller_t *controller, const char *service);
/** @return loads that the weight store is found to serve at once at full speed */
unsigned wb_controller_store_limit(wb_controller_t *controller, const char *service);

/** @return TRUE when the decision under way has taken its time: the rest waits for the next */
gboolean wb_controller_time_is_over(const wb_controller_t *controller);

/* controller_snapshot.c */
/** What decisions are made on; to be cleared. Counts each model's replicas in the demand book. */
void wb_controller_snapshot(wb_controller_t *controller, const wb_service_t *service,
                            wb_placement_snapshot_t *snapshot);
/** For a choice at one engine: replicas are those of the last count, which is 300 ms old at most.
 */
void wb_controller_snapshot_one(wb_controller_t *controller, const wb_service_t *service,
                                wb_engine_t *engine, wb_placement_snapshot_t *snapshot);
/** @return TRUE where counting replicas at all engines for each order would take too long */
gboolean wb_controller_is_large(const wb_controller_t *controller);
void wb_controller_snapshot_clear(wb_placement_snapshot_t *snapshot);

/* controller_missing.c */
/** Place models that no engine holds or loads: those that are waited for, or for which requests
 * were lately refused. Tell gateways when those should be there that must wait for the weight
 * store. */
void wb_controller_place_missing(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                                 int64_t now_ms);

/* controller_models.c */
/** Load a model where that costs least. @return FALSE when no engine does it for less than the
 * limit */
gboolean wb_controller_place_model(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                                   const wb_model_spec_t *spec, double limit_ms, const char *why);
/** Place models whose prompts, or places among what runs, take more than their engines should
 * give to one. */
void wb_controller_spread(wb_controller_t *controller, wb_placement_snapshot_t *snapshot);
/** @return models to drop from an engine so that `model` fits, or NULL. @param context the
 * controller */
GPtrArray *wb_controller_pick_victims(const wb_engine_state_t *state, const char *model,
                                      void *context);

/* controller_adapters.c */
/** Place adapters that are waited for on engines that hold their models. */
void wb_controller_place_adapters(wb_controller_t *controller,
                                  const wb_placement_snapshot_t *snapshot);
/** @return an adapter to drop, as MODEL/ADAPTER, owned by the caller, or NULL. @param context the
 * controller */
char *wb_controller_pick_adapter_victim(const wb_engine_state_t *state, void *context);

#endif
