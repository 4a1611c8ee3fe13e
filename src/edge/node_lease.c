/* The placement controller's lease: encodes and decodes its row in the store, and runs its renewal
 * and takeover.
 * Times are in ms. A failed or lost write is reported to wb_lease_t, which decides on the next one.
 */
#include "edge/edge_node_types.h"

#include <string.h>

/* The store's limit for a row. The lease, with the names of up to 1,150 engines, leaves room in it
 * for the data appended by appended_data_write, with up to 128 poison requests. */
#define ROW_BYTES (64 * 1024)
#define LEASE_MAX_BYTES (48 * 1024)
/* Mean time between the takeover attempts of two nodes, so that most nodes see the new holder, some
 * 60 ms after it took over, before their own attempt. */
#define TAKEOVER_GAP_MS 30
/* Min interval over which the takeover attempts are spread. */
#define TAKEOVER_SPREAD_MS 200
/* Delay before weaker machines attempt a takeover, so that the strongest go first: the spread of a
 * few nodes and one write to the store. */
#define TAKEOVER_WEAK_DELAY_MS 300
/* Delay before isolated nodes attempt one, as they could send no orders: all others go first. */
#define TAKEOVER_ISOLATED_DELAY_MS 3000
/* A machine is strong if its processor share is at least this ratio of the largest. */
#define STRONG_PROCESSOR_RATIO 0.8

void wb_edge_node_check_lease(wb_edge_node_t *node) {
    gboolean held = wb_lease_is_held(node->lease, wb_clock_ms());
    uint64_t token = wb_lease_token(node->lease);
    const wb_lease_row_t *known = wb_lease_known_row(node->lease);
    if (held != node->lease_held) {
        node->lease_held = held;
        wb_edge_node_set_poll_policies(node);
        wb_event(held ? "lease-held" : "lease-not-held",
                 ",\"token\":%llu,\"known_holder\":\"%s\",\"known_token\":%llu",
                 (unsigned long long)token, known != NULL ? known->holder : "",
                 known != NULL ? (unsigned long long)known->token : 0ULL);
        if (held) {
            node->edge.metrics.lease_takeovers++;
            /* Until now the previous holder's reads were enough; placement decisions need this
             * node's own. */
            wb_table_watch_poll_soon(node->engines_watch);
            wb_table_watch_poll_soon(node->catalog_watch);
        }
    }
    /* An expired lease stops orders at once. The controller's view of the engines stays valid until
     * another node has held the lease. */
    if (held)
        wb_controller_set_lease(node->controller, token, wb_lease_predecessor(node->lease));
    else if (known != NULL && known->token != token)
        wb_controller_set_lease(node->controller, 0, NULL);
}

/* A write of the lease row. */
typedef struct wb_lease_call_t {
    wb_edge_node_t *node;
    uint64_t beat;
    wb_origins_write_t origins;
} wb_lease_call_t;

static void lease_write_done(const wb_table_answer_t *answer, void *context) {
    g_autofree wb_lease_call_t *call = context;
    wb_edge_node_t *node = call->node;
    int64_t now_ms = wb_clock_ms();
    switch (answer->outcome) {
    case WB_TABLE_DONE:
        wb_lease_on_written(node->lease, call->beat, answer->version, now_ms);
        wb_edge_node_origins_written(node, &call->origins, answer->version);
        break;
    case WB_TABLE_UNKNOWN:
        wb_lease_on_write_unknown(node->lease, call->beat, now_ms);
        break;
    default:
        wb_lease_on_not_written(node->lease, call->beat, now_ms);
        for (guint i = 0; i < answer->rows->len; i++) {
            const wb_table_row_t *row = g_ptr_array_index(answer->rows, i);
            if (strcmp(row->key, WB_LEASE_KEY) == 0 && wb_store_version_number(row->version) > 0)
                wb_edge_node_take_lease_row(node, row);
        }
    }
    wb_edge_node_check_lease(node);
}

