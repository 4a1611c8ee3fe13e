/**
 * @file request_digest.h
 * @brief Digest of what a request asks for. It identifies the same request when it comes again with
 * another request id or at another node.
 *
 * The digest covers method, host, target, tenant and body. It is the same on every node and after
 * every restart. It is cryptographic: it doesn't reveal the content, and nobody can make a request
 * with the digest of another client's request.
 *
 * Pure. Parsing malformed text returns FALSE; there are no other errors.
 */
#ifndef WICKBRIDGE_REQUEST_DIGEST_H
#define WICKBRIDGE_REQUEST_DIGEST_H

#include <glib.h>

/** 128 bits: the probability that two of 2^40 different requests share a digest is 2^-49. */
#define WB_REQUEST_DIGEST_BYTES 16
/** Size of a digest as text: two hexadecimal digits a byte and the terminating zero. */
#define WB_REQUEST_DIGEST_TEXT_BYTES (2 * WB_REQUEST_DIGEST_BYTES + 1)

typedef struct wb_request_digest_t {
    guint8 bytes[WB_REQUEST_DIGEST_BYTES];
} wb_request_digest_t;

/** Input of the digest; all members are borrowed. */
typedef struct wb_request_content_t {
    const char *method;
    const char *host;
    const char *target; /**< path and query as received */
    const char *tenant; /**< NULL: none */
    const guint8 *body;
    gsize body_bytes;
} wb_request_content_t;

wb_request_digest_t wb_request_digest(const wb_request_content_t *content);

/** @param text out: hexadecimal digits. @return text */
const char *wb_request_digest_format(const wb_request_digest_t *digest,
                                     char text[WB_REQUEST_DIGEST_TEXT_BYTES]);
/** Parse the text form. @return FALSE when the text isn't a digest */
gboolean wb_request_digest_parse(const char *text, wb_request_digest_t *digest);
gboolean wb_request_digest_equal(const wb_request_digest_t *left, const wb_request_digest_t *right);
/** For tables whose keys are digests. */
guint wb_request_digest_hash(gconstpointer digest);
gboolean wb_request_digest_key_equal(gconstpointer left, gconstpointer right);

#endif
