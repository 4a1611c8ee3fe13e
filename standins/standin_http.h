/**
 * @file standin_http.h
 * @brief Helpers shared by the stand-in programs: JSON responses, files and signals.
 *
 * The reply functions answer the exchange, which must not be used afterwards. Errors are answered
 * to the client (standin_read_json) or end the process (standin_read_file).
 */
#ifndef WICKBRIDGE_STANDIN_HTTP_H
#define WICKBRIDGE_STANDIN_HTTP_H

#include "wickbridge/http_server.h"

#include <jansson.h>

/** Answer with a JSON value; takes over the reference to `body`. */
void standin_reply_json(wb_http_exchange_t *exchange, unsigned status, json_t *body);

/** Answer with {"error": {"code", "message"}} and, from 0 on, `retry_after_ms` as Retry-After. */
void standin_reply_error(wb_http_exchange_t *exchange, unsigned status, const char *code,
                         const char *message, int64_t retry_after_ms);

/** @return the request's body as JSON (a new reference), or NULL after a 400 was sent */
json_t *standin_read_json(wb_http_exchange_t *exchange);

/** @return a file's text, freed by the caller; NULL for an empty name; ends the process when it
 * can't be read */
char *standin_read_file(const char *path);

/** Block SIGTERM and SIGINT for this thread and those that it starts, and ignore SIGPIPE. */
void standin_signals_block(void);
/** Wait for SIGTERM or SIGINT, which must be blocked. */
void standin_signals_wait(void);

#endif
