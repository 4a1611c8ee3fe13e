/**
 * @file catalog_reader.h
 * @brief Parses configurations without blocking the event loop.
 *
 * A small configuration is parsed at once, a large one on a worker thread, as it would delay the
 * streams that the loop serves. One thread runs at a time; of the rows that arrive meanwhile only
 * the newest is parsed.
 *
 * Threads: all functions are called on the loop's thread, and so is the callback. Sizes are in
 * bytes. Parse errors are passed to the callback.
 */
#ifndef WICKBRIDGE_CATALOG_READER_H
#define WICKBRIDGE_CATALOG_READER_H

#include "wickbridge/catalog.h"
#include "wickbridge/dialect.h"
#include "wickbridge/loop.h"
#include "wickbridge/table.h"

typedef struct wb_catalog_reader_t wb_catalog_reader_t;

/**
 * A row was parsed.
 * @param catalog     owned by the callee; NULL when the row is invalid
 * @param row_version version of the row
 * @param took_ms     since the row was passed to wb_catalog_reader_take
 * @param error       set when catalog is NULL
 */
typedef void (*wb_catalog_read_fn)(wb_catalog_t *catalog, int64_t row_version, int64_t took_ms,
                                   const wb_error_t *error, void *context);

/** The reader is never freed; it must not outlive its loop. @param dialect must outlive the reader
 */
wb_catalog_reader_t *wb_catalog_reader_create(wb_loop_t *loop, const wb_dialect_t *dialect,
                                              wb_catalog_read_fn on_read, void *context);
/** Parse a row that has a value; the row is copied. on_read may be called before this returns. */
void wb_catalog_reader_take(wb_catalog_reader_t *reader, const wb_table_row_t *row);

/** @return monotonic time since which a row is being parsed or waits for that; 0: none does */
int64_t wb_catalog_reader_pending_since_ms(const wb_catalog_reader_t *reader);

#endif
