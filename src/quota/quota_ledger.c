/* Ledger of tenants' limits. */
#include "quota/quota_ledger.h"

#include "quota/class_demand.h"
#include "quota/quota_demand.h"

#include <math.h>
#include <string.h>

/* Time over which a share is set to use up the bucket's level. It must exceed the feedback delay of
 * about 0.3 s (reports every 250 ms, shares every 200 ms), or the shares oscillate; a longer time
 * delays bursts. */
#define LEVEL_USE_TIME_S 0.5
/* Time constant of the averages of admitted units: single requests are large. */
#define ADMITTED_TIME_S 4.0
/* A factor for nodes out of touch is sent again when it has changed by this fraction. */
#define FACTOR_CHANGE 0.15
/* What is reserved at once for a node that is lost, in seconds of an equal share of the limit. */
#define LOST_NODE_S 2.5
/* The same for a throttled tenant: what the node may have admitted since its last report. */
#define UNSEEN_S 1.0
/* Part of an equal share that is assumed of such a node at least. */
#define LOST_THROTTLED_SHARE 0.8
/* A node disconnected for this long is taken to be removed. This must exceed the network outages
 * that a node survives. Deducting too long for a removed node only affects throttled tenants. */
#define DISCONNECTED_EXPIRY_MS 20000
/* While a tenant is throttled, shares are sent again at this interval, and at once when one has
 * changed by this fraction. */
#define RESEND_INTERVAL_MS 200
#define RESEND_CHANGE 0.1

typedef struct wb_quota_entry_t {
    char *tenant;
    GHashTable *classes; /* wb_quota_class_t -> wb_class_demand_t */
    double rate_per_s;
    double burst;
    wb_token_bucket_t bucket;
    wb_quota_demand_t demand;
    wb_decayed_rate_t admitted;
    double factor; /* of their demand that nodes out of touch may admit */
    double sent_factor;
    unsigned recorded_lost;            /* disconnected nodes with an assumed usage of this tenant */
    double history[WB_USAGE_HORIZONS]; /* admitted before this ledger began, by horizon */
    double known_debt;                 /* of that time, already taken from the bucket */
    double assumed_per_s;              /* what disconnected nodes are assumed to admit */
    double share;
    double sent_share; /* as last sent to gateways */
} wb_quota_entry_t;

/* A node that reports. */
typedef struct wb_quota_node_t {
    GHashTable *admitted; /* tenant -> wb_decayed_rate_t */
    GHashTable *assumed;  /* tenant -> double *, units a second it may admit while disconnected */
    int64_t disconnected_ms; /* time of disconnection; 0: connected */
    gboolean reported;       /* has reported to this ledger, or was connected to it */
} wb_quota_node_t;

struct wb_quota_ledger_t {
    GHashTable *entries;           /* tenant -> wb_quota_entry_t; only tenants with a limit */
    GHashTable *nodes;             /* node -> wb_quota_node_t */
    unsigned disconnected_count;   /* disconnected nodes */
    unsigned never_reported_count; /* disconnected nodes that never reported to this ledger */
    gboolean sole;                 /* no other node keeps a ledger */
    GArray *shares;                /* of wb_quota_share_t */
    guint sent_count;              /* number of shares last sent */
    int64_t sent_ms;               /* when shares were last sent */
};

static void entry_free(gpointer data) {
    wb_quota_entry_t *entry = data;
    g_hash_table_unref(entry->classes);
    g_free(entry->tenant);
    g_free(entry);
}

static void node_free(gpointer data) {
    wb_quota_node_t *node = data;
    g_hash_table_unref(node->admitted);
    g_hash_table_unref(node->assumed);
    g_free(node);
}

wb_quota_ledger_t *wb_quota_ledger_create(void) {
    wb_quota_ledger_t *ledger = g_new0(wb_quota_ledger_t, 1);
    ledger->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
    ledger->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, node_free);
    ledger->shares = g_array_new(FALSE, FALSE, sizeof(wb_quota_share_t));
    ledger->sole = TRUE;
    return ledger;
}

