/* Reads a node's row of the nodes table. */
#include "edge/node_row.h"

#include "wickbridge/settings.h"

#include <string.h>

#define NODE_ROW_FIELDS 6

/* Returns NULL if nothing can listen there. */
static char *address_read(const char *text) {
    const char *colon = strrchr(text, ':');
    gboolean has_port = colon != NULL && g_ascii_strtoull(colon + 1, NULL, 10) > 0;
    return has_port && wb_address_is_valid(text) ? g_strdup(text) : NULL;
}

static double processor_share_read(const char *text) {
    double share = g_ascii_strtod(text, NULL);
    /* Also false for a value that is no number. */
    return share >= 0 && share <= WB_NODE_PROCESSOR_SHARE_MAX ? share : 0;
}

static unsigned format_version_read(const char *text) {
    return (unsigned)CLAMP(g_ascii_strtoull(text, NULL, 10), 1, G_MAXINT);
}

/* Fields, separated by blanks: address, write count, processor share, format version, address of
 * the tunnel server, zone. Later builds may append fields. */
void wb_node_row_read(const guchar *value, gsize length, wb_node_row_t *known) {
    g_autofree char *text = g_strndup((const char *)value, length);
    g_auto(GStrv) fields = g_strsplit(text, " ", NODE_ROW_FIELDS + 1);
    guint count = g_strv_length(fields);
    known->format_version = 1;
    if (count < 2) {
        return; /* an older format without these fields */
    }
    known->address = address_read(fields[0]);
    known->processor_share = count > 2 ? processor_share_read(fields[2]) : 0;
    known->format_version = count > 3 ? format_version_read(fields[3]) : 1;
    if (count > 5 && strcmp(fields[4], WB_NODE_ROW_NONE) != 0) {
        known->tunnel_address = address_read(fields[4]);
        known->zone = g_strdup(fields[5]);
    }
}

void wb_node_row_free(gpointer data) {
    wb_node_row_t *row = data;
    g_free(row->address);
    g_free(row->tunnel_address);
    g_free(row->zone);
    g_free(row);
}
