/* Which requests crash the engines that run them. */
#include "poison/poison_registry.h"

#include <string.h>
#include <xxhash.h>

/* Pauses don't grow further: 4^8 minutes are 45 days. */
#define TRIALS_COUNTED 8

struct wb_poison_registry_t {
    wb_poison_options_t options;
    wb_list_t entries; /* of wb_poison_entry_t, newest first */
    uint64_t version;
    int64_t next_trial_ms;
};

wb_poison_registry_t *wb_poison_registry_create(const wb_poison_options_t *options) {
    wb_poison_registry_t *book = g_new0(wb_poison_registry_t, 1);
    book->options.kept_ms = options->kept_ms > 0 ? options->kept_ms : WB_POISON_RETENTION_MS;
    book->options.trial_ms = options->trial_ms > 0 ? options->trial_ms : WB_POISON_TRIAL_MS;
    wb_list_init(&book->entries);
    book->version = 1;
    return book;
}

static wb_poison_entry_t *entry_of(const wb_list_item_t *item) {
    return WB_LIST_OF(item, wb_poison_entry_t, item);
}

static void entry_remove(wb_poison_registry_t *book, wb_poison_entry_t *entry) {
    wb_list_remove(&book->entries, &entry->item);
    g_free(entry);
}

void wb_poison_registry_free(wb_poison_registry_t *book) {
    wb_list_item_t *item;
    while ((item = wb_list_pop(&book->entries)) != NULL) {
        g_free(entry_of(item));
    }
    g_free(book);
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

static void entry_changed(wb_poison_registry_t *book, wb_poison_entry_t *entry) {
    entry->changed = ++book->version;
}

static wb_poison_entry_t *entry_find(const wb_poison_registry_t *book,
                                     const wb_request_digest_t *digest) {
    WB_LIST_EACH(item, &book->entries) {
        wb_poison_entry_t *entry = entry_of(item);
        if (wb_request_digest_equal(&entry->digest, digest)) {
            return entry;
        }
    }
    return NULL;
}

/* Returns the entry that can best be done without: few engines, and long ago. */
static wb_poison_entry_t *entry_least(const wb_poison_registry_t *book) {
    wb_poison_entry_t *least = NULL;
    WB_LIST_EACH(item, &book->entries) {
        wb_poison_entry_t *entry = entry_of(item);
        guint engines = wb_poison_entry_engines(entry);
        guint fewest = least != NULL ? wb_poison_entry_engines(least) : G_MAXUINT;
        if (engines < fewest || (engines == fewest && entry->until_ms < least->until_ms)) {
            least = entry;
        }
    }
    return least;
}

static wb_poison_entry_t *entry_add(wb_poison_registry_t *book, const wb_request_digest_t *digest,
                                    uint32_t body_bytes) {
    if (book->entries.len >= WB_POISON_ENTRIES) {
        entry_remove(book, entry_least(book));
    }
    wb_poison_entry_t *entry = g_new0(wb_poison_entry_t, 1);
    entry->digest = *digest;
    entry->body_bytes = body_bytes;
    wb_list_add_head(&book->entries, &entry->item);
    return entry;
}

/* Returns the engine's place, or engine_count when it isn't known. */
static guint engine_place(const wb_poison_entry_t *entry, uint64_t engine) {
    guint place = 0;
    while (place < entry->engine_count && entry->engines[place] != engine) {
        place++;
    }
    return place;
}

/* Makes room for one more engine; of a full entry a forgiven one goes. Returns FALSE when there is
 * none. */
static gboolean engine_make_room(wb_poison_entry_t *entry) {
    if (entry->engine_count < WB_POISON_ENGINES_KEPT) {
        return TRUE;
    }
    for (guint i = 0; i < entry->engine_count; i++) {
        if ((entry->forgiven & (1U << i)) != 0) {
            guint last = --entry->engine_count;
            gboolean last_forgiven = (entry->forgiven & (1U << last)) != 0;
            entry->engines[i] = entry->engines[last];
            entry->forgiven &= ~((1U << i) | (1U << last));
            entry->forgiven |= last_forgiven && i != last ? 1U << i : 0;
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns TRUE when the engine wasn't known. */
static gboolean engine_add(wb_poison_entry_t *entry, uint64_t engine, gboolean forgiven) {
    guint place = engine_place(entry, engine);
    if (place < entry->engine_count) {
        gboolean news = forgiven && (entry->forgiven & (1U << place)) == 0;
        entry->forgiven |= forgiven ? 1U << place : 0;
        return news;
    }
    /* A forgiven engine isn't worth another's place. */
    if ((forgiven && entry->engine_count == WB_POISON_ENGINES_KEPT) || !engine_make_room(entry)) {
        return FALSE;
    }
    place = entry->engine_count++;
    entry->engines[place] = engine;
    entry->forgiven |= forgiven ? 1U << place : 0;
    return TRUE;
}

gboolean wb_poison_registry_add_crash(wb_poison_registry_t *book, const wb_request_digest_t *digest,
                             uint32_t body_bytes, uint64_t engine, int64_t now_ms) {
    wb_poison_entry_t *entry = entry_find(book, digest);
    if (entry == NULL) {
        entry = entry_add(book, digest, body_bytes);
    }
    if (!engine_add(entry, engine, FALSE)) {
        return FALSE;
    }
    entry->until_ms = now_ms + book->options.kept_ms;
    entry_changed(book, entry);
    return TRUE;
}

gboolean wb_poison_registry_clear_crashes(wb_poison_registry_t *book, const wb_request_digest_t *digest) {
    wb_poison_entry_t *entry = entry_find(book, digest);
    if (entry == NULL || wb_poison_entry_engines(entry) == 0) {
        return FALSE;
    }
    entry->forgiven = (1U << entry->engine_count) - 1;
    entry_changed(book, entry);
    return TRUE;
}

gboolean wb_poison_registry_merge(wb_poison_registry_t *book, const wb_poison_entry_t *told) {
    wb_poison_entry_t *entry = entry_find(book, &told->digest);
    if (entry == NULL) {
        entry = entry_add(book, &told->digest, told->body_bytes);
    }
    gboolean news = FALSE;
    for (guint i = 0; i < MIN(told->engine_count, WB_POISON_ENGINES_KEPT); i++) {
        gboolean forgiven = (told->forgiven & (1U << i)) != 0;
        news = engine_add(entry, told->engines[i], forgiven) || news;
    }
    entry->until_ms = MAX(entry->until_ms, told->until_ms);
    if (news) {
        entry_changed(book, entry);
    }
    return news;
}

gboolean wb_poison_registry_has_length(const wb_poison_registry_t *book, uint32_t body_bytes) {
    WB_LIST_EACH(item, &book->entries) {
        if (entry_of(item)->body_bytes == body_bytes) {
            return TRUE;
        }
    }
    return FALSE;
}

const wb_poison_entry_t *wb_poison_registry_find(const wb_poison_registry_t *book,
                                             const wb_request_digest_t *digest) {
    return entry_find(book, digest);
}

wb_poison_state_t wb_poison_entry_state(const wb_poison_entry_t *entry) {
    guint engines = entry != NULL ? wb_poison_entry_engines(entry) : 0;
    if (engines == 0) {
        return WB_POISON_NONE;
    }
    return engines >= WB_POISON_ENGINES ? WB_POISON_REFUSED : WB_POISON_SUSPECT;
}

unsigned wb_poison_registry_count(const wb_poison_registry_t *book, wb_poison_state_t state) {
    unsigned count = 0;
    WB_LIST_EACH(item, &book->entries) {
        count += wb_poison_entry_state(entry_of(item)) == state;
    }
    return count;
}

const wb_list_t *wb_poison_registry_entries(const wb_poison_registry_t *book) {
    return &book->entries;
}

uint64_t wb_poison_registry_version(const wb_poison_registry_t *book) {
    return book->version;
}

/* Returns engines that are held against both requests. */
static guint engines_shared(const wb_poison_entry_t *left, const wb_poison_entry_t *right) {
    guint shared = 0;
    for (guint i = 0; i < left->engine_count; i++) {
        guint place = engine_place(right, left->engines[i]);
        gboolean both = place < right->engine_count && (left->forgiven & (1U << i)) == 0 &&
                        (right->forgiven & (1U << place)) == 0;
        shared += both;
    }
    return shared;
}

/* Returns TRUE when another refused request may explain why engines ended under this one. */
static gboolean entry_is_tied(const wb_poison_registry_t *book, const wb_poison_entry_t *entry) {
    WB_LIST_EACH(item, &book->entries) {
        const wb_poison_entry_t *other = entry_of(item);
        if (other != entry && wb_poison_entry_state(other) == WB_POISON_REFUSED &&
            engines_shared(entry, other) + 1 >= WB_POISON_ENGINES) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns the steady time from which the request may be tried. */
static int64_t trial_due_ms(const wb_poison_registry_t *book, const wb_poison_entry_t *entry) {
    int64_t pause_ms = book->options.trial_ms;
    if (entry->trials == 0) {
        gboolean soon = pause_ms > WB_POISON_OVERLAP_TRIAL_MS && entry_is_tied(book, entry);
        /* Neither lies before the last crash; what other nodes told late makes that look newer. */
        int64_t crashed_ms = entry->until_ms - book->options.kept_ms;
        return MIN(crashed_ms, entry->asked_ms) + (soon ? WB_POISON_OVERLAP_TRIAL_MS : pause_ms);
    }
    for (guint i = 0; i < entry->trials; i++) {
        pause_ms *= WB_POISON_TRIAL_FACTOR;
    }
    return entry->tried_ms + pause_ms;
}

gboolean wb_poison_registry_take_trial(wb_poison_registry_t *book, const wb_request_digest_t *digest,
                                   int64_t now_ms) {
    wb_poison_entry_t *entry = entry_find(book, digest);
    if (wb_poison_entry_state(entry) != WB_POISON_REFUSED) {
        return FALSE;
    }
    if (entry->asked_ms == 0) {
        entry->asked_ms = now_ms;
    }
    if (now_ms < trial_due_ms(book, entry) || now_ms < book->next_trial_ms) {
        return FALSE;
    }
    entry->tried_ms = now_ms;
    entry->trials = MIN(entry->trials + 1, TRIALS_COUNTED);
    book->next_trial_ms = now_ms + WB_POISON_TRIAL_SPACING_MS;
    return TRUE;
}

/* Forgives engines until one more crash would refuse the request again. Which ones doesn't matter,
 * but every node must choose the same: the highest hashes. */
static void entry_let_through(wb_poison_entry_t *entry, int64_t kept_ms) {
    while (wb_poison_entry_engines(entry) >= WB_POISON_ENGINES) {
        guint highest = entry->engine_count;
        for (guint i = 0; i < entry->engine_count; i++) {
            gboolean held = (entry->forgiven & (1U << i)) == 0;
            if (held &&
                (highest == entry->engine_count || entry->engines[i] > entry->engines[highest])) {
                highest = i;
            }
        }
        entry->forgiven |= 1U << highest;
    }
    entry->until_ms += kept_ms;
}

void wb_poison_registry_sweep(wb_poison_registry_t *book, int64_t now_ms) {
    WB_LIST_EACH_SAFE(item, &book->entries) {
        wb_poison_entry_t *entry = entry_of(item);
        if (now_ms < entry->until_ms) {
            continue;
        }
        if (wb_poison_entry_engines(entry) >= WB_POISON_ENGINES) {
            entry_let_through(entry, book->options.kept_ms);
            entry_changed(book, entry);
        } else {
            entry_remove(book, entry);
            book->version++;
        }
    }
}
