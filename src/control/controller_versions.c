/* Loads models and adapters at engines of one software version, where streams that began at it wait
 * to go on. */
#include "control/controller_types.h"

#include "wickbridge/event_log.h"

#include <string.h>

/* Context of wait_place. */
typedef struct wb_versions_context_t {
    wb_controller_t *controller;
    wb_placement_snapshot_t *snapshot;
    int64_t now_ms;
} wb_versions_context_t;

static gboolean has_version(const wb_placement_engine_t *candidate, const char *software_version) {
    return strcmp(candidate->engine->state->software_version, software_version) == 0;
}

/* Whether an available engine of the version holds the model, or is loading it. */
static gboolean is_placed(const wb_placement_snapshot_t *snapshot,
                          const wb_wire_version_wait *wait) {
    for (guint i = 0; i < snapshot->engines->len; i++) {
        const wb_placement_engine_t *candidate =
            &g_array_index(snapshot->engines, wb_placement_engine_t, i);
        if (candidate->available && has_version(candidate, wait->software_version) &&
            (g_hash_table_contains(candidate->state->models, wait->model) ||
             snapshot->is_loading(candidate->engine, wait->model, snapshot->context)))
            return TRUE;
    }
    return FALSE;
}

static void wait_place(const wb_wire_version_wait *wait, void *context) {
    const wb_versions_context_t *data = context;
    wb_placement_snapshot_t *snapshot = data->snapshot;
    const char *service = snapshot->service->name;
    const wb_model_spec_t *spec = g_hash_table_lookup(snapshot->service->models, wait->model);
    if (spec == NULL || wb_controller_deadline_passed(data->controller))
        return;
    snapshot->software_version = wait->software_version;
    if (!is_placed(snapshot, wait)) {
        if (wb_load_faults_backoff_ms(data->controller->faults, service, wait->model,
                                      data->now_ms) == 0)
            wb_controller_place_model(data->controller, snapshot, spec, G_MAXDOUBLE, "resumed");
    } else if (*wait->adapter != '\0') {
        wb_wire_demand_entry entry = {.service = wait->service,
                                      .model = wait->model,
                                      .adapter = wait->adapter,
                                      .waiting = wait->waiting};
        wb_controller_place_adapter(data->controller, snapshot, &entry);
    }
    snapshot->software_version = NULL;
}

void wb_controller_place_versions(wb_controller_t *controller, wb_placement_snapshot_t *snapshot,
                                  int64_t now_ms) {
    wb_versions_context_t data = {controller, snapshot, now_ms};
    wb_version_demand_each(controller->version_demand, snapshot->service->name, now_ms, wait_place,
                           &data);
}

void wb_controller_on_version_waits(wb_controller_t *controller, const char *node,
                                    const wb_wire_version_waits *waits) {
    wb_version_demand_update(controller->version_demand, node, waits, wb_clock_ms());
    if (waits->entries.entries_len > 0 && wb_clock_us() >= controller->next_decision_us)
        wb_controller_decide(controller);
}
