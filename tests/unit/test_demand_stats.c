/* Guards against a model that looks unused just after its load, before gateways report running
 * requests. */
#include "unit.h"

#include "control/demand_stats.h"
#include "control/version_demand.h"

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

typedef struct wait_seen_t {
    unsigned count;
    int64_t waited_ms;
} wait_seen_t;

static void wait_see(const wb_wire_version_wait *wait, int64_t waited_ms, void *context) {
    wait_seen_t *seen = context;
    g_assert_cmpstr(wait->software_version, ==, "v1");
    seen->count++;
    seen->waited_ms = MAX(seen->waited_ms, waited_ms);
}

static wait_seen_t waits_see(wb_version_demand_t *demand, int64_t now_ms) {
    wait_seen_t seen = {0};
    wb_version_demand_each(demand, "llm", now_ms, wait_see, &seen);
    return seen;
}

/* Guards against waits at one software version that are forgotten, or never end. */
static void test_version_waits(void) {
    wb_version_demand_t *demand = wb_version_demand_create();
    wb_wire_version_wait wait = {"llm", "m1", "", "v1", 2};
    wb_wire_version_waits waits = {{1, &wait}};
    wb_wire_version_waits none = {{0, NULL}};
    wb_version_demand_update(demand, "node-1", &waits, 1000);
    wb_version_demand_update(demand, "node-2", &waits, 1200);
    wb_version_demand_update(demand, "node-1", &waits, 1250);
    g_assert_cmpuint(waits_see(demand, 1300).count, ==, 2);
    g_assert_cmpint(waits_see(demand, 1300).waited_ms, ==, 300);
    wb_version_demand_update(demand, "node-1", &none, 1400);
    g_assert_cmpuint(waits_see(demand, 1400).count, ==, 1);
    wb_version_demand_update(demand, "node-1", &waits, 1500);
    g_assert_cmpint(waits_see(demand, 1500).waited_ms, ==, 300); /* node-2's */
    g_assert_cmpuint(waits_see(demand, 9000).count, ==, 0);      /* too old */
    g_assert_false(wb_version_demand_any(demand));
    wb_version_demand_free(demand);
}

static void tests_add(void) {
    g_test_add_func("/demand-stats/version-waits", test_version_waits);
    g_test_add_func("/demand-book/served-waiters-run", test_served_waiters_run);
}

UNIT_TEST_MAIN(tests_add)
