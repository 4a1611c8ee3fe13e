/* Zones that operators evacuate: nothing new goes to their engines until that is taken back.
 *
 * A row of the catalog's table says so, so it reaches nodes as a configuration does, within
 * catalog-ms. What the operators allow beyond that (evacuate-ms) is used to load elsewhere what
 * stands in that zone alone: until then its engines get what no other engine can take.
 *
 * The lease's holder tells all that it knows of zones with each of its news, so that a node which
 * the store turns away knows it, too. */
#include "edge/edge_node_types.h"

#include <string.h>

/* A request that is sent at the last moment arrives some time later: a new connection takes up to
 * 250 ms, a slow machine some 100. */
#define ARRIVAL_SHARE 0.25
/* Rows of more zones than any deployment has (6) are somebody's mistake. */
#define ZONES_MOST 64

/* What is known of a zone's row. */
typedef struct wb_zone_row_t {
    int64_t version;
    gboolean evacuated;
} wb_zone_row_t;

/* Time for which the zone's engines still get what no other can take. A node that has just started
 * doesn't know for how long the zone has been evacuated. */
static int64_t grace_ms(const wb_edge_node_t *node) {
    const wb_edge_settings_t *settings = &node->edge.settings;
    if (!wb_table_watch_is_synced(node->catalog_watch)) {
        return 0;
    }
    int64_t left_ms = MAX(settings->evacuate_ms - settings->catalog_ms, 0);
    return (int64_t)((1 - ARRIVAL_SHARE) * (double)left_ms);
}

static void zone_evacuate(wb_edge_node_t *node, const char *zone) {
    int64_t now_ms = wb_clock_ms();
    if (wb_fleet_zone_is_evacuated(node->edge.fleet, zone)) {
        return;
    }
    int64_t closed_ms = now_ms + grace_ms(node);
    unsigned engines = wb_fleet_evacuate_zone(node->edge.fleet, zone, closed_ms);
    node->edge.metrics.evacuations++;
    wb_event("zone-evacuated", ",\"of\":\"%s\",\"engines\":%u,\"closed_in_ms\":%lld",
             wb_event_escape(zone), engines, (long long)(closed_ms - now_ms));
}

/* Engines of a zone that is taken back may have turned cold just before, and their rows, a
 * heartbeat old, don't tell yet. */
static void zone_is_cold(wb_edge_node_t *node, const char *zone) {
    int64_t now_ms = wb_clock_ms();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, wb_fleet_all(node->edge.fleet));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_engine_t *engine = value;
        const wb_service_t *service =
            node->edge.catalog != NULL
                ? wb_catalog_service(node->edge.catalog, engine->state->service)
                : NULL;
        if (service != NULL && strcmp(engine->state->zone, zone) == 0) {
            engine->cold_until_ms = MAX(engine->cold_until_ms, now_ms + service->cold_start_ms);
        }
    }
}

static void zone_take_back(wb_edge_node_t *node, const char *zone) {
    if (!wb_fleet_zone_is_evacuated(node->edge.fleet, zone)) {
        return;
    }
    unsigned engines = wb_fleet_end_evacuation(node->edge.fleet, zone);
    zone_is_cold(node, zone);
    wb_event("zone-taken-back", ",\"of\":\"%s\",\"engines\":%u", wb_event_escape(zone), engines);
    wb_exchanges_retry_waiting(&node->edge);
}

static void zone_note(wb_edge_node_t *node, const char *zone, int64_t version, gboolean evacuated) {
    wb_zone_row_t *known = g_hash_table_lookup(node->zones, zone);
    if (known == NULL && g_hash_table_size(node->zones) >= ZONES_MOST) {
        wb_event("zone-ignored", ",\"of\":\"%s\",\"known\":%d", wb_event_escape(zone), ZONES_MOST);
        return;
    }
    if (known == NULL) {
        known = g_new0(wb_zone_row_t, 1);
        g_hash_table_insert(node->zones, g_strdup(zone), known);
    }
    if (version <= known->version) {
        return;
    }
    *known = (wb_zone_row_t){version, evacuated};
    if (evacuated) {
        zone_evacuate(node, zone);
    } else {
        zone_take_back(node, zone);
    }
}

GHashTable *wb_edge_node_zones_create(void) {
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

gboolean wb_edge_node_zone_row(wb_edge_node_t *node, const wb_table_row_t *row) {
    const char *prefix = node->edge.dialect->evacuation_prefix;
    if (prefix == NULL || !g_str_has_prefix(row->key, prefix)) {
        return FALSE;
    }
    zone_note(node, row->key + strlen(prefix), row->version, row->value != NULL);
    return TRUE;
}

void wb_edge_node_zones_tell(const wb_edge_node_t *node, GArray *rows) {
    GHashTableIter iter;
    gpointer zone;
    gpointer value;
    g_hash_table_iter_init(&iter, node->zones);
    while (g_hash_table_iter_next(&iter, &zone, &value)) {
        const wb_zone_row_t *known = value;
        wb_table_row_t row = {zone, known->evacuated ? (guchar *)"" : NULL, 0, known->version};
        wb_edge_node_wire_row_add(rows, WB_NEWS_ZONES, &row);
    }
}

void wb_edge_node_zone_told(wb_edge_node_t *node, const wb_wire_table_row *wire) {
    zone_note(node, wire->key, (int64_t)wire->row_version, !wire->removed);
}
