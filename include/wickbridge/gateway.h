/**
 * @file gateway.h
 * @brief The client side of a node: accepts HTTP requests, queues them fairly, runs them on engines
 * and sends one response for each.
 *
 * Times are in milliseconds. Failed requests get an error response; the functions report no errors.
 * Threads: HTTP server threads accept requests, HTTP client threads receive engines' responses, and
 * the loop's thread handles routes and claims. Targets (a model, or a model with an adapter) are
 * divided into shards with a lock each. Lock order: shard, then request.
 */
#ifndef WICKBRIDGE_GATEWAY_H
#define WICKBRIDGE_GATEWAY_H

#include "wickbridge/declaration.h"
#include "wickbridge/http_client.h"
#include "wickbridge/http_server.h"
#include "wickbridge/loop.h"
#include "wickbridge/message.h"

typedef struct wb_gateway_t wb_gateway_t;

typedef struct wb_gateway_options_t {
    const char *node;
    const char *zone;
    const char *engine_scheme;
    int64_t queue_limit;       /**< max number of waiting requests per target */
    int64_t no_owner_wait_ms;  /**< max wait for a cell without an owner */
    int64_t busy_wait_ms;      /**< max wait for capacity while all loaded models are in use */
    int64_t stream_idle_ms;    /**< time without data after which a stream counts as interrupted */
    int64_t stream_memory_ms;  /**< time after its start for which engines can resume a stream */
    int64_t claim_timeout_ms;  /**< timeout of a claim */
    int64_t attempt_limit;     /**< max number of engines tried for a request */
    int64_t answer_keep_bytes; /**< max size of a response kept for retries with a key */
} wb_gateway_options_t;

/** Objects and callbacks that a gateway uses; the objects must outlive it. */
typedef struct wb_gateway_parts_t {
    wb_loop_t *loop;
    wb_http_client_t **clients; /**< streams are distributed over them */
    guint client_count;
    /** Send a message to a node, which may be this one; on the loop's thread. @return FALSE if it
     * is unreachable */
    gboolean (*send)(const char *node, const wb_wire_message *message, void *context);
    /** @return the owner of a cell if it is up, else NULL; called on the loop's thread */
    const char *(*find_owner)(const char *cell, void *context);
    void *context;
} wb_gateway_parts_t;

/** Counters for metrics. */
typedef struct wb_gateway_counters_t {
    gint accepted;
    gint completed;
    gint refused; /**< not run */
    gint unsure;  /**< may have run */
    gint bad;     /**< malformed requests */
    gint resumed; /**< streams resumed after an interruption */
    gint moved;   /**< requests run again on another engine */
    gint events;  /**< stream events forwarded */
    gint open;    /**< unfinished requests */
} wb_gateway_counters_t;

wb_gateway_t *wb_gateway_create(const wb_gateway_options_t *options,
                                const wb_gateway_parts_t *parts);
void wb_gateway_free(wb_gateway_t *gateway);

/** Apply a configuration. Any thread. @param config a reference is taken */
void wb_gateway_set_config(wb_gateway_t *gateway, wb_config_t *config);

/** Set whether this node may serve requests, that is, whether it has the newest accepted
 * configuration. Any thread. */
void wb_gateway_set_ready(wb_gateway_t *gateway, gboolean ready);

/** Refuse new requests from now on. */
void wb_gateway_drain(wb_gateway_t *gateway);

/** Handle a client's request. Any thread. @return FALSE if the path is not the gateway's */
gboolean wb_gateway_handle(wb_gateway_t *gateway, wb_http_exchange_t *exchange);

/** Handle a message from a node, on the loop's thread. @return TRUE if it was for the gateway */
gboolean wb_gateway_on_message(wb_gateway_t *gateway, const char *node,
                               const wb_wire_message *message);

const wb_gateway_counters_t *wb_gateway_counters(const wb_gateway_t *gateway);

/** @return number of unfinished requests */
gint wb_gateway_open_requests(const wb_gateway_t *gateway);

/** @return this gateway's targets of a model (with or without adapters) as a JSON array, which may
 * be empty, for the explain command */
json_t *wb_gateway_explain(wb_gateway_t *gateway, const char *model);

/** @return a recently ended request by its id as JSON (a new reference), for the explain command,
 * or NULL */
json_t *wb_gateway_explain_request(wb_gateway_t *gateway, const char *request_id);

#endif
