/**
 * @file controller.h
 * @brief The placement controller: while this node holds the lease, it alone orders engines to load
 * and drop.
 *
 * An order names the engine's sequence that it expects, so of two orders given at one sequence at
 * most one is carried out: an order without an answer is simply given again. Threads: the loop's
 * thread.
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
    /** Asked right before each order is sent: may this node still act? */
    gboolean (*may_act)(void *context);
    /** An order to an engine is due: 0: it may be given; above: not before so many ms; -1: soon. */
    int64_t (*authorize_order)(const char *engine, void *context);
    /** @return ms for which an engine must be left alone, as another may have ordered it lately */
    int64_t (*blocked_ms)(const char *engine, void *context);
    /** Tell all gateways. */
    void (*on_news)(const wb_wire_message *news, void *context);
    /** An engine has told something of itself that other nodes should know. */
    void (*on_heard)(wb_engine_t *engine, void *context);
    void *context;
} wb_controller_events_t;

wb_controller_t *wb_controller_create(wb_loop_t *loop, const wb_edge_settings_t *settings,
                                      const wb_dialect_t *dialect, wb_fleet_t *fleet,
                                      wb_edge_metrics_t *metrics,
                                      const wb_controller_events_t *events);
/**
 * Begin to act under a token, or stop acting (token 0).
 * @param predecessor the holder before; may be NULL with token 0
 */
void wb_controller_set_lease(wb_controller_t *controller, uint64_t token,
                             const wb_lease_predecessor_t *predecessor);
/** @return loads from the weight store in the present window, the most of all services */
unsigned wb_controller_recent_loads(const wb_controller_t *controller);
void wb_controller_set_catalog(wb_controller_t *controller, wb_catalog_t *catalog);
/** A gateway told what it has running and waiting. */
void wb_controller_on_demand(wb_controller_t *controller, const wb_wire_demand *demand);
/** An engine has started again under its id: what it was ordered before is over. */
void wb_controller_engine_restarted(wb_controller_t *controller, const char *engine_id);
/** An engine announced itself anew, or is gone. */
void wb_controller_engine_changed(wb_controller_t *controller, const char *engine_id);
/** What is known of a model's use, or NULL when it isn't asked for; owned by the controller. */
const struct wb_model_use_t *wb_controller_model_use(const wb_controller_t *controller,
                                               const char *service, const char *model);
/** Decide now, rather than at the next tick. */
void wb_controller_decide(wb_controller_t *controller);

#endif
