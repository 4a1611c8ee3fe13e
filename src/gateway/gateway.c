/* The gateway's public functions: accepts clients' requests, admits them to their targets' queues,
 * and dispatches messages. See gateway.h for threads and locks. Times are in milliseconds; errors
 * are sent to the client as HTTP responses. */
#include "gateway_types.h"

#include "wickbridge/json.h"
#include "wickbridge/log.h"

#include <stdlib.h>
#include <string.h>

#define TICK_MS 20
#define RETRY_AFTER_MS 1000

static void json_free(gpointer data) {
    json_decref(data);
}

wb_gateway_t *wb_gateway_create(const wb_gateway_options_t *options,
                                const wb_gateway_parts_t *parts) {
    wb_gateway_t *gateway = g_new0(wb_gateway_t, 1);
    gateway->options = *options;
    gateway->parts = *parts;
    gateway->node = g_strdup(options->node);
    gateway->zone = g_strdup(options->zone);
    for (int i = 0; i < GATEWAY_SHARDS; i++) {
        g_mutex_init(&gateway->shards[i].lock);
        gateway->shards[i].targets =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, target_free);
    }
    g_mutex_init(&gateway->config_lock);
    g_mutex_init(&gateway->claims_lock);
    g_mutex_init(&gateway->recent_lock);
    g_queue_init(&gateway->recent);
    gateway->claims = g_hash_table_new(g_int64_hash, g_int64_equal);
    gateway->tick_timer = wb_loop_every(parts->loop, TICK_MS, demand_tick, gateway);
    return gateway;
}

void wb_gateway_free(wb_gateway_t *gateway) {
    wb_timer_cancel(gateway->tick_timer);
    for (int i = 0; i < GATEWAY_SHARDS; i++) {
        g_hash_table_unref(gateway->shards[i].targets);
        g_mutex_clear(&gateway->shards[i].lock);
    }
    g_hash_table_unref(gateway->claims);
    g_queue_clear_full(&gateway->recent, json_free);
    wb_config_unref(gateway->config);
    g_free(gateway->node);
    g_free(gateway->zone);
    g_free(gateway);
}

void wb_gateway_set_config(wb_gateway_t *gateway, wb_config_t *config) {
    g_mutex_lock(&gateway->config_lock);
    wb_config_t *old = gateway->config;
    gateway->config = wb_config_ref(config);
    g_mutex_unlock(&gateway->config_lock);
    wb_config_unref(old);
}

void wb_gateway_set_ready(wb_gateway_t *gateway, gboolean ready) {
    g_atomic_int_set(&gateway->ready, ready);
}

void wb_gateway_drain(wb_gateway_t *gateway) {
    g_atomic_int_set(&gateway->draining, 1);
}

/* Returns the name of the model's cell, to be freed; "" if the model isn't declared. */
static char *model_cell(wb_gateway_t *gateway, const char *name) {
    g_mutex_lock(&gateway->config_lock);
    const wb_model_t *model = wb_config_model(gateway->config, name);
    char *cell = g_strdup(model != NULL ? model->cell : "");
    g_mutex_unlock(&gateway->config_lock);
    return cell;
}

/* Returns why a new request is refused, and when to retry, or NULL if it is admitted.
 * The shard's lock must be held. */
static const char *admission_check(const wb_gateway_t *gateway, const gw_target_t *target,
                                   const gw_request_t *request, int64_t *retry_after_ms) {
    *retry_after_ms = RETRY_AFTER_MS;
    if ((int64_t)wb_fair_queue_length(target->queue) >= gateway->options.queue_limit)
        return "Too many requests wait for this model.";
    int64_t now_ms = wb_clock_ms();
    if (target->state == ROUTE_LOADING && target->replicas->len == 0 &&
        target->ready_at_ms > request->deadline_ms) {
        *retry_after_ms = target->ready_at_ms - now_ms;
        return "The model can't be loaded before the deadline.";
    }
    int64_t wait_ms = target_estimate_wait_ms(target);
    if (now_ms + wait_ms > request->deadline_ms) {
        *retry_after_ms = wait_ms;
        return "The queue is longer than the deadline allows.";
    }
    return NULL;
}

