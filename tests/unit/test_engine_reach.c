/* Guards against a node that takes engines it can't reach for failed ones, and against one that
 * takes a failed engine for a cut of its own. */
#include "unit.h"

#include "wickbridge/engine_reach.h"

#define NOW_MS 100000
#define LONG_MS 60000

static void test_engine(void) {
    wb_engine_reach_t reach = {0};
    g_assert_false(wb_engine_reach_is_doubtful(&reach, NOW_MS));
    g_assert_true(wb_engine_reach_may_ask_peers(&reach, NOW_MS));
    reach.connected_ms = NOW_MS - 100;
    reach.failed_ms = NOW_MS - 50;
    g_assert_true(wb_engine_reach_is_doubtful(&reach, NOW_MS));
    g_assert_false(wb_engine_reach_is_cut(&reach, NOW_MS));
    reach.by_peer_ms = NOW_MS - 20;
    g_assert_true(wb_engine_reach_is_cut(&reach, NOW_MS));
    reach.connected_ms = NOW_MS;
    g_assert_false(wb_engine_reach_is_doubtful(&reach, NOW_MS));
    g_assert_false(wb_engine_reach_is_cut(&reach, NOW_MS));
}

/* A cut may end while nobody tries: old evidence must not make requests take the long way. */
static void test_evidence_expires(void) {
    wb_engine_reach_t reach = {.failed_ms = NOW_MS, .by_peer_ms = NOW_MS};
    g_assert_true(wb_engine_reach_is_cut(&reach, NOW_MS));
    g_assert_false(wb_engine_reach_is_cut(&reach, NOW_MS + LONG_MS));
    g_assert_false(wb_engine_reach_is_doubtful(&reach, NOW_MS + LONG_MS));
}

/* Peers that failed to reach an engine aren't asked again for each request. */
static void test_peers_rest(void) {
    wb_engine_reach_t reach = {.failed_ms = NOW_MS, .peers_failed_ms = NOW_MS};
    g_assert_false(wb_engine_reach_may_ask_peers(&reach, NOW_MS + 10));
    g_assert_true(wb_engine_reach_may_ask_peers(&reach, NOW_MS + LONG_MS));
    reach.by_peer_ms = NOW_MS + 5;
    g_assert_true(wb_engine_reach_may_ask_peers(&reach, NOW_MS + 10));
}

static void add(wb_reach_summary_t *summary, wb_reach_result_t result, int first, int count,
                int64_t now_ms) {
    for (int i = first; i < first + count; i++) {
        g_autofree char *id = g_strdup_printf("engine-%d", i);
        wb_reach_summary_add(summary, id, result, now_ms);
    }
}

static void test_isolated(void) {
    wb_reach_summary_t *summary = wb_reach_summary_create();
    g_assert_cmpint(wb_reach_summary_verdict(summary, 20, NOW_MS), ==, WB_REACH_NORMAL);
    /* Before the cut all were reached, which says nothing about it. */
    add(summary, WB_REACH_CONNECTED, 0, 10, NOW_MS);
    add(summary, WB_REACH_BY_PEER, 0, 1, NOW_MS + 100);
    g_assert_cmpint(wb_reach_summary_verdict(summary, 20, NOW_MS + 100), ==, WB_REACH_UNDECIDED);
    g_assert_true(wb_reach_summary_has(summary, "engine-0", NOW_MS + 100));
    g_assert_false(wb_reach_summary_has(summary, "engine-1", NOW_MS + 100));
    add(summary, WB_REACH_BY_PEER, 1, 5, NOW_MS + 200);
    g_assert_cmpint(wb_reach_summary_verdict(summary, 20, NOW_MS + 200), ==, WB_REACH_ISOLATED);
    /* Healed: the first that are reached again end it. */
    add(summary, WB_REACH_CONNECTED, 0, 3, NOW_MS + 300);
    g_assert_cmpint(wb_reach_summary_verdict(summary, 20, NOW_MS + 300), ==, WB_REACH_NORMAL);
    wb_reach_summary_free(summary);
}

/* Few engines that are cut off among many that are reached don't isolate a node. */
static void test_few_cut(void) {
    wb_reach_summary_t *summary = wb_reach_summary_create();
    add(summary, WB_REACH_BY_PEER, 0, 3, NOW_MS);
    g_assert_cmpint(wb_reach_summary_verdict(summary, 20, NOW_MS), ==, WB_REACH_UNDECIDED);
    add(summary, WB_REACH_CONNECTED, 3, 3, NOW_MS);
    g_assert_cmpint(wb_reach_summary_verdict(summary, 20, NOW_MS), ==, WB_REACH_NORMAL);
    wb_reach_summary_free(summary);
}

/* Engines that nobody reaches have failed: the node isn't isolated, whatever their number. */
static void test_failed(void) {
    wb_reach_summary_t *summary = wb_reach_summary_create();
    add(summary, WB_REACH_FAILED, 0, 4, NOW_MS);
    g_assert_cmpint(wb_reach_summary_verdict(summary, 20, NOW_MS), ==, WB_REACH_NORMAL);
    add(summary, WB_REACH_FAILED, 4, 2, NOW_MS);
    g_assert_cmpint(wb_reach_summary_verdict(summary, 20, NOW_MS), ==, WB_REACH_NONE);
    add(summary, WB_REACH_CONNECTED, 6, 1, NOW_MS);
    g_assert_cmpint(wb_reach_summary_verdict(summary, 20, NOW_MS), ==, WB_REACH_NORMAL);
    wb_reach_summary_free(summary);
}

/* A service with a single engine says nothing about the node. */
static void test_single_engine(void) {
    wb_reach_summary_t *summary = wb_reach_summary_create();
    add(summary, WB_REACH_BY_PEER, 0, 1, NOW_MS);
    g_assert_cmpint(wb_reach_summary_verdict(summary, 1, NOW_MS), ==, WB_REACH_NORMAL);
    wb_reach_summary_free(summary);
}

static void tests_add(void) {
    g_test_add_func("/engine-reach/engine", test_engine);
    g_test_add_func("/engine-reach/evidence-expires", test_evidence_expires);
    g_test_add_func("/engine-reach/peers-rest", test_peers_rest);
    g_test_add_func("/engine-reach/isolated", test_isolated);
    g_test_add_func("/engine-reach/few-cut", test_few_cut);
    g_test_add_func("/engine-reach/failed", test_failed);
    g_test_add_func("/engine-reach/single-engine", test_single_engine);
}

UNIT_TEST_MAIN(tests_add)
