/* Keeps the configuration in force, spreads accepted changes and catches up with missed ones. */
#include "wickbridge/config_store.h"

#include "config_store_internal.h"
#include "wickbridge/log.h"

#include <stdlib.h>
#include <string.h>

#define CHANGES_KEPT 64
#define FETCH_INTERVAL_MS 300
#define HEARD_SAME_NEEDED 2

static void change_free(gpointer data) {
    json_decref(data);
}

static void flood(wb_config_store_t *store, const wb_wire_message *message, const char *except) {
    g_autoptr(GPtrArray) nodes = wb_peers_overlay_nodes(store->peers);
    for (guint i = 0; i < nodes->len; i++)
        if (except == NULL || strcmp(nodes->pdata[i], except) != 0)
            wb_peers_send_if_connected(store->peers, nodes->pdata[i], message);
}

static void change_message(wb_wire_message *message, uint64_t from, uint64_t to, char *text) {
    message->kind = WB_WIRE_CONFIG_CHANGE;
    message->wb_wire_message_u.config_change.from = from;
    message->wb_wire_message_u.config_change.to = to;
    message->wb_wire_message_u.config_change.text = text;
}

/* Puts newer declarations in force. Never goes back. */
static gboolean config_install(wb_config_store_t *store, json_t *objects, uint64_t version) {
    wb_config_t *config;
    wb_error_t error;
    if (version <= store->current->version)
        return FALSE;
    if (wb_config_parse(objects, version, &config, NULL, &error) != APR_SUCCESS) {
        wb_log_warning(WB_LOG_CONFIG, "Version %" G_GUINT64_FORMAT " can't be read: %s.",
                       (guint64)version, error.message);
        return FALSE;
    }
    wb_config_unref(store->current);
    store->current = config;
    wb_log_info(WB_LOG_CONFIG, "Version %" G_GUINT64_FORMAT " is in force.", (guint64)version);
    store->events.on_config(config, store->events.context);
    return TRUE;
}

gboolean wb_config_change_take(wb_config_store_t *store, const json_t *change, uint64_t to,
                               const char *from_node) {
    if (to != store->current->version + 1)
        return FALSE;
    json_t *objects = wb_config_objects_apply(store->current->objects, change);
    gboolean installed = config_install(store, objects, to);
    json_decref(objects);
    if (!installed)
        return FALSE;
    g_ptr_array_add(store->changes, json_incref((json_t *)change));
    if (store->changes->len > CHANGES_KEPT)
        g_ptr_array_remove_index(store->changes, 0);
    char *text = wb_json_dump(change);
    wb_wire_message message;
    change_message(&message, to - 1, to, text);
    flood(store, &message, from_node);
    free(text);
    return TRUE;
}

gboolean wb_config_snapshot_take(wb_config_store_t *store, const json_t *objects,
                                 uint64_t version) {
    if (!config_install(store, (json_t *)objects, version))
        return FALSE;
    g_ptr_array_set_size(store->changes, 0);
    return TRUE;
}

/* Sends single changes when we have them all, else everything. */
static void fetch_answer(wb_config_store_t *store, const char *node, uint64_t have) {
    uint64_t version = store->current->version;
    if (have >= version)
        return;
    wb_wire_message message;
    if (version - have > store->changes->len) {
        char *text = wb_json_dump(store->current->objects);
        change_message(&message, version, version, text);
        wb_peers_send(store->peers, node, &message);
        free(text);
        return;
    }
    for (uint64_t to = have + 1; to <= version; to++) {
        guint index = (guint)(store->changes->len - (version - to) - 1);
        char *text = wb_json_dump(store->changes->pdata[index]);
        change_message(&message, to - 1, to, text);
        wb_peers_send(store->peers, node, &message);
        free(text);
    }
}

static void fetch_ask(wb_config_store_t *store, const char *node) {
    int64_t now_ms = wb_clock_ms();
    if (now_ms - store->fetch_asked_ms < FETCH_INTERVAL_MS)
        return;
    store->fetch_asked_ms = now_ms;
    wb_wire_message message = {.kind = WB_WIRE_CONFIG_FETCH};
    message.wb_wire_message_u.config_fetch.have = store->current->version;
    wb_peers_send(store->peers, node, &message);
}

static void change_message_take(wb_config_store_t *store, const char *node,
                                const wb_wire_config_change *wire) {
    if (wire->to <= store->current->version)
        return;
    json_t *body = json_loads(wire->text, 0, NULL);
    if (body == NULL)
        return;
    if (wire->from == wire->to)
        wb_config_snapshot_take(store, body, wire->to);
    else if (!wb_config_change_take(store, body, wire->to, node))
        fetch_ask(store, node);
    json_decref(body);
}

gboolean wb_config_store_handle_message(wb_config_store_t *store, const char *node,
                                 const wb_wire_message *message) {
    if (message->kind == WB_WIRE_CONFIG_FETCH)
        fetch_answer(store, node, message->wb_wire_message_u.config_fetch.have);
    else if (message->kind == WB_WIRE_CONFIG_CHANGE)
        change_message_take(store, node, &message->wb_wire_message_u.config_change);
    else
        return FALSE;
    return TRUE;
}

void wb_config_store_on_peer_version(wb_config_store_t *store, const char *node, uint64_t version) {
    if (version > store->current->version) {
        g_hash_table_remove_all(store->heard_same);
        fetch_ask(store, node);
        return;
    }
    if (store->ready || version == 0)
        return;
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(store->heard_same, node)) + 1;
    g_hash_table_replace(store->heard_same, g_strdup(node), GUINT_TO_POINTER(count));
    if (version == store->current->version && count >= HEARD_SAME_NEEDED) {
        /* The store may be away: all that neighbours know is known here as well. */
        wb_log_message(WB_LOG_CONFIG, "The configuration was learnt from other nodes.");
        store->ready = TRUE;
    }
}

wb_config_t *wb_config_store_current(const wb_config_store_t *store) {
    return store->current;
}

gboolean wb_config_store_is_ready(const wb_config_store_t *store) {
    return store->ready;
}

json_t *wb_config_store_history(const wb_config_store_t *store) {
    json_t *list = json_array();
    for (guint i = 0; i < store->changes->len; i++)
        json_array_append(list, store->changes->pdata[i]);
    return list;
}

wb_config_store_t *wb_config_store_start(wb_loop_t *loop, wb_platform_t *platform,
                                         wb_peers_t *peers, int64_t poll_interval_ms,
                                         const wb_config_store_events_t *events) {
    wb_config_store_t *store = g_new0(wb_config_store_t, 1);
    store->loop = loop;
    store->platform = platform;
    store->peers = peers;
    store->events = *events;
    store->poll_interval_ms = poll_interval_ms;
    store->changes = g_ptr_array_new_with_free_func(change_free);
    store->heard_same = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    json_t *empty = json_object();
    wb_config_parse(empty, 0, &store->current, NULL, NULL);
    json_decref(empty);
    wb_config_catch_up_start(store);
    return store;
}

void wb_config_store_stop(wb_config_store_t *store) {
    wb_config_catch_up_stop(store);
    wb_config_unref(store->current);
    g_ptr_array_unref(store->changes);
    g_hash_table_unref(store->heard_same);
    g_free(store);
}
