/* Request path end to end: loading on demand, streams, adapters, opaque calls, eviction. */
#include "integration.h"

#include <string.h>

static void test_idle_model_is_woken(void) {
    cluster_options_t options = {.nodes = 3, .engines = 2};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 2, 1);
    answer_t *answer = chat(cluster->nodes[0].clients_port, "m1", 16, NULL, NULL);
    answer_print(answer);
    g_assert_true(answer_is_complete(answer, 16));
    g_assert_cmpstr(answer->verdict, ==, "completed");
    answer_free(answer);
    answer = chat(cluster->nodes[1].clients_port, "m2", 12, ",\"stream\":true", NULL);
    answer_print(answer);
    g_assert_true(answer_is_complete(answer, 12));
    answer_free(answer);
    g_assert_cmpint(loads_started(cluster, "m1"), ==, 1);
    g_assert_cmpint(memory_attempts(cluster), ==, 0);
    cluster_stop(cluster);
}

/* Concurrent requests for one cold model at all nodes must load it only once. */
static void test_herd_wakes_once(void) {
    cluster_options_t options = {.nodes = 3, .engines = 4};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    enum { CALLERS = 60 };
    crowd_call_t calls[CALLERS];
    for (int i = 0; i < CALLERS; i++)
        calls[i] = (crowd_call_t){cluster->nodes[i % 3].clients_port, "m1", 8,
                                  i % 2 == 0 ? ",\"stream\":true" : NULL};
    crowd_t *crowd = crowd_start(calls, CALLERS);
    crowd_join(crowd);
    g_assert_cmpint(crowd_complete(crowd, 8), ==, CALLERS);
    g_assert_cmpint(loads_started(cluster, "m1"), ==, 1);
    crowd_free(crowd);
    cluster_stop(cluster);
}

static void test_adapter_beside_its_model(void) {
    cluster_options_t options = {.nodes = 1, .engines = 1};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    g_assert_cmpint(declare(cluster, 0, "{\"adapter/a1\":{\"model\":\"m1\",\"memory_mib\":64}}"),
                    ==, 200);
    answer_t *answer = chat(cluster->nodes[0].clients_port, "a1", 8, NULL, NULL);
    answer_print(answer);
    g_assert_true(answer_is_complete(answer, 8));
    answer_free(answer);
    answer = chat(cluster->nodes[0].clients_port, "m1:a1", 8, NULL, NULL);
    answer_print(answer);
    g_assert_true(answer_is_complete(answer, 8));
    answer_free(answer);
    cluster_stop(cluster);
}

static void test_opaque_call(void) {
    cluster_options_t options = {.nodes = 2, .engines = 1, .lock_engines = 1};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    answer_t *answer = call("POST", cluster->nodes[1].clients_port, "/v1/services/seat-lock/hold",
                            NULL, "{\"seat\":12}", 20000);
    answer_print(answer);
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_nonnull(strstr(answer->body, "\"request\":{\"seat\":12}"));
    g_assert_nonnull(strstr(answer->body, "\"path\":\"/hold\""));
    answer_free(answer);
    g_assert_cmpint(run_count(cluster, "{\"seat\":12}"), ==, 1);
    /* header injection through the path */
    answer = call("POST", cluster->nodes[1].clients_port,
                  "/v1/services/seat-lock/x%0d%0aEngine-Model:%20other", NULL, "{}", 20000);
    g_assert_cmpint(answer->status, ==, 200);
    g_assert_nonnull(strstr(answer->body, "/x%0D%0AEngine-Model:%20other"));
    answer_free(answer);
    cluster_stop(cluster);
}

/* On a full engine a requested model is loaded by evicting an idle one. */
static void test_idle_model_makes_room(void) {
    cluster_options_t options = {.nodes = 2, .engines = 1, .engine_flags = "--memory-mib=2100"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 3, 1);
    const char *const models[] = {"m1", "m2", "m3", "m1"};
    for (int i = 0; i < 4; i++) {
        answer_t *answer = chat(cluster->nodes[i % 2].clients_port, models[i], 6, NULL, NULL);
        answer_print(answer);
        g_assert_true(answer_is_complete(answer, 6));
        answer_free(answer);
    }
    g_assert_cmpint(memory_attempts(cluster), ==, 0);
    cluster_stop(cluster);
}

static void tests_add(void) {
    g_test_add_func("/path/idle-model-is-woken", test_idle_model_is_woken);
    g_test_add_func("/path/herd-wakes-once", test_herd_wakes_once);
    g_test_add_func("/path/adapter-beside-its-model", test_adapter_beside_its_model);
    g_test_add_func("/path/opaque-call", test_opaque_call);
    g_test_add_func("/path/idle-model-makes-room", test_idle_model_makes_room);
}

PROCESS_TEST_MAIN(tests_add)
