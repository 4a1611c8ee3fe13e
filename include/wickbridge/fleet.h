/**
 * @file fleet.h
 * @brief Engines as a gateway knows them: what they announce, what the controller says, what
 * answers showed.
 *
 * Threads: everything here belongs on the loop's thread.
 */
#ifndef WICKBRIDGE_FLEET_H
#define WICKBRIDGE_FLEET_H

#include "wickbridge/cold_engine_share.h"
#include "wickbridge/engine_limit.h"
#include "wickbridge/engine_pace.h"
#include "wickbridge/list.h"
#include "wickbridge/loop.h"

#include <glib.h>
#include <stdint.h>

/** A model on an engine. */
typedef struct wb_engine_model_t {
    char *name;
    int64_t version;
    GHashTable *adapters; /**< set of names */
} wb_engine_model_t;

/** What an engine announces of itself. */
typedef struct wb_engine_state_t {
    char *id;
    int64_t born_ms; /**< when the engine started, in Unix ms by its own clock, which may be wrong:
                        compared only with that of the same id. 0: not told */
    char *incarnation; /**< names one start of one engine: ID@BORN, or ID where no start is told */
    char *service;
    char *address;
    char *zone;
    int slots;
    gboolean leaving;
    int64_t remaining_ms;  /**< time until it is gone; -1: not told */
    int64_t cold_ms;       /**< time for which it bears few requests yet; 0: it is warm */
    GHashTable *models;    /**< name -> wb_engine_model_t */
    GHashTable *in_memory; /**< set of models with copies of their weights in memory */
    GHashTable *on_disk;   /**< set of models with copies of their weights on disk */
    GHashTable *arriving;  /**< set of MODEL/ADAPTER that were ordered and not yet reported */
    /* Told only when the engine is asked for a report: */
    gboolean reported;
    gboolean busy;    /**< an order is under way */
    int64_t sequence; /**< orders taken */
    unsigned coming;  /**< adapters on their way */
} wb_engine_state_t;

wb_engine_state_t *wb_engine_state_create(const char *id);
/** Set when the engine started. @param born_ms as in wb_engine_state_t */
void wb_engine_state_set_born(wb_engine_state_t *state, int64_t born_ms);
void wb_engine_state_free(wb_engine_state_t *state);
wb_engine_model_t *wb_engine_state_add_model(wb_engine_state_t *state, const char *name,
                                             int64_t version);

/** An engine, kept while it is announced or requests run on it. */
typedef struct wb_engine_t {
    int references;
    wb_engine_state_t *state;
    gboolean gone;            /**< no longer announced */
    int64_t draining_since_ms;       /**< steady time since which it is leaving or gone; 0: it isn't */
    gboolean drain_reported;    /**< it told so in an answer, which no row of the same start undoes */
    int64_t grace_until_ms;     /**< steady time until which it may still get work if it is gone, or
                                 leaves by an answer alone */
    int64_t evacuated_from_ms;   /**< steady time from which it gets nothing new, as its zone is being
                                 evacuated; 0: it isn't */
    int64_t cold_until_ms;    /**< steady time until which it bears few requests; 0: it is warm */
    wb_send_limiter_t cold_limiter; /**< what this node sent there while it was cold */
    unsigned cold_share;      /**< requests a second that this node may send there meanwhile */
    int64_t cold_share_updated_ms;   /**< when that was worked out; 0: never */
    GHashTable *overlay;      /**< MODEL/ADAPTER -> private; the controller's news */
    /* What this node sees of it: */
    unsigned running;           /**< this node's requests on it */
    int64_t prefill_tokens;     /**< prompt tokens sent by this node and not yet answered */
    unsigned reported_running;  /**< running, by its last answer */
    unsigned reported_waiting;  /**< waiting, by its last answer */
    int64_t reported_ms;        /**< when; 0: never */
    wb_engine_pace_t pace;      /**< how long work takes there */
    unsigned pace_min_percent;        /**< least percent told since the last report; 0: none */
    double tokens_sent;         /**< prompt tokens sent there since the last report */
    double total_tokens_per_s; /**< prompt tokens that all nodes send there */
    double total_backlog_ms;   /**< time in which it has read them, as of shared_received_ms */
    int64_t shared_received_ms;
    unsigned failures;         /**< in a row */
    int64_t avoid_until_ms;    /**< it failed: used only when there is no other */
    int64_t unheard_since_ms;  /**< when the first request was sent after its last byte; 0: it owes
                                  nothing */
    int64_t rejected_until_ms; /**< it turned a request away: full for the moment */
    wb_engine_limit_t limit;   /**< what it takes from all nodes together */
    wb_share_rank_t place;    /**< this node among them */
    int64_t limit_share_updated_ms;         /**< when that was worked out; 0: never */
    wb_list_item_t state_updates; /**< on a list while others should be told what it told */
    int64_t state_sent_ms;     /**< when they were told last; 0: never */
    int64_t backoff_until_ms;     /**< steady time until which it wants no request of this node */
    wb_list_t idle;            /**< kept connections; see attempt.c */
    GHashTable *prefixes;      /**< parts of prompts it has read for this node -> time */
} wb_engine_t;

