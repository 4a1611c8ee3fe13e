/**
 * @file part_registry.h
 * @brief Registry of parts of prompts that crash the engines that run requests with them.
 *
 * A prompt consists of parts that clients name, and requests share them: instructions, a document.
 * A part may crash each engine that begins to answer a request with it, whatever else the request
 * holds. No two such requests need be alike, so the registry of requests (poison_registry.h)
 * doesn't recognize them.
 *
 * When an engine crashes, each part of the requests that it ran is suspected. Most are harmless:
 * they are in other requests that engines run to their end, which clears their crashes. What is
 * left is judged like a group test:
 *
 * - A part is refused when WB_PART_ENGINES engines have crashed under it with no completed request
 *   in between, and for at least WB_PART_CONFIRM_MS, so that the loss of many engines at once
 *   refuses nothing.
 * - It isn't refused while its crashes are explained otherwise: all but one of these engines ran a
 *   part with more crashes, or with as many and an older last completion, or the same request
 *   again and again; or, if it was completed lately, parts that weren't and have several crashes.
 *
 * A prompt's last part is the request's own and is never recorded. A part is known by its id alone,
 * whatever its place, model, tenant or service: engines of all of them crash under it, and with
 * narrower keys each would have to lose as many engines.
 *
 * Crashes are kept in a registry of their own (wb_part_registry_crashes), whose entries nodes merge
 * as those of requests. Of completions only what they clear is sent to other nodes, and in an entry
 * that there was one.
 *
 * Trials: a refused part is tried `trial_ms` after its last crash, then after WB_PART_TRIAL_FACTOR
 * times as long, and so on, WB_PART_TRIALS_MAX times; after WB_PART_EARLY_TRIAL_MS each time if it
 * may be harmless: it was completed lately, or engines under it crashed at one moment. While
 * engines are found to end, a trial waits, up to a time, as it may end with its engine. Trials are
 * noted in the entry, so all nodes count them. Only a part whose trials have ended stays refused as
 * long as it is asked for.
 *
 * Times are monotonic and in milliseconds. Pure: the time is passed in. No errors.
 */
#ifndef WICKBRIDGE_PART_REGISTRY_H
#define WICKBRIDGE_PART_REGISTRY_H

#include "poison/poison_registry.h"

/** Crashed engines for which a part is refused. */
#define WB_PART_ENGINES 4
/** Crashed engines from which requests with the part aren't sent again by themselves. */
#define WB_PART_SUSPECT_ENGINES 2
/** Crashed engines from which parts are refused that nothing tells apart. */
#define WB_PART_TIE_ENGINES 5
/** Time from the first crash to a refusal: engines that are lost together crash within it, and
 * frequent parts are completed elsewhere. */
#define WB_PART_CONFIRM_MS 500
/** Time from the last crash to a trial of a part that may be harmless, and that many requests may
 * share. */
#define WB_PART_EARLY_TRIAL_MS (3 * 1000)
#define WB_PART_TRIAL_FACTOR 2
/** Time from the last crash for which a trial waits until no engine ends. */
#define WB_PART_CALM_WAIT_MS (8 * 1000)
/** Time after which a trial that completes has cleared the part at all nodes. */
#define WB_PART_TRIAL_LASTS_MS 2000
/** Min time between trials of a part: a crash may be found out as late as that. */
#define WB_PART_TRIAL_SPACING_MS (5 * 1000)
/** Trials of a part: each may cost an engine. */
#define WB_PART_TRIALS_MAX 2
/** Crashed engines from which a part isn't tried, unless engines were lost together. */
#define WB_PART_TRIAL_ENGINES_MAX 7
/** Max parts in a registry. */
#define WB_PART_ENTRIES 256
/** Max parts of a prompt that are recorded: the first and the last half of them. */
#define WB_PARTS_MAX 12
/** Body length in entries of parts, which no request has: nodes that know only requests keep these
 * entries, send them on and never apply them. */
#define WB_PART_BODY_BYTES G_MAXUINT32

typedef struct wb_part_registry_t wb_part_registry_t;

/**
 * @param options  only retention_ms and trial_ms are read
 * @param requests crashes of requests; must outlive the registry
 */
wb_part_registry_t *wb_part_registry_create(const wb_poison_options_t *options,
                                            const wb_poison_registry_t *requests);
void wb_part_registry_free(wb_part_registry_t *registry);

/** @return the key of a part; the same on every node */
wb_request_digest_t wb_part_key(const char *id);

/** Record that an engine crashed while it ran a request with this part.
 * @param aborted_ms when it broke the request off
 * @return TRUE when that is new and no request with the part was completed since */
gboolean wb_part_registry_add_crash(wb_part_registry_t *registry, const wb_request_digest_t *key,
                                    uint64_t engine, int64_t aborted_ms);
/** An engine has run a request with the part to its end. @return TRUE when that clears crashes */
gboolean wb_part_registry_note_completed(wb_part_registry_t *registry,
                                         const wb_request_digest_t *key, int64_t now_ms);
/** Result of a merge. */
typedef enum wb_part_merge_t {
    WB_PART_MERGE_NOTHING, /**< it held nothing new */
    WB_PART_MERGE_CHANGED,
    WB_PART_MERGE_ADDED /**< requests with the part were completed here, which the entry now says */
} wb_part_merge_t;
/** Merge another node's entry. */
wb_part_merge_t wb_part_registry_merge(wb_part_registry_t *registry, const wb_poison_entry_t *entry,
                                       int64_t now_ms);

/** @return the state of a part; WB_POISON_SUSPECT: no request with it should be sent again by
 * itself
 */
wb_poison_state_t wb_part_registry_state(const wb_part_registry_t *registry,
                                         const wb_request_digest_t *key, int64_t now_ms);
/** @return number of refused parts */
unsigned wb_part_registry_refused_count(const wb_part_registry_t *registry, int64_t now_ms);
/** Look which parts are refused now: that changes without a change of their entries when time
 * passes, or what explained their crashes is cleared.
 * @return TRUE when one is that wasn't at the last call */
gboolean wb_part_registry_update_refused(wb_part_registry_t *registry, int64_t now_ms);
/** Ask whether to send a request as a trial of the parts of its prompt that are refused: each must
 * be due for one. If it completes, none of them crashes engines. Only the one node that runs trials
 * may call this.
 * @param keys of its parts @return TRUE: send it, once */
gboolean wb_part_registry_take_trial(wb_part_registry_t *registry, const wb_request_digest_t *keys,
                                     guint count, int64_t now_ms);
/** An engine was found to have ended, whatever it ran. */
void wb_part_registry_note_engine_lost(wb_part_registry_t *registry, int64_t now_ms);
/** @return until when requests with a refused part are refused as far as is known: a trial may
 * clear it; now_ms: it isn't refused */
int64_t wb_part_registry_refused_until_ms(const wb_part_registry_t *registry,
                                          const wb_request_digest_t *key, int64_t now_ms);
/** A request with a refused part was refused: if its trials have ended, keep its entry while such
 * requests come.
 * @return TRUE when other nodes are to be told */
gboolean wb_part_registry_note_refused(wb_part_registry_t *registry, const wb_request_digest_t *key,
                                       int64_t now_ms);
/** Drop expired entries, as wb_poison_registry_sweep. */
void wb_part_registry_sweep(wb_part_registry_t *registry, int64_t now_ms);
/** @return the crashes, for messages, lists and operators */
wb_poison_registry_t *wb_part_registry_crashes(const wb_part_registry_t *registry);

#endif
