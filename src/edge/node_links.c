/* Links between gateways and the controller: gateways send demand, the controller sends placement
 * updates and load plans.
 * Times are in ms. A link that can't be opened or breaks is retried after LINK_RETRY_MS. */
#include "edge/edge_node_types.h"

#include <string.h>

#define LINK_RETRY_MS 150
/* Gateways send more often, unless they were paused. */
#define GATEWAY_SILENCE_MS 600
/* No machine runs for as long. */
#define SENT_MAX_MS (G_MAXINT64 / 2)
/* Cluster name in the handshake, by which edge nodes recognize each other. */
#define EDGE_CLUSTER "wickbridge-edge"

/* Returns TRUE when a placement entry concerns the known incarnation of an engine. An entry for a
 * later incarnation becomes valid once its row is read, so the table is polled; one for an
 * earlier incarnation is outdated. */
static gboolean incarnation_matches(wb_edge_node_t *node, const wb_engine_t *engine,
                                    const wb_wire_start_times *starts, guint i) {
    if (i >= starts->born_ms.born_ms_len || starts->born_ms.born_ms_val[i] == 0) {
        return TRUE; /* the sender didn't include it */
    }
    int64_t born_ms = (int64_t)starts->born_ms.born_ms_val[i];
    if (born_ms == engine->state->born_ms) {
        return TRUE;
    }
    node->edge.metrics.updates_of_other_starts++;
    if (born_ms > engine->state->born_ms) {
        wb_table_watch_poll_soon(node->engines_watch);
    }
    return FALSE;
}

void wb_edge_node_placement_take(wb_edge_node_t *node, wb_engine_t *engine,
                                 const wb_wire_placement_entry *entry) {
    wb_edge_t *edge = &node->edge;
    int64_t row_after_ms = 2 * edge->settings.engine_heartbeat_ms;
    if (entry->ready_in_ms > 0) {
        wb_exchanges_expect_model(edge, engine->state->service, entry->model,
                                  engine->state->software_version, entry->ready_in_ms);
        return;
    }
    if (entry->held)
        wb_exchanges_clear_expected(edge, engine->state->service, entry->model,
                                    engine->state->software_version);
    wb_engine_apply_placement(engine, entry->model, entry->adapter, entry->held, wb_clock_ms(),
                              row_after_ms,
                              row_after_ms + (int64_t)(edge->settings.store_look_s * 1000));
    wb_event("placement-news", ",\"engine\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\",\"held\":%s",
             entry->engine, entry->model, entry->adapter, entry->held ? "true" : "false");
}

/* Applies a placement update. @param extensions of its message; NULL: it comes from this
 * node's own controller */
static void placements_take(wb_edge_node_t *node, const wb_wire_placement *placement,
                            const wb_wire_extensions *extensions) {
    wb_edge_t *edge = &node->edge;
    wb_wire_start_times starts = {{0, NULL}};
    if (extensions != NULL) {
        wb_extensions_read(extensions, WB_WIRE_EXTENSION_STARTS, (xdrproc_t)xdr_wb_wire_start_times,
                           &starts);
    }
    for (guint i = 0; i < placement->entries.entries_len; i++) {
        const wb_wire_placement_entry *entry = &placement->entries.entries_val[i];
        wb_engine_t *engine = wb_fleet_find(edge->fleet, entry->engine);
        if (engine == NULL) {
            if (!wb_edge_node_directory_placement(node, entry)) {
                wb_table_watch_poll_soon(node->engines_watch);
            }
            continue;
        }
        if (incarnation_matches(node, engine, &starts, i)) {
            wb_edge_node_placement_take(node, engine, entry);
        }
    }
    xdr_free((xdrproc_t)xdr_wb_wire_start_times, &starts);
    wb_exchanges_retry_waiting(edge);
}

/* Sets the expected load times of models. Requests that can't wait that long are refused at once.
 */
