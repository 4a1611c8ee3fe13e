/* The node commands: status, drain, explain, and the lists routes, models, tenants and poison. */
#include "ctl.h"

#include "wickbridge/json.h"

#include <stdio.h>
#include <string.h>

static void status_print(const json_t *status) {
    size_t index;
    json_t *entry;
    printf("node %s: %s, configuration %lld, %lld open requests\n",
           wb_json_text(status, "node", "?"),
           wb_json_boolean(status, "ready", 0) ? "ready" : "not ready",
           (long long)wb_json_integer(status, "config_version", 0),
           (long long)wb_json_integer(status, "open_requests", 0));
    json_array_foreach(json_object_get(status, "members"), index, entry)
        printf("  member %-40s %-8s zone %-10s callers %s\n", wb_json_text(entry, "node", "?"),
               wb_json_text(entry, "state", "?"), wb_json_text(entry, "zone", "?"),
               wb_json_text(entry, "callers", "?"));
    json_array_foreach(json_object_get(status, "cells"), index, entry)
        printf("  cell   %-40s owner %s, epoch %lld\n", wb_json_text(entry, "cell", "?"),
               wb_json_text(entry, "owner", "none"), (long long)wb_json_integer(entry, "epoch", 0));
}

static void lease_print(const json_t *lease) {
    if (json_is_object(lease))
        printf("  lease  %-40s token %lld%s%s\n", wb_json_text(lease, "holder", "?"),
               (long long)wb_json_integer(lease, "token", 0),
               wb_json_boolean(lease, "released", 0) ? ", released" : "",
               wb_json_boolean(lease, "here", 0) ? ", held by this node" : "");
}

int ctl_status(const ctl_options_t *options) {
    ctl_response_t answer = {0};
    wb_error_t error;
    if (ctl_request(options, "GET", "/operators/v1/status", NULL, &answer, &error) != APR_SUCCESS)
        return ctl_print_error(error.message);
    if (options->json) {
        ctl_print_json(answer.body);
    } else {
        status_print(answer.body);
        lease_print(json_object_get(answer.body, "lease"));
    }
    gboolean ready = wb_json_boolean(answer.body, "ready", 0);
    ctl_response_clear(&answer);
    return ready ? CTL_OK : CTL_FAILED;
}

int ctl_drain(const ctl_options_t *options) {
    ctl_response_t answer = {0};
    wb_error_t error;
    if (options->nodes[0] == NULL || options->nodes[1] != NULL) {
        ctl_print_error("drain takes exactly one --node");
        return CTL_USAGE;
    }
    if (ctl_request(options, "POST", "/operators/v1/drain", NULL, &answer, &error) != APR_SUCCESS)
        return ctl_print_error(error.message);
    if (options->json)
        ctl_print_json(answer.body);
    else
        printf("%s drains: it refuses new requests, finishes what is open and hands its cells "
               "over\n",
               options->nodes[0]);
    ctl_response_clear(&answer);
    return CTL_OK;
}

static void decisions_print(const json_t *decisions) {
    size_t index;
    json_t *engine;
    printf("  decisions of the owner: %lld slots, %lld waiting, %lld running, idle for %lld ms, "
           "a wake takes about %lld ms\n",
           (long long)wb_json_integer(decisions, "slots", 0),
           (long long)wb_json_integer(decisions, "waiting", 0),
           (long long)wb_json_integer(decisions, "running", 0),
           (long long)wb_json_integer(decisions, "idle_ms", 0),
           (long long)wb_json_integer(decisions, "wake_estimate_ms", 0));
    json_array_foreach(json_object_get(decisions, "engines"), index, engine) printf(
        "    engine %-12s %-8s %s, %s, %lld MiB free%s%s%s\n", wb_json_text(engine, "engine", "?"),
        wb_json_text(engine, "machine", "?"),
        wb_json_boolean(engine, "slot", 0) ? "slot" : "no slot", wb_json_text(engine, "model", "?"),
        (long long)(wb_json_integer(engine, "free_bytes", 0) / WB_MIB),
        wb_json_boolean(engine, "usable", 0) ? "" : ", not usable",
        *wb_json_text(engine, "retiring", "") ? ", retiring: " : "",
        wb_json_text(engine, "retiring", ""));
}

