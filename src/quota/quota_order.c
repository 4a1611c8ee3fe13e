/* Which of a tenant's requests go first while it is short of its limit. */
#include "quota/quota_order.h"

#include <string.h>
#include <xxhash.h>

/* Part of the share that each kind would have by chance which it keeps in any case. The users'
 * rules call a kind starved that is served a quarter as often as all. */
#define FLOOR_PART 0.35
/* Kinds whose mean costs differ by less than this share alike: means are of a few dozen requests
 * whose costs spread by a factor of ten. */
#define LIKE_COST 2.0
#define RANK_BITS 8
#define RANK_MOST 254

wb_quota_class_t wb_quota_class(const char *service, int rank) {
    uint32_t group = XXH32(service, strlen(service), 0) << RANK_BITS;
    return group | (uint32_t)(CLAMP(rank, 0, RANK_MOST) + 1);
}

static uint32_t group_of(wb_quota_class_t kind) {
    return kind >> RANK_BITS;
}

static unsigned rank_of(wb_quota_class_t kind) {
    return kind & ((1U << RANK_BITS) - 1);
}

/* A claim and the cost by which it is ordered. */
typedef struct wb_ordered_claim_t {
    wb_quota_claim_t *claim;
    double cost;
} wb_ordered_claim_t;

static gint cheaper_first(gconstpointer left, gconstpointer right) {
    const wb_ordered_claim_t *a = left;
    const wb_ordered_claim_t *b = right;
    return a->cost < b->cost ? -1 : a->cost > b->cost;
}

/* A kind counts as dear as the dearest of the more urgent ones of its service. */
static double ordered_cost(const wb_quota_claim_t *claims, size_t count,
                           const wb_quota_claim_t *claim) {
    double cost = claim->cost;
    for (size_t i = 0; i < count; i++) {
        if (group_of(claims[i].kind) == group_of(claim->kind) &&
            rank_of(claims[i].kind) < rank_of(claim->kind) && claims[i].asked_per_s > 0) {
            cost = MAX(cost, claims[i].cost);
        }
    }
    return cost;
}

/* Gives the claims of a like cost that begin at `first` what is left. Returns the first after them.
 */
static guint group_share(GArray *ordered, guint first, double *left_per_s) {
    double cost = g_array_index(ordered, wb_ordered_claim_t, first).cost;
    double lacking_per_s = 0;
    guint end = first;
    while (end < ordered->len &&
           g_array_index(ordered, wb_ordered_claim_t, end).cost <= LIKE_COST * cost) {
        const wb_quota_claim_t *claim = g_array_index(ordered, wb_ordered_claim_t, end).claim;
        lacking_per_s += claim->asked_per_s * (1 - claim->share);
        end++;
    }
    double part = lacking_per_s > 0 ? MIN(*left_per_s / lacking_per_s, 1) : 0;
    for (guint i = first; i < end; i++) {
        wb_quota_claim_t *claim = g_array_index(ordered, wb_ordered_claim_t, i).claim;
        claim->share += part * (1 - claim->share);
    }
    *left_per_s -= part * lacking_per_s;
    return end;
}

void wb_quota_order_allocate(wb_quota_claim_t *claims, size_t count, double bearable_per_s) {
    g_autoptr(GArray) ordered = g_array_new(FALSE, FALSE, sizeof(wb_ordered_claim_t));
    double asked_per_s = 0;
    for (size_t i = 0; i < count; i++) {
        wb_ordered_claim_t one = {&claims[i], ordered_cost(claims, count, &claims[i])};
        g_array_append_val(ordered, one);
        asked_per_s += claims[i].asked_per_s;
    }
    double left_per_s = MAX(bearable_per_s, 0);
    double floor = asked_per_s > 0 ? FLOOR_PART * MIN(left_per_s / asked_per_s, 1) : 1;
    for (size_t i = 0; i < count; i++) {
        claims[i].share = floor;
    }
    left_per_s -= floor * asked_per_s;
    g_array_sort(ordered, cheaper_first);
    for (guint i = 0; i < ordered->len;) {
        i = group_share(ordered, i, &left_per_s);
    }
}
