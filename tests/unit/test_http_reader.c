/* Guards against messages parsed differently when split, request smuggling, and responses that are
 * complete although their connection ended before they did. */
#include "unit.h"

#include "wickbridge/http_reader.h"

#include <string.h>

/* What the reader reported of the messages of one input. */
typedef struct reading_t {
    GString *body;
    char *target;
    int complete_count;
} reading_t;

static void reading_head(wb_http_reader_t *reader, const wb_http_head_t *head, void *context) {
    (void)reader;
    reading_t *reading = context;
    g_free(reading->target);
    reading->target = g_strdup(head->target);
}

static void reading_body(wb_http_reader_t *reader, const char *data, size_t length, void *context) {
    (void)reader;
    g_string_append_len(((reading_t *)context)->body, data, (gssize)length);
}

static void reading_complete(wb_http_reader_t *reader, void *context) {
    ((reading_t *)context)->complete_count++;
    wb_http_reader_next(reader);
}

static const wb_http_reader_events_t reading_events = {reading_head, reading_body,
                                                       reading_complete};

static wb_http_parse_error_t feed_in_steps(const char *text, size_t step, reading_t *reading) {
    wb_http_reader_t *reader = wb_http_reader_create(TRUE, 4096, &reading_events, reading);
    size_t length = strlen(text);
    size_t at = 0;
    while (at < length && wb_http_reader_error(reader) == WB_HTTP_PARSE_OK) {
        size_t end = MIN(at + step, length);
        while (at < end && wb_http_reader_error(reader) == WB_HTTP_PARSE_OK)
            at += wb_http_reader_feed(reader, text + at, end - at);
    }
    wb_http_parse_error_t failure = wb_http_reader_error(reader);
    wb_http_reader_free(reader);
    return failure;
}

static void test_http_pieces(void) {
    static const char text[] =
        "POST /a%2Fb?c=%20 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
        "POST /second HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nend"
        "GET /third HTTP/1.1\r\nHost: x\r\n\r\n";
    for (size_t step = 1; step <= strlen(text); step++) {
        reading_t reading = {g_string_new(NULL), NULL, 0};
        g_assert_cmpint(feed_in_steps(text, step, &reading), ==, WB_HTTP_PARSE_OK);
        g_assert_cmpint(reading.complete_count, ==, 3);
        g_assert_cmpstr(reading.body->str, ==, "hello worldend");
        g_assert_cmpstr(reading.target, ==, "/third");
        g_string_free(reading.body, TRUE);
        g_free(reading.target);
    }
}

