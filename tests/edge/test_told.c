/* What engines tell of themselves in answers binds the nodes: limits, leaving, rest. */
#include "edge.h"

#include "harness/limit_oracle.h"

#include <stdlib.h>
#include <string.h>

/* As the users' deployments have it: the time after which a node that nothing disturbs must go by
 * what it was told. */
#define CONTACT_MS 3000
#define DRAIN_MS 2000
#define REST_MS 3000
/* From when on a request counts that comes in spite of a wish for rest. */
#define REST_FROM_MS 500
#define CALLERS_A_NODE 3
#define CALLER_PACE_US 20000
/* By then a node that has started takes its part of what all nodes share. */
#define SHARES_MS 6000

/* An answer as a caller got it. */
typedef struct seen_answer_t {
    char id[32];
    char engine[32]; /* "": no engine's answer */
    int node;
    gboolean limited;
    gboolean leaving;
    int64_t sent_ms;
    int64_t answered_ms;
} seen_answer_t;

/* Callers of the lock service, some at each node, one request after the other. */
typedef struct callers_t {
    const estate_t *estate;
    GMutex lock;
    GArray *answers; /* of seen_answer_t */
    GPtrArray *threads;
    gint numbers;
    gint stop;
} callers_t;

typedef struct caller_t {
    callers_t *callers;
    int node;
} caller_t;

/* Which engine ran a request: the stand-in's body ends with "at ENGINE". */
static void engine_read(const wire_answer_t *answer, char *engine, gsize size) {
    const char *at = answer->body != NULL ? strstr(answer->body->str, " at ") : NULL;
    g_strlcpy(engine, at != NULL ? at + strlen(" at ") : "", size);
}

static gpointer caller_run(gpointer data) {
    g_autofree caller_t *caller = data;
    callers_t *callers = caller->callers;
    while (!g_atomic_int_get(&callers->stop)) {
        seen_answer_t seen = {.node = caller->node, .sent_ms = harness_now_ms()};
        g_snprintf(seen.id, sizeof(seen.id), "n%d-%d", caller->node,
                   g_atomic_int_add(&callers->numbers, 1));
        wire_answer_t *answer = wire_ask(callers->estate->nodes[caller->node].callers_port,
                                         "/lock/x", seen.id, EDGE_DEADLINE);
        seen.answered_ms = harness_now_ms();
        seen.limited = strstr(answer->head->str, "Server-Limit") != NULL;
        seen.leaving = strstr(answer->head->str, "Server-Leaving: 1") != NULL;
        engine_read(answer, seen.engine, sizeof(seen.engine));
        wire_answer_free(answer);
        g_mutex_lock(&callers->lock);
        g_array_append_val(callers->answers, seen);
        g_mutex_unlock(&callers->lock);
        g_usleep(CALLER_PACE_US);
    }
    return NULL;
}

static callers_t *callers_start(const estate_t *estate) {
    callers_t *callers = g_new0(callers_t, 1);
    callers->estate = estate;
    g_mutex_init(&callers->lock);
    callers->answers = g_array_new(FALSE, FALSE, sizeof(seen_answer_t));
    callers->threads = g_ptr_array_new();
    for (int i = 0; i < estate->node_count * CALLERS_A_NODE; i++) {
        caller_t *caller = g_new0(caller_t, 1);
        *caller = (caller_t){callers, i / CALLERS_A_NODE};
        g_ptr_array_add(callers->threads, g_thread_new("caller", caller_run, caller));
    }
    return callers;
}

static void callers_join(callers_t *callers) {
    g_atomic_int_set(&callers->stop, 1);
    for (guint i = 0; i < callers->threads->len; i++) {
        g_thread_join(g_ptr_array_index(callers->threads, i));
    }
    g_ptr_array_set_size(callers->threads, 0);
}

static void callers_free(callers_t *callers) {
    g_ptr_array_unref(callers->threads);
    g_array_unref(callers->answers);
    g_mutex_clear(&callers->lock);
    g_free(callers);
}

static void state_lines(const estate_t *estate, const char *engine, const char *lines) {
    estate_do(estate, "{\"do\":\"engine-state\",\"engine\":\"%s\",\"lines\":\"%s\"}", engine,
              lines);
}

static void rest_ask(const estate_t *estate, const char *engine, const char *retry_after) {
    estate_do(estate, "{\"do\":\"engine-rest\",\"engine\":\"%s\",\"retry_after\":\"%s\"}", engine,
              retry_after);
}

