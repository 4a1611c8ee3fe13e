/* wickctl: parses the command line and runs one command. Exit codes are in ctl.h. */
#include "ctl.h"

#include "wickbridge/settings.h"

#include <apr_general.h>
#include <argp.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct command_t {
    const char *name;
    const char *arguments; /* usage of the positional arguments */
    const char *text;
    int (*run)(const ctl_options_t *options);
} command_t;

static const command_t commands[] = {
    {"apply", "-f PATH", "Make the declarations in PATH take effect", ctl_apply},
    {"diff", "-f PATH", "Show what apply would change; exit code 5 when something would", ctl_diff},
    {"get", "[KIND[/NAME]]", "Show declarations in force", ctl_get},
    {"history", "", "Show the latest accepted changes", ctl_history},
    {"watch", "", "Show changes as they come into force", ctl_watch},
    {"status", "", "Show a node, its members and cells; exit code 1 when it isn't ready",
     ctl_status},
    {"drain", "", "Let one node finish its work and hand its cells over", ctl_drain},
    {"routes", "", "Show the routes that an edge node has in force", ctl_routes},
    {"models", "", "Show models and the engines that hold them, as an edge node knows", ctl_models},
    {"tenants", "", "Show tenants and limits; at the node that holds the lease also their use",
     ctl_tenants},
    {"poison", "[forgive DIGEST]", "Show requests that crash engines, or let one be served again",
     ctl_poison},
    {"trace", "ID -f PATH", "Show a request's log lines from files of all nodes, in order",
     ctl_trace},
    {"explain", "model NAME | request ID", "Say why a model or request is where it is",
     ctl_explain},
    {"policy", "test -f PATH [NAME]", "Run policies of PATH against recorded situations",
     ctl_policy},
};

static const struct argp_option option_table[] = {
    {"node", 'n', "IP:PORT,...", 0, "Operators' addresses, tried in order (127.0.0.1:8280)", 0},
    {"output", 'o', "text|json", 0, "Form of the output (text)", 0},
    {"file", 'f', "PATH", 0, "File or folder with declarations", 0},
    {"prune", 'p', NULL, 0, "Remove what is in force and not declared in PATH", 0},
    {"author", 'a', "NAME", 0, "Who makes the change, for the history", 0},
    {"count", 'c', "NUMBER", 0, "End watch after so many changes", 0},
    {"history", 'H', "FILE", 0, "Situations for policy test, as a JSON array", 0},
    {"ca", 1, "FILE", 0, "Authorities that sign nodes' certificates; turns TLS on", 0},
    {"cert", 2, "FILE", 0, "Own certificate", 0},
    {"key", 3, "FILE", 0, "Own key", 0},
    {0}};

typedef struct command_line_t {
    ctl_options_t options;
    const command_t *command;
} command_line_t;

static error_t option_parse(int key, char *value, struct argp_state *state) {
    command_line_t *line = state->input;
    ctl_options_t *options = &line->options;
    switch (key) {
    case 'n':
        g_strfreev(options->nodes);
        options->nodes = g_strsplit(value, ",", -1);
        break;
    case 'o':
        if (strcmp(value, "json") != 0 && strcmp(value, "text") != 0)
            argp_error(state, "--output is text or json, not '%s'", value);
        options->json = strcmp(value, "json") == 0;
        break;
    case 'f':
        options->path = value;
        break;
    case 'p':
        options->prune = TRUE;
        break;
    case 'a':
        options->author = value;
        break;
    case 'c':
        options->count = g_ascii_strtoll(value, NULL, 10);
        break;
    case 'H':
        options->history = value;
        break;
    case 1:
        options->ca_file = value;
        break;
    case 2:
        options->certificate_file = value;
        break;
    case 3:
        options->key_file = value;
        break;
    case ARGP_KEY_ARG:
        if (options->argument_count >= (int)G_N_ELEMENTS(options->arguments))
            argp_error(state, "'%s' is one word too many", value);
        options->arguments[options->argument_count++] = value;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static const command_t *command_find(const char *name) {
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
        if (strcmp(commands[i].name, name) == 0)
            return &commands[i];
    return NULL;
}

static char *commands_help(void) {
    GString *text = g_string_new("Operate a wickbridge cluster.\vCommands:\n");
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
        g_string_append_printf(text, "  %-8s %-24s %s\n", commands[i].name, commands[i].arguments,
                               commands[i].text);
    g_string_append(text, "\nExit codes: 0 done, 1 failed, 2 wrong command line, 3 conflict with "
                          "another change, 4 wrong declarations, 5 diff found a difference.");
    return g_string_free(text, FALSE);
}

/* If the first argument is a command, parses the rest with its own help, for "COMMAND --help". */
int main(int argc, char **argv) {
    apr_initialize();
    curl_global_init(CURL_GLOBAL_ALL);
    command_line_t line = {0};
    line.options.nodes = g_strsplit("127.0.0.1:8280", ",", -1);
    line.options.author = g_get_user_name();
    line.command = argc > 1 ? command_find(argv[1]) : NULL;
    struct argp argp = {option_table, option_parse, "COMMAND [WORDS]", commands_help(), NULL,
                        NULL,         NULL};
    argp_err_exit_status = CTL_USAGE;
    if (line.command != NULL) {
        argp.args_doc = line.command->arguments;
        argp.doc = line.command->text;
        argv[1] = g_strdup_printf("wickctl %s", line.command->name);
        argp_parse(&argp, argc - 1, argv + 1, 0, NULL, &line);
        return line.command->run(&line.options);
    }
    argp_parse(&argp, argc, argv, 0, NULL, &line);
    fprintf(stderr, "wickctl: '%s' is no command; see wickctl --help\n",
            line.options.argument_count > 0 ? line.options.arguments[0] : "");
    return CTL_USAGE;
}
