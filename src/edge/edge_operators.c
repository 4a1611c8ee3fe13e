/* Serves the operators' HTTP API (status, routes, models, tenants, poison requests, explanations,
 * planned stop) and metrics.
 * Responses are JSON, errors {"error":{"message":...}}; metrics are in the Prometheus text format.
 * Keys of the responses are read by wickctl. */
#include "edge/edge_node_types.h"

#include "control/placement.h"

#include "wickbridge/json.h"

#include <stdlib.h>
#include <string.h>

#define BYTES_PER_MB 1000000.0

static void json_respond(wb_http_connection_t *connection, unsigned status, json_t *body) {
    char *text = wb_json_dump(body);
    wb_http_connection_reply(connection, status, wb_http_status_reason(status),
                             "Content-Type: application/json\r\n", text, strlen(text));
    free(text);
    json_decref(body);
}

static void error_respond(wb_http_connection_t *connection, unsigned status, const char *message) {
    json_respond(connection, status, json_pack("{s:{s:s}}", "error", "message", message));
}

static unsigned nodes_with_other_format(const wb_edge_node_t *node) {
    unsigned count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, node->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += ((const wb_node_row_t *)value)->format_version != WB_WIRE_FORMAT_VERSION;
    }
    return count;
}

static void metrics_show(wb_edge_node_t *node, wb_http_connection_t *connection,
                         const char *query) {
    (void)query;
    wb_edge_t *edge = &node->edge;
    edge->metrics.client_connections = wb_http_listener_counts(node->client_listener);
    wb_edge_gauges_t gauges = {
        .catalog_version = edge->catalog != NULL ? edge->catalog->version : 0,
        .catalog_age_ms = wb_table_watch_age_ms(node->catalog_watch),
        .catalog_behind_ms = wb_edge_node_catalog_behind_ms(node),
        .store_era = node->store_era,
        .store_rows_ignored = wb_table_watch_ignored_rows(node->catalog_watch) +
                              wb_table_watch_ignored_rows(node->engines_watch) +
                              wb_table_watch_ignored_rows(node->nodes_watch),
        .engines_age_ms = wb_table_watch_age_ms(node->engines_watch),
        .engines = g_hash_table_size(wb_fleet_all(edge->fleet)),
        .open_requests = g_hash_table_size(edge->open),
        .waiting_requests = edge->waiting.len,
        .nodes = edge->node_count,
        .share_nodes = node->share_nodes,
        .nodes_of_other_forms = nodes_with_other_format(node),
        .evacuated_zones = wb_fleet_evacuated_zones(edge->fleet),
        .engines_cut = wb_reach_summary_count(edge->reach, WB_REACH_BY_PEER, wb_clock_ms()),
        .is_isolated = edge->isolated_since_ms != 0,
        .open_tunnels =
            node->tunnel_server != NULL ? wb_tunnel_server_count(node->tunnel_server) : 0,
        .suspected_requests = wb_poison_registry_count(edge->poison, WB_POISON_SUSPECT),
        .poison_parts = wb_part_registry_refused_count(edge->parts, wb_clock_ms()),
        .poison_requests = wb_poison_registry_count(edge->poison, WB_POISON_REFUSED),
        .holds_lease = node->lease_held,
        .lease_token = wb_lease_token(node->lease),
        .log_lines_dropped = wb_event_log_dropped(),
    };
    g_autoptr(GString) text = g_string_new(NULL);
    wb_edge_metrics_write(&edge->metrics, &gauges, text);
    wb_http_connection_reply(connection, 200, "OK", "Content-Type: text/plain; version=0.0.4\r\n",
                             text->str, text->len);
}

static json_t *lease_json(const wb_edge_node_t *node) {
    const wb_lease_row_t *known = wb_lease_known_row(node->lease);
    if (known == NULL)
        return json_null();
    return json_pack("{s:s, s:s, s:I, s:b, s:b}", "holder", known->holder, "address",
                     known->address, "token", (json_int_t)known->token, "released", known->released,
                     "here", node->lease_held);
}

