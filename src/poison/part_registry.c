/* Registry of parts of prompts that crash engines. */
#include "poison/part_registry.h"

#include "poison/served_set.h"

#include <string.h>
#include <xxhash.h>

struct wb_part_registry_t {
    const wb_poison_registry_t *requests;
    wb_poison_registry_t *crashes;
    wb_served_set_t *completed;
    GHashTable *refused; /* set of wb_request_digest_t, as of the last update */
    int64_t trial_ms;
    int64_t engine_lost_ms; /* when an engine was last found to have ended; 0: never */
};

G_STATIC_ASSERT(sizeof(XXH128_canonical_t) == WB_REQUEST_DIGEST_BYTES);

static GHashTable *digest_set_create(void) {
    return g_hash_table_new_full(wb_request_digest_hash, wb_request_digest_key_equal, g_free, NULL);
}

wb_part_registry_t *wb_part_registry_create(const wb_poison_options_t *options,
                                            const wb_poison_registry_t *requests) {
    wb_part_registry_t *registry = g_new0(wb_part_registry_t, 1);
    wb_poison_options_t crashes = {.retention_ms = options->retention_ms,
                                   .entries_max = WB_PART_ENTRIES,
                                   .engines = WB_PART_ENGINES};
    registry->crashes = wb_poison_registry_create(&crashes);
    registry->requests = requests;
    registry->completed = wb_served_set_create();
    registry->refused = digest_set_create();
    registry->trial_ms = options->trial_ms > 0 ? options->trial_ms : WB_POISON_TRIAL_MS;
    return registry;
}

void wb_part_registry_free(wb_part_registry_t *registry) {
    wb_poison_registry_free(registry->crashes);
    wb_served_set_free(registry->completed);
    g_hash_table_unref(registry->refused);
    g_free(registry);
}

wb_request_digest_t wb_part_key(const char *id) {
    XXH128_canonical_t canonical;
    wb_request_digest_t key;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(id, strlen(id)));
    memcpy(key.bytes, canonical.digest, sizeof(key.bytes));
    return key;
}

gboolean wb_part_registry_note_completed(wb_part_registry_t *registry,
                                         const wb_request_digest_t *key, int64_t now_ms) {
    wb_served_set_add(registry->completed, key, now_ms);
    return wb_poison_registry_clear_crashes(registry->crashes, key);
}

/* Whether requests with the part were completed here lately, or at any node that noted it, which a
 * process that has just started learns, too. */
static gboolean is_completed_lately(const wb_part_registry_t *registry,
                                    const wb_poison_entry_t *entry, int64_t now_ms) {
    return entry->completed || wb_served_set_has(registry->completed, &entry->digest, now_ms);
}

/* Whether the other part is more likely to be the cause of crashes that both have. */
static gboolean is_likelier(const wb_part_registry_t *registry, const wb_poison_entry_t *other,
                            const wb_poison_entry_t *entry, int64_t now_ms) {
    guint others = wb_poison_entry_engines(other);
    guint own = wb_poison_entry_engines(entry);
    gboolean own_completed = is_completed_lately(registry, entry, now_ms);
    gboolean others_completed = is_completed_lately(registry, other, now_ms);
    /* What all requests share has the crashes of several bad parts. */
    guint fewest =
        MAX(own, others) < WB_POISON_ENGINES_KEPT ? WB_PART_SUSPECT_ENGINES : WB_PART_ENGINES - 1;
    if (MIN(own, others) >= fewest && own_completed != others_completed) {
        return own_completed;
    }
    if (others != own) {
        return others > own;
    }
    return wb_served_set_last_ms(registry->completed, &other->digest) <
           wb_served_set_last_ms(registry->completed, &entry->digest);
}

/* Clears the crashes of a full entry that refused parts explain: else further ones, which they may
 * not explain, couldn't be recorded. */
