/* Starts a cluster: ports, flags, registration with the platform, configuration. */
#include "harness_types.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define READY_TIMEOUT_MS 30000
#define NODE_HOST 10 /* with partitions, node i has the address 127.0.0.(10 + i) */

static void argument_add(GPtrArray *arguments, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void argument_add(GPtrArray *arguments, const char *format, ...) {
    va_list values;
    va_start(values, format);
    g_ptr_array_add(arguments, g_strdup_vprintf(format, values));
    va_end(values);
}

static void flags_add(GPtrArray *arguments, const char *flags) {
    if (flags == NULL)
        return;
    g_auto(GStrv) words = g_strsplit(flags, " ", -1);
    for (int i = 0; words[i] != NULL; i++)
        if (*words[i] != '\0')
            g_ptr_array_add(arguments, g_strdup(words[i]));
}

static void machine_register(cluster_t *cluster, const char *id, const char *role,
                             const char *service, const char *zone, int port, pid_t pid) {
    g_autofree char *body =
        g_strdup_printf("{\"id\":\"%s\",\"role\":\"%s\",\"service\":\"%s\",\"zone\":\"%s\","
                        "\"address\":\"127.0.0.1:%d\",\"pid\":%d}",
                        id, role, service, zone, port, (int)pid);
    answer_t *answer =
        call("POST", cluster->platform_port, "/standin/v1/machines", NULL, body, 5000);
    g_assert_cmpint(answer->status, ==, 200);
    answer_free(answer);
}

static gboolean port_answers(cluster_t *cluster, void *context) {
    (void)cluster;
    answer_t *answer = call("GET", GPOINTER_TO_INT(context), "/", NULL, NULL, 1000);
    gboolean answers = answer->status != 0;
    answer_free(answer);
    return answers;
}

static void platform_start(cluster_t *cluster) {
    cluster->platform_port = port_find();
    cluster->platform_proxy_port = cluster->options.proxied ? port_find() : cluster->platform_port;
    GPtrArray *arguments = g_ptr_array_new();
    argument_add(arguments, "--listen=127.0.0.1:%d", cluster->platform_port);
    argument_add(arguments, "--machine-list-lag-ms=500");
    argument_add(arguments, "--weight-loads-per-s=50");
    argument_add(arguments, "--weight-loads-at-once=20");
    flags_add(arguments, cluster->options.platform_flags);
    process_prepare(cluster, &cluster->platform, "platform", "wb-standin-platform", arguments);
    process_start(&cluster->platform);
    g_assert_true(wait_until(port_answers, cluster, GINT_TO_POINTER(cluster->platform_port),
                             READY_TIMEOUT_MS));
}

/* Allocates the ports of nodes and engines before the proxy starts, which needs them. */
static void ports_choose(cluster_t *cluster) {
    for (int i = 0; i < HARNESS_NODES; i++) {
        cluster->nodes[i].clients_port = port_find();
        cluster->nodes[i].nodes_port = port_find();
        cluster->nodes[i].link_proxy_port = port_find();
        cluster->nodes[i].operators_port = port_find();
    }
    for (int i = 0; i < HARNESS_ENGINES; i++) {
        cluster->engines[i].port = port_find();
        cluster->engines[i].proxy_port =
            cluster->options.proxied ? port_find() : cluster->engines[i].port;
    }
}

static void proxy_start(cluster_t *cluster) {
    if (!cluster->options.proxied && !cluster->options.partitions)
        return;
    cluster->proxy_control_port = port_find();
    g_autoptr(GString) relays = g_string_new(NULL);
    for (int i = 0; i < HARNESS_ENGINES && cluster->options.proxied; i++)
        g_string_append_printf(relays, "127.0.0.1:%d=127.0.0.1:%d,", cluster->engines[i].proxy_port,
                               cluster->engines[i].port);
    if (cluster->options.proxied)
        g_string_append_printf(relays, "127.0.0.1:%d=127.0.0.1:%d,", cluster->platform_proxy_port,
                               cluster->platform_port);
    for (int i = 0; i < HARNESS_NODES && cluster->options.partitions; i++)
        g_string_append_printf(relays, "127.0.0.1:%d=127.0.0.%d:%d,",
                               cluster->nodes[i].link_proxy_port, NODE_HOST + i,
                               cluster->nodes[i].nodes_port);
    g_string_truncate(relays, relays->len - 1); /* remove the trailing comma */
    GPtrArray *arguments = g_ptr_array_new();
    argument_add(arguments, "--control=127.0.0.1:%d", cluster->proxy_control_port);
    argument_add(arguments, "--relays=%s", relays->str);
    process_prepare(cluster, &cluster->proxy, "proxy", "wb-standin-proxy", arguments);
    process_start(&cluster->proxy);
    g_assert_true(wait_until(port_answers, cluster, GINT_TO_POINTER(cluster->proxy_control_port),
                             READY_TIMEOUT_MS));
}

static char *seeds_list(const cluster_t *cluster) {
    GString *seeds = g_string_new(NULL);
    for (int i = 0; i < 3; i++)
        g_string_append_printf(seeds, "%s127.0.0.1:%d", i > 0 ? "," : "",
                               cluster->options.partitions ? cluster->nodes[i].link_proxy_port
                                                           : cluster->nodes[i].nodes_port);
    return g_string_free(seeds, FALSE);
}

void node_launch(cluster_t *cluster, int index) {
    node_t *node = &cluster->nodes[index];
    process_clear(&node->process);
    g_snprintf(node->zone, sizeof(node->zone), "zone-%d", index % 3 + 1);
    g_autofree char *id = g_strdup_printf("node-%d-%d", index, ++cluster->starts);
    g_autofree char *seeds = seeds_list(cluster);
    GPtrArray *arguments = g_ptr_array_new();
    argument_add(arguments, "--id=%s", id);
    argument_add(arguments, "--zone=%s", node->zone);
    argument_add(arguments, "--listen-callers=127.0.0.1:%d", node->clients_port);
    if (cluster->options.partitions) {
        argument_add(arguments, "--listen-nodes=127.0.0.%d:%d", NODE_HOST + index,
                     node->nodes_port);
        argument_add(arguments, "--bind-nodes=127.0.0.%d", NODE_HOST + index);
        argument_add(arguments, "--advertise-nodes=127.0.0.1:%d", node->link_proxy_port);
    } else
        argument_add(arguments, "--listen-nodes=127.0.0.1:%d", node->nodes_port);
    argument_add(arguments, "--listen-operators=127.0.0.1:%d", node->operators_port);
    argument_add(arguments, "--seeds=%s", seeds);
    argument_add(arguments, "--platform=127.0.0.1:%d", cluster->platform_proxy_port);
    argument_add(arguments, "--log-level=info");
    flags_add(arguments, cluster->options.node_flags);
    process_prepare(cluster, &node->process, id, "wickbridged", arguments);
    process_start(&node->process);
}

void node_start(cluster_t *cluster, int index) {
    node_t *node = &cluster->nodes[index];
    node_launch(cluster, index);
    machine_register(cluster, node->process.name, "node", "", node->zone, node->nodes_port,
                     node->process.pid);
    g_assert_true(
        wait_until(port_answers, cluster, GINT_TO_POINTER(node->operators_port), READY_TIMEOUT_MS));
}

int cluster_add_node(cluster_t *cluster) {
    g_assert_cmpint(cluster->node_count, <, HARNESS_NODES);
    int index = cluster->node_count++;
    node_start(cluster, index);
    return index;
}

int cluster_add_engine(cluster_t *cluster, const char *service) {
    g_assert_cmpint(cluster->engine_count, <, HARNESS_ENGINES);
    int index = cluster->engine_count++;
    engine_t *engine = &cluster->engines[index];
    g_strlcpy(engine->service, service, sizeof(engine->service));
    g_snprintf(engine->zone, sizeof(engine->zone), "zone-%d", index % 3 + 1);
    g_autofree char *id = g_strdup_printf("engine-%d-%d", index, ++cluster->starts);
    GPtrArray *arguments = g_ptr_array_new();
    argument_add(arguments, "--id=%s", id);
    argument_add(arguments, "--listen=127.0.0.1:%d", engine->port);
    argument_add(arguments, "--weights=127.0.0.1:%d", cluster->platform_port);
    argument_add(arguments, "--token-interval-ms=5");
    flags_add(arguments, cluster->options.engine_flags);
    process_prepare(cluster, &engine->process, id, "wb-standin-engine", arguments);
    process_start(&engine->process);
    g_assert_true(
        wait_until(port_answers, cluster, GINT_TO_POINTER(engine->port), READY_TIMEOUT_MS));
    machine_register(cluster, id, "engine", service, engine->zone, engine->proxy_port,
                     engine->process.pid);
    return index;
}

cluster_t *cluster_start(const cluster_options_t *options) {
    cluster_t *cluster = g_new0(cluster_t, 1);
    cluster->options = *options;
    const char *build = g_getenv("WICKBRIDGE_BUILD");
    cluster->build = g_strdup(build != NULL ? build : "build");
    cluster->folder = g_dir_make_tmp("wickbridge-test-XXXXXX", NULL);
    ports_choose(cluster);
    platform_start(cluster);
    proxy_start(cluster);
    for (int i = 0; i < options->engines; i++)
        cluster_add_engine(cluster, "assistant");
    for (int i = 0; i < options->lock_engines; i++)
        cluster_add_engine(cluster, "seat-lock");
    for (int i = 0; i < options->nodes; i++)
        cluster_add_node(cluster);
    return cluster;
}

static void folder_remove(const char *path) {
    GDir *folder = g_dir_open(path, 0, NULL);
    const char *name;
    while (folder != NULL && (name = g_dir_read_name(folder)) != NULL) {
        g_autofree char *file = g_build_filename(path, name, NULL);
        g_unlink(file);
    }
    if (folder != NULL)
        g_dir_close(folder);
    g_rmdir(path);
}

void cluster_stop(cluster_t *cluster) {
    for (int i = 0; i < cluster->node_count; i++)
        process_clear(&cluster->nodes[i].process);
    for (int i = 0; i < cluster->engine_count; i++)
        process_clear(&cluster->engines[i].process);
    process_clear(&cluster->proxy);
    process_clear(&cluster->platform);
    if (g_getenv("WICKBRIDGE_KEEP_LOGS") == NULL)
        folder_remove(cluster->folder);
    g_free(cluster->folder);
    g_free(cluster->build);
    g_free(cluster);
}

static void proxy_fault(cluster_t *cluster, int port, const char *fault, int delay_ms, int bytes,
                        int times) {
    g_autofree char *body = g_strdup_printf(
        "{\"relay\":\"127.0.0.1:%d\",\"fault\":\"%s\",\"delay_ms\":%d,\"bytes\":%d,\"times\":%d}",
        port, fault, delay_ms, bytes, times);
    answer_t *answer = call("POST", cluster->proxy_control_port, "/", NULL, body, 5000);
    g_assert_cmpint(answer->status, ==, 200);
    answer_free(answer);
}

void engine_fault(cluster_t *cluster, int engine, const char *fault, int delay_ms, int bytes,
                  int times) {
    proxy_fault(cluster, cluster->engines[engine].proxy_port, fault, delay_ms, bytes, times);
}

void platform_proxy_fault(cluster_t *cluster, const char *fault, int delay_ms, int times) {
    proxy_fault(cluster, cluster->platform_proxy_port, fault, delay_ms, 0, times);
}

/* Returns whether the partition separates two nodes. */
static gboolean is_partitioned(int first_count, int left, int right) {
    return first_count > 0 && (left < first_count) != (right < first_count);
}

void partition_set(cluster_t *cluster, int first_count) {
    for (int i = 0; i < cluster->node_count; i++) {
        g_autoptr(GString) hosts = g_string_new(NULL);
        for (int j = 0; j < cluster->node_count; j++)
            if (is_partitioned(first_count, i, j))
                g_string_append_printf(hosts, "%s127.0.0.%d", hosts->len > 0 ? "," : "",
                                       NODE_HOST + j);
        g_autofree char *body = g_strdup_printf("{\"relay\":\"127.0.0.1:%d\",\"block\":\"%s\"}",
                                                cluster->nodes[i].link_proxy_port, hosts->str);
        answer_t *answer = call("POST", cluster->proxy_control_port, "/", NULL, body, 5000);
        g_assert_cmpint(answer->status, ==, 200);
        answer_free(answer);
    }
}

void platform_faults(cluster_t *cluster, const char *json) {
    answer_t *answer = call("POST", cluster->platform_port, "/standin/v1/faults", NULL, json, 5000);
    g_assert_cmpint(answer->status, ==, 200);
    answer_free(answer);
}

void machine_drain(cluster_t *cluster, const char *id) {
    g_autofree char *body = g_strdup_printf("{\"id\":\"%s\"}", id);
    answer_free(call("POST", cluster->platform_port, "/standin/v1/leave", NULL, body, 5000));
}

gboolean wait_until(gboolean (*condition)(cluster_t *cluster, void *context), cluster_t *cluster,
                    void *context, int timeout_ms) {
    int64_t until_ms = harness_now_ms() + timeout_ms;
    while (!condition(cluster, context)) {
        if (harness_now_ms() > until_ms)
            return FALSE;
        g_usleep(20000);
    }
    return TRUE;
}

long declare(cluster_t *cluster, int node, const char *set_json) {
    g_autofree char *body = g_strdup_printf("{\"author\":\"test\",\"set\":%s}", set_json);
    answer_t *answer = call("POST", cluster->nodes[node].operators_port, "/operators/v1/config",
                            NULL, body, 20000);
    long status = answer->status;
    answer_free(answer);
    return status;
}

static gboolean all_ready(cluster_t *cluster, void *context) {
    int64_t version = *(int64_t *)context;
    for (int i = 0; i < cluster->node_count; i++) {
        if (cluster->nodes[i].process.pid == 0)
            continue;
        json_t *status = node_status(cluster, i);
        gboolean ready = json_is_true(json_object_get(status, "ready")) &&
                         json_integer_value(json_object_get(status, "config_version")) >= version;
        json_decref(status);
        if (!ready)
            return FALSE;
    }
    return TRUE;
}

static gboolean cells_owned(cluster_t *cluster, void *context) {
    (void)context;
    return cell_owner(cluster, "assistant/0") >= 0 &&
           (cluster->options.lock_engines == 0 || cell_owner(cluster, "seat-lock/0") >= 0);
}

void wait_ready(cluster_t *cluster) {
    int64_t version = 1;
    g_assert_true(wait_until(all_ready, cluster, &version, READY_TIMEOUT_MS));
    g_assert_true(wait_until(cells_owned, cluster, NULL, READY_TIMEOUT_MS));
}

void declare_defaults(cluster_t *cluster, int models, int max_replicas) {
    g_autoptr(GString) set = g_string_new("{\"service/assistant\":{\"keep_alive_ms\":600000}");
    if (cluster->options.lock_engines > 0)
        g_string_append(set, ",\"service/seat-lock\":{\"repeatable\":false,"
                             "\"default_deadline_ms\":20000},"
                             "\"model/seat-lock\":{\"service\":\"seat-lock\",\"memory_mib\":512,"
                             "\"min_replicas\":1,\"max_replicas\":2}");
    for (int i = 1; i <= models; i++)
        g_string_append_printf(set,
                               ",\"model/m%d\":{\"service\":\"assistant\",\"memory_mib\":1024,"
                               "\"max_replicas\":%d}",
                               i, max_replicas);
    g_string_append(set, ",\"owner/north\":{\"share\":3},\"owner/coast\":{\"share\":1}}");
    g_assert_cmpint(declare(cluster, 0, set->str), ==, 200);
    wait_ready(cluster);
}
