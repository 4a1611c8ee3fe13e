/* Store updates: the lease holder sends gateways what it reads in the store, so that they need not
 * poll it. Also sets how often each node polls each table.
 * Times are in ms. A gateway that stops receiving updates polls the store itself. */
#include "edge/edge_node_types.h"

#include <stdlib.h>
#include <string.h>

#define UPDATE_INTERVAL_MS 300
/* Rows that would take more than this over all links are not sent; gateways poll the store instead.
 */
#define UPDATE_MAX_BYTES (768 * 1024)
/* The holder's read of a table stands for an own read for this share of the time within which a
 * change must be known. That covers a change of the lease holder, and still leaves time for an own
 * read. */
#define FRESH_SHARE 0.6
/* Poll interval of the holder, as a share of the time for which its reads are valid: they are then
 * still fresh when gateways receive them. */
#define HOLDER_POLL_SHARE 0.33
/* Without updates, engines are polled this many times in the drain time. */
#define POLLS_PER_DRAIN 3
/* Safety polls of the catalog and of nodes are this many times rarer than those of engines. The
 * updates name the newest configuration, and nodes are rarely added or removed. */
#define SAFETY_MULTIPLE 2
/* Max poll interval of the nodes table, as a share of the lifetime of a row. With updates one read
 * in that lifetime is enough: each row is renewed several times in it, and the holder sends added
 * and removed nodes. */
#define NODE_POLL_SHARE 0.25
/* A full read counts as fresh for this share of the time for which the holder's reads do: after a
 * start, updates arrive by then. */
#define FULL_READ_FRESH_SHARE 0.5
#define CATALOG_PAUSE_MS 20
/* When configurations follow each other quickly, a gateway reads this many of them in the time
 * within which each must be in force; the first of them at once. */
#define CATALOG_POLLS 8
/* Long polls of a gateway without a holder, as a share of the time within which a configuration
 * must be in force: its own reads then confirm the configuration at all times. */
#define CATALOG_WAIT_SHARE 0.45
#define ENGINES_WAIT_MS 1000
/* While the store is unavailable only the nodes table is polled often; once it answers, the others
 * are polled too. */
#define RETRY_NODES_MS 1200
#define RETRY_OTHERS_MS 2400
/* While polls of the nodes table fail as well, the others wait until one of them succeeds. */
#define RETRY_OTHERS_LOST_MS 10000
/* Calls for changes are long polls: a long wait saves calls and only delays the detection of an
 * unresponsive store. */
#define NODES_WAIT_MS 3000
#define NODES_PAUSE_MS 1000
#define NODES_CHANGE_MS 100
/* The lease row itself arrives with each update, and nodes are rarely added or removed. */
#define NODES_FRESH_MS 3000

wb_table_watch_t *wb_edge_node_watch(const wb_edge_node_t *node, unsigned table) {
    switch (table) {
    case WB_TABLE_CATALOG:
        return node->catalog_watch;
    case WB_TABLE_ENGINES:
        return node->engines_watch;
    case WB_TABLE_NODES:
        return node->nodes_watch;
    default:
        return NULL;
    }
}

