/* The bench at scale: hollow nodes that share this process run the real links, membership,
 * configuration, groups and decisions over real sockets, against hollow engines and the platform
 * stand-in in processes of their own. Prints one line for each thing measured. */
#include "../harness/harness_types.h"

#include "wickbridge/load.h"
#include "wickbridge/log.h"
#include "wickbridge/node.h"
#include "wickbridge/settings.h"

#include "node/node_settings.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#define LOOPS 6
#define LOOP_CAPACITY 16384
#define WAIT_LIMIT_MS 120000

typedef struct scale_settings_t {
    int64_t nodes;
    int64_t engines;
    int64_t cells;
    int64_t models;
    int64_t adapters;
    int64_t zones;
    int64_t seconds;
    int64_t changes;
    int64_t wakes;
    int64_t replacements;
} scale_settings_t;

#define ROW(name, low, high, fallback, field, text)                                                \
    { name, WB_SETTING_INTEGER, "", low, high, fallback, offsetof(scale_settings_t, field), text }

static const wb_setting_t rows[] = {
    ROW("nodes", 1, 2000, "50", nodes, "Hollow nodes"),
    ROW("engines", 0, 20000, "200", engines, "Hollow engines"),
    ROW("cells", 1, 1024, "6", cells, "Cells of the service"),
    ROW("models", 1, 100000, "73", models, "Models"),
    ROW("adapters", 0, 100000, "528", adapters, "Adapters"),
    ROW("zones", 1, 100, "11", zones, "Zones"),
    ROW("seconds", 1, 3600, "20", seconds, "Length of the steady part"),
    ROW("changes", 0, 10000, "20", changes, "Configuration changes timed"),
    ROW("wakes", 0, 10000, "20", wakes, "Wakes spread over the steady part"),
    ROW("replacements", 0, 10000, "30", replacements,
        "Nodes killed and replaced, two a second, half of them without warning"),
};

static const wb_settings_table_t table = {
    "wb-bench-scale", "Measure the control plane with hollow nodes.", rows, G_N_ELEMENTS(rows)};

typedef struct hollow_node_t {
    wb_node_t *node; /* NULL: killed */
    wb_loop_t *loop;
    int zone;
    int port;
    int64_t bytes_before;
} hollow_node_t;

typedef struct scale_t {
    scale_settings_t settings;
    cluster_t cluster; /* only its folder, programs and platform are used */
    process_t engines;
    int engines_port;
    wb_loop_t *loops[LOOPS];
    wb_http_client_t *clients[LOOPS];
    hollow_node_t *nodes;
    int node_count;
    char *seeds;
} scale_t;

/* Work that must be done on a node's loop. */
typedef struct loop_call_t {
    void (*work)(hollow_node_t *node, void *context);
    hollow_node_t *node;
    void *context;
    GMutex *lock;
    GCond *changed;
    int *open;
} loop_call_t;

static void loop_call_run(void *context) {
    loop_call_t *call = context;
    if (call->node->node != NULL)
        call->work(call->node, call->context);
    g_mutex_lock(call->lock);
    (*call->open)--;
    g_cond_signal(call->changed);
    g_mutex_unlock(call->lock);
    g_free(call);
}

/* Does something on every node's own loop, and waits for all. */
static void nodes_each(scale_t *scale, void (*work)(hollow_node_t *node, void *context),
                       void *context) {
    GMutex lock;
    GCond changed;
    int open = scale->node_count;
    g_mutex_init(&lock);
    g_cond_init(&changed);
    for (int i = 0; i < scale->node_count; i++) {
        loop_call_t *call = g_new(loop_call_t, 1);
        *call = (loop_call_t){work, &scale->nodes[i], context, &lock, &changed, &open};
        wb_loop_post(scale->nodes[i].loop, loop_call_run, call);
    }
    g_mutex_lock(&lock);
    while (open > 0)
        g_cond_wait(&changed, &lock);
    g_mutex_unlock(&lock);
    g_mutex_clear(&lock);
    g_cond_clear(&changed);
}

