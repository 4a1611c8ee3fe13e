/* Replica limits and engine memory are never exceeded while owners and engines fail. */
#include "integration.h"

#include <signal.h>
#include <string.h>

static gboolean another_owner(cluster_t *cluster, void *context) {
    int owner = cell_owner(cluster, "assistant/0");
    return owner >= 0 && owner != GPOINTER_TO_INT(context);
}

/* The successor of an owner that dies during a load must not load a second replica. */
static void test_owner_killed_in_mid_load(void) {
    cluster_options_t options = {.nodes = 4, .engines = 4, .engine_flags = "--load-slowdown=12"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    int owner = cell_owner(cluster, "assistant/0");
    int gateway = (owner + 1) % 4;
    crowd_call_t calls[] = {{cluster->nodes[gateway].clients_port, "m1", 8, NULL},
                            {cluster->nodes[(owner + 2) % 4].clients_port, "m1", 8, NULL}};
    crowd_t *crowd = crowd_start(calls, 2);
    g_usleep(800000); /* the load takes 3 s */
    g_assert_cmpint(loads_started(cluster, "m1"), ==, 1);
    process_kill(&cluster->nodes[owner].process);
    crowd_join(crowd);
    g_assert_cmpint(crowd_complete(crowd, 8), ==, 2);
    g_assert_cmpint(peak_replicas(cluster, "m1"), ==, 1);
    g_assert_cmpint(loads_started(cluster, "m1"), ==, 1);
    crowd_free(crowd);
    cluster_stop(cluster);
}

/* Stale orders of a former owner that resumes must be refused by the engines' fences. */
static void test_frozen_owner_thaws(void) {
    cluster_options_t options = {.nodes = 4, .engines = 3};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 3, 1);
    int owner = cell_owner(cluster, "assistant/0");
    process_signal(&cluster->nodes[owner].process, SIGSTOP);
    int gateway = (owner + 1) % 4;
    answer_t *answer = chat(cluster->nodes[gateway].clients_port, "m1", 8, NULL, NULL);
    answer_print(answer);
    g_assert_true(answer_is_complete(answer, 8));
    answer_free(answer);
    crowd_call_t calls[] = {{cluster->nodes[gateway].clients_port, "m2", 8, NULL},
                            {cluster->nodes[owner].clients_port, "m2", 8, NULL},
                            {cluster->nodes[owner].clients_port, "m3", 8, NULL}};
    process_signal(&cluster->nodes[owner].process, SIGCONT);
    crowd_t *crowd = crowd_start(calls, 3);
    crowd_join(crowd);
    g_assert_cmpint(crowd_complete(crowd, 8), ==, 3);
    g_assert_cmpint(peak_replicas(cluster, "m1"), ==, 1);
    g_assert_cmpint(peak_replicas(cluster, "m2"), ==, 1);
    g_assert_cmpint(peak_replicas(cluster, "m3"), ==, 1);
    crowd_free(crowd);
    cluster_stop(cluster);
}

/* Two consecutive takeovers, each during loads. */
static void test_two_takeovers_in_a_row(void) {
    cluster_options_t options = {
        .nodes = 5, .engines = 4, .engine_flags = "--load-slowdown=8 --memory-mib=2100"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 6, 1);
    int first = cell_owner(cluster, "assistant/0");
    int gateway = (first + 1) % 5;
    crowd_call_t calls[6];
    for (int i = 0; i < 6; i++)
        calls[i] = (crowd_call_t){cluster->nodes[gateway].clients_port,
                                  (const char *[]){"m1", "m2", "m3", "m4", "m5", "m6"}[i], 6, NULL};
    crowd_t *crowd = crowd_start(calls, 6);
    g_usleep(400000);
    process_kill(&cluster->nodes[first].process);
    g_assert_true(wait_until(another_owner, cluster, GINT_TO_POINTER(first), 30000));
    int second = cell_owner(cluster, "assistant/0");
    if (second != gateway) /* the clients' node must stay up */
        process_kill(&cluster->nodes[second].process);
    crowd_join(crowd);
    g_assert_cmpint(crowd_complete(crowd, 6) + crowd_refused(crowd), ==, 6);
    for (int i = 0; i < 6; i++)
        g_assert_cmpint(peak_replicas(cluster, calls[i].model), <=, 1);
    g_assert_cmpint(memory_attempts(cluster), ==, 0);
    crowd_free(crowd);
    cluster_stop(cluster);
}

