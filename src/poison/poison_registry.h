/**
 * @file poison_registry.h
 * @brief Registry of requests that crash the engines that run them.
 *
 * A poison request (also: query of death) crashes each engine that runs it, and with it all other
 * requests there. Clients send it again, to any node, so what one node observes must reach all and
 * outlive that node. The registry stores for each request, by its digest, the engines that crashed
 * while running it. Other requests on those engines look the same at first, so a request is refused
 * only after WB_POISON_ENGINES different engines have crashed under it. A complete successful
 * response in between clears all recorded crashes.
 *
 * Each node has a registry. Registries merge by union: the crashed engines of a request form a
 * set, and so do the cleared ones. So it doesn't matter in which order, how often and by which node
 * updates are sent.
 *
 * Bounds: WB_POISON_ENTRIES requests; the one with the fewest engines is evicted, of several such
 * the first to expire. The crashes of a request expire `retention_ms` after the last one; a refused
 * request is then admitted again until one more crash. Long before, one node runs it as a trial: a
 * refused request that is in fact harmless could otherwise never be cleared by a complete response.
 *
 * Times are monotonic and in milliseconds. Pure: the time is passed in. No errors. Crash detection
 * and messages are handled elsewhere.
 */
#ifndef WICKBRIDGE_POISON_REGISTRY_H
#define WICKBRIDGE_POISON_REGISTRY_H

#include "poison/request_digest.h"

#include "wickbridge/list.h"

#include <stdint.h>

/** Min number of crashed engines for which a request is refused. With a lower one, two unrelated
 * crashes would refuse a harmless request; with a higher one, each poison request crashes more
 * engines. */
#define WB_POISON_ENGINES 3
/** Min number of crashed engines for which an entry is sent to all nodes. With one, each crash
 * would send all requests that ran on the engine, and only a repetition concerns other nodes. */
#define WB_POISON_SYNC_ENGINES 2
/** Max engines stored for a request. */
#define WB_POISON_ENGINES_KEPT 8
/** So many engines that crash within WB_POISON_MOMENT_MS were probably lost for another reason than
 * what they ran. */
#define WB_POISON_LOSS_ENGINES 3
#define WB_POISON_MOMENT_MS 50 /* nodes learn of a crash at different times */
/** Stands for no engine: cleared in an entry, it says that a request was completed. */
#define WB_POISON_NO_ENGINE 0
/** Max requests in a registry: those of two crashed engines with all slots in use. */
#define WB_POISON_ENTRIES 128
/** Default retention of crashes. After it the request runs again, which costs an engine if it still
 * crashes them. */
#define WB_POISON_RETENTION_MS (10 * 60 * 1000)
/** Default time from the last crash to the first trial of a refused request. Each further trial
 * waits WB_POISON_TRIAL_FACTOR times as long. */
#define WB_POISON_TRIAL_MS (60 * 1000)
#define WB_POISON_TRIAL_FACTOR 4
/** Shorter time to the first trial of a request that shares most of its engines with another
 * refused one: one of the two is probably harmless, and possibly a frequent request. */
#define WB_POISON_OVERLAP_TRIAL_MS (5 * 1000)
/** Min time between trials, so that the next one doesn't crash the engine that still runs the last
 * one. */
#define WB_POISON_TRIAL_SPACING_MS (2 * 1000)

/** A request under which engines crashed. */
typedef struct wb_poison_entry_t {
    wb_list_item_t item; /**< private: in the registry's list */
    wb_request_digest_t digest;
    uint32_t body_bytes;                      /**< body length: most requests are ruled out by it */
    uint64_t engines[WB_POISON_ENGINES_KEPT]; /**< that crashed, by wb_poison_engine_hash */
    int64_t moment_ms;                        /**< private: when engines crashed last */
    guint moment_engines;                     /**< private: how many did so at that moment */
    gboolean is_loss;   /**< WB_POISON_LOSS_ENGINES did so at one moment, at any node */
    guint engine_count; /**< of engines */
    guint forgiven;     /**< bit i: engines[i] is cleared */
    gboolean completed; /**< a request was completed, at any node */
    guint noted_trials; /**< trials at any node (wb_poison_registry_note_trial) */
    int64_t until_ms;   /**< expiry */
    int64_t since_ms;   /**< since when it has crashes that aren't cleared; 0: it has none */
    int64_t crashed_ms; /**< time of the last crash, as far as is known */
    uint64_t changed;   /**< registry version of the last change */
    int64_t asked_ms;   /**< private: when a trial was first asked for; 0: never */
    int64_t tried_ms;   /**< private: time of the last trial */
    guint trials;       /**< private: number of trials, up to a bound */
} wb_poison_entry_t;

