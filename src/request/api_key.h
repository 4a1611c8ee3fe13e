/**
 * @file api_key.h
 * @brief Reads the key that a caller sent, and tells which tenant it belongs to.
 *
 * The key itself leaves this module only as a digest.
 */
#ifndef WICKBRIDGE_API_KEY_H
#define WICKBRIDGE_API_KEY_H

#include "wickbridge/dialect.h"
#include "wickbridge/http_reader.h"

typedef enum wb_api_key_state_t {
    WB_API_KEY_ABSENT,    /**< no header for it */
    WB_API_KEY_MALFORMED, /**< several headers, another scheme, empty, too long, or odd bytes */
    WB_API_KEY_PRESENT      /**< one well-formed key; whether anybody holds it is another matter */
} wb_api_key_state_t;

typedef struct wb_api_key_t {
    wb_api_key_state_t state;
    wb_key_digest_t digest; /**< when it is given */
} wb_api_key_t;

wb_api_key_t wb_api_key_read(const wb_http_head_t *head, const wb_dialect_t *dialect);

/** @return TRUE for a caller's header that must not reach an engine while callers have keys */
gboolean wb_api_key_strips_header(const wb_dialect_t *dialect, const char *header);

#endif
