/* Registry of requests that crash engines. */
#include "poison/poison_registry.h"

#include <string.h>
#include <xxhash.h>

/* Trials up to which the delay between trials grows: 4^8 minutes are 45 days. */
#define TRIALS_MAX 8

/* An expiry that is later by this share of the retention was renewed, so others are told. */
#define RENEWAL_SHARE 4

struct wb_poison_registry_t {
    wb_poison_options_t options;
    wb_list_t entries; /* of wb_poison_entry_t, newest first */
    GHashTable *index; /* digest -> wb_poison_entry_t */
    uint64_t version;
    int64_t next_trial_ms;
};

wb_poison_registry_t *wb_poison_registry_create(const wb_poison_options_t *options) {
    wb_poison_registry_t *registry = g_new0(wb_poison_registry_t, 1);
    registry->options.retention_ms =
        options->retention_ms > 0 ? options->retention_ms : WB_POISON_RETENTION_MS;
    registry->options.trial_ms = options->trial_ms > 0 ? options->trial_ms : WB_POISON_TRIAL_MS;
    registry->options.entries_max =
        options->entries_max > 0 ? options->entries_max : WB_POISON_ENTRIES;
    registry->options.engines = options->engines > 0 ? options->engines : WB_POISON_ENGINES;
    wb_list_init(&registry->entries);
    registry->index = g_hash_table_new(wb_request_digest_hash, wb_request_digest_key_equal);
    registry->version = 1;
    return registry;
}

static wb_poison_entry_t *entry_of(const wb_list_item_t *item) {
    return WB_LIST_OF(item, wb_poison_entry_t, item);
}

static void entry_remove(wb_poison_registry_t *registry, wb_poison_entry_t *entry) {
    g_hash_table_remove(registry->index, &entry->digest);
    wb_list_remove(&registry->entries, &entry->item);
    g_free(entry);
}

void wb_poison_registry_free(wb_poison_registry_t *registry) {
    wb_list_item_t *item;
    while ((item = wb_list_pop(&registry->entries)) != NULL) {
        g_free(entry_of(item));
    }
    g_hash_table_unref(registry->index);
    g_free(registry);
}

uint64_t wb_poison_engine_hash(const char *engine_id) {
    return XXH64(engine_id, strlen(engine_id), 0);
}

guint wb_poison_entry_engines(const wb_poison_entry_t *entry) {
    guint count = 0;
    for (guint i = 0; i < entry->engine_count; i++) {
        count += (entry->forgiven & (1U << i)) == 0;
    }
    return count;
}

static void entry_mark_changed(wb_poison_registry_t *registry, wb_poison_entry_t *entry) {
    entry->changed = ++registry->version;
}

static wb_poison_entry_t *entry_find(const wb_poison_registry_t *registry,
                                     const wb_request_digest_t *digest) {
    return g_hash_table_lookup(registry->index, digest);
}

/* Returns the entry to evict: the one with the fewest engines, of those the first to expire. */
static wb_poison_entry_t *entry_evictable(const wb_poison_registry_t *registry) {
    wb_poison_entry_t *evictable = NULL;
    WB_LIST_EACH(item, &registry->entries) {
        wb_poison_entry_t *entry = entry_of(item);
        guint engines = wb_poison_entry_engines(entry);
        guint min_engines = evictable != NULL ? wb_poison_entry_engines(evictable) : G_MAXUINT;
        if (engines < min_engines ||
            (engines == min_engines && entry->until_ms < evictable->until_ms)) {
            evictable = entry;
        }
    }
    return evictable;
}

static wb_poison_entry_t *entry_add(wb_poison_registry_t *registry,
                                    const wb_request_digest_t *digest, uint32_t body_bytes) {
    if (registry->entries.len >= registry->options.entries_max) {
        entry_remove(registry, entry_evictable(registry));
    }
    wb_poison_entry_t *entry = g_new0(wb_poison_entry_t, 1);
    entry->digest = *digest;
    entry->body_bytes = body_bytes;
    wb_list_add_head(&registry->entries, &entry->item);
    g_hash_table_insert(registry->index, &entry->digest, entry);
    return entry;
}

/* Returns the engine's index, or engine_count when it isn't found. */
static guint engine_index(const wb_poison_entry_t *entry, uint64_t engine) {
    guint index = 0;
    while (index < entry->engine_count && entry->engines[index] != engine) {
        index++;
    }
    return index;
}

