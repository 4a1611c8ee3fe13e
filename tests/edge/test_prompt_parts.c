/* Requests that share a part of their prompt, but are otherwise different, crash each engine that
 * runs them: they must be refused after a few crashes, and others with the same parts served. */
#include "edge.h"

#include "harness/part_oracle.h"

#include <string.h>

#define NODES 3
#define ENGINES 8 /* with the model */
/* Requests per second, to all nodes in turn. */
#define SOUND_PER_S 14
#define BAD_PER_S 4
#define BEFORE_MS 4000
#define PLAY_MS 15000
#define ANSWER_MS 4000
/* From so long after the fifth crash on, sound requests are served as before. */
#define RECOVERED_MS (2 * PART_ORACLE_CONTACT_MS)
#define SERVED_RATIO 0.5
/* Shares are compared only if so many requests were sent. */
#define COUNTED_MIN 20

typedef enum kind_t { KIND_SOUND, KIND_BAD } kind_t;

/* A request and its result. */
typedef struct sent_t {
    struct play_t *play;
    kind_t kind;
    int node;
    int number;
    int64_t at_ms;
    gboolean served;
    gboolean refused; /* 503 with a long Retry-After, as for a request that crashes engines */
} sent_t;

typedef struct play_t {
    estate_t *estate;
    const char *path;
    const char *sound_parts; /* of its prompt, each but the last; %d: one of a few */
    const char *bad_parts[2];
    GPtrArray *sent; /* of sent_t */
    GPtrArray *threads;
    int64_t began_ms;
} play_t;

static char *parts_text(const play_t *play, const sent_t *sent) {
    const char *bad = play->bad_parts[sent->number % 2] != NULL ? play->bad_parts[sent->number % 2]
                                                                : play->bad_parts[0];
    const char *parts = sent->kind == KIND_BAD ? bad : play->sound_parts;
    return g_strdup_printf("%s,own%d-%d:50", parts, sent->kind, sent->number);
}

static gpointer sent_run(gpointer data) {
    sent_t *sent = data;
    const play_t *play = sent->play;
    g_autofree char *parts = parts_text(play, sent);
    g_autofree char *id = g_strdup_printf("%c%d", sent->kind == KIND_BAD ? 'b' : 's', sent->number);
    g_autofree char *headers =
        g_strdup_printf("Model: m0\r\nPrompt-Prefix: %s\r\nRequest-Deadline-Ms: 3000\r\n", parts);
    wire_t *wire = wire_try_open(play->estate->nodes[sent->node].clients_port);
    if (wire == NULL) {
        return NULL; /* the node is down */
    }
    wire_post(wire, play->path, id, headers, id);
    wire_response_t *answer = wire_read(wire, ANSWER_MS);
    sent->served = answer->status == 200 && answer->whole;
    const char *after = strstr(answer->head->str, "Retry-After: ");
    sent->refused = answer->status == 503 && after != NULL &&
                    g_ascii_strtod(after + strlen("Retry-After: "), NULL) > 20;
    wire_response_free(answer);
    wire_close(wire);
    return NULL;
}

static void request_start(play_t *play, kind_t kind, int number) {
    sent_t *sent = g_new0(sent_t, 1);
    *sent = (sent_t){play, kind, number % play->estate->node_count, number, harness_now_ms()};
    g_ptr_array_add(play->sent, sent);
    g_ptr_array_add(play->threads, g_thread_new("request", sent_run, sent));
}

/* Sends both kinds at their rates. @param bad_per_s 0: none */
static void requests_send(play_t *play, int64_t for_ms, int bad_per_s) {
    int64_t from_ms = harness_now_ms();
    int sound = 0;
    int bad = 0;
    for (int64_t now_ms = from_ms; now_ms < from_ms + for_ms; now_ms = harness_now_ms()) {
        for (; sound * 1000 < (now_ms - from_ms) * SOUND_PER_S; sound++) {
            request_start(play, KIND_SOUND, (int)play->sent->len);
        }
        for (; bad * 1000 < (now_ms - from_ms) * bad_per_s; bad++) {
            request_start(play, KIND_BAD, (int)play->sent->len);
        }
        g_usleep(5000);
    }
}

