/* Guards against streams that are lost with all nodes, though an engine of their version serves. */
#include "versions.h"

#define STREAM_CALLS(cause) "store_calls_by_cause_total{table=\"streams\",cause=\"" cause "\"}"
/* After that all starts are in the store, but for those of the last batch. */
#define BATCH_US 1200000
#define ROLLBACK_MS 3000
/* No client is told to wait longer for a stream. */
#define TOLD_MS 1500

static int count_of(const char *const began[STREAMS], const char *version) {
    int count = 0;
    for (int i = 0; i < STREAMS; i++)
        count += strcmp(began[i], version) == 0;
    return count;
}

static double metric_sum(const estate_t *estate, const char *name) {
    double sum = 0;
    for (int i = 0; i < NODES; i++)
        sum += estate_metric(estate, i, name);
    return sum;
}

/* Guards against streams of both versions that are refused after all nodes were killed. */
static void test_both_serve(void) {
    estate_t *estate = versions_start(FLAGS, TRUE);
    const char *began[STREAMS];
    streams_begin(estate, 0, began);
    assert_both_began(began);
    g_usleep(BATCH_US);
    all_killed(estate);
    resumed_t result = assert_not_mixed(estate, began);
    g_assert_cmpint(result.whole, ==, STREAMS);
    g_assert_cmpfloat(metric_sum(estate, "stream_starts_restored_total"), >=, STREAMS);
    estate_stop(estate);
}

/* The older version leaves, and all nodes are killed right after. */
static void test_one_has_left(void) {
    estate_t *estate = versions_start(FLAGS, TRUE);
    const char *began[STREAMS];
    streams_begin(estate, 0, began);
    assert_both_began(began);
    g_usleep(BATCH_US);
    version_stop(estate, "a1", "a2");
    g_usleep(SETTLE_US / 4);
    all_killed(estate);
    resumed_t result = assert_not_mixed(estate, began);
    g_assert_cmpint(result.whole, ==, count_of(began, "v2"));
    estate_stop(estate);
}

/* Starts nodes with four engines of one version. */
static estate_t *one_version_start(void) {
    estate_t *estate = versions_start(FLAGS, FALSE);
    version_start(estate, "llm", "v1", "b1", "b2");
    g_usleep(SETTLE_US);
    return estate;
}

/* Guards against a second version that comes after the streams have begun: what is known by then
 * must be stored, too. */
static void test_version_has_just_come(void) {
    estate_t *estate = one_version_start();
    const char *began[STREAMS];
    streams_begin(estate, 0, began);
    version_start(estate, "llm", "v2", "c1", "c2");
    g_usleep(BATCH_US);
    all_killed(estate);
    resumed_t result = assert_not_mixed(estate, began);
    g_assert_cmpint(result.whole, ==, STREAMS);
    estate_stop(estate);
}

/* Guards against calls to the store for what nobody needs. */
static void test_one_version_costs_nothing(void) {
    estate_t *estate = one_version_start();
    const char *began[STREAMS];
    streams_begin(estate, 0, began);
    all_killed(estate);
    resumed_t result = assert_not_mixed(estate, began);
    g_assert_cmpint(result.whole, ==, STREAMS);
    g_assert_cmpfloat(metric_sum(estate, STREAM_CALLS("write")), ==, 0);
    g_assert_cmpfloat(metric_sum(estate, STREAM_CALLS("read")), ==, 0);
    estate_stop(estate);
}

/* The same while another service, without streams, has two versions. */
static void test_other_service_costs_nothing(void) {
    estate_t *estate = one_version_start();
    const char *began[STREAMS];
    service_engine_start(estate, "lock", "c1", "v2", "");
    g_usleep(SETTLE_US);
    streams_begin(estate, 0, began);
    g_assert_cmpfloat(metric_sum(estate, STREAM_CALLS("write")), ==, 0);
    estate_stop(estate);
}