static void gateway_print(const json_t *body) {
    size_t index, inner;
    json_t *target, *replica;
    json_array_foreach(json_object_get(body, "gateway"), index, target) {
        printf("  at %s: route %s%s%s, %lld waiting, %lld running\n",
               wb_json_text(body, "node", "?"), wb_json_text(target, "route", "?"),
               *wb_json_text(target, "reason", "") ? ": " : "", wb_json_text(target, "reason", ""),
               (long long)wb_json_integer(target, "waiting", 0),
               (long long)wb_json_integer(target, "running", 0));
        json_array_foreach(json_object_get(target, "replicas"), inner, replica) printf(
            "    replica on %s: %lld running of %.0f\n", wb_json_text(replica, "engine", "?"),
            (long long)wb_json_integer(replica, "running", 0),
            json_number_value(json_object_get(replica, "window")));
    }
}

static void model_print(const json_t *body) {
    const json_t *decisions = json_object_get(body, "decisions");
    printf("model %s, cell %s, owner %s\n", wb_json_text(body, "model", "?"),
           wb_json_text(body, "cell", "?"), wb_json_text(body, "owner", "none"));
    gateway_print(body);
    if (json_is_object(decisions))
        decisions_print(decisions);
}

static void request_print(const json_t *body) {
    printf("request %s for %s%s%s of owner %s: %s after %lld ms, %lld tries, engine %s\n  %s\n",
           wb_json_text(body, "request", "?"), wb_json_text(body, "model", "?"),
           *wb_json_text(body, "adapter", "") ? "+" : "", wb_json_text(body, "adapter", ""),
           wb_json_text(body, "owner", "?"), wb_json_text(body, "outcome", "?"),
           (long long)wb_json_integer(body, "took_ms", 0),
           (long long)wb_json_integer(body, "attempts", 0), wb_json_text(body, "engine", "none"),
           *wb_json_text(body, "why", "") ? wb_json_text(body, "why", "") : "it ran at once");
}

/* Queries all given nodes: each knows its own requests, and a cell's owner knows the decisions. */
int ctl_explain(const ctl_options_t *options) {
    const char *subject = options->arguments[0];
    const char *name = options->arguments[1];
    gboolean is_model = subject != NULL && strcmp(subject, "model") == 0;
    if (name == NULL || (!is_model && strcmp(subject, "request") != 0)) {
        ctl_print_error("say 'explain model NAME' or 'explain request ID'");
        return CTL_USAGE;
    }
    g_autofree char *escaped = g_uri_escape_string(name, NULL, FALSE);
    g_autofree char *path = g_strdup_printf("/operators/v1/explain?%s=%s", subject, escaped);
    json_t *found = json_array();
    wb_error_t error = {0};
    for (char **node = options->nodes; *node != NULL; node++) {
        ctl_response_t answer = {0};
        if (ctl_request_node(options, *node, "GET", path, NULL, &answer, &error) == APR_SUCCESS &&
            answer.status == 200)
            json_array_append(found, answer.body);
        else if (answer.body != NULL)
            wb_error_set(&error, APR_EGENERAL, "%s",
                         wb_json_text(json_object_get(answer.body, "error"), "message", "?"));
        ctl_response_clear(&answer);
    }
    size_t index, count = json_array_size(found);
    json_t *entry;
    if (options->json)
        ctl_print_json(found);
    else
        json_array_foreach(found, index, entry) {
            if (is_model)
                model_print(entry);
            else
                request_print(entry);
        }
    json_decref(found);
    return count > 0 ? CTL_OK : ctl_print_error(error.message);
}

static void route_print(const json_t *route) {
    size_t index;
    json_t *part;
    printf("%-12s %s%s %s, %lld ms at most, target %lld ms, %lld engines at most:",
           wb_json_text(route, "name", "?"), wb_json_text(route, "host", "?"),
           wb_json_text(route, "path_prefix", "?"), wb_json_text(route, "kind", "?"),
           (long long)wb_json_integer(route, "timeout_ms", 0),
           (long long)wb_json_integer(route, "target_latency_ms", 0),
           (long long)wb_json_integer(route, "max_attempts", 0));
    json_array_foreach(json_object_get(route, "parts"), index, part)
        printf(" %s %g", wb_json_text(part, "service", "?"),
               json_number_value(json_object_get(part, "weight")));
    printf("\n");
}

