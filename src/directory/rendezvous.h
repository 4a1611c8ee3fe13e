/**
 * @file rendezvous.h
 * @brief Chooses one of several nodes by rendezvous hashing: each asking node has an order of its
 * own, so that many spread evenly, and those of a node that is lost spread over the others.
 *
 * Pure: functions depend on their arguments only, and don't fail. Source: Thaler and Ravishankar,
 * "Using name-based mappings to increase hit rates", 1998.
 */
#ifndef WICKBRIDGE_RENDEZVOUS_H
#define WICKBRIDGE_RENDEZVOUS_H

#include <glib.h>

/**
 * @param ids      array of ids (char *)
 * @param own      id of the asking node, which is never chosen
 * @param excluded set of ids that aren't chosen; NULL: none
 * @return the first of the others in the asking node's order, borrowed from `ids`; NULL: none is
 * left
 */
const char *wb_rendezvous_choose(const GPtrArray *ids, const char *own, GHashTable *excluded);

#endif
