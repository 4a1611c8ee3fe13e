/* Non-repeatable requests run at most once, and the verdict "not-run" is never wrong. */
#include "integration.h"

#include <signal.h>
#include <string.h>

static const char lock_path[] = "/v1/services/seat-lock/hold";

static answer_t *hold(int port, const char *key, const char *body) {
    g_autofree char *header = key != NULL ? g_strconcat("Idempotency-Key: ", key, NULL) : NULL;
    const char *headers[] = {header, NULL};
    return call("POST", port, lock_path, headers, body, 60000);
}

/* The answer must agree with what the engines ran. */
static void answer_check(cluster_t *cluster, const answer_t *answer, const char *body) {
    int runs = run_count(cluster, body);
    g_assert_cmpint(runs, <=, 1);
    if (answer->status == 200)
        g_assert_cmpint(runs, ==, 1);
    else if (g_strcmp0(answer->verdict, "not-run") == 0)
        g_assert_cmpint(runs, ==, 0);
}

static void test_retry_with_key_at_another_node(void) {
    cluster_options_t options = {.nodes = 3, .engines = 0, .lock_engines = 2};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 0, 1);
    answer_t *first = hold(cluster->nodes[0].clients_port, "k1", "{\"seat\":1}");
    answer_t *second = hold(cluster->nodes[1].clients_port, "k1", "{\"seat\":1}");
    answer_t *other = hold(cluster->nodes[2].clients_port, "k1", "{\"seat\":2}");
    g_assert_cmpint(first->status, ==, 200);
    g_assert_cmpint(second->status, ==, 200);
    g_assert_cmpstr(first->body, ==, second->body);
    g_assert_cmpint(other->status, ==, 422);
    g_assert_cmpint(run_count(cluster, "{\"seat\":1}"), ==, 1);
    g_assert_cmpint(run_count(cluster, "{\"seat\":2}"), ==, 0);
    answer_free(first);
    answer_free(second);
    answer_free(other);
    first = call("GET", cluster->nodes[2].clients_port, "/v1/requests/k1?model=seat-lock", NULL,
                 NULL, 20000);
    g_assert_cmpint(first->status, ==, 200);
    answer_free(first);
    cluster_stop(cluster);
}

typedef struct hold_thread_t {
    int port;
    const char *key;
    const char *body;
} hold_thread_t;

static gpointer hold_thread_run(gpointer data) {
    const hold_thread_t *request = data;
    return hold(request->port, request->key, request->body);
}

/* A retry after the client's node was killed must return the first run's answer, not run again. */
static void test_node_killed_while_it_runs(void) {
    cluster_options_t options = {.nodes = 4, .lock_engines = 2, .engine_flags = "--call-ms=2500"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 0, 1);
    int owner = cell_owner(cluster, "seat-lock/0");
    for (int round = 0; round < 2; round++) {
        /* first a gateway, then the owner of the cell */
        int victim = round == 0 ? (owner + 1) % 4 : owner;
        g_autofree char *body = g_strdup_printf("{\"round\":%d}", round);
        g_autofree char *key = g_strdup_printf("round-%d", round);
        hold_thread_t request = {cluster->nodes[victim].clients_port, key, body};
        GThread *caller = g_thread_new("caller", hold_thread_run, &request);
        g_usleep(1000000);
        process_kill(&cluster->nodes[victim].process);
        answer_t *cut = g_thread_join(caller);
        g_assert_cmpint(cut->status, ==, 0);
        answer_t *retry = hold(cluster->nodes[(owner + 2) % 4].clients_port, key, body);
        answer_print(retry);
        g_assert_cmpint(retry->status, ==, 200);
        g_assert_cmpint(run_count(cluster, body), ==, 1);
        answer_free(cut);
        answer_free(retry);
        if (round == 0)
            node_start(cluster, victim);
    }
    cluster_stop(cluster);
}

/* A node that resumes after the client retried elsewhere must not run the request again. */
static void test_frozen_node_thaws(void) {
    cluster_options_t options = {.nodes = 4, .lock_engines = 2};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 0, 1);
    int owner = cell_owner(cluster, "seat-lock/0");
    int frozen = (owner + 1) % 4;
    process_signal(&cluster->nodes[frozen].process, SIGSTOP);
    hold_thread_t request = {cluster->nodes[frozen].clients_port, "kf", "{\"frozen\":1}"};
    GThread *caller = g_thread_new("caller", hold_thread_run, &request);
    g_usleep(300000);
    answer_t *retry = hold(cluster->nodes[(owner + 2) % 4].clients_port, "kf", "{\"frozen\":1}");
    answer_print(retry);
    g_assert_cmpint(retry->status, ==, 200);
    process_signal(&cluster->nodes[frozen].process, SIGCONT);
    answer_t *late = g_thread_join(caller);
    g_assert_cmpint(late->status, ==, 200);
    g_assert_cmpstr(late->body, ==, retry->body);
    g_assert_cmpint(run_count(cluster, "{\"frozen\":1}"), ==, 1);
    answer_free(retry);
    answer_free(late);
    cluster_stop(cluster);
}

