/* Builds routes and sends them to gateways: the ready replicas of a model or an adapter, or, when
 * there is none, a state with an estimated wait in milliseconds. A route is sent in reply to a
 * gateway's demand, and when its state or replicas have changed. */
#include "cell_types.h"

#include <xxhash.h>

#define RETRY_AFTER_MS 2000
#define DEFAULT_LOAD_MS 5000

static gboolean replica_is_ready(const wb_cell_t *cell, const cell_engine_t *engine,
                                 const cell_target_t *target) {
    char pair[CELL_PAIR_SIZE];
    const wb_held_model_t *held = cell_held_model(engine, target->model);
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
    int64_t expected_ms = (int64_t)(gib * cell->ms_per_gib[load->source]);
    int64_t elapsed_ms = now_ms - load->started_ms;
    /* For an overdue load, assume that as much time remains as has passed. */
    return elapsed_ms <= expected_ms ? expected_ms - elapsed_ms : elapsed_ms;
}

int64_t cell_ready_estimate_ms(const wb_cell_t *cell, const char *model, int64_t now_ms) {
    const wb_model_t *model_config = wb_config_model(cell->config, model);
    int64_t best_ms = INT64_MAX;
    for (guint i = 0; model_config != NULL && i < cell->record->slots->len; i++) {
        const wb_slot_t *slot = cell->record->slots->pdata[i];
        const cell_engine_t *engine = g_hash_table_lookup(cell->engines, slot->engine);
        if (strcmp(slot->model, model) != 0 || engine == NULL || !cell_engine_is_usable(engine))
            continue;
        best_ms =
            MIN(best_ms, slot_estimate_ms(cell, engine, model, model_config->memory_bytes, now_ms));
    }
    return best_ms != INT64_MAX ? best_ms : DEFAULT_LOAD_MS;
}

/* Why the model can't be loaded now, with the state to send, or NULL when it can be. */
static const char *unavailable_reason(const wb_cell_t *cell, const cell_target_t *target,
                                      wb_route_state_t *state) {
    *state = WB_ROUTE_BUSY; /* temporary: a declaration may still arrive, or a model become idle */
    const wb_model_t *model = wb_config_model(cell->config, target->model);
    if (model == NULL)
        return "the model is not declared";
    if (*target->adapter != '\0' && wb_config_adapter(cell->config, target->adapter) == NULL)
        return "the adapter is not declared";
    if (wb_record_slot_count(cell->record, target->model) > 0)
        return NULL;
    gboolean any_usable = FALSE;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cell->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const cell_engine_t *engine = value;
        if (engine->reserved_for != NULL && strcmp(engine->reserved_for, target->model) == 0)
            return NULL;
        any_usable = any_usable || cell_engine_is_usable(engine);
    }
    if (!any_usable) {
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
    return (guint)hash | 1u; /* never 0, which means that no route was sent */
}

/* A new owner is still reading the engines' inventories, so a missing replica may yet be found. */
static gboolean cell_is_starting(const wb_cell_t *cell, int64_t now_ms) {
    return now_ms - cell->started_ms < RETRY_AFTER_MS;
}

static void route_fill(const wb_cell_t *cell, const cell_target_t *target, GArray *replicas,
                       wb_route_t *route, int64_t now_ms) {
    *route = (wb_route_t){target->model, target->adapter, WB_ROUTE_READY, 0, "", replicas};
    if (replicas->len > 0)
        return;
    wb_route_state_t unavailable_state;
    const char *reason = unavailable_reason(cell, target, &unavailable_state);
    if (reason != NULL && !cell_is_starting(cell, now_ms)) {
        route->state = unavailable_state;
        route->estimate_ms = RETRY_AFTER_MS;
        route->reason = reason;
        return;
    }
    route->state = WB_ROUTE_LOADING;
    route->estimate_ms = cell_ready_estimate_ms(cell, target->model, now_ms);
}

void cell_route_send(wb_cell_t *cell, cell_target_t *target, cell_gateway_t *gateway,
                     gboolean always, int64_t now_ms) {
    g_autoptr(GArray) replicas = replicas_find(cell, target);
    wb_route_t route;
    route_fill(cell, target, replicas, &route, now_ms);
    guint hash = route_hash(&route);
    if (!always && hash == gateway->sent_hash)
        return;
    gateway->sent_hash = hash;
    cell->events.show(gateway->node, &route, cell->events.context);
}

void cell_routes_send(wb_cell_t *cell, int64_t now_ms) {
    GHashTableIter targets, gateways;
    gpointer target_value, gateway_value;
    g_hash_table_iter_init(&targets, cell->targets);
    while (g_hash_table_iter_next(&targets, NULL, &target_value)) {
        cell_target_t *target = target_value;
        g_hash_table_iter_init(&gateways, target->gateways);
        while (g_hash_table_iter_next(&gateways, NULL, &gateway_value))
            cell_route_send(cell, target, gateway_value, FALSE, now_ms);
    }
}
