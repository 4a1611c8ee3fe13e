/* Admits requests within their tenants' limits. */
#include "quota/quota_limiter.h"

#include "quota/token_bucket.h"

/* A gateway's own demand of a tenant is averaged over about so long: a tenth of a request a second
 * is usual where 84 gateways share 368 requests a second of 16 tenants. */
#define DEMAND_TIME_S 8.0
#define RETRY_LEAST_MS 100
/* The window that limits are counted over on the users' deployments; later than this the state is
 * another one. */
#define RETRY_MOST_MS 8000
/* A tenant without requests for so long has no demand worth to remember. */
#define ENTRY_LIFE_MS 60000

/* A kind of a tenant's requests. */
typedef struct wb_gate_kind_t {
    wb_decayed_rate_t demand;
    double asked;    /* since the last report */
    double requests; /* the same */
    double admitted; /* the same */
    double share;    /* while the tenant is short */
    double credit;   /* the same; what was admitted beyond its share is owed */
    gboolean credit_begins;
} wb_gate_kind_t;

typedef struct wb_gate_entry_t {
    char *tenant;
    GHashTable *kinds; /* wb_quota_class_t -> wb_gate_kind_t */
    wb_decayed_rate_t demand;
    double share;          /* of all kinds that aren't named; 1: not short */
    double share_before;   /* as told before the last list */
    wb_token_bucket_t own; /* while the book can't be reached */
    double own_rate_per_s; /* as of when it could be reached last */
    gboolean own_begins;
    int64_t used_ms;
} wb_gate_entry_t;

struct wb_quota_limiter_t {
    GHashTable *entries; /* tenant -> wb_gate_entry_t */
    gboolean reached;
    int64_t told_ms;
};

static void entry_free(gpointer data) {
    wb_gate_entry_t *entry = data;
    g_hash_table_unref(entry->kinds);
    g_free(entry->tenant);
    g_free(entry);
}

wb_quota_limiter_t *wb_quota_limiter_create(void) {
    wb_quota_limiter_t *gate = g_new0(wb_quota_limiter_t, 1);
    gate->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
    return gate;
}

void wb_quota_limiter_free(wb_quota_limiter_t *gate) {
    g_hash_table_unref(gate->entries);
    g_free(gate);
}

static wb_gate_entry_t *entry_get(wb_quota_limiter_t *gate, const char *tenant) {
    wb_gate_entry_t *entry = g_hash_table_lookup(gate->entries, tenant);
    if (entry == NULL) {
        entry = g_new0(wb_gate_entry_t, 1);
        entry->tenant = g_strdup(tenant);
        entry->kinds = g_hash_table_new_full(NULL, NULL, NULL, g_free);
        entry->share = 1;
        entry->share_before = 1;
        entry->own_begins = TRUE;
        g_hash_table_insert(gate->entries, entry->tenant, entry);
    }
    return entry;
}

static wb_gate_kind_t *kind_get(wb_gate_entry_t *entry, wb_quota_class_t kind) {
    wb_gate_kind_t *one = g_hash_table_lookup(entry->kinds, GUINT_TO_POINTER(kind));
    if (one == NULL) {
        one = g_new0(wb_gate_kind_t, 1);
        one->share = entry->share;
        one->credit_begins = TRUE;
        g_hash_table_insert(entry->kinds, GUINT_TO_POINTER(kind), one);
    }
    return one;
}

static int64_t retry_after(double missing, double gain_per_s) {
    if (gain_per_s <= 0) {
        return RETRY_MOST_MS;
    }
    return (int64_t)CLAMP(1000.0 * missing / gain_per_s, RETRY_LEAST_MS, RETRY_MOST_MS);
}

/* Requests are admitted one after the other, so that their costs add up to the share. The first
 * is admitted by chance: that of many nodes would be too much otherwise. */
static void ask_short(wb_gate_kind_t *entry, double cost, int64_t now_ms,
                      wb_quota_decision_t *verdict) {
    if (entry->credit_begins) {
        entry->credit_begins = FALSE;
        entry->credit = -cost * g_random_double();
    }
    entry->credit += entry->share * cost;
    verdict->admitted = entry->credit > 0;
    if (verdict->admitted) {
        entry->credit -= cost;
        return;
    }
    double gain_per_s = entry->share * wb_decayed_rate_read(&entry->demand, DEMAND_TIME_S, now_ms);
    verdict->retry_ms = retry_after(-entry->credit, gain_per_s);
}

/* Depth of the bucket that a tenant has at this node alone; one unit at least. */
static double own_depth(const wb_gate_entry_t *entry) {
    return MAX(WB_QUOTA_OFFLINE_DEPTH_S * entry->own_rate_per_s, 1);
}

/* What this node may spend by itself: set once when the book is lost, and for tenants that came
 * later. */
static void own_begin(wb_gate_entry_t *entry, const wb_tenant_t *tenant, unsigned nodes,
                      double demand_per_s, double cost, int64_t now_ms) {
    double equal_per_s = nodes > 0 ? WB_QUOTA_OFFLINE_SHARE * tenant->rate_per_s / nodes : 0;
    double usual_per_s =
        entry->share < 1 ? entry->share * demand_per_s : WB_QUOTA_OFFLINE_FACTOR * demand_per_s;
    entry->own_rate_per_s = MAX(usual_per_s, entry->share * equal_per_s);
    entry->own.at_ms = now_ms;
    entry->own.level =
        entry->share < 1 ? (entry->share - g_random_double()) * cost : own_depth(entry);
    entry->own_begins = FALSE;
}

