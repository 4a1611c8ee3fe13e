/**
 * @file platform.h
 * @brief Client of the platform's HTTP services: table service, object store, machine list.
 *
 * docs/PLATFORM-API.md has the protocol. Times are in milliseconds. Failures are reported as a
 * wb_platform_status_t. Calls must be made on the loop's thread; callbacks run there too, never
 * from inside a call.
 */
#ifndef WICKBRIDGE_PLATFORM_H
#define WICKBRIDGE_PLATFORM_H

#include "wickbridge/http_client.h"
#include "wickbridge/json.h"
#include "wickbridge/loop.h"

typedef struct wb_platform_t wb_platform_t;

/** Outcome of an operation. */
typedef enum wb_platform_status_t {
    WB_PLATFORM_DONE,        /**< it took effect */
    WB_PLATFORM_CONFLICT,    /**< a check failed; it had no effect */
    WB_PLATFORM_NOT_FOUND,   /**< no such object */
    WB_PLATFORM_UNAVAILABLE, /**< refused or never sent; it had no effect */
    WB_PLATFORM_UNKNOWN      /**< the response was lost; it may have taken effect */
} wb_platform_status_t;

/** @param body the response, valid inside the callback; may be NULL unless the status is DONE */
typedef void (*wb_platform_done_fn)(wb_platform_status_t status, const json_t *body, void *context);

/** Create a client. @param address IP:PORT of the platform; "": all calls end as
 * WB_PLATFORM_UNAVAILABLE @param scheme "http" or "https" @param timeout_ms of each call */
wb_platform_t *wb_platform_create(wb_http_client_t *client, wb_loop_t *loop, const char *address,
                                  const char *scheme, int64_t timeout_ms);
void wb_platform_free(wb_platform_t *platform);

/** Write rows atomically if all checks hold. Takes the references to `checks` and `writes`
 * (arrays). */
void wb_platform_transact(wb_platform_t *platform, json_t *checks, json_t *writes,
                          wb_platform_done_fn done, void *context);
/** @return a check for wb_platform_transact. @param version that the row must have; 0: it must not
 * exist */
json_t *wb_platform_make_check(const char *key, int64_t version);
/** @return a write for wb_platform_transact. @param value taken over; NULL deletes the row */
json_t *wb_platform_make_write(const char *key, json_t *value);

/** Read a row: {"key", "version", "value"}, with version 0 if it doesn't exist. */
void wb_platform_read_row(wb_platform_t *platform, const char *key, wb_platform_done_fn done,
                     void *context);
/** Read rows by prefix: {"rows": [...]}. */
void wb_platform_scan_rows(wb_platform_t *platform, const char *prefix, wb_platform_done_fn done,
                      void *context);
/** Write an object. @param body its content; the reference isn't taken */
void wb_platform_object_put(wb_platform_t *platform, const char *name, const json_t *body,
                            wb_platform_done_fn done, void *context);
void wb_platform_object_get(wb_platform_t *platform, const char *name, wb_platform_done_fn done,
                            void *context);
/** Read the machine list. The response has no "machines" if the version is still `after`. */
void wb_platform_list_machines(wb_platform_t *platform, int64_t after, wb_platform_done_fn done,
                          void *context);

/** @return number of operations sent to the table service so far, for metrics */
int64_t wb_platform_table_operations(const wb_platform_t *platform);

#endif
