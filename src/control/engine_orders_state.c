/* What the orders of one engine are asked: tasks, time, loads, belief. They change nothing. */
#include "control/engine_orders_types.h"
#include "control/placement.h"

gboolean wb_engine_orders_has(const wb_engine_orders_t *orders, const char *model,
                              const char *adapter) {
    return wb_task_find(&orders->tasks, model, adapter) != NULL;
}

void wb_engine_orders_each(const wb_engine_orders_t *orders,
                           void (*visit)(const char *model, const char *adapter, void *context),
                           void *context) {
    WB_LIST_EACH(item, &orders->tasks) {
        const wb_task_t *task = WB_LIST_OF(item, wb_task_t, queued);
        visit(task->model, task->adapter, context);
    }
}

gboolean wb_engine_orders_is_busy(const wb_engine_orders_t *orders) {
    return orders->tasks.len > 0;
}

double wb_engine_orders_busy_ms(const wb_engine_orders_t *orders) {
    const wb_service_t *service =
        orders->owner.service(orders->engine->state->service, orders->owner.context);
    double busy_ms = 0;
    if (service == NULL) {
        return 0;
    }
    WB_LIST_EACH(item, &orders->tasks) {
        const wb_task_t *task = WB_LIST_OF(item, wb_task_t, queued);
        const wb_model_spec_t *spec = g_hash_table_lookup(service->models, task->model);
        if (spec != NULL && *task->adapter == '\0')
            busy_ms += wb_placement_load_ms(spec, orders->engine->state, NULL);
    }
    return busy_ms;
}

unsigned wb_engine_orders_store_loads(const wb_engine_orders_t *orders) {
    const wb_service_t *service =
        orders->owner.service(orders->engine->state->service, orders->owner.context);
    unsigned loads = 0;
    WB_LIST_EACH(item, &orders->tasks) {
        const wb_task_t *task = WB_LIST_OF(item, wb_task_t, queued);
        const wb_model_spec_t *spec =
            service != NULL ? g_hash_table_lookup(service->models, task->model) : NULL;
        gboolean from_store = FALSE;
        if (spec != NULL && *task->adapter == '\0')
            wb_placement_load_ms(spec, orders->engine->state, &from_store);
        loads += from_store ? 1 : 0;
    }
    return loads;
}

gboolean wb_engine_orders_is_unreachable(const wb_engine_orders_t *orders) {
    return wb_clock_ms() < orders->unreachable_until_ms;
}

const wb_engine_state_t *wb_engine_orders_state(const wb_engine_orders_t *orders) {
    return orders->state != NULL ? orders->state : orders->engine->state;
}
