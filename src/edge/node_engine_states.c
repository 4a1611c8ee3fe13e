/* Engine-reported state (limit, draining, brittle), shared between nodes.
 * A node that receives new state in a response sends it to the aggregator, which sends it to all
 * gateways. State that came from the aggregator isn't sent back, so nothing loops. Times are sent
 * as ages in ms, so an update that was delayed on a link looks newer than it is by that delay. */
#include "edge/edge_node_types.h"

#include "fleet/engine_response.h"

/* Encoded size of an engine in a message. */
#define ENTRY_BYTES 48
#define SEND_INTERVAL_MS 50
/* Upper bound of the delay on a link: the end of a limit counts only if it is newer than the known
 * limit by more than this. */
#define DELAY_MAX_MS 500
#define LIMIT_MILLI 1000.0

static void state_write(wb_engine_t *engine, wb_wire_engine_state *wire, int64_t now_ms) {
    const wb_engine_limit_t *limit = &engine->limit;
    *wire = (wb_wire_engine_state){.engine = engine->state->id,
                                   .born_ms = (uint64_t)engine->state->born_ms,
                                   .leaving = engine->drain_reported};
    if (limit->named) {
        wire->limit = WB_WIRE_LIMIT_SET;
        wire->limit_milli = (u_int)(limit->per_s * LIMIT_MILLI);
        wire->limit_age_ms = (u_int)(now_ms - limit->limit_reported_ms);
    } else if (limit->ended_ms != 0) {
        wire->limit = WB_WIRE_LIMIT_ENDED;
        wire->limit_age_ms = (u_int)(now_ms - limit->ended_ms);
    }
    engine->state_sent_ms = now_ms;
}

/* Engines' states for a message, and those of them that are or were brittle, for an extension. */
typedef struct wb_states_t {
    GArray *states;  /* of wb_wire_engine_state, whose names are borrowed from the engines */
    GArray *brittle; /* of wb_wire_brittle_engine */
} wb_states_t;

static wb_states_t states_create(void) {
    return (wb_states_t){g_array_new(FALSE, FALSE, sizeof(wb_wire_engine_state)),
                         g_array_new(FALSE, FALSE, sizeof(wb_wire_brittle_engine))};
}

static void states_free(wb_states_t *states) {
    g_array_unref(states->states);
    g_array_unref(states->brittle);
}

static void states_add(wb_states_t *states, wb_engine_t *engine, int64_t now_ms) {
    const wb_engine_brittle_t *brittle = &engine->brittle;
    if (brittle->reported_ms != 0) {
        wb_wire_brittle_engine wire = {states->states->len, brittle->named, brittle->rejections,
                                       (u_int)(now_ms - brittle->reported_ms)};
        g_array_append_val(states->brittle, wire);
    }
    wb_wire_engine_state wire;
    state_write(engine, &wire, now_ms);
    g_array_append_val(states->states, wire);
}

/* Removes engines from the queue of updates, at most max_count. */
static void states_pop(wb_edge_node_t *node, wb_states_t *states, guint max_count, int64_t now_ms) {
    wb_list_t *updates = &node->edge.state_updates;
    while (updates->len > 0 && states->states->len < max_count) {
        wb_engine_t *engine = WB_LIST_OF(wb_list_pop(updates), wb_engine_t, state_update_item);
        states_add(states, engine, now_ms);
        wb_engine_unref(engine);
    }
}

/* Sends the states on a link, or to all gateways. Nothing, if there are none. */
static void states_send(wb_edge_node_t *node, wb_link_t *link, const wb_states_t *states) {
    if (states->states->len == 0) {
        return;
    }
    wb_wire_message message = {.kind = WB_WIRE_ENGINE_STATES};
    wb_wire_engine_states *wire = &message.wb_wire_message_u.engine_states;
    wire->engines.engines_len = states->states->len;
    wire->engines.engines_val = (wb_wire_engine_state *)(void *)states->states->data;
    wb_wire_extensions extensions = {0};
    wb_wire_brittle_engines brittle = {
        {states->brittle->len, (wb_wire_brittle_engine *)(void *)states->brittle->data}};
    if (states->brittle->len > 0) {
        wb_extensions_add(&extensions, WB_WIRE_EXTENSION_BRITTLE,
                          (xdrproc_t)xdr_wb_wire_brittle_engines, &brittle);
    }
    if (link != NULL) {
        wb_link_send_with_extensions(link, &message, &extensions);
    } else {
        wb_edge_node_broadcast_v2(node, &message, &extensions);
    }
    wb_extensions_clear(&extensions);
}

/* Sends all known engine-reported state on a link that was just opened. */
static void all_states_send(wb_edge_node_t *node, wb_link_t *link, int64_t now_ms) {
    wb_states_t states = states_create();
    GHashTableIter iter;
    gpointer engine;
    g_hash_table_iter_init(&iter, node->edge.reporting_engines);
    while (states.states->len < WB_WIRE_LIST_MAX && g_hash_table_iter_next(&iter, &engine, NULL)) {
        states_add(&states, engine, now_ms);
    }
    states_send(node, link, &states);
    states_free(&states);
}

/* Returns the number of engines that fit in a message to each of these nodes. */
static guint max_engines(const wb_edge_node_t *node, guint nodes) {
    double bytes = (double)node->edge.settings.load_news_bytes_per_s * SEND_INTERVAL_MS / 1000;
    return CLAMP((guint)(bytes / ENTRY_BYTES / MAX(nodes, 1)), 1, WB_WIRE_LIST_MAX);
}

