/**
 * @file regions.h
 * @brief Allowed regions (data residency) of routes and tenants, and the region of each zone.
 *
 * A zone belongs to one region. If both the route and the tenant of a request restrict its regions,
 * both restrictions apply. The functions keep no state and report no errors.
 */
#ifndef WICKBRIDGE_REGIONS_H
#define WICKBRIDGE_REGIONS_H

#include <glib.h>

/**
 * Parse the regions of zones.
 * @param text ZONE=REGION,...; malformed entries are skipped
 * @return zone -> region; free it with g_hash_table_unref
 */
GHashTable *wb_zone_regions_parse(const char *text);

/**
 * Check whether a request may be served in a region.
 * @param allowed_regions NULL-terminated; NULL: all
 * @param region the engine's region; NULL: unknown, which is allowed only if all regions are
 */
gboolean wb_regions_allow(const char *const *allowed_regions, const char *region);

#endif
