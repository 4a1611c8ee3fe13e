/* Nodes that are out of step: one is paused, or cut off from the other nodes, while engines of a
 * new software version join and streams begin there through other nodes. The streams break off, and
 * their clients take them up at that node as soon as it is back. Each event names the version that
 * wrote it: soak_stream_send() checks that no stream has events of two. */
#include "faults.h"

#include <stdio.h>
#include <string.h>

#define CLIENTS 12
#define TRIES 4
#define SERVICE "step"
#define OLD_ENGINES 2 /* that are there from the start */
#define ENGINES 3     /* that join in a round */
#define OLD_VERSION 1 /* versions of the rounds follow it */
/* Time after the node's going at which engines join, and that streams have to begin after it. */
#define JOIN_MAX_MS 300
#define BEGIN_MAX_MS 500
/* Clients come back so long after the node's return at most, and again after a try. */
#define RETURN_MAX_MS 1000
#define RETRY_MS 400
#define POLL_US 5000
#define EVENT_MS 20
/* Of so many streams that began some must go on at the node that was out of step. */
#define BEGUN_MIN 20

/* A time during which a node is out of step. */
typedef struct round_t {
    int number; /* from 1 */
    int node;
    gboolean is_away;    /* the node is still out of step */
    gboolean has_joined; /* the engines have */
} round_t;

struct soak_steps_t {
    GMutex lock; /* guards the members below */
    round_t round;
    soak_streams_t begun;
    soak_streams_t taken_up;
    int early; /* tries there before the node was back */
};

typedef struct step_client_t {
    soak_t *soak;
    int number;
    GRand *rand;
} step_client_t;

static round_t round_now(soak_t *soak) {
    g_mutex_lock(&soak->steps->lock);
    round_t round = soak->steps->round;
    g_mutex_unlock(&soak->steps->lock);
    return round;
}

static void round_begin(soak_t *soak, int node) {
    g_mutex_lock(&soak->steps->lock);
    soak->steps->round = (round_t){soak->steps->round.number + 1, node, TRUE, FALSE};
    g_mutex_unlock(&soak->steps->lock);
}

/* Another round may have begun. */
static void round_end(soak_t *soak, int node) {
    g_mutex_lock(&soak->steps->lock);
    if (soak->steps->round.node == node) {
        soak->steps->round.is_away = FALSE;
    }
    g_mutex_unlock(&soak->steps->lock);
}

static void step_pause_begin(soak_fault_t *fault, soak_t *soak) {
    soak_pause_begin(fault, soak);
    round_begin(soak, fault->node);
}

static void step_pause_end(soak_fault_t *fault, soak_t *soak) {
    soak_pause_end(fault, soak);
    round_end(soak, fault->node);
}

static void step_cut_begin(soak_fault_t *fault, soak_t *soak) {
    estate_isolate(soak->estate, fault->node, TRUE);
    round_begin(soak, fault->node);
}

static void step_cut_end(soak_fault_t *fault, soak_t *soak) {
    estate_isolate(soak->estate, fault->node, FALSE);
    round_end(soak, fault->node);
}

/* Cut off from the store as well. */
static void step_alone_begin(soak_fault_t *fault, soak_t *soak) {
    estate_store_fault(soak->estate, fault->node, "freeze", 0);
    step_cut_begin(fault, soak);
}

static void step_alone_end(soak_fault_t *fault, soak_t *soak) {
    estate_store_fault(soak->estate, fault->node, "pass", 0);
    step_cut_end(fault, soak);
}

/* Named as the faults of which they are a longer form: the node is excused as for those. */
const soak_fault_kind_t soak_step_faults[SOAK_STEP_FAULTS] = {
    {"pause", step_pause_begin, step_pause_end, 1000, 4000, TRUE},
    {"way-to-node", step_cut_begin, step_cut_end, 1000, 4000, FALSE},
    {"way-to-store", step_alone_begin, step_alone_end, 1000, 4000, TRUE},
};

static void engine_name(int round, int index, char name[32]) {
    g_snprintf(name, 32, "step-%d-%d", round, index);
}

