/* HTTP/1.1 message reader on http-parser. The parser is paused after each message, so that
 * pipelined bytes stay with the caller. */
#include "wickbridge/http_reader.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Return value of on_headers_complete that makes http-parser expect no body. */
#define SKIP_BODY 1
/* One that makes it fail. */
#define REFUSE_MESSAGE (-1)

struct wb_http_reader_t {
    http_parser parser;
    gboolean is_request;
    gboolean answers_head; /* it reads a response to HEAD */
    size_t head_limit_bytes;
    size_t head_bytes; /* target, header names and values read so far */
    const wb_http_reader_events_t *events;
    void *context;
    wb_http_head_t *head;
    GString *target;
    GString *reason;
    GString *name;
    GString *value;
    gboolean value_started;
    gboolean in_message;
    gboolean in_body;
    gboolean complete;
    wb_http_parse_error_t failure;
};

static const char *const hop_by_hop_headers[] = {"Connection",
                                                 "Keep-Alive",
                                                 "Proxy-Authenticate",
                                                 "Proxy-Authorization",
                                                 "Proxy-Connection",
                                                 "TE",
                                                 "Trailer",
                                                 "Transfer-Encoding",
                                                 "Upgrade"};

static void header_clear(gpointer data) {
    wb_http_header_t *header = data;
    g_free(header->name);
    g_free(header->value);
}

wb_http_head_t *wb_http_head_create(void) {
    wb_http_head_t *head = g_new0(wb_http_head_t, 1);
    head->headers = g_array_new(FALSE, FALSE, sizeof(wb_http_header_t));
    g_array_set_clear_func(head->headers, header_clear);
    return head;
}

void wb_http_head_free(wb_http_head_t *head) {
    if (head == NULL)
        return;
    g_array_unref(head->headers);
    g_free(head->method);
    g_free(head->target);
    g_free(head->reason);
    g_free(head);
}

const char *wb_http_head_get(const wb_http_head_t *head, const char *name) {
    for (guint i = 0; i < head->headers->len; i++) {
        const wb_http_header_t *header = &g_array_index(head->headers, wb_http_header_t, i);
        if (strcasecmp(header->name, name) == 0)
            return header->value;
    }
    return NULL;
}

int64_t wb_http_head_get_integer(const wb_http_head_t *head, const char *name, int64_t fallback) {
    const char *text = wb_http_head_get(head, name);
    if (text == NULL || !g_ascii_isdigit(*text))
        return fallback;
    return g_ascii_strtoll(text, NULL, 10);
}

static gboolean list_has(const char *list, const char *name) {
    size_t length = strlen(name);
    while (list != NULL && *list != '\0') {
        list += strspn(list, ", \t");
        size_t word = strcspn(list, ", \t");
        if (word == length && strncasecmp(list, name, length) == 0)
            return TRUE;
        list += word;
    }
    return FALSE;
}

gboolean wb_http_header_is_hop_by_hop(const wb_http_head_t *head, const char *name) {
    for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_headers); i++)
        if (strcasecmp(hop_by_hop_headers[i], name) == 0)
            return TRUE;
    return list_has(wb_http_head_get(head, "Connection"), name);
}

static void header_finish(wb_http_reader_t *reader) {
    if (reader->name->len == 0)
        return;
    wb_http_header_t header = {g_strdup(reader->name->str), g_strdup(reader->value->str)};
    g_array_append_val(reader->head->headers, header);
    g_string_truncate(reader->name, 0);
    g_string_truncate(reader->value, 0);
    reader->value_started = FALSE;
}

static int on_begin(http_parser *parser) {
    wb_http_reader_t *reader = parser->data;
    wb_http_head_free(reader->head);
    reader->head = wb_http_head_create();
    g_string_truncate(reader->target, 0);
    g_string_truncate(reader->reason, 0);
    g_string_truncate(reader->name, 0);
    g_string_truncate(reader->value, 0);
    reader->value_started = FALSE;
    reader->in_message = TRUE;
    reader->in_body = FALSE;
    return 0;
}

