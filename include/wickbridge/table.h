/**
 * @file table.h
 * @brief What the product asks of a store of rows: versions, conditional writes, and news of
 * changes.
 *
 * An adapter has an object for each real store that begins with a wb_table_t. All calls answer
 * once, later, on the loop's thread.
 */
#ifndef WICKBRIDGE_TABLE_H
#define WICKBRIDGE_TABLE_H

#include <glib.h>
#include <stdint.h>

/** The tables that the product knows. */
typedef enum wb_table_name_t {
    WB_TABLE_CATALOG, /**< the operators' configuration; read only */
    WB_TABLE_ENGINES, /**< engines that announce themselves; read only */
    WB_TABLE_NODES    /**< the product's own: nodes and leases */
} wb_table_name_t;

typedef enum wb_table_outcome_t {
    WB_TABLE_DONE,         /**< read, or written */
    WB_TABLE_CONFLICT,     /**< the row had another version; `rows` has it as it is */
    WB_TABLE_NOT_DONE,     /**< refused or not sent; may be tried again */
    WB_TABLE_HISTORY_EXPIRED, /**< changes after that version are no longer known */
    WB_TABLE_UNKNOWN       /**< no answer: a write may have been done, or may be done later */
} wb_table_outcome_t;

/** A row as of some version. */
typedef struct wb_table_row_t {
    char *key;
    guchar *value; /**< NULL when the row was removed */
    gsize length;
    int64_t version; /**< of the transaction that wrote it; 0: it never was there */
} wb_table_row_t;

typedef struct wb_table_answer_t {
    wb_table_outcome_t outcome;
    GPtrArray *rows; /**< of wb_table_row_t; never NULL; freed after the callback */
    gboolean more;   /**< a page ended before the table, or the changes, did */
    int64_t version; /**< the newest that the store knew; of a write, the row's new one */
} wb_table_answer_t;

typedef struct wb_table_t wb_table_t;

typedef void (*wb_table_answer_fn)(const wb_table_answer_t *answer, void *context);

/** A store's calls; the first member of the object that makes them. */
struct wb_table_t {
    /** Read a page of rows with keys from `from_key` on. */
    void (*read)(wb_table_t *table, wb_table_name_t name, const char *from_key,
                 wb_table_answer_fn on_answer, void *context);
    /** Read the changes after a version; held up to `wait_ms` until there are some. */
    void (*changes)(wb_table_t *table, wb_table_name_t name, int64_t after, int64_t wait_ms,
                    wb_table_answer_fn on_answer, void *context);
    /** Write a row of WB_TABLE_NODES, or remove it (no value), if it has `expected_version` (0: if
     * it isn't there). */
    void (*write)(wb_table_t *table, const char *key, int64_t expected_version, const guchar *value,
                  gsize length, wb_table_answer_fn on_answer, void *context);
};

wb_table_row_t *wb_table_row_create(const char *key, guchar *value, gsize length, int64_t version);
void wb_table_row_free(wb_table_row_t *row);

#endif
