/* Guards against nodes that together send a cold engine more than it sustains, or leave its
 * capacity unused. */
#include "unit.h"

#include "wickbridge/cold_engine_share.h"

#include <math.h>
#include <string.h>

/* Requests per second that the cold engine sustains. */
#define CAPACITY_PER_S 14.75
#define SECOND_MS 1000

static GHashTable *nodes_create(unsigned count) {
    GHashTable *nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (unsigned i = 0; i < count; i++) {
        g_hash_table_add(nodes, g_strdup_printf("edge-%u", i));
    }
    return nodes;
}

static unsigned sum_shares(const char *engine, GHashTable *nodes, double per_s) {
    unsigned sum = 0;
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, nodes);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        sum += wb_cold_engine_share(per_s, g_hash_table_size(nodes),
                                    wb_rendezvous_rank(engine, id, nodes));
    }
    return sum;
}

/* The shares of all nodes add up to three quarters of the capacity, rounded down. */
static void test_shares_add_up(void) {
    static const unsigned sizes[] = {1, 2, 7, 11, 30, 87, 300, 985, 1970};
    static const double capacities[] = {0.5, 2, 6, CAPACITY_PER_S, 60, 700};
    for (gsize i = 0; i < G_N_ELEMENTS(sizes); i++) {
        g_autoptr(GHashTable) nodes = nodes_create(sizes[i]);
        for (gsize j = 0; j < G_N_ELEMENTS(capacities); j++) {
            unsigned expected = (unsigned)fmax(0.75 * capacities[j], 1);
            g_assert_cmpuint(sum_shares("e1@5", nodes, capacities[j]), ==, expected);
        }
    }
}

/* A node without a share sends nothing. */
static void test_no_part(void) {
    wb_send_limiter_t limiter = {NULL};
    g_assert_cmpuint(wb_cold_engine_share(CAPACITY_PER_S, 0, 0), ==, 0);
    g_assert_cmpint(wb_send_limiter_next_ms(&limiter, 0, WB_COLD_WINDOW_MS, 0, 1000), ==,
                    G_MAXINT64);
}

/* Shares of engines and of their incarnations fall to different nodes. */
static void test_engines_are_dealt_out(void) {
    g_autoptr(GHashTable) nodes = nodes_create(87);
    unsigned shares = 0;
    for (unsigned i = 0; i < 200; i++) {
        g_autofree char *engine = g_strdup_printf("e%u@%u", i / 2, i % 2);
        shares +=
            wb_cold_engine_share(CAPACITY_PER_S, 87, wb_rendezvous_rank(engine, "edge-3", nodes));
    }
    /* Each of the 200 incarnations gives 11 shares to 87 nodes: 25 per node on average. */
    g_assert_cmpuint(shares, >, 10);
    g_assert_cmpuint(shares, <, 50);
}

/* Shares of new nodes that the others don't count yet fit into the reserved quarter. */
static void test_new_nodes(void) {
    g_autoptr(GHashTable) known = nodes_create(87);
    g_autoptr(GHashTable) with_new = nodes_create(90);
    unsigned sum = sum_shares("e1@5", known, CAPACITY_PER_S);
    for (unsigned i = 87; i < 90; i++) {
        g_autofree char *id = g_strdup_printf("edge-%u", i);
        sum += wb_cold_engine_share(CAPACITY_PER_S, 90, wb_rendezvous_rank("e1@5", id, with_new));
    }
    g_assert_cmpuint(sum, <=, (unsigned)CAPACITY_PER_S);
}

/* Every node sends whenever allowed for five seconds, as when a model is loaded that requests at
 * all nodes wait for: no second exceeds the capacity. */
