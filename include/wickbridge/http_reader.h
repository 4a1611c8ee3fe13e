/**
 * @file http_reader.h
 * @brief Incremental HTTP/1.1 message parser (on http-parser) that keeps heads as they were sent.
 *
 * Targets, names and values are not decoded. A message with two lengths, or with both a length and
 * chunked encoding, is an error (request smuggling), and so is a response whose status is outside
 * 100 to 599 (RFC 9110, 15) or 101. After an error the reader accepts no more
 * bytes; see wb_http_reader_error. Sizes are in bytes. One thread at a time.
 */
#ifndef WICKBRIDGE_HTTP_READER_H
#define WICKBRIDGE_HTTP_READER_H

#include <glib.h>
#include <stdint.h>

/** One header line. */
typedef struct wb_http_header_t {
    char *name;
    char *value;
} wb_http_header_t;

/** A message's first line and headers. */
typedef struct wb_http_head_t {
    char *method;    /**< requests only */
    char *target;    /**< requests only, as it was sent */
    unsigned status; /**< responses only */
    char *reason;    /**< responses only */
    unsigned minor_version;
    GArray *headers;     /**< of wb_http_header_t, in order */
    gboolean keep_alive; /**< the connection may be reused after this message */
    gboolean has_length; /**< there is a Content-Length */
    uint64_t content_length;
    gboolean ends_at_close; /**< a response that ends when the connection is closed */
} wb_http_head_t;

wb_http_head_t *wb_http_head_create(void);
void wb_http_head_free(wb_http_head_t *head);
/** @return the first value of a header, or NULL. @param name case-insensitive */
const char *wb_http_head_get(const wb_http_head_t *head, const char *name);
/** @return the number that a header's value begins with, or `fallback` if it begins with none */
int64_t wb_http_head_get_integer(const wb_http_head_t *head, const char *name, int64_t fallback);
/** @return TRUE for hop-by-hop headers, which must not be forwarded */
gboolean wb_http_header_is_hop_by_hop(const wb_http_head_t *head, const char *name);

typedef struct wb_http_reader_t wb_http_reader_t;

typedef enum wb_http_parse_error_t {
    WB_HTTP_PARSE_OK,
    WB_HTTP_PARSE_SYNTAX,
    WB_HTTP_PARSE_STATUS, /**< a response's status is none, or an upgrade that nobody asked for */
    WB_HTTP_PARSE_HEAD_TOO_LARGE
} wb_http_parse_error_t;

typedef struct wb_http_reader_events_t {
    /** The head is owned by the reader until wb_http_reader_take_head. */
    void (*on_head)(wb_http_reader_t *reader, const wb_http_head_t *head, void *context);
    void (*on_body)(wb_http_reader_t *reader, const char *data, size_t length, void *context);
    /** The message is complete. The reader accepts no more bytes until wb_http_reader_next. */
    void (*on_complete)(wb_http_reader_t *reader, void *context);
} wb_http_reader_events_t;

/** Create a parser of requests, or of responses. @param events must outlive the reader */
wb_http_reader_t *wb_http_reader_create(gboolean is_request, size_t head_limit_bytes,
                                        const wb_http_reader_events_t *events, void *context);
void wb_http_reader_free(wb_http_reader_t *reader);

/** Parse bytes. @return bytes consumed; fewer than `length` after a complete message or an error */
size_t wb_http_reader_feed(wb_http_reader_t *reader, const char *data, size_t length);
/** The peer closed the connection normally: completes a response that ends with it. */
void wb_http_reader_eof(wb_http_reader_t *reader);
/** Set whether the next response has no body despite its head, as responses to HEAD. */
void wb_http_reader_expect_no_body(wb_http_reader_t *reader, gboolean without_body);
/** Change the size limit of heads; also of one that is being read. */
void wb_http_reader_set_head_limit(wb_http_reader_t *reader, size_t head_limit_bytes);
/** Prepare for the next message. */
void wb_http_reader_next(wb_http_reader_t *reader);
wb_http_parse_error_t wb_http_reader_error(const wb_http_reader_t *reader);
/** Take ownership of the current head; free it with wb_http_head_free. */
wb_http_head_t *wb_http_reader_take_head(wb_http_reader_t *reader);

#endif
