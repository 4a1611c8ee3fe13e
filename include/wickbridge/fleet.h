/**
 * @file fleet.h
 * @brief The engines known to a gateway: what each announces in the store, what the controller
 * reports about it, and what this node has observed in its responses.
 *
 * An engine is identified by its id and start time (its incarnation); a restarted engine is a new
 * wb_engine_t. Engines are reference counted and stay in the fleet for some seconds after their
 * announcement was removed.
 *
 * Times are monotonic (wb_clock_ms) in milliseconds unless stated otherwise. Functions report
 * failure by their return value only. All functions must be called on the loop's thread.
 */
#ifndef WICKBRIDGE_FLEET_H
#define WICKBRIDGE_FLEET_H

#include "wickbridge/cold_engine_share.h"
#include "wickbridge/answer_times.h"
#include "wickbridge/engine_limit.h"
#include "wickbridge/engine_brittle.h"
#include "wickbridge/engine_pace.h"
#include "wickbridge/engine_reach.h"
#include "wickbridge/list.h"
#include "wickbridge/loop.h"

#include <glib.h>
#include <stdint.h>

/** Max length of an engine's id in bytes. Messages between nodes name an engine by its incarnation,
 * which has an @ and up to 19 digits more. */
#define WB_ENGINE_ID_MAX 180
/** Max length in bytes of its service and zone, and of names of models and adapters. */
#define WB_ENGINE_NAME_MAX 200
/** Max length of a software version in bytes; a longer one counts as unknown. */
#define WB_SOFTWARE_VERSION_MAX 100

/** A model loaded on an engine. */
typedef struct wb_engine_model_t {
    char *name;
    int64_t version;
    GHashTable *adapters; /**< set of names */
} wb_engine_model_t;

/** State that an engine publishes: its announcement in the store, or its response to a report call.
 */
typedef struct wb_engine_state_t {
    char *id;
    int64_t born_ms; /**< start time in Unix ms by the engine's own clock, which may be wrong: only
                        compare it with that of the same id. 0: unknown */
    char *incarnation; /**< identifies one run of the engine process: ID@BORN, or ID if the start
                          time is unknown */
    char *service;
    char *address;
    char *zone;
    char *software_version; /**< of the engine's software, not of its models; "": unknown. What two
                               versions write doesn't fit together in one stream */
    int slots;
    gboolean leaving;      /**< it is draining */
    int64_t cold_ms;       /**< remaining warm-up time, with reduced capacity; 0: it is warm */
    GHashTable *models;    /**< name -> wb_engine_model_t */
    GHashTable *in_memory; /**< set of models whose weights are cached in host memory */
    GHashTable *on_disk;   /**< set of models whose weights are cached on disk */
    GHashTable *arriving;  /**< set of MODEL/ADAPTER that were ordered and not reported yet */
    /* Set in responses to report calls only: */
    gboolean reported;
    gboolean busy;    /**< an order is being executed */
    int64_t sequence; /**< number of orders accepted so far */
    unsigned coming;  /**< number of adapters being loaded */
} wb_engine_state_t;

wb_engine_state_t *wb_engine_state_create(const char *id);
/** Set the start time and the incarnation. @param born_ms as in wb_engine_state_t */
void wb_engine_state_set_born(wb_engine_state_t *state, int64_t born_ms);
void wb_engine_state_free(wb_engine_state_t *state);
/** @return the model, with no adapters; owned by `state` */
wb_engine_model_t *wb_engine_state_add_model(wb_engine_state_t *state, const char *name,
                                             int64_t version);

