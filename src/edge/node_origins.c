/* Where streams may have begun: the software versions of each service, and the paths that have led
 * to other services. With that a node can tell at which version a stream began of which no record
 * is left: its path has led to one service only, which has had one version only.
 *
 * The lease row has them, as it outlives all nodes. A stream begins at a version, or on a path that
 * has moved, only once the row has it; else the row wouldn't show it after a kill of all nodes. So
 * that a store that is away doesn't keep a new service from beginning streams, they also begin at
 * the only version of a service that the holder knows, or any node before there is a row: if the
 * row has nothing of the service, a successor takes it that there was an unknown version. The
 * holder writes the row as soon as streams wait for that, and sends gateways with its updates where
 * streams may begin. Only the holder concludes anything from all this: wherever another node
 * has begun a stream, the holder has allowed it, or read of it as it took the lease over.
 *
 * A holder that doesn't know what the row had before it, as the store lost it or came back from a
 * copy, or an older build wrote it, concludes nothing for stream-age-max-s; nor does one whose row
 * has no room for this, which lets streams begin all the same. Times are in ms; what is stored or
 * sent are durations. */
#include "edge/edge_node_types.h"

#include <string.h>

/* Versions in the lease row; with more, it says that it isn't whole. */
#define VERSIONS_MAX 64
/* First format version whose nodes keep to the above. */
#define FORMAT_WITH_ORIGINS 4

void wb_edge_node_origins_create(wb_edge_node_t *node) {
    int64_t horizon_ms = (int64_t)(node->edge.settings.stream_age_max_s * 1000);
    node->versions = wb_version_history_create(horizon_ms, wb_clock_ms());
    node->route_moves = wb_route_moves_create(horizon_ms);
    node->origins_required = TRUE;
    node->origins_version = -1;
}

/* Where streams may begin. */

static gboolean may_begin(const wb_edge_node_t *node, const wb_engine_t *engine) {
    return !node->origins_required ||
           wb_version_history_may_begin(node->versions, engine->state->service,
                                        engine->state->software_version);
}

/* Gateways learn with the next update where streams may begin. */
static void gateways_are_behind(wb_edge_node_t *node) {
    GHashTableIter iter;
    gpointer gateway;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, NULL, &gateway))
        ((wb_gateway_t *)gateway)->origins_sent = FALSE;
    node->update_sent_ms = 0;
}

/* Lets streams begin where that has been stored since. */
static void stored_changed(wb_edge_node_t *node) {
    gateways_are_behind(node);
    if (node->edge.catalog != NULL && !node->origins_required)
        node->edge.catalog->moves_stored = TRUE;
    node->edge.some_begin_no_stream = FALSE;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, wb_fleet_all(node->edge.fleet));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_engine_t *engine = value;
        engine->begins_no_stream = !may_begin(node, engine);
        node->edge.some_begin_no_stream |= engine->begins_no_stream;
    }
    wb_exchanges_retry_waiting(&node->edge);
}

/* The lease row has what moved until this catalog came into force. Returns TRUE if streams waited
 * for that. */
static gboolean catalog_stored(wb_edge_node_t *node, int64_t catalog_version) {
    wb_catalog_t *catalog = node->edge.catalog;
    if (catalog == NULL || catalog->version != catalog_version || catalog->moves_stored)
        return FALSE;
    catalog->moves_stored = TRUE;
    return TRUE;
}

/* The lease row names this catalog. Returns TRUE if that wasn't known. */
static gboolean stored_catalog_set(wb_edge_node_t *node, int64_t catalog_version) {
    gboolean is_new = node->stored_catalog_version != catalog_version;
    node->stored_catalog_version = catalog_version;
    catalog_stored(node, catalog_version);
    return is_new;
}

/* What this node knows itself. */

static void began_anew(wb_edge_node_t *node, const char *reason) {
    wb_version_history_set_began(node->versions, wb_clock_ms());
    gateways_are_behind(node);
    wb_event("stream-origins-unknown", ",\"reason\":\"%s\"", reason);
}

