/* Tenants' limits over all nodes: who keeps the book, what it is told, and what it tells.
 *
 * The node that the lease names keeps it, as every gateway has a link to that one, whether it may
 * give orders at the moment or not: the store can be away without anybody's limit being lost. */
#include "edge/edge_node_types.h"

#include <stdlib.h>
#include <string.h>

#define PPM 1e6
/* Who keeps the book hears from each gateway at least each half second, and is heard as often, so
 * that either side knows within two and a half times that when the other can't be reached: a cut
 * link says nothing by itself for 3 s. */
#define REPORT_MOST_MS 500
#define TELL_MOST_MS 500
#define UNHEARD_MS 1200
#define LOG_INTERVAL_MS 1000
/* Shares read in the store count for so long after a start: by then a holder is found (at most the
 * lease's 4.8 s after its last renewal, usually 1.8 s) and has heard what is asked for. A tenant
 * that is no longer short is refused for them no longer. */
#define ROW_SHARES_MS 3000

/* Returns the token of the lease that names this node, or 0. */
static uint64_t own_token(const wb_edge_node_t *node) {
    const wb_lease_row_t *known = wb_lease_known_row(node->lease);
    if (known == NULL || known->released || strcmp(known->holder, node->edge.settings.id) != 0) {
        return 0;
    }
    return known->token;
}

void wb_edge_node_quota_limits(wb_edge_node_t *node) {
    wb_quota_ledger_set_tenants(node->quota_book, node->edge.catalog->tenants, wb_clock_ms());
}

void wb_edge_node_quota_report(wb_edge_node_t *node, wb_wire_demand *demand) {
    GArray *uses = wb_quota_limiter_take_usage(node->edge.quota);
    demand->tenants.tenants_len = uses->len;
    demand->tenants.tenants_val = calloc(MAX(uses->len, 1), sizeof(wb_wire_tenant_usage));
    for (guint i = 0; i < uses->len; i++) {
        const wb_quota_usage_t *use = &g_array_index(uses, wb_quota_usage_t, i);
        demand->tenants.tenants_val[i] =
            (wb_wire_tenant_usage){strdup(use->tenant), use->kind, (u_int)use->requests,
                                 (uint64_t)use->asked, (int64_t)use->admitted};
    }
    g_array_unref(uses);
}

void wb_edge_node_quota_take_report(wb_edge_node_t *node, const wb_wire_demand *demand) {
    int64_t now_ms = wb_clock_ms();
    wb_quota_ledger_node_connected(node->quota_book, demand->node);
    for (guint i = 0; i < demand->tenants.tenants_len; i++) {
        const wb_wire_tenant_usage *wire = &demand->tenants.tenants_val[i];
        wb_quota_usage_t use = {wire->tenant, wire->kind, (double)wire->asked, (double)wire->requests,
                              (double)wire->admitted};
        wb_quota_ledger_report(node->quota_book, demand->node, &use, now_ms);
    }
}

void wb_edge_node_quota_lost(wb_edge_node_t *node, const wb_gateway_t *gateway) {
    if (gateway != NULL && gateway->name != NULL) {
        wb_quota_ledger_node_lost(node->quota_book, gateway->name, wb_clock_ms());
    }
}

/* Gateways behind a cut say nothing, and their links stand for a while. */
static void silent_check(wb_edge_node_t *node, int64_t now_ms) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_gateway_t *gateway = value;
        if (!gateway->lost && now_ms - gateway->heard_ms > UNHEARD_MS) {
            gateway->lost = TRUE;
            wb_edge_node_quota_lost(node, gateway);
        }
    }
}

static gboolean has_tenants(const wb_edge_node_t *node) {
    return node->edge.catalog != NULL && node->edge.catalog->tenants != NULL;
}

gboolean wb_edge_node_quota_report_due(const wb_edge_node_t *node, int64_t now_ms) {
    return has_tenants(node) && now_ms - node->quota_reported_ms >= REPORT_MOST_MS;
}

void wb_edge_node_quota_take_shares(wb_edge_node_t *node, const wb_wire_quota *told) {
    g_autofree wb_quota_share_t *shares =
        g_new0(wb_quota_share_t, MAX(told->tenants.tenants_len, 1));
    for (guint i = 0; i < told->tenants.tenants_len; i++) {
        const wb_wire_quota_entry *entry = &told->tenants.tenants_val[i];
        shares[i] = (wb_quota_share_t){entry->tenant, entry->kind, entry->share_ppm / PPM};
    }
    node->quota_heard_ms = wb_clock_ms();
    wb_quota_limiter_set_shares(node->edge.quota, shares, told->tenants.tenants_len, node->quota_heard_ms);
}

/* Writes what decided the shares, once a second while a tenant is short. */
static void shares_log(wb_edge_node_t *node, const GArray *shares, int64_t now_ms) {
    if (now_ms - node->quota_logged_ms < LOG_INTERVAL_MS) {
        return;
    }
    for (guint i = 0; i < shares->len; i++) {
        const wb_quota_share_t *share = &g_array_index(shares, wb_quota_share_t, i);
        wb_quota_state_t state = {0};
        wb_quota_ledger_state(node->quota_book, share->tenant, now_ms, &state);
        node->quota_logged_ms = now_ms;
        wb_event("quota-share",
                 ",\"tenant\":\"%s\",\"kind\":\"%08x\",\"share\":%.3f,\"level\":%.0f,\"asked_per_"
                 "s\":%.0f,"
                 "\"admitted_per_s\":%.0f,\"assumed_per_s\":%.0f",
                 wb_event_escape(share->tenant), share->kind, share->share, state.level,
                 state.asked_per_s, state.admitted_per_s, state.assumed_per_s);
    }
}

