/* Follows one table of the store. */
#include "wickbridge/table_watch.h"

#include <string.h>

#define RETRY_MS 150
#define RETRY_LIMIT_MS 1200
/* A call that fails by chance is good at the second try; a store that is away is so for seconds. */
#define RETRY_GROWTH 8
/* What another node has told of is tried for at least so often: within the shortest time after
 * which a node must be in touch again (3 s) by two calls of which the first is lost. */
#define LOOK_RETRY_MS 900
/* After the history is gone, the whole read begins so soon. */
#define READ_AGAIN_MS 25
#define HURRY_PAUSE_MS 300
/* Own calls that others' readings replace are spread over so much of the time between them. */
#define SAFETY_SPREAD 0.25
/* Removed rows are remembered so that no older reading brings them back. */
#define REMOVED_KEPT_MS 60000
#define REMOVED_LIMIT 256

typedef enum wb_watch_state_t {
    WB_WATCH_READING, /* the whole table, page by page */
    WB_WATCH_FOLLOWING,
    WB_WATCH_LARGE, /* the read has stopped at the limit */
    WB_WATCH_PART   /* rows come from others only */
} wb_watch_state_t;

/* A row that was removed. */
typedef struct wb_removed_row_t {
    int64_t version;
    int64_t at_ms;
} wb_removed_row_t;

struct wb_table_watch_t {
    wb_loop_t *loop;
    wb_table_t *table;
    wb_table_name_t name;
    wb_table_watch_intervals_t pace;
    wb_table_watch_events_t events;
    wb_watch_state_t state;
    unsigned rows_most;   /* 0: no limit */
    gboolean tells_again; /* the whole read under way tells rows that are known, too */
    GHashTable *versions; /* key -> int64_t *, rows that are there */
    GHashTable *removed;  /* key -> wb_removed_row_t */
    int64_t newest_row;   /* highest version of a row that was taken */
    int64_t heard_row;    /* highest version of a row that another node has told of */
    int64_t known_ms;     /* steady time as of which this node has read the table; 0: never */
    int64_t read_began_ms;
    int64_t vouched_ms;    /* as of which another node has read all that is known here; 0: none */
    int64_t look_since_ms; /* another node knew more then; 0: not more than this one */
    double spread;         /* this node's share of the time between own calls */
    GHashTable *seen;      /* keys of the present whole read */
    GPtrArray *page_rows;  /* rows of the present whole read */
    char *next_key;
    int64_t read_version; /* lowest newest-version told by a page of the whole read */
    int64_t version;      /* changes are known up to here */
    gboolean synced;
    gboolean asking;
    wb_timer_t *timer;
    int64_t asked_ms;
    int64_t answered_ms;
    int64_t retry_ms;  /* pause after failures in a row; 0: the last call was answered */
    int64_t failed_ms; /* when the last of them failed */
    gboolean hurried;
    wb_store_cause_t cause; /* of the call under way */
};

static void watch_ask(void *context);

void wb_table_row_free(wb_table_row_t *row) {
    g_free(row->key);
    g_free(row->value);
    g_free(row);
}

wb_table_row_t *wb_table_row_create(const char *key, guchar *value, gsize length, int64_t version) {
    wb_table_row_t *row = g_new0(wb_table_row_t, 1);
    row->key = g_strdup(key);
    row->value = value;
    row->length = length;
    row->version = version;
    return row;
}

static void ask_after(wb_table_watch_t *watch, int64_t delay_ms) {
    if (watch->timer != NULL)
        wb_timer_cancel(watch->timer);
    watch->timer = wb_loop_after(watch->loop, MAX(delay_ms, 0), watch_ask, watch);
}

static gboolean removal_is_old(gpointer key, gpointer value, gpointer context) {
    (void)key;
    return ((wb_removed_row_t *)value)->at_ms < *(int64_t *)context;
}

