/* An accepted configuration takes effect on all nodes within seconds and is never reverted. */
#include "integration.h"

#include <string.h>

static gboolean version_is_everywhere(cluster_t *cluster, void *context) {
    int64_t version = *(int64_t *)context;
    for (int i = 0; i < cluster->node_count; i++)
        if (cluster->nodes[i].process.pid != 0 && node_config_version(cluster, i) < version)
            return FALSE;
    return TRUE;
}

static answer_t *apply(cluster_t *cluster, int node, const char *owner, int share, int64_t base) {
    g_autofree char *body = g_strdup_printf(
        "{\"author\":\"test\",\"base_version\":%d,\"set\":{\"owner/%s\":{\"share\":%d}}}",
        (int)base, owner, share);
    return call("POST", cluster->nodes[node].operators_port, "/operators/v1/config", NULL, body,
                30000);
}

typedef struct concurrent_change_t {
    cluster_t *cluster;
    int node;
    int share;
    int64_t base;
    answer_t *answer;
} concurrent_change_t;

static gpointer concurrent_change_run(gpointer data) {
    concurrent_change_t *change = data;
    change->answer = apply(change->cluster, change->node, "north", change->share, change->base);
    return NULL;
}

/* Of concurrent changes based on the same version one is accepted, the others get 409. */
static void test_racing_operators(void) {
    cluster_options_t options = {.nodes = 4};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    for (int round = 0; round < 5; round++) {
        int64_t base = node_config_version(cluster, 0);
        g_assert_true(wait_until(version_is_everywhere, cluster, &base, 20000));
        concurrent_change_t changes[4];
        GThread *threads[4];
        for (int i = 0; i < 4; i++) {
            changes[i] = (concurrent_change_t){cluster, i, 10 * (round + 1) + i, base, NULL};
            threads[i] = g_thread_new("operator", concurrent_change_run, &changes[i]);
        }
        int won = 0, conflicts = 0;
        for (int i = 0; i < 4; i++) {
            g_thread_join(threads[i]);
            won += changes[i].answer->status == 200;
            conflicts += changes[i].answer->status == 409;
            answer_free(changes[i].answer);
        }
        g_assert_cmpint(won, ==, 1);
        g_assert_cmpint(conflicts, ==, 3);
        base++;
        g_assert_true(wait_until(version_is_everywhere, cluster, &base, 20000));
        g_assert_cmpint(node_config_version(cluster, 0), ==, base);
    }
    cluster_stop(cluster);
}

/* If the table service's response is lost, the operator must not get a wrong result. */
static void test_accepted_answer_lost(void) {
    cluster_options_t options = {.nodes = 2, .proxied = TRUE};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    for (int i = 1; i <= 4; i++) {
        int64_t before = node_config_version(cluster, 0);
        platform_proxy_fault(cluster, "drop_answer", 0, i);
        answer_t *answer = apply(cluster, 0, "north", 50 + i, 0);
        platform_proxy_fault(cluster, "pass", 0, 0);
        g_test_message("%d answers dropped: %ld %s", i, answer->status, answer->body);
        int64_t accepted = before + 1;
        if (answer->status == 200)
            g_assert_true(wait_until(version_is_everywhere, cluster, &accepted, 20000));
        else if (answer->status == 503) /* the change was not accepted */
            g_assert_cmpint(node_config_version(cluster, 0), ==, before);
        else
            g_assert_cmpint(answer->status, ==, 502);
        answer_free(answer);
        g_usleep(300000);
    }
    cluster_stop(cluster);
}

