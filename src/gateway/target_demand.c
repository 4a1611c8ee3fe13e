/* Tells cells' owners what waits and runs here, and gives up on requests that can't be served. */
#include "gateway_types.h"

#include "wickbridge/log.h"

#include <string.h>

#define ACTIVE_INTERVAL_MS 1000 /* while something waits or runs */
#define CHANGE_INTERVAL_MS 100  /* between two messages when figures change */
#define TARGET_FORGET_MS 300000
#define RETRY_AFTER_MS 1000

static void smallest_deadline(gpointer item, gpointer context) {
    const gw_request_t *request = item;
    int64_t *deadline_ms = context;
    if (*deadline_ms == 0 || request->deadline_ms < *deadline_ms)
        *deadline_ms = request->deadline_ms;
}

static gboolean want_is_due(const gw_target_t *target, int64_t now_ms) {
    int waiting = (int)wb_fair_queue_length(target->queue);
    int64_t age_ms = now_ms - target->wanted_ms;
    if (target->wanted_ms == 0)
        return waiting + target->running > 0;
    if (waiting > 0 && target->wanted_waiting == 0)
        return TRUE;
    gboolean changed =
        waiting != target->wanted_waiting || target->running != target->wanted_running;
    gboolean ended = changed && waiting + target->running == 0;
    if (ended || (waiting > 0 && target->state != ROUTE_READY))
        return age_ms >= CHANGE_INTERVAL_MS;
    return waiting + target->running > 0 && age_ms >= ACTIVE_INTERVAL_MS;
}

/* Tells the owner. Returns FALSE when there is none. The shard's lock is held. */
static gboolean want_send(wb_gateway_t *gateway, gw_target_t *target, int64_t now_ms) {
    const char *owner = gateway->parts.find_owner(target->cell, gateway->parts.context);
    if (owner == NULL)
        return FALSE;
    int64_t deadline_ms = 0;
    wb_fair_queue_each(target->queue, smallest_deadline, &deadline_ms);
    wb_wire_message message = {.kind = WB_WIRE_ROUTE_SUBSCRIBE};
    wb_wire_route_subscribe *want = &message.wb_wire_message_u.route_subscribe;
    want->model = target->model;
    want->adapter = target->adapter;
    want->waiting = wb_fair_queue_length(target->queue);
    want->running = (u_int)target->running;
    want->earliest_deadline_ms = deadline_ms > 0 ? (u_int)MAX(deadline_ms - now_ms, 1) : 0;
    target->wanted_ms = now_ms;
    target->wanted_waiting = (int)want->waiting;
    target->wanted_running = target->running;
    return gateway->parts.send(owner, &message, gateway->parts.context);
}

typedef struct expiry_t {
    int64_t now_ms;
    gboolean no_owner;
    GQueue late;
    GQueue unowned;
} expiry_t;

static gboolean request_is_over(gpointer item, gpointer context) {
    gw_request_t *request = item;
    expiry_t *expiry = context;
    if (request->caller_gone || expiry->now_ms >= request->deadline_ms)
        g_queue_push_tail(&expiry->late, request);
    else if (expiry->no_owner)
        g_queue_push_tail(&expiry->unowned, request);
    else
        return FALSE;
    return TRUE;
}

static void over_answer(expiry_t *expiry) {
    gw_request_t *request;
    while ((request = g_queue_pop_head(&expiry->late)) != NULL) {
        if (request->caller_gone)
            answer_caller_gone(request);
        else
            answer_not_run(request, RETRY_AFTER_MS, "deadline_exceeded",
                           "The deadline passed before an engine was free.");
        request_unref(request);
    }
    while ((request = g_queue_pop_head(&expiry->unowned)) != NULL) {
        answer_not_run(request, 2 * RETRY_AFTER_MS, "no_owner",
                       "No node can decide on this model at present.");
        request_unref(request);
    }
}

static void target_tick(wb_gateway_t *gateway, gw_target_t *target, expiry_t *expiry,
                        GQueue *starting) {
    int64_t now_ms = expiry->now_ms;
    gboolean lost = want_is_due(target, now_ms) && !want_send(gateway, target, now_ms);
    expiry->no_owner =
        target_update_owner_loss(target, lost, now_ms, gateway->options.no_owner_wait_ms);
    wb_fair_queue_remove(target->queue, request_is_over, expiry);
    target_dispatch(gateway, target, starting, now_ms);
}

void wants_tick(void *context) {
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
                expiry.now_ms - target->used_ms > TARGET_FORGET_MS)
                g_hash_table_iter_remove(&iterator);
        }
        g_mutex_unlock(&shard->lock);
        over_answer(&expiry);
        run_start_all(&starting);
    }
    claims_check(gateway, wb_clock_ms());
}

void want_now(wb_gateway_t *gateway) {
    wb_loop_post(gateway->parts.loop, wants_tick, gateway);
}
