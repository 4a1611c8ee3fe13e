/* Starts edge nodes with the stand-in platform, and controls and queries them. */
#include "estate.h"

#include "harness_types.h"

#include <glib/gstdio.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#define READY_TIMEOUT_MS 15000
#define SHARE_TIMEOUT_MS 30000
/* Nodes that tests may run or add at least. */
#define MIN_NODE_MAX 4
/* Limits of the default configuration. */
#define MAX_HEADER_BYTES 4096
#define MAX_BODY_BYTES 100000
#define HEADER_TIMEOUT_MS 800
#define IDLE_TIMEOUT_MS 20000
/* Local address of a node's connections to engines, by its number from 1. */
#define NODE_HOST "127.0.1.%d"

static void argument_add(GPtrArray *arguments, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void argument_add(GPtrArray *arguments, const char *format, ...) {
    va_list values;
    va_start(values, format);
    g_ptr_array_add(arguments, g_strdup_vprintf(format, values));
    va_end(values);
}

static const char default_routes[] =
    "{\"name\":\"chat\",\"host\":\"a.example\",\"pathPrefix\":\"/chat/"
    "\",\"routeType\":\"streaming\","
    "\"timeoutMs\":8000,\"targetLatencyMs\":800,\"priority\":1,\"service\":\"llm\",\"maxAttempts\":"
    "2,"
    "\"resumable\":true,\"targetGapMs\":400},"
    "{\"name\":\"note\",\"host\":\"a.example\",\"pathPrefix\":\"/note/"
    "\",\"routeType\":\"streaming\","
    "\"timeoutMs\":8000,\"targetLatencyMs\":800,\"priority\":1,\"service\":\"llm\",\"maxAttempts\":"
    "1,"
    "\"resumable\":false,\"targetGapMs\":400},"
    "{\"name\":\"lock\",\"host\":\"a.example\",\"pathPrefix\":\"/lock/\","
    "\"routeType\":\"non_idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":400,\"priority\":2,"
    "\"service\":\"lock\",\"maxAttempts\":1},"
    "{\"name\":\"look\",\"host\":\"a.example\",\"pathPrefix\":\"/look/"
    "\",\"routeType\":\"idempotent\","
    "\"timeoutMs\":2000,\"targetLatencyMs\":400,\"priority\":2,\"service\":\"lock\","
    "\"maxAttempts\":2}";

const char *estate_default_routes(void) {
    return default_routes;
}

static int limit_or(int limit, int fallback) {
    return limit > 0 ? limit : fallback;
}

void estate_configure(estate_t *estate, const char *routes) {
    g_autoptr(GString) models = g_string_new(NULL);
    for (int i = 0; i < 8; i++)
        g_string_append_printf(models,
                               "%s{\"name\":\"m%d\",\"weightsMb\":1000,\"loadS\":0.2,"
                               "\"adapters\":5,\"adapterMb\":1,\"warmS\":0.1,\"diskS\":0.15}",
                               i > 0 ? "," : "", i);
    g_mutex_lock(&estate->configure_lock);
    estate->catalog_version += 3;
    json_t *call = json_object();
    json_object_set_new(call, "do", json_string("put"));
    json_object_set_new(call, "table", json_string("op"));
    json_object_set_new(call, "key", json_string("config"));
    json_object_set_new(
        call, "value",
        json_sprintf("{\"version\":%lld,\"routes\":[%s%s],\"services\":[{\"name\":\"llm\","
                     "\"maxConnections\":100,\"engine\":{\"weightsMb\":2100,\"adapterSlots\":2,"
                     "\"loadsPerS\":4,\"models\":[%s]}},{\"name\":\"lock\",\"maxConnections\":50,"
                     "\"coldPerS\":2,"
                     "\"coldStartS\":2}%s%s],"
                     "\"limits\":{\"maxHeaderBytes\":%d,\"maxBodyBytes\":%d,"
                     "\"headerTimeoutMs\":%d,\"idleTimeoutMs\":%d}%s%s}",
                     (long long)estate->catalog_version, routes != NULL ? routes : default_routes,
                     estate->more_routes->str, models->str,
                     estate->services != NULL ? estate->services : "", estate->more_services->str,
                     limit_or(estate->max_header_bytes, MAX_HEADER_BYTES),
                     limit_or(estate->max_body_bytes, MAX_BODY_BYTES),
                     limit_or(estate->header_timeout_ms, HEADER_TIMEOUT_MS),
                     limit_or(estate->idle_timeout_ms, IDLE_TIMEOUT_MS),
                     estate->tenants != NULL ? ",\"tenants\":" : "",
                     estate->tenants != NULL ? estate->tenants : ""));
    char *text = json_dumps(call, JSON_COMPACT);
    estate_command(estate, "%s", text);
    g_mutex_unlock(&estate->configure_lock);
    free(text);
    json_decref(call);
}

void estate_add_route(estate_t *estate, const char *route) {
    g_mutex_lock(&estate->configure_lock);
    g_string_append_printf(estate->more_routes, ",%s", route);
    g_mutex_unlock(&estate->configure_lock);
}

void estate_add_service(estate_t *estate, const char *service) {
    g_mutex_lock(&estate->configure_lock);
    g_string_append_printf(estate->more_services, ",%s", service);
    g_mutex_unlock(&estate->configure_lock);
}

void estate_command(const estate_t *estate, const char *format, ...) {
    va_list values;
    va_start(values, format);
    g_autofree char *body = g_strdup_vprintf(format, values);
    va_end(values);
    answer_t *answer = call("POST", estate->control_port, "/", NULL, body, 5000);
    g_assert_cmpint(answer->status, ==, 200);
    answer_free(answer);
}

void estate_command_json(const estate_t *estate, json_t *command) {
    char *text = json_dumps(command, JSON_COMPACT);
    estate_command(estate, "%s", text);
    free(text);
    json_decref(command);
}

void estate_engine_row_write(const estate_t *estate, const char *key, const char *value) {
    estate_command_json(estate, json_pack("{s:s, s:s, s:s, s:s*}", "do", "put", "table", "servers",
                                          "key", key, "value", value));
}

json_t *estate_records(const estate_t *estate) {
    answer_t *answer = call("GET", estate->control_port, "/", NULL, NULL, 5000);
    json_t *seen = json_loads(answer->body, 0, NULL);
    g_assert_nonnull(seen);
    answer_free(answer);
    return seen;
}

int estate_runs(const estate_t *estate, const char *id) {
    json_t *seen = estate_records(estate);
    int count = 0;
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run) count +=
        strcmp(json_string_value(json_object_get(run, "id")), id) == 0;
    json_decref(seen);
    return count;
}

