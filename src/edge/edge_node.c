/* Puts an edge node together: follows the store, listens, holds the lease, talks to the controller.
 */
#include "edge/edge_node_types.h"

#include <string.h>

#define CATALOG_WAIT_MS 1000
#define CATALOG_PAUSE_MS 20
#define ENGINES_WAIT_MS 1000
#define NODES_WAIT_MS 1000
#define NODES_PAUSE_MS 400
#define TICK_MS 50
#define SWEEP_MS 500
#define LINK_RETRY_MS 150
#define LOG_FLUSH_MS 100
#define NODE_ROW_RENEW_MS 20000
#define NODE_ROW_LIFE_MS 70000
#define NODE_ROW_RETRY_MS 500
/* A stop lasts at least so long: callers' connections still come until the entry has seen it. */
#define STOP_LEAST_MS 2600
/* What runs is broken off so long before the grace is over. */
#define STOP_MARGIN_MS 700
/* What waits for a model is refused so long before that. */
#define STOP_WAITS_MS 1200
/* Longest time that giving the lease up may take at the end of a stop. */
#define RELEASE_MS 400
#define READY_HEAD_BYTES 16384
#define READY_BODY_BYTES 65536
#define READY_TIMEOUT_MS 5000
#define READY_IDLE_MS 60000
#define LEASE_KEY "controller"
#define NODE_KEY_PREFIX "node/"

/* Notes each call to the store, and logs when a table is lost and when it is back. */
static void store_called(wb_table_name_t table, gboolean good, int64_t age_ms, void *context)
{
    static const char *const names[] = {"catalog", "engines", "nodes"};
    wb_edge_node_t *node = context;
    node->edge.metrics.table_calls++;
    if (!good)
        node->edge.metrics.table_failures++;
    if (node->store_lost[table] == !good)
        return;
    node->store_lost[table] = !good;
    wb_event(good ? "store-back" : "store-lost", ",\"table\":\"%s\",\"age_ms\":%lld", names[table],
             (long long)(age_ms == G_MAXINT64 ? -1 : age_ms));
}

/* News of the catalog. */

static void catalog_take(wb_edge_node_t *node, wb_catalog_t *catalog)
{
    wb_edge_t *edge = &node->edge;
    int64_t before = edge->catalog != NULL ? edge->catalog->version : 0;
    wb_catalog_unref(edge->catalog);
    edge->catalog = catalog;
    wb_http_limits_t limits = {catalog->limits.head_bytes, catalog->limits.body_bytes,
                               catalog->limits.head_timeout_ms, catalog->limits.idle_timeout_ms};
    wb_http_listener_set_limits(node->callers, &limits);
    wb_controller_set_catalog(node->controller, catalog);
    wb_event("catalog-in-force", ",\"version\":%lld,\"before\":%lld,\"routes\":%u,\"services\":%u",
             (long long)catalog->version, (long long)before, catalog->route_count,
             g_hash_table_size(catalog->services));
}

static void catalog_row(const wb_table_row_t *row, void *context)
{
    wb_edge_node_t *node = context;
    const wb_dialect_t *dialect = node->edge.dialect;
    if (strcmp(row->key, dialect->catalog_key) != 0 || row->value == NULL)
        return;
    wb_error_t error = {0};
    wb_catalog_t *catalog = dialect->catalog_parse(row->value, row->length, &error);
    if (catalog == NULL) {
        wb_event("catalog-refused", ",\"row_version\":%lld,\"reason\":\"%s\"",
                 (long long)row->version, wb_event_text(error.message));
        return;
    }
    if (node->edge.catalog != NULL && catalog->version <= node->edge.catalog->version) {
        wb_catalog_unref(catalog);
        return;
    }
    catalog_take(node, catalog);
}

static void catalog_batch(gboolean whole, void *context)
{
    (void)whole;
    wb_exchanges_retry_waiting(&((wb_edge_node_t *)context)->edge);
}

/* News of engines. */

