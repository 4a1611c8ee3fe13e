/* Keeps the book of what gateways spend of tenants' limits. */
#include "quota/quota_ledger.h"

#include "quota/token_bucket.h"

#include <math.h>
#include <string.h>

/* Reports come each 250 ms and shares are told each 200 ms, so what is decided now is seen in the
 * next reports after some 0.3 s. A bucket is steered to empty over somewhat more than that: with
 * less the share swings, with more a burst is given out late. Of 0.5 and 0.8 s the better one by
 * wb-bench-quota (docs/design/tenants.md). */
#define STEER_TIME_S 0.5
/* Demand is averaged over so long: over half of it, single large requests of small tenants count as
 * a demand that isn't there, and four times as much is refused on calm days (wb-bench-quota). */
#define ASKED_TIME_S 1.0
/* What a node admits is averaged over some seconds: single requests are large. */
#define ADMITTED_TIME_S 4.0
/* The mean cost of a kind's requests is over so long. */
#define COST_TIME_S 8.0
/* A node that isn't reached for so long is taken to be gone: cuts of machines last up to 12 s on
 * the users' sheets, and what is taken for a machine that is gone matters to short tenants only. */
#define LOST_LIFE_MS 20000
/* Shares are told again after this time while a tenant is short, and sooner when one moves by a
 * tenth. */
#define TELL_INTERVAL_MS 200
#define TELL_CHANGE 0.1

/* What a tenant asks for of one kind. */
typedef struct wb_quota_asked_t {
    wb_decayed_rate_t units;
    wb_decayed_rate_t costs;    /* units, over a longer time */
    wb_decayed_rate_t requests; /* over the same */
    double share;
    double share_told;
} wb_quota_asked_t;

typedef struct wb_quota_entry_t {
    char *tenant;
    GHashTable *kinds; /* wb_quota_class_t -> wb_quota_asked_t */
    double rate_per_s;
    double burst;
    wb_token_bucket_t bucket;
    wb_decayed_rate_t asked;
    wb_decayed_rate_t admitted;
    double assumed_per_s;
    double share;
    double share_told;
} wb_quota_entry_t;

/* A node that reports. */
typedef struct wb_quota_node_t {
    GHashTable *admitted; /* tenant -> wb_decayed_rate_t */
    GHashTable *assumed;  /* tenant -> double *, units a second it may spend while it is lost */
    int64_t lost_ms;      /* when it was lost; 0: it is reached */
    gboolean reported;    /* to this book */
} wb_quota_node_t;

struct wb_quota_ledger_t {
    GHashTable *entries;    /* tenant -> wb_quota_entry_t; only tenants with a limit */
    GHashTable *nodes;      /* node -> wb_quota_node_t */
    unsigned lost_count;    /* of the nodes */
    unsigned unheard_count; /* of those: that never reported to this book */
    gboolean sole;          /* no other node keeps a book */
    GArray *shares;         /* of wb_quota_share_t */
    guint told_count;       /* tenants that were short when shares were told last */
    int64_t told_ms;
};

static void entry_free(gpointer data) {
    wb_quota_entry_t *entry = data;
    g_hash_table_unref(entry->kinds);
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
    wb_quota_ledger_t *book = g_new0(wb_quota_ledger_t, 1);
    book->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
    book->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, node_free);
    book->shares = g_array_new(FALSE, FALSE, sizeof(wb_quota_share_t));
    book->sole = TRUE;
    return book;
}

void wb_quota_ledger_free(wb_quota_ledger_t *book) {
    g_hash_table_unref(book->entries);
    g_hash_table_unref(book->nodes);
    g_array_unref(book->shares);
    g_free(book);
}

static void limit_take(wb_quota_ledger_t *book, const wb_tenant_t *tenant, int64_t now_ms) {
    wb_quota_entry_t *entry = g_hash_table_lookup(book->entries, tenant->name);
    if (entry == NULL) {
        entry = g_new0(wb_quota_entry_t, 1);
        entry->tenant = g_strdup(tenant->name);
        entry->kinds = g_hash_table_new_full(NULL, NULL, NULL, g_free);
        entry->bucket.at_ms = now_ms;
        entry->share = 1;
        entry->share_told = 1;
        g_hash_table_insert(book->entries, entry->tenant, entry);
    }
    entry->rate_per_s = tenant->rate_per_s;
    entry->burst = tenant->burst;
}

