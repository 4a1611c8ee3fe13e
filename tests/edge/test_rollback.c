/* The store is away for a moment and comes back from a copy some seconds old: what it had
 * acknowledged since is gone, and its versions are given out again. */
#include "edge.h"

#include <string.h>

#define NODES 3
#define MANY_NODES 12
/* Three reads of three tables, a write and its retry, and a poll of each table a second while the
 * lease has no holder, for up to 3 s. */
#define CALLS_MAX 20
#define CONFIG_MS 2000
#define DRAIN_MS 1500
#define FLAGS "--catalog-ms=2000 --drain-ms=1500 --lease-quiet-ms=1000 --lease-duration-ms=1000"
#define BACK_MS 4000
#define AWAY_MS 1500
#define REWRITE_MS 300
/* Writes in the time that is lost: the counter must not overtake its former value in the test. */
#define LOST_WRITES 200
/* The times of a lease and of a handover, as set by FLAGS, with their margins. */
#define HANDOVER_WAIT_MS 2500
#define NEW_ROUTE                                                                                  \
    "{\"name\":\"new\",\"host\":\"a.example\",\"pathPrefix\":\"/new/\","                           \
    "\"routeType\":\"idempotent\",\"timeoutMs\":2000,\"service\":\"lock\"}"

static int status_of(const estate_t *estate, int node, const char *path, const char *id,
                     const char *headers) {
    wire_response_t *answer = wire_request(estate->nodes[node].clients_port, path, id, headers);
    int status = answer->status;
    wire_response_free(answer);
    return status;
}

static void store_write(const estate_t *estate, int writes) {
    for (int i = 0; i < writes; i++) {
        estate_command(estate,
                       "{\"do\":\"put\",\"table\":\"op\",\"key\":\"other\",\"value\":"
                       "\"%d\"}",
                       i);
    }
}

static void store_roll_back(const estate_t *estate, int back_ms) {
    estate_command(estate,
                   "{\"do\":\"store-rollback\",\"back_ms\":%d,\"away_ms\":%d,\"rewrite_ms\":%d}",
                   back_ms, AWAY_MS, REWRITE_MS);
}

static void wait_ms(int64_t ms) {
    g_usleep((gulong)ms * 1000);
}

/* Starts nodes, all of which have read the newest version of each table, and loses BACK_MS. */
static estate_t *rolled_back(void) {
    estate_t *estate = estate_start(NODES, FLAGS);
    estate_wait_controller(estate, 10000);
    wait_ms(BACK_MS);
    store_write(estate, LOST_WRITES);
    estate_configure(estate, NULL);
    wait_ms(1500);
    store_roll_back(estate, BACK_MS);
    wait_ms(AWAY_MS + REWRITE_MS);
    return estate;
}

/* Guards against nodes that ignore a configuration, as its version is lower than one that the store
 * had given out before it went back. */
static void test_config_after_return(void) {
    estate_t *estate = rolled_back();
    wait_ms(500);
    estate_configure(estate, NEW_ROUTE);
    wait_ms(CONFIG_MS);
    for (int i = 0; i < NODES; i++) {
        g_assert_cmpint(status_of(estate, i, "/new/x", "added", EDGE_DEADLINE), ==, 200);
        g_assert_cmpint(status_of(estate, i, "/lock/x", "removed", EDGE_DEADLINE), ==, 404);
    }
    estate_stop(estate);
}

/* Guards against nodes that ignore an engine's leaving, as the version of its row is lower than one
 * that the store had given out before it went back. */
static void test_leaving_after_return(void) {
    estate_t *estate = rolled_back();
    wait_ms(500);
    estate_command(estate, "{\"do\":\"engine-leave\",\"engine\":\"lock-1\"}");
    wait_ms(DRAIN_MS);
    for (int i = 0; i < 30; i++) {
        g_assert_cmpint(status_of(estate, i % NODES, "/lock/x", "leaving", EDGE_DEADLINE), ==, 200);
    }
    json_t *seen = estate_records(estate);
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run) {
        if (strcmp(json_string_value(json_object_get(run, "id")), "leaving") == 0) {
            g_assert_cmpstr(json_string_value(json_object_get(run, "engine")), ==, "lock-2");
        }
    }
    json_decref(seen);
    estate_stop(estate);
}

