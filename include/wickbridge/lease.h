/**
 * @file lease.h
 * @brief State machine of the placement controller's lease: one row of the store, renewed by its
 * holder.
 *
 * Engines don't check fencing tokens, so the lease relies on time alone. The holder may send orders
 * until duration_ms after it *sent* its last successful renewal. Another node takes the lease over
 * once it has seen the row unchanged for duration_ms + margin_ms, or at once if the row is marked
 * as released. It waits handover_interval_ms before it orders an engine that the last row names
 * (lease_grants.h), so at least handover_interval_ms passes between the orders of two holders to
 * one engine. The token increases with each takeover. A restarted process on the holder's machine
 * takes the lease over at once.
 *
 * The store may come back from an older copy (store_version.h). Each row names the era that it was
 * written in; one with an older era is a copy, and says nothing of who holds the lease since. A
 * process that holds it goes on, and writes its row again at once. All others wait as for a holder
 * that has renewed just now, whatever the copy says, and take over as from one that may have
 * ordered any engine. Tokens of a later era are higher than all of earlier ones.
 *
 * A renewal that the store doesn't answer is sent again beside it, so that several attempts fit
 * within the lease. All have the condition that the row is as it was, so one of them takes effect
 * at most; the row's heartbeat counter tells which.
 *
 * Pure: the caller passes in the time, the rows read and the outcomes of writes, and performs the
 * writes. Times are monotonic (wb_clock_ms) in milliseconds. Not thread-safe. A failed write is an
 * input and is retried after a pause; the functions themselves report no errors.
 */
#ifndef WICKBRIDGE_LEASE_H
#define WICKBRIDGE_LEASE_H

#include <glib.h>
#include <stdint.h>

/** The lease row. */
typedef struct wb_lease_row_t {
    char *holder;   /**< id of the holder's machine */
    char *address;  /**< IP:PORT at which other nodes reach it */
    uint64_t token; /**< increases with each takeover */
    uint64_t beat;  /**< heartbeat counter, increased by each write; shows after a lost response
                       whether the write took effect */
    int64_t era;    /**< of the store, when the row was written */
    gboolean released;
    unsigned recent_loads; /**< recently started loads from the weight store, for a successor */
    /* Engines that may have been ordered recently: */
    gboolean has_grants;      /**< FALSE: this copy of the row doesn't contain the lists */
    gboolean grants_unlisted; /**< any engine may have been ordered; the lists are empty */
    char **granted;           /**< engines ordered by this holder */
    guint granted_count;
    char **inherited; /**< engines ordered by earlier holders */
    guint inherited_count;
} wb_lease_row_t;

/** The last known state of the previous holder. */
typedef struct wb_lease_predecessor_t {
    int64_t seen_ms;              /**< when its last row was seen; 0: there was none */
    unsigned loads;               /**< recent_loads of that row */
    unsigned max_ordered_engines; /**< max number of engines that it may have ordered after that
                              row; G_MAXUINT: no limit */
} wb_lease_predecessor_t;

/** Free the contents of a row and zero it. */
void wb_lease_row_clear(wb_lease_row_t *row);
/** Make `target` a deep copy of `source`; its old contents are freed. */
void wb_lease_row_copy(wb_lease_row_t *target, const wb_lease_row_t *source);

typedef struct wb_lease_settings_t {
    const char *machine;          /**< this node's machine; must outlive the lease */
    const char *address;          /**< IP:PORT of this node; must outlive the lease */
    int64_t duration_ms;          /**< validity of a renewal, from when it was sent */
    int64_t renew_ms;             /**< interval between renewals */
    int64_t handover_interval_ms; /**< min time between the orders of two holders to one engine */
    int64_t margin_ms;        /**< safety margin: added to waits, subtracted from the validity */
    int64_t write_timeout_ms; /**< timeout of a write; after failed ones the next attempt pauses for
                                 a part of it */
    int64_t spread_ms;        /**< max random delay before this node takes another's lease over, so
                                 that not all nodes try at the same time */
} wb_lease_settings_t;

typedef struct wb_lease_t wb_lease_t;

wb_lease_t *wb_lease_create(const wb_lease_settings_t *settings);
void wb_lease_free(wb_lease_t *lease);

/** The row was read, here or by another node. `row` is copied; NULL: it doesn't exist. Versions
 * older than the known one are ignored. */