static void status_show(wb_edge_node_t *node, wb_http_connection_t *connection, const char *query) {
    (void)query;
    const wb_edge_t *edge = &node->edge;
    json_t *members = json_array();
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, node->nodes);
    while (g_hash_table_iter_next(&iter, &id, NULL))
        json_array_append_new(members, json_pack("{s:s, s:s}", "node", id, "state", "known"));
    json_respond(
        connection, 200,
        json_pack("{s:s, s:b, s:I, s:i, s:i, s:i, s:o, s:o, s:I, s:I}", "node", edge->settings.id,
                  "ready", wb_edge_node_is_ready(node), "config_version",
                  (json_int_t)(edge->catalog != NULL ? edge->catalog->version : 0), "open_requests",
                  (int)g_hash_table_size(edge->open), "waiting_requests", (int)edge->waiting.len,
                  "engines", (int)g_hash_table_size(wb_fleet_all(edge->fleet)), "members", members,
                  "lease", lease_json(node), "catalog_age_ms",
                  (json_int_t)wb_table_watch_age_ms(node->catalog_watch), "engines_age_ms",
                  (json_int_t)wb_table_watch_age_ms(node->engines_watch)));
}

static json_t *route_json(const wb_route_t *route) {
    static const char *const kinds[] = {"repeatable", "once", "stream"};
    json_t *parts = json_array();
    for (guint i = 0; i < route->parts->len; i++) {
        const wb_route_target_t *part = &g_array_index(route->parts, wb_route_target_t, i);
        json_array_append_new(
            parts, json_pack("{s:s, s:f}", "service", part->service, "weight", part->weight));
    }
    return json_pack("{s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:i, s:i, s:o}", "name", route->name,
                     "host", route->host, "path_prefix", route->path_prefix, "kind",
                     kinds[route->kind], "resumable", route->resumable, "timeout_ms",
                     (json_int_t)route->timeout_ms, "target_latency_ms",
                     (json_int_t)route->target_latency_ms, "max_attempts", route->max_attempts,
                     "rank", route->rank, "parts", parts);
}

static void routes_show(wb_edge_node_t *node, wb_http_connection_t *connection, const char *query) {
    (void)query;
    json_t *routes = json_array();
    GHashTableIter iter;
    gpointer of_host;
    if (node->edge.catalog == NULL) {
        json_decref(routes);
        error_respond(connection, 503, "no configuration is known yet");
        return;
    }
    g_hash_table_iter_init(&iter, node->edge.catalog->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &of_host))
        for (guint i = 0; i < ((GPtrArray *)of_host)->len; i++)
            json_array_append_new(routes, route_json(g_ptr_array_index((GPtrArray *)of_host, i)));
    json_respond(connection, 200, json_pack("{s:o}", "routes", routes));
}

/* Engines that hold a model, in the state by which this node would choose one. */
static json_t *replicas_json(const wb_edge_t *edge, const char *service, const char *model) {
    json_t *replicas = json_array();
    const GPtrArray *engines = wb_fleet_service(edge->fleet, service);
    int64_t now_ms = wb_clock_ms();
    for (guint i = 0; engines != NULL && i < engines->len; i++) {
        const wb_engine_t *engine = g_ptr_array_index(engines, i);
        if (!wb_engine_holds(engine, model, "", now_ms))
            continue;
        json_array_append_new(replicas, json_pack("{s:s, s:s, s:i, s:f, s:b, s:b, s:b}", "engine",
                                                  engine->state->id, "zone", engine->state->zone,
                                                  "running", (int)engine->running, "window",
                                                  (double)engine->state->slots, "leaving",
                                                  engine->draining_since_ms != 0, "evacuated",
                                                  engine->evacuated_from_ms != 0, "avoided",
                                                  now_ms < engine->avoid_until_ms));
    }
    return replicas;
}

