/* Loads that come later than was told: gateways hear it, so that those who wait for the model
 * neither give up just before it is there nor are told a time that doesn't come true. */
#include "control/engine_orders_types.h"

#include "control/placement.h"

/* What is late is taken to need this share more of the time that it has had; gateways are told so
 * again at most so often. */
#define LATE_SHARE 4
#define LATE_TELL_MS 500

/* Tells when the model is expected, unless that was told lately. */
static void late_tell(wb_engine_orders_t *orders, const char *model, int64_t ready_in_ms) {
    int64_t now_ms = wb_clock_ms();
    if (now_ms < orders->late_told_ms + LATE_TELL_MS) {
        return;
    }
    orders->late_told_ms = now_ms;
    orders->owner.expect(orders->engine, model, (unsigned)ready_in_ms, orders->owner.context);
}

void wb_engine_orders_load_is_late(wb_engine_orders_t *orders) {
    int64_t passed_ms = wb_clock_ms() - orders->order_sent_ms;
    late_tell(orders, orders->order_model, passed_ms / LATE_SHARE);
}

void wb_engine_orders_leave_is_late(wb_engine_orders_t *orders, const wb_task_t *task) {
    const wb_service_t *service =
        orders->owner.service(orders->engine->state->service, orders->owner.context);
    const wb_model_spec_t *spec =
        service != NULL ? g_hash_table_lookup(service->models, task->model) : NULL;
    int64_t passed_ms = wb_clock_ms() - task->created_ms;
    if (spec == NULL || *task->adapter != '\0' || passed_ms < LATE_TELL_MS) {
        return;
    }
    double load_ms = wb_placement_load_ms(spec, orders->engine->state, NULL);
    late_tell(orders, task->model, (int64_t)load_ms + passed_ms / LATE_SHARE);
}
