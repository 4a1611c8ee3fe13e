/* What the controller knows of what gateways ask for. */
#include "unit.h"

#include "control/demand_stats.h"

#include <string.h>

#define NOW_MS 1000

static void book_hear(wb_demand_stats_t *book, const char *node, unsigned waiting,
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
    wb_demand_stats_update(book, &demand, NOW_MS);
}

static const wb_model_use_t *book_use(wb_demand_stats_t *book) {
    wb_demand_stats_aggregate(book, NOW_MS);
    return &wb_demand_stats_find(book, "llm", "m1", "")->use;
}

/* Until gateways tell more, who waited for a model that has come is taken to run there: else the
 * model looks unused and is dropped for the next one at once. */
static void test_served_waiters_run(void) {
    wb_demand_stats_t *book = wb_demand_stats_create();
    book_hear(book, "n1", 2, 1);
    book_hear(book, "n2", 1, 0);
    g_assert_cmpuint(book_use(book)->waiting, ==, 3);
    g_assert_cmpuint(book_use(book)->running, ==, 1);
    wb_demand_stats_mark_served(book, "llm", "m1", "");
    g_assert_cmpuint(book_use(book)->waiting, ==, 0);
    g_assert_cmpuint(book_use(book)->running, ==, 4);
    book_hear(book, "n1", 0, 0); /* what a gateway tells replaces what was assumed of it */
    g_assert_cmpuint(book_use(book)->running, ==, 1);
    wb_demand_stats_free(book);
}

static void tests_add(void) {
    g_test_add_func("/demand-book/served-waiters-run", test_served_waiters_run);
}

UNIT_TEST_MAIN(tests_add)