/* Counts bytes of the head. Returns nonzero, which stops http-parser, beyond the limit. */
static int head_bytes_add(wb_http_reader_t *reader, size_t length) {
    reader->head_bytes += length;
    return reader->head_bytes > reader->head_limit_bytes;
}

static int on_target(http_parser *parser, const char *data, size_t length) {
    wb_http_reader_t *reader = parser->data;
    g_string_append_len(reader->target, data, (gssize)length);
    return head_bytes_add(reader, length);
}

static int on_reason(http_parser *parser, const char *data, size_t length) {
    wb_http_reader_t *reader = parser->data;
    g_string_append_len(reader->reason, data, (gssize)length);
    return 0;
}

/* Checks a header name. http-parser may accept spaces in names, and an engine could interpret such
 * a line differently. */
static gboolean is_token(const char *data, size_t length) {
    for (size_t i = 0; i < length; i++)
        if (!g_ascii_isalnum(data[i]) && strchr("!#$%&'*+-.^_`|~", data[i]) == NULL)
            return FALSE;
    return TRUE;
}

static int on_name(http_parser *parser, const char *data, size_t length) {
    wb_http_reader_t *reader = parser->data;
    if (reader->in_body)
        return 0; /* trailers are ignored */
    if (!is_token(data, length))
        return 1;
    if (reader->value_started)
        header_finish(reader);
    g_string_append_len(reader->name, data, (gssize)length);
    return head_bytes_add(reader, length);
}

static int on_value(http_parser *parser, const char *data, size_t length) {
    wb_http_reader_t *reader = parser->data;
    if (reader->in_body)
        return 0;
    reader->value_started = TRUE;
    g_string_append_len(reader->value, data, (gssize)length);
    return head_bytes_add(reader, length);
}

/* No request asks for an upgrade, so the bytes behind a 101 can't be understood. */
static gboolean status_is_valid(unsigned status) {
    return status >= 100 && status <= 599 && status != 101;
}

/* Whether a response has no body, whatever its headers say (RFC 9112, 6.3). */
static gboolean response_has_no_body(const wb_http_reader_t *reader) {
    unsigned status = reader->parser.status_code;
    return reader->answers_head || status / 100 == 1 || status == 204 || status == 304;
}

