/* Internal types and functions of wickctl, shared by the files of src/ctl.
 *
 * Each command is a function of the command line's options that prints its result to stdout and
 * errors to stderr, and returns a ctl_exit_t. */
#ifndef WICKBRIDGE_CTL_H
#define WICKBRIDGE_CTL_H

#include "wickbridge/declaration.h"
#include "wickbridge/error.h"

#include <glib.h>
#include <jansson.h>

/* Exit codes, also in docs/OPERATIONS.md. */
typedef enum ctl_exit_t {
    CTL_OK = 0,
    CTL_FAILED = 1,     /* no node responded, or the command failed */
    CTL_USAGE = 2,      /* invalid command line */
    CTL_CONFLICT = 3,   /* another operator's change was accepted first */
    CTL_INVALID = 4,    /* invalid declarations; nothing was changed */
    CTL_DIFFERENCES = 5 /* diff found a difference */
} ctl_exit_t;

/* The parsed command line. */
typedef struct ctl_options_t {
    char **nodes; /* operators' addresses, tried in order */
    gboolean json;
    const char *ca_file;
    const char *certificate_file;
    const char *key_file;
    /* used by some commands only */
    const char *path;
    gboolean prune;
    const char *author;
    int64_t count;
    const char *history;      /* file of recorded situations for policy test; NULL: built-in ones */
    const char *arguments[3]; /* positional, after the command */
    int argument_count;
} ctl_options_t;

/* declarations.c: declarations read from files. */
typedef struct ctl_declarations_t {
    json_t *objects;   /* "kind/name" -> declaration */
    GHashTable *lines; /* "kind/name" and "kind/name.member" -> "file:line" */
} ctl_declarations_t;

/* Reads a file, or all *.yaml and *.yml files of a directory in order of their names. On an error,
 * APR_EINVAL with file and line; declarations then hold what was read so far. The caller clears
 * them in both cases. */
apr_status_t ctl_declarations_read(const char *path, ctl_declarations_t *declarations,
                                   wb_error_t *error);
void ctl_declarations_clear(ctl_declarations_t *declarations);
/* Returns the place of a fault as "file:line", or "in force already" if it isn't in the files. */
const char *ctl_declarations_locate(const ctl_declarations_t *declarations,
                                    const wb_config_fault_t *fault);

/* request.c: calls to the operators' HTTP interface. */
typedef struct ctl_response_t {
    long status;
    json_t *body;
} ctl_response_t;

/* Calls the first node that accepts a connection. APR_SUCCESS for any HTTP status with a JSON
 * body; the caller then clears the answer. */
apr_status_t ctl_request(const ctl_options_t *options, const char *method, const char *path,
                         const json_t *body, ctl_response_t *answer, wb_error_t *error);
/* The same for one node. APR_ECONNREFUSED if no connection was made. */
apr_status_t ctl_request_node(const ctl_options_t *options, const char *node, const char *method,
                              const char *path, const json_t *body, ctl_response_t *answer,
                              wb_error_t *error);
void ctl_response_clear(ctl_response_t *answer);

/* Prints a JSON value, indented, with sorted keys. */
void ctl_print_json(const json_t *value);
/* Prints an error line to stderr; returns CTL_FAILED. */
int ctl_print_error(const char *message);

/* commands_config.c */
int ctl_apply(const ctl_options_t *options);
int ctl_diff(const ctl_options_t *options);
int ctl_get(const ctl_options_t *options);
int ctl_history(const ctl_options_t *options);
int ctl_watch(const ctl_options_t *options);

/* commands_node.c */
int ctl_status(const ctl_options_t *options);
int ctl_drain(const ctl_options_t *options);
int ctl_explain(const ctl_options_t *options);
int ctl_routes(const ctl_options_t *options);
int ctl_models(const ctl_options_t *options);
int ctl_tenants(const ctl_options_t *options);
int ctl_poison(const ctl_options_t *options);
int ctl_trace(const ctl_options_t *options);

/* commands_policy.c */
int ctl_policy(const ctl_options_t *options);

#endif