wb_table_watch_intervals_t wb_edge_node_poll_policy(const wb_edge_node_t *node,
                                                    wb_table_name_t table) {
    const wb_edge_settings_t *settings = &node->edge.settings;
    int64_t safety_ms = (int64_t)(settings->store_look_s * 1000);
    int64_t long_safety_ms = SAFETY_MULTIPLE * safety_ms;
    int64_t node_life_ms = (int64_t)(settings->node_life_s * 1000);
    int64_t node_ms = (int64_t)(NODE_POLL_SHARE * (double)node_life_ms);
    int64_t own_wait_ms = (int64_t)(CATALOG_WAIT_SHARE * (double)settings->catalog_ms);
    int64_t peer_read_valid_ms;
    int64_t wait_ms;
    int64_t pause_ms;
    int64_t retry_ms =
        node->store_unavailable[WB_TABLE_NODES] ? RETRY_OTHERS_LOST_MS : RETRY_OTHERS_MS;
    switch (table) {
    case WB_TABLE_CATALOG:
        peer_read_valid_ms = (int64_t)(FRESH_SHARE * (double)settings->catalog_ms);
        wait_ms = node->lease_held ? (int64_t)(HOLDER_POLL_SHARE * (double)peer_read_valid_ms)
                                   : (int64_t)(CATALOG_WAIT_SHARE * (double)settings->catalog_ms);
        pause_ms = node->lease_held ? CATALOG_PAUSE_MS : settings->catalog_ms / CATALOG_POLLS;
        return (wb_table_watch_intervals_t){
            .wait_ms = wait_ms,
            .pause_ms = pause_ms,
            .peer_read_valid_ms = peer_read_valid_ms,
            .look_ms = pause_ms,
            .safety_ms = long_safety_ms,
            .retry_ms = retry_ms,
            .unconfirmed_max_ms = own_wait_ms,
            .full_read_valid_ms = (int64_t)(FULL_READ_FRESH_SHARE * (double)peer_read_valid_ms)};
    case WB_TABLE_ENGINES:
        peer_read_valid_ms = (int64_t)(FRESH_SHARE * (double)settings->drain_ms);
        wait_ms = node->lease_held ? (int64_t)(HOLDER_POLL_SHARE * (double)peer_read_valid_ms)
                                   : ENGINES_WAIT_MS;
        pause_ms = node->lease_held
                       ? wait_ms
                       : MAX(settings->engine_poll_ms, settings->drain_ms / POLLS_PER_DRAIN);
        return (wb_table_watch_intervals_t){
            .wait_ms = wait_ms,
            .pause_ms = pause_ms,
            .peer_read_valid_ms = peer_read_valid_ms,
            .look_ms = settings->drain_ms / POLLS_PER_DRAIN,
            .safety_ms = safety_ms,
            .retry_ms = retry_ms,
            .full_read_valid_ms = (int64_t)(FULL_READ_FRESH_SHARE * (double)peer_read_valid_ms)};
    default:
        /* Only this table shows who holds the lease, so it is polled from the start. */
        return (wb_table_watch_intervals_t){.wait_ms = MIN(NODES_WAIT_MS, node_ms),
                                            .pause_ms = MIN(NODES_PAUSE_MS, node_ms),
                                            .peer_read_valid_ms = NODES_FRESH_MS,
                                            .look_ms = NODES_CHANGE_MS,
                                            .safety_ms = MIN(long_safety_ms, node_life_ms),
                                            .retry_ms = RETRY_NODES_MS};
    }
}

static void update_clear(wb_edge_node_t *node) {
    for (guint i = 0; i < node->update_rows->len; i++)
        xdr_free((xdrproc_t)xdr_wb_wire_table_row,
                 &g_array_index(node->update_rows, wb_wire_table_row, i));
    g_array_set_size(node->update_rows, 0);
    node->update_bytes = 0;
}

void wb_edge_node_updates_drop(wb_edge_node_t *node) {
    update_clear(node);
    node->update_overflow = FALSE;
}

void wb_edge_node_wire_row_add(const wb_edge_node_t *node, GArray *rows, unsigned table,
                               const wb_table_row_t *row) {
    if (wb_store_version_era(row->version) != node->store_era)
        return;
    /* It would keep the whole message from being encoded. No engine and no node has such an id. */
    if (strlen(row->key) > WB_WIRE_NAME_MAX)
        return;
    g_array_set_size(rows, rows->len + 1);
    wb_wire_table_row *wire = &g_array_index(rows, wb_wire_table_row, rows->len - 1);
    *wire = (wb_wire_table_row){.table = table,
                                .key = strdup(row->key),
                                .row_version = wb_edge_node_version_to_wire(node, row->version),
                                .removed = row->value == NULL};
    if (row->value == NULL)
        return;
    wire->value.value_val = malloc(MAX(row->length, 1));
    memcpy(wire->value.value_val, row->value, row->length);
    wire->value.value_len = (u_int)row->length;
}

void wb_edge_node_update_add(wb_edge_node_t *node, wb_table_name_t table,
                             const wb_table_row_t *row) {
    if (!wb_lease_is_own(node->lease) || node->update_overflow)
        return;
    node->update_bytes += strlen(row->key) + row->length;
    if (node->update_bytes * g_hash_table_size(node->gateways) > UPDATE_MAX_BYTES) {
        update_clear(node);
        node->update_overflow = TRUE;
        return;
    }
    wb_edge_node_wire_row_add(node, node->update_rows, table, row);
}

