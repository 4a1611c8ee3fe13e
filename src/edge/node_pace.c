/* Pace and load of engines over all nodes: gateways report them to the aggregator in demand
 * messages, and the aggregator sends the aggregate to all gateways.
 * The settings load-news-ms and load-news-bytes-per-s limit how often and how much is sent, over
 * all gateways together. Times are in ms, paces in percent of the baseline. */
#include "edge/edge_node_types.h"

#include <stdlib.h>
#include <string.h>

/* Encoded size of an engine in a message to gateways. */
#define ENTRY_BYTES 16
/* Received loads stay valid until the aggregator was unresponsive for this long; while it holds the
 * lease it sends store updates every 300 ms. */
#define LOADS_LIFE_MS 2000
/* Min backlog that is logged: such an engine misses most targets, which are 0.5 to 5 s. */
#define BACKLOG_LOG_MS 1000.0
#define LOG_INTERVAL_MS 1000

/* Takes an engine's unreported usage and resets it. Returns FALSE when there is none. */
static gboolean engine_usage_take(wb_engine_t *engine, wb_wire_engine_usage *usage) {
    if (engine->tokens_sent <= 0 && engine->pace_min_percent == 0) {
        return FALSE;
    }
    *usage = (wb_wire_engine_usage){strdup(engine->state->id), engine->pace_min_percent,
                                    (u_int)engine->tokens_sent};
    engine->pace_min_percent = 0;
    engine->tokens_sent = 0;
    return TRUE;
}

void wb_edge_node_pace_link_open(wb_edge_node_t *node) {
    int64_t now_ms = wb_clock_ms();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, wb_fleet_all(node->edge.fleet));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_engine_t *engine = value;
        engine->pace_min_percent = wb_engine_pace_recent_min(&engine->pace, now_ms);
        /* Tokens sent before the link was open have been processed by now, or their clients have
         * disconnected. */
        engine->tokens_sent = 0;
    }
}

void wb_edge_node_pace_report(wb_edge_node_t *node, wb_wire_demand *demand) {
    GHashTable *engines = wb_fleet_all(node->edge.fleet);
    demand->engines.engines_len = 0;
    demand->engines.engines_val =
        calloc(MAX(g_hash_table_size(engines), 1), sizeof(wb_wire_engine_usage));
    if (!node->edge.settings.engine_pace) {
        return;
    }
    GHashTableIter iter;
    gpointer engine;
    g_hash_table_iter_init(&iter, engines);
    while (g_hash_table_iter_next(&iter, NULL, &engine) &&
           demand->engines.engines_len < WB_WIRE_LIST_MAX) {
        if (engine_usage_take(engine, &demand->engines.engines_val[demand->engines.engines_len])) {
            demand->engines.engines_len++;
        }
    }
}

void wb_edge_node_pace_take_report(wb_edge_node_t *node, const wb_wire_demand *demand) {
    guint count = demand->engines.engines_len;
    g_autofree wb_pace_report_t *reports = g_new0(wb_pace_report_t, MAX(count, 1));
    for (guint i = 0; i < count; i++) {
        const wb_wire_engine_usage *usage = &demand->engines.engines_val[i];
        reports[i] = (wb_pace_report_t){usage->engine, usage->pace_percent, usage->tokens};
    }
    wb_pace_aggregate_report(node->own_pace_aggregate, reports, count, wb_clock_ms());
}

void wb_edge_node_pace_take_loads(wb_edge_node_t *node, const wb_wire_engine_loads *loads) {
    node->pace_received_ms = wb_clock_ms();
    node->edge.metrics.load_updates++;
    g_autoptr(GHashTable) by_key = g_hash_table_new(NULL, NULL);
    for (guint i = 0; i < loads->engines.engines_len; i++) {
        const wb_wire_engine_load *load = &loads->engines.engines_val[i];
        g_hash_table_insert(by_key, GUINT_TO_POINTER(load->engine), (gpointer)load);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, wb_fleet_all(node->edge.fleet));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_engine_t *engine = value;
        uint32_t key = wb_pace_engine_key(engine->state->id);
        const wb_wire_engine_load *load = g_hash_table_lookup(by_key, GUINT_TO_POINTER(key));
        if (load == NULL) {
            continue;
        }
        wb_engine_pace_set_shared(&engine->pace, load->pace_percent);
        engine->total_tokens_per_s = load->tokens_per_s;
        engine->total_backlog_ms = load->backlog_ms;
        engine->shared_received_ms = node->pace_received_ms;
    }
}

