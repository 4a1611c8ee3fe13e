/* Admission of requests within their tenants' limits. */
#include "quota/quota_limiter.h"

#include "quota/token_bucket.h"

/* Time constant of the averages of a tenant's demand at this gateway, where requests are rare. */
#define DEMAND_TIME_S 8.0
/* The same for throttled tenants, whose demand has changed lately. */
#define RECENT_TIME_S 2.0
#define RETRY_MIN_MS 100
/* The ledger's node sends messages about as often. */
#define CONFIRM_RETRY_MS 300
/* By then the shares have changed. */
#define RETRY_MAX_MS 8000
/* Level of a throttled tenant's local bucket at its start, in seconds of its rate. */
#define THROTTLED_START_S 0.5
/* By then another node has taken the lease, as a rule, and with it the ledger. */
#define LOCAL_RETRY_MAX_MS 2000
/* A tenant without requests for this long is dropped. */
#define ENTRY_EXPIRY_MS 60000

/* A traffic class of a tenant. */
typedef struct wb_limiter_class_t {
    wb_decayed_rate_t demand;
    double asked;          /* units requested since the last report */
    double requests;       /* since the last report */
    double admitted;       /* units since the last report */
    double admitted_alone; /* units out of touch, of which the ledger may not know */
    double share;          /* in force while the tenant is throttled */
    double credit;         /* units that may be admitted while throttled; negative: a debt */
    gboolean credit_unset; /* credit must be initialized */
} wb_limiter_class_t;

/* Usage of one or more reports that the ledger hasn't confirmed. */
typedef struct wb_unconfirmed_t {
    double units;
    unsigned requests;
    int64_t last_ms; /* time of the last of these reports */
} wb_unconfirmed_t;

typedef struct wb_limiter_entry_t {
    char *tenant;
    GHashTable *classes;            /* wb_quota_class_t -> wb_limiter_class_t */
    wb_decayed_rate_t recent;       /* units requested, over RECENT_TIME_S */
    double share;                   /* of classes without a share of their own; 1: not throttled */
    double previous_share;          /* before the latest shares were received */
    double offline_factor;          /* of the demand to admit out of touch */
    wb_decayed_rate_t granted;      /* units admitted, over DEMAND_TIME_S */
    wb_decayed_rate_t touch_recent; /* `recent` as of the ledger's last confirmation */
    wb_decayed_rate_t touch_granted;
    unsigned touch_confirmation;    /* the number of that confirmation */
    wb_token_bucket_t local_bucket; /* used out of touch */
    double local_rate_per_s;        /* fill rate of the local bucket */
    double local_depth;
    double unreported; /* units admitted since the last report */
    unsigned unreported_requests;
    /* Usage of reports that aren't confirmed: of the earlier ones, and of those since. */
    wb_unconfirmed_t reported[2];
    wb_usage_history_t history; /* of what was reported, or admitted out of touch */
    unsigned local_period;      /* period out of touch for which these were set; 0: none yet */
    int64_t used_ms;
    wb_quota_activity_t activity; /* since it was last taken */
} wb_limiter_entry_t;

struct wb_quota_limiter_t {
    GHashTable *entries; /* tenant -> wb_limiter_entry_t */
    wb_quota_touch_t touch;
    unsigned period; /* number of the last period out of touch */
};

static void entry_free(gpointer data) {
    wb_limiter_entry_t *entry = data;
    g_hash_table_unref(entry->classes);
    g_free(entry->tenant);
    g_free(entry);
}

wb_quota_limiter_t *wb_quota_limiter_create(void) {
    wb_quota_limiter_t *limiter = g_new0(wb_quota_limiter_t, 1);
    limiter->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
    limiter->period = 1;
    return limiter;
}

void wb_quota_limiter_free(wb_quota_limiter_t *limiter) {
    g_hash_table_unref(limiter->entries);
    g_free(limiter);
}

static wb_limiter_entry_t *entry_get(wb_quota_limiter_t *limiter, const char *tenant) {
    wb_limiter_entry_t *entry = g_hash_table_lookup(limiter->entries, tenant);
    if (entry == NULL) {
        entry = g_new0(wb_limiter_entry_t, 1);
        entry->tenant = g_strdup(tenant);
        entry->classes = g_hash_table_new_full(NULL, NULL, NULL, g_free);
        entry->share = 1;
        entry->previous_share = 1;
        entry->offline_factor = WB_QUOTA_OFFLINE_FACTOR;
        g_hash_table_insert(limiter->entries, entry->tenant, entry);
    }
    return entry;
}

