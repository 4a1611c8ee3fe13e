/* Repeated pairs of simultaneous failures under load. Checks only invariants: no wrong answer, no
 * key run twice, no excess replica, no memory overcommitted, and recovery at the end. */
#include "integration.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define NODES 5
#define ROUNDS 10
#define DEFAULT_SEED 20261202
#define CALLERS 6
#define MODELS 6

/* A kind of failure, with functions to cause and to end it. */
typedef struct failure_t {
    void (*begin)(cluster_t *cluster, int target);
    void (*end)(cluster_t *cluster, int target);
    const char *name;
} failure_t;

typedef struct caller_t {
    cluster_t *cluster;
    int number;
    gint *stop;
    int whole;
    int refused;
    int unknown;
    int cut; /* connections lost or timed out */
    int wrong;
} caller_t;

static void node_kill(cluster_t *cluster, int target) {
    process_kill(&cluster->nodes[target % NODES].process);
}

static void node_restart(cluster_t *cluster, int target) {
    node_start(cluster, target % NODES);
}

static void node_freeze(cluster_t *cluster, int target) {
    process_signal(&cluster->nodes[target % NODES].process, SIGSTOP);
}

static void node_resume(cluster_t *cluster, int target) {
    process_signal(&cluster->nodes[target % NODES].process, SIGCONT);
}

static void running_engine_kill(cluster_t *cluster, int target) {
    int engine = target % cluster->engine_count;
    if (cluster->engines[engine].process.pid != 0)
        engine_kill(cluster, engine);
}

static void engine_replace(cluster_t *cluster, int target) {
    cluster_add_engine(cluster, cluster->engines[target % cluster->engine_count].service);
}

static void engine_cut(cluster_t *cluster, int target) {
    engine_fault(cluster, target % cluster->engine_count, "cut", 0, 0, 0);
}

static void engine_drop(cluster_t *cluster, int target) {
    engine_fault(cluster, target % cluster->engine_count, "drop_answer", 0, 0, 5);
}

static void engine_heal(cluster_t *cluster, int target) {
    engine_fault(cluster, target % cluster->engine_count, "pass", 0, 0, 0);
}

static void platform_hang(cluster_t *cluster, int target) {
    (void)target;
    platform_faults(cluster, "{\"table\":\"hang\",\"machines\":\"hang\"}");
}

static void platform_heal(cluster_t *cluster, int target) {
    (void)target;
    platform_faults(cluster, "{}");
}

static void nodes_cut(cluster_t *cluster, int target) {
    partition_set(cluster, target % 2 + 1);
}

static void nodes_heal(cluster_t *cluster, int target) {
    (void)target;
    partition_set(cluster, 0);
}

static const failure_t failures[] = {
    {node_kill, node_restart, "node killed"},
    {node_freeze, node_resume, "node frozen"},
    {running_engine_kill, engine_replace, "engine killed"},
    {engine_cut, engine_heal, "engine cut off"},
    {engine_drop, engine_heal, "engine's answers lost"},
    {platform_hang, platform_heal, "platform silent"},
    {nodes_cut, nodes_heal, "nodes cut off"},
};

/* Sends a chat, which must be complete, refused with a reason, or cut off with its node. */
static void chat_once(caller_t *caller, int iteration) {
    g_autofree char *model = g_strdup_printf("m%d", (caller->number + iteration) % MODELS + 1);
    int port = caller->cluster->nodes[(caller->number * 3 + iteration) % NODES].clients_port;
    gboolean streamed = iteration % 2 == 0;
    g_autofree char *body = g_strdup_printf("{\"model\":\"%s\",\"max_tokens\":20,\"messages\":[{"
                                            "\"role\":\"user\",\"content\":\"Is there a "
                                            "seat?\"}]%s}",
                                            model, streamed ? ",\"stream\":true" : "");
    answer_t *answer = call("POST", port, "/v1/chat/completions", NULL, body, 8000);
    if (answer_is_complete(answer, 20))
        caller->whole++;
    else if (answer->status == 0)
        caller->cut++; /* the node was killed, or frozen beyond the client's timeout */
    else if (answer->status >= 500 && answer->verdict != NULL && answer->retry_after != NULL) {
        caller->refused += strcmp(answer->verdict, "not-run") == 0;
        caller->unknown += strcmp(answer->verdict, "not-run") != 0;
    } else {
        caller->wrong++;
        answer_print(answer);
    }
    answer_free(answer);
}

