/* Targets: the queue, route and replicas of a model, or of a model with an adapter.
 *
 * Chooses a replica for each queued request. Each replica has a window, a limit on concurrent
 * requests that grows with successes and shrinks when the engine's queue is full. Times are in
 * milliseconds. */
#include "gateway_types.h"

#include "wickbridge/log.h"

#include <string.h>
#include <xxhash.h>

#define SERVICE_SAMPLE_WEIGHT 0.1 /* of a new measurement in the moving average */
#define WINDOW_PER_BATCH 2.0      /* max window; the engine's own queue keeps its batch full */
#define WINDOW_CUT_FACTOR 0.8     /* after a refusal because of a full queue */
#define WINDOW_CUT_INTERVAL_MS 200

static char *target_key(const char *model, const char *adapter) {
    return g_strconcat(model, "\n", adapter, NULL);
}

gw_shard_t *shard_find(wb_gateway_t *gateway, const char *model, const char *adapter) {
    g_autofree char *name = target_key(model, adapter);
    return &gateway->shards[XXH64(name, strlen(name), 0) % GATEWAY_SHARDS];
}

static void replica_free(gpointer data) {
    gw_replica_t *replica = data;
    g_free(replica->engine);
    g_free(replica->address);
    g_free(replica->zone);
    g_free(replica);
}

void target_free(gpointer data) {
    gw_target_t *target = data;
    wb_fair_queue_free(target->queue);
    g_ptr_array_unref(target->replicas);
    g_free(target->model);
    g_free(target->adapter);
    g_free(target->cell);
    g_free(target->reason);
    g_free(target);
}

gw_target_t *target_get(gw_shard_t *shard, const char *model, const char *adapter, const char *cell,
                        int64_t now_ms) {
    g_autofree char *name = target_key(model, adapter);
    gw_target_t *target = g_hash_table_lookup(shard->targets, name);
    if (target == NULL) {
        target = g_new0(gw_target_t, 1);
        target->model = g_strdup(model);
        target->adapter = g_strdup(adapter);
        target->cell = g_strdup(cell);
        target->queue = wb_fair_queue_create();
        target->replicas = g_ptr_array_new_with_free_func(replica_free);
        g_hash_table_insert(shard->targets, g_steal_pointer(&name), target);
    }
    target->last_used_ms = now_ms;
    return target;
}

gw_target_t *target_find(const gw_request_t *request) {
    g_autofree char *name = target_key(request->model, request->adapter);
    return g_hash_table_lookup(request->shard->targets, name);
}

void target_enqueue(gw_target_t *target, gw_request_t *request, gboolean front) {
    request->stage = STAGE_WAITING;
    if (front)
        wb_fair_queue_push_front(target->queue, request->owner, request->share, request);
    else
        wb_fair_queue_push(target->queue, request->owner, request->share, 1.0, request);
}

static gboolean replica_has_capacity(const gw_replica_t *replica, int64_t now_ms) {
    return replica->in_route && now_ms >= replica->down_until_ms &&
           replica->running + 1 <= MAX(replica->window, 1.0);
}

static double replica_load(const gw_replica_t *replica, const char *zone) {
    /* Prefers the replica in this node's zone when both are equally loaded. */
    double zone_penalty = strcmp(replica->zone, zone) == 0 ? 0.0 : 0.01;
    return (double)replica->running / MAX(replica->window, 1.0) + zone_penalty;
}

/* Power of two choices (Mitzenmacher 2001) among replicas with capacity. Returns NULL if none has
 * any. */
static gw_replica_t *replica_choose(const wb_gateway_t *gateway, const gw_target_t *target,
                                    int64_t now_ms) {
    g_autoptr(GPtrArray) candidates = g_ptr_array_new();
    for (guint i = 0; i < target->replicas->len; i++)
        if (replica_has_capacity(target->replicas->pdata[i], now_ms))
            g_ptr_array_add(candidates, target->replicas->pdata[i]);
    if (candidates->len == 0)
        return NULL;
    gw_replica_t *first = candidates->pdata[g_random_int_range(0, (gint32)candidates->len)];
    gw_replica_t *second = candidates->pdata[g_random_int_range(0, (gint32)candidates->len)];
    return replica_load(first, gateway->zone) <= replica_load(second, gateway->zone) ? first
                                                                                     : second;
}