int estate_runs_after(const estate_t *estate, const char *engine, int64_t after_ms) {
    json_t *seen = estate_records(estate);
    int count = 0;
    size_t i;
    json_t *run;
    json_array_foreach(json_object_get(seen, "runs"), i, run) {
        count += strcmp(json_string_value(json_object_get(run, "engine")), engine) == 0 &&
                 json_integer_value(json_object_get(run, "at_ms")) > after_ms;
    }
    json_decref(seen);
    return count;
}

int estate_orders(const estate_t *estate, const char *operation, const char *model) {
    json_t *seen = estate_records(estate);
    int count = 0;
    size_t i;
    json_t *order;
    json_array_foreach(json_object_get(seen, "orders"), i, order) count +=
        strcmp(json_string_value(json_object_get(order, "operation")), operation) == 0 &&
        (*model == '\0' || strcmp(json_string_value(json_object_get(order, "model")), model) == 0);
    json_decref(seen);
    return count;
}

void estate_assert_no_violation(const estate_t *estate) {
    json_t *seen = estate_records(estate);
    char *text = json_dumps(json_object_get(seen, "violations"), JSON_COMPACT);
    g_assert_cmpstr(text, ==, "[]");
    free(text);
    json_decref(seen);
}

gboolean estate_node_is_ready(const estate_t *estate, int index) {
    answer_t *answer = call("GET", estate->nodes[index].ready_port, "/ready", NULL, NULL, 1000);
    gboolean ready = answer->status == 200;
    answer_free(answer);
    return ready;
}

