/**
 * @file table_readers.h
 * @brief Selects the nodes of a large fleet that read the engine table, and for each other node the
 * reader that it uses as its relay.
 *
 * If each node read the table, the cost would grow with nodes times engines. So only the strongest
 * nodes read it, and as many more as it takes to have one reader for 32 nodes. All nodes compute
 * the same readers from the rows that nodes write of themselves, without an election. A gateway
 * finds its relay by rendezvous hashing: gateways spread evenly, and those of a lost reader spread
 * over the others. If two nodes see different rows, more readers than necessary are used, which is
 * harmless.
 *
 * Pure: functions depend on their arguments only, and don't fail.
 */
#ifndef WICKBRIDGE_TABLE_READERS_H
#define WICKBRIDGE_TABLE_READERS_H

#include <glib.h>

/** A node that could read the table. */
typedef struct wb_table_reader_t {
    const char *id;
    double processor_share; /**< in cores; 0: unknown */
} wb_table_reader_t;

/**
 * Reduce the candidates to the readers.
 * @param nodes array of wb_table_reader_t: in, all candidates; out, the readers, strongest first
 * @param all   number of nodes in the fleet, including those that can't be readers
 */
void wb_table_readers_select(GArray *nodes, guint all);
/** @return TRUE when the node is one of the readers */
gboolean wb_table_readers_has(const GArray *readers, const char *id);
/**
 * Choose the relay of a gateway.
 * @param own    id of the gateway
 * @param failed set of ids of readers that were unreachable recently; NULL: none
 * @return id of the reader, owned by `readers`; NULL: there is none
 */
const char *wb_table_readers_choose_relay(const GArray *readers, const char *own,
                                          GHashTable *failed);

#endif
