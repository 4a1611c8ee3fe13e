/**
 * @file controller.h
 * @brief The placement controller: while this node holds the lease, it is the only one to order
 * engines to load and unload models and adapters.
 *
 * An order carries the sequence number that it expects the engine to have, so of two orders with
 * the same number at most one is carried out. An order without a response is therefore simply sent
 * again. Calls to engines that fail are retried internally and show in the log and in metrics;
 * nothing here returns an error. Times are in ms of the monotonic clock (wb_clock_ms). Threads: the
 * loop's thread.
 */
#ifndef WICKBRIDGE_CONTROLLER_H
#define WICKBRIDGE_CONTROLLER_H

#include "wickbridge/dialect.h"
#include "wickbridge/edge.h"
#include "wickbridge/lease.h"
#include "wickbridge/message.h"

#include "wickbridge/edge_metrics.h"

typedef struct wb_controller_t wb_controller_t;

typedef struct wb_controller_events_t {
    /** @return TRUE while this node holds the lease; called right before each order is sent */
    gboolean (*may_act)(void *context);
    /** Request permission to send an order to an engine. @return 0: it may be sent now; > 0: not
     * before this many ms; -1: the grant is pending, ask again soon */
    int64_t (*authorize_order)(const char *engine, void *context);
    /** @return ms for which an engine must get no orders, as a previous lease holder may have
     * ordered it recently */
    int64_t (*blocked_ms)(const char *engine, void *context);
    /** Send an update to all gateways. */
    void (*on_update)(const wb_wire_message *update, void *context);
    /** Engine-reported state that other nodes need has changed. */
    void (*on_engine_state)(wb_engine_t *engine, void *context);
    /** A call to an engine got no response. */
    void (*on_call_failed)(wb_engine_t *engine, void *context);
    /** As wb_engine_orders_owner_t.may_be_cut_off. */
    gboolean (*may_be_cut_off)(const wb_engine_t *engine, void *context);
    void *context;
} wb_controller_events_t;

/**
 * The controller lives as long as the process; whatever is passed in must outlive it.
 * @param events copied
 */
wb_controller_t *wb_controller_create(wb_loop_t *loop, const wb_edge_settings_t *settings,
                                      const wb_dialect_t *dialect, wb_fleet_t *fleet,
                                      wb_edge_metrics_t *metrics,
                                      const wb_controller_events_t *events);
/**
 * Start to act under a lease token, or stop (token 0). A new token drops all pending orders and
 * cached engine states.
 * @param predecessor the previous lease holder; may be NULL with token 0
 */
void wb_controller_set_lease(wb_controller_t *controller, uint64_t token,
                             const wb_lease_predecessor_t *predecessor);
/** @return loads from the weight store in the current window, the maximum over all services */
unsigned wb_controller_recent_loads(const wb_controller_t *controller);
/** Replace the configuration; the controller keeps a reference. */
void wb_controller_set_catalog(wb_controller_t *controller, wb_catalog_t *catalog);
/** Handle a gateway's report of its running and waiting requests. */
void wb_controller_on_demand(wb_controller_t *controller, const wb_wire_demand *demand);
/** Handle a gateway's report of requests that wait at engines of one software version. */
void wb_controller_on_version_waits(wb_controller_t *controller, const char *node,
                                    const wb_wire_version_waits *waits);
/** An engine has restarted under its id: orders to its previous incarnation are void. */
void wb_controller_engine_restarted(wb_controller_t *controller, const char *engine_id);
/** An engine's announcement has changed or was removed. */
void wb_controller_engine_changed(wb_controller_t *controller, const char *engine_id);
/** @return the demand for a model, owned by the controller; NULL when there has been none */
const struct wb_model_use_t *wb_controller_model_use(const wb_controller_t *controller,
                                                     const char *service, const char *model);
/** Make a placement decision now rather than at the next tick. */
void wb_controller_decide(wb_controller_t *controller);

#endif
