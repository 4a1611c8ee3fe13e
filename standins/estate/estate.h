/**
 * @file estate.h
 * @brief Stand-in for the platform that edge nodes run on: its store of rows, and its engines.
 *
 * It implements the published protocol, fails on request in the ways that the protocol allows, and
 * records what it received, for tests to check. One process, one loop: all functions must be called
 * on the loop's thread. Times are in ms: at_ms on the clock of wb_clock_ms(). Functions that open a
 * listener end the process when that fails.
 */
#ifndef WICKBRIDGE_STANDIN_ESTATE_H
#define WICKBRIDGE_STANDIN_ESTATE_H

#include "wickbridge/http_listener.h"

#include <jansson.h>

typedef struct wb_estate_store_t wb_estate_store_t;
typedef struct wb_estate_engine_t wb_estate_engine_t;

/** What was recorded for tests, as JSON arrays of objects with these members. */
typedef struct wb_estate_seen_t {
    /** {"id","engine","body","path","model","last_event_id","deadline_ms","at_ms","headers"} */
    json_t *runs;
    /** {"id","service","engine","at_ms"}: all requests, rejected ones included */
    json_t *arrivals;
    /** {"engine","holder","token","operation","model","adapter","status","at_ms"} */
    json_t *orders;
    /** {"engine","part","at_ms"}: engines that crashed under a request or a load; part: the part of
     * its prompt that caused it; "": it was something else */
    json_t *crashes;
    /** {"engine","at_ms"}: brittle engines that fell over as they rejected too much */
    json_t *falls;
    /** {"engine","lines","at_ms"}: state headers that an engine sends from then on */
    json_t *states;
    /** {"id","engine","rest_ms","at_ms"}: requests rejected with a backoff */
    json_t *backoffs;
    /** {"id","engine","bytes","ms"}: what an engine sent without end until its caller closed */
    json_t *floods;
    /** texts of rules that nodes violated */
    json_t *violations;
} wb_estate_seen_t;

/* store.c */
wb_estate_store_t *wb_estate_store_open(wb_loop_t *loop, const char *address);
unsigned wb_estate_store_port(const wb_estate_store_t *store);
/** Write or remove (value NULL) a row, as the platform itself does. */
void wb_estate_store_put(wb_estate_store_t *store, const char *table, const char *key,
                         const char *value);
/** As wb_estate_store_put, with the bytes of the value in base64. */
void wb_estate_store_put_base64(wb_estate_store_t *store, const char *table, const char *key,
                                const char *base64);
/** Drop the change history: pending polls, and polls from an earlier version, get 410. */
void wb_estate_store_compact(wb_estate_store_t *store);
/** Give out no versions below one that is this much higher, as if other tables were written. */
void wb_estate_store_skip_versions(wb_estate_store_t *store, int64_t count);
/**
 * Lose the last writes: don't answer for `away_ms`, then come back from a copy that is `back_ms`
 * older than this moment. The counter of versions goes back with it, and the era rises by one.
 * `rewrite_ms` after the return, rows that operators and engines wrote since the copy are written
 * again.
 */
void wb_estate_store_roll_back(wb_estate_store_t *store, int64_t back_ms, int64_t away_ms,
                               int64_t rewrite_ms);
/** Drop the change history; for some time, full reads then show the rows as of `behind_ms` ago. */
void wb_estate_store_set_behind(wb_estate_store_t *store, int64_t behind_ms, int64_t for_ms);
/** Set a fault: "" (none), "busy" (503), "silent" (no response), "lost" (writes are applied,
 * without a response), "late" (writes are applied after a second, without a response), "reset"
 * (connection aborted). @param delay_ms delay before a transaction is applied and answered */
void wb_estate_store_set_fault(wb_estate_store_t *store, const char *fault, int64_t delay_ms);

/* engine.c. A request whose body begins with "crash", or with a part of the prompt, but for the
 * last one, whose id begins with "bad", crashes the engine that runs it. The engine restarts
 * `back_ms` later at the same address, without models, under a new id (NAME.2, NAME.3,
 * ...) or, with the option `same_id`, under its old one. */
/** Start an engine. @param options see wb_estate_engine_t in engine_internal.h; a reference is kept
 */
wb_estate_engine_t *wb_estate_engine_start(wb_loop_t *loop, wb_estate_store_t *store,
                                           wb_estate_seen_t *seen, const char *id, json_t *options);
