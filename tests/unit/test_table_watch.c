/* Following a table: older rows never come back, whoever told of the newer ones. */
#include "unit.h"

#include "wickbridge/table_watch.h"

#include <string.h>

/* A table that answers what the test lays down. */
typedef struct script_t {
    wb_loop_t *loop;
    wb_table_t table;
    wb_table_watch_t *watch;
    int calls;
    GString *seen; /* what the watch told: +KEY@VERSION or -KEY@VERSION */
} script_t;

static wb_table_row_t *row_make(const char *key, gboolean there, int64_t version)
{
    guchar *value = there ? (guchar *)g_strdup("v") : NULL;
    return wb_table_row_create(key, value, there ? 1 : 0, version);
}

static void answer_give(wb_table_answer_fn on_answer, void *context, GPtrArray *rows,
                        int64_t version)
{
    wb_table_answer_t answer = {WB_TABLE_DONE, rows, FALSE, version};
    on_answer(&answer, context);
    g_ptr_array_unref(rows);
}

static GPtrArray *rows_make(void)
{
    return g_ptr_array_new_with_free_func((GDestroyNotify)wb_table_row_free);
}

static void script_read(void *self, wb_table_name_t table, const char *from_key,
                        wb_table_answer_fn on_answer, void *context)
{
    (void)self;
    (void)table;
    (void)from_key;
    GPtrArray *rows = rows_make();
    g_ptr_array_add(rows, row_make("a", TRUE, 10));
    g_ptr_array_add(rows, row_make("b", TRUE, 11));
    answer_give(on_answer, context, rows, 11);
}

static void later_run(void *context);

/* Another node's news come between this watch's own calls. */
static void script_changes(void *self, wb_table_name_t table, int64_t after, int64_t wait_ms,
                           wb_table_answer_fn on_answer, void *context)
{
    (void)table;
    (void)after;
    (void)wait_ms;
    script_t *script = self;
    GPtrArray *rows = rows_make();
    script->calls++;
    if (script->calls == 1) {
        answer_give(on_answer, context, rows, 11);
        wb_loop_after(script->loop, 1, later_run, script);
        return;
    }
    g_ptr_array_add(rows, row_make("a", TRUE, 15));
    g_ptr_array_add(rows, row_make("a", FALSE, 20));
    g_ptr_array_add(rows, row_make("c", TRUE, 21));
    answer_give(on_answer, context, rows, 21);
    wb_loop_quit(script->loop);
}

static void later_run(void *context)
{
    script_t *script = context;
    g_autoptr(GPtrArray) rows = rows_make();
    g_ptr_array_add(rows, row_make("a", FALSE, 20));
    g_ptr_array_add(rows, row_make("b", TRUE, 19));
    g_ptr_array_add(rows, row_make("b", TRUE, 18));
    wb_table_watch_take(script->watch, rows);
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

static void test_removed_row_stays_removed(void)
{
    script_t script = {0};
    wb_error_t error;
    wb_table_watch_events_t events = {row_seen, batch_seen, NULL, &script};
    g_assert_cmpint(wb_loop_create(&script.loop, "test", 16, &error), ==, APR_SUCCESS);
    script.table = (wb_table_t){&script, script_read, script_changes, NULL};
    script.seen = g_string_new(NULL);
    script.watch =
        wb_table_watch_create(script.loop, &script.table, WB_TABLE_ENGINES, 10, 20, &events);
    wb_loop_run(script.loop);
    g_assert_cmpstr(script.seen->str, ==, "+a@10 +b@11 -a@20 +b@19 +c@21 ");
    g_string_free(script.seen, TRUE);
}

void table_watch_tests_add(void)
{
    g_test_add_func("/table-watch/removed-row-stays-removed", test_removed_row_stays_removed);
}
