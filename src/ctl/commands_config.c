/* The configuration commands: apply, diff, get, history, watch. */
#include "ctl.h"

#include "wickbridge/json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONFIG_PATH "/operators/v1/config"
#define WATCH_INTERVAL_US 500000

/* The difference between the declarations in files and the configuration in force. */
typedef struct difference_t {
    uint64_t version; /* in force */
    json_t *set;
    json_t *remove;
    json_t *before; /* objects in force */
} difference_t;

static void difference_clear(difference_t *difference) {
    json_decref(difference->set);
    json_decref(difference->remove);
    json_decref(difference->before);
}

static apr_status_t config_get(const ctl_options_t *options, ctl_response_t *answer,
                               wb_error_t *error) {
    apr_status_t status = ctl_request(options, "GET", CONFIG_PATH, NULL, answer, error);
    if (status == APR_SUCCESS && answer->status != 200) {
        ctl_response_clear(answer);
        return wb_error_set(error, APR_EGENERAL, "the node answered with status %ld",
                            answer->status);
    }
    return status;
}

static void difference_fill(difference_t *difference, const json_t *declared, gboolean prune) {
    const char *key;
    json_t *object;
    json_object_foreach((json_t *)declared, key, object) {
        if (!json_equal(object, json_object_get(difference->before, key)))
            json_object_set(difference->set, key, object);
    }
    json_object_foreach(difference->before, key, object) {
        if (prune && json_object_get(declared, key) == NULL)
            json_array_append_new(difference->remove, json_string(key));
    }
}

static apr_status_t difference_find(const ctl_options_t *options, const json_t *declared,
                                    difference_t *difference, wb_error_t *error) {
    ctl_response_t answer = {0};
    apr_status_t status = config_get(options, &answer, error);
    if (status != APR_SUCCESS)
        return status;
    difference->version = (uint64_t)wb_json_integer(answer.body, "version", 0);
    difference->before = json_incref(json_object_get(answer.body, "objects"));
    difference->set = json_object();
    difference->remove = json_array();
    difference_fill(difference, declared, options->prune);
    ctl_response_clear(&answer);
    return APR_SUCCESS;
}

static gboolean difference_is_empty(const difference_t *difference) {
    return json_object_size(difference->set) == 0 && json_array_size(difference->remove) == 0;
}

/* Validates the changed configuration as the node will, to report a fault's file and line. */
static int difference_check(const difference_t *difference,
                            const ctl_declarations_t *declarations) {
    json_t *change = json_pack("{s:O, s:O}", "set", difference->set, "remove", difference->remove);
    json_t *objects = wb_config_objects_apply(difference->before, change);
    wb_config_t *config = NULL;
    wb_config_fault_t fault;
    wb_error_t error;
    apr_status_t status = wb_config_parse(objects, 1, &config, &fault, &error);
    if (status != APR_SUCCESS)
        fprintf(stderr, "%s: %s\n", ctl_declarations_locate(declarations, &fault), error.message);
    wb_config_unref(config);
    json_decref(objects);
    json_decref(change);
    return status == APR_SUCCESS ? CTL_OK : CTL_INVALID;
}

static void members_print(const char *sign, const json_t *object) {
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)object, name, value) {
        char *text = wb_json_dump(value);
        printf("%s   %s: %s\n", sign, name, text);
        free(text);
    }
}

static void difference_print_text(const difference_t *difference) {
    const char *key;
    json_t *object;
    json_object_foreach(difference->set, key, object) {
        const json_t *before = json_object_get(difference->before, key);
        printf("%s %s\n", before == NULL ? "+" : "~", key);
        if (before != NULL)
            members_print("-", before);
        members_print("+", object);
    }
    size_t index;
    json_array_foreach(difference->remove, index, object)
        printf("- %s\n", json_string_value(object));
}

static void difference_print(const ctl_options_t *options, const difference_t *difference) {
    if (!options->json) {
        difference_print_text(difference);
        return;
    }
    json_t *body = json_pack("{s:I, s:O, s:O}", "version", (json_int_t)difference->version, "set",
                             difference->set, "remove", difference->remove);
    ctl_print_json(body);
    json_decref(body);
}

/* Reads the files and the configuration in force, and validates the result. */
static int difference_prepare(const ctl_options_t *options, ctl_declarations_t *declarations,
                              difference_t *difference) {
    wb_error_t error;
    if (options->path == NULL) {
        ctl_print_error("name the files with -f PATH");
        return CTL_USAGE;
    }
    if (ctl_declarations_read(options->path, declarations, &error) != APR_SUCCESS) {
        fprintf(stderr, "%s\n", error.message);
        return CTL_INVALID;
    }
    if (difference_find(options, declarations->objects, difference, &error) != APR_SUCCESS)
        return ctl_print_error(error.message);
    return difference_check(difference, declarations);
}

static int apply_report(const ctl_options_t *options, const ctl_response_t *answer,
                        const ctl_declarations_t *declarations) {
    const json_t *failure = json_object_get(answer->body, "error");
    const char *message = wb_json_text(failure, "message", "");
    if (options->json)
        ctl_print_json(answer->body);
    switch (answer->status) {
    case 200:
        if (!options->json)
            printf("%s: version %lld is in force\n", wb_json_text(answer->body, "result", ""),
                   (long long)wb_json_integer(answer->body, "version", 0));
        return CTL_OK;
    case 409:
        fprintf(stderr, "wickctl: conflict: %s\n", message);
        return CTL_CONFLICT;
    case 422: {
        wb_config_fault_t fault;
        g_strlcpy(fault.key, wb_json_text(answer->body, "key", ""), sizeof(fault.key));
        g_strlcpy(fault.member, wb_json_text(answer->body, "member", ""), sizeof(fault.member));
        fprintf(stderr, "%s: %s\n", ctl_declarations_locate(declarations, &fault), message);
        return CTL_INVALID;
    }
    default:
        return ctl_print_error(message);
    }
}

