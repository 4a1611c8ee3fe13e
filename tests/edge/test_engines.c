/* Engines that restart with the same id, invalid rows in the table of engines, and cold engines. */
#include "edge.h"

#include <string.h>

/* Time after a restart by which nodes must have dropped the models of the earlier process. */
#define RESTART_DETECTION_MS 1500

static void engine_restart_configure(const estate_t *estate, const char *engine, int restart_ms) {
    estate_command(estate,
                   "{\"do\":\"engine-option\",\"engine\":\"%s\",\"name\":\"same_id\",\"value\":1}",
                   engine);
    estate_command(estate,
                   "{\"do\":\"engine-option\",\"engine\":\"%s\",\"name\":\"back_ms\",\"value\":%d}",
                   engine, restart_ms);
}

/* Only llm-2 has m2. It crashes and restarts with the same id before its row expires, without
 * models. Nodes must see the restart in its row, send it no requests for m2, and have m2 loaded. */
static void test_start_under_a_known_id(void) {
    estate_t *estate = estate_start(2, NULL);
    g_assert_cmpint(asked(estate, 0, "/chat/x", "r1", EDGE_MODEL("m2")), ==, 200);
    engine_restart_configure(estate, "llm-2", 100);
    estate_command(estate, "{\"do\":\"engine-crash\",\"engine\":\"llm-2\"}");
    g_usleep(RESTART_DETECTION_MS * 1000);
    for (int node = 0; node < 2; node++) {
        g_assert_true(estate_log_has(estate, node, "\"event\":\"engine-restarted\""));
    }
    double rejections = estate_metric(estate, 0, "rejections_total");
    g_assert_cmpint(asked(estate, 0, "/chat/x", "r2", EDGE_MODEL("m2")), ==, 200);
    g_assert_cmpfloat(estate_metric(estate, 0, "rejections_total"), ==, rejections);
    g_assert_cmpint(estate_orders(estate, "model_load", "m2"), >=, 1);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* Two restarts within two seconds: memory used before a restart must count as free after it. */
static void test_starts_twice(void) {
    estate_t *estate = estate_start(1, NULL);
    engine_restart_configure(estate, "llm-2", 50);
    for (int i = 0; i < 2; i++) {
        estate_command(estate, "{\"do\":\"engine-crash\",\"engine\":\"llm-2\"}");
        g_usleep(900000);
    }
    g_usleep(600000);
    static const char *const models[] = {EDGE_MODEL("m3"), EDGE_MODEL("m4"), EDGE_MODEL("m5")};
    for (gsize i = 0; i < G_N_ELEMENTS(models); i++) {
        g_autofree char *id = g_strdup_printf("w%zu", i);
        g_assert_cmpint(asked(estate, 0, "/chat/x", id, models[i]), ==, 200);
    }
    g_assert_cmpfloat(estate_metric(estate, 0, "engine_restarts_total"), ==, 2);
    estate_assert_no_violation(estate);
    estate_stop(estate);
}

/* A request that runs on an engine that restarts must end when the restart is detected, not at its
 * timeout. */
static void test_what_ran_there_ends(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"llm-1\"}");
    g_usleep(600000);
    engine_restart_configure(estate, "llm-2", 100);
    estate_command(estate, "{\"do\":\"engine-fault\",\"engine\":\"llm-2\",\"fault\":\"mute\"}");
    wire_t *wire = wire_open(estate->nodes[0].clients_port);
    int64_t started_ms = harness_now_ms();
    wire_post(wire, "/note/x", "mute", EDGE_MODEL("m2"), "hello");
    g_usleep(300000);
    estate_command(estate, "{\"do\":\"engine-crash\",\"engine\":\"llm-2\"}");
    wire_response_t *answer = wire_read(wire, 10000);
    g_assert_cmpint(answer->status, ==, 502);
    g_assert_cmpint(harness_now_ms() - started_ms, <, 3000);
    wire_response_free(answer);
    wire_close(wire);
    estate_stop(estate);
}

/* Invalid rows from another writer are ignored, and valid rows stay in use. An engine whose row
 * becomes invalid is removed until the row is valid again. */
