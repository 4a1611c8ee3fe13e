/* How streams began, shared between nodes, so that clients can take them up anywhere.
 * A node sends each start to the aggregator with the stream's first event. The aggregator keeps
 * all, sends them to a few gateways besides, and answers the others' questions. A node sends all
 * that it knows on a new link to an aggregator, so a new one learns what its predecessor knew.
 * Times are in ms; what is sent are durations. */
#include "edge/edge_node_types.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Gateways that keep the starts of all nodes: enough that one lives on. */
#define KEEPERS_MAX 8
/* Interval at which they are chosen again while no stream begins. */
#define KEEPERS_UPDATE_MS 500
/* Time in which gateways link to a new aggregator and send what they know. */
#define SETTLE_MS 2000
#define LEFT_MAX_MS (600 * 1000U)
/* Time for a start that a node has sent to arrive: a stream isn't lost before it was asked for
 * again after that. */
#define START_ARRIVAL_MS 500
#define ASKED_MAX 10000
/* Min interval of the numbers that all nodes return. */
#define ECHO_INTERVAL_MS 200
/* First format version whose controllers may answer without a record, and say what they rest on. */
#define FORMAT_WITH_PLACES 4

G_STATIC_ASSERT(WB_WIRE_DIGEST_BYTES == WB_REQUEST_DIGEST_BYTES);

static void key_to_wire(const wb_request_digest_t *key, char wire[WB_WIRE_DIGEST_BYTES]) {
    memcpy(wire, key->bytes, WB_WIRE_DIGEST_BYTES);
}

static wb_request_digest_t key_from_wire(const char wire[WB_WIRE_DIGEST_BYTES]) {
    wb_request_digest_t key;
    memcpy(key.bytes, wire, WB_WIRE_DIGEST_BYTES);
    return key;
}

/* Texts are borrowed. */
static wb_wire_stream_start start_to_wire(const wb_stream_start_t *start, int64_t now_ms) {
    wb_wire_stream_start wire = {.service = start->service,
                                 .software_version = start->software_version,
                                 .left_ms = (u_int)CLAMP(start->until_ms - now_ms, 1, LEFT_MAX_MS)};
    key_to_wire(&start->key, wire.key);
    return wire;
}

static void starts_message_send(wb_link_t *link, GArray *entries) {
    wb_wire_message message = {.kind = WB_WIRE_STREAM_STARTS};
    wb_wire_stream_starts *starts = &message.wb_wire_message_u.stream_starts;
    starts->entries.entries_len = entries->len;
    starts->entries.entries_val = (wb_wire_stream_start *)(void *)entries->data;
    if (entries->len > 0)
        wb_link_send(link, &message);
    g_array_set_size(entries, 0);
}

/* Sends the entries after a number, the latest first. */
static void starts_send(const wb_edge_node_t *node, wb_link_t *link, uint64_t after) {
    const wb_list_t *all = wb_stream_starts_all(node->edge.stream_starts);
    int64_t now_ms = wb_clock_ms();
    g_autoptr(GArray) entries = g_array_new(FALSE, FALSE, sizeof(wb_wire_stream_start));
    for (wb_list_item_t *item = all->ring.prev; item != &all->ring; item = item->prev) {
        const wb_stream_start_t *start = WB_LIST_OF(item, wb_stream_start_t, item);
        if (start->number <= after)
            break;
        wb_wire_stream_start wire = start_to_wire(start, now_ms);
        g_array_append_val(entries, wire);
        if (entries->len == WB_WIRE_LIST_MAX)
            starts_message_send(link, entries);
    }
    starts_message_send(link, entries);
}

static gboolean link_reads_starts(wb_link_t *link) {
    return wb_link_format_version(link) >= 2;
}

void wb_edge_node_stream_begun(const wb_stream_start_t *start, void *context) {
    wb_edge_node_t *node = context;
    if (wb_edge_node_is_aggregator(node) || !node->controller_link_open ||
        !link_reads_starts(node->controller_link))
        return; /* the tick, or a new link, sends it */
    g_autoptr(GArray) entries = g_array_new(FALSE, FALSE, sizeof(wb_wire_stream_start));
    wb_wire_stream_start wire = start_to_wire(start, wb_clock_ms());
    g_array_append_val(entries, wire);
    starts_message_send(node->controller_link, entries);
}

void wb_edge_node_streams_take(wb_edge_node_t *node, const wb_wire_stream_starts *starts) {
    int64_t now_ms = wb_clock_ms();
    for (guint i = 0; i < starts->entries.entries_len; i++) {
        const wb_wire_stream_start *wire = &starts->entries.entries_val[i];
        wb_request_digest_t key = key_from_wire(wire->key);
        wb_stream_starts_add(node->edge.stream_starts, &key, wire->service, wire->software_version,
                             now_ms + MIN(wire->left_ms, LEFT_MAX_MS));
    }
}

