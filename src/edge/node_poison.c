/* Poison requests, and parts of prompts, that crash engines: shares them between nodes and keeps
 * them over restarts. A node that sees an engine crash under a request sends the entry to the
 * aggregator. That sends entries of WB_POISON_SYNC_ENGINES engines and more to all gateways, and
 * the lease holder appends them to the lease row: they survive the loss of all nodes, at no
 * additional store call, as the lease is renewed anyway. A new aggregator receives all entries from
 * every gateway, so none are lost while the store is unavailable. Remaining lifetimes are sent in
 * ms. Malformed entries in the lease row are logged and ignored. */
#include "edge/edge_node_types.h"

#include <stdlib.h>
#include <string.h>

/* The maximum of the setting poison-kept-s. */
#define LEFT_MAX_MS (24 * 3600 * 1000U)

/* Parts in the lease row. */
#define ROW_PARTS_MAX 64

/* What the member `forgiven` of an entry holds on the wire. Earlier releases read its lowest bits
 * only. */
#define WIRE_FORGIVEN ((1U << WB_POISON_ENGINES_KEPT) - 1)
#define WIRE_LOSS (1U << 14)
#define WIRE_COMPLETED (1U << 15)
#define WIRE_TRIALS_SHIFT 16
#define WIRE_TRIALS_MAX 255U

G_STATIC_ASSERT(WB_WIRE_DIGEST_BYTES == WB_REQUEST_DIGEST_BYTES);
G_STATIC_ASSERT(WB_WIRE_POISON_ENGINES == WB_POISON_ENGINES_KEPT);

static wb_wire_poison_entry entry_to_wire(const wb_poison_entry_t *entry, int64_t now_ms) {
    wb_wire_poison_entry wire = {.body_bytes = entry->body_bytes};
    wire.forgiven = entry->forgiven | (entry->is_loss ? WIRE_LOSS : 0) |
                    (entry->completed ? WIRE_COMPLETED : 0) |
                    MIN(entry->noted_trials, WIRE_TRIALS_MAX) << WIRE_TRIALS_SHIFT;
    memcpy(wire.digest, entry->digest.bytes, sizeof(wire.digest));
    wire.left_ms = (u_int)CLAMP(entry->until_ms - now_ms, 1, LEFT_MAX_MS);
    wire.engines.engines_len = entry->engine_count;
    wire.engines.engines_val = malloc(sizeof(entry->engines));
    memcpy(wire.engines.engines_val, entry->engines, sizeof(entry->engines));
    return wire;
}

/* Whether an engine is in an entry, cleared or not. */
static gboolean has_engine(const wb_poison_entry_t *entry, uint64_t engine) {
    for (guint i = 0; i < entry->engine_count; i++) {
        if (entry->engines[i] == engine) {
            return TRUE;
        }
    }
    return FALSE;
}

static wb_poison_entry_t entry_from_wire(const wb_wire_poison_entry *wire, int64_t now_ms) {
    wb_poison_entry_t entry = {.body_bytes = wire->body_bytes,
                               .forgiven = wire->forgiven & WIRE_FORGIVEN,
                               .is_loss = (wire->forgiven & WIRE_LOSS) != 0,
                               .noted_trials = wire->forgiven >> WIRE_TRIALS_SHIFT};
    memcpy(entry.digest.bytes, wire->digest, sizeof(entry.digest.bytes));
    entry.until_ms = now_ms + MIN(wire->left_ms, LEFT_MAX_MS);
    entry.engine_count = MIN(wire->engines.engines_len, WB_POISON_ENGINES_KEPT);
    if (entry.engine_count > 0) {
        memcpy(entry.engines, wire->engines.engines_val, entry.engine_count * sizeof(uint64_t));
    }
    /* Earlier releases send no such bit, but this mark. */
    entry.completed =
        (wire->forgiven & WIRE_COMPLETED) != 0 || has_engine(&entry, WB_POISON_NO_ENGINE);
    return entry;
}

static void entry_add(wb_wire_poison *wire, const wb_poison_entry_t *entry) {
    u_int len = wire->entries.entries_len++;
    wire->entries.entries_val = realloc(wire->entries.entries_val,
                                        wire->entries.entries_len * sizeof(wb_wire_poison_entry));
    wire->entries.entries_val[len] = entry_to_wire(entry, wb_clock_ms());
}