void wb_quota_ledger_free(wb_quota_ledger_t *ledger) {
    g_hash_table_unref(ledger->entries);
    g_hash_table_unref(ledger->nodes);
    g_array_unref(ledger->shares);
    g_free(ledger);
}

static void apply_limit(wb_quota_ledger_t *ledger, const wb_tenant_t *tenant, int64_t now_ms) {
    wb_quota_entry_t *entry = g_hash_table_lookup(ledger->entries, tenant->name);
    if (entry == NULL) {
        entry = g_new0(wb_quota_entry_t, 1);
        entry->tenant = g_strdup(tenant->name);
        entry->classes = wb_class_demands_create();
        entry->bucket.at_ms = now_ms;
        entry->share = 1;
        entry->sent_share = 1;
        entry->factor = WB_QUOTA_OFFLINE_FACTOR;
        entry->sent_factor = WB_QUOTA_OFFLINE_FACTOR;
        g_hash_table_insert(ledger->entries, entry->tenant, entry);
    }
    entry->rate_per_s = tenant->rate_per_s;
    entry->burst = tenant->burst;
}

void wb_quota_ledger_set_tenants(wb_quota_ledger_t *ledger, const wb_tenants_t *tenants,
                                 int64_t now_ms) {
    GHashTableIter iter;
    gpointer value;
    g_array_set_size(ledger->shares, 0); /* its names belong to the entries */
    g_hash_table_iter_init(&iter, ledger->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_quota_entry_t *entry = value;
        const wb_tenant_t *tenant =
            tenants != NULL ? wb_tenants_find(tenants, entry->tenant) : NULL;
        if (tenant == NULL || tenant->rate_per_s <= 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
    if (tenants == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, wb_tenants_all(tenants));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_tenant_t *tenant = value;
        if (tenant->rate_per_s > 0) {
            apply_limit(ledger, tenant, now_ms);
        }
    }
}

static wb_quota_node_t *node_get(wb_quota_ledger_t *ledger, const char *name) {
    wb_quota_node_t *node = g_hash_table_lookup(ledger->nodes, name);
    if (node == NULL) {
        node = g_new0(wb_quota_node_t, 1);
        node->admitted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        node->assumed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(ledger->nodes, g_strdup(name), node);
    }
    return node;
}

/* Fills the bucket at the rate less what disconnected nodes use. Returns its level. */
static double entry_fill(wb_quota_entry_t *entry, int64_t now_ms) {
    return wb_token_bucket_fill(&entry->bucket, entry->rate_per_s - entry->assumed_per_s,
                                entry->burst, now_ms);
}

void wb_quota_ledger_report(wb_quota_ledger_t *ledger, const char *node_name,
                            const wb_quota_usage_t *usage, int64_t now_ms) {
    const char *tenant = usage->tenant;
    double asked = usage->asked;
    double admitted = usage->admitted;
    wb_quota_entry_t *entry = g_hash_table_lookup(ledger->entries, tenant);
    if (entry == NULL) {
        return; /* no limit, or one that this node's configuration doesn't have yet */
    }
    entry_fill(entry, now_ms);
    entry->bucket.level = MIN(entry->bucket.level - admitted, entry->burst);
    wb_quota_demand_add(&entry->demand, asked, usage->requests, admitted, now_ms);
    wb_class_demands_add(entry->classes, usage, entry->share, now_ms);
    wb_decayed_rate_add(&entry->admitted, admitted, ADMITTED_TIME_S, now_ms);
    wb_quota_node_t *node = node_get(ledger, node_name);
    node->reported = TRUE;
    wb_decayed_rate_t *rate = g_hash_table_lookup(node->admitted, tenant);
    if (rate == NULL) {
        rate = g_new0(wb_decayed_rate_t, 1);
        g_hash_table_insert(node->admitted, g_strdup(tenant), rate);
    }
    wb_decayed_rate_add(rate, admitted, ADMITTED_TIME_S, now_ms);
}

void wb_quota_ledger_take_history(wb_quota_ledger_t *ledger, const char *node_name,
                                  const wb_tenant_history_t *history, int64_t now_ms) {
    const wb_quota_node_t *node = g_hash_table_lookup(ledger->nodes, node_name);
    wb_quota_entry_t *entry = g_hash_table_lookup(ledger->entries, history->tenant);
    if (entry == NULL || (node != NULL && node->reported)) {
        return;
    }
    for (int i = 0; i < WB_USAGE_HORIZONS; i++) {
        entry->history[i] += history->units[i];
    }
    double debt = wb_usage_debt(entry->history, entry->rate_per_s, entry->burst);
    entry_fill(entry, now_ms);
    entry->bucket.level -= MAX(debt - entry->known_debt, 0);
    entry->known_debt = MAX(debt, entry->known_debt);
}

void wb_quota_ledger_node_connected(wb_quota_ledger_t *ledger, const char *name) {
    wb_quota_node_t *node = node_get(ledger, name);
    if (node->disconnected_ms != 0) {
        node->disconnected_ms = 0;
        ledger->disconnected_count--;
    }
    node->reported = TRUE;
}

void wb_quota_ledger_expect_node(wb_quota_ledger_t *ledger, const char *name, int64_t now_ms) {
    wb_quota_node_t *node = node_get(ledger, name);
    if (!node->reported && node->disconnected_ms == 0) {
        node->disconnected_ms = now_ms;
        ledger->disconnected_count++;
    }
}

void wb_quota_ledger_set_sole(wb_quota_ledger_t *ledger, gboolean sole) {
    ledger->sole = sole;
}

/* The least that is assumed of a disconnected node: what its limiter admits of an unthrottled
 * tenant with little demand. The demand of a throttled tenant has changed lately, perhaps since the
 * node's last report. */
static double assumed_least_per_s(const wb_quota_ledger_t *ledger, const wb_quota_entry_t *entry) {
    double part = entry->sent_share >= 1 ? WB_QUOTA_OFFLINE_SHARE : LOST_THROTTLED_SHARE;
    return part * entry->rate_per_s / MAX(g_hash_table_size(ledger->nodes), 1);
}

/* Computes what a node may admit of the limits that it lately used while disconnected. */
static void assume_usage(const wb_quota_ledger_t *ledger, wb_quota_node_t *node, int64_t now_ms) {
    GHashTableIter iter;
    gpointer tenant;
    gpointer rate;
    g_hash_table_remove_all(node->assumed);
    g_hash_table_iter_init(&iter, node->admitted);
    while (g_hash_table_iter_next(&iter, &tenant, &rate)) {
        wb_quota_entry_t *entry = g_hash_table_lookup(ledger->entries, tenant);
        double per_s = wb_decayed_rate_read(rate, ADMITTED_TIME_S, now_ms);
        if (entry != NULL) {
            per_s = MAX(per_s, assumed_least_per_s(ledger, entry));
        }
        g_hash_table_insert(node->assumed, g_strdup(tenant), g_memdup2(&per_s, sizeof(per_s)));
    }
}

/* Reserves the budget that a node has at once when it is disconnected, and what it didn't report.
 */
static void reserve_for_lost_node(wb_quota_ledger_t *ledger, int64_t now_ms) {
    double nodes = MAX(g_hash_table_size(ledger->nodes), 1);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, ledger->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_quota_entry_t *entry = value;
        double reserved_s = entry->sent_share >= 1 ? LOST_NODE_S : UNSEEN_S;
        entry_fill(entry, now_ms);
        entry->bucket.level -= reserved_s * entry->rate_per_s / nodes;
    }
}

