/* Guards against a model that looks unused just after its load, before gateways report running
 * requests. */
#include "unit.h"

#include "control/demand_stats.h"

#include <string.h>

#define NOW_MS 1000

static void report_demand(wb_demand_stats_t *stats, const char *node, unsigned waiting,
                          unsigned running) {
    wb_wire_demand_entry entry;
    memset(&entry, 0, sizeof(entry));
    entry.service = "llm";
    entry.model = "m1";
    entry.adapter = "";
    entry.waiting = waiting;
    entry.running = running;
    entry.arrivals = waiting;
    wb_wire_demand demand = {.node = (char *)node,
                             .entries = {.entries_len = 1, .entries_val = &entry}};
    wb_demand_stats_update(stats, &demand, NOW_MS);
}

static const wb_model_use_t *model_use(wb_demand_stats_t *stats) {
    wb_demand_stats_aggregate(stats, NOW_MS);
    return &wb_demand_stats_find(stats, "llm", "m1", "")->use;
}

/* Requests that waited for a loaded model count as running until the next report; otherwise the
 * model would be evicted at once. */
static void test_served_waiters_run(void) {
    wb_demand_stats_t *stats = wb_demand_stats_create();
    report_demand(stats, "n1", 2, 1);
    report_demand(stats, "n2", 1, 0);
    g_assert_cmpuint(model_use(stats)->waiting, ==, 3);
    g_assert_cmpuint(model_use(stats)->running, ==, 1);
    wb_demand_stats_mark_served(stats, "llm", "m1", "");
    g_assert_cmpuint(model_use(stats)->waiting, ==, 0);
    g_assert_cmpuint(model_use(stats)->running, ==, 4);
    report_demand(stats, "n1", 0, 0); /* a gateway's report replaces the assumption */
    g_assert_cmpuint(model_use(stats)->running, ==, 1);
    wb_demand_stats_free(stats);
}

static void tests_add(void) {
    g_test_add_func("/demand-book/served-waiters-run", test_served_waiters_run);
}

UNIT_TEST_MAIN(tests_add)
