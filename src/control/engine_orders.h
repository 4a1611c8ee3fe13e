/**
 * @file engine_orders.h
 * @brief Carries out tasks on one engine: unloads models or adapters to make room, loads the
 * requested ones, and checks the outcome.
 *
 * A task asks for a model or adapter on the engine; an order is one load or unload command that is
 * sent to it, one at a time. The engine's state is read once and then updated with each
 * accepted order; when it doesn't match the engine's response, it is read again.
 *
 * Tasks report no errors to the caller: a task that can't be done (the engine doesn't respond,
 * refuses the order, has no memory left, or takes too long) is dropped with a `task-over` event,
 * and the controller decides again. Times are in ms of the monotonic clock. Threads: the loop's
 * thread.
 */
#ifndef WICKBRIDGE_ENGINE_ORDERS_H
#define WICKBRIDGE_ENGINE_ORDERS_H

#include "wickbridge/dialect.h"
#include "wickbridge/edge.h"

#include "wickbridge/edge_metrics.h"

typedef struct wb_engine_orders_t wb_engine_orders_t;

/** Callbacks to the controller. */
typedef struct wb_engine_orders_owner_t {
    /** @return TRUE while this node holds the lease */
    gboolean (*may_act)(void *context);
    /** Request permission to send an order to an engine. @return 0: it may be sent now; > 0: not
     * before this many ms; -1: the grant is pending, ask again soon */
    int64_t (*authorize_order)(const char *engine, void *context);
    /** @return models to evict so that `model` fits, owned by the caller; NULL when it can't be
     * made to fit */
    GPtrArray *(*pick_victims)(const wb_engine_state_t *state, const char *model, void *context);
    /** @return an adapter to evict, as MODEL/ADAPTER, owned by the caller, or NULL */
    char *(*pick_adapter_victim)(const wb_engine_state_t *state, void *context);
    const wb_service_t *(*service)(const char *name, void *context);
    /** @return TRUE when the weight store's rate limit allows one more load */
    gboolean (*store_allows_load)(const char *service, void *context);
    /** A load from the weight store starts. @return loads under way over all engines, with this one
     */
    unsigned (*store_load_started)(const char *service, void *context);
    /** A load from the weight store is complete. @param concurrent as returned by
     * store_load_started */
    void (*store_load_ended)(const char *service, unsigned concurrent, int64_t took_ms,
                             int64_t nominal_ms, void *context);
    /** The engine ended while it loaded a model. */
    void (*load_crashed)(const wb_engine_t *engine, const char *model, void *context);
    /** The engine holds a model or adapter now, or is about to unload it. */
    void (*report_holding)(wb_engine_t *engine, const char *model, const char *adapter,
                           gboolean held, void *context);
    /** A model that is being loaded is estimated to be ready in this time. */
    void (*report_estimate)(const wb_engine_t *engine, const char *model, unsigned ready_in_ms,
                            void *context);
    /** @return the lease token that orders are sent with */
    uint64_t (*token)(void *context);
    /** Engine-reported state that other nodes need has changed. */
    void (*engine_state_changed)(wb_engine_t *engine, void *context);
    /** A report or an order got no response: find out who reaches the engine. */
    void (*call_failed)(wb_engine_t *engine, void *context);
    /** @return TRUE if this node may be cut off from the engine: that it refuses connections
     * doesn't show that it has ended */
    gboolean (*may_be_cut_off)(const wb_engine_t *engine, void *context);
    void *context;
} wb_engine_orders_owner_t;

/** @param owner copied; the other pointers must outlive the orders, which hold a reference to the
 * engine */
wb_engine_orders_t *wb_engine_orders_create(wb_loop_t *loop, const wb_edge_settings_t *settings,
                                            const wb_dialect_t *dialect, wb_engine_t *engine,
                                            wb_edge_metrics_t *metrics,
                                            const wb_engine_orders_owner_t *owner);
void wb_engine_orders_free(wb_engine_orders_t *orders);

/** Add a task for a model (adapter "") or for an adapter of a model that the engine holds. Does
 * nothing when there is such a task. */
void wb_engine_orders_add(wb_engine_orders_t *orders, const char *model, const char *adapter);
/** @return TRUE when there is a task for the model (adapter "") or adapter */
gboolean wb_engine_orders_has(const wb_engine_orders_t *orders, const char *model,
                              const char *adapter);
/** Call `visit` for each task. */
void wb_engine_orders_each(const wb_engine_orders_t *orders,
                           void (*visit)(const char *model, const char *adapter, void *context),
                           void *context);
/** @return TRUE while there are tasks */
gboolean wb_engine_orders_is_busy(const wb_engine_orders_t *orders);
/** @return estimated ms until all model loads are done */
double wb_engine_orders_busy_ms(const wb_engine_orders_t *orders);
/** @return tasks whose model must come from the weight store, including the one under way */
unsigned wb_engine_orders_store_loads(const wb_engine_orders_t *orders);
/** @return TRUE for some time after calls to the engine have failed repeatedly or it has ended */
gboolean wb_engine_orders_is_unreachable(const wb_engine_orders_t *orders);
/** @return the engine's state as last read and updated with orders, else as announced */
const wb_engine_state_t *wb_engine_orders_state(const wb_engine_orders_t *orders);
/** The engine has ended, and may have restarted: drop its cached state and the current task. If it
 * was loading a model, the load counts as crashed. */
void wb_engine_orders_on_engine_ended(wb_engine_orders_t *orders);
/** The engine's announcement has changed. */
void wb_engine_orders_on_engine_announced(wb_engine_orders_t *orders);

#endif