static wb_limiter_class_t *class_get(wb_limiter_entry_t *entry, wb_quota_class_t kind) {
    wb_limiter_class_t *traffic = g_hash_table_lookup(entry->classes, GUINT_TO_POINTER(kind));
    if (traffic == NULL) {
        traffic = g_new0(wb_limiter_class_t, 1);
        traffic->share = entry->share;
        traffic->credit_unset = TRUE;
        g_hash_table_insert(entry->classes, GUINT_TO_POINTER(kind), traffic);
    }
    return traffic;
}

static int64_t retry_ms(double debt, double income_per_s) {
    if (income_per_s <= 0) {
        return RETRY_MAX_MS;
    }
    return (int64_t)CLAMP(1000.0 * debt / income_per_s, RETRY_MIN_MS, RETRY_MAX_MS);
}

/* Credit grows by the share of each request's cost, and a request is admitted while it is positive,
 * so that admitted costs add up to the share. The initial credit is random: otherwise each of many
 * nodes would admit its first request, which is too much in total. */
static void admit_throttled(wb_limiter_class_t *traffic, double cost, int64_t now_ms,
                            wb_quota_decision_t *decision) {
    if (traffic->credit_unset) {
        traffic->credit_unset = FALSE;
        traffic->credit = -cost * g_random_double();
    }
    traffic->credit += traffic->share * cost;
    decision->admitted = traffic->credit > 0;
    if (decision->admitted) {
        traffic->credit -= cost;
        return;
    }
    double income_per_s =
        traffic->share * wb_decayed_rate_read(&traffic->demand, DEMAND_TIME_S, now_ms);
    decision->retry_ms = retry_ms(-traffic->credit, income_per_s);
}

void wb_quota_limiter_tick(wb_quota_limiter_t *limiter, int64_t now_ms) {
    wb_quota_touch_tick(&limiter->touch, now_ms);
}

/* Demand of an unthrottled tenant that a node may serve without the ledger. */
static double unthrottled_rate_per_s(const wb_limiter_entry_t *entry, double equal_per_s,
                                     int64_t touch_ms) {
    double granted_per_s = wb_decayed_rate_read(&entry->touch_granted, DEMAND_TIME_S, touch_ms);
    return MAX(entry->offline_factor * granted_per_s, WB_QUOTA_OFFLINE_SHARE * equal_per_s);
}

/* Drops reported usage that the ledger has confirmed. */
static void reported_confirm(wb_limiter_entry_t *entry, int64_t confirmed_ms) {
    if (confirmed_ms >= entry->reported[0].last_ms) {
        entry->reported[0] = entry->reported[1];
        entry->reported[1] = (wb_unconfirmed_t){0};
    }
    if (confirmed_ms >= entry->reported[0].last_ms) {
        entry->reported[0] = (wb_unconfirmed_t){0};
    }
}

/* Whether so much was admitted that the ledger must confirm it before more is: of a burst that
 * arrives at once, as after a pause, it learns only afterwards. */
static gboolean awaits_confirmation(wb_quota_limiter_t *limiter, wb_limiter_entry_t *entry,
                                    const wb_tenant_t *tenant, unsigned nodes) {
    reported_confirm(entry, limiter->touch.confirmed_ms);
    unsigned requests =
        entry->unreported_requests + entry->reported[0].requests + entry->reported[1].requests;
    if (requests < WB_QUOTA_UNCONFIRMED_REQUESTS) {
        return FALSE;
    }
    double equal_per_s = nodes > 0 ? tenant->rate_per_s / nodes : 0;
    double units = entry->unreported + entry->reported[0].units + entry->reported[1].units;
    return units >
           WB_QUOTA_UNCONFIRMED_S *
               (equal_per_s + unthrottled_rate_per_s(entry, equal_per_s, limiter->touch.as_of_ms));
}

/* Sets the local bucket's rate and depth for a period out of touch. Little is left of a throttled
 * tenant's limit, so its bucket starts nearly empty. */
