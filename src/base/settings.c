/* Settings of a program, described by one table: defaults, then the settings file, then
 * command-line flags. Each value is checked against its row. */
#include "wickbridge/settings.h"

#include <argp.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <arpa/inet.h>

#define PORT_DIGITS_MAX 5
#define FLAG_KEY_BASE 1000
#define FLAG_KEY_SETTINGS 999
#define FLAG_KEY_DOCUMENT 998

typedef struct wb_settings_parse_t {
    const wb_settings_table_t *table;
    void *target;
    const char *file;
    const char **flag_values; /* one for each row; NULL when the flag was not given */
} wb_settings_parse_t;

/* Stricter than strtol, which skips blanks and line breaks and takes a sign. */
static int port_parse(const char *text) {
    size_t digits = strspn(text, "0123456789");
    if (digits == 0 || digits > PORT_DIGITS_MAX || text[digits] != '\0')
        return -1;
    long port = strtol(text, NULL, 10);
    return port <= UINT16_MAX ? (int)port : -1;
}

int wb_address_port(const char *text) {
    const char *colon = strrchr(text, ':');
    char host[INET_ADDRSTRLEN];
    struct in_addr address;
    size_t length = colon != NULL ? (size_t)(colon - text) : 0;
    if (length == 0 || length >= sizeof(host))
        return -1;
    memcpy(host, text, length);
    host[length] = '\0';
    return inet_pton(AF_INET, host, &address) == 1 ? port_parse(colon + 1) : -1;
}

int wb_address_is_valid(const char *text) {
    return wb_address_port(text) >= 0;
}

static const wb_setting_t *row_find(const wb_settings_table_t *table, const char *name) {
    for (size_t i = 0; i < table->count; i++)
        if (strcmp(table->rows[i].name, name) == 0)
            return &table->rows[i];
    return NULL;
}

static apr_status_t integer_set(const wb_setting_t *row, int64_t *field, const char *value,
                                const char *origin, wb_error_t *error) {
    char *end;
    long long number = strtoll(value, &end, 10);
    if (end == value || *end != '\0')
        return wb_error_set(error, APR_EINVAL, "%s: %s is '%s', but must be a whole number%s%s",
                            origin, row->name, value, *row->unit ? " of " : "", row->unit);
    if (number < row->minimum || number > row->maximum)
        return wb_error_set(error, APR_EINVAL, "%s: %s is %lld, but must be from %lld to %lld %s",
                            origin, row->name, number, (long long)row->minimum,
                            (long long)row->maximum, row->unit);
    *field = number;
    return APR_SUCCESS;
}

static apr_status_t real_set(const wb_setting_t *row, double *field, const char *value,
                             const char *origin, wb_error_t *error) {
    char *end;
    double number = g_ascii_strtod(value, &end);
    if (end == value || *end != '\0')
        return wb_error_set(error, APR_EINVAL, "%s: %s is '%s', but must be a number%s%s", origin,
                            row->name, value, *row->unit ? " of " : "", row->unit);
    if (!(number >= (double)row->minimum && number <= (double)row->maximum))
        return wb_error_set(error, APR_EINVAL, "%s: %s is %g, but must be from %lld to %lld %s",
                            origin, row->name, number, (long long)row->minimum,
                            (long long)row->maximum, row->unit);
    *field = number;
    return APR_SUCCESS;
}

static apr_status_t boolean_set(const wb_setting_t *row, int64_t *field, const char *value,
                                const char *origin, wb_error_t *error) {
    if (strcmp(value, "true") == 0)
        *field = 1;
    else if (strcmp(value, "false") == 0)
        *field = 0;
    else
        return wb_error_set(error, APR_EINVAL, "%s: %s is '%s', but must be true or false", origin,
                            row->name, value);
    return APR_SUCCESS;
}

