/**
 * @file crash_watch.h
 * @brief Finds out whether an engine that aborted requests has crashed, and reports the requests
 * that it was running.
 *
 * A connection that ends in the middle of an answer may also be due to that answer or to the
 * network. So shortly after an engine aborted a request, this node connects to its address once:
 *
 * - If the connection is refused, or times out, other nodes are asked to connect: this node may be
 *   cut off from the engine. If they are refused, or none can be asked and this node was refused,
 *   the engine has ended, with all requests that it aborted then.
 * - If it is accepted (by the engine, its successor or a proxy), or nobody knows, the store
 *   decides: the engine has ended when another engine announces itself at its address, or when its
 *   row is removed, a few heartbeats later.
 *
 * An engine is named by its incarnation (wb_engine_state_t), as it may start again under its id.
 *
 * Units: milliseconds. Errors: a check that can't be started is logged and counts as without
 * result. Threads: everything here belongs on the loop's thread.
 */
#ifndef WICKBRIDGE_CRASH_WATCH_H
#define WICKBRIDGE_CRASH_WATCH_H

#include "poison/part_registry.h"

#include "wickbridge/edge.h"
#include "wickbridge/edge_metrics.h"
#include "wickbridge/loop.h"

#include <glib.h>

/** A request that an engine aborted: the connection ended before the answer was complete. */
typedef struct wb_aborted_request_t {
    wb_request_digest_t digest;
    uint32_t body_bytes;
    int64_t aborted_ms;
    guint part_count;
    wb_request_digest_t parts[WB_PARTS_MAX]; /**< keys of its prompt's parts */
} wb_aborted_request_t;

typedef struct wb_crash_watch_events_t {
    /** An engine has ended.
     * @param requests array of wb_aborted_request_t, maybe with duplicates; valid during the call.
     * Requests whose abort is noticed later are reported by a further call. */
    void (*on_crashed)(const char *engine_id, const GArray *requests, void *context);
    /** An engine refused a connection or didn't answer: find out whether another node connects to
     * it, and call wb_crash_watch_confirm. NULL: it isn't asked.
     * @return FALSE if that can't be found out: the engine counts as ended if it refused */
    gboolean (*confirm_ended)(const char *engine_id, void *context);
    void *context;
} wb_crash_watch_events_t;

typedef struct wb_crash_watch_t wb_crash_watch_t;

/**
 * @param settings connect_timeout_ms and engine_heartbeat_ms are read at each use; must outlive the
 * watch
 * @param metrics  counts checks and crashes; must outlive the watch
 * @param events   copied
 */
wb_crash_watch_t *wb_crash_watch_create(wb_loop_t *loop, const wb_edge_settings_t *settings,
                                        wb_edge_metrics_t *metrics,
                                        const wb_crash_watch_events_t *events);
void wb_crash_watch_free(wb_crash_watch_t *watch);

/** An engine closed the connection of a request before its answer was complete.
 * @param engine_id here and below: the engine's incarnation */
void wb_crash_watch_note_aborted(wb_crash_watch_t *watch, const char *engine_id,
                                 const char *address, const wb_aborted_request_t *request);
/** Answer to confirm_ended. @param ended FALSE: another node has connected to the engine, or nobody
 * knows */
void wb_crash_watch_confirm(wb_crash_watch_t *watch, const char *engine_id, gboolean ended);
/** The row of an engine was removed that had not announced that it is draining. */
void wb_crash_watch_row_removed(wb_crash_watch_t *watch, const char *engine_id);
/** An engine announces itself at an address: any other engine that had the address has ended. */
void wb_crash_watch_address_taken(wb_crash_watch_t *watch, const char *engine_id,
                                  const char *address);
/** Forget engines whose last check is so long ago that their row would have been removed. */
void wb_crash_watch_sweep(wb_crash_watch_t *watch, int64_t now_ms);

#endif