static void engines_add(const estate_t *estate) {
    for (int i = 1; i <= 2; i++) {
        estate_command(estate, "{\"do\":\"engine-stop\",\"engine\":\"llm-%d\",\"announce\":true}",
                       i);
    }
    for (int i = 1; i <= ENGINES; i++) {
        estate_command(
            estate,
            "{\"do\":\"engine-start\",\"engine\":\"big-%d\",\"options\":{\"service\":"
            "\"llm\",\"zone\":\"zone-%d\",\"streams\":1,\"models\":[\"m0\"],\"slots\":16,"
            "\"work_ms\":60,\"event_ms\":20,\"back_ms\":2000,\"load_ms\":200,"
            "\"keep_models\":1,\"weights_mb\":2100}}",
            i, i % 2 + 1);
    }
}

static play_t *play_create(const char *path, const char *sound_parts, const char *flags) {
    play_t *play = g_new0(play_t, 1);
    play->estate = estate_start(NODES, flags);
    play->path = path;
    play->sound_parts = sound_parts;
    play->sent = g_ptr_array_new_with_free_func(g_free);
    play->threads = g_ptr_array_new();
    engines_add(play->estate);
    estate_wait_controller(play->estate, 8000);
    requests_send(play, BEFORE_MS, 0);
    play->began_ms = harness_now_ms();
    return play;
}

static void play_join(play_t *play) {
    for (guint i = 0; i < play->threads->len; i++) {
        g_thread_join(play->threads->pdata[i]);
    }
    g_ptr_array_set_size(play->threads, 0);
}

static void play_free(play_t *play) {
    estate_stop(play->estate);
    g_ptr_array_unref(play->sent);
    g_ptr_array_unref(play->threads);
    g_free(play);
}

/* Returns the served share of sound requests of a time. */
static double served_share(const play_t *play, int64_t from_ms, int64_t to_ms, int *count) {
    int served = 0;
    *count = 0;
    for (guint i = 0; i < play->sent->len; i++) {
        const sent_t *sent = play->sent->pdata[i];
        if (sent->kind == KIND_SOUND && sent->at_ms >= from_ms && sent->at_ms < to_ms) {
            ++*count;
            served += sent->served;
        }
    }
    return *count > 0 ? (double)served / *count : 0;
}

static int sound_refused(const play_t *play) {
    int refused = 0;
    for (guint i = 0; i < play->sent->len; i++) {
        const sent_t *sent = play->sent->pdata[i];
        refused += sent->kind == KIND_SOUND && sent->refused;
    }
    return refused;
}

/* Asserts that requests with the part were stopped, and sound ones served. */
static void assert_part_stopped(const play_t *play, const char *part) {
    json_t *seen = estate_records(play->estate);
    int crashes = part_oracle_crashes(seen, part);
    int late = part_oracle_late(seen, part, NULL, NULL);
    int64_t from_ms = part_oracle_from_ms(seen, part) + RECOVERED_MS;
    json_decref(seen);
    int before_count;
    int after_count;
    double before = served_share(play, 0, play->began_ms, &before_count);
    double after = served_share(play, from_ms, G_MAXINT64, &after_count);
    g_test_message("%s: %d engines crashed, %d late; sound served %.2f of %d before, %.2f of %d "
                   "after, %d refused",
                   part, crashes, late, before, before_count, after, after_count,
                   sound_refused(play));
    g_assert_cmpint(crashes, >=, PART_ORACLE_CRASHES - 2);
    g_assert_cmpint(late, <=, PART_ORACLE_LATE_MAX);
    if (after_count >= COUNTED_MIN) {
        g_assert_cmpfloat(after, >=, SERVED_RATIO * before);
    }
    g_assert_cmpint(sound_refused(play), ==, 0);
}

#define SOUND_PARTS "aa:400,ab:100"

/* The part stands between one that all requests have and the request's own. */
static void test_middle(void) {
    play_t *play = play_create("/note/x", SOUND_PARTS, NULL);
    play->bad_parts[0] = "aa:400,bad1:100";
    requests_send(play, PLAY_MS, BAD_PER_S);
    play_join(play);
    assert_part_stopped(play, "bad1");
    play_free(play);
}

/* The first of two; streams that are resumed, so each request may crash two engines. */
static void test_first(void) {
    play_t *play = play_create("/chat/x", SOUND_PARTS, NULL);
    play->bad_parts[0] = "bad2:400";
    requests_send(play, PLAY_MS, BAD_PER_S);
    play_join(play);
    assert_part_stopped(play, "bad2");
    play_free(play);
}