static void node_create_work(hollow_node_t *hollow, scale_t *scale, int index) {
    wb_node_settings_t settings;
    wb_error_t error;
    g_autofree char *id = g_strdup_printf("node-%d", index);
    g_autofree char *zone = g_strdup_printf("zone-%d", hollow->zone);
    g_autofree char *listen = g_strdup_printf("127.0.0.1:%d", hollow->port);
    g_autofree char *platform = g_strdup_printf("127.0.0.1:%d", scale->cluster.platform_port);
    g_autofree char *id_flag = g_strconcat("--id=", id, NULL);
    g_autofree char *zone_flag = g_strconcat("--zone=", zone, NULL);
    g_autofree char *listen_flag = g_strconcat("--listen-nodes=", listen, NULL);
    g_autofree char *seeds_flag = g_strconcat("--seeds=", scale->seeds, NULL);
    g_autofree char *platform_flag = g_strconcat("--platform=", platform, NULL);
    char *argv[] = {"hollow",
                    id_flag,
                    zone_flag,
                    listen_flag,
                    seeds_flag,
                    platform_flag,
                    "--inventory-wait-ms=20000",
                    NULL};
    if (wb_settings_read(&wb_node_settings_table, 7, argv, &settings, &error) != APR_SUCCESS)
        g_error("%s", error.message);
    wb_http_client_t **client = &scale->clients[index % LOOPS];
    wb_node_parts_t parts = {hollow->loop, *client, client, 1, NULL, "http"};
    if (wb_node_create(&hollow->node, &settings, &parts, &error) != APR_SUCCESS)
        g_error("%s", error.message);
}

typedef struct node_create_t {
    scale_t *scale;
    int index;
} node_create_t;

static void node_create_run(void *context) {
    node_create_t *create = context;
    node_create_work(&create->scale->nodes[create->index], create->scale, create->index);
    g_free(create);
}

static void nodes_start(scale_t *scale) {
    GString *seeds = g_string_new(NULL);
    scale->node_count = (int)scale->settings.nodes;
    scale->nodes = g_new0(hollow_node_t, (gsize)scale->node_count);
    for (int i = 0; i < scale->node_count; i++) {
        scale->nodes[i].loop = scale->loops[i % LOOPS];
        scale->nodes[i].zone = i % (int)scale->settings.zones;
        scale->nodes[i].port = port_find();
        if (i < 3)
            g_string_append_printf(seeds, "%s127.0.0.1:%d", i > 0 ? "," : "", scale->nodes[i].port);
    }
    scale->seeds = g_string_free(seeds, FALSE);
    for (int i = 0; i < scale->node_count; i++) {
        node_create_t *create = g_new(node_create_t, 1);
        *create = (node_create_t){scale, i};
        wb_loop_post(scale->nodes[i].loop, node_create_run, create);
        g_usleep(5000);
    }
}

static void platform_call(scale_t *scale, const char *path, const char *body) {
    answer_t *answer = call("POST", scale->cluster.platform_port, path, NULL, body, 20000);
    if (answer->status != 200)
        g_error("the platform answered %ld to %s", answer->status, path);
    answer_free(answer);
}

static void processes_start(scale_t *scale) {
    cluster_t *cluster = &scale->cluster;
    const char *build = g_getenv("WICKBRIDGE_BUILD");
    cluster->build = g_strdup(build != NULL ? build : "build");
    cluster->folder = g_dir_make_tmp("wickbridge-scale-XXXXXX", NULL);
    cluster->platform_port = port_find();
    scale->engines_port = port_find();
    GPtrArray *platform = g_ptr_array_new();
    g_ptr_array_add(platform, g_strdup_printf("--listen=127.0.0.1:%d", cluster->platform_port));
    g_ptr_array_add(platform, g_strdup("--machine-list-lag-ms=2000"));
    process_prepare(cluster, &cluster->platform, "platform", "wb-standin-platform", platform);
    process_start(&cluster->platform);
    GPtrArray *engines = g_ptr_array_new();
    g_ptr_array_add(engines, g_strdup_printf("--listen=0.0.0.0:%d", scale->engines_port));
    process_prepare(cluster, &scale->engines, "engines", "wb-hollow-engines", engines);
    process_start(&scale->engines);
    g_usleep(1000000);
}