/* Whether no node has written the row yet, as far as the store tells. */
static gboolean row_is_missing(const wb_edge_node_t *node) {
    return !node->lease_row_seen && wb_table_watch_is_synced(node->nodes_watch);
}

void wb_edge_node_origins_engine(wb_edge_node_t *node, wb_engine_t *engine) {
    const wb_engine_state_t *state = engine->state;
    gboolean is_own = wb_lease_is_own(node->lease);
    if (is_own && !node->origins_created &&
        !wb_version_history_has_service(node->versions, state->service))
        wb_version_history_see(node->versions, state->service, "", wb_clock_ms());
    gboolean is_new = wb_version_history_see(node->versions, state->service,
                                             state->software_version, wb_clock_ms());
    if (is_own || row_is_missing(node))
        wb_version_history_allow_only(node->versions, state->service);
    engine->begins_no_stream = !may_begin(node, engine);
    if (is_new) {
        wb_event("stream-origin-added", ",\"service\":\"%s\",\"software_version\":\"%s\"",
                 state->service, state->software_version);
        gateways_are_behind(node);
        if (engine->begins_no_stream)
            wb_lease_write_soon(node->lease);
    }
    node->edge.some_begin_no_stream |= engine->begins_no_stream;
}

/* Whether the moves of all catalogs since the one that the row names are known here. */
static gboolean has_had_catalog(const wb_edge_node_t *node, int64_t version) {
    for (guint i = 0; i < WB_CATALOGS_REMEMBERED; i++)
        if (node->catalogs_in_force[i] == version)
            return TRUE;
    return FALSE;
}

/* Whether this node, which has a catalog, knows all that has moved until then. The row has what
 * moved up to the catalog that it names. A row without one is from before its first writer had one,
 * but streams may have begun since. */
static gboolean moves_are_known(const wb_edge_node_t *node) {
    int64_t stored = node->stored_catalog_version;
    if (stored == 0)
        return node->origins_created;
    return node->edge.catalog->version <= stored || has_had_catalog(node, stored);
}

/* As the holder, or before this node becomes it. */
static void moves_check(wb_edge_node_t *node) {
    if (node->edge.catalog == NULL || moves_are_known(node))
        return;
    wb_route_moves_add_all(node->route_moves, wb_clock_ms());
    wb_event("routes-moved", ",\"catalog\":%lld,\"stored\":%lld,\"moved\":\"all\"",
             (long long)node->edge.catalog->version, (long long)node->stored_catalog_version);
}

void wb_edge_node_origins_catalog(wb_edge_node_t *node, const wb_catalog_t *before,
                                  wb_catalog_t *after) {
    unsigned moved = wb_route_moves_compare(node->route_moves, before, after, wb_clock_ms());
    if (moved > 0)
        wb_event("routes-moved", ",\"catalog\":%lld,\"before\":%lld,\"moved\":\"%u\"",
                 (long long)after->version, (long long)before->version, moved);
    if (before == NULL && wb_lease_is_own(node->lease))
        moves_check(node);
    node->catalogs_next = (node->catalogs_next + 1) % WB_CATALOGS_REMEMBERED;
    node->catalogs_in_force[node->catalogs_next] = after->version;
    after->moves_stored = !node->origins_required || node->stored_catalog_version == after->version;
    if (moved > 0)
        wb_lease_write_soon(node->lease);
}

/* The lease row, and updates from its holder. */

/* Texts are borrowed from the history. */
static void version_append(const char *service, const char *software_version, int64_t age_ms,
                           void *context) {
    GArray *entries = context;
    wb_wire_service_version entry = {(char *)service, (char *)software_version, (u_int)age_ms};
    g_array_append_val(entries, entry);
}