apr_status_t wb_settings_set(const wb_settings_table_t *table, void *target, const char *name,
                             const char *value, const char *origin, wb_error_t *error) {
    const wb_setting_t *row = row_find(table, name);
    if (row == NULL)
        return wb_error_set(error, APR_EINVAL, "%s: there is no setting '%s'", origin, name);
    char *field = (char *)target + row->offset;
    switch (row->type) {
    case WB_SETTING_INTEGER:
        return integer_set(row, (int64_t *)field, value, origin, error);
    case WB_SETTING_REAL:
        return real_set(row, (double *)(void *)field, value, origin, error);
    case WB_SETTING_BOOLEAN:
        return boolean_set(row, (int64_t *)field, value, origin, error);
    case WB_SETTING_ADDRESS:
        if (*value != '\0' && !wb_address_is_valid(value))
            return wb_error_set(error, APR_EINVAL,
                                "%s: %s is '%s', but must be IP:PORT such as 127.0.0.1:8080",
                                origin, name, value);
        break;
    case WB_SETTING_TEXT:
        break;
    }
    *(const char **)field = g_strdup(value);
    return APR_SUCCESS;
}

static apr_status_t defaults_set(const wb_settings_table_t *table, void *target,
                                 wb_error_t *error) {
    for (size_t i = 0; i < table->count; i++) {
        const wb_setting_t *row = &table->rows[i];
        if (row->default_value == NULL)
            continue;
        apr_status_t status =
            wb_settings_set(table, target, row->name, row->default_value, "default", error);
        if (status != APR_SUCCESS)
            return status;
    }
    return APR_SUCCESS;
}

static apr_status_t file_read(const wb_settings_table_t *table, void *target, const char *path,
                              gboolean *seen, wb_error_t *error) {
    g_autoptr(GKeyFile) file = g_key_file_new();
    g_autoptr(GError) failure = NULL;
    if (!g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &failure))
        return wb_error_set(error, APR_EINVAL, "settings file %s: %s", path, failure->message);
    g_auto(GStrv) keys = g_key_file_get_keys(file, table->program, NULL, NULL);
    for (gsize i = 0; keys != NULL && keys[i] != NULL; i++) {
        g_autofree char *value = g_key_file_get_string(file, table->program, keys[i], NULL);
        apr_status_t status = wb_settings_set(table, target, keys[i], value, path, error);
        if (status != APR_SUCCESS)
            return status;
        seen[row_find(table, keys[i]) - table->rows] = TRUE;
    }
    return APR_SUCCESS;
}

static error_t flag_parse(int key, char *argument, struct argp_state *state) {
    wb_settings_parse_t *parse = state->input;
    if (key == FLAG_KEY_SETTINGS)
        parse->file = argument;
    else if (key == FLAG_KEY_DOCUMENT) {
        wb_settings_print_markdown(parse->table, stdout);
        exit(0);
    } else if (key >= FLAG_KEY_BASE && (size_t)(key - FLAG_KEY_BASE) < parse->table->count)
        parse->flag_values[key - FLAG_KEY_BASE] = argument;
    else
        return ARGP_ERR_UNKNOWN;
    return 0;
}

static char *flag_help(const wb_setting_t *row) {
    GString *text = g_string_new(row->text);
    if (row->type == WB_SETTING_INTEGER || row->type == WB_SETTING_REAL)
        g_string_append_printf(text, " [%lld to %lld%s%s]", (long long)row->minimum,
                               (long long)row->maximum, *row->unit ? " " : "", row->unit);
    if (row->default_value == NULL)
        g_string_append(text, " (must be given)");
    else if (*row->default_value != '\0')
        g_string_append_printf(text, " (default %s)", row->default_value);
    return g_string_free(text, FALSE);
}

static struct argp_option *options_create(const wb_settings_table_t *table) {
    struct argp_option *options = g_new0(struct argp_option, table->count + 3);
    for (size_t i = 0; i < table->count; i++) {
        options[i].name = table->rows[i].name;
        options[i].key = FLAG_KEY_BASE + (int)i;
        options[i].arg = "VALUE";
        options[i].doc = flag_help(&table->rows[i]);
    }
    options[table->count] = (struct argp_option){
        "settings", FLAG_KEY_SETTINGS, "FILE", 0, "Read settings from this key file first", 0};
    options[table->count + 1] =
        (struct argp_option){"document-settings",
                             FLAG_KEY_DOCUMENT,
                             NULL,
                             0,
                             "Print the table of settings in Markdown and exit",
                             0};
    return options;
}

