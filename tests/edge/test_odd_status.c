/* Guards against an answer whose status is none: passed on as one, waited behind until the
 * request's time is over, or asked for again and again beside a sound engine. */
#include "faulty.h"

#include <string.h>

#define REQUESTS 24
#define PAUSE_US 50000
#define ANSWERED_WITHIN_MS 1500 /* half of the route's timeout */
/* An engine that ends its connections is asked about so often in the time of the requests. */
#define ASKED_MAX 6
#define ALWAYS 100000

static const char *const statuses[] = {"000", "009", "099", "101", "600", "999"};

static int arrivals_at(const estate_t *estate, const char *engine) {
    json_t *records = estate_records(estate);
    size_t i;
    json_t *arrival;
    int count = 0;
    json_array_foreach(json_object_get(records, "arrivals"), i, arrival) {
        const char *id = json_string_value(json_object_get(arrival, "id"));
        count += g_str_has_prefix(id, "odd-") &&
                 g_str_equal(json_string_value(json_object_get(arrival, "engine")), engine);
    }
    json_decref(records);
    return count;
}

/* @param failures_max clients that may get 502, as their request may have run */
static void odd_test(const char *path, const char *status, int failures_max) {
    estate_t *estate = faulty_start(1, 2, NULL);
    g_autofree char *fault = g_strdup_printf("status-%s", status);
    int failures = 0;
    faulty_fault(estate, 1, fault, ALWAYS);
    for (int i = 0; i < REQUESTS; i++) {
        g_autofree char *id = g_strdup_printf("odd-%d", i);
        int64_t began_ms = harness_now_ms();
        wire_response_t *answer =
            wire_request(estate->nodes[0].clients_port, path, id, EDGE_DEADLINE);
        int64_t took_ms = harness_now_ms() - began_ms;
        if (answer->status != 200)
            g_test_message("%s %s: %d after %d ms", path, status, answer->status, (int)took_ms);
        g_assert_true(answer->status == 200 || answer->status == 502);
        g_assert_null(strstr(answer->body->str, "trouble"));
        g_assert_cmpint(took_ms, <, ANSWERED_WITHIN_MS);
        failures += answer->status == 502;
        if (failures_max > 0)
            g_assert_cmpint(estate_runs(estate, id), ==, 1);
        wire_response_free(answer);
        g_usleep(PAUSE_US);
    }
    int asked = arrivals_at(estate, "seat-1");
    g_test_message("%s %s: %d failed, %d at the faulty engine", path, status, failures, asked);
    g_assert_cmpint(failures, <=, failures_max);
    g_assert_cmpint(asked, >, 0);
    g_assert_cmpint(asked, <=, ASKED_MAX);
    estate_stop(estate);
}

static void odd_tests(const char *path, int failures_max) {
    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++)
        odd_test(path, statuses[i], failures_max);
}

static void test_repeatable(void) {
    odd_tests("/find/x", 0);
}

static void test_single_run(void) {
    odd_tests("/hold/x", ASKED_MAX);
}

static void test_stream(void) {
    odd_tests("/tell/x", ASKED_MAX);
}

/* Through another node, which isn't at fault for what the engine has sent. */
static void test_by_peer(void) {
    estate_t *estate = faulty_start_tunnelled();
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-2\"}");
    g_usleep(1000000);
    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
        g_autofree char *fault = g_strdup_printf("status-%s", statuses[i]);
        g_autofree char *id = g_strdup_printf("peer-%s", statuses[i]);
        faulty_fault(estate, 1, fault, 1);
        int64_t began_ms = harness_now_ms();
        wire_response_t *answer =
            wire_request(estate->nodes[0].clients_port, "/lock/x", id, EDGE_DEADLINE);
        int64_t took_ms = harness_now_ms() - began_ms;
        g_test_message("%s: %d after %d ms", statuses[i], answer->status, (int)took_ms);
        g_assert_cmpint(answer->status, ==, 502);
        g_assert_cmpint(took_ms, <, ANSWERED_WITHIN_MS);
        wire_response_free(answer);
    }
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/odd-status/repeatable", test_repeatable);
    g_test_add_func("/edge/odd-status/single-run", test_single_run);
    g_test_add_func("/edge/odd-status/stream", test_stream);
    g_test_add_func("/edge/odd-status/by-peer", test_by_peer);
}

PROCESS_TEST_MAIN(tests_add)