static void room_make(wb_part_registry_t *registry, const wb_request_digest_t *key,
                      int64_t now_ms) {
    const wb_poison_entry_t *entry = wb_poison_registry_find(registry->crashes, key);
    if (entry == NULL || wb_poison_entry_engines(entry) < WB_POISON_ENGINES_KEPT) {
        return;
    }
    WB_LIST_EACH(item, wb_poison_registry_entries(registry->crashes)) {
        const wb_poison_entry_t *other = WB_LIST_OF(item, wb_poison_entry_t, item);
        if (other != entry && wb_poison_entry_engines(other) >= WB_PART_ENGINES &&
            is_likelier(registry, other, entry, now_ms)) {
            wb_poison_registry_clear_common(registry->crashes, key, &other->digest);
        }
    }
}

/* If a request with the part was completed here lately, its entry says so to other nodes. Returns
 * TRUE when that is new. */
static gboolean completion_note(wb_part_registry_t *registry, const wb_request_digest_t *key,
                                int64_t now_ms) {
    return wb_served_set_has(registry->completed, key, now_ms) &&
           wb_poison_registry_note_completed(registry->crashes, key);
}

gboolean wb_part_registry_add_crash(wb_part_registry_t *registry, const wb_request_digest_t *key,
                                    uint64_t engine, int64_t aborted_ms) {
    if (wb_served_set_last_ms(registry->completed, key) > aborted_ms) {
        return FALSE;
    }
    room_make(registry, key, aborted_ms);
    gboolean is_new = wb_poison_registry_add_crash(registry->crashes, key, WB_PART_BODY_BYTES,
                                                   engine, aborted_ms);
    completion_note(registry, key, aborted_ms);
    return is_new;
}

wb_part_merge_t wb_part_registry_merge(wb_part_registry_t *registry,
                                       const wb_poison_entry_t *received, int64_t now_ms) {
    room_make(registry, &received->digest, now_ms);
    if (!wb_poison_registry_merge(registry->crashes, received)) {
        return WB_PART_MERGE_NOTHING;
    }
    gboolean is_noted = completion_note(registry, &received->digest, now_ms);
    const wb_poison_entry_t *entry = wb_poison_registry_find(registry->crashes, &received->digest);
    gboolean completed_since =
        wb_served_set_last_ms(registry->completed, &received->digest) > entry->crashed_ms;
    gboolean is_cleared =
        completed_since && wb_poison_registry_clear_crashes(registry->crashes, &received->digest);
    return is_noted || is_cleared ? WB_PART_MERGE_ADDED : WB_PART_MERGE_CHANGED;
}