static void test_http_smuggling(void) {
    static const char *const malformed[] = {
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "GET / HTTP/1.1\r\nBad Header: 1\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\nContent-Length: 3\r\n\r\nabc",
        "\x16\x03\x01",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
        for (size_t step = 1; step < 60; step += 7) {
            reading_t reading = {g_string_new(NULL), NULL, 0};
            g_assert_cmpint(feed_in_steps(malformed[i], step, &reading), ==, WB_HTTP_PARSE_SYNTAX);
            g_assert_cmpint(reading.complete_count, ==, 0);
            g_string_free(reading.body, TRUE);
            g_free(reading.target);
        }
}

/* What the reader reported of a response whose connection ended behind some bytes of it. */
typedef struct ending_t {
    unsigned status; /* of the last head */
    gboolean ends_at_close;
    int complete_count; /* of final responses */
} ending_t;

static void ending_head(wb_http_reader_t *reader, const wb_http_head_t *head, void *context) {
    (void)reader;
    ending_t *ending = context;
    ending->status = head->status;
    ending->ends_at_close = head->ends_at_close;
}

static void ending_complete(wb_http_reader_t *reader, void *context) {
    ending_t *ending = context;
    ending->complete_count += ending->status >= 200;
    if (ending->status < 200)
        wb_http_reader_next(reader);
}

static const wb_http_reader_events_t ending_events = {ending_head, NULL, ending_complete};

/* Feeds bytes of a response, at most `step` at once, then the end of its connection. */
static ending_t response_end(const char *text, size_t length, size_t step, gboolean is_head) {
    ending_t ending = {0};
    wb_http_reader_t *reader = wb_http_reader_create(FALSE, 4096, &ending_events, &ending);
    wb_http_reader_expect_no_body(reader, is_head);
    for (size_t at = 0; at < length;) {
        size_t used = wb_http_reader_feed(reader, text + at, MIN(step, length - at));
        if (used == 0)
            break;
        at += used;
    }
    wb_http_reader_eof(reader);
    wb_http_reader_free(reader);
    return ending;
}

#define INTERIM "HTTP/1.1 100 Continue\r\n\r\n"
#define HINTS "HTTP/1.1 103 Early Hints\r\nLink: x\r\nContent-Length: 3\r\n\r\n"
#define OK "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n"
#define LENGTH "Content-Length: 5\r\n\r\nhello"
#define CHUNKS "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=1\r\nllo\r\n0\r\n"

typedef struct framed_t {
    const char *text;
    gboolean is_head;
} framed_t;

static const framed_t framed_responses[] = {
    {OK LENGTH, FALSE},
    {OK "Content-Length: 0\r\n\r\n", FALSE},
    {OK CHUNKS "\r\n", FALSE},
    {OK CHUNKS "Checksum: 1\r\nOther: 2\r\n\r\n", FALSE},
    {INTERIM OK LENGTH, FALSE},
    {INTERIM HINTS OK CHUNKS "\r\n", FALSE},
    {"HTTP/1.1 204 No Content\r\nResponse-Seal: s\r\n\r\n", FALSE},
    {"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", FALSE},
    {OK "Content-Length: 5\r\n\r\n", TRUE},
    {OK "\r\n", TRUE},
    {OK "Transfer-Encoding: chunked\r\n\r\n", TRUE},
    {"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" LENGTH, FALSE},
    {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n" LENGTH, FALSE},
};

/* Guards against a connection that ends within a head, a length, a chunk or trailers, being taken
 * for the end of the response. */
static void test_cut_responses_never_complete(void) {
    for (size_t i = 0; i < G_N_ELEMENTS(framed_responses); i++) {
        const framed_t *framed = &framed_responses[i];
        size_t length = strlen(framed->text);
        for (size_t step = 1; step <= length; step += length - 1) {
            for (size_t bytes = 0; bytes < length; bytes++) {
                ending_t ending = response_end(framed->text, bytes, step, framed->is_head);
                g_assert_cmpint(ending.complete_count, ==, 0);
            }
            ending_t whole = response_end(framed->text, length, step, framed->is_head);
            g_assert_cmpint(whole.complete_count, ==, 1);
        }
    }
}

static wb_http_parse_error_t status_error(const char *status, const char *lines, size_t step) {
    g_autofree char *text = g_strdup_printf("HTTP/1.1 %s Word\r\n%s\r\n", status, lines);
    size_t length = strlen(text);
    ending_t ending = {0};
    wb_http_reader_t *reader = wb_http_reader_create(FALSE, 4096, &ending_events, &ending);
    for (size_t at = 0; at < length && wb_http_reader_error(reader) == WB_HTTP_PARSE_OK; at += step)
        wb_http_reader_feed(reader, text + at, MIN(step, length - at));
    wb_http_parse_error_t failure = wb_http_reader_error(reader);
    if (failure != WB_HTTP_PARSE_OK)
        g_assert_cmpuint(ending.status, ==, 0);
    wb_http_reader_free(reader);
    return failure;
}

/* Guards against a status that is none, passed on as one or taken for an interim response, behind
 * which the answer is waited for in vain. */
static void test_statuses(void) {
    static const char *const lines[] = {"", "Content-Length: 0\r\n", "Connection: close\r\n",
                                        "Connection: upgrade\r\nUpgrade: x\r\n"};
    for (unsigned status = 0; status <= 999; status++) {
        gboolean is_valid = status >= 100 && status <= 599 && status != 101;
        g_autofree char *text = g_strdup_printf("%03u", status);
        for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
            g_assert_cmpint(status_error(text, lines[i], 1), ==,
                            is_valid ? WB_HTTP_PARSE_OK : WB_HTTP_PARSE_STATUS);
            g_assert_cmpint(status_error(text, lines[i], 4096), ==,
                            is_valid ? WB_HTTP_PARSE_OK : WB_HTTP_PARSE_STATUS);
        }
    }
    g_assert_cmpint(status_error("2", "", 1), ==, WB_HTTP_PARSE_STATUS);
    g_assert_cmpint(status_error("20", "", 1), ==, WB_HTTP_PARSE_STATUS);
    g_assert_cmpint(status_error("2000", "", 1), ==, WB_HTTP_PARSE_SYNTAX);
    g_assert_cmpint(status_error("-20", "", 1), ==, WB_HTTP_PARSE_SYNTAX);
}

/* Guards against a response that has no body by its status, but tells a length, being read on, into
 * the next one or until its connection ends. */
static void test_statuses_without_body(void) {
    static const char *const texts[] = {
        HINTS OK LENGTH,
        "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" OK LENGTH,
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        ending_t ending = response_end(texts[i], strlen(texts[i]), 1, FALSE);
        g_assert_cmpint(ending.complete_count, ==, 1);
    }
}

/* Guards against a body in a coding that the reader doesn't undo being passed on as the body, to
 * the end of the connection if the coding isn't in chunks. */
static void test_unknown_transfer_codings(void) {
    static const char *const texts[] = {
        OK "Transfer-Encoding: chunke\r\n\r\nhello",
        OK "Transfer-Encoding: chunked, gzip\r\n\r\nhello",
        OK "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        OK "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        OK "Transfer-Encoding:\r\n\r\nhello",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        ending_t ending = response_end(texts[i], strlen(texts[i]), 1, FALSE);
        g_assert_cmpint(ending.complete_count, ==, 0);
        g_assert_cmpuint(ending.status, ==, 0);
    }
    static const char *const known[] = {OK "transfer-encoding: Chunked \r\n\r\n0\r\n\r\n",
                                        OK "Transfer-Encoding: identity\r\n\r\nhello"};
    for (size_t i = 0; i < G_N_ELEMENTS(known); i++)
        g_assert_cmpint(response_end(known[i], strlen(known[i]), 1, FALSE).complete_count, ==, 1);
}

/* A response without a frame ends with its connection, but not within its head. */
static void test_unframed_responses_end_behind_their_head(void) {
    static const char *const heads[] = {OK "\r\n", INTERIM HINTS OK "\r\n",
                                        OK "Transfer-Encoding: identity\r\n\r\n"};
    for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
        g_autofree char *text = g_strconcat(heads[i], "hello", NULL);
        size_t head_bytes = strlen(heads[i]);
        for (size_t bytes = 0; bytes <= strlen(text); bytes++) {
            ending_t ending = response_end(text, bytes, bytes + 1, FALSE);
            g_assert_cmpint(ending.complete_count, ==, bytes >= head_bytes ? 1 : 0);
            g_assert_cmpint(ending.ends_at_close, ==, bytes >= head_bytes);
        }
    }
}

