/* Structured event log on standard output. Lines are buffered until wb_event_log_flush, which never
 * blocks. Lines beyond the buffer or the budget of their kind are dropped and counted.
 * wb_event walks its format itself, so that each %s is escaped as it is written; snprintf writes
 * the numbers. */
#include "wickbridge/event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define BUFFER_LIMIT_BYTES 65536
/* Of one text, escaped. */
#define TEXT_MAX_BYTES 200
/* Ends a text that was cut. */
#define CUT_MARK "\xe2\x80\xa6"
/* In place of a byte that isn't UTF-8. */
#define REPLACEMENT "\xef\xbf\xbd"
/* "%", flags, width, precision, length and type. */
#define CONVERSION_BYTES 16
#define NUMBER_BYTES 64
/* Larger ones are written with an exponent: readers take digits alone for an integer of 64 bits. */
#define REAL_DIGITS_MAX 1e15
/* The first members of a line: two times, the node's name and the kind of event. */
#define HEAD_BYTES 512

/* Passed on by pointer; a va_list itself may be an array. */
typedef struct wb_event_arguments_t {
    va_list list;
} wb_event_arguments_t;

/* Lines of one kind of event in the current second. */
typedef struct wb_event_budget_t {
    int64_t second;
    unsigned lines;
    unsigned dropped;
} wb_event_budget_t;

static struct {
    char *node; /* escaped */
    unsigned lines_per_s;
    GHashTable *budgets; /* kind -> wb_event_budget_t */
    GString *buffered;
    uint64_t dropped;
} output;

/* Appends the next character of a text, escaped. Returns how many bytes of the text it takes. */
static size_t character_escape(const char *text, char *escaped, size_t size) {
    unsigned char byte = (unsigned char)*text;
    if (byte == '"' || byte == '\\') {
        g_snprintf(escaped, size, "\\%c", byte);
        return 1;
    }
    if (g_ascii_iscntrl(byte)) {
        g_snprintf(escaped, size, "\\u%04x", byte);
        return 1;
    }
    gunichar character = g_utf8_get_char_validated(text, -1);
    gboolean is_valid = character != (gunichar)-1 && character != (gunichar)-2;
    size_t length = is_valid ? (size_t)(g_utf8_next_char(text) - text) : 1;
    g_snprintf(escaped, size, "%.*s", is_valid ? (int)length : (int)strlen(REPLACEMENT),
               is_valid ? text : REPLACEMENT);
    return length;
}

/* Length of the beginning of a text that needs no escaping. */
static size_t plain_length(const char *text) {
    size_t length = 0;
    while (g_ascii_isprint(text[length]) && text[length] != '"' && text[length] != '\\')
        length++;
    return length;
}

/* Appends a text as the inside of a JSON string. */
static void text_append(GString *line, const char *text) {
    size_t left = TEXT_MAX_BYTES;
    while (text != NULL && *text != '\0') {
        char escaped[sizeof("\\u0000")];
        size_t plain = plain_length(text);
        size_t used = MIN(plain, left);
        g_string_append_len(line, text, (gssize)used);
        if (plain == 0) {
            used = character_escape(text, escaped, sizeof(escaped));
            plain = strlen(escaped);
            if (plain <= left)
                g_string_append(line, escaped);
        }
        if (plain > left) {
            g_string_append(line, CUT_MARK);
            return;
        }
        left -= plain;
        text += used;
    }
}

/* JSON has no numbers that aren't finite. */
static void real_write(char *number, const char *conversion, double value) {
    if (!isfinite(value))
        g_strlcpy(number, "null", NUMBER_BYTES);
    else if (fabs(value) < REAL_DIGITS_MAX)
        g_snprintf(number, NUMBER_BYTES, conversion, value);
    else
        g_snprintf(number, NUMBER_BYTES, "%g", value);
}

static void number_append(GString *line, const char *conversion, wb_event_arguments_t *arguments) {
    char number[NUMBER_BYTES];
    char type = conversion[strlen(conversion) - 1];
    if (type == 'f' || type == 'g')
        real_write(number, conversion, va_arg(arguments->list, double));
    else if (strstr(conversion, "ll") != NULL)
        g_snprintf(number, sizeof(number), conversion, va_arg(arguments->list, long long));
    else if (strchr(conversion, 'z') != NULL)
        g_snprintf(number, sizeof(number), conversion, va_arg(arguments->list, size_t));
    else
        g_snprintf(number, sizeof(number), conversion, va_arg(arguments->list, int));
    g_string_append(line, number);
}

/* Appends an argument that isn't a text: %d, %u, %x with or without ll or z, %f, %g; or %%. Returns
 * the length of the conversion. */
static size_t conversion_append(GString *line, const char *format,
                                wb_event_arguments_t *arguments) {
    char conversion[CONVERSION_BYTES] = "%";
    size_t length = 1;
    do {
        g_assert(length + 1 < sizeof(conversion) && format[length] != '\0');
        conversion[length] = format[length];
    } while (strchr("duxfg%", format[length++]) == NULL);
    conversion[length] = '\0';
    if (format[1] == '%')
        g_string_append_c(line, '%');
    else
        number_append(line, conversion, arguments);
    return length;
}

static void members_append(GString *line, const char *format, wb_event_arguments_t *arguments) {
    for (;;) {
        const char *conversion = strchr(format, '%');
        if (conversion == NULL) {
            g_string_append(line, format);
            return;
        }
        g_string_append_len(line, format, conversion - format);
        if (conversion[1] == 's') {
            text_append(line, va_arg(arguments->list, const char *));
            format = conversion + 2;
        } else {
            format = conversion + conversion_append(line, conversion, arguments);
        }
    }
}

void wb_event_log_setup(const char *node, unsigned lines_per_s) {
    GString *escaped = g_string_new(NULL);
    text_append(escaped, node);
    output.node = g_string_free(escaped, FALSE);
    output.lines_per_s = lines_per_s;
    output.budgets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    output.buffered = g_string_new(NULL);
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* Begins a line. Returns FALSE when the buffer is full: the line is dropped. */
static gboolean line_begin(const char *kind) {
    char head[HEAD_BYTES];
    if (output.buffered->len > BUFFER_LIMIT_BYTES) {
        output.dropped++;
        return FALSE;
    }
    g_snprintf(head, sizeof(head),
               "{\"time_ms\":%" G_GINT64_FORMAT ",\"steady_ms\":%" G_GINT64_FORMAT
               ",\"node\":\"%s\",\"event\":\"%s\"",
               g_get_real_time() / 1000, g_get_monotonic_time() / 1000, output.node, kind);
    g_string_append(output.buffered, head);
    return TRUE;
}

static void line_end(void) {
    g_string_append(output.buffered, "}\n");
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
        if (budget->dropped > 0 && line_begin("log-dropped")) {
            g_string_append_printf(output.buffered, ",\"of\":\"%s\",\"lines\":%u", kind,
                                   budget->dropped);
            line_end();
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
    if (output.buffered == NULL || !budget_take(kind) || !line_begin(kind))
        return;
    wb_event_arguments_t arguments;
    va_start(arguments.list, format);
    members_append(output.buffered, format, &arguments);
    va_end(arguments.list);
    line_end();
}

void wb_event_members(const char *kind, const char *members) {
    if (output.buffered == NULL || !budget_take(kind) || !line_begin(kind))
        return;
    g_string_append(output.buffered, members);
    line_end();
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