gboolean wb_poison_entry_has_crash(const wb_poison_entry_t *entry, uint64_t engine) {
    guint index = engine_index(entry, engine);
    return index < entry->engine_count && (entry->forgiven & (1U << index)) == 0;
}

/* Makes room for one more engine; in a full entry a cleared one is removed. Returns FALSE when
 * there is none. */
static gboolean engine_make_room(wb_poison_entry_t *entry) {
    if (entry->engine_count < WB_POISON_ENGINES_KEPT) {
        return TRUE;
    }
    for (guint i = 0; i < entry->engine_count; i++) {
        if ((entry->forgiven & (1U << i)) != 0) {
            guint last = --entry->engine_count;
            gboolean last_cleared = (entry->forgiven & (1U << last)) != 0;
            entry->engines[i] = entry->engines[last];
            entry->forgiven &= ~((1U << i) | (1U << last));
            entry->forgiven |= last_cleared && i != last ? 1U << i : 0;
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns TRUE when the engine is new, or newly cleared. */
static gboolean engine_add(wb_poison_entry_t *entry, uint64_t engine, gboolean cleared) {
    guint index = engine_index(entry, engine);
    if (index < entry->engine_count) {
        gboolean changed = cleared && (entry->forgiven & (1U << index)) == 0;
        entry->forgiven |= cleared ? 1U << index : 0;
        return changed;
    }
    /* A cleared engine doesn't replace another one. */
    if ((cleared && entry->engine_count == WB_POISON_ENGINES_KEPT) || !engine_make_room(entry)) {
        return FALSE;
    }
    index = entry->engine_count++;
    entry->engines[index] = engine;
    entry->forgiven |= cleared ? 1U << index : 0;
    return TRUE;
}

/* Adds an engine that crashed. Returns TRUE when that is new. @param crash_ms 0: unknown */
static gboolean crash_add(wb_poison_entry_t *entry, uint64_t engine, int64_t crash_ms) {
    if (!engine_add(entry, engine, FALSE)) {
        return FALSE;
    }
    if (crash_ms == 0 || ABS(crash_ms - entry->moment_ms) > WB_POISON_MOMENT_MS) {
        entry->moment_ms = crash_ms;
        entry->moment_engines = 0;
    }
    entry->is_loss |= ++entry->moment_engines >= WB_POISON_LOSS_ENGINES;
    return TRUE;
}

/* Its crashes have changed. */
static void since_update(wb_poison_entry_t *entry) {
    if (wb_poison_entry_engines(entry) == 0) {
        entry->since_ms = 0;
        entry->noted_trials = 0;
        entry->is_loss = FALSE;
    } else if (entry->since_ms == 0) {
        entry->since_ms = entry->crashed_ms;
    }
}

gboolean wb_poison_registry_add_crash(wb_poison_registry_t *registry,
                                      const wb_request_digest_t *digest, uint32_t body_bytes,
                                      uint64_t engine, int64_t now_ms) {
    wb_poison_entry_t *entry = entry_find(registry, digest);
    if (entry == NULL) {
        entry = entry_add(registry, digest, body_bytes);
    }
    if (!crash_add(entry, engine, now_ms)) {
        return FALSE;
    }
    entry->until_ms = now_ms + registry->options.retention_ms;
    entry->crashed_ms = MAX(entry->crashed_ms, now_ms);
    since_update(entry);
    entry_mark_changed(registry, entry);
    return TRUE;
}

void wb_poison_registry_note_trial(wb_poison_registry_t *registry,
                                   const wb_request_digest_t *digest, int64_t now_ms) {
    wb_poison_entry_t *entry = entry_find(registry, digest);
    if (entry != NULL) {
        entry->tried_ms = now_ms;
        entry->noted_trials++;
        entry_mark_changed(registry, entry);
    }
}

gboolean wb_poison_registry_clear_crashes(wb_poison_registry_t *registry,
                                          const wb_request_digest_t *digest) {
    wb_poison_entry_t *entry = entry_find(registry, digest);
    if (entry == NULL || wb_poison_entry_engines(entry) == 0) {
        return FALSE;
    }
    entry->forgiven = (1U << entry->engine_count) - 1;
    entry->completed = TRUE;
    since_update(entry);
    entry_mark_changed(registry, entry);
    return TRUE;
}

gboolean wb_poison_registry_note_completed(wb_poison_registry_t *registry,
                                           const wb_request_digest_t *digest) {
    wb_poison_entry_t *entry = entry_find(registry, digest);
    if (entry == NULL || entry->completed) {
        return FALSE;
    }
    entry->completed = TRUE;
    if (entry->forgiven == 0) {
        engine_add(entry, WB_POISON_NO_ENGINE, TRUE); /* all that earlier releases look at */
    }
    entry_mark_changed(registry, entry);
    return TRUE;
}

void wb_poison_registry_clear_common(wb_poison_registry_t *registry,
                                     const wb_request_digest_t *digest,
                                     const wb_request_digest_t *other) {
    wb_poison_entry_t *entry = entry_find(registry, digest);
    const wb_poison_entry_t *cause = entry_find(registry, other);
    guint cleared = 0;
    for (guint i = 0; entry != NULL && cause != NULL && i < entry->engine_count; i++) {
        if (wb_poison_entry_has_crash(entry, entry->engines[i]) &&
            wb_poison_entry_has_crash(cause, entry->engines[i])) {
            entry->forgiven |= 1U << i;
            cleared++;
        }
    }
    if (cleared > 0) {
        since_update(entry);
        entry_mark_changed(registry, entry);
    }
}

gboolean wb_poison_registry_renew(wb_poison_registry_t *registry, const wb_request_digest_t *digest,
                                  int64_t now_ms) {
    wb_poison_entry_t *entry = entry_find(registry, digest);
    if (entry == NULL || entry->until_ms - now_ms >= registry->options.retention_ms / 2) {
        return FALSE;
    }
    entry->until_ms = now_ms + registry->options.retention_ms;
    entry_mark_changed(registry, entry);
    return TRUE;
}

/* Returns when the one engine crashed that an entry has more than the own one; 0: there are more of
 * them, and only the time of the last is known. */
static int64_t news_crash_ms(const wb_poison_registry_t *registry, const wb_poison_entry_t *own,
                             const wb_poison_entry_t *received, guint count) {
    guint news = 0;
    for (guint i = 0; i < count; i++) {
        news += (received->forgiven & (1U << i)) == 0 &&
                engine_index(own, received->engines[i]) == own->engine_count;
    }
    return news == 1 ? received->until_ms - registry->options.retention_ms : 0;
}

gboolean wb_poison_registry_merge(wb_poison_registry_t *registry,
                                  const wb_poison_entry_t *received) {
    wb_poison_entry_t *entry = entry_find(registry, &received->digest);
    if (entry == NULL) {
        entry = entry_add(registry, &received->digest, received->body_bytes);
    }
    gboolean changed = FALSE;
    guint count = MIN(received->engine_count, WB_POISON_ENGINES_KEPT);
    int64_t crash_ms = news_crash_ms(registry, entry, received, count);
    for (guint i = 0; i < count; i++) {
        gboolean cleared = (received->forgiven & (1U << i)) != 0;
        changed = (cleared ? engine_add(entry, received->engines[i], TRUE)
                           : crash_add(entry, received->engines[i], crash_ms)) ||
                  changed;
    }
    gboolean has_crashes = changed;
    changed |= received->completed && !entry->completed;
    changed |= received->is_loss && !entry->is_loss;
    entry->is_loss |= received->is_loss;
    changed |= received->noted_trials > entry->noted_trials;
    entry->completed |= received->completed;
    entry->noted_trials = MAX(entry->noted_trials, received->noted_trials);
    if (has_crashes) {
        entry->crashed_ms =
            MAX(entry->crashed_ms, received->until_ms - registry->options.retention_ms);
    }
    gboolean renewed =
        received->until_ms - entry->until_ms >= registry->options.retention_ms / RENEWAL_SHARE;
    changed |= renewed;
    entry->until_ms = MAX(entry->until_ms, received->until_ms);
    since_update(entry);
    if (changed) {
        entry_mark_changed(registry, entry);
    }
    return changed;
}

gboolean wb_poison_registry_has_length(const wb_poison_registry_t *registry, uint32_t body_bytes) {
    WB_LIST_EACH(item, &registry->entries) {
        if (entry_of(item)->body_bytes == body_bytes) {
            return TRUE;
        }
    }
    return FALSE;
}

const wb_poison_entry_t *wb_poison_registry_find(const wb_poison_registry_t *registry,
                                                 const wb_request_digest_t *digest) {
    return entry_find(registry, digest);
}

wb_poison_state_t wb_poison_entry_state(const wb_poison_entry_t *entry) {
    guint engines = entry != NULL ? wb_poison_entry_engines(entry) : 0;
    if (engines == 0) {
        return WB_POISON_NONE;
    }
    return engines >= WB_POISON_ENGINES ? WB_POISON_REFUSED : WB_POISON_SUSPECT;
}

unsigned wb_poison_registry_count(const wb_poison_registry_t *registry, wb_poison_state_t state) {
    unsigned count = 0;
    WB_LIST_EACH(item, &registry->entries) {
        count += wb_poison_entry_state(entry_of(item)) == state;
    }
    return count;
}

const wb_list_t *wb_poison_registry_entries(const wb_poison_registry_t *registry) {
    return &registry->entries;
}

uint64_t wb_poison_registry_version(const wb_poison_registry_t *registry) {
    return registry->version;
}

guint wb_poison_entry_common_engines(const wb_poison_entry_t *left,
                                     const wb_poison_entry_t *right) {
    guint common = 0;
    for (guint i = 0; i < left->engine_count; i++) {
        common += wb_poison_entry_has_crash(left, left->engines[i]) &&
                  wb_poison_entry_has_crash(right, left->engines[i]);
    }
    return common;
}

/* Returns TRUE when another refused request may have caused this one's crashes. */
static gboolean entry_overlaps(const wb_poison_registry_t *registry,
                               const wb_poison_entry_t *entry) {
    WB_LIST_EACH(item, &registry->entries) {
        const wb_poison_entry_t *other = entry_of(item);
        if (other != entry && wb_poison_entry_state(other) == WB_POISON_REFUSED &&
            wb_poison_entry_common_engines(entry, other) + 1 >= WB_POISON_ENGINES) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns the time from which the request may be run as a trial. */
static int64_t trial_next_ms(const wb_poison_registry_t *registry, const wb_poison_entry_t *entry) {
    int64_t delay_ms = registry->options.trial_ms;
    if (entry->trials == 0) {
        gboolean overlaps =
            delay_ms > WB_POISON_OVERLAP_TRIAL_MS && entry_overlaps(registry, entry);
        /* Neither time lies before the last crash. Late reports of other nodes make the crash look
         * more recent than it was, so the earlier of the two is used. */
        int64_t crashed_ms = entry->until_ms - registry->options.retention_ms;
        return MIN(crashed_ms, entry->asked_ms) +
               (overlaps ? WB_POISON_OVERLAP_TRIAL_MS : delay_ms);
    }
    for (guint i = 0; i < entry->trials; i++) {
        delay_ms *= WB_POISON_TRIAL_FACTOR;
    }
    return entry->tried_ms + delay_ms;
}

gboolean wb_poison_registry_take_trial(wb_poison_registry_t *registry,
                                       const wb_request_digest_t *digest, int64_t now_ms) {
    wb_poison_entry_t *entry = entry_find(registry, digest);
    if (wb_poison_entry_state(entry) != WB_POISON_REFUSED) {
        return FALSE;
    }
    if (entry->asked_ms == 0) {
        entry->asked_ms = now_ms;
    }
    if (now_ms < trial_next_ms(registry, entry) || now_ms < registry->next_trial_ms) {
        return FALSE;
    }
    entry->tried_ms = now_ms;
    entry->trials = MIN(entry->trials + 1, TRIALS_MAX);
    registry->next_trial_ms = now_ms + WB_POISON_TRIAL_SPACING_MS;
    return TRUE;
}

/* Clears engines until one more crash would refuse the request again. It doesn't matter which, but
 * every node must choose the same ones: those with the highest hashes. */
static void entry_demote(const wb_poison_registry_t *registry, wb_poison_entry_t *entry) {
    while (wb_poison_entry_engines(entry) >= registry->options.engines) {
        guint highest = entry->engine_count;
        for (guint i = 0; i < entry->engine_count; i++) {
            gboolean uncleared = (entry->forgiven & (1U << i)) == 0;
            if (uncleared &&
                (highest == entry->engine_count || entry->engines[i] > entry->engines[highest])) {
                highest = i;
            }
        }
        entry->forgiven |= 1U << highest;
    }
    entry->until_ms += registry->options.retention_ms;
}

void wb_poison_registry_sweep(wb_poison_registry_t *registry, int64_t now_ms) {
    WB_LIST_EACH_SAFE(item, &registry->entries) {
        wb_poison_entry_t *entry = entry_of(item);
        if (now_ms < entry->until_ms) {
            continue;
        }
        if (wb_poison_entry_engines(entry) >= registry->options.engines) {
            entry_demote(registry, entry);
            entry_mark_changed(registry, entry);
        } else {
            entry_remove(registry, entry);
            registry->version++;
        }
    }
}
