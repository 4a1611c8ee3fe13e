/* The lease's holder announces itself to nodes that don't report to it.
 *
 * A node learns from the store who holds the lease. One that the store turns away, or that is cut
 * off from it, keeps to the holder it knows, which may be gone or no longer hold it: what it can't
 * serve with what is loaded is then refused. So the holder connects to each node that has a row in
 * the store and no link to it, and tells it the lease's row; the node then links to it as usual. */
#include "edge/edge_node_types.h"

#include <string.h>

/* A node that reads the store links within two of its looks (1 s); the others are told then. */
#define PATIENCE_MS 1000
/* An announcement that found nobody is made again after this time, then after twice that, and so
 * on. Machines come back within some seconds, and those that don't keep their rows for minutes. */
#define AGAIN_MS 1000
#define AGAIN_LIMIT_MS 8000
/* A link that was announced on ends after this time, or its other end has. */
#define LINK_LIFE_MS 1000
/* At a takeover before hundreds of machines the announcements are spread over some ticks of 50 ms.
 */
#define MOST_A_TICK 8

/* What the holder knows of a node that doesn't report to it. */
struct wb_announcement_t {
    wb_edge_node_t *node;
    wb_link_t *link;  /* NULL: none under way */
    int64_t begun_ms; /* of the link */
    int64_t next_ms;
    int64_t pause_ms;
};

static void announcement_free(gpointer data) {
    wb_announcement_t *announcement = data;
    if (announcement->link != NULL) {
        wb_link_close(announcement->link);
    }
    g_free(announcement);
}

GHashTable *wb_edge_node_announcements_create(void) {
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, announcement_free);
}

static void link_open(wb_link_t *link, void *context) {
    const wb_announcement_t *announcement = context;
    const wb_edge_node_t *node = announcement->node;
    const wb_lease_row_t *known = wb_lease_known_row(node->lease);
    if (!node->held || known == NULL) {
        return;
    }
    wb_wire_message message = {.kind = WB_WIRE_STORE_UPDATE};
    wb_wire_store_update *news = &message.wb_wire_message_u.store_update;
    wb_lease_row_t in_short = wb_edge_node_lease_in_short(known);
    news->lease = wb_edge_node_lease_to_wire(&in_short);
    news->lease_version = (uint64_t)wb_lease_version(node->lease);
    wb_link_send(link, &message);
}

static void link_message(wb_link_t *link, const wb_wire_message *message, void *context) {
    (void)link;
    (void)message; /* the other end says what it has to say on a link of its own */
    (void)context;
}

static void link_close(wb_link_t *link, const char *reason, void *context) {
    (void)link;
    (void)reason; /* nobody there, which the next try finds out */
    wb_announcement_t *announcement = context;
    announcement->link = NULL;
}

static void announce(wb_announcement_t *announcement, const char *id, const char *address,
                     int64_t now_ms) {
    wb_edge_node_t *node = announcement->node;
    wb_link_events_t events = {link_open, link_message, link_close, announcement, NULL, NULL};
    wb_error_t error;
    announcement->begun_ms = now_ms;
    announcement->pause_ms = CLAMP(2 * announcement->pause_ms, AGAIN_MS, AGAIN_LIMIT_MS);
    announcement->next_ms = now_ms + announcement->pause_ms;
    if (wb_link_connect(node->edge.loop, address, &events, &node->link_counters,
                        &announcement->link, &error) != APR_SUCCESS) {
        wb_event("announce-failed", ",\"to\":\"%s\",\"reason\":\"%s\"", wb_event_escape(id),
                 wb_event_escape(error.message));
        return;
    }
    wb_event("announced", ",\"to\":\"%s\",\"address\":\"%s\"", wb_event_escape(id), address);
}

/* Returns the names of nodes that report to this one. */
static GHashTable *reporting_collect(const wb_edge_node_t *node) {
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, node->gateways);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_gateway_t *gateway = value;
        if (gateway->name != NULL) {
            g_hash_table_add(names, gateway->name);
        }
    }
    return names;
}

/* Returns TRUE when it has begun to announce. */
static gboolean announcement_check(wb_edge_node_t *node, const char *id, const char *address,
                                   int64_t now_ms) {
    wb_announcement_t *announcement = g_hash_table_lookup(node->announcements, id);
    if (announcement == NULL) {
        announcement = g_new0(wb_announcement_t, 1);
        announcement->node = node;
        announcement->next_ms = now_ms + PATIENCE_MS;
        g_hash_table_insert(node->announcements, g_strdup(id), announcement);
    }
    if (announcement->link != NULL && now_ms - announcement->begun_ms >= LINK_LIFE_MS) {
        wb_link_close(announcement->link);
        announcement->link = NULL;
    }
    if (announcement->link != NULL || now_ms < announcement->next_ms) {
        return FALSE;
    }
    announce(announcement, id, address, now_ms);
    return TRUE;
}

void wb_edge_node_tick_announce(wb_edge_node_t *node, int64_t now_ms) {
    gboolean all_linked = g_hash_table_size(node->gateways) + 1 >= g_hash_table_size(node->nodes);
    /* In a large fleet there are links for rows of engines, too, which count for nothing here. */
    if (!node->held || (all_linked && !wb_edge_node_is_large(node))) {
        g_hash_table_remove_all(node->announcements);
        return;
    }
    g_autoptr(GHashTable) reporting = reporting_collect(node);
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    unsigned begun = 0;
    g_hash_table_iter_init(&iter, node->nodes);
    while (g_hash_table_iter_next(&iter, &id, &value) && begun < MOST_A_TICK) {
        const wb_node_row_t *row = value;
        if (strcmp(id, node->edge.settings.id) == 0 || row->address == NULL) {
            continue;
        }
        if (g_hash_table_contains(reporting, id)) {
            g_hash_table_remove(node->announcements, id);
            continue;
        }
        begun += announcement_check(node, id, row->address, now_ms);
    }
}
