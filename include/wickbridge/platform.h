/**
 * @file platform.h
 * @brief The platform's services over HTTP: table service, object store, machine list.
 *
 * The one adapter file for them is src/platform/platform.c; docs/PLATFORM-API.md has the protocol.
 * Threads: calls from the loop's thread; callbacks run there too.
 */
#ifndef WICKBRIDGE_PLATFORM_H
#define WICKBRIDGE_PLATFORM_H

#include "wickbridge/http_client.h"
#include "wickbridge/json.h"
#include "wickbridge/loop.h"

typedef struct wb_platform_t wb_platform_t;

/** How an operation ended. */
typedef enum wb_platform_status_t {
    WB_PLATFORM_DONE,        /**< it took effect; the body holds the answer */
    WB_PLATFORM_CONFLICT,    /**< a check failed; nothing took effect */
    WB_PLATFORM_NOT_FOUND,   /**< no such object */
    WB_PLATFORM_UNAVAILABLE, /**< refused or never sent: it had no effect */
    WB_PLATFORM_UNKNOWN      /**< the answer is lost: it may have taken effect */
} wb_platform_status_t;

/** @param body valid inside the callback; may be NULL unless the status is DONE or CONFLICT */
typedef void (*wb_platform_done_fn)(wb_platform_status_t status, const json_t *body, void *context);

/** @param address IP:PORT of the platform; empty: everything is unavailable */
wb_platform_t *wb_platform_create(wb_http_client_t *client, wb_loop_t *loop, const char *address,
                                  const char *scheme, int64_t timeout_ms);
void wb_platform_free(wb_platform_t *platform);

/** Check and write rows at once. Takes the references to `checks` and `writes` (arrays). */
void wb_platform_transact(wb_platform_t *platform, json_t *checks, json_t *writes,
                          wb_platform_done_fn done, void *context);
/** @return a check for wb_platform_transact; version 0: the row must not exist */
json_t *wb_platform_make_check(const char *key, int64_t version);
/** @return a write for wb_platform_transact; takes `value`, NULL deletes the row */
json_t *wb_platform_make_write(const char *key, json_t *value);

/** Read one row: {"key", "version", "value"}, version 0 when it does not exist. */
void wb_platform_read_row(wb_platform_t *platform, const char *key, wb_platform_done_fn done,
                     void *context);
/** Read rows by prefix: {"rows": [...]}. */
void wb_platform_scan_rows(wb_platform_t *platform, const char *prefix, wb_platform_done_fn done,
                      void *context);
/** Write an object; its body is JSON here. Takes no reference. */
void wb_platform_object_put(wb_platform_t *platform, const char *name, const json_t *body,
                            wb_platform_done_fn done, void *context);
void wb_platform_object_get(wb_platform_t *platform, const char *name, wb_platform_done_fn done,
                            void *context);
/** Read the machine list; without "machines" when it is still at version `after`. */
void wb_platform_list_machines(wb_platform_t *platform, int64_t after, wb_platform_done_fn done,
                          void *context);

/** @return operations sent to the table service so far */
int64_t wb_platform_table_operations(const wb_platform_t *platform);

#endif
