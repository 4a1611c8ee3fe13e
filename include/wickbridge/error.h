/**
 * @file error.h
 * @brief Error codes with a message (wb_error_t), and whether a failed request may have run
 * (wb_verdict_t).
 */
#ifndef WICKBRIDGE_ERROR_H
#define WICKBRIDGE_ERROR_H

#include <apr_errno.h>

#define WB_ERROR_MESSAGE_SIZE 512

/** An error, filled in by the callee; the caller owns the storage. */
typedef struct wb_error_t {
    apr_status_t code;                   /**< APR_SUCCESS, or why the call failed */
    char message[WB_ERROR_MESSAGE_SIZE]; /**< one human-readable line without a newline */
} wb_error_t;

/** Whether a request may have run on an engine. */
typedef enum wb_verdict_t {
    WB_VERDICT_NOT_RUN,      /**< certainly not started by any engine */
    WB_VERDICT_MAY_HAVE_RUN, /**< an engine may have started it; there is no complete response */
    WB_VERDICT_COMPLETED     /**< there is a complete response */
} wb_verdict_t;

/**
 * Fill in an error and return its code.
 * @param error may be NULL
 * @param code  the status to return
 * @param format printf format of a one-line message; truncated to WB_ERROR_MESSAGE_SIZE
 */
apr_status_t wb_error_set(wb_error_t *error, apr_status_t code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** @return the verdict's name in protocols and logs: "not-run", "may-have-run", "completed" */
const char *wb_verdict_name(wb_verdict_t verdict);

#endif
