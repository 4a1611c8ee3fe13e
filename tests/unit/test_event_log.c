/* Guards against events that are lost because their texts are long, and against texts that end
 * their JSON string or make the line unreadable. */
#include "unit.h"

#include "wickbridge/event_log.h"

#include <jansson.h>
#include <math.h>
#include <string.h>
#include <unistd.h>

#define LINES_PER_S 100
#define TEXTS 12
#define TEXT_MAX_BYTES 199
#define READ_BYTES 16384

/* Standard output while lines are caught. */
typedef struct caught_t {
    int output;
    int pipe[2];
} caught_t;

static void catch_begin(caught_t *caught) {
    caught->output = dup(STDOUT_FILENO);
    g_assert_cmpint(pipe(caught->pipe), ==, 0);
    dup2(caught->pipe[1], STDOUT_FILENO);
}

/* Returns the lines that were logged since catch_begin. */
static char *catch_end(caught_t *caught) {
    static char lines[READ_BYTES];
    wb_event_log_flush();
    dup2(caught->output, STDOUT_FILENO);
    close(caught->output);
    close(caught->pipe[1]);
    ssize_t got = read(caught->pipe[0], lines, sizeof(lines) - 1);
    close(caught->pipe[0]);
    g_assert_cmpint(got, >, 0);
    lines[got] = '\0';
    return lines;
}

/* Ends catching, and returns the one line as JSON. */
static json_t *catch_end_json(caught_t *caught) {
    json_error_t error;
    const char *lines = catch_end(caught);
    json_t *line = json_loads(lines, 0, &error);
    if (line == NULL) {
        g_test_message("%s: %s", error.text, lines);
    }
    g_assert_nonnull(line);
    return line;
}

/* Logs an event with a text, and returns what a reader gets for the text. */
static char *text_read_back(const char *text) {
    caught_t caught;
    catch_begin(&caught);
    wb_event("text", ",\"text\":\"%s\"", text);
    json_t *line = catch_end_json(&caught);
    char *read = g_strdup(json_string_value(json_object_get(line, "text")));
    json_decref(line);
    return read;
}

/* Logs an event with as many texts of a length as one may have, and returns its line. */
static char *line_with_texts(size_t length) {
    caught_t caught;
    g_autofree char *text = g_strnfill(length, 'x');
    const char *t[TEXTS];
    catch_begin(&caught);
    for (int i = 0; i < TEXTS; i++)
        t[i] = text;
    wb_event("long", ",\"texts\":\"%s%s%s%s%s%s%s%s%s%s%s%s\",\"last\":true", t[0], t[1], t[2],
             t[3], t[4], t[5], t[6], t[7], t[8], t[9], t[10], t[11]);
    return catch_end(&caught);
}

static void test_long_texts(void) {
    wb_event_log_setup("node", LINES_PER_S);
    char *line = line_with_texts(TEXT_MAX_BYTES * 2);
    g_assert_nonnull(strstr(line, ",\"last\":true}\n"));
    g_assert_null(strstr(line, "\"cut\""));
    g_assert_cmpuint(strlen(line), >, TEXTS * TEXT_MAX_BYTES);
}

/* Guards against a text that ends its JSON string or its line, or is changed on the way. */
static void test_texts_are_data(void) {
    static const char *const texts[] = {"plain",
                                        "a\"b",
                                        "a\\",
                                        "\"}\n{\"event\":\"forged\"",
                                        "\r\n\t\b\f\x01\x1f\x7f",
                                        "\x1b[31m",
                                        "%s%n%d%%",
                                        "{},:[]",
                                        "\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80",
                                        ""};
    wb_event_log_setup("node", LINES_PER_S);
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_autofree char *read = text_read_back(texts[i]);
        g_assert_cmpstr(read, ==, texts[i]);
    }
    g_autofree char *none = text_read_back(NULL);
    g_assert_cmpstr(none, ==, "");
}

/* Guards against bytes that aren't UTF-8, which JSON can't have: also of characters that are cut
 * short, overlong, or half of a pair. */
static void test_bytes_that_are_no_text(void) {
    static const struct {
        const char *text;
        const char *read;
    } cases[] = {{"a\xff\xfe", "a\xef\xbf\xbd\xef\xbf\xbd"},
                 {"\xc3", "\xef\xbf\xbd"},
                 {"\xe2\x82", "\xef\xbf\xbd\xef\xbf\xbd"},
                 {"\xc0\xaf", "\xef\xbf\xbd\xef\xbf\xbd"},
                 {"\xed\xa0\x80", "\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd"},
                 {"\xf4\x90\x80\x80", "\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd"}};
    wb_event_log_setup("node", LINES_PER_S);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *read = text_read_back(cases[i].text);
        g_assert_cmpstr(read, ==, cases[i].read);
    }
}

