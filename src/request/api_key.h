/**
 * @file api_key.h
 * @brief Reads the API key from a client's request headers.
 *
 * A key is returned only as its digest, by which its tenant is found; the key itself is not kept.
 * Functions are pure. A missing or malformed key is reported by the state.
 */
#ifndef WICKBRIDGE_API_KEY_H
#define WICKBRIDGE_API_KEY_H

#include "wickbridge/dialect.h"
#include "wickbridge/http_reader.h"

typedef enum wb_api_key_state_t {
    WB_API_KEY_ABSENT,    /**< the header is missing */
    WB_API_KEY_MALFORMED, /**< repeated header, other scheme, empty, too long or not printable */
    WB_API_KEY_PRESENT    /**< one well-formed key, which need not belong to a tenant */
} wb_api_key_state_t;

typedef struct wb_api_key_t {
    wb_api_key_state_t state;
    wb_key_digest_t digest; /**< only if a key is present */
} wb_api_key_t;

wb_api_key_t wb_api_key_read(const wb_http_head_t *head, const wb_dialect_t *dialect);

/** @return TRUE for a client's header that must not be forwarded to engines when tenants are
 * configured */
gboolean wb_api_key_strips_header(const wb_dialect_t *dialect, const char *header);

#endif
