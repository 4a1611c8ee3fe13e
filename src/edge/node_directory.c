/* The engines that a gateway knows when the engines table is too large to be read by every node.
 * Reading 10,000 rows at each of 985 nodes took 2,150 s of processor time before the first request.
 * A table above the setting engine-rows-most is read by the strongest machines only
 * (table_readers.h). Any other node is a subscriber: it keeps a link to one reader (its relay,
 * chosen by rendezvous hash so that the gateways of a lost relay spread over the rest), subscribes
 * to the engines of the models that its clients request, and receives their rows and later changes.
 * A subscriber without a relay reads the table itself after some seconds.
 * A subscriber never takes the lease, as it doesn't know all engines.
 * Times are in ms. Link errors are logged and retried with another relay. */
#include "edge/edge_node_types.h"

#include "directory/table_readers.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Delay before the readers are selected, so that all nodes of a cold start have written their rows:
 * machines start within 0.3 s of each other, and write them within 2 s. */
#define SELECT_READERS_MS 2500
/* The same after a restart: the rows of the other nodes are there after one read. */
#define SELECT_AFTER_RESTART_MS 100
/* Sent as the version of a row that is known from before the store went back. */
#define OLDEST_NUMBER 1
/* Time in which a relay that has just started must complete its first full read. */
#define RELAY_READ_TIMEOUT_MS 4000
/* A relay sends a heartbeat after 500 ms without changes. */
#define RELAY_TIMEOUT_MS 1200
#define RECONNECT_MS 100
/* Time without a relay after which a subscriber reads the table itself; spread by node, as many may
 * lose their relays together. */
#define NO_RELAY_MS 4000
#define NO_RELAY_SPREAD_MS 6000
/* Time for which a request waits for the engines of its model. */
#define SUBSCRIBE_TIMEOUT_MS 500
/* A model that is still used is subscribed to again after this time, to learn of new replicas. */
#define REFRESH_MS 5000
/* Time for which a placement update of an engine without a row is kept. */
#define EARLY_PLACEMENT_LIFE_MS 2000

/* A model that clients requested. */
typedef struct wb_wanted_model_t {
    char *service;
    char *model;
    int64_t asked_ms;    /* when it was last subscribed to; 0: not on this link */
    int64_t answered_ms; /* when a relay last answered for it; 0: never */
} wb_wanted_model_t;

/* A placement update that came before the row of its engine. */
typedef struct wb_early_placement_t {
    wb_wire_placement_entry entry; /* owns its texts */
    int64_t received_ms;
} wb_early_placement_t;

struct wb_directory_t {
    wb_edge_node_t *node;
    wb_directory_state_t state;
    int64_t since_ms;            /* when this state began */
    GHashTable *wanted;          /* SERVICE/MODEL -> wb_wanted_model_t */
    GPtrArray *early_placements; /* of wb_early_placement_t */
    GHashTable *versions;        /* id of an engine -> int64_t *, version of its row as received */
    wb_link_t *link;
    wb_transit_t transit;        /* of the updates on link */
    char *relay;                 /* id of the node at the other end of link */
    gboolean handshake_done;     /* the relay's format version allows subscriptions */
    gboolean incomplete_answers; /* the relay answered during its first full read */
    gboolean relay_complete;     /* the relay answered with a complete table */
    gboolean complete;           /* this relay or an earlier one has answered so */
    int64_t linked_ms;
    int64_t received_ms;
    int64_t connect_ms;    /* next attempt to connect */
    int64_t lost_since_ms; /* since when there is no relay; 0: there is one */
    GHashTable *failed;    /* id of a node that couldn't be reached -> int64_t *, when */
};

static void wanted_free(gpointer data) {
    wb_wanted_model_t *wanted = data;
    g_free(wanted->service);
    g_free(wanted->model);
    g_free(wanted);
}

static void early_placement_free(gpointer data) {
    wb_early_placement_t *placement = data;
    wb_edge_node_placement_clear(&placement->entry);
    g_free(placement);
}

wb_directory_t *wb_edge_node_directory_create(wb_edge_node_t *node) {
    wb_directory_t *directory = g_new0(wb_directory_t, 1);
    directory->node = node;
    directory->wanted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, wanted_free);
    directory->early_placements = g_ptr_array_new_with_free_func(early_placement_free);
    directory->versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    directory->failed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return directory;
}

gboolean wb_edge_node_has_large_fleet(const wb_edge_node_t *node) {
    return node->directory->state != WB_DIRECTORY_SMALL;
}