static void engines_register(scale_t *scale) {
    for (int i = 0; i < (int)scale->settings.engines; i++) {
        g_autofree char *ip = g_strdup_printf("127.1.%d.%d", i / 200, i % 200 + 1);
        g_autofree char *body = g_strdup_printf(
            "{\"id\":\"engine-%s\",\"role\":\"engine\",\"service\":\"s\",\"zone\":\"zone-%d\","
            "\"address\":\"%s:%d\"}",
            ip, i % (int)scale->settings.zones, ip, scale->engines_port);
        platform_call(scale, "/standin/v1/machines", body);
    }
}

static void apply_done(const wb_config_apply_result_t *result, void *context) {
    if (result->status != WB_CONFIG_ACCEPTED)
        printf("  a change was not accepted: %s\n", result->error.message);
    g_atomic_int_set((gint *)context, 1);
}

typedef struct apply_call_t {
    hollow_node_t *node;
    json_t *change;
    gint done;
} apply_call_t;

static void apply_run(void *context) {
    apply_call_t *apply = context;
    wb_config_store_apply(wb_node_config_store(apply->node->node), 0, apply->change, apply_done,
                          &apply->done);
}

static void declare_at(hollow_node_t *node, json_t *set) {
    apply_call_t apply = {node, json_pack("{s:o, s:s}", "set", set, "author", "bench"), 0};
    wb_loop_post(node->loop, apply_run, &apply);
    while (!g_atomic_int_get(&apply.done))
        g_usleep(500);
    json_decref(apply.change);
}

static json_t *declarations(const scale_t *scale) {
    json_t *set = json_object();
    json_object_set_new(set, "service/s",
                        json_pack("{s:I, s:i}", "cells", (json_int_t)scale->settings.cells,
                                  "keep_alive_ms", 3600000));
    for (int i = 0; i < (int)scale->settings.models; i++) {
        g_autofree char *key = g_strdup_printf("model/m%d", i);
        json_object_set_new(
            set, key,
            json_pack("{s:s, s:i, s:i}", "service", "s", "memory_mib", 8192, "max_replicas", 2));
    }
    for (int i = 0; i < (int)scale->settings.adapters; i++) {
        g_autofree char *key = g_strdup_printf("adapter/a%d", i);
        g_autofree char *model = g_strdup_printf("m%d", i % (int)scale->settings.models);
        json_object_set_new(set, key, json_pack("{s:s, s:i}", "model", model, "memory_mib", 64));
    }
    return set;
}

typedef struct survey_t {
    uint64_t version;
    int at_version;
    int alive;
    int owned;
    guint members_least;
    int64_t bytes;
    int64_t table_operations;
    double worst_bytes;
    const char *gone_node;
    int know_gone;
    GMutex lock;
} survey_t;

static guint members_up(wb_node_t *node) {
    const wb_member_table_t *members = wb_membership_table(wb_node_membership(node));
    g_autoptr(GPtrArray) list = wb_member_table_list(members);
    guint up = 0;
    for (guint i = 0; i < list->len; i++)
        up += wb_member_table_is_up(members, ((wb_member_t *)list->pdata[i])->node);
    return up;
}

static int64_t link_bytes(wb_node_t *node) {
    const wb_link_counters_t *counters = wb_peers_counters(wb_node_peers(node));
    return counters->bytes_sent + counters->bytes_received;
}

static void survey_work(hollow_node_t *hollow, void *context) {
    survey_t *survey = context;
    uint64_t version = wb_config_store_current(wb_node_config_store(hollow->node))->version;
    guint up = members_up(hollow->node);
    int64_t bytes = link_bytes(hollow->node);
    guint owned = wb_cell_host_owned_count(wb_node_cell_host(hollow->node));
    g_mutex_lock(&survey->lock);
    survey->alive++;
    survey->at_version += version >= survey->version;
    survey->owned += (int)owned;
    survey->members_least = MIN(survey->members_least, up);
    survey->bytes += bytes;
    survey->table_operations += wb_platform_table_operations(wb_node_platform(hollow->node));
    survey->worst_bytes = MAX(survey->worst_bytes, (double)(bytes - hollow->bytes_before));
    g_mutex_unlock(&survey->lock);
}