static void local_start(wb_limiter_entry_t *entry, const wb_tenant_t *tenant, unsigned nodes,
                        double cost, int64_t touch_ms, int64_t now_ms) {
    double equal_per_s = nodes > 0 ? tenant->rate_per_s / nodes : 0;
    if (entry->share < 1) {
        double recent_per_s = wb_decayed_rate_read(&entry->touch_recent, RECENT_TIME_S, touch_ms);
        double demand_per_s = MAX(recent_per_s, WB_QUOTA_OFFLINE_SHARE * equal_per_s);
        entry->local_rate_per_s = entry->share * demand_per_s;
        entry->local_depth = WB_QUOTA_OFFLINE_DEPTH_S * entry->local_rate_per_s;
        entry->local_bucket =
            (wb_token_bucket_t){THROTTLED_START_S * entry->local_rate_per_s, now_ms};
        return;
    }
    entry->local_rate_per_s = unthrottled_rate_per_s(entry, equal_per_s, touch_ms);
    entry->local_depth =
        MIN(WB_QUOTA_OFFLINE_BASE_S * equal_per_s, WB_QUOTA_OFFLINE_BASE_REQUESTS * cost) +
        WB_QUOTA_OFFLINE_DEPTH_S * entry->local_rate_per_s;
    if (entry->local_period == 0) {
        entry->local_bucket = (wb_token_bucket_t){entry->local_depth, now_ms};
    }
}

/* A request that costs more than the bucket holds at most is admitted by chance and empties it:
 * waiting wouldn't help it, and nodes together admit what their buckets hold on average. */
static void admit_locally(wb_limiter_entry_t *entry, double cost, int64_t now_ms,
                          wb_quota_decision_t *decision) {
    double level = wb_token_bucket_fill(&entry->local_bucket, entry->local_rate_per_s,
                                        entry->local_depth, now_ms);
    decision->admitted = level >= cost;
    if (!decision->admitted && entry->local_depth < cost) {
        decision->admitted = level > g_random_double() * cost;
        entry->local_bucket.level = 0;
    } else if (decision->admitted) {
        entry->local_bucket.level -= cost;
    }
    decision->retry_ms = MIN(retry_ms(cost - level, entry->local_rate_per_s), LOCAL_RETRY_MAX_MS);
}

/* Counts a request, before it is decided. */
static void request_count(const wb_quota_limiter_t *limiter, wb_limiter_entry_t *entry,
                          wb_limiter_class_t *traffic, double cost, int64_t now_ms) {
    gboolean in_touch = wb_quota_touch_holds(&limiter->touch, now_ms);
    if (in_touch && entry->touch_confirmation != limiter->touch.confirmation) {
        entry->touch_confirmation = limiter->touch.confirmation;
        entry->touch_granted = entry->granted;
        entry->touch_recent = entry->recent;
    }
    entry->used_ms = now_ms;
    wb_decayed_rate_add(&entry->recent, cost, RECENT_TIME_S, now_ms);
    wb_decayed_rate_add(&traffic->demand, cost, DEMAND_TIME_S, now_ms);
    traffic->asked += cost;
    traffic->requests += 1;
}

static void request_decide(wb_quota_limiter_t *limiter, wb_limiter_entry_t *entry,
                           wb_limiter_class_t *traffic, const wb_tenant_t *tenant, double cost,
                           unsigned nodes, int64_t now_ms, wb_quota_decision_t *decision) {
    if (!wb_quota_touch_holds(&limiter->touch, now_ms)) {
        decision->basis = WB_QUOTA_LOCAL;
        if (entry->local_period != limiter->period) {
            local_start(entry, tenant, nodes, cost, limiter->touch.as_of_ms, now_ms);
            entry->local_period = limiter->period;
        }
        admit_locally(entry, cost, now_ms, decision);
    } else if (awaits_confirmation(limiter, entry, tenant, nodes)) {
        decision->basis = WB_QUOTA_LOCAL;
        decision->admitted = FALSE;
        decision->retry_ms = CONFIRM_RETRY_MS;
    } else if (entry->share < 1) {
        decision->basis = WB_QUOTA_SHARE;
        admit_throttled(traffic, cost, now_ms, decision);
    }
}

