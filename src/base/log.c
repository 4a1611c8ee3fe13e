/* Writes log sentences as text or JSON through GLib's structured logging. */
#include "wickbridge/log.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define LINE_SIZE 1024
#define NODE_NAME_SIZE 128

static const char *const part_prefixes[] = {"node", "gateway", "membership", "config",
                                            "cell", "engine",  "platform",   "link",
                                            "tool", "standin"};

static struct {
    gboolean json;
    GLogLevelFlags level;
    char node[NODE_NAME_SIZE];
} output = {FALSE, G_LOG_LEVEL_INFO, "-"};

static const char *level_name(GLogLevelFlags level) {
    if (level & G_LOG_LEVEL_ERROR)
        return "error";
    if (level & G_LOG_LEVEL_CRITICAL)
        return "critical";
    if (level & G_LOG_LEVEL_WARNING)
        return "warning";
    if (level & G_LOG_LEVEL_MESSAGE)
        return "message";
    if (level & G_LOG_LEVEL_INFO)
        return "info";
    return "debug";
}

static const char *field_find(const GLogField *fields, gsize count, const char *key) {
    for (gsize i = 0; i < count; i++)
        if (strcmp(fields[i].key, key) == 0)
            return fields[i].value;
    return "";
}

static void line_write_json(const char *time_text, const char *level, const char *part,
                            const char *message) {
    json_t *line = json_pack("{s:s, s:s, s:s, s:s, s:s}", "time", time_text, "level", level, "node",
                             output.node, "part", part, "message", message);
    char *text = json_dumps(line, JSON_COMPACT);
    fprintf(stderr, "%s\n", text != NULL ? text : "{}");
    free(text);
    json_decref(line);
}

static GLogWriterOutput log_writer(GLogLevelFlags level, const GLogField *fields, gsize count,
                                   gpointer data) {
    (void)data;
    if ((level & G_LOG_LEVEL_MASK) > output.level)
        return G_LOG_WRITER_HANDLED;
    const char *message = field_find(fields, count, "MESSAGE");
    const char *part = field_find(fields, count, "WICKBRIDGE_PART");
    GDateTime *now = g_date_time_new_now_utc();
    char *seconds = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
    char *time_text = g_strdup_printf("%s.%03dZ", seconds, g_date_time_get_microsecond(now) / 1000);
    if (output.json)
        line_write_json(time_text, level_name(level), part, message);
    else
        fprintf(stderr, "%s %s %s %s: %s\n", time_text, output.node, level_name(level), part,
                message);
    g_free(time_text);
    g_free(seconds);
    g_date_time_unref(now);
    return G_LOG_WRITER_HANDLED;
}

void wb_log_setup(gboolean json, GLogLevelFlags level, const char *node) {
    output.json = json;
    output.level = level;
    g_strlcpy(output.node, node, sizeof(output.node));
    g_log_set_writer_func(log_writer, NULL, NULL);
}

GLogLevelFlags wb_log_level_parse(const char *name) {
    static const GLogLevelFlags levels[] = {G_LOG_LEVEL_ERROR, G_LOG_LEVEL_WARNING,
                                            G_LOG_LEVEL_MESSAGE, G_LOG_LEVEL_INFO,
                                            G_LOG_LEVEL_DEBUG};
    for (gsize i = 0; i < G_N_ELEMENTS(levels); i++)
        if (strcmp(level_name(levels[i]), name) == 0)
            return levels[i];
    return 0;
}

void wb_log(wb_log_component_t part, GLogLevelFlags level, const char *format, ...) {
    if ((level & G_LOG_LEVEL_MASK) > output.level)
        return;
    char line[LINE_SIZE];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(line, sizeof(line), format, arguments);
    va_end(arguments);
    g_log_structured("wickbridge", level, "WICKBRIDGE_PART", part_prefixes[part], "MESSAGE", "%s",
                     line);
}
