/* Cluster-wide limits of tenants: exchange of usage and shares between gateways and the aggregator.
 * The aggregator maintains the ledger (quota_ledger.h). It is the node that the lease row names,
 * since every gateway has a link to it; it need not hold the lease at the moment, so limits stay in
 * force while the store is unavailable.
 * Times are in ms; shares are sent in millionths. Malformed shares in the lease row are logged and
 * ignored. */
#include "edge/edge_node_types.h"

#include <stdlib.h>
#include <string.h>

#define PARTS_PER_MILLION 1e6
/* Gateways and aggregator send to each other at least this often. Each takes the other for
 * unreachable after WB_QUOTA_TOUCH_MS, over two intervals, as a cut link reports no error for 3 s.
 */
#define REPORT_INTERVAL_MAX_MS 500
#define SEND_INTERVAL_MAX_MS 500
#define LOG_INTERVAL_MS 1000
#define LOG_TENANTS_MAX 20
/* Bounds the message: 50 bytes a tenant. */
#define HISTORY_TENANTS_MAX 2000
/* Lifetime of shares read from the lease row after a start: by then a lease holder is found (1.8 s
 * after the last renewal as a rule, 4.8 s at most) and has received reports. Until then a tenant
 * that is no longer throttled may still be refused. */
#define ROW_SHARES_LIFE_MS 3000

/* Returns the token of the lease if its row names this node, or 0. */
static uint64_t own_token(const wb_edge_node_t *node) {
    const wb_lease_row_t *known = wb_lease_known_row(node->lease);
    if (known == NULL || known->released || strcmp(known->holder, node->edge.settings.id) != 0) {
        return 0;
    }
    return known->token;
}

void wb_edge_node_quota_set_limits(wb_edge_node_t *node) {
    wb_quota_ledger_set_tenants(node->own_quota_ledger, node->edge.catalog->tenants, wb_clock_ms());
}

void wb_edge_node_quota_report(wb_edge_node_t *node, wb_wire_demand *demand) {
    GArray *usages = wb_quota_limiter_take_usage(node->edge.quota, wb_clock_ms());
    demand->tenants.tenants_len = usages->len;
    demand->tenants.tenants_val = calloc(MAX(usages->len, 1), sizeof(wb_wire_tenant_usage));
    for (guint i = 0; i < usages->len; i++) {
        const wb_quota_usage_t *usage = &g_array_index(usages, wb_quota_usage_t, i);
        demand->tenants.tenants_val[i] =
            (wb_wire_tenant_usage){strdup(usage->tenant), usage->kind, (u_int)usage->requests,
                                   (uint64_t)usage->asked, (int64_t)usage->admitted};
    }
    g_array_unref(usages);
}

static void report_timer_fired(void *context) {
    wb_edge_node_t *node = context;
    node->quota_report_timer = NULL;
    wb_edge_node_send_demand(node);
}

void wb_edge_node_quota_report_soon(void *context) {
    wb_edge_node_t *node = context;
    if (node->quota_report_timer == NULL) {
        int64_t since_ms = wb_clock_ms() - node->demand_sent_ms;
        node->quota_report_timer = wb_loop_after(
            node->edge.loop, MAX(WB_QUOTA_URGENT_MS - since_ms, 0), report_timer_fired, node);
    }
}

void wb_edge_node_quota_history_add(const wb_edge_node_t *node, wb_wire_extensions *extensions) {
    g_autoptr(GArray) histories = wb_quota_limiter_history(node->edge.quota, wb_clock_ms());
    guint count = MIN(histories->len, HISTORY_TENANTS_MAX);
    g_autofree wb_wire_tenant_history *tenants = g_new0(wb_wire_tenant_history, MAX(count, 1));
    g_autofree uint64_t *units = g_new0(uint64_t, MAX(count, 1) * WB_USAGE_HORIZONS);
    for (guint i = 0; i < count; i++) {
        const wb_tenant_history_t *history = &g_array_index(histories, wb_tenant_history_t, i);
        uint64_t *own_units = units + (size_t)i * WB_USAGE_HORIZONS;
        for (int j = 0; j < WB_USAGE_HORIZONS; j++) {
            own_units[j] = (uint64_t)MAX(history->units[j], 0);
        }
        tenants[i] =
            (wb_wire_tenant_history){(char *)history->tenant, {WB_USAGE_HORIZONS, own_units}};
    }
    wb_wire_usage_history message = {{count, tenants}};
    wb_extensions_add(extensions, WB_WIRE_EXTENSION_HISTORY, (xdrproc_t)xdr_wb_wire_usage_history,
                      &message);
}