void wb_quota_ledger_set_tenants(wb_quota_ledger_t *book, const wb_tenants_t *tenants, int64_t now_ms) {
    GHashTableIter iter;
    gpointer value;
    g_array_set_size(book->shares, 0); /* it points into the entries */
    g_hash_table_iter_init(&iter, book->entries);
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
            limit_take(book, tenant, now_ms);
        }
    }
}

static wb_quota_node_t *node_get(wb_quota_ledger_t *book, const char *name) {
    wb_quota_node_t *node = g_hash_table_lookup(book->nodes, name);
    if (node == NULL) {
        node = g_new0(wb_quota_node_t, 1);
        node->admitted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        node->assumed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(book->nodes, g_strdup(name), node);
    }
    return node;
}

/* Fills the bucket by what lost nodes leave of the rate. Returns its level. */
static double entry_fill(wb_quota_entry_t *entry, int64_t now_ms) {
    return wb_token_bucket_fill(&entry->bucket, entry->rate_per_s - entry->assumed_per_s,
                                entry->burst, now_ms);
}

static void kind_note(wb_quota_entry_t *entry, const wb_quota_usage_t *use, int64_t now_ms) {
    wb_quota_asked_t *kind = g_hash_table_lookup(entry->kinds, GUINT_TO_POINTER(use->kind));
    if (kind == NULL) {
        kind = g_new0(wb_quota_asked_t, 1);
        kind->share = entry->share;
        kind->share_told = 1;
        g_hash_table_insert(entry->kinds, GUINT_TO_POINTER(use->kind), kind);
    }
    wb_decayed_rate_add(&kind->units, use->asked, ASKED_TIME_S, now_ms);
    wb_decayed_rate_add(&kind->costs, use->asked, COST_TIME_S, now_ms);
    wb_decayed_rate_add(&kind->requests, use->requests, COST_TIME_S, now_ms);
}

void wb_quota_ledger_report(wb_quota_ledger_t *book, const char *node_name, const wb_quota_usage_t *use,
                          int64_t now_ms) {
    const char *tenant = use->tenant;
    double asked = use->asked;
    double admitted = use->admitted;
    wb_quota_entry_t *entry = g_hash_table_lookup(book->entries, tenant);
    if (entry == NULL) {
        return; /* no limit, or one that is not in this node's configuration yet */
    }
    entry_fill(entry, now_ms);
    entry->bucket.level = MIN(entry->bucket.level - admitted, entry->burst);
    wb_decayed_rate_add(&entry->asked, asked, ASKED_TIME_S, now_ms);
    kind_note(entry, use, now_ms);
    wb_decayed_rate_add(&entry->admitted, admitted, ADMITTED_TIME_S, now_ms);
    wb_quota_node_t *node = node_get(book, node_name);
    node->reported = TRUE;
    wb_decayed_rate_t *rate = g_hash_table_lookup(node->admitted, tenant);
    if (rate == NULL) {
        rate = g_new0(wb_decayed_rate_t, 1);
        g_hash_table_insert(node->admitted, g_strdup(tenant), rate);
    }
    wb_decayed_rate_add(rate, admitted, ADMITTED_TIME_S, now_ms);
}

void wb_quota_ledger_node_connected(wb_quota_ledger_t *book, const char *name) {
    wb_quota_node_t *node = node_get(book, name);
    if (node->lost_ms != 0) {
        node->lost_ms = 0;
        book->lost_count--;
    }
    node->reported = TRUE;
}

void wb_quota_ledger_expect_node(wb_quota_ledger_t *book, const char *name, int64_t now_ms) {
    wb_quota_node_t *node = node_get(book, name);
    if (!node->reported && node->lost_ms == 0) {
        node->lost_ms = now_ms;
        book->lost_count++;
    }
}

void wb_quota_ledger_set_sole(wb_quota_ledger_t *book, gboolean sole) {
    book->sole = sole;
}

