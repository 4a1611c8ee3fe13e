/* Guards against streams that hold events of two software versions where no node is left that knows
 * how they began: all were killed, or the record has expired. */
#include "versions.h"

/* Shorter than what the clients of these tests wait. */
#define SHORT_WINDOW " --resume-window-s=2"
#define WINDOW_US 3000000
/* Further back than the whole test. */
#define ROLLBACK_MS 600000
/* Until a node takes the store's writes for lost. */
#define STORE_SILENT_US 1500000

/* Guards against a client that comes back once the other version has been gone for longer than
 * records are kept, and is served by a guess. */
static void test_comes_back_late(void) {
    estate_t *estate = versions_start(FLAGS SHORT_WINDOW, TRUE);
    const char *began[STREAMS];
    streams_begin(estate, 0, began);
    assert_both_began(began);
    version_stop(estate, "a1", "a2");
    g_usleep(SETTLE_US);
    all_killed(estate);
    assert_not_mixed(estate, began);
    g_usleep(WINDOW_US);
    assert_not_mixed(estate, began);
    estate_stop(estate);
}

/* The same without a kill: the record has expired. */
static void test_record_expired(void) {
    estate_t *estate = versions_start(FLAGS SHORT_WINDOW, TRUE);
    const char *began[STREAMS];
    streams_begin(estate, 0, began);
    assert_both_began(began);
    version_stop(estate, "a1", "a2");
    g_usleep(2 * WINDOW_US);
    assert_not_mixed(estate, began);
    estate_stop(estate);
}

/* Guards against a stream that is taken to have begun at the service that its route leads to now.
 * @param living whether nodes live when the route moves, and are killed only after that */
static void route_moved(gboolean living) {
    estate_t *estate = estate_start(NODES, FLAGS);
    const char *began[STREAMS];
    estate->services = OTHER_SERVICE;
    estate_configure(estate, ROUTE("once", "1"));
    engine_stop(estate, "llm-1");
    engine_stop(estate, "llm-2");
    version_start(estate, "llm", "v1", "a1", "a2");
    version_start(estate, "other", "v2", "b1", "b2");
    estate_wait_controller(estate, 8000);
    g_usleep(SETTLE_US);
    streams_begin(estate, 0, began);
    if (!living)
        nodes_kill(estate);
    estate_configure(estate, ROUTE_TO("renamed", "/once/", "1", "other"));
    g_usleep(living ? 3 * SETTLE_US : 0);
    if (living)
        nodes_kill(estate);
    nodes_launch(estate);
    assert_not_mixed(estate, began);
    estate_stop(estate);
}

static void test_route_moved_while_down(void) {
    route_moved(FALSE);
}

static void test_route_moved_before(void) {
    route_moved(TRUE);
}

/* Guards against a store without a lease row being taken for one that no node has served from yet:
 * it came back from a copy older than that row. */
static void test_first_row_lost(void) {
    estate_t *estate = versions_start(FLAGS, TRUE);
    const char *began[STREAMS];
    streams_begin(estate, 0, began);
    assert_both_began(began);
    store_roll_back(estate, ROLLBACK_MS);
    version_stop(estate, "a1", "a2");
    all_killed(estate);
    assert_not_mixed(estate, began);
    estate_stop(estate);
}

/* Guards against a version that comes, begins streams and goes while the store answers no write: no
 * row names it before all nodes are killed. */
static void test_store_answers_no_write(void) {
    estate_t *estate = versions_start(FLAGS, FALSE);
    const char *began[STREAMS];
    estate_command(estate, "{\"do\":\"store-fault\",\"fault\":\"lost\"}");
    g_usleep(STORE_SILENT_US);
    version_start(estate, "llm", "v2", "b1", "b2");
    g_usleep(SETTLE_US);
    streams_begin(estate, 0, began);
    version_stop(estate, "b1", "b2");
    g_usleep(SETTLE_US / 4);
    nodes_kill(estate);
    estate_command(estate, "{\"do\":\"store-fault\",\"fault\":\"\"}");
    nodes_launch(estate);
    assert_not_mixed(estate, began);
    estate_stop(estate);
}

/* Guards against a version that no row names, as it came right before all nodes were killed. */
static void test_version_just_came(void) {
    enum { ROUNDS = 4, MEET_MS = 5000 };
    estate_t *estate = versions_start(FLAGS, FALSE);
    int mixed = 0;
    int met = 0;
    for (int round = 0; round < ROUNDS; round++) {
        gboolean is_met = FALSE;
        int count = 0;
        version_start(estate, "llm", "v2", "b1", "b2");
        faults_set(estate, "cut", 1000);
        int64_t until_ms = harness_now_ms() + MEET_MS;
        while (!is_met && harness_now_ms() < until_ms) {
            g_autofree char *id = g_strdup_printf("s%d", ++count);
            wire_response_t *answer = wire_request(estate->nodes[count % NODES].clients_port,
                                                   "/once/x", id, EDGE_MODEL("m3"));
            is_met = g_strcmp0(version_of(answer), "v2") == 0;
            wire_response_free(answer);
        }
        nodes_kill(estate);
        faults_set(estate, "", 0);
        version_stop(estate, "b1", "b2");
        nodes_launch(estate);
        if (is_met) {
            wire_response_t *answer = stream_resume(estate, 0, count, "again");
            met++;
            mixed += has_version(answer, "v1");
            wire_response_free(answer);
        }
    }
    g_assert_cmpint(met, ==, ROUNDS);
    g_assert_cmpint(mixed, ==, 0);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/rejoin/comes-back-late", test_comes_back_late);
    g_test_add_func("/edge/rejoin/record-expired", test_record_expired);
    g_test_add_func("/edge/rejoin/route-moved-while-down", test_route_moved_while_down);
    g_test_add_func("/edge/rejoin/route-moved-before", test_route_moved_before);
    g_test_add_func("/edge/rejoin/first-row-lost", test_first_row_lost);
    g_test_add_func("/edge/rejoin/store-answers-no-write", test_store_answers_no_write);
    g_test_add_func("/edge/rejoin/version-just-came", test_version_just_came);
}

PROCESS_TEST_MAIN(tests_add)