static survey_t survey_take(scale_t *scale, uint64_t version) {
    survey_t survey = {.version = version, .members_least = G_MAXUINT};
    g_mutex_init(&survey.lock);
    nodes_each(scale, survey_work, &survey);
    g_mutex_clear(&survey.lock);
    return survey;
}

static void bytes_mark(hollow_node_t *hollow, void *context) {
    (void)context;
    hollow->bytes_before = link_bytes(hollow->node);
}

static double cpu_seconds(void) {
    struct rusage usage;
    getrusage(RUSAGE_SELF, &usage);
    return (double)usage.ru_utime.tv_sec + (double)usage.ru_utime.tv_usec / 1e6 +
           (double)usage.ru_stime.tv_sec + (double)usage.ru_stime.tv_usec / 1e6;
}

static double memory_mib(void) {
    g_autofree char *text = NULL;
    g_file_get_contents("/proc/self/status", &text, NULL, NULL);
    const char *place = strstr(text, "VmRSS:");
    return place != NULL ? atof(place + strlen("VmRSS:")) / 1024.0 : 0.0;
}

static int64_t http_bytes(const scale_t *scale) {
    int64_t bytes = 0;
    for (int i = 0; i < LOOPS; i++)
        bytes += wb_http_client_bytes(scale->clients[i]);
    return bytes;
}

static gboolean all_joined(scale_t *scale) {
    survey_t survey = survey_take(scale, 0);
    return survey.members_least == (guint)survey.alive;
}

static gboolean all_owned(scale_t *scale) {
    return survey_take(scale, 0).owned >= (int)scale->settings.cells;
}

static double wait_for(scale_t *scale, gboolean (*condition)(scale_t *scale)) {
    int64_t started_ms = harness_now_ms();
    while (!condition(scale) && harness_now_ms() - started_ms < WAIT_LIMIT_MS)
        g_usleep(20000);
    return (double)(harness_now_ms() - started_ms);
}

static void changes_measure(scale_t *scale) {
    wb_samples_t spread;
    wb_samples_init(&spread);
    uint64_t version = 1;
    for (int i = 0; i < (int)scale->settings.changes; i++) {
        int64_t started_ms = harness_now_ms();
        declare_at(&scale->nodes[i * 7 % scale->node_count],
                   json_pack("{s:{s:i}}", "owner/north", "share", i + 1));
        version++;
        while (survey_take(scale, version).at_version < scale->node_count &&
               harness_now_ms() - started_ms < WAIT_LIMIT_MS)
            g_usleep(2000);
        wb_samples_add(&spread, (double)(harness_now_ms() - started_ms));
    }
    printf("config: in force on all %d nodes after p50 %.0f ms, worst of %d changes %.0f ms\n",
           scale->node_count, wb_samples_quantile(&spread, 0.5), (int)scale->settings.changes,
           wb_samples_quantile(&spread, 1.0));
    wb_samples_clear(&spread);
}

/* A gateway's message to a cell's owner. */
typedef struct wake_t {
    char model[32];
    char adapter[32];
    int waiting;
} wake_t;

static void wake_work(hollow_node_t *hollow, const wake_t *wake) {
    wb_node_t *node = hollow->node;
    const wb_config_t *config = wb_config_store_current(wb_node_config_store(node));
    const wb_model_t *model = wb_config_model(config, wake->model);
    const char *owner =
        model != NULL ? wb_membership_owner(wb_node_membership(node), model->cell, NULL) : NULL;
    if (owner == NULL)
        return;
    wb_wire_message message = {.kind = WB_WIRE_ROUTE_SUBSCRIBE};
    wb_wire_route_subscribe *want = &message.wb_wire_message_u.route_subscribe;
    want->model = (char *)wake->model;
    want->adapter = (char *)wake->adapter;
    want->waiting = (u_int)wake->waiting;
    if (strcmp(owner, wb_node_name(node)) == 0)
        wb_cell_host_on_message(wb_node_cell_host(node), owner, &message);
    else
        wb_peers_send(wb_node_peers(node), owner, &message);
}

typedef struct wake_call_t {
    hollow_node_t *node;
    wake_t wake;
} wake_call_t;