/* Cuts the connection to the engine after every `step` bytes up to `last`. */
static void cut_at_bytes(const char *fault, int last, int step, gboolean keyed) {
    cluster_options_t options = {
        .nodes = 2, .lock_engines = 1, .proxied = TRUE, .engine_flags = "--call-ms=0"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 0, 1);
    answer_free(hold(cluster->nodes[0].clients_port, NULL, "{\"warm\":1}"));
    for (int bytes = 0; bytes <= last; bytes += step) {
        g_autofree char *body = g_strdup_printf("{\"cut\":%d}", bytes);
        g_autofree char *key = keyed ? g_strdup_printf("cut-%d", bytes) : NULL;
        engine_fault(cluster, 0, fault, 0, bytes, 1);
        answer_t *answer = hold(cluster->nodes[bytes % 2].clients_port, key, body);
        g_test_message("%s behind %d bytes: %ld %s", fault, bytes, answer->status,
                       answer->verdict != NULL ? answer->verdict : "none");
        g_assert_cmpint(answer->status, !=, 0);
        answer_check(cluster, answer, body);
        answer_free(answer);
        engine_fault(cluster, 0, "pass", 0, 0, 0);
    }
    cluster_stop(cluster);
}

static void test_cut_at_every_byte_of_the_request(void) {
    cut_at_bytes("cut_request", 340, 1, FALSE);
}

static void test_cut_at_every_byte_of_the_answer(void) {
    cut_at_bytes("cut_answer", 260, 1, TRUE);
}

/* If the engine dies before it responds, the verdict must be "may-have-run". */
static void test_engine_dies_before_answering(void) {
    cluster_options_t options = {.nodes = 2, .lock_engines = 2, .engine_flags = "--call-ms=3000"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 0, 1);
    hold_thread_t request = {cluster->nodes[0].clients_port, "kd", "{\"dies\":1}"};
    GThread *caller = g_thread_new("caller", hold_thread_run, &request);
    g_usleep(1000000);
    g_assert_cmpint(run_count(cluster, "{\"dies\":1}"), ==, 1);
    for (int i = 0; i < cluster->engine_count; i++)
        engine_kill(cluster, i);
    answer_t *answer = g_thread_join(caller);
    g_assert_cmpint(answer->status, ==, 502);
    g_assert_cmpstr(answer->verdict, ==, "may-have-run");
    answer_free(answer);
    cluster_add_engine(cluster, "seat-lock");
    answer = hold(cluster->nodes[1].clients_port, "kd", "{\"dies\":1}");
    g_assert_cmpstr(answer->verdict, ==, "may-have-run");
    g_assert_cmpint(run_count(cluster, "{\"dies\":1}"), ==, 1);
    answer_free(answer);
    cluster_stop(cluster);
}

/* Keys must stay effective while the table service is unavailable: the nodes hold the claims. */
static void test_once_without_the_table_service(void) {
    cluster_options_t options = {.nodes = 4, .lock_engines = 2};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 0, 1);
    answer_free(hold(cluster->nodes[0].clients_port, NULL, "{\"warm\":1}"));
    platform_faults(cluster, "{\"table\":\"hang\",\"objects\":\"hang\",\"machines\":\"hang\"}");
    int owner = cell_owner(cluster, "seat-lock/0");
    answer_t *first = hold(cluster->nodes[(owner + 1) % 4].clients_port, "ka", "{\"away\":1}");
    g_assert_cmpint(first->status, ==, 200);
    process_kill(&cluster->nodes[owner].process);
    answer_t *retry = hold(cluster->nodes[(owner + 2) % 4].clients_port, "ka", "{\"away\":1}");
    answer_print(retry);
    g_assert_cmpint(retry->status, ==, 200);
    g_assert_cmpstr(first->body, ==, retry->body);
    g_assert_cmpint(run_count(cluster, "{\"away\":1}"), ==, 1);
    answer_free(first);
    answer_free(retry);
    cluster_stop(cluster);
}

/* A retry after the engine has discarded its record of the first run must not be treated as the
 * first attempt. */
static void test_retry_after_the_engine_forgot(void) {
    cluster_options_t options = {.nodes = 4,
                                 .lock_engines = 2,
                                 .engine_flags = "--call-ms=1500 --stream-retention-ms=1000",
                                 .node_flags = "--stream-memory-ms=1000"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 0, 1);
    int owner = cell_owner(cluster, "seat-lock/0");
    int victim = (owner + 1) % 4;
    hold_thread_t request = {cluster->nodes[victim].clients_port, "old", "{\"old\":1}"};
    GThread *caller = g_thread_new("caller", hold_thread_run, &request);
    g_usleep(800000);
    process_kill(&cluster->nodes[victim].process); /* before it forwards the answer */
    answer_free(g_thread_join(caller));
    g_usleep(5000000);
    answer_t *retry = hold(cluster->nodes[(owner + 2) % 4].clients_port, "old", "{\"old\":1}");
    answer_print(retry);
    g_assert_cmpint(run_count(cluster, "{\"old\":1}"), ==, 1);
    g_assert_cmpint(retry->status, !=, 200);
    g_assert_cmpstr(retry->verdict, ==, "may-have-run");
    answer_free(retry);
    cluster_stop(cluster);
}

static void tests_add(void) {
    g_test_add_func("/once/retry-with-key-at-another-node", test_retry_with_key_at_another_node);
    g_test_add_func("/once/node-killed-while-it-runs", test_node_killed_while_it_runs);
    g_test_add_func("/once/frozen-node-thaws", test_frozen_node_thaws);
    g_test_add_func("/once/cut-at-every-byte-of-the-request",
                    test_cut_at_every_byte_of_the_request);
    g_test_add_func("/once/cut-at-every-byte-of-the-answer", test_cut_at_every_byte_of_the_answer);
    g_test_add_func("/once/engine-dies-before-answering", test_engine_dies_before_answering);
    g_test_add_func("/once/retry-after-the-engine-forgot", test_retry_after_the_engine_forgot);
    g_test_add_func("/once/without-the-table-service", test_once_without_the_table_service);
}

PROCESS_TEST_MAIN(tests_add)
