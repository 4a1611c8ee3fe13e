/* Requests that share a part of their prompt, which crashes each engine that runs them: no two are
 * alike, and sound ones share their other parts. */
#include "soak.h"

#include "harness/part_oracle.h"

#include <stdio.h>
#include <string.h>

#define ENGINES 6 /* besides the usual ones */
#define SOUND_CLIENTS 3
#define SOUND_GAP_MS 120
#define BAD_CLIENTS 2
#define BAD_GAP_MS 500
#define DEADLINE_MS 3000
/* How long sound requests are sent before the others. */
#define BEFORE_US 4000000
/* Late requests from all nodes together, those out of touch included. */
#define LATE_MAX_TOTAL 12
/* From so long after the fifth crash on, sound requests begin at least half as often as before. */
#define RECOVERED_MS (2 * PART_ORACLE_CONTACT_MS)
#define BEGUN_RATIO 0.5
#define COUNTED_MIN 20

typedef struct part_client_t {
    soak_t *soak;
    int number;
    gboolean is_bad;
    GRand *rand;
} part_client_t;

/* The parts, and where they stand in a prompt. Odd seeds have two of them. */
static const char *const bad_parts[] = {"bad1", "bad2"};

static int part_count(const soak_t *soak) {
    return 1 + (int)(soak->seed % 2);
}

static char *prompt_create(const part_client_t *client, int index) {
    static const char *const formats[] = {"aa:400,%s:100", "%s:400", "aa:400,d0:100,%s:80"};
    const soak_t *soak = client->soak;
    if (!client->is_bad) {
        return g_strdup_printf("aa:400,d%d:100,own%d-%d:50", g_rand_int_range(client->rand, 0, 4),
                               client->number, index);
    }
    const char *part = bad_parts[index % part_count(soak)];
    g_autofree char *first = g_strdup_printf(formats[soak->seed / 2 % 3], part);
    return g_strdup_printf("%s,own%d-%d:50", first, client->number, index);
}

char *soak_part_body(const char *id) {
    return g_strconcat("hello ", id, NULL);
}

static gpointer client_run(gpointer data) {
    part_client_t *client = data;
    soak_t *soak = client->soak;
    for (int i = 0; !g_atomic_int_get(&soak->poison_stop); i++) {
        soak_request_t request = {.node = g_rand_int_range(client->rand, 0, soak->nodes)};
        request.path = g_rand_int_range(client->rand, 0, 2) == 0 ? "/chat/x" : "/note/x";
        g_snprintf(request.id, sizeof(request.id), "%s%d-%d",
                   client->is_bad ? SOAK_BAD_PART_ID : SOAK_SOUND_PART_ID, client->number, i);
        g_autofree char *prompt = prompt_create(client, i);
        g_autofree char *headers =
            g_strdup_printf("Request-Deadline-Ms: %d\r\nModel: m0\r\nToken-Usage: 550,20\r\n"
                            "Prompt-Prefix: %s\r\n",
                            DEADLINE_MS, prompt);
        g_autofree char *body = soak_part_body(request.id);
        soak_request_send(soak, &request, NULL, headers, body);
        int gap_ms = client->is_bad ? BAD_GAP_MS : SOUND_GAP_MS;
        g_usleep((gulong)g_rand_int_range(client->rand, 0, 2 * gap_ms) * 1000);
    }
    g_rand_free(client->rand);
    g_free(client);
    return NULL;
}

static void clients_start(soak_t *soak, gboolean is_bad, int count, GPtrArray *threads) {
    for (int i = 0; i < count; i++) {
        part_client_t *client = g_new0(part_client_t, 1);
        *client = (part_client_t){
            soak, i, is_bad, g_rand_new_with_seed(soak->seed + 2000 + (guint32)(2 * i + is_bad))};
        g_ptr_array_add(threads, g_thread_new("part", client_run, client));
    }
}

