/* The lease of the placement controller as a row of the store. */
#include "edge/edge_node_types.h"

#include <string.h>

/* The store takes rows of 64 KiB at most. The lease has room for 1,150 engines' names of 30 bytes,
 * poison requests for 128 of them. */
#define ROW_BYTES (64 * 1024)
#define LEASE_BYTES (48 * 1024)
/* Nodes try to take a lease over so far apart on average, so the first of any number tries soon,
 * and most others hear of it (some 60 ms later) before their turn. */
#define TAKEOVER_GAP_MS 30
/* Few nodes spread their tries over so long. */
#define TAKEOVER_SPREAD_MS 200
/* Weaker machines leave the first tries to the strongest for so long: the spread of few nodes, and
 * a write to the store. A holder with an eighth of a core before 84 gateways costs 0.04 of worth.
 */
#define TAKEOVER_WEAK_MS 300
/* A machine is as good as the strongest if it has this share of its processor. */
#define STRONG_SHARE 0.8

void wb_edge_node_check_lease(wb_edge_node_t *node) {
    gboolean held = wb_lease_is_held(node->lease, wb_clock_ms());
    uint64_t token = wb_lease_token(node->lease);
    const wb_lease_row_t *known = wb_lease_known_row(node->lease);
    if (held != node->held) {
        node->held = held;
        wb_edge_node_set_paces(node);
        wb_event(held ? "lease-held" : "lease-not-held",
                 ",\"token\":%llu,\"known_holder\":\"%s\",\"known_token\":%llu",
                 (unsigned long long)token, known != NULL ? wb_event_escape(known->holder) : "",
                 known != NULL ? (unsigned long long)known->token : 0ULL);
        if (held) {
            node->edge.metrics.lease_takeovers++;
            /* Others' readings were enough until now; decisions need this node's own. */
            wb_table_watch_poll_soon(node->engines_watch);
            wb_table_watch_poll_soon(node->catalog_watch);
        }
    }
    /* A lapse stops orders at once; what is believed of engines stays good while nobody else held
     * it. */
    if (held)
        wb_controller_set_lease(node->controller, token, wb_lease_predecessor(node->lease));
    else if (known != NULL && known->token != token)
        wb_controller_set_lease(node->controller, 0, NULL);
}