static apr_status_t flags_apply(const wb_settings_parse_t *parse, gboolean *seen,
                                wb_error_t *error) {
    for (size_t i = 0; i < parse->table->count; i++) {
        if (parse->flag_values[i] == NULL)
            continue;
        apr_status_t status =
            wb_settings_set(parse->table, parse->target, parse->table->rows[i].name,
                            parse->flag_values[i], "command line", error);
        if (status != APR_SUCCESS)
            return status;
        seen[i] = TRUE;
    }
    return APR_SUCCESS;
}

static apr_status_t required_check(const wb_settings_table_t *table, const gboolean *seen,
                                   wb_error_t *error) {
    for (size_t i = 0; i < table->count; i++)
        if (table->rows[i].default_value == NULL && !seen[i])
            return wb_error_set(error, APR_EINVAL, "setting '%s' must be given: %s",
                                table->rows[i].name, table->rows[i].text);
    return APR_SUCCESS;
}

apr_status_t wb_settings_read(const wb_settings_table_t *table, int argc, char **argv, void *target,
                              wb_error_t *error) {
    struct argp argp = {options_create(table), flag_parse, NULL, table->purpose, NULL, NULL, NULL};
    g_autofree const char **values = g_new0(const char *, table->count);
    g_autofree gboolean *seen = g_new0(gboolean, table->count);
    wb_settings_parse_t parse = {table, target, NULL, values};
    argp_parse(&argp, argc, argv, 0, NULL, &parse);
    apr_status_t status = defaults_set(table, target, error);
    if (status == APR_SUCCESS && parse.file != NULL)
        status = file_read(table, target, parse.file, seen, error);
    if (status == APR_SUCCESS)
        status = flags_apply(&parse, seen, error);
    if (status == APR_SUCCESS)
        status = required_check(table, seen, error);
    return status;
}

static gboolean value_differs(const wb_setting_t *row, const void *left, const void *right) {
    const void *left_field = (const char *)left + row->offset;
    const void *right_field = (const char *)right + row->offset;
    switch (row->type) {
    case WB_SETTING_TEXT:
    case WB_SETTING_ADDRESS:
        return g_strcmp0(*(const char *const *)left_field, *(const char *const *)right_field) != 0;
    case WB_SETTING_REAL:
        return *(const double *)left_field != *(const double *)right_field;
    default:
        return *(const int64_t *)left_field != *(const int64_t *)right_field;
    }
}

unsigned wb_settings_count_changed(const wb_settings_table_t *table, const void *left,
                                   const void *right) {
    unsigned differ = 0;
    for (size_t i = 0; i < table->count; i++) {
        differ += value_differs(&table->rows[i], left, right);
    }
    return differ;
}

void wb_settings_print_markdown(const wb_settings_table_t *table, FILE *file) {
    static const char *const type_names[] = {"text", "address", "integer", "number", "boolean"};
    fprintf(file, "## %s\n\n%s\n\n", table->program, table->purpose);
    fprintf(file,
            "| name | type | unit | range | default | meaning |\n|---|---|---|---|---|---|\n");
    for (size_t i = 0; i < table->count; i++) {
        const wb_setting_t *row = &table->rows[i];
        char range[64] = "";
        if (row->type == WB_SETTING_INTEGER || row->type == WB_SETTING_REAL)
            snprintf(range, sizeof(range), "%lld to %lld", (long long)row->minimum,
                     (long long)row->maximum);
        fprintf(file, "| `%s` | %s | %s | %s | %s | %s |\n", row->name, type_names[row->type],
                row->unit, range, row->default_value != NULL ? row->default_value : "must be given",
                row->text);
    }
    fprintf(file, "\n");
}
