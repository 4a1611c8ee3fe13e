/*
 * Plays the lease between nodes that freeze, restart and are cut off, and a store that is slow,
 * down, loses answers and does writes late. The oracle sees only the orders: who ordered which
 * engine when, under which token.
 *
 * The lease is the product's own code; time and store are simulated. Fixed seeds; `--take-out=NAME`
 * weakens one mechanism, to show that the oracle finds it.
 */
#include "wickbridge/lease.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 4
#define SEEDS 1500
#define PLAY_MS 60000
#define STEP_MS 10
#define QUIET_MS 3000
#define PENDING 32
#define ENGINES 8

/* A write on its way, and its answer. */
typedef struct pending_t {
    gboolean used;
    int node;
    int life; /* of the node's process that sent it */
    int64_t sent_ms;
    int64_t done_ms;
    int64_t answer_ms; /* -1: its answer is lost */
    int64_t expected;
    wb_lease_row_t row;
    gboolean done;
    gboolean counted;
    int64_t version;
} pending_t;

typedef struct node_t {
    wb_lease_t *lease;
    wb_lease_settings_t settings;
    char machine[8];
    int life;
    int64_t clock_ms; /* added to the world's time: each machine's steady clock begins elsewhere */
    int64_t frozen_until_ms;
    int64_t cut_until_ms;     /* its calls are not answered */
    int64_t look_ms;          /* when it reads the row next */
    int64_t waiting_since_ms; /* for its write's answer; 0: for none */
} node_t;

typedef struct world_t {
    GRand *random;
    int64_t now_ms;
    node_t nodes[NODES];
    pending_t pending[PENDING];
    wb_lease_row_t row;
    int64_t version; /* 0: not there */
    int64_t down_until_ms;
    int64_t slow_until_ms;
    int64_t lossy_until_ms;
    /* What the oracle saw at each engine. */
    struct {
        int last_actor; /* -1: nobody */
        uint64_t last_token;
        int64_t last_act_ms;
    } engines[ENGINES];
    int acts;
    int takeovers;
    const char *fault;
} world_t;

static const char *taken_out = "";

static gboolean chance(world_t *world, int in_thousand) {
    return g_rand_int_range(world->random, 0, 1000) < in_thousand;
}

static int64_t between(world_t *world, int low, int high) {
    return g_rand_int_range(world->random, low, high);
}

static void node_begin(world_t *world, int index) {
    node_t *node = &world->nodes[index];
    if (node->lease != NULL)
        wb_lease_free(node->lease);
    g_snprintf(node->machine, sizeof(node->machine), "n%d", index);
    node->settings =
        (wb_lease_settings_t){node->machine, "1.1.1.1:1", 1600, 500, QUIET_MS, 200, 900};
    if (strcmp(taken_out, "quiet") == 0)
        node->settings.handover_interval_ms = 0;
    if (strcmp(taken_out, "duration") == 0)
        node->settings.duration_ms = index == 0 ? 6000 : 1600; /* one node believes itself longer */
    node->lease = wb_lease_create(&node->settings);
    node->life++;
    node->waiting_since_ms = 0;
    node->look_ms = world->now_ms;
}

/* The oracle: at each engine tokens rise, two machines never share one, and QUIET_MS lie between
 * two machines' orders. */
static void act_note(world_t *world, int index, int engine, uint64_t token) {
    int last_actor = world->engines[engine].last_actor;
    gboolean other = last_actor >= 0 && last_actor != index;
    if (token < world->engines[engine].last_token)
        world->fault = "a lower token after a higher one";
    else if (other && token == world->engines[engine].last_token)
        world->fault = "two machines with one token";
    else if (other && world->now_ms - world->engines[engine].last_act_ms < QUIET_MS)
        world->fault = "two machines order an engine too close to each other";
    world->takeovers += other;
    world->engines[engine].last_actor = index;
    world->engines[engine].last_token = token;
    world->engines[engine].last_act_ms = world->now_ms;
    world->acts++;
}

/* Orders an engine when the lease lets it. */
static void node_act(world_t *world, int index, int64_t local_ms) {
    node_t *node = &world->nodes[index];
    int engine = (int)between(world, 0, ENGINES);
    char name[8];
    g_snprintf(name, sizeof(name), "e%d", engine);
    int64_t wait_ms = wb_lease_authorize_order(node->lease, name, local_ms);
    if (wait_ms == 0 || strcmp(taken_out, "grants") == 0)
        act_note(world, index, engine, wb_lease_token(node->lease));
}

/* The row as a node reads it in the store, or hears of it in short by another node. */
static void row_told(const world_t *world, node_t *node, gboolean in_short, int64_t local_ms) {
    if (world->version == 0) {
        wb_lease_on_row(node->lease, NULL, 0, local_ms);
        return;
    }
    wb_lease_row_t row = world->row;
    if (in_short) {
        row.has_grants = FALSE;
        row.granted_count = 0;
        row.inherited_count = 0;
    }
    if (strcmp(taken_out, "inherited") == 0)
        row.inherited_count = 0;
    wb_lease_on_row(node->lease, &row, world->version, local_ms);
}

static gboolean store_answers(const world_t *world, const node_t *node) {
    return world->now_ms >= world->down_until_ms && world->now_ms >= node->cut_until_ms;
}

