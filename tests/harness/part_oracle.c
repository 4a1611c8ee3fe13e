/* Checks what engines received of requests with a part of the prompt that crashes engines. */
#include "part_oracle.h"

#include <string.h>

static const char *text_of(const json_t *object, const char *name) {
    const char *text = json_string_value(json_object_get(object, name));
    return text != NULL ? text : "";
}

static int64_t at_ms_of(const json_t *object) {
    return json_integer_value(json_object_get(object, "at_ms"));
}

int part_oracle_crashes(const json_t *seen, const char *part) {
    int count = 0;
    size_t i;
    json_t *crash;
    json_array_foreach(json_object_get(seen, "crashes"), i, crash) {
        count += strcmp(text_of(crash, "part"), part) == 0;
    }
    return count;
}

int64_t part_oracle_from_ms(const json_t *seen, const char *part) {
    int64_t from_ms = 0;
    int count = 0;
    size_t i;
    json_t *crash;
    json_array_foreach(json_object_get(seen, "crashes"), i, crash) {
        if (strcmp(text_of(crash, "part"), part) == 0 && count++ < PART_ORACLE_CRASHES) {
            from_ms = at_ms_of(crash);
        }
    }
    return from_ms;
}

/* Whether a prompt has the part, not at its end. */
static gboolean prompt_has(const char *prompt, const char *part) {
    g_auto(GStrv) parts = g_strsplit(prompt, ",", -1);
    size_t length = strlen(part);
    for (guint i = 0; parts[i] != NULL && parts[i + 1] != NULL; i++) {
        if (strncmp(parts[i], part, length) == 0 && parts[i][length] == ':') {
            return TRUE;
        }
    }
    return FALSE;
}

int part_oracle_late(const json_t *seen, const char *part,
                     gboolean (*counts)(const char *id, int64_t at_ms, void *context),
                     void *context) {
    int64_t from_ms = part_oracle_from_ms(seen, part) + PART_ORACLE_CONTACT_MS;
    int late = 0;
    size_t i;
    json_t *run;
    if (part_oracle_crashes(seen, part) < PART_ORACLE_CRASHES) {
        return 0;
    }
    json_array_foreach(json_object_get(seen, "runs"), i, run) {
        const char *prompt = text_of(json_object_get(run, "headers"), "Prompt-Prefix");
        if (at_ms_of(run) > from_ms && prompt_has(prompt, part)) {
            late += counts == NULL || counts(text_of(run, "id"), at_ms_of(run), context);
        }
    }
    return late;
}
