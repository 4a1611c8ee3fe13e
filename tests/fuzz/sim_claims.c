/* Simulated gateways that run requests with keys, as src/gateway does. */
#include "world_types.h"

#include <string.h>

/* A claim that waits for its command to count. */
typedef struct sim_claim_wait_t {
    uint64_t sequence;
    char key[16];
    char stream[24];
    char engine[24];
} sim_claim_wait_t;

void claims_clear(sim_node_t *node) {
    g_queue_clear_full(&node->claim_waits, g_free);
}

void claims_lost(sim_node_t *node) {
    claims_clear(node);
}

/* Granted: the gateway sends the request, and it may arrive late or never. */
static void run_send(world_t *world, const char *key, const char *stream, const char *engine) {
    if (world_chance(world, world->loss_percent))
        return;
    event_t *event = event_add(world, EVENT_RUN, 1 + world_choose(world, 250) * 4);
    g_strlcpy(event->to, engine, sizeof(event->to));
    g_strlcpy(event->key, key, sizeof(event->key));
    g_strlcpy(event->stream, stream, sizeof(event->stream));
}

void claims_committed(sim_node_t *node, uint64_t sequence) {
    sim_claim_wait_t *wait;
    while ((wait = g_queue_peek_head(&node->claim_waits)) != NULL && wait->sequence <= sequence) {
        g_queue_pop_head(&node->claim_waits);
        run_send(node->world, wait->key, wait->stream, wait->engine);
        g_free(wait);
    }
}

static void claim_propose(sim_node_t *node, const wb_wire_claim_request *want, uint64_t attempt) {
    wb_wire_command command;
    wb_claim_fill_command(want, attempt, &command);
    sim_claim_wait_t *wait = g_new0(sim_claim_wait_t, 1);
    wait->sequence = wb_group_sequence(node->group) + 1;
    g_strlcpy(wait->key, want->key, sizeof(wait->key));
    g_strlcpy(wait->stream, want->stream, sizeof(wait->stream));
    g_strlcpy(wait->engine, want->engine, sizeof(wait->engine));
    g_queue_push_tail(&node->claim_waits, wait);
    if (wb_group_propose(node->group, &command, node->world->now_ms) == 0 &&
        g_queue_remove(&node->claim_waits, wait))
        g_free(wait);
}

/* The key is taken: its stream is looked for, and forbidden when the engine never saw it. Then the
 * run did not happen and may be tried again. */
static void taken_follow(world_t *world, sim_node_t *node, wb_wire_claim_request *want) {
    const wb_claim_t *claim = wb_record_claim(wb_group_record(node->group), want->model, want->key);
    sim_engine_t *engine = engine_find(world, claim->engine);
    if (engine == NULL || engine->dead || world_chance(world, world->loss_percent))
        return; /* the engine is lost: the verdict is "may have run", and nothing is sent */
    if (!g_hash_table_add(engine->streams, g_strdup(claim->stream)))
        return; /* it ran, or was forbidden before by someone who tries again */
    want->retry_of = claim->attempt;
    if (wb_claim_decide(wb_group_record(node->group), want, world->now_ms) == WB_CLAIM_PROPOSE)
        claim_propose(node, want, claim->attempt + 1);
}

void claim_make(world_t *world) {
    sim_node_t *node = &world->nodes[world_choose(world, NODES)];
    if (node->cell == NULL || node->frozen || !wb_group_has_quorum(node->group, world->now_ms))
        return;
    char key[16], stream[24], engine[24];
    g_snprintf(key, sizeof(key), "k%u", world_choose(world, KEYS));
    g_snprintf(stream, sizeof(stream), "s%d", ++world->streams);
    g_snprintf(engine, sizeof(engine), "e%u", world_choose(world, (guint)world->engine_count));
    wb_wire_claim_request want = {0};
    want.model = "m0";
    want.key = key;
    want.stream = stream;
    want.engine = engine;
    want.engine_address = "";
    want.node = "";
    want.digest = 1;
    switch (wb_claim_decide(wb_group_record(node->group), &want, world->now_ms)) {
    case WB_CLAIM_PROPOSE:
        claim_propose(node, &want, 1);
        break;
    case WB_CLAIM_TAKEN:
        taken_follow(world, node, &want);
        break;
    default:
        break;
    }
}
