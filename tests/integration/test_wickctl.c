/* wickctl: exit codes, error locations, text and JSON output. */
#include "integration.h"

#include <glib/gstdio.h>
#include <string.h>
#include <sys/wait.h>

typedef struct command_result_t {
    int code;
    char *output;
    char *errors;
} command_result_t;

static command_result_t wickctl(cluster_t *cluster, const char *command) {
    command_result_t result = {0};
    g_autofree char *line = g_strdup_printf("%s/wickctl %s --node=127.0.0.1:%d", cluster->build,
                                            command, cluster->nodes[0].operators_port);
    g_auto(GStrv) arguments = g_strsplit(line, " ", -1);
    int status = -1;
    g_assert_true(g_spawn_sync(NULL, arguments, NULL, G_SPAWN_DEFAULT, NULL, NULL, &result.output,
                               &result.errors, &status, NULL));
    result.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    g_test_message("%s: %d %s%s", command, result.code, result.output, result.errors);
    return result;
}

/* Runs a command and checks its exit code and that stdout or stderr contains `text` (may be NULL).
 */
static void command_expect(cluster_t *cluster, const char *command, int code, const char *text) {
    command_result_t result = wickctl(cluster, command);
    g_assert_cmpint(result.code, ==, code);
    g_autofree char *combined = g_strconcat(result.output, result.errors, NULL);
    if (text != NULL)
        g_assert_nonnull(strstr(combined, text));
    g_free(result.output);
    g_free(result.errors);
}

static void file_write(const char *folder, const char *text) {
    g_autofree char *path = g_build_filename(folder, "all.yaml", NULL);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
}

static const char declarations[] = "kind: service\nname: assistant\npolicy: soon\n---\n"
                                   "kind: model\nname: m1\nservice: assistant\nmemory_mib: 100\n"
                                   "---\nkind: policy\nname: soon\nprogram: |\n"
                                   "  function keep_alive_ms(model) return 5000 end\n";

static void test_commands(void) {
    cluster_options_t options = {.nodes = 1, .engines = 1};
    cluster_t *cluster = cluster_start(&options);
    char *folder = g_dir_make_tmp("wickbridge-declarations-XXXXXX", NULL);
    g_autofree char *apply = g_strdup_printf("apply -f %s", folder);
    g_autofree char *apply_prune = g_strdup_printf("apply -f %s --prune", folder);
    g_autofree char *diff = g_strdup_printf("diff -f %s", folder);
    g_autofree char *policy = g_strdup_printf("policy test soon -f %s", folder);
    command_expect(cluster, apply, 4, "there are no .yaml files");
    file_write(folder, declarations);
    command_expect(cluster, diff, 5, "+ model/m1");
    command_expect(cluster, apply, 0, "accepted: version 1");
    command_expect(cluster, apply, 0, "unchanged: version 1");
    command_expect(cluster, diff, 0, NULL);
    command_expect(cluster, "get model", 0, "memory_mib: 100");
    command_expect(cluster, "get model/nobody", 1, NULL);
    command_expect(cluster, "get -o json", 0, "\"service/assistant\"");
    command_expect(cluster, "history", 0, "set model/m1");
    command_expect(cluster, "status", 0, "ready");
    command_expect(cluster, "status -o json", 0, "\"config_version\": 1");
    command_expect(cluster, policy, 0, "keep_alive_ms 5000");
    answer_free(chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL));
    command_expect(cluster, "explain model m1", 0, "loaded");
    command_expect(cluster, "explain model nobody", 1, "no such model");
    answer_t *answer = chat(cluster->nodes[0].clients_port, "m1", 4, NULL, NULL);
    g_autofree char *explain = g_strconcat("explain request ", answer->request_id, NULL);
    answer_free(answer);
    command_expect(cluster, explain, 0, "completed");
    file_write(folder, "kind: service\nname: assistant\n---\nkind: model\nname: m1\n"
                       "service: assistant\nmemory_mib: much\n");
    command_expect(cluster, apply, 4, "all.yaml:7: model/m1: memory_mib must be a whole number");
    file_write(folder, "kind: service\nname: assistant\n");
    command_expect(cluster, apply_prune, 0, "accepted: version 2");
    command_expect(cluster, "get model", 1, NULL);
    command_expect(cluster, "nonsense", 2, "no command");
    command_expect(cluster, "drain", 0, "drains");
    command_expect(cluster, "status", 1, "not ready");
    g_autofree char *path = g_build_filename(folder, "all.yaml", NULL);
    g_unlink(path);
    g_rmdir(folder);
    g_free(folder);
    cluster_stop(cluster);
}

static void tests_add(void) {
    g_test_add_func("/wickctl/commands", test_commands);
}

PROCESS_TEST_MAIN(tests_add)
