/* Eras of the store: it may come back from an older copy, and its versions are then given out again
 * (store_version.h).
 * A node learns of a new era from any answer of the store or from any message of a peer, and reads
 * all tables again. All row versions in a message are numbers of one era, which an extension names.
 * Builds without it can't tell whether they have noticed a rollback: their numbers count as ones of
 * the present era until this process has seen a rollback, and for nothing after that. A message of
 * a later build lacks it only before that node knows that this one reads extensions. */
#include "edge/edge_node_types.h"

/* First format version whose messages name the era. */
#define FORMAT_WITH_ERA 3

static void rollback_begin(wb_edge_node_t *node) {
    node->has_seen_rollback = TRUE;
    node->catalog_before_rollback = node->edge.catalog != NULL ? node->edge.catalog->version : 0;
    node->edge.metrics.store_rollbacks++;
    wb_edge_node_updates_drop(node);
    wb_edge_node_relay_drop(node);
    wb_table_watch_note_era(node->catalog_watch, node->store_era);
    wb_table_watch_note_era(node->engines_watch, node->store_era);
    wb_table_watch_note_era(node->nodes_watch, node->store_era);
    /* The holder can renew its lease only once it knows the row's version in the copy. */
    if (wb_lease_is_held(node->lease, wb_clock_ms()))
        wb_table_watch_read_soon(node->nodes_watch);
}

/* @param from who named the era */
static void era_note(wb_edge_node_t *node, int64_t era, const char *from) {
    int64_t before = node->store_era;
    if (era <= before)
        return;
    node->store_era = era;
    wb_event("store-era", ",\"era\":%lld,\"before\":%lld,\"from\":\"%s\"", (long long)era,
             (long long)before, from);
    if (before != 0)
        rollback_begin(node);
}

void wb_edge_node_tick_era(wb_edge_node_t *node) {
    era_note(node, node->table->era, "store");
}

void wb_edge_node_era_add(const wb_edge_node_t *node, wb_wire_extensions *extensions) {
    wb_wire_era era = {(uint64_t)node->store_era};
    wb_extensions_add(extensions, WB_WIRE_EXTENSION_ERA, (xdrproc_t)xdr_wb_wire_era, &era);
}

int64_t wb_edge_node_message_era(wb_edge_node_t *node, const wb_link_t *link) {
    wb_wire_era wire;
    if (!wb_extensions_read(wb_link_extensions(link), WB_WIRE_EXTENSION_ERA,
                            (xdrproc_t)xdr_wb_wire_era, &wire)) {
        gboolean may_name_era = wb_link_format_version(link) >= FORMAT_WITH_ERA;
        return may_name_era || node->has_seen_rollback ? 0 : node->store_era;
    }
    int64_t era = (int64_t)MIN(wire.era, (uint64_t)WB_STORE_ERA_MAX);
    era_note(node, era, "peer");
    return era;
}

uint64_t wb_edge_node_version_to_wire(const wb_edge_node_t *node, int64_t version) {
    return wb_store_version_era(version) == node->store_era
               ? (uint64_t)wb_store_version_number(version)
               : 0;
}

int64_t wb_edge_node_version_from_wire(int64_t era, uint64_t number) {
    return number == 0 ? 0
                       : wb_store_version(era, (int64_t)MIN(number, (uint64_t)WB_STORE_NUMBER_MAX));
}
