/* Three ways to share limits over gateways; only the last one is the product's. */
#include "quota_sim.h"

#include "quota/quota_ledger.h"
#include "quota/quota_limiter.h"
#include "quota/token_bucket.h"

#include <string.h>

/* Equal shares: each node has its part of rate and burst, whatever is asked where. */

typedef struct equal_t {
    quota_way_t way;
    int nodes;
    GHashTable **buckets; /* by node: tenant -> wb_token_bucket_t */
} equal_t;

static GHashTable **tables_make(int nodes) {
    GHashTable **tables = g_new0(GHashTable *, nodes);
    for (int i = 0; i < nodes; i++) {
        tables[i] = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    return tables;
}

static void tables_free(GHashTable **tables, int nodes) {
    for (int i = 0; i < nodes; i++) {
        g_hash_table_unref(tables[i]);
    }
    g_free(tables);
}

static wb_token_bucket_t *bucket_of(GHashTable *table, const wb_tenant_t *tenant, double level,
                                    int64_t now_ms) {
    wb_token_bucket_t *bucket = g_hash_table_lookup(table, tenant->name);
    if (bucket == NULL) {
        bucket = g_new0(wb_token_bucket_t, 1);
        *bucket = (wb_token_bucket_t){level, now_ms};
        g_hash_table_insert(table, g_strdup(tenant->name), bucket);
    }
    return bucket;
}

static gboolean bucket_take(wb_token_bucket_t *bucket, double rate_per_s, double depth, double cost,
                            int64_t now_ms) {
    if (wb_token_bucket_fill(bucket, rate_per_s, depth, now_ms) <= 0) {
        return FALSE;
    }
    bucket->level -= cost;
    return TRUE;
}

static gboolean equal_ask(quota_way_t *way, int node, const wb_tenant_t *tenant, double cost,
                          int64_t now_ms) {
    equal_t *equal = (equal_t *)way;
    double depth = tenant->burst / equal->nodes;
    return bucket_take(bucket_of(equal->buckets[node], tenant, depth, now_ms),
                       tenant->rate_per_s / equal->nodes, depth, cost, now_ms);
}

static void nothing_tick(quota_way_t *way, int64_t now_ms) {
    (void)way;
    (void)now_ms;
}

static void nothing_limits(quota_way_t *way, const wb_tenants_t *tenants, int64_t now_ms) {
    (void)way;
    (void)tenants;
    (void)now_ms;
}

static void nothing_reached(quota_way_t *way, int node, gboolean reached, int64_t now_ms) {
    (void)way;
    (void)node;
    (void)reached;
    (void)now_ms;
}

static void nothing_split(quota_way_t *way, gboolean begins, int64_t now_ms) {
    (void)way;
    (void)begins;
    (void)now_ms;
}

static void equal_restart(quota_way_t *way, int node, int64_t now_ms) {
    (void)now_ms;
    g_hash_table_remove_all(((equal_t *)way)->buckets[node]);
}

static void equal_destroy(quota_way_t *way) {
    equal_t *equal = (equal_t *)way;
    tables_free(equal->buckets, equal->nodes);
    g_free(equal);
}

quota_way_t *quota_way_equal(int nodes, const wb_tenants_t *tenants) {
    (void)tenants;
    equal_t *equal = g_new0(equal_t, 1);
    equal->way =
        (quota_way_t){"equal",      equal_ask,     nothing_tick,  nothing_limits, nothing_reached,
                      nothing_tick, nothing_split, equal_restart, equal_destroy};
    equal->nodes = nodes;
    equal->buckets = tables_make(nodes);
    return &equal->way;
}

/* Lots: one accountant's bucket for all; a node takes at least what a request costs from it, and a
 * quarter of a second's equal part ahead. Who can't reach it has its equal part. */

#define LOT_S 0.25

typedef struct lots_t {
    quota_way_t way;
    int nodes;
    gboolean *reached;
    GHashTable *accounts;  /* tenant -> wb_token_bucket_t */
    GHashTable **balances; /* by node: tenant -> wb_token_bucket_t, whose level is a balance */
    GHashTable **alone;    /* by node, while it can't reach the accountant */
    gboolean knows_nothing;
    GHashTable *second; /* accounts for the nodes that are not cut off; NULL: no split */
} lots_t;

static gboolean is_cut(int node) {
    return node % 3 == 0;
}

static gboolean lots_ask(quota_way_t *way, int node, const wb_tenant_t *tenant, double cost,
                         int64_t now_ms) {
    lots_t *lots = (lots_t *)way;
    wb_token_bucket_t *balance = bucket_of(lots->balances[node], tenant, 0, now_ms);
    if (balance->level >= cost) {
        balance->level -= cost;
        return TRUE;
    }
    double equal_per_s = tenant->rate_per_s / lots->nodes;
    if (!lots->reached[node]) {
        return bucket_take(bucket_of(lots->alone[node], tenant, equal_per_s, now_ms), equal_per_s,
                           equal_per_s, cost, now_ms);
    }
    double first = lots->knows_nothing ? 0 : tenant->burst;
    GHashTable *accounts = lots->second != NULL && !is_cut(node) ? lots->second : lots->accounts;
    wb_token_bucket_t *account = bucket_of(accounts, tenant, first, now_ms);
    double lot = MAX(cost - balance->level, LOT_S * equal_per_s);
    if (!bucket_take(account, tenant->rate_per_s, tenant->burst, lot, now_ms)) {
        return FALSE;
    }
    balance->level += lot - cost;
    return TRUE;
}

static void lots_set_reached(quota_way_t *way, int node, gboolean reached, int64_t now_ms) {
    (void)now_ms;
    lots_t *lots = (lots_t *)way;
    lots->reached[node] = reached;
    g_hash_table_remove_all(lots->alone[node]);
}

static void lots_take_over(quota_way_t *way, int64_t now_ms) {
    (void)now_ms;
    lots_t *lots = (lots_t *)way;
    lots->knows_nothing = TRUE;
    g_hash_table_remove_all(lots->accounts);
}

static void lots_split(quota_way_t *way, gboolean begins, int64_t now_ms) {
    (void)now_ms;
    lots_t *lots = (lots_t *)way;
    lots->knows_nothing = TRUE;
    if (begins) {
        lots->second = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    } else {
        g_hash_table_unref(lots->accounts);
        lots->accounts = lots->second;
        lots->second = NULL;
    }
}

static void lots_restart(quota_way_t *way, int node, int64_t now_ms) {
    (void)now_ms;
    g_hash_table_remove_all(((lots_t *)way)->balances[node]);
}

static void lots_destroy(quota_way_t *way) {
    lots_t *lots = (lots_t *)way;
    tables_free(lots->balances, lots->nodes);
    tables_free(lots->alone, lots->nodes);
    g_hash_table_unref(lots->accounts);
    g_free(lots->reached);
    g_free(lots);
}

quota_way_t *quota_way_lots(int nodes, const wb_tenants_t *tenants) {
    (void)tenants;
    lots_t *lots = g_new0(lots_t, 1);
    lots->way =
        (quota_way_t){"lots",         lots_ask,   nothing_tick, nothing_limits, lots_set_reached,
                      lots_take_over, lots_split, lots_restart, lots_destroy};
    lots->nodes = nodes;
    lots->reached = g_new0(gboolean, nodes);
    for (int i = 0; i < nodes; i++) {
        lots->reached[i] = TRUE;
    }
    lots->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    lots->balances = tables_make(nodes);
    lots->alone = tables_make(nodes);
    return &lots->way;
}

/* The product's: reports each 250 ms, shares told as the book says, 10 ms on the way. */

#define REPORT_MS 250
#define BOOK_TICK_MS 50

typedef struct shares_t {
    quota_way_t way;
    int nodes;
    gboolean *reached;
    wb_quota_limiter_t **gates;
    const wb_tenants_t *tenants;
    wb_quota_ledger_t *book;
    wb_quota_ledger_t *second; /* for the nodes that are not cut off; NULL: no split */
    GArray *told[2];         /* of wb_quota_share_t, by book, on their way since the last tick */
    gboolean telling[2];
} shares_t;

/* Which book a node reports to. */
static int book_of(const shares_t *shares, int node) {
    return shares->second != NULL && !is_cut(node);
}

/* Kinds as on the users' sheets: calls to a ledger, chats, drafts. */
static wb_quota_class_t kind_of(double cost) {
    if (cost <= 200) {
        return wb_quota_class("ledger", 2);
    }
    return wb_quota_class("models", cost < 4000 ? 0 : 1);
}

static gboolean shares_ask(quota_way_t *way, int node, const wb_tenant_t *tenant, double cost,
                           int64_t now_ms) {
    shares_t *shares = (shares_t *)way;
    return wb_quota_limiter_admit(shares->gates[node], tenant, kind_of(cost), cost,
                             (unsigned)shares->nodes, now_ms)
        .admitted;
}

static void node_report(shares_t *shares, int node, int64_t now_ms) {
    g_autofree char *name = g_strdup_printf("node-%d", node);
    GArray *uses = wb_quota_limiter_take_usage(shares->gates[node]);
    for (guint i = 0; i < uses->len; i++) {
        const wb_quota_usage_t *use = &g_array_index(uses, wb_quota_usage_t, i);
        wb_quota_ledger_t *book = book_of(shares, node) ? shares->second : shares->book;
        wb_quota_ledger_report(book, name, use, now_ms);
    }
    g_array_unref(uses);
}

static void book_tick(wb_quota_ledger_t *book, GArray *told, int64_t now_ms, gboolean *telling) {
    const GArray *shares = wb_quota_ledger_shares(book, now_ms, telling);
    g_array_set_size(told, 0);
    g_array_append_vals(told, shares->data, shares->len);
}

static void shares_tick(quota_way_t *way, int64_t now_ms) {
    shares_t *shares = (shares_t *)way;
    for (int i = 0; i < shares->nodes; i++) {
        if (!shares->reached[i]) {
            continue;
        }
        if ((now_ms + i * 10) % REPORT_MS == 0) {
            node_report(shares, i, now_ms);
        }
        int book = book_of(shares, i);
        if (shares->telling[book]) {
            wb_quota_limiter_set_shares(shares->gates[i],
                               (const wb_quota_share_t *)(void *)shares->told[book]->data,
                               shares->told[book]->len, now_ms);
        }
    }
    shares->telling[0] = FALSE;
    shares->telling[1] = FALSE;
    if (now_ms % BOOK_TICK_MS != 0) {
        return;
    }
    book_tick(shares->book, shares->told[0], now_ms, &shares->telling[0]);
    if (shares->second != NULL) {
        book_tick(shares->second, shares->told[1], now_ms, &shares->telling[1]);
    }
}

static void shares_set_limits(quota_way_t *way, const wb_tenants_t *tenants, int64_t now_ms) {
    wb_quota_ledger_set_tenants(((shares_t *)way)->book, tenants, now_ms);
}

static void shares_set_reached(quota_way_t *way, int node, gboolean reached, int64_t now_ms) {
    shares_t *shares = (shares_t *)way;
    g_autofree char *name = g_strdup_printf("node-%d", node);
    shares->reached[node] = reached;
    wb_quota_limiter_set_connected(shares->gates[node], reached);
    if (reached) {
        wb_quota_ledger_node_connected(shares->book, name);
    } else {
        wb_quota_ledger_node_lost(shares->book, name, now_ms);
    }
}

static void shares_take_over(quota_way_t *way, int64_t now_ms) {
    wb_quota_ledger_clear(((shares_t *)way)->book, now_ms);
}

static void nodes_report_to_second(shares_t *shares, gboolean cut_ones, int64_t now_ms) {
    for (int i = 0; i < shares->nodes; i++) {
        g_autofree char *name = g_strdup_printf("node-%d", i);
        if (is_cut(i) == cut_ones) {
            wb_quota_ledger_node_connected(shares->second, name);
            wb_quota_ledger_node_lost(shares->book, name, now_ms);
        }
    }
}

static void shares_split(quota_way_t *way, gboolean begins, int64_t now_ms) {
    shares_t *shares = (shares_t *)way;
    if (!begins) {
        nodes_report_to_second(shares, TRUE, now_ms);
        wb_quota_ledger_free(shares->book);
        shares->book = shares->second;
        shares->second = NULL;
        return;
    }
    shares->second = wb_quota_ledger_create();
    wb_quota_ledger_set_tenants(shares->second, shares->tenants, now_ms);
    for (int i = 0; i < shares->nodes; i++) {
        g_autofree char *name = g_strdup_printf("node-%d", i);
        wb_quota_ledger_expect_node(shares->second, name, now_ms);
    }
    wb_quota_ledger_set_sole(shares->book, FALSE);
    nodes_report_to_second(shares, FALSE, now_ms);
}

static void shares_restart(quota_way_t *way, int node, int64_t now_ms) {
    (void)now_ms;
    shares_t *shares = (shares_t *)way;
    wb_quota_limiter_free(shares->gates[node]);
    shares->gates[node] = wb_quota_limiter_create();
    wb_quota_limiter_set_connected(shares->gates[node], TRUE);
}

static void shares_destroy(quota_way_t *way) {
    shares_t *shares = (shares_t *)way;
    for (int i = 0; i < shares->nodes; i++) {
        wb_quota_limiter_free(shares->gates[i]);
    }
    wb_quota_ledger_free(shares->book);
    g_array_unref(shares->told[0]);
    g_array_unref(shares->told[1]);
    g_free(shares->gates);
    g_free(shares->reached);
    g_free(shares);
}

quota_way_t *quota_way_shares(int nodes, const wb_tenants_t *tenants) {
    shares_t *shares = g_new0(shares_t, 1);
    shares->way = (quota_way_t){"shares",          shares_ask,         shares_tick,
                                shares_set_limits, shares_set_reached, shares_take_over,
                                shares_split,      shares_restart,     shares_destroy};
    shares->nodes = nodes;
    shares->reached = g_new0(gboolean, nodes);
    shares->gates = g_new0(wb_quota_limiter_t *, nodes);
    shares->book = wb_quota_ledger_create();
    shares->tenants = tenants;
    shares->told[0] = g_array_new(FALSE, FALSE, sizeof(wb_quota_share_t));
    shares->told[1] = g_array_new(FALSE, FALSE, sizeof(wb_quota_share_t));
    wb_quota_ledger_set_tenants(shares->book, tenants, 0);
    for (int i = 0; i < nodes; i++) {
        shares->reached[i] = TRUE;
        shares->gates[i] = wb_quota_limiter_create();
        wb_quota_limiter_set_connected(shares->gates[i], TRUE);
    }
    return &shares->way;
}