static void admission_count(wb_limiter_entry_t *entry, wb_limiter_class_t *traffic, double cost,
                            gboolean in_touch, int64_t now_ms) {
    traffic->admitted += in_touch ? cost : 0;
    traffic->admitted_alone += in_touch ? 0 : cost;
    wb_usage_history_add(&entry->history, in_touch ? 0 : cost, now_ms);
    entry->unreported += cost;
    entry->unreported_requests++;
    wb_decayed_rate_add(&entry->granted, cost, DEMAND_TIME_S, now_ms);
}

wb_quota_decision_t wb_quota_limiter_admit(wb_quota_limiter_t *limiter, const wb_tenant_t *tenant,
                                           wb_quota_class_t kind, double cost, unsigned nodes,
                                           int64_t now_ms) {
    wb_quota_decision_t decision = {.admitted = TRUE, .share = 1, .age_ms = -1};
    if (limiter->touch.heard_ms != 0) {
        decision.age_ms = now_ms - limiter->touch.heard_ms;
    }
    if (tenant->rate_per_s <= 0) {
        return decision;
    }
    wb_quota_limiter_tick(limiter, now_ms);
    wb_limiter_entry_t *entry = entry_get(limiter, tenant->name);
    wb_limiter_class_t *traffic = class_get(entry, kind);
    request_count(limiter, entry, traffic, cost, now_ms);
    decision.share = entry->share < 1 ? traffic->share : 1;
    request_decide(limiter, entry, traffic, tenant, cost, nodes, now_ms, &decision);
    if (decision.admitted) {
        admission_count(entry, traffic, cost, wb_quota_touch_holds(&limiter->touch, now_ms),
                        now_ms);
        decision.report_due =
            nodes > 0 && entry->unreported >= WB_QUOTA_URGENT_S * tenant->rate_per_s / nodes;
    }
    wb_quota_activity_add(&entry->activity, decision.basis, decision.admitted, cost,
                          decision.age_ms);
    return decision;
}

void wb_quota_limiter_adjust(wb_quota_limiter_t *limiter, const char *tenant, wb_quota_class_t kind,
                             double cost) {
    wb_limiter_entry_t *entry = g_hash_table_lookup(limiter->entries, tenant);
    if (entry != NULL) {
        class_get(entry, kind)->admitted += cost;
    }
}

GArray *wb_quota_limiter_take_activity(wb_quota_limiter_t *limiter) {
    GArray *activities = g_array_new(FALSE, FALSE, sizeof(wb_quota_activity_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, limiter->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_limiter_entry_t *entry = value;
        wb_quota_activity_t activity = entry->activity;
        entry->activity = (wb_quota_activity_t){0};
        if (wb_quota_activity_is_notable(&activity)) {
            activity.tenant = entry->tenant;
            g_array_append_val(activities, activity);
        }
    }
    return activities;
}

static void usage_reset(wb_limiter_entry_t *entry) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->classes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_limiter_class_t *traffic = value;
        traffic->asked = 0;
        traffic->requests = 0;
        traffic->admitted = 0;
    }
}

/* After a period out of touch: the ledger has reserved what was admitted alone, unless the period
 * was too short for it to notice. */
static void usage_settle(wb_limiter_entry_t *entry, gboolean reserved) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->classes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_limiter_class_t *traffic = value;
        traffic->admitted += reserved ? 0 : traffic->admitted_alone;
        traffic->admitted_alone = 0;
    }
}

/* Ends a period out of touch. */
static void period_end(wb_quota_limiter_t *limiter, gboolean reserved) {
    limiter->period++;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, limiter->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        usage_settle(value, reserved);
    }
}

void wb_quota_limiter_heard(wb_quota_limiter_t *limiter, int64_t sent_ms, int64_t now_ms) {
    int64_t before_ms = limiter->touch.heard_ms;
    gboolean reserved = before_ms == 0 || sent_ms - before_ms >= WB_QUOTA_TOUCH_MS;
    if (wb_quota_touch_heard(&limiter->touch, sent_ms, now_ms)) {
        period_end(limiter, reserved);
    }
}

void wb_quota_limiter_acknowledged(wb_quota_limiter_t *limiter, int64_t report_ms, int64_t now_ms) {
    if (wb_quota_touch_acknowledged(&limiter->touch, report_ms, now_ms)) {
        period_end(limiter, FALSE);
    }
}