static void wake_run(void *context) {
    wake_call_t *call_data = context;
    if (call_data->node->node != NULL)
        wake_work(call_data->node, &call_data->wake);
    g_free(call_data);
}

static void wake_send(scale_t *scale, int number, int waiting) {
    wake_call_t *call_data = g_new0(wake_call_t, 1);
    call_data->node = &scale->nodes[number * 13 % scale->node_count];
    int adapter = number * 31 % MAX((int)scale->settings.adapters, 1);
    g_snprintf(call_data->wake.model, sizeof(call_data->wake.model), "m%d",
               adapter % (int)scale->settings.models);
    if (number % 8 != 0) /* adapters are seven in eight of what wakes */
        g_snprintf(call_data->wake.adapter, sizeof(call_data->wake.adapter), "a%d", adapter);
    call_data->wake.waiting = waiting;
    wb_loop_post(call_data->node->loop, wake_run, call_data);
}

/* The steady part: heartbeats, polls, inventories, and wakes at the asked pace. */
static void steady_measure(scale_t *scale) {
    nodes_each(scale, bytes_mark, NULL);
    survey_t before = survey_take(scale, 0);
    double cpu = cpu_seconds();
    int64_t http = http_bytes(scale);
    int64_t started_ms = harness_now_ms();
    int wakes = (int)scale->settings.wakes;
    for (int i = 0; i < MAX(wakes, 1); i++) {
        if (wakes > 0) {
            wake_send(scale, i, 1);
            if (i > 0)
                wake_send(scale, i - 1, 0);
        }
        g_usleep((gulong)(scale->settings.seconds * 1000000 / MAX(wakes, 1)));
    }
    double seconds = (double)(harness_now_ms() - started_ms) / 1000.0;
    cpu = cpu_seconds() - cpu;
    survey_t after = survey_take(scale, 0);
    double nodes = scale->node_count;
    printf("steady: links %.0f bytes/s a node (worst %.0f), platform and engines %.0f bytes/s a "
           "node, %.3f%% of a core a node, %.1f table operations/s\n",
           (double)(after.bytes - before.bytes) / seconds / nodes, after.worst_bytes / seconds,
           (double)(http_bytes(scale) - http) / seconds / nodes, cpu / seconds / nodes * 100.0,
           (double)(after.table_operations - before.table_operations) / seconds);
}

static void kill_work(hollow_node_t *hollow, void *context) {
    if (hollow->zone != *(int *)context)
        return;
    wb_node_free(hollow->node);
    hollow->node = NULL;
}

/* Kills all nodes of a zone at once. */
static void failure_measure(scale_t *scale, int zone, const char *what) {
    nodes_each(scale, bytes_mark, NULL);
    int64_t started_ms = harness_now_ms();
    nodes_each(scale, kill_work, &zone);
    double seen_ms = wait_for(scale, all_joined);
    double healed_ms = seen_ms;
    wait_for(scale, all_owned);
    healed_ms = (double)(harness_now_ms() - started_ms);
    survey_t survey = survey_take(scale, 0);
    printf(
        "%s: %d nodes left; all know after %.0f ms, every cell has an owner after %.0f ms; worst "
        "node %.0f link bytes in that time\n",
        what, survey.alive, seen_ms, healed_ms, survey.worst_bytes);
}

typedef struct owned_t {
    GMutex lock;
    wb_samples_t cells; /* owned by each node */
} owned_t;

static void owned_work(hollow_node_t *hollow, void *context) {
    owned_t *owned = context;
    guint count = wb_cell_host_owned_count(wb_node_cell_host(hollow->node));
    g_mutex_lock(&owned->lock);
    wb_samples_add(&owned->cells, count);
    g_mutex_unlock(&owned->lock);
}

/* How the cells lie on the nodes. */
static void spread_print(scale_t *scale, const char *when) {
    owned_t owned;
    g_mutex_init(&owned.lock);
    wb_samples_init(&owned.cells);
    nodes_each(scale, owned_work, &owned);
    printf("spread %s: %.2f cells a node, at most %.0f\n", when, wb_samples_mean(&owned.cells),
           wb_samples_quantile(&owned.cells, 1.0));
    wb_samples_clear(&owned.cells);
    g_mutex_clear(&owned.lock);
}

