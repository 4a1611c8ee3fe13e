/* Writes a node's figures in the Prometheus text format. */
#include "operators.h"

static void figure_write(GString *text, const char *name, const char *type, const char *help,
                         int64_t value) {
    g_string_append_printf(text,
                           "# HELP wickbridge_%s %s\n# TYPE wickbridge_%s %s\nwickbridge_%s "
                           "%" G_GINT64_FORMAT "\n",
                           name, help, name, type, name, (gint64)value);
}

static void gateway_write(GString *text, const wb_gateway_counters_t *counters) {
    figure_write(text, "requests_accepted_total", "counter", "Requests taken in.",
                 counters->accepted);
    figure_write(text, "requests_completed_total", "counter", "Requests answered whole.",
                 counters->completed);
    figure_write(text, "requests_refused_total", "counter", "Requests refused and not run.",
                 counters->refused);
    figure_write(text, "requests_unsure_total", "counter",
                 "Requests that may have run, unanswered.", counters->unsure);
    figure_write(text, "requests_bad_total", "counter", "Wrong requests.", counters->bad);
    figure_write(text, "requests_open", "gauge", "Requests under way.", counters->open);
    figure_write(text, "streams_resumed_total", "counter", "Cut streams taken up again.",
                 counters->resumed);
    figure_write(text, "requests_moved_total", "counter", "Requests run again elsewhere.",
                 counters->moved);
    figure_write(text, "stream_events_total", "counter", "Stream events passed on.",
                 counters->events);
}

static void links_write(GString *text, wb_peers_t *peers) {
    const wb_link_counters_t *counters = wb_peers_counters(peers);
    figure_write(text, "link_bytes_sent_total", "counter", "Bytes sent to nodes.",
                 counters->bytes_sent);
    figure_write(text, "link_bytes_received_total", "counter", "Bytes received from nodes.",
                 counters->bytes_received);
    figure_write(text, "link_messages_sent_total", "counter", "Messages sent to nodes.",
                 counters->messages_sent);
    figure_write(text, "link_messages_received_total", "counter", "Messages received from nodes.",
                 counters->messages_received);
    figure_write(text, "links_open", "gauge", "Links to nodes.", wb_peers_link_count(peers));
}

static int64_t members_up(wb_node_t *node) {
    const wb_member_table_t *table = wb_membership_table(wb_node_membership(node));
    g_autoptr(GPtrArray) list = wb_member_table_list(table);
    int64_t count = 0;
    for (guint i = 0; i < list->len; i++)
        if (wb_member_table_is_up(table, ((wb_member_t *)list->pdata[i])->node))
            count++;
    return count;
}

GString *wb_metrics_write(wb_node_t *node) {
    GString *text = g_string_new(NULL);
    gateway_write(text, wb_gateway_counters(wb_node_gateway(node)));
    links_write(text, wb_node_peers(node));
    figure_write(text, "members_up", "gauge", "Members that are alive or suspected.",
                 members_up(node));
    figure_write(text, "config_version", "gauge", "Configuration in force here.",
                 (int64_t)wb_config_store_current(wb_node_config_store(node))->version);
    figure_write(text, "cells_owned", "gauge", "Cells owned here.",
                 wb_cell_host_owned_count(wb_node_cell_host(node)));
    figure_write(text, "table_operations_total", "counter", "Operations sent to the table service.",
                 wb_platform_table_operations(wb_node_platform(node)));
    return text;
}
