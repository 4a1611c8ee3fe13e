/* The command "policy test": runs policies from declaration files against recorded situations. */
#include "ctl.h"

#include "wickbridge/json.h"
#include "wickbridge/policy.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Situations used without --history. */
static const char sample_history[] =
    "[{\"model\":\"busy\",\"memory_mib\":8192,\"idle_ms\":0,\"running\":12,\"replicas\":2,"
    "\"max_replicas\":2},"
    "{\"model\":\"just-used\",\"memory_mib\":4096,\"idle_ms\":5000,\"replicas\":1},"
    "{\"model\":\"idle-small\",\"memory_mib\":1024,\"idle_ms\":600000,\"replicas\":1},"
    "{\"model\":\"idle-large\",\"memory_mib\":40960,\"idle_ms\":600000,\"replicas\":1},"
    "{\"model\":\"cold\",\"memory_mib\":8192,\"idle_ms\":-1,\"waiting\":3,\"replicas\":0,"
    "\"engine\":{\"id\":\"e1\",\"zone\":\"z1\",\"free_mib\":16384,\"models\":1,\"source\":\"disk\","
    "\"load_ms\":960}},"
    "{\"model\":\"cold\",\"memory_mib\":8192,\"idle_ms\":-1,\"waiting\":3,\"replicas\":1,"
    "\"engine\":{\"id\":\"e2\",\"zone\":\"z1\",\"free_mib\":2048,\"models\":4,\"evictions\":1,"
    "\"same_zone_replicas\":1,\"source\":\"remote\",\"load_ms\":2000}}]";

static wb_policy_model_t model_read(const json_t *entry) {
    return (wb_policy_model_t){
        .name = wb_json_text(entry, "model", "model"),
        .memory_mib = wb_json_integer(entry, "memory_mib", 1024),
        .idle_ms = wb_json_integer(entry, "idle_ms", -1),
        .waiting = wb_json_integer(entry, "waiting", 0),
        .running = wb_json_integer(entry, "running", 0),
        .replicas = wb_json_integer(entry, "replicas", 0),
        .max_replicas = wb_json_integer(entry, "max_replicas", 1),
        .keep_alive_ms = wb_json_integer(entry, "keep_alive_ms", 60000),
    };
}

static wb_policy_engine_t engine_read(const json_t *entry) {
    return (wb_policy_engine_t){
        .id = wb_json_text(entry, "id", "engine"),
        .zone = wb_json_text(entry, "zone", "zone"),
        .free_mib = wb_json_integer(entry, "free_mib", 0),
        .models = wb_json_integer(entry, "models", 0),
        .evictions = wb_json_integer(entry, "evictions", 0),
        .same_zone_replicas = wb_json_integer(entry, "same_zone_replicas", 0),
        .source = wb_json_text(entry, "source", "remote"),
        .load_ms = wb_json_integer(entry, "load_ms", 1000),
    };
}

static json_t *result_describe(wb_policy_result_t outcome, int64_t value, const wb_error_t *error) {
    if (outcome == WB_POLICY_OK)
        return json_integer((json_int_t)value);
    return json_string(outcome == WB_POLICY_UNDEFINED ? "built-in" : error->message);
}

/* Runs one situation. Returns the policy's results as JSON; adds to failures. */
static json_t *situation_run(wb_policy_program_t *program, const json_t *entry, int *failures) {
    wb_policy_model_t model = model_read(entry);
    wb_error_t error = {0};
    int64_t value = 0;
    gint64 started_us = g_get_monotonic_time();
    wb_policy_result_t outcome = wb_policy_keep_alive(program, &model, &value, &error);
    *failures += outcome == WB_POLICY_FAILED;
    json_t *result = json_pack("{s:s, s:o}", "model", model.name, "keep_alive_ms",
                               result_describe(outcome, value, &error));
    const json_t *engine = json_object_get(entry, "engine");
    if (engine != NULL) {
        wb_policy_engine_t policy_engine = engine_read(engine);
        outcome = wb_policy_placement_cost(program, &model, &policy_engine, &value, &error);
        *failures += outcome == WB_POLICY_FAILED;
        json_object_set_new(result, "engine", json_string(policy_engine.id));
        json_object_set_new(result, "placement_cost_ms", result_describe(outcome, value, &error));
    }
    json_object_set_new(result, "took_us", json_integer(g_get_monotonic_time() - started_us));
    return result;
}

static void result_print(const json_t *result) {
    char *keep = wb_json_dump(json_object_get(result, "keep_alive_ms"));
    printf("  %-12s keep_alive_ms %s", wb_json_text(result, "model", "?"), keep);
    if (json_object_get(result, "engine") != NULL) {
        char *cost = wb_json_dump(json_object_get(result, "placement_cost_ms"));
        printf(", placement_cost_ms on %s %s", wb_json_text(result, "engine", "?"), cost);
        free(cost);
    }
    printf(" (%lld us)\n", (long long)wb_json_integer(result, "took_us", 0));
    free(keep);
}

static int policy_run(const ctl_options_t *options, const char *name, const char *text,
                      const json_t *history) {
    wb_policy_program_t *program = NULL;
    wb_error_t error;
    if (wb_policy_compile(&program, name, text, &error) != APR_SUCCESS) {
        fprintf(stderr, "%s\n", error.message);
        return CTL_INVALID;
    }
    int failures = 0;
    size_t index;
    json_t *entry;
    json_t *results = json_array();
    json_array_foreach(history, index, entry)
        json_array_append_new(results, situation_run(program, entry, &failures));
    if (options->json)
        ctl_print_json(results);
    else {
        printf("policy %s\n", name);
        json_array_foreach(results, index, entry) result_print(entry);
    }
    json_decref(results);
    wb_policy_free(program);
    return failures == 0 ? CTL_OK : CTL_FAILED;
}

static json_t *history_load(const ctl_options_t *options, wb_error_t *error) {
    json_error_t failure;
    json_t *history = options->history != NULL ? json_load_file(options->history, 0, &failure)
                                               : json_loads(sample_history, 0, &failure);
    if (!json_is_array(history)) {
        wb_error_set(error, APR_EINVAL, "%s:%d: %s", options->history, failure.line,
                     history == NULL ? failure.text : "the history must be an array");
        json_decref(history);
        return NULL;
    }
    return history;
}

int ctl_policy(const ctl_options_t *options) {
    wb_error_t error;
    ctl_declarations_t declarations = {0};
    if (options->argument_count < 1 || strcmp(options->arguments[0], "test") != 0 ||
        options->path == NULL) {
        ctl_print_error("say 'policy test -f PATH [NAME]'");
        return CTL_USAGE;
    }
    if (ctl_declarations_read(options->path, &declarations, &error) != APR_SUCCESS) {
        fprintf(stderr, "%s\n", error.message);
        return CTL_INVALID;
    }
    json_t *history = history_load(options, &error);
    if (history == NULL) {
        fprintf(stderr, "%s\n", error.message);
        return CTL_INVALID;
    }
    int result = CTL_OK, tested = 0;
    const char *key;
    json_t *object;
    json_object_foreach(declarations.objects, key, object) {
        const char *name = key + strlen("policy/");
        if (!g_str_has_prefix(key, "policy/") ||
            (options->arguments[1] != NULL && strcmp(options->arguments[1], name) != 0))
            continue;
        tested++;
        int policy_result = policy_run(options, name, wb_json_text(object, "program", ""), history);
        result = MAX(result, policy_result);
    }
    json_decref(history);
    ctl_declarations_clear(&declarations);
    return tested > 0 ? result : ctl_print_error("there is no such policy in PATH");
}
