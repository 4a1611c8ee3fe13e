/* Network partitions between nodes, while both sides reach engines, platform and clients. */
#include "integration.h"

#include <string.h>

#define NODES 5
#define MINORITY 2 /* nodes 0 and 1 are on one side, the others on the other */

static gboolean all_members_alive(cluster_t *cluster, void *context) {
    (void)context;
    for (int i = 0; i < cluster->node_count; i++)
        if (members_alive(cluster, i) != cluster->node_count)
            return FALSE;
    return TRUE;
}

/* Requests on both sides of a partition must not load a model twice. */
static void test_both_sides_ask(void) {
    cluster_options_t options = {.nodes = NODES, .engines = 4, .partitions = TRUE};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 8, 1);
    g_assert_true(wait_until(all_members_alive, cluster, NULL, 30000));
    answer_free(chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL));
    answer_free(chat(cluster->nodes[4].clients_port, "m1", 4, NULL, NULL));
    static const char *const models[] = {"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"};
    partition_set(cluster, MINORITY);
    crowd_call_t calls[16];
    for (int i = 0; i < 16; i++)
        calls[i] = (crowd_call_t){cluster->nodes[i % NODES].clients_port, models[i % 6], 4, NULL};
    crowd_t *crowd = crowd_start(calls, 16);
    crowd_join(crowd);
    g_assert_cmpint(crowd_complete(crowd, 4) + crowd_refused(crowd), ==, 16);
    crowd_free(crowd);
    /* loaded models are served on both sides */
    for (int i = 0; i < NODES; i += NODES - 1) {
        answer_t *answer = chat(cluster->nodes[i].clients_port, "m1", 4, NULL, NULL);
        answer_print(answer);
        g_assert_true(answer_is_complete(answer, 4));
        answer_free(answer);
    }
    partition_set(cluster, 0);
    g_assert_true(wait_until(all_members_alive, cluster, NULL, 60000));
    for (int i = 0; i < 8; i++) {
        answer_t *answer = chat(cluster->nodes[i % NODES].clients_port, models[i], 4, NULL, NULL);
        answer_print(answer);
        g_assert_true(answer_is_complete(answer, 4));
        answer_free(answer);
        g_assert_cmpint(peak_replicas(cluster, models[i]), ==, 1);
    }
    g_assert_cmpint(memory_attempts(cluster), ==, 0);
    cluster_stop(cluster);
}

static answer_t *hold(int port, const char *key, const char *body) {
    g_autofree char *header = g_strconcat("Idempotency-Key: ", key, NULL);
    const char *headers[] = {header, NULL};
    return call("POST", port, "/v1/services/seat-lock/hold", headers, body, 30000);
}

/* A key used on both sides runs at most once, and both sides return the same answer. */
static void test_keys_on_both_sides(void) {
    cluster_options_t options = {.nodes = NODES, .lock_engines = 2, .partitions = TRUE};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 0, 1);
    g_assert_true(wait_until(all_members_alive, cluster, NULL, 30000));
    answer_free(hold(cluster->nodes[0].clients_port, "warm-0", "{\"warm\":0}"));
    answer_free(hold(cluster->nodes[4].clients_port, "warm-4", "{\"warm\":4}"));
    partition_set(cluster, MINORITY);
    int served = 0;
    for (int i = 0; i < 6; i++) {
        g_autofree char *key = g_strdup_printf("p%d", i);
        g_autofree char *body = g_strdup_printf("{\"partition\":%d}", i);
        answer_t *first = hold(cluster->nodes[i % 2 == 0 ? 0 : 4].clients_port, key, body);
        answer_t *second = hold(cluster->nodes[i % 2 == 0 ? 4 : 0].clients_port, key, body);
        answer_print(first);
        answer_print(second);
        served += first->status == 200 || second->status == 200;
        g_assert_cmpint(run_count(cluster, body), <=, 1);
        if (first->status == 200 && second->status == 200)
            g_assert_cmpstr(first->body, ==, second->body);
        answer_free(first);
        answer_free(second);
    }
    g_assert_cmpint(served, ==, 6); /* the majority side continues to serve */
    partition_set(cluster, 0);
    g_assert_true(wait_until(all_members_alive, cluster, NULL, 60000));
    for (int i = 0; i < 6; i++) {
        g_autofree char *key = g_strdup_printf("p%d", i);
        g_autofree char *body = g_strdup_printf("{\"partition\":%d}", i);
        answer_t *answer = hold(cluster->nodes[i % NODES].clients_port, key, body);
        answer_print(answer);
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_cmpint(run_count(cluster, body), ==, 1);
        answer_free(answer);
    }
    cluster_stop(cluster);
}

/* A configuration accepted during a partition must take effect on all nodes after it ends; the
 * minority gets it from the platform at the latest. */
static void test_configuration_after_healing(void) {
    cluster_options_t options = {
        .nodes = NODES, .partitions = TRUE, .node_flags = "--config-poll-ms=600000"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    g_assert_true(wait_until(all_members_alive, cluster, NULL, 30000));
    partition_set(cluster, MINORITY);
    g_assert_cmpint(declare(cluster, 4, "{\"owner/north\":{\"share\":7}}"), ==, 200);
    /* the other side must base its change on the first, which it did not receive */
    g_assert_cmpint(declare(cluster, 0, "{\"owner/coast\":{\"share\":9}}"), ==, 200);
    partition_set(cluster, 0);
    int64_t until_ms = harness_now_ms() + 60000;
    for (int i = 0; i < NODES; i++) {
        while (node_config_version(cluster, i) < 3 && harness_now_ms() < until_ms)
            g_usleep(20000);
        g_assert_cmpint(node_config_version(cluster, i), ==, 3);
    }
    cluster_stop(cluster);
}

static void tests_add(void) {
    g_test_add_func("/partitions/both-sides-ask", test_both_sides_ask);
    g_test_add_func("/partitions/keys-on-both-sides", test_keys_on_both_sides);
    g_test_add_func("/partitions/configuration-after-healing", test_configuration_after_healing);
}

PROCESS_TEST_MAIN(tests_add)