/* Appends requests that changed after a version and concern at least min_engines engines. */
static void requests_add(const wb_edge_node_t *node, uint64_t since, guint min_engines,
                         wb_wire_poison *wire) {
    WB_LIST_EACH(item, wb_poison_registry_entries(node->edge.poison)) {
        const wb_poison_entry_t *entry = WB_LIST_OF(item, wb_poison_entry_t, item);
        if (entry->changed > since && entry->engine_count >= min_engines) {
            entry_add(wire, entry);
        }
    }
}

static const wb_poison_registry_t *part_crashes(const wb_edge_node_t *node) {
    return wb_part_registry_crashes(node->edge.parts);
}

/* Appends parts that changed after a version. Gateways send each to the aggregator. That sends
 * those which it suspects, as it knows most of what explains the others, and those that were
 * cleared. */
static void parts_add(const wb_edge_node_t *node, uint64_t since, wb_wire_poison *wire) {
    gboolean sends_all = !wb_edge_node_is_aggregator(node);
    int64_t now_ms = wb_clock_ms();
    WB_LIST_EACH(item, wb_poison_registry_entries(part_crashes(node))) {
        const wb_poison_entry_t *entry = WB_LIST_OF(item, wb_poison_entry_t, item);
        if (entry->changed > since &&
            (sends_all || wb_poison_entry_engines(entry) == 0 ||
             wb_part_registry_state(node->edge.parts, &entry->digest, now_ms) != WB_POISON_NONE)) {
            entry_add(wire, entry);
        }
    }
}

/* Returns what changed after these versions of the registries; to be freed with xdr_free. */
static wb_wire_poison entries_collect(const wb_edge_node_t *node, const wb_poison_versions_t *since,
                                      guint min_engines) {
    wb_wire_poison wire = {{0, NULL}};
    requests_add(node, since->requests, min_engines, &wire);
    parts_add(node, since->parts, &wire);
    return wire;
}

static void entries_send(wb_edge_node_t *node, wb_link_t *link, const wb_poison_versions_t *since,
                         guint min_engines) {
    wb_wire_message message = {.kind = WB_WIRE_POISON};
    message.wb_wire_message_u.poison = entries_collect(node, since, min_engines);
    if (message.wb_wire_message_u.poison.entries.entries_len > 0) {
        if (link != NULL) {
            wb_link_send(link, &message);
        } else {
            wb_edge_node_broadcast(node, &message);
        }
    }
    wb_message_clear(&message);
}

static wb_poison_versions_t current_versions(const wb_edge_node_t *node) {
    return (wb_poison_versions_t){wb_poison_registry_version(node->edge.poison),
                                  wb_poison_registry_version(part_crashes(node))};
}

/* Sends the changes since the last call: to all gateways, or to the aggregator. */
static void changes_send(wb_edge_node_t *node) {
    wb_poison_versions_t versions = current_versions(node);
    if (wb_edge_node_is_aggregator(node)) {
        entries_send(node, NULL, &node->poison_sent, WB_POISON_SYNC_ENGINES);
    } else if (node->controller_link_open) {
        entries_send(node, node->controller_link, &node->poison_sent, 1);
    } else {
        return; /* all entries are sent once the link is open */
    }
    node->poison_sent = versions;
}

void wb_edge_node_poison_changed(void *context) {
    changes_send(context);
}

void wb_edge_node_poison_link_open(wb_edge_node_t *node) {
    node->poison_sent = (wb_poison_versions_t){0};
    changes_send(node);
}

void wb_edge_node_poison_gateway_open(wb_edge_node_t *node, wb_link_t *link) {
    if (wb_edge_node_is_aggregator(node)) {
        entries_send(node, link, &(wb_poison_versions_t){0}, WB_POISON_SYNC_ENGINES);
    }
}

static void refused_parts_update(wb_edge_node_t *node) {
    if (!wb_part_registry_update_refused(node->edge.parts, wb_clock_ms())) {
        return;
    }
    if (node->poison_aggregator) {
        node->poison_sent.parts = 0; /* the entry itself may not have changed */
        changes_send(node);
    }
    wb_exchanges_refuse_poison(&node->edge);
}

void wb_edge_node_tick_poison(wb_edge_node_t *node) {
    gboolean aggregator = wb_edge_node_is_aggregator(node);
    if (aggregator && !node->poison_aggregator) {
        node->poison_sent = (wb_poison_versions_t){0};
        changes_send(node);
    }
    node->poison_aggregator = aggregator;
    refused_parts_update(node);
    node->edge.runs_poison_trials = aggregator;
}

/* Result of a merge of entries. */
typedef struct wb_entries_merged_t {
    gboolean changed;
    gboolean added; /* what was served here; others are to be told */
} wb_entries_merged_t;

