/**
 * @file http_reader.h
 * @brief Reads HTTP/1.1 messages from bytes as they come, and keeps their heads as they were sent.
 *
 * Parsing is by http-parser. Targets, names and values are not decoded. A message with two lengths,
 * or with a length and chunks, is an error.
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
    unsigned status; /**< answers only */
    char *reason;    /**< answers only */
    unsigned minor_version;
    GArray *headers; /**< of wb_http_header_t, in order */
    gboolean keep_alive;
    gboolean has_length; /**< a Content-Length was given */
    uint64_t content_length;
    gboolean ends_at_close; /**< an answer with neither length nor chunks */
} wb_http_head_t;

wb_http_head_t *wb_http_head_create(void);
void wb_http_head_free(wb_http_head_t *head);
/** @return the first value of a header, by name without regard to case, or NULL */
const char *wb_http_head_get(const wb_http_head_t *head, const char *name);
/** @return the value as a number of at least `minimum`, or `fallback` */
int64_t wb_http_head_get_integer(const wb_http_head_t *head, const char *name, int64_t fallback);
/** @return TRUE for headers that concern one connection only, which are never passed on */
gboolean wb_http_header_is_hop_by_hop(const wb_http_head_t *head, const char *name);

typedef struct wb_http_reader_t wb_http_reader_t;

typedef enum wb_http_parse_error_t {
    WB_HTTP_PARSE_OK,
    WB_HTTP_PARSE_SYNTAX,
    WB_HTTP_PARSE_HEAD_TOO_LARGE
} wb_http_parse_error_t;

typedef struct wb_http_reader_events_t {
    /** The head is owned by the reader until wb_http_reader_take_head. */
    void (*on_head)(wb_http_reader_t *reader, const wb_http_head_t *head, void *context);
    void (*on_body)(wb_http_reader_t *reader, const char *data, size_t length, void *context);
    /** The message is whole. Reading pauses until wb_http_reader_next. */
    void (*on_complete)(wb_http_reader_t *reader, void *context);
} wb_http_reader_events_t;

wb_http_reader_t *wb_http_reader_create(gboolean is_request, size_t head_limit_bytes,
                                        const wb_http_reader_events_t *events, void *context);
void wb_http_reader_free(wb_http_reader_t *reader);

/** Read some bytes. @return bytes used; fewer than `length` after a whole message or a failure */
size_t wb_http_reader_feed(wb_http_reader_t *reader, const char *data, size_t length);
/** The connection was closed in order: ends an answer without a length. */
void wb_http_reader_eof(wb_http_reader_t *reader);
/** Answers to HEAD have no body, whatever their head says. */
void wb_http_reader_expect_no_body(wb_http_reader_t *reader, gboolean without_body);
/** Be ready for the next message. */
void wb_http_reader_next(wb_http_reader_t *reader);
wb_http_parse_error_t wb_http_reader_error(const wb_http_reader_t *reader);
/** Take over the present head. */
wb_http_head_t *wb_http_reader_take_head(wb_http_reader_t *reader);

#endif