/* Two calls a second at most, also while streams begin all the time. */
static void test_calls(void) {
    estate_t *estate = versions_start(FLAGS, TRUE);
    const char *began[STREAMS];
    int64_t began_ms = harness_now_ms();
    double before = metric_sum(estate, STREAM_CALLS("write"));
    streams_begin(estate, 0, began);
    double made = metric_sum(estate, STREAM_CALLS("write")) - before;
    int64_t took_ms = harness_now_ms() - began_ms;
    g_test_message("%d writes in %lld ms", (int)made, (long long)took_ms);
    g_assert_cmpfloat(made, >, 0);
    g_assert_cmpfloat(made, <=, 1 + (double)took_ms / 500);
    g_assert_cmpfloat(metric_sum(estate, "stream_starts_not_stored_total"), ==, 0);
    estate_stop(estate);
}

/* Guards against a copy of the store being taken for all that there was. */
static void test_store_goes_back(void) {
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

/* The store takes writes without an answer, then answers again: what was taken is written once
 * more, and all streams go on. */
static void test_answers_are_lost(void) {
    estate_t *estate = versions_start(FLAGS " --lease-duration-ms=4000", TRUE);
    const char *began[STREAMS];
    estate_command(estate, "{\"do\":\"store-fault\",\"fault\":\"lost\"}");
    streams_begin(estate, 0, began);
    estate_command(estate, "{\"do\":\"store-fault\",\"fault\":\"\"}");
    g_usleep(2 * BATCH_US);
    all_killed(estate);
    resumed_t result = assert_not_mixed(estate, began);
    g_assert_cmpint(result.whole, ==, STREAMS);
    estate_stop(estate);
}

/* Takes up a stream that can't go on. Returns whether its client is invited to come back. */
static gboolean is_invited(const estate_t *estate, int node, const char *stream, int try) {
    g_autofree char *id = g_strdup_printf("n%d-%d", node, try);
    g_autofree char *headers =
        g_strdup_printf(EDGE_MODEL("m3") "Last-Event-Id: 2\r\nResumes: %s\r\n", stream);
    int64_t began_ms = harness_now_ms();
    wire_response_t *answer =
        wire_request(estate->nodes[node].clients_port, "/once/x", id, headers);
    g_assert_cmpint(answer->status, ==, 503);
    g_assert_cmpint(harness_now_ms() - began_ms, <, TOLD_MS);
    g_assert_cmpint(estate_runs(estate, id), ==, 0);
    gboolean is_told = strstr(answer->head->str, "Retry-After:") != NULL;
    wire_response_free(answer);
    return is_told;
}

/* Guards against a client that is told to come back for a stream which no node can know any more.
 * While nodes are cut off from the controller, each of them may know it. */
static void test_lost_stream_is_told(void) {
    estate_t *estate = versions_start(FLAGS, TRUE);
    g_assert_true(is_invited(estate, 0, "never-seen", 0)); /* its start may be under way */
    g_usleep(SETTLE_US);
    for (int node = 0; node < NODES; node++)
        g_assert_false(is_invited(estate, node, "never-seen", 1));
    estate_link_fault(estate, estate_controller(estate), "cut", 0);
    g_usleep(SETTLE_US);
    for (int node = 0; node < NODES; node++)
        g_assert_true(is_invited(estate, node, "never-seen", 2));
    estate_stop(estate);
}

/* The same for a stream that began at an engine which names no version: it matches no other. */
static void test_engine_without_version(void) {
    estate_t *estate = versions_start(FLAGS, FALSE);
    version_start(estate, "llm", "", "n1", "n2");
    version_stop(estate, "a1", "a2");
    g_usleep(2 * SETTLE_US);
    stream_fault_set(estate, "n1", "cut", 10);
    stream_fault_set(estate, "n2", "cut", 10);
    wire_response_t *answer =
        wire_request(estate->nodes[0].clients_port, "/once/x", "s0", EDGE_MODEL("m3"));
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_false(answer->whole);
    wire_response_free(answer);
    g_usleep(SETTLE_US);
    for (int node = 0; node < NODES; node++)
        g_assert_false(is_invited(estate, node, "s0", 0));
    estate_stop(estate);
}

/* More than the lease row has room for, with names of this length. */
#define LIMITED_TENANTS 320
#define TENANT_NAME_LENGTH 190

/* Returns tenants whose limits are used up at once. */
static char *tenants_json(void) {
    g_autoptr(GString) tenants = g_string_new(NULL);
    g_autofree char *filler = g_strnfill(TENANT_NAME_LENGTH - 4, 't');
    for (int i = 0; i < LIMITED_TENANTS; i++)
        g_string_append_printf(tenants,
                               "%s{\"name\":\"%s%04d\",\"apiKeys\":[\"k-%d\"],"
                               "\"ratePerS\":0.01,\"burst\":1}",
                               i > 0 ? "," : "", filler, i, i);
    return g_strdup_printf("[%s]", tenants->str);
}

/* Fills the lease row with the shares of tenants. */
static void lease_row_fill(const estate_t *estate) {
    for (int i = 0; i < LIMITED_TENANTS; i++) {
        g_autofree char *id = g_strdup_printf("l%d", i);
        g_autofree char *headers =
            g_strdup_printf(EDGE_DEADLINE "Authorization: Token k-%d\r\n", i);
        wire_response_free(wire_request(estate->nodes[0].clients_port, "/lock/x", id, headers));
    }
    g_usleep(3 * SETTLE_US);
    gboolean is_full = FALSE;
    for (int node = 0; node < NODES; node++)
        is_full |= estate_log_has(estate, node, "there is no room for them in the lease row");
    g_assert_true(is_full);
}

/* Guards against streams that don't begin at a new version because the lease row has no room for
 * it.
 */
static void test_lease_row_is_full(void) {
    estate_t *estate = versions_start(FLAGS, FALSE);
    g_autofree char *tenants = tenants_json();
    estate->tenants = tenants;
    estate_configure(estate,
                     "{\"name\":\"once\",\"host\":\"a.example\",\"pathPrefix\":\"/once/\","
                     "\"routeType\":\"streaming\",\"timeoutMs\":6000,\"targetLatencyMs\":800,"
                     "\"priority\":1,\"service\":\"llm\",\"maxAttempts\":1,\"resumable\":true,"
                     "\"targetGapMs\":400,\"public\":true},"
                     "{\"name\":\"lock\",\"host\":\"a.example\",\"pathPrefix\":\"/lock/\","
                     "\"routeType\":\"idempotent\",\"timeoutMs\":2000,\"service\":\"lock\","
                     "\"maxAttempts\":2}");
    g_usleep(3 * SETTLE_US);
    lease_row_fill(estate);
    version_start(estate, "llm", "v2", "b1", "b2");
    g_usleep(SETTLE_US);
    version_stop(estate, "a1", "a2");
    g_usleep(SETTLE_US);
    for (int node = 0; node < NODES; node++) {
        g_autofree char *id = g_strdup_printf("r%d", node);
        wire_response_t *answer =
            wire_request(estate->nodes[node].clients_port, "/once/x", id, EDGE_MODEL("m3"));
        g_test_message("node %d holder %d: %d", node, estate_controller(estate), answer->status);
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_true(has_version(answer, "v2"));
        wire_response_free(answer);
    }
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/stream-rows/both-serve", test_both_serve);
    g_test_add_func("/edge/stream-rows/one-has-left", test_one_has_left);
    g_test_add_func("/edge/stream-rows/version-has-just-come", test_version_has_just_come);
    g_test_add_func("/edge/stream-rows/one-version-costs-nothing", test_one_version_costs_nothing);
    g_test_add_func("/edge/stream-rows/other-service-costs-nothing",
                    test_other_service_costs_nothing);
    g_test_add_func("/edge/stream-rows/calls", test_calls);
    g_test_add_func("/edge/stream-rows/store-goes-back", test_store_goes_back);
    g_test_add_func("/edge/stream-rows/answers-are-lost", test_answers_are_lost);
    g_test_add_func("/edge/stream-rows/lease-row-is-full", test_lease_row_is_full);
    g_test_add_func("/edge/stream-rows/lost-stream-is-told", test_lost_stream_is_told);
    g_test_add_func("/edge/stream-rows/engine-without-version", test_engine_without_version);
}

PROCESS_TEST_MAIN(tests_add)