static wb_entries_merged_t entries_merge(wb_edge_node_t *node, const wb_wire_poison *poison,
                                         int64_t now_ms) {
    wb_entries_merged_t merged = {FALSE, FALSE};
    for (guint i = 0; i < poison->entries.entries_len; i++) {
        wb_poison_entry_t entry = entry_from_wire(&poison->entries.entries_val[i], now_ms);
        if (entry.body_bytes == WB_PART_BODY_BYTES) {
            wb_part_merge_t result = wb_edge_part_merge(&node->edge, &entry);
            merged.changed |= result != WB_PART_MERGE_NOTHING;
            merged.added |= result == WB_PART_MERGE_ADDED;
        } else {
            merged.changed |= wb_poison_registry_merge(node->edge.poison, &entry);
        }
    }
    return merged;
}

static void served_clear_log(const wb_poison_entry_t *entry) {
    char digest[WB_REQUEST_DIGEST_TEXT_BYTES];
    wb_event("request-forgiven",
             ",\"id\":\"\",\"digest\":\"%s\",\"engine\":\"\",\"status\":0,\"by\":\"served-before\"",
             wb_request_digest_format(&entry->digest, digest));
}

/* Clears entries whose request was recently served at this node. Returns TRUE when there were any.
 */
static gboolean served_clear(wb_edge_node_t *node, int64_t now_ms) {
    gboolean cleared = FALSE;
    WB_LIST_EACH(item, wb_poison_registry_entries(node->edge.poison)) {
        const wb_poison_entry_t *entry = WB_LIST_OF(item, wb_poison_entry_t, item);
        if (wb_served_set_has(node->edge.served, &entry->digest, now_ms) &&
            wb_poison_registry_clear_crashes(node->edge.poison, &entry->digest)) {
            served_clear_log(entry);
            cleared = TRUE;
        }
    }
    return cleared;
}

void wb_edge_node_poison_take(wb_edge_node_t *node, const wb_wire_poison *poison) {
    int64_t now_ms = wb_clock_ms();
    wb_entries_merged_t merged = entries_merge(node, poison, now_ms);
    if (!merged.changed) {
        return;
    }
    merged.added |= served_clear(node, now_ms);
    if (merged.added || wb_edge_node_is_aggregator(node)) {
        changes_send(node);
    } else if (node->controller_link_open) {
        /* The aggregator has just sent these entries. */
        node->poison_sent = current_versions(node);
    }
    wb_exchanges_refuse_poison(&node->edge);
}

/* Appends parts that are suspected or refused: few, unlike those whose crashes others explain. */
static void suspect_parts_add(const wb_edge_node_t *node, wb_wire_poison *wire) {
    int64_t now_ms = wb_clock_ms();
    unsigned count = 0;
    WB_LIST_EACH(item, wb_poison_registry_entries(part_crashes(node))) {
        const wb_poison_entry_t *entry = WB_LIST_OF(item, wb_poison_entry_t, item);
        if (count < ROW_PARTS_MAX &&
            wb_part_registry_state(node->edge.parts, &entry->digest, now_ms) != WB_POISON_NONE) {
            entry_add(wire, entry);
            count++;
        }
    }
}

u_int wb_edge_node_poison_write(const wb_edge_node_t *node, char *bytes, u_int room) {
    wb_wire_poison wire = {{0, NULL}};
    requests_add(node, 0, WB_POISON_SYNC_ENGINES, &wire);
    suspect_parts_add(node, &wire);
    XDR stream;
    xdrmem_create(&stream, bytes, room, XDR_ENCODE);
    gboolean encoded = xdr_wb_wire_poison(&stream, &wire);
    u_int length = encoded ? xdr_getpos(&stream) : 0;
    xdr_destroy(&stream);
    if (!encoded) {
        wb_event("poison-row-too-long", ",\"entries\":%u,\"room\":%u", wire.entries.entries_len,
                 room);
    }
    xdr_free((xdrproc_t)xdr_wb_wire_poison, &wire);
    return length;
}

gboolean wb_edge_node_poison_read(wb_edge_node_t *node, XDR *stream) {
    wb_wire_poison wire;
    memset(&wire, 0, sizeof(wire));
    gboolean readable = xdr_wb_wire_poison(stream, &wire) != 0;
    if (readable) {
        wb_edge_node_poison_take(node, &wire);
    } else {
        wb_event_members("poison-row-refused", "");
    }
    xdr_free((xdrproc_t)xdr_wb_wire_poison, &wire);
    return readable;
}