/** State of a request by its uncleared crashes. */
typedef enum wb_poison_state_t {
    WB_POISON_NONE,
    WB_POISON_SUSPECT, /**< fewer than WB_POISON_ENGINES; it is served */
    WB_POISON_REFUSED
} wb_poison_state_t;

typedef struct wb_poison_registry_t wb_poison_registry_t;

typedef struct wb_poison_options_t {
    int64_t retention_ms; /**< 0: WB_POISON_RETENTION_MS */
    int64_t trial_ms;     /**< 0: WB_POISON_TRIAL_MS */
    guint entries_max;    /**< 0: WB_POISON_ENTRIES */
    guint engines; /**< crashed engines for which an entry is refused; 0: WB_POISON_ENGINES */
} wb_poison_options_t;

wb_poison_registry_t *wb_poison_registry_create(const wb_poison_options_t *options);
void wb_poison_registry_free(wb_poison_registry_t *registry);

/** @return the identity of an engine in registries; the same on every node */
uint64_t wb_poison_engine_hash(const char *engine_id);

/** Record that an engine crashed while it ran a request. @return TRUE when that is new */
gboolean wb_poison_registry_add_crash(wb_poison_registry_t *registry,
                                      const wb_request_digest_t *digest, uint32_t body_bytes,
                                      uint64_t engine, int64_t now_ms);
/** An engine has run a request to its end: clear its crashes. @return TRUE when it had any */
gboolean wb_poison_registry_clear_crashes(wb_poison_registry_t *registry,
                                          const wb_request_digest_t *digest);
/** Note in an entry that a request was completed, though that clears none of its crashes. Other
 * nodes learn of it. @return TRUE when there is an entry and that is new */
gboolean wb_poison_registry_note_completed(wb_poison_registry_t *registry,
                                           const wb_request_digest_t *digest);
/** Note a trial in an entry. Other nodes learn of it. */
void wb_poison_registry_note_trial(wb_poison_registry_t *registry,
                                   const wb_request_digest_t *digest, int64_t now_ms);
/** Clear those crashes of an entry that another one has, too. */
void wb_poison_registry_clear_common(wb_poison_registry_t *registry,
                                     const wb_request_digest_t *digest,
                                     const wb_request_digest_t *other);
/** Keep an entry that is still asked for. Other nodes learn of it by its change.
 * @return TRUE when it would have expired soon */
gboolean wb_poison_registry_renew(wb_poison_registry_t *registry, const wb_request_digest_t *digest,
                                  int64_t now_ms);
/** Merge another node's entry. @return TRUE when it held anything new */
gboolean wb_poison_registry_merge(wb_poison_registry_t *registry, const wb_poison_entry_t *entry);

/** @return TRUE when a request with a body of this length has an entry; else its digest needn't be
 * computed */
gboolean wb_poison_registry_has_length(const wb_poison_registry_t *registry, uint32_t body_bytes);
/** @return the request's entry, or NULL; valid until the registry changes */
const wb_poison_entry_t *wb_poison_registry_find(const wb_poison_registry_t *registry,
                                                 const wb_request_digest_t *digest);
/** @return number of crashed engines that aren't cleared */
guint wb_poison_entry_engines(const wb_poison_entry_t *entry);
/** @return TRUE when the engine crashed under the entry, and that isn't cleared */
gboolean wb_poison_entry_has_crash(const wb_poison_entry_t *entry, uint64_t engine);
/** @return number of engines that crashed under both and aren't cleared */
guint wb_poison_entry_common_engines(const wb_poison_entry_t *left, const wb_poison_entry_t *right);
/** @param entry NULL: WB_POISON_NONE */
wb_poison_state_t wb_poison_entry_state(const wb_poison_entry_t *entry);
/** @return all entries, linked by `item`; owned by the registry */
const wb_list_t *wb_poison_registry_entries(const wb_poison_registry_t *registry);
/** @return number of requests in a state */
unsigned wb_poison_registry_count(const wb_poison_registry_t *registry, wb_poison_state_t state);
/** @return a number that grows with each change */
uint64_t wb_poison_registry_version(const wb_poison_registry_t *registry);

/**
 * Ask whether to run a refused request that has arrived as a trial. Only the one node that runs
 * trials may call this.
 * @return TRUE: send the request to an engine, once
 */
gboolean wb_poison_registry_take_trial(wb_poison_registry_t *registry,
                                       const wb_request_digest_t *digest, int64_t now_ms);
/** Drop expired entries. An expired refused request is kept as a suspect, one crash short of
 * refusal. */
void wb_poison_registry_sweep(wb_poison_registry_t *registry, int64_t now_ms);

#endif