gboolean wb_edge_node_reads_engines(const wb_edge_node_t *node) {
    wb_directory_state_t state = node->directory->state;
    return state == WB_DIRECTORY_SMALL || state == WB_DIRECTORY_READER;
}

gboolean wb_edge_node_knows_engines(const wb_edge_node_t *node) {
    return wb_edge_node_reads_engines(node) && wb_table_watch_is_synced(node->engines_watch) &&
           !wb_table_watch_is_reading(node->engines_watch);
}

gboolean wb_edge_node_directory_is_ready(const wb_edge_node_t *node) {
    return node->directory->state != WB_DIRECTORY_SUBSCRIBER || node->directory->complete;
}

static void state_set(wb_directory_t *directory, wb_directory_state_t state, const char *why) {
    static const char *const names[] = {"small", "undecided", "whole", "part"};
    directory->state = state;
    directory->since_ms = wb_clock_ms();
    wb_event("engines-table", ",\"read\":\"%s\",\"why\":\"%s\"", names[state], why);
}

/* Selection of the readers. */

/* Returns the nodes that read the table, the same list at every node: wb_table_reader_t. */
static GArray *readers_select(const wb_edge_node_t *node) {
    GArray *readers = g_array_new(FALSE, FALSE, sizeof(wb_table_reader_t));
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    g_hash_table_iter_init(&iter, node->nodes);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const wb_node_row_t *row = value;
        if (row->format_version >= 2 && row->address != NULL) {
            wb_table_reader_t reader = {id, row->processor_share};
            g_array_append_val(readers, reader);
        }
    }
    wb_table_readers_select(readers, g_hash_table_size(node->nodes));
    return readers;
}

void wb_edge_node_directory_on_large(void *context) {
    wb_edge_node_t *node = context;
    if (node->directory->state == WB_DIRECTORY_SMALL) {
        state_set(node->directory, WB_DIRECTORY_UNDECIDED, "large");
    }
}

/* Reads the table, as a selected reader or for lack of a relay. */
static void reader_begin(wb_directory_t *directory, const char *why) {
    state_set(directory, WB_DIRECTORY_READER, why);
    wb_table_watch_read_all(directory->node->engines_watch);
}

/* Removes the engines read before the table was found to be large: their rows would no longer be
 * updated. */
static void engines_clear(wb_edge_node_t *node) {
    g_autoptr(GList) ids = g_hash_table_get_keys(wb_fleet_all(node->edge.fleet));
    for (GList *item = ids; item != NULL; item = item->next) {
        g_autofree char *id = g_strdup(item->data);
        wb_engine_t *engine = wb_fleet_find(node->edge.fleet, id);
        wb_upstreams_close_idle(engine);
        wb_fleet_remove(node->edge.fleet, id, 0);
    }
}

/* Makes this node a reader or a subscriber, once its own row is written and the other nodes are
 * known. */
static void readers_decide(wb_directory_t *directory, int64_t now_ms) {
    wb_edge_node_t *node = directory->node;
    gboolean all_known = wb_table_watch_is_synced(node->nodes_watch) && node->node_row_written;
    int64_t decide_ms = node->node_row_adopted ? SELECT_AFTER_RESTART_MS : SELECT_READERS_MS;
    if (!all_known || now_ms - directory->since_ms < decide_ms) {
        return;
    }
    g_autoptr(GArray) readers = readers_select(node);
    if (readers->len == 0 || wb_table_readers_has(readers, node->edge.settings.id)) {
        reader_begin(directory, "reader");
        return;
    }
    state_set(directory, WB_DIRECTORY_SUBSCRIBER, "weaker");
    wb_table_watch_follow_subset(node->engines_watch);
    engines_clear(node);
    directory->lost_since_ms = now_ms;
}

/* Subscriptions and updates. */

static void subscribe_send(wb_directory_t *directory, GPtrArray *wanted, GArray *known) {
    wb_wire_message message = {.kind = WB_WIRE_ENGINE_SUBSCRIBE};
    wb_wire_engine_subscribe *want = &message.wb_wire_message_u.engine_subscribe;
    g_autofree wb_wire_engine_selector *wants =
        g_new0(wb_wire_engine_selector, MAX(wanted->len, 1));
    for (guint i = 0; i < wanted->len; i++) {
        wb_wanted_model_t *model = g_ptr_array_index(wanted, i);
        wants[i] = (wb_wire_engine_selector){model->service, model->model};
        model->asked_ms = wb_clock_ms();
    }
    want->zone = (char *)directory->node->edge.settings.zone;
    want->wants.wants_len = wanted->len;
    want->wants.wants_val = wants;
    want->known.known_len = known != NULL ? known->len : 0;
    want->known.known_val = known != NULL ? (wb_wire_row_version *)(void *)known->data : NULL;
    directory->node->edge.metrics.subscriptions_sent++;
    wb_wire_extensions extensions = {0};
    wb_edge_node_era_add(directory->node, &extensions);
    wb_link_send_with_extensions(directory->link, &message, &extensions);
    wb_extensions_clear(&extensions);
}