/* Calls a function for each request that came to an engine. Its id tells the node: "nNODE-NUMBER".
 */
static void arrivals_each(const estate_t *estate, const char *engine,
                          void (*visit)(const char *id, int node, int64_t at_ms, void *context),
                          void *context) {
    json_t *seen = estate_seen(estate);
    size_t i;
    json_t *arrival;
    json_array_foreach(json_object_get(seen, "arrivals"), i, arrival) {
        const char *id = json_string_value(json_object_get(arrival, "id"));
        const char *at = json_string_value(json_object_get(arrival, "engine"));
        if (*id == 'n' && strcmp(at, engine) == 0) {
            visit(id, atoi(id + 1), json_integer_value(json_object_get(arrival, "at_ms")), context);
        }
    }
    json_decref(seen);
}

static void arrival_take(const char *id, int node, int64_t at_ms, void *context) {
    (void)id;
    limit_oracle_arrival(context, node, at_ms);
}

static void arrival_count(const char *id, int node, int64_t at_ms, void *context) {
    (void)id;
    (void)node;
    (void)at_ms;
    (*(unsigned *)context)++;
}

static unsigned arrivals_count(const estate_t *estate, const char *engine) {
    unsigned count = 0;
    arrivals_each(estate, engine, arrival_count, &count);
    return count;
}

/* Checks an engine that has named a limit; @return how much it got in its fullest window */
static unsigned limit_check(const callers_t *callers, const char *engine, double per_s,
                            int64_t limit_reported_ms) {
    limit_oracle_t *oracle = limit_oracle_create(per_s, CONTACT_MS);
    limit_oracle_named(oracle, limit_reported_ms);
    for (guint i = 0; i < callers->answers->len; i++) {
        const seen_answer_t *seen = &g_array_index(callers->answers, seen_answer_t, i);
        if (seen->limited && strcmp(seen->engine, engine) == 0) {
            limit_oracle_passed_on(oracle, seen->node, seen->answered_ms);
        }
    }
    arrivals_each(callers->estate, engine, arrival_take, oracle);
    limit_worst_t worst = limit_oracle_worst(oracle);
    g_test_message("%s: %u in 4 s, %.1f allowed", engine, worst.arrivals, worst.allowed);
    g_assert_cmpfloat(worst.arrivals, <=, worst.allowed);
    limit_oracle_free(oracle);
    return worst.arrivals;
}

static void limits_play(const char *lines, double per_s) {
    estate_t *estate = estate_start(3, NULL);
    g_usleep(SHARES_MS * 1000);
    callers_t *callers = callers_start(estate);
    g_usleep(500000);
    int64_t limit_reported_ms = harness_now_ms();
    state_lines(estate, "lock-1", lines);
    state_lines(estate, "lock-2", lines);
    g_usleep(13000000);
    callers_join(callers);
    unsigned arrivals = limit_check(callers, "lock-1", per_s, limit_reported_ms) +
                        limit_check(callers, "lock-2", per_s, limit_reported_ms);
    /* What an engine takes is there to be used. */
    g_assert_cmpfloat(arrivals, >=, per_s * 4);
    callers_free(callers);
    estate_stop(estate);
}

/* Guards against engines in need that get more than they named: 12 requests in 4 s for one a second
 * from the machines that they had told. */
static void test_limit_is_kept(void) {
    limits_play("Server-Limit: 1\\r\\n", 1);
}

static void test_limit_of_a_fraction(void) {
    limits_play("Server-Limit: 0.4\\r\\n", 0.4);
}

static void test_limit_of_many(void) {
    limits_play("Server-Limit: 12\\r\\n", 12);
}

/* An engine that takes nothing gets next to nothing, and is found to take requests again. */
static void test_limit_of_none_ends(void) {
    limits_play("Server-Limit: 0\\r\\n", 0);
}

/* All nodes use an engine again whose limit has ended, also those that had no part of it and so
 * heard nothing from it. */