/* @param open_only for gateways: where streams may begin */
static void versions_add(const wb_edge_node_t *node, gboolean open_only,
                         wb_wire_extensions *extensions) {
    int64_t now_ms = wb_clock_ms();
    int64_t known_for_ms = now_ms - wb_version_history_began_ms(node->versions);
    g_autoptr(GArray) entries = g_array_new(FALSE, FALSE, sizeof(wb_wire_service_version));
    wb_version_history_each(node->versions, open_only, now_ms, version_append, entries);
    if (!open_only && entries->len > VERSIONS_MAX) {
        known_for_ms = 0;
        g_array_set_size(entries, VERSIONS_MAX);
    }
    wb_wire_service_versions versions = {
        (u_int)CLAMP(known_for_ms, 0, wb_version_history_horizon_ms(node->versions)),
        {entries->len, (wb_wire_service_version *)(void *)entries->data}};
    wb_extensions_add(extensions, WB_WIRE_EXTENSION_VERSIONS,
                      (xdrproc_t)xdr_wb_wire_service_versions, &versions);
}

static void moves_add(const wb_edge_node_t *node, int64_t catalog_version,
                      wb_wire_extensions *extensions) {
    int64_t now_ms = wb_clock_ms();
    g_autoptr(GArray) hashes = wb_route_moves_hashes(node->route_moves, now_ms);
    int64_t age_ms = now_ms - wb_route_moves_changed_ms(node->route_moves);
    wb_wire_route_moves moves = {(uint64_t)catalog_version,
                                 wb_route_moves_has_all(node->route_moves, now_ms),
                                 {hashes->len, (uint64_t *)(void *)hashes->data},
                                 (u_int)CLAMP(age_ms, 0, G_MAXINT)};
    wb_extensions_add(extensions, WB_WIRE_EXTENSION_ROUTE_MOVES, (xdrproc_t)xdr_wb_wire_route_moves,
                      &moves);
}

/* Returns TRUE if one wasn't known to be stored. */
static gboolean versions_take(wb_edge_node_t *node, const wb_wire_service_versions *versions,
                              gboolean sets_began) {
    int64_t now_ms = wb_clock_ms();
    gboolean changed = FALSE;
    for (guint i = 0; i < versions->entries.entries_len; i++) {
        const wb_wire_service_version *entry = &versions->entries.entries_val[i];
        changed |=
            wb_version_history_see_stored(node->versions, entry->service, entry->software_version,
                                          now_ms - (int64_t)entry->age_ms);
    }
    if (sets_began)
        wb_version_history_set_began(node->versions, now_ms - (int64_t)versions->known_for_ms);
    return changed;
}

/* Returns TRUE if the catalog wasn't known to be stored. */
static gboolean moves_take(wb_edge_node_t *node, const wb_wire_route_moves *moves) {
    int64_t changed_ms = wb_clock_ms() - (int64_t)moves->age_ms;
    for (guint i = 0; i < moves->hashes.hashes_len; i++)
        wb_route_moves_add(node->route_moves, moves->hashes.hashes_val[i], changed_ms);
    if (moves->all)
        wb_route_moves_add_all(node->route_moves, changed_ms);
    return stored_catalog_set(node, (int64_t)MIN(moves->catalog_version, (uint64_t)G_MAXINT64));
}

/* Returns FALSE if the extensions lack them, or an older build wrote them.
 * @param sets_began whether their writer knows best since when they are whole */
static gboolean origins_take(wb_edge_node_t *node, const wb_wire_extensions *extensions,
                             gboolean sets_began) {
    wb_wire_service_versions versions = {0};
    wb_wire_route_moves moves = {0};
    gboolean found = wb_extensions_read(extensions, WB_WIRE_EXTENSION_VERSIONS,
                                        (xdrproc_t)xdr_wb_wire_service_versions, &versions) &&
                     wb_extensions_read(extensions, WB_WIRE_EXTENSION_ROUTE_MOVES,
                                        (xdrproc_t)xdr_wb_wire_route_moves, &moves);
    gboolean changed = found != node->origins_required;
    if (found) {
        changed |= versions_take(node, &versions, sets_began);
        changed |= moves_take(node, &moves);
    }
    node->origins_required = found;
    if (changed)
        stored_changed(node);
    xdr_free((xdrproc_t)xdr_wb_wire_service_versions, &versions);
    xdr_free((xdrproc_t)xdr_wb_wire_route_moves, &moves);
    return found;
}