/* Sends all subscriptions and the versions of all known rows, to receive what has changed since: on
 * a new link, and once the relay's first full read is complete. */
static void subscribe_all(wb_directory_t *directory) {
    g_autoptr(GPtrArray) wanted = g_ptr_array_new();
    g_autoptr(GArray) known = g_array_new(FALSE, FALSE, sizeof(wb_wire_row_version));
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, directory->wanted);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(wanted, value);
    }
    g_hash_table_iter_init(&iter, directory->versions);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        uint64_t number = wb_edge_node_version_to_wire(directory->node, *(const int64_t *)value);
        wb_wire_row_version row = {key, MAX(number, OLDEST_NUMBER)};
        g_array_append_val(known, row);
    }
    subscribe_send(directory, wanted, known);
}

static void early_placements_apply(wb_directory_t *directory, int64_t now_ms) {
    for (guint i = directory->early_placements->len; i-- > 0;) {
        const wb_early_placement_t *placement = g_ptr_array_index(directory->early_placements, i);
        wb_engine_t *engine = wb_fleet_find(directory->node->edge.fleet, placement->entry.engine);
        if (engine != NULL) {
            wb_edge_node_placement_take(directory->node, engine, &placement->entry);
        }
        if (engine != NULL || now_ms - placement->received_ms > EARLY_PLACEMENT_LIFE_MS) {
            g_ptr_array_remove_index_fast(directory->early_placements, i);
        }
    }
}

static void wanted_answered(wb_directory_t *directory, const wb_wire_engine_selector *want,
                            int64_t now_ms) {
    g_autofree char *key = g_strjoin("/", want->service, want->model, NULL);
    wb_wanted_model_t *wanted = g_hash_table_lookup(directory->wanted, key);
    if (wanted != NULL) {
        wanted->answered_ms = now_ms;
    }
}

static void rows_take(wb_directory_t *directory, const wb_wire_engine_update *update, int64_t era) {
    wb_edge_node_t *node = directory->node;
    for (guint i = 0; i < update->rows.rows_len; i++) {
        const wb_wire_table_row *wire = &update->rows.rows_val[i];
        int64_t version = wb_edge_node_version_from_wire(era, wire->row_version);
        wb_table_row_t row = {wire->key, wire->removed ? NULL : (guchar *)wire->value.value_val,
                              wire->value.value_len, version};
        g_hash_table_replace(directory->versions, g_strdup(wire->key),
                             g_memdup2(&version, sizeof(version)));
        wb_table_watch_apply_row(node->engines_watch, &row);
    }
    for (guint i = 0; i < update->holds.holds_len; i++) {
        const wb_wire_placement_entry *entry = &update->holds.holds_val[i];
        wb_engine_t *engine = wb_fleet_find(node->edge.fleet, entry->engine);
        if (engine != NULL) {
            wb_edge_node_placement_take(node, engine, entry);
        }
    }
}

/* Rows that a relay sends before its first full read is complete are valid, but some may be
 * missing: subscribes to all again once it is complete. */
static void engine_update_take(wb_directory_t *directory, const wb_wire_engine_update *update,
                               const wb_wire_extensions *extensions, int64_t era) {
    wb_edge_node_t *node = directory->node;
    int64_t now_ms = wb_clock_ms();
    int64_t sent_ms = wb_edge_node_sent_ms(&directory->transit, extensions, now_ms);
    gboolean resubscribe = update->whole && directory->incomplete_answers;
    directory->received_ms = now_ms;
    if (era < node->store_era) {
        return; /* the relay hasn't noticed yet that the store went back */
    }
    directory->incomplete_answers = !update->whole;
    rows_take(directory, update, era);
    if (resubscribe) {
        subscribe_all(directory);
        return;
    }
    if (!update->whole) {
        return;
    }
    directory->complete = TRUE;
    directory->relay_complete = TRUE;
    directory->lost_since_ms = 0;
    for (guint i = 0; i < update->answered.answered_len; i++) {
        wanted_answered(directory, &update->answered.answered_val[i], now_ms);
    }
    wb_table_watch_note_peer_read(node->engines_watch, 0, sent_ms - (int64_t)update->age_ms);
    early_placements_apply(directory, now_ms);
    if (update->answered.answered_len > 0 || update->rows.rows_len > 0) {
        wb_exchanges_retry_waiting(&node->edge);
    }
}

