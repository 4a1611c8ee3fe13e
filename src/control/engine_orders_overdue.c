/* Reports new estimates for overdue loads to gateways, so that they neither refuse requests that
 * wait for the model shortly before it is ready nor send a wrong Retry-After. */
#include "control/engine_orders_types.h"

#include "control/placement.h"

/* An overdue load is estimated to need another quarter of the time that it has taken so far. */
#define OVERDUE_DIVISOR 4
/* Minimum interval between two estimates, and minimum delay of the first for a pending grant. */
#define ESTIMATE_INTERVAL_MS 500

/* Reports when the model is expected, unless an estimate was sent recently. */
static void estimate_report(wb_engine_orders_t *orders, const char *model, int64_t ready_in_ms) {
    int64_t now_ms = wb_clock_ms();
    if (now_ms < orders->estimate_sent_ms + ESTIMATE_INTERVAL_MS) {
        return;
    }
    orders->estimate_sent_ms = now_ms;
    orders->owner.report_estimate(orders->engine, model, (unsigned)ready_in_ms,
                                  orders->owner.context);
}

void wb_engine_orders_report_load_overdue(wb_engine_orders_t *orders) {
    int64_t elapsed_ms = wb_clock_ms() - orders->order_sent_ms;
    estimate_report(orders, orders->order_model, elapsed_ms / OVERDUE_DIVISOR);
}

void wb_engine_orders_report_grant_overdue(wb_engine_orders_t *orders,
                                           const wb_engine_task_t *task) {
    const wb_service_t *service =
        orders->owner.service(orders->engine->state->service, orders->owner.context);
    const wb_model_spec_t *spec =
        service != NULL ? g_hash_table_lookup(service->models, task->model) : NULL;
    int64_t elapsed_ms = wb_clock_ms() - task->created_ms;
    if (spec == NULL || *task->adapter != '\0' || elapsed_ms < ESTIMATE_INTERVAL_MS) {
        return;
    }
    double load_ms = wb_placement_load_ms(spec, orders->engine->state, NULL);
    estimate_report(orders, task->model, (int64_t)load_ms + elapsed_ms / OVERDUE_DIVISOR);
}