/* Guards against a cluster without a lease holder, as the row's versions are lower than before. */
static void test_holder_after_return(void) {
    estate_t *estate = rolled_back();
    estate_wait_controller(estate, 4000);
    /* The holder that was lost may have ordered any engine, so the next one waits. */
    int64_t until_ms = harness_now_ms() + HANDOVER_WAIT_MS;
    while (status_of(estate, 0, "/chat/x", "cold", EDGE_MODEL("m5")) != 200) {
        g_assert_cmpint(harness_now_ms(), <, until_ms);
        wait_ms(100);
    }
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Counts the runs of a request at an engine. */
static int runs_at(const estate_t *estate, const char *id, const char *engine) {
    json_t *seen = estate_records(estate);
    int count = 0;
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run) count +=
        strcmp(json_string_value(json_object_get(run, "id")), id) == 0 &&
        strcmp(json_string_value(json_object_get(run, "engine")), engine) == 0;
    json_decref(seen);
    return count;
}

/* Sends requests to all nodes for some time. All must be served. */
static void lock_requests_send(const estate_t *estate, const char *id, int64_t for_ms) {
    int64_t until_ms = harness_now_ms() + for_ms;
    for (int i = 0; harness_now_ms() < until_ms; i++) {
        g_assert_cmpint(status_of(estate, i % NODES, "/lock/x", id, EDGE_DEADLINE), ==, 200);
        wait_ms(20);
    }
}

/* Guards against a node that uses an engine again, as the copy shows it from before it said that it
 * leaves. */
static void test_leaving_is_not_undone(void) {
    estate_t *estate = estate_start(NODES, FLAGS);
    estate_wait_controller(estate, 10000);
    wait_ms(BACK_MS);
    estate_command(estate, "{\"do\":\"engine-leave\",\"engine\":\"lock-1\"}");
    wait_ms(DRAIN_MS);
    estate_command(estate,
                   "{\"do\":\"store-rollback\",\"back_ms\":%d,\"away_ms\":100,"
                   "\"rewrite_ms\":2000}",
                   BACK_MS);
    lock_requests_send(estate, "left", 3500);
    g_assert_cmpint(runs_at(estate, "left", "lock-1"), ==, 0);
    g_assert_cmpint(runs_at(estate, "left", "lock-2"), >, 0);
    estate_stop(estate);
}

/* Guards against a node that sends to an engine which has ended, as the copy still has its row. */
static void test_removed_engine_stays_removed(void) {
    estate_t *estate = estate_start(NODES, FLAGS);
    estate_wait_controller(estate, 10000);
    wait_ms(BACK_MS);
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-1\",\"announce\":true}");
    wait_ms(DRAIN_MS);
    double sends = 0;
    for (int i = 0; i < NODES; i++) {
        sends -= estate_metric(estate, i, "broken_sends_total");
    }
    estate_command(estate,
                   "{\"do\":\"store-rollback\",\"back_ms\":%d,\"away_ms\":100,"
                   "\"rewrite_ms\":4000}",
                   BACK_MS);
    lock_requests_send(estate, "gone", 4500);
    for (int i = 0; i < NODES; i++) {
        sends += estate_metric(estate, i, "broken_sends_total");
    }
    g_assert_cmpfloat(sends, ==, 0);
    estate_stop(estate);
}

/* Guards against 404 by a configuration that the store has lost, or that is older than what it has
 * lost: what it says of a route that is unknown here is known only later. */
static void test_no_404_from_a_copy(void) {
    estate_t *estate = estate_start(NODES, FLAGS " --catalog-ms=1000");
    estate_wait_controller(estate, 10000);
    wait_ms(BACK_MS);
    estate_configure(estate, NULL);
    wait_ms(500);
    estate_command(estate,
                   "{\"do\":\"store-rollback\",\"back_ms\":%d,\"away_ms\":100,"
                   "\"rewrite_ms\":1500}",
                   BACK_MS);
    wait_ms(1500); /* what was confirmed before the rollback counts for catalog-ms */
    for (int i = 0; i < NODES; i++) {
        g_assert_cmpint(status_of(estate, i, "/none/x", "early", EDGE_DEADLINE), ==, 503);
        g_assert_cmpint(status_of(estate, i, "/lock/x", "known", EDGE_DEADLINE), ==, 200);
    }
    wait_ms(4000);
    for (int i = 0; i < NODES; i++) {
        g_assert_cmpint(status_of(estate, i, "/none/x", "late", EDGE_DEADLINE), ==, 404);
    }
    estate_stop(estate);
}