/* The link to a relay. */

static void link_open(wb_link_t *link, void *context) {
    wb_directory_t *directory = context;
    directory->received_ms = wb_clock_ms();
    directory->transit = (wb_transit_t){0};
    wb_edge_node_handshake_send(directory->node, link);
}

static void link_message(wb_link_t *link, const wb_wire_message *message, void *context) {
    wb_directory_t *directory = context;
    if (message->kind == WB_WIRE_HELLO) {
        wb_edge_node_handshake_take(link, &message->wb_wire_message_u.hello);
        if (!directory->handshake_done && wb_link_format_version(link) >= 2) {
            directory->handshake_done = TRUE;
            subscribe_all(directory);
        }
    } else if (message->kind == WB_WIRE_ENGINE_UPDATE) {
        engine_update_take(directory, &message->wb_wire_message_u.engine_update,
                           wb_link_extensions(link),
                           wb_edge_node_message_era(directory->node, link));
    }
}

static void relay_lost(wb_directory_t *directory, const char *reason) {
    int64_t now_ms = wb_clock_ms();
    GHashTableIter iter;
    gpointer value;
    wb_event("relay-lost", ",\"of\":\"%s\",\"reason\":\"%s\"", directory->relay, reason);
    g_hash_table_replace(directory->failed, g_strdup(directory->relay),
                         g_memdup2(&now_ms, sizeof(now_ms)));
    directory->link = NULL;
    directory->connect_ms = now_ms + RECONNECT_MS;
    if (directory->lost_since_ms == 0) {
        directory->lost_since_ms = now_ms;
    }
    g_hash_table_iter_init(&iter, directory->wanted);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((wb_wanted_model_t *)value)->asked_ms = 0;
    }
}

static void link_close(wb_link_t *link, const char *reason, void *context) {
    (void)link;
    relay_lost(context, reason);
}

static gboolean failure_expired(gpointer key, gpointer value, gpointer context) {
    (void)key;
    return *(const int64_t *)context - *(const int64_t *)value > NO_RELAY_MS;
}

static void relay_connect(wb_directory_t *directory, int64_t now_ms) {
    wb_edge_node_t *node = directory->node;
    g_autoptr(GArray) readers = readers_select(node);
    g_hash_table_foreach_remove(directory->failed, failure_expired, &now_ms);
    const char *relay =
        wb_table_readers_choose_relay(readers, node->edge.settings.id, directory->failed);
    const wb_node_row_t *row = relay != NULL ? g_hash_table_lookup(node->nodes, relay) : NULL;
    wb_link_events_t events = {link_open, link_message, link_close, directory, NULL, NULL};
    wb_error_t error;
    directory->connect_ms = now_ms + RECONNECT_MS;
    if (row == NULL) {
        return;
    }
    g_free(directory->relay);
    directory->relay = g_strdup(relay);
    directory->handshake_done = FALSE;
    directory->incomplete_answers = FALSE;
    directory->relay_complete = FALSE;
    directory->linked_ms = now_ms;
    directory->received_ms = now_ms;
    if (wb_link_connect(node->edge.loop, row->address, &events, &node->link_counters,
                        &directory->link, &error) != APR_SUCCESS) {
        directory->link = NULL;
        relay_lost(directory, error.message);
        return;
    }
    wb_event("relay-linked", ",\"of\":\"%s\",\"readers\":%u", directory->relay, readers->len);
}

/* Drops a relay that is unresponsive or doesn't complete its first full read. */
static void relay_check(wb_directory_t *directory, int64_t now_ms) {
    gboolean unresponsive = now_ms - directory->received_ms > RELAY_TIMEOUT_MS;
    gboolean incomplete =
        !directory->relay_complete && now_ms - directory->linked_ms > RELAY_READ_TIMEOUT_MS;
    if (directory->link != NULL && (unresponsive || incomplete)) {
        wb_link_t *link = directory->link;
        relay_lost(directory, unresponsive ? "unresponsive" : "its first full read took too long");
        wb_link_close(link);
    }
}