wb_wire_lease wb_edge_node_lease_to_wire(const wb_lease_row_t *row) {
    return (wb_wire_lease){.holder = row->holder,
                           .address = row->address,
                           .token = row->token,
                           .beat = row->beat,
                           .released = row->released,
                           .recent_loads = row->recent_loads,
                           .has_grants = row->has_grants,
                           .grants_unlisted = row->grants_unlisted,
                           .granted = {row->granted_count, row->granted},
                           .inherited = {row->inherited_count, row->inherited}};
}

wb_lease_row_t wb_edge_node_lease_from_wire(const wb_wire_lease *wire) {
    return (wb_lease_row_t){.holder = wire->holder,
                            .address = wire->address,
                            .token = wire->token,
                            .beat = wire->beat,
                            .released = wire->released,
                            .recent_loads = wire->recent_loads,
                            .has_grants = wire->has_grants,
                            .grants_unlisted = wire->grants_unlisted,
                            .granted = wire->granted.granted_val,
                            .granted_count = wire->granted.granted_len,
                            .inherited = wire->inherited.inherited_val,
                            .inherited_count = wire->inherited.inherited_len};
}

wb_lease_row_t wb_edge_node_lease_without_grants(const wb_lease_row_t *row) {
    wb_lease_row_t copy = *row;
    copy.has_grants = FALSE;
    copy.granted_count = 0;
    copy.inherited_count = 0;
    return copy;
}

/* Adds the format version of this build, the era of the store that the row is written in, and where
 * streams may have begun. */
static void extensions_add(wb_lease_call_t *call, int64_t era, int64_t expected_version,
                           wb_wire_extensions *extensions) {
    wb_wire_writer writer = {WB_WIRE_FORMAT_VERSION};
    wb_wire_era written = {(uint64_t)era};
    wb_extensions_add(extensions, WB_WIRE_EXTENSION_WRITER, (xdrproc_t)xdr_wb_wire_writer, &writer);
    wb_extensions_add(extensions, WB_WIRE_EXTENSION_ERA, (xdrproc_t)xdr_wb_wire_era, &written);
    wb_edge_node_origins_write(call->node, expected_version, extensions, &call->origins);
}

/* Returns bytes written; 0: they don't fit. */
static u_int extensions_write(wb_wire_extensions *extensions, char *bytes, u_int room) {
    XDR stream;
    xdrmem_create(&stream, bytes, room, XDR_ENCODE);
    gboolean encoded = xdr_wb_wire_extensions(&stream, extensions);
    u_int length = encoded ? xdr_getpos(&stream) : 0;
    xdr_destroy(&stream);
    return length;
}

/* Writes the data that follows the lease: poison requests, quota shares, extensions. Each is
 * decoded from where the previous one ends, so writing stops at the first that doesn't fit. Returns
 * bytes written. */
static u_int appended_data_write(wb_lease_call_t *call, wb_wire_extensions *extensions, char *bytes,
                                 u_int room) {
    u_int poison = wb_edge_node_poison_write(call->node, bytes, room);
    if (poison == 0)
        return 0;
    u_int quota = wb_edge_node_quota_write(call->node, bytes + poison, room - poison);
    if (quota == 0)
        return poison;
    u_int length = poison + quota;
    u_int extended = extensions_write(extensions, bytes + length, room - length);
    call->origins.is_written = extended > 0;
    return length + extended;
}

static void lease_write(wb_edge_node_t *node, const wb_lease_row_t *row, int64_t expected_version) {
    g_autofree char *bytes = g_malloc(ROW_BYTES);
    wb_wire_lease wire = wb_edge_node_lease_to_wire(row);
    wire.recent_loads = wb_controller_recent_loads(node->controller);
    XDR stream;
    xdrmem_create(&stream, bytes, LEASE_MAX_BYTES, XDR_ENCODE);
    gboolean encoded = xdr_wb_wire_lease(&stream, &wire);
    u_int length = xdr_getpos(&stream);
    xdr_destroy(&stream);
    if (!encoded) {
        wb_event("lease-row-too-long", ",\"granted\":%u,\"inherited\":%u", row->granted_count,
                 row->inherited_count);
        wb_lease_on_not_written(node->lease, row->beat, wb_clock_ms());
        return;
    }
    wb_lease_call_t *call = g_new0(wb_lease_call_t, 1);
    *call = (wb_lease_call_t){.node = node, .beat = row->beat};
    wb_wire_extensions extensions = {0};
    extensions_add(call, row->era, expected_version, &extensions);
    length += appended_data_write(call, &extensions, bytes + length, ROW_BYTES - length);
    wb_extensions_clear(&extensions);
    wb_store_calls_note(&node->edge.metrics.store_calls, WB_TABLE_NODES, WB_STORE_CAUSE_WRITE);
    node->table->write(node->table, WB_TABLE_NODES, WB_LEASE_KEY, expected_version,
                       (const guchar *)bytes, length, lease_write_done, call);
}

