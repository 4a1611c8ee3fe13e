/**
 * @file engine_internal.h
 * @brief Private to the stand-in's engines: shared by engine.c (lifecycle, requests) and
 * engine_orders.c (models, orders).
 *
 * An engine owns its members, but for loop, store and seen, which outlive it. Times are in ms.
 */
#ifndef WICKBRIDGE_STANDIN_ESTATE_ENGINE_H
#define WICKBRIDGE_STANDIN_ESTATE_ENGINE_H

#include "estate.h"

struct wb_estate_engine_t {
    wb_loop_t *loop;
    wb_estate_store_t *store;
    wb_estate_seen_t *seen;
    wb_http_listener_t *listener;
    wb_timer_t *heartbeat;
    char *name; /* kept over restarts */
    char *id;
    unsigned start_count;
    int64_t started_ms; /* start of this incarnation, Unix ms */
    unsigned port;      /* 0: chosen by the system */
    wb_timer_t *crash;
    char *crash_part; /* the part of a prompt that causes the pending crash; NULL: none */
    wb_timer_t *restart;
    json_t *options; /* service, zone, version (of its software; its events name it), models, slots,
                        port, announce_port, beat_ms (heartbeat interval), back_ms (from crash to
                        restart), cold_ms, work_ms (until the response or its first event), streams
                        (1: answers with events), event_ms, events, load_ms, unload_ms, weights_mb,
                        model_mb, room (requests at once, beyond which it rejects; 0: any number),
                        brittle (rejections in a second that it survives, and says so; 0: it isn't
                        brittle), adapter_slots, unframed (1: its streams have neither length nor
                        chunks), same_id (1: it restarts under its id), keep_models (1: and with its
                        models), quiet (1: it writes no row); set by functions: pace, pace_told,
                        rest, state_lines */
    json_t *models;  /* [{name, version, adapters}] */
    int64_t sequence;
    int64_t heartbeats;
    gboolean busy;
    gboolean draining;
    int64_t second_began_ms; /* of the rejections below */
    int64_t rejections;
    gboolean hardened; /* requests no longer crash it */
    char *crash_model; /* loading it crashes the engine; NULL: none */
    gboolean ended;    /* stopped, or crashed and not restarted yet */
    char *fault;
    int fault_count;
    GHashTable *runs; /* connection -> wb_estate_run_t */
};

/** @return the value of a numeric option */
int64_t wb_estate_engine_option(const wb_estate_engine_t *engine, const char *name,
                                int64_t fallback);
/** Write the engine's row, unless it has ended or is quiet. */
void wb_estate_engine_announce(wb_estate_engine_t *engine);
/** @return TRUE when the fault is set and uses remain; uses one up */
gboolean wb_estate_engine_consume_fault(wb_estate_engine_t *engine, const char *fault);

/* engine_orders.c */
/** @return TRUE when the engine holds the model. @param wanted MODEL or MODEL/ADAPTER */
gboolean wb_estate_engine_holds(const wb_estate_engine_t *engine, const char *wanted);
/** Add a model. Exceeding the engine's capacity is recorded as a violation. */
void wb_estate_engine_add_model(wb_estate_engine_t *engine, const char *name);
/** Handle an order, and respond unless a fault prevents it. */
void wb_estate_engine_order(wb_estate_engine_t *engine, wb_http_connection_t *connection,
                            const wb_http_head_t *head, const GByteArray *body);

#endif
