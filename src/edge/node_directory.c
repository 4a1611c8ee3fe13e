/* Engines as a gateway knows them that doesn't read their table.
 *
 * The load that it answers: thousands of engines, hundreds of gateways of an eighth of a core, each
 * of which gets a request in some seconds. 10,000 rows at each of 985 nodes were 2,150 s of
 * processor before the first request came. So where the table is large, nodes that have a stronger
 * one beside them ask such a node (a relay) for the engines of the models that their callers name,
 * and are told of changes to these. The strongest machines read the table, a thirty-second of all
 * nodes at least; each gateway keeps to one of them, found by hashing: when a relay is lost its
 * gateways spread over the others. A gateway that finds none for some seconds reads the table
 * itself, like any node of a small fleet.
 *
 * The limit, one page of the table (500 rows), is where reading begins to cost several calls: at
 * 297 machines and 3,003 engines it gave 0.811 of worth, 2,000 rows 0.758, reading at all nodes
 * 0.774.
 *
 * What it doesn't do: give orders. A node that doesn't know all engines never takes the lease. */
#include "edge/edge_node_types.h"

#include "directory/table_readers.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* All machines start within 0.3 s, and write their rows within 2 s. */
#define DECIDE_MS 2500
/* After a restart the rows are there: one read of them shows who is strong. */
#define DECIDE_AGAIN_MS 100
/* A relay that has just started reads the table for some seconds before it can answer. */
#define READING_MS 4000
/* A relay tells each half second that it is there. */
#define SILENT_MS 1200
#define CONNECT_AGAIN_MS 100
/* Who finds no relay for so long reads the table; spread, as others may be as badly off. */
#define ALONE_MS 4000
#define ALONE_SPREAD_MS 6000
/* A request waits so long for its model's engines to be told. */
#define ANSWER_MS 500
/* What was told of a model is asked for anew when it is used after so long: replicas come and go.
 */
#define REFRESH_MS 5000
/* News of engines that aren't known here are kept for so long, for when their rows come. */
#define NEWS_KEPT_MS 2000

/* A model's engines were asked for. */
typedef struct wb_wanted_t {
    char *service;
    char *model;
    int64_t asked_ms; /* 0: not on this link */
    int64_t answered_ms;
} wb_wanted_t;

/* News of an engine whose row is asked for. */
typedef struct wb_early_news_t {
    wb_wire_placement_entry entry; /* with texts of its own */
    int64_t at_ms;
} wb_early_news_t;

struct wb_directory_t {
    wb_edge_node_t *node;
    wb_directory_state_t state;
    int64_t since_ms;     /* in this state */
    GHashTable *wanted;   /* SERVICE/MODEL -> wb_wanted_t */
    GPtrArray *early;     /* of wb_early_news_t */
    GHashTable *versions; /* id of an engine -> int64_t *, as told */
    wb_link_t *link;
    char *relay;            /* id of the node at its other end */
    gboolean greeted;       /* it reads the messages that this needs */
    gboolean early_answers; /* it has answered before it knew all engines */
    gboolean relay_told;    /* it has answered, knowing them */
    gboolean told;          /* some relay has */
    int64_t linked_ms;
    int64_t heard_ms;
    int64_t connect_ms;    /* not before */
    int64_t lost_since_ms; /* no relay since; 0: there is one */
    GHashTable *failed;    /* id of a node that couldn't be reached -> int64_t *, when */
};

static void wanted_free(gpointer data) {
    wb_wanted_t *wanted = data;
    g_free(wanted->service);
    g_free(wanted->model);
    g_free(wanted);
}

static void early_free(gpointer data) {
    wb_early_news_t *news = data;
    wb_edge_node_placement_clear(&news->entry);
    g_free(news);
}

wb_directory_t *wb_edge_node_directory_create(wb_edge_node_t *node) {
    wb_directory_t *directory = g_new0(wb_directory_t, 1);
    directory->node = node;
    directory->wanted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, wanted_free);
    directory->early = g_ptr_array_new_with_free_func(early_free);
    directory->versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    directory->failed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return directory;
}