void wb_lease_on_row(wb_lease_t *lease, const wb_lease_row_t *row, int64_t version, int64_t now_ms);

/** The row was read, and can't be decoded or holds what no node writes. Whoever wrote it may hold
 * the lease and may have ordered any engine, so it is waited for like a holder that doesn't renew;
 * a process that holds the lease goes on. */
void wb_lease_on_unreadable_row(wb_lease_t *lease, int64_t version, int64_t now_ms);

/**
 * Get the write that is due, if any. Its outcome must be reported with one of the three functions
 * below, in any order: while the store doesn't answer, the holder's next write becomes due beside
 * it.
 * @param row              out: the row; its strings are owned by the lease
 * @param expected_version out: the version on which the write is conditional; 0: no row exists
 * @return TRUE if the row must be written now; FALSE leaves the outputs unset
 */
gboolean wb_lease_next_write(wb_lease_t *lease, int64_t now_ms, wb_lease_row_t *row,
                             int64_t *expected_version);

/** The write of the row with this `beat` took effect and gave the row this version. */
void wb_lease_on_written(wb_lease_t *lease, uint64_t beat, int64_t version, int64_t now_ms);
/** The write had no effect: it failed, or its condition wasn't met. */
void wb_lease_on_not_written(wb_lease_t *lease, uint64_t beat, int64_t now_ms);
/** It is unknown whether the write took effect. */
void wb_lease_on_write_unknown(wb_lease_t *lease, uint64_t beat, int64_t now_ms);

/**
 * Ask for permission to order an engine. Check again immediately before the order is sent.
 * @return 0: it may be sent; > 0: ms until it may be; -1: only after the next write of the row,
 * which is due now, took effect
 */
int64_t wb_lease_authorize_order(wb_lease_t *lease, const char *engine, int64_t now_ms);
/** @return ms until the engine may be ordered, as another holder may have ordered it recently */
int64_t wb_lease_blocked_ms(const wb_lease_t *lease, const char *engine, int64_t now_ms);
/** @return TRUE while this node holds the lease. Check immediately before each order. */
gboolean wb_lease_is_held(const wb_lease_t *lease, int64_t now_ms);
/** @return TRUE if the known row was written by this process and not released; it may have expired
 */
gboolean wb_lease_is_own(const wb_lease_t *lease);
/** @return the token of this node's lease; meaningful only while it is held */
uint64_t wb_lease_token(const wb_lease_t *lease);
/** @return time from which the lease may be taken over if the row doesn't change; 0: the row was
 * never read */
int64_t wb_lease_takeover_at_ms(const wb_lease_t *lease);
/** @return when this node learned of the row's last change; 0: never */
int64_t wb_lease_row_changed_ms(const wb_lease_t *lease);
/** @return the version of the known row if the store has it as it is known; else one of number 0 */
int64_t wb_lease_confirmed_version(const wb_lease_t *lease);
/** @return the known row, also an expired or released one; NULL if there is none. Owned by the
 * lease */
const wb_lease_row_t *wb_lease_known_row(const wb_lease_t *lease);
/** @return the previous holder's state; owned by the lease */
const wb_lease_predecessor_t *wb_lease_predecessor(const wb_lease_t *lease);
/**
 * Change the delay of this node's takeover after the lease has expired.
 * @param first_ms  fixed delay, which gives precedence to nodes with a shorter one
 * @param spread_ms max random delay in addition
 */
void wb_lease_set_takeover_delay(wb_lease_t *lease, int64_t first_ms, int64_t spread_ms);
/** The store is available again to this node: delay a takeover so that the holder can renew first.
 */
void wb_lease_on_store_recovered(wb_lease_t *lease, int64_t now_ms);
/** Release the lease at the next write, and never take it over again. */
void wb_lease_release(wb_lease_t *lease);
/** Release the lease at the next write, for another node to take it over; a no-op unless it is
 * held. From now on no order may be sent. This node takes it over again only as any other does,
 * after the delay of wb_lease_set_takeover_delay. */
void wb_lease_hand_over(wb_lease_t *lease, int64_t now_ms);
/** Make the next write of the holder due now. */
void wb_lease_write_soon(wb_lease_t *lease);
/** @return number of renewals that were sent beside one that the store hadn't answered */
uint64_t wb_lease_resends(const wb_lease_t *lease);
/** @return TRUE while a requested release has not taken effect, as far as known */
gboolean wb_lease_release_is_pending(const wb_lease_t *lease);

#endif