static void load_plan_take(wb_edge_node_t *node, const wb_wire_load_plan *plan) {
    for (guint i = 0; i < plan->entries.entries_len; i++) {
        const wb_wire_load_plan_entry *entry = &plan->entries.entries_val[i];
        wb_exchanges_expect_model(&node->edge, plan->service, entry->model, NULL,
                                  entry->ready_in_ms);
    }
}

void wb_edge_node_publish(const wb_wire_message *message, void *context) {
    wb_edge_node_t *node = context;
    wb_edge_node_broadcast(node, message);
    if (message->kind == WB_WIRE_LOAD_PLAN)
        load_plan_take(node, &message->wb_wire_message_u.load_plan);
    else
        placements_take(node, &message->wb_wire_message_u.placement, NULL);
}

void wb_edge_node_gateway_free(gpointer data) {
    wb_gateway_t *gateway = data;
    g_free(gateway->name);
    wb_edge_node_subscription_free(gateway->subscription);
    g_free(gateway);
}

void wb_edge_node_handshake_send(const wb_edge_node_t *node, wb_link_t *link) {
    wb_wire_message message = {.kind = WB_WIRE_HELLO};
    message.wb_wire_message_u.hello = (wb_wire_hello){.cluster = EDGE_CLUSTER,
                                                      .node = (char *)node->edge.settings.id,
                                                      .incarnation = WB_WIRE_FORMAT_VERSION,
                                                      .address = "",
                                                      .zone = ""};
    wb_link_send(link, &message);
}

void wb_edge_node_handshake_take(wb_link_t *link, const wb_wire_hello *hello) {
    if (strcmp(hello->cluster, EDGE_CLUSTER) == 0) {
        wb_link_set_format_version(link,
                                   (unsigned)CLAMP(hello->incarnation, 1, WB_WIRE_FORMAT_VERSION));
    }
}

void wb_edge_node_sent_add(wb_wire_extensions *extensions, int64_t now_ms) {
    wb_wire_sent sent = {(uint64_t)now_ms};
    wb_extensions_add(extensions, WB_WIRE_EXTENSION_SENT, (xdrproc_t)xdr_wb_wire_sent, &sent);
}

int64_t wb_edge_node_sent_ms(wb_transit_t *transit, const wb_wire_extensions *extensions,
                             int64_t now_ms) {
    wb_wire_sent sent;
    if (!wb_extensions_read(extensions, WB_WIRE_EXTENSION_SENT, (xdrproc_t)xdr_wb_wire_sent,
                            &sent) ||
        sent.sent_ms > SENT_MAX_MS) {
        return now_ms;
    }
    return now_ms - wb_transit_delay_ms(transit, (int64_t)sent.sent_ms, now_ms);
}

void wb_edge_node_gateway_open(wb_link_t *link, void *context) {
    wb_edge_node_handshake_send(context, link);
    wb_gateway_t *gateway = g_new0(wb_gateway_t, 1);
    gateway->received_ms = wb_clock_ms();
    g_hash_table_insert(((wb_edge_node_t *)context)->gateways, link, gateway);
    wb_edge_node_poison_gateway_open(context, link);
    wb_edge_node_pace_gateway_open(context, link);
}

static void version_waits_take(wb_edge_node_t *node, const char *name,
                               const wb_wire_extensions *extensions) {
    wb_wire_version_waits waits = {{0, NULL}};
    wb_extensions_read(extensions, WB_WIRE_EXTENSION_VERSION_WAITS,
                       (xdrproc_t)xdr_wb_wire_version_waits, &waits);
    wb_controller_on_version_waits(node->controller, name, &waits);
    xdr_free((xdrproc_t)xdr_wb_wire_version_waits, &waits);
}