/* Time without a relay after which this node reads the table itself. */
static int64_t no_relay_timeout_ms(const wb_directory_t *directory) {
    const char *id = directory->node->edge.settings.id;
    return NO_RELAY_MS + (int64_t)(XXH64(id, strlen(id), 1) % NO_RELAY_SPREAD_MS);
}

static void no_relay_check(wb_directory_t *directory, int64_t now_ms) {
    if (directory->lost_since_ms == 0 ||
        now_ms - directory->lost_since_ms <= no_relay_timeout_ms(directory)) {
        return;
    }
    if (directory->link != NULL) {
        wb_link_close(directory->link);
        directory->link = NULL;
    }
    reader_begin(directory, "alone");
}

void wb_edge_node_tick_directory(wb_edge_node_t *node, int64_t now_ms) {
    wb_directory_t *directory = node->directory;
    if (directory->state == WB_DIRECTORY_UNDECIDED) {
        readers_decide(directory, now_ms);
    }
    if (directory->state != WB_DIRECTORY_SUBSCRIBER) {
        return;
    }
    relay_check(directory, now_ms);
    if (directory->link == NULL && now_ms >= directory->connect_ms) {
        relay_connect(directory, now_ms);
    }
    no_relay_check(directory, now_ms);
}

/* Queries from requests. */

static wb_wanted_model_t *wanted_get(wb_directory_t *directory, const char *service,
                                     const char *model) {
    g_autofree char *key = g_strjoin("/", service, model, NULL);
    wb_wanted_model_t *wanted = g_hash_table_lookup(directory->wanted, key);
    if (wanted == NULL) {
        wanted = g_new0(wb_wanted_model_t, 1);
        wanted->service = g_strdup(service);
        wanted->model = g_strdup(model);
        g_hash_table_insert(directory->wanted, g_steal_pointer(&key), wanted);
    }
    return wanted;
}

gboolean wb_edge_node_directory_engines_known(const char *service, const char *model,
                                              int64_t since_ms, void *context) {
    const wb_edge_node_t *node = context;
    wb_directory_t *directory = node->directory;
    int64_t now_ms = wb_clock_ms();
    if (directory->state != WB_DIRECTORY_SUBSCRIBER) {
        return TRUE;
    }
    wb_wanted_model_t *wanted = wanted_get(directory, service, model);
    gboolean stale = now_ms - MAX(wanted->asked_ms, wanted->answered_ms) > REFRESH_MS;
    gboolean replica_missing = *model != '\0' && wanted->answered_ms > wanted->asked_ms &&
                               now_ms - wanted->asked_ms > SUBSCRIBE_TIMEOUT_MS &&
                               !wb_fleet_holds(node->edge.fleet, service, model, "", now_ms);
    if (directory->link != NULL && directory->handshake_done &&
        (wanted->asked_ms == 0 || stale || replica_missing)) {
        g_autoptr(GPtrArray) models = g_ptr_array_new();
        g_ptr_array_add(models, wanted);
        subscribe_send(directory, models, NULL);
    }
    return wanted->answered_ms != 0 || now_ms - since_ms > SUBSCRIBE_TIMEOUT_MS;
}

gboolean wb_edge_node_directory_placement(wb_edge_node_t *node,
                                          const wb_wire_placement_entry *entry) {
    wb_directory_t *directory = node->directory;
    if (directory->state != WB_DIRECTORY_SUBSCRIBER) {
        return FALSE;
    }
    /* Only a request that waits here for the model needs the engine's row now; a later request
     * subscribes to it. */
    if (!entry->held || directory->link == NULL || !directory->handshake_done ||
        !wb_exchanges_any_waiting_for(&node->edge, entry->model)) {
        return TRUE;
    }
    wb_early_placement_t *placement = g_new0(wb_early_placement_t, 1);
    placement->received_ms = wb_clock_ms();
    placement->entry = (wb_wire_placement_entry){g_strdup(entry->engine), g_strdup(entry->model),
                                                 g_strdup(entry->adapter), TRUE, 0};
    g_ptr_array_add(directory->early_placements, placement);
    g_autoptr(GPtrArray) none = g_ptr_array_new();
    g_autoptr(GArray) known = g_array_new(FALSE, FALSE, sizeof(wb_wire_row_version));
    wb_wire_row_version row = {entry->engine, 0};
    g_array_append_val(known, row);
    subscribe_send(directory, none, known);
    return TRUE;
}