gboolean wb_edge_node_is_large(const wb_edge_node_t *node) {
    return node->directory->state != WB_DIRECTORY_SMALL;
}

gboolean wb_edge_node_reads_engines(const wb_edge_node_t *node) {
    wb_directory_state_t state = node->directory->state;
    return state == WB_DIRECTORY_SMALL || state == WB_DIRECTORY_WHOLE;
}

gboolean wb_edge_node_knows_engines(const wb_edge_node_t *node) {
    return wb_edge_node_reads_engines(node) && wb_table_watch_is_synced(node->engines_watch) &&
           !wb_table_watch_is_reading(node->engines_watch);
}

gboolean wb_edge_node_directory_is_ready(const wb_edge_node_t *node) {
    return node->directory->state != WB_DIRECTORY_PART || node->directory->told;
}

static void state_set(wb_directory_t *directory, wb_directory_state_t state, const char *why) {
    static const char *const names[] = {"small", "undecided", "whole", "part"};
    directory->state = state;
    directory->since_ms = wb_clock_ms();
    wb_event("engines-table", ",\"read\":\"%s\",\"why\":\"%s\"", names[state], why);
}

/* Which nodes read the table. */

/* Returns the nodes that read the table, as all nodes find them: wb_table_reader_t. */
static GArray *readers_find(const wb_edge_node_t *node) {
    GArray *readers = g_array_new(FALSE, FALSE, sizeof(wb_table_reader_t));
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    g_hash_table_iter_init(&iter, node->nodes);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const wb_node_row_t *row = value;
        if (row->form >= 2 && row->address != NULL) {
            wb_table_reader_t one = {id, row->processor_share};
            g_array_append_val(readers, one);
        }
    }
    wb_table_readers_select(readers, g_hash_table_size(node->nodes));
    return readers;
}

void wb_edge_node_directory_large(void *context) {
    wb_edge_node_t *node = context;
    if (node->directory->state == WB_DIRECTORY_SMALL) {
        state_set(node->directory, WB_DIRECTORY_UNDECIDED, "large");
    }
}

/* Reads the table after all. */
static void whole_begin(wb_directory_t *directory, const char *why) {
    state_set(directory, WB_DIRECTORY_WHOLE, why);
    wb_table_watch_read_all(directory->node->engines_watch);
}

/* What was read before the table was large would not be kept up to date. */
static void engines_forget(wb_edge_node_t *node) {
    g_autoptr(GList) ids = g_hash_table_get_keys(wb_fleet_all(node->edge.fleet));
    for (GList *item = ids; item != NULL; item = item->next) {
        g_autofree char *id = g_strdup(item->data);
        wb_engine_t *engine = wb_fleet_find(node->edge.fleet, id);
        wb_upstreams_close_idle(engine);
        wb_fleet_remove(node->edge.fleet, id, 0);
    }
}

/* Once the nodes are known this one is a reader of the table or leaves it to them. */
static void decide(wb_directory_t *directory, int64_t now_ms) {
    wb_edge_node_t *node = directory->node;
    gboolean all_known = wb_table_watch_is_synced(node->nodes_watch) && node->node_row_written;
    int64_t decide_ms = node->node_row_adopted ? DECIDE_AGAIN_MS : DECIDE_MS;
    if (!all_known || now_ms - directory->since_ms < decide_ms) {
        return;
    }
    g_autoptr(GArray) readers = readers_find(node);
    if (readers->len == 0 || wb_table_readers_has(readers, node->edge.settings.id)) {
        whole_begin(directory, "reader");
        return;
    }
    state_set(directory, WB_DIRECTORY_PART, "weaker");
    wb_table_watch_follow_subset(node->engines_watch);
    engines_forget(node);
    directory->lost_since_ms = now_ms;
}

/* What is asked and told. */

