/* What engines are and have, over all nodes: who keeps the book, what it is told, and what it
 * tells.
 *
 * The node that gateways report to keeps it; the reports ride on the messages of demand. What it
 * tells is bounded by a number of bytes a second over all gateways: with 89 of them and the usual
 * settings that is 70 engines in each message, with 300 it is 20. */
#include "edge/edge_node_types.h"

#include <stdlib.h>
#include <string.h>

/* Bytes of an engine in a message to gateways. */
#define ENTRY_BYTES 16
/* What is told counts until its teller hasn't been heard for so long: it tells other news each
 * 300 ms while it may give orders. */
#define LOADS_LIFE_MS 2000
/* An engine that is so far behind answers most requests late: targets are 0.5 to 5 s. */
#define BEHIND_MS 1000.0
#define LOG_INTERVAL_MS 1000

/* What there is to tell of an engine, or FALSE. */
static gboolean use_take(wb_engine_t *engine, wb_wire_engine_usage *use) {
    if (engine->tokens_sent <= 0 && engine->pace_min_percent == 0) {
        return FALSE;
    }
    *use = (wb_wire_engine_usage){strdup(engine->state->id), engine->pace_min_percent,
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
        /* What was sent while nobody was told is read by now, or its callers have left. */
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
        if (use_take(engine, &demand->engines.engines_val[demand->engines.engines_len])) {
            demand->engines.engines_len++;
        }
    }
}

void wb_edge_node_pace_take_report(wb_edge_node_t *node, const wb_wire_demand *demand) {
    guint count = demand->engines.engines_len;
    g_autofree wb_pace_report_t *reports = g_new0(wb_pace_report_t, MAX(count, 1));
    for (guint i = 0; i < count; i++) {
        const wb_wire_engine_usage *use = &demand->engines.engines_val[i];
        reports[i] = (wb_pace_report_t){use->engine, use->pace_percent, use->tokens};
    }
    wb_pace_aggregate_report(node->pace_book, reports, count, wb_clock_ms());
}

void wb_edge_node_pace_take(wb_edge_node_t *node, const wb_wire_engine_loads *told) {
    node->pace_heard_ms = wb_clock_ms();
    node->edge.metrics.load_updates++;
    g_autoptr(GHashTable) by_key = g_hash_table_new(NULL, NULL);
    for (guint i = 0; i < told->engines.engines_len; i++) {
        const wb_wire_engine_load *load = &told->engines.engines_val[i];
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
        engine->shared_received_ms = node->pace_heard_ms;
    }
}

/* Sends engines' figures to one gateway, or to all and this node itself. */
static void loads_tell(wb_edge_node_t *node, wb_link_t *link, const GArray *loads) {
    wb_wire_message message = {.kind = WB_WIRE_ENGINE_LOADS};
    wb_wire_engine_loads *told = &message.wb_wire_message_u.engine_loads;
    guint count = MIN(loads->len, WB_WIRE_LIST_MAX);
    g_autofree wb_wire_engine_load *entries = g_new0(wb_wire_engine_load, MAX(count, 1));
    for (guint i = 0; i < count; i++) {
        const wb_engine_load_t *load = &g_array_index(loads, wb_engine_load_t, i);
        entries[i] = (wb_wire_engine_load){load->engine, load->pace_percent, load->tokens_per_s,
                                           load->backlog_ms};
    }
    told->engines.engines_len = count;
    told->engines.engines_val = entries;
    if (link != NULL) {
        wb_link_send(link, &message);
        return;
    }
    wb_edge_node_tell_gateways(node, &message);
    wb_edge_node_pace_take(node, told);
}

void wb_edge_node_pace_gateway_open(wb_edge_node_t *node, wb_link_t *link) {
    g_autoptr(GArray) loads = wb_pace_aggregate_snapshot(node->pace_book);
    if (wb_edge_node_is_reported_to(node) && loads->len > 0) {
        loads_tell(node, link, loads);
    }
}

/* Whether figures that haven't been told anew still hold: their teller is heard. */
static gboolean loads_are_known(const wb_edge_node_t *node, int64_t now_ms) {
    int64_t heard_ms = MAX(node->news_heard_ms, node->pace_heard_ms);
    return node->pace_keeper || (node->controller_link_open && now_ms - heard_ms < LOADS_LIFE_MS);
}

/* Once a second, who is furthest behind, if that is long: operators see where requests are refused.
 */
static void behind_log(wb_edge_node_t *node, int64_t now_ms) {
    if (now_ms - node->pace_logged_ms < LOG_INTERVAL_MS) {
        return;
    }
    double backlog_ms;
    const char *engine = wb_pace_aggregate_max_backlog(node->pace_book, now_ms, &backlog_ms);
    if (engine == NULL || backlog_ms < BEHIND_MS) {
        return;
    }
    node->pace_logged_ms = now_ms;
    wb_event("engine-behind", ",\"engine\":\"%s\",\"backlog_ms\":%.0f,\"pace_percent\":%u",
             wb_event_escape(engine), backlog_ms, wb_pace_aggregate_pace(node->pace_book, engine, now_ms));
}

void wb_edge_node_tick_pace(wb_edge_node_t *node, int64_t now_ms) {
    const wb_edge_settings_t *settings = &node->edge.settings;
    gboolean keeper = wb_edge_node_is_reported_to(node);
    if (keeper && !node->pace_keeper) {
        wb_pace_aggregate_resend_all(node->pace_book);
        wb_edge_node_pace_link_open(node);
    }
    node->pace_keeper = keeper;
    node->edge.shared_loads_valid = loads_are_known(node, now_ms);
    if (!keeper || settings->engine_pace == 0 || settings->load_news_ms == 0 ||
        now_ms - node->pace_told_ms < settings->load_news_ms) {
        return;
    }
    node->pace_told_ms = now_ms;
    behind_log(node, now_ms);
    double bytes = (double)settings->load_news_bytes_per_s * (double)settings->load_news_ms / 1000;
    size_t gateways = MAX(g_hash_table_size(node->gateways), 1);
    size_t most = MAX((size_t)(bytes / ENTRY_BYTES) / gateways, 1);
    g_autoptr(GArray) loads =
        wb_pace_aggregate_changes(node->pace_book, MIN(most, WB_WIRE_LIST_MAX), now_ms);
    if (loads->len > 0) {
        loads_tell(node, NULL, loads);
    }
}
