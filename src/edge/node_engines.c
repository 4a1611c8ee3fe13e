/* What rows of engines change at a node: engines come, start again, leave and go.
 *
 * Anybody may write such rows. One that can't be read names no engine to use, and takes the engine
 * out that stood there before; it changes nothing else. An engine may start again under its id:
 * then all that was believed of the earlier start ends with it, at once. */
#include "edge/edge_node_types.h"

#include <string.h>

/* A writer of bad rows may write many: one log line tells of all within this time. */
#define REFUSED_LOG_MS 1000

/* Tells gateways of one model or adapter: KEY is MODEL/ADAPTER. */
static void holding_tell(wb_edge_node_t *node, const char *engine, const char *key, gboolean held) {
    g_auto(GStrv) names = g_strsplit(key, "/", 2);
    wb_wire_placement_entry entry = {(char *)engine, names[0], names[1], held, 0};
    wb_wire_message message = {.kind = WB_WIRE_PLACEMENT};
    message.wb_wire_message_u.placement.token = wb_lease_token(node->lease);
    message.wb_wire_message_u.placement.entries.entries_len = 1;
    message.wb_wire_message_u.placement.entries.entries_val = &entry;
    wb_edge_node_tell_gateways(node, &message);
    wb_event("holding-differs",
             ",\"engine\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\",\"held\":%s",
             wb_event_escape(engine), wb_event_escape(names[0]), wb_event_escape(names[1]),
             held ? "true" : "false");
}

/* An announcement may show what no order of this holder made: gateways, which rarely read
 * announcements themselves, are told what they can't know. */
static void holdings_compare(wb_edge_node_t *node, const char *engine, GHashTable *before,
                             GHashTable *after) {
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, before);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        if (!g_hash_table_contains(after, key)) {
            holding_tell(node, engine, key, FALSE);
        }
    }
    g_hash_table_iter_init(&iter, after);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        if (!g_hash_table_contains(before, key)) {
            holding_tell(node, engine, key, TRUE);
        }
    }
}

/* Takes an engine's announcement. Returns NULL when a later start of it is known. */
static wb_engine_t *engine_announce(wb_edge_node_t *node, wb_engine_t *known,
                                    wb_engine_state_t *state) {
    int64_t now_ms = wb_clock_ms();
    gboolean may_differ =
        node->held && known != NULL &&
        (wb_engine_has_placement_updates(known) || !wb_engine_state_holds_same(known->state, state));
    if (!may_differ) {
        return wb_fleet_announce(node->edge.fleet, state);
    }
    g_autoptr(GHashTable) before = wb_engine_held_models(known, now_ms);
    wb_engine_t *engine = wb_fleet_announce(node->edge.fleet, state);
    if (engine == NULL) {
        return NULL;
    }
    g_autoptr(GHashTable) after = wb_engine_held_models(engine, now_ms);
    holdings_compare(node, state->id, before, after);
    return engine;
}

/* The engine of a row that names none any more, or whose row is gone. */
static void engine_take_out(wb_edge_node_t *node, wb_engine_t *engine, int64_t grace_until_ms) {
    wb_edge_t *edge = &node->edge;
    g_autofree char *id = g_strdup(engine->state->id);
    if (engine->draining_since_ms == 0) {
        wb_crash_watch_row_removed(edge->crashes, engine->state->incarnation);
    }
    wb_fleet_remove(edge->fleet, id, grace_until_ms);
    wb_controller_engine_changed(node->controller, id);
}

/* A crash whose row never lapsed: the engine runs again, empty. What was sent to it has ended. */
static void engine_restarted(wb_edge_node_t *node, wb_engine_t *engine,
                             const wb_engine_state_t *state) {
    node->edge.metrics.engine_restarts++;
    wb_event("engine-restarted",
             ",\"engine\":\"%s\",\"born_ms\":%lld,\"before_ms\":%lld,\"running\":%u,"
             "\"models\":%u",
             wb_event_escape(state->id), (long long)state->born_ms, (long long)engine->state->born_ms,
             engine->running, g_hash_table_size(engine->state->models));
    wb_engine_ref(engine);
    wb_upstreams_close_idle(engine);
    wb_controller_engine_restarted(node->controller, state->id);
    engine_take_out(node, engine, 0);
    wb_pace_aggregate_remove(node->pace_book, state->id);
    wb_exchanges_engine_ended(&node->edge, engine);
    wb_engine_unref(engine);
}