void wb_edge_node_quota_take_history(wb_edge_node_t *node, const char *from,
                                     const wb_wire_extensions *extensions) {
    wb_wire_usage_history message = {{0, NULL}};
    if (wb_extensions_read(extensions, WB_WIRE_EXTENSION_HISTORY,
                           (xdrproc_t)xdr_wb_wire_usage_history, &message)) {
        for (guint i = 0; i < message.tenants.tenants_len; i++) {
            const wb_wire_tenant_history *wire = &message.tenants.tenants_val[i];
            wb_tenant_history_t history = {.tenant = wire->tenant};
            for (guint j = 0; j < MIN(wire->units.units_len, WB_USAGE_HORIZONS); j++) {
                history.units[j] = (double)wire->units.units_val[j];
            }
            wb_quota_ledger_take_history(node->own_quota_ledger, from, &history, wb_clock_ms());
        }
    }
    xdr_free((xdrproc_t)xdr_wb_wire_usage_history, &message);
}

/* This node's own history, as it takes the ledger over. */
static void own_history_take(wb_edge_node_t *node, int64_t now_ms) {
    g_autoptr(GArray) histories = wb_quota_limiter_history(node->edge.quota, now_ms);
    for (guint i = 0; i < histories->len; i++) {
        wb_quota_ledger_take_history(node->own_quota_ledger, node->edge.settings.id,
                                     &g_array_index(histories, wb_tenant_history_t, i), now_ms);
    }
}

void wb_edge_node_quota_take_report(wb_edge_node_t *node, const wb_wire_demand *demand) {
    int64_t now_ms = wb_clock_ms();
    wb_quota_ledger_node_connected(node->own_quota_ledger, demand->node);
    for (guint i = 0; i < demand->tenants.tenants_len; i++) {
        const wb_wire_tenant_usage *wire = &demand->tenants.tenants_val[i];
        wb_quota_usage_t usage = {wire->tenant, wire->kind, (double)wire->asked,
                                  (double)wire->requests, (double)wire->admitted};
        wb_quota_ledger_report(node->own_quota_ledger, demand->node, &usage, now_ms);
    }
}

void wb_edge_node_quota_gateway_lost(wb_edge_node_t *node, const wb_gateway_t *gateway) {
    if (gateway != NULL && gateway->name != NULL) {
        wb_quota_ledger_node_lost(node->own_quota_ledger, gateway->name, wb_clock_ms());
    }
}

static gboolean has_tenants(const wb_edge_node_t *node) {
    return node->edge.catalog != NULL && node->edge.catalog->tenants != NULL;
}

/* Builds a message with shares. Free its entries with g_free; the names belong to the ledger. */
static void shares_message(const GArray *shares, wb_wire_message *message) {
    message->kind = WB_WIRE_QUOTA;
    wb_wire_quota *quota = &message->wb_wire_message_u.quota;
    quota->tenants.tenants_len = shares->len;
    quota->tenants.tenants_val = g_new0(wb_wire_quota_entry, MAX(shares->len, 1));
    for (guint i = 0; i < shares->len; i++) {
        const wb_quota_share_t *share = &g_array_index(shares, wb_quota_share_t, i);
        quota->tenants.tenants_val[i] = (wb_wire_quota_entry){
            (char *)share->tenant, share->kind, (u_int)(share->share * PARTS_PER_MILLION)};
    }
}