static void models_show(wb_edge_node_t *node, wb_http_connection_t *connection, const char *query) {
    (void)query;
    json_t *models = json_array();
    GHashTableIter services;
    gpointer service;
    if (node->edge.catalog == NULL) {
        json_decref(models);
        error_respond(connection, 503, "no configuration is known yet");
        return;
    }
    g_hash_table_iter_init(&services, node->edge.catalog->services);
    while (g_hash_table_iter_next(&services, NULL, &service)) {
        GHashTableIter specs;
        gpointer spec;
        g_hash_table_iter_init(&specs, ((wb_service_t *)service)->models);
        while (g_hash_table_iter_next(&specs, NULL, &spec)) {
            const char *name = ((wb_model_spec_t *)spec)->name;
            json_array_append_new(
                models,
                json_pack("{s:s, s:s, s:o}", "model", name, "service",
                          ((wb_service_t *)service)->name, "replicas",
                          replicas_json(&node->edge, ((wb_service_t *)service)->name, name)));
        }
    }
    json_respond(connection, 200, json_pack("{s:o}", "models", models));
}

/* A tenant's limit; the usage over all nodes is known to the aggregator only. */
static json_t *tenant_json(const wb_edge_node_t *node, const wb_tenant_t *tenant) {
    json_t *json =
        json_pack("{s:s, s:i, s:s, s:f, s:f}", "tenant", tenant->name, "rank", tenant->rank, "unit",
                  tenant->unit == WB_QUOTA_TOKENS ? "tokens" : "requests", "limit_per_s",
                  tenant->rate_per_s, "burst", tenant->burst);
    wb_quota_state_t state;
    if (node->quota_token == 0 ||
        !wb_quota_ledger_state(node->own_quota_ledger, tenant->name, wb_clock_ms(), &state))
        return json;
    json_object_set_new(json, "use",
                        json_pack("{s:f, s:f, s:f, s:f, s:f}", "asked_per_s", state.asked_per_s,
                                  "admitted_per_s", state.admitted_per_s, "assumed_per_s",
                                  state.assumed_per_s, "left", state.level, "share", state.share));
    return json;
}

static void tenants_show(wb_edge_node_t *node, wb_http_connection_t *connection,
                         const char *query) {
    (void)query;
    json_t *tenants = json_array();
    const wb_catalog_t *catalog = node->edge.catalog;
    if (catalog == NULL || catalog->tenants == NULL) {
        json_decref(tenants);
        error_respond(connection, 404, "the configuration that is in force has no tenants");
        return;
    }
    GHashTableIter iter;
    gpointer tenant;
    g_hash_table_iter_init(&iter, wb_tenants_all(catalog->tenants));
    while (g_hash_table_iter_next(&iter, NULL, &tenant))
        json_array_append_new(tenants, tenant_json(node, tenant));
    json_respond(connection, 200, json_pack("{s:o}", "tenants", tenants));
}

/* @param kind "request", or "part" of a prompt */
static json_t *poison_json(const wb_poison_entry_t *entry, const char *kind,
                           wb_poison_state_t state) {
    static const char *const states[] = {"forgiven", "suspected", "refused"};
    char digest[WB_REQUEST_DIGEST_TEXT_BYTES];
    return json_pack("{s:s, s:s, s:s, s:i, s:I, s:I}", "digest",
                     wb_request_digest_format(&entry->digest, digest), "kind", kind, "state",
                     states[state], "engines", (int)wb_poison_entry_engines(entry), "body_bytes",
                     (json_int_t)entry->body_bytes, "left_ms",
                     (json_int_t)MAX(entry->until_ms - wb_clock_ms(), 0));
}

/* Poison and suspected requests and parts of prompts that this node knows, newest first. Parts that
 * other parts explain are left out. */
static void poison_show(wb_edge_node_t *node, wb_http_connection_t *connection, const char *query) {
    (void)query;
    const wb_edge_t *edge = &node->edge;
    json_t *requests = json_array();
    WB_LIST_EACH(item, wb_poison_registry_entries(edge->poison)) {
        const wb_poison_entry_t *entry = WB_LIST_OF(item, wb_poison_entry_t, item);
        json_array_append_new(requests,
                              poison_json(entry, "request", wb_poison_entry_state(entry)));
    }
    WB_LIST_EACH(item, wb_poison_registry_entries(wb_part_registry_crashes(edge->parts))) {
        const wb_poison_entry_t *entry = WB_LIST_OF(item, wb_poison_entry_t, item);
        wb_poison_state_t state =
            wb_part_registry_state(edge->parts, &entry->digest, wb_clock_ms());
        if (state != WB_POISON_NONE) {
            json_array_append_new(requests, poison_json(entry, "part", state));
        }
    }
    json_respond(connection, 200, json_pack("{s:o}", "requests", requests));
}