/* A node that starts while the platform is unavailable gets the configuration from its peers. */
static void test_nodes_replaced_while_the_platform_is_away(void) {
    cluster_options_t options = {.nodes = 4, .engines = 1};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    for (int i = 0; i < 3; i++)
        answer_free(apply(cluster, i, "north", 20 + i, 0));
    int64_t version = node_config_version(cluster, 2);
    g_assert_true(wait_until(version_is_everywhere, cluster, &version, 20000));
    platform_faults(cluster,
                    "{\"table\":\"refuse\",\"objects\":\"refuse\",\"machines\":\"refuse\"}");
    int owner = cell_owner(cluster, "assistant/0");
    for (int i = 0; i < 4; i++) {
        if (i == owner)
            continue;
        process_kill(&cluster->nodes[i].process);
        node_start(cluster, i);
        g_assert_true(wait_until(version_is_everywhere, cluster, &version, 30000));
    }
    answer_t *answer = apply(cluster, 0, "north", 99, 0);
    g_assert_cmpint(answer->status, ==, 503);
    answer_free(answer);
    platform_faults(cluster, "{}");
    answer = apply(cluster, 0, "north", 99, 0);
    answer_print(answer);
    g_assert_cmpint(answer->status, ==, 200);
    answer_free(answer);
    version++;
    g_assert_true(wait_until(version_is_everywhere, cluster, &version, 20000));
    cluster_stop(cluster);
}

/* A single node that can't read the current configuration refuses requests. */
static void test_lone_node_without_platform_refuses(void) {
    cluster_options_t options = {.nodes = 1, .engines = 1};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    platform_faults(cluster, "{\"table\":\"refuse\"}");
    process_kill(&cluster->nodes[0].process);
    node_start(cluster, 0);
    g_usleep(1500000);
    answer_t *answer = chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL);
    g_assert_cmpint(answer->status, ==, 503);
    g_assert_cmpstr(answer->verdict, ==, "not-run");
    answer_free(answer);
    platform_faults(cluster, "{}");
    wait_ready(cluster);
    answer = chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL);
    answer_print(answer);
    g_assert_true(answer_is_complete(answer, 4));
    answer_free(answer);
    cluster_stop(cluster);
}

/* No accepted change is lost if the object store is unavailable for more changes than fit between
 * two snapshots. */
static void test_object_store_away(void) {
    cluster_options_t options = {.nodes = 2};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    platform_faults(cluster, "{\"objects\":\"refuse\"}");
    for (int i = 0; i < 70; i++) {
        answer_t *answer = apply(cluster, i % 2, "north", 100 + i, 0);
        answer_print(answer);
        g_assert_cmpint(answer->status, ==, 200);
        answer_free(answer);
    }
    int64_t version = MAX(node_config_version(cluster, 0), node_config_version(cluster, 1));
    cluster_add_node(cluster);
    g_assert_true(wait_until(version_is_everywhere, cluster, &version, 20000));
    platform_faults(cluster, "{}");
    for (int i = 0; i < 40; i++) {
        answer_t *answer = apply(cluster, i % 2, "north", 200 + i, 0);
        answer_print(answer);
        g_assert_cmpint(answer->status, ==, 200);
        answer_free(answer);
    }
    version = MAX(node_config_version(cluster, 0), node_config_version(cluster, 1));
    g_assert_cmpint(version, ==, 111);
    for (int i = 0; i < 3; i++)
        process_kill(&cluster->nodes[i].process);
    /* All nodes are restarted, so only the platform has the current version. */
    node_start(cluster, 0);
    node_start(cluster, 1);
    g_assert_true(wait_until(version_is_everywhere, cluster, &version, 20000));
    cluster_stop(cluster);
}

static void tests_add(void) {
    g_test_add_func("/config/racing-operators", test_racing_operators);
    g_test_add_func("/config/accepted-answer-lost", test_accepted_answer_lost);
    g_test_add_func("/config/nodes-replaced-while-the-platform-is-away",
                    test_nodes_replaced_while_the_platform_is_away);
    g_test_add_func("/config/lone-node-without-platform-refuses",
                    test_lone_node_without_platform_refuses);
    g_test_add_func("/config/object-store-away", test_object_store_away);
}

PROCESS_TEST_MAIN(tests_add)
