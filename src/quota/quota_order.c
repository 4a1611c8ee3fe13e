/* Allocation of a throttled tenant's limit to traffic classes. */
#include "quota/quota_order.h"

#include <string.h>
#include <xxhash.h>

/* Part of its proportional share that each class keeps in any case: above a quarter, below which
 * the users' rules call a class starved. */
#define FLOOR_SHARE 0.35
/* Classes whose mean costs differ by up to this factor share alike, as the means are of few
 * requests with widely spread costs. */
#define SIMILAR_COST 2.0
#define PRIORITY_BITS 8
#define PRIORITY_MAX 254

wb_quota_class_t wb_quota_class(const char *service, int priority) {
    uint32_t service_hash = XXH32(service, strlen(service), 0) << PRIORITY_BITS;
    return service_hash | (uint32_t)(CLAMP(priority, 0, PRIORITY_MAX) + 1);
}

static uint32_t service_of(wb_quota_class_t kind) {
    return kind >> PRIORITY_BITS;
}

static unsigned priority_of(wb_quota_class_t kind) {
    return kind & ((1U << PRIORITY_BITS) - 1);
}

/* A claim and the cost by which it is sorted. */
typedef struct wb_ordered_claim_t {
    wb_quota_claim_t *claim;
    double cost;
} wb_ordered_claim_t;

static gint cheaper_first(gconstpointer left, gconstpointer right) {
    const wb_ordered_claim_t *a = left;
    const wb_ordered_claim_t *b = right;
    return a->cost < b->cost ? -1 : a->cost > b->cost;
}

/* Returns the highest mean cost of the claim's class and of the more urgent ones of its service, so
 * that it is never sorted before those. */
static double effective_cost(const wb_quota_claim_t *claims, size_t count,
                             const wb_quota_claim_t *claim) {
    double cost = claim->cost;
    for (size_t i = 0; i < count; i++) {
        if (service_of(claims[i].kind) == service_of(claim->kind) &&
            priority_of(claims[i].kind) < priority_of(claim->kind) && claims[i].asked_per_s > 0) {
            cost = MAX(cost, claims[i].cost);
        }
    }
    return cost;
}

/* Allocates what remains to the claims of similar cost that begin at `first`. Returns the index of
 * the first claim after them. */
static guint allocate_group(GArray *ordered, guint first, double *remaining_per_s) {
    double cost = g_array_index(ordered, wb_ordered_claim_t, first).cost;
    double unmet_per_s = 0;
    guint end = first;
    while (end < ordered->len &&
           g_array_index(ordered, wb_ordered_claim_t, end).cost <= SIMILAR_COST * cost) {
        const wb_quota_claim_t *claim = g_array_index(ordered, wb_ordered_claim_t, end).claim;
        unmet_per_s += claim->asked_per_s * (1 - claim->share);
        end++;
    }
    double fraction = unmet_per_s > 0 ? MIN(*remaining_per_s / unmet_per_s, 1) : 0;
    for (guint i = first; i < end; i++) {
        wb_quota_claim_t *claim = g_array_index(ordered, wb_ordered_claim_t, i).claim;
        claim->share += fraction * (1 - claim->share);
    }
    *remaining_per_s -= fraction * unmet_per_s;
    return end;
}

void wb_quota_order_allocate(wb_quota_claim_t *claims, size_t count, double available_per_s) {
    g_autoptr(GArray) ordered = g_array_new(FALSE, FALSE, sizeof(wb_ordered_claim_t));
    double asked_per_s = 0;
    for (size_t i = 0; i < count; i++) {
        wb_ordered_claim_t entry = {&claims[i], effective_cost(claims, count, &claims[i])};
        g_array_append_val(ordered, entry);
        asked_per_s += claims[i].asked_per_s;
    }
    double remaining_per_s = MAX(available_per_s, 0);
    double floor_share = asked_per_s > 0 ? FLOOR_SHARE * MIN(remaining_per_s / asked_per_s, 1) : 1;
    for (size_t i = 0; i < count; i++) {
        claims[i].share = floor_share;
    }
    remaining_per_s -= floor_share * asked_per_s;
    g_array_sort(ordered, cheaper_first);
    for (guint i = 0; i < ordered->len;) {
        i = allocate_group(ordered, i, &remaining_per_s);
    }
}
