/* The weight store: transfers share its speed, and their start rate is limited. */
#include "platform.h"

#include "wickbridge/json.h"

#include <string.h>

typedef struct weight_transfer_t {
    wb_http_exchange_t *exchange; /* answered when the transfer is complete */
    double remaining_ms;          /* remaining time at full speed */
} weight_transfer_t;

static struct {
    GMutex lock;
    GPtrArray *transfers;
    platform_bucket_t bucket;
    int64_t at_once;
    int64_t max_at_once;
    double slowdown;
    int64_t ticked_us;
} weights = {.slowdown = 1.0};

void weights_setup(double loads_per_s, int64_t at_once) {
    weights.transfers = g_ptr_array_new_with_free_func(g_free);
    weights.bucket.per_s = loads_per_s;
    weights.at_once = at_once;
    weights.ticked_us = g_get_monotonic_time();
}

void weights_set_slowdown(double factor) {
    g_mutex_lock(&weights.lock);
    weights.slowdown = MAX(factor, 0.001);
    g_mutex_unlock(&weights.lock);
}

json_t *weights_counters(void) {
    g_mutex_lock(&weights.lock);
    json_t *counters = json_pack("{s:I, s:I, s:I}", "loads", (json_int_t)weights.bucket.taken,
                                 "refused", (json_int_t)weights.bucket.refused, "most_at_once",
                                 (json_int_t)weights.max_at_once);
    g_mutex_unlock(&weights.lock);
    return counters;
}

void weights_handle(wb_http_exchange_t *exchange) {
    json_t *body = standin_read_json(exchange);
    if (body == NULL)
        return;
    double duration_ms = (double)wb_json_integer(body, "full_speed_ms", 0);
    json_decref(body);
    g_mutex_lock(&weights.lock);
    int64_t retry_after_ms = platform_bucket_take(&weights.bucket);
    if (retry_after_ms == 0) {
        weight_transfer_t *transfer = g_new0(weight_transfer_t, 1);
        transfer->exchange = exchange;
        transfer->remaining_ms = duration_ms;
        g_ptr_array_add(weights.transfers, transfer);
        weights.max_at_once = MAX(weights.max_at_once, (int64_t)weights.transfers->len);
    }
    g_mutex_unlock(&weights.lock);
    if (retry_after_ms > 0)
        standin_reply_error(exchange, 429, "rate_limited", "Too many loads a second.",
                            retry_after_ms);
}

/* The fraction of full speed that each transfer gets. Lock held. */
static double speed_share(void) {
    double contention = (double)weights.transfers->len / (double)weights.at_once;
    return 1.0 / (MAX(contention, 1.0) * weights.slowdown);
}

void weights_tick(void) {
    GQueue finished = G_QUEUE_INIT;
    g_mutex_lock(&weights.lock);
    int64_t now_us = g_get_monotonic_time();
    double progress_ms = (double)(now_us - weights.ticked_us) / 1000.0 * speed_share();
    weights.ticked_us = now_us;
    for (guint i = weights.transfers->len; i-- > 0;) {
        weight_transfer_t *transfer = weights.transfers->pdata[i];
        transfer->remaining_ms -= progress_ms;
        if (transfer->remaining_ms > 0)
            continue;
        g_queue_push_tail(&finished, transfer->exchange);
        g_ptr_array_remove_index_fast(weights.transfers, i);
    }
    g_mutex_unlock(&weights.lock);
    wb_http_exchange_t *exchange;
    while ((exchange = g_queue_pop_head(&finished)) != NULL)
        standin_reply_json(exchange, 200, json_object());
}
