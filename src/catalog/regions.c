/* Regions in which requests of a route or a tenant may be served. */
#include "wickbridge/regions.h"

GHashTable *wb_zone_regions_parse(const char *text) {
    GHashTable *regions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_auto(GStrv) pairs = g_strsplit(text, ",", -1);
    for (char **pair = pairs; *pair != NULL; pair++) {
        g_auto(GStrv) words = g_strsplit(*pair, "=", 2);
        if (words[0] != NULL && words[1] != NULL && *words[0] != '\0') {
            g_hash_table_replace(regions, g_strdup(words[0]), g_strdup(words[1]));
        }
    }
    return regions;
}

gboolean wb_regions_allow(const char *const *allowed_regions, const char *region) {
    return allowed_regions == NULL || (region != NULL && g_strv_contains(allowed_regions, region));
}
