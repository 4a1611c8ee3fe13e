/* Creates and frees one engine's orders. */
#include "control/engine_orders_types.h"

wb_engine_orders_t *wb_engine_orders_create(wb_loop_t *loop, const wb_edge_settings_t *settings,
                                            const wb_dialect_t *dialect, wb_engine_t *engine,
                                            wb_edge_metrics_t *metrics,
                                            const wb_engine_orders_owner_t *owner) {
    wb_engine_orders_t *orders = g_new0(wb_engine_orders_t, 1);
    orders->loop = loop;
    orders->settings = settings;
    orders->dialect = dialect;
    orders->engine = wb_engine_ref(engine);
    orders->metrics = metrics;
    orders->owner = *owner;
    wb_tcp_connect_options_t options = {settings->connect_timeout_ms, settings->silence_limit_ms,
                                        settings->bind_host};
    orders->peer = wb_http_pool_create(loop, engine->state->address, &options);
    wb_list_init(&orders->tasks);
    return orders;
}

void wb_engine_orders_free(wb_engine_orders_t *orders) {
    if (orders->timer != NULL)
        wb_timer_cancel(orders->timer);
    wb_http_pool_free(orders->peer);
    while (orders->tasks.len > 0) {
        wb_engine_task_free(wb_engine_task_pop(&orders->tasks));
    }
    wb_engine_state_free(orders->state);
    wb_engine_unref(orders->engine);
    g_free(orders->order_model);
    g_free(orders->order_adapter);
    g_free(orders);
}