static void removal_note(wb_table_watch_t *watch, const char *key, int64_t version) {
    int64_t now_ms = wb_clock_ms();
    if (g_hash_table_size(watch->removed) >= REMOVED_LIMIT) {
        int64_t oldest_ms = now_ms - REMOVED_KEPT_MS;
        g_hash_table_foreach_remove(watch->removed, removal_is_old, &oldest_ms);
    }
    wb_removed_row_t removed = {version, now_ms};
    g_hash_table_replace(watch->removed, g_strdup(key), g_memdup2(&removed, sizeof(removed)));
}

/* Returns the version up to which a row's history is known; 0: nothing is. */
static int64_t row_known(const wb_table_watch_t *watch, const char *key) {
    const int64_t *known = g_hash_table_lookup(watch->versions, key);
    const wb_removed_row_t *removed = g_hash_table_lookup(watch->removed, key);
    if (known != NULL)
        return *known;
    return removed != NULL ? removed->version : 0;
}

/* A row can't go back to an older version within this process. */
static gboolean row_take(wb_table_watch_t *watch, const wb_table_row_t *row) {
    int64_t known = row_known(watch, row->key);
    if (known > row->version || (known == row->version && !watch->tells_again))
        return FALSE;
    watch->newest_row = MAX(watch->newest_row, row->version);
    if (row->value == NULL) {
        removal_note(watch, row->key, row->version);
        if (!g_hash_table_remove(watch->versions, row->key))
            return FALSE; /* it was not known to be there */
    } else {
        g_hash_table_replace(watch->versions, g_strdup(row->key),
                             g_memdup2(&row->version, sizeof(row->version)));
        g_hash_table_remove(watch->removed, row->key);
    }
    watch->events.on_row(row, watch->events.context);
    return TRUE;
}

/* Rows that a whole read no longer shows were removed. */
static void missing_remove(wb_table_watch_t *watch) {
    g_autoptr(GList) keys = g_hash_table_get_keys(watch->versions);
    for (GList *item = keys; item != NULL; item = item->next) {
        if (g_hash_table_contains(watch->seen, item->data))
            continue;
        wb_table_row_t row = {g_strdup(item->data), NULL, 0, watch->read_version};
        g_hash_table_remove(watch->versions, row.key);
        removal_note(watch, row.key, row.version);
        watch->events.on_row(&row, watch->events.context);
        g_free(row.key);
    }
}

static void read_begin(wb_table_watch_t *watch) {
    watch->state = WB_WATCH_READING;
    g_hash_table_remove_all(watch->seen);
    g_ptr_array_set_size(watch->page_rows, 0);
    g_clear_pointer(&watch->next_key, g_free);
    watch->read_version = G_MAXINT64;
    watch->read_began_ms = 0;
}

/* What is known now is as of the start of the call that told it. */
static void known_note(wb_table_watch_t *watch, int64_t known_ms) {
    watch->known_ms = known_ms;
    if (known_ms >= watch->look_since_ms)
        watch->look_since_ms = 0;
}

/* When an own call is due, after a call that began at asked_ms. */
static int64_t due_ms(const wb_table_watch_t *watch) {
    int64_t retry_at_ms = watch->failed_ms + watch->retry_ms;
    if (watch->vouched_ms != 0 && watch->look_since_ms != 0) {
        /* Something is known to be there, so whoever told of it reaches the store. */
        int64_t look_retry_ms = watch->failed_ms + MIN(watch->retry_ms, LOOK_RETRY_MS);
        return MAX(watch->asked_ms + watch->pace.look_ms, look_retry_ms);
    }
    int64_t due = MAX(watch->asked_ms + watch->pace.pause_ms, retry_at_ms);
    /* A store that is lost is tried for also while others read it: this node must know when it is
     * back. */
    if (watch->vouched_ms == 0 || watch->retry_ms != 0)
        return due;
    int64_t safety_ms = (int64_t)((double)watch->pace.safety_ms * watch->spread);
    int64_t vouched_until_ms =
        MIN(watch->vouched_ms + watch->pace.peer_read_valid_ms, watch->asked_ms + safety_ms);
    return MAX(due, vouched_until_ms);
}

