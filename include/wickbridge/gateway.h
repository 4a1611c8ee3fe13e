/**
 * @file gateway.h
 * @brief The callers' side of a node: HTTP in, fair waiting, and one whole answer for each request.
 *
 * Threads: HTTP threads accept requests, the HTTP client's threads carry answers, and the loop's
 * thread takes routes and claims. Targets (a model, or a model with an adapter) live in shards,
 * each under its own lock; a request's own lock is taken after its shard's, never before.
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
    int64_t queue_limit;       /**< most waiting requests of a target */
    int64_t no_owner_wait_ms;  /**< a request waits so long for a cell without an owner */
    int64_t busy_wait_ms;      /**< and so long for room when all that is loaded is in use */
    int64_t stream_idle_ms;    /**< an engine that is silent so long counts as cut */
    int64_t stream_memory_ms;  /**< engines surely know a stream so long after it began */
    int64_t claim_timeout_ms;  /**< a claim without an answer is given up */
    int64_t attempt_limit;     /**< most engines tried for a request */
    int64_t answer_keep_bytes; /**< answers up to this size are kept for retries with a key */
} wb_gateway_options_t;

typedef struct wb_gateway_parts_t {
    wb_loop_t *loop;
    wb_http_client_t **clients; /**< streams are spread over them */
    guint client_count;
    /** Give a message to a node, also to this one; on the loop's thread. FALSE: not reachable */
    gboolean (*send)(const char *node, const wb_wire_message *message, void *context);
    /** @return the owner of a cell if it is up, else NULL; on the loop's thread */
    const char *(*find_owner)(const char *cell, void *context);
    void *context;
} wb_gateway_parts_t;

/** Figures for metrics. */
typedef struct wb_gateway_counters_t {
    gint accepted;
    gint completed;
    gint refused; /**< not run */
    gint unsure;  /**< may have run */
    gint bad;     /**< wrong requests */
    gint resumed; /**< streams taken up again after a cut */
    gint moved;   /**< requests run again on another engine */
    gint events;  /**< stream events passed on */
    gint open;    /**< requests that are not finished */
} wb_gateway_counters_t;

wb_gateway_t *wb_gateway_create(const wb_gateway_options_t *options,
                                const wb_gateway_parts_t *parts);
void wb_gateway_free(wb_gateway_t *gateway);

/** A configuration is in force; any thread. */
void wb_gateway_set_config(wb_gateway_t *gateway, wb_config_t *config);

/** Say whether this node may serve: it has the newest accepted configuration. Any thread. */
void wb_gateway_set_ready(wb_gateway_t *gateway, gboolean ready);

/** Refuse new requests from now on. */
void wb_gateway_drain(wb_gateway_t *gateway);

/** Take a caller's request; any thread. @return FALSE when the path is not the gateway's */
gboolean wb_gateway_handle(wb_gateway_t *gateway, wb_http_exchange_t *exchange);

/** Give it a message, on the loop's thread. @return TRUE when the message was its own */
gboolean wb_gateway_on_message(wb_gateway_t *gateway, const char *node,
                            const wb_wire_message *message);

const wb_gateway_counters_t *wb_gateway_counters(const wb_gateway_t *gateway);

/** @return requests that are not finished */
gint wb_gateway_open_requests(const wb_gateway_t *gateway);

/** @return what this gateway knows of a model, as JSON, or NULL */
json_t *wb_gateway_explain(wb_gateway_t *gateway, const char *model);

/** @return the last requests that ended here, for explain, newest last */
json_t *wb_gateway_explain_request(wb_gateway_t *gateway, const char *request_id);

#endif