/* Returns how old this node's own copy of a table is. What it read before the store went back is
 * worth nothing to others. */
static unsigned age_ms(const wb_edge_node_t *node, const wb_table_watch_t *watch, int64_t now_ms) {
    int64_t known_ms = wb_table_watch_known_ms(watch);
    return known_ms == 0 || wb_table_watch_read_era(watch) != node->store_era
               ? G_MAXUINT
               : (unsigned)CLAMP(now_ms - known_ms, 0, G_MAXINT);
}

/* Sends the view of each table and the queued rows. Only the catalog's view names the version of
 * the newest row: engine and node rows change all the time in ways that gateways need not know at
 * once. */
static void update_send(wb_edge_node_t *node, int64_t now_ms) {
    const wb_lease_row_t *lease = wb_lease_known_row(node->lease);
    if (lease == NULL)
        return;
    wb_wire_table_view views[] = {
        {WB_TABLE_CATALOG,
         wb_edge_node_version_to_wire(node, wb_table_watch_newest_row(node->catalog_watch)),
         age_ms(node, node->catalog_watch, now_ms)},
        {WB_TABLE_ENGINES, wb_fleet_digest(node->edge.fleet, now_ms),
         age_ms(node, node->engines_watch, now_ms)},
        {WB_TABLE_NODES, 0, age_ms(node, node->nodes_watch, now_ms)},
        {WB_UPDATE_NODE_IDS, wb_equal_share_digest(node->edge.share),
         age_ms(node, node->nodes_watch, now_ms)}, /* must be last: left out unless it is due */
    };
    wb_wire_message message = {.kind = WB_WIRE_STORE_UPDATE};
    wb_wire_store_update *update = &message.wb_wire_message_u.store_update;
    update->views.views_len = G_N_ELEMENTS(views) - !wb_edge_node_share_digest_is_due(node, now_ms);
    update->views.views_val = views;
    wb_lease_row_t lease_copy = wb_edge_node_lease_without_grants(lease);
    update->lease = wb_edge_node_lease_to_wire(&lease_copy);
    update->lease_version =
        wb_edge_node_version_to_wire(node, wb_lease_confirmed_version(node->lease));
    wb_edge_node_zones_append(node, node->update_rows);
    update->rows.rows_len = node->update_rows->len;
    update->rows.rows_val = (wb_wire_table_row *)(void *)node->update_rows->data;
    update->look = node->update_overflow;
    wb_wire_extensions extensions = {0};
    wb_edge_node_sent_add(&extensions, now_ms);
    wb_edge_node_era_add(node, &extensions);
    wb_edge_node_origins_update_add(node, &extensions);
    wb_edge_node_echo_want(node, &extensions);
    wb_edge_node_broadcast_with_extensions(node, &message, &extensions);
    wb_extensions_clear(&extensions);
    update_clear(node);
    node->update_overflow = FALSE;
    node->update_sent_ms = now_ms;
}

void wb_edge_node_set_poll_policies(wb_edge_node_t *node) {
    for (unsigned table = WB_TABLE_CATALOG; table <= WB_TABLE_NODES; table++) {
        wb_table_watch_intervals_t policy = wb_edge_node_poll_policy(node, table);
        wb_table_watch_set_intervals(wb_edge_node_watch(node, table), &policy);
    }
}

void wb_edge_node_tick_updates(wb_edge_node_t *node, int64_t now_ms) {
    /* A holder whose lease has lapsed keeps its rows: gateways that have read the table take its
     * word that they miss none, once it goes on. */
    if (!wb_lease_is_own(node->lease))
        wb_edge_node_updates_drop(node);
    if (!node->lease_held)
        return;
    gboolean pending = node->update_rows->len > 0 || node->update_overflow;
    if (pending || now_ms - node->update_sent_ms >= UPDATE_INTERVAL_MS)
        update_send(node, now_ms);
}

/* Returns TRUE when no engine that the holder knows can be missing here: this node has read the
 * table since the link was opened (earlier changes may have been sent to other gateways only), or
 * both know the same engines and models. */
static gboolean engines_match_holder(const wb_edge_node_t *node, uint64_t holder_digest) {
    gboolean read_since = wb_table_watch_known_ms(node->engines_watch) > node->link_opened_ms &&
                          wb_table_watch_read_era(node->engines_watch) == node->store_era;
    return read_since || wb_fleet_digest(node->edge.fleet, wb_clock_ms()) == holder_digest;
}