static void engine_row(const wb_table_row_t *row, void *context)
{
    wb_edge_node_t *node = context;
    wb_edge_t *edge = &node->edge;
    wb_engine_t *known = wb_fleet_find(edge->fleet, row->key);
    if (row->value == NULL) {
        if (known != NULL)
            wb_event("engine-gone", ",\"engine\":\"%s\",\"row_version\":%lld",
                     wb_event_text(row->key), (long long)row->version);
        wb_fleet_remove(edge->fleet, row->key);
        wb_controller_engine_changed(node->controller, row->key);
        return;
    }
    wb_engine_state_t *state = edge->dialect->engine_parse(row->key, row->value, row->length);
    if (state == NULL) {
        wb_event("engine-row-refused", ",\"engine\":\"%s\"", wb_event_text(row->key));
        return;
    }
    gboolean was_leaving = known != NULL && known->leaving_ms != 0;
    wb_engine_t *engine = wb_fleet_announce(edge->fleet, state);
    if (known == NULL || was_leaving != (engine->leaving_ms != 0))
        wb_event("engine-seen",
                 ",\"engine\":\"%s\",\"service\":\"%s\",\"address\":\"%s\",\"leaving\":%s,"
                 "\"row_version\":%lld",
                 state->id, state->service, state->address, state->leaving ? "true" : "false",
                 (long long)row->version);
    wb_controller_engine_changed(node->controller, row->key);
}

static void engine_batch(gboolean whole, void *context)
{
    (void)whole;
    wb_edge_node_t *node = context;
    wb_exchanges_retry_waiting(&node->edge);
    if (node->edge.waiting.length > 0)
        wb_table_watch_hurry(node->engines_watch);
}

/* The product's own rows: nodes, and the controller's lease. */

static void lease_row_take(wb_edge_node_t *node, const wb_table_row_t *row)
{
    int64_t now_ms = wb_clock_ms();
    if (row->value == NULL) {
        wb_lease_on_row(node->lease, NULL, row->version, now_ms);
        return;
    }
    wb_wire_lease wire;
    memset(&wire, 0, sizeof(wire));
    XDR stream;
    xdrmem_create(&stream, (char *)row->value, (u_int)row->length, XDR_DECODE);
    gboolean whole = xdr_wb_wire_lease(&stream, &wire);
    xdr_destroy(&stream);
    if (whole) {
        wb_lease_row_t lease = {wire.holder, wire.address,  wire.token,
                                wire.beat,   wire.released, wire.recent_loads};
        wb_lease_on_row(node->lease, &lease, row->version, now_ms);
    } else {
        wb_event("lease-row-refused", ",\"row_version\":%lld", (long long)row->version);
    }
    xdr_free((xdrproc_t)xdr_wb_wire_lease, &wire);
}

static void node_row_take(wb_edge_node_t *node, const wb_table_row_t *row)
{
    const char *id = row->key + strlen(NODE_KEY_PREFIX);
    if (row->value == NULL) {
        g_hash_table_remove(node->nodes, id);
        return;
    }
    wb_node_row_t *known = g_new0(wb_node_row_t, 1);
    known->seen_ms = wb_clock_ms();
    known->version = row->version;
    g_hash_table_replace(node->nodes, g_strdup(id), known);
}

static void nodes_row(const wb_table_row_t *row, void *context)
{
    wb_edge_node_t *node = context;
    if (strcmp(row->key, LEASE_KEY) == 0)
        lease_row_take(node, row);
    else if (g_str_has_prefix(row->key, NODE_KEY_PREFIX))
        node_row_take(node, row);
}

static void lease_check(wb_edge_node_t *node);

static void nodes_batch(gboolean whole, void *context)
{
    wb_edge_node_t *node = context;
    if (whole)
        /* A table without the lease's row: nobody ever held it. */
        wb_lease_on_row(node->lease, NULL, 0, wb_clock_ms());
    node->edge.node_count = MAX(g_hash_table_size(node->nodes), 1);
    lease_check(node);
}

