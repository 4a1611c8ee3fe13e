/* Follows the store's tables: the catalog, engines, and this system's own rows for nodes and the
 * lease. Keeps this node's own row alive.
 * Times are in ms. Failed calls are logged as store-lost once per table and retried. */
#include "edge/edge_node_types.h"

#include <string.h>

/* Number of writes of a node's row in the row's lifetime. */
#define NODE_ROW_RENEWALS 3
/* A failed write is retried after this delay, doubled each time up to the maximum. */
#define NODE_ROW_RETRY_MS 500
#define NODE_ROW_RETRY_MAX_MS 8000
/* Max random delay before a node writes its row again after the store has lost it. */
#define NODE_ROW_LOST_SPREAD_MS 500
#define STORE_CALLS_LOG_MS 5000
/* Min interval of the log line about discarded reads. */
#define DISCARDED_LOG_MS 1000
#define NODE_KEY_PREFIX "node/"

/* Polls the other tables at once when one answers again; they are polled rarely while they fail. */
static void tables_retry(wb_edge_node_t *node) {
    wb_table_watch_retry_now(node->catalog_watch);
    wb_table_watch_retry_now(node->engines_watch);
    wb_table_watch_retry_now(node->nodes_watch);
    if (!node->node_row_written)
        node->node_row_due_ms = 0;
}

static const char *const table_names[] = {"catalog", "engines", "nodes", "streams"};

/* Counts each call to the store; logs when a table becomes unavailable and when it answers again.
 */
static void store_call_done(wb_table_name_t table, wb_store_cause_t cause, gboolean succeeded,
                            int64_t age_ms, void *context) {
    wb_edge_node_t *node = context;
    wb_edge_node_tick_era(node);
    wb_store_calls_note(&node->edge.metrics.store_calls, table, cause);
    if (!succeeded)
        wb_store_calls_note_failure(&node->edge.metrics.store_calls);
    if (node->store_unavailable[table] == !succeeded)
        return;
    node->store_unavailable[table] = !succeeded;
    if (table == WB_TABLE_NODES) {
        wb_edge_node_set_poll_policies(node);
        if (succeeded)
            wb_lease_on_store_recovered(node->lease, wb_clock_ms());
    }
    if (succeeded)
        tables_retry(node);
    wb_event(succeeded ? "store-back" : "store-lost", ",\"table\":\"%s\",\"age_ms\":%lld",
             table_names[table], (long long)(age_ms == G_MAXINT64 ? -1 : age_ms));
}

static void store_read_discarded(wb_table_name_t table, int64_t known_version, int64_t read_version,
                                 void *context) {
    wb_edge_node_t *node = context;
    int64_t now_ms = wb_clock_ms();
    node->edge.metrics.store_reads_discarded++;
    if (now_ms - node->read_discarded_ms < DISCARDED_LOG_MS)
        return;
    node->read_discarded_ms = now_ms;
    wb_event("store-read-discarded",
             ",\"table\":\"%s\",\"known_version\":%lld,\"read_version\":%lld,\"era\":%lld",
             table_names[table], (long long)wb_store_version_number(known_version),
             (long long)wb_store_version_number(read_version),
             (long long)wb_store_version_era(read_version));
}

void wb_edge_node_rows_refused(wb_table_name_t table, unsigned rows, void *context) {
    wb_edge_node_t *node = context;
    node->edge.metrics.rows_refused += rows;
    wb_event("store-rows-refused", ",\"table\":\"%s\",\"rows\":%u", table_names[table], rows);
}

/* The catalog. */

/* Returns TRUE while the store may lack a configuration that was acknowledged before it went back.
 * Once the operator has written a newer one, that is the newest. */
static gboolean catalog_is_settling(const wb_edge_node_t *node) {
    return wb_table_watch_is_settling(node->catalog_watch) && node->edge.catalog != NULL &&
           node->edge.catalog->version <= node->catalog_before_rollback;
}

int64_t wb_edge_node_catalog_age_ms(void *context) {
    const wb_edge_node_t *node = context;
    const wb_table_watch_t *watch = node->catalog_watch;
    return wb_clock_ms() - (catalog_is_settling(node)
                                ? wb_table_watch_fresh_before_rollback_ms(watch)
                                : wb_table_watch_fresh_ms(watch));
}

int64_t wb_edge_node_catalog_behind_ms(void *context) {
    const wb_edge_node_t *node = context;
    int64_t since_ms = wb_table_watch_behind_since_ms(node->catalog_watch);
    if (since_ms == 0) {
        since_ms = wb_catalog_reader_pending_since_ms(node->catalog_reader);
    }
    return since_ms != 0 ? MAX(wb_clock_ms() - since_ms, 1) : 0; /* 0 means not behind */
}

