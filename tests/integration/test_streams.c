/* Each client gets the complete answer to its own request, or an explicit error. */
#include "integration.h"

#include <signal.h>
#include <string.h>

/* Streams resume after the connection to the engine is cut. */
static void test_cut_streams_are_resumed(void) {
    cluster_options_t options = {.nodes = 1, .engines = 1, .proxied = TRUE};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    answer_free(chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL));
    for (int bytes = 100; bytes < 4000; bytes += 487) {
        engine_fault(cluster, 0, "cut_answer", 0, bytes, 2);
        answer_t *answer = chat(cluster->nodes[0].clients_port, "m1", 40, ",\"stream\":true", NULL);
        answer_print(answer);
        g_assert_true(answer_is_complete(answer, 40));
        answer_free(answer);
    }
    cluster_stop(cluster);
}

/* Guards against half an answer without a length that reaches its client as a whole one: its end
 * looks like that of the connection of an engine that has crashed. */
static void test_cut_answers_without_length(void) {
    cluster_options_t options = {.nodes = 1, .engines = 1, .proxied = TRUE};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    answer_free(chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL));
    for (int bytes = 200; bytes < 700; bytes += 61) {
        engine_fault(cluster, 0, "cut_unframed", 0, bytes, 1);
        answer_t *answer = chat(cluster->nodes[0].clients_port, "m1", 40, NULL, NULL);
        answer_print(answer);
        g_assert_true(answer_is_complete(answer, 40));
        answer_free(answer);
    }
    cluster_stop(cluster);
}

/* If an engine dies during a stream, the answer continues from another engine without mixing
 * runs. */
static void test_engine_killed_in_mid_stream(void) {
    cluster_options_t options = {
        .nodes = 2, .engines = 2, .engine_flags = "--token-interval-ms=20"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 2);
    answer_t *first = chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL);
    answer_print(first);
    g_assert_true(answer_is_complete(first, 4));
    crowd_call_t calls[20];
    for (int i = 0; i < 20; i++)
        calls[i] = (crowd_call_t){cluster->nodes[i % 2].clients_port, "m1", 150,
                                  i % 4 != 0 ? ",\"stream\":true" : NULL};
    crowd_t *crowd = crowd_start(calls, 20);
    g_usleep(1000000);
    for (int i = 0; i < 2; i++)
        if (g_str_equal(cluster->engines[i].process.name, first->engine))
            engine_kill(cluster, i);
    crowd_join(crowd);
    g_assert_cmpint(crowd_complete(crowd, 150), ==, 20);
    answer_free(first);
    crowd_free(crowd);
    cluster_stop(cluster);
}

static gpointer engine_kill_delayed(gpointer data) {
    g_usleep(1500000);
    engine_kill(data, 0);
    return NULL;
}

/* A lost non-repeatable stream must end with an explicit error, not as if complete. */
static void test_lost_stream_ends_with_an_error(void) {
    cluster_options_t options = {
        .nodes = 1, .engines = 1, .engine_flags = "--token-interval-ms=20"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    answer_free(chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL));
    static const char *const headers[] = {"Wickbridge-Repeatable: no", NULL};
    GThread *killer = g_thread_new("killer", engine_kill_delayed, cluster);
    answer_t *answer = chat(cluster->nodes[0].clients_port, "m1", 400, ",\"stream\":true", headers);
    g_thread_join(killer);
    g_assert_cmpint(answer->status, ==, 0); /* the connection is closed after the error */
    g_assert_nonnull(strstr(answer->body, "\"verdict\":\"may-have-run\""));
    g_assert_null(strstr(answer->body, "[DONE]"));
    answer_free(answer);
    cluster_stop(cluster);
}

/* Answers must not be mixed up when a slow engine delays some of them. */
static void test_answers_out_of_order(void) {
    cluster_options_t options = {.nodes = 2, .engines = 2, .lock_engines = 2, .proxied = TRUE};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 2);
    engine_fault(cluster, 2, "delay", 150, 0, 0);
    for (int i = 0; i < 40; i++) {
        g_autofree char *body = g_strdup_printf("{\"mine\":%d}", i);
        g_autofree char *expected = g_strdup_printf("\"request\":{\"mine\":%d}", i);
        answer_t *answer = call("POST", cluster->nodes[i % 2].clients_port,
                                "/v1/services/seat-lock/hold", NULL, body, 30000);
        answer_print(answer);
        g_assert_cmpint(answer->status, ==, 200);
        g_assert_nonnull(strstr(answer->body, expected));
        answer_free(answer);
        g_assert_cmpint(run_count(cluster, body), ==, 1);
    }
    cluster_stop(cluster);
}

static gpointer process_kill_delayed(gpointer data) {
    g_usleep(1000000);
    process_kill(data);
    return NULL;
}

/* Returns a stream's body without the comment lines that engines insert each second as keepalives,
 * whose number depends on timing. Caller owns the result. */
static char *body_without_keepalives(const char *body) {
    GString *events = g_string_new(NULL);
    g_auto(GStrv) lines = g_strsplit(body, "\n", -1);
    for (int i = 0; lines[i] != NULL; i++) {
        if (strcmp(lines[i], ":") != 0) {
            g_string_append_printf(events, "%s%s", lines[i], lines[i + 1] != NULL ? "\n" : "");
        }
    }
    return g_string_free(events, FALSE);
}

/* If the client's node dies, the answer can be fetched by key from another node. */
static void test_answer_fetched_from_another_node(void) {
    cluster_options_t options = {
        .nodes = 4, .engines = 1, .engine_flags = "--token-interval-ms=20"};
    cluster_t *cluster = cluster_start(&options);
    declare_defaults(cluster, 1, 1);
    int owner = cell_owner(cluster, "assistant/0");
    int victim = (owner + 1) % 4;
    answer_free(chat(cluster->nodes[victim].clients_port, "m1", 4, NULL, NULL));
    static const char *const headers[] = {"Idempotency-Key: mine", NULL};
    GThread *killer = g_thread_new("killer", process_kill_delayed, &cluster->nodes[victim].process);
    answer_t *cut =
        chat(cluster->nodes[victim].clients_port, "m1", 100, ",\"stream\":true", headers);
    g_thread_join(killer);
    g_assert_cmpint(cut->status, ==, 0);
    answer_t *fetched = call("GET", cluster->nodes[(owner + 2) % 4].clients_port,
                             "/v1/requests/mine?model=m1&stream=true", NULL, NULL, 30000);
    answer_print(fetched);
    g_assert_true(answer_is_complete(fetched, 100));
    g_autofree char *before = body_without_keepalives(cut->body);
    g_autofree char *after = body_without_keepalives(fetched->body);
    g_assert_true(strncmp(after, before, strlen(before) / 2) == 0);
    answer_free(cut);
    answer_free(fetched);
    cluster_stop(cluster);
}

static void tests_add(void) {
    g_test_add_func("/streams/cut-streams-are-resumed", test_cut_streams_are_resumed);
    g_test_add_func("/streams/cut-answers-without-length", test_cut_answers_without_length);
    g_test_add_func("/streams/engine-killed-in-mid-stream", test_engine_killed_in_mid_stream);
    g_test_add_func("/streams/lost-stream-ends-with-an-error", test_lost_stream_ends_with_an_error);
    g_test_add_func("/streams/answers-out-of-order", test_answers_out_of_order);
    g_test_add_func("/streams/answer-fetched-from-another-node",
                    test_answer_fetched_from_another_node);
}

PROCESS_TEST_MAIN(tests_add)