static void node_row_answered(const wb_table_answer_t *answer, void *context)
{
    wb_edge_node_t *node = context;
    node->node_row_writing = FALSE;
    int64_t now_ms = wb_clock_ms();
    if (answer->outcome == WB_TABLE_DONE) {
        node->node_row_written = TRUE;
        node->node_row_due_ms = now_ms + NODE_ROW_RENEW_MS;
        return;
    }
    for (guint i = 0; i < answer->rows->len; i++) {
        const wb_table_row_t *row = g_ptr_array_index(answer->rows, i);
        if (row->version > 0 && row->value != NULL)
            node_row_take(node, row);
    }
    node->node_row_due_ms = now_ms + NODE_ROW_RETRY_MS;
}

/* Says that this node is there, so that all nodes know how many share what is shared. */
static void node_row_write(wb_edge_node_t *node)
{
    const wb_node_row_t *known = g_hash_table_lookup(node->nodes, node->edge.settings.id);
    g_autofree char *key = g_strconcat(NODE_KEY_PREFIX, node->edge.settings.id, NULL);
    g_autofree char *value = g_strdup_printf("%s %llu", node->edge.settings.listen_nodes,
                                             (unsigned long long)++node->node_row_beat);
    node->node_row_writing = TRUE;
    node->edge.metrics.table_calls++;
    node->table->write(node->table->self, key, known != NULL ? known->version : 0,
                       (const guchar *)value, strlen(value), node_row_answered, node);
}

static gboolean node_row_is_old(gpointer key, gpointer value, gpointer context)
{
    (void)key;
    return *(int64_t *)context - ((wb_node_row_t *)value)->seen_ms > NODE_ROW_LIFE_MS;
}

static void node_rows_tick(wb_edge_node_t *node, int64_t now_ms)
{
    if (wb_table_watch_is_synced(node->nodes_watch) && !node->node_row_writing &&
        now_ms >= node->node_row_due_ms)
        node_row_write(node);
    if (g_hash_table_foreach_remove(node->nodes, node_row_is_old, &now_ms) > 0)
        node->edge.node_count = MAX(g_hash_table_size(node->nodes), 1);
}

/* The controller's lease. */

static void lease_check(wb_edge_node_t *node)
{
    gboolean held = wb_lease_is_held(node->lease, wb_clock_ms());
    uint64_t token = wb_lease_token(node->lease);
    const wb_lease_row_t *known = wb_lease_known(node->lease);
    if (held != node->held) {
        node->held = held;
        wb_event(held ? "lease-held" : "lease-not-held",
                 ",\"token\":%llu,\"known_holder\":\"%s\",\"known_token\":%llu",
                 (unsigned long long)token, known != NULL ? wb_event_text(known->holder) : "",
                 known != NULL ? (unsigned long long)known->token : 0ULL);
        if (held)
            node->edge.metrics.lease_takeovers++;
    }
    /* A lapse stops orders at once; what is believed of engines stays good while nobody else held
     * it. */
    int64_t seen_ms;
    unsigned loads = wb_lease_predecessor_loads(node->lease, &seen_ms);
    if (held)
        wb_controller_set_token(node->controller, token, loads, seen_ms);
    else if (known != NULL && known->token != token)
        wb_controller_set_token(node->controller, 0, 0, 0);
}

static void lease_answered(const wb_table_answer_t *answer, void *context)
{
    wb_edge_node_t *node = context;
    int64_t now_ms = wb_clock_ms();
    switch (answer->outcome) {
    case WB_TABLE_DONE:
        wb_lease_on_written(node->lease, answer->version, now_ms);
        break;
    case WB_TABLE_UNKNOWN:
        wb_lease_on_unknown(node->lease, now_ms);
        break;
    default:
        wb_lease_on_not_written(node->lease, now_ms);
        for (guint i = 0; i < answer->rows->len; i++) {
            const wb_table_row_t *row = g_ptr_array_index(answer->rows, i);
            if (strcmp(row->key, LEASE_KEY) == 0 && row->version > 0)
                lease_row_take(node, row);
        }
    }
    lease_check(node);
}

