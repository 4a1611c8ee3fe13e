/**
 * @file estate.h
 * @brief Starts edge nodes with a stand-in platform (store and engines) and talks raw HTTP to them.
 *
 * Engines: llm-1 (models m0, m1; zone-1) and llm-2 (m0, m2; zone-2) of the service "llm", lock-1
 * and lock-2 of the service "lock". Connections to the store, links between nodes and connections
 * to the lock engines go through a proxy that injects faults. Each node connects to engines from a
 * loopback address of its own, by which the proxy tells nodes apart. Times are in ms. Functions
 * without a result abort the test through a GLib assertion when they fail. Only processes that the
 * harness started are signalled, by their ids.
 */
#ifndef WICKBRIDGE_TEST_ESTATE_H
#define WICKBRIDGE_TEST_ESTATE_H

#include "harness.h"

#define ESTATE_NODES 64

typedef struct estate_node_t {
    process_t process;
    int clients_port;
    int ready_port;
    int nodes_port;
    int tunnels_port;
    int metrics_port;
    int launches;
    gboolean older;    /**< runs the build in WICKBRIDGE_OLDER_BUILD */
    const char *flags; /**< additional flags of this node, separated by spaces; or NULL */
} estate_node_t;

#define ESTATE_ENGINES 4      /* lock-1, lock-2, llm-1, llm-2 */
#define ESTATE_LOCK_ENGINES 2 /* the first of them */

typedef struct estate_t {
    cluster_t files; /**< only `folder` and `build` are used */
    process_t standin;
    int store_port;
    int control_port;
    estate_node_t nodes[ESTATE_NODES];
    int node_count;
    int node_max; /**< nodes for which there are proxies */
    process_t proxy;
    int proxy_control_port;
    int store_proxy_ports[ESTATE_NODES];    /**< proxy port per node, to the store */
    int link_proxy_ports[ESTATE_NODES];     /**< proxy port per node, for other nodes */
    int tunnel_proxy_ports[ESTATE_NODES];   /**< proxy port per node, for its tunnels */
    int proxied_engines;                    /**< the first so many of ESTATE_ENGINES have a proxy */
    int engine_proxy_ports[ESTATE_ENGINES]; /**< proxy port per engine */
    int engine_ports[ESTATE_ENGINES];
    int64_t catalog_version;
    const char *tenants;    /**< JSON list for estate_configure; NULL: clients have no keys */
    GString *more_routes;   /**< JSON of further routes, each with a comma before it */
    GString *more_services; /**< the same of services */
    const char *services;   /**< JSON of further services for estate_configure, each with a comma
                               before it; NULL: none */
    GMutex configure_lock;  /**< orders the versions that estate_configure writes; guards their
                               limits, which are: */
    int max_header_bytes;   /**< 0: 4096 */
    int max_body_bytes;     /**< 0: 100000 */
    int header_timeout_ms;  /**< 0: 800 */
    int idle_timeout_ms;    /**< 0: 20000 */
    const char *node_flags; /**< additional flags, separated by spaces */
} estate_t;

/** Start the stand-in with the default configuration and engines, then nodes, and wait until these
 * are ready. @return free it with estate_stop */
estate_t *estate_start(int nodes, const char *node_flags);
/** As estate_start. @param flags additional flags per node */
estate_t *estate_start_each(int nodes, const char *node_flags, const char *const *flags);
/** As estate_start. All engines are behind the proxy, so that nodes can be cut off from them
 * (estate_partition); an engine that has ended then accepts connections and closes them. */
estate_t *estate_start_partitionable(int nodes, const char *node_flags);
/** As estate_start; the first `older` nodes run the older build. */
estate_t *estate_start_builds(int nodes, int older, const char *node_flags);
/** Kill all processes and free; the logs are kept if the test has failed. */
void estate_stop(estate_t *estate);
/** Start or restart a node on its ports. */
void estate_node_launch(estate_t *estate, int index);
/** Start another node without waiting until it is ready. @return its index */
int estate_node_add(estate_t *estate);
gboolean estate_node_is_ready(const estate_t *estate, int index);
void estate_wait_ready(const estate_t *estate, int index);
/** @return the value of a node's metric `wickbridge_NAME`, or -1 */
double estate_metric(const estate_t *estate, int index, const char *name);
/** Wait until a node has its share of the retry budget, divided among `nodes`. A node that starts
 * alone has it at once, others about 17 s after their start. */
void estate_wait_retry_share(const estate_t *estate, int index, int nodes);
/** @return the index of the node that holds the controller's lease, or -1 */
int estate_controller(const estate_t *estate);
/** Wait until a node holds the controller's lease. @return its index */
int estate_wait_controller(const estate_t *estate, int timeout_ms);
/** @return TRUE if the node's latest process has logged its start */
gboolean estate_node_has_started(const estate_t *estate, int index);
/** @return TRUE if a node's log contains this text */
gboolean estate_log_has(const estate_t *estate, int index, const char *text);