void estate_wait_ready(const estate_t *estate, int index) {
    int64_t until_ms = harness_now_ms() + READY_TIMEOUT_MS;
    while (!estate_node_is_ready(estate, index)) {
        g_assert_cmpint(harness_now_ms(), <, until_ms);
        g_usleep(20000);
    }
}

double estate_metric(const estate_t *estate, int index, const char *name) {
    answer_t *answer = call("GET", estate->nodes[index].metrics_port, "/metrics", NULL, NULL, 2000);
    g_autofree char *line = g_strdup_printf("\nwickbridge_%s ", name);
    const char *position = answer->status == 200 ? strstr(answer->body, line) : NULL;
    double value = position != NULL ? g_ascii_strtod(position + strlen(line), NULL) : -1;
    answer_free(answer);
    return value;
}

void estate_wait_retry_share(const estate_t *estate, int index, int nodes) {
    int64_t until_ms = harness_now_ms() + SHARE_TIMEOUT_MS;
    while (estate_metric(estate, index, "share_nodes") != nodes) {
        g_assert_cmpint(harness_now_ms(), <, until_ms);
        g_usleep(20000);
    }
}

int estate_controller(const estate_t *estate) {
    for (int i = 0; i < estate->node_count; i++)
        if (estate->nodes[i].process.pid > 0 && estate_metric(estate, i, "lease_held") > 0)
            return i;
    return -1;
}

int estate_wait_controller(const estate_t *estate, int timeout_ms) {
    int64_t until_ms = harness_now_ms() + timeout_ms;
    int found;
    while ((found = estate_controller(estate)) < 0 && harness_now_ms() < until_ms)
        g_usleep(50000);
    g_assert_cmpint(found, >=, 0);
    return found;
}

gboolean estate_log_has(const estate_t *estate, int index, const char *text) {
    g_autofree char *log = NULL;
    if (!g_file_get_contents(estate->nodes[index].process.log_path, &log, NULL, NULL))
        return FALSE;
    return strstr(log, text) != NULL;
}

gboolean estate_node_has_started(const estate_t *estate, int index) {
    static const char line[] = "\"event\":\"started\"";
    const estate_node_t *node = &estate->nodes[index];
    g_autofree char *log = NULL;
    int starts = 0;
    if (!g_file_get_contents(node->process.log_path, &log, NULL, NULL)) {
        return FALSE;
    }
    for (const char *position = log; (position = strstr(position, line)) != NULL; position++) {
        starts++;
    }
    return starts >= node->launches;
}

void estate_node_launch(estate_t *estate, int index) {
    estate_node_t *node = &estate->nodes[index];
    process_clear(&node->process);
    GPtrArray *arguments = g_ptr_array_new();
    argument_add(arguments, "--id=node-%d", index);
    argument_add(arguments, "--zone=zone-%d", index % 2 + 1);
    argument_add(arguments, "--listen-callers=127.0.0.1:%d", node->clients_port);
    argument_add(arguments, "--listen-ready=127.0.0.1:%d", node->ready_port);
    argument_add(arguments, "--listen-nodes=127.0.0.1:%d", node->nodes_port);
    argument_add(arguments, "--advertise-nodes=127.0.0.1:%d", estate->link_proxy_ports[index]);
    argument_add(arguments, "--listen-operators=127.0.0.1:%d", node->metrics_port);
    argument_add(arguments, "--store=127.0.0.1:%d", estate->store_proxy_ports[index]);
    if (!node->older) { /* which doesn't know these settings */
        argument_add(arguments, "--bind-host=" NODE_HOST, index + 1);
        argument_add(arguments, "--listen-tunnels=127.0.0.1:%d", node->tunnels_port);
        argument_add(arguments, "--advertise-tunnels=127.0.0.1:%d",
                     estate->tunnel_proxy_ports[index]);
    }
    argument_add(arguments, "--engine-heartbeat-ms=300");
    argument_add(arguments, "--log-lines-per-s=10000");
    g_autofree char *all_flags =
        g_strjoin(" ", estate->node_flags != NULL ? estate->node_flags : "",
                  node->flags != NULL ? node->flags : "", NULL);
    g_auto(GStrv) flags = g_strsplit(all_flags, " ", -1);
    for (char **flag = flags; *flag != NULL; flag++)
        if (**flag != '\0')
            g_ptr_array_add(arguments, g_strdup(*flag));
    g_autofree char *name = g_strdup_printf("edge-%d", index);
    cluster_t files = estate->files;
    if (node->older) {
        files.build = (char *)g_getenv("WICKBRIDGE_OLDER_BUILD");
        g_assert_nonnull(files.build); /* built by scripts/build-commit.sh */
    }
    g_atomic_int_inc(&node->launches);
    process_prepare(&files, &node->process, name, "wickbridge-edge", arguments);
    process_start(&node->process);
}