/* Whether the engine crashed under a request that has nearly as many crashes as the part. */
static gboolean has_request_crashed(const wb_part_registry_t *registry,
                                    const wb_poison_entry_t *entry, uint64_t engine) {
    WB_LIST_EACH(item, wb_poison_registry_entries(registry->requests)) {
        const wb_poison_entry_t *request = WB_LIST_OF(item, wb_poison_entry_t, item);
        if (wb_poison_entry_engines(request) >= WB_PART_SUSPECT_ENGINES &&
            wb_poison_entry_engines(request) + 1 >= wb_poison_entry_engines(entry) &&
            wb_poison_entry_has_crash(request, engine)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Whether the crash of an engine, which isn't cleared for this part, has a likelier cause. */
static gboolean engine_is_explained(const wb_part_registry_t *registry,
                                    const wb_poison_entry_t *entry, uint64_t engine,
                                    int64_t now_ms) {
    if (has_request_crashed(registry, entry, engine)) {
        return TRUE;
    }
    WB_LIST_EACH(item, wb_poison_registry_entries(registry->crashes)) {
        const wb_poison_entry_t *other = WB_LIST_OF(item, wb_poison_entry_t, item);
        if (other != entry && wb_poison_entry_has_crash(other, engine) &&
            is_likelier(registry, other, entry, now_ms)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Whether all crashes under a part but one have likelier causes; for one there may be no record. */
static gboolean is_explained(const wb_part_registry_t *registry, const wb_poison_entry_t *entry,
                             int64_t now_ms) {
    guint explained = 0;
    for (guint i = 0; i < entry->engine_count; i++) {
        explained += wb_poison_entry_has_crash(entry, entry->engines[i]) &&
                     engine_is_explained(registry, entry, entry->engines[i], now_ms);
    }
    return explained + 1 >= wb_poison_entry_engines(entry);
}

/* Whether another part has just the same crashes, and nothing tells which one is their cause. */
static gboolean is_tied(const wb_part_registry_t *registry, const wb_poison_entry_t *entry,
                        int64_t now_ms) {
    guint own = wb_poison_entry_engines(entry);
    WB_LIST_EACH(item, wb_poison_registry_entries(registry->crashes)) {
        const wb_poison_entry_t *other = WB_LIST_OF(item, wb_poison_entry_t, item);
        if (other != entry && wb_poison_entry_engines(other) == own &&
            wb_poison_entry_common_engines(entry, other) == own &&
            !is_likelier(registry, entry, other, now_ms)) {
            return TRUE;
        }
    }
    return FALSE;
}

static wb_poison_state_t entry_state(const wb_part_registry_t *registry,
                                     const wb_poison_entry_t *entry, int64_t now_ms) {
    guint engines = entry != NULL ? wb_poison_entry_engines(entry) : 0;
    if (engines < WB_PART_SUSPECT_ENGINES || is_explained(registry, entry, now_ms)) {
        return WB_POISON_NONE;
    }
    gboolean is_refused = engines >= WB_PART_ENGINES &&
                          now_ms - entry->since_ms >= WB_PART_CONFIRM_MS &&
                          (engines >= WB_PART_TIE_ENGINES || !is_tied(registry, entry, now_ms));
    return is_refused ? WB_POISON_REFUSED : WB_POISON_SUSPECT;
}

wb_poison_state_t wb_part_registry_state(const wb_part_registry_t *registry,
                                         const wb_request_digest_t *key, int64_t now_ms) {
    return entry_state(registry, wb_poison_registry_find(registry->crashes, key), now_ms);
}

unsigned wb_part_registry_refused_count(const wb_part_registry_t *registry, int64_t now_ms) {
    unsigned count = 0;
    WB_LIST_EACH(item, wb_poison_registry_entries(registry->crashes)) {
        const wb_poison_entry_t *entry = WB_LIST_OF(item, wb_poison_entry_t, item);
        count += entry_state(registry, entry, now_ms) == WB_POISON_REFUSED;
    }
    return count;
}

gboolean wb_part_registry_update_refused(wb_part_registry_t *registry, int64_t now_ms) {
    GHashTable *refused = digest_set_create();
    gboolean is_new = FALSE;
    WB_LIST_EACH(item, wb_poison_registry_entries(registry->crashes)) {
        const wb_poison_entry_t *entry = WB_LIST_OF(item, wb_poison_entry_t, item);
        if (entry_state(registry, entry, now_ms) == WB_POISON_REFUSED) {
            is_new |= !g_hash_table_contains(registry->refused, &entry->digest);
            g_hash_table_add(refused, g_memdup2(&entry->digest, sizeof(entry->digest)));
        }
    }
    g_hash_table_unref(registry->refused);
    registry->refused = refused;
    return is_new;
}

/* Whether the part may be what many requests share, and its engines were lost for another reason.
 */
static gboolean may_be_harmless(const wb_part_registry_t *registry, const wb_poison_entry_t *entry,
                                int64_t now_ms) {
    return entry->is_loss || is_completed_lately(registry, entry, now_ms);
}

/* Whether trials are left. Under a frequent part many engines crash before it is refused, so that
 * trials would cost one too many. */
static gboolean may_be_tried(const wb_part_registry_t *registry, const wb_poison_entry_t *entry,
                             int64_t now_ms) {
    return entry->noted_trials < WB_PART_TRIALS_MAX &&
           (wb_poison_entry_engines(entry) < WB_PART_TRIAL_ENGINES_MAX ||
            may_be_harmless(registry, entry, now_ms));
}

/* Returns the time from which a refused part may be tried; G_MAXINT64: it isn't tried any more.
 * While engines end, a trial may show nothing. */
static int64_t trial_from_ms(const wb_part_registry_t *registry, const wb_poison_entry_t *entry,
                             int64_t now_ms) {
    guint trials = entry->noted_trials;
    if (!may_be_tried(registry, entry, now_ms)) {
        return G_MAXINT64;
    }
    int64_t delay_ms = registry->trial_ms;
    for (guint i = 0; i < trials; i++) {
        delay_ms *= WB_PART_TRIAL_FACTOR;
    }
    if (may_be_harmless(registry, entry, now_ms)) {
        delay_ms = MIN(delay_ms, WB_PART_EARLY_TRIAL_MS);
    }
    int64_t calm_ms =
        MIN(registry->engine_lost_ms + MIN(registry->trial_ms, WB_PART_EARLY_TRIAL_MS),
            entry->crashed_ms + WB_PART_CALM_WAIT_MS);
    int64_t spaced_ms = entry->tried_ms != 0 ? entry->tried_ms + WB_PART_TRIAL_SPACING_MS : 0;
    return MAX(MAX(entry->crashed_ms + delay_ms, calm_ms), spaced_ms);
}

gboolean wb_part_registry_take_trial(wb_part_registry_t *registry, const wb_request_digest_t *keys,
                                     guint count, int64_t now_ms) {
    guint refused = 0;
    for (guint i = 0; i < count; i++) {
        const wb_poison_entry_t *entry = wb_poison_registry_find(registry->crashes, &keys[i]);
        if (entry_state(registry, entry, now_ms) != WB_POISON_REFUSED) {
            continue;
        }
        if (now_ms < trial_from_ms(registry, entry, now_ms)) {
            return FALSE;
        }
        refused++;
    }
    for (guint i = 0; refused > 0 && i < count; i++) {
        const wb_poison_entry_t *entry = wb_poison_registry_find(registry->crashes, &keys[i]);
        if (entry_state(registry, entry, now_ms) == WB_POISON_REFUSED) {
            wb_poison_registry_note_trial(registry->crashes, &keys[i], now_ms);
        }
    }
    return refused > 0;
}

void wb_part_registry_note_engine_lost(wb_part_registry_t *registry, int64_t now_ms) {
    registry->engine_lost_ms = now_ms;
}

int64_t wb_part_registry_refused_until_ms(const wb_part_registry_t *registry,
                                          const wb_request_digest_t *key, int64_t now_ms) {
    const wb_poison_entry_t *entry = wb_poison_registry_find(registry->crashes, key);
    if (entry_state(registry, entry, now_ms) != WB_POISON_REFUSED) {
        return now_ms;
    }
    int64_t trial_ms = trial_from_ms(registry, entry, now_ms);
    if (trial_ms == G_MAXINT64) {
        return entry->until_ms;
    }
    return MIN(entry->until_ms, MAX(trial_ms, now_ms) + WB_PART_TRIAL_LASTS_MS);
}

gboolean wb_part_registry_note_refused(wb_part_registry_t *registry, const wb_request_digest_t *key,
                                       int64_t now_ms) {
    const wb_poison_entry_t *entry = wb_poison_registry_find(registry->crashes, key);
    return entry != NULL && !may_be_tried(registry, entry, now_ms) &&
           wb_poison_registry_renew(registry->crashes, key, now_ms);
}

void wb_part_registry_sweep(wb_part_registry_t *registry, int64_t now_ms) {
    wb_poison_registry_sweep(registry->crashes, now_ms);
}

wb_poison_registry_t *wb_part_registry_crashes(const wb_part_registry_t *registry) {
    return registry->crashes;
}