gboolean wb_edge_node_streams_settled(const wb_edge_node_t *node, int64_t now_ms) {
    return node->streams_since_ms != 0 && now_ms - node->streams_since_ms >= SETTLE_MS &&
           wb_edge_node_stream_rows_known(node, now_ms);
}

/* Whether all nodes are linked to this one, the aggregator, and have returned this number: each
 * sends all starts that it knows on a new link, and those that follow before it returns the number.
 * That a link is open doesn't show that what was sent on it has arrived. */
static gboolean all_have_echoed(const wb_edge_node_t *node, uint64_t echo) {
    g_autoptr(GHashTable) linked = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_add(linked, (gpointer)node->edge.settings.id);
    GHashTableIter iter;
    gpointer link;
    gpointer value;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, &link, &value)) {
        const wb_gateway_t *gateway = value;
        if (gateway->name != NULL && gateway->echo >= echo && link_reads_starts(link))
            g_hash_table_add(linked, gateway->name);
    }
    gpointer id;
    g_hash_table_iter_init(&iter, node->nodes);
    while (g_hash_table_iter_next(&iter, &id, NULL))
        if (!g_hash_table_contains(linked, id))
            return FALSE;
    return TRUE;
}

/* A stream that was asked for and isn't known. */
typedef struct wb_asked_stream_t {
    wb_request_digest_t key;
    int64_t first_ms;
    uint64_t echo; /* the first number that nodes are to return since */
} wb_asked_stream_t;

/* Notes that a stream isn't known. */
static const wb_asked_stream_t *asked_note(wb_edge_node_t *node, const wb_request_digest_t *key) {
    const wb_asked_stream_t *known = g_hash_table_lookup(node->streams_asked, key);
    if (known != NULL)
        return known;
    if (g_hash_table_size(node->streams_asked) >= ASKED_MAX)
        g_hash_table_remove_all(node->streams_asked);
    wb_asked_stream_t *asked = g_new0(wb_asked_stream_t, 1);
    *asked = (wb_asked_stream_t){*key, wb_clock_ms(), node->echo_sent + 1};
    g_hash_table_insert(node->streams_asked, &asked->key, asked);
    return asked;
}

/* Whether a stream's start, had any node known it when the stream was first asked for, would have
 * arrived by now. */
static gboolean has_no_start(wb_edge_node_t *node, const wb_request_digest_t *key) {
    const wb_asked_stream_t *asked = asked_note(node, key);
    if (!all_have_echoed(node, asked->echo)) {
        node->echo_wanted = TRUE;
        return FALSE;
    }
    return wb_clock_ms() - asked->first_ms >= START_ARRIVAL_MS;
}

void wb_edge_node_echo_want(wb_edge_node_t *node, wb_wire_extensions *extensions) {
    int64_t now_ms = wb_clock_ms();
    if (!node->echo_wanted || now_ms - node->echo_sent_ms < ECHO_INTERVAL_MS)
        return;
    node->echo_wanted = FALSE;
    node->echo_sent_ms = now_ms;
    node->edge.metrics.stream_echoes_wanted++;
    wb_wire_echo echo = {++node->echo_sent};
    wb_extensions_add(extensions, WB_WIRE_EXTENSION_ECHO, (xdrproc_t)xdr_wb_wire_echo, &echo);
}

void wb_edge_node_echo_return(wb_edge_node_t *node, const wb_wire_extensions *extensions) {
    wb_wire_echo echo = {0};
    if (!wb_extensions_read(extensions, WB_WIRE_EXTENSION_ECHO, (xdrproc_t)xdr_wb_wire_echo, &echo))
        return;
    node->echo_due = echo.number;
    wb_edge_node_send_demand(node);
}

void wb_edge_node_echo_add(wb_edge_node_t *node, wb_wire_extensions *extensions) {
    wb_wire_echo echo = {node->echo_due};
    if (node->echo_due == 0)
        return;
    wb_extensions_add(extensions, WB_WIRE_EXTENSION_ECHO, (xdrproc_t)xdr_wb_wire_echo, &echo);
    node->echo_due = 0;
}

void wb_edge_node_echo_take(const wb_edge_node_t *node, wb_gateway_t *gateway,
                            const wb_wire_extensions *extensions) {
    wb_wire_echo echo = {0};
    wb_extensions_read(extensions, WB_WIRE_EXTENSION_ECHO, (xdrproc_t)xdr_wb_wire_echo, &echo);
    if (echo.number <= node->echo_sent)
        gateway->echo = MAX(gateway->echo, echo.number);
}

