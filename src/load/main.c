/* wickload: loads nodes with streams and prints latencies as clients see them; optionally compares
 * two targets in alternating rounds. */
#include "wickbridge/load.h"
#include "wickbridge/log.h"
#include "wickbridge/settings.h"

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

typedef struct load_settings_t {
    const char *targets;
    const char *against;
    const char *model;
    const char *owner;
    int64_t streams;
    int64_t tokens;
    int64_t run_ms;
    int64_t rounds;
} load_settings_t;

#define ROW(name, type, unit, low, high, fallback, field, text)                                    \
    { name, type, unit, low, high, fallback, offsetof(load_settings_t, field), text }

static const wb_setting_t rows[] = {
    ROW("targets", WB_SETTING_TEXT, "", 0, 0, "127.0.0.1:8080", targets,
        "Callers' addresses of nodes, with commas between"),
    ROW("against", WB_SETTING_TEXT, "", 0, 0, "", against,
        "Addresses of a second version, run in turn with the first"),
    ROW("model", WB_SETTING_TEXT, "", 0, 0, NULL, model, "Model to ask"),
    ROW("owner", WB_SETTING_TEXT, "", 0, 0, "", owner, "Owner to ask for"),
    ROW("streams", WB_SETTING_INTEGER, "streams", 1, 100000, "10", streams, "Streams kept open"),
    ROW("tokens", WB_SETTING_INTEGER, "tokens", 1, 100000, "50", tokens, "Tokens of each stream"),
    ROW("run-ms", WB_SETTING_INTEGER, "ms", 1, 86400000, "10000", run_ms, "Length of a round"),
    ROW("rounds", WB_SETTING_INTEGER, "rounds", 1, 1000, "1", rounds, "Rounds for each version"),
};

static const wb_settings_table_t table = {
    "wickload", "Drive wickbridge nodes with streams and measure what callers see.", rows,
    G_N_ELEMENTS(rows)};

static void round_run(const load_settings_t *settings, const char *name, const char *list) {
    g_auto(GStrv) addresses = g_strsplit(list, ",", -1);
    wb_load_plan_t plan = {(const char *const *)addresses,
                           FALSE,
                           settings->model,
                           (int)settings->streams,
                           (int)settings->tokens,
                           settings->run_ms,
                           *settings->owner != '\0' ? settings->owner : NULL};
    wb_load_result_t result;
    wb_load_run(&plan, &result);
    printf("%-7s %7lld whole %6lld refused %6lld broken | first token p50 %8.2f p95 %8.2f p99 "
           "%8.2f max %8.2f ms | gap p50 %6.2f p95 %6.2f p99 %6.2f ms | %9.0f events/s\n",
           name, (long long)result.whole, (long long)result.refused, (long long)result.broken,
           wb_samples_quantile(&result.first_token, 0.5),
           wb_samples_quantile(&result.first_token, 0.95),
           wb_samples_quantile(&result.first_token, 0.99),
           wb_samples_quantile(&result.first_token, 1.0), wb_samples_quantile(&result.gaps, 0.5),
           wb_samples_quantile(&result.gaps, 0.95), wb_samples_quantile(&result.gaps, 0.99),
           (double)result.events / result.seconds);
    fflush(stdout);
    wb_load_result_clear(&result);
}

int main(int argc, char **argv) {
    apr_initialize();
    load_settings_t settings;
    wb_error_t error;
    if (wb_settings_read(&table, argc, argv, &settings, &error) != APR_SUCCESS) {
        fprintf(stderr, "wickload: %s\n", error.message);
        return 2;
    }
    wb_log_setup(FALSE, G_LOG_LEVEL_WARNING, "wickload");
    for (int64_t i = 0; i < settings.rounds; i++) {
        round_run(&settings, "first", settings.targets);
        if (*settings.against != '\0')
            round_run(&settings, "second", settings.against);
    }
    return 0;
}