void wb_quota_limiter_lost(wb_quota_limiter_t *limiter) {
    wb_quota_touch_lost(&limiter->touch);
}

/* Sets the share of a throttled tenant for all its classes; shares of single classes follow it in
 * the list. */
static void share_set(wb_limiter_entry_t *entry, double share) {
    gboolean starts = entry->previous_share >= 1;
    GHashTableIter iter;
    gpointer value;
    entry->share = CLAMP(share, 0, 1);
    g_hash_table_iter_init(&iter, entry->classes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_limiter_class_t *traffic = value;
        traffic->share = entry->share;
        traffic->credit_unset |= starts;
    }
}

void wb_quota_limiter_set_shares(wb_quota_limiter_t *limiter, const wb_quota_share_t *shares,
                                 size_t count, int64_t now_ms) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, limiter->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_limiter_entry_t *entry = value;
        entry->previous_share = entry->share;
        entry->share = 1;
        entry->offline_factor = WB_QUOTA_OFFLINE_FACTOR;
    }
    for (size_t i = 0; i < count; i++) {
        wb_limiter_entry_t *entry = entry_get(limiter, shares[i].tenant);
        entry->used_ms = now_ms;
        if (shares[i].kind == WB_QUOTA_OTHER_CLASSES) {
            share_set(entry, shares[i].share);
        } else if (shares[i].kind == WB_QUOTA_FACTOR_CLASS) {
            entry->offline_factor = CLAMP(shares[i].share, 0, WB_QUOTA_OFFLINE_FACTOR);
        } else {
            class_get(entry, shares[i].kind)->share = CLAMP(shares[i].share, 0, 1);
        }
    }
}

static void usage_append(wb_quota_limiter_t *limiter, GArray *usage, wb_limiter_entry_t *entry,
                         int64_t now_ms) {
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->classes);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const wb_limiter_class_t *traffic = value;
        if (traffic->asked == 0 && traffic->admitted == 0) {
            continue;
        }
        wb_quota_usage_t class_usage = {entry->tenant, GPOINTER_TO_UINT(key), traffic->asked,
                                        traffic->requests, traffic->admitted};
        g_array_append_val(usage, class_usage);
        wb_usage_history_add(&entry->history, traffic->admitted, now_ms);
    }
    usage_reset(entry);
    reported_confirm(entry, limiter->touch.confirmed_ms);
    if (entry->unreported_requests > 0) {
        wb_unconfirmed_t *last = &entry->reported[entry->reported[0].requests > 0 ? 1 : 0];
        last->units += entry->unreported;
        last->requests += entry->unreported_requests;
        last->last_ms = now_ms;
        wb_quota_touch_reported(&limiter->touch, now_ms);
    }
    entry->unreported = 0;
    entry->unreported_requests = 0;
}

GArray *wb_quota_limiter_take_usage(wb_quota_limiter_t *limiter, int64_t now_ms) {
    GArray *usage = g_array_new(FALSE, FALSE, sizeof(wb_quota_usage_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, limiter->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        usage_append(limiter, usage, value, now_ms);
    }
    return usage;
}

GArray *wb_quota_limiter_history(const wb_quota_limiter_t *limiter, int64_t now_ms) {
    GArray *histories = g_array_new(FALSE, FALSE, sizeof(wb_tenant_history_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, limiter->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_limiter_entry_t *entry = value;
        wb_tenant_history_t history = {.tenant = entry->tenant};
        for (int i = 0; i < WB_USAGE_HORIZONS; i++) {
            history.units[i] = wb_usage_history_sum(&entry->history, i, now_ms);
        }
        if (history.units[WB_USAGE_HORIZONS - 1] > 0) {
            g_array_append_val(histories, history);
        }
    }
    return histories;
}

static gboolean has_usage(const wb_limiter_entry_t *entry) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->classes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_limiter_class_t *traffic = value;
        if (traffic->asked != 0 || traffic->admitted != 0) {
            return TRUE;
        }
    }
    return FALSE;
}

void wb_quota_limiter_sweep(wb_quota_limiter_t *limiter, int64_t now_ms) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, limiter->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_limiter_entry_t *entry = value;
        if (now_ms - entry->used_ms > ENTRY_EXPIRY_MS && !has_usage(entry)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