static gboolean asked_is_over(gpointer key, gpointer value, gpointer context) {
    (void)key;
    return ((const wb_asked_stream_t *)value)->first_ms < *(const int64_t *)context;
}

void wb_edge_node_streams_create(wb_edge_node_t *node) {
    node->streams_asked =
        g_hash_table_new_full(wb_request_digest_hash, wb_request_digest_key_equal, NULL, g_free);
    node->stream_rows = wb_edge_node_stream_rows_create(&node->edge.settings);
}

/* Whether no node can know how a stream began of which this node, the settled aggregator, has no
 * record: it has those of all nodes, and its configuration is the newest that the lease row names.
 * No record can arrive of a stream that its client doesn't name. */
static gboolean unknown_is_lost(wb_edge_node_t *node, const wb_request_digest_t *key,
                                gboolean named) {
    const wb_catalog_t *catalog = node->edge.catalog;
    return (!named || has_no_start(node, key)) && wb_lease_is_held(node->lease, wb_clock_ms()) &&
           catalog != NULL && catalog->version >= node->stored_catalog_version &&
           all_have_echoed(node, 0);
}

wb_start_lookup_t wb_edge_node_ask_stream_start(const wb_request_digest_t *key,
                                                const wb_stream_place_t *place, void *context) {
    wb_edge_node_t *node = context;
    if (wb_edge_node_is_aggregator(node)) {
        if (!wb_edge_node_streams_settled(node, wb_clock_ms()))
            return WB_START_ASKED;
        return unknown_is_lost(node, key, place->named) ? WB_START_LOST : WB_START_UNKNOWN;
    }
    if (!node->controller_link_open || !link_reads_starts(node->controller_link))
        return wb_edge_node_controller_view(node).reach != WB_CONTROLLER_UNREACHABLE
                   ? WB_START_ASKED
                   : WB_START_UNKNOWN;
    wb_wire_message message = {.kind = WB_WIRE_STREAM_QUERY};
    wb_wire_stream_query *query = &message.wb_wire_message_u.stream_query;
    key_to_wire(key, query->key);
    query->service = "";
    wb_wire_extensions extensions = {0};
    if (wb_link_format_version(node->controller_link) >= FORMAT_WITH_PLACES) {
        wb_wire_stream_place wire = {(char *)place->host, (char *)place->path, place->named};
        query->service = (char *)place->service;
        wb_extensions_add(&extensions, WB_WIRE_EXTENSION_STREAM_PLACE,
                          (xdrproc_t)xdr_wb_wire_stream_place, &wire);
    }
    wb_link_send_with_extensions(node->controller_link, &message, &extensions);
    wb_extensions_clear(&extensions);
    return WB_START_ASKED;
}

/* What a gateway asks for that has no record. */
typedef struct wb_unrecorded_t {
    gboolean named;   /* by its client */
    const char *sole; /* the version at which it must have begun; NULL: not known */
} wb_unrecorded_t;

static wb_unrecorded_t unrecorded_read(wb_edge_node_t *node, const wb_link_t *link,
                                       const wb_wire_stream_query *query) {
    wb_wire_stream_place wire = {0};
    wb_unrecorded_t unrecorded = {TRUE, NULL};
    if (wb_extensions_read(wb_link_extensions(link), WB_WIRE_EXTENSION_STREAM_PLACE,
                           (xdrproc_t)xdr_wb_wire_stream_place, &wire)) {
        wb_stream_place_t place = {query->service, wire.host, wire.path, wire.named};
        unrecorded = (wb_unrecorded_t){wire.named, wb_edge_node_sole_version(&place, node)};
    }
    xdr_free((xdrproc_t)xdr_wb_wire_stream_place, &wire);
    return unrecorded;
}

