/* What the orders of one engine are asked: tasks, time, loads, belief. They change nothing. */
#include "control/engine_orders_types.h"
#include "control/placement.h"

gboolean wb_engine_orders_has(const wb_engine_orders_t *orders, const char *model,
                              const char *adapter) {
    return wb_engine_task_find(&orders->tasks, model, adapter) != NULL;
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

/* What the model loads among the tasks take, and how many of them read from the weight store. */
static double loads_sum(const wb_engine_orders_t *orders, unsigned *from_store) {
    const wb_service_t *service =
        orders->owner.service(orders->engine->state->service, orders->owner.context);
    double sum_ms = 0;
    *from_store = 0;
    if (service == NULL) {
        return 0;
    }
    WB_LIST_EACH(item, &orders->tasks) {
        const wb_task_t *task = WB_LIST_OF(item, wb_task_t, queued);
        const wb_model_spec_t *spec = g_hash_table_lookup(service->models, task->model);
        gboolean reads_store;
        if (spec == NULL || *task->adapter != '\0') {
            continue;
        }
        sum_ms += wb_placement_load_ms(spec, orders->engine->state, &reads_store);
        *from_store += reads_store ? 1 : 0;
    }
    return sum_ms;
}

double wb_engine_orders_busy_ms(const wb_engine_orders_t *orders) {
    unsigned from_store;
    return loads_sum(orders, &from_store);
}

unsigned wb_engine_orders_store_loads(const wb_engine_orders_t *orders) {
    unsigned from_store;
    loads_sum(orders, &from_store);
    return from_store;
}

gboolean wb_engine_orders_is_unreachable(const wb_engine_orders_t *orders) {
    return wb_clock_ms() < orders->unreachable_until_ms;
}

const wb_engine_state_t *wb_engine_orders_state(const wb_engine_orders_t *orders) {
    return orders->state != NULL ? orders->state : orders->engine->state;
}