void wb_quota_ledger_node_lost(wb_quota_ledger_t *ledger, const char *name, int64_t now_ms) {
    wb_quota_node_t *node = g_hash_table_lookup(ledger->nodes, name);
    if (node != NULL && node->disconnected_ms == 0) {
        node->disconnected_ms = now_ms;
        assume_usage(ledger, node, now_ms);
        reserve_for_lost_node(ledger, now_ms);
        ledger->disconnected_count++;
    }
}

void wb_quota_ledger_clear(wb_quota_ledger_t *ledger, int64_t now_ms) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_remove_all(ledger->nodes);
    ledger->disconnected_count = 0;
    ledger->never_reported_count = 0;
    ledger->sent_count = 0;
    g_hash_table_iter_init(&iter, ledger->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_quota_entry_t *entry = value;
        entry_fill(entry, now_ms);
        entry->bucket.level = MIN(entry->bucket.level, 0); /* debts stay */
        entry->known_debt = -entry->bucket.level;
        memset(entry->history, 0, sizeof(entry->history));
        memset(&entry->demand, 0, sizeof(entry->demand));
        memset(&entry->admitted, 0, sizeof(entry->admitted));
        entry->share = 1;
        entry->sent_share = 1;
        entry->factor = WB_QUOTA_OFFLINE_FACTOR;
        entry->sent_factor = WB_QUOTA_OFFLINE_FACTOR;
        g_hash_table_remove_all(entry->classes);
    }
}

