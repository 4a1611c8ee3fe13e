/* Most new connections go to one node, and clients open more of them, by turns with times in which
 * all nodes get their part. */
#include "soak.h"

#include <stdio.h>
#include <string.h>

#define CLIENTS 24
/* Connections a second, of all clients. */
#define EVEN_PER_S 30
#define FLOOD_PER_S 45
#define LIMIT_PER_S 40
#define FIRST_MS 4000 /* until the first even time */
#define EVEN_MS 4000
#define FLOOD_MS 7000
/* From so long after the turn on, requests are compared with those before it. */
#define CONTACT_MS 3000
#define SERVED_RATIO 0.75
#define COUNTED_MIN 20

typedef struct flood_client_t {
    soak_t *soak;
    int number;
    GRand *rand;
} flood_client_t;

/* Node that gets most connections at a time; -1: all get their part. */
static int target_at(const soak_t *soak, int64_t since_ms) {
    int64_t time_ms = since_ms - FIRST_MS;
    int64_t period_ms = EVEN_MS + FLOOD_MS;
    if (time_ms < 0 || time_ms % period_ms < EVEN_MS) {
        return -1;
    }
    return (int)((soak->seed + (guint32)(time_ms / period_ms)) % (guint32)soak->nodes);
}

static gpointer client_run(gpointer data) {
    flood_client_t *client = data;
    soak_t *soak = client->soak;
    for (int i = 0; !g_atomic_int_get(&soak->poison_stop); i++) {
        int target = target_at(soak, harness_now_ms() - soak->flood_from_ms);
        int per_s = target < 0 ? EVEN_PER_S : FLOOD_PER_S;
        soak_request_t request = {
            .path = "/look/x",
            .node = target < 0 ? g_rand_int_range(client->rand, 0, soak->nodes) : target};
        g_snprintf(request.id, sizeof(request.id), SOAK_FLOOD_ID "%d-%d", client->number, i);
        soak_request_send(soak, &request, NULL, "Request-Deadline-Ms: 2000\r\n", "hello");
        int gap_ms = 1000 * CLIENTS / per_s;
        g_usleep((gulong)g_rand_int_range(client->rand, gap_ms / 2, 3 * gap_ms / 2) * 1000);
    }
    g_rand_free(client->rand);
    g_free(client);
    return NULL;
}

/* In half of the seeds the engines of these requests name a limit that all nodes together keep to,
 * but that exceeds the equal share of one. */
static void engines_limit(const soak_t *soak) {
    for (int i = 1; i <= ESTATE_LOCK_ENGINES; i++) {
        estate_command(soak->estate,
                       "{\"do\":\"engine-state\",\"engine\":\"lock-%d\",\"lines\":"
                       "\"Server-Limit: %d\\r\\n\"}",
                       i, LIMIT_PER_S);
    }
}

void soak_flood_start(soak_t *soak, GPtrArray *threads) {
    if (soak->seed / 2 % 2 == 1) {
        engines_limit(soak);
    }
    soak->flood_from_ms = harness_now_ms();
    for (int i = 0; i < CLIENTS; i++) {
        flood_client_t *client = g_new0(flood_client_t, 1);
        *client = (flood_client_t){soak, i, g_rand_new_with_seed(soak->seed + 3000 + (guint32)i)};
        g_ptr_array_add(threads, g_thread_new("flood", client_run, client));
    }
}

/* Whether a fault of engines began or ended in this time, so that its two parts can't be compared.
 */
static gboolean engines_changed(const soak_t *soak, int64_t from_ms, int64_t to_ms) {
    static const char *const own[] = {"kill",       "pause",         "planned-stop", "reload",
                                      "all-killed", "other-build",   "way-to-store", "way-to-node",
                                      "store",      "configuration", "foreign-rows", NULL};
    for (guint i = 0; i < soak->spans->len; i++) {
        const soak_span_t *span = &g_array_index(soak->spans, soak_span_t, i);
        int64_t ended_ms = span->to_ms - SOAK_DISTURBED_AFTER_MS;
        gboolean begins = span->from_ms >= from_ms && span->from_ms < to_ms;
        gboolean ends = ended_ms >= from_ms && ended_ms < to_ms;
        if ((begins || ends) && !g_strv_contains(own, span->name)) {
            return TRUE;
        }
    }
    return FALSE;
}

typedef struct served_t {
    int asked;
    int served;
} served_t;

/* Counts requests of a time that nodes in touch have read. @param node -1: of any node */
static served_t served_count(soak_t *soak, int node, int64_t from_ms, int64_t to_ms) {
    served_t count = {0, 0};
    for (guint i = 0; i < soak->requests->len; i++) {
        const soak_request_t *request = &g_array_index(soak->requests, soak_request_t, i);
        if (!g_str_has_prefix(request->id, SOAK_FLOOD_ID) || request->began_ms < from_ms ||
            request->began_ms >= to_ms || (node >= 0 && request->node != node) ||
            soak_is_out_of_touch(soak, request->node, request->began_ms - CONTACT_MS,
                                 request->ended_ms)) {
            continue;
        }
        count.asked++;
        count.served += request->status == 200 && request->complete;
    }
    return count;
}

void soak_flood_check(soak_t *soak) {
    int compared = 0;
    if (!soak->has_flood) {
        return;
    }
    int64_t even_ms = soak->flood_from_ms + FIRST_MS;
    for (; even_ms + EVEN_MS + FLOOD_MS < harness_now_ms(); even_ms += EVEN_MS + FLOOD_MS) {
        int64_t turn_ms = even_ms + EVEN_MS;
        int target = target_at(soak, turn_ms - soak->flood_from_ms);
        served_t before = served_count(soak, -1, even_ms, turn_ms);
        served_t after = served_count(soak, target, turn_ms + CONTACT_MS, turn_ms + FLOOD_MS);
        if (before.asked < COUNTED_MIN || after.asked < COUNTED_MIN ||
            engines_changed(soak, even_ms, turn_ms + FLOOD_MS)) {
            continue;
        }
        compared++;
        if (after.served * before.asked < SERVED_RATIO * before.served * after.asked) {
            soak_fail(soak,
                      "node %d got most connections and served %d of %d, all nodes %d of %d before "
                      "(%lld ms from the start)",
                      target, after.served, after.asked, before.served, before.asked,
                      (long long)(turn_ms - soak->began_ms));
        }
    }
    printf("  flood: %d times compared\n", compared);
}
