/**
 * @file table_readers.h
 * @brief Which nodes of a large fleet read the engines' table, and which of them a gateway asks.
 *
 * The load that it answers: hundreds of small machines and some strong ones, where reading the
 * table at each node costs nodes times engines. All nodes find the same readers from the rows that
 * nodes write of themselves, without a vote: the strongest machines, and as many more as it takes
 * for one reader to 32 nodes. A gateway asks the reader that rendezvous hashing gives it, so that
 * readers have gateways alike and those of a lost one spread over the others. Two nodes that see
 * different rows only ask more readers than they need.
 *
 * Pure.
 */
#ifndef WICKBRIDGE_TABLE_READERS_H
#define WICKBRIDGE_TABLE_READERS_H

#include <glib.h>

/** A node that could read the table. */
typedef struct wb_table_reader_t {
    const char *id;
    double processor_share; /**< of a core; 0: not told */
} wb_table_reader_t;

/** @param nodes of wb_table_reader_t; those that read the table are left, the strongest first
 * @param all    nodes of the fleet, those that can't be readers among them */
void wb_table_readers_select(GArray *nodes, guint all);
gboolean wb_table_readers_has(const GArray *readers, const char *id);
/**
 * @param own    id of the gateway that asks
 * @param failed set of ids that couldn't be reached lately; NULL: none
 * @return id of the reader to ask, owned by `readers`; NULL: there is none
 */
const char *wb_table_readers_choose_relay(const GArray *readers, const char *own, GHashTable *failed);

#endif