void wb_edge_node_gateway_message(wb_link_t *link, const wb_wire_message *message, void *context) {
    wb_edge_node_t *node = context;
    if (message->kind == WB_WIRE_HELLO)
        wb_edge_node_handshake_take(link, &message->wb_wire_message_u.hello);
    if (message->kind == WB_WIRE_ENGINE_SUBSCRIBE)
        wb_edge_node_relay_subscribe(node, link, g_hash_table_lookup(node->gateways, link),
                                     &message->wb_wire_message_u.engine_subscribe,
                                     wb_edge_node_message_era(node, link));
    if (message->kind == WB_WIRE_STORE_UPDATE)
        wb_edge_node_take_announcement(node, &message->wb_wire_message_u.store_update,
                                       wb_edge_node_message_era(node, link));
    if (message->kind == WB_WIRE_POISON)
        wb_edge_node_poison_take(node, &message->wb_wire_message_u.poison);
    if (message->kind == WB_WIRE_ENGINE_STATES)
        wb_edge_node_states_take(node, &message->wb_wire_message_u.engine_states,
                                 wb_link_extensions(link));
    if (message->kind == WB_WIRE_CATALOG_FETCH)
        wb_edge_node_catalog_answer(node, link, &message->wb_wire_message_u.catalog_fetch);
    if (message->kind == WB_WIRE_STREAM_STARTS)
        wb_edge_node_streams_take(node, &message->wb_wire_message_u.stream_starts);
    if (message->kind == WB_WIRE_STREAM_QUERY)
        wb_edge_node_stream_query(node, link, &message->wb_wire_message_u.stream_query);
    if (message->kind != WB_WIRE_DEMAND)
        return;
    const wb_wire_demand *demand = &message->wb_wire_message_u.demand;
    wb_gateway_t *gateway = g_hash_table_lookup(node->gateways, link);
    int64_t now_ms = wb_clock_ms();
    gboolean was_silent =
        gateway->name == NULL || now_ms - gateway->received_ms > GATEWAY_SILENCE_MS;
    if (gateway->name == NULL)
        gateway->name = g_strdup(demand->node);
    gateway->received_ms = now_ms;
    gateway->unresponsive = FALSE;
    wb_wire_sent sent;
    if (wb_extensions_read(wb_link_extensions(link), WB_WIRE_EXTENSION_SENT,
                           (xdrproc_t)xdr_wb_wire_sent, &sent))
        gateway->report_ms = sent.sent_ms;
    gateway->report_unacknowledged |= demand->tenants.tenants_len > 0;
    wb_edge_node_echo_take(node, gateway, wb_link_extensions(link));
    wb_controller_on_demand(node->controller, demand);
    version_waits_take(node, demand->node, wb_link_extensions(link));
    wb_edge_node_quota_take_history(node, demand->node, wb_link_extensions(link));
    wb_edge_node_quota_take_report(node, demand);
    wb_edge_node_pace_take_report(node, demand);
    if (was_silent)
        wb_edge_node_quota_answer(node, link);
}

void wb_edge_node_gateway_close(wb_link_t *link, const char *reason, void *context) {
    (void)reason;
    wb_edge_node_t *node = context;
    wb_edge_node_quota_gateway_lost(node, g_hash_table_lookup(node->gateways, link));
    g_hash_table_remove(node->gateways, link);
}

gboolean wb_edge_node_is_aggregator(const wb_edge_node_t *node) {
    return node->lease_held || node->quota_token != 0;
}