/* Sends a call with an idempotency key, retrying at other nodes until it succeeds. */
static void hold_once(caller_t *caller, int iteration) {
    g_autofree char *body =
        g_strdup_printf("{\"caller\":%d,\"turn\":%d}", caller->number, iteration);
    g_autofree char *header = g_strdup_printf("Idempotency-Key: c%d-%d", caller->number, iteration);
    const char *headers[] = {header, NULL};
    for (int try = 0; try < 4; try++) {
        int port = caller->cluster->nodes[(caller->number + iteration + try) % NODES].clients_port;
        answer_t *answer = call("POST", port, "/v1/services/seat-lock/hold", headers, body, 5000);
        gboolean answered = answer->status == 200;
        if (answered && strstr(answer->body, body) == NULL &&
            strstr(answer->body, "\"request\":{\"caller\":") == NULL) {
            caller->wrong++;
            answer_print(answer);
        }
        answer_free(answer);
        if (answered || g_atomic_int_get(caller->stop))
            return;
    }
}

static gpointer caller_run(gpointer data) {
    caller_t *caller = data;
    for (int iteration = 0; !g_atomic_int_get(caller->stop); iteration++) {
        chat_once(caller, iteration);
        hold_once(caller, iteration);
    }
    return NULL;
}

static void keys_check(cluster_t *cluster) {
    for (int i = 0; i < CALLERS; i++) {
        for (int iteration = 0; iteration < 400; iteration++) {
            g_autofree char *body = g_strdup_printf("{\"caller\":%d,\"turn\":%d}", i, iteration);
            int runs = run_count(cluster, body);
            if (runs > 1)
                g_error("%s ran %d times", body, runs);
        }
    }
}

static void test_two_failures_at_once(void) {
    cluster_options_t options = {.nodes = NODES,
                                 .engines = 4,
                                 .lock_engines = 2,
                                 .proxied = TRUE,
                                 .partitions = TRUE,
                                 .engine_flags = "--memory-mib=3200"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, MODELS, 2);
    const char *seed = g_getenv("WICKBRIDGE_STORM_SEED"); /* for manual runs */
    GRand *random = g_rand_new_with_seed(seed != NULL ? (guint32)atoi(seed) : DEFAULT_SEED);
    gint stop = 0;
    caller_t callers[CALLERS];
    GThread *threads[CALLERS];
    for (int i = 0; i < CALLERS; i++) {
        callers[i] = (caller_t){.cluster = cluster, .number = i, .stop = &stop};
        threads[i] = g_thread_new("caller", caller_run, &callers[i]);
    }
    for (int round = 0; round < ROUNDS; round++) {
        int chosen[2], target[2];
        for (int i = 0; i < 2; i++) {
            chosen[i] = g_rand_int_range(random, 0, G_N_ELEMENTS(failures));
            target[i] = g_rand_int_range(random, 0, 60);
        }
        if (chosen[1] == chosen[0])
            chosen[1] = (chosen[1] + 1) % (int)G_N_ELEMENTS(failures);
        g_test_message("round %d: %s and %s", round, failures[chosen[0]].name,
                       failures[chosen[1]].name);
        for (int i = 0; i < 2; i++)
            failures[chosen[i]].begin(cluster, target[i]);
        g_usleep(2000000);
        for (int i = 1; i >= 0; i--)
            failures[chosen[i]].end(cluster, target[i]);
        g_usleep(500000);
    }
    g_atomic_int_set(&stop, 1);
    for (int i = 0; i < CALLERS; i++) {
        g_thread_join(threads[i]);
        g_test_message("caller %d: %d whole, %d refused, %d unsure, %d cut, %d wrong", i,
                       callers[i].whole, callers[i].refused, callers[i].unknown, callers[i].cut,
                       callers[i].wrong);
        g_assert_cmpint(callers[i].wrong, ==, 0);
        g_assert_cmpint(callers[i].whole, >, 0);
    }
    keys_check(cluster);
    for (int i = 1; i <= MODELS; i++) {
        g_autofree char *model = g_strdup_printf("m%d", i);
        g_assert_cmpint(peak_replicas(cluster, model), <=, 2);
    }
    g_assert_cmpint(memory_attempts(cluster), ==, 0);
    /* the cluster recovers */
    wait_ready(cluster);
    answer_t *answer = NULL;
    for (int i = 0; i < 20 && (answer == NULL || answer->status != 200); i++) {
        g_clear_pointer(&answer, answer_free);
        g_usleep(1000000);
        answer = chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL);
    }
    answer_print(answer);
    g_assert_true(answer_is_complete(answer, 4));
    answer_free(answer);
    g_rand_free(random);
    cluster_stop(cluster);
}

static void tests_add(void) {
    g_test_add_func("/storm/two-failures-at-once", test_two_failures_at_once);
}

PROCESS_TEST_MAIN(tests_add)
