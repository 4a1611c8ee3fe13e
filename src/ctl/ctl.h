/* Inner types of wickctl, shared by its files. */
#ifndef WICKBRIDGE_CTL_H
#define WICKBRIDGE_CTL_H

#include "wickbridge/declaration.h"
#include "wickbridge/error.h"

#include <glib.h>
#include <jansson.h>

/* Exit codes, also in docs/OPERATIONS.md. */
typedef enum ctl_exit_t {
    CTL_OK = 0,
    CTL_FAILED = 1,   /* no node answered, or it could not do it */
    CTL_USAGE = 2,    /* the command line is wrong */
    CTL_CONFLICT = 3, /* another operator's change came first */
    CTL_INVALID = 4,  /* the declarations are wrong; nothing was sent */
    CTL_DIFFERENT = 5 /* diff found a difference */
} ctl_exit_t;

/* What the command line says. */
typedef struct ctl_options_t {
    char **nodes; /* operators' addresses, tried in order */
    gboolean json;
    const char *ca_file;
    const char *certificate_file;
    const char *key_file;
    /* of single commands */
    const char *path;
    gboolean prune;
    const char *author;
    int64_t count;
    const char *history;  /* recorded situations for policy test */
    const char *words[3]; /* what stands after the command */
    int word_count;
} ctl_options_t;

/* declarations.c: declarations read from files. */
typedef struct ctl_declarations_t {
    json_t *objects;   /* "kind/name" -> declaration */
    GHashTable *lines; /* "kind/name" and "kind/name.member" -> "file:line" */
} ctl_declarations_t;

/* Reads a file, or all *.yaml files of a folder. */
apr_status_t ctl_declarations_read(const char *path, ctl_declarations_t *declarations,
                                   wb_error_t *error);
void ctl_declarations_clear(ctl_declarations_t *declarations);
/* Where a fault is, as "file:line", or the key when it is not in the files. */
const char *ctl_declarations_place(const ctl_declarations_t *declarations,
                                   const wb_config_fault_t *fault);

/* request.c: one call to the operators' interface of the first node that answers. */
typedef struct ctl_answer_t {
    long status;
    json_t *body;
} ctl_answer_t;

apr_status_t ctl_request(const ctl_options_t *options, const char *method, const char *path,
                         const json_t *body, ctl_answer_t *answer, wb_error_t *error);
/* The same to one node only. */
apr_status_t ctl_request_node(const ctl_options_t *options, const char *node, const char *method,
                              const char *path, const json_t *body, ctl_answer_t *answer,
                              wb_error_t *error);
void ctl_answer_clear(ctl_answer_t *answer);

/* Prints a JSON value, indented. */
void ctl_print_json(const json_t *value);
/* Prints an error's one line; returns CTL_FAILED. */
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