static void lease_write(wb_edge_node_t *node, const wb_lease_row_t *row, int64_t expected_version)
{
    char bytes[1024];
    wb_wire_lease wire = {row->holder, row->address,  row->token,
                          row->beat,   row->released, wb_controller_recent_loads(node->controller)};
    XDR stream;
    xdrmem_create(&stream, bytes, sizeof(bytes), XDR_ENCODE);
    gboolean whole = xdr_wb_wire_lease(&stream, &wire);
    u_int length = xdr_getpos(&stream);
    xdr_destroy(&stream);
    if (!whole) {
        wb_lease_on_not_written(node->lease, wb_clock_ms());
        return;
    }
    node->edge.metrics.table_calls++;
    node->table->write(node->table->self, LEASE_KEY, expected_version, (const guchar *)bytes,
                       length, lease_answered, node);
}

static void lease_tick(wb_edge_node_t *node, int64_t now_ms)
{
    wb_lease_row_t row;
    int64_t expected_version;
    if (wb_table_watch_is_synced(node->nodes_watch) &&
        wb_lease_next_write(node->lease, now_ms, &row, &expected_version))
        lease_write(node, &row, expected_version);
    lease_check(node);
}

static gboolean controller_may_act(void *context)
{
    wb_edge_node_t *node = context;
    return wb_lease_is_held(node->lease, wb_clock_ms());
}

/* Links: gateways tell the controller what is asked for, it tells them what engines hold. */

static void news_take(wb_edge_node_t *node, const wb_wire_placement *news)
{
    wb_edge_t *edge = &node->edge;
    int64_t now_ms = wb_clock_ms();
    for (guint i = 0; i < news->entries.entries_len; i++) {
        const wb_wire_placement_entry *entry = &news->entries.entries_val[i];
        wb_engine_t *engine = wb_fleet_find(edge->fleet, entry->engine);
        if (engine == NULL)
            continue;
        if (entry->ready_in_ms > 0) {
            wb_exchanges_expect(edge, engine->state->service, entry->model, entry->ready_in_ms);
            continue;
        }
        if (entry->held)
            wb_exchanges_no_longer_expect(edge, engine->state->service, entry->model);
        wb_engine_note(engine, entry->model, entry->adapter, entry->held, now_ms,
                       2 * edge->settings.engine_heartbeat_ms);
        wb_event(
            "placement-news",
            ",\"engine\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\",\"held\":%s,\"token\":%llu",
            wb_event_text(entry->engine), wb_event_text(entry->model),
            wb_event_text(entry->adapter), entry->held ? "true" : "false",
            (unsigned long long)news->token);
    }
    wb_exchanges_retry_waiting(edge);
}

static void controller_news(const wb_wire_message *news, void *context)
{
    wb_edge_node_t *node = context;
    GHashTableIter iter;
    gpointer link;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, &link, NULL))
        wb_link_send(link, news);
    news_take(node, &news->wb_wire_message_u.placement);
}

static void gateway_open(wb_link_t *link, void *context)
{
    g_hash_table_add(((wb_edge_node_t *)context)->gateways, link);
}

static void gateway_message(wb_link_t *link, const wb_wire_message *message, void *context)
{
    (void)link;
    wb_edge_node_t *node = context;
    if (message->kind == WB_WIRE_DEMAND)
        wb_controller_take_demand(node->controller, &message->wb_wire_message_u.demand);
}

static void gateway_close(wb_link_t *link, const char *reason, void *context)
{
    (void)reason;
    g_hash_table_remove(((wb_edge_node_t *)context)->gateways, link);
}

static void demand_tell(wb_edge_node_t *node)
{
    gboolean to_self = node->held;
    if (!to_self && !node->controller_link_open)
        return;
    wb_wire_message message;
    wb_demand_message(node->edge.demand, node->edge.settings.id, &message);
    gboolean empty = message.wb_wire_message_u.demand.entries.entries_len == 0;
    node->demand_told_ms = wb_clock_ms();
    if (empty && !node->demand_told) {
        wb_message_clear(&message);
        return;
    }
    node->demand_told = !empty;
    if (to_self)
        wb_controller_take_demand(node->controller, &message.wb_wire_message_u.demand);
    else
        wb_link_send(node->controller_link, &message);
    wb_message_clear(&message);
}