/* What a node may spend of each tenant's limit without the book: see quota_limiter.h. */
static void assume(const wb_quota_ledger_t *book, wb_quota_node_t *node, int64_t now_ms) {
    GHashTableIter iter;
    gpointer tenant;
    gpointer rate;
    g_hash_table_remove_all(node->assumed);
    g_hash_table_iter_init(&iter, node->admitted);
    while (g_hash_table_iter_next(&iter, &tenant, &rate)) {
        wb_quota_entry_t *entry = g_hash_table_lookup(book->entries, tenant);
        double per_s = wb_decayed_rate_read(rate, ADMITTED_TIME_S, now_ms);
        if (entry != NULL && entry->share_told >= 1) {
            /* As quota_limiter.c has it: nodes with little demand may spend an equal part. With a
             * third of 350 nodes cut off a second before a sevenfold surge, 1.01 of the users' rule
             * was spent without it (wb-bench-quota). */
            double nodes = MAX(g_hash_table_size(book->nodes), 1);
            per_s = MAX(WB_QUOTA_OFFLINE_FACTOR * per_s,
                        WB_QUOTA_OFFLINE_SHARE * entry->rate_per_s / nodes);
            entry->bucket.level -= WB_QUOTA_OFFLINE_DEPTH_S * per_s;
        }
        g_hash_table_insert(node->assumed, g_strdup(tenant), g_memdup2(&per_s, sizeof(per_s)));
    }
}

void wb_quota_ledger_node_lost(wb_quota_ledger_t *book, const char *name, int64_t now_ms) {
    wb_quota_node_t *node = g_hash_table_lookup(book->nodes, name);
    if (node != NULL && node->lost_ms == 0) {
        node->lost_ms = now_ms;
        assume(book, node, now_ms);
        book->lost_count++;
    }
}

void wb_quota_ledger_clear(wb_quota_ledger_t *book, int64_t now_ms) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_remove_all(book->nodes);
    book->lost_count = 0;
    book->unheard_count = 0;
    book->told_count = 0;
    g_hash_table_iter_init(&iter, book->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_quota_entry_t *entry = value;
        entry->bucket = (wb_token_bucket_t){0, now_ms};
        memset(&entry->asked, 0, sizeof(entry->asked));
        memset(&entry->admitted, 0, sizeof(entry->admitted));
        entry->share = 1;
        entry->share_told = 1;
        g_hash_table_remove_all(entry->kinds);
    }
}

/* Of nodes whose rates aren't known, or that may report to another book, an equal part of each
 * limit is taken. */
static void assume_equal_parts(wb_quota_ledger_t *book) {
    unsigned unknown = book->sole ? book->unheard_count : book->lost_count;
    double nodes = MAX(g_hash_table_size(book->nodes), 1);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, book->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_quota_entry_t *entry = value;
        double part_per_s = entry->rate_per_s * unknown / nodes;
        entry->assumed_per_s =
            book->sole ? entry->assumed_per_s + part_per_s : MAX(entry->assumed_per_s, part_per_s);
    }
}

/* Adds up what lost nodes may spend, as of when each was lost. */
static void assumed_sum(wb_quota_ledger_t *book, int64_t now_ms) {
    GHashTableIter entries;
    GHashTableIter nodes;
    gpointer value;
    g_hash_table_iter_init(&entries, book->entries);
    while (g_hash_table_iter_next(&entries, NULL, &value)) {
        ((wb_quota_entry_t *)value)->assumed_per_s = 0;
    }
    book->unheard_count = 0;
    if (book->lost_count == 0) {
        return;
    }
    g_hash_table_iter_init(&nodes, book->nodes);
    while (g_hash_table_iter_next(&nodes, NULL, &value)) {
        const wb_quota_node_t *node = value;
        if (node->lost_ms == 0) {
            continue;
        }
        if (book->sole && now_ms - node->lost_ms > LOST_LIFE_MS) {
            g_hash_table_iter_remove(&nodes);
            book->lost_count--;
            continue;
        }
        book->unheard_count += !node->reported;
        GHashTableIter rates;
        gpointer tenant;
        gpointer per_s;
        g_hash_table_iter_init(&rates, node->assumed);
        while (g_hash_table_iter_next(&rates, &tenant, &per_s)) {
            wb_quota_entry_t *entry = g_hash_table_lookup(book->entries, tenant);
            if (entry != NULL) {
                entry->assumed_per_s += *(const double *)per_s;
            }
        }
    }
}