/* Guards against a length that was stated but can't be read being taken for none, so that the end
 * of the connection is the end of the response. */
static void test_unreadable_lengths(void) {
    static const char *const texts[] = {
        OK "Content-Length:\r\n\r\nhello",
        OK "Content-Length: \r\n\r\nhello",
        OK "Content-Length: five\r\n\r\nhello",
        OK "Content-Length: -5\r\n\r\nhello",
        OK "Content-Length: 5 5\r\n\r\nhello",
        OK "Content-Length: 5, 5\r\n\r\nhello",
        OK "Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        ending_t ending = response_end(texts[i], strlen(texts[i]), strlen(texts[i]), FALSE);
        if (ending.complete_count > 0)
            g_test_message("complete: %s", texts[i] + strlen(OK));
        g_assert_cmpint(ending.complete_count, ==, 0);
    }
}

static void tests_add(void) {
    g_test_add_func("/http/statuses", test_statuses);
    g_test_add_func("/http/pieces", test_http_pieces);
    g_test_add_func("/http/smuggling", test_http_smuggling);
    g_test_add_func("/http/cut-responses-never-complete", test_cut_responses_never_complete);
    g_test_add_func("/http/statuses-without-body", test_statuses_without_body);
    g_test_add_func("/http/unframed-responses-end-behind-their-head",
                    test_unframed_responses_end_behind_their_head);
    g_test_add_func("/http/unknown-transfer-codings", test_unknown_transfer_codings);
    g_test_add_func("/http/unreadable-lengths", test_unreadable_lengths);
}

UNIT_TEST_MAIN(tests_add)