static void test_limit_ends(void) {
    estate_t *estate = estate_start(3, NULL);
    estate_do(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-2\"}");
    g_usleep(SHARES_MS * 1000);
    callers_t *callers = callers_start(estate);
    state_lines(estate, "lock-1", "Server-Limit: 0.4\\r\\n");
    g_usleep(5000000);
    state_lines(estate, "lock-1", "");
    g_usleep(15000000);
    callers_join(callers);
    callers_free(callers);
    for (int i = 0; i < 30; i++) {
        g_autofree char *id = g_strdup_printf("after-%d", i);
        wire_answer_t *answer =
            wire_ask(estate->nodes[i % 3].callers_port, "/lock/x", id, EDGE_DEADLINE);
        g_assert_cmpint(answer->status, ==, 200);
        wire_answer_free(answer);
    }
    estate_stop(estate);
}

/* Bytes that the engine didn't make end no limit: here an answer without a seal, or a name. */
static void test_unsealed_answer_ends_no_limit(void) {
    estate_t *estate = estate_start(1, NULL);
    int port = estate->nodes[0].callers_port;
    estate_do(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-2\"}");
    g_usleep(5000000);
    state_lines(estate, "lock-1", "Server-Limit: 1\\r\\n");
    wire_answer_free(wire_ask(port, "/lock/x", "u1", EDGE_DEADLINE));
    state_lines(estate, "lock-1", "");
    g_usleep(50000);
    estate_do(estate, "{\"do\":\"engine-fault\",\"engine\":\"lock-1\",\"fault\":\"unsealed\","
                      "\"count\":1}");
    wire_answer_free(wire_ask(port, "/lock/x", "u2", EDGE_DEADLINE));
    g_usleep(300000); /* logs are written ten times a second */
    g_assert_true(estate_log_has(estate, 0, "\"event\":\"engine-limited\""));
    g_assert_false(estate_log_has(estate, 0, "\"event\":\"engine-limit-ended\""));
    wire_answer_free(wire_ask(port, "/lock/x", "u3", EDGE_DEADLINE));
    g_usleep(300000);
    g_assert_true(estate_log_has(estate, 0, "\"event\":\"engine-limit-ended\""));
    estate_stop(estate);
}

/* What is known of requests to an engine that leaves. */
typedef struct leaving_look_t {
    const callers_t *callers;
    int64_t told_ms[ESTATE_NODES]; /* when each node first passed its word on; 0: it hasn't */
    unsigned late;
} leaving_look_t;

static void late_count(const char *id, int node, int64_t at_ms, void *context) {
    (void)at_ms;
    leaving_look_t *look = context;
    for (guint i = 0; i < look->callers->answers->len; i++) {
        const seen_answer_t *seen = &g_array_index(look->callers->answers, seen_answer_t, i);
        if (strcmp(seen->id, id) == 0 && look->told_ms[node] != 0 &&
            seen->sent_ms > look->told_ms[node] + DRAIN_MS) {
            look->late++;
        }
    }
}

static void leaving_check(const callers_t *callers, const char *engine) {
    leaving_look_t look = {.callers = callers};
    for (guint i = 0; i < callers->answers->len; i++) {
        const seen_answer_t *seen = &g_array_index(callers->answers, seen_answer_t, i);
        int64_t *told_ms = &look.told_ms[seen->node];
        if (seen->leaving && (*told_ms == 0 || seen->answered_ms < *told_ms)) {
            *told_ms = seen->answered_ms;
        }
    }
    g_assert_true(look.told_ms[0] != 0 || look.told_ms[1] != 0);
    arrivals_each(callers->estate, engine, late_count, &look);
    g_test_message("%u requests later than %d ms after the node had passed the word on", look.late,
                   DRAIN_MS);
    g_assert_cmpuint(look.late, ==, 0);
}

/* Guards against requests that reach an engine 2.4 and 3.8 s after its answer had told the node
 * that it leaves, while its row, which the store takes no news of, says that it is ready. */
static void test_leaving_is_kept(void) {
    estate_t *estate = estate_start(2, "--drain-ms=2000");
    callers_t *callers = callers_start(estate);
    g_usleep(500000);
    state_lines(estate, "lock-1", "Server-Leaving: 1\\r\\n");
    g_usleep(5000000);
    callers_join(callers);
    leaving_check(callers, "lock-1");
    callers_free(callers);
    estate_stop(estate);
}

/* The same when the engine's row lapses, is forgotten, and comes back: ready, and not started anew.
 */