static void want_send(wb_directory_t *directory, GPtrArray *wanted, GArray *known) {
    wb_wire_message message = {.kind = WB_WIRE_ENGINE_SUBSCRIBE};
    wb_wire_engine_subscribe *want = &message.wb_wire_message_u.engine_subscribe;
    g_autofree wb_wire_engine_selector *wants = g_new0(wb_wire_engine_selector, MAX(wanted->len, 1));
    for (guint i = 0; i < wanted->len; i++) {
        wb_wanted_t *one = g_ptr_array_index(wanted, i);
        wants[i] = (wb_wire_engine_selector){one->service, one->model};
        one->asked_ms = wb_clock_ms();
    }
    want->zone = (char *)directory->node->edge.settings.zone;
    want->wants.wants_len = wanted->len;
    want->wants.wants_val = wants;
    want->known.known_len = known != NULL ? known->len : 0;
    want->known.known_val = known != NULL ? (wb_wire_row_version *)(void *)known->data : NULL;
    directory->node->edge.metrics.subscriptions_sent++;
    wb_link_send(directory->link, &message);
}

/* Another relay is there: it is told all that is known here, and asked for what has changed. */
static void all_ask(wb_directory_t *directory) {
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
        wb_wire_row_version row = {key, (uint64_t) * (const int64_t *)value};
        g_array_append_val(known, row);
    }
    want_send(directory, wanted, known);
}

static void early_apply(wb_directory_t *directory, int64_t now_ms) {
    for (guint i = directory->early->len; i-- > 0;) {
        const wb_early_news_t *news = g_ptr_array_index(directory->early, i);
        wb_engine_t *engine = wb_fleet_find(directory->node->edge.fleet, news->entry.engine);
        if (engine != NULL) {
            wb_edge_node_placement_take(directory->node, engine, &news->entry);
        }
        if (engine != NULL || now_ms - news->at_ms > NEWS_KEPT_MS) {
            g_ptr_array_remove_index_fast(directory->early, i);
        }
    }
}

static void answered_note(wb_directory_t *directory, const wb_wire_engine_selector *want,
                          int64_t now_ms) {
    g_autofree char *key = g_strjoin("/", want->service, want->model, NULL);
    wb_wanted_t *wanted = g_hash_table_lookup(directory->wanted, key);
    if (wanted != NULL) {
        wanted->answered_ms = now_ms;
    }
}

static void rows_take(wb_directory_t *directory, const wb_wire_engine_update *show) {
    wb_edge_node_t *node = directory->node;
    for (guint i = 0; i < show->rows.rows_len; i++) {
        const wb_wire_table_row *wire = &show->rows.rows_val[i];
        int64_t version = (int64_t)wire->row_version;
        wb_table_row_t row = {wire->key, wire->removed ? NULL : (guchar *)wire->value.value_val,
                              wire->value.value_len, version};
        g_hash_table_replace(directory->versions, g_strdup(wire->key),
                             g_memdup2(&version, sizeof(version)));
        wb_table_watch_apply_row(node->engines_watch, &row);
    }
    for (guint i = 0; i < show->holds.holds_len; i++) {
        const wb_wire_placement_entry *entry = &show->holds.holds_val[i];
        wb_engine_t *engine = wb_fleet_find(node->edge.fleet, entry->engine);
        if (engine != NULL) {
            wb_edge_node_placement_take(node, engine, entry);
        }
    }
}

/* What a relay tells before it knows all engines is true, but nothing may be missed in it: all is
 * asked again once it does. */
static void show_take(wb_directory_t *directory, const wb_wire_engine_update *show) {
    wb_edge_node_t *node = directory->node;
    int64_t now_ms = wb_clock_ms();
    gboolean ask_again = show->whole && directory->early_answers;
    directory->heard_ms = now_ms;
    directory->early_answers = !show->whole;
    rows_take(directory, show);
    if (ask_again) {
        all_ask(directory);
        return;
    }
    if (!show->whole) {
        return;
    }
    directory->told = TRUE;
    directory->relay_told = TRUE;
    directory->lost_since_ms = 0;
    for (guint i = 0; i < show->answered.answered_len; i++) {
        answered_note(directory, &show->answered.answered_val[i], now_ms);
    }
    wb_table_watch_note_peer_read(node->engines_watch, 0, now_ms - (int64_t)show->age_ms);
    early_apply(directory, now_ms);
    if (show->answered.answered_len > 0 || show->rows.rows_len > 0) {
        wb_exchanges_retry_waiting(&node->edge);
    }
}