/* The read is whole. An answer older than what is known is not taken: it's read again. */
static void read_finish(wb_table_watch_t *watch) {
    if (watch->read_version < watch->version) {
        read_begin(watch);
        ask_after(watch, RETRY_MS);
        return;
    }
    for (guint i = 0; i < watch->page_rows->len; i++)
        row_take(watch, g_ptr_array_index(watch->page_rows, i));
    missing_remove(watch);
    watch->tells_again = FALSE;
    watch->version = watch->read_version;
    known_note(watch, watch->read_began_ms);
    watch->synced = TRUE;
    g_ptr_array_set_size(watch->page_rows, 0);
    watch->state = WB_WATCH_FOLLOWING;
    watch->events.on_batch(TRUE, watch->events.context);
    /* An empty table is about to be filled. */
    int64_t peer_read_valid_ms = watch->newest_row > 0 ? watch->pace.full_read_valid_ms : 0;
    int64_t fresh_until_ms = watch->read_began_ms + peer_read_valid_ms;
    ask_after(watch, MAX(due_ms(watch), fresh_until_ms) - wb_clock_ms());
}

static void call_note(const wb_table_watch_t *watch, gboolean good) {
    if (watch->events.on_call != NULL)
        watch->events.on_call(watch->name, watch->cause, good, wb_table_watch_age_ms(watch),
                              watch->events.context);
}

static void retry_later(wb_table_watch_t *watch) {
    int64_t limit_ms = watch->pace.retry_ms > 0 ? watch->pace.retry_ms : RETRY_LIMIT_MS;
    watch->retry_ms = MIN(MAX(watch->retry_ms * RETRY_GROWTH, RETRY_MS), limit_ms);
    watch->failed_ms = wb_clock_ms();
    if (watch->state == WB_WATCH_FOLLOWING) {
        ask_after(watch, due_ms(watch) - wb_clock_ms());
    } else {
        ask_after(watch, watch->retry_ms);
    }
}

static gboolean is_too_large(const wb_table_watch_t *watch, unsigned rows) {
    return watch->rows_most > 0 && rows > watch->rows_most;
}

static void large_begin(wb_table_watch_t *watch) {
    read_begin(watch); /* nothing of a read under way is kept meanwhile */
    watch->state = WB_WATCH_LARGE;
    watch->events.on_row_limit(watch->events.context);
}

static void page_answered(const wb_table_answer_t *answer, void *context) {
    wb_table_watch_t *watch = context;
    watch->asking = FALSE;
    call_note(watch, answer->outcome == WB_TABLE_DONE);
    if (answer->outcome != WB_TABLE_DONE) {
        read_begin(watch);
        retry_later(watch);
        return;
    }
    watch->answered_ms = wb_clock_ms();
    watch->retry_ms = 0;
    watch->read_version = MIN(watch->read_version, answer->version);
    for (guint i = 0; i < answer->rows->len; i++) {
        wb_table_row_t *row = g_ptr_array_index(answer->rows, i);
        g_hash_table_add(watch->seen, g_strdup(row->key));
        g_ptr_array_add(watch->page_rows,
                        wb_table_row_create(row->key, g_memdup2(row->value, row->length),
                                            row->length, row->version));
    }
    if (is_too_large(watch, watch->page_rows->len)) {
        large_begin(watch);
        return;
    }
    if (!answer->more || answer->rows->len == 0) {
        read_finish(watch);
        return;
    }
    const wb_table_row_t *last = g_ptr_array_index(answer->rows, answer->rows->len - 1);
    g_free(watch->next_key);
    /* The lowest key above the last one. */
    watch->next_key = g_strconcat(last->key, "\x01", NULL);
    ask_after(watch, 0);
}

