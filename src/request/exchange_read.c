/* Reads a request's head: its route, service, model, prompt parts and deadline. */
#include "request/exchange_internal.h"
#include "request/stop_admission.h"

#include <string.h>

#define DEADLINE_MAX_MS (24 * 3600 * 1000LL)

/* Parses the prompt's parts, a comma-separated list of ID:TOKENS. Items without a colon are
 * ignored. */
static void parts_read(wb_exchange_t *exchange, const char *text) {
    g_auto(GStrv) words = g_strsplit(text, ",", -1);
    for (char **word = words; *word != NULL; word++) {
        char *colon = strchr(*word, ':');
        if (colon == NULL)
            continue;
        wb_prompt_part_t part = {g_strndup(*word, (gsize)(colon - *word)),
                                 g_ascii_strtoll(colon + 1, NULL, 10)};
        g_strstrip(part.id);
        exchange->prompt_tokens += part.tokens;
        g_array_append_val(exchange->parts, part);
    }
}

static void model_read(wb_exchange_t *exchange) {
    const wb_dialect_t *dialect = exchange->edge->dialect;
    const char *text = wb_http_head_get(exchange->head, dialect->model);
    if (text == NULL || *text == '\0')
        return;
    const char *slash = strchr(text, '/');
    size_t length = slash != NULL ? (size_t)(slash - text) : strlen(text);
    exchange->model = g_strndup(text, length);
    exchange->adapter = g_strdup(slash != NULL ? slash + 1 : "");
    const char *parts = wb_http_head_get(exchange->head, dialect->prompt_parts);
    if (parts != NULL)
        parts_read(exchange, parts);
    if (exchange->parts->len == 0)
        exchange->prompt_tokens =
            wb_http_head_get_integer(exchange->head, dialect->token_usage, exchange->body->len / 4);
}

/* Sets the expected tokens of the answer, from the client's hint and limit and the average of the
 * route. */
static void output_length_read(wb_exchange_t *exchange) {
    const wb_edge_t *edge = exchange->edge;
    const char *usage = wb_http_head_get(exchange->head, edge->dialect->token_usage);
    const char *comma = usage != NULL ? strchr(usage, ',') : NULL;
    double max_tokens = comma != NULL ? (double)g_ascii_strtoull(comma + 1, NULL, 10) : 0;
    double hint = (double)wb_http_head_get_integer(exchange->head, edge->dialect->length_hint, 0);
    exchange->out_tokens =
        (int64_t)wb_length_estimate_tokens(edge->lengths, exchange->route->name, hint, max_tokens);
}

static void deadline_read(wb_exchange_t *exchange) {
    int64_t deadline_ms = wb_http_head_get_integer(
        exchange->head, exchange->edge->dialect->deadline_ms, DEADLINE_MAX_MS);
    deadline_ms = CLAMP(deadline_ms, 1, DEADLINE_MAX_MS);
    exchange->deadline_ms = exchange->began_ms + deadline_ms;
    exchange->answer_due_ms = exchange->deadline_ms;
    int64_t timeout_ms = exchange->route->timeout_ms;
    if (timeout_ms > 0)
        exchange->answer_due_ms = MIN(exchange->answer_due_ms, exchange->began_ms + timeout_ms);
}

/* Adapters are named by a letter and a number from 1 to the model's number of adapters. */
static gboolean adapter_is_known(const wb_model_spec_t *spec, const char *adapter) {
    if (*adapter == '\0')
        return TRUE;
    if (!g_ascii_isalpha(*adapter) || !g_ascii_isdigit(adapter[1]))
        return FALSE;
    int64_t number = g_ascii_strtoll(adapter + 1, NULL, 10);
    return number >= 1 && number <= spec->adapters;
}

typedef gboolean (*stop_check_t)(const wb_stop_request_t *request, const wb_stop_time_t *time);

/* Whether a planned stop is under way, and the request can't end before it does. */
static gboolean stop_refuses(const wb_exchange_t *exchange, stop_check_t check, int64_t now_ms) {
    const wb_edge_t *edge = exchange->edge;
    const wb_route_t *route = exchange->route;
    if (edge->drain_began_ms == 0)
        return FALSE;
    wb_stop_request_t request = {
        .is_stream = route->kind == WB_ROUTE_STREAM,
        .may_run_again = route->kind == WB_ROUTE_REPEATABLE,
        .due_ms = exchange->answer_due_ms,
        .longest_ms = wb_route_times_longest(edge->route_times, route->name, now_ms)};
    wb_stop_time_t time = {edge->drain_began_ms, (int64_t)(edge->settings.stop_grace_s * 1000),
                           now_ms};
    return check(&request, &time);
}

