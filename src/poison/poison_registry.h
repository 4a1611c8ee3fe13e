/**
 * @file poison_registry.h
 * @brief Which requests crash the engines that run them.
 *
 * A poison request (elsewhere: query of death) ends each engine that begins to run it, and all that
 * runs there with it. It comes again, at any node, so what one node saw must be known to all, and
 * outlive that node. A book keeps for each request, by its digest, the engines that ended while
 * they had it. Whatever else ran there looks as guilty at first, so a request is refused only once
 * WB_POISON_ENGINES engines have ended under it with no good end of it in between: an engine that
 * answered it whole forgives all that is held against it.
 *
 * Each node has a book. Books are merged by union: engines of a request are a set, and so are those
 * that were forgiven. So it doesn't matter in which order, how often and by whom nodes are told.
 *
 * Bounds: WB_POISON_ENTRIES requests; the ones with the fewest engines give way, of those the
 * oldest. What is held against a request is forgotten `kept_ms` after its last crash; a
 * refused one is let through then, until one more crash refuses it again. Long before, one node
 * tries it: a bystander that was taken for poison, being refused, could never end well.
 *
 * Pure: the time is passed in. What it doesn't do: finding out which engines ended, and sending.
 */
#ifndef WICKBRIDGE_POISON_REGISTRY_H
#define WICKBRIDGE_POISON_REGISTRY_H

#include "poison/request_digest.h"

#include "wickbridge/list.h"

#include <stdint.h>

/** Engines that must have ended under a request before it is refused. With two, a request that two
 * engines' own crashes broke off would be refused; with more, each poison request ends more. */
#define WB_POISON_ENGINES 3
/** Requests are told to other nodes from so many engines on: with one, each crash of an engine
 * would be told of all that ran there, and only a repeat matters to others. */
#define WB_POISON_SYNC_ENGINES 2
/** Engines kept of a request; more say nothing new. */
#define WB_POISON_ENGINES_KEPT 8
/** Requests in a book: two engines full of bystanders (64 places each) beside those that matter. */
#define WB_POISON_ENTRIES 128
/** Ten minutes: an engine's crash costs its callers seconds, so one each ten minutes is borne to
 * find out whether the request still crashes engines. */
#define WB_POISON_RETENTION_MS (10 * 60 * 1000)
/** One node tries a refused request so long after its last crash, after so many times that the next
 * time, and so on. A minute is what a bystander pays for being taken for poison; poison crashes one
 * engine more a minute after it became known, then one in four minutes, in sixteen. */
#define WB_POISON_TRIAL_MS (60 * 1000)
#define WB_POISON_TRIAL_FACTOR 4
/** Two refused requests that share most of their engines: one is likely a bystander, and may be
 * what many ask for. It is worth an engine to find out soon. */
#define WB_POISON_OVERLAP_TRIAL_MS (5 * 1000)
/** Trials are so far apart that the engine of one isn't crashed by the next: a load and a run. */
#define WB_POISON_TRIAL_SPACING_MS (2 * 1000)

/** A request under which engines ended. */
typedef struct wb_poison_entry_t {
    wb_list_item_t item; /**< private: its place in the book */
    wb_request_digest_t digest;
    uint32_t body_bytes;                      /**< its body's length, to tell most others by */
    uint64_t engines[WB_POISON_ENGINES_KEPT]; /**< that ended under it: hashes of their ids */
    guint engine_count;                       /**< of engines */
    guint forgiven;                           /**< one bit for each engine */
    int64_t until_ms;                         /**< steady time until which it is kept */
    uint64_t changed;                         /**< the book's version of its last change */
    int64_t asked_ms; /**< private: steady time at which a trial was first asked for; 0: never */
    int64_t tried_ms; /**< private: of the last trial */
    guint trials;     /**< private */
} wb_poison_entry_t;

/** What is held against a request. */
typedef enum wb_poison_state_t {
    WB_POISON_NONE,
    WB_POISON_SUSPECT, /**< fewer engines than it takes; it is served */
    WB_POISON_REFUSED
} wb_poison_state_t;

typedef struct wb_poison_registry_t wb_poison_registry_t;

/** Zero values are the usual ones. */
typedef struct wb_poison_options_t {
    int64_t kept_ms;  /**< 0: WB_POISON_RETENTION_MS */
    int64_t trial_ms; /**< 0: WB_POISON_TRIAL_MS */
} wb_poison_options_t;

wb_poison_registry_t *wb_poison_registry_create(const wb_poison_options_t *options);
void wb_poison_registry_free(wb_poison_registry_t *book);

/** @return what stands for an engine in books; the same at every node */
uint64_t wb_poison_engine_hash(const char *engine_id);

/** An engine ended while it had a request. @return TRUE when that wasn't known */
gboolean wb_poison_registry_add_crash(wb_poison_registry_t *book, const wb_request_digest_t *digest,
                             uint32_t body_bytes, uint64_t engine, int64_t now_ms);
/** An engine ran a request to a good end. @return TRUE when something was held against it */
gboolean wb_poison_registry_clear_crashes(wb_poison_registry_t *book, const wb_request_digest_t *digest);
/** Take what another node knows of a request. @return TRUE when something of it wasn't known */
gboolean wb_poison_registry_merge(wb_poison_registry_t *book, const wb_poison_entry_t *entry);

/** @return TRUE when something is held against a request with a body of this length: only then its
 * digest need be known */
gboolean wb_poison_registry_has_length(const wb_poison_registry_t *book, uint32_t body_bytes);
/** @return the request's entry, or NULL; valid until the book changes */
const wb_poison_entry_t *wb_poison_registry_find(const wb_poison_registry_t *book,
                                             const wb_request_digest_t *digest);
/** @return engines that are held against a request */
guint wb_poison_entry_engines(const wb_poison_entry_t *entry);
/** @return a request's state; NULL: it has no entry */
wb_poison_state_t wb_poison_entry_state(const wb_poison_entry_t *entry);
/** @return all entries, of wb_poison_entry_t by its `item`; owned by the book */
const wb_list_t *wb_poison_registry_entries(const wb_poison_registry_t *book);
/** @return how many requests are in a state */
unsigned wb_poison_registry_count(const wb_poison_registry_t *book, wb_poison_state_t state);
/** @return a number that grows with each change */
uint64_t wb_poison_registry_version(const wb_poison_registry_t *book);

/** The one node that tries refused requests asks for a request that has come. @return TRUE: send it
 * to an engine, once */
gboolean wb_poison_registry_take_trial(wb_poison_registry_t *book, const wb_request_digest_t *digest,
                                   int64_t now_ms);
/** Forget what is too old, and let refused requests through once when their time is over. */
void wb_poison_registry_sweep(wb_poison_registry_t *book, int64_t now_ms);

#endif
