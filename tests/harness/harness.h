/**
 * @file harness.h
 * @brief Starts a cluster of real processes, causes failures, and checks what engines saw.
 *
 * One harness for integration tests, the demo and the bench. Only processes that it started are
 * ever signalled, by their ids.
 */
#ifndef WICKBRIDGE_TEST_HARNESS_H
#define WICKBRIDGE_TEST_HARNESS_H

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <sys/types.h>

#define HARNESS_NODES 16
#define HARNESS_ENGINES 32

/** A process of the cluster. */
typedef struct process_t {
    char name[32];
    char *program;
    char **arguments;
    char *log_path;
    pid_t pid; /**< 0: not running */
} process_t;

typedef struct node_t {
    process_t process;
    int callers_port;
    int nodes_port;
    int link_proxy_port; /**< where other nodes reach it, with partitions */
    int operators_port;
    char zone[16];
} node_t;

typedef struct engine_t {
    process_t process;
    int port;       /**< where it listens */
    int proxy_port; /**< where nodes reach it */
    char service[32];
    char zone[16];
    gint64 killed_us; /**< 0: not killed */
} engine_t;

/** What a cluster consists of. */
typedef struct cluster_options_t {
    int nodes;
    int engines;              /**< of the service "assistant" */
    int lock_engines;         /**< of the service "seat-lock" */
    gboolean partitions;      /**< nodes are linked through the proxy, each from an IP of its own */
    gboolean proxied;         /**< engines and the platform are reached through the proxy */
    const char *engine_flags; /**< more flags, with spaces between */
    const char *platform_flags;
    const char *node_flags;
} cluster_options_t;

typedef struct cluster_t {
    cluster_options_t options;
    char *folder; /**< logs */
    char *build;  /**< programs */
    process_t platform;
    process_t proxy;
    int platform_port;
    int platform_proxy_port;
    int proxy_control_port;
    node_t nodes[HARNESS_NODES];
    int node_count;
    engine_t engines[HARNESS_ENGINES];
    int engine_count;
    int starts; /**< makes machine ids unique */
} cluster_t;

cluster_t *cluster_start(const cluster_options_t *options);
/** Stop all; logs stay when the test has failed. */
void cluster_stop(cluster_t *cluster);

/** Start one more node; it gets a new machine id. @return its index */
int cluster_add_node(cluster_t *cluster);
/** Start a node process again at the place of a stopped one. */
void node_start(cluster_t *cluster, int index);
/** Start a node process without telling the platform or waiting for it. */
void node_launch(cluster_t *cluster, int index);
int cluster_add_engine(cluster_t *cluster, const char *service);

void process_signal(process_t *process, int signal);
/** Kill at once and collect. */
void process_kill(process_t *process);
/** Ask to stop and wait. @return the exit status, or -1 after `timeout_ms` */
int process_stop(process_t *process, int timeout_ms);

/** Set a fault between nodes and an engine, or the platform. */
void engine_fault(cluster_t *cluster, int engine, const char *fault, int delay_ms, int bytes,
                  int times);
void platform_proxy_fault(cluster_t *cluster, const char *fault, int delay_ms, int times);
/** Cut nodes 0..first_count-1 off from the others; 0 heals. Needs partitions in the options. */
void partition_set(cluster_t *cluster, int first_count);
/** Set the platform's own mode: {"table":"refuse"} and so on. */
void platform_faults(cluster_t *cluster, const char *json);
void machine_leave(cluster_t *cluster, const char *id);

/** With a folder here, all calls are made over TLS with its ca.pem, caller.pem and caller.key. */
extern const char *harness_tls_folder;

/** A call's answer. */
typedef struct answer_t {
    long status; /**< 0: no whole answer */
    char *body;
    char *verdict;
    char *engine;
    char *request_id;
    char *retry_after;
    double seconds;       /**< until the end */
    double first_seconds; /**< until the first byte of the body */
    char *failure;        /**< what broke, or NULL */
} answer_t;

answer_t *call(const char *method, int port, const char *path, const char *const *headers,
               const char *body, int timeout_ms);
void answer_free(answer_t *answer);

/** A chat request. @param extra more JSON members, such as ",\"stream\":true" */
answer_t *chat(int port, const char *model, int tokens, const char *extra,
               const char *const *headers);

/** @return TRUE when the text has all tokens of one run: its seed, then every word in order */
gboolean answer_is_whole(const answer_t *answer, int tokens);

/** Write an answer into the test's log. */
void answer_print(const answer_t *answer);

/** Put declarations in force through a node. @return the HTTP status */
long declare(cluster_t *cluster, int node, const char *set_json);
/** The usual declarations: assistant with m1..mN, and seat-lock. */
void declare_usual(cluster_t *cluster, int models, int max_replicas);

json_t *node_status(cluster_t *cluster, int node);
/** @return the index of the node that owns a cell, or -1 */
int cell_owner(cluster_t *cluster, const char *cell);
/** @return how many members a node holds for alive */
int members_alive(cluster_t *cluster, int node);
int64_t node_config_version(cluster_t *cluster, int node);

/** Wait until a condition holds. @return FALSE after `timeout_ms` */
gboolean eventually(gboolean (*condition)(cluster_t *cluster, void *context), cluster_t *cluster,
                    void *context, int timeout_ms);
void wait_ready(cluster_t *cluster);

/** Most replicas of a model that were loaded or loading at once, by the engines' own history. */
int most_replicas(cluster_t *cluster, const char *model);
/** Loads of a model (without adapters) that engines began. */
int loads_begun(cluster_t *cluster, const char *model);
/** Orders that would have exceeded accelerator memory. */
int memory_attempts(cluster_t *cluster);
/** How often a call with this body ran, over all engines. */
int runs_of(cluster_t *cluster, const char *body);

/** Kill an engine; what it held is gone from then on. */
void engine_kill(cluster_t *cluster, int engine);

int64_t harness_now_ms(void);

/** The main function of a program of tests with real processes. @param tests_add adds them all */
#define PROCESS_TEST_MAIN(tests_add)                                                               \
    int main(int argc, char **argv) {                                                              \
        g_test_init(&argc, &argv, NULL);                                                           \
        curl_global_init(CURL_GLOBAL_ALL);                                                         \
        tests_add();                                                                               \
        return g_test_run();                                                                       \
    }

#endif