/* Logs once that the newest configuration that the holder named isn't here after half of the time
 * within which it must be in force. */
static void catalog_behind_check(wb_edge_node_t *node) {
    int64_t behind_ms = wb_edge_node_catalog_behind_ms(node);
    if (behind_ms <= node->edge.settings.catalog_ms / 2) {
        node->catalog_behind_logged = FALSE;
        return;
    }
    if (node->catalog_behind_logged) {
        return;
    }
    node->catalog_behind_logged = TRUE;
    wb_event("catalog-behind", ",\"version\":%lld,\"for_ms\":%lld,\"own_read_age_ms\":%lld",
             (long long)(node->edge.catalog != NULL ? node->edge.catalog->version : 0),
             (long long)behind_ms,
             (long long)(wb_clock_ms() - wb_table_watch_known_ms(node->catalog_watch)));
}

static void catalog_take(wb_edge_node_t *node, wb_catalog_t *catalog, int64_t row_version,
                         int64_t parse_ms) {
    wb_edge_t *edge = &node->edge;
    wb_catalog_t *previous = edge->catalog;
    int64_t before = previous != NULL ? previous->version : 0;
    edge->catalog = catalog;
    wb_edge_node_origins_catalog(node, previous, catalog);
    wb_catalog_unref(previous);
    wb_http_limits_t limits = {catalog->limits.head_bytes, catalog->limits.body_bytes,
                               catalog->limits.head_timeout_ms, catalog->limits.idle_timeout_ms,
                               edge->settings.catalog_ms};
    wb_http_listener_set_limits(node->client_listener, &limits);
    wb_controller_set_catalog(node->controller, catalog);
    wb_edge_node_quota_set_limits(node);
    int64_t named_ms = wb_table_watch_named_ms(node->catalog_watch, row_version);
    wb_event("catalog-in-force",
             ",\"version\":%lld,\"before\":%lld,\"routes\":%u,\"services\":%u,"
             "\"row_version\":%lld,\"era\":%lld,\"parse_ms\":%lld,\"named_for_ms\":%lld",
             (long long)catalog->version, (long long)before, catalog->route_count,
             g_hash_table_size(catalog->services), (long long)wb_store_version_number(row_version),
             (long long)wb_store_version_era(row_version), (long long)parse_ms,
             named_ms != 0 ? (long long)(wb_clock_ms() - named_ms) : 0LL);
}

static void catalog_read_done(wb_catalog_t *catalog, int64_t row_version, int64_t took_ms,
                              const wb_error_t *error, void *context) {
    wb_edge_node_t *node = context;
    if (catalog == NULL) {
        node->edge.metrics.rows_refused++;
        wb_event("catalog-refused", ",\"row_version\":%lld,\"reason\":\"%s\"",
                 (long long)wb_store_version_number(row_version), error->message);
        return;
    }
    if (node->edge.catalog != NULL && catalog->version <= node->edge.catalog->version) {
        wb_catalog_unref(catalog);
        return;
    }
    catalog_take(node, catalog, row_version, took_ms);
    wb_exchanges_recheck_keys(&node->edge);
    wb_exchanges_retry_waiting(&node->edge);
}

static void catalog_row(const wb_table_row_t *row, void *context) {
    wb_edge_node_t *node = context;
    if (wb_edge_node_zone_row(node, row))
        return;
    if (strcmp(row->key, node->edge.dialect->catalog_key) != 0 || row->value == NULL)
        return;
    wb_edge_node_catalog_keep(node, row);
    node->update_sent_ms = 0; /* name it to gateways at the next tick */
    wb_catalog_reader_take(node->catalog_reader, row);
}

static void catalog_batch(gboolean full_read, void *context) {
    (void)full_read;
    (void)context; /* catalog_read_done runs for each configuration */
}

/* The nodes table: nodes and the controller's lease. */

/* Reads the extensions of the lease row, which builds before format version 2 don't write.
 * @param extensions out @return FALSE: they are malformed */
