/* Applies rows of the engines table: engines appear, restart, drain and disappear.
 * Any process may write such rows. An invalid row removes the engine of that id and changes nothing
 * else. An engine may restart under its id: all state of its earlier incarnation is then dropped at
 * once. Errors are logged as engine-row-refused, with the reason. */
#include "edge/edge_node_types.h"

#include <string.h>

/* Interval of the log line about rejected rows, of which there may be many. */
#define REJECTED_LOG_MS 1000
/* The incarnation has "@" and the digits of a start time after the id. */
#define START_TIME_TEXT_MAX 20

G_STATIC_ASSERT(WB_ENGINE_ID_MAX + START_TIME_TEXT_MAX <= WB_WIRE_NAME_MAX);
G_STATIC_ASSERT(WB_ENGINE_NAME_MAX <= WB_WIRE_NAME_MAX);

/* Sends gateways a change of one model or adapter. @param key MODEL/ADAPTER */
static void placement_broadcast(wb_edge_node_t *node, const char *engine, const char *key,
                                gboolean held) {
    g_auto(GStrv) names = g_strsplit(key, "/", 2);
    wb_wire_placement_entry entry = {(char *)engine, names[0], names[1], held, 0};
    wb_wire_message message = {.kind = WB_WIRE_PLACEMENT};
    message.wb_wire_message_u.placement.token = wb_lease_token(node->lease);
    message.wb_wire_message_u.placement.entries.entries_len = 1;
    message.wb_wire_message_u.placement.entries.entries_val = &entry;
    wb_edge_node_broadcast(node, &message);
    wb_event("holding-differs",
             ",\"engine\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\",\"held\":%s", engine, names[0],
             names[1], held ? "true" : "false");
}

/* Sends gateways changes of an engine's models that this holder didn't order; gateways rarely
 * read engine rows themselves. */
static void placements_compare(wb_edge_node_t *node, const char *engine, GHashTable *before,
                               GHashTable *after) {
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, before);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        if (!g_hash_table_contains(after, key)) {
            placement_broadcast(node, engine, key, FALSE);
        }
    }
    g_hash_table_iter_init(&iter, after);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        if (!g_hash_table_contains(before, key)) {
            placement_broadcast(node, engine, key, TRUE);
        }
    }
}

/* Applies an engine's state. Returns NULL when a later incarnation is known. */
static wb_engine_t *engine_state_apply(wb_edge_node_t *node, wb_engine_t *known,
                                       wb_engine_state_t *state) {
    int64_t now_ms = wb_clock_ms();
    gboolean may_differ = wb_lease_is_own(node->lease) && known != NULL &&
                          (wb_engine_has_placement_updates(known) ||
                           !wb_engine_state_holds_same(known->state, state));
    if (!may_differ) {
        return wb_fleet_announce(node->edge.fleet, state);
    }
    g_autoptr(GHashTable) before = wb_engine_held_models(known, now_ms);
    wb_engine_t *engine = wb_fleet_announce(node->edge.fleet, state);
    if (engine == NULL) {
        return NULL;
    }
    g_autoptr(GHashTable) after = wb_engine_held_models(engine, now_ms);
    placements_compare(node, state->id, before, after);
    return engine;
}

/* Removes an engine whose row was removed or became invalid. @param grace_until_ms until when it
 * may still get requests that no other engine can take */
static void engine_remove(wb_edge_node_t *node, wb_engine_t *engine, int64_t grace_until_ms) {
    wb_edge_t *edge = &node->edge;
    g_autofree char *id = g_strdup(engine->state->id);
    if (engine->draining_since_ms == 0) {
        wb_crash_watch_row_removed(edge->crashes, engine->state->incarnation);
        wb_part_registry_note_engine_lost(edge->parts, wb_clock_ms());
    }
    wb_fleet_remove(edge->fleet, id, grace_until_ms);
    wb_controller_engine_changed(node->controller, id);
}

/* The engine crashed and restarted before its row expired: it holds no models, and requests sent to
 * it have failed. */
static void engine_restarted(wb_edge_node_t *node, wb_engine_t *engine,
                             const wb_engine_state_t *state) {
    node->edge.metrics.engine_restarts++;
    wb_event("engine-restarted",
             ",\"engine\":\"%s\",\"born_ms\":%lld,\"before_ms\":%lld,\"running\":%u,"
             "\"models\":%u",
             state->id, (long long)state->born_ms, (long long)engine->state->born_ms,
             engine->running, g_hash_table_size(engine->state->models));
    wb_engine_ref(engine);
    wb_upstreams_close_idle(engine);
    wb_controller_engine_restarted(node->controller, state->id);
    engine_remove(node, engine, 0);
    wb_pace_aggregate_remove(node->own_pace_aggregate, state->id);
    wb_exchanges_engine_ended(&node->edge, engine);
    wb_engine_unref(engine);
}