void target_dispatch(wb_gateway_t *gateway, gw_target_t *target, GQueue *starting, int64_t now_ms) {
    while (wb_fair_queue_length(target->queue) > 0) {
        gw_replica_t *replica = replica_choose(gateway, target, now_ms);
        if (replica == NULL)
            return;
        gw_request_t *request = wb_fair_queue_pop(target->queue);
        replica->running++;
        target->running++;
        request->holds_replica = TRUE;
        request->attempts++;
        request->started_ms = now_ms;
        g_free(request->engine);
        g_free(request->engine_address);
        request->engine = g_strdup(replica->engine);
        request->engine_address = g_strdup(replica->address);
        request->stage = STAGE_RUNNING;
        g_queue_push_tail(starting, request);
    }
}

static gw_replica_t *replica_find(const gw_target_t *target, const char *engine) {
    for (guint i = 0; i < target->replicas->len; i++) {
        gw_replica_t *replica = target->replicas->pdata[i];
        if (strcmp(replica->engine, engine) == 0)
            return replica;
    }
    return NULL;
}

/* Removes replicas that are no longer in the route, once this gateway's requests on them have
 * ended. */
static void replicas_sweep(gw_target_t *target) {
    for (guint i = target->replicas->len; i-- > 0;) {
        const gw_replica_t *replica = target->replicas->pdata[i];
        if (!replica->in_route && replica->running == 0)
            g_ptr_array_remove_index_fast(target->replicas, i);
    }
}

/* Reduces the window after a full-queue refusal, once per burst of refusals. */
static void window_cut(gw_replica_t *replica, int64_t now_ms) {
    if (now_ms - replica->window_cut_ms < WINDOW_CUT_INTERVAL_MS)
        return;
    replica->window_cut_ms = now_ms;
    replica->window = MAX(MIN(replica->window, replica->running + 1) * WINDOW_CUT_FACTOR, 1.0);
}

/* Grows by 1 per success up to the engine's batch, then by 1 per window of successes. */
static void window_grow(gw_replica_t *replica) {
    double step = replica->window < replica->batch ? 1.0 : 1.0 / replica->window;
    replica->window = MIN(replica->window + step, WINDOW_PER_BATCH * replica->batch);
}

void target_release(gw_request_t *request, gboolean success, gboolean queue_full, int64_t down_ms) {
    GQueue starting = G_QUEUE_INIT;
    int64_t now_ms = wb_clock_ms();
    g_mutex_lock(&request->shard->lock);
    gw_target_t *target = target_find(request);
    gboolean held = request->holds_replica;
    request->holds_replica = FALSE;
    if (target != NULL && held) {
        target->running--;
        target->last_used_ms = now_ms;
        gw_replica_t *replica = replica_find(target, request->engine);
        if (replica != NULL) {
            replica->running--;
            if (queue_full)
                window_cut(replica, now_ms);
            else if (success)
                window_grow(replica);
            if (down_ms > 0)
                replica->down_until_ms = now_ms + down_ms;
        }
        if (success) {
            double took_ms = (double)(now_ms - request->started_ms);
            target->service_ms = target->service_ms <= 0.0
                                     ? took_ms
                                     : (1.0 - SERVICE_SAMPLE_WEIGHT) * target->service_ms +
                                           SERVICE_SAMPLE_WEIGHT * took_ms;
        }
        replicas_sweep(target);
        target_dispatch(request->gateway, target, &starting, now_ms);
    }
    g_mutex_unlock(&request->shard->lock);
    run_start_all(&starting);
}

gboolean target_update_owner_loss(gw_target_t *target, gboolean lost, int64_t now_ms,
                                  int64_t wait_ms) {
    if (wb_fair_queue_length(target->queue) == 0) {
        /* Time without queued requests doesn't count: an earlier loss may have ended. */
        target->owner_lost_ms = 0;
        return FALSE;
    }
    if (lost && target->owner_lost_ms == 0)
        target->owner_lost_ms = now_ms;
    /* Known replicas stay usable without an owner. */
    return target->replicas->len == 0 && target->owner_lost_ms > 0 &&
           now_ms - target->owner_lost_ms >= wait_ms;
}

int64_t target_estimate_wait_ms(const gw_target_t *target) {
    double windows = 0.0;
    for (guint i = 0; i < target->replicas->len; i++) {
        const gw_replica_t *replica = target->replicas->pdata[i];
        if (replica->in_route)
            windows += MAX(replica->window, 1.0);
    }
    if (windows < 1.0 || target->service_ms <= 0.0)
        return 0;
    double ahead = (double)wb_fair_queue_length(target->queue) + target->running - windows;
    return ahead <= 0.0 ? 0 : (int64_t)(ahead / windows * target->service_ms);
}

