/**
 * @file standin_http.h
 * @brief Answers in JSON, shared by the stand-ins.
 */
#ifndef WICKBRIDGE_STANDIN_HTTP_H
#define WICKBRIDGE_STANDIN_HTTP_H

#include "wickbridge/http_server.h"

#include <jansson.h>

/** Answer with a JSON value; takes the reference to `body`. */
void standin_reply_json(wb_http_exchange_t *exchange, unsigned status, json_t *body);

/** Answer with {"error": {"code", "message"}}; `retry_after_ms` below 0 leaves Retry-After out. */
void standin_reply_error(wb_http_exchange_t *exchange, unsigned status, const char *code,
                         const char *message, int64_t retry_after_ms);

/** @return the request's body as JSON, or NULL after a 400 was sent */
json_t *standin_read_json(wb_http_exchange_t *exchange);

/** @return a file's text; NULL for an empty name; ends the program when it can't be read */
char *standin_read_file(const char *path);

/** Wait until SIGTERM or SIGINT; blocks the signals for threads that start later. */
void standin_signals_block(void);
void standin_signals_wait(void);

#endif
