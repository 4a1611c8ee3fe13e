/* Evacuation of zones by operators: no new requests go to a zone's engines until the evacuation is
 * ended.
 * A row of the catalog table starts an evacuation, so it reaches nodes like a configuration, within
 * catalog-ms. The time that evacuate-ms allows beyond that is used to load elsewhere the models
 * that only this zone holds; until then its engines get the requests that no other engine can take.
 * The lease holder includes the zones of engines in each store update, so that nodes without access
 * to the store learn of them. Times are in ms. */
#include "edge/edge_node_types.h"

#include <string.h>

/* Share of the remaining time kept as a margin: a request that is sent at the last moment arrives
 * later, as a new connection takes up to connect-timeout-ms. */
#define ARRIVAL_MARGIN_SHARE 0.25
/* Bounds memory; further rows are ignored. Far above the zones of any deployment, as rows of zones
 * that aren't there must not keep those that are from being followed. */
#define ZONES_MAX 4096
/* Most zones in a store update. With more, those of known engines only. */
#define ZONES_SENT_MAX 64

/* The last known row of a zone. */
typedef struct wb_zone_row_t {
    int64_t version;
    gboolean evacuated;
} wb_zone_row_t;

/* Time for which the zone's engines still get the requests that no other engine can take. 0 at a
 * node that has just started, which doesn't know when the evacuation began. */
static int64_t grace_ms(const wb_edge_node_t *node) {
    const wb_edge_settings_t *settings = &node->edge.settings;
    if (!wb_table_watch_is_synced(node->catalog_watch)) {
        return 0;
    }
    int64_t left_ms = MAX(settings->evacuate_ms - settings->catalog_ms, 0);
    return (int64_t)((1 - ARRIVAL_MARGIN_SHARE) * (double)left_ms);
}

static void zone_evacuate(wb_edge_node_t *node, const char *zone) {
    int64_t now_ms = wb_clock_ms();
    if (wb_fleet_zone_is_evacuated(node->edge.fleet, zone)) {
        return;
    }
    int64_t from_ms = now_ms + grace_ms(node);
    unsigned engines = wb_fleet_evacuate_zone(node->edge.fleet, zone, from_ms);
    node->edge.metrics.evacuations++;
    wb_event("zone-evacuated", ",\"of\":\"%s\",\"engines\":%u,\"closed_in_ms\":%lld", zone, engines,
             (long long)(from_ms - now_ms));
}

/* Treats the engines of a zone as cold when its evacuation ends: they may have turned cold just
 * before, and their rows, up to a heartbeat old, don't show it yet. */
static void zone_engines_set_cold(wb_edge_node_t *node, const char *zone) {
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

static void zone_evacuation_end(wb_edge_node_t *node, const char *zone) {
    if (!wb_fleet_zone_is_evacuated(node->edge.fleet, zone)) {
        return;
    }
    unsigned engines = wb_fleet_end_evacuation(node->edge.fleet, zone);
    zone_engines_set_cold(node, zone);
    wb_event("zone-taken-back", ",\"of\":\"%s\",\"engines\":%u", zone, engines);
    wb_exchanges_retry_waiting(&node->edge);
}

static gboolean zone_is_open(gpointer zone, gpointer row, gpointer context) {
    (void)zone;
    (void)context;
    return !((const wb_zone_row_t *)row)->evacuated;
}

/* Returns FALSE if there are too many zones. Forgets those whose evacuation has ended first. */
static gboolean has_room(wb_edge_node_t *node) {
    if (g_hash_table_size(node->zones) >= ZONES_MAX)
        g_hash_table_foreach_remove(node->zones, zone_is_open, NULL);
    return g_hash_table_size(node->zones) < ZONES_MAX;
}

static void zone_note(wb_edge_node_t *node, const char *zone, int64_t version, gboolean evacuated) {
    wb_zone_row_t *known = g_hash_table_lookup(node->zones, zone);
    if (known == NULL && !has_room(node)) {
        node->edge.metrics.rows_refused++;
        wb_event("zone-ignored", ",\"of\":\"%s\",\"known\":%d", zone, ZONES_MAX);
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
        zone_evacuation_end(node, zone);
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

/* Returns the zones of known engines; names are borrowed. */
static GHashTable *engine_zones(const wb_edge_node_t *node) {
    GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, wb_fleet_all(node->edge.fleet));
    while (g_hash_table_iter_next(&iter, NULL, &value))
        g_hash_table_add(zones, ((wb_engine_t *)value)->state->zone);
    return zones;
}

/* Adds zones to a store update. @param only to add the zones in it only; NULL: all */
static void zones_add(const wb_edge_node_t *node, GHashTable *only, GArray *rows) {
    GHashTableIter iter;
    gpointer zone;
    gpointer value;
    guint added = 0;
    g_hash_table_iter_init(&iter, node->zones);
    while (added < ZONES_SENT_MAX && g_hash_table_iter_next(&iter, &zone, &value)) {
        if (only != NULL && !g_hash_table_contains(only, zone))
            continue;
        const wb_zone_row_t *known = value;
        wb_table_row_t row = {zone, known->evacuated ? (guchar *)"" : NULL, 0, known->version};
        wb_edge_node_wire_row_add(node, rows, WB_UPDATE_ZONES, &row);
        added++;
    }
}

void wb_edge_node_zones_append(const wb_edge_node_t *node, GArray *rows) {
    if (g_hash_table_size(node->zones) <= ZONES_SENT_MAX) {
        zones_add(node, NULL, rows);
        return;
    }
    g_autoptr(GHashTable) zones = engine_zones(node);
    zones_add(node, zones, rows);
}

void wb_edge_node_zone_take(wb_edge_node_t *node, const wb_wire_table_row *wire, int64_t era) {
    zone_note(node, wire->key, wb_edge_node_version_from_wire(era, wire->row_version),
              !wire->removed);
}
