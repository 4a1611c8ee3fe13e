/* Requests that crash engines, known to all nodes and after all starts.
 *
 * A node that sees an engine end under a request tells the node that the lease names, which tells
 * all others: two messages, some milliseconds, against the seconds in which a caller repeats. What
 * is held against repeated requests also stands in the store behind the lease's row, which is
 * renewed twice a second: so it outlives the holder, and all nodes at once, at no call more. A new
 * holder is told by every gateway all that it knows, so nothing is lost while the store is away. */
#include "edge/edge_node_types.h"

#include <stdlib.h>
#include <string.h>

/* As long as the setting poison-kept-s may be: a day. */
#define LEFT_MOST_MS (24 * 3600 * 1000U)

G_STATIC_ASSERT(WB_WIRE_DIGEST_BYTES == WB_REQUEST_DIGEST_BYTES);
G_STATIC_ASSERT(WB_WIRE_POISON_ENGINES == WB_POISON_ENGINES_KEPT);

static wb_wire_poison_entry entry_to_wire(const wb_poison_entry_t *entry, int64_t now_ms) {
    wb_wire_poison_entry wire = {.body_bytes = entry->body_bytes, .forgiven = entry->forgiven};
    memcpy(wire.digest, entry->digest.bytes, sizeof(wire.digest));
    wire.left_ms = (u_int)CLAMP(entry->until_ms - now_ms, 1, LEFT_MOST_MS);
    wire.engines.engines_len = entry->engine_count;
    wire.engines.engines_val = malloc(sizeof(entry->engines));
    memcpy(wire.engines.engines_val, entry->engines, sizeof(entry->engines));
    return wire;
}

static wb_poison_entry_t entry_from_wire(const wb_wire_poison_entry *wire, int64_t now_ms) {
    wb_poison_entry_t entry = {.body_bytes = wire->body_bytes, .forgiven = wire->forgiven};
    memcpy(entry.digest.bytes, wire->digest, sizeof(entry.digest.bytes));
    entry.until_ms = now_ms + MIN(wire->left_ms, LEFT_MOST_MS);
    entry.engine_count = MIN(wire->engines.engines_len, WB_POISON_ENGINES_KEPT);
    if (entry.engine_count > 0) {
        memcpy(entry.engines, wire->engines.engines_val, entry.engine_count * sizeof(uint64_t));
    }
    return entry;
}

/* Returns what has changed since a version of the book and concerns at least so many engines; to be
 * freed with xdr_free. */
static wb_wire_poison entries_collect(const wb_edge_node_t *node, uint64_t since, guint engines) {
    int64_t now_ms = wb_clock_ms();
    const wb_list_t *entries = wb_poison_registry_entries(node->edge.poison);
    wb_wire_poison wire = {{0, calloc(MAX(entries->len, 1), sizeof(wb_wire_poison_entry))}};
    WB_LIST_EACH(item, entries) {
        const wb_poison_entry_t *entry = WB_LIST_OF(item, wb_poison_entry_t, item);
        if (entry->changed > since && entry->engine_count >= engines) {
            wire.entries.entries_val[wire.entries.entries_len++] = entry_to_wire(entry, now_ms);
        }
    }
    return wire;
}

static void message_tell(wb_edge_node_t *node, wb_link_t *link, uint64_t since, guint engines) {
    wb_wire_message message = {.kind = WB_WIRE_POISON};
    message.wb_wire_message_u.poison = entries_collect(node, since, engines);
    if (message.wb_wire_message_u.poison.entries.entries_len > 0) {
        if (link != NULL) {
            wb_link_send(link, &message);
        } else {
            wb_edge_node_tell_gateways(node, &message);
        }
    }
    wb_message_clear(&message);
}

/* Tells what has changed since this was done last: to gateways, or to the node that keeps count. */
static void changes_tell(wb_edge_node_t *node) {
    uint64_t version = wb_poison_registry_version(node->edge.poison);
    if (wb_edge_node_is_reported_to(node)) {
        message_tell(node, NULL, node->poison_told, WB_POISON_SYNC_ENGINES);
    } else if (node->controller_link_open) {
        message_tell(node, node->controller_link, node->poison_told, 1);
    } else {
        return; /* all is told once there is a link */
    }
    node->poison_told = version;
}

