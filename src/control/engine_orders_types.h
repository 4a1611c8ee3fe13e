/**
 * @file engine_orders_types.h
 * @brief Internals of one engine's orders, shared by the engine_orders*.c files only.
 *
 * Times are in ms of the monotonic clock. Threads: the loop's thread.
 */
#ifndef WICKBRIDGE_ENGINE_ORDERS_TYPES_H
#define WICKBRIDGE_ENGINE_ORDERS_TYPES_H

#include "control/engine_orders.h"
#include "control/engine_task.h"

#include "wickbridge/http_pool.h"

/* Effect of an accepted order that must still show in a report. */
typedef enum wb_awaited_t { WB_AWAIT_NONE, WB_AWAIT_LOADED, WB_AWAIT_UNLOADED } wb_awaited_t;

struct wb_engine_orders_t {
    wb_loop_t *loop;
    const wb_edge_settings_t *settings;
    const wb_dialect_t *dialect;
    wb_engine_t *engine;
    wb_edge_metrics_t *metrics;
    wb_engine_orders_owner_t owner;
    wb_http_pool_t *peer;
    wb_list_t tasks;          /* of wb_engine_task_t; the first is under way */
    wb_engine_state_t *state; /* as last read, updated with orders; NULL: must be read */
    gboolean calling;         /* a report or order is under way */
    int64_t call_sent_ms;     /* of the report or order under way, or the last one */
    wb_timer_t *timer;
    /* The order under way, or the last one. */
    wb_order_t order;
    char *order_model;
    char *order_adapter;
    gboolean order_from_store;
    unsigned order_concurrent_loads; /* loads from the weight store when it started */
    int64_t order_sent_ms;
    int64_t order_load_ms; /* nominal time of the load */
    unsigned resends;      /* of the order, after calls with unknown outcome */
    unsigned failures;     /* failed calls in a row */
    int64_t unreachable_until_ms;
    wb_awaited_t awaited;
    int64_t load_due_ms;      /* when the load should be complete */
    int64_t estimate_sent_ms; /* of the last estimate for an overdue load; 0: none was sent */
};

/* engine_orders_overdue.c */
/** The load under way takes longer than estimated: report a new estimate. */
void wb_engine_orders_report_load_overdue(wb_engine_orders_t *orders);
/** The grant for an order, which takes one or two writes of the lease row, is late, as when the
 * store is slow: report a new estimate for the task's model. */
void wb_engine_orders_report_grant_overdue(wb_engine_orders_t *orders,
                                           const wb_engine_task_t *task);

#endif
