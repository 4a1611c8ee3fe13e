/* Prints docs/METRICS.md from the code that serves the figures. */
#include "request/request_types.h"

#include <stdio.h>
#include <string.h>

static void line_document(const char *help, const char *type) {
    g_auto(GStrv) words = g_strsplit(help + strlen("# HELP "), " ", 2);
    printf("| `%s` | %s | %s |\n", words[0], strrchr(type, ' ') + 1, words[1]);
}

int main(void) {
    wb_edge_metrics_t metrics = {0};
    wb_edge_gauges_t gauges = {0};
    g_autoptr(GString) text = g_string_new(NULL);
    wb_edge_metrics_write(&metrics, &gauges, text);
    g_auto(GStrv) lines = g_strsplit(text->str, "\n", -1);
    printf("# Metrics\n\nMade by scripts/settings.sh from what an edge node serves at "
           "`listen-operators`, GET "
           "/metrics, in the\nPrometheus text format. Times are in seconds, ages in milliseconds "
           "as their names "
           "say.\n\n| name | type | meaning |\n|---|---|---|\n");
    for (char **line = lines; *line != NULL; line++)
        if (g_str_has_prefix(*line, "# HELP ") && line[1] != NULL)
            line_document(*line, line[1]);
    printf("\n`wickbridge_request_endings_total` has a label `ending`:");
    for (int i = 0; i < WB_OUTCOME_COUNT; i++)
        printf("%s `%s`", i > 0 ? "," : "", wb_outcome_name((wb_outcome_t)i));
    printf(". [OPERATIONS.md](OPERATIONS.md) tells what each means.\n");
    return 0;
}
