/* Following a table: what a stale whole read shows is never taken, what a fresh one lacks is gone.
 */
#include "unit.h"

#include "wickbridge/table_watch.h"

#include <string.h>

/* A table that answers what the test lays down. */
typedef struct script_t {
    wb_loop_t *loop;
    wb_table_t table;
    int reads;
    int calls;
    GString *seen; /* what the watch told: +KEY@VERSION or -KEY@VERSION */
} script_t;

static wb_table_row_t *row_make(const char *key, int64_t version)
{
    return wb_table_row_create(key, (guchar *)g_strdup("v"), 1, version);
}

static void answer_give(wb_table_answer_fn on_answer, void *context, wb_table_outcome_t outcome,
                        GPtrArray *rows, int64_t version)
{
    wb_table_answer_t answer = {outcome, rows, FALSE, version};
    on_answer(&answer, context);
    g_ptr_array_unref(rows);
}

static GPtrArray *rows_make(void)
{
    return g_ptr_array_new_with_free_func((GDestroyNotify)wb_table_row_free);
}

/* The first whole read, then a stale one, then a fresh one. */
static void script_read(void *self, wb_table_name_t table, const char *from_key,
                        wb_table_answer_fn on_answer, void *context)
{
    (void)table;
    (void)from_key;
    script_t *script = self;
    GPtrArray *rows = rows_make();
    script->reads++;
    if (script->reads == 1) {
        g_ptr_array_add(rows, row_make("a", 10));
        g_ptr_array_add(rows, row_make("b", 11));
        answer_give(on_answer, context, WB_TABLE_DONE, rows, 11);
    } else if (script->reads == 2) {
        g_ptr_array_add(rows, row_make("a", 8));
        g_ptr_array_add(rows, row_make("old", 7));
        answer_give(on_answer, context, WB_TABLE_DONE, rows, 9);
    } else {
        g_ptr_array_add(rows, row_make("a", 10));
        g_ptr_array_add(rows, row_make("c", 18));
        answer_give(on_answer, context, WB_TABLE_DONE, rows, 20);
        wb_loop_quit(script->loop);
    }
}

/* Some changes, then the history is gone. */
static void script_changes(void *self, wb_table_name_t table, int64_t after, int64_t wait_ms,
                           wb_table_answer_fn on_answer, void *context)
{
    (void)table;
    (void)wait_ms;
    script_t *script = self;
    if (script->reads == 3)
        return; /* the play is over */
    GPtrArray *rows = rows_make();
    script->calls++;
    if (script->calls > 1) {
        g_assert_cmpint(after, ==, 12);
        answer_give(on_answer, context, WB_TABLE_HISTORY_GONE, rows, 0);
        return;
    }
    g_assert_cmpint(after, ==, 11);
    g_ptr_array_add(rows, row_make("b", 11)); /* known already */
    g_ptr_array_add(rows, row_make("b", 12));
    answer_give(on_answer, context, WB_TABLE_DONE, rows, 12);
}

static void row_seen(const wb_table_row_t *row, void *context)
{
    script_t *script = context;
    g_string_append_printf(script->seen, "%c%s@%lld ", row->value != NULL ? '+' : '-', row->key,
                           (long long)row->version);
}

static void batch_seen(gboolean whole, void *context)
{
    (void)whole;
    (void)context;
}

static void test_stale_read_is_not_taken(void)
{
    script_t script = {0};
    wb_error_t error;
    wb_table_watch_events_t events = {row_seen, batch_seen, NULL, &script};
    g_assert_cmpint(wb_loop_create(&script.loop, "test", 16, &error), ==, APR_SUCCESS);
    script.table = (wb_table_t){&script, script_read, script_changes, NULL};
    script.seen = g_string_new(NULL);
    wb_table_watch_create(script.loop, &script.table, WB_TABLE_ENGINES, 10, 20, &events);
    wb_loop_run(script.loop);
    g_assert_cmpstr(script.seen->str, ==, "+a@10 +b@11 +b@12 +c@18 -b@20 ");
    g_string_free(script.seen, TRUE);
}

void table_watch_tests_add(void)
{
    g_test_add_func("/table-watch/stale-read-is-not-taken", test_stale_read_is_not_taken);
}