void wb_edge_node_send_demand(wb_edge_node_t *node) {
    gboolean to_self = wb_edge_node_is_aggregator(node);
    if (!to_self && !node->controller_link_open)
        return;
    wb_wire_message message;
    wb_demand_build_message(node->edge.demand, node->edge.fleet, node->edge.settings.id, &message);
    wb_wire_demand *demand = &message.wb_wire_message_u.demand;
    gboolean report_due = wb_edge_node_quota_report_due(node, wb_clock_ms());
    wb_edge_node_quota_report(node, demand);
    wb_edge_node_pace_report(node, demand);
    wb_wire_version_waits waits;
    wb_demand_build_version_waits(node->edge.demand, &waits);
    gboolean empty = demand->entries.entries_len == 0 && waits.entries.entries_len == 0 &&
                     demand->tenants.tenants_len == 0 && demand->engines.engines_len == 0 &&
                     !report_due && node->echo_due == 0;
    node->demand_sent_ms = wb_clock_ms();
    if (empty && !node->demand_sent) {
        xdr_free((xdrproc_t)xdr_wb_wire_version_waits, &waits);
        wb_message_clear(&message);
        return;
    }
    node->demand_sent = !empty;
    node->quota_reported_ms = node->demand_sent_ms;
    if (to_self) {
        wb_controller_on_demand(node->controller, demand);
        wb_controller_on_version_waits(node->controller, demand->node, &waits);
        wb_edge_node_quota_take_report(node, demand);
        wb_edge_node_pace_take_report(node, demand);
    } else {
        wb_wire_extensions extensions = {0};
        wb_edge_node_sent_add(&extensions, node->demand_sent_ms);
        wb_edge_node_echo_add(node, &extensions);
        if (node->quota_history_due)
            wb_edge_node_quota_history_add(node, &extensions);
        if (waits.entries.entries_len > 0)
            wb_extensions_add(&extensions, WB_WIRE_EXTENSION_VERSION_WAITS,
                              (xdrproc_t)xdr_wb_wire_version_waits, &waits);
        node->quota_history_due = FALSE;
        wb_link_send_with_extensions(node->controller_link, &message, &extensions);
        wb_extensions_clear(&extensions);
    }
    xdr_free((xdrproc_t)xdr_wb_wire_version_waits, &waits);
    wb_message_clear(&message);
}

static void demand_timer_fired(void *context) {
    wb_edge_node_t *node = context;
    node->demand_timer = NULL;
    wb_edge_node_send_demand(node);
}

void wb_edge_node_demand_pending(void *context) {
    wb_edge_node_t *node = context;
    if (node->demand_timer == NULL)
        node->demand_timer = wb_loop_after(node->edge.loop, 0, demand_timer_fired, node);
    wb_edge_node_expedite_engines(node);
}

static void controller_open(wb_link_t *link, void *context) {
    wb_edge_node_t *node = context;
    wb_edge_node_handshake_send(node, link);
    node->controller_link_open = TRUE;
    node->demand_sent = TRUE;
    node->quota_history_due = TRUE;
    node->echo_due = 0; /* asked for on the link before this one */
    node->states_sent = FALSE;
    node->link_opened_ms = wb_clock_ms();
    wb_edge_node_quota_set_unheard(node, FALSE);
    wb_quota_limiter_lost(node->edge.quota);
    node->update_transit = (wb_transit_t){0};
    wb_event("controller-reached", ",\"address\":\"%s\"", node->controller_address);
    wb_edge_node_pace_link_open(node);
    wb_edge_node_send_demand(node);
    wb_edge_node_poison_link_open(node);
}

static void quota_shares_take(wb_edge_node_t *node, const wb_wire_quota *quota,
                              const wb_wire_extensions *extensions) {
    int64_t sent_ms = wb_edge_node_sent_ms(&node->update_transit, extensions, wb_clock_ms());
    wb_wire_heard state;
    if (wb_extensions_read(extensions, WB_WIRE_EXTENSION_HEARD, (xdrproc_t)xdr_wb_wire_heard,
                           &state)) {
        wb_edge_node_quota_set_unheard(node, !state.heard);
        wb_edge_node_quota_take_shares(node, quota, sent_ms);
        if (state.report_ms > 0 && state.report_ms <= SENT_MAX_MS)
            wb_quota_limiter_acknowledged(node->edge.quota, (int64_t)state.report_ms,
                                          wb_clock_ms());
        return;
    }
    wb_edge_node_quota_take_shares(node, quota, sent_ms);
}

