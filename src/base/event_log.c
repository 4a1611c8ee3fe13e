/* Structured event log on standard output. Lines are buffered until wb_event_log_flush, which never
 * blocks. Lines beyond the buffer or the budget of their kind are dropped and counted. */
#include "wickbridge/event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define BUFFER_LIMIT_BYTES 65536
#define TEXT_BYTES 200
#define TEXT_BUFFERS 12
/* All other members of a line. */
#define NAMES_AND_NUMBERS_BYTES 1600
#define LINE_BYTES (TEXT_BUFFERS * TEXT_BYTES + NAMES_AND_NUMBERS_BYTES)

/* Lines of one kind of event in the current second. */
typedef struct wb_event_budget_t {
    int64_t second;
    unsigned lines;
    unsigned dropped;
} wb_event_budget_t;

static struct {
    char node[128];
    unsigned lines_per_s;
    GHashTable *budgets; /* kind -> wb_event_budget_t */
    GString *buffered;
    uint64_t dropped;
} output;

void wb_event_log_setup(const char *node, unsigned lines_per_s) {
    g_strlcpy(output.node, node, sizeof(output.node));
    output.lines_per_s = lines_per_s;
    output.budgets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    output.buffered = g_string_new(NULL);
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static void line_append(const char *kind, const char *members) {
    if (output.buffered->len > BUFFER_LIMIT_BYTES) {
        output.dropped++;
        return;
    }
    int64_t wall_ms = g_get_real_time() / 1000;
    int64_t monotonic_ms = g_get_monotonic_time() / 1000;
    g_string_append_printf(
        output.buffered,
        "{\"time_ms\":%lld,\"steady_ms\":%lld,\"node\":\"%s\",\"event\":\"%s\"%s}\n",
        (long long)wall_ms, (long long)monotonic_ms, output.node, kind, members);
}

/* Takes a line out of the kind's budget for this second. Returns FALSE when the budget is used up.
 * In a new second, first logs how many lines of the kind were dropped. */
static gboolean budget_take(const char *kind) {
    int64_t second = g_get_monotonic_time() / G_USEC_PER_SEC;
    wb_event_budget_t *budget = g_hash_table_lookup(output.budgets, kind);
    if (budget == NULL) {
        budget = g_new0(wb_event_budget_t, 1);
        g_hash_table_insert(output.budgets, (gpointer)kind, budget);
    }
    if (budget->second != second) {
        if (budget->dropped > 0) {
            char members[LINE_BYTES];
            snprintf(members, sizeof(members), ",\"of\":\"%s\",\"lines\":%u", kind,
                     budget->dropped);
            line_append("log-dropped", members);
        }
        budget->second = second;
        budget->lines = 0;
        budget->dropped = 0;
    }
    if (budget->lines < output.lines_per_s) {
        budget->lines++;
        return TRUE;
    }
    budget->dropped++;
    output.dropped++;
    return FALSE;
}

void wb_event(const char *kind, const char *format, ...) {
    if (output.buffered == NULL || !budget_take(kind))
        return;
    char members[LINE_BYTES];
    va_list arguments;
    va_start(arguments, format);
    int length = vsnprintf(members, sizeof(members), format, arguments);
    va_end(arguments);
    if (length >= (int)sizeof(members))
        g_strlcpy(members, ",\"cut\":true", sizeof(members));
    line_append(kind, members);
}

const char *wb_event_escape(const char *text) {
    static char buffers[TEXT_BUFFERS][TEXT_BYTES];
    static unsigned next;
    char *buffer = buffers[next++ % TEXT_BUFFERS];
    size_t used = 0;
    for (; text != NULL && *text != '\0' && used + 1 < TEXT_BYTES; text++)
        buffer[used++] = *text == '"' || *text == '\\' || (unsigned char)*text < ' ' ? '?' : *text;
    buffer[used] = '\0';
    return buffer;
}

void wb_event_log_flush(void) {
    if (output.buffered == NULL || output.buffered->len == 0)
        return;
    ssize_t written = write(STDOUT_FILENO, output.buffered->str, output.buffered->len);
    if (written > 0)
        g_string_erase(output.buffered, 0, written);
    else if (written < 0 && errno != EAGAIN && errno != EINTR)
        g_string_truncate(output.buffered, 0);
}

uint64_t wb_event_log_dropped(void) {
    return output.dropped;
}
