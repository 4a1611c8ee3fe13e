/* Queries nodes over HTTP, and reads the engines' logs. */
#include "harness_types.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

json_t *node_status(cluster_t *cluster, int node) {
    answer_t *answer =
        call("GET", cluster->nodes[node].operators_port, "/operators/v1/status", NULL, NULL, 2000);
    json_t *status = json_loads(answer->body, 0, NULL);
    answer_free(answer);
    return status;
}

/* Several nodes may claim a cell; the highest epoch wins. */
int cell_owner(cluster_t *cluster, const char *cell) {
    int owner = -1;
    json_int_t best = 0;
    for (int i = 0; i < cluster->node_count; i++) {
        if (cluster->nodes[i].process.pid == 0)
            continue;
        json_t *status = node_status(cluster, i);
        size_t index;
        json_t *entry;
        json_array_foreach(json_object_get(status, "cells"), index, entry) {
            const char *name = json_string_value(json_object_get(entry, "cell"));
            const char *role = json_string_value(json_object_get(entry, "role"));
            json_int_t epoch = json_integer_value(json_object_get(entry, "epoch"));
            if (strcmp(name, cell) != 0 || role == NULL || strcmp(role, "owner") != 0 ||
                epoch <= best)
                continue;
            best = epoch;
            owner = i;
        }
        json_decref(status);
    }
    return owner;
}

int members_alive(cluster_t *cluster, int node) {
    json_t *status = node_status(cluster, node);
    int alive = 0;
    size_t index;
    json_t *member;
    json_array_foreach(json_object_get(status, "members"), index, member) {
        const char *state = json_string_value(json_object_get(member, "state"));
        alive += strcmp(state, "alive") == 0;
    }
    json_decref(status);
    return alive;
}

int64_t node_config_version(cluster_t *cluster, int node) {
    json_t *status = node_status(cluster, node);
    int64_t version = json_integer_value(json_object_get(status, "config_version"));
    json_decref(status);
    return version;
}

void engine_kill(cluster_t *cluster, int engine) {
    process_kill(&cluster->engines[engine].process);
    cluster->engines[engine].killed_us = g_get_monotonic_time();
}

/* Returns the lines of an engine's log; logs of dead engines are kept. */
static char **log_lines(const cluster_t *cluster, int engine) {
    g_autofree char *text = NULL;
    if (!g_file_get_contents(cluster->engines[engine].process.log_path, &text, NULL, NULL))
        return g_new0(char *, 1);
    return g_strsplit(text, "\n", -1);
}

/* A change in the number of replicas: +1 loading, -1 unloaded or killed. */
typedef struct replica_event_t {
    gint64 at_us;
    int change;
} replica_event_t;

static gint event_compare(gconstpointer left, gconstpointer right) {
    const replica_event_t *a = left;
    const replica_event_t *b = right;
    if (a->at_us != b->at_us)
        return a->at_us < b->at_us ? -1 : 1;
    return a->change - b->change;
}

/* Parses "EVENT time what model adapter". Returns +1, -1, or 0 for other lines and adapters. */
static int event_read(const char *line, const char *model, gint64 *at_us) {
    char what[32], name[128], adapter[128];
    if (sscanf(line, "EVENT %" G_GINT64_FORMAT " %31s %127s %127s", at_us, what, name, adapter) !=
        4)
        return 0;
    if (strcmp(name, model) != 0 || strcmp(adapter, "-") != 0)
        return 0;
    if (strcmp(what, "loading") == 0)
        return 1;
    return strcmp(what, "unloaded") == 0 ? -1 : 0;
}

static void events_add(cluster_t *cluster, int engine, GArray *events, const char *model) {
    int held = 0;
    g_auto(GStrv) lines = log_lines(cluster, engine);
    for (int i = 0; lines[i] != NULL; i++) {
        replica_event_t event;
        event.change = event_read(lines[i], model, &event.at_us);
        if (event.change == 0)
            continue;
        held += event.change;
        g_array_append_val(events, event);
    }
    if (cluster->engines[engine].killed_us > 0 && held > 0) {
        replica_event_t gone = {cluster->engines[engine].killed_us, -held};
        g_array_append_val(events, gone);
    }
}

static GArray *events_read(cluster_t *cluster, const char *model) {
    GArray *events = g_array_new(FALSE, FALSE, sizeof(replica_event_t));
    for (int i = 0; i < cluster->engine_count; i++)
        events_add(cluster, i, events, model);
    g_array_sort(events, event_compare);
    return events;
}

int peak_replicas(cluster_t *cluster, const char *model) {
    g_autoptr(GArray) events = events_read(cluster, model);
    int held = 0, most = 0;
    for (guint i = 0; i < events->len; i++) {
        held += g_array_index(events, replica_event_t, i).change;
        most = MAX(most, held);
    }
    return most;
}

int loads_started(cluster_t *cluster, const char *model) {
    g_autoptr(GArray) events = events_read(cluster, model);
    int begun = 0;
    for (guint i = 0; i < events->len; i++)
        if (g_array_index(events, replica_event_t, i).change > 0)
            begun++;
    return begun;
}

static int lines_count(cluster_t *cluster, const char *wanted, gboolean whole) {
    int count = 0;
    for (int i = 0; i < cluster->engine_count; i++) {
        g_auto(GStrv) lines = log_lines(cluster, i);
        for (int j = 0; lines[j] != NULL; j++)
            if (whole ? strcmp(lines[j], wanted) == 0 : strstr(lines[j], wanted) != NULL)
                count++;
    }
    return count;
}

int memory_attempts(cluster_t *cluster) {
    return lines_count(cluster, " memory-attempt ", FALSE);
}

int run_count(cluster_t *cluster, const char *body) {
    g_autofree char *line = g_strconcat("RAN ", body, NULL);
    return lines_count(cluster, line, TRUE);
}
