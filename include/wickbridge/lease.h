/**
 * @file lease.h
 * @brief The placement controller's lease: one row of the store, renewed by its holder.
 *
 * Engines don't check tokens, so time is the guard. The holder may act until `duration` after it
 * *sent* its last renewal that counted. Another node takes the lease over when it has known the row
 * unchanged for `duration` + a margin, all by the steady clock, or at once when the row says that
 * it was released. It orders engines that the last row names only `quiet` later (lease_grants.h):
 * so at least `quiet` lies between two holders' orders to one engine. The token rises with each
 * take-over. A restarted process of the holder's own machine takes it over at once.
 *
 * Pure: it is told the time, the rows and the outcomes of its writes, and says what to write.
 */
#ifndef WICKBRIDGE_LEASE_H
#define WICKBRIDGE_LEASE_H

#include <glib.h>
#include <stdint.h>

/** The lease's row. */
typedef struct wb_lease_row_t {
    char *holder;   /**< the machine */
    char *address;  /**< where other nodes reach it */
    uint64_t token; /**< rises with each take-over */
    uint64_t beat;  /**< counts renewals, so that a lost answer can be told from a lost write */
    gboolean released;
    unsigned recent_loads; /**< loads from the weight store lately begun, told to a successor */
    /* Engines that may have been ordered lately: */
    gboolean has_grants; /**< FALSE: this copy of the row doesn't tell */
    gboolean grants_unlisted;  /**< any engine may have been; the lists are empty */
    char **granted;        /**< by this holder */
    guint granted_count;   /**< of granted */
    char **inherited;      /**< by a holder before it */
    guint inherited_count; /**< of inherited */
} wb_lease_row_t;

/** What is known of the holder before this one. */
typedef struct wb_lease_predecessor_t {
    int64_t seen_ms;       /**< steady time at which its last row was seen; 0: there was none */
    unsigned loads;        /**< loads from the weight store lately begun, as that row told */
    unsigned max_ordered_engines; /**< engines that it may have ordered after that row; G_MAXUINT: any */
} wb_lease_predecessor_t;

/** Free what a row holds; it is empty then. */
void wb_lease_row_clear(wb_lease_row_t *row);
/** Make a row a copy of another, with texts of its own; what it held is freed. */
void wb_lease_row_copy(wb_lease_row_t *target, const wb_lease_row_t *source);

typedef struct wb_lease_settings_t {
    const char *machine;      /**< this node's machine; must outlive the lease */
    const char *address;      /**< where other nodes reach this one; must outlive the lease */
    int64_t duration_ms;      /**< how long a renewal lets its holder act, from its sending */
    int64_t renew_ms;         /**< time between renewals */
    int64_t handover_interval_ms;         /**< time that must lie between the acts of two holders */
    int64_t margin_ms;        /**< added when waiting, taken off when acting */
    int64_t write_timeout_ms; /**< a write without an answer is sent again after this time */
    int64_t spread_ms; /**< each node waits up to so long more before it takes another's lease over,
                          by chance, so that not all try at once */
} wb_lease_settings_t;

typedef struct wb_lease_t wb_lease_t;

wb_lease_t *wb_lease_create(const wb_lease_settings_t *settings);
void wb_lease_free(wb_lease_t *lease);

/** The row as read: `row` is NULL when it isn't there. Older versions than known are passed over.
 */
void wb_lease_on_row(wb_lease_t *lease, const wb_lease_row_t *row, int64_t version, int64_t now_ms);

/**
 * Ask what to write now.
 * @param row              out, texts are owned by the lease; valid when TRUE is returned
 * @param expected_version out: the condition of the write
 * @return TRUE when the row must be written; the outcome is then owed
 */
gboolean wb_lease_next_write(wb_lease_t *lease, int64_t now_ms, wb_lease_row_t *row,
                             int64_t *expected_version);

/** The write counted; the row now has this version. */
void wb_lease_on_written(wb_lease_t *lease, int64_t version, int64_t now_ms);
/** The write was surely not done, or lost its race. */
void wb_lease_on_not_written(wb_lease_t *lease, int64_t now_ms);
/** Nobody knows whether the write was done. */
void wb_lease_on_write_unknown(wb_lease_t *lease, int64_t now_ms);

/**
 * An order to an engine is due. Ask again right before its bytes leave.
 * @return 0: it may be given; above: not before so many ms; -1: not before the next write counts,
 * which is due now
 */
int64_t wb_lease_authorize_order(wb_lease_t *lease, const char *engine, int64_t now_ms);
/** @return ms for which an engine must be left alone, as another holder may have ordered it */
int64_t wb_lease_blocked_ms(const wb_lease_t *lease, const char *engine, int64_t now_ms);
/** @return TRUE while this node may act. Ask right before each act. */
gboolean wb_lease_is_held(const wb_lease_t *lease, int64_t now_ms);
/** @return TRUE when the row that is known is this process's, though its time may be over */
gboolean wb_lease_is_own(const wb_lease_t *lease);
/** @return the token of this node's holding, valid while it is held */
uint64_t wb_lease_token(const wb_lease_t *lease);
/** @return steady time from which the lease may be taken over, if the row stays as it is; 0: the
 * row was never read */
int64_t wb_lease_takeover_at_ms(const wb_lease_t *lease);
/** @return steady time at which this node learned of the row's last change; 0: never */
int64_t wb_lease_row_changed_ms(const wb_lease_t *lease);
/** @return the version of the row that is known; 0: none */
int64_t wb_lease_version(const wb_lease_t *lease);
/** @return who holds it as far as known; NULL when nobody does. Owned by the lease */
const wb_lease_row_t *wb_lease_known_row(const wb_lease_t *lease);
/** @return what the holder before this one had begun; owned by the lease */
const wb_lease_predecessor_t *wb_lease_predecessor(const wb_lease_t *lease);
/**
 * Change when this node tries to take the lease over, once it may.
 * @param first_ms  so much later at the earliest: others are better for it
 * @param spread_ms and by chance up to so much later than that
 */
void wb_lease_set_takeover_delay(wb_lease_t *lease, int64_t first_ms, int64_t spread_ms);
/** The store was away for this node, and answers again: whoever held the lease may renew it first.
 */
void wb_lease_on_store_recovered(wb_lease_t *lease, int64_t now_ms);
/** Give the lease up at the next write, and don't take it again. */
void wb_lease_release(wb_lease_t *lease);
/** @return TRUE while a lease that is to be given up isn't yet, as far as known */
gboolean wb_lease_release_is_pending(const wb_lease_t *lease);

#endif