static void gateways_send(wb_edge_node_t *node, int64_t now_ms) {
    GHashTableIter iter;
    gpointer link;
    gpointer value;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, &link, &value)) {
        wb_gateway_t *gateway = value;
        if (!gateway->states_sent && wb_link_format_version(link) >= 2) {
            gateway->states_sent = TRUE;
            all_states_send(node, link, now_ms);
        }
    }
    wb_states_t states = states_create();
    states_pop(node, &states, max_engines(node, g_hash_table_size(node->gateways)), now_ms);
    states_send(node, NULL, &states);
    states_free(&states);
}

static void controller_send(wb_edge_node_t *node, int64_t now_ms) {
    if (!node->states_sent) {
        node->states_sent = TRUE;
        all_states_send(node, node->controller_link, now_ms);
    }
    wb_states_t states = states_create();
    states_pop(node, &states, max_engines(node, 1), now_ms);
    states_send(node, node->controller_link, &states);
    states_free(&states);
}

void wb_edge_node_tick_states(wb_edge_node_t *node, int64_t now_ms) {
    if (wb_edge_node_is_aggregator(node)) {
        gateways_send(node, now_ms);
    } else if (node->controller_link_open && wb_link_format_version(node->controller_link) >= 2) {
        controller_send(node, now_ms);
    }
}

/* Returns TRUE when the limit changed or is due to be sent again. */
static gboolean limit_merge(wb_engine_t *engine, const wb_wire_engine_state *wire, int64_t now_ms) {
    wb_engine_limit_t *limit = &engine->limit;
    int64_t as_of_ms = now_ms - (int64_t)wire->limit_age_ms;
    gboolean changed = FALSE;
    if (wire->limit == WB_WIRE_LIMIT_SET) {
        gboolean newer = as_of_ms > limit->limit_reported_ms;
        changed = wb_engine_limit_set(limit, wire->limit_milli / LIMIT_MILLI, as_of_ms, as_of_ms) ||
                  (newer && now_ms - engine->state_sent_ms >= WB_STATE_RESEND_MS);
    } else if (wire->limit == WB_WIRE_LIMIT_ENDED &&
               as_of_ms > limit->limit_reported_ms + DELAY_MAX_MS) {
        changed = wb_engine_limit_end(limit, as_of_ms);
    }
    return changed;
}

/* Returns TRUE when the engine has become brittle, or ceased to be. */
static gboolean brittle_merge(wb_engine_t *engine, const wb_wire_brittle_engine *wire,
                              int64_t now_ms) {
    int64_t as_of_ms = now_ms - (int64_t)wire->age_ms;
    if (wire->brittle) {
        return as_of_ms > engine->brittle.reported_ms &&
               wb_engine_brittle_set(&engine->brittle, wire->rejections, as_of_ms);
    }
    return wb_engine_brittle_end(&engine->brittle, as_of_ms - DELAY_MAX_MS);
}

/* Returns what the message says of the engine at this index, or NULL. */
static const wb_wire_brittle_engine *brittle_find(const wb_wire_brittle_engines *brittle,
                                                  guint index) {
    for (u_int i = 0; i < brittle->engines.engines_len; i++) {
        if (brittle->engines.engines_val[i].index == index) {
            return &brittle->engines.engines_val[i];
        }
    }
    return NULL;
}

/* Applies the state of one engine. Returns TRUE when it is news. */
static gboolean state_merge(wb_edge_node_t *node, wb_engine_t *engine,
                            const wb_wire_engine_state *wire, const wb_wire_brittle_engine *brittle,
                            int64_t now_ms) {
    gboolean draining =
        wire->leaving && wb_engine_set_draining(engine, node->edge.settings.drain_ms, now_ms);
    gboolean brittle_changed = brittle != NULL && brittle_merge(engine, brittle, now_ms);
    return limit_merge(engine, wire, now_ms) || draining || brittle_changed;
}

void wb_edge_node_states_take(wb_edge_node_t *node, const wb_wire_engine_states *states,
                              const wb_wire_extensions *extensions) {
    int64_t now_ms = wb_clock_ms();
    gboolean aggregator = wb_edge_node_is_aggregator(node);
    wb_wire_brittle_engines brittle = {{0, NULL}};
    wb_extensions_read(extensions, WB_WIRE_EXTENSION_BRITTLE,
                       (xdrproc_t)xdr_wb_wire_brittle_engines, &brittle);
    for (guint i = 0; i < states->engines.engines_len; i++) {
        const wb_wire_engine_state *wire = &states->engines.engines_val[i];
        wb_engine_t *engine = wb_fleet_find(node->edge.fleet, wire->engine);
        if (engine == NULL || (int64_t)wire->born_ms != engine->state->born_ms) {
            continue; /* not needed here, or another incarnation is known */
        }
        if (!state_merge(node, engine, wire, brittle_find(&brittle, i), now_ms)) {
            continue;
        }
        wb_event("engine-state-news",
                 ",\"engine\":\"%s\",\"limited\":%s,\"per_s\":%g,\"leaving\":%s,\"brittle\":%s",
                 engine->state->id, engine->limit.named ? "true" : "false", engine->limit.per_s,
                 engine->drain_reported ? "true" : "false",
                 engine->brittle.named ? "true" : "false");
        wb_edge_track_reporting_engine(&node->edge, engine);
        if (aggregator) {
            wb_edge_queue_state_update(&node->edge, engine);
        }
    }
    xdr_free((xdrproc_t)xdr_wb_wire_brittle_engines, (char *)&brittle);
}

void wb_edge_node_engine_reported(wb_engine_t *engine, void *context) {
    wb_edge_t *edge = &((wb_edge_node_t *)context)->edge;
    wb_edge_track_reporting_engine(edge, engine);
    wb_edge_queue_state_update(edge, engine);
}
