/* Nodes that are cut off from all engines: the fault, and the check that they serve as the others
 * do.
 */
#include "faults.h"

#include <string.h>

/* Time after which nodes that are cut off must serve as the others do. */
#define CUT_DETECTION_MS 3000
/* Requests that may fail at the nodes that are cut off, and the share of all requests beyond that.
 */
#define FAILED_MAX 10
#define FAILED_SHARE 0.02
/* Their share of requests served, at least, relative to that of the others. */
#define SERVED_RATIO (2.0 / 3)
#define ALL_ENGINES ((1U << ESTATE_ENGINES) - 1)
#define PARTITIONED_NODES 32

static const char *partition_how(const soak_fault_t *fault) {
    static const char *const hows[] = {"silent", "reset", "new"};
    return hows[fault->variant % (int)G_N_ELEMENTS(hows)];
}

/* The node that the fault was drawn for, and others as the draw says: one to all. */
static unsigned partition_nodes(const soak_fault_t *fault, const soak_t *soak) {
    unsigned nodes = 1U << fault->node % PARTITIONED_NODES;
    for (int i = 0; i < MIN(soak->nodes, PARTITIONED_NODES); i++) {
        nodes |= ((unsigned)fault->variant >> i % 8 & 1U) << i;
    }
    return nodes;
}

static void partition_begin(soak_fault_t *fault, soak_t *soak) {
    soak_partition_t partition = {.nodes = partition_nodes(fault, soak), .to_ms = G_MAXINT64};
    estate_partition(soak->estate, partition.nodes, ALL_ENGINES, partition_how(fault));
    partition.from_ms = harness_now_ms();
    g_mutex_lock(&soak->lock);
    g_array_append_val(soak->partitions, partition);
    g_mutex_unlock(&soak->lock);
}

static void partition_end(soak_fault_t *fault, soak_t *soak) {
    g_mutex_lock(&soak->lock);
    g_array_index(soak->partitions, soak_partition_t, soak->partitions->len - 1).to_ms =
        harness_now_ms();
    g_mutex_unlock(&soak->lock);
    estate_partition(soak->estate, 0, 0, partition_how(fault));
}

const soak_fault_kind_t soak_partition_fault = {
    "nodes-without-engines", partition_begin, partition_end, 4000, 12000, FALSE};

typedef struct served_t {
    int asked;
    int served;
} served_t;

/* Whether the request counts: no load is needed for it, it isn't refused for crashing engines, and
 * its node was in touch. */
static gboolean is_counted(soak_t *soak, const soak_request_t *request) {
    gboolean needs_no_load =
        strcmp(request->path, "/lock/x") == 0 || strcmp(request->path, "/look/x") == 0;
    return needs_no_load && !soak_is_poison(request) && request->life != 0 &&
           !soak_is_out_of_touch(soak, request->node, request->began_ms - CUT_DETECTION_MS,
                                 request->ended_ms);
}

static void partition_check(soak_t *soak, const soak_partition_t *partition) {
    served_t cut = {0, 0};
    served_t others = {0, 0};
    for (guint i = 0; i < soak->requests->len; i++) {
        const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
        if (request->began_ms < partition->from_ms + CUT_DETECTION_MS ||
            request->began_ms >= partition->to_ms || !is_counted(soak, request)) {
            continue;
        }
        gboolean is_cut =
            request->node < PARTITIONED_NODES && (partition->nodes >> request->node & 1U) != 0;
        served_t *served = is_cut ? &cut : &others;
        served->asked++;
        served->served += request->status == 200 && request->complete;
    }
    int failed = cut.asked - cut.served;
    if (others.asked == 0 || failed <= FAILED_MAX + FAILED_SHARE * (cut.asked + others.asked)) {
        return;
    }
    if (cut.served * others.asked < SERVED_RATIO * others.served * cut.asked) {
        soak_fail(soak,
                  "nodes without engines served %d of %d requests, the others %d of %d "
                  "(%lld ms from the start)",
                  cut.served, cut.asked, others.served, others.asked,
                  (long long)(partition->from_ms - soak->began_ms));
    }
}

void soak_partitions_check(soak_t *soak) {
    for (guint i = 0; i < soak->partitions->len; i++) {
        partition_check(soak, &g_array_index(soak->partitions, soak_partition_t, i));
    }
}
