/**
 * @file settings.h
 * @brief Settings of a program, defined in one table: command line flags, settings file, help and
 * documentation.
 *
 * Values are checked against their row; errors are APR_EINVAL with a message that names the
 * setting. Units are given in each row. Not thread-safe.
 */
#ifndef WICKBRIDGE_SETTINGS_H
#define WICKBRIDGE_SETTINGS_H

#include "wickbridge/error.h"

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/** The type of one setting. */
typedef enum wb_setting_type_t {
    WB_SETTING_TEXT,    /**< any string; `const char *` in the target struct */
    WB_SETTING_ADDRESS, /**< IP:PORT; `const char *` in the target struct */
    WB_SETTING_INTEGER, /**< integer in [minimum, maximum]; `int64_t` */
    WB_SETTING_REAL,    /**< number in [minimum, maximum]; `double` */
    WB_SETTING_BOOLEAN  /**< true or false; `int64_t` 1 or 0 */
} wb_setting_type_t;

/** Definition of a setting. */
typedef struct wb_setting_t {
    const char *name; /**< flag name without dashes, and key in the settings file */
    wb_setting_type_t type;
    const char *unit;          /**< "ms", "bytes", "" ... */
    int64_t minimum;           /**< numbers only */
    int64_t maximum;           /**< numbers only */
    const char *default_value; /**< as text; NULL: the setting is required */
    size_t offset;             /**< of the value in the target struct */
    const char *text;          /**< one sentence for --help and docs/SETTINGS.md */
} wb_setting_t;

/** All settings of a program. */
typedef struct wb_settings_table_t {
    const char *program; /**< also the group in the settings file */
    const char *purpose; /**< one sentence for --help */
    const wb_setting_t *rows;
    size_t count;
} wb_settings_table_t;

/**
 * Fill in `target` from the defaults, then the file named by --settings, then flags; later sources
 * override earlier ones. Strings live as long as the process. An unknown flag, --help and
 * --document-settings end the process.
 * @return APR_SUCCESS, or APR_EINVAL with one line in `error`
 */
apr_status_t wb_settings_read(const wb_settings_table_t *table, int argc, char **argv, void *target,
                              wb_error_t *error);

/**
 * Set one value by name.
 * @param origin source of the value, for the error message
 */
apr_status_t wb_settings_set(const wb_settings_table_t *table, void *target, const char *name,
                             const char *value, const char *origin, wb_error_t *error);

/** @return number of settings whose values differ between `left` and `right` */
unsigned wb_settings_count_changed(const wb_settings_table_t *table, const void *left,
                                   const void *right);

/** Write the table as a Markdown section. */
void wb_settings_print_markdown(const wb_settings_table_t *table, FILE *file);

/** @return the port of IP:PORT with a numeric IPv4 address, 0 to 65,535; -1 if the text is none */
int wb_address_port(const char *text);
/** @return nonzero if the text is an address; its port may be 0, which means any free port */
int wb_address_is_valid(const char *text);

#endif