static void test_leaving_outlives_the_row(void) {
    estate_t *estate = estate_start(2, "--drain-ms=2000");
    callers_t *callers = callers_start(estate);
    g_usleep(500000);
    state_lines(estate, "lock-1", "Server-Leaving: 1\\r\\n");
    g_usleep(1000000);
    estate_do(estate, "{\"do\":\"engine-option\",\"engine\":\"lock-1\",\"name\":\"quiet\","
                      "\"value\":1}");
    estate_do(estate, "{\"do\":\"put\",\"table\":\"servers\",\"key\":\"lock-1\"}");
    g_usleep(8000000);
    state_lines(estate, "lock-1", "");
    estate_do(estate, "{\"do\":\"engine-option\",\"engine\":\"lock-1\",\"name\":\"quiet\","
                      "\"value\":0}");
    g_usleep(2000000);
    callers_join(callers);
    leaving_check(callers, "lock-1");
    callers_free(callers);
    estate_stop(estate);
}

/* An engine that starts again under its id is another one: its earlier word is over. */
static void test_leaving_ends_with_a_start(void) {
    estate_t *estate = estate_start(1, "--drain-ms=2000");
    estate_do(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-2\"}");
    estate_do(estate, "{\"do\":\"engine-option\",\"engine\":\"lock-1\",\"name\":\"same_id\","
                      "\"value\":1}");
    g_usleep(1000000);
    state_lines(estate, "lock-1", "Server-Leaving: 1\\r\\n");
    wire_answer_t *answer = wire_ask(estate->nodes[0].callers_port, "/lock/x", "l1", EDGE_DEADLINE);
    g_assert_cmpint(answer->status, ==, 200);
    wire_answer_free(answer);
    estate_do(estate, "{\"do\":\"engine-crash\",\"engine\":\"lock-1\"}");
    g_usleep(3000000);
    answer = wire_ask(estate->nodes[0].callers_port, "/lock/x", "l2", EDGE_DEADLINE);
    g_assert_cmpint(answer->status, ==, 200);
    wire_answer_free(answer);
    estate_stop(estate);
}

/* A model whose only engine says that it leaves is loaded elsewhere at that word, not when its row
 * tells: it does so never here. */
static void test_leaving_moves_models(void) {
    estate_t *estate = estate_start(2, "--drain-ms=2000");
    state_lines(estate, "llm-2", "Server-Leaving: 1\\r\\n");
    wire_answer_t *answer =
        wire_ask(estate->nodes[0].callers_port, "/chat/x", "m1", EDGE_MODEL("m2"));
    g_assert_cmpint(answer->status, ==, 200);
    wire_answer_free(answer);
    g_usleep(2500000);
    for (int i = 0; i < 2; i++) {
        g_autofree char *id = g_strdup_printf("m2-%d", i);
        answer = wire_ask(estate->nodes[i].callers_port, "/chat/x", id, EDGE_MODEL("m2"));
        g_assert_cmpint(answer->status, ==, 200);
        wire_answer_free(answer);
    }
    g_assert_cmpint(estate_orders(estate, "model_load", "m2"), >=, 1);
    estate_stop(estate);
}

/* A limited engine still takes adapters of what it holds, which need no other replica. */
static void test_adapter_at_a_limited_engine(void) {
    estate_t *estate = estate_start(1, NULL);
    int port = estate->nodes[0].callers_port;
    state_lines(estate, "llm-2", "Server-Limit: 2\\r\\n");
    wire_answer_free(wire_ask(port, "/chat/x", "l1", EDGE_MODEL("m2")));
    g_usleep(5000000);
    wire_answer_t *answer = wire_ask(port, "/chat/x", "l2", EDGE_MODEL("m2/a1"));
    g_assert_cmpint(answer->status, ==, 200);
    wire_answer_free(answer);
    g_assert_cmpint(estate_orders(estate, "model_load", "m2"), ==, 1);
    estate_stop(estate);
}

/* What another engine tells that has taken over an address binds nobody to the one that was there.
 */
