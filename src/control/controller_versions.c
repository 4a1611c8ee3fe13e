/* Loads models and adapters at engines of one software version, where streams that began at it wait
 * to go on. */
#include "control/controller_types.h"

#include "wickbridge/event_log.h"

/* Requests that wait for so long though an engine holds their model can't use it: it broke their
 * stream off, or has ended unnoticed. */
#define STUCK_MS 300

/* Context of wait_place. */
typedef struct wb_versions_context_t {
    wb_controller_t *controller;
    wb_placement_snapshot_t *snapshot;
    int64_t now_ms;
} wb_versions_context_t;

static gboolean holds(const wb_placement_snapshot_t *snapshot,
                      const wb_placement_engine_t *candidate, const char *model) {
    (void)snapshot;
    return g_hash_table_contains(candidate->state->models, model);
}

static gboolean is_loading(const wb_placement_snapshot_t *snapshot,
                           const wb_placement_engine_t *candidate, const char *model) {
    return snapshot->is_loading(candidate->engine, model, snapshot->context);
}

/* Whether a condition holds at any available engine of the snapshot's version. */
static gboolean any_engine(const wb_placement_snapshot_t *snapshot, const char *model,
                           gboolean (*condition)(const wb_placement_snapshot_t *snapshot,
                                                 const wb_placement_engine_t *candidate,
                                                 const char *model)) {
    for (guint i = 0; i < snapshot->engines->len; i++) {
        const wb_placement_engine_t *candidate =
            &g_array_index(snapshot->engines, wb_placement_engine_t, i);
        if (candidate->available && wb_placement_allows(snapshot, candidate) &&
            condition(snapshot, candidate, model))
            return TRUE;
    }
    return FALSE;
}

/* Loads what the requests wait for at an engine of the snapshot's version. */
static void version_place(const wb_versions_context_t *data, const wb_wire_version_wait *wait,
                          const wb_model_spec_t *spec, int64_t waited_ms) {
    wb_controller_t *controller = data->controller;
    gboolean held = any_engine(data->snapshot, wait->model, holds);
    gboolean paused =
        wb_load_faults_backoff_ms(controller->faults, wait->service, wait->model, data->now_ms) > 0;
    if (held && *wait->adapter != '\0') {
        wb_wire_demand_entry entry = {.service = wait->service,
                                      .model = wait->model,
                                      .adapter = wait->adapter,
                                      .waiting = wait->waiting};
        wb_controller_place_adapter(controller, data->snapshot, &entry);
    }
    if (!paused && (!held || waited_ms >= STUCK_MS))
        wb_controller_place_model(controller, data->snapshot, spec, G_MAXDOUBLE, "resumed");
}

static void wait_place(const wb_wire_version_wait *wait, int64_t waited_ms, void *context) {
    const wb_versions_context_t *data = context;
    wb_placement_snapshot_t *snapshot = data->snapshot;
    const wb_model_spec_t *spec = g_hash_table_lookup(snapshot->service->models, wait->model);
    if (spec == NULL || wb_controller_deadline_passed(data->controller))
        return;
    snapshot->software_version = wait->software_version;
    if (!any_engine(snapshot, wait->model, is_loading))
        version_place(data, wait, spec, waited_ms);
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
