/**
 * @file catalog_fetch.h
 * @brief Decides when a node asks another node for the configuration, and how much it sends itself.
 *
 * A node reads the configuration in the store. It asks a peer when the store doesn't answer it in
 * time: when a newer configuration was named that it can't read, or when nothing has confirmed its
 * own for most of the time within which a change must take effect.
 *
 * Pure: the time is passed in. Times are monotonic (wb_clock_ms) or durations, in milliseconds. The
 * functions can't fail.
 */
#ifndef WICKBRIDGE_CATALOG_FETCH_H
#define WICKBRIDGE_CATALOG_FETCH_H

#include <glib.h>
#include <stdint.h>

/** What a node knows of its configuration. */
typedef struct wb_catalog_status_t {
    int64_t age_ms;         /**< since it was last confirmed to be the newest */
    int64_t behind_ms;      /**< since a newer one was named; 0: it is the newest that was named */
    gboolean store_failing; /**< the last call for it failed */
    int64_t bound_ms;       /**< time within which a change must take effect */
} wb_catalog_status_t;

/** @return TRUE when a peer should be asked */
gboolean wb_catalog_fetch_is_due(const wb_catalog_status_t *status);
/** Bytes that a node sends to peers that ask it. */
typedef struct wb_catalog_send_budget_t {
    int64_t free_ms; /**< when the bytes sent so far will have passed its link */
} wb_catalog_send_budget_t;

/** @return TRUE when so many bytes may be sent now; they are then counted */
gboolean wb_catalog_send_budget_take(wb_catalog_send_budget_t *budget, size_t bytes,
                                     int64_t now_ms);

#endif