/* Guards against long texts that look whole, or that are cut within a character or an escape. */
static void test_cut_texts(void) {
    static const char *const units[] = {"x", "\"", "\n", "\xc3\xa9", "\xf0\x9f\x98\x80", "\xff"};
    wb_event_log_setup("node", LINES_PER_S);
    for (size_t i = 0; i < G_N_ELEMENTS(units); i++) {
        g_autoptr(GString) text = g_string_new("a");
        for (int j = 0; j < READ_BYTES; j++)
            g_string_append(text, units[i]);
        g_autofree char *read = text_read_back(text->str);
        g_assert_true(g_str_has_suffix(read, "\xe2\x80\xa6"));
        g_assert_cmpuint(strlen(read), <, 2 * TEXT_MAX_BYTES);
    }
    g_autofree char *longest = g_strnfill(TEXT_MAX_BYTES, 'x');
    g_autofree char *read = text_read_back(longest);
    g_assert_cmpstr(read, ==, longest);
}

/* Guards against numbers that JSON doesn't have, and against a conversion that takes an argument of
 * another size. */
static void test_numbers(void) {
    caught_t caught;
    wb_event_log_setup("node", LINES_PER_S);
    catch_begin(&caught);
    wb_event("numbers",
             ",\"d\":%d,\"u\":%u,\"lld\":%lld,\"llu\":%llu,\"zu\":%zu,\"f\":%.2f,\"g\":%g,"
             "\"nan\":%.0f,\"inf\":%g,\"x\":\"%08x\",\"per\":\"%%\",\"text\":\"%s\",\"large\":%.0f",
             -1, 4000000000U, -9000000000000000000LL, 9000000000000000000ULL, (size_t)7, 1.25, 0.5,
             NAN, -INFINITY, 0xabcU, "after", 1e300);
    json_t *line = catch_end_json(&caught);
    g_assert_cmpint(json_integer_value(json_object_get(line, "d")), ==, -1);
    g_assert_cmpint(json_integer_value(json_object_get(line, "u")), ==, 4000000000);
    g_assert_cmpint(json_integer_value(json_object_get(line, "lld")), ==, -9000000000000000000);
    g_assert_cmpint(json_integer_value(json_object_get(line, "zu")), ==, 7);
    g_assert_cmpfloat(json_real_value(json_object_get(line, "f")), ==, 1.25);
    g_assert_cmpfloat(json_real_value(json_object_get(line, "g")), ==, 0.5);
    g_assert_true(json_is_null(json_object_get(line, "nan")));
    g_assert_true(json_is_null(json_object_get(line, "inf")));
    g_assert_cmpstr(json_string_value(json_object_get(line, "x")), ==, "00000abc");
    g_assert_cmpstr(json_string_value(json_object_get(line, "per")), ==, "%");
    g_assert_cmpstr(json_string_value(json_object_get(line, "text")), ==, "after");
    g_assert_cmpfloat(json_real_value(json_object_get(line, "large")), ==, 1e300);
    json_decref(line);
}

/* Guards against a node whose name makes every line unreadable. */
static void test_node_name(void) {
    caught_t caught;
    wb_event_log_setup("no\"de\n", LINES_PER_S);
    catch_begin(&caught);
    wb_event_members("members", ",\"a\":{\"b\":[1,\"%s\"]}");
    json_t *line = catch_end_json(&caught);
    g_assert_cmpstr(json_string_value(json_object_get(line, "node")), ==, "no\"de\n");
    g_assert_cmpuint(json_array_size(json_object_get(json_object_get(line, "a"), "b")), ==, 2);
    json_decref(line);
}

static void tests_add(void) {
    g_test_add_func("/event-log/texts-are-data", test_texts_are_data);
    g_test_add_func("/event-log/bytes-that-are-no-text", test_bytes_that_are_no_text);
    g_test_add_func("/event-log/cut-texts", test_cut_texts);
    g_test_add_func("/event-log/numbers", test_numbers);
    g_test_add_func("/event-log/node-name", test_node_name);
    g_test_add_func("/event-log/long-texts", test_long_texts);
}

UNIT_TEST_MAIN(tests_add)