static void test_rows_of_another_writer(void) {
    static const char *const invalid_rows[] = {
        "{}",
        "{\"service\":\"lock\",\"address\":7}",
        "not JSON",
        "[[[[[[",
        "{\"state\":\"asleep\"}",
        "{\"service\":\"lock\",\"address\":\"127.0.0.1:1\",\"zone\":\"zone-1\",\"slots\":8,"
        "\"state\":\"ready\",\"sequence\":1}"};
    estate_t *estate = estate_start(2, "--drain-ms=1000");
    for (gsize i = 0; i < G_N_ELEMENTS(invalid_rows); i++) {
        g_autofree char *key = g_strdup_printf("foreign-%zu", i);
        estate_engine_row_write(estate, key, invalid_rows[i]);
    }
    estate_command(estate, "{\"do\":\"engine-option\",\"engine\":\"lock-1\",\"name\":\"quiet\","
                           "\"value\":1}");
    estate_engine_row_write(estate, "lock-1", "{\"service\":\"lock\"}");
    g_usleep(1500000);
    for (int i = 0; i < 20; i++) {
        g_autofree char *id = g_strdup_printf("o%d", i);
        g_assert_cmpint(asked(estate, i % 2, "/lock/x", id, EDGE_DEADLINE), ==, 200);
    }
    json_t *seen = estate_records(estate);
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run)
        g_assert_cmpstr(json_string_value(json_object_get(run, "engine")), ==, "lock-2");
    json_decref(seen);
    g_assert_true(estate_log_has(estate, 0, "\"event\":\"engine-row-refused\""));
    g_assert_cmpfloat(estate_metric(estate, 0, "broken_sends_total"), ==, 0);
    estate_command(estate, "{\"do\":\"engine-option\",\"engine\":\"lock-1\",\"name\":\"quiet\","
                           "\"value\":0}");
    estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-2\"}");
    g_usleep(1500000);
    g_assert_cmpint(asked(estate, 0, "/lock/x", "back", EDGE_DEADLINE), ==, 200);
    estate_stop(estate);
}

/* Returns the maximum number of runs at an engine within any second. */
static unsigned most_in_a_second(const estate_t *estate, const char *engine) {
    json_t *seen = estate_records(estate);
    g_autoptr(GArray) times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run) {
        int64_t at_ms = json_integer_value(json_object_get(run, "at_ms"));
        if (strcmp(json_string_value(json_object_get(run, "engine")), engine) == 0) {
            g_array_append_val(times, at_ms);
        }
    }
    json_decref(seen);
    unsigned max_runs = 0;
    for (guint first = 0, last = 0; last < times->len; last++) {
        while (g_array_index(times, int64_t, last) - g_array_index(times, int64_t, first) >= 1000) {
            first++;
        }
        max_runs = MAX(max_runs, last - first + 1);
    }
    return max_runs;
}

/* Both engines of a service are cold when three nodes get 40 requests at once: in any second, no
 * engine gets more than it sustains while cold (2 x 1.5 + 1). Once warm they serve all requests. */
static void test_cold_engines(void) {
    estate_t *estate = estate_start(3, "--cold-overage=1.5 --cold-slack=1");
    static const char *const engines[] = {"lock-1", "lock-2"};
    for (gsize i = 0; i < G_N_ELEMENTS(engines); i++) {
        estate_command(estate,
                       "{\"do\":\"engine-option\",\"engine\":\"%s\",\"name\":\"cold_ms\","
                       "\"value\":6000}",
                       engines[i]);
    }
    g_usleep(1200000);
    wire_t *wires[40];
    for (int i = 0; i < 40; i++) {
        g_autofree char *id = g_strdup_printf("cold-%d", i);
        wires[i] = wire_open(estate->nodes[i % 3].clients_port);
        wire_post(wires[i], "/lock/x", id, EDGE_DEADLINE, "hello");
    }
    int served = 0;
    for (int i = 0; i < 40; i++) {
        wire_response_t *answer = wire_read(wires[i], 5000);
        g_assert_true(answer->status == 200 || answer->status == 503);
        served += answer->status == 200;
        wire_response_free(answer);
        wire_close(wires[i]);
    }
    g_assert_cmpint(served, >=, 4);
    for (gsize i = 0; i < G_N_ELEMENTS(engines); i++) {
        g_assert_cmpuint(most_in_a_second(estate, engines[i]), <=, 4);
        estate_command(estate,
                       "{\"do\":\"engine-option\",\"engine\":\"%s\",\"name\":\"cold_ms\","
                       "\"value\":0}",
                       engines[i]);
    }
    g_usleep(1200000);
    for (int i = 0; i < 20; i++) {
        g_autofree char *id = g_strdup_printf("warm-%d", i);
        g_assert_cmpint(asked(estate, i % 3, "/lock/x", id, EDGE_DEADLINE), ==, 200);
    }
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/engines/start-under-a-known-id", test_start_under_a_known_id);
    g_test_add_func("/edge/engines/starts-twice", test_starts_twice);
    g_test_add_func("/edge/engines/what-ran-there-ends", test_what_ran_there_ends);
    g_test_add_func("/edge/engines/cold", test_cold_engines);
    g_test_add_func("/edge/engines/rows-of-another-writer", test_rows_of_another_writer);
}

PROCESS_TEST_MAIN(tests_add)
