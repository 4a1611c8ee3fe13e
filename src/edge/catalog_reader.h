/**
 * @file catalog_reader.h
 * @brief Reads configurations beside the loop, so that a large one doesn't hold streams up.
 *
 * A configuration of 1,400 routes takes some 30 ms of a whole core, a quarter of a second or more
 * on a machine that has an eighth of one. So a thread reads it while the loop goes on. Of those
 * that come meanwhile only the newest is read.
 *
 * Threads: all functions belong on the loop's thread, where results are given, too.
 */
#ifndef WICKBRIDGE_CATALOG_READER_H
#define WICKBRIDGE_CATALOG_READER_H

#include "wickbridge/catalog.h"
#include "wickbridge/dialect.h"
#include "wickbridge/loop.h"
#include "wickbridge/table.h"

typedef struct wb_catalog_reader_t wb_catalog_reader_t;

/**
 * A row was read.
 * @param catalog owned by the callee; NULL when it can't be read
 * @param error   why not
 */
typedef void (*wb_catalog_read_fn)(wb_catalog_t *catalog, int64_t row_version,
                                   const wb_error_t *error, void *context);

/** A reader lives as long as its loop. @param dialect must outlive it */
wb_catalog_reader_t *wb_catalog_reader_create(wb_loop_t *loop, const wb_dialect_t *dialect,
                                              wb_catalog_read_fn on_read, void *context);
/** Read a row that has a value: at once if that is short, else beside the loop. */
void wb_catalog_reader_take(wb_catalog_reader_t *reader, const wb_table_row_t *row);

#endif