/* Deducts an equal share of each limit for nodes that never reported or, unless this is the only
 * ledger, for all disconnected nodes. */
static void assume_equal_shares(wb_quota_ledger_t *ledger) {
    unsigned deducted = ledger->sole ? ledger->never_reported_count : ledger->disconnected_count;
    double nodes = MAX(g_hash_table_size(ledger->nodes), 1);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, ledger->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_quota_entry_t *entry = value;
        double share_per_s = entry->rate_per_s * deducted / nodes;
        if (ledger->sole) { /* nodes that never used this limit */
            unsigned lost = ledger->disconnected_count - ledger->never_reported_count;
            share_per_s +=
                assumed_least_per_s(ledger, entry) * (lost - MIN(entry->recorded_lost, lost));
        }
        entry->assumed_per_s = ledger->sole ? entry->assumed_per_s + share_per_s
                                            : MAX(entry->assumed_per_s, share_per_s);
    }
}

/* Sums up what disconnected nodes may admit, as of when each was disconnected, and drops those that
 * have expired. */
static void sum_assumed_usage(wb_quota_ledger_t *ledger, int64_t now_ms) {
    GHashTableIter entries;
    GHashTableIter nodes;
    gpointer value;
    g_hash_table_iter_init(&entries, ledger->entries);
    while (g_hash_table_iter_next(&entries, NULL, &value)) {
        ((wb_quota_entry_t *)value)->assumed_per_s = 0;
        ((wb_quota_entry_t *)value)->recorded_lost = 0;
    }
    ledger->never_reported_count = 0;
    if (ledger->disconnected_count == 0) {
        return;
    }
    g_hash_table_iter_init(&nodes, ledger->nodes);
    while (g_hash_table_iter_next(&nodes, NULL, &value)) {
        const wb_quota_node_t *node = value;
        if (node->disconnected_ms == 0) {
            continue;
        }
        if (ledger->sole && now_ms - node->disconnected_ms > DISCONNECTED_EXPIRY_MS) {
            g_hash_table_iter_remove(&nodes);
            ledger->disconnected_count--;
            continue;
        }
        ledger->never_reported_count += !node->reported;
        GHashTableIter rates;
        gpointer tenant;
        gpointer per_s;
        g_hash_table_iter_init(&rates, node->assumed);
        while (g_hash_table_iter_next(&rates, &tenant, &per_s)) {
            wb_quota_entry_t *entry = g_hash_table_lookup(ledger->entries, tenant);
            if (entry != NULL) {
                entry->assumed_per_s += *(const double *)per_s;
                entry->recorded_lost++;
            }
        }
    }
}

/* Computes the share of the demand that the bucket can sustain, overall and by traffic class. */
static void compute_shares(wb_quota_entry_t *entry, int64_t now_ms) {
    double level = entry_fill(entry, now_ms);
    double sustainable_per_s = entry->rate_per_s - entry->assumed_per_s + level / LEVEL_USE_TIME_S;
    double asked_per_s = wb_quota_demand_asked_per_s(&entry->demand, now_ms);
    entry->share = 1;
    entry->factor = wb_quota_demand_factor(&entry->demand, entry->rate_per_s, now_ms);
    if (asked_per_s <= sustainable_per_s) {
        return;
    }
    entry->share = MAX(sustainable_per_s, 0) / asked_per_s;
    wb_class_demands_allocate(entry->classes, sustainable_per_s, now_ms);
}