/* Sends the shares to one gateway. @param heard whether its reports arrive */
static void shares_send_to(wb_edge_node_t *node, wb_link_t *link, gboolean heard) {
    const wb_gateway_t *gateway = g_hash_table_lookup(node->gateways, link);
    wb_wire_message message;
    wb_wire_extensions extensions = {0};
    wb_wire_heard state = {heard, gateway != NULL ? gateway->report_ms : 0};
    shares_message(wb_quota_ledger_last_shares(node->own_quota_ledger), &message);
    wb_edge_node_sent_add(&extensions, wb_clock_ms());
    wb_extensions_add(&extensions, WB_WIRE_EXTENSION_HEARD, (xdrproc_t)xdr_wb_wire_heard, &state);
    wb_link_send_with_extensions(link, &message, &extensions);
    wb_extensions_clear(&extensions);
    g_free(message.wb_wire_message_u.quota.tenants.tenants_val);
}

void wb_edge_node_quota_answer(wb_edge_node_t *node, wb_link_t *link) {
    gboolean is_new = wb_clock_ms() - node->quota_began_ms < REPORT_INTERVAL_MAX_MS;
    if (node->quota_token != 0 && has_tenants(node) && !is_new) {
        shares_send_to(node, link, TRUE);
    }
}

/* Acknowledges reports that the shares take into account. */
static void reports_acknowledge(wb_edge_node_t *node) {
    GHashTableIter iter;
    gpointer link;
    gpointer value;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, &link, &value)) {
        wb_gateway_t *gateway = value;
        if (gateway->report_unacknowledged && gateway->report_ms != 0) {
            gateway->report_unacknowledged = FALSE;
            shares_send_to(node, link, TRUE);
        }
    }
}

/* Finds gateways that are cut off from this node, as their links stay open for some time. */
static void unresponsive_check(wb_edge_node_t *node, int64_t now_ms) {
    GHashTableIter iter;
    gpointer link;
    gpointer value;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, &link, &value)) {
        wb_gateway_t *gateway = value;
        if (!gateway->unresponsive && now_ms - gateway->received_ms > WB_QUOTA_TOUCH_MS) {
            gateway->unresponsive = TRUE;
            wb_edge_node_quota_gateway_lost(node, gateway);
            shares_send_to(node, link, FALSE); /* its messages may be lost in one direction only */
        }
    }
}

gboolean wb_edge_node_quota_report_due(const wb_edge_node_t *node, int64_t now_ms) {
    return has_tenants(node) && now_ms - node->quota_reported_ms >= REPORT_INTERVAL_MAX_MS;
}

/* Logs what was admitted of tenants that are throttled or without a ledger, once per interval. */
static void activity_log(wb_edge_node_t *node, int64_t now_ms) {
    if (now_ms - node->quota_activity_ms < LOG_INTERVAL_MS) {
        return;
    }
    node->quota_activity_ms = now_ms;
    g_autoptr(GArray) activities = wb_quota_limiter_take_activity(node->edge.quota);
    for (guint i = 0; i < MIN(activities->len, LOG_TENANTS_MAX); i++) {
        const wb_quota_activity_t *activity = &g_array_index(activities, wb_quota_activity_t, i);
        wb_event("quota-admitted",
                 ",\"tenant\":\"%s\",\"requests\":%u,\"unthrottled\":%.0f,\"share\":%.0f,"
                 "\"local\":%.0f,\"refused\":%.0f,\"age_ms\":%lld",
                 activity->tenant, activity->requests, activity->admitted[WB_QUOTA_UNTHROTTLED],
                 activity->admitted[WB_QUOTA_SHARE], activity->admitted[WB_QUOTA_LOCAL],
                 activity->refused, (long long)activity->age_max_ms);
    }
}

void wb_edge_node_quota_heard(wb_edge_node_t *node, int64_t sent_ms) {
    if (!node->quota_unheard) {
        wb_quota_limiter_heard(node->edge.quota, sent_ms, wb_clock_ms());
    }
}

void wb_edge_node_quota_set_unheard(wb_edge_node_t *node, gboolean unheard) {
    if (unheard && !node->quota_unheard) {
        wb_event_members("quota-unheard", "");
        wb_quota_limiter_lost(node->edge.quota);
    }
    node->quota_unheard = unheard;
}