/* Guards against a node that the store turns away and that stays in the time that the store has
 * lost: it learns of the era and of the configuration from the others. */
static void test_node_without_a_store(void) {
    estate_t *estate = estate_start(NODES, FLAGS);
    int holder = estate_wait_controller(estate, 10000);
    int cut = (holder + 1) % NODES;
    wait_ms(BACK_MS);
    store_write(estate, LOST_WRITES);
    estate_configure(estate, NULL);
    wait_ms(1500);
    estate_store_fault(estate, cut, "cut", 0);
    store_roll_back(estate, BACK_MS);
    wait_ms(AWAY_MS + REWRITE_MS + 3000);
    estate_configure(estate, NEW_ROUTE);
    wait_ms(CONFIG_MS);
    for (int i = 0; i < NODES; i++) {
        g_assert_cmpint(status_of(estate, i, "/new/x", "added", EDGE_DEADLINE), ==, 200);
    }
    g_assert_cmpfloat(estate_metric(estate, cut, "store_era"), ==,
                      estate_metric(estate, holder, "store_era"));
    estate_stop(estate);
}

/* Guards against a second rollback that is taken for the first. */
static void test_twice(void) {
    estate_t *estate = rolled_back();
    store_write(estate, LOST_WRITES);
    estate_configure(estate, NULL);
    wait_ms(300);
    estate_command(estate, "{\"do\":\"store-rollback\",\"back_ms\":700,\"away_ms\":300,"
                           "\"rewrite_ms\":300}");
    wait_ms(1000);
    estate_configure(estate, NEW_ROUTE);
    wait_ms(CONFIG_MS);
    for (int i = 0; i < NODES; i++) {
        g_assert_cmpint(status_of(estate, i, "/new/x", "added", EDGE_DEADLINE), ==, 200);
        g_assert_cmpfloat(estate_metric(estate, i, "store_rollbacks_total"), ==, 2);
    }
    estate_stop(estate);
}

/* Guards against a holder that stops, or a second one, where the store is away for less than a
 * lease: the holder goes on under its token, and what it has loaded isn't loaded again. */
