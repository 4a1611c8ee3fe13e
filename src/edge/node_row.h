/**
 * @file node_row.h
 * @brief Reads a node's row of the nodes table.
 *
 * Fields that can't be what they stand for count as absent, so that a row by another writer is no
 * candidate for what nodes do for each other. Pure.
 */
#ifndef WICKBRIDGE_NODE_ROW_H
#define WICKBRIDGE_NODE_ROW_H

#include <glib.h>
#include <stdint.h>

/** Stands for an address that a node doesn't have. */
#define WB_NODE_ROW_NONE "-"
/** Largest processor share of a machine, in cores. */
#define WB_NODE_PROCESSOR_SHARE_MAX 1024

/** The last known row of a node. */
typedef struct wb_node_row_t {
    int64_t seen_ms; /**< when the row last changed */
    int64_t version;
    char *address;           /**< for links from other nodes; NULL: not in the row */
    double processor_share;  /**< in cores; 0: not in the row */
    unsigned format_version; /**< newest WB_WIRE_FORMAT_VERSION that the node reads */
    char *tunnel_address;    /**< where it connects to engines for others; NULL: it doesn't */
    char *zone;              /**< NULL: not in the row */
} wb_node_row_t;

/** Sets the fields that the row's value has. @param known otherwise empty */
void wb_node_row_read(const guchar *value, gsize length, wb_node_row_t *known);

/** Frees a wb_node_row_t. */
void wb_node_row_free(gpointer data);

#endif
