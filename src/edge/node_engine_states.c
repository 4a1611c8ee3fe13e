/* Engine-reported state (limit, draining), shared between nodes.
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

/* Removes engines from the queue of updates, at most max_count. Returns an array of
 * wb_wire_engine_state whose names are borrowed from the engines. */
static GArray *states_pop(wb_edge_node_t *node, guint max_count, int64_t now_ms) {
    GArray *states = g_array_new(FALSE, FALSE, sizeof(wb_wire_engine_state));
    wb_list_t *updates = &node->edge.state_updates;
    while (updates->len > 0 && states->len < max_count) {
        wb_engine_t *engine = WB_LIST_OF(wb_list_pop(updates), wb_engine_t, state_update_item);
        wb_wire_engine_state wire;
        state_write(engine, &wire, now_ms);
        g_array_append_val(states, wire);
        wb_engine_unref(engine);
    }
    return states;
}

static wb_wire_message states_message(const GArray *states) {
    wb_wire_message message = {.kind = WB_WIRE_ENGINE_STATES};
    message.wb_wire_message_u.engine_states.engines.engines_len = states->len;
    message.wb_wire_message_u.engine_states.engines.engines_val =
        (wb_wire_engine_state *)(void *)states->data;
    return message;
}

/* Sends all known engine-reported state on a link that was just opened. */
static void all_states_send(wb_edge_node_t *node, wb_link_t *link, int64_t now_ms) {
    g_autoptr(GArray) states = g_array_new(FALSE, FALSE, sizeof(wb_wire_engine_state));
    GHashTableIter iter;
    gpointer engine;
    g_hash_table_iter_init(&iter, node->edge.reporting_engines);
    while (states->len < WB_WIRE_LIST_MAX && g_hash_table_iter_next(&iter, &engine, NULL)) {
        wb_wire_engine_state wire;
        state_write(engine, &wire, now_ms);
        g_array_append_val(states, wire);
    }
    if (states->len > 0) {
        wb_wire_message message = states_message(states);
        wb_link_send(link, &message);
    }
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
    g_autoptr(GArray) states =
        states_pop(node, max_engines(node, g_hash_table_size(node->gateways)), now_ms);
    if (states->len > 0) {
        wb_wire_message message = states_message(states);
        wb_edge_node_broadcast_v2(node, &message);
    }
}

static void controller_send(wb_edge_node_t *node, int64_t now_ms) {
    if (!node->states_sent) {
        node->states_sent = TRUE;
        all_states_send(node, node->controller_link, now_ms);
    }
    g_autoptr(GArray) states = states_pop(node, max_engines(node, 1), now_ms);
    if (states->len > 0) {
        wb_wire_message message = states_message(states);
        wb_link_send(node->controller_link, &message);
    }
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

void wb_edge_node_states_take(wb_edge_node_t *node, const wb_wire_engine_states *states) {
    int64_t now_ms = wb_clock_ms();
    gboolean aggregator = wb_edge_node_is_aggregator(node);
    for (guint i = 0; i < states->engines.engines_len; i++) {
        const wb_wire_engine_state *wire = &states->engines.engines_val[i];
        wb_engine_t *engine = wb_fleet_find(node->edge.fleet, wire->engine);
        if (engine == NULL || (int64_t)wire->born_ms != engine->state->born_ms) {
            continue; /* not needed here, or another incarnation is known */
        }
        gboolean draining =
            wire->leaving && wb_engine_set_draining(engine, node->edge.settings.drain_ms, now_ms);
        if (!limit_merge(engine, wire, now_ms) && !draining) {
            continue;
        }
        wb_event("engine-state-news",
                 ",\"engine\":\"%s\",\"limited\":%s,\"per_s\":%g,\"leaving\":%s",
                 wb_event_escape(engine->state->id), engine->limit.named ? "true" : "false",
                 engine->limit.per_s, engine->drain_reported ? "true" : "false");
        wb_edge_track_reporting_engine(&node->edge, engine);
        if (aggregator) {
            wb_edge_queue_state_update(&node->edge, engine);
        }
    }
}

void wb_edge_node_engine_reported(wb_engine_t *engine, void *context) {
    wb_edge_t *edge = &((wb_edge_node_t *)context)->edge;
    wb_edge_track_reporting_engine(edge, engine);
    wb_edge_queue_state_update(edge, engine);
}