static void need_tell(void *context)
{
    wb_edge_node_t *node = context;
    node->need_timer = NULL;
    demand_tell(node);
}

/* Someone waits for what isn't loaded: tell the controller once this round's requests are in. */
static void need_arose(void *context)
{
    wb_edge_node_t *node = context;
    if (node->need_timer == NULL)
        node->need_timer = wb_loop_after(node->edge.loop, 0, need_tell, node);
    wb_table_watch_hurry(node->engines_watch);
}

static void controller_open(wb_link_t *link, void *context)
{
    (void)link;
    wb_edge_node_t *node = context;
    node->controller_link_open = TRUE;
    node->demand_told = TRUE;
    wb_event("controller-reached", ",\"address\":\"%s\"", node->controller_address);
    demand_tell(node);
}

static void controller_message(wb_link_t *link, const wb_wire_message *message, void *context)
{
    (void)link;
    if (message->kind == WB_WIRE_PLACEMENT)
        news_take(context, &message->wb_wire_message_u.placement);
}

static void controller_close(wb_link_t *link, const char *reason, void *context)
{
    (void)link;
    wb_edge_node_t *node = context;
    wb_event("controller-lost", ",\"address\":\"%s\",\"reason\":\"%s\"", node->controller_address,
             reason);
    node->controller_link = NULL;
    node->controller_link_open = FALSE;
    node->link_retry_ms = wb_clock_ms() + LINK_RETRY_MS;
}

static void controller_connect(wb_edge_node_t *node, const char *address)
{
    wb_link_events_t events = {
        controller_open, controller_message, controller_close, node, NULL, NULL};
    wb_error_t error;
    g_free(node->controller_address);
    node->controller_address = g_strdup(address);
    if (wb_link_connect(node->edge.loop, address, &events, &node->link_counters,
                        &node->controller_link, &error) != APR_SUCCESS)
        node->link_retry_ms = wb_clock_ms() + LINK_RETRY_MS;
}

/* Keeps one link to whoever holds the lease, unless it is this node. */
static void controller_link_tick(wb_edge_node_t *node, int64_t now_ms)
{
    const wb_lease_row_t *known = wb_lease_known(node->lease);
    gboolean wanted =
        known != NULL && !known->released && strcmp(known->holder, node->edge.settings.id) != 0;
    if (node->controller_link != NULL &&
        (!wanted || strcmp(known->address, node->controller_address) != 0)) {
        wb_link_close(node->controller_link);
        node->controller_link = NULL;
        node->controller_link_open = FALSE;
    }
    if (wanted && node->controller_link == NULL && now_ms >= node->link_retry_ms)
        controller_connect(node, known->address);
}

/* Listeners. */

static void caller_request(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                           void *context)
{
    wb_exchange_begin(&((wb_edge_node_t *)context)->edge, connection, head, body);
}

static void caller_gone(wb_http_connection_t *connection, void *request, void *context)
{
    (void)connection;
    (void)context;
    if (request != NULL)
        wb_exchange_gone(request);
}

static void caller_drained(wb_http_connection_t *connection, void *request, void *context)
{
    (void)connection;
    (void)context;
    if (request != NULL)
        wb_exchange_drained(request);
}

gboolean wb_edge_node_is_ready(const wb_edge_node_t *node)
{
    return node->edge.drain_began_ms == 0 && node->edge.catalog != NULL && node->node_row_written &&
           wb_table_watch_is_synced(node->engines_watch);
}