void wb_edge_node_stream_query(wb_edge_node_t *node, wb_link_t *link,
                               const wb_wire_stream_query *query) {
    int64_t now_ms = wb_clock_ms();
    wb_request_digest_t key = key_from_wire(query->key);
    const wb_stream_start_t *start = wb_stream_starts_find(node->edge.stream_starts, &key);
    wb_unrecorded_t unrecorded = {0};
    if (start == NULL)
        unrecorded = unrecorded_read(node, link, query);
    gboolean known = start != NULL || unrecorded.sole != NULL;
    if (!wb_edge_node_is_aggregator(node) ||
        (!known && !wb_edge_node_streams_settled(node, now_ms)))
        return; /* the gateway asks again */
    wb_wire_message message = {.kind = WB_WIRE_STREAM_ANSWER};
    wb_wire_stream_answer *answer = &message.wb_wire_message_u.stream_answer;
    memcpy(answer->key, query->key, sizeof(answer->key));
    answer->known = known;
    answer->service = start != NULL ? start->service : query->service;
    answer->software_version = start != NULL ? start->software_version
                               : known       ? (char *)unrecorded.sole
                                             : "";
    answer->left_ms = start != NULL ? (u_int)CLAMP(start->until_ms - now_ms, 1, LEFT_MAX_MS) : 0;
    wb_wire_extensions extensions = {0};
    wb_wire_stream_loss loss = {!known && unknown_is_lost(node, &key, unrecorded.named)};
    if (loss.is_lost)
        wb_extensions_add(&extensions, WB_WIRE_EXTENSION_STREAM_LOSS,
                          (xdrproc_t)xdr_wb_wire_stream_loss, &loss);
    wb_link_send_with_extensions(link, &message, &extensions);
    wb_extensions_clear(&extensions);
}

void wb_edge_node_stream_answer(wb_edge_node_t *node, const wb_wire_stream_answer *answer,
                                const wb_wire_extensions *extensions) {
    wb_request_digest_t key = key_from_wire(answer->key);
    wb_wire_stream_loss loss = {FALSE};
    wb_extensions_read(extensions, WB_WIRE_EXTENSION_STREAM_LOSS,
                       (xdrproc_t)xdr_wb_wire_stream_loss, &loss);
    if (!answer->known) {
        wb_exchanges_start_unknown(&node->edge, &key, loss.is_lost);
        return;
    }
    /* Only a record has a time left. */
    wb_exchanges_start_known(&node->edge, &key, answer->service, answer->software_version,
                             answer->left_ms > 0);
}

void wb_edge_node_streams_link_open(wb_edge_node_t *node) {
    starts_send(node, node->controller_link, 0);
}

/* A gateway that may keep all starts. */
typedef struct wb_keeper_t {
    wb_link_t *link;
    wb_gateway_t *gateway;
    uint64_t rank;
} wb_keeper_t;

static gint lower_rank_first(gconstpointer left, gconstpointer right) {
    const wb_keeper_t *a = left;
    const wb_keeper_t *b = right;
    return a->rank < b->rank ? -1 : a->rank > b->rank;
}

/* The same gateways each time, as long as they are linked. */
static GArray *keepers_choose(const wb_edge_node_t *node) {
    GArray *keepers = g_array_new(FALSE, FALSE, sizeof(wb_keeper_t));
    GHashTableIter iter;
    gpointer link;
    gpointer value;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, &link, &value)) {
        wb_gateway_t *gateway = value;
        if (gateway->name == NULL || gateway->subscription != NULL || !link_reads_starts(link))
            continue;
        wb_keeper_t keeper = {link, gateway, XXH64(gateway->name, strlen(gateway->name), 0)};
        g_array_append_val(keepers, keeper);
    }
    g_array_sort(keepers, lower_rank_first);
    g_array_set_size(keepers, MIN(keepers->len, KEEPERS_MAX));
    return keepers;
}

static void keepers_update(wb_edge_node_t *node, int64_t now_ms) {
    uint64_t number = wb_stream_starts_number(node->edge.stream_starts);
    gboolean changed = number != node->streams_number;
    if (!changed && now_ms - node->keepers_updated_ms < KEEPERS_UPDATE_MS)
        return;
    node->streams_number = number;
    node->keepers_updated_ms = now_ms;
    g_autoptr(GArray) keepers = keepers_choose(node);
    for (guint i = 0; i < keepers->len; i++) {
        const wb_keeper_t *keeper = &g_array_index(keepers, wb_keeper_t, i);
        if (keeper->gateway->starts_number < number)
            starts_send(node, keeper->link, keeper->gateway->starts_number);
        keeper->gateway->starts_number = number;
    }
}

void wb_edge_node_tick_streams(wb_edge_node_t *node, int64_t now_ms) {
    node->edge.engines_partial = !wb_edge_node_reads_engines(node);
    if (!wb_edge_node_is_aggregator(node)) {
        node->streams_since_ms = 0;
        return;
    }
    if (node->streams_since_ms == 0)
        node->streams_since_ms = now_ms;
    keepers_update(node, now_ms);
}

void wb_edge_node_sweep_streams(wb_edge_node_t *node, int64_t now_ms) {
    int64_t oldest_ms = now_ms - (int64_t)(node->edge.settings.resume_window_s * 1000);
    wb_stream_starts_sweep(node->edge.stream_starts, now_ms);
    g_hash_table_foreach_remove(node->streams_asked, asked_is_over, &oldest_ms);
}