static void lease_answered(const wb_table_answer_t *answer, void *context) {
    wb_edge_node_t *node = context;
    int64_t now_ms = wb_clock_ms();
    switch (answer->outcome) {
    case WB_TABLE_DONE:
        wb_lease_on_written(node->lease, answer->version, now_ms);
        break;
    case WB_TABLE_UNKNOWN:
        wb_lease_on_write_unknown(node->lease, now_ms);
        break;
    default:
        wb_lease_on_not_written(node->lease, now_ms);
        for (guint i = 0; i < answer->rows->len; i++) {
            const wb_table_row_t *row = g_ptr_array_index(answer->rows, i);
            if (strcmp(row->key, WB_LEASE_KEY) == 0 && row->version > 0)
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

wb_lease_row_t wb_edge_node_lease_in_short(const wb_lease_row_t *row) {
    wb_lease_row_t in_short = *row;
    in_short.has_grants = FALSE;
    in_short.granted_count = 0;
    in_short.inherited_count = 0;
    return in_short;
}

/* Says of which build the row is. Returns bytes written, 0 when there is no room. */
static u_int parts_write(char *bytes, u_int room) {
    wb_wire_extensions parts = {0};
    wb_wire_writer writer = {WB_WIRE_FORMAT_VERSION};
    XDR stream;
    wb_extensions_add(&parts, WB_WIRE_EXTENSION_WRITER, (xdrproc_t)xdr_wb_wire_writer, &writer);
    xdrmem_create(&stream, bytes, room, XDR_ENCODE);
    gboolean whole = xdr_wb_wire_extensions(&stream, &parts);
    u_int length = whole ? xdr_getpos(&stream) : 0;
    xdr_destroy(&stream);
    wb_extensions_clear(&parts);
    return length;
}

/* Writes what stands behind the lease: poison requests, shares of limits, parts. Each is read where
 * the one before ends, so nothing follows one that didn't fit. Returns bytes written. */
static u_int extras_write(wb_edge_node_t *node, char *bytes, u_int room) {
    u_int poison = wb_edge_node_poison_write(node, bytes, room);
    if (poison == 0) {
        return 0;
    }
    u_int quota = wb_edge_node_quota_write(node, bytes + poison, room - poison);
    if (quota == 0) {
        return poison;
    }
    return poison + quota + parts_write(bytes + poison + quota, room - poison - quota);
}

static void lease_write(wb_edge_node_t *node, const wb_lease_row_t *row, int64_t expected_version) {
    g_autofree char *bytes = g_malloc(ROW_BYTES);
    wb_wire_lease wire = wb_edge_node_lease_to_wire(row);
    wire.recent_loads = wb_controller_recent_loads(node->controller);
    XDR stream;
    xdrmem_create(&stream, bytes, LEASE_BYTES, XDR_ENCODE);
    gboolean whole = xdr_wb_wire_lease(&stream, &wire);
    u_int length = xdr_getpos(&stream);
    xdr_destroy(&stream);
    if (!whole) {
        wb_event("lease-row-too-long", ",\"granted\":%u,\"inherited\":%u", row->granted_count,
                 row->inherited_count);
        wb_lease_on_not_written(node->lease, wb_clock_ms());
        return;
    }
    length += extras_write(node, bytes + length, ROW_BYTES - length);
    wb_store_calls_note(&node->edge.metrics.store_calls, WB_TABLE_NODES, WB_STORE_CAUSE_WRITE);
    node->table->write(node->table, WB_LEASE_KEY, expected_version, (const guchar *)bytes, length,
                       lease_answered, node);
}

/* Nobody takes over from a holder before the store has answered since its last news: if it is away,
 * the holder lost it as well. */
static gboolean store_answered(const wb_edge_node_t *node) {
    return wb_lease_is_own(node->lease) || wb_lease_known_row(node->lease) == NULL ||
           wb_table_watch_known_ms(node->nodes_watch) >= node->news_heard_ms;
}

/* Among nodes with different processors the strongest try first to take the lease over. */
static void spread_set(wb_edge_node_t *node) {
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
        strong_count += ((const wb_node_row_t *)value)->processor_share >= STRONG_SHARE * strongest;
    }
    gboolean strong = own >= STRONG_SHARE * strongest;
    int64_t rivals = strong ? strong_count : (int64_t)node->edge.node_count;
    wb_lease_set_takeover_delay(node->lease, strong ? 0 : TAKEOVER_WEAK_MS,
                        MAX(TAKEOVER_SPREAD_MS, TAKEOVER_GAP_MS * rivals));
}

void wb_edge_node_tick_lease(wb_edge_node_t *node, int64_t now_ms) {
    wb_lease_row_t row;
    int64_t expected_version;
    if (!node->held && wb_edge_node_reads_engines(node)) {
        spread_set(node);
    }
    if (wb_edge_node_reads_engines(node) && wb_table_watch_is_synced(node->nodes_watch) &&
        store_answered(node) && wb_lease_next_write(node->lease, now_ms, &row, &expected_version))
        lease_write(node, &row, expected_version);
    wb_edge_node_check_lease(node);
}

gboolean wb_edge_node_may_act(void *context) {
    wb_edge_node_t *node = context;
    return wb_lease_is_held(node->lease, wb_clock_ms());
}

int64_t wb_edge_node_ask_order(const char *engine, void *context) {
    wb_edge_node_t *node = context;
    int64_t now_ms = wb_clock_ms();
    int64_t wait_ms = wb_lease_authorize_order(node->lease, engine, now_ms);
    if (wait_ms < 0) {
        /* The row that names the engine is written now, not at the next tick. */
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