/* The link to a relay. */

static void link_open(wb_link_t *link, void *context) {
    wb_directory_t *directory = context;
    directory->heard_ms = wb_clock_ms();
    wb_edge_node_hello_send(directory->node, link);
}

static void link_message(wb_link_t *link, const wb_wire_message *message, void *context) {
    wb_directory_t *directory = context;
    if (message->kind == WB_WIRE_HELLO) {
        wb_edge_node_hello_take(link, &message->wb_wire_message_u.hello);
        if (!directory->greeted && wb_link_format_version(link) >= 2) {
            directory->greeted = TRUE;
            all_ask(directory);
        }
    } else if (message->kind == WB_WIRE_ENGINE_UPDATE) {
        show_take(directory, &message->wb_wire_message_u.engine_update);
    }
}

static void relay_lost(wb_directory_t *directory, const char *reason) {
    int64_t now_ms = wb_clock_ms();
    GHashTableIter iter;
    gpointer value;
    wb_event("relay-lost", ",\"of\":\"%s\",\"reason\":\"%s\"", wb_event_escape(directory->relay),
             wb_event_escape(reason));
    g_hash_table_replace(directory->failed, g_strdup(directory->relay),
                         g_memdup2(&now_ms, sizeof(now_ms)));
    directory->link = NULL;
    directory->connect_ms = now_ms + CONNECT_AGAIN_MS;
    if (directory->lost_since_ms == 0) {
        directory->lost_since_ms = now_ms;
    }
    g_hash_table_iter_init(&iter, directory->wanted);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((wb_wanted_t *)value)->asked_ms = 0;
    }
}

static void link_close(wb_link_t *link, const char *reason, void *context) {
    (void)link;
    relay_lost(context, reason);
}

static gboolean failed_long_ago(gpointer key, gpointer value, gpointer context) {
    (void)key;
    return *(const int64_t *)context - *(const int64_t *)value > ALONE_MS;
}

static void relay_connect(wb_directory_t *directory, int64_t now_ms) {
    wb_edge_node_t *node = directory->node;
    g_autoptr(GArray) readers = readers_find(node);
    g_hash_table_foreach_remove(directory->failed, failed_long_ago, &now_ms);
    const char *relay = wb_table_readers_choose_relay(readers, node->edge.settings.id, directory->failed);
    const wb_node_row_t *row = relay != NULL ? g_hash_table_lookup(node->nodes, relay) : NULL;
    wb_link_events_t events = {link_open, link_message, link_close, directory, NULL, NULL};
    wb_error_t error;
    directory->connect_ms = now_ms + CONNECT_AGAIN_MS;
    if (row == NULL) {
        return;
    }
    g_free(directory->relay);
    directory->relay = g_strdup(relay);
    directory->greeted = FALSE;
    directory->early_answers = FALSE;
    directory->relay_told = FALSE;
    directory->linked_ms = now_ms;
    directory->heard_ms = now_ms;
    if (wb_link_connect(node->edge.loop, row->address, &events, &node->link_counters,
                        &directory->link, &error) != APR_SUCCESS) {
        directory->link = NULL;
        relay_lost(directory, error.message);
        return;
    }
    wb_event("relay-linked", ",\"of\":\"%s\",\"readers\":%u", wb_event_escape(directory->relay),
             readers->len);
}

/* Lets a relay go that is silent or doesn't come to know all engines. */
static void relay_check(wb_directory_t *directory, int64_t now_ms) {
    gboolean silent = now_ms - directory->heard_ms > SILENT_MS;
    gboolean knows_nothing = !directory->relay_told && now_ms - directory->linked_ms > READING_MS;
    if (directory->link != NULL && (silent || knows_nothing)) {
        wb_link_t *link = directory->link;
        relay_lost(directory, silent ? "silent" : "it doesn't know all engines");
        wb_link_close(link);
    }
}

