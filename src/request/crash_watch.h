/**
 * @file crash_watch.h
 * @brief Finds out whether an engine has ended when it broke requests off.
 *
 * A connection that ends in the middle of an answer may be the answer's fault, or the network's.
 * So a moment after an engine broke something off this node connects to its address, once. Where
 * nobody listens any more the engine has ended, under all that it broke off at that time. Where
 * nothing answers, or somebody takes the connection (the engine, or what stands before it), the
 * store decides: the engine has ended when another one announces itself at its address, or when
 * its row goes, a few heartbeats later.
 *
 * Threads: everything here belongs on the loop's thread.
 */
#ifndef WICKBRIDGE_CRASH_WATCH_H
#define WICKBRIDGE_CRASH_WATCH_H

#include "poison/request_digest.h"

#include "wickbridge/edge.h"
#include "wickbridge/edge_metrics.h"
#include "wickbridge/loop.h"

#include <glib.h>

/** A request that an engine broke off. */
typedef struct wb_aborted_request_t {
    wb_request_digest_t digest;
    uint32_t body_bytes;
} wb_aborted_request_t;

typedef struct wb_crash_watch_events_t {
    /** An engine has ended. @param requests of wb_aborted_request_t that it broke off, not all of
     * them different; those that are noticed later come with a further call */
    void (*on_crashed)(const char *engine_id, const GArray *requests, void *context);
    void *context;
} wb_crash_watch_events_t;

typedef struct wb_crash_watch_t wb_crash_watch_t;

/**
 * @param settings its connect_timeout_ms and engine_heartbeat_ms are read at each use; it must
 * outlive the watch
 * @param metrics  where checks and crashes are counted; must outlive the watch
 */
wb_crash_watch_t *wb_crash_watch_create(wb_loop_t *loop, const wb_edge_settings_t *settings,
                                        wb_edge_metrics_t *metrics,
                                        const wb_crash_watch_events_t *events);
void wb_crash_watch_free(wb_crash_watch_t *watch);

/** An engine ended the connection of a request that it had and hadn't answered whole.
 * @param engine_id here and below names one start of an engine: it may start again under its id */
void wb_crash_watch_note_aborted(wb_crash_watch_t *watch, const char *engine_id, const char *address,
                           const wb_aborted_request_t *request);
/** An engine's row went that hadn't said that it leaves. */
void wb_crash_watch_row_removed(wb_crash_watch_t *watch, const char *engine_id);
/** An engine announces itself at an address: any other one that was there has ended. */
void wb_crash_watch_address_taken(wb_crash_watch_t *watch, const char *engine_id,
                                  const char *address);
/** Forget engines that nothing more is heard of. */
void wb_crash_watch_sweep(wb_crash_watch_t *watch, int64_t now_ms);

#endif