/* Sends engine loads to one gateway, or with a NULL link to all and this node itself. */
static void loads_send(wb_edge_node_t *node, wb_link_t *link, const GArray *loads) {
    wb_wire_message message = {.kind = WB_WIRE_ENGINE_LOADS};
    wb_wire_engine_loads *message_loads = &message.wb_wire_message_u.engine_loads;
    guint count = MIN(loads->len, WB_WIRE_LIST_MAX);
    g_autofree wb_wire_engine_load *entries = g_new0(wb_wire_engine_load, MAX(count, 1));
    for (guint i = 0; i < count; i++) {
        const wb_engine_load_t *load = &g_array_index(loads, wb_engine_load_t, i);
        entries[i] = (wb_wire_engine_load){load->engine, load->pace_percent, load->tokens_per_s,
                                           load->backlog_ms};
    }
    message_loads->engines.engines_len = count;
    message_loads->engines.engines_val = entries;
    if (link != NULL) {
        wb_link_send(link, &message);
        return;
    }
    wb_edge_node_broadcast(node, &message);
    wb_edge_node_pace_take_loads(node, message_loads);
}

void wb_edge_node_pace_gateway_open(wb_edge_node_t *node, wb_link_t *link) {
    g_autoptr(GArray) loads = wb_pace_aggregate_snapshot(node->own_pace_aggregate);
    if (wb_edge_node_is_aggregator(node) && loads->len > 0) {
        loads_send(node, link, loads);
    }
}

/* Returns TRUE while loads that were not sent again are still valid: the aggregator is reachable.
 */
static gboolean loads_are_current(const wb_edge_node_t *node, int64_t now_ms) {
    int64_t received_ms = MAX(node->update_received_ms, node->pace_received_ms);
    return node->pace_aggregator ||
           (node->controller_link_open && now_ms - received_ms < LOADS_LIFE_MS);
}

/* Logs the engine with the largest backlog, at most once per interval. */
static void backlog_log(wb_edge_node_t *node, int64_t now_ms) {
    if (now_ms - node->pace_logged_ms < LOG_INTERVAL_MS) {
        return;
    }
    double backlog_ms;
    const char *engine =
        wb_pace_aggregate_max_backlog(node->own_pace_aggregate, now_ms, &backlog_ms);
    if (engine == NULL || backlog_ms < BACKLOG_LOG_MS) {
        return;
    }
    node->pace_logged_ms = now_ms;
    wb_event("engine-behind", ",\"engine\":\"%s\",\"backlog_ms\":%.0f,\"pace_percent\":%u", engine,
             backlog_ms, wb_pace_aggregate_pace(node->own_pace_aggregate, engine, now_ms));
}

void wb_edge_node_tick_pace(wb_edge_node_t *node, int64_t now_ms) {
    const wb_edge_settings_t *settings = &node->edge.settings;
    gboolean aggregator = wb_edge_node_is_aggregator(node);
    if (aggregator && !node->pace_aggregator) {
        wb_pace_aggregate_resend_all(node->own_pace_aggregate);
        wb_edge_node_pace_link_open(node);
    }
    node->pace_aggregator = aggregator;
    node->edge.shared_loads_valid = loads_are_current(node, now_ms);
    if (!aggregator || settings->engine_pace == 0 || settings->load_news_ms == 0 ||
        now_ms - node->pace_sent_ms < settings->load_news_ms) {
        return;
    }
    node->pace_sent_ms = now_ms;
    backlog_log(node, now_ms);
    double bytes = (double)settings->load_news_bytes_per_s * (double)settings->load_news_ms / 1000;
    size_t gateways = MAX(g_hash_table_size(node->gateways), 1);
    size_t max_engines = MAX((size_t)(bytes / ENTRY_BYTES) / gateways, 1);
    g_autoptr(GArray) loads = wb_pace_aggregate_changes(node->own_pace_aggregate,
                                                        MIN(max_engines, WB_WIRE_LIST_MAX), now_ms);
    if (loads->len > 0) {
        loads_send(node, NULL, loads);
    }
}
