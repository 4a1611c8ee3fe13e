/* Demand of a tenant's traffic classes. */
#include "quota/class_demand.h"

#define UNITS_TIME_S 1.0
/* Time constant of the mean cost of a class's requests. */
#define COST_TIME_S 8.0

GHashTable *wb_class_demands_create(void) {
    return g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void wb_class_demands_add(GHashTable *demands, const wb_quota_usage_t *usage, double share,
                          int64_t now_ms) {
    wb_class_demand_t *demand = g_hash_table_lookup(demands, GUINT_TO_POINTER(usage->kind));
    if (demand == NULL) {
        demand = g_new0(wb_class_demand_t, 1);
        demand->share = share;
        demand->sent_share = 1;
        g_hash_table_insert(demands, GUINT_TO_POINTER(usage->kind), demand);
    }
    wb_decayed_rate_add(&demand->units, usage->asked, UNITS_TIME_S, now_ms);
    wb_decayed_rate_add(&demand->costs, usage->asked, COST_TIME_S, now_ms);
    wb_decayed_rate_add(&demand->requests, usage->requests, COST_TIME_S, now_ms);
}

void wb_class_demands_allocate(GHashTable *demands, double available_per_s, int64_t now_ms) {
    g_autoptr(GArray) claims = g_array_new(FALSE, FALSE, sizeof(wb_quota_claim_t));
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, demands);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const wb_class_demand_t *demand = value;
        double requests = wb_decayed_rate_read(&demand->requests, COST_TIME_S, now_ms);
        double units = wb_decayed_rate_read(&demand->costs, COST_TIME_S, now_ms);
        wb_quota_claim_t claim = {GPOINTER_TO_UINT(key),
                                  wb_decayed_rate_read(&demand->units, UNITS_TIME_S, now_ms),
                                  requests > 0 ? units / requests : 0, 1};
        g_array_append_val(claims, claim);
    }
    wb_quota_order_allocate((wb_quota_claim_t *)(void *)claims->data, claims->len, available_per_s);
    for (guint i = 0; i < claims->len; i++) {
        const wb_quota_claim_t *claim = &g_array_index(claims, wb_quota_claim_t, i);
        wb_class_demand_t *demand = g_hash_table_lookup(demands, GUINT_TO_POINTER(claim->kind));
        demand->share = claim->share;
    }
}