/* If the response to a load order is lost, the model must not be loaded elsewhere too. */
static void test_load_answer_lost(void) {
    cluster_options_t options = {.nodes = 3, .engines = 3, .proxied = TRUE};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 2, 1);
    for (int i = 0; i < 3; i++)
        engine_fault(cluster, i, "drop_answer", 0, 0, 4);
    answer_t *answer = chat(cluster->nodes[0].clients_port, "m1", 8, NULL, NULL);
    answer_print(answer);
    g_assert_true(answer_is_complete(answer, 8));
    answer_free(answer);
    g_assert_cmpint(peak_replicas(cluster, "m1"), ==, 1);
    cluster_stop(cluster);
}

/* A killed engine's replica is loaded on another engine, once the machine list reports it gone. */
static void test_killed_engine_is_replaced(void) {
    cluster_options_t options = {.nodes = 3, .engines = 3};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    answer_t *answer = chat(cluster->nodes[0].clients_port, "m1", 8, NULL, NULL);
    answer_print(answer);
    g_assert_true(answer_is_complete(answer, 8));
    for (int i = 0; i < 3; i++)
        if (g_str_has_prefix(cluster->engines[i].process.name, answer->engine))
            engine_kill(cluster, i);
    answer_free(answer);
    answer = chat(cluster->nodes[1].clients_port, "m1", 8, NULL, NULL);
    answer_print(answer);
    g_assert_true(answer_is_complete(answer, 8));
    answer_free(answer);
    g_assert_cmpint(loads_started(cluster, "m1"), ==, 2);
    g_assert_cmpint(peak_replicas(cluster, "m1"), ==, 1);
    cluster_stop(cluster);
}

/* Memory is not overcommitted if the owner dies while many models compete for it. */
static void test_memory_with_owner_lost(void) {
    cluster_options_t options = {
        .nodes = 4, .engines = 2, .engine_flags = "--memory-mib=3000 --load-slowdown=2"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 6, 2);
    g_assert_cmpint(declare(cluster, 0,
                            "{\"adapter/a1\":{\"model\":\"m1\",\"memory_mib\":300},"
                            "\"adapter/a2\":{\"model\":\"m2\",\"memory_mib\":300},"
                            "\"adapter/a3\":{\"model\":\"m3\",\"memory_mib\":300}}"),
                    ==, 200);
    int owner = cell_owner(cluster, "assistant/0");
    static const char *const models[] = {"m1", "a1", "m2", "a2", "m3", "a3", "m4", "m5", "m6"};
    crowd_call_t calls[27];
    for (int i = 0; i < 27; i++)
        calls[i] = (crowd_call_t){cluster->nodes[(owner + 1 + i % 3) % 4].clients_port,
                                  models[i % 9], 5, NULL};
    crowd_t *crowd = crowd_start(calls, 27);
    g_usleep(700000);
    process_kill(&cluster->nodes[owner].process);
    crowd_join(crowd);
    g_assert_cmpint(crowd_complete(crowd, 5) + crowd_refused(crowd), ==, 27);
    g_assert_cmpint(memory_attempts(cluster), ==, 0);
    for (int i = 0; i < 9; i++)
        g_assert_cmpint(peak_replicas(cluster, models[i]), <=, 2);
    crowd_free(crowd);
    cluster_stop(cluster);
}

static void tests_add(void) {
    g_test_add_func("/replicas/owner-killed-in-mid-load", test_owner_killed_in_mid_load);
    g_test_add_func("/replicas/frozen-owner-thaws", test_frozen_owner_thaws);
    g_test_add_func("/replicas/two-takeovers-in-a-row", test_two_takeovers_in_a_row);
    g_test_add_func("/replicas/load-answer-lost", test_load_answer_lost);
    g_test_add_func("/replicas/killed-engine-is-replaced", test_killed_engine_is_replaced);
    g_test_add_func("/replicas/memory-with-owner-lost", test_memory_with_owner_lost);
}

PROCESS_TEST_MAIN(tests_add)