/* Keeps what is told in the form in which it stands in the store. */
static void row_keep(wb_edge_node_t *node, wb_wire_quota *told) {
    g_byte_array_set_size(node->quota_row, (guint)xdr_sizeof((xdrproc_t)xdr_wb_wire_quota, told));
    XDR stream;
    xdrmem_create(&stream, (char *)node->quota_row->data, node->quota_row->len, XDR_ENCODE);
    if (!xdr_wb_wire_quota(&stream, told)) {
        g_byte_array_set_size(node->quota_row, 0);
    }
    xdr_destroy(&stream);
}

u_int wb_edge_node_quota_write(wb_edge_node_t *node, char *bytes, u_int room) {
    wb_wire_quota none = {{0, NULL}};
    if (node->quota_row->len == 0) {
        row_keep(node, &none);
    }
    guint length = node->quota_row->len;
    if (length == 0 || length > room) {
        return 0;
    }
    memcpy(bytes, node->quota_row->data, length);
    return length;
}

/* All nodes may be killed at once while a tenant asks for many times its limit: what they knew of
 * it goes with them, and each would admit all until a new book has heard of it. On a day of that
 * kind 1.03 million tokens were admitted in half a second, 1.05 of the users' rule in its window.
 */
void wb_edge_node_quota_read(wb_edge_node_t *node, XDR *stream) {
    wb_wire_quota told;
    memset(&told, 0, sizeof(told));
    if (!xdr_wb_wire_quota(stream, &told)) {
        wb_event("quota-row-refused", "%s", "");
    } else if (node->quota_heard_ms == 0 && told.tenants.tenants_len > 0) {
        wb_edge_node_quota_take_shares(node, &told);
        row_keep(node, &told); /* a new holder's first row is read by those that start later */
        node->quota_row_until_ms = node->quota_heard_ms + ROW_SHARES_MS;
        wb_event("quota-row-taken", ",\"shares\":%u", told.tenants.tenants_len);
    }
    xdr_free((xdrproc_t)xdr_wb_wire_quota, &told);
}

/* Shares from the store that no book has told anew are over. */
static void row_lapse(wb_edge_node_t *node, int64_t now_ms) {
    if (node->quota_row_until_ms == 0 || now_ms < node->quota_row_until_ms) {
        return;
    }
    gboolean told_since = node->quota_heard_ms > node->quota_row_until_ms - ROW_SHARES_MS;
    node->quota_row_until_ms = 0;
    if (!told_since) {
        g_byte_array_set_size(node->quota_row, 0);
        wb_quota_limiter_set_shares(node->edge.quota, NULL, 0, now_ms);
    }
}

static void shares_tell(wb_edge_node_t *node, const GArray *shares) {
    wb_wire_message message = {.kind = WB_WIRE_QUOTA};
    wb_wire_quota *told = &message.wb_wire_message_u.quota;
    g_autofree wb_wire_quota_entry *entries = g_new0(wb_wire_quota_entry, MAX(shares->len, 1));
    for (guint i = 0; i < shares->len; i++) {
        const wb_quota_share_t *share = &g_array_index(shares, wb_quota_share_t, i);
        entries[i] =
            (wb_wire_quota_entry){(char *)share->tenant, share->kind, (u_int)(share->share * PPM)};
    }
    told->tenants.tenants_len = shares->len;
    told->tenants.tenants_val = entries;
    row_keep(node, told);
    wb_edge_node_tell_gateways(node, &message);
    wb_edge_node_quota_take_shares(node, told);
    shares_log(node, shares, wb_clock_ms());
}

/* Whether this node can reach the book: it keeps it, or has heard from who does. */
static gboolean book_is_reached(const wb_edge_node_t *node, int64_t now_ms) {
    int64_t heard_ms = MAX(MAX(node->news_heard_ms, node->quota_heard_ms), node->link_opened_ms);
    return node->quota_token != 0 || (node->controller_link_open && now_ms - heard_ms < UNHEARD_MS);
}

/* All nodes that the store told of may have reported to the book before this one. */
static void book_begin(wb_edge_node_t *node, int64_t now_ms) {
    GHashTableIter iter;
    gpointer id;
    wb_quota_ledger_clear(node->quota_book, now_ms);
    g_hash_table_iter_init(&iter, node->nodes);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        wb_quota_ledger_expect_node(node->quota_book, id, now_ms);
    }
}

void wb_edge_node_tick_quota(wb_edge_node_t *node, int64_t now_ms) {
    row_lapse(node, now_ms);
    uint64_t token = own_token(node);
    if (token != node->quota_token) {
        node->quota_token = token;
        book_begin(node, now_ms);
    }
    wb_quota_limiter_set_connected(node->edge.quota, book_is_reached(node, now_ms));
    if (token == 0 || !has_tenants(node)) {
        return;
    }
    silent_check(node, now_ms);
    wb_quota_ledger_set_sole(node->quota_book, node->held);
    gboolean changed;
    const GArray *shares = wb_quota_ledger_shares(node->quota_book, now_ms, &changed);
    /* While it may give orders, its other news show that it is there. */
    gboolean due = !node->held && now_ms - node->quota_told_ms >= TELL_MOST_MS;
    if (changed || due) {
        node->quota_told_ms = now_ms;
        shares_tell(node, shares);
    }
}
