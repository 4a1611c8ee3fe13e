/* Answers operators on the loop's thread. */
#include "operators.h"

#include "wickbridge/json.h"
#include "wickbridge/log.h"

#include <stdlib.h>
#include <string.h>

/* An operator's request on its way to the loop's thread. */
typedef struct operator_call_t {
    wb_operators_t *operators;
    wb_http_exchange_t *exchange;
    char *path;
    char *method;
    char *model;
    char *request;
} operator_call_t;

static void call_free(operator_call_t *call) {
    g_free(call->path);
    g_free(call->method);
    g_free(call->model);
    g_free(call->request);
    g_free(call);
}

static void reply_json(wb_http_exchange_t *exchange, unsigned status, json_t *body) {
    char *text = wb_json_dump(body);
    json_decref(body);
    wb_http_exchange_reply(exchange, status, "application/json", text, strlen(text));
    free(text);
}

static void reply_error(wb_http_exchange_t *exchange, unsigned status, const char *code,
                        const char *message) {
    reply_json(exchange, status,
               json_pack("{s:{s:s, s:s}}", "error", "code", code, "message", message));
}

static json_t *members_describe(wb_node_t *node) {
    json_t *members = json_array();
    g_autoptr(GPtrArray) list = wb_member_table_list(wb_membership_table(wb_node_membership(node)));
    for (guint i = 0; i < list->len; i++) {
        const wb_member_t *member = list->pdata[i];
        json_array_append_new(members, json_pack("{s:s, s:s, s:s, s:s, s:s}", "node", member->node,
                                                 "address", member->address, "callers",
                                                 member->client_address, "zone", member->zone,
                                                 "state", wb_member_state_name(member->state)));
    }
    return members;
}

static void status_show(operator_call_t *call) {
    wb_node_t *node = call->operators->node;
    wb_config_store_t *store = wb_node_config_store(node);
    reply_json(call->exchange, 200,
               json_pack("{s:s, s:b, s:I, s:i, s:o, s:o}", "node", wb_node_name(node), "ready",
                         wb_node_update_ready(node), "config_version",
                         (json_int_t)wb_config_store_current(store)->version, "open_requests",
                         wb_gateway_open_requests(wb_node_gateway(node)), "members", members_describe(node),
                         "cells", wb_cell_host_status(wb_node_cell_host(node))));
}

static void config_show(operator_call_t *call) {
    const wb_config_t *config =
        wb_config_store_current(wb_node_config_store(call->operators->node));
    reply_json(call->exchange, 200,
               json_pack("{s:I, s:O}", "version", (json_int_t)config->version, "objects",
                         config->objects));
}

static void apply_done(const wb_config_apply_result_t *result, void *context) {
    static const struct {
        unsigned http;
        const char *code;
    } answers[] = {
        [WB_CONFIG_ACCEPTED] = {200, "accepted"},       [WB_CONFIG_UNCHANGED] = {200, "unchanged"},
        [WB_CONFIG_CONFLICT] = {409, "conflict"},       [WB_CONFIG_INVALID] = {422, "invalid"},
        [WB_CONFIG_UNAVAILABLE] = {503, "unavailable"}, [WB_CONFIG_UNKNOWN] = {502, "unknown"}};
    wb_http_exchange_t *exchange = context;
    json_t *body = json_pack("{s:s, s:I}", "result", answers[result->status].code, "version",
                             (json_int_t)result->version);
    if (answers[result->status].http != 200) {
        json_object_set_new(body, "error",
                            json_pack("{s:s, s:s}", "code", answers[result->status].code, "message",
                                      result->error.message));
        json_object_set_new(body, "key", json_string(result->fault.key));
        json_object_set_new(body, "member", json_string(result->fault.member));
    }
    reply_json(exchange, answers[result->status].http, body);
}

static void config_apply(operator_call_t *call) {
    size_t length;
    const char *text = wb_http_exchange_body(call->exchange, &length);
    json_error_t failure;
    json_t *body = json_loadb(text, length, JSON_REJECT_DUPLICATES, &failure);
    if (!json_is_object(body)) {
        reply_error(call->exchange, 400, "invalid_json",
                    body == NULL ? failure.text : "the body must be an object");
        json_decref(body);
        return;
    }
    json_t *change = json_pack("{s:o, s:o, s:s}", "set", json_object(), "remove", json_array(),
                               "author", wb_json_text(body, "author", "unknown"));
    if (json_is_object(json_object_get(body, "set")))
        json_object_set(change, "set", json_object_get(body, "set"));
    if (json_is_array(json_object_get(body, "remove")))
        json_object_set(change, "remove", json_object_get(body, "remove"));
    wb_config_store_apply(wb_node_config_store(call->operators->node),
                          (uint64_t)wb_json_integer(body, "base_version", 0), change, apply_done,
                          call->exchange);
    json_decref(change);
    json_decref(body);
}

