/**
 * @file peer_choice.h
 * @brief Chooses the node that is asked to connect to an engine which this node can't reach.
 *
 * Nodes of the own zone come first. Where several nodes are asked for one connection, every second
 * one is of another zone, as a whole zone may be cut off alike. Nodes that lately reached an engine
 * are preferred to those that haven't been asked, nodes that lately failed come last. Among equals
 * the choice is random, so that the nodes share the load.
 *
 * Pure but for the random choice: the time is passed in, monotonic (wb_clock_ms) in milliseconds.
 * The functions can't fail. Not thread-safe.
 */
#ifndef WICKBRIDGE_PEER_CHOICE_H
#define WICKBRIDGE_PEER_CHOICE_H

#include <glib.h>
#include <stdint.h>

/** A node that may be asked. Strings are borrowed. */
typedef struct wb_peer_candidate_t {
    const char *id;
    const char *address;
    const char *zone;
} wb_peer_candidate_t;

/** What earlier questions to nodes have shown. */
typedef struct wb_peer_record_t wb_peer_record_t;

wb_peer_record_t *wb_peer_record_create(void);
void wb_peer_record_free(wb_peer_record_t *record);
/** A node answered, or didn't. @param useful it connected to an engine */
void wb_peer_record_add(wb_peer_record_t *record, const char *id, gboolean useful, int64_t now_ms);
/**
 * @param candidates array of wb_peer_candidate_t, without this node
 * @param asked      set of ids that have been asked for this connection
 * @param zone       of this node
 * @return the index of the node to ask; -1: none is left
 */
int wb_peer_choose(wb_peer_record_t *record, const GArray *candidates, GHashTable *asked,
                   const char *zone, int64_t now_ms);

#endif