void wb_edge_node_poison_changed(void *context) {
    changes_tell(context);
}

void wb_edge_node_poison_link_open(wb_edge_node_t *node) {
    node->poison_told = 0;
    changes_tell(node);
}

void wb_edge_node_poison_gateway_open(wb_edge_node_t *node, wb_link_t *link) {
    if (wb_edge_node_is_reported_to(node)) {
        message_tell(node, link, 0, WB_POISON_SYNC_ENGINES);
    }
}

void wb_edge_node_tick_poison(wb_edge_node_t *node) {
    gboolean keeper = wb_edge_node_is_reported_to(node);
    if (keeper && !node->poison_keeper) {
        node->poison_told = 0;
        changes_tell(node);
    }
    node->poison_keeper = keeper;
    node->edge.runs_poison_trials = keeper;
}

/* Takes what was told. Returns TRUE when it wasn't known. */
static gboolean entries_merge(wb_edge_node_t *node, const wb_wire_poison *told, int64_t now_ms) {
    gboolean news = FALSE;
    for (guint i = 0; i < told->entries.entries_len; i++) {
        wb_poison_entry_t entry = entry_from_wire(&told->entries.entries_val[i], now_ms);
        news = wb_poison_registry_merge(node->edge.poison, &entry) || news;
    }
    return news;
}

/* Forgives what was lately served here. Returns TRUE when there was such a request. */
static gboolean served_forgive(wb_edge_node_t *node, int64_t now_ms) {
    gboolean forgiven = FALSE;
    WB_LIST_EACH(item, wb_poison_registry_entries(node->edge.poison)) {
        const wb_poison_entry_t *entry = WB_LIST_OF(item, wb_poison_entry_t, item);
        if (wb_served_set_has(node->edge.served, &entry->digest, now_ms)) {
            forgiven = wb_poison_registry_clear_crashes(node->edge.poison, &entry->digest) || forgiven;
        }
    }
    return forgiven;
}

void wb_edge_node_poison_take(wb_edge_node_t *node, const wb_wire_poison *told) {
    int64_t now_ms = wb_clock_ms();
    if (!entries_merge(node, told, now_ms)) {
        return;
    }
    gboolean forgiven = served_forgive(node, now_ms);
    if (forgiven || wb_edge_node_is_reported_to(node)) {
        changes_tell(node);
    } else if (node->controller_link_open) {
        node->poison_told = wb_poison_registry_version(node->edge.poison); /* it comes from there */
    }
    wb_exchanges_refuse_poison(&node->edge);
}

u_int wb_edge_node_poison_write(const wb_edge_node_t *node, char *bytes, u_int room) {
    wb_wire_poison wire = entries_collect(node, 0, WB_POISON_SYNC_ENGINES);
    XDR stream;
    xdrmem_create(&stream, bytes, room, XDR_ENCODE);
    gboolean whole = xdr_wb_wire_poison(&stream, &wire);
    u_int length = whole ? xdr_getpos(&stream) : 0;
    xdr_destroy(&stream);
    if (!whole) {
        wb_event("poison-row-too-long", ",\"entries\":%u,\"room\":%u", wire.entries.entries_len,
                 room);
    }
    xdr_free((xdrproc_t)xdr_wb_wire_poison, &wire);
    return length;
}

void wb_edge_node_poison_read(wb_edge_node_t *node, XDR *stream) {
    wb_wire_poison wire;
    memset(&wire, 0, sizeof(wire));
    if (xdr_wb_wire_poison(stream, &wire)) {
        wb_edge_node_poison_take(node, &wire);
    } else {
        wb_event("poison-row-refused", "%s", "");
    }
    xdr_free((xdrproc_t)xdr_wb_wire_poison, &wire);
}