/* Streams end after two events there, and only their clients can go on. */
static void engine_start(soak_t *soak, const char *name, int zone, int version) {
    estate_command(soak->estate,
                   "{\"do\":\"engine-start\",\"engine\":\"%s\",\"options\":{\"service\":\"" SERVICE
                   "\",\"zone\":\"zone-%d\",\"version\":\"v%d\",\"streams\":1,\"models\":[\"m0\"],"
                   "\"event_ms\":%d,\"load_ms\":200,\"weights_mb\":2100}}",
                   name, zone, version, EVENT_MS);
    estate_command(
        soak->estate,
        "{\"do\":\"engine-fault\",\"engine\":\"%s\",\"fault\":\"cut-start\",\"count\":100000}",
        name);
}

static void engines_join(soak_t *soak, int round) {
    for (int i = 0; i < ENGINES; i++) {
        char name[32];
        engine_name(round, i, name);
        engine_start(soak, name, 1 + i % 2, OLD_VERSION + round);
    }
}

static void engines_stop(soak_t *soak, int round, gboolean announce) {
    for (int i = 0; i < ENGINES; i++) {
        char name[32];
        engine_name(round, i, name);
        estate_command(soak->estate, "{\"do\":\"engine-stop\",\"engine\":\"%s\",\"announce\":%s}",
                       name, announce ? "true" : "false");
    }
}

static void round_wait(soak_t *soak, int number, gboolean until_back) {
    for (;;) {
        round_t round = round_now(soak);
        if (round.number > number || (until_back && !round.is_away) ||
            g_atomic_int_get(&soak->stop)) {
            return;
        }
        g_usleep(POLL_US);
    }
}

/* Lets engines join in each round, and stops those of the round before. In one round of three they
 * stop before the node is back, in another some time after it: the node then begins the next round
 * with one version only. */
static gpointer engines_run(gpointer data) {
    soak_t *soak = data;
    GRand *rand = g_rand_new_with_seed(soak->seed + 9000);
    int before = 0; /* round whose engines are there; 0: none */
    for (int number = 0; !g_atomic_int_get(&soak->stop);) {
        round_wait(soak, number, FALSE);
        round_t round = round_now(soak);
        if (round.number == number) {
            continue;
        }
        number = round.number;
        g_usleep((gulong)g_rand_int_range(rand, 0, JOIN_MAX_MS) * 1000);
        engines_join(soak, number);
        g_mutex_lock(&soak->steps->lock);
        soak->steps->round.has_joined = TRUE;
        g_mutex_unlock(&soak->steps->lock);
        if (before > 0) {
            engines_stop(soak, before, g_rand_boolean(rand));
        }
        before = number;
        int end = g_rand_int_range(rand, 0, 3);
        if (end == 0) {
            g_usleep((JOIN_MAX_MS + BEGIN_MAX_MS) * 1000);
        } else if (end == 1) {
            round_wait(soak, number, TRUE);
            g_usleep(2 * RETURN_MAX_MS * 1000);
        }
        if (end <= 1) {
            engines_stop(soak, number, g_rand_boolean(rand));
            before = 0;
        }
    }
    g_rand_free(rand);
    return NULL;
}

static void tries_send(step_client_t *client, const round_t *round, int stream_number) {
    soak_t *soak = client->soak;
    soak_stream_t stream = {{0}};
    for (int try = 0; try <= TRIES && !g_atomic_int_get(&soak->stop); try++) {
        char id[32];
        gboolean is_first = try == 0;
        int others = soak->nodes - 1;
        int node = is_first && others > 0
                       ? (round->node + 1 + g_rand_int_range(client->rand, 0, others)) % soak->nodes
                       : round->node;
        g_snprintf(id, sizeof(id), SOAK_REJOIN_ID "%d-%d-%d", client->number, stream_number, try);
        g_autofree char *body = soak_rejoin_body(id);
        round_t now = round_now(soak);
        gboolean was_away = now.is_away && now.node == node;
        int before = stream.last;
        gboolean whole = soak_stream_send(
            soak, &stream,
            &(soak_stream_try_t){
                .id = id, .path = SOAK_STEP_PATH, .node = node, .body = body, .uncounted = TRUE});
        gboolean went_on = stream.last > before;
        g_mutex_lock(&soak->steps->lock);
        soak_streams_t *streams = is_first ? &soak->steps->begun : &soak->steps->taken_up;
        streams->sent++;
        streams->went_on += went_on;
        soak->steps->early += !is_first && was_away;
        g_mutex_unlock(&soak->steps->lock);
        if (whole || (is_first && !went_on)) {
            return;
        }
        /* One in three comes back while the node is still away. */
        if (is_first && g_rand_int_range(client->rand, 0, 3) > 0) {
            round_wait(soak, round->number, TRUE);
        }
        int most_ms = is_first ? RETURN_MAX_MS : RETRY_MS;
        int least_ms = is_first ? 0 : RETRY_MS / 2;
        /* Half of them at once. */
        if (!is_first || g_rand_boolean(client->rand)) {
            g_usleep((gulong)g_rand_int_range(client->rand, least_ms, most_ms) * 1000);
        }
    }
}

