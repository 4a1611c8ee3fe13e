/* HTTP messages read in pieces of every size, and messages that must be refused. */
#include "unit.h"

#include "wickbridge/http_reader.h"

#include <string.h>

/* Reads a message in pieces of every size; heads and bodies come out the same. */
typedef struct reading_t {
    GString *body;
    char *target;
    int whole;
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
    ((reading_t *)context)->whole++;
    wb_http_reader_next(reader);
}

static const wb_http_reader_events_t reading_events = {reading_head, reading_body,
                                                       reading_complete};

static wb_http_parse_error_t message_read(const char *text, size_t step, reading_t *reading) {
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
        g_assert_cmpint(message_read(text, step, &reading), ==, WB_HTTP_PARSE_OK);
        g_assert_cmpint(reading.whole, ==, 3);
        g_assert_cmpstr(reading.body->str, ==, "hello worldend");
        g_assert_cmpstr(reading.target, ==, "/third");
        g_string_free(reading.body, TRUE);
        g_free(reading.target);
    }
}

static void test_http_smuggling(void) {
    static const char *const bad[] = {
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "GET / HTTP/1.1\r\nBad Header: 1\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\nContent-Length: 3\r\n\r\nabc",
        "\x16\x03\x01",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
        for (size_t step = 1; step < 60; step += 7) {
            reading_t reading = {g_string_new(NULL), NULL, 0};
            g_assert_cmpint(message_read(bad[i], step, &reading), ==, WB_HTTP_PARSE_SYNTAX);
            g_assert_cmpint(reading.whole, ==, 0);
            g_string_free(reading.body, TRUE);
            g_free(reading.target);
        }
}

static void tests_add(void) {
    g_test_add_func("/http/pieces", test_http_pieces);
    g_test_add_func("/http/smuggling", test_http_smuggling);
}

UNIT_TEST_MAIN(tests_add)