/* Shares what the bucket bears among the kinds that are asked for. */
static void kinds_share(wb_quota_entry_t *entry, double bearable_per_s, int64_t now_ms) {
    g_autoptr(GArray) claims = g_array_new(FALSE, FALSE, sizeof(wb_quota_claim_t));
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->kinds);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const wb_quota_asked_t *kind = value;
        double requests = wb_decayed_rate_read(&kind->requests, COST_TIME_S, now_ms);
        double units = wb_decayed_rate_read(&kind->costs, COST_TIME_S, now_ms);
        wb_quota_claim_t claim = {GPOINTER_TO_UINT(key),
                                  wb_decayed_rate_read(&kind->units, ASKED_TIME_S, now_ms),
                                  requests > 0 ? units / requests : 0, 1};
        g_array_append_val(claims, claim);
    }
    wb_quota_order_allocate((wb_quota_claim_t *)(void *)claims->data, claims->len, bearable_per_s);
    for (guint i = 0; i < claims->len; i++) {
        const wb_quota_claim_t *claim = &g_array_index(claims, wb_quota_claim_t, i);
        wb_quota_asked_t *kind = g_hash_table_lookup(entry->kinds, GUINT_TO_POINTER(claim->kind));
        kind->share = claim->share;
    }
}

/* Finds the share of what is asked that the bucket bears: of all kinds together, and of each. */
static void shares_find(wb_quota_entry_t *entry, int64_t now_ms) {
    double level = entry_fill(entry, now_ms);
    double bearable_per_s = entry->rate_per_s - entry->assumed_per_s + level / STEER_TIME_S;
    double asked_per_s = wb_decayed_rate_read(&entry->asked, ASKED_TIME_S, now_ms);
    entry->share = 1;
    if (asked_per_s <= bearable_per_s) {
        return;
    }
    entry->share = MAX(bearable_per_s, 0) / asked_per_s;
    kinds_share(entry, bearable_per_s, now_ms);
}

static gboolean has_moved(double share, double told) {
    return fabs(share - told) > TELL_CHANGE * told;
}

/* Adds what is to be told of a tenant that is short. Returns TRUE when a share has moved. */
static gboolean entry_collect(wb_quota_ledger_t *book, wb_quota_entry_t *entry) {
    gboolean moved = has_moved(entry->share, entry->share_told);
    if (entry->share >= 1) {
        return moved;
    }
    wb_quota_share_t share = {entry->tenant, WB_QUOTA_OTHER_CLASSES, entry->share};
    g_array_append_val(book->shares, share);
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->kinds);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const wb_quota_asked_t *kind = value;
        if (GPOINTER_TO_UINT(key) != WB_QUOTA_OTHER_CLASSES) {
            wb_quota_share_t one = {entry->tenant, GPOINTER_TO_UINT(key), kind->share};
            g_array_append_val(book->shares, one);
            moved |= has_moved(kind->share, kind->share_told);
        }
    }
    return moved;
}

static void entry_told(wb_quota_entry_t *entry) {
    GHashTableIter iter;
    gpointer value;
    entry->share_told = entry->share;
    g_hash_table_iter_init(&iter, entry->kinds);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_quota_asked_t *kind = value;
        kind->share_told = entry->share < 1 ? kind->share : 1;
    }
}

const GArray *wb_quota_ledger_shares(wb_quota_ledger_t *book, int64_t now_ms, gboolean *changed) {
    GHashTableIter iter;
    gpointer value;
    gboolean moved = FALSE;
    g_array_set_size(book->shares, 0);
    assumed_sum(book, now_ms);
    assume_equal_parts(book);
    g_hash_table_iter_init(&iter, book->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        shares_find(value, now_ms);
        moved |= entry_collect(book, value);
    }
    gboolean any = book->shares->len > 0 || book->told_count > 0;
    *changed = moved || (any && now_ms - book->told_ms >= TELL_INTERVAL_MS);
    if (!*changed) {
        return book->shares;
    }
    book->told_ms = now_ms;
    book->told_count = book->shares->len;
    g_hash_table_iter_init(&iter, book->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_told(value);
    }
    return book->shares;
}

gboolean wb_quota_ledger_state(const wb_quota_ledger_t *book, const char *tenant, int64_t now_ms,
                             wb_quota_state_t *state) {
    const wb_quota_entry_t *entry = g_hash_table_lookup(book->entries, tenant);
    if (entry == NULL) {
        return FALSE;
    }
    *state = (wb_quota_state_t){
        .asked_per_s = wb_decayed_rate_read(&entry->asked, ASKED_TIME_S, now_ms),
        .admitted_per_s = wb_decayed_rate_read(&entry->admitted, ADMITTED_TIME_S, now_ms),
        .assumed_per_s = entry->assumed_per_s,
        .level = entry->bucket.level,
        .share = entry->share};
    return TRUE;
}