typedef struct wb_fleet_t wb_fleet_t;

wb_fleet_t *wb_fleet_create(void);
/**
 * Take an engine's announcement; the state is owned by the fleet from now on.
 *
 * An engine that has started again under its id is another one: what was known of the earlier start
 * stays with that, which counts as gone, and nothing of it is believed of the new one.
 * @return the engine; NULL when a later start of it is known already: then nothing changes
 */
wb_engine_t *wb_fleet_announce(wb_fleet_t *fleet, wb_engine_state_t *state);
/** @return TRUE when an announcement is of a later start of an engine than `known` */
gboolean wb_engine_state_is_later(const wb_engine_state_t *known, const wb_engine_state_t *state);
/**
 * The engine is no longer announced.
 * @param grace_until_ms steady time until which it may still get work, if no other can; it counts
 * only for an engine that hadn't said that it leaves
 */
void wb_fleet_remove(wb_fleet_t *fleet, const char *id, int64_t grace_until_ms);

/**
 * Tell until when an engine whose announcement has gone may still get work. It went at some time
 * since the table was known to have it, and that is when its drain began. After a gap longer than a
 * drain the store was away: then announcements lapse of engines that live, and come back.
 * @param known_ms steady time as of which the table was known before
 */
int64_t wb_fleet_grace_until_ms(int64_t known_ms, int64_t drain_ms, int64_t now_ms);

/**
 * An answer of the engine, to this node or another, has told that it leaves: that holds for its
 * start. It may get work for half of the drain's time, if no other engine can.
 * @return FALSE when that was known
 */
gboolean wb_engine_set_draining(wb_engine_t *engine, int64_t drain_ms, int64_t now_ms);
/** @return TRUE when it may get work: it stays, or is gone and its time isn't over */
gboolean wb_engine_is_usable(const wb_engine_t *engine, int64_t now_ms);
/** @return TRUE when it can be counted on: it doesn't leave, nor does its zone */
gboolean wb_engine_is_available(const wb_engine_t *engine);
/** @return an engine that is announced, or NULL */
wb_engine_t *wb_fleet_find(const wb_fleet_t *fleet, const char *id);
/** @return engines of a service, those that are gone for a short while too; owned by the fleet, or
 * NULL */
const GPtrArray *wb_fleet_service(const wb_fleet_t *fleet, const char *service);
/** @return all engines that are announced: id -> wb_engine_t; owned by the fleet */
GHashTable *wb_fleet_all(const wb_fleet_t *fleet);
/** @return a hash of which engines are announced, which of them announce that they leave, and which
 * models each holds; two nodes with the same hash know the same */
uint64_t wb_fleet_digest(const wb_fleet_t *fleet, int64_t now_ms);
/** @return TRUE when some engine of the service that stays holds the model, and the adapter if one
 * is named ("": none) */
gboolean wb_fleet_holds(const wb_fleet_t *fleet, const char *service, const char *model,
                        const char *adapter, int64_t now_ms);
/**
 * A zone is being evacuated.
 * @param from_ms steady time from which its engines get nothing new, those that come later too;
 * until then they get what no other engine can take
 * @return engines of that zone
 */
unsigned wb_fleet_evacuate_zone(wb_fleet_t *fleet, const char *zone, int64_t from_ms);
/** That is taken back. @return engines of that zone */
unsigned wb_fleet_end_evacuation(wb_fleet_t *fleet, const char *zone);
gboolean wb_fleet_zone_is_evacuated(const wb_fleet_t *fleet, const char *zone);
/** @return zones that are being evacuated */
unsigned wb_fleet_evacuated_zones(const wb_fleet_t *fleet);
/** Forget engines that have been gone for some time. */
void wb_fleet_sweep(wb_fleet_t *fleet, int64_t now_ms);

wb_engine_t *wb_engine_ref(wb_engine_t *engine);
void wb_engine_unref(wb_engine_t *engine);

/**
 * The controller's news, which go before announcements for `valid_ms`, or until an announcement is
 * taken `row_after_ms` later: that one was made after what the news tell of.
 * @param adapter "" for the model itself
 */
void wb_engine_apply_placement(wb_engine_t *engine, const char *model, const char *adapter, gboolean held,
                    int64_t now_ms, int64_t row_after_ms, int64_t valid_ms);
/** @return a set of MODEL/ADAPTER (MODEL/ for a model itself) that the engine holds, by its
 * announcement and by the controller's news; to be freed with g_hash_table_unref */
GHashTable *wb_engine_held_models(const wb_engine_t *engine, int64_t now_ms);
/** @return TRUE when news of the engine still go before its announcement */
gboolean wb_engine_has_placement_updates(const wb_engine_t *engine);
/** @return TRUE when two announcements tell of the same models and adapters */
gboolean wb_engine_state_holds_same(const wb_engine_state_t *left, const wb_engine_state_t *right);
/** @return TRUE when the engine holds the model, and the adapter if one is named ("" or NULL: none)
 */
gboolean wb_engine_holds(const wb_engine_t *engine, const char *model, const char *adapter,
                         int64_t now_ms);

#endif
