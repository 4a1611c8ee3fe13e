/**
 * @file stream_starts.h
 * @brief At which software version streams began: a client that takes a stream up must get the rest
 * from an engine of that version.
 *
 * An entry is added when the first event of a stream is forwarded, and never changes. Its key is a
 * digest of the tenant and the id of the client's request that brought the event, so nobody learns
 * anything of another tenant's streams.
 *
 * Memory is bounded by WB_STREAM_STARTS_MAX entries; the oldest are dropped. Times are monotonic
 * and in milliseconds. Pure: the time is passed in. No errors.
 */
#ifndef WICKBRIDGE_STREAM_STARTS_H
#define WICKBRIDGE_STREAM_STARTS_H

#include "poison/request_digest.h"

#include "wickbridge/list.h"

#include <stdint.h>

/** More streams than 985 nodes begin in the half minute in which clients come back. */
#define WB_STREAM_STARTS_MAX 50000

/** @return the key of a stream. @param tenant NULL: none @param request_id "": it isn't named */
wb_request_digest_t wb_stream_key(const char *tenant, const char *request_id);

/** The start of a stream. */
typedef struct wb_stream_start_t {
    wb_request_digest_t key;
    char *service;
    char *software_version; /**< "": unknown */
    int64_t until_ms;       /**< its client doesn't come back after this */
    uint64_t number;        /**< counted up with each entry, from 1 */
    gboolean is_restored;   /**< it was read from the store */
    wb_list_item_t item;
} wb_stream_start_t;

typedef struct wb_stream_starts_t wb_stream_starts_t;

wb_stream_starts_t *wb_stream_starts_create(void);
void wb_stream_starts_free(wb_stream_starts_t *starts);
/** Add a stream, unless its key is known already. @param service, software_version copied
 * @return the entry if it was added, else NULL */
const wb_stream_start_t *wb_stream_starts_add(wb_stream_starts_t *starts,
                                              const wb_request_digest_t *key, const char *service,
                                              const char *software_version, int64_t until_ms);
/** The same for an entry that was read from the store. @return TRUE if it was added */
gboolean wb_stream_starts_restore(wb_stream_starts_t *starts, const wb_request_digest_t *key,
                                  const char *service, const char *software_version,
                                  int64_t until_ms);
/** @return the entry, or NULL; valid until the next change */
const wb_stream_start_t *wb_stream_starts_find(const wb_stream_starts_t *starts,
                                               const wb_request_digest_t *key);
/** @return the services that entries are of: a set of names; owned by `starts` */
GHashTable *wb_stream_starts_services(const wb_stream_starts_t *starts);
/** @return all entries, oldest first: wb_stream_start_t.item */
const wb_list_t *wb_stream_starts_all(const wb_stream_starts_t *starts);
/** @return the number of the latest entry; 0: there was none */
uint64_t wb_stream_starts_number(const wb_stream_starts_t *starts);
/** Drop entries whose time is over. */
void wb_stream_starts_sweep(wb_stream_starts_t *starts, int64_t now_ms);

#endif