static void ready_request(wb_http_connection_t *connection, wb_http_head_t *head, GByteArray *body,
                          void *context)
{
    const wb_edge_node_t *node = context;
    unsigned status = 404;
    if (g_str_has_prefix(head->target, "/ready"))
        status = wb_edge_node_is_ready(node) ? 200 : 503;
    wb_http_head_free(head);
    g_byte_array_unref(body);
    wb_http_connection_answer(connection, status, wb_http_reason(status), "", NULL, 0);
}

static apr_status_t listeners_open(wb_edge_node_t *node, wb_error_t *error)
{
    wb_edge_t *edge = &node->edge;
    wb_http_limits_t limits = {READY_HEAD_BYTES, READY_BODY_BYTES, READY_TIMEOUT_MS, READY_IDLE_MS};
    wb_http_handler_t callers = {caller_request, caller_gone, caller_drained, node};
    wb_http_handler_t ready = {ready_request, NULL, NULL, node};
    wb_http_handler_t operators = {wb_edge_operators_request, NULL, NULL, node};
    wb_link_events_t links = {gateway_open, gateway_message, gateway_close, node, NULL, NULL};
    apr_status_t status = wb_http_listener_open(edge->loop, edge->settings.listen_callers, &callers,
                                                &limits, &node->callers, error);
    if (status == APR_SUCCESS)
        status = wb_http_listener_open(edge->loop, edge->settings.listen_ready, &ready, &limits,
                                       &node->ready, error);
    if (status == APR_SUCCESS && *edge->settings.listen_operators != '\0')
        status = wb_http_listener_open(edge->loop, edge->settings.listen_operators, &operators,
                                       &limits, &node->operators, error);
    if (status == APR_SUCCESS)
        status = wb_link_listen(edge->loop, edge->settings.listen_nodes, &links,
                                &node->link_counters, &node->link_listener, error);
    return status;
}

/* A planned stop is over when nothing runs and the entry has had time to see it, or when the grace
 * is. */
static void drain_tick(wb_edge_node_t *node, int64_t now_ms)
{
    int64_t passed_ms = now_ms - node->edge.drain_began_ms;
    int64_t grace_ms = (int64_t)(node->edge.settings.stop_grace_s * 1000) - STOP_MARGIN_MS;
    if (passed_ms >= grace_ms - STOP_WAITS_MS)
        wb_exchanges_refuse_waiting(&node->edge);
    if (passed_ms >= STOP_LEAST_MS && !node->resting_closed) {
        node->resting_closed = TRUE;
        wb_http_listener_close_resting(node->callers);
    }
    gboolean quiet = wb_http_listener_busy(node->callers) == 0 && passed_ms >= STOP_LEAST_MS;
    if (node->drained || (!quiet && passed_ms < grace_ms))
        return;
    if (!node->releasing) {
        node->releasing = TRUE;
        node->release_until_ms = now_ms + RELEASE_MS;
        wb_lease_release(node->lease);
    }
    if (wb_lease_is_owed(node->lease) && now_ms < node->release_until_ms)
        return; /* the lease's last write is under way */
    wb_exchanges_refuse_unanswered(&node->edge);
    node->drained = TRUE;
    wb_event("stopped", ",\"ms\":%lld,\"open\":%u", (long long)passed_ms,
             g_hash_table_size(node->edge.open));
    wb_event_log_flush();
    wb_loop_quit(node->edge.loop);
}

static void node_tick(void *context)
{
    wb_edge_node_t *node = context;
    int64_t now_ms = wb_clock_ms();
    node_rows_tick(node, now_ms);
    lease_tick(node, now_ms);
    controller_link_tick(node, now_ms);
    if (now_ms - node->demand_told_ms >= node->edge.settings.demand_interval_ms)
        demand_tell(node);
    if (node->edge.waiting.length > 0) {
        wb_exchanges_retry_waiting(&node->edge);
        wb_table_watch_hurry(node->engines_watch);
    }
    if (!node->ready_told && wb_edge_node_is_ready(node)) {
        node->ready_told = TRUE;
        wb_event("ready", ",\"catalog\":%lld,\"engines\":%u,\"nodes\":%u",
                 (long long)node->edge.catalog->version,
                 g_hash_table_size(wb_fleet_all(node->edge.fleet)), node->edge.node_count);
    }
    if (node->edge.drain_began_ms != 0)
        drain_tick(node, now_ms);
}