void wb_edge_node_origins_read(wb_edge_node_t *node, const wb_wire_extensions *extensions,
                               int64_t row_version, gboolean is_copy) {
    gboolean is_own = wb_lease_is_own(node->lease);
    node->lease_row_seen = TRUE;
    /* What a copy has is stored, but it may lack what was stored since. */
    gboolean sets_began = !is_own && !is_copy && row_version >= node->origins_version;
    gboolean found = wb_extensions_find(extensions, WB_WIRE_EXTENSION_ROUTE_MOVES) != NULL;
    if (found || !is_own) /* an own row without them had no room for them */
        found = origins_take(node, extensions, sets_began);
    if (is_own || (found && !is_copy))
        node->origins_version = MAX(node->origins_version, row_version);
}

void wb_edge_node_origins_update_add(wb_edge_node_t *node, wb_wire_extensions *extensions) {
    gboolean is_due = FALSE;
    GHashTableIter iter;
    gpointer link;
    gpointer value;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, &link, &value)) {
        wb_gateway_t *gateway = value;
        if (gateway->origins_sent || gateway->subscription != NULL ||
            wb_link_format_version(link) < FORMAT_WITH_ORIGINS)
            continue;
        gateway->origins_sent = TRUE;
        is_due = TRUE;
    }
    if (!is_due)
        return;
    versions_add(node, TRUE, extensions);
    moves_add(node, node->stored_catalog_version, extensions);
}

void wb_edge_node_origins_update_take(wb_edge_node_t *node, const wb_wire_extensions *extensions,
                                      int64_t lease_version) {
    gboolean is_older = wb_link_format_version(node->controller_link) < FORMAT_WITH_ORIGINS;
    gboolean has_origins = wb_extensions_find(extensions, WB_WIRE_EXTENSION_ROUTE_MOVES) != NULL;
    gboolean is_newest = lease_version >= node->origins_version;
    if (node->lease_held || (!is_older && !has_origins && !node->origins_by_link))
        return;
    node->lease_row_seen = TRUE;
    if (is_older || has_origins)
        node->origins_by_link = origins_take(node, extensions, is_newest);
    if (node->origins_by_link && wb_store_version_number(lease_version) > 0)
        node->origins_version = MAX(node->origins_version, lease_version);
}

void wb_edge_node_origins_link_closed(wb_edge_node_t *node) {
    node->origins_by_link = FALSE;
}

/* Writes of the lease row. */

/* Without a lease row no node has served before, unless the store has lost it. */
static void row_begin(wb_edge_node_t *node) {
    int64_t now_ms = wb_clock_ms();
    if (node->lease_row_seen || node->has_seen_rollback) {
        began_anew(node, "the store has lost the lease row");
        return;
    }
    node->row_absent_ms = now_ms;
    node->origins_created = TRUE;
    wb_version_history_set_began(node->versions,
                                 now_ms - wb_version_history_horizon_ms(node->versions));
}

static void origins_prepare(wb_edge_node_t *node, int64_t expected_version) {
    if (wb_lease_is_own(node->lease))
        return;
    node->origins_created = FALSE;
    if (wb_store_version_number(expected_version) == 0)
        row_begin(node);
    else if (node->origins_version != expected_version)
        began_anew(node, "the lease row before this holder's isn't known");
    if (!node->origins_created)
        wb_version_history_doubt(node->versions, wb_clock_ms());
}