static void replicas_apply(gw_target_t *target, const wb_wire_route_update *update) {
    for (guint i = 0; i < target->replicas->len; i++)
        ((gw_replica_t *)target->replicas->pdata[i])->in_route = FALSE;
    for (u_int i = 0; i < update->replicas.replicas_len; i++) {
        const wb_wire_replica *wire = &update->replicas.replicas_val[i];
        gw_replica_t *replica = replica_find(target, wire->engine);
        if (replica == NULL) {
            replica = g_new0(gw_replica_t, 1);
            replica->engine = g_strdup(wire->engine);
            replica->address = g_strdup(wire->address);
            replica->zone = g_strdup(wire->zone);
            replica->batch = (int)MAX(wire->batch, 1);
            replica->window = replica->batch;
            g_ptr_array_add(target->replicas, replica);
        }
        replica->in_route = TRUE;
    }
    replicas_sweep(target);
}

/* Context of request_is_refused. */
typedef struct route_check_t {
    gw_target_t *target;
    int64_t now_ms;
    int64_t busy_wait_ms;
    GQueue refused;
} route_check_t;

/* Whether the route update means that a queued request can't be served in time; collects those. */
static gboolean request_is_refused(gpointer item, gpointer context) {
    gw_request_t *request = item;
    route_check_t *check = context;
    const gw_target_t *target = check->target;
    gboolean too_late = target->state == ROUTE_LOADING && target->replicas->len == 0 &&
                        target->ready_at_ms > request->deadline_ms;
    gboolean no_capacity =
        target->state == ROUTE_BUSY &&
        check->now_ms - MAX(target->busy_since_ms, request->arrived_ms) >= check->busy_wait_ms;
    gboolean refused = too_late || no_capacity || target->state == ROUTE_UNAVAILABLE;
    if (refused)
        g_queue_push_tail(&check->refused, request);
    return refused;
}

static void refused_respond(GQueue *refused, const char *code, const char *message,
                            int64_t retry_after_ms) {
    gw_request_t *request;
    while ((request = g_queue_pop_head(refused)) != NULL) {
        response_send_not_run(request, retry_after_ms, code, message);
        request_unref(request);
    }
}

void target_apply_route(wb_gateway_t *gateway, const wb_wire_route_update *update) {
    static const gw_route_state_t states[] = {ROUTE_READY, ROUTE_LOADING, ROUTE_UNAVAILABLE,
                                              ROUTE_UNKNOWN, ROUTE_BUSY};
    gw_shard_t *shard = shard_find(gateway, update->model, update->adapter);
    g_autofree char *name = target_key(update->model, update->adapter);
    GQueue starting = G_QUEUE_INIT;
    route_check_t check = {NULL, wb_clock_ms(), gateway->options.busy_wait_ms, G_QUEUE_INIT};
    g_autofree char *message = NULL;
    int64_t retry_after_ms = update->estimate_ms;
    g_mutex_lock(&shard->lock);
    gw_target_t *target = g_hash_table_lookup(shard->targets, name);
    if (target == NULL || update->state == WB_WIRE_ROUTE_NOT_OWNER) {
        g_mutex_unlock(&shard->lock);
        return;
    }
    target->state = states[update->state];
    target->route_received_ms = check.now_ms;
    target->owner_lost_ms = 0;
    target->ready_at_ms = check.now_ms + update->estimate_ms;
    g_free(target->reason);
    target->reason = g_strdup(update->reason);
    if (target->state != ROUTE_BUSY)
        target->busy_since_ms = 0;
    else if (target->busy_since_ms == 0)
        target->busy_since_ms = check.now_ms;
    replicas_apply(target, update);
    target_dispatch(gateway, target, &starting, check.now_ms);
    check.target = target;
    wb_fair_queue_remove(target->queue, request_is_refused, &check);
    message = target->state != ROUTE_LOADING
                  ? g_strdup_printf("The model can't be loaded now: %s.", update->reason)
                  : g_strdup("The model can't be loaded before the deadline.");
    g_mutex_unlock(&shard->lock);
    refused_respond(&check.refused, "no_capacity", message, retry_after_ms);
    run_start_all(&starting);
}
