/**
 * @file request_digest.h
 * @brief Names what a request asks for, so that the same request is known again when it comes with
 * another id, at another node.
 *
 * The digest covers method, host, target, tenant and body. It is the same at every node and after
 * every restart, and it can't be turned back into what was asked. It is cryptographic: nobody can
 * make a request that is taken for another caller's.
 */
#ifndef WICKBRIDGE_REQUEST_DIGEST_H
#define WICKBRIDGE_REQUEST_DIGEST_H

#include <glib.h>

/** 128 bits: two different requests among 2^40 share a digest with a chance of 2^-49. */
#define WB_REQUEST_DIGEST_BYTES 16
/** A digest as text: two hexadecimal digits a byte and the end. */
#define WB_REQUEST_DIGEST_TEXT_BYTES (2 * WB_REQUEST_DIGEST_BYTES + 1)

typedef struct wb_request_digest_t {
    guint8 bytes[WB_REQUEST_DIGEST_BYTES];
} wb_request_digest_t;

/** What a request's digest is made of; all texts are borrowed. */
typedef struct wb_request_content_t {
    const char *method;
    const char *host;
    const char *target; /**< path and query as they came */
    const char *tenant; /**< NULL: it has none */
    const guint8 *body;
    gsize body_bytes;
} wb_request_content_t;

wb_request_digest_t wb_request_digest(const wb_request_content_t *content);

/** @param text out: hexadecimal digits. @return text */
const char *wb_request_digest_format(const wb_request_digest_t *digest,
                                    char text[WB_REQUEST_DIGEST_TEXT_BYTES]);
/** Read what wb_request_digest_format wrote. @return FALSE when the text is no digest */
gboolean wb_request_digest_parse(const char *text, wb_request_digest_t *digest);
gboolean wb_request_digest_equal(const wb_request_digest_t *left, const wb_request_digest_t *right);

#endif