void wb_edge_node_origins_write(wb_edge_node_t *node, int64_t expected_version,
                                wb_wire_extensions *extensions, wb_origins_write_t *write) {
    const wb_catalog_t *catalog = node->edge.catalog;
    int64_t own_version = catalog != NULL ? catalog->version : 0;
    origins_prepare(node, expected_version);
    moves_check(node);
    *write =
        (wb_origins_write_t){.versions_number = wb_version_history_number(node->versions),
                             .own_catalog_version = own_version,
                             .catalog_version = MAX(own_version, node->stored_catalog_version)};
    versions_add(node, FALSE, extensions);
    moves_add(node, write->catalog_version, extensions);
}

/* What has no room in the row doesn't keep streams from beginning: then nothing is concluded. */
static void room_check(wb_edge_node_t *node, const wb_origins_write_t *write) {
    if (!write->is_written && !node->origins_lack_room)
        began_anew(node, "there is no room for them in the lease row");
    if (!write->is_written)
        wb_version_history_set_began(node->versions, wb_clock_ms());
    node->origins_lack_room = !write->is_written;
}

void wb_edge_node_origins_written(wb_edge_node_t *node, const wb_origins_write_t *write,
                                  int64_t version) {
    room_check(node, write);
    gboolean changed = wb_version_history_confirm(node->versions, write->versions_number);
    changed |= stored_catalog_set(node, write->catalog_version);
    changed |= catalog_stored(node, write->own_catalog_version);
    changed |= !node->origins_required;
    node->lease_row_seen = TRUE;
    node->origins_required = TRUE;
    node->origins_version = MAX(node->origins_version, version);
    if (changed)
        stored_changed(node);
}

/* Conclusions. */

/* Nodes of older builds begin streams at versions that aren't stored. */
static gboolean has_older_nodes(const wb_edge_node_t *node) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, node->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        if (((const wb_node_row_t *)value)->format_version < FORMAT_WITH_ORIGINS)
            return TRUE;
    return FALSE;
}

/* Whether the path has led to this service only. A catalog older than the one that the lease row
 * names can't tell: other nodes have begun streams by the newer one. */
static gboolean leads_only_to(const wb_edge_node_t *node, const wb_stream_place_t *place) {
    if (node->edge.catalog == NULL || node->edge.catalog->version < node->stored_catalog_version ||
        wb_route_moves_include(node->route_moves, place->host, place->path, wb_clock_ms()))
        return FALSE;
    const wb_route_t *route = wb_catalog_route(node->edge.catalog, place->host, place->path);
    return route != NULL && route->parts->len == 1 && wb_route_leads_to(route, place->service);
}

/* Whether a stream of which there is no record began before this process found no lease row: the
 * records of all streams since are still kept. So there were nodes before, whose row the store has
 * lost. */
static gboolean began_before_row(wb_edge_node_t *node, const wb_stream_place_t *place,
                                 int64_t now_ms) {
    int64_t kept_ms = (int64_t)(node->edge.settings.resume_window_s * 1000);
    if (!place->named || node->row_absent_ms == 0 || now_ms - node->row_absent_ms >= kept_ms)
        return FALSE;
    if (wb_edge_node_streams_settled(node, now_ms)) {
        node->row_absent_ms = 0;
        began_anew(node, "a stream is taken up that began before the lease row");
    }
    return TRUE;
}

const char *wb_edge_node_sole_version(const wb_stream_place_t *place, void *context) {
    wb_edge_node_t *node = context;
    int64_t now_ms = wb_clock_ms();
    if (!node->lease_held || !wb_lease_is_held(node->lease, now_ms) || has_older_nodes(node) ||
        began_before_row(node, place, now_ms) || !leads_only_to(node, place))
        return NULL;
    return wb_version_history_sole(node->versions, place->service, now_ms);
}

void wb_edge_node_origins_sweep(wb_edge_node_t *node, int64_t now_ms) {
    if (has_older_nodes(node))
        wb_version_history_set_began(node->versions, now_ms);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, wb_fleet_all(node->edge.fleet));
    while (g_hash_table_iter_next(&iter, NULL, &value))
        wb_edge_node_origins_engine(node, value);
}