void wb_edge_node_quota_take_shares(wb_edge_node_t *node, const wb_wire_quota *quota,
                                    int64_t sent_ms) {
    g_autofree wb_quota_share_t *shares =
        g_new0(wb_quota_share_t, MAX(quota->tenants.tenants_len, 1));
    for (guint i = 0; i < quota->tenants.tenants_len; i++) {
        const wb_wire_quota_entry *entry = &quota->tenants.tenants_val[i];
        shares[i] =
            (wb_quota_share_t){entry->tenant, entry->kind, entry->share_ppm / PARTS_PER_MILLION};
    }
    node->quota_received_ms = wb_clock_ms();
    wb_edge_node_quota_heard(node, sent_ms);
    wb_quota_limiter_set_shares(node->edge.quota, shares, quota->tenants.tenants_len,
                                node->quota_received_ms);
}

/* Logs the shares of throttled tenants and the values behind them, at most once per interval. */
static void shares_log(wb_edge_node_t *node, const GArray *shares, int64_t now_ms) {
    if (now_ms - node->quota_logged_ms < LOG_INTERVAL_MS) {
        return;
    }
    for (guint i = 0; i < shares->len; i++) {
        const wb_quota_share_t *share = &g_array_index(shares, wb_quota_share_t, i);
        wb_quota_state_t state = {0};
        wb_quota_ledger_state(node->own_quota_ledger, share->tenant, now_ms, &state);
        node->quota_logged_ms = now_ms;
        wb_event("quota-share",
                 ",\"tenant\":\"%s\",\"kind\":\"%08x\",\"share\":%.3f,\"level\":%.0f,\"asked_per_"
                 "s\":%.0f,"
                 "\"admitted_per_s\":%.0f,\"assumed_per_s\":%.0f",
                 share->tenant, share->kind, share->share, state.level, state.asked_per_s,
                 state.admitted_per_s, state.assumed_per_s);
    }
}

/* Encodes shares as they are stored in the lease row, which has little room: only of throttled
 * tenants. */
static void quota_row_encode(wb_edge_node_t *node, const wb_wire_quota *quota) {
    g_autofree wb_wire_quota_entry *entries =
        g_new0(wb_wire_quota_entry, MAX(quota->tenants.tenants_len, 1));
    wb_wire_quota throttled = {{0, entries}};
    for (guint i = 0; i < quota->tenants.tenants_len; i++) {
        const wb_wire_quota_entry *entry = &quota->tenants.tenants_val[i];
        if (entry->kind != WB_QUOTA_FACTOR_CLASS) {
            entries[throttled.tenants.tenants_len++] = *entry;
        }
    }
    g_byte_array_set_size(node->quota_row,
                          (guint)xdr_sizeof((xdrproc_t)xdr_wb_wire_quota, &throttled));
    XDR stream;
    xdrmem_create(&stream, (char *)node->quota_row->data, node->quota_row->len, XDR_ENCODE);
    if (!xdr_wb_wire_quota(&stream, &throttled)) {
        g_byte_array_set_size(node->quota_row, 0);
    }
    xdr_destroy(&stream);
}

u_int wb_edge_node_quota_write(wb_edge_node_t *node, char *bytes, u_int room) {
    wb_wire_quota none = {{0, NULL}};
    if (node->quota_row->len == 0) {
        quota_row_encode(node, &none);
    }
    guint length = node->quota_row->len;
    if (length == 0 || length > room) {
        return 0;
    }
    memcpy(bytes, node->quota_row->data, length);
    return length;
}

/* If all nodes are killed at once while a tenant exceeds its limit, their state is lost, and
 * without the shares in the lease row each would admit everything until a new aggregator has
 * received reports. */
gboolean wb_edge_node_quota_read(wb_edge_node_t *node, XDR *stream) {
    wb_wire_quota quota;
    memset(&quota, 0, sizeof(quota));
    gboolean readable = xdr_wb_wire_quota(stream, &quota) != 0;
    if (!readable) {
        wb_event_members("quota-row-refused", "");
    } else if (node->quota_received_ms == 0 && quota.tenants.tenants_len > 0) {
        wb_edge_node_quota_take_shares(node, &quota, 0);
        quota_row_encode(node, &quota); /* nodes that start later read the new holder's first row */
        node->quota_row_until_ms = node->quota_received_ms + ROW_SHARES_LIFE_MS;
        wb_event("quota-row-taken", ",\"shares\":%u", quota.tenants.tenants_len);
    }
    xdr_free((xdrproc_t)xdr_wb_wire_quota, &quota);
    return readable;
}

