/* Tells gateways what concerns all of them.
 *
 * Each message costs its sender a call of the system for each gateway: at 84 gateways, half of the
 * processor of a small machine went into one message for each model. So what is told of models and
 * adapters is gathered for some ms, and a message is encoded once for all. */
#include "edge/edge_node_types.h"

#include <string.h>

/* Who waits for a model waits so much longer at most; a cold request takes 600 ms and more. */
#define GATHER_MS 10
/* Time for each gateway beyond these: a message costs its sender a call for each of them, and at
 * 985 gateways one each 10 ms would be 98,500 calls a second. */
#define GATHER_GATEWAYS 84
/* A gateway that doesn't read what it is told is let go. */
#define BACKLOG_LIMIT_BYTES (512 * 1024)

/* Sends a frame to gateways. @param frame to those that read messages without parts only; NULL:
 * these aren't told. @param with_parts to the others */
static void frame_send(wb_edge_node_t *node, const GByteArray *frame,
                       const GByteArray *with_parts) {
    GHashTableIter iter;
    gpointer link;
    gpointer gateway;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, &link, &gateway)) {
        const GByteArray *form = wb_link_format_version(link) >= 2 ? with_parts : frame;
        if (((const wb_gateway_t *)gateway)->subscription != NULL || form == NULL)
            continue; /* a link for rows of engines only: its gateway has another for news */
        if (wb_link_unsent(link) > BACKLOG_LIMIT_BYTES)
            wb_link_close_later(link, "it doesn't read what it is told");
        else
            wb_link_send_frame(link, form);
    }
}

void wb_edge_node_tell_newer_gateways(wb_edge_node_t *node, const wb_wire_message *message) {
    g_autoptr(GByteArray) frame = g_byte_array_new();
    wb_error_t error;
    if (wb_message_encode(message, frame, &error) != APR_SUCCESS) {
        wb_event("message-refused", ",\"kind\":\"%s\",\"reason\":\"%s\"",
                 wb_message_kind_name(message->kind), wb_event_escape(error.message));
        return;
    }
    frame_send(node, NULL, frame);
}

/* @param parts NULL: none */
static void message_send(wb_edge_node_t *node, const wb_wire_message *message,
                         const wb_wire_extensions *parts) {
    g_autoptr(GByteArray) frame = g_byte_array_new();
    g_autoptr(GByteArray) with_parts = g_byte_array_new();
    wb_error_t error;
    if (g_hash_table_size(node->gateways) == 0)
        return;
    if (wb_message_encode(message, frame, &error) != APR_SUCCESS ||
        (parts != NULL &&
         wb_message_encode_with_extensions(message, parts, with_parts, &error) != APR_SUCCESS)) {
        wb_event("message-refused", ",\"kind\":\"%s\",\"reason\":\"%s\"",
                 wb_message_kind_name(message->kind), wb_event_escape(error.message));
        return;
    }
    frame_send(node, frame, parts != NULL ? with_parts : frame);
}

void wb_edge_node_placement_clear(gpointer data) {
    wb_wire_placement_entry *entry = data;
    g_free(entry->engine);
    g_free(entry->model);
    g_free(entry->adapter);
}

static void placements_send(wb_edge_node_t *node) {
    if (node->placements_timer != NULL)
        wb_timer_cancel(node->placements_timer);
    node->placements_timer = NULL;
    if (node->placements->len == 0)
        return;
    wb_wire_message message = {.kind = WB_WIRE_PLACEMENT};
    wb_wire_placement *placement = &message.wb_wire_message_u.placement;
    placement->token = node->placements_token;
    placement->entries.entries_len = node->placements->len;
    placement->entries.entries_val = (wb_wire_placement_entry *)(void *)node->placements->data;
    wb_wire_extensions parts = {0};
    wb_wire_start_times starts = {
        {node->placement_starts->len, (uint64_t *)(void *)node->placement_starts->data}};
    wb_extensions_add(&parts, WB_WIRE_EXTENSION_STARTS, (xdrproc_t)xdr_wb_wire_start_times, &starts);
    message_send(node, &message, &parts);
    wb_extensions_clear(&parts);
    g_array_set_size(node->placement_starts, 0);
    g_array_set_size(node->placements, 0);
}

static void placements_due(void *context) {
    wb_edge_node_t *node = context;
    node->placements_timer = NULL;
    placements_send(node);
}

static int64_t gather_ms(const wb_edge_node_t *node) {
    guint gateways = g_hash_table_size(node->gateways);
    return MAX(GATHER_MS, (int64_t)GATHER_MS * gateways / GATHER_GATEWAYS);
}

static void placements_gather(wb_edge_node_t *node, const wb_wire_placement *placement) {
    if (node->placements_token != placement->token)
        placements_send(node);
    node->placements_token = placement->token;
    for (guint i = 0; i < placement->entries.entries_len; i++) {
        const wb_wire_placement_entry *entry = &placement->entries.entries_val[i];
        wb_wire_placement_entry copy = {g_strdup(entry->engine), g_strdup(entry->model),
                                        g_strdup(entry->adapter), entry->held, entry->ready_in_ms};
        g_array_append_val(node->placements, copy);
        const wb_engine_t *engine = wb_fleet_find(node->edge.fleet, entry->engine);
        uint64_t born_ms = engine != NULL ? (uint64_t)engine->state->born_ms : 0;
        g_array_append_val(node->placement_starts, born_ms);
    }
    if (node->placements_timer == NULL)
        node->placements_timer =
            wb_loop_after(node->edge.loop, gather_ms(node), placements_due, node);
}

void wb_edge_node_tell_gateways(wb_edge_node_t *node, const wb_wire_message *message) {
    if (message->kind == WB_WIRE_PLACEMENT) {
        placements_gather(node, &message->wb_wire_message_u.placement);
        return;
    }
    placements_send(node); /* what came first is told first */
    message_send(node, message, NULL);
}
