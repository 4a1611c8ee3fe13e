/**
 * @file dialect.h
 * @brief The words and forms of the estate that wickbridge runs on, given by its adapter.
 *
 * The product knows what it needs to say and to read; an adapter says under which names. Nothing in
 * it decides.
 */
#ifndef WICKBRIDGE_DIALECT_H
#define WICKBRIDGE_DIALECT_H

#include "wickbridge/catalog.h"
#include "wickbridge/error.h"
#include "wickbridge/fleet.h"

/** What an order asks of an engine. */
typedef enum wb_order_kind_t { WB_ORDER_LOAD, WB_ORDER_UNLOAD } wb_order_kind_t;

typedef struct wb_order_t {
    wb_order_kind_t kind;
    const char *model;
    const char *adapter;       /**< "" for the model itself */
    int64_t expected_sequence; /**< it is carried out only at this sequence */
    const char *holder;        /**< machine of the lease's holder */
    uint64_t token;            /**< the holder's token */
} wb_order_t;

typedef struct wb_dialect_t {
    /* Headers of requests. */
    const char *request_id;
    const char *deadline_ms;
    const char *model;        /**< MODEL or MODEL/ADAPTER */
    const char *length_hint;  /**< the caller's guess at tokens out, often far off */
    const char *token_usage;  /**< tokens of the prompt, and most out, with a comma between */
    const char *prompt_parts; /**< ID:TOKENS with commas between */
    const char *urgency;      /**< 0 to 9, 0 is the most urgent */
    const char *expected_engine;
    const char *last_event_id;
    const char *api_key;        /**< the caller's key, after a scheme */
    const char *api_key_scheme; /**< the word before the key */
    const char *tenant;         /**< whom the caller's key belongs to, told to engines */
    /** Headers that only this system may send to engines: a caller's are dropped. NULL ends. */
    const char *const *reserved;
    /* Headers of answers. */
    const char *not_run;
    const char *seal;
    const char *engine_load;    /**< running, waiting and slots with commas between */
    const char *engine_limit;   /**< requests a second that it takes from all nodes together */
    const char *engine_draining; /**< "1": it leaves */
    unsigned wrong_engine_status;
    /* Engines' own calls. */
    const char *report_target;
    const char *order_target;
    char *(*order_body)(const wb_order_t *order);
    wb_engine_state_t *(*report_parse)(const char *engine_id, const char *body, size_t length);
    /* Rows of the store. */
    const char *catalog_key;       /**< key of the row that holds the whole configuration */
    const char *evacuation_prefix; /**< of keys in the same table: a zone follows, which is being
                                      evacuated as long as the row is there. NULL: there are none */
    wb_catalog_t *(*catalog_parse)(const guchar *value, gsize length, wb_error_t *error);
    /** @return NULL, with the reason, for a row that names no engine to use: anybody may write one
     */
    wb_engine_state_t *(*engine_parse)(const char *key, const guchar *value, gsize length,
                                       wb_error_t *error);
} wb_dialect_t;

#endif
