/**
 * @file harness.h
 * @brief Starts a cluster of real processes, injects faults, and reads what engines logged.
 *
 * Used by the integration tests, the demo and the bench. Times are in ms unless a name says
 * otherwise. Functions without a result abort the test through a GLib assertion when they fail.
 * Only processes that the harness started are signalled, by their ids.
 */
#ifndef WICKBRIDGE_TEST_HARNESS_H
#define WICKBRIDGE_TEST_HARNESS_H

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <sys/types.h>

#define HARNESS_NODES 16
#define HARNESS_ENGINES 32

/** A child process, with its output in a log file. */
typedef struct process_t {
    char name[32];
    char *program;
    char **arguments;
    char *log_path;
    pid_t pid; /**< 0: not running */
} process_t;

typedef struct node_t {
    process_t process;
    int clients_port;
    int nodes_port;
    int link_proxy_port; /**< address for other nodes when partitions are enabled */
    int operators_port;
    char zone[16];
} node_t;

typedef struct engine_t {
    process_t process;
    int port;       /**< listening port */
    int proxy_port; /**< port that nodes connect to */
    char service[32];
    char zone[16];
    gint64 killed_us; /**< monotonic time in microseconds; 0: not killed */
} engine_t;

/** Size and settings of a cluster. */
typedef struct cluster_options_t {
    int nodes;
    int engines;              /**< of the service "assistant" */
    int lock_engines;         /**< of the service "seat-lock" */
    gboolean partitions;      /**< links between nodes go through the proxy, each from its own IP */
    gboolean proxied;         /**< connections to engines and the platform go through the proxy */
    const char *engine_flags; /**< additional flags, separated by spaces */
    const char *platform_flags;
    const char *node_flags;
} cluster_options_t;

typedef struct cluster_t {
    cluster_options_t options;
    char *folder; /**< temporary folder of the logs */
    char *build;  /**< folder of the programs, from WICKBRIDGE_BUILD or "build" */
    process_t platform;
    process_t proxy;
    int platform_port;
    int platform_proxy_port;
    int proxy_control_port;
    node_t nodes[HARNESS_NODES];
    int node_count;
    engine_t engines[HARNESS_ENGINES];
    int engine_count;
    int starts; /**< processes started so far; makes machine ids unique */
} cluster_t;

/** Start a cluster. @return free it with cluster_stop */
cluster_t *cluster_start(const cluster_options_t *options);
/** Kill all processes and free the cluster; its logs are kept if WICKBRIDGE_KEEP_LOGS is set. */
void cluster_stop(cluster_t *cluster);

/** Start another node with a new machine id. @return its index */
int cluster_add_node(cluster_t *cluster);
/** Start or restart a node with a new machine id, register it, and wait until it answers. */
void node_start(cluster_t *cluster, int index);
/** Start a node process without registering it with the platform or waiting for it. */
void node_launch(cluster_t *cluster, int index);
/** Start another engine and register it with the platform. @return its index */
int cluster_add_engine(cluster_t *cluster, const char *service);

void process_signal(process_t *process, int signal);
/** Send SIGKILL and reap the process. */
void process_kill(process_t *process);
/** Send SIGTERM and wait. @return the exit status, 128 + signal, or -1 after `timeout_ms` */
int process_stop(process_t *process, int timeout_ms);

/** Inject a proxy fault between the nodes and an engine. @param bytes passed before the fault
 * @param times number of connections, 0: all */
void engine_fault(cluster_t *cluster, int engine, const char *fault, int delay_ms, int bytes,
                  int times);
/** Inject a proxy fault between the nodes and the platform. */
void platform_proxy_fault(cluster_t *cluster, const char *fault, int delay_ms, int times);
/** Partition nodes 0..first_count-1 from the others; 0 heals. Needs options.partitions. */
void partition_set(cluster_t *cluster, int first_count);
/** Set the fault mode of the platform stand-in, such as {"table":"refuse"}. */
void platform_faults(cluster_t *cluster, const char *json);
/** Mark a machine as draining in the platform's machine list. */
void machine_drain(cluster_t *cluster, const char *id);

/** If set, calls use TLS with ca.pem, caller.pem and caller.key of this folder. */
extern const char *harness_tls_folder;

/** The response to a call; free it with answer_free. */
typedef struct answer_t {
    long status; /**< 0: no complete response */
    char *body;
    char *verdict;
    char *engine;
    char *request_id;
    char *retry_after;
    double seconds;       /**< until the response is complete */
    double first_seconds; /**< until the first byte of the body */
    char *failure;        /**< curl's error message, or NULL */
} answer_t;

/** Make an HTTP request. @param headers NULL-terminated, or NULL @return never NULL */
answer_t *call(const char *method, int port, const char *path, const char *const *headers,
               const char *body, int timeout_ms);
void answer_free(answer_t *answer);

/** Send a chat request. @param extra more JSON members, such as ",\"stream\":true" */
answer_t *chat(int port, const char *model, int tokens, const char *extra,
               const char *const *headers);

/** @return TRUE if the text holds all tokens of one run: its seed, then every word in order */
gboolean answer_is_complete(const answer_t *answer, int tokens);

/** Write a response to the test's log. */
void answer_print(const answer_t *answer);

/** Change the cluster's configuration through a node. @return the HTTP status */
long declare(cluster_t *cluster, int node, const char *set_json);
/** Declare the default configuration: assistant with m1..mN, and seat-lock. Waits until ready. */
void declare_defaults(cluster_t *cluster, int models, int max_replicas);

/** @return a node's status; release it with json_decref */
json_t *node_status(cluster_t *cluster, int node);
/** @return the index of the node that owns a cell, or -1 */
int cell_owner(cluster_t *cluster, const char *cell);
/** @return how many members a node considers alive */
int members_alive(cluster_t *cluster, int node);
int64_t node_config_version(cluster_t *cluster, int node);

/** Wait until a condition holds. @return FALSE after `timeout_ms` */
gboolean wait_until(gboolean (*condition)(cluster_t *cluster, void *context), cluster_t *cluster,
                    void *context, int timeout_ms);
/** Wait until all running nodes are ready and every cell has an owner. */
void wait_ready(cluster_t *cluster);

/** Maximum number of replicas of a model loaded or loading at the same time, from engine logs. */
int peak_replicas(cluster_t *cluster, const char *model);
/** Number of loads of a model (without adapters) that engines started. */
int loads_started(cluster_t *cluster, const char *model);
/** Number of orders that would have exceeded accelerator memory. */
int memory_attempts(cluster_t *cluster);
/** Number of runs of requests with this body, over all engines. */
int run_count(cluster_t *cluster, const char *body);

/** Kill an engine; its replicas count as unloaded from then on. */
void engine_kill(cluster_t *cluster, int engine);

/** Monotonic time in ms, the same clock as the stand-ins use. */
int64_t harness_now_ms(void);

/** Defines main for a test program with real processes. @param tests_add registers its tests */
#define PROCESS_TEST_MAIN(tests_add)                                                               \
    int main(int argc, char **argv) {                                                              \
        g_test_init(&argc, &argv, NULL);                                                           \
        curl_global_init(CURL_GLOBAL_ALL);                                                         \
        tests_add();                                                                               \
        return g_test_run();                                                                       \
    }

#endif