void soak_parts_start(soak_t *soak, GPtrArray *threads) {
    const char *version = soak->has_versions ? "\"version\":\"v1\"," : "";
    for (int i = 1; i <= ENGINES; i++) {
        estate_command(
            soak->estate,
            "{\"do\":\"engine-start\",\"engine\":\"part-%d\",\"options\":{\"service\":\"llm\","
            "\"zone\":\"zone-%d\",\"streams\":1,\"models\":[\"m0\"],\"slots\":16,"
            "\"event_ms\":20,\"back_ms\":2000,\"load_ms\":200,\"keep_models\":1,"
            "%s\"weights_mb\":2100}}",
            i, i % 2 + 1, version);
    }
    clients_start(soak, FALSE, SOUND_CLIENTS, threads);
    g_usleep(BEFORE_US);
    soak->parts_from_ms = harness_now_ms();
    clients_start(soak, TRUE, BAD_CLIENTS, threads);
}

static const soak_request_t *request_find(const soak_t *soak, const char *id) {
    for (guint i = 0; i < soak->requests->len; i++) {
        const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
        if (strcmp(request->id, id) == 0) {
            return request;
        }
    }
    return NULL;
}

static gboolean is_in_touch(const char *id, int64_t at_ms, void *context) {
    soak_t *soak = context;
    const soak_request_t *request = request_find(soak, id);
    return request != NULL &&
           !soak_is_disturbed(soak, request->node, at_ms - PART_ORACLE_CONTACT_MS, at_ms);
}

static void late_check(soak_t *soak, const json_t *seen, const char *part) {
    int late = part_oracle_late(seen, part, NULL, NULL);
    int in_touch = part_oracle_late(seen, part, is_in_touch, soak);
    printf(
        "  %s: %d engines crashed, %d runs later than %d ms after the fifth, %d of them in touch\n",
        part, part_oracle_crashes(seen, part), late, PART_ORACLE_CONTACT_MS, in_touch);
    if (in_touch > PART_ORACLE_LATE_MAX || late > LATE_MAX_TOTAL) {
        soak_fail(soak, "requests with %s, which crashes engines, reached %d more, %d in touch",
                  part, late, in_touch);
    }
}

typedef struct begun_t {
    int asked;
    int begun;
} begun_t;

/* Counts sound requests of a time at nodes in touch. */
static begun_t sound_count(soak_t *soak, int64_t from_ms, int64_t to_ms) {
    begun_t count = {0, 0};
    for (guint i = 0; i < soak->requests->len; i++) {
        const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
        if (g_str_has_prefix(request->id, SOAK_SOUND_PART_ID) && request->began_ms >= from_ms &&
            request->began_ms < to_ms &&
            !soak_is_out_of_touch(soak, request->node, request->began_ms, request->ended_ms)) {
            count.asked++;
            count.begun += request->status == 200;
        }
    }
    return count;
}

static void sound_check(soak_t *soak, const json_t *seen) {
    int64_t last_ms = 0;
    for (int i = 0; i < part_count(soak); i++) {
        last_ms = MAX(last_ms, part_oracle_from_ms(seen, bad_parts[i]));
    }
    begun_t before = sound_count(soak, 0, soak->parts_from_ms);
    begun_t after = sound_count(soak, last_ms + RECOVERED_MS, G_MAXINT64);
    int refused = 0;
    for (guint i = 0; i < soak->requests->len; i++) {
        const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
        refused += g_str_has_prefix(request->id, SOAK_SOUND_PART_ID) && request->refused_for_long;
    }
    printf(
        "  sound requests: %d of %d began before, %d of %d after; %d refused as crashing engines\n",
        before.begun, before.asked, after.begun, after.asked, refused);
    if (refused > 0) {
        soak_fail(soak, "%d sound requests were refused for parts that crash engines", refused);
    }
    if (before.asked >= COUNTED_MIN && after.asked >= COUNTED_MIN &&
        after.begun * before.asked < BEGUN_RATIO * before.begun * after.asked) {
        soak_fail(soak,
                  "sound requests beside those that crash engines: %d of %d began, %d of %d before",
                  after.begun, after.asked, before.begun, before.asked);
    }
}

void soak_parts_check(soak_t *soak, const json_t *seen) {
    if (!soak->has_parts) {
        return;
    }
    for (int i = 0; i < part_count(soak); i++) {
        late_check(soak, seen, bad_parts[i]);
    }
    sound_check(soak, seen);
}
