/**
 * @file regions.h
 * @brief Regions in which requests of a route or a tenant may be served.
 *
 * A zone lies in one region. Where both a route and a tenant name regions, a request may be served
 * only in those that both name.
 */
#ifndef WICKBRIDGE_HOMES_H
#define WICKBRIDGE_HOMES_H

#include <glib.h>

/**
 * Read which region each zone lies in.
 * @param text ZONE=REGION with commas between; what isn't of that form is passed over
 * @return zone -> region; to be freed with g_hash_table_unref
 */
GHashTable *wb_regions_read(const char *text);

/**
 * @param homes  names of regions, ended by NULL; NULL: all are allowed
 * @param region where an engine stands; NULL: it isn't known, which only allows what may be served
 * everywhere
 */
gboolean wb_homes_allow(const char *const *homes, const char *region);

#endif