static gboolean has_changed(double share, double sent) {
    return fabs(share - sent) > RESEND_CHANGE * sent;
}

/* Appends the factor for nodes out of touch of a tenant that isn't throttled. Returns TRUE when it
 * must be sent at once. */
static gboolean append_factor(wb_quota_ledger_t *ledger, wb_quota_entry_t *entry) {
    if (entry->factor < WB_QUOTA_OFFLINE_FACTOR) {
        wb_quota_share_t share = {entry->tenant, WB_QUOTA_FACTOR_CLASS, entry->factor};
        g_array_append_val(ledger->shares, share);
    }
    return fabs(entry->factor - entry->sent_factor) > FACTOR_CHANGE * entry->sent_factor;
}

/* Appends the shares of a throttled tenant. Returns TRUE when a share must be sent at once. */
static gboolean append_shares(wb_quota_ledger_t *ledger, wb_quota_entry_t *entry) {
    gboolean differs = has_changed(entry->share, entry->sent_share);
    if (entry->share >= 1) {
        return append_factor(ledger, entry) || differs;
    }
    wb_quota_share_t share = {entry->tenant, WB_QUOTA_OTHER_CLASSES, entry->share};
    g_array_append_val(ledger->shares, share);
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->classes);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const wb_class_demand_t *demand = value;
        if (GPOINTER_TO_UINT(key) != WB_QUOTA_OTHER_CLASSES) {
            wb_quota_share_t class_share = {entry->tenant, GPOINTER_TO_UINT(key), demand->share};
            g_array_append_val(ledger->shares, class_share);
            differs |= has_changed(demand->share, demand->sent_share);
        }
    }
    return differs;
}

static void mark_sent(wb_quota_entry_t *entry) {
    GHashTableIter iter;
    gpointer value;
    entry->sent_share = entry->share;
    entry->sent_factor = entry->factor;
    g_hash_table_iter_init(&iter, entry->classes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_class_demand_t *demand = value;
        demand->sent_share = entry->share < 1 ? demand->share : 1;
    }
}

const GArray *wb_quota_ledger_shares(wb_quota_ledger_t *ledger, int64_t now_ms, gboolean *changed) {
    GHashTableIter iter;
    gpointer value;
    gboolean differs = FALSE;
    gboolean throttled = FALSE;
    g_array_set_size(ledger->shares, 0);
    sum_assumed_usage(ledger, now_ms);
    assume_equal_shares(ledger);
    g_hash_table_iter_init(&iter, ledger->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        compute_shares(value, now_ms);
        differs |= append_shares(ledger, value);
        throttled |= ((wb_quota_entry_t *)value)->share < 1;
    }
    gboolean must_repeat = throttled || ledger->sent_count > 0;
    *changed = differs || (must_repeat && now_ms - ledger->sent_ms >= RESEND_INTERVAL_MS);
    if (!*changed) {
        return ledger->shares;
    }
    ledger->sent_ms = now_ms;
    ledger->sent_count = throttled ? ledger->shares->len : 0;
    g_hash_table_iter_init(&iter, ledger->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mark_sent(value);
    }
    return ledger->shares;
}

const GArray *wb_quota_ledger_last_shares(const wb_quota_ledger_t *ledger) {
    return ledger->shares;
}

gboolean wb_quota_ledger_state(const wb_quota_ledger_t *ledger, const char *tenant, int64_t now_ms,
                               wb_quota_state_t *state) {
    const wb_quota_entry_t *entry = g_hash_table_lookup(ledger->entries, tenant);
    if (entry == NULL) {
        return FALSE;
    }
    *state = (wb_quota_state_t){.asked_per_s = wb_quota_demand_asked_per_s(&entry->demand, now_ms),
                                .admitted_per_s =
                                    wb_decayed_rate_read(&entry->admitted, ADMITTED_TIME_S, now_ms),
                                .assumed_per_s = entry->assumed_per_s,
                                .level = entry->bucket.level,
                                .share = entry->share};
    return TRUE;
}
