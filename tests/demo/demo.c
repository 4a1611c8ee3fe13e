/* Demo: clients request an idle model through two nodes, one of which is killed while it responds.
 * Exits with 0 only if all clients get the complete answer and the model had a single replica. */
#include "../harness/harness.h"

#include <curl/curl.h>
#include <stdio.h>

#define CALLERS 12
#define TOKENS 120

typedef struct caller_t {
    cluster_t *cluster;
    int number;
    int node;
    gboolean whole;
    gboolean fetched; /* from another node, by idempotency key */
    double seconds;
} caller_t;

static answer_t *answer_fetch(const caller_t *caller, const char *key) {
    g_autofree char *path = g_strdup_printf("/v1/requests/%s?model=m1&stream=true", key);
    int other_node = (caller->node + 1) % 3;
    answer_t *answer = NULL;
    for (int i = 0; i < 10; i++) {
        answer =
            call("GET", caller->cluster->nodes[other_node].clients_port, path, NULL, NULL, 60000);
        if (answer->status == 200)
            break;
        answer_free(answer);
        answer = NULL;
        g_usleep(500000);
    }
    return answer;
}

static gpointer caller_run(gpointer data) {
    caller_t *caller = data;
    g_autofree char *key = g_strdup_printf("demo-%d", caller->number);
    g_autofree char *header = g_strconcat("Idempotency-Key: ", key, NULL);
    const char *headers[] = {header, NULL};
    int64_t started_ms = harness_now_ms();
    answer_t *answer = chat(caller->cluster->nodes[caller->node].clients_port, "m1", TOKENS,
                            ",\"stream\":true", headers);
    if (answer->status == 0) {
        answer_free(answer);
        answer = answer_fetch(caller, key);
        caller->fetched = TRUE;
    }
    caller->whole = answer != NULL && answer_is_complete(answer, TOKENS);
    caller->seconds = (double)(harness_now_ms() - started_ms) / 1000.0;
    if (answer != NULL)
        answer_free(answer);
    return NULL;
}

static int report(cluster_t *cluster, const caller_t *callers) {
    int whole = 0;
    for (int i = 0; i < CALLERS; i++) {
        printf("caller %2d at node %d: %s after %.2f s%s\n", i, callers[i].node,
               callers[i].whole ? "whole answer" : "NO WHOLE ANSWER", callers[i].seconds,
               callers[i].fetched ? ", fetched from another node by its key" : "");
        whole += callers[i].whole;
    }
    printf("%d of %d callers got their whole answer; the model was loaded %d time(s), at most %d "
           "replica(s) at once\n",
           whole, CALLERS, loads_started(cluster, "m1"), peak_replicas(cluster, "m1"));
    return whole == CALLERS && peak_replicas(cluster, "m1") == 1 ? 0 : 1;
}

int main(void) {
    curl_global_init(CURL_GLOBAL_ALL);
    cluster_options_t options = {
        .nodes = 3, .engines = 2, .engine_flags = "--token-interval-ms=20 --load-slowdown=4"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    printf("three nodes and two engines run; model m1 is idle\n");
    caller_t callers[CALLERS];
    GThread *threads[CALLERS];
    for (int i = 0; i < CALLERS; i++) {
        callers[i] = (caller_t){cluster, i, i % 2, FALSE, FALSE, 0.0};
        threads[i] = g_thread_new("caller", caller_run, &callers[i]);
    }
    printf("%d callers ask for it at nodes 0 and 1\n", CALLERS);
    g_usleep(2000000);
    printf("node 0 is killed while it answers\n");
    process_kill(&cluster->nodes[0].process);
    for (int i = 0; i < CALLERS; i++)
        g_thread_join(threads[i]);
    int result = report(cluster, callers);
    cluster_stop(cluster);
    return result;
}
