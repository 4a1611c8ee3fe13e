/* Client of the engines' control API: orders, fences, inventories. */
#include "wickbridge/engine_client.h"

#include "wickbridge/json.h"
#include "wickbridge/log.h"

#include <stdlib.h>
#include <string.h>

#define FOLLOW_RETRY_MS 250
/* Consecutive failures after which an engine counts as unreachable. */
#define UNREACHABLE_FAILURES 2
/* Added to the duration of the long poll to get the timeout of the call. */
#define RESPONSE_MARGIN_MS 1500

/* An engine whose inventory is followed. */
typedef struct follow_t {
    wb_engine_client_t *client;
    char *engine;
    char *address;
    int64_t sequence; /* of the last inventory; -1: none yet */
    int failures;     /* consecutive */
    gboolean stopped; /* freed when the call or timer under way ends */
    gboolean calling; /* a call or the retry timer is under way */
} follow_t;

struct wb_engine_client_t {
    int references; /* one for the owner, one for each call or timer under way */
    wb_http_client_t *http;
    wb_loop_t *loop;
    wb_engine_client_options_t options;
    wb_engine_client_events_t events;
    gboolean closed;
    GHashTable *follows; /* engine -> follow_t */
};

/* An order under way. */
typedef struct order_call_t {
    wb_engine_client_t *client;
    char *engine;
    uint64_t fence;
} order_call_t;

static void client_unref(wb_engine_client_t *client) {
    if (--client->references > 0)
        return;
    g_hash_table_unref(client->follows);
    g_free(client);
}

static void follow_free(follow_t *follow) {
    g_free(follow->engine);
    g_free(follow->address);
    g_free(follow);
}

/* Stops following an engine; frees its state now, or once the call or timer under way has ended. */
static void follow_release(gpointer data) {
    follow_t *follow = data;
    follow->stopped = TRUE;
    if (!follow->calling)
        follow_free(follow);
}

wb_engine_client_t *wb_engine_client_create(wb_http_client_t *http, wb_loop_t *loop,
                                            const wb_engine_client_options_t *options,
                                            const wb_engine_client_events_t *events) {
    wb_engine_client_t *client = g_new0(wb_engine_client_t, 1);
    client->references = 1;
    client->http = http;
    client->loop = loop;
    client->options = *options;
    client->events = *events;
    client->follows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, follow_release);
    return client;
}

void wb_engine_client_free(wb_engine_client_t *client) {
    client->closed = TRUE;
    g_hash_table_remove_all(client->follows);
    client_unref(client);
}

static wb_inventory_t *inventory_read(const wb_http_result_t *result) {
    json_t *body = json_loadb(result->body, result->body_length, 0, NULL);
    wb_inventory_t *inventory = body != NULL ? wb_inventory_parse(body) : NULL;
    json_decref(body);
    return inventory;
}

static wb_order_outcome_t order_outcome(const wb_http_result_t *result, uint64_t fence,
                                        const wb_inventory_t *inventory) {
    if (result->outcome != WB_HTTP_COMPLETED || inventory == NULL)
        return WB_ORDER_NO_RESPONSE;
    if (result->status == 200 || result->status == 202)
        return WB_ORDER_ACCEPTED;
    return inventory->fence > fence || result->status == 409 ? WB_ORDER_STALE : WB_ORDER_REFUSED;
}

static void order_done(const wb_http_result_t *result, void *context) {
    order_call_t *call = context;
    wb_engine_client_t *client = call->client;
    wb_inventory_t *inventory =
        result->outcome == WB_HTTP_COMPLETED ? inventory_read(result) : NULL;
    wb_order_outcome_t outcome = order_outcome(result, call->fence, inventory);
    if (inventory != NULL && inventory->fence == call->fence && outcome == WB_ORDER_STALE)
        outcome = WB_ORDER_REFUSED; /* 409 for this order: the model is being unloaded */
    if (outcome != WB_ORDER_ACCEPTED)
        wb_log_info(WB_LOG_ENGINE,
                    "Engine %s did not accept order %" G_GUINT64_FORMAT ": status %u %s.",
                    call->engine, (guint64)call->fence, result->status, result->reason);
    if (!client->closed)
        client->events.on_order_done(call->engine, call->fence, outcome, inventory,
                                     client->events.context);
    else
        wb_inventory_free(inventory);
    client_unref(client);
    g_free(call->engine);
    g_free(call);
}

static json_t *order_to_json(const wb_order_t *order) {
    char fence[32];
    g_snprintf(fence, sizeof(fence), "%" G_GUINT64_FORMAT, (guint64)order->fence);
    json_t *body = json_pack("{s:s}", "fence", fence);
    if (order->action == WB_ORDER_FENCE)
        return body;
    json_object_set_new(body, "action",
                        json_string(order->action == WB_ORDER_LOAD ? "load" : "unload"));
    json_object_set_new(body, "model", json_string(order->model));
    if (order->adapter != NULL)
        json_object_set_new(body, "adapter", json_string(order->adapter));
    json_object_set_new(body, "version", json_integer((json_int_t)order->version));
    json_object_set_new(body, "bytes", json_integer((json_int_t)order->bytes));
    return body;
}

