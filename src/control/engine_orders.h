/**
 * @file engine_orders.h
 * @brief Carries out tasks on one engine: drops what must go, loads what is wanted, and checks what
 * came of it.
 *
 * One order at a time. The engine's state is read once and then kept by the orders that it took;
 * whatever doesn't match it makes it be read again. Threads: the loop's thread.
 */
#ifndef WICKBRIDGE_ENGINE_ORDERS_H
#define WICKBRIDGE_ENGINE_ORDERS_H

#include "wickbridge/dialect.h"
#include "wickbridge/edge.h"

#include "wickbridge/edge_metrics.h"

typedef struct wb_engine_orders_t wb_engine_orders_t;

/** What an engine's orders need of the controller. */
typedef struct wb_engine_orders_owner_t {
    gboolean (*may_act)(void *context);
    /** An order to an engine is due: 0: it may be given; above: not before so many ms; -1: soon. */
    int64_t (*authorize_order)(const char *engine, void *context);
    /** @return models to drop so that `model` fits, or NULL when it can't be made to fit */
    GPtrArray *(*pick_victims)(const wb_engine_state_t *state, const char *model, void *context);
    /** @return an adapter of a model to drop, as MODEL/ADAPTER, owned by the caller, or NULL */
    char *(*pick_adapter_victim)(const wb_engine_state_t *state, void *context);
    const wb_service_t *(*service)(const char *name, void *context);
    gboolean (*store_has_room)(const char *service, void *context);
    /** @return loads from the weight store under way over all engines, with this one */
    unsigned (*store_load_begins)(const char *service, void *context);
    /** A load from the weight store is done. @param at_once as told when it began */
    void (*store_load_ended)(const char *service, unsigned at_once, int64_t took_ms,
                             int64_t nominal_ms, void *context);
    /** The engine ended while it loaded a model. */
    void (*load_crashed)(const wb_engine_t *engine, const char *model, void *context);
    void (*announce)(wb_engine_t *engine, const char *model, const char *adapter, gboolean held,
                     void *context);
    /** A model that is being loaded should be there in so many ms. */
    void (*expect)(const wb_engine_t *engine, const char *model, unsigned ready_in_ms,
                   void *context);
    uint64_t (*token)(void *context);
    /** The engine has told something of itself that other nodes should know. */
    void (*heard)(wb_engine_t *engine, void *context);
    void *context;
} wb_engine_orders_owner_t;

wb_engine_orders_t *wb_engine_orders_create(wb_loop_t *loop, const wb_edge_settings_t *settings,
                                            const wb_dialect_t *dialect, wb_engine_t *engine,
                                            wb_edge_metrics_t *metrics,
                                            const wb_engine_orders_owner_t *owner);
void wb_engine_orders_free(wb_engine_orders_t *orders);

/** Ask for a model (adapter "") or an adapter of one that is there. Nothing happens when it is
 * asked for already. */
void wb_engine_orders_add(wb_engine_orders_t *orders, const char *model, const char *adapter);
gboolean wb_engine_orders_has(const wb_engine_orders_t *orders, const char *model,
                              const char *adapter);
/** Call for each task. */
void wb_engine_orders_each(const wb_engine_orders_t *orders,
                           void (*visit)(const char *model, const char *adapter, void *context),
                           void *context);
/** @return TRUE while there are tasks */
gboolean wb_engine_orders_is_busy(const wb_engine_orders_t *orders);
/** @return estimated ms until all tasks are done */
double wb_engine_orders_busy_ms(const wb_engine_orders_t *orders);
/** @return tasks whose model must come from the weight store, the one under way too */
unsigned wb_engine_orders_store_loads(const wb_engine_orders_t *orders);
/** @return TRUE when calls to the engine fail */
gboolean wb_engine_orders_is_unreachable(const wb_engine_orders_t *orders);
/** @return what the engine is believed to hold */
const wb_engine_state_t *wb_engine_orders_state(const wb_engine_orders_t *orders);
/** The engine has ended, and may have started again: nothing that was believed of it holds. If it
 * was loading a model, that load may have crashed it. */
void wb_engine_orders_ended(wb_engine_orders_t *orders);
/** The engine announced itself anew. */
void wb_engine_orders_announced(wb_engine_orders_t *orders);

#endif