/* Returns FALSE while this node must not take over the lease, as the store hasn't answered a read
 * that began after the holder's last update: if the store is unavailable, the holder has lost it as
 * well. */
static gboolean store_confirmed_since_update(const wb_edge_node_t *node) {
    return wb_lease_is_own(node->lease) || wb_lease_known_row(node->lease) == NULL ||
           wb_table_watch_known_ms(node->nodes_watch) >= node->update_received_ms;
}

/* Makes the nodes with the strongest processors attempt a takeover first. */
static void takeover_spread_set(wb_edge_node_t *node) {
    double own = node->edge.settings.processor_share;
    double strongest = own;
    int64_t strong_count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, node->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        strongest = MAX(strongest, ((const wb_node_row_t *)value)->processor_share);
    }
    g_hash_table_iter_init(&iter, node->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        strong_count +=
            ((const wb_node_row_t *)value)->processor_share >= STRONG_PROCESSOR_RATIO * strongest;
    }
    gboolean strong = own >= STRONG_PROCESSOR_RATIO * strongest;
    int64_t candidates = strong ? strong_count : (int64_t)node->edge.node_count;
    int64_t first_ms = strong ? 0 : TAKEOVER_WEAK_DELAY_MS;
    if (node->edge.isolated_since_ms != 0)
        first_ms += TAKEOVER_ISOLATED_DELAY_MS;
    wb_lease_set_takeover_delay(node->lease, first_ms,
                                MAX(TAKEOVER_SPREAD_MS, TAKEOVER_GAP_MS * candidates));
}

void wb_edge_node_tick_lease(wb_edge_node_t *node, int64_t now_ms) {
    wb_lease_row_t row;
    int64_t expected_version;
    if (!node->lease_held && wb_edge_node_reads_engines(node)) {
        takeover_spread_set(node);
    }
    if (wb_edge_node_reads_engines(node) && wb_table_watch_is_synced(node->nodes_watch) &&
        store_confirmed_since_update(node) &&
        wb_lease_next_write(node->lease, now_ms, &row, &expected_version)) {
        lease_write(node, &row, expected_version);
        node->edge.metrics.lease_resends = wb_lease_resends(node->lease);
    }
    wb_edge_node_check_lease(node);
}

gboolean wb_edge_node_may_act(void *context) {
    wb_edge_node_t *node = context;
    return wb_lease_is_held(node->lease, wb_clock_ms());
}

int64_t wb_edge_node_authorize_order(const char *engine, void *context) {
    wb_edge_node_t *node = context;
    int64_t now_ms = wb_clock_ms();
    int64_t wait_ms = wb_lease_authorize_order(node->lease, engine, now_ms);
    if (wait_ms < 0) {
        /* The engine may be ordered only once the row names it, so write the row without waiting
         * for the next tick. */
        wb_edge_node_tick_lease(node, now_ms);
    }
    return wait_ms;
}

int64_t wb_edge_node_blocked_ms(const char *engine, void *context) {
    const wb_edge_node_t *node = context;
    return wb_lease_blocked_ms(node->lease, engine, wb_clock_ms());
}

void wb_edge_node_open_lease(wb_edge_node_t *node) {
    const wb_edge_settings_t *settings = &node->edge.settings;
    wb_lease_settings_t lease = {settings->id,
                                 wb_edge_node_address(node),
                                 settings->lease_duration_ms,
                                 settings->lease_renew_ms,
                                 settings->lease_quiet_ms,
                                 settings->lease_margin_ms,
                                 settings->store_timeout_ms,
                                 TAKEOVER_SPREAD_MS};
    node->lease = wb_lease_create(&lease);
}
