/**
 * @file lease_grants.h
 * @brief Which engines the lease's holder may order: those that its row in the store names.
 *
 * Engines obey anybody, so some time (`quiet`) must lie between the orders of two holders to one
 * engine. Only an engine that a row names, which is known to be in the store, may be ordered; a row
 * names it for `quiet` after its last order. So a successor knows from the last row which engines
 * can have been ordered lately, and may order all others at once: the holder before it can't write
 * another row any more.
 *
 * Pure: it is told the time and which rows were written. Threads: none of its own.
 */
#ifndef WICKBRIDGE_LEASE_GRANTS_H
#define WICKBRIDGE_LEASE_GRANTS_H

#include "wickbridge/lease.h"

typedef struct wb_lease_grants_t wb_lease_grants_t;

/** @param handover_interval_ms time after its last order for which an engine is named, with all margins */
wb_lease_grants_t *wb_lease_grants_create(int64_t handover_interval_ms);
void wb_lease_grants_free(wb_lease_grants_t *grants);

/**
 * Begin to hold the lease.
 * @param row       the last row of the holder before; NULL: there was none
 * @param same      that holder was on this machine: its orders count as one's own
 * @param until_ms  steady time until which engines that it may have ordered must be left alone
 */
void wb_lease_grants_begin(wb_lease_grants_t *grants, const wb_lease_row_t *row, gboolean same,
                           int64_t until_ms, int64_t now_ms);

/**
 * An order to the engine is due; its next row will name it.
 * @return 0: it may be ordered now; above: not before so many ms; -1: not before the next row is
 * written
 */
int64_t wb_lease_grants_request(wb_lease_grants_t *grants, const char *engine, int64_t now_ms);
/** @return ms for which the engine must be left alone, as another may have ordered it lately */
int64_t wb_lease_grants_blocked_ms(const wb_lease_grants_t *grants, const char *engine,
                                   int64_t now_ms);
/** @return TRUE when an engine is asked for that no row names yet */
gboolean wb_lease_grants_has_pending(const wb_lease_grants_t *grants);

/** Fill in the engines of a row that is about to be written; the names are owned by the grants. */
void wb_lease_grants_fill_row(wb_lease_grants_t *grants, wb_lease_row_t *row, int64_t now_ms);
/** An own row is in the store. */
void wb_lease_grants_on_written(wb_lease_grants_t *grants, uint64_t beat);

#endif
