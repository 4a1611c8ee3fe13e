/* Guards against events that are lost because their texts are long. */
#include "unit.h"

#include "wickbridge/event_log.h"

#include <string.h>
#include <unistd.h>

#define LINES_PER_S 100
#define TEXTS 12
#define TEXT_MAX_BYTES 199
#define READ_BYTES 16384

/* Logs an event with as many texts of a length as one may have, and returns its line. */
static char *line_with_texts(size_t length) {
    static char line[READ_BYTES];
    g_autofree char *text = g_strnfill(length, 'x');
    const char *t[TEXTS];
    int ends[2];
    int out = dup(STDOUT_FILENO);
    g_assert_cmpint(pipe(ends), ==, 0);
    dup2(ends[1], STDOUT_FILENO);
    for (int i = 0; i < TEXTS; i++)
        t[i] = wb_event_escape(text);
    wb_event("long", ",\"texts\":\"%s%s%s%s%s%s%s%s%s%s%s%s\",\"last\":true", t[0], t[1], t[2],
             t[3], t[4], t[5], t[6], t[7], t[8], t[9], t[10], t[11]);
    wb_event_log_flush();
    dup2(out, STDOUT_FILENO);
    close(out);
    close(ends[1]);
    ssize_t got = read(ends[0], line, sizeof(line) - 1);
    close(ends[0]);
    g_assert_cmpint(got, >, 0);
    line[got] = '\0';
    return line;
}

static void test_long_texts(void) {
    wb_event_log_setup("node", LINES_PER_S);
    char *line = line_with_texts(TEXT_MAX_BYTES * 2);
    g_assert_nonnull(strstr(line, ",\"last\":true}\n"));
    g_assert_null(strstr(line, "\"cut\""));
    g_assert_cmpuint(strlen(line), >, TEXTS * TEXT_MAX_BYTES);
}

static void tests_add(void) {
    g_test_add_func("/event-log/long-texts", test_long_texts);
}

UNIT_TEST_MAIN(tests_add)
