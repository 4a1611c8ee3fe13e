/**
 * @file table.h
 * @brief Interface to a versioned row store: paged reads, a feed of changes, conditional writes.
 *
 * A platform adapter implements it as an object whose first member is a wb_table_t. Every call is
 * asynchronous: its callback runs exactly once, later, on the loop's thread. Failures are reported
 * as a wb_table_outcome_t. Times are in milliseconds.
 *
 * Versions are those of store_version.h. The store may come back from an older copy: a call that
 * was begun for an earlier era has no effect in the present one, or its effect is unknown, and a
 * late answer of an earlier era is a failure.
 */
#ifndef WICKBRIDGE_TABLE_H
#define WICKBRIDGE_TABLE_H

#include "wickbridge/store_version.h"

#include <glib.h>
#include <stdint.h>

/** Max bytes of a row's key. */
#define WB_TABLE_KEY_MAX 200

/** The tables that wickbridge uses. */
typedef enum wb_table_name_t {
    WB_TABLE_CATALOG, /**< the operators' configuration; read only */
    WB_TABLE_ENGINES, /**< announcements of engines; read only */
    WB_TABLE_NODES,   /**< wickbridge's own table: nodes and the lease */
    WB_TABLE_STREAMS  /**< its other one: starts of streams, which no node follows */
} wb_table_name_t;

typedef enum wb_table_outcome_t {
    WB_TABLE_DONE,            /**< the read or write succeeded */
    WB_TABLE_CONFLICT,        /**< the row had another version; `rows` holds the current row */
    WB_TABLE_NOT_DONE,        /**< refused or not sent, without effect; may be retried */
    WB_TABLE_HISTORY_EXPIRED, /**< the store doesn't keep the changes after that version, or lost
                                 the version itself */
    WB_TABLE_UNKNOWN          /**< no response: a write may have taken effect, or may do so later */
} wb_table_outcome_t;

/** A row at one version. */
typedef struct wb_table_row_t {
    char *key;
    guchar *value; /**< owned; NULL: the row was removed */
    gsize length;
    int64_t version; /**< version of the transaction that wrote it; 0: it never existed */
} wb_table_row_t;

typedef struct wb_table_answer_t {
    wb_table_outcome_t outcome;
    GPtrArray *rows;      /**< of wb_table_row_t; never NULL; freed after the callback */
    gboolean more;        /**< there are further rows or changes after this page */
    int64_t version;      /**< the store's newest version; for a write, the row's new version */
    int64_t now_ms;       /**< time of the store's steady clock; 0: the answer doesn't name it */
    const char *last_key; /**< of the last row of the page, also of one that isn't in `rows`, as its
                             key can't be used; NULL: there is none */
    unsigned refused;     /**< rows of the page that aren't in `rows` */
} wb_table_answer_t;

typedef struct wb_table_t wb_table_t;

typedef void (*wb_table_answer_fn)(const wb_table_answer_t *answer, void *context);

/** Operations of a store; the first member of an adapter's object. */
struct wb_table_t {
    /** Read a page of rows in key order, beginning at the first key >= `from_key`. */
    void (*read)(wb_table_t *table, wb_table_name_t name, const char *from_key,
                 wb_table_answer_fn on_answer, void *context);
    /** Read the changes after a version; the store waits up to `wait_ms` until there are any. */
    void (*changes)(wb_table_t *table, wb_table_name_t name, int64_t after, int64_t wait_ms,
                    wb_table_answer_fn on_answer, void *context);
    /** Write a row of one of wickbridge's own tables, or remove it if `value` is NULL, on the
     * condition that it has `expected_version`; number 0: that it doesn't exist. The condition
     * holds only in the era of that version; 0: in the present one. */
    void (*write)(wb_table_t *table, wb_table_name_t name, const char *key,
                  int64_t expected_version, const guchar *value, gsize length,
                  wb_table_answer_fn on_answer, void *context);
    /** Newest era that the store has named: each time that it comes back from an older copy, its
     * era rises by one. 0: it has named none. */
    int64_t era;
};

/** Create a row. @param key copied @param value taken over, to be freed with g_free */
wb_table_row_t *wb_table_row_create(const char *key, guchar *value, gsize length, int64_t version);
void wb_table_row_free(wb_table_row_t *row);

#endif
