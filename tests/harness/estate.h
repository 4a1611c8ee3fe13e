/**
 * @file estate.h
 * @brief Starts edge nodes before the platform's stand-in, and speaks to them byte by byte.
 *
 * Only processes that it started are ever signalled, by their ids.
 */
#ifndef WICKBRIDGE_TEST_ESTATE_H
#define WICKBRIDGE_TEST_ESTATE_H

#include "harness.h"

#define ESTATE_NODES 4

typedef struct estate_node_t {
    process_t process;
    int callers_port;
    int ready_port;
    int nodes_port;
    int metrics_port;
    int launches;
    gboolean older;    /**< it runs the build that WICKBRIDGE_OLDER_BUILD names */
    const char *flags; /**< more flags for this node only, with spaces between; or NULL */
} estate_node_t;

#define ESTATE_PROXIED_ENGINES 2

typedef struct estate_t {
    cluster_t files; /**< folder and programs */
    process_t standin;
    int store_port;
    int control_port;
    estate_node_t nodes[ESTATE_NODES];
    int node_count;
    process_t proxy;
    int proxy_control_port;
    int store_relays[ESTATE_NODES];            /**< where each node reaches the store */
    int link_relays[ESTATE_NODES];             /**< where other nodes reach each node */
    int engine_relays[ESTATE_PROXIED_ENGINES]; /**< where lock-1 and lock-2 are reached */
    int engine_ports[ESTATE_PROXIED_ENGINES];
    int64_t catalog_version;
    const char
        *tenants; /**< JSON of a list of tenants for estate_configure; NULL: callers have no keys */
    const char *node_flags; /**< more flags, with spaces between */
} estate_t;

/** Start the stand-in with the usual configuration and engines, and some nodes that are ready. */
estate_t *estate_start(int nodes, const char *node_flags);
/** As estate_start. @param flags more flags, for each node its own */
estate_t *estate_start_each(int nodes, const char *node_flags, const char *const *flags);
/** As estate_start; the first `older` nodes run the older build. */
estate_t *estate_start_builds(int nodes, int older, const char *node_flags);
void estate_stop(estate_t *estate);
/** Start a node, or start it again, on its old ports. */
void estate_node_launch(estate_t *estate, int index);
/** Start one node more. @return its index; it isn't ready yet */
int estate_node_add(estate_t *estate);
gboolean estate_node_is_ready(const estate_t *estate, int index);
void estate_wait_ready(const estate_t *estate, int index);
/** @return a figure of a node's metrics, or -1 */
double estate_metric(const estate_t *estate, int index, const char *name);
/** Wait until a node has its share of what requests may be sent again, divided among so many. One
 * that begins alone has it at once, others some 17 s after their start. */
void estate_wait_share(const estate_t *estate, int index, int nodes);
/** @return the index of the node that holds the controller's lease, or -1 */
int estate_controller(const estate_t *estate);
/** Wait until a node holds the controller's lease. @return its index */
int estate_wait_controller(const estate_t *estate, int timeout_ms);
/** @return TRUE when the process that was launched last has logged that it started */
gboolean estate_node_has_started(const estate_t *estate, int index);
/** @return TRUE when a node's log has a line with this text */
gboolean estate_log_has(const estate_t *estate, int index, const char *text);

/** Set a fault between a node and the store, as wb-standin-proxy names them: pass, delay, cut,
 * freeze ... */
void estate_store_fault(const estate_t *estate, int node, const char *fault, int delay_ms);
/** Set a fault between a node and all others that reach it for orders and news. */
void estate_link_fault(const estate_t *estate, int node, const char *fault, int delay_ms);
/** Set a fault between all nodes and lock-1 (0) or lock-2 (1), for so many connections (0: all). */
void estate_engine_fault(const estate_t *estate, int engine, const char *fault, int bytes,
                         int times);
/** Steer the stand-in: printf-like JSON. */
void estate_do(const estate_t *estate, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** @return what the stand-in saw: runs, orders, violations; the caller owns it */
json_t *estate_seen(const estate_t *estate);
/** @return how often a request with this id ran */
int estate_runs(const estate_t *estate, const char *id);
/** @return orders seen with this operation and model ("" any) */
int estate_orders(const estate_t *estate, const char *operation, const char *model);
void estate_assert_no_violation(const estate_t *estate);
/** Put the usual configuration in force anew, with these routes' JSON instead (NULL: the usual
 * ones). */
void estate_configure(estate_t *estate, const char *routes);

/** A kept connection of a caller. */
typedef struct wire_t {
    int descriptor;
    GString *unread;
} wire_t;

/** One answer, read byte by byte. */
typedef struct wire_answer_t {
    int status; /**< 0: the connection ended first */
    GString *head;
    GString *body;
    gboolean whole;  /**< its length or its last chunk came */
    gboolean closed; /**< the connection ended */
} wire_answer_t;

wire_t *wire_open(int port);
/** @return NULL when nobody listens there */
wire_t *wire_try_open(int port);
void wire_close(wire_t *wire);
void wire_send(wire_t *wire, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** Read one answer. */
wire_answer_t *wire_read(wire_t *wire, int timeout_ms);
void wire_answer_free(wire_answer_t *answer);
/** @return TRUE when the peer closes within the time, without a byte */
gboolean wire_is_closed(wire_t *wire, int timeout_ms);
/** Send a POST with a length. @param headers lines ended by CR LF */
void wire_post(wire_t *wire, const char *path, const char *id, const char *headers,
               const char *body);
/** Open, POST, read, close. */
wire_answer_t *wire_ask(int port, const char *path, const char *id, const char *headers);

#endif