static void test_holder_goes_on(void) {
    estate_t *estate = estate_start(NODES, FLAGS);
    int holder = estate_wait_controller(estate, 10000);
    wait_ms(2000);
    g_assert_cmpint(status_of(estate, 0, "/chat/x", "before", EDGE_MODEL("m5")), ==, 200);
    double token = estate_metric(estate, holder, "lease_token");
    estate_command(estate, "{\"do\":\"store-rollback\",\"back_ms\":1500,\"away_ms\":100,"
                           "\"rewrite_ms\":300}");
    wait_ms(600);
    g_assert_cmpfloat(estate_metric(estate, holder, "lease_held"), ==, 1);
    g_assert_cmpfloat(estate_metric(estate, holder, "lease_token"), ==, token);
    g_assert_cmpint(status_of(estate, 0, "/chat/x", "after", EDGE_MODEL("m5")), ==, 200);
    wait_ms(4000);
    g_assert_cmpint(estate_controller(estate), ==, holder);
    g_assert_cmpint(estate_orders(estate, "model_load", "m5"), ==, 1);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Guards against a node that gets engines' rows from a relay and ignores those of the new era, or
 * keeps an engine that only the lost time knew. */
static void test_relayed_rows(void) {
    static const char *const node_flags[] = {"--processor-share=1", "--processor-share=1",
                                             "--processor-share=0.12", "--processor-share=0.12"};
    estate_t *estate = estate_start_each(4, FLAGS " --engine-rows-most=2", node_flags);
    estate_wait_controller(estate, 10000);
    wait_ms(BACK_MS);
    store_write(estate, LOST_WRITES);
    estate_command(estate, "{\"do\":\"engine-start\",\"engine\":\"lock-3\",\"options\":{"
                           "\"service\":\"lock\",\"zone\":\"zone-1\",\"work_ms\":5}}");
    for (int node = 2; node < 4; node++) {
        g_assert_true(estate_log_has(estate, node, "\"read\":\"part\""));
        g_assert_cmpint(status_of(estate, node, "/lock/x", "first", EDGE_DEADLINE), ==, 200);
    }
    wait_ms(500);
    store_roll_back(estate, BACK_MS);
    /* What is lost of it isn't written again in time: the engine has ended. */
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-3\",\"announce\":true}");
    wait_ms(AWAY_MS + REWRITE_MS + 500);
    estate_command(estate, "{\"do\":\"engine-leave\",\"engine\":\"lock-1\"}");
    wait_ms(DRAIN_MS);
    for (int i = 0; i < 30; i++) {
        g_assert_cmpint(status_of(estate, 2 + i % 2, "/lock/x", "leaving", EDGE_DEADLINE), ==, 200);
    }
    g_assert_cmpint(runs_at(estate, "leaving", "lock-1"), ==, 0);
    wait_ms(3000);
    double broken = estate_metric(estate, 2, "broken_sends_total");
    for (int i = 0; i < 30; i++) {
        g_assert_cmpint(status_of(estate, 2, "/lock/x", "later", EDGE_DEADLINE), ==, 200);
    }
    g_assert_cmpfloat(estate_metric(estate, 2, "broken_sends_total"), ==, broken);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Returns the mean number of calls of all nodes but the busiest one, the holder. */
static double calls_of_followers(const estate_t *estate, const double *before) {
    double sum = 0;
    double most = 0;
    for (int i = 0; i < estate->node_count; i++) {
        double calls = estate_metric(estate, i, "store_calls_total") - before[i];
        sum += calls;
        most = MAX(most, calls);
    }
    return (sum - most) / (estate->node_count - 1);
}

/* Guards against a store that comes back and is read without end: each node reads each of the three
 * tables when it learns of the era, again when operators and engines have written, and once more if
 * rows were held back; it writes its own row, and polls while there is no holder. */
static void test_calls_after_return(void) {
    estate_t *estate = estate_start(MANY_NODES, FLAGS);
    double before[MANY_NODES];
    estate_wait_controller(estate, 10000);
    wait_ms(BACK_MS);
    store_write(estate, LOST_WRITES);
    estate_configure(estate, NULL);
    wait_ms(1500);
    store_roll_back(estate, BACK_MS);
    wait_ms(AWAY_MS);
    for (int i = 0; i < MANY_NODES; i++) {
        before[i] = estate_metric(estate, i, "store_calls_total");
    }
    wait_ms(8000);
    double calls = calls_of_followers(estate, before);
    g_test_message("%g calls a node in 8 s after the return", calls);
    g_assert_cmpfloat(calls, <=, CALLS_MAX);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/rollback/config-after-return", test_config_after_return);
    g_test_add_func("/edge/rollback/leaving-after-return", test_leaving_after_return);
    g_test_add_func("/edge/rollback/holder-after-return", test_holder_after_return);
    g_test_add_func("/edge/rollback/leaving-is-not-undone", test_leaving_is_not_undone);
    g_test_add_func("/edge/rollback/removed-engine-stays-removed",
                    test_removed_engine_stays_removed);
    g_test_add_func("/edge/rollback/no-404-from-a-copy", test_no_404_from_a_copy);
    g_test_add_func("/edge/rollback/node-without-a-store", test_node_without_a_store);
    g_test_add_func("/edge/rollback/twice", test_twice);
    g_test_add_func("/edge/rollback/holder-goes-on", test_holder_goes_on);
    g_test_add_func("/edge/rollback/relayed-rows", test_relayed_rows);
    g_test_add_func("/edge/rollback/calls-after-return", test_calls_after_return);
}

PROCESS_TEST_MAIN(tests_add)
