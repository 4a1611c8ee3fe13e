/* Announces the lease holder to nodes that have no link to it.
 * A node reads in the store which node holds the lease. Without access to the store it keeps the
 * holder it knows. When that holder stops or loses the lease, the node has no controller and
 * refuses requests for models that aren't loaded. So the new holder connects to each node that has
 * a row but no link, and sends it the lease row; the node then opens its own link to the holder.
 * Times are in ms. A failed announcement is repeated with exponential backoff. */
#include "edge/edge_node_types.h"

#include <string.h>

/* Nodes that can read the store open their link within two polls (1 s); the others get an
 * announcement then. */
#define LINK_WAIT_MS 1000
/* Backoff between announcements to a node, doubled each time. Most machines are back within
 * seconds; the row of one that isn't back expires only after minutes. */
#define RETRY_MS 1000
#define RETRY_MAX_MS 8000
/* The link of an announcement is closed after this time. */
#define LINK_LIFE_MS 1000
/* Spreads the announcements of a new holder to many nodes over several ticks. */
#define MAX_PER_TICK 8

/* Announcements to one node. */
struct wb_announcement_t {
    wb_edge_node_t *node;
    wb_link_t *link;         /* NULL: no announcement under way */
    int64_t connect_ms;      /* when the link was started */
    unsigned format_version; /* that the node reads */
    int64_t next_ms;
    int64_t retry_ms;
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
    uint64_t version = wb_edge_node_version_to_wire(node, wb_lease_confirmed_version(node->lease));
    if (!node->lease_held || known == NULL || version == 0) {
        return;
    }
    wb_wire_message message = {.kind = WB_WIRE_STORE_UPDATE};
    wb_wire_store_update *update = &message.wb_wire_message_u.store_update;
    wb_lease_row_t copy = wb_edge_node_lease_without_grants(known);
    update->lease = wb_edge_node_lease_to_wire(&copy);
    update->lease_version = version;
    wb_wire_extensions extensions = {0};
    wb_edge_node_era_add(node, &extensions);
    wb_link_set_format_version(link, announcement->format_version);
    wb_link_send_with_extensions(link, &message, &extensions);
    wb_extensions_clear(&extensions);
}

static void link_message(wb_link_t *link, const wb_wire_message *message, void *context) {
    (void)link;
    (void)message; /* the node sends its messages on its own link */
    (void)context;
}

static void link_close(wb_link_t *link, const char *reason, void *context) {
    (void)link;
    (void)reason; /* an unreachable node is tried again */
    wb_announcement_t *announcement = context;
    announcement->link = NULL;
}

static void announce(wb_announcement_t *announcement, const char *id, const wb_node_row_t *row,
                     int64_t now_ms) {
    wb_edge_node_t *node = announcement->node;
    wb_link_events_t events = {link_open, link_message, link_close, announcement, NULL, NULL};
    wb_error_t error;
    announcement->connect_ms = now_ms;
    announcement->format_version = row->format_version;
    announcement->retry_ms = CLAMP(2 * announcement->retry_ms, RETRY_MS, RETRY_MAX_MS);
    announcement->next_ms = now_ms + announcement->retry_ms;
    if (wb_link_connect(node->edge.loop, row->address, &events, &node->link_counters,
                        &announcement->link, &error) != APR_SUCCESS) {
        wb_event("announce-failed", ",\"to\":\"%s\",\"reason\":\"%s\"", id, error.message);
        return;
    }
    wb_event("announced", ",\"to\":\"%s\",\"address\":\"%s\"", id, row->address);
}

/* Returns the ids of nodes that report to this one; borrowed. */
static GHashTable *reporting_names(const wb_edge_node_t *node) {
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

/* Returns TRUE when an announcement was started. */
static gboolean announcement_check(wb_edge_node_t *node, const char *id, const wb_node_row_t *row,
                                   int64_t now_ms) {
    wb_announcement_t *announcement = g_hash_table_lookup(node->announcements, id);
    if (announcement == NULL) {
        announcement = g_new0(wb_announcement_t, 1);
        announcement->node = node;
        announcement->next_ms = now_ms + LINK_WAIT_MS;
        g_hash_table_insert(node->announcements, g_strdup(id), announcement);
    }
    if (announcement->link != NULL && now_ms - announcement->connect_ms >= LINK_LIFE_MS) {
        wb_link_close(announcement->link);
        announcement->link = NULL;
    }
    if (announcement->link != NULL || now_ms < announcement->next_ms) {
        return FALSE;
    }
    announce(announcement, id, row, now_ms);
    return TRUE;
}

void wb_edge_node_tick_announce(wb_edge_node_t *node, int64_t now_ms) {
    gboolean all_linked = g_hash_table_size(node->gateways) + 1 >= g_hash_table_size(node->nodes);
    /* In a large fleet there are also links for subscriptions, so the number of links doesn't show
     * whether all nodes are linked. */
    if (!node->lease_held || (all_linked && !wb_edge_node_has_large_fleet(node))) {
        g_hash_table_remove_all(node->announcements);
        return;
    }
    g_autoptr(GHashTable) reporting = reporting_names(node);
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    unsigned started = 0;
    g_hash_table_iter_init(&iter, node->nodes);
    while (g_hash_table_iter_next(&iter, &id, &value) && started < MAX_PER_TICK) {
        const wb_node_row_t *row = value;
        if (strcmp(id, node->edge.settings.id) == 0 || row->address == NULL) {
            continue;
        }
        if (g_hash_table_contains(reporting, id)) {
            g_hash_table_remove(node->announcements, id);
            continue;
        }
        started += announcement_check(node, id, row, now_ms);
    }
}