static void loaded_print(const json_t *model) {
    size_t index;
    json_t *replica;
    printf("%-20s %-12s", wb_json_text(model, "model", "?"), wb_json_text(model, "service", "?"));
    json_array_foreach(json_object_get(model, "replicas"), index, replica)
        printf(" %s%s", wb_json_text(replica, "engine", "?"),
               wb_json_boolean(replica, "leaving", 0) ? " (leaving)" : "");
    printf("\n");
}

static double get_number(const json_t *object, const char *name) {
    return json_number_value(json_object_get(object, name));
}

static void tenant_print(const json_t *tenant) {
    const char *unit = wb_json_text(tenant, "unit", "?");
    const json_t *usage = json_object_get(tenant, "use");
    double limit = get_number(tenant, "limit_per_s");
    printf("%-20s rank %lld", wb_json_text(tenant, "tenant", "?"),
           (long long)wb_json_integer(tenant, "rank", -1));
    if (limit > 0)
        printf(", %.0f %s a second, burst %.0f", limit, unit, get_number(tenant, "burst"));
    else
        printf(", no limit");
    if (usage != NULL)
        printf("; asks for %.0f a second, gets %.0f, %.0f left%s", get_number(usage, "asked_per_s"),
               get_number(usage, "admitted_per_s"), get_number(usage, "left"),
               get_number(usage, "share") < 1 ? ", short" : "");
    printf("\n");
}

/* Prints the list at a member of a node's response. */
static int list_show(const ctl_options_t *options, const char *path, const char *list,
                     void (*print)(const json_t *entry)) {
    ctl_response_t answer = {0};
    wb_error_t error;
    if (ctl_request(options, "GET", path, NULL, &answer, &error) != APR_SUCCESS)
        return ctl_print_error(error.message);
    size_t index;
    json_t *entry;
    if (options->json)
        ctl_print_json(answer.body);
    else
        json_array_foreach(json_object_get(answer.body, list), index, entry) print(entry);
    ctl_response_clear(&answer);
    return CTL_OK;
}

int ctl_routes(const ctl_options_t *options) {
    return list_show(options, "/operators/v1/routes", "routes", route_print);
}

int ctl_tenants(const ctl_options_t *options) {
    return list_show(options, "/operators/v1/tenants", "tenants", tenant_print);
}

static void poison_print(const json_t *request) {
    gboolean is_part = strcmp(wb_json_text(request, "kind", "request"), "part") == 0;
    g_autofree char *what =
        is_part ? g_strdup("part of prompts")
                : g_strdup_printf("body of %lld bytes",
                                  (long long)wb_json_integer(request, "body_bytes", 0));
    printf("%s %-9s %lld engines ended under it, %s, for %lld s more\n",
           wb_json_text(request, "digest", "?"), wb_json_text(request, "state", "?"),
           (long long)wb_json_integer(request, "engines", 0), what,
           (long long)wb_json_integer(request, "left_ms", 0) / 1000);
}

/* Clears the record of a request, or a part of prompts, that crashed engines, so that it is served
 * again. */
static int poison_forgive(const ctl_options_t *options, const char *digest) {
    g_autofree char *escaped = g_uri_escape_string(digest, NULL, FALSE);
    g_autofree char *path = g_strconcat("/operators/v1/poison/forgive?digest=", escaped, NULL);
    ctl_response_t answer = {0};
    wb_error_t error;
    if (ctl_request(options, "POST", path, NULL, &answer, &error) != APR_SUCCESS)
        return ctl_print_error(error.message);
    if (options->json)
        ctl_print_json(answer.body);
    else
        printf("%s is served again by all nodes that this one reaches\n", digest);
    ctl_response_clear(&answer);
    return CTL_OK;
}

int ctl_poison(const ctl_options_t *options) {
    if (options->argument_count == 0)
        return list_show(options, "/operators/v1/poison", "requests", poison_print);
    if (options->argument_count == 2 && strcmp(options->arguments[0], "forgive") == 0)
        return poison_forgive(options, options->arguments[1]);
    ctl_print_error("say: poison, or: poison forgive DIGEST");
    return CTL_USAGE;
}

int ctl_models(const ctl_options_t *options) {
    return list_show(options, "/operators/v1/models", "models", loaded_print);
}