/* Drops shares from the lease row that no aggregator has sent again in time. */
static void row_shares_expire(wb_edge_node_t *node, int64_t now_ms) {
    if (node->quota_row_until_ms == 0 || now_ms < node->quota_row_until_ms) {
        return;
    }
    gboolean received_since =
        node->quota_received_ms > node->quota_row_until_ms - ROW_SHARES_LIFE_MS;
    node->quota_row_until_ms = 0;
    if (!received_since) {
        g_byte_array_set_size(node->quota_row, 0);
        wb_quota_limiter_set_shares(node->edge.quota, NULL, 0, now_ms);
    }
}

static void shares_send(wb_edge_node_t *node, const GArray *shares) {
    wb_wire_message message;
    wb_wire_extensions extensions = {0};
    int64_t now_ms = wb_clock_ms();
    shares_message(shares, &message);
    quota_row_encode(node, &message.wb_wire_message_u.quota);
    wb_edge_node_sent_add(&extensions, now_ms);
    wb_edge_node_broadcast_with_extensions(node, &message, &extensions);
    wb_extensions_clear(&extensions);
    wb_edge_node_quota_take_shares(node, &message.wb_wire_message_u.quota, 0);
    g_free(message.wb_wire_message_u.quota.tenants.tenants_val);
    shares_log(node, shares, now_ms);
}

/* Clears the ledger and expects a report from every listed node, as each may have reported to the
 * previous aggregator, or admitted requests alone while this node was paused. */
static void ledger_reset(wb_edge_node_t *node, int64_t now_ms) {
    GHashTableIter iter;
    gpointer id;
    wb_quota_ledger_clear(node->own_quota_ledger, now_ms);
    g_hash_table_iter_init(&iter, node->nodes);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        wb_quota_ledger_expect_node(node->own_quota_ledger, id, now_ms);
    }
    own_history_take(node, now_ms);
    node->quota_began_ms = now_ms;
    wb_event("quota-ledger", ",\"kept\":%s,\"token\":%llu,\"nodes\":%u",
             node->quota_token != 0 ? "true" : "false", (unsigned long long)node->quota_token,
             g_hash_table_size(node->nodes));
}

void wb_edge_node_tick_quota(wb_edge_node_t *node, int64_t now_ms) {
    row_shares_expire(node, now_ms);
    activity_log(node, now_ms);
    gboolean was_paused =
        node->quota_ticked_ms != 0 && now_ms - node->quota_ticked_ms > WB_QUOTA_TOUCH_MS;
    node->quota_ticked_ms = now_ms;
    wb_quota_limiter_tick(node->edge.quota, now_ms);
    uint64_t token = own_token(node);
    if (token != node->quota_token || (token != 0 && was_paused)) {
        node->quota_token = token;
        ledger_reset(node, now_ms);
    }
    /* A new ledger knows nothing before the other nodes have reported. */
    if (token != 0 && now_ms - node->quota_began_ms >= REPORT_INTERVAL_MAX_MS) {
        wb_quota_limiter_heard(node->edge.quota, now_ms, now_ms);
    }
    if (token == 0 || !has_tenants(node)) {
        return;
    }
    unresponsive_check(node, now_ms);
    wb_quota_ledger_set_sole(node->own_quota_ledger, node->lease_held);
    gboolean changed;
    const GArray *shares = wb_quota_ledger_shares(node->own_quota_ledger, now_ms, &changed);
    /* A lease holder need not send unchanged shares: its store updates show that it is reachable.
     */
    gboolean due = !node->lease_held && now_ms - node->quota_sent_ms >= SEND_INTERVAL_MAX_MS;
    if (changed || due) {
        node->quota_sent_ms = now_ms;
        shares_send(node, shares);
    }
    reports_acknowledge(node);
    wb_quota_limiter_acknowledged(node->edge.quota, now_ms, now_ms);
}
