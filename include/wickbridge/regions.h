/**
 * @file allowed_regions.h
 * @brief Regions in which requests of a route or a tenant may be served.
 *
 * A zone lies in one region. Where both a route and a tenant name regions, a request may be served
 * only in those that both name.
 */
#ifndef WICKBRIDGE_REGIONS_H
#define WICKBRIDGE_REGIONS_H

#include <glib.h>

/**
 * Read which region each zone lies in.
 * @param text ZONE=REGION with commas between; what isn't of that form is passed over
 * @return zone -> region; to be freed with g_hash_table_unref
 */
GHashTable *wb_zone_regions_parse(const char *text);

/**
 * @param allowed_regions  names of regions, ended by NULL; NULL: all are allowed
 * @param region where an engine stands; NULL: it isn't known, which only allows what may be served
 * everywhere
 */
gboolean wb_regions_allow(const char *const *allowed_regions, const char *region);

#endif