static gpointer client_run(gpointer data) {
    step_client_t *client = data;
    soak_t *soak = client->soak;
    for (int i = 0; !g_atomic_int_get(&soak->stop);) {
        round_t round = round_now(soak);
        if (!round.is_away || !round.has_joined) {
            g_usleep(POLL_US);
            continue;
        }
        g_usleep((gulong)g_rand_int_range(client->rand, 0, BEGIN_MAX_MS) * 1000);
        tries_send(client, &round, i++);
    }
    g_rand_free(client->rand);
    g_free(client);
    return NULL;
}

void soak_steps_start(soak_t *soak, GPtrArray *threads) {
    soak_steps_t *steps = g_new0(soak_steps_t, 1);
    g_mutex_init(&steps->lock);
    soak->steps = steps;
    estate_add_service(soak->estate,
                       "{\"name\":\"" SERVICE
                       "\",\"maxConnections\":100,\"engine\":{\"weightsMb\":2100,"
                       "\"adapterSlots\":2,\"loadsPerS\":4,\"models\":[{\"name\":\"m0\","
                       "\"weightsMb\":1000,\"loadS\":0.2,\"adapters\":5,\"adapterMb\":1,"
                       "\"warmS\":0.1,\"diskS\":0.15}]}}");
    estate_add_route(soak->estate,
                     "{\"name\":\"step\",\"host\":\"a.example\",\"pathPrefix\":\"/step/\","
                     "\"routeType\":\"streaming\",\"timeoutMs\":3000,\"targetLatencyMs\":800,"
                     "\"priority\":1,\"service\":\"" SERVICE
                     "\",\"maxAttempts\":1,\"resumable\":true,"
                     "\"targetGapMs\":400}");
    for (int i = 0; i < OLD_ENGINES; i++) {
        char name[32];
        engine_name(0, i, name);
        engine_start(soak, name, 1 + i, OLD_VERSION);
    }
    soak_config_rewrite(soak);
    g_usleep(SOAK_CONFIG_MS * 1000);
    g_ptr_array_add(threads, g_thread_new("steps", engines_run, soak));
    for (int i = 0; i < CLIENTS; i++) {
        step_client_t *client = g_new0(step_client_t, 1);
        client->soak = soak;
        client->number = i;
        client->rand = g_rand_new_with_seed(soak->seed + 9100 + (guint32)i);
        g_ptr_array_add(threads, g_thread_new("takes-up", client_run, client));
    }
}

void soak_steps_check(soak_t *soak) {
    const soak_steps_t *steps = soak->steps;
    if (steps == NULL) {
        return;
    }
    printf("  out of step: %d rounds, %d of %d streams began, %d of %d tries there went on, %d of "
           "them sent while it was away\n",
           steps->round.number, steps->begun.went_on, steps->begun.sent, steps->taken_up.went_on,
           steps->taken_up.sent, steps->early);
    if (steps->begun.went_on >= BEGUN_MIN && steps->taken_up.went_on == 0) {
        soak_fail(soak, "out of step: of %d tries there none went on", steps->taken_up.sent);
    }
}

void soak_steps_free(soak_t *soak) {
    if (soak->steps == NULL) {
        return;
    }
    g_mutex_clear(&soak->steps->lock);
    g_clear_pointer(&soak->steps, g_free);
}