static void standin_start(estate_t *estate) {
    estate->store_port = port_find();
    estate->control_port = port_find();
    GPtrArray *arguments = g_ptr_array_new();
    argument_add(arguments, "127.0.0.1:%d", estate->store_port);
    argument_add(arguments, "127.0.0.1:%d", estate->control_port);
    process_prepare(&estate->files, &estate->standin, "estate", "wb-standin-estate", arguments);
    process_start(&estate->standin);
    int64_t until_ms = harness_now_ms() + READY_TIMEOUT_MS;
    for (;;) {
        answer_t *answer = call("GET", estate->control_port, "/", NULL, NULL, 1000);
        gboolean answers = answer->status == 200;
        answer_free(answer);
        if (answers)
            return;
        g_assert_cmpint(harness_now_ms(), <, until_ms);
        g_usleep(10000);
    }
}

static void proxy_start(estate_t *estate) {
    g_autoptr(GString) relays = g_string_new(NULL);
    estate->proxy_control_port = port_find();
    for (int i = 0; i < estate->node_max; i++) {
        estate->store_proxy_ports[i] = port_find();
        g_string_append_printf(relays, "127.0.0.1:%d=127.0.0.1:%d,", estate->store_proxy_ports[i],
                               estate->store_port);
        estate->link_proxy_ports[i] = port_find();
        estate->nodes[i].nodes_port = port_find();
        estate->tunnel_proxy_ports[i] = port_find();
        estate->nodes[i].tunnels_port = port_find();
        g_string_append_printf(relays, "127.0.0.1:%d=127.0.0.1:%d,", estate->tunnel_proxy_ports[i],
                               estate->nodes[i].tunnels_port);
        g_string_append_printf(relays, "127.0.0.1:%d=127.0.0.1:%d,", estate->link_proxy_ports[i],
                               estate->nodes[i].nodes_port);
    }
    for (int i = 0; i < ESTATE_ENGINES; i++) {
        estate->engine_proxy_ports[i] = port_find();
        estate->engine_ports[i] = port_find();
        g_string_append_printf(relays, "127.0.0.1:%d=127.0.0.1:%d,", estate->engine_proxy_ports[i],
                               estate->engine_ports[i]);
    }
    g_string_truncate(relays, relays->len - 1);
    GPtrArray *arguments = g_ptr_array_new();
    argument_add(arguments, "--control=127.0.0.1:%d", estate->proxy_control_port);
    argument_add(arguments, "--relays=%s", relays->str);
    process_prepare(&estate->files, &estate->proxy, "proxy", "wb-standin-proxy", arguments);
    process_start(&estate->proxy);
    int64_t until_ms = harness_now_ms() + READY_TIMEOUT_MS;
    for (;;) {
        answer_t *answer = call("GET", estate->proxy_control_port, "/", NULL, NULL, 1000);
        gboolean answers = answer->status != 0;
        answer_free(answer);
        if (answers)
            return;
        g_assert_cmpint(harness_now_ms(), <, until_ms);
        g_usleep(10000);
    }
}

static void relay_fault(const estate_t *estate, int port, const char *fault, int delay_ms,
                        int bytes, int times) {
    g_autofree char *body = g_strdup_printf("{\"relay\":\"127.0.0.1:%d\",\"fault\":\"%s\","
                                            "\"delay_ms\":%d,\"bytes\":%d,\"times\":%d}",
                                            port, fault, delay_ms, bytes, times);
    answer_t *answer = call("POST", estate->proxy_control_port, "/", NULL, body, 5000);
    g_assert_cmpint(answer->status, ==, 200);
    answer_free(answer);
}