static gboolean lease_extensions_read(wb_edge_node_t *node, XDR *stream,
                                      wb_wire_extensions *extensions, int64_t *era) {
    wb_wire_writer writer = {1};
    wb_wire_era written;
    gboolean readable = xdr_wb_wire_extensions(stream, extensions);
    if (!readable) {
        wb_event_members("lease-parts-refused", "");
        wb_extensions_clear(extensions);
    }
    wb_extensions_read(extensions, WB_WIRE_EXTENSION_WRITER, (xdrproc_t)xdr_wb_wire_writer,
                       &writer);
    if (wb_extensions_read(extensions, WB_WIRE_EXTENSION_ERA, (xdrproc_t)xdr_wb_wire_era, &written))
        *era = (int64_t)MIN(written.era, (uint64_t)WB_STORE_ERA_MAX);
    if (writer.form != node->lease_format_version) {
        wb_event("lease-form", ",\"form\":%u,\"own\":%d", writer.form, WB_WIRE_FORMAT_VERSION);
    }
    node->lease_format_version = writer.form;
    return readable;
}

/* Reads what follows the lease in its row, as far as it goes. Where one part can't be read, what
 * comes behind it isn't what it stands for. Returns FALSE then. */
static gboolean appended_data_read(wb_edge_node_t *node, XDR *stream, gsize length,
                                   wb_wire_extensions *extensions, int64_t *era) {
    if (xdr_getpos(stream) < length && !wb_edge_node_poison_read(node, stream))
        return FALSE;
    if (xdr_getpos(stream) < length && !wb_edge_node_quota_read(node, stream))
        return FALSE;
    return xdr_getpos(stream) >= length || lease_extensions_read(node, stream, extensions, era);
}

void wb_edge_node_take_lease_row(wb_edge_node_t *node, const wb_table_row_t *row) {
    int64_t now_ms = wb_clock_ms();
    if (row->value == NULL) {
        wb_lease_on_row(node->lease, NULL, row->version, now_ms);
        return;
    }
    wb_wire_lease wire;
    memset(&wire, 0, sizeof(wire));
    wb_wire_extensions extensions = {0};
    XDR stream;
    xdrmem_create(&stream, (char *)row->value, (u_int)row->length, XDR_DECODE);
    /* A row of a build that names no era is taken for current until a rollback was seen. */
    int64_t era = node->has_seen_rollback ? 0 : wb_store_version_era(row->version);
    gboolean decoded = xdr_wb_wire_lease(&stream, &wire);
    gboolean readable =
        decoded && appended_data_read(node, &stream, row->length, &extensions, &era);
    xdr_destroy(&stream);
    if (decoded) {
        wb_lease_row_t lease = wb_edge_node_lease_from_wire(&wire);
        lease.era = era;
        if (era < wb_store_version_era(row->version))
            wb_event("lease-row-copied",
                     ",\"row_version\":%lld,\"era\":%lld,\"written_in\":%lld,\"held\":%s",
                     (long long)wb_store_version_number(row->version),
                     (long long)wb_store_version_era(row->version), (long long)era,
                     wb_lease_is_held(node->lease, now_ms) ? "true" : "false");
        wb_lease_on_row(node->lease, &lease, row->version, now_ms);
        /* After wb_lease_on_row, which finds out whose row it is. */
        if (readable)
            wb_edge_node_origins_read(node, &extensions, row->version,
                                      era < wb_store_version_era(row->version));
    } else {
        node->edge.metrics.rows_refused++;
        wb_event("lease-row-refused", ",\"row_version\":%lld",
                 (long long)wb_store_version_number(row->version));
        wb_lease_on_unreadable_row(node->lease, row->version, now_ms);
    }
    node->lease_row_seen = TRUE;
    wb_extensions_clear(&extensions);
    xdr_free((xdrproc_t)xdr_wb_wire_lease, &wire);
}

static void node_row_take(wb_edge_node_t *node, const wb_table_row_t *row) {
    const char *id = row->key + strlen(NODE_KEY_PREFIX);
    if (row->value == NULL) {
        g_hash_table_remove(node->nodes, id);
        wb_equal_share_remove(node->edge.share, id, wb_clock_ms());
        wb_edge_node_update_add(node, WB_TABLE_NODES, row);
        return;
    }
    if (!g_hash_table_contains(node->nodes, id))
        wb_edge_node_update_add(node, WB_TABLE_NODES, row);
    wb_node_row_t *known = g_new0(wb_node_row_t, 1);
    known->seen_ms = wb_clock_ms();
    known->version = row->version;
    wb_equal_share_add(node->edge.share, id, known->seen_ms);
    wb_node_row_read(row->value, row->length, known);
    g_hash_table_replace(node->nodes, g_strdup(id), known);
}