typedef struct replacement_t {
    scale_t *scale;
    int index;
    gboolean planned;
} replacement_t;

/* The machine is reclaimed, and another one comes at the same address. */
static void replacement_run(void *context) {
    replacement_t *replacement = context;
    hollow_node_t *hollow = &replacement->scale->nodes[replacement->index];
    if (hollow->node != NULL) {
        if (replacement->planned) {
            wb_cell_host_hand_over(wb_node_cell_host(hollow->node));
            wb_node_leave(hollow->node);
        }
        wb_node_free(hollow->node);
        hollow->node = NULL;
        hollow->bytes_before = 0;
        node_create_work(hollow, replacement->scale, replacement->index);
    }
    g_free(replacement);
}

/* An ordinary day's replacements in a short time. */
static void replacements_measure(scale_t *scale) {
    int count = (int)scale->settings.replacements;
    if (count == 0)
        return;
    nodes_each(scale, bytes_mark, NULL);
    int64_t started_ms = harness_now_ms();
    for (int i = 0; i < count; i++) {
        replacement_t *replacement = g_new(replacement_t, 1);
        *replacement = (replacement_t){scale, (i * 37 + 5) % scale->node_count, i % 2 == 0};
        wb_loop_post(scale->nodes[replacement->index].loop, replacement_run, replacement);
        g_usleep(500000);
    }
    double joined_ms = wait_for(scale, all_joined);
    double owned_ms = joined_ms + wait_for(scale, all_owned);
    double seconds = (double)(harness_now_ms() - started_ms) / 1000.0;
    survey_t survey = survey_take(scale, 0);
    printf(
        "replacements: %d of %d nodes in %.0f s, half planned; after the last one all know all in "
        "%.0f ms and every cell has an owner in %.0f ms; worst node %.0f link bytes/s meanwhile\n",
        count, scale->node_count, seconds, joined_ms, owned_ms, survey.worst_bytes / seconds);
}

int main(int argc, char **argv) {
    apr_initialize();
    curl_global_init(CURL_GLOBAL_ALL);
    signal(SIGPIPE, SIG_IGN);
    static scale_t scale;
    wb_error_t error;
    if (wb_settings_read(&table, argc, argv, &scale.settings, &error) != APR_SUCCESS) {
        fprintf(stderr, "wb-bench-scale: %s\n", error.message);
        return 2;
    }
    wb_log_setup(FALSE, G_LOG_LEVEL_ERROR, "scale");
    processes_start(&scale);
    engines_register(&scale);
    for (int i = 0; i < LOOPS; i++) {
        if (wb_loop_create(&scale.loops[i], "hollow", LOOP_CAPACITY, &error) != APR_SUCCESS ||
            wb_http_client_start(&scale.clients[i], NULL, &error) != APR_SUCCESS)
            g_error("%s", error.message);
        wb_loop_start(scale.loops[i]);
    }
    double memory = memory_mib();
    nodes_start(&scale);
    printf("%d nodes, %d engines, %d cells, %d models, %d adapters\n", scale.node_count,
           (int)scale.settings.engines, (int)scale.settings.cells, (int)scale.settings.models,
           (int)scale.settings.adapters);
    fflush(stdout);
    printf("joined: every node knows all after %.0f ms\n", wait_for(&scale, all_joined));
    declare_at(&scale.nodes[0], declarations(&scale));
    printf("owned: every cell has an owner after %.0f ms\n", wait_for(&scale, all_owned));
    fflush(stdout);
    g_usleep(5000000);
    printf("memory: %.2f MiB a node (with nothing but control)\n",
           (memory_mib() - memory) / scale.node_count);
    changes_measure(&scale);
    steady_measure(&scale);
    replacements_measure(&scale);
    spread_print(&scale, "before the zone goes");
    failure_measure(&scale, 1, "zone gone");
    spread_print(&scale, "after it");
    fflush(stdout);
    process_kill(&scale.engines);
    process_kill(&scale.cluster.platform);
    _exit(0); /* hundreds of nodes need no orderly end */
}