static void ask_alone(wb_gate_entry_t *entry, double cost, int64_t now_ms,
                      wb_quota_decision_t *verdict) {
    double level =
        wb_token_bucket_fill(&entry->own, entry->own_rate_per_s, own_depth(entry), now_ms);
    verdict->admitted = level > 0;
    if (verdict->admitted) {
        entry->own.level -= cost;
        return;
    }
    verdict->retry_ms = retry_after(-level, entry->own_rate_per_s);
}

wb_quota_decision_t wb_quota_limiter_admit(wb_quota_limiter_t *gate, const wb_tenant_t *tenant,
                                     wb_quota_class_t kind_id, double cost, unsigned nodes,
                                     int64_t now_ms) {
    wb_quota_decision_t verdict = {
        .admitted = TRUE, .share = 1, .reached = gate->reached, .told_ms = gate->told_ms};
    if (tenant->rate_per_s <= 0) {
        return verdict;
    }
    wb_gate_entry_t *entry = entry_get(gate, tenant->name);
    double usual_per_s = wb_decayed_rate_read(&entry->demand, DEMAND_TIME_S, now_ms);
    wb_decayed_rate_add(&entry->demand, cost, DEMAND_TIME_S, now_ms);
    entry->used_ms = now_ms;
    wb_gate_kind_t *kind = kind_get(entry, kind_id);
    wb_decayed_rate_add(&kind->demand, cost, DEMAND_TIME_S, now_ms);
    kind->asked += cost;
    kind->requests += 1;
    verdict.share = entry->share < 1 ? kind->share : 1;
    if (!gate->reached) {
        if (entry->own_begins) {
            own_begin(entry, tenant, nodes, usual_per_s, cost, now_ms);
        }
        ask_alone(entry, cost, now_ms, &verdict);
    } else if (entry->share < 1) {
        ask_short(kind, cost, now_ms, &verdict);
    }
    if (verdict.admitted) {
        kind->admitted += cost;
    }
    return verdict;
}

void wb_quota_limiter_adjust(wb_quota_limiter_t *gate, const char *tenant, wb_quota_class_t kind,
                          double cost) {
    wb_gate_entry_t *entry = g_hash_table_lookup(gate->entries, tenant);
    if (entry != NULL) {
        kind_get(entry, kind)->admitted += cost;
        entry->own.level -= cost;
    }
}

static void uses_drop(wb_gate_entry_t *entry) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->kinds);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_gate_kind_t *kind = value;
        kind->asked = 0;
        kind->requests = 0;
        kind->admitted = 0;
    }
}

void wb_quota_limiter_set_connected(wb_quota_limiter_t *gate, gboolean reached) {
    if (gate->reached == reached) {
        return;
    }
    gate->reached = reached;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gate->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_gate_entry_t *entry = value;
        entry->own_begins = TRUE;
        if (reached) {
            uses_drop(entry); /* the book has assumed what was spent meanwhile */
        }
    }
}

/* A tenant is short, or still is: kinds that the list doesn't name get the share of all. */
static void share_take(wb_gate_entry_t *entry, double share) {
    gboolean begins = entry->share_before >= 1;
    GHashTableIter iter;
    gpointer value;
    entry->share = CLAMP(share, 0, 1);
    g_hash_table_iter_init(&iter, entry->kinds);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_gate_kind_t *kind = value;
        kind->share = entry->share;
        kind->credit_begins |= begins;
    }
}

void wb_quota_limiter_set_shares(wb_quota_limiter_t *gate, const wb_quota_share_t *told, size_t count,
                        int64_t now_ms) {
    GHashTableIter iter;
    gpointer value;
    gate->told_ms = now_ms;
    g_hash_table_iter_init(&iter, gate->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_gate_entry_t *entry = value;
        entry->share_before = entry->share;
        entry->share = 1;
    }
    for (size_t i = 0; i < count; i++) {
        wb_gate_entry_t *entry = entry_get(gate, told[i].tenant);
        entry->used_ms = now_ms;
        if (told[i].kind == WB_QUOTA_OTHER_CLASSES) {
            share_take(entry, told[i].share);
        } else {
            kind_get(entry, told[i].kind)->share = CLAMP(told[i].share, 0, 1);
        }
    }
}

static void uses_append(GArray *uses, wb_gate_entry_t *entry) {
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->kinds);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const wb_gate_kind_t *kind = value;
        if (kind->asked == 0 && kind->admitted == 0) {
            continue;
        }
        wb_quota_usage_t use = {entry->tenant, GPOINTER_TO_UINT(key), kind->asked, kind->requests,
                              kind->admitted};
        g_array_append_val(uses, use);
    }
    uses_drop(entry);
}

GArray *wb_quota_limiter_take_usage(wb_quota_limiter_t *gate) {
    GArray *uses = g_array_new(FALSE, FALSE, sizeof(wb_quota_usage_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gate->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        uses_append(uses, value);
    }
    return uses;
}

static gboolean has_uses(const wb_gate_entry_t *entry) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->kinds);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_gate_kind_t *kind = value;
        if (kind->asked != 0 || kind->admitted != 0) {
            return TRUE;
        }
    }
    return FALSE;
}

void wb_quota_limiter_sweep(wb_quota_limiter_t *gate, int64_t now_ms) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gate->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_gate_entry_t *entry = value;
        if (now_ms - entry->used_ms > ENTRY_LIFE_MS && !has_uses(entry)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