/* Returns TRUE for a response with neither length nor chunks; it ends with its connection. */
static gboolean response_ends_at_close(const wb_http_reader_t *reader) {
    return !response_has_no_body(reader) &&
           (reader->parser.flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
}

/* Compares a header's value, which may have blanks behind it. */
static gboolean value_is(const wb_http_header_t *header, const char *value) {
    size_t length = strlen(value);
    return strncasecmp(header->value, value, length) == 0 &&
           header->value[length + strspn(header->value + length, " \t")] == '\0';
}

/* Whether the body is in no transfer coding but chunks, which http-parser removes. It takes one in
 * any other coding as it is, or for one that ends with its connection. */
static gboolean codings_are_known(const wb_http_head_t *head) {
    for (guint i = 0; i < head->headers->len; i++) {
        const wb_http_header_t *header = &g_array_index(head->headers, wb_http_header_t, i);
        if (strcasecmp(header->name, "Transfer-Encoding") == 0 && !value_is(header, "chunked") &&
            !value_is(header, "identity"))
            return FALSE;
    }
    return TRUE;
}

static int on_head_complete(http_parser *parser) {
    wb_http_reader_t *reader = parser->data;
    header_finish(reader);
    wb_http_head_t *head = reader->head;
    if (!reader->is_request && !status_is_valid(parser->status_code)) {
        reader->failure = WB_HTTP_PARSE_STATUS;
        return REFUSE_MESSAGE;
    }
    if (!reader->is_request && !response_has_no_body(reader) && !codings_are_known(head))
        return REFUSE_MESSAGE;
    if (reader->is_request) {
        head->method = g_strdup(http_method_str(parser->method));
        head->target = g_strdup(reader->target->str);
    } else {
        head->status = parser->status_code;
        head->reason = g_strdup(reader->reason->str);
        head->ends_at_close = response_ends_at_close(reader);
    }
    head->minor_version = parser->http_minor;
    head->keep_alive = http_should_keep_alive(parser) != 0;
    head->has_length = (parser->flags & F_CONTENTLENGTH) != 0;
    head->content_length = head->has_length ? parser->content_length : 0;
    reader->in_body = TRUE;
    if (reader->events->on_head != NULL)
        reader->events->on_head(reader, head, reader->context);
    return !reader->is_request && response_has_no_body(reader) ? SKIP_BODY : 0;
}

static int on_body(http_parser *parser, const char *data, size_t length) {
    wb_http_reader_t *reader = parser->data;
    if (reader->events->on_body != NULL)
        reader->events->on_body(reader, data, length, reader->context);
    return 0;
}

static int on_complete(http_parser *parser) {
    wb_http_reader_t *reader = parser->data;
    reader->complete = TRUE;
    reader->in_message = FALSE;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_url = on_target,
    .on_status = on_reason,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_head_complete,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

wb_http_reader_t *wb_http_reader_create(gboolean is_request, size_t head_limit_bytes,
                                        const wb_http_reader_events_t *events, void *context) {
    wb_http_reader_t *reader = g_new0(wb_http_reader_t, 1);
    reader->is_request = is_request;
    reader->head_limit_bytes = head_limit_bytes;
    reader->events = events;
    reader->context = context;
    reader->target = g_string_new(NULL);
    reader->reason = g_string_new(NULL);
    reader->name = g_string_new(NULL);
    reader->value = g_string_new(NULL);
    http_parser_init(&reader->parser, is_request ? HTTP_REQUEST : HTTP_RESPONSE);
    reader->parser.data = reader;
    return reader;
}

void wb_http_reader_free(wb_http_reader_t *reader) {
    wb_http_head_free(reader->head);
    g_string_free(reader->target, TRUE);
    g_string_free(reader->reason, TRUE);
    g_string_free(reader->name, TRUE);
    g_string_free(reader->value, TRUE);
    g_free(reader);
}

/* Calls on_complete after a complete message. Must be last: the callback may free the reader. */
static void complete_notify(wb_http_reader_t *reader) {
    if (reader->complete && reader->events->on_complete != NULL)
        reader->events->on_complete(reader, reader->context);
}

size_t wb_http_reader_feed(wb_http_reader_t *reader, const char *data, size_t length) {
    if (reader->failure != WB_HTTP_PARSE_OK || reader->complete || length == 0)
        return 0;
    size_t used = http_parser_execute(&reader->parser, &parser_settings, data, length);
    enum http_errno code = HTTP_PARSER_ERRNO(&reader->parser);
    if (code == HPE_HEADER_OVERFLOW || reader->head_bytes > reader->head_limit_bytes)
        reader->failure = WB_HTTP_PARSE_HEAD_TOO_LARGE;
    else if (code != HPE_OK && code != HPE_PAUSED && reader->failure == WB_HTTP_PARSE_OK)
        reader->failure = WB_HTTP_PARSE_SYNTAX;
    complete_notify(reader);
    return used;
}

void wb_http_reader_eof(wb_http_reader_t *reader) {
    if (reader->failure != WB_HTTP_PARSE_OK || reader->complete || !reader->in_message)
        return;
    http_parser_execute(&reader->parser, &parser_settings, NULL, 0);
    complete_notify(reader);
}

void wb_http_reader_expect_no_body(wb_http_reader_t *reader, gboolean without_body) {
    reader->answers_head = without_body;
}

void wb_http_reader_set_head_limit(wb_http_reader_t *reader, size_t head_limit_bytes) {
    reader->head_limit_bytes = head_limit_bytes;
}

void wb_http_reader_next(wb_http_reader_t *reader) {
    http_parser_init(&reader->parser, reader->is_request ? HTTP_REQUEST : HTTP_RESPONSE);
    reader->parser.data = reader;
    reader->head_bytes = 0;
    reader->complete = FALSE;
    reader->in_message = FALSE;
    reader->in_body = FALSE;
}

wb_http_parse_error_t wb_http_reader_error(const wb_http_reader_t *reader) {
    return reader->failure;
}

wb_http_head_t *wb_http_reader_take_head(wb_http_reader_t *reader) {
    wb_http_head_t *head = reader->head;
    reader->head = NULL;
    return head;
}