static void test_answer_of_another_engine(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_do(estate, "{\"do\":\"engine-option\",\"engine\":\"lock-1\",\"name\":\"quiet\","
                      "\"value\":1}");
    g_usleep(500000);
    /* Its row now names the address of lock-2, which turns away what is meant for lock-1. */
    estate_do(estate,
              "{\"do\":\"engine-option\",\"engine\":\"lock-1\",\"name\":\"announce_port\","
              "\"value\":%d}",
              estate->engine_ports[1]);
    estate_do(estate, "{\"do\":\"engine-option\",\"engine\":\"lock-1\",\"name\":\"quiet\","
                      "\"value\":0}");
    state_lines(estate, "lock-2", "Server-Leaving: 1\\r\\n");
    g_usleep(1000000);
    for (int i = 0; i < 20; i++) {
        g_autofree char *id = g_strdup_printf("w%d", i);
        wire_answer_free(wire_ask(estate->nodes[0].callers_port, "/lock/x", id, EDGE_DEADLINE));
    }
    g_assert_true(estate_log_has(estate, 0, "\"event\":\"engine-leaving\",\"engine\":\"lock-2\""));
    g_assert_false(estate_log_has(estate, 0, "\"event\":\"engine-leaving\",\"engine\":\"lock-1\""));
    estate_stop(estate);
}

static void log_wait(const estate_t *estate, int node, const char *text) {
    int64_t until_ms = harness_now_ms() + 5000;
    while (!estate_log_has(estate, node, text)) {
        g_assert_cmpint(harness_now_ms(), <, until_ms);
        g_usleep(20000);
    }
}

/* What one node has heard is known to all, also to one that starts later, and to those that report
 * to another controller than before. */
static void test_others_learn(void) {
    static const char limited[] =
        "\"event\":\"engine-state-news\",\"engine\":\"lock-1\",\"limited\":true";
    static const char leaving[] =
        "\"event\":\"engine-state-news\",\"engine\":\"lock-2\",\"limited\":false,\"per_s\":0,"
        "\"leaving\":true";
    estate_t *estate = estate_start(3, NULL);
    int controller = estate_wait_controller(estate, 5000);
    int asked = (controller + 1) % 3;
    int other = (controller + 2) % 3;
    state_lines(estate, "lock-1", "Server-Limit: 1\\r\\n");
    state_lines(estate, "lock-2", "Server-Leaving: 1\\r\\n");
    for (int i = 0; i < 10; i++) {
        g_autofree char *id = g_strdup_printf("o%d", i);
        wire_answer_free(wire_ask(estate->nodes[asked].callers_port, "/lock/x", id, EDGE_DEADLINE));
    }
    log_wait(estate, controller, limited);
    log_wait(estate, other, limited);
    log_wait(estate, other, leaving);
    /* No node tells what it was told, so nothing goes round. */
    g_assert_false(estate_log_has(estate, asked, "engine-state-news"));
    process_kill(&estate->nodes[controller].process);
    estate_node_launch(estate, controller);
    log_wait(estate, controller, limited);
    log_wait(estate, controller, leaving);
    estate_stop(estate);
}

/* Arrivals of one node within a wish for rest. */
typedef struct rest_look_t {
    int64_t asked_ms; /* when the engine first turned a request of the node away; 0: it hasn't */
    unsigned arrivals;
} rest_look_t;

static void rest_count(const char *id, int node, int64_t at_ms, void *context) {
    (void)id;
    rest_look_t *look = &((rest_look_t *)context)[node];
    if (look->asked_ms == 0) {
        look->asked_ms = at_ms;
    }
    look->arrivals +=
        at_ms > look->asked_ms + REST_FROM_MS && at_ms < look->asked_ms + REST_MS - 50;
}

/* Guards against an engine that turned a node's request away, asked for 3 s of rest, and got 3 and
 * 6 more from that node in this time: other requests, and the same one again. */
static void test_rest_is_kept(void) {
    estate_t *estate = estate_start(2, NULL);
    rest_ask(estate, "lock-1", "3");
    callers_t *callers = callers_start(estate);
    g_usleep(2800000);
    callers_join(callers);
    rest_look_t looks[ESTATE_NODES] = {0};
    arrivals_each(estate, "lock-1", rest_count, looks);
    for (int i = 0; i < 2; i++) {
        g_test_message("node %d: %u requests in the time of rest", i, looks[i].arrivals);
        g_assert_cmpuint(looks[i].arrivals, <=, 2);
    }
    /* The other engine serves meanwhile. */
    g_assert_cmpuint(arrivals_count(estate, "lock-2"), >, 50);
    callers_free(callers);
    estate_stop(estate);
}

/* Where there is no other engine: who can't be served in time is refused at once, with the time at
 * which the rest is over; and then requests are served. */