static void changes_answered(const wb_table_answer_t *answer, void *context) {
    wb_table_watch_t *watch = context;
    watch->asking = FALSE;
    call_note(watch, answer->outcome == WB_TABLE_DONE || answer->outcome == WB_TABLE_HISTORY_EXPIRED);
    if (answer->outcome == WB_TABLE_HISTORY_EXPIRED) {
        read_begin(watch);
        ask_after(watch, READ_AGAIN_MS);
        return;
    }
    if (answer->outcome != WB_TABLE_DONE) {
        retry_later(watch);
        return;
    }
    watch->answered_ms = wb_clock_ms();
    watch->retry_ms = 0;
    gboolean changed = FALSE;
    for (guint i = 0; i < answer->rows->len; i++)
        changed |= row_take(watch, g_ptr_array_index(answer->rows, i));
    watch->version = MAX(watch->version, answer->version);
    if (changed)
        watch->events.on_batch(FALSE, watch->events.context);
    if (is_too_large(watch, g_hash_table_size(watch->versions))) {
        large_begin(watch);
        return;
    }
    if (answer->more && answer->rows->len > 0) {
        /* These were only the oldest changes: nothing is known yet as of this call. */
        ask_after(watch, 0);
        return;
    }
    known_note(watch, watch->asked_ms);
    int64_t next_ms = watch->hurried ? watch->asked_ms + HURRY_PAUSE_MS : due_ms(watch);
    watch->hurried = FALSE;
    ask_after(watch, next_ms - wb_clock_ms());
}

/* Why a call is made now; the one before began at asked_ms. */
static wb_store_cause_t cause_of(const wb_table_watch_t *watch, int64_t now_ms) {
    if (watch->state == WB_WATCH_READING)
        return WB_STORE_CAUSE_FULL_READ;
    if (watch->retry_ms != 0)
        return WB_STORE_CAUSE_RETRY;
    if (watch->vouched_ms == 0)
        return WB_STORE_CAUSE_POLL;
    if (watch->look_since_ms != 0)
        return WB_STORE_CAUSE_CHANGE;
    if (now_ms >= watch->vouched_ms + watch->pace.peer_read_valid_ms)
        return WB_STORE_CAUSE_STALE;
    return now_ms < due_ms(watch) ? WB_STORE_CAUSE_EXPEDITED : WB_STORE_CAUSE_SAFETY;
}

static void watch_ask(void *context) {
    wb_table_watch_t *watch = context;
    int64_t now_ms = wb_clock_ms();
    watch->timer = NULL;
    watch->asking = TRUE;
    watch->cause = cause_of(watch, now_ms);
    watch->asked_ms = now_ms;
    if (watch->state == WB_WATCH_FOLLOWING) {
        /* Who looks, or tries again, wants to know now, also that nothing has changed. */
        gboolean at_once =
            watch->cause == WB_STORE_CAUSE_CHANGE || watch->cause == WB_STORE_CAUSE_RETRY;
        int64_t wait_ms = at_once ? 0 : watch->pace.wait_ms;
        watch->table->changes(watch->table, watch->name, watch->version, wait_ms, changes_answered,
                              watch);
        return;
    }
    if (watch->read_began_ms == 0) {
        watch->read_began_ms = watch->asked_ms;
    }
    watch->table->read(watch->table, watch->name, watch->next_key != NULL ? watch->next_key : "",
                       page_answered, watch);
}

wb_table_watch_t *wb_table_watch_create(wb_loop_t *loop, wb_table_t *table, wb_table_name_t name,
                                        const wb_table_watch_intervals_t *pace,
                                        const wb_table_watch_events_t *events) {
    wb_table_watch_t *watch = g_new0(wb_table_watch_t, 1);
    watch->loop = loop;
    watch->table = table;
    watch->name = name;
    watch->pace = *pace;
    watch->events = *events;
    watch->spread = 1 - SAFETY_SPREAD * g_random_double();
    watch->removed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    watch->versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    watch->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    watch->page_rows = g_ptr_array_new_with_free_func((GDestroyNotify)wb_table_row_free);
    read_begin(watch);
    ask_after(watch, 0);
    return watch;
}