/** One incarnation of an engine, kept while it is announced or referenced by requests. */
typedef struct wb_engine_t {
    int references;
    wb_engine_state_t *state;  /**< the latest announcement; owned */
    gboolean gone;             /**< its announcement was removed */
    gboolean begins_no_stream; /**< no stream that its client may take up begins here yet:
                                  node_origins.c */
    int64_t draining_since_ms; /**< since when it has been draining or removed; 0: neither */
    gboolean drain_reported;   /**< a response reported draining; announcements of the same
                                incarnation don't reset it */
    int64_t grace_until_ms; /**< it was removed, or reported draining in a response only: end of the
                             grace period in which it gets requests that no other engine can
                             serve */
    int64_t evacuated_from_ms;      /**< time from which it gets no new requests because its zone is
                                    being evacuated; 0: the zone is in service */
    int64_t cold_until_ms;          /**< end of its warm-up, with reduced capacity; 0: it is warm */
    wb_send_limiter_t cold_limiter; /**< requests that this node sent to it during the warm-up */
    unsigned cold_share; /**< requests per second that this node may send during the warm-up */
    int64_t cold_share_updated_ms; /**< when cold_share was computed; 0: never */
    GHashTable *overlay; /**< MODEL/ADAPTER -> private; placement updates of the controller */
    /* Observed by this node: */
    unsigned running;       /**< this node's requests running on it */
    int64_t prefill_tokens; /**< prompt tokens of requests sent by this node and not yet answered */
    unsigned reported_running; /**< running requests, as reported in its last response */
    unsigned reported_waiting; /**< waiting requests, as reported in its last response */
    int64_t reported_ms;       /**< when that response arrived; 0: never */
    wb_engine_pace_t pace;     /**< its speed relative to the baseline */
    unsigned pace_min_percent; /**< lowest pace in percent received since this node's last report to
                            the controller; 0: none */
    double tokens_sent;        /**< prompt tokens sent to it since this node's last report */
    double total_tokens_per_s; /**< prompt tokens per second sent to it by all nodes */
    double total_backlog_ms;   /**< time it needs to prefill those, as of shared_received_ms */
    int64_t shared_received_ms;
    wb_answer_times_t *answer_times; /**< of repeatable requests of this node */
    unsigned failures;               /**< consecutive */
    int64_t avoid_until_ms;      /**< it failed: until then used only if no other engine can be */
    int64_t heard_ms;            /**< when bytes of it last arrived here; 0: never */
    int64_t unanswered_since_ms; /**< when the first request after its last received byte was sent;
                                 0: no response is pending */
    int64_t rejected_until_ms; /**< it rejected a request as it was full; assumed full until then */
    wb_engine_limit_t limit;   /**< request rate that it accepts from all nodes together */
    wb_engine_brittle_t brittle; /**< whether rejecting many requests makes it fall over */
    wb_share_rank_t limit_rank;  /**< this node's position among the nodes that share its limit and
                                  the rejections that it survives */
    int64_t limit_share_updated_ms;   /**< when limit_rank was computed; 0: never */
    wb_list_item_t state_update_item; /**< linked while a state update is pending */
    int64_t state_sent_ms;            /**< when that was last sent; 0: never */
    int64_t share_refused_ms; /**< when no node asked had a share of its limit left; 0: never */
    int64_t backoff_until_ms; /**< end of the backoff that it asked this node for (Retry-After) */
    wb_engine_reach_t reach;  /**< whether this node or only others can connect to it */
    wb_list_t idle;           /**< idle keep-alive connections; see attempt.c */
    GHashTable *prefixes;     /**< hash of a prompt prefix -> when it was last prefilled there */
} wb_engine_t;

typedef struct wb_fleet_t wb_fleet_t;

/** Create an empty fleet; it lives as long as the process. */
wb_fleet_t *wb_fleet_create(void);
/**
 * Apply an announcement of an engine; takes ownership of `state`.
 *
 * If the announcement is of a later incarnation than the one known by that id, the known one is
 * removed and none of its state is carried over to the new one.
 * @return the engine; NULL if a later incarnation is known already: `state` is freed and nothing
 * changes
 */
wb_engine_t *wb_fleet_announce(wb_fleet_t *fleet, wb_engine_state_t *state);
/** @return TRUE if `state` is of a later incarnation than `known` */
gboolean wb_engine_state_is_later(const wb_engine_state_t *known, const wb_engine_state_t *state);
/**
 * Remove an engine whose announcement was removed; a no-op for an unknown id.
 * @param grace_until_ms end of the grace period in which it gets requests that no other engine can
 * serve; ignored if the engine was already draining
 */
void wb_fleet_remove(wb_fleet_t *fleet, const char *id, int64_t grace_until_ms);

/**
 * Compute the grace period of an engine whose announcement has been removed. Its drain began at
 * some time since the table was last known to have the row. If that is longer ago than a drain
 * lasts, the store was unavailable meanwhile, and announcements of running engines expired as well:
 * they will be announced again, so the grace period then starts now.
 * @param known_ms time as of which the table was known before
 * @param drain_ms time for which a draining engine still serves requests
 * @return the time at which the grace period ends
 */
