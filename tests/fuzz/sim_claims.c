/* Simulated gateways that claim idempotency keys and run the requests, as src/gateway does. */
#include "world_types.h"

#include <string.h>

/* A claim whose command is not committed yet. */
typedef struct sim_pending_claim_t {
    uint64_t sequence;
    char key[16];
    char stream[24];
    char engine[24];
} sim_pending_claim_t;

void claims_clear(sim_node_t *node) {
    g_queue_clear_full(&node->pending_claims, g_free);
}

void claims_lost(sim_node_t *node) {
    claims_clear(node);
}

/* Sends the request of a granted claim; it may arrive late or never. */
static void request_send(world_t *world, const char *key, const char *stream, const char *engine) {
    if (world_chance(world, world->loss_percent))
        return;
    event_t *event = event_add(world, EVENT_REQUEST, 1 + world_choose(world, 250) * 4);
    g_strlcpy(event->to, engine, sizeof(event->to));
    g_strlcpy(event->key, key, sizeof(event->key));
    g_strlcpy(event->stream, stream, sizeof(event->stream));
}

void claims_committed(sim_node_t *node, uint64_t sequence) {
    sim_pending_claim_t *pending;
    while ((pending = g_queue_peek_head(&node->pending_claims)) != NULL &&
           pending->sequence <= sequence) {
        g_queue_pop_head(&node->pending_claims);
        request_send(node->world, pending->key, pending->stream, pending->engine);
        g_free(pending);
    }
}

static void claim_propose(sim_node_t *node, const wb_wire_claim_request *want, uint64_t attempt) {
    wb_wire_command command;
    wb_claim_fill_command(want, attempt, &command);
    sim_pending_claim_t *pending = g_new0(sim_pending_claim_t, 1);
    pending->sequence = wb_group_sequence(node->group) + 1;
    g_strlcpy(pending->key, want->key, sizeof(pending->key));
    g_strlcpy(pending->stream, want->stream, sizeof(pending->stream));
    g_strlcpy(pending->engine, want->engine, sizeof(pending->engine));
    g_queue_push_tail(&node->pending_claims, pending);
    if (wb_group_propose(node->group, &command, node->world->now_ms) == 0 &&
        g_queue_remove(&node->pending_claims, pending))
        g_free(pending);
}

/* The key is already claimed: fences its stream off at the engine. If the engine never saw the
 * stream, the request did not run and may be retried. */
static void claimed_key_resolve(world_t *world, sim_node_t *node, wb_wire_claim_request *want) {
    const wb_claim_t *claim = wb_record_claim(wb_group_record(node->group), want->model, want->key);
    sim_engine_t *engine = engine_find(world, claim->engine);
    if (engine == NULL || engine->dead || world_chance(world, world->loss_percent))
        return; /* the engine is unreachable: the request may have run, so it is not retried */
    if (!g_hash_table_add(engine->streams, g_strdup(claim->stream)))
        return; /* it ran, or another retry has fenced it off */
    want->retry_of = claim->attempt;
    if (wb_claim_decide(wb_group_record(node->group), want, world->now_ms) == WB_CLAIM_PROPOSE)
        claim_propose(node, want, claim->attempt + 1);
}

void sim_claim_start(world_t *world) {
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
        claimed_key_resolve(world, node, &want);
        break;
    default:
        break;
    }
}