/* The last but one of four; all others are those of sound requests. */
static void test_last_but_one(void) {
    play_t *play = play_create("/chat/x", SOUND_PARTS, NULL);
    play->bad_parts[0] = "aa:400,ab:100,bad3:80";
    requests_send(play, PLAY_MS, BAD_PER_S);
    play_join(play);
    assert_part_stopped(play, "bad3");
    play_free(play);
}

static void test_two_at_once(void) {
    play_t *play = play_create("/note/x", SOUND_PARTS, NULL);
    play->bad_parts[0] = "aa:400,bad4:100";
    play->bad_parts[1] = "aa:400,ab:100,bad5:80";
    requests_send(play, PLAY_MS, 2 * BAD_PER_S);
    play_join(play);
    assert_part_stopped(play, "bad4");
    assert_part_stopped(play, "bad5");
    play_free(play);
}

/* All nodes are killed while such requests come: processes that start must know of the part. */
static void test_all_nodes_killed(void) {
    play_t *play = play_create("/note/x", SOUND_PARTS, NULL);
    play->bad_parts[0] = "aa:400,bad6:100";
    requests_send(play, 5000, BAD_PER_S);
    for (int node = 0; node < NODES; node++) {
        process_kill(&play->estate->nodes[node].process);
    }
    for (int node = 0; node < NODES; node++) {
        estate_node_launch(play->estate, node);
    }
    for (int node = 0; node < NODES; node++) {
        estate_wait_ready(play->estate, node);
    }
    requests_send(play, PLAY_MS, BAD_PER_S);
    play_join(play);
    assert_part_stopped(play, "bad6");
    play_free(play);
}

/* The node that collects what others see is killed. */
static void test_controller_killed(void) {
    play_t *play =
        play_create("/note/x", SOUND_PARTS, "--lease-quiet-ms=1000 --lease-duration-ms=800");
    int controller = estate_wait_controller(play->estate, 8000);
    play->bad_parts[0] = "aa:400,bad7:100";
    requests_send(play, 1000, BAD_PER_S);
    process_kill(&play->estate->nodes[controller].process);
    requests_send(play, 4000, BAD_PER_S);
    estate_node_launch(play->estate, controller);
    estate_wait_ready(play->estate, controller);
    requests_send(play, PLAY_MS, BAD_PER_S);
    play_join(play);
    assert_part_stopped(play, "bad7");
    play_free(play);
}

/* Engines crash one after the other, and four at once, while all requests share their parts: no
 * part is to blame. */
static void test_plain_crashes(void) {
    play_t *play = play_create("/note/x", SOUND_PARTS, NULL);
    for (int i = 0; i < 12; i++) {
        int at_once = i % 4 == 3 ? 4 : 1;
        for (int j = 0; j < at_once; j++) {
            estate_command(play->estate, "{\"do\":\"engine-crash\",\"engine\":\"big-%d\"}",
                           1 + (3 * i + j) % ENGINES);
        }
        requests_send(play, 700, 0);
    }
    play_join(play);
    int count;
    double served = served_share(play, play->began_ms, G_MAXINT64, &count);
    g_test_message("sound served %.2f of %d, %d refused", served, count, sound_refused(play));
    g_assert_cmpint(sound_refused(play), ==, 0);
    for (int node = 0; node < NODES; node++) {
        g_assert_cmpfloat(estate_metric(play->estate, node, "poison_part_refusals_total"), <=, 0);
    }
    play_free(play);
}

static void tests_add(void) {
    g_test_add_func("/edge/prompt-parts/middle", test_middle);
    g_test_add_func("/edge/prompt-parts/first", test_first);
    g_test_add_func("/edge/prompt-parts/last-but-one", test_last_but_one);
    g_test_add_func("/edge/prompt-parts/two-at-once", test_two_at_once);
    g_test_add_func("/edge/prompt-parts/all-nodes-killed", test_all_nodes_killed);
    g_test_add_func("/edge/prompt-parts/controller-killed", test_controller_killed);
    g_test_add_func("/edge/prompt-parts/plain-crashes", test_plain_crashes);
}

PROCESS_TEST_MAIN(tests_add)