static int difference_send(const ctl_options_t *options, const difference_t *difference,
                           const ctl_declarations_t *declarations) {
    json_t *body =
        json_pack("{s:I, s:O, s:O, s:s}", "base_version", (json_int_t)difference->version, "set",
                  difference->set, "remove", difference->remove, "author", options->author);
    ctl_response_t answer = {0};
    wb_error_t error;
    int result;
    if (ctl_request(options, "POST", CONFIG_PATH, body, &answer, &error) == APR_SUCCESS)
        result = apply_report(options, &answer, declarations);
    else {
        fprintf(stderr, "wickctl: %s; the change may have been accepted: see 'wickctl history'\n",
                error.message);
        result = CTL_FAILED;
    }
    ctl_response_clear(&answer);
    json_decref(body);
    return result;
}

int ctl_apply(const ctl_options_t *options) {
    ctl_declarations_t declarations = {0};
    difference_t difference = {0};
    int result = difference_prepare(options, &declarations, &difference);
    if (result == CTL_OK && difference_is_empty(&difference)) {
        if (!options->json)
            printf("unchanged: version %llu is in force\n", (unsigned long long)difference.version);
        else
            difference_print(options, &difference);
    } else if (result == CTL_OK) {
        if (!options->json)
            difference_print(options, &difference);
        result = difference_send(options, &difference, &declarations);
    }
    difference_clear(&difference);
    if (declarations.objects != NULL)
        ctl_declarations_clear(&declarations);
    return result;
}

int ctl_diff(const ctl_options_t *options) {
    ctl_declarations_t declarations = {0};
    difference_t difference = {0};
    int result = difference_prepare(options, &declarations, &difference);
    if (result == CTL_OK) {
        difference_print(options, &difference);
        result = difference_is_empty(&difference) ? CTL_OK : CTL_DIFFERENCES;
    }
    difference_clear(&difference);
    if (declarations.objects != NULL)
        ctl_declarations_clear(&declarations);
    return result;
}

static gboolean key_matches(const char *key, const char *selector) {
    size_t length = selector != NULL ? strlen(selector) : 0;
    return length == 0 ||
           (strncmp(key, selector, length) == 0 && (key[length] == '\0' || key[length] == '/'));
}

int ctl_get(const ctl_options_t *options) {
    ctl_response_t answer = {0};
    wb_error_t error;
    if (config_get(options, &answer, &error) != APR_SUCCESS)
        return ctl_print_error(error.message);
    json_t *objects = json_object_get(answer.body, "objects");
    json_t *matches = json_object();
    const char *key;
    json_t *object;
    json_object_foreach(objects, key, object) {
        if (key_matches(key, options->arguments[0]))
            json_object_set(matches, key, object);
    }
    gboolean no_match = options->arguments[0] != NULL && json_object_size(matches) == 0;
    if (options->json)
        ctl_print_json(matches);
    else
        json_object_foreach(matches, key, object) {
            printf("%s\n", key);
            members_print(" ", object);
        }
    json_decref(matches);
    ctl_response_clear(&answer);
    return no_match ? ctl_print_error("nothing of that kind and name is in force") : CTL_OK;
}

static void change_print(const json_t *change) {
    printf("version %lld  %s  by %s\n", (long long)wb_json_integer(change, "version", 0),
           wb_json_text(change, "at", "?"), wb_json_text(change, "author", "?"));
    const char *key;
    json_t *object;
    json_object_foreach(json_object_get(change, "set"), key, object) printf("  set %s\n", key);
    size_t index;
    json_array_foreach(json_object_get(change, "remove"), index, object)
        printf("  removed %s\n", json_string_value(object));
}

static apr_status_t history_get(const ctl_options_t *options, ctl_response_t *answer,
                                wb_error_t *error) {
    return ctl_request(options, "GET", "/operators/v1/history", NULL, answer, error);
}

int ctl_history(const ctl_options_t *options) {
    ctl_response_t answer = {0};
    wb_error_t error;
    if (history_get(options, &answer, &error) != APR_SUCCESS)
        return ctl_print_error(error.message);
    size_t index;
    json_t *change;
    if (options->json)
        ctl_print_json(answer.body);
    else
        json_array_foreach(json_object_get(answer.body, "changes"), index, change)
            change_print(change);
    ctl_response_clear(&answer);
    return CTL_OK;
}

/* Polls the history and prints new changes; ends after --count changes, if given. */
int ctl_watch(const ctl_options_t *options) {
    int64_t seen = -1, printed = 0;
    while (options->count == 0 || printed < options->count) {
        ctl_response_t answer = {0};
        wb_error_t error;
        if (history_get(options, &answer, &error) != APR_SUCCESS)
            return ctl_print_error(error.message);
        size_t index;
        json_t *change;
        int64_t newest = 0;
        json_array_foreach(json_object_get(answer.body, "changes"), index, change) {
            int64_t version = wb_json_integer(change, "version", 0);
            newest = MAX(newest, version);
            if (seen < 0 || version <= seen)
                continue;
            printed++;
            if (options->json)
                ctl_print_json(change);
            else
                change_print(change);
            fflush(stdout);
        }
        seen = MAX(seen, newest);
        ctl_response_clear(&answer);
        g_usleep(WATCH_INTERVAL_US);
    }
    return CTL_OK;
}