void estate_store_fault(const estate_t *estate, int node, const char *fault, int delay_ms) {
    relay_fault(estate, estate->store_proxy_ports[node], fault, delay_ms, 0, 0);
}

static void relay_rate(const estate_t *estate, int port, int bytes_per_s) {
    g_autofree char *body =
        g_strdup_printf("{\"relay\":\"127.0.0.1:%d\",\"bytes_per_s\":%d}", port, bytes_per_s);
    answer_t *answer = call("POST", estate->proxy_control_port, "/", NULL, body, 5000);
    g_assert_cmpint(answer->status, ==, 200);
    answer_free(answer);
}

void estate_store_rate(const estate_t *estate, int node, int bytes_per_s) {
    relay_rate(estate, estate->store_proxy_ports[node], bytes_per_s);
}

void estate_link_rate(const estate_t *estate, int node, int bytes_per_s) {
    relay_rate(estate, estate->link_proxy_ports[node], bytes_per_s);
}

void estate_link_fault(const estate_t *estate, int node, const char *fault, int delay_ms) {
    relay_fault(estate, estate->link_proxy_ports[node], fault, delay_ms, 0, 0);
}

void estate_tunnel_fault(const estate_t *estate, int node, const char *fault, int delay_ms) {
    relay_fault(estate, estate->tunnel_proxy_ports[node], fault, delay_ms, 0, 0);
}

/* @return the local addresses of nodes with bit 1 << index, with commas; owned by the caller */
static char *node_hosts(const estate_t *estate, uint64_t nodes) {
    GString *hosts = g_string_new(NULL);
    for (int i = 0; i < estate->node_count; i++)
        if ((nodes >> i & 1U) != 0)
            g_string_append_printf(hosts, "%s" NODE_HOST, hosts->len > 0 ? "," : "", i + 1);
    return g_string_free(hosts, FALSE);
}

static void relay_partition(const estate_t *estate, int port, const char *hosts, const char *how) {
    g_autofree char *body = g_strdup_printf(
        "{\"relay\":\"127.0.0.1:%d\",\"partition\":\"%s\",\"how\":\"%s\"}", port, hosts, how);
    answer_t *answer = call("POST", estate->proxy_control_port, "/", NULL, body, 5000);
    g_assert_cmpint(answer->status, ==, 200);
    answer_free(answer);
}

void estate_partition(const estate_t *estate, unsigned nodes, unsigned engines, const char *how) {
    g_autofree char *hosts = node_hosts(estate, nodes);
    for (int i = 0; i < ESTATE_ENGINES; i++)
        relay_partition(estate, estate->engine_proxy_ports[i],
                        (engines & 1U << i) != 0 ? hosts : "", how);
}

void estate_isolate(const estate_t *estate, int node, gboolean cut) {
    g_autofree char *own = node_hosts(estate, UINT64_C(1) << node);
    g_autofree char *others = node_hosts(estate, ~(UINT64_C(1) << node));
    for (int i = 0; i < estate->node_count; i++) {
        const char *hosts = !cut ? "" : i == node ? others : own;
        relay_partition(estate, estate->link_proxy_ports[i], hosts, "silent");
        relay_partition(estate, estate->tunnel_proxy_ports[i], hosts, "silent");
    }
}

void estate_engine_fault(const estate_t *estate, int engine, const char *fault, int bytes,
                         int times) {
    relay_fault(estate, estate->engine_proxy_ports[engine], fault, 0, bytes, times);
}

/* Starts another node on new ports. Returns its index. */
static int node_add(estate_t *estate, gboolean older, const char *flags) {
    g_assert_cmpint(estate->node_count, <, estate->node_max);
    int index = estate->node_count++;
    estate_node_t *node = &estate->nodes[index];
    node->clients_port = port_find();
    node->ready_port = port_find();
    node->metrics_port = port_find();
    node->older = older;
    node->flags = flags;
    estate_node_launch(estate, index);
    return index;
}

