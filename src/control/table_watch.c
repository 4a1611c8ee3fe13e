/* Follows one table of the store. */
#include "wickbridge/table_watch.h"

#include <string.h>

#define RETRY_MS 150
#define RETRY_LIMIT_MS 600
#define HURRY_PAUSE_MS 25

typedef enum wb_watch_state_t {
    WB_WATCH_READING, /* the whole table, page by page */
    WB_WATCH_FOLLOWING
} wb_watch_state_t;

struct wb_table_watch_t {
    wb_loop_t *loop;
    const wb_table_t *table;
    wb_table_name_t name;
    int64_t wait_ms;
    int64_t pause_ms;
    wb_table_watch_events_t events;
    wb_watch_state_t state;
    GHashTable *versions; /* key -> int64_t *, rows that are there */
    GHashTable *seen;     /* keys of the present whole read */
    GPtrArray *page_rows; /* rows of the present whole read */
    char *next_key;
    int64_t read_version; /* lowest newest-version told by a page of the whole read */
    int64_t version;      /* changes are known up to here */
    gboolean synced;
    gboolean asking;
    wb_timer_t *timer;
    int64_t asked_ms;
    int64_t answered_ms;
    int64_t retry_ms;
    gboolean hurried;
};

static void watch_ask(void *context);

void wb_table_row_free(wb_table_row_t *row)
{
    g_free(row->key);
    g_free(row->value);
    g_free(row);
}

wb_table_row_t *wb_table_row_create(const char *key, guchar *value, gsize length, int64_t version)
{
    wb_table_row_t *row = g_new0(wb_table_row_t, 1);
    row->key = g_strdup(key);
    row->value = value;
    row->length = length;
    row->version = version;
    return row;
}

static void ask_after(wb_table_watch_t *watch, int64_t delay_ms)
{
    if (watch->timer != NULL)
        wb_timer_cancel(watch->timer);
    watch->timer = wb_loop_after(watch->loop, MAX(delay_ms, 0), watch_ask, watch);
}

/* A row can't go back to an older version within this process. */
static gboolean row_take(wb_table_watch_t *watch, const wb_table_row_t *row)
{
    int64_t *known = g_hash_table_lookup(watch->versions, row->key);
    if (known != NULL && *known >= row->version)
        return FALSE;
    if (known == NULL && row->value == NULL)
        return FALSE;
    if (row->value == NULL)
        g_hash_table_remove(watch->versions, row->key);
    else
        g_hash_table_replace(watch->versions, g_strdup(row->key),
                             g_memdup2(&row->version, sizeof(row->version)));
    watch->events.on_row(row, watch->events.context);
    return TRUE;
}

/* Rows that a whole read no longer shows were removed. */
static void missing_remove(wb_table_watch_t *watch)
{
    g_autoptr(GList) keys = g_hash_table_get_keys(watch->versions);
    for (GList *item = keys; item != NULL; item = item->next) {
        if (g_hash_table_contains(watch->seen, item->data))
            continue;
        wb_table_row_t row = {g_strdup(item->data), NULL, 0, watch->read_version};
        g_hash_table_remove(watch->versions, row.key);
        watch->events.on_row(&row, watch->events.context);
        g_free(row.key);
    }
}

static void read_begin(wb_table_watch_t *watch)
{
    watch->state = WB_WATCH_READING;
    g_hash_table_remove_all(watch->seen);
    g_ptr_array_set_size(watch->page_rows, 0);
    g_clear_pointer(&watch->next_key, g_free);
    watch->read_version = G_MAXINT64;
}

/* The read is whole. An answer older than what is known is not taken: it's read again. */
static void read_finish(wb_table_watch_t *watch)
{
    if (watch->read_version < watch->version) {
        read_begin(watch);
        ask_after(watch, RETRY_MS);
        return;
    }
    for (guint i = 0; i < watch->page_rows->len; i++)
        row_take(watch, g_ptr_array_index(watch->page_rows, i));
    missing_remove(watch);
    watch->version = watch->read_version;
    watch->synced = TRUE;
    g_ptr_array_set_size(watch->page_rows, 0);
    watch->state = WB_WATCH_FOLLOWING;
    watch->events.on_batch(TRUE, watch->events.context);
    ask_after(watch, 0);
}

static void call_note(const wb_table_watch_t *watch, gboolean good)
{
    if (watch->events.on_call != NULL)
        watch->events.on_call(watch->name, good, wb_table_watch_age_ms(watch),
                              watch->events.context);
}

static void retry_later(wb_table_watch_t *watch)
{
    watch->retry_ms = MIN(MAX(watch->retry_ms * 2, RETRY_MS), RETRY_LIMIT_MS);
    ask_after(watch, watch->retry_ms);
}

static void page_answered(const wb_table_answer_t *answer, void *context)
{
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

static void changes_answered(const wb_table_answer_t *answer, void *context)
{
    wb_table_watch_t *watch = context;
    watch->asking = FALSE;
    call_note(watch, answer->outcome == WB_TABLE_DONE || answer->outcome == WB_TABLE_HISTORY_GONE);
    if (answer->outcome == WB_TABLE_HISTORY_GONE) {
        read_begin(watch);
        ask_after(watch, HURRY_PAUSE_MS);
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
    int64_t pause_ms = watch->hurried ? HURRY_PAUSE_MS : watch->pause_ms;
    watch->hurried = FALSE;
    ask_after(watch, watch->asked_ms + pause_ms - wb_clock_ms());
}

static void watch_ask(void *context)
{
    wb_table_watch_t *watch = context;
    watch->timer = NULL;
    watch->asking = TRUE;
    watch->asked_ms = wb_clock_ms();
    if (watch->state == WB_WATCH_READING)
        watch->table->read(watch->table->self, watch->name,
                           watch->next_key != NULL ? watch->next_key : "", page_answered, watch);
    else
        watch->table->changes(watch->table->self, watch->name, watch->version, watch->wait_ms,
                              changes_answered, watch);
}

wb_table_watch_t *wb_table_watch_create(wb_loop_t *loop, const wb_table_t *table,
                                        wb_table_name_t name, int64_t wait_ms, int64_t pause_ms,
                                        const wb_table_watch_events_t *events)
{
    wb_table_watch_t *watch = g_new0(wb_table_watch_t, 1);
    watch->loop = loop;
    watch->table = table;
    watch->name = name;
    watch->wait_ms = wait_ms;
    watch->pause_ms = pause_ms;
    watch->events = *events;
    watch->versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    watch->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    watch->page_rows = g_ptr_array_new_with_free_func((GDestroyNotify)wb_table_row_free);
    read_begin(watch);
    ask_after(watch, 0);
    return watch;
}

void wb_table_watch_hurry(wb_table_watch_t *watch)
{
    watch->hurried = TRUE;
    if (watch->asking || watch->state != WB_WATCH_FOLLOWING || watch->timer == NULL ||
        watch->retry_ms != 0)
        return;
    watch->hurried = FALSE;
    ask_after(watch, watch->asked_ms + HURRY_PAUSE_MS - wb_clock_ms());
}

gboolean wb_table_watch_is_synced(const wb_table_watch_t *watch)
{
    return watch->synced;
}

int64_t wb_table_watch_age_ms(const wb_table_watch_t *watch)
{
    return watch->answered_ms == 0 ? G_MAXINT64 : wb_clock_ms() - watch->answered_ms;
}