static void test_rest_of_the_only_engine(void) {
    estate_t *estate = estate_start(1, NULL);
    estate_do(estate, "{\"do\":\"engine-stop\",\"engine\":\"lock-2\"}");
    g_usleep(1000000);
    rest_ask(estate, "lock-1", "3");
    int port = estate->nodes[0].callers_port;
    wire_answer_free(wire_ask(port, "/lock/x", "n0-1", EDGE_DEADLINE));
    rest_ask(estate, "lock-1", "");
    g_usleep(600000);
    int64_t asked_ms = harness_now_ms();
    wire_answer_t *answer = wire_ask(port, "/lock/x", "n0-2", EDGE_DEADLINE);
    g_assert_cmpint(answer->status, ==, 503);
    g_assert_cmpint(harness_now_ms() - asked_ms, <, 300);
    const char *line = strstr(answer->head->str, "Retry-After: ");
    g_assert_nonnull(line);
    double after_s = g_ascii_strtod(line + strlen("Retry-After: "), NULL);
    g_assert_cmpfloat(after_s, >, 2.0);
    g_assert_cmpfloat(after_s, <, 2.7);
    wire_answer_free(answer);
    g_usleep((gulong)(after_s * 1000000));
    answer = wire_ask(port, "/lock/x", "n0-3", EDGE_DEADLINE);
    g_assert_cmpint(answer->status, ==, 200);
    wire_answer_free(answer);
    estate_stop(estate);
}

/* Values that can't be are counted and change nothing. */
static void test_absurd_values(void) {
    static const char *const lines[] = {"Server-Limit: -1\\r\\n",
                                        "Server-Limit:\\r\\n",
                                        "Server-Limit: nan\\r\\n",
                                        "Server-Limit: 1000000000000\\r\\n",
                                        "Server-Limit: 1\\r\\nServer-Limit: 0\\r\\n",
                                        "Server-Leaving: perhaps\\r\\n",
                                        "Server-Leaving: 1\\r\\nServer-Leaving: 1\\r\\n"};
    estate_t *estate = estate_start(1, NULL);
    for (gsize i = 0; i < G_N_ELEMENTS(lines); i++) {
        state_lines(estate, "lock-1", lines[i]);
        state_lines(estate, "lock-2", lines[i]);
        for (int j = 0; j < 6; j++) {
            g_autofree char *id = g_strdup_printf("a%zu-%d", i, j);
            wire_answer_t *answer =
                wire_ask(estate->nodes[0].callers_port, "/lock/x", id, EDGE_DEADLINE);
            g_assert_cmpint(answer->status, ==, 200);
            wire_answer_free(answer);
        }
    }
    g_assert_cmpfloat(estate_metric(estate, 0, "engine_figures_refused_total"), >=,
                      6 * G_N_ELEMENTS(lines));
    estate_stop(estate);
}

static void tests_add(void) {
    g_test_add_func("/edge/told/limit-is-kept", test_limit_is_kept);
    g_test_add_func("/edge/told/limit-of-a-fraction", test_limit_of_a_fraction);
    g_test_add_func("/edge/told/limit-of-many", test_limit_of_many);
    g_test_add_func("/edge/told/limit-of-none-ends", test_limit_of_none_ends);
    g_test_add_func("/edge/told/limit-ends", test_limit_ends);
    g_test_add_func("/edge/told/unsealed-answer-ends-no-limit", test_unsealed_answer_ends_no_limit);
    g_test_add_func("/edge/told/leaving-is-kept", test_leaving_is_kept);
    g_test_add_func("/edge/told/leaving-outlives-the-row", test_leaving_outlives_the_row);
    g_test_add_func("/edge/told/leaving-ends-with-a-start", test_leaving_ends_with_a_start);
    g_test_add_func("/edge/told/leaving-moves-models", test_leaving_moves_models);
    g_test_add_func("/edge/told/adapter-at-a-limited-engine", test_adapter_at_a_limited_engine);
    g_test_add_func("/edge/told/answer-of-another-engine", test_answer_of_another_engine);
    g_test_add_func("/edge/told/others-learn", test_others_learn);
    g_test_add_func("/edge/told/rest-is-kept", test_rest_is_kept);
    g_test_add_func("/edge/told/rest-of-the-only-engine", test_rest_of_the_only_engine);
    g_test_add_func("/edge/told/absurd-values", test_absurd_values);
}

PROCESS_TEST_MAIN(tests_add)
