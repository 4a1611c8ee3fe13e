/* The command "trace": prints a request's JSON log lines from the log files of all nodes, sorted
 * by time. */
#include "ctl.h"

#include "wickbridge/json.h"

#include <stdio.h>
#include <string.h>

typedef struct trace_line_t {
    int64_t time_ms;
    char *text;
} trace_line_t;

static void line_clear(gpointer data) {
    g_free(((trace_line_t *)data)->text);
}

static gint time_compare(gconstpointer left, gconstpointer right) {
    const trace_line_t *a = left;
    const trace_line_t *b = right;
    return a->time_ms < b->time_ms ? -1 : a->time_ms > b->time_ms;
}

/* Adds the line if it holds the selector, a request or engine id, as a JSON string. */
static void line_read(GArray *lines, const char *text, const char *selector) {
    const char *begin = strchr(text, '{');
    g_autofree char *quoted = g_strdup_printf("\"%s\"", selector);
    if (begin == NULL || strstr(begin, quoted) == NULL)
        return;
    json_t *line = json_loads(begin, JSON_DISABLE_EOF_CHECK, NULL);
    if (line == NULL)
        return;
    trace_line_t entry = {wb_json_integer(line, "time_ms", 0), g_strdup(begin)};
    g_array_append_val(lines, entry);
    json_decref(line);
}

static gboolean file_lines_read(GArray *lines, const char *path, const char *selector) {
    g_autofree char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL))
        return FALSE;
    g_auto(GStrv) rows = g_strsplit(text, "\n", -1);
    for (char **row = rows; *row != NULL; row++)
        line_read(lines, *row, selector);
    return TRUE;
}

static gboolean path_read(GArray *lines, const char *path, const char *selector) {
    GDir *folder = g_dir_open(path, 0, NULL);
    if (folder == NULL)
        return file_lines_read(lines, path, selector);
    const char *name;
    while ((name = g_dir_read_name(folder)) != NULL) {
        g_autofree char *inner = g_build_filename(path, name, NULL);
        if (g_file_test(inner, G_FILE_TEST_IS_REGULAR))
            file_lines_read(lines, inner, selector);
    }
    g_dir_close(folder);
    return TRUE;
}

int ctl_trace(const ctl_options_t *options) {
    const char *selector = options->arguments[0];
    if (selector == NULL || options->path == NULL) {
        ctl_print_error("say 'trace ID -f PATH', with log files or a folder of them");
        return CTL_USAGE;
    }
    g_autoptr(GArray) lines = g_array_new(FALSE, FALSE, sizeof(trace_line_t));
    g_array_set_clear_func(lines, line_clear);
    if (!path_read(lines, options->path, selector))
        return ctl_print_error("the log files can't be read");
    g_array_sort(lines, time_compare);
    for (guint i = 0; i < lines->len; i++)
        printf("%s\n", g_array_index(lines, trace_line_t, i).text);
    return lines->len > 0 ? CTL_OK : ctl_print_error("no line has this id");
}