static void node_sweep(void *context)
{
    wb_edge_node_t *node = context;
    int64_t now_ms = wb_clock_ms();
    wb_upstreams_sweep(&node->edge, now_ms);
    wb_fleet_sweep(node->edge.fleet, now_ms);
}

static void log_flush(void *context)
{
    (void)context;
    wb_event_log_flush();
}

static void lease_create(wb_edge_node_t *node)
{
    const wb_edge_settings_t *settings = &node->edge.settings;
    wb_lease_settings_t lease = {settings->id,
                                 settings->listen_nodes,
                                 settings->lease_duration_ms,
                                 settings->lease_renew_ms,
                                 settings->lease_quiet_ms,
                                 settings->lease_margin_ms,
                                 settings->store_timeout_ms};
    node->lease = wb_lease_create(&lease);
}

static void watches_create(wb_edge_node_t *node)
{
    wb_loop_t *loop = node->edge.loop;
    wb_table_watch_events_t catalog = {catalog_row, catalog_batch, store_called, node};
    wb_table_watch_events_t engines = {engine_row, engine_batch, store_called, node};
    wb_table_watch_events_t nodes = {nodes_row, nodes_batch, store_called, node};
    node->catalog_watch = wb_table_watch_create(loop, node->table, WB_TABLE_CATALOG,
                                                CATALOG_WAIT_MS, CATALOG_PAUSE_MS, &catalog);
    node->engines_watch =
        wb_table_watch_create(loop, node->table, WB_TABLE_ENGINES, ENGINES_WAIT_MS,
                              node->edge.settings.engine_poll_ms, &engines);
    node->nodes_watch = wb_table_watch_create(loop, node->table, WB_TABLE_NODES, NODES_WAIT_MS,
                                              NODES_PAUSE_MS, &nodes);
}

apr_status_t wb_edge_node_create(wb_loop_t *loop, const wb_edge_settings_t *settings,
                                 const wb_table_t *table, const wb_dialect_t *dialect,
                                 wb_edge_node_t **node, wb_error_t *error)
{
    wb_edge_node_t *created = g_new0(wb_edge_node_t, 1);
    wb_edge_t *edge = &created->edge;
    edge->loop = loop;
    edge->settings = *settings;
    edge->dialect = dialect;
    edge->fleet = wb_fleet_create();
    edge->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)wb_retry_budget_free);
    edge->expected = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    edge->demand = wb_demand_create();
    edge->node_count = 1;
    edge->open = g_hash_table_new(NULL, NULL);
    edge->on_need = need_arose;
    edge->need_context = created;
    created->table = table;
    created->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    created->gateways = g_hash_table_new(NULL, NULL);
    apr_status_t status = listeners_open(created, error);
    if (status != APR_SUCCESS)
        return status;
    lease_create(created);
    wb_controller_events_t events = {controller_may_act, controller_news, created};
    created->controller =
        wb_controller_create(loop, &edge->settings, dialect, edge->fleet, &edge->metrics, &events);
    watches_create(created);
    wb_loop_every(loop, TICK_MS, node_tick, created);
    wb_loop_every(loop, SWEEP_MS, node_sweep, created);
    wb_loop_every(loop, LOG_FLUSH_MS, log_flush, created);
    *node = created;
    return APR_SUCCESS;
}

void wb_edge_node_drain(wb_edge_node_t *node)
{
    if (node->edge.drain_began_ms != 0)
        return;
    node->edge.drain_began_ms = wb_clock_ms();
    wb_http_listener_drain(node->callers);
    wb_event("stopping", ",\"open\":%u,\"grace_s\":%g", g_hash_table_size(node->edge.open),
             node->edge.settings.stop_grace_s);
}

gboolean wb_edge_node_is_drained(const wb_edge_node_t *node)
{
    return node->drained;
}
