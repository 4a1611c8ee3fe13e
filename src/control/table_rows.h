/**
 * @file table_rows.h
 * @brief The versions of a table's rows that are known here, also of removed ones.
 *
 * A row never reverts to an older version, whether it was read in the store or received from
 * another node. Versions are those of store_version.h, so rows of an era that the store has lost
 * are older than all that it has written since.
 *
 * Pure but for the clock, by which old removals are forgotten. The functions can't fail.
 */
#ifndef WICKBRIDGE_TABLE_ROWS_H
#define WICKBRIDGE_TABLE_ROWS_H

#include "wickbridge/table.h"

typedef struct wb_table_rows_t wb_table_rows_t;

/** What a row changed here. */
typedef enum wb_row_change_t {
    WB_ROW_OLDER,    /**< nothing: a newer version is known */
    WB_ROW_SAME,     /**< nothing: this version is known */
    WB_ROW_NOT_HERE, /**< it was removed, and wasn't known */
    WB_ROW_CHANGED   /**< it was added, changed or removed */
} wb_row_change_t;

wb_table_rows_t *wb_table_rows_create(void);
/** Forget all existing rows, but not the removals. */
void wb_table_rows_clear(wb_table_rows_t *rows);
/** @return number of existing rows */
guint wb_table_rows_count(const wb_table_rows_t *rows);
/** Record a row. @param oldest rows with a lower version are of a time that the store has lost */
wb_row_change_t wb_table_rows_apply(wb_table_rows_t *rows, const wb_table_row_t *row,
                                    int64_t oldest);
/** @return TRUE if the row was removed in an earlier era than that of its version: an older copy of
 * the store has it again */
gboolean wb_table_rows_was_removed_before(const wb_table_rows_t *rows, const wb_table_row_t *row);
/** Record the removal of all rows whose keys aren't in a set.
 * @param version of the removals
 * @return their keys; release it with g_ptr_array_unref */
GPtrArray *wb_table_rows_remove_others(wb_table_rows_t *rows, GHashTable *present, int64_t version);

#endif
