/* Digest of a request: truncated SHA-256. */
#include "poison/request_digest.h"

#include <string.h>

#define SHA256_BYTES 32

/* Adds a part prefixed by its length, so that different contents never give the same input. */
static void part_add(GChecksum *checksum, const void *bytes, gsize length) {
    guint64 length_le = GUINT64_TO_LE((guint64)length);
    g_checksum_update(checksum, (const guchar *)&length_le, sizeof(length_le));
    g_checksum_update(checksum, bytes, (gssize)length);
}

static void text_add(GChecksum *checksum, const char *text) {
    part_add(checksum, text, strlen(text));
}

wb_request_digest_t wb_request_digest(const wb_request_content_t *content) {
    g_autoptr(GChecksum) checksum = g_checksum_new(G_CHECKSUM_SHA256);
    text_add(checksum, content->method);
    text_add(checksum, content->host);
    text_add(checksum, content->target);
    text_add(checksum, content->tenant != NULL ? content->tenant : "");
    part_add(checksum, content->body, content->body_bytes);
    guint8 sha256[SHA256_BYTES];
    gsize length = sizeof(sha256);
    g_checksum_get_digest(checksum, sha256, &length);
    wb_request_digest_t digest;
    memcpy(digest.bytes, sha256, sizeof(digest.bytes));
    return digest;
}

const char *wb_request_digest_format(const wb_request_digest_t *digest,
                                     char text[WB_REQUEST_DIGEST_TEXT_BYTES]) {
    for (gsize i = 0; i < WB_REQUEST_DIGEST_BYTES; i++) {
        g_snprintf(text + 2 * i, 3, "%02x", digest->bytes[i]);
    }
    return text;
}

gboolean wb_request_digest_parse(const char *text, wb_request_digest_t *digest) {
    if (strlen(text) != 2 * WB_REQUEST_DIGEST_BYTES) {
        return FALSE;
    }
    for (gsize i = 0; i < WB_REQUEST_DIGEST_BYTES; i++) {
        int high = g_ascii_xdigit_value(text[2 * i]);
        int low = g_ascii_xdigit_value(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return FALSE;
        }
        digest->bytes[i] = (guint8)(16 * high + low);
    }
    return TRUE;
}

gboolean wb_request_digest_equal(const wb_request_digest_t *left,
                                 const wb_request_digest_t *right) {
    return memcmp(left->bytes, right->bytes, sizeof(left->bytes)) == 0;
}

/* All bytes of a digest are uniformly distributed. */
guint wb_request_digest_hash(gconstpointer digest) {
    guint hash;
    memcpy(&hash, ((const wb_request_digest_t *)digest)->bytes, sizeof(hash));
    return hash;
}

gboolean wb_request_digest_key_equal(gconstpointer left, gconstpointer right) {
    return wb_request_digest_equal(left, right);
}