int estate_node_add(estate_t *estate) {
    return node_add(estate, FALSE, NULL);
}

/* Starts one of the engines of the default configuration. */
static void engine_start(const estate_t *estate, int index) {
    static const char *const options[ESTATE_ENGINES] = {
        "\"service\":\"lock\",\"zone\":\"zone-1\",\"work_ms\":10",
        "\"service\":\"lock\",\"zone\":\"zone-2\",\"work_ms\":10",
        "\"service\":\"llm\",\"zone\":\"zone-1\",\"streams\":1,\"models\":[\"m0\",\"m1\"],"
        "\"load_ms\":200,\"weights_mb\":2100",
        "\"service\":\"llm\",\"zone\":\"zone-2\",\"streams\":1,\"models\":[\"m0\",\"m2\"],"
        "\"load_ms\":200,\"weights_mb\":2100"};
    static const char *const names[ESTATE_ENGINES] = {"lock-1", "lock-2", "llm-1", "llm-2"};
    g_autofree char *ports =
        index < estate->proxied_engines
            ? g_strdup_printf(",\"port\":%d,\"announce_port\":%d", estate->engine_ports[index],
                              estate->engine_proxy_ports[index])
            : g_strdup("");
    estate_command(estate, "{\"do\":\"engine-start\",\"engine\":\"%s\",\"options\":{%s%s}}",
                   names[index], options[index], ports);
}

static estate_t *estate_create(int nodes, int older, const char *node_flags,
                               const char *const *flags, int proxied_engines) {
    estate_t *estate = g_new0(estate_t, 1);
    g_mutex_init(&estate->configure_lock);
    estate->more_routes = g_string_new(NULL);
    estate->more_services = g_string_new(NULL);
    estate->proxied_engines = proxied_engines;
    const char *build = g_getenv("WICKBRIDGE_BUILD");
    g_assert_nonnull(build);
    estate->files.build = g_strdup(build);
    estate->files.folder = g_dir_make_tmp("wickbridge-edge-XXXXXX", NULL);
    estate->node_flags = node_flags;
    estate->node_max = MAX(nodes, MIN_NODE_MAX);
    g_assert_cmpint(estate->node_max, <=, ESTATE_NODES);
    standin_start(estate);
    proxy_start(estate);
    estate_configure(estate, NULL);
    for (int i = 0; i < ESTATE_ENGINES; i++)
        engine_start(estate, i);
    for (int i = 0; i < nodes; i++)
        node_add(estate, i < older, flags != NULL ? flags[i] : NULL);
    for (int i = 0; i < nodes; i++)
        estate_wait_ready(estate, i);
    return estate;
}

estate_t *estate_start(int nodes, const char *node_flags) {
    return estate_create(nodes, 0, node_flags, NULL, ESTATE_LOCK_ENGINES);
}

estate_t *estate_start_partitionable(int nodes, const char *node_flags) {
    return estate_create(nodes, 0, node_flags, NULL, ESTATE_ENGINES);
}

estate_t *estate_start_each(int nodes, const char *node_flags, const char *const *flags) {
    return estate_create(nodes, 0, node_flags, flags, ESTATE_LOCK_ENGINES);
}

estate_t *estate_start_builds(int nodes, int older, const char *node_flags) {
    return estate_create(nodes, older, node_flags, NULL, ESTATE_LOCK_ENGINES);
}

void estate_stop(estate_t *estate) {
    for (int i = 0; i < estate->node_count; i++)
        process_clear(&estate->nodes[i].process);
    process_clear(&estate->proxy);
    process_clear(&estate->standin);
    if (!g_test_failed()) {
        g_autofree char *command = g_strdup_printf("rm -rf '%s'", estate->files.folder);
        g_spawn_command_line_sync(command, NULL, NULL, NULL, NULL);
    }
    g_mutex_clear(&estate->configure_lock);
    g_string_free(estate->more_routes, TRUE);
    g_string_free(estate->more_services, TRUE);
    g_free(estate->files.folder);
    g_free(estate->files.build);
    g_free(estate);
}
