/* Messages to all gateways.
 * Each message costs a system call per gateway. So placement updates are batched for some ms, and a
 * message is encoded once for all gateways. */
#include "edge/edge_node_types.h"

#include <string.h>

/* Delays requests that wait for a model by at most this; a request for a cold model takes 600 ms
 * and more. */
#define BATCH_MS 10
/* Beyond this number of gateways the batch time grows with it, which bounds the system calls per
 * second: at 985 gateways a message every 10 ms would take 98,500. */
#define BATCH_GATEWAYS 84
/* The link of a gateway with more unsent bytes is closed. */
#define UNSENT_MAX_BYTES (512 * 1024)

/* Sends a frame to all gateways. @param frame for gateways of format version 1; NULL: they are
 * skipped. @param with_extensions for the others */
static void frame_send(wb_edge_node_t *node, const GByteArray *frame,
                       const GByteArray *with_extensions) {
    GHashTableIter iter;
    gpointer link;
    gpointer gateway;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, &link, &gateway)) {
        const GByteArray *encoded = wb_link_format_version(link) >= 2 ? with_extensions : frame;
        if (((const wb_gateway_t *)gateway)->subscription != NULL || encoded == NULL)
            continue; /* a subscription link: that gateway has another link for updates */
        if (wb_link_unsent(link) > UNSENT_MAX_BYTES)
            wb_link_close_later(link, "too many unsent bytes");
        else
            wb_link_send_frame(link, encoded);
    }
}

void wb_edge_node_broadcast_v2(wb_edge_node_t *node, const wb_wire_message *message,
                               const wb_wire_extensions *extensions) {
    g_autoptr(GByteArray) frame = g_byte_array_new();
    wb_error_t error;
    if (wb_message_encode_with_extensions(message, extensions, frame, &error) != APR_SUCCESS) {
        wb_event("message-refused", ",\"kind\":\"%s\",\"reason\":\"%s\"",
                 wb_message_kind_name(message->kind), error.message);
        return;
    }
    frame_send(node, NULL, frame);
}

/* @param extensions NULL: none */
static void message_send(wb_edge_node_t *node, const wb_wire_message *message,
                         const wb_wire_extensions *extensions) {
    g_autoptr(GByteArray) frame = g_byte_array_new();
    g_autoptr(GByteArray) with_extensions = g_byte_array_new();
    wb_error_t error;
    if (g_hash_table_size(node->gateways) == 0)
        return;
    if (wb_message_encode(message, frame, &error) != APR_SUCCESS ||
        (extensions != NULL && wb_message_encode_with_extensions(
                                   message, extensions, with_extensions, &error) != APR_SUCCESS)) {
        wb_event("message-refused", ",\"kind\":\"%s\",\"reason\":\"%s\"",
                 wb_message_kind_name(message->kind), error.message);
        return;
    }
    frame_send(node, frame, extensions != NULL ? with_extensions : frame);
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
    wb_wire_extensions extensions = {0};
    wb_wire_start_times starts = {
        {node->placement_starts->len, (uint64_t *)(void *)node->placement_starts->data}};
    wb_extensions_add(&extensions, WB_WIRE_EXTENSION_STARTS, (xdrproc_t)xdr_wb_wire_start_times,
                      &starts);
    message_send(node, &message, &extensions);
    wb_extensions_clear(&extensions);
    g_array_set_size(node->placement_starts, 0);
    g_array_set_size(node->placements, 0);
}

static void placements_timer_fired(void *context) {
    wb_edge_node_t *node = context;
    node->placements_timer = NULL;
    placements_send(node);
}

static int64_t batch_ms(const wb_edge_node_t *node) {
    guint gateways = g_hash_table_size(node->gateways);
    return MAX(BATCH_MS, (int64_t)BATCH_MS * gateways / BATCH_GATEWAYS);
}

static void placements_batch(wb_edge_node_t *node, const wb_wire_placement *placement) {
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
            wb_loop_after(node->edge.loop, batch_ms(node), placements_timer_fired, node);
}

void wb_edge_node_broadcast(wb_edge_node_t *node, const wb_wire_message *message) {
    if (message->kind == WB_WIRE_PLACEMENT) {
        placements_batch(node, &message->wb_wire_message_u.placement);
        return;
    }
    wb_edge_node_broadcast_with_extensions(node, message, NULL);
}

void wb_edge_node_broadcast_with_extensions(wb_edge_node_t *node, const wb_wire_message *message,
                                            const wb_wire_extensions *extensions) {
    placements_send(node); /* keep the order of messages */
    message_send(node, message, extensions);
}
