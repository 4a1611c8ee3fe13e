/* Asks the operators' policy of the service, and falls back to the built-in rules when it fails. */
#include "cell_types.h"

#include "wickbridge/log.h"

#define FAILURES_LOGGED_EVERY 100

void cell_policy_load(wb_cell_t *cell) {
    wb_policy_free(cell->policy);
    cell->policy = NULL;
    g_autofree char *service_name = g_strndup(cell->name, strcspn(cell->name, "/"));
    const wb_service_t *service = wb_config_service(cell->config, service_name);
    const wb_policy_t *policy =
        service != NULL ? wb_config_policy(cell->config, service->policy) : NULL;
    wb_error_t error;
    if (policy != NULL &&
        wb_policy_compile(&cell->policy, policy->name, policy->program, &error) != APR_SUCCESS)
        wb_log_warning(WB_LOG_CELL, "The built-in rules hold in cell %s: %s.", cell->name,
                       error.message);
}

static void failure_note(wb_cell_t *cell, const wb_error_t *error) {
    g_strlcpy(cell->policy_failure, error->message, sizeof(cell->policy_failure));
    if (cell->policy_failures++ % FAILURES_LOGGED_EVERY == 0)
        wb_log_warning(WB_LOG_CELL, "The built-in rule is used in cell %s: %s.", cell->name,
                       error->message);
}

static wb_policy_model_t model_describe(const wb_cell_t *cell, const wb_model_t *model,
                                        const cell_busy_t *busy, int64_t now_ms) {
    const wb_service_t *service = wb_config_service(cell->config, model->service);
    return (wb_policy_model_t){
        .name = model->name,
        .memory_mib = model->memory_bytes / WB_MIB,
        .idle_ms = busy->used_ms > 0 ? now_ms - busy->used_ms : -1,
        .waiting = busy->waiting,
        .running = busy->running,
        .replicas = wb_record_slot_count(cell->record, model->name),
        .max_replicas = model->max_replicas,
        .keep_alive_ms = service->keep_alive_ms,
    };
}

int64_t cell_keep_alive_ms(wb_cell_t *cell, const wb_model_t *model, const cell_busy_t *busy,
                           int64_t now_ms) {
    int64_t keep_alive_ms = wb_config_service(cell->config, model->service)->keep_alive_ms;
    if (cell->policy == NULL)
        return keep_alive_ms;
    wb_policy_model_t described = model_describe(cell, model, busy, now_ms);
    wb_error_t error;
    if (wb_policy_keep_alive(cell->policy, &described, &keep_alive_ms, &error) == WB_POLICY_FAILED)
        failure_note(cell, &error);
    return keep_alive_ms;
}

int64_t cell_placement_cost_ms(wb_cell_t *cell, const wb_model_t *model,
                               const cell_engine_t *engine, guint evictions, int64_t load_ms) {
    static const char *const sources[] = {"memory", "disk", "remote"};
    int64_t cost_ms = 0;
    if (cell->policy == NULL)
        return cost_ms;
    cell_busy_t busy = cell_model_busy(cell, model->name);
    wb_policy_model_t described = model_describe(cell, model, &busy, busy.used_ms);
    wb_policy_engine_t place = {
        .id = engine->id,
        .zone = engine->zone,
        .free_mib = cell_engine_free_bytes(cell, engine, model->name) / WB_MIB,
        .models = g_hash_table_size(engine->inventory->models),
        .evictions = evictions,
        .same_zone_replicas = cell_zone_replicas(cell, model->name, engine->zone),
        .source = sources[cell_source(engine, model->name)],
        .load_ms = load_ms,
    };
    wb_error_t error;
    if (wb_policy_placement_cost(cell->policy, &described, &place, &cost_ms, &error) ==
        WB_POLICY_FAILED)
        failure_note(cell, &error);
    return cost_ms;
}