/* From here on it is known which messages the controller reads. */
static void controller_handshake_take(wb_edge_node_t *node, wb_link_t *link,
                                      const wb_wire_hello *hello) {
    wb_edge_node_handshake_take(link, hello);
    if (wb_link_format_version(link) >= 2)
        wb_edge_node_streams_link_open(node);
}

static void controller_message(wb_link_t *link, const wb_wire_message *message, void *context) {
    if (message->kind == WB_WIRE_HELLO)
        controller_handshake_take(context, link, &message->wb_wire_message_u.hello);
    else if (message->kind == WB_WIRE_PLACEMENT)
        placements_take(context, &message->wb_wire_message_u.placement, wb_link_extensions(link));
    else if (message->kind == WB_WIRE_LOAD_PLAN)
        load_plan_take(context, &message->wb_wire_message_u.load_plan);
    else if (message->kind == WB_WIRE_POISON)
        wb_edge_node_poison_take(context, &message->wb_wire_message_u.poison);
    else if (message->kind == WB_WIRE_QUOTA)
        quota_shares_take(context, &message->wb_wire_message_u.quota, wb_link_extensions(link));
    else if (message->kind == WB_WIRE_ENGINE_LOADS)
        wb_edge_node_pace_take_loads(context, &message->wb_wire_message_u.engine_loads);
    else if (message->kind == WB_WIRE_ENGINE_STATES)
        wb_edge_node_states_take(context, &message->wb_wire_message_u.engine_states,
                                 wb_link_extensions(link));
    else if (message->kind == WB_WIRE_STREAM_STARTS)
        wb_edge_node_streams_take(context, &message->wb_wire_message_u.stream_starts);
    else if (message->kind == WB_WIRE_STREAM_ANSWER)
        wb_edge_node_stream_answer(context, &message->wb_wire_message_u.stream_answer,
                                   wb_link_extensions(link));
    else if (message->kind == WB_WIRE_STORE_UPDATE)
        wb_edge_node_take_update(context, &message->wb_wire_message_u.store_update,
                                 wb_link_extensions(link), wb_edge_node_message_era(context, link));
}

static void controller_close(wb_link_t *link, const char *reason, void *context) {
    (void)link;
    wb_edge_node_t *node = context;
    wb_event("controller-lost", ",\"address\":\"%s\",\"reason\":\"%s\"", node->controller_address,
             reason);
    node->controller_link = NULL;
    /* The holder's last lease update may have been lost with the link. */
    if (node->controller_link_open)
        wb_table_watch_poll_soon(node->nodes_watch);
    node->controller_link_open = FALSE;
    wb_edge_node_origins_link_closed(node);
    wb_quota_limiter_lost(node->edge.quota);
    node->link_retry_ms = wb_clock_ms() + LINK_RETRY_MS;
}

static void controller_connect(wb_edge_node_t *node, const char *address) {
    wb_link_events_t events = {
        controller_open, controller_message, controller_close, node, NULL, NULL};
    wb_error_t error;
    g_free(node->controller_address);
    node->controller_address = g_strdup(address);
    if (wb_link_connect(node->edge.loop, address, &events, &node->link_counters,
                        &node->controller_link, &error) != APR_SUCCESS)
        node->link_retry_ms = wb_clock_ms() + LINK_RETRY_MS;
}

void wb_edge_node_tick_link(wb_edge_node_t *node, int64_t now_ms) {
    const wb_lease_row_t *known = wb_lease_known_row(node->lease);
    gboolean wanted =
        known != NULL && !known->released && strcmp(known->holder, node->edge.settings.id) != 0;
    if (node->controller_link != NULL &&
        (!wanted || strcmp(known->address, node->controller_address) != 0)) {
        wb_link_close(node->controller_link);
        node->controller_link = NULL;
        node->controller_link_open = FALSE;
        wb_edge_node_origins_link_closed(node);
        wb_quota_limiter_lost(node->edge.quota);
    }
    if (wanted && node->controller_link == NULL && now_ms >= node->link_retry_ms)
        controller_connect(node, known->address);
}