static void nodes_row(const wb_table_row_t *row, void *context) {
    wb_edge_node_t *node = context;
    if (strcmp(row->key, WB_LEASE_KEY) == 0)
        wb_edge_node_take_lease_row(node, row);
    else if (g_str_has_prefix(row->key, NODE_KEY_PREFIX))
        node_row_take(node, row);
}

static int64_t node_row_life_ms(const wb_edge_node_t *node) {
    return (int64_t)(node->edge.settings.node_life_s * 1000);
}

/* The row of an earlier process on the same machine stands for this one. It may be as old as one
 * renewal interval, so the next write comes within another one. */
static void own_row_adopt(wb_edge_node_t *node) {
    if (node->node_row_written || node->node_row_writing || node->node_row_due_ms != 0 ||
        !g_hash_table_contains(node->nodes, node->edge.settings.id)) {
        return;
    }
    int64_t renewal_ms = node_row_life_ms(node) / NODE_ROW_RENEWALS;
    node->node_row_written = TRUE;
    node->node_row_adopted = TRUE;
    node->node_row_due_ms = wb_clock_ms() + g_random_int_range(0, (gint32)MAX(renewal_ms, 1));
}

/* Writes this node's row again if the copy that the store came back from lacks it. */
static void own_row_restore(wb_edge_node_t *node) {
    const wb_node_row_t *known = g_hash_table_lookup(node->nodes, node->edge.settings.id);
    int64_t latest_ms = wb_clock_ms() + NODE_ROW_LOST_SPREAD_MS;
    gboolean is_lost = known != NULL && wb_store_version_era(known->version) !=
                                            wb_table_watch_read_era(node->nodes_watch);
    if (is_lost && node->node_row_due_ms > latest_ms)
        node->node_row_due_ms = latest_ms - g_random_int_range(0, NODE_ROW_LOST_SPREAD_MS);
}

static void nodes_batch(gboolean full_read, void *context) {
    wb_edge_node_t *node = context;
    if (full_read)
        /* A full read without the lease row: the store has no holder of this era. */
        wb_lease_on_row(node->lease, NULL,
                        wb_store_version(wb_table_watch_read_era(node->nodes_watch), 0),
                        wb_clock_ms());
    node->edge.node_count = g_hash_table_size(node->nodes);
    wb_edge_node_check_lease(node);
    own_row_adopt(node);
    if (full_read)
        own_row_restore(node);
}

static void node_row_write_done(const wb_table_answer_t *answer, void *context) {
    wb_edge_node_t *node = context;
    node->node_row_writing = FALSE;
    int64_t now_ms = wb_clock_ms();
    if (answer->outcome == WB_TABLE_DONE) {
        if (node->node_row_creating) {
            node->node_row_created = TRUE;
            wb_table_watch_expedite(node->nodes_watch);
        }
        node->node_row_written = TRUE;
        node->node_row_retry_ms = 0;
        node->node_row_due_ms = now_ms + node_row_life_ms(node) / NODE_ROW_RENEWALS;
        return;
    }
    wb_node_row_t *known = g_hash_table_lookup(node->nodes, node->edge.settings.id);
    if (answer->outcome == WB_TABLE_CONFLICT && answer->rows->len == 0 && known != NULL)
        known->version = 0; /* the row isn't there any more */
    for (guint i = 0; i < answer->rows->len; i++) {
        const wb_table_row_t *row = g_ptr_array_index(answer->rows, i);
        if (wb_store_version_number(row->version) > 0 && row->value != NULL)
            node_row_take(node, row);
    }
    node->node_row_retry_ms =
        CLAMP(2 * node->node_row_retry_ms, NODE_ROW_RETRY_MS, NODE_ROW_RETRY_MAX_MS);
    node->node_row_due_ms = now_ms + node->node_row_retry_ms;
}

/* Writes this node's row, by which all nodes count the nodes that share cluster-wide budgets. */
static void node_row_write(wb_edge_node_t *node) {
    const wb_node_row_t *known = g_hash_table_lookup(node->nodes, node->edge.settings.id);
    g_autofree char *key = g_strconcat(NODE_KEY_PREFIX, node->edge.settings.id, NULL);
    const char *tunnels = wb_edge_node_tunnel_address(node);
    g_autofree char *value =
        g_strdup_printf("%s %llu %.3f %d %s %s", wb_edge_node_address(node),
                        (unsigned long long)++node->node_row_writes,
                        node->edge.settings.processor_share, WB_WIRE_FORMAT_VERSION,
                        *tunnels != '\0' ? tunnels : WB_NODE_ROW_NONE, node->edge.settings.zone);
    node->node_row_writing = TRUE;
    node->node_row_creating = known == NULL;
    wb_store_calls_note(&node->edge.metrics.store_calls, WB_TABLE_NODES, WB_STORE_CAUSE_WRITE);
    /* A row of an earlier era that wasn't read again is missing in the store's copy. */
    gboolean is_stored = known != NULL && wb_store_version_era(known->version) == node->store_era;
    node->table->write(node->table, WB_TABLE_NODES, key, is_stored ? known->version : 0,
                       (const guchar *)value, strlen(value), node_row_write_done, node);
}