void wb_table_watch_set_row_limit(wb_table_watch_t *watch, unsigned rows) {
    watch->rows_most = rows;
}

void wb_table_watch_read_all(wb_table_watch_t *watch) {
    if (watch->state == WB_WATCH_LARGE || watch->state == WB_WATCH_PART) {
        watch->rows_most = 0;
        watch->tells_again = TRUE;
        read_begin(watch);
        ask_after(watch, 0);
    }
}

void wb_table_watch_follow_subset(wb_table_watch_t *watch) {
    g_assert(watch->state == WB_WATCH_LARGE);
    read_begin(watch);
    g_hash_table_remove_all(watch->versions);
    watch->state = WB_WATCH_PART;
    watch->synced = TRUE;
}

void wb_table_watch_expedite(wb_table_watch_t *watch) {
    watch->hurried = TRUE;
    if (watch->asking || watch->state != WB_WATCH_FOLLOWING || watch->timer == NULL ||
        watch->retry_ms != 0)
        return;
    watch->hurried = FALSE;
    ask_after(watch, watch->asked_ms + HURRY_PAUSE_MS - wb_clock_ms());
}

void wb_table_watch_retry_now(wb_table_watch_t *watch) {
    if (watch->retry_ms == 0 || watch->asking || watch->timer == NULL)
        return;
    watch->retry_ms = RETRY_MS;
    watch->failed_ms = 0;
    ask_after(watch, 0);
}

/* Moves the next call for changes, unless one is under way. */
static void due_again(wb_table_watch_t *watch) {
    if (!watch->asking && watch->state == WB_WATCH_FOLLOWING && watch->timer != NULL)
        ask_after(watch, due_ms(watch) - wb_clock_ms());
}

void wb_table_watch_set_intervals(wb_table_watch_t *watch, const wb_table_watch_intervals_t *pace) {
    if (memcmp(&watch->pace, pace, sizeof(*pace)) == 0)
        return;
    watch->pace = *pace;
    due_again(watch);
}

void wb_table_watch_apply_row(wb_table_watch_t *watch, const wb_table_row_t *row) {
    if (watch->synced && row_take(watch, row))
        watch->events.on_batch(FALSE, watch->events.context);
}

void wb_table_watch_note_peer_read(wb_table_watch_t *watch, int64_t newest_row, int64_t known_ms) {
    if (newest_row > MAX(watch->newest_row, watch->heard_row))
        watch->look_since_ms = wb_clock_ms();
    watch->heard_row = MAX(watch->heard_row, newest_row);
    watch->vouched_ms = MAX(watch->vouched_ms, known_ms);
    due_again(watch);
}

void wb_table_watch_poll_soon(wb_table_watch_t *watch) {
    watch->look_since_ms = wb_clock_ms();
    due_again(watch);
}

int64_t wb_table_watch_newest_row(const wb_table_watch_t *watch) {
    return watch->newest_row;
}

int64_t wb_table_watch_known_ms(const wb_table_watch_t *watch) {
    return watch->known_ms;
}

int64_t wb_table_watch_fresh_ms(const wb_table_watch_t *watch) {
    return MAX(watch->known_ms, watch->vouched_ms);
}

gboolean wb_table_watch_is_reading(const wb_table_watch_t *watch) {
    return watch->state == WB_WATCH_READING;
}

gboolean wb_table_watch_is_synced(const wb_table_watch_t *watch) {
    return watch->synced;
}

int64_t wb_table_watch_age_ms(const wb_table_watch_t *watch) {
    int64_t heard_ms = MAX(watch->answered_ms, watch->vouched_ms);
    return heard_ms == 0 ? G_MAXINT64 : wb_clock_ms() - heard_ms;
}