static void request_admit(gw_request_t *request) {
    wb_gateway_t *gateway = request->gateway;
    g_autofree char *cell = model_cell(gateway, request->model);
    GQueue starting = G_QUEUE_INIT;
    int64_t retry_after_ms;
    int64_t now_ms = wb_clock_ms();
    request->shard = shard_find(gateway, request->model, request->adapter);
    g_mutex_lock(&request->shard->lock);
    gw_target_t *target =
        target_get(request->shard, request->model, request->adapter, cell, now_ms);
    const char *refusal = admission_check(gateway, target, request, &retry_after_ms);
    if (refusal == NULL) {
        target_enqueue(target, request, FALSE);
        target_dispatch(gateway, target, &starting, now_ms);
    }
    gboolean has_waiting = wb_fair_queue_length(target->queue) > 0;
    g_mutex_unlock(&request->shard->lock);
    if (refusal != NULL) {
        response_send_not_run(request, retry_after_ms, "overloaded", refusal);
        request_unref(request);
        return;
    }
    run_start_all(&starting);
    if (has_waiting)
        demand_report_now(gateway);
}

/* Fetches a response by key: it needs no replica, so it isn't queued. */
static void fetch_start(gw_request_t *request) {
    request->shard = shard_find(request->gateway, request->model, request->adapter);
    request->started_ms = wb_clock_ms();
    claim_start(request, 0);
}

static void models_list(wb_gateway_t *gateway, wb_http_exchange_t *exchange) {
    json_t *list = json_array();
    GHashTableIter iterator;
    gpointer value;
    g_mutex_lock(&gateway->config_lock);
    g_hash_table_iter_init(&iterator, gateway->config->models);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        json_array_append_new(list,
                              json_pack("{s:s, s:s, s:i, s:s}", "id", ((wb_model_t *)value)->name,
                                        "object", "model", "created", 0, "owned_by", "wickbridge"));
    g_hash_table_iter_init(&iterator, gateway->config->adapters);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        json_array_append_new(list, json_pack("{s:s, s:s, s:i, s:s, s:s}", "id",
                                              ((wb_adapter_t *)value)->name, "object", "model",
                                              "created", 0, "owned_by", "wickbridge", "parent",
                                              ((wb_adapter_t *)value)->model));
    g_mutex_unlock(&gateway->config_lock);
    json_t *body = json_pack("{s:s, s:o}", "object", "list", "data", list);
    char *text = wb_json_dump(body);
    json_decref(body);
    wb_http_exchange_reply(exchange, 200, "application/json", text, strlen(text));
    free(text);
}

/* Returns FALSE if the path isn't that of a request to an engine. service is to be freed;
 * call_path points into path. */
static gboolean path_parse(const char *path, gw_kind_t *kind, char **service,
                           const char **call_path) {
    static const char call_prefix[] = "/v1/services/";
    *service = NULL;
    *call_path = "";
    if (strcmp(path, "/v1/chat/completions") == 0)
        *kind = KIND_CHAT;
    else if (strcmp(path, "/v1/completions") == 0)
        *kind = KIND_COMPLETION;
    else if (g_str_has_prefix(path, call_prefix)) {
        *kind = KIND_CALL;
        const char *name = path + sizeof(call_prefix) - 1;
        *service = g_strndup(name, strcspn(name, "/"));
        *call_path = name + strlen(*service);
    } else
        return FALSE;
    return TRUE;
}

static gboolean is_ready(wb_gateway_t *gateway) {
    g_mutex_lock(&gateway->config_lock);
    gboolean has_config = gateway->config != NULL;
    g_mutex_unlock(&gateway->config_lock);
    return has_config && g_atomic_int_get(&gateway->ready) != 0 &&
           g_atomic_int_get(&gateway->draining) == 0;
}

/* Rejects a wrong method, and everything while the node isn't ready. Returns TRUE if it did. */
static gboolean rejected_early(wb_gateway_t *gateway, wb_http_exchange_t *exchange,
                               const char *method) {
    if (strcmp(wb_http_exchange_method(exchange), method) != 0) {
        wb_http_exchange_add_header(exchange, "Allow", method);
        response_send_rejection(gateway, exchange, 405, "method_not_allowed",
                                "Use another method here.");
        return TRUE;
    }
    if (!is_ready(gateway)) {
        response_send_rejection(gateway, exchange, 503, "not_ready",
                                "This node is starting or stopping; try another one.");
        return TRUE;
    }
    return FALSE;
}

