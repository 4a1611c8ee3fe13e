/* Demand: reports each target's queued and running requests to its cell's owner, and refuses queued
 * requests that expired or whose cell has no owner. Runs on the loop's thread. */
#include "gateway_types.h"

#include "wickbridge/log.h"

#include <string.h>

#define ACTIVE_INTERVAL_MS 1000 /* between messages while requests are queued or running */
#define CHANGE_INTERVAL_MS 100  /* min while requests wait for a route, and when demand ends */
#define TARGET_RETENTION_MS 300000
#define RETRY_AFTER_MS 1000

static void earliest_deadline(gpointer item, gpointer context) {
    const gw_request_t *request = item;
    int64_t *deadline_ms = context;
    if (*deadline_ms == 0 || request->deadline_ms < *deadline_ms)
        *deadline_ms = request->deadline_ms;
}

static gboolean demand_is_due(const gw_target_t *target, int64_t now_ms) {
    int waiting = (int)wb_fair_queue_length(target->queue);
    int64_t age_ms = now_ms - target->demand_sent_ms;
    if (target->demand_sent_ms == 0)
        return waiting + target->running > 0;
    if (waiting > 0 && target->sent_waiting == 0)
        return TRUE;
    gboolean changed = waiting != target->sent_waiting || target->running != target->sent_running;
    gboolean ended = changed && waiting + target->running == 0;
    if (ended || (waiting > 0 && target->state != ROUTE_READY))
        return age_ms >= CHANGE_INTERVAL_MS;
    return waiting + target->running > 0 && age_ms >= ACTIVE_INTERVAL_MS;
}

/* Sends demand to the cell's owner. Returns FALSE if there is none or it isn't reachable. The
 * shard's lock must be held. */
static gboolean demand_send(wb_gateway_t *gateway, gw_target_t *target, int64_t now_ms) {
    const char *owner = gateway->parts.find_owner(target->cell, gateway->parts.context);
    if (owner == NULL)
        return FALSE;
    int64_t deadline_ms = 0;
    wb_fair_queue_each(target->queue, earliest_deadline, &deadline_ms);
    wb_wire_message message = {.kind = WB_WIRE_ROUTE_SUBSCRIBE};
    wb_wire_route_subscribe *demand = &message.wb_wire_message_u.route_subscribe;
    demand->model = target->model;
    demand->adapter = target->adapter;
    demand->waiting = wb_fair_queue_length(target->queue);
    demand->running = (u_int)target->running;
    demand->earliest_deadline_ms = deadline_ms > 0 ? (u_int)MAX(deadline_ms - now_ms, 1) : 0;
    target->demand_sent_ms = now_ms;
    target->sent_waiting = (int)demand->waiting;
    target->sent_running = target->running;
    return gateway->parts.send(owner, &message, gateway->parts.context);
}

/* Requests to be answered after the shard's lock is released. */
typedef struct expiry_t {
    int64_t now_ms;
    gboolean no_owner;
    GQueue expired_requests;
    GQueue ownerless_requests;
} expiry_t;

/* Collects a request that must leave the queue; returns FALSE if it stays. */
static gboolean request_is_expired(gpointer item, gpointer context) {
    gw_request_t *request = item;
    expiry_t *expiry = context;
    if (request->client_gone || expiry->now_ms >= request->deadline_ms)
        g_queue_push_tail(&expiry->expired_requests, request);
    else if (expiry->no_owner)
        g_queue_push_tail(&expiry->ownerless_requests, request);
    else
        return FALSE;
    return TRUE;
}

static void expired_respond(expiry_t *expiry) {
    gw_request_t *request;
    while ((request = g_queue_pop_head(&expiry->expired_requests)) != NULL) {
        if (request->client_gone)
            response_end_client_gone(request);
        else
            response_send_not_run(request, RETRY_AFTER_MS, "deadline_exceeded",
                                  "The deadline passed before an engine was free.");
        request_unref(request);
    }
    while ((request = g_queue_pop_head(&expiry->ownerless_requests)) != NULL) {
        response_send_not_run(request, 2 * RETRY_AFTER_MS, "no_owner",
                              "No node can decide on this model at present.");
        request_unref(request);
    }
}

static void target_tick(wb_gateway_t *gateway, gw_target_t *target, expiry_t *expiry,
                        GQueue *starting) {
    int64_t now_ms = expiry->now_ms;
    gboolean owner_lost = demand_is_due(target, now_ms) && !demand_send(gateway, target, now_ms);
    expiry->no_owner =
        target_update_owner_loss(target, owner_lost, now_ms, gateway->options.no_owner_wait_ms);
    wb_fair_queue_remove(target->queue, request_is_expired, expiry);
    target_dispatch(gateway, target, starting, now_ms);
}

void demand_tick(void *context) {
    wb_gateway_t *gateway = context;
    for (int i = 0; i < GATEWAY_SHARDS; i++) {
        gw_shard_t *shard = &gateway->shards[i];
        expiry_t expiry = {wb_clock_ms(), FALSE, G_QUEUE_INIT, G_QUEUE_INIT};
        GQueue starting = G_QUEUE_INIT;
        GHashTableIter iterator;
        gpointer value;
        g_mutex_lock(&shard->lock);
        g_hash_table_iter_init(&iterator, shard->targets);
        while (g_hash_table_iter_next(&iterator, NULL, &value)) {
            gw_target_t *target = value;
            target_tick(gateway, target, &expiry, &starting);
            if (target->running == 0 && wb_fair_queue_length(target->queue) == 0 &&
                expiry.now_ms - target->last_used_ms > TARGET_RETENTION_MS)
                g_hash_table_iter_remove(&iterator);
        }
        g_mutex_unlock(&shard->lock);
        expired_respond(&expiry);
        run_start_all(&starting);
    }
    claims_tick(gateway, wb_clock_ms());
}

void demand_report_now(wb_gateway_t *gateway) {
    wb_loop_post(gateway->parts.loop, demand_tick, gateway);
}