void wb_estate_engine_stop(wb_estate_engine_t *engine, gboolean announce);
void wb_estate_engine_set_draining(wb_estate_engine_t *engine);
/** End the engine at once, as a crash does, but don't record it; it restarts after `back_ms`. */
void wb_estate_engine_kill(wb_estate_engine_t *engine);
/** The same, recorded as a crash caused by a request or a load. */
void wb_estate_engine_crash(wb_estate_engine_t *engine);
/** Set an option; effective at once. */
void wb_estate_engine_set_option(wb_estate_engine_t *engine, const char *name, int64_t value);
/** From now on the engine crashes at the end of each load of this model. */
void wb_estate_engine_set_crash_model(wb_estate_engine_t *engine, const char *model);
/** From now on no request crashes the engine. */
void wb_estate_engine_harden(wb_estate_engine_t *engine);
/** Set the pace that the engine reports ("": none), and its real one in percent of nominal times.
 */
void wb_estate_engine_set_pace(wb_estate_engine_t *engine, const char *reported, int64_t percent);
/** Set header lines ("NAME: VALUE", each ended by CR LF) of its responses, which report its limit
 * or that it is draining. */
void wb_estate_engine_set_state_lines(wb_estate_engine_t *engine, const char *lines);
/** Reject requests with this Retry-After value; "": accept them. */
void wb_estate_engine_set_backoff(wb_estate_engine_t *engine, const char *retry_after);
/** Set a fault for the next `count` requests or orders: "error" (500), "reject" (503, not run),
 * "cut" (stream aborted within an event), "cut-start" (the same for streams that begin),
 * "cut-plain" (stream ended within an event, but otherwise like a complete one), "mute" (no
 * response), "reset" (connection aborted), "unsealed" (success without a seal), "order-lost" (order
 * applied, without a response), "order-late" (order applied late, without a response). */
void wb_estate_engine_set_fault(wb_estate_engine_t *engine, const char *fault, int count);
const char *wb_estate_engine_id(const wb_estate_engine_t *engine);

/* faulty_engine.c: an engine without models that also sends bytes that are no answer. */
typedef struct wb_estate_faulty_engine_t wb_estate_faulty_engine_t;
/** Start one; it runs until the process ends. @param options see wb_estate_faulty_engine_t; a
 * reference is kept */
wb_estate_faulty_engine_t *wb_estate_faulty_engine_start(wb_loop_t *loop, wb_estate_store_t *store,
                                                         wb_estate_seen_t *seen, const char *id,
                                                         json_t *options);
/** Set an option; effective at once. */
void wb_estate_faulty_engine_set_option(wb_estate_faulty_engine_t *engine, const char *name,
                                        int64_t value);
/** Set a fault for the next `count` requests: "reject" (503, not run), "reject-again" (the same,
 * and again behind it or in front of a later answer of the connection), "reject-cut" (connection
 * closed in its body), "reject-stalls" (nothing follows the half of its body), "error-again" (500
 * after a run, and again as above), "busy" (503 after a run, without the promise that it was none),
 * or one of the endless_ways: bytes without end until the caller closes. */
void wb_estate_faulty_engine_set_fault(wb_estate_faulty_engine_t *engine, const char *fault,
                                       int count);

/* broken_stream.c */
/** What an engine sends of an answer. */
typedef struct wb_estate_stream_part_t {
    char *text;      /* owned by the caller; NULL: the id asks for none */
    gboolean resets; /* its connection is then reset */
    gboolean closes; /* its connection is then closed */
} wb_estate_stream_part_t;
/** A request whose id is KIND.FORM.NUMBER: "broken", the first engine breaks its stream off behind
 * an event, the second one answers as the form says, the third one goes on; "failed", the first one
 * answers so, and the second one with the whole stream.
 * @param send which of its sends it is; 1: the first */
wb_estate_stream_part_t wb_estate_broken_stream(const char *request_id, unsigned send);

/* cut_answer.c */
/** Return the beginning of an answer: FORM.LEFT.END.ANYTHING as a request's id asks for the FORM of
 * cut_forms without its last LEFT bytes. @param goes_on the request takes up a stream: the head
 * "unframed" is all that comes then @param reset set: END is "reset", not "close" @return NULL for
 * any other id; free it with g_free */
char *wb_estate_cut_answer(const char *request_id, gboolean goes_on, gboolean *reset);

#endif
