/* Tenants' limits over all nodes: who keeps the book, what it is told, and what it tells.
 *
 * The node that the lease names keeps it, as every gateway has a link to that one, whether it may
 * give orders at the moment or not: the store can be away without anybody's limit being lost. */
#include "edge/edge_node_types.h"

#include <stdlib.h>
#include <string.h>

#define PPM 1e6

/* Returns the token of the lease that names this node, or 0. */
static uint64_t own_token(const wb_edge_node_t *node) {
    const wb_lease_row_t *known = wb_lease_known(node->lease);
    if (known == NULL || known->released || strcmp(known->holder, node->edge.settings.id) != 0) {
        return 0;
    }
    return known->token;
}

void wb_edge_node_quota_limits(wb_edge_node_t *node) {
    wb_quota_book_set_tenants(node->quota_book, node->edge.catalog->tenants, wb_clock_ms());
}

void wb_edge_node_quota_report(wb_edge_node_t *node, wb_wire_demand *demand) {
    GArray *uses = wb_quota_gate_take_uses(node->edge.quota);
    demand->tenants.tenants_len = uses->len;
    demand->tenants.tenants_val = calloc(MAX(uses->len, 1), sizeof(wb_wire_tenant_use));
    for (guint i = 0; i < uses->len; i++) {
        const wb_quota_use_t *use = &g_array_index(uses, wb_quota_use_t, i);
        demand->tenants.tenants_val[i] =
            (wb_wire_tenant_use){strdup(use->tenant), (uint64_t)use->asked, (int64_t)use->admitted};
    }
    g_array_unref(uses);
}

void wb_edge_node_quota_take_report(wb_edge_node_t *node, const wb_wire_demand *demand) {
    int64_t now_ms = wb_clock_ms();
    wb_quota_book_node_reached(node->quota_book, demand->node);
    for (guint i = 0; i < demand->tenants.tenants_len; i++) {
        const wb_wire_tenant_use *use = &demand->tenants.tenants_val[i];
        wb_quota_book_report(node->quota_book, demand->node, use->tenant, (double)use->asked,
                             (double)use->admitted, now_ms);
    }
}

void wb_edge_node_quota_lost(wb_edge_node_t *node, const char *name) {
    if (name != NULL && *name != '\0') {
        wb_quota_book_node_lost(node->quota_book, name, wb_clock_ms());
    }
}

void wb_edge_node_quota_take_shares(wb_edge_node_t *node, const wb_wire_quota *told) {
    g_autofree wb_quota_share_t *shares =
        g_new0(wb_quota_share_t, MAX(told->tenants.tenants_len, 1));
    for (guint i = 0; i < told->tenants.tenants_len; i++) {
        const wb_wire_quota_entry *entry = &told->tenants.tenants_val[i];
        shares[i] = (wb_quota_share_t){entry->tenant, entry->share_ppm / PPM};
    }
    wb_quota_gate_tell(node->edge.quota, shares, told->tenants.tenants_len, wb_clock_ms());
}

static void shares_log(const GArray *shares) {
    for (guint i = 0; i < shares->len; i++) {
        const wb_quota_share_t *share = &g_array_index(shares, wb_quota_share_t, i);
        wb_event("quota-share", ",\"tenant\":\"%s\",\"share\":%.3f", wb_event_text(share->tenant),
                 share->share);
    }
}

static void shares_tell(wb_edge_node_t *node, const GArray *shares) {
    wb_wire_message message = {.kind = WB_WIRE_QUOTA};
    wb_wire_quota *told = &message.wb_wire_message_u.quota;
    g_autofree wb_wire_quota_entry *entries = g_new0(wb_wire_quota_entry, MAX(shares->len, 1));
    for (guint i = 0; i < shares->len; i++) {
        const wb_quota_share_t *share = &g_array_index(shares, wb_quota_share_t, i);
        entries[i] = (wb_wire_quota_entry){(char *)share->tenant, (u_int)(share->share * PPM)};
    }
    told->tenants.tenants_len = shares->len;
    told->tenants.tenants_val = entries;
    wb_edge_node_tell_gateways(node, &message);
    wb_edge_node_quota_take_shares(node, told);
    shares_log(shares);
}

void wb_edge_node_tick_quota(wb_edge_node_t *node, int64_t now_ms) {
    uint64_t token = own_token(node);
    wb_quota_gate_set_reached(node->edge.quota, token != 0 || node->controller_link_open);
    if (token != node->quota_token) {
        node->quota_token = token;
        wb_quota_book_clear(node->quota_book, now_ms);
    }
    if (token == 0) {
        return;
    }
    gboolean changed;
    const GArray *shares = wb_quota_book_shares(node->quota_book, now_ms, &changed);
    if (changed) {
        shares_tell(node, shares);
    }
}