static void test_storm(void) {
    enum { NODES = 87, STEPS = 500, STEP_MS = 10 };
    g_autoptr(GHashTable) nodes = nodes_create(NODES);
    static wb_send_limiter_t limiters[NODES];
    unsigned sent[STEPS] = {0};
    unsigned total = 0;
    for (unsigned step = 0; step < STEPS; step++) {
        int64_t now_ms = 1000 + (int64_t)step * STEP_MS;
        for (unsigned i = 0; i < NODES; i++) {
            g_autofree char *id = g_strdup_printf("edge-%u", i);
            unsigned share =
                wb_cold_engine_share(CAPACITY_PER_S, NODES, wb_rendezvous_rank("e1@5", id, nodes));
            if (wb_send_limiter_next_ms(&limiters[i], share, WB_COLD_WINDOW_MS, 0, now_ms) ==
                now_ms) {
                wb_send_limiter_record(&limiters[i], WB_COLD_WINDOW_MS, now_ms);
                sent[step]++;
                total++;
            }
        }
    }
    for (unsigned from = 0; from + SECOND_MS / STEP_MS <= STEPS; from++) {
        unsigned in_window = 0;
        for (unsigned step = from; step < from + SECOND_MS / STEP_MS; step++) {
            in_window += sent[step];
        }
        g_assert_cmpuint(in_window, <=, (unsigned)CAPACITY_PER_S);
    }
    g_assert_cmpuint(total, >=, 50); /* 11 each 1.1 s */
    for (unsigned i = 0; i < NODES; i++) {
        wb_send_limiter_clear(&limiters[i]);
    }
}

static void test_gate(void) {
    wb_send_limiter_t limiter = {0};
    g_assert_cmpint(wb_send_limiter_next_ms(&limiter, 0, WB_COLD_WINDOW_MS, 0, 500), ==,
                    G_MAXINT64);
    g_assert_cmpint(wb_send_limiter_next_ms(&limiter, 2, WB_COLD_WINDOW_MS, 0, 500), ==, 500);
    wb_send_limiter_record(&limiter, WB_COLD_WINDOW_MS, 500);
    g_assert_cmpint(wb_send_limiter_next_ms(&limiter, 2, WB_COLD_WINDOW_MS, 0, 600), ==, 600);
    wb_send_limiter_record(&limiter, WB_COLD_WINDOW_MS, 600);
    g_assert_cmpint(wb_send_limiter_next_ms(&limiter, 2, WB_COLD_WINDOW_MS, 0, 700), ==, 1600);
    g_assert_cmpint(wb_send_limiter_next_ms(&limiter, 1, WB_COLD_WINDOW_MS, 0, 700), ==, 1700);
    g_assert_cmpint(wb_send_limiter_next_ms(&limiter, 2, WB_COLD_WINDOW_MS, 0, 1600), ==, 1600);
    /* A request behind others that wait gets a time after theirs. */
    g_assert_cmpint(wb_send_limiter_next_ms(&limiter, 2, WB_COLD_WINDOW_MS, 1, 700), ==, 1700);
    g_assert_cmpint(wb_send_limiter_next_ms(&limiter, 2, WB_COLD_WINDOW_MS, 2, 700), ==, 2700);
    g_assert_cmpint(wb_send_limiter_next_ms(&limiter, 2, WB_COLD_WINDOW_MS, 3, 700), ==, 2800);
    g_assert_cmpint(wb_send_limiter_next_ms(&limiter, 3, WB_COLD_WINDOW_MS, 1, 700), ==, 1600);
    wb_send_limiter_clear(&limiter);
}

static void tests_add(void) {
    g_test_add_func("/cold-share/no-part", test_no_part);
    g_test_add_func("/cold-share/shares-add-up", test_shares_add_up);
    g_test_add_func("/cold-share/engines-are-dealt-out", test_engines_are_dealt_out);
    g_test_add_func("/cold-share/new-nodes", test_new_nodes);
    g_test_add_func("/cold-share/storm", test_storm);
    g_test_add_func("/cold-share/gate", test_gate);
}

UNIT_TEST_MAIN(tests_add)