static void model_explain(operator_call_t *call) {
    wb_node_t *node = call->operators->node;
    const wb_config_t *config = wb_config_store_current(wb_node_config_store(node));
    const wb_adapter_t *adapter = wb_config_adapter(config, call->model);
    const wb_model_t *model =
        wb_config_model(config, adapter != NULL ? adapter->model : call->model);
    if (model == NULL) {
        reply_error(call->exchange, 404, "not_found", "no such model or adapter is declared");
        return;
    }
    const char *owner = wb_membership_owner(wb_node_membership(node), model->cell, NULL);
    json_t *decisions = wb_cell_host_explain(wb_node_cell_host(node), model->name);
    reply_json(call->exchange, 200,
               json_pack("{s:s, s:s, s:s, s:s, s:o, s:o?}", "node", wb_node_name(node), "model",
                         model->name, "cell", model->cell, "owner", owner != NULL ? owner : "",
                         "gateway", wb_gateway_explain(wb_node_gateway(node), model->name),
                         "decisions", decisions));
}

static void request_explain(operator_call_t *call) {
    json_t *found =
        wb_gateway_explain_request(wb_node_gateway(call->operators->node), call->request);
    if (found != NULL)
        reply_json(call->exchange, 200, found);
    else
        reply_error(call->exchange, 404, "not_found",
                    "this node does not remember such a request; ask the one that took it");
}

static void explain(operator_call_t *call) {
    if (call->model != NULL)
        model_explain(call);
    else if (call->request != NULL)
        request_explain(call);
    else
        reply_error(call->exchange, 400, "invalid_request", "ask for ?model= or ?request=");
}

static void drain(operator_call_t *call) {
    wb_node_drain(call->operators->node);
    reply_json(call->exchange, 202, json_pack("{s:s}", "result", "draining"));
}

static void ready_show(operator_call_t *call) {
    gboolean ready = wb_node_update_ready(call->operators->node);
    reply_json(call->exchange, ready ? 200 : 503, json_pack("{s:b}", "ready", ready));
}

static void health_show(operator_call_t *call) {
    reply_json(call->exchange, 200, json_pack("{s:b}", "alive", 1));
}

static void metrics_show(operator_call_t *call) {
    GString *text = wb_metrics_write(call->operators->node);
    wb_http_exchange_reply(call->exchange, 200, "text/plain; version=0.0.4", text->str, text->len);
    g_string_free(text, TRUE);
}

static void history_show(operator_call_t *call) {
    json_t *changes = wb_config_store_history(wb_node_config_store(call->operators->node));
    reply_json(call->exchange, 200, json_pack("{s:o}", "changes", changes));
}

static const struct {
    const char *method;
    const char *path;
    void (*answer)(operator_call_t *call);
} routes[] = {
    {"GET", "/healthz", health_show},
    {"GET", "/readyz", ready_show},
    {"GET", "/metrics", metrics_show},
    {"GET", "/operators/v1/status", status_show},
    {"GET", "/operators/v1/config", config_show},
    {"POST", "/operators/v1/config", config_apply},
    {"GET", "/operators/v1/history", history_show},
    {"GET", "/operators/v1/explain", explain},
    {"POST", "/operators/v1/drain", drain},
};

static void call_answer(void *context) {
    operator_call_t *call = context;
    gboolean path_known = FALSE;
    size_t i;
    for (i = 0; i < G_N_ELEMENTS(routes); i++) {
        if (strcmp(routes[i].path, call->path) != 0)
            continue;
        path_known = TRUE;
        if (strcmp(routes[i].method, call->method) == 0)
            break;
    }
    if (i < G_N_ELEMENTS(routes))
        routes[i].answer(call);
    else
        reply_error(call->exchange, path_known ? 405 : 404, "no_such_path", call->path);
    call_free(call);
}

void wb_operators_handle(wb_http_exchange_t *exchange, void *context) {
    operator_call_t *call = g_new0(operator_call_t, 1);
    call->operators = context;
    call->exchange = exchange;
    call->path = g_strdup(wb_http_exchange_path(exchange));
    call->method = g_strdup(wb_http_exchange_method(exchange));
    call->model = g_strdup(wb_http_exchange_query(exchange, "model"));
    call->request = g_strdup(wb_http_exchange_query(exchange, "request"));
    wb_loop_post(call->operators->loop, call_answer, call);
}
