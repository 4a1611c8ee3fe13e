/* Tells gateways where models run, and how long they have to wait. */
#include "cell_types.h"

#include <xxhash.h>

#define COME_BACK_MS 2000
#define DEFAULT_WAKE_MS 5000

static gboolean replica_is_ready(const wb_cell_t *cell, const cell_engine_t *engine,
                                 const cell_target_t *target) {
    char pair[CELL_PAIR_SIZE];
    const wb_held_model_t *held = cell_held(engine, target->model);
    if (held == NULL || held->state != WB_LOAD_LOADED || !cell_engine_is_usable(engine) ||
        !wb_record_has_slot(cell->record, target->model, engine->id) ||
        g_hash_table_contains(cell->retiring, cell_pair(pair, target->model, engine->id)))
        return FALSE;
    if (*target->adapter == '\0')
        return TRUE;
    const wb_held_adapter_t *adapter = g_hash_table_lookup(held->adapters, target->adapter);
    return adapter != NULL && adapter->state == WB_LOAD_LOADED;
}

static gint replica_compare(gconstpointer left, gconstpointer right) {
    return strcmp(((const wb_route_replica_t *)left)->engine,
                  ((const wb_route_replica_t *)right)->engine);
}

static GArray *replicas_find(const wb_cell_t *cell, const cell_target_t *target) {
    GArray *replicas = g_array_new(FALSE, TRUE, sizeof(wb_route_replica_t));
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const cell_engine_t *engine = value;
        if (!replica_is_ready(cell, engine, target))
            continue;
        wb_route_replica_t replica = {engine->id, engine->address, engine->zone,
                                      engine->inventory->batch};
        g_array_append_val(replicas, replica);
    }
    g_array_sort(replicas, replica_compare);
    return replicas;
}

static int64_t slot_estimate_ms(const wb_cell_t *cell, const cell_engine_t *engine,
                                const char *model, int64_t bytes, int64_t now_ms) {
    const cell_load_t *load = cell_load_find(cell, engine->id, model);
    if (load == NULL)
        return cell_load_estimate_ms(cell, engine, model, bytes);
    double gib = (double)bytes / (1024.0 * 1024.0 * 1024.0);
    int64_t whole_ms = (int64_t)(gib * cell->ms_per_gib[load->source]);
    int64_t elapsed_ms = now_ms - load->started_ms;
    /* A load that is late has shown that the estimate was wrong: it may well take as long again. */
    return elapsed_ms <= whole_ms ? whole_ms - elapsed_ms : elapsed_ms;
}

int64_t cell_wake_estimate_ms(const wb_cell_t *cell, const char *model, int64_t now_ms) {
    const wb_model_t *declared = wb_config_model(cell->config, model);
    int64_t best_ms = INT64_MAX;
    for (guint i = 0; declared != NULL && i < cell->record->slots->len; i++) {
        const wb_slot_t *slot = cell->record->slots->pdata[i];
        const cell_engine_t *engine = g_hash_table_lookup(cell->engines, slot->engine);
        if (strcmp(slot->model, model) != 0 || engine == NULL || !cell_engine_is_usable(engine))
            continue;
        best_ms =
            MIN(best_ms, slot_estimate_ms(cell, engine, model, declared->memory_bytes, now_ms));
    }
    return best_ms != INT64_MAX ? best_ms : DEFAULT_WAKE_MS;
}

/* Why nothing can be loaded for the model now, or NULL. */
static const char *refusal_find(const wb_cell_t *cell, const cell_target_t *target,
                                wb_route_state_t *state) {
    *state = WB_ROUTE_BUSY; /* a declaration may be on its way here, a model may become idle */
    const wb_model_t *model = wb_config_model(cell->config, target->model);
    if (model == NULL)
        return "the model is not declared";
    if (*target->adapter != '\0' && wb_config_adapter(cell->config, target->adapter) == NULL)
        return "the adapter is not declared";
    if (wb_record_slot_count(cell->record, target->model) > 0)
        return NULL;
    gboolean some = FALSE;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const cell_engine_t *engine = value;
        if (engine->room_for != NULL && strcmp(engine->room_for, target->model) == 0)
            return NULL;
        some = some || cell_engine_is_usable(engine);
    }
    if (!some) {
        *state = WB_ROUTE_UNAVAILABLE;
        return "no engine of the service can be used";
    }
    return "no engine has room: all that is loaded is in use";
}

static guint route_hash(const wb_route_t *route) {
    XXH64_hash_t hash = XXH64(&route->state, sizeof(route->state), 1);
    for (guint i = 0; i < route->replicas->len; i++) {
        const char *engine = g_array_index(route->replicas, wb_route_replica_t, i).engine;
        hash = XXH64(engine, strlen(engine), hash);
    }
    return (guint)hash | 1u; /* never 0, which stands for nothing shown yet */
}

/* During the first moments of an owner, engines are still being asked what they hold. */
static gboolean cell_is_new(const wb_cell_t *cell, int64_t now_ms) {
    return now_ms - cell->started_ms < COME_BACK_MS;
}

static void route_fill(const wb_cell_t *cell, const cell_target_t *target, GArray *replicas,
                       wb_route_t *route, int64_t now_ms) {
    *route = (wb_route_t){target->model, target->adapter, WB_ROUTE_READY, 0, "", replicas};
    if (replicas->len > 0)
        return;
    wb_route_state_t refusal;
    const char *reason = refusal_find(cell, target, &refusal);
    if (reason != NULL && !cell_is_new(cell, now_ms)) {
        route->state = refusal;
        route->estimate_ms = COME_BACK_MS;
        route->reason = reason;
        return;
    }
    route->state = WB_ROUTE_LOADING;
    route->estimate_ms = cell_wake_estimate_ms(cell, target->model, now_ms);
}

void cell_route_show_to(wb_cell_t *cell, cell_target_t *target, cell_gateway_t *gateway,
                        gboolean always, int64_t now_ms) {
    g_autoptr(GArray) replicas = replicas_find(cell, target);
    wb_route_t route;
    route_fill(cell, target, replicas, &route, now_ms);
    guint hash = route_hash(&route);
    if (!always && hash == gateway->shown)
        return;
    gateway->shown = hash;
    cell->events.show(gateway->node, &route, cell->events.context);
}

void cell_routes_show(wb_cell_t *cell, int64_t now_ms) {
    GHashTableIter targets, gateways;
    gpointer target_value, gateway_value;
    g_hash_table_iter_init(&targets, cell->targets);
    while (g_hash_table_iter_next(&targets, NULL, &target_value)) {
        cell_target_t *target = target_value;
        g_hash_table_iter_init(&gateways, target->gateways);
        while (g_hash_table_iter_next(&gateways, NULL, &gateway_value))
            cell_route_show_to(cell, target, gateway_value, FALSE, now_ms);
    }
}