/* Clears the crashes of a request or a part on behalf of an operator, for example after a fix of
 * the engines. */
static void poison_clear(wb_edge_node_t *node, wb_http_connection_t *connection,
                         const char *query) {
    static const char member[] = "digest=";
    wb_request_digest_t digest;
    if (!g_str_has_prefix(query, member) ||
        !wb_request_digest_parse(query + strlen(member), &digest)) {
        error_respond(connection, 400, "say ?digest= and 32 hexadecimal digits");
        return;
    }
    wb_poison_registry_t *parts = wb_part_registry_crashes(node->edge.parts);
    if (!wb_poison_registry_clear_crashes(node->edge.poison, &digest) &&
        !wb_poison_registry_clear_crashes(parts, &digest)) {
        error_respond(connection, 404, "nothing is held against this request or part here");
        return;
    }
    wb_event("request-forgiven",
             ",\"id\":\"\",\"digest\":\"%s\",\"engine\":\"\",\"status\":0,\"by\":\"operator\"",
             query + strlen(member));
    wb_edge_node_poison_changed(node);
    json_respond(connection, 200, json_pack("{s:b}", "forgiven", 1));
}

static const wb_service_t *service_of_model(const wb_edge_t *edge, const char *model) {
    GHashTableIter iter;
    gpointer service;
    if (edge->catalog == NULL)
        return NULL;
    g_hash_table_iter_init(&iter, edge->catalog->services);
    while (g_hash_table_iter_next(&iter, NULL, &service))
        if (g_hash_table_contains(((wb_service_t *)service)->models, model))
            return service;
    return NULL;
}

static void requests_count(const wb_edge_t *edge, const char *model, int *waiting, int *running) {
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, edge->open);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const wb_exchange_t *exchange = key;
        if (exchange->model == NULL || strcmp(exchange->model, model) != 0)
            continue;
        *waiting += wb_list_is_linked(&exchange->waiting);
        *running += exchange->attempt != NULL;
    }
}

/* The controller's view of a model and its candidates; only at the lease holder. */
static json_t *decisions_json(wb_edge_node_t *node, const wb_service_t *service,
                              const char *model) {
    const wb_model_use_t *use = wb_controller_model_use(node->controller, service->name, model);
    const wb_model_spec_t *spec = g_hash_table_lookup(service->models, model);
    json_t *engines = json_array();
    const GPtrArray *fleet = wb_fleet_service(node->edge.fleet, service->name);
    for (guint i = 0; fleet != NULL && i < fleet->len; i++) {
        const wb_engine_t *engine = g_ptr_array_index(fleet, i);
        double free_mb = service->weights_mb - wb_placement_used_mb(service, engine->state);
        gboolean held = g_hash_table_contains(engine->state->models, model);
        json_array_append_new(engines,
                              json_pack("{s:s, s:s, s:b, s:s, s:I, s:b}", "engine",
                                        engine->state->id, "machine", engine->state->address,
                                        "slot", held, "model", held ? "loaded" : "not loaded",
                                        "free_bytes", (json_int_t)(free_mb * BYTES_PER_MB),
                                        "usable", wb_engine_is_available(engine)));
    }
    return json_pack(
        "{s:i, s:i, s:i, s:f, s:I, s:o}", "slots", use != NULL ? (int)use->replicas : 0, "waiting",
        use != NULL ? (int)use->waiting : 0, "running", use != NULL ? (int)use->running : 0,
        "rate_per_s", use != NULL ? use->rate_per_s : 0.0, "wake_estimate_ms",
        (json_int_t)spec->store_load_ms, "engines", engines);
}

