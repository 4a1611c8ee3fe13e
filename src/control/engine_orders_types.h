/**
 * @file engine_orders_types.h
 * @brief One engine's orders as their own files share them.
 */
#ifndef WICKBRIDGE_ENGINE_ORDERS_TYPES_H
#define WICKBRIDGE_ENGINE_ORDERS_TYPES_H

#include "control/engine_orders.h"
#include "control/engine_task.h"

#include "wickbridge/http_pool.h"

/* What the engine is waited for. */
typedef enum wb_settle_t { WB_SETTLE_NONE, WB_SETTLE_LOADED, WB_SETTLE_UNLOADED } wb_settle_t;

struct wb_engine_orders_t {
    wb_loop_t *loop;
    const wb_edge_settings_t *settings;
    const wb_dialect_t *dialect;
    wb_engine_t *engine;
    wb_edge_metrics_t *metrics;
    wb_engine_orders_owner_t owner;
    wb_http_pool_t *peer;
    wb_list_t tasks;          /* of wb_task_t; the first is under way */
    wb_engine_state_t *state; /* as believed; NULL until it was read */
    gboolean calling;
    int64_t call_sent_ms; /* of the report or order under way, or the last one */
    wb_timer_t *timer;
    /* The order under way, or the last one. */
    wb_order_t order;
    char *order_model;
    char *order_adapter;
    gboolean order_from_store;
    unsigned order_at_once; /* loads from the weight store when it began */
    int64_t order_sent_ms;
    int64_t order_load_ms; /* what the load takes alone */
    unsigned resends;
    unsigned failures;
    int64_t unreachable_until_ms;
    wb_settle_t settle;
    int64_t settle_due_ms;
    int64_t late_told_ms; /* when gateways were last told that the load is late; 0: never */
};

/* engine_orders_overdue.c */
/** The load under way goes on beyond its time. */
void wb_engine_orders_load_is_late(wb_engine_orders_t *orders);
/** The leave to order takes longer than a decision should: beside a slow store it is one write of
 * the lease's row, or two. */
void wb_engine_orders_leave_is_late(wb_engine_orders_t *orders, const wb_task_t *task);

#endif