static void refused_log(wb_edge_node_t *node, const wb_table_row_t *row, const char *reason) {
    int64_t now_ms = wb_clock_ms();
    node->edge.metrics.engine_rows_refused++;
    node->rows_refused++;
    if (now_ms - node->rows_refused_ms < REFUSED_LOG_MS) {
        return;
    }
    wb_event("engine-row-refused",
             ",\"engine\":\"%s\",\"row_version\":%lld,\"reason\":\"%s\",\"rows\":%u",
             wb_event_escape(row->key), (long long)row->version, wb_event_escape(reason),
             node->rows_refused);
    node->rows_refused_ms = now_ms;
    node->rows_refused = 0;
}

/* Reads a row. Where engines tell when they started, a row that doesn't is another writer's. */
static wb_engine_state_t *row_parse(wb_edge_node_t *node, const wb_table_row_t *row) {
    wb_error_t error = {0};
    wb_engine_state_t *state =
        node->edge.dialect->engine_parse(row->key, row->value, row->length, &error);
    if (state != NULL && state->born_ms == 0 && node->births_told) {
        wb_error_set(&error, APR_EINVAL, "it doesn't tell when it started");
        wb_engine_state_free(state);
        state = NULL;
    }
    if (state == NULL) {
        refused_log(node, row, error.message);
        return NULL;
    }
    node->births_told = node->births_told || state->born_ms != 0;
    return state;
}

static void row_gone(wb_edge_node_t *node, wb_engine_t *known, const wb_table_row_t *row) {
    if (known != NULL) {
        wb_event("engine-gone", ",\"engine\":\"%s\",\"row_version\":%lld", wb_event_escape(row->key),
                 (long long)row->version);
        engine_take_out(node, known,
                        wb_fleet_grace_until_ms(wb_table_watch_fresh_ms(node->engines_watch),
                                              node->edge.settings.drain_ms, wb_clock_ms()));
    }
    wb_edge_node_news_add(node, WB_TABLE_ENGINES, row);
}

static void row_refused(wb_edge_node_t *node, wb_engine_t *known, const wb_table_row_t *row) {
    if (known != NULL) {
        engine_take_out(node, known, 0);
        wb_edge_node_news_add(node, WB_TABLE_ENGINES, row);
    }
}

static void engine_seen(wb_edge_node_t *node, const wb_engine_t *engine,
                        const wb_table_row_t *row) {
    const wb_engine_state_t *state = engine->state;
    wb_edge_node_news_add(node, WB_TABLE_ENGINES, row);
    wb_event("engine-seen",
             ",\"engine\":\"%s\",\"service\":\"%s\",\"address\":\"%s\",\"leaving\":%s,"
             "\"cold_ms\":%lld,\"row_version\":%lld",
             state->id, state->service, state->address, state->leaving ? "true" : "false",
             (long long)state->cold_ms, (long long)row->version);
}

void wb_edge_node_engine_row(const wb_table_row_t *row, void *context) {
    wb_edge_node_t *node = context;
    wb_edge_t *edge = &node->edge;
    wb_engine_t *known = wb_fleet_find(edge->fleet, row->key);
    wb_edge_node_relay_row(node, row);
    if (row->value == NULL) {
        row_gone(node, known, row);
        return;
    }
    wb_engine_state_t *state = row_parse(node, row);
    if (state == NULL) {
        row_refused(node, known, row);
        return;
    }
    gboolean restarted = known != NULL && wb_engine_state_is_later(known->state, state);
    gboolean was_leaving = known != NULL && known->draining_since_ms != 0;
    gboolean was_cold = known != NULL && known->state->cold_ms > 0;
    wb_engine_t *before = known != NULL ? wb_engine_ref(known) : NULL;
    if (restarted) {
        engine_restarted(node, known, state);
    }
    wb_engine_t *engine = engine_announce(node, before, state);
    if (before != NULL) {
        wb_engine_unref(before);
    }
    if (engine == NULL) {
        return;
    }
    if (known == NULL || restarted) {
        wb_crash_watch_address_taken(edge->crashes, engine->state->incarnation,
                                     engine->state->address);
    }
    gboolean turned_cold = !was_cold && engine->state->cold_ms > 0;
    if (known == NULL || restarted || turned_cold || was_leaving != (engine->draining_since_ms != 0)) {
        engine_seen(node, engine, row);
    }
    wb_controller_engine_changed(node->controller, row->key);
}

void wb_edge_node_engine_batch(gboolean whole, void *context) {
    (void)whole;
    wb_edge_node_t *node = context;
    wb_exchanges_retry_waiting(&node->edge);
    if (node->edge.waiting.len > 0) {
        wb_edge_node_hurry(node);
    }
}