void wb_engine_client_order(wb_engine_client_t *client, const wb_order_t *order) {
    order_call_t *call = g_new0(order_call_t, 1);
    call->client = client;
    call->engine = g_strdup(order->engine);
    call->fence = order->fence;
    client->references++;
    const char *path = order->action == WB_ORDER_FENCE ? "fence" : "orders";
    g_autofree char *url =
        g_strdup_printf("%s://%s/engine/v1/%s", client->options.scheme, order->address, path);
    json_t *body = order_to_json(order);
    char *text = wb_json_dump(body);
    wb_http_request_t request = {.method = "POST",
                                 .url = url,
                                 .body = text,
                                 .body_length = strlen(text),
                                 .timeout_ms = client->options.order_timeout_ms,
                                 .on_done = order_done,
                                 .context = call};
    wb_http_client_fetch(client->http, client->loop, &request);
    free(text);
    json_decref(body);
}

static void follow_call(follow_t *follow);

/* Retry timer: calls again, unless the engine was unfollowed meanwhile. */
static void follow_retry(void *context) {
    follow_t *follow = context;
    wb_engine_client_t *client = follow->client;
    follow->calling = FALSE;
    if (follow->stopped)
        follow_free(follow);
    else
        follow_call(follow);
    client_unref(client);
}

static void follow_failed(follow_t *follow) {
    wb_engine_client_t *client = follow->client;
    if (++follow->failures == UNREACHABLE_FAILURES) {
        wb_log_message(WB_LOG_ENGINE, "Engine %s is unreachable.", follow->engine);
        client->events.on_reachable(follow->engine, FALSE, client->events.context);
    }
    follow->calling = TRUE;
    client->references++;
    wb_loop_after(client->loop, FOLLOW_RETRY_MS, follow_retry, follow);
}

static void follow_succeeded(follow_t *follow, wb_inventory_t *inventory) {
    wb_engine_client_t *client = follow->client;
    if (follow->failures >= UNREACHABLE_FAILURES) {
        wb_log_message(WB_LOG_ENGINE, "Engine %s is reachable again.", follow->engine);
        client->events.on_reachable(follow->engine, TRUE, client->events.context);
    }
    follow->failures = 0;
    follow->sequence = inventory->sequence;
    client->events.on_inventory(inventory, client->events.context);
}

static void follow_done(const wb_http_result_t *result, void *context) {
    follow_t *follow = context;
    wb_engine_client_t *client = follow->client;
    follow->calling = FALSE;
    wb_inventory_t *inventory = result->outcome == WB_HTTP_COMPLETED && result->status == 200
                                    ? inventory_read(result)
                                    : NULL;
    if (follow->stopped) {
        wb_inventory_free(inventory);
        follow_free(follow);
    } else if (inventory == NULL) {
        follow_failed(follow);
    } else {
        follow->calling = TRUE; /* keeps it alive if an event unfollows this engine */
        follow_succeeded(follow, inventory);
        follow->calling = FALSE;
        if (follow->stopped)
            follow_free(follow);
        else
            follow_call(follow);
    }
    client_unref(client);
}

static void follow_call(follow_t *follow) {
    wb_engine_client_t *client = follow->client;
    int64_t wait_ms = follow->failures == 0 ? client->options.inventory_wait_ms : 0;
    g_autofree char *url = g_strdup_printf(
        "%s://%s/engine/v1/inventory?after=%" G_GINT64_FORMAT "&wait_ms=%" G_GINT64_FORMAT,
        client->options.scheme, follow->address, (gint64)follow->sequence, (gint64)wait_ms);
    wb_http_request_t request = {.method = "GET",
                                 .url = url,
                                 .timeout_ms = wait_ms + RESPONSE_MARGIN_MS,
                                 .on_done = follow_done,
                                 .context = follow};
    follow->calling = TRUE;
    client->references++;
    wb_http_client_fetch(client->http, client->loop, &request);
}

void wb_engine_client_follow(wb_engine_client_t *client, const char *engine, const char *address) {
    if (g_hash_table_contains(client->follows, engine))
        return;
    follow_t *follow = g_new0(follow_t, 1);
    follow->client = client;
    follow->engine = g_strdup(engine);
    follow->address = g_strdup(address);
    follow->sequence = -1;
    g_hash_table_insert(client->follows, follow->engine, follow);
    follow_call(follow);
}

void wb_engine_client_unfollow(wb_engine_client_t *client, const char *engine) {
    g_hash_table_remove(client->follows, engine);
}
