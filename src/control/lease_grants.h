/**
 * @file lease_grants.h
 * @brief Grants of the lease holder: the engines that it may send orders to, as listed in its row
 * in the store.
 *
 * Engines obey any node, so the handover interval must pass between the orders of two holders to
 * one engine. A holder sends orders only to engines that are listed in a row known to be in the
 * store, and lists each for the handover interval after its last order. A successor therefore knows
 * from the last row which engines may have been ordered recently, and may order all others at once:
 * its predecessor can't write another row any more.
 *
 * Pure: the time and the written rows are passed in; times are in ms of the monotonic clock.
 * Nothing here fails. Threads: not thread-safe.
 */
#ifndef WICKBRIDGE_LEASE_GRANTS_H
#define WICKBRIDGE_LEASE_GRANTS_H

#include "wickbridge/lease.h"

typedef struct wb_lease_grants_t wb_lease_grants_t;

/** @param handover_interval_ms time after its last order for which an engine is listed: the
 * handover interval with all margins */
wb_lease_grants_t *wb_lease_grants_create(int64_t handover_interval_ms);
void wb_lease_grants_free(wb_lease_grants_t *grants);

/**
 * Start to hold the lease; previous grants are dropped.
 * @param row       the last row of the previous holder; NULL: there was none
 * @param same      the previous holder ran on this machine: its orders count as this node's own
 * @param until_ms  time until which engines that it may have ordered are blocked
 */
void wb_lease_grants_begin(wb_lease_grants_t *grants, const wb_lease_row_t *row, gboolean same,
                           int64_t until_ms, int64_t now_ms);

/**
 * Request permission to send an order to an engine; the next row will list the engine.
 * @return 0: an order may be sent now; > 0: the engine is blocked for this many ms; -1: the next
 * row must be written first
 */
int64_t wb_lease_grants_request(wb_lease_grants_t *grants, const char *engine, int64_t now_ms);
/** @return ms for which the engine is blocked, as another holder may have ordered it recently */
int64_t wb_lease_grants_blocked_ms(const wb_lease_grants_t *grants, const char *engine,
                                   int64_t now_ms);
/** @return TRUE when a requested engine isn't listed in a row that is known to be in the store */
gboolean wb_lease_grants_has_pending(const wb_lease_grants_t *grants);

/** Fill in the engines of a row that is about to be written. The names are owned by the grants and
 * valid until the next call of this function. */
void wb_lease_grants_fill_row(wb_lease_grants_t *grants, wb_lease_row_t *row, int64_t now_ms);
/** A row of this node is in the store. @param beat its heartbeat counter */
void wb_lease_grants_on_written(wb_lease_grants_t *grants, uint64_t beat);

#endif
