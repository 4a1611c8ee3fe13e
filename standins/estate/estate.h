/**
 * @file estate.h
 * @brief A small stand-in for the platform that edge nodes run on: its store of rows, and its
 * engines.
 *
 * It speaks the published protocol, can be made to fail in the ways that protocol allows, and
 * remembers what it saw, for tests to check. One process, one loop.
 */
#ifndef WICKBRIDGE_STANDIN_ESTATE_H
#define WICKBRIDGE_STANDIN_ESTATE_H

#include "wickbridge/http_listener.h"

#include <jansson.h>

typedef struct wb_estate_store_t wb_estate_store_t;
typedef struct wb_estate_engine_t wb_estate_engine_t;

/** What tests look at, kept as JSON arrays. */
typedef struct wb_estate_seen_t {
    json_t *runs; /**< {"id","engine","body","path","model","last_event_id","deadline_ms"} */
    json_t
        *arrivals; /**< {"id","service","engine","at_ms"}: all requests, also those turned away */
    json_t
        *orders; /**< {"engine","holder","token","operation","model","adapter","status","at_ms"} */
    json_t *crashes;    /**< {"engine","at_ms"}: engines that a request crashed */
    json_t *states;     /**< {"engine","lines","at_ms"}: what engines tell from then on */
    json_t *rests;      /**< {"id","engine","rest_ms","at_ms"}: requests turned away with a wish for
                           rest */
    json_t *violations; /**< texts */
} wb_estate_seen_t;

/* The store: store.c. */
wb_estate_store_t *wb_estate_store_open(wb_loop_t *loop, const char *address);
unsigned wb_estate_store_port(const wb_estate_store_t *store);
/** Write or remove (NULL) a row as the platform itself does. */
void wb_estate_store_put(wb_estate_store_t *store, const char *table, const char *key,
                         const char *value);
/** Drop the history, so that calls for changes get 410; reads are `stale_ms` old for as long. */
void wb_estate_store_compact(wb_estate_store_t *store);
/** Set a fault: "" (none), "busy" (503), "silent", "lost" (writes are done and not answered),
 * "late" (writes are done after a second and not answered), "reset". @param delay_ms added to each
 * answer */
void wb_estate_store_set_fault(wb_estate_store_t *store, const char *fault, int64_t delay_ms);

/* Engines: engine.c. A request whose body begins with "crash" crashes the engine that runs it;
 * another start of it comes `back_ms` later at the same address, empty and with an id of its own:
 * NAME.2, NAME.3 and so on; with the option `same_id` under the id that it had. */
/** @param row members of the engine's row besides those that it fills in itself */
wb_estate_engine_t *wb_estate_engine_start(wb_loop_t *loop, wb_estate_store_t *store,
                                           wb_estate_seen_t *seen, const char *id, json_t *options);
void wb_estate_engine_stop(wb_estate_engine_t *engine, gboolean announce);
void wb_estate_engine_set_leaving(wb_estate_engine_t *engine);
/** It ends at once; another start of it comes some time later. */
void wb_estate_engine_end(wb_estate_engine_t *engine);
/** The same, noted as a crash under a request or a load. */
void wb_estate_engine_crash(wb_estate_engine_t *engine);
/** Set an option, which counts from now on. */
void wb_estate_engine_set_option(wb_estate_engine_t *engine, const char *name, int64_t value);
/** From now on it crashes at the end of each load of this model. */
void wb_estate_engine_set_crash_model(wb_estate_engine_t *engine, const char *model);
/** From now on no request crashes it. */
void wb_estate_engine_harden(wb_estate_engine_t *engine);
/** What the engine tells of its pace from now on ("": nothing), and its real one in percent. */
void wb_estate_engine_set_pace(wb_estate_engine_t *engine, const char *told, int64_t percent);
/** Lines ("NAME: VALUE", each ended by CR LF) that its answers have at their heads from now on:
 * what it tells of its limit, or that it leaves. */
void wb_estate_engine_set_state_lines(wb_estate_engine_t *engine, const char *lines);
/** It turns requests away from now on and asks for so much rest, in the words of Retry-After; "":
 * it takes them. */
void wb_estate_engine_set_rest(wb_estate_engine_t *engine, const char *retry_after);
/** Set a fault for the next `count` requests or orders: "error", "reject", "cut", "mute", "reset",
 * "extra", "unsealed", "order-lost", "order-late". */
void wb_estate_engine_set_fault(wb_estate_engine_t *engine, const char *fault, int count);
const char *wb_estate_engine_id(const wb_estate_engine_t *engine);

#endif
