/* Rows of the tables that operators and nodes write, and the store's answers, all untrusted. */
#include "targets.h"

#include "../../platform/platform.h"
#include "../../platform/store_answer.h"
#include "edge/edge_node_types.h"

#include "wickbridge/json.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MAX_NUMBER G_MAXINT
#define ERA 3
#define READ_MS 1000
#define TAKEOVER_MAX_MS 20000
#define STEP_MS 100
#define TOKEN_MAX (UINT64_C(1) << 53) /* orders name tokens in JSON */

static gboolean in_range(int64_t value) {
    return value >= 0 && value <= MAX_NUMBER;
}

static void routes_check(gpointer host, gpointer value, gpointer context) {
    const GPtrArray *routes = value;
    (void)host;
    (void)context;
    for (guint i = 0; i < routes->len; i++) {
        const wb_route_t *route = g_ptr_array_index(routes, i);
        if (!in_range(route->timeout_ms) || !in_range(route->target_latency_ms) ||
            !in_range(route->target_gap_ms) || !in_range(route->rank) || route->max_attempts < 0 ||
            *route->host == '\0')
            abort();
        wb_route_pick_service((wb_route_t *)route);
    }
}

static void service_check(gpointer name, gpointer value, gpointer context) {
    const wb_service_t *service = value;
    (void)context;
    if (*(const char *)name == '\0' || !in_range(service->cold_start_ms) ||
        !in_range(service->store_load_ms) || service->max_connections < 0 ||
        service->adapter_slots < 0)
        abort();
}

/* A configuration that is accepted has no value that overflows. */
void target_catalog_row(const uint8_t *data, size_t size) {
    wb_error_t error = {0};
    wb_catalog_t *catalog = wb_platform_catalog_parse(data, size, &error);
    if (catalog == NULL) {
        if (*error.message == '\0')
            abort();
        return;
    }
    g_hash_table_foreach(catalog->hosts, routes_check, NULL);
    g_hash_table_foreach(catalog->services, service_check, NULL);
    if (catalog->version < 0 || !in_range(catalog->limits.idle_timeout_ms) ||
        !in_range(catalog->limits.head_timeout_ms) || catalog->limits.body_bytes > MAX_NUMBER)
        abort();
    wb_catalog_unref(catalog);
}

/* Texts of an answer that is accepted are Unicode. */
void target_store_answer(const uint8_t *data, size_t size) {
    json_t *answer = wb_platform_store_answer_parse((const char *)data, size);
    size_t i;
    json_t *row;
    json_array_foreach(json_object_get(answer, "rows"), i, row) {
        if (!g_utf8_validate(wb_json_text(row, "key", ""), -1, NULL))
            abort();
    }
    json_decref(answer);
}

void target_node_row(const uint8_t *data, size_t size) {
    wb_node_row_t *row = g_new0(wb_node_row_t, 1);
    wb_node_row_read(data, size, row);
    if (!isfinite(row->processor_share) || row->processor_share < 0 || row->format_version < 1)
        abort();
    wb_node_row_free(row);
}

/* Whatever the row says, the lease can be held again, with a token that orders can name. */
static void lease_check(const wb_lease_row_t *row) {
    static const wb_lease_settings_t settings = {"b", "127.0.0.1:1", 1600, 500, 3000, 200, 900};
    wb_lease_t *lease = wb_lease_create(&settings);
    int64_t version = wb_store_version(ERA, 90);
    if (row != NULL)
        wb_lease_on_row(lease, row, version, READ_MS);
    else
        wb_lease_on_unreadable_row(lease, version, READ_MS);
    wb_lease_row_t next;
    int64_t expected;
    int64_t now_ms = READ_MS;
    while (!wb_lease_next_write(lease, now_ms, &next, &expected)) {
        now_ms += STEP_MS;
        if (now_ms > READ_MS + TAKEOVER_MAX_MS)
            abort();
    }
    wb_lease_on_written(lease, next.beat, version + 1, now_ms);
    if (!wb_lease_is_held(lease, now_ms) || wb_lease_token(lease) >= TOKEN_MAX)
        abort();
    wb_lease_free(lease);
}

static void decode(XDR *stream, xdrproc_t type, void *value) {
    type(stream, value);
    xdr_free(type, value);
}

/* Decodes the parts of a row's or message's extensions. */
static void extensions_decode(const wb_wire_extensions *extensions) {
    wb_wire_service_versions versions = {0};
    wb_wire_route_moves moves = {0};
    wb_wire_usage_history history = {0};
    wb_wire_start_times starts = {0};
    wb_wire_version_waits waits = {0};
    const struct {
        wb_wire_extension_kind kind;
        xdrproc_t type;
        void *value;
    } parts[] = {{WB_WIRE_EXTENSION_VERSIONS, (xdrproc_t)xdr_wb_wire_service_versions, &versions},
                 {WB_WIRE_EXTENSION_ROUTE_MOVES, (xdrproc_t)xdr_wb_wire_route_moves, &moves},
                 {WB_WIRE_EXTENSION_HISTORY, (xdrproc_t)xdr_wb_wire_usage_history, &history},
                 {WB_WIRE_EXTENSION_STARTS, (xdrproc_t)xdr_wb_wire_start_times, &starts},
                 {WB_WIRE_EXTENSION_VERSION_WAITS, (xdrproc_t)xdr_wb_wire_version_waits, &waits}};
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        wb_extensions_read(extensions, parts[i].kind, parts[i].type, parts[i].value);
        xdr_free(parts[i].type, parts[i].value);
    }
}

void target_lease_row(const uint8_t *data, size_t size) {
    wb_wire_lease wire = {0};
    wb_wire_poison poison = {0};
    wb_wire_quota quota = {0};
    wb_wire_extensions extensions = {0};
    XDR stream;
    xdrmem_create(&stream, (char *)data, (u_int)size, XDR_DECODE);
    if (xdr_wb_wire_lease(&stream, &wire)) {
        wb_lease_row_t row = wb_edge_node_lease_from_wire(&wire);
        row.era = ERA;
        lease_check(&row);
    } else {
        lease_check(NULL);
    }
    decode(&stream, (xdrproc_t)xdr_wb_wire_poison, &poison);
    decode(&stream, (xdrproc_t)xdr_wb_wire_quota, &quota);
    if (xdr_wb_wire_extensions(&stream, &extensions))
        extensions_decode(&extensions);
    xdr_destroy(&stream);
    wb_extensions_clear(&extensions);
    xdr_free((xdrproc_t)xdr_wb_wire_lease, &wire);
}

void target_stream_row(const uint8_t *data, size_t size) {
    wb_wire_stored_starts stored = {0};
    XDR stream;
    xdrmem_create(&stream, (char *)data, (u_int)size, XDR_DECODE);
    decode(&stream, (xdrproc_t)xdr_wb_wire_stored_starts, &stored);
    xdr_destroy(&stream);
}

/* A report that is accepted has a number that the next order can be counted from. */
void target_engine_report(const uint8_t *data, size_t size) {
    wb_engine_state_t *state = wb_platform_report_parse("e1", (const char *)data, size);
    if (state == NULL)
        return;
    wb_order_t order = {.kind = WB_ORDER_LOAD,
                        .model = "m",
                        .adapter = "",
                        .holder = "h",
                        .token = 1,
                        .expected_sequence = state->sequence};
    g_autofree char *body = wb_platform_order_body(&order);
    if (state->sequence < 0 || state->sequence >= INT64_C(1) << 53 || state->born_ms < 0 ||
        !g_str_has_prefix(body, "{"))
        abort();
    wb_engine_state_free(state);
}