int64_t wb_fleet_grace_until_ms(int64_t known_ms, int64_t drain_ms, int64_t now_ms);

/**
 * Mark an engine as draining because a response of it, to this node or another, reported so. This
 * holds for the rest of its incarnation. Unless it was known to be draining already, it still gets
 * requests that no other engine can serve for half of `drain_ms`.
 * @return FALSE if a response had reported that before
 */
gboolean wb_engine_set_draining(wb_engine_t *engine, int64_t drain_ms, int64_t now_ms);
/** @return TRUE if it may get requests: it is available, or within its grace period */
gboolean wb_engine_is_usable(const wb_engine_t *engine, int64_t now_ms);
/** @return TRUE if it is available: announced, not draining, and its zone isn't being evacuated */
gboolean wb_engine_is_available(const wb_engine_t *engine);
/** @return the announced engine with this id, or NULL */
wb_engine_t *wb_fleet_find(const wb_fleet_t *fleet, const char *id);
/** @return the wb_engine_t of a service, including recently removed ones; owned by the fleet. NULL
 * for an unknown service */
const GPtrArray *wb_fleet_service(const wb_fleet_t *fleet, const char *service);
/** @return all announced engines: id -> wb_engine_t; owned by the fleet */
GHashTable *wb_fleet_all(const wb_fleet_t *fleet);
/** @return a hash over the announced engines' ids, start times, draining flags and models; nodes
 * with equal hashes know the same fleet */
uint64_t wb_fleet_digest(const wb_fleet_t *fleet, int64_t now_ms);
/** @return TRUE if an available engine of the service holds the model, and the adapter unless it
 * is "" */
gboolean wb_fleet_holds(const wb_fleet_t *fleet, const char *service, const char *model,
                        const char *adapter, int64_t now_ms);
/**
 * Start the evacuation of a zone. It applies to engines announced later as well.
 * @param from_ms time from which the zone's engines get no new requests; until then they are used
 * only for requests that no other engine can serve
 * @return number of announced engines in the zone
 */
unsigned wb_fleet_evacuate_zone(wb_fleet_t *fleet, const char *zone, int64_t from_ms);
/** End the evacuation of a zone. @return number of announced engines in the zone */
unsigned wb_fleet_end_evacuation(wb_fleet_t *fleet, const char *zone);
gboolean wb_fleet_zone_is_evacuated(const wb_fleet_t *fleet, const char *zone);
/** @return number of zones being evacuated */
unsigned wb_fleet_evacuated_zones(const wb_fleet_t *fleet);
/** Drop engines that were removed some seconds ago. State that they reported is kept by
 * incarnation, in case they are announced again. */
void wb_fleet_sweep(wb_fleet_t *fleet, int64_t now_ms);

wb_engine_t *wb_engine_ref(wb_engine_t *engine);
void wb_engine_unref(wb_engine_t *engine);

/**
 * Apply a placement update of the controller. It overrides announcements for `valid_ms`, or until
 * an announcement arrives `row_after_ms` or more from now, which reflects the change already.
 * @param adapter "" for the model itself
 */
void wb_engine_apply_placement(wb_engine_t *engine, const char *model, const char *adapter,
                               gboolean held, int64_t now_ms, int64_t row_after_ms,
                               int64_t valid_ms);
/** @return a set of MODEL/ADAPTER (MODEL/ for a model itself) that the engine holds according to
 * its announcement and the placement updates; free it with g_hash_table_unref */
GHashTable *wb_engine_held_models(const wb_engine_t *engine, int64_t now_ms);
/** @return TRUE if placement updates are kept for the engine, expired ones included */
gboolean wb_engine_has_placement_updates(const wb_engine_t *engine);
/** @return TRUE if both states list the same models and adapters */
gboolean wb_engine_state_holds_same(const wb_engine_state_t *left, const wb_engine_state_t *right);
/** @return TRUE if the engine holds the model, and the adapter unless it is "" or NULL */
gboolean wb_engine_holds(const wb_engine_t *engine, const char *model, const char *adapter,
                         int64_t now_ms);

#endif
