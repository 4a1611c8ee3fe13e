/**
 * @file engine_inner.h
 * @brief What the files of the stand-in's engines share: engine.c (starts, crashes and runs) and
 * engine_orders.c.
 */
#ifndef WICKBRIDGE_STANDIN_ESTATE_ENGINE_H
#define WICKBRIDGE_STANDIN_ESTATE_ENGINE_H

#include "estate.h"

struct wb_estate_engine_t {
    wb_loop_t *loop;
    wb_estate_store_t *store;
    wb_estate_seen_t *seen;
    wb_http_listener_t *listener;
    wb_timer_t *beat;
    char *name; /* that it keeps when it starts again */
    char *id;
    unsigned starts;
    int64_t born_ms; /* of this start, Unix ms */
    unsigned port;   /* 0: any */
    wb_timer_t *crash;
    wb_timer_t *restart;
    json_t *options; /* service, zone, models, work_ms, event_ms, events, load_ms, weights_mb,
                        adapter_slots, back_ms, same_id (1: it starts again under its id), cold_ms,
                        quiet (1: it doesn't announce itself) */
    json_t *models;  /* [{name, version, adapters}] */
    int64_t sequence;
    int64_t beats;
    gboolean busy;
    gboolean leaving;
    gboolean hardened; /* no request crashes it any more */
    char *crash_model; /* its load ends in a crash; NULL: none */
    gboolean ended;    /* for good, or until it starts again */
    char *fault;
    int fault_count;
    GHashTable *runs; /* connection -> wb_estate_run_t */
};

/** @return a number of the engine's options */
int64_t wb_estate_engine_option(const wb_estate_engine_t *engine, const char *name,
                                int64_t fallback);
/** Write the engine's row, unless it has ended. */
void wb_estate_engine_announce(wb_estate_engine_t *engine);
/** @return TRUE when the fault is set; one of its times is used up then */
gboolean wb_estate_engine_take_fault(wb_estate_engine_t *engine, const char *fault);

/* engine_orders.c */
/** @param wanted MODEL or MODEL/ADAPTER */
gboolean wb_estate_engine_holds(const wb_estate_engine_t *engine, const char *wanted);
/** Hold a model; beyond the engine's room that is a violation. */
void wb_estate_engine_put_model(wb_estate_engine_t *engine, const char *name);
/** Take an order, and answer it unless a fault says otherwise. */
void wb_estate_engine_order(wb_estate_engine_t *engine, wb_http_connection_t *connection,
                            const wb_http_head_t *head, const GByteArray *body);

#endif
