/* Guards against a request that is taken from an engine which works on it, and fails or runs again
 * though nothing is gained by that. */
#include "faulty.h"

#include <signal.h>

#define WORK_MS 600 /* beyond the routes' target of 400 ms */
#define CLIENTS 4
#define RUN_S 8
#define RUNS_A_REQUEST_MAX 1.1

typedef struct slow_client_t {
    const estate_t *estate;
    int number;
    int64_t until_ms;
    int sent;
    int served;
} slow_client_t;

static gpointer client_run(gpointer data) {
    slow_client_t *client = data;
    while (harness_now_ms() < client->until_ms) {
        g_autofree char *id = g_strdup_printf("slow-%d-%d", client->number, client->sent++);
        wire_response_t *answer =
            wire_request(client->estate->nodes[0].clients_port, "/find/x", id, EDGE_DEADLINE);
        client->served += answer->status == 200;
        wire_response_free(answer);
        g_usleep(50000);
    }
    return NULL;
}

static int runs_total(const estate_t *estate) {
    json_t *records = estate_records(estate);
    size_t i;
    json_t *run;
    int count = 0;
    json_array_foreach(json_object_get(records, "runs"), i, run) count +=
        g_str_has_prefix(json_string_value(json_object_get(run, "id")), "slow-");
    json_decref(records);
    return count;
}

/* Each request is served by engines that are all as slow. */
static void equally_slow_test(int engines) {
    estate_t *estate = faulty_start(1, engines, NULL);
    slow_client_t clients[CLIENTS];
    GThread *threads[CLIENTS];
    int sent = 0;
    int served = 0;
    for (int i = 1; i <= engines; i++)
        faulty_option(estate, i, "work_ms", WORK_MS);
    for (int i = 0; i < CLIENTS; i++) {
        clients[i] = (slow_client_t){estate, i, harness_now_ms() + RUN_S * 1000, 0, 0};
        threads[i] = g_thread_new("slow", client_run, &clients[i]);
    }
    for (int i = 0; i < CLIENTS; i++) {
        g_thread_join(threads[i]);
        sent += clients[i].sent;
        served += clients[i].served;
    }
    int runs = runs_total(estate);
    g_test_message("%d engines: %d of %d served, %d runs", engines, served, sent, runs);
    g_assert_cmpint(served, ==, sent);
    g_assert_cmpfloat(runs, <=, RUNS_A_REQUEST_MAX * sent);
    estate_stop(estate);
}

static void test_one_engine(void) {
    equally_slow_test(1);
}

static void test_two_engines(void) {
    equally_slow_test(2);
}

static void test_three_engines(void) {
    equally_slow_test(3);
}

/* One engine of three has become far slower than the others: requests leave it. */
static void test_one_of_three(void) {
    enum { REQUESTS = 40, SLOW_MS = 2500, SERVED_WITHIN_MS = 600, LATE_MAX = 2 };
    estate_t *estate = faulty_start(1, 3, NULL);
    int late = 0;
    for (int i = 0; i < REQUESTS; i++) {
        g_autofree char *id = g_strdup_printf("leave-%d", i);
        if (i == REQUESTS / 4)
            faulty_option(estate, 1, "work_ms", SLOW_MS);
        int64_t began_ms = harness_now_ms();
        g_assert_cmpint(asked(estate, 0, "/find/x", id, EDGE_DEADLINE), ==, 200);
        late += harness_now_ms() - began_ms > SERVED_WITHIN_MS;
        g_usleep(30000);
    }
    g_test_message("%d late", late);
    g_assert_cmpint(late, <=, LATE_MAX);
    g_assert_cmpfloat(estate_metric(estate, 0, "second_tries_total"), >, 0);
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/slow-engines/one-engine", test_one_engine);
    g_test_add_func("/edge/slow-engines/two-engines", test_two_engines);
    g_test_add_func("/edge/slow-engines/three-engines", test_three_engines);
    g_test_add_func("/edge/slow-engines/one-of-three", test_one_of_three);
}

PROCESS_TEST_MAIN(tests_add)
