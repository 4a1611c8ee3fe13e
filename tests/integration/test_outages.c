/* Long platform outage, loss of a zone or of a group's majority, slow weight store. */
#include "integration.h"

#include <signal.h>
#include <string.h>

/* Models are loaded and served during a platform outage, even if the cell's owner is lost. */
static void test_platform_away_for_the_whole_run(void) {
    cluster_options_t options = {.nodes = 4, .engines = 3};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 4, 1);
    answer_free(chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL));
    platform_faults(cluster, "{\"table\":\"hang\",\"objects\":\"hang\",\"machines\":\"hang\"}");
    int owner = cell_owner(cluster, "assistant/0");
    int gateway = (owner + 1) % 4;
    static const char *const models[] = {"m1", "m2", "m3", "m4"};
    for (int i = 0; i < 4; i++) {
        if (i == 2)
            process_kill(&cluster->nodes[owner].process);
        answer_t *answer = chat(cluster->nodes[gateway].clients_port, models[i], 6, NULL, NULL);
        g_test_message("%s: %ld %s", models[i], answer->status, answer->body);
        answer_print(answer);
        g_assert_true(answer_is_complete(answer, 6));
        answer_free(answer);
    }
    platform_faults(cluster, "{\"table_delay_ms\":100}");
    g_usleep(3000000);
    platform_faults(cluster, "{}");
    for (int i = 0; i < 4; i++)
        g_assert_cmpint(peak_replicas(cluster, models[i]), ==, 1);
    cluster_stop(cluster);
}

/* The nodes and engines of one zone of three are lost at once. */
static void test_zone_gone_at_once(void) {
    cluster_options_t options = {.nodes = 6, .engines = 6};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 4, 2);
    static const char *const models[] = {"m1", "m2", "m3", "m4"};
    for (int i = 0; i < 4; i++)
        answer_free(chat(cluster->nodes[i % 3].clients_port, models[i], 4, NULL, NULL));
    for (int i = 0; i < 6; i += 3) { /* zone-1 */
        process_kill(&cluster->nodes[i].process);
        engine_kill(cluster, i);
    }
    for (int i = 0; i < 8; i++) {
        answer_t *answer =
            chat(cluster->nodes[i % 2 + 1].clients_port, models[i % 4], 6, NULL, NULL);
        answer_print(answer);
        g_assert_true(answer_is_complete(answer, 6));
        answer_free(answer);
    }
    for (int i = 0; i < 4; i++)
        g_assert_cmpint(peak_replicas(cluster, models[i]), <=, 2);
    g_assert_cmpint(memory_attempts(cluster), ==, 0);
    cluster_stop(cluster);
}

/* With a slow weight store waiting clients are served or refused, never dropped. */
static void test_slow_weight_store(void) {
    cluster_options_t options = {.nodes = 3, .engines = 3};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 3, 1);
    platform_faults(cluster, "{\"weight_slowdown\":10}");
    crowd_call_t calls[18];
    static const char *const models[] = {"m1", "m2", "m3"};
    for (int i = 0; i < 18; i++)
        calls[i] = (crowd_call_t){cluster->nodes[i % 3].clients_port, models[i / 3 % 3], 4, NULL};
    crowd_t *crowd = crowd_start(calls, 18);
    crowd_join(crowd);
    g_assert_cmpint(crowd_complete(crowd, 4) + crowd_refused(crowd), ==, 18);
    for (int i = 0; i < 3; i++)
        g_assert_cmpint(loads_started(cluster, models[i]), ==, 1);
    crowd_free(crowd);
    cluster_stop(cluster);
}

/* A group that lost its majority is founded again and must account for loaded models. */
static void test_majority_of_a_group_lost(void) {
    cluster_options_t options = {.nodes = 3, .engines = 3};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 2, 1);
    answer_free(chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL));
    for (int i = 0; i < 3; i++)
        process_kill(&cluster->nodes[i].process);
    for (int i = 0; i < 3; i++)
        node_start(cluster, i);
    wait_ready(cluster);
    static const char *const models[] = {"m1", "m2"};
    for (int i = 0; i < 2; i++) {
        answer_t *answer = chat(cluster->nodes[i].clients_port, models[i], 4, NULL, NULL);
        answer_print(answer);
        g_assert_true(answer_is_complete(answer, 4));
        answer_free(answer);
        g_assert_cmpint(peak_replicas(cluster, models[i]), ==, 1);
    }
    cluster_stop(cluster);
}

/* A node that reaches the platform but no peers must not take over cells. */
static void test_isolated_node_founds_nothing(void) {
    cluster_options_t options = {.nodes = 3, .engines = 1};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    answer_free(chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL));
    int owner = cell_owner(cluster, "assistant/0");
    cluster->options.node_flags = "--cluster=another";
    int isolated = cluster_add_node(cluster);
    g_usleep(9000000); /* longer than the takeover delay of a cell without an owner */
    g_assert_cmpint(cell_owner(cluster, "assistant/0"), ==, owner);
    process_kill(&cluster->nodes[isolated].process);
    answer_t *answer = chat(cluster->nodes[1].clients_port, "m1", 4, NULL, NULL);
    answer_print(answer);
    g_assert_true(answer_is_complete(answer, 4));
    answer_free(answer);
    cluster_stop(cluster);
}

static void tests_add(void) {
    g_test_add_func("/outages/platform-away-for-the-whole-run",
                    test_platform_away_for_the_whole_run);
    g_test_add_func("/outages/zone-gone-at-once", test_zone_gone_at_once);
    g_test_add_func("/outages/isolated-node-founds-nothing", test_isolated_node_founds_nothing);
    g_test_add_func("/outages/slow-weight-store", test_slow_weight_store);
    g_test_add_func("/outages/majority-of-a-group-lost", test_majority_of_a_group_lost);
}

PROCESS_TEST_MAIN(tests_add)
