/* API key of a client's request. Separate from targets.c, since src/request declares types of
 * the same names as the headers of targets.c. */
#include "targets.h"

#include "request/api_key.h"

#include "wickbridge/http_reader.h"

#include <stdlib.h>
#include <string.h>

#define HEAD_LIMIT_BYTES 4096

/* An accepted key must come from a single key header, after the scheme. */
static void key_check(wb_http_reader_t *reader, const wb_http_head_t *head, void *context) {
    static const wb_dialect_t dialect = {
        .api_key = "Authorization", .api_key_scheme = "Token", .tenant = "Tenant"};
    (void)reader;
    (void)context;
    unsigned key_headers = 0;
    for (guint i = 0; i < head->headers->len; i++) {
        const wb_http_header_t *header = &g_array_index(head->headers, wb_http_header_t, i);
        key_headers += g_ascii_strcasecmp(header->name, dialect.api_key) == 0;
    }
    wb_api_key_t key = wb_api_key_read(head, &dialect);
    if ((key.state == WB_API_KEY_ABSENT) != (key_headers == 0))
        abort();
    if (key.state != WB_API_KEY_PRESENT)
        return;
    const char *value = wb_http_head_get(head, dialect.api_key);
    if (key_headers != 1 || g_ascii_strncasecmp(value, "Token ", 6) != 0)
        abort();
    g_autofree char *secret = g_strstrip(g_strdup(value + 6));
    wb_key_digest_t digest = wb_key_digest(secret, strlen(secret));
    if (memcmp(&digest, &key.digest, sizeof(digest)) != 0)
        abort();
}

void target_api_key(const uint8_t *data, size_t size) {
    static const wb_http_reader_events_t events = {key_check, NULL, NULL};
    wb_http_reader_t *reader = wb_http_reader_create(TRUE, HEAD_LIMIT_BYTES, &events, NULL);
    wb_http_reader_feed(reader, (const char *)data, size);
    wb_http_reader_free(reader);
}