static void write_send(world_t *world, int index, const wb_lease_row_t *row, int64_t expected) {
    node_t *node = &world->nodes[index];
    node->waiting_since_ms = world->now_ms;
    if (!store_answers(world, node))
        return; /* never arrives; the node gives up after its time-out */
    for (int i = 0; i < PENDING; i++) {
        pending_t *pending = &world->pending[i];
        if (pending->used)
            continue;
        gboolean slow = world->now_ms < world->slow_until_ms;
        gboolean lossy = world->now_ms < world->lossy_until_ms;
        int64_t delay_ms = slow ? between(world, 100, 600) : between(world, 2, 20);
        pending->used = TRUE;
        pending->done = FALSE;
        pending->node = index;
        pending->life = node->life;
        pending->sent_ms = world->now_ms;
        pending->expected = expected;
        pending->done_ms = world->now_ms + delay_ms;
        pending->answer_ms = pending->done_ms + delay_ms;
        if (lossy && chance(world, 500)) {
            pending->answer_ms = -1;
            if (chance(world, 500))
                pending->done_ms = world->now_ms + between(world, 1000, 6000);
        }
        wb_lease_row_copy(&pending->row, row);
        return;
    }
}

static void pending_step(world_t *world, pending_t *pending) {
    if (!pending->used)
        return;
    if (!pending->done && world->now_ms >= pending->done_ms) {
        pending->done = TRUE;
        pending->counted = world->version == pending->expected;
        if (pending->counted) {
            wb_lease_row_copy(&world->row, &pending->row);
            world->version++;
        }
        pending->version = world->version;
    }
    node_t *node = &world->nodes[pending->node];
    /* The answer to a call that was given up goes nowhere. */
    gboolean current = node->life == pending->life && node->waiting_since_ms == pending->sent_ms;
    if (pending->done && pending->answer_ms < 0) {
        pending->used = FALSE;
    } else if (pending->done && world->now_ms >= pending->answer_ms &&
               world->now_ms >= node->frozen_until_ms) {
        pending->used = FALSE;
        if (!current)
            return;
        node->waiting_since_ms = 0;
        int64_t local_ms = world->now_ms + node->clock_ms;
        if (pending->counted)
            wb_lease_on_written(node->lease, pending->version, local_ms);
        else
            wb_lease_on_not_written(node->lease, local_ms);
    }
}

static void node_step(world_t *world, int index) {
    node_t *node = &world->nodes[index];
    if (world->now_ms < node->frozen_until_ms)
        return;
    int64_t local_ms = world->now_ms + node->clock_ms;
    if (world->now_ms >= node->look_ms && store_answers(world, node)) {
        node->look_ms = world->now_ms + between(world, 50, 500);
        row_told(world, node, chance(world, 300), local_ms);
    }
    if (node->waiting_since_ms != 0 &&
        world->now_ms - node->waiting_since_ms >= node->settings.write_timeout_ms) {
        node->waiting_since_ms = 0;
        wb_lease_on_write_unknown(node->lease, local_ms);
    }
    wb_lease_row_t row;
    int64_t expected;
    if (node->waiting_since_ms == 0 && wb_lease_next_write(node->lease, local_ms, &row, &expected))
        write_send(world, index, &row, expected);
    if (wb_lease_is_held(node->lease, local_ms) && chance(world, 300))
        node_act(world, index, local_ms);
}

static void trouble_step(world_t *world) {
    node_t *node = &world->nodes[between(world, 0, NODES)];
    if (chance(world, 2))
        node->frozen_until_ms = world->now_ms + between(world, 100, 8000);
    if (chance(world, 2))
        node->cut_until_ms = world->now_ms + between(world, 500, 8000);
    if (chance(world, 1))
        node_begin(world, (int)(node - world->nodes));
    if (chance(world, 1))
        world->down_until_ms = world->now_ms + between(world, 200, 6000);
    if (chance(world, 1))
        world->slow_until_ms = world->now_ms + between(world, 500, 6000);
    if (chance(world, 2))
        world->lossy_until_ms = world->now_ms + between(world, 500, 6000);
    if (chance(world, 1))
        wb_lease_release(node->lease);
}

static void world_free(world_t *world) {
    for (int i = 0; i < NODES; i++)
        wb_lease_free(world->nodes[i].lease);
    for (int i = 0; i < PENDING; i++)
        wb_lease_row_clear(&world->pending[i].row);
    wb_lease_row_clear(&world->row);
    g_rand_free(world->random);
}

/* Plays one seed. Returns its fault, or NULL. */
static const char *seed_play(guint32 seed, int *acts, int *takeovers) {
    world_t world = {0};
    world.random = g_rand_new_with_seed(seed);
    g_random_set_seed(seed);
    for (int i = 0; i < ENGINES; i++)
        world.engines[i].last_actor = -1;
    for (int i = 0; i < NODES; i++) {
        world.nodes[i].clock_ms = between(&world, 0, 100000);
        node_begin(&world, i);
    }
    for (world.now_ms = 1; world.now_ms < PLAY_MS && world.fault == NULL; world.now_ms += STEP_MS) {
        trouble_step(&world);
        for (int i = 0; i < PENDING; i++)
            pending_step(&world, &world.pending[i]);
        for (int i = 0; i < NODES; i++)
            node_step(&world, i);
    }
    *acts += world.acts;
    *takeovers += world.takeovers;
    const char *fault = world.fault;
    world_free(&world);
    return fault;
}

int main(int argc, char **argv) {
    int faults = 0;
    int acts = 0;
    int takeovers = 0;
    if (argc > 1 && g_str_has_prefix(argv[1], "--take-out="))
        taken_out = argv[1] + strlen("--take-out=");
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        const char *fault = seed_play(seed, &acts, &takeovers);
        if (fault == NULL)
            continue;
        faults++;
        if (faults <= 5)
            printf("seed %u: %s\n", seed, fault);
    }
    printf("%d seeds, %d acts, %d take-overs, %d with a fault\n", SEEDS, acts, takeovers, faults);
    if (acts < SEEDS * 100 || takeovers < SEEDS) {
        printf("too little happened to show anything\n");
        return 1;
    }
    return faults > 0;
}