gboolean wb_exchange_stop_refuses_run(const wb_exchange_t *exchange, int64_t now_ms) {
    return stop_refuses(exchange, wb_stop_refuses_run, now_ms);
}

gboolean wb_edge_catalog_is_confirmed(const wb_edge_t *edge) {
    if (edge->catalog_age_ms == NULL) {
        return TRUE;
    }
    return edge->catalog_age_ms(edge->node_context) <= edge->settings.catalog_ms &&
           edge->catalog_behind_ms(edge->node_context) == 0;
}

/* Returns the outcome of a request for something that the catalog doesn't have: a client doesn't
 * retry a 404, so it gets one only if the catalog is the newest. */
static wb_outcome_t missing_outcome(const wb_exchange_t *exchange, wb_outcome_t outcome) {
    return wb_edge_catalog_is_confirmed(exchange->edge) ? outcome : WB_OUTCOME_UNVERIFIED;
}

/* Finds the model and adapter. Returns WB_OUTCOME_COUNT, or why the request can't be served. */
static wb_outcome_t model_find(wb_exchange_t *exchange) {
    if (g_hash_table_size(exchange->service->models) == 0)
        return WB_OUTCOME_COUNT;
    model_read(exchange);
    if (exchange->model == NULL)
        return WB_OUTCOME_COUNT;
    const wb_model_spec_t *spec = g_hash_table_lookup(exchange->service->models, exchange->model);
    if (spec == NULL || !adapter_is_known(spec, exchange->adapter))
        return missing_outcome(exchange, WB_OUTCOME_UNKNOWN_MODEL);
    output_length_read(exchange);
    return WB_OUTCOME_COUNT;
}

/* Whether the request's model and adapter are declared for a service, too. */
static gboolean is_declared_for(const wb_exchange_t *exchange, const wb_service_t *service) {
    if (exchange->model == NULL) {
        gboolean has_models = g_hash_table_size(exchange->service->models) > 0;
        return has_models == (g_hash_table_size(service->models) > 0);
    }
    const wb_model_spec_t *spec = g_hash_table_lookup(service->models, exchange->model);
    return spec != NULL && adapter_is_known(spec, exchange->adapter);
}

gboolean wb_exchange_change_service(wb_exchange_t *exchange, const char *name) {
    const wb_service_t *service = wb_catalog_service(exchange->catalog, name);
    if (service == exchange->service)
        return TRUE;
    if (service == NULL || !wb_route_leads_to(exchange->route, name) ||
        !is_declared_for(exchange, service))
        return FALSE;
    exchange->service = service;
    return TRUE;
}

wb_outcome_t wb_exchange_read(wb_exchange_t *exchange) {
    wb_edge_t *edge = exchange->edge;
    if (edge->catalog == NULL)
        return WB_OUTCOME_NO_CATALOG;
    const char *host = wb_http_head_get(exchange->head, "Host");
    if (host == NULL || exchange->head->target[0] != '/')
        return WB_OUTCOME_BAD_REQUEST;
    exchange->catalog = wb_catalog_ref(edge->catalog);
    wb_route_t *route = wb_catalog_route(edge->catalog, host, exchange->head->target);
    if (route == NULL)
        return missing_outcome(exchange, WB_OUTCOME_NO_ROUTE);
    exchange->route = route;
    deadline_read(exchange);
    wb_outcome_t outcome = wb_exchange_read_tenant(exchange);
    if (outcome != WB_OUTCOME_COUNT)
        return outcome;
    if (stop_refuses(exchange, wb_stop_refuses_arrival, wb_clock_ms()))
        return WB_OUTCOME_STOPPING;
    const char *service = wb_route_pick_service(route);
    exchange->service = service != NULL ? wb_catalog_service(edge->catalog, service) : NULL;
    if (exchange->service == NULL)
        return WB_OUTCOME_NO_ENGINE;
    if (!wb_balancer_has_allowed_engine(edge, exchange))
        return WB_OUTCOME_NO_ENGINE;
    outcome = model_find(exchange);
    if (outcome != WB_OUTCOME_COUNT)
        return outcome;
    return wb_exchange_charge_quota(exchange);
}

unsigned wb_outcome_status(wb_outcome_t outcome) {
    switch (outcome) {
    case WB_OUTCOME_BAD_REQUEST:
        return 400;
    case WB_OUTCOME_BAD_KEY:
        return 401;
    case WB_OUTCOME_OVER_QUOTA:
        return 429;
    case WB_OUTCOME_NO_ROUTE:
    case WB_OUTCOME_UNKNOWN_MODEL:
        return 404;
    default:
        return 503;
    }
}
