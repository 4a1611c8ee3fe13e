/**
 * @file dialect.h
 * @brief Names and formats of the platform that wickbridge is deployed on, supplied by its adapter.
 *
 * A wb_dialect_t holds header names, call targets and store keys, and functions that convert
 * between the platform's JSON and the types of wickbridge. It only translates and makes no
 * decisions. Parsers return NULL for input that they can't use.
 */
#ifndef WICKBRIDGE_DIALECT_H
#define WICKBRIDGE_DIALECT_H

#include "wickbridge/catalog.h"
#include "wickbridge/error.h"
#include "wickbridge/fleet.h"

typedef enum wb_order_kind_t { WB_ORDER_LOAD, WB_ORDER_UNLOAD } wb_order_kind_t;

/** An order of the controller to an engine: load or unload a model or an adapter. Strings are
 * borrowed. */
typedef struct wb_order_t {
    wb_order_kind_t kind;
    const char *model;
    const char *adapter;       /**< "" for the model itself */
    int64_t expected_sequence; /**< the engine refuses it at any other sequence */
    const char *holder;        /**< machine of the lease holder */
    uint64_t token;            /**< fencing token of the lease */
} wb_order_t;

typedef struct wb_dialect_t {
    /* Names of request headers. */
    const char *request_id;
    const char *deadline_ms;
    const char *model;        /**< MODEL or MODEL/ADAPTER */
    const char *length_hint;  /**< the client's estimate of output tokens; unreliable */
    const char *token_usage;  /**< PROMPT_TOKENS,MAX_OUTPUT_TOKENS */
    const char *prompt_parts; /**< ID:TOKENS,... of the prompt's parts, in order */
    const char *urgency;      /**< priority, 0 to 9; 0 is the most urgent */
    const char *expected_engine;
    const char *last_event_id;
    const char *resumes;        /**< id of the client's request that brought the first event of the
                                   stream that this one takes up */
    const char *api_key;        /**< the client's API key, after api_key_scheme */
    const char *api_key_scheme; /**< authentication scheme that precedes the key */
    const char *tenant;         /**< the key's tenant; set on requests to engines */
    /** Headers that clients must not set: removed from requests before they are sent to engines.
     * Ended by NULL. */
    const char *const *reserved;
    /* Names of response headers. */
    const char *not_run;         /**< present: the engine rejected the request without running it */
    const char *seal;            /**< present: the engine itself produced the response */
    const char *engine_load;     /**< RUNNING,WAITING[,SLOTS[,PACE]] */
    const char *engine_limit;    /**< requests per second that it accepts from all nodes together */
    const char *engine_brittle;  /**< rejections in a second that it survives, of all nodes */
    const char *engine_draining; /**< "1": it is draining */
    /** HTTP status of a request that reached another engine than the expected one. */
    unsigned wrong_engine_status;
    /* Calls to engines. */
    const char *report_target; /**< GET: the engine's state */
    const char *order_target;  /**< POST: an order */
    /** @return the JSON of an order, to be freed with g_free */
    char *(*order_body)(const wb_order_t *order);
    /** @return the state, owned by the caller, or NULL for a malformed report */
    wb_engine_state_t *(*report_parse)(const char *engine_id, const char *body, size_t length);
    /* Rows of the store. */
    const char *catalog_key; /**< key of the row that holds the complete configuration */
    const char
        *evacuation_prefix; /**< prefix of keys in the same table that are followed by a zone,
                               which is evacuated while the row exists. NULL: not supported */
    /** @return the catalog, owned by the caller, or NULL with the reason in `error` */
    wb_catalog_t *(*catalog_parse)(const guchar *value, gsize length, wb_error_t *error);
    /** @return the state, owned by the caller, or NULL with the reason in `error` for an invalid
     * row: any process on the platform may write one */
    wb_engine_state_t *(*engine_parse)(const char *key, const guchar *value, gsize length,
                                       wb_error_t *error);
} wb_dialect_t;

#endif