static void rejected_row_log(wb_edge_node_t *node, const wb_table_row_t *row, const char *reason) {
    int64_t now_ms = wb_clock_ms();
    node->edge.metrics.engine_rows_refused++;
    node->rejected_rows++;
    if (now_ms - node->rejected_rows_logged_ms < REJECTED_LOG_MS) {
        return;
    }
    wb_event("engine-row-refused",
             ",\"engine\":\"%s\",\"row_version\":%lld,\"reason\":\"%s\",\"rows\":%u", row->key,
             (long long)wb_store_version_number(row->version), reason, node->rejected_rows);
    node->rejected_rows_logged_ms = now_ms;
    node->rejected_rows = 0;
}

/* Parses a row. Once any engine's row has had a start time, a row without one is invalid. */
static wb_engine_state_t *row_parse(wb_edge_node_t *node, const wb_table_row_t *row) {
    wb_error_t error = {0};
    wb_engine_state_t *state =
        node->edge.dialect->engine_parse(row->key, row->value, row->length, &error);
    if (state != NULL && state->born_ms == 0 && node->starts_reported) {
        wb_error_set(&error, APR_EINVAL, "the row has no start time");
        wb_engine_state_free(state);
        state = NULL;
    }
    if (state == NULL) {
        rejected_row_log(node, row, error.message);
        return NULL;
    }
    node->starts_reported = node->starts_reported || state->born_ms != 0;
    return state;
}

static void row_removed(wb_edge_node_t *node, wb_engine_t *known, const wb_table_row_t *row) {
    if (known != NULL) {
        wb_event("engine-gone", ",\"engine\":\"%s\",\"row_version\":%lld", row->key,
                 (long long)wb_store_version_number(row->version));
        engine_remove(node, known,
                      wb_fleet_grace_until_ms(wb_table_watch_fresh_ms(node->engines_watch),
                                              node->edge.settings.drain_ms, wb_clock_ms()));
    }
    wb_edge_node_update_add(node, WB_TABLE_ENGINES, row);
}

static void row_rejected(wb_edge_node_t *node, wb_engine_t *known, const wb_table_row_t *row) {
    if (known != NULL) {
        engine_remove(node, known, 0);
        wb_edge_node_update_add(node, WB_TABLE_ENGINES, row);
    }
}

static void engine_seen(wb_edge_node_t *node, const wb_engine_t *engine,
                        const wb_table_row_t *row) {
    const wb_engine_state_t *state = engine->state;
    wb_edge_node_update_add(node, WB_TABLE_ENGINES, row);
    wb_event("engine-seen",
             ",\"engine\":\"%s\",\"service\":\"%s\",\"address\":\"%s\",\"software_version\":\"%s\","
             "\"leaving\":%s,\"cold_ms\":%lld,\"row_version\":%lld",
             state->id, state->service, state->address, state->software_version,
             state->leaving ? "true" : "false", (long long)state->cold_ms,
             (long long)wb_store_version_number(row->version));
}

void wb_edge_node_engine_row(const wb_table_row_t *row, void *context) {
    wb_edge_node_t *node = context;
    wb_edge_t *edge = &node->edge;
    wb_engine_t *known = wb_fleet_find(edge->fleet, row->key);
    wb_edge_node_relay_row(node, row);
    if (row->value == NULL) {
        row_removed(node, known, row);
        return;
    }
    wb_engine_state_t *state = row_parse(node, row);
    if (state == NULL) {
        row_rejected(node, known, row);
        return;
    }
    gboolean restarted = known != NULL && wb_engine_state_is_later(known->state, state);
    gboolean was_draining = known != NULL && known->draining_since_ms != 0;
    /* The copy of a store that went back may still have the row from before the engine drained. */
    if (was_draining && !restarted && known->state->leaving &&
        wb_table_watch_is_settling(node->engines_watch))
        state->leaving = TRUE;
    gboolean was_cold = known != NULL && known->state->cold_ms > 0;
    wb_engine_t *before = known != NULL ? wb_engine_ref(known) : NULL;
    if (restarted) {
        engine_restarted(node, known, state);
    }
    wb_engine_t *engine = engine_state_apply(node, before, state);
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
    wb_edge_node_origins_engine(node, engine);
    gboolean turned_cold = !was_cold && engine->state->cold_ms > 0;
    if (known == NULL || restarted || turned_cold ||
        was_draining != (engine->draining_since_ms != 0)) {
        engine_seen(node, engine, row);
    }
    wb_controller_engine_changed(node->controller, row->key);
}

void wb_edge_node_engine_batch(gboolean full_read, void *context) {
    (void)full_read;
    wb_edge_node_t *node = context;
    wb_exchanges_retry_waiting(&node->edge);
    if (node->edge.waiting.len > 0) {
        wb_edge_node_expedite_engines(node);
    }
}
