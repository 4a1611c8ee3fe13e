/**
 * @file store_internal.h
 * @brief Rows of the stand-in's store, for store.c and store_rollback.c.
 */
#ifndef WICKBRIDGE_STANDIN_STORE_INTERNAL_H
#define WICKBRIDGE_STANDIN_STORE_INTERNAL_H

#include "estate.h"

/* A row at one version. */
typedef struct wb_estate_row_version_t {
    char *value; /* base64; NULL: removed */
    int64_t version;
    int64_t at_ms;
} wb_estate_row_version_t;

typedef struct wb_estate_row_t {
    char *table;
    char *key;
    char *value; /* base64; NULL: removed */
    int64_t version;
    GArray *versions; /* of wb_estate_row_version_t, oldest first */
    gboolean trimmed; /* older versions were dropped */
} wb_estate_row_t;

struct wb_estate_store_t {
    wb_loop_t *loop;
    wb_http_listener_t *listener;
    GPtrArray *rows; /* of wb_estate_row_t, removed rows included */
    GPtrArray *polls;
    GPtrArray *delayed;
    int64_t version;
    int64_t history_from; /* changes before it have expired */
    char *fault;
    int64_t delay_ms;
    int64_t behind_ms; /* full reads show the rows as of this long ago; 0: the current ones */
    int64_t behind_until_ms;
    int64_t era;
    unsigned rollbacks;     /* under way: answers nobody until they are over */
    int64_t rollback_to_ms; /* while away: the time of the copy */
    int64_t returned_ms;    /* end of the last rollback */
    int64_t rewrite_ms;     /* after the return, what was lost is written again */
    GPtrArray *lost;        /* of wb_estate_lost_t, in the order of their versions */
};

/** @return the row, also a removed one; NULL: it was never written */
wb_estate_row_t *wb_estate_row_find(const wb_estate_store_t *store, const char *table,
                                    const char *key);
/** Write a row at the store's current version. @param base64 its value; NULL: remove it */
void wb_estate_row_write(wb_estate_store_t *store, const char *table, const char *key,
                         const char *base64);
/** Answer the pending polls of a changed table. */
void wb_estate_polls_answer(wb_estate_store_t *store, const char *table);
/** Close the connections of all pending polls. */
void wb_estate_polls_abort(wb_estate_store_t *store);

#endif