/** Inject a fault between a node and the store. Fault names are those of wb-standin-proxy: pass,
 * delay, cut, freeze ... */
void estate_store_fault(const estate_t *estate, int node, const char *fault, int delay_ms);
/** Limit the bytes per second between a node and the store. */
void estate_store_rate(const estate_t *estate, int node, int bytes_per_s);
/** Limit the bytes per second on links that other nodes open to a node. */
void estate_link_rate(const estate_t *estate, int node, int bytes_per_s);
/** Inject a fault on tunnels that other nodes open through a node. */
void estate_tunnel_fault(const estate_t *estate, int node, const char *fault, int delay_ms);
/** Inject a fault on links that other nodes open to a node, for orders and updates. */
void estate_link_fault(const estate_t *estate, int node, const char *fault, int delay_ms);
/** Cut nodes off from engines behind the proxy, and no others: a node with bit 1 << index in
 * `nodes`, from an engine with bit 1 << index (as in ESTATE_ENGINES) in `engines`. Nodes of the
 * older build can't be cut off.
 * @param how "silent", "reset" or "new", as wb-standin-proxy names partitions */
void estate_partition(const estate_t *estate, unsigned nodes, unsigned engines, const char *how);
/** Cut a node off from all other nodes in silence, in both directions, or end that. */
void estate_isolate(const estate_t *estate, int node, gboolean cut);
/** Inject a fault between all nodes and an engine (as in ESTATE_ENGINES) behind the proxy. @param
 * bytes passed before the fault @param times number of connections, 0: all */
void estate_engine_fault(const estate_t *estate, int engine, const char *fault, int bytes,
                         int times);
/** Send a control command to the stand-in. @param format printf format of the command's JSON */
void estate_command(const estate_t *estate, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** As estate_command, for texts that need escaping. @param command taken over */
void estate_command_json(const estate_t *estate, json_t *command);
/** Write a row of the table of engines. @param value NULL: removes it */
void estate_engine_row_write(const estate_t *estate, const char *key, const char *value);
/** @return the stand-in's records: runs, arrivals, orders, crashes, violations; release it with
 * json_decref */
json_t *estate_records(const estate_t *estate);
/** @return the number of runs of the request with this id */
int estate_runs(const estate_t *estate, const char *id);
/** @return how many runs at an engine started after a time (harness_now_ms) */
int estate_runs_after(const estate_t *estate, const char *engine, int64_t after_ms);
/** @return the number of orders with this operation and model ("": any) */
int estate_orders(const estate_t *estate, const char *operation, const char *model);
/** Assert that no engine was ordered to exceed its memory or its adapter slots. */
void estate_assert_no_violation(const estate_t *estate);
/** Write a new version of the default configuration. @param routes JSON of the routes, NULL: the
 * default ones */
void estate_configure(estate_t *estate, const char *routes);
/** Add a route to the next configurations. @param route JSON */
void estate_add_route(estate_t *estate, const char *route);
/** Add a service to the next configurations. @param service JSON */
void estate_add_service(estate_t *estate, const char *service);
/** @return JSON of the default routes, separated by commas */
const char *estate_default_routes(void);

/** A client's persistent connection. */
typedef struct wire_t {
    int descriptor;
    GString *unread; /**< received bytes that no response has consumed yet */
} wire_t;

/** A response as received. */
typedef struct wire_response_t {
    int status; /**< 0: closed or timed out before the end of the headers */
    GString *head;
    GString *body;
    gboolean whole;  /**< the body is complete: by its length or last chunk */
    gboolean closed; /**< the server closed the connection */
} wire_response_t;

/** Connect to a port of the loopback address; the test fails if nothing listens there. */
wire_t *wire_open(int port);
/** As wire_open. @return NULL if nothing listens there */
wire_t *wire_try_open(int port);
void wire_close(wire_t *wire);
/** @return FALSE if the server closed the connection before all was sent */
gboolean wire_send(wire_t *wire, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** @return TRUE if the server sent bytes or closed within `timeout_ms`; nothing is read */
gboolean wire_wait(wire_t *wire, int timeout_ms);
/** Read one response. A body with neither a Content-Length nor chunks stays in `unread`. @return
 * what arrived within `timeout_ms`; free it with wire_response_free */
wire_response_t *wire_read(wire_t *wire, int timeout_ms);
void wire_response_free(wire_response_t *answer);
/** @return TRUE if the server closes within `timeout_ms` and no received bytes are unread */
gboolean wire_is_closed(wire_t *wire, int timeout_ms);
/** Send a POST with Content-Length. @param headers lines that end with CR LF */
void wire_post(wire_t *wire, const char *path, const char *id, const char *headers,
               const char *body);
/** Connect, send a POST, read the response (up to 15 s), close. */
wire_response_t *wire_request(int port, const char *path, const char *id, const char *headers);

#endif