static void node_row_remove_done(const wb_table_answer_t *answer, void *context) {
    (void)answer; /* the row has expired here whatever the outcome */
    (void)context;
}

/* The lease holder removes expired rows; they would make the shares of the other nodes too small.
 */
static void node_row_remove(wb_edge_node_t *node, const char *id, const wb_node_row_t *row) {
    g_autofree char *key = g_strconcat(NODE_KEY_PREFIX, id, NULL);
    wb_event("node-forgotten", ",\"of\":\"%s\",\"row_version\":%lld", id,
             (long long)wb_store_version_number(row->version));
    wb_store_calls_note(&node->edge.metrics.store_calls, WB_TABLE_NODES, WB_STORE_CAUSE_WRITE);
    node->table->write(node->table, WB_TABLE_NODES, key, row->version, NULL, 0,
                       node_row_remove_done, node);
}

static void node_rows_expire(wb_edge_node_t *node) {
    int64_t known_ms = wb_table_watch_known_ms(node->nodes_watch);
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    g_hash_table_iter_init(&iter, node->nodes);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const wb_node_row_t *row = value;
        /* Only a row that was read again without a change has expired. */
        if (known_ms - row->seen_ms <= node_row_life_ms(node)) {
            continue;
        }
        if (node->lease_held)
            node_row_remove(node, id, row);
        wb_equal_share_remove(node->edge.share, id, wb_clock_ms());
        g_hash_table_iter_remove(&iter);
    }
    node->edge.node_count = g_hash_table_size(node->nodes);
}

void wb_edge_node_tick_rows(wb_edge_node_t *node, int64_t now_ms) {
    wb_edge_node_tick_era(node);
    if (wb_table_watch_is_synced(node->nodes_watch) && !node->node_row_writing &&
        now_ms >= node->node_row_due_ms)
        node_row_write(node);
    node_rows_expire(node);
    catalog_behind_check(node);
    wb_store_calls_log(&node->edge.metrics.store_calls, STORE_CALLS_LOG_MS, now_ms);
}

void wb_edge_node_follow_store(wb_edge_node_t *node) {
    wb_loop_t *loop = node->edge.loop;
    node->catalog_reader =
        wb_catalog_reader_create(loop, node->edge.dialect, catalog_read_done, node);
    wb_table_watch_events_t catalog = {.on_row = catalog_row,
                                       .on_batch = catalog_batch,
                                       .on_call = store_call_done,
                                       .context = node,
                                       .on_read_discarded = store_read_discarded,
                                       .on_rows_refused = wb_edge_node_rows_refused};
    wb_table_watch_events_t engines = {.on_row = wb_edge_node_engine_row,
                                       .on_batch = wb_edge_node_engine_batch,
                                       .on_call = store_call_done,
                                       .context = node,
                                       .on_row_limit = wb_edge_node_directory_on_large,
                                       .on_read_discarded = store_read_discarded,
                                       .on_rows_refused = wb_edge_node_rows_refused};
    wb_table_watch_events_t nodes = {.on_row = nodes_row,
                                     .on_batch = nodes_batch,
                                     .on_call = store_call_done,
                                     .context = node,
                                     .on_read_discarded = store_read_discarded,
                                     .on_rows_refused = wb_edge_node_rows_refused};
    wb_table_watch_intervals_t policy = wb_edge_node_poll_policy(node, WB_TABLE_CATALOG);
    node->catalog_watch =
        wb_table_watch_create(loop, node->table, WB_TABLE_CATALOG, &policy, &catalog);
    policy = wb_edge_node_poll_policy(node, WB_TABLE_ENGINES);
    node->engines_watch =
        wb_table_watch_create(loop, node->table, WB_TABLE_ENGINES, &policy, &engines);
    wb_table_watch_set_row_limit(node->engines_watch,
                                 (unsigned)node->edge.settings.engine_rows_most);
    policy = wb_edge_node_poll_policy(node, WB_TABLE_NODES);
    node->nodes_watch = wb_table_watch_create(loop, node->table, WB_TABLE_NODES, &policy, &nodes);
}
