/**
 * @file route_moves.h
 * @brief Which paths have led to another service before, so that the service at which a stream
 * began can't be told from where its path leads now.
 *
 * Two catalogs that follow each other are compared over the routes of streams that clients may take
 * up. A path prefix whose requests led to other services before has moved. Prefixes are kept as
 * hashes of host and prefix, at most WB_ROUTE_MOVES_MAX; beyond that every path counts as moved.
 * All of it is forgotten once nothing has moved for the horizon.
 *
 * Times are monotonic and in milliseconds. Pure: the time is passed in. No errors.
 */
#ifndef WICKBRIDGE_ROUTE_MOVES_H
#define WICKBRIDGE_ROUTE_MOVES_H

#include "wickbridge/catalog.h"

#define WB_ROUTE_MOVES_MAX 256

typedef struct wb_route_moves_t wb_route_moves_t;

/** @param horizon_ms max age of a stream that its client takes up */
wb_route_moves_t *wb_route_moves_create(int64_t horizon_ms);
void wb_route_moves_free(wb_route_moves_t *moves);
/** Compare two catalogs that were in force one after the other, and mark the routes of the later
 * one that streams of other services may continue on (wb_route_t.moved).
 * @param before NULL: there was none @return number of prefixes that have moved */
unsigned wb_route_moves_compare(wb_route_moves_t *moves, const wb_catalog_t *before,
                                wb_catalog_t *after, int64_t now_ms);
/** Add a prefix by its hash. */
void wb_route_moves_add(wb_route_moves_t *moves, uint64_t hash, int64_t now_ms);
/** Count every path as moved. */
void wb_route_moves_add_all(wb_route_moves_t *moves, int64_t now_ms);
/** @return TRUE if every path counts as moved */
gboolean wb_route_moves_has_all(const wb_route_moves_t *moves, int64_t now_ms);
/** @return the hashes of the prefixes that have moved: uint64_t; free it with g_array_unref */
GArray *wb_route_moves_hashes(const wb_route_moves_t *moves, int64_t now_ms);
/** @return when a prefix last moved; 0: none has */
int64_t wb_route_moves_changed_ms(const wb_route_moves_t *moves);
/** @return TRUE if requests for this path may have led to another service within the horizon
 * @param host in any case; a port is ignored @param path its query and fragment are ignored */
gboolean wb_route_moves_include(const wb_route_moves_t *moves, const char *host, const char *path,
                                int64_t now_ms);

#endif
