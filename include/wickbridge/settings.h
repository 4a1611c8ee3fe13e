/**
 * @file settings.h
 * @brief Checked settings of a program, all from one table: flags, file, help and pages.
 */
#ifndef WICKBRIDGE_SETTINGS_H
#define WICKBRIDGE_SETTINGS_H

#include "wickbridge/error.h"

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/** The type of one setting. */
typedef enum wb_setting_type_t {
    WB_SETTING_TEXT,    /**< any text, `const char *` in the target struct */
    WB_SETTING_ADDRESS, /**< IP:PORT, `const char *` in the target struct */
    WB_SETTING_INTEGER, /**< whole number in [minimum, maximum], `int64_t` */
    WB_SETTING_REAL,    /**< number in [minimum, maximum], `double` */
    WB_SETTING_BOOLEAN  /**< true or false, `int64_t` 0 or 1 */
} wb_setting_type_t;

/** One row of a program's table of settings. */
typedef struct wb_setting_t {
    const char *name; /**< flag name without dashes, and key in the settings file */
    wb_setting_type_t type;
    const char *unit;          /**< "ms", "bytes", "" ... */
    int64_t minimum;           /**< numbers only */
    int64_t maximum;           /**< numbers only */
    const char *default_value; /**< as text; NULL: must be given */
    size_t offset;             /**< where the value goes in the target struct */
    const char *text;          /**< one sentence for --help and docs/SETTINGS.md */
} wb_setting_t;

/** A program's table with its name and purpose. */
typedef struct wb_settings_table_t {
    const char *program; /**< also the group in the settings file */
    const char *purpose; /**< one sentence for --help */
    const wb_setting_t *rows;
    size_t count;
} wb_settings_table_t;

/**
 * Fill in `target` from defaults, then from the file named by --settings, then from flags.
 * Texts live as long as the process.
 * @return APR_SUCCESS, or APR_EINVAL with one clear line in `error`
 */
apr_status_t wb_settings_read(const wb_settings_table_t *table, int argc, char **argv, void *target,
                              wb_error_t *error);

/**
 * Set one value by name, checked against its row.
 * @param origin where the value came from, for the error's line
 */
apr_status_t wb_settings_set(const wb_settings_table_t *table, void *target, const char *name,
                             const char *value, const char *origin, wb_error_t *error);

/** @return how many settings have another value in `left` than in `right` */
unsigned wb_settings_count_changed(const wb_settings_table_t *table, const void *left, const void *right);

/** Write the table as a page section in Markdown. */
void wb_settings_print_markdown(const wb_settings_table_t *table, FILE *file);

/** Check that text is IP:PORT with a numeric address. @return nonzero when it is */
int wb_address_is_valid(const char *text);

#endif