/* Time without a relay after which this node reads the table itself. */
static int64_t alone_ms(const wb_directory_t *directory) {
    const char *id = directory->node->edge.settings.id;
    return ALONE_MS + (int64_t)(XXH64(id, strlen(id), 1) % ALONE_SPREAD_MS);
}

static void alone_check(wb_directory_t *directory, int64_t now_ms) {
    if (directory->lost_since_ms == 0 || now_ms - directory->lost_since_ms <= alone_ms(directory)) {
        return;
    }
    if (directory->link != NULL) {
        wb_link_close(directory->link);
        directory->link = NULL;
    }
    whole_begin(directory, "alone");
}

void wb_edge_node_tick_directory(wb_edge_node_t *node, int64_t now_ms) {
    wb_directory_t *directory = node->directory;
    if (directory->state == WB_DIRECTORY_UNDECIDED) {
        decide(directory, now_ms);
    }
    if (directory->state != WB_DIRECTORY_PART) {
        return;
    }
    relay_check(directory, now_ms);
    if (directory->link == NULL && now_ms >= directory->connect_ms) {
        relay_connect(directory, now_ms);
    }
    alone_check(directory, now_ms);
}

/* What requests ask. */

static wb_wanted_t *wanted_get(wb_directory_t *directory, const char *service, const char *model) {
    g_autofree char *key = g_strjoin("/", service, model, NULL);
    wb_wanted_t *wanted = g_hash_table_lookup(directory->wanted, key);
    if (wanted == NULL) {
        wanted = g_new0(wb_wanted_t, 1);
        wanted->service = g_strdup(service);
        wanted->model = g_strdup(model);
        g_hash_table_insert(directory->wanted, g_steal_pointer(&key), wanted);
    }
    return wanted;
}

gboolean wb_edge_node_directory_knows(const char *service, const char *model, int64_t since_ms,
                                      void *context) {
    const wb_edge_node_t *node = context;
    wb_directory_t *directory = node->directory;
    int64_t now_ms = wb_clock_ms();
    if (directory->state != WB_DIRECTORY_PART) {
        return TRUE;
    }
    wb_wanted_t *wanted = wanted_get(directory, service, model);
    gboolean stale = now_ms - MAX(wanted->asked_ms, wanted->answered_ms) > REFRESH_MS;
    gboolean missing = *model != '\0' && wanted->answered_ms > wanted->asked_ms &&
                       now_ms - wanted->asked_ms > ANSWER_MS &&
                       !wb_fleet_holds(node->edge.fleet, service, model, "", now_ms);
    if (directory->link != NULL && directory->greeted &&
        (wanted->asked_ms == 0 || stale || missing)) {
        g_autoptr(GPtrArray) one = g_ptr_array_new();
        g_ptr_array_add(one, wanted);
        want_send(directory, one, NULL);
    }
    return wanted->answered_ms != 0 || now_ms - since_ms > ANSWER_MS;
}

gboolean wb_edge_node_directory_news(wb_edge_node_t *node, const wb_wire_placement_entry *entry) {
    wb_directory_t *directory = node->directory;
    if (directory->state != WB_DIRECTORY_PART) {
        return FALSE;
    }
    /* Whoever waits here for the model needs this engine; others ask when they use it. */
    if (!entry->held || directory->link == NULL || !directory->greeted ||
        !wb_exchanges_any_waiting_for(&node->edge, entry->model)) {
        return TRUE;
    }
    wb_early_news_t *news = g_new0(wb_early_news_t, 1);
    news->at_ms = wb_clock_ms();
    news->entry = (wb_wire_placement_entry){g_strdup(entry->engine), g_strdup(entry->model),
                                            g_strdup(entry->adapter), TRUE, 0};
    g_ptr_array_add(directory->early, news);
    g_autoptr(GPtrArray) none = g_ptr_array_new();
    g_autoptr(GArray) known = g_array_new(FALSE, FALSE, sizeof(wb_wire_row_version));
    wb_wire_row_version row = {entry->engine, 0};
    g_array_append_val(known, row);
    want_send(directory, none, known);
    return TRUE;
}
