/* What engines tell of themselves in their answers, told from node to node.
 *
 * A node that hears an engine tells the node that all report to, and that tells all the others.
 * What came from there isn't told back, so nothing goes round. Times are told as ages, so that news
 * which are late on their way look newer than they are, by a link's delay at most. */
#include "edge/edge_node_types.h"

#include "fleet/engine_response.h"

/* Bytes of an engine in a message. */
#define ENTRY_BYTES 48
#define TELL_MS 50
/* An end that was told with a delay beyond this might be older than the limit that is known. */
#define DELAY_MOST_MS 500
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

/* Takes engines out of those that there is something to tell of. @return of wb_wire_engine_state;
 * names are the engines' */
static GArray *states_take(wb_edge_node_t *node, guint most, int64_t now_ms) {
    GArray *states = g_array_new(FALSE, FALSE, sizeof(wb_wire_engine_state));
    wb_list_t *news = &node->edge.state_updates;
    while (news->len > 0 && states->len < most) {
        wb_engine_t *engine = WB_LIST_OF(wb_list_pop(news), wb_engine_t, state_updates);
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

/* All that engines have told, to a node that has just linked. */
static void all_tell(wb_edge_node_t *node, wb_link_t *link, int64_t now_ms) {
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

/* Engines in a message to each of so many nodes. */
static guint most_engines(const wb_edge_node_t *node, guint nodes) {
    double bytes = (double)node->edge.settings.load_news_bytes_per_s * TELL_MS / 1000;
    return CLAMP((guint)(bytes / ENTRY_BYTES / MAX(nodes, 1)), 1, WB_WIRE_LIST_MAX);
}

static void gateways_tell(wb_edge_node_t *node, int64_t now_ms) {
    GHashTableIter iter;
    gpointer link;
    gpointer value;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, &link, &value)) {
        wb_gateway_t *gateway = value;
        if (!gateway->states_told && wb_link_format_version(link) >= 2) {
            gateway->states_told = TRUE;
            all_tell(node, link, now_ms);
        }
    }
    g_autoptr(GArray) states =
        states_take(node, most_engines(node, g_hash_table_size(node->gateways)), now_ms);
    if (states->len > 0) {
        wb_wire_message message = states_message(states);
        wb_edge_node_tell_newer_gateways(node, &message);
    }
}

static void controller_tell(wb_edge_node_t *node, int64_t now_ms) {
    if (!node->states_told) {
        node->states_told = TRUE;
        all_tell(node, node->controller_link, now_ms);
    }
    g_autoptr(GArray) states = states_take(node, most_engines(node, 1), now_ms);
    if (states->len > 0) {
        wb_wire_message message = states_message(states);
        wb_link_send(node->controller_link, &message);
    }
}

void wb_edge_node_tick_states(wb_edge_node_t *node, int64_t now_ms) {
    if (wb_edge_node_is_reported_to(node)) {
        gateways_tell(node, now_ms);
    } else if (node->controller_link_open && wb_link_format_version(node->controller_link) >= 2) {
        controller_tell(node, now_ms);
    }
}

/* @return TRUE when something has changed, or is due to be told on */
static gboolean limit_merge(wb_engine_t *engine, const wb_wire_engine_state *wire, int64_t now_ms) {
    wb_engine_limit_t *limit = &engine->limit;
    int64_t as_of_ms = now_ms - (int64_t)wire->limit_age_ms;
    gboolean changed = FALSE;
    if (wire->limit == WB_WIRE_LIMIT_SET) {
        gboolean newer = as_of_ms > limit->limit_reported_ms;
        changed =
            wb_engine_limit_set(limit, wire->limit_milli / LIMIT_MILLI, as_of_ms, as_of_ms) ||
            (newer && now_ms - engine->state_sent_ms >= WB_STATE_RESEND_MS);
    } else if (wire->limit == WB_WIRE_LIMIT_ENDED && as_of_ms > limit->limit_reported_ms + DELAY_MOST_MS) {
        changed = wb_engine_limit_end(limit, as_of_ms);
    }
    return changed;
}

void wb_edge_node_states_take(wb_edge_node_t *node, const wb_wire_engine_states *told) {
    int64_t now_ms = wb_clock_ms();
    gboolean tells = wb_edge_node_is_reported_to(node);
    for (guint i = 0; i < told->engines.engines_len; i++) {
        const wb_wire_engine_state *wire = &told->engines.engines_val[i];
        wb_engine_t *engine = wb_fleet_find(node->edge.fleet, wire->engine);
        if (engine == NULL || (int64_t)wire->born_ms != engine->state->born_ms) {
            continue; /* it isn't needed here, or another start of it is known */
        }
        gboolean leaves =
            wire->leaving && wb_engine_set_draining(engine, node->edge.settings.drain_ms, now_ms);
        if (!limit_merge(engine, wire, now_ms) && !leaves) {
            continue;
        }
        wb_event("engine-state-news",
                 ",\"engine\":\"%s\",\"limited\":%s,\"per_s\":%g,\"leaving\":%s",
                 wb_event_escape(engine->state->id), engine->limit.named ? "true" : "false",
                 engine->limit.per_s, engine->drain_reported ? "true" : "false");
        wb_edge_track_reporting_engine(&node->edge, engine);
        if (tells) {
            wb_edge_queue_state_update(&node->edge, engine);
        }
    }
}

void wb_edge_node_states_heard(wb_engine_t *engine, void *context) {
    wb_edge_t *edge = &((wb_edge_node_t *)context)->edge;
    wb_edge_track_reporting_engine(edge, engine);
    wb_edge_queue_state_update(edge, engine);
}