static void model_explain(wb_edge_node_t *node, wb_http_connection_t *connection,
                          const char *model) {
    const wb_edge_t *edge = &node->edge;
    const wb_service_t *service = service_of_model(edge, model);
    if (service == NULL) {
        error_respond(connection, 404, "no service of the configuration has this model");
        return;
    }
    const wb_lease_row_t *lease = wb_lease_known_row(node->lease);
    json_t *replicas = replicas_json(edge, service->name, model);
    int waiting = 0;
    int running = 0;
    requests_count(edge, model, &waiting, &running);
    const char *state = json_array_size(replicas) > 0 ? "loaded" : "not loaded";
    json_t *gateway = json_pack("[{s:s, s:s, s:i, s:i, s:o}]", "route", state, "reason", "",
                                "waiting", waiting, "running", running, "replicas", replicas);
    json_t *body = json_pack("{s:s, s:s, s:s, s:s, s:o}", "node", edge->settings.id, "model", model,
                             "cell", service->name, "owner", lease != NULL ? lease->holder : "none",
                             "gateway", gateway);
    if (node->lease_held)
        json_object_set_new(body, "decisions", decisions_json(node, service, model));
    json_respond(connection, 200, body);
}

static void request_explain(wb_edge_node_t *node, wb_http_connection_t *connection,
                            const char *id) {
    const wb_edge_t *edge = &node->edge;
    for (unsigned i = 1; i <= MIN(edge->ended_next, WB_ENDED_REQUESTS); i++) {
        const wb_ended_request_t *ended = &edge->ended[(edge->ended_next - i) % WB_ENDED_REQUESTS];
        if (strcmp(ended->id, id) != 0)
            continue;
        g_autofree char *why =
            g_strdup_printf("status %u on route %s, %u runs, waited %lld ms", ended->status,
                            ended->route, ended->runs, (long long)ended->waited_ms);
        json_respond(connection, 200,
                     json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:i, s:s, s:s}", "request",
                               ended->id, "model", ended->model, "adapter", ended->adapter, "owner",
                               "-", "outcome", ended->ending, "took_ms", (json_int_t)ended->took_ms,
                               "attempts", (int)ended->sends, "engine",
                               *ended->engine != '\0' ? ended->engine : "none", "why", why));
        return;
    }
    error_respond(connection, 404, "this node doesn't remember such a request; see its log");
}

static void explanation_show(wb_edge_node_t *node, wb_http_connection_t *connection,
                             const char *query) {
    g_auto(GStrv) words = g_strsplit(query, "=", 2);
    g_autofree char *name =
        words[0] != NULL && words[1] != NULL ? g_uri_unescape_string(words[1], NULL) : NULL;
    if (name != NULL && strcmp(words[0], "model") == 0)
        model_explain(node, connection, name);
    else if (name != NULL && strcmp(words[0], "request") == 0)
        request_explain(node, connection, name);
    else
        error_respond(connection, 400, "say ?model=NAME or ?request=ID");
}

static void drain_begin(wb_edge_node_t *node, wb_http_connection_t *connection, const char *query) {
    (void)query;
    wb_edge_node_drain(node);
    json_respond(connection, 200, json_pack("{s:b}", "draining", 1));
}

typedef struct wb_operators_call_t {
    const char *method;
    const char *path;
    void (*run)(wb_edge_node_t *node, wb_http_connection_t *connection, const char *query);
} wb_operators_call_t;

static const wb_operators_call_t calls[] = {
    {"GET", "/metrics", metrics_show},
    {"GET", "/operators/v1/status", status_show},
    {"GET", "/operators/v1/routes", routes_show},
    {"GET", "/operators/v1/models", models_show},
    {"GET", "/operators/v1/tenants", tenants_show},
    {"GET", "/operators/v1/poison", poison_show},
    {"POST", "/operators/v1/poison/forgive", poison_clear},
    {"GET", "/operators/v1/explain", explanation_show},
    {"POST", "/operators/v1/drain", drain_begin},
};

void wb_edge_operators_request(wb_http_connection_t *connection, wb_http_head_t *head,
                               GByteArray *body, void *context) {
    wb_edge_node_t *node = context;
    size_t length = strcspn(head->target, "?");
    const char *query = head->target[length] == '?' ? head->target + length + 1 : "";
    const wb_operators_call_t *call = NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(calls); i++)
        if (strcmp(calls[i].method, head->method) == 0 && strlen(calls[i].path) == length &&
            strncmp(calls[i].path, head->target, length) == 0)
            call = &calls[i];
    if (call != NULL)
        call->run(node, connection, query);
    else
        error_respond(connection, 404, "there is no such call");
    wb_http_head_free(head);
    g_byte_array_unref(body);
}