gboolean wb_gateway_handle(wb_gateway_t *gateway, wb_http_exchange_t *exchange) {
    static const char fetch_prefix[] = "/v1/requests/";
    const char *path = wb_http_exchange_path(exchange);
    gw_kind_t kind;
    g_autofree char *service = NULL;
    const char *call_path;
    gw_request_t *request = NULL;
    if (strcmp(path, "/v1/models") == 0) {
        if (!rejected_early(gateway, exchange, "GET"))
            models_list(gateway, exchange);
    } else if (g_str_has_prefix(path, fetch_prefix)) {
        if (rejected_early(gateway, exchange, "GET"))
            return TRUE;
        request = request_read_fetch(gateway, exchange, path + sizeof(fetch_prefix) - 1);
        if (request != NULL) {
            g_atomic_int_inc(&gateway->counters.open);
            fetch_start(request);
        }
    } else if (path_parse(path, &kind, &service, &call_path)) {
        if (rejected_early(gateway, exchange, "POST"))
            return TRUE;
        request = request_read(gateway, exchange, kind, service, call_path);
        if (request != NULL) {
            g_atomic_int_inc(&gateway->counters.accepted);
            g_atomic_int_inc(&gateway->counters.open);
            request_admit(request);
        }
    } else
        return FALSE;
    return TRUE;
}

gboolean wb_gateway_on_message(wb_gateway_t *gateway, const char *node,
                               const wb_wire_message *message) {
    (void)node;
    if (message->kind == WB_WIRE_ROUTE_UPDATE)
        target_apply_route(gateway, &message->wb_wire_message_u.route_update);
    else if (message->kind == WB_WIRE_CLAIM_RESPONSE)
        claim_on_response(gateway, &message->wb_wire_message_u.claim_response);
    else
        return FALSE;
    return TRUE;
}

const wb_gateway_counters_t *wb_gateway_counters(const wb_gateway_t *gateway) {
    return &gateway->counters;
}

gint wb_gateway_open_requests(const wb_gateway_t *gateway) {
    return g_atomic_int_get(&gateway->counters.open);
}

static json_t *target_explain(const gw_target_t *target) {
    static const char *const states[] = {"unknown", "ready", "waking", "refused", "busy"};
    json_t *replicas = json_array();
    for (guint i = 0; i < target->replicas->len; i++) {
        const gw_replica_t *replica = target->replicas->pdata[i];
        json_array_append_new(replicas,
                              json_pack("{s:s, s:i, s:f, s:b, s:b}", "engine", replica->engine,
                                        "running", replica->running, "window", replica->window,
                                        "shown", replica->in_route, "resting",
                                        wb_clock_ms() < replica->down_until_ms));
    }
    return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:f, s:o}", "model", target->model, "adapter",
                     target->adapter, "route", states[target->state], "reason",
                     target->reason != NULL ? target->reason : "", "waiting",
                     (int)wb_fair_queue_length(target->queue), "running", target->running,
                     "service_ms", target->service_ms, "replicas", replicas);
}

json_t *wb_gateway_explain(wb_gateway_t *gateway, const char *model) {
    json_t *list = json_array();
    for (int i = 0; i < GATEWAY_SHARDS; i++) {
        gw_shard_t *shard = &gateway->shards[i];
        GHashTableIter iterator;
        gpointer value;
        g_mutex_lock(&shard->lock);
        g_hash_table_iter_init(&iterator, shard->targets);
        while (g_hash_table_iter_next(&iterator, NULL, &value))
            if (strcmp(((gw_target_t *)value)->model, model) == 0)
                json_array_append_new(list, target_explain(value));
        g_mutex_unlock(&shard->lock);
    }
    return list;
}

json_t *wb_gateway_explain_request(wb_gateway_t *gateway, const char *request_id) {
    json_t *found = NULL;
    g_mutex_lock(&gateway->recent_lock);
    for (GList *position = gateway->recent.tail; position != NULL && found == NULL;
         position = position->prev)
        if (strcmp(wb_json_text(position->data, "request", ""), request_id) == 0)
            found = json_incref(position->data);
    g_mutex_unlock(&gateway->recent_lock);
    return found;
}