/* Counts the holder's read of a table as an own one. For the catalog the view names the newest
 * version, and a missed node row matters only later. */
static void view_take(wb_edge_node_t *node, const wb_wire_table_view *view, int64_t era,
                      int64_t sent_ms) {
    if (view->table == WB_UPDATE_NODE_IDS) {
        wb_edge_node_share_take_digest(node, view, sent_ms);
        return;
    }
    wb_table_watch_t *watch = wb_edge_node_watch(node, view->table);
    if (watch == NULL || !wb_table_watch_is_synced(watch))
        return;
    if (view->table == WB_TABLE_ENGINES && !wb_edge_node_reads_engines(node))
        return; /* the relay sends the age of its rows */
    int64_t known_ms = sent_ms - (int64_t)view->age_ms;
    if (view->table != WB_TABLE_ENGINES)
        wb_table_watch_note_peer_read(watch, wb_edge_node_version_from_wire(era, view->newest),
                                      known_ms);
    else if (engines_match_holder(node, view->newest))
        wb_table_watch_note_peer_read(watch, 0, known_ms);
}

static void row_take(wb_edge_node_t *node, const wb_wire_table_row *wire, int64_t era) {
    if (wire->table == WB_UPDATE_ZONES) {
        wb_edge_node_zone_take(node, wire, era);
        return;
    }
    wb_table_watch_t *watch = wb_edge_node_watch(node, wire->table);
    wb_table_row_t row = {wire->key, wire->removed ? NULL : (guchar *)wire->value.value_val,
                          wire->value.value_len,
                          wb_edge_node_version_from_wire(era, wire->row_version)};
    if (wire->table == WB_TABLE_ENGINES && !wb_edge_node_reads_engines(node) &&
        wb_fleet_find(node->edge.fleet, wire->key) == NULL)
        return; /* not needed by the clients of this node */
    if (watch != NULL)
        wb_table_watch_apply_row(watch, &row);
}

/* A sender names no version while its lease row isn't the one in the store. */
static void lease_take(wb_edge_node_t *node, const wb_wire_store_update *update, int64_t era) {
    wb_lease_row_t lease = wb_edge_node_lease_from_wire(&update->lease);
    lease.era = era;
    node->lease_row_seen |= update->lease_version != 0;
    if (update->lease_version != 0)
        wb_lease_on_row(node->lease, &lease,
                        wb_edge_node_version_from_wire(era, update->lease_version), wb_clock_ms());
}

void wb_edge_node_take_announcement(wb_edge_node_t *node, const wb_wire_store_update *update,
                                    int64_t era) {
    lease_take(node, update, era);
}

void wb_edge_node_take_update(wb_edge_node_t *node, const wb_wire_store_update *update,
                              const wb_wire_extensions *extensions, int64_t era) {
    int64_t now_ms = wb_clock_ms();
    int64_t sent_ms = wb_edge_node_sent_ms(&node->update_transit, extensions, now_ms);
    node->update_received_ms = now_ms;
    wb_edge_node_quota_heard(node, sent_ms);
    if (era < node->store_era)
        return; /* the holder hasn't noticed yet that the store went back */
    wb_edge_node_origins_update_take(node, extensions,
                                     wb_edge_node_version_from_wire(era, update->lease_version));
    lease_take(node, update, era);
    for (guint i = 0; i < update->rows.rows_len; i++)
        row_take(node, &update->rows.rows_val[i], era);
    if (update->look)
        wb_table_watch_poll_soon(node->engines_watch);
    for (guint i = 0; i < update->views.views_len; i++)
        view_take(node, &update->views.views_val[i], era, sent_ms);
    wb_edge_node_echo_return(node, extensions);
}

gboolean wb_edge_node_has_recent_updates(const wb_edge_node_t *node) {
    return node->lease_held || (node->controller_link_open &&
                                wb_clock_ms() - node->update_received_ms < WB_UPDATE_LIFE_MS);
}

void wb_edge_node_expedite_engines(wb_edge_node_t *node) {
    if (!wb_edge_node_has_recent_updates(node)) {
        wb_table_watch_expedite(node->engines_watch);
    }
}
