/* Following a table: what a stale whole read shows is never taken, what a fresh one lacks is gone.
 */
#include "unit.h"

#include "wickbridge/table_watch.h"

#include <string.h>

/* A table that answers what the test lays down. */
typedef struct script_t {
    wb_table_t table; /* first */
    wb_loop_t *loop;
    int reads;
    int calls;
    GString *seen; /* what the watch told: +KEY@VERSION or -KEY@VERSION */
} script_t;

static wb_table_row_t *row_make(const char *key, int64_t version) {
    return wb_table_row_create(key, (guchar *)g_strdup("v"), 1, version);
}

static void answer_give(wb_table_answer_fn on_answer, void *context, wb_table_outcome_t outcome,
                        GPtrArray *rows, int64_t version) {
    wb_table_answer_t answer = {outcome, rows, FALSE, version};
    on_answer(&answer, context);
    g_ptr_array_unref(rows);
}

static GPtrArray *rows_make(void) {
    return g_ptr_array_new_with_free_func((GDestroyNotify)wb_table_row_free);
}

/* The first whole read, then a stale one, then a fresh one. */
static void script_read(wb_table_t *self, wb_table_name_t table, const char *from_key,
                        wb_table_answer_fn on_answer, void *context) {
    (void)table;
    (void)from_key;
    script_t *script = (script_t *)self;
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
static void script_changes(wb_table_t *self, wb_table_name_t table, int64_t after, int64_t wait_ms,
                           wb_table_answer_fn on_answer, void *context) {
    (void)table;
    (void)wait_ms;
    script_t *script = (script_t *)self;
    if (script->reads == 3)
        return; /* the play is over */
    GPtrArray *rows = rows_make();
    script->calls++;
    if (script->calls > 1) {
        g_assert_cmpint(after, ==, 12);
        answer_give(on_answer, context, WB_TABLE_HISTORY_EXPIRED, rows, 0);
        return;
    }
    g_assert_cmpint(after, ==, 11);
    g_ptr_array_add(rows, row_make("b", 11)); /* known already */
    g_ptr_array_add(rows, row_make("b", 12));
    answer_give(on_answer, context, WB_TABLE_DONE, rows, 12);
}

static void row_seen(const wb_table_row_t *row, void *context) {
    script_t *script = context;
    g_string_append_printf(script->seen, "%c%s@%lld ", row->value != NULL ? '+' : '-', row->key,
                           (long long)row->version);
}

static void batch_seen(gboolean whole, void *context) {
    (void)whole;
    (void)context;
}

static void test_stale_read_is_not_taken(void) {
    script_t script = {0};
    wb_error_t error;
    wb_table_watch_events_t events = {row_seen, batch_seen, NULL, &script};
    g_assert_cmpint(wb_loop_create(&script.loop, "test", 16, &error), ==, APR_SUCCESS);
    script.table = (wb_table_t){script_read, script_changes, NULL};
    script.seen = g_string_new(NULL);
    wb_table_watch_intervals_t pace = {10, 20, 0, 20, 0};
    wb_table_watch_create(script.loop, &script.table, WB_TABLE_ENGINES, &pace, &events);
    wb_loop_run(script.loop);
    g_assert_cmpstr(script.seen->str, ==, "+a@10 +b@11 +b@12 +c@18 -b@20 ");
    g_string_free(script.seen, TRUE);
}

/* What other nodes tell, while an own call for changes is held. */
typedef struct held_t {
    wb_table_t table; /* first */
    wb_loop_t *loop;
    wb_table_watch_t *watch;
    int calls;
    int64_t asked_ms;
    wb_table_answer_fn on_answer; /* of the held call */
    void *context;
    script_t script; /* where rows are noted */
} held_t;

static void held_read(wb_table_t *self, wb_table_name_t table, const char *from_key,
                      wb_table_answer_fn on_answer, void *context) {
    (void)self;
    (void)table;
    (void)from_key;
    GPtrArray *rows = rows_make();
    g_ptr_array_add(rows, row_make("a", 5));
    answer_give(on_answer, context, WB_TABLE_DONE, rows, 5);
}

static void held_changes(wb_table_t *self, wb_table_name_t table, int64_t after, int64_t wait_ms,
                         wb_table_answer_fn on_answer, void *context) {
    (void)table;
    (void)after;
    (void)wait_ms;
    held_t *held = (held_t *)self;
    held->calls++;
    held->on_answer = on_answer;
    held->context = context;
}

static void held_play(void (*play)(void *context), void *context) {
    held_t *held = context;
    wb_error_t error;
    wb_table_watch_events_t events = {row_seen, batch_seen, NULL, &held->script};
    wb_table_watch_intervals_t pace = {10, 20, 500, 20, 300};
    g_assert_cmpint(wb_loop_create(&held->loop, "test", 16, &error), ==, APR_SUCCESS);
    held->table = (wb_table_t){held_read, held_changes, NULL};
    held->script.seen = g_string_new(NULL);
    held->watch = wb_table_watch_create(held->loop, &held->table, WB_TABLE_ENGINES, &pace, &events);
    wb_loop_after(held->loop, 50, play, held);
    wb_loop_run(held->loop);
    g_string_free(held->script.seen, TRUE);
}

static void removal_play(void *context) {
    held_t *held = context;
    wb_table_row_t removed = {(char *)"a", NULL, 0, 9};
    wb_table_watch_apply_row(held->watch, &removed);
    GPtrArray *rows = rows_make();
    g_ptr_array_add(rows, row_make("a", 8)); /* the held call's answer is from before */
    answer_give(held->on_answer, held->context, WB_TABLE_DONE, rows, 8);
    g_assert_cmpstr(held->script.seen->str, ==, "+a@5 -a@9 ");
    wb_table_row_t back = {(char *)"a", (guchar *)"v", 1, 12};
    wb_table_watch_apply_row(held->watch, &back);
    g_assert_cmpstr(held->script.seen->str, ==, "+a@5 -a@9 +a@12 ");
    wb_loop_quit(held->loop);
}

/* A removal that another node told of holds against an older answer of the store. */
static void test_told_removal_stays(void) {
    held_t held = {0};
    held_play(removal_play, &held);
}

static void vouched_end(void *context) {
    held_t *held = context;
    /* The safety time is over though the other node still vouches. */
    g_assert_cmpint(held->calls, ==, 3);
    wb_loop_quit(held->loop);
}

static void vouched_later(void *context) {
    held_t *held = context;
    g_assert_cmpint(held->calls, ==, 2);
    answer_give(held->on_answer, held->context, WB_TABLE_DONE, rows_make(), 6);
    wb_table_watch_note_peer_read(held->watch, 6, wb_clock_ms());
    wb_loop_after(held->loop, 360, vouched_end, held);
}

static void vouched_play(void *context) {
    held_t *held = context;
    g_assert_cmpint(held->calls, ==, 1);
    answer_give(held->on_answer, held->context, WB_TABLE_DONE, rows_make(), 5);
    wb_table_watch_note_peer_read(held->watch, 5, wb_clock_ms());
    g_assert_cmpint(held->calls, ==, 1);
    /* The other node knows a newer row: that is asked for at once. */
    wb_table_watch_note_peer_read(held->watch, 6, wb_clock_ms());
    wb_loop_after(held->loop, 40, vouched_later, held);
}

/* While another node vouches for what is known, the store isn't asked, but for newer rows and for
 * safety. */
static void test_vouched_table_is_not_asked(void) {
    held_t held = {0};
    held_play(vouched_play, &held);
}

static void page_given(void *context) {
    held_t *held = context;
    g_assert_cmpint(held->calls, ==, 2); /* at once, not after the pause */
    g_assert_cmpint(wb_table_watch_known_ms(held->watch), <, held->asked_ms);
    answer_give(held->on_answer, held->context, WB_TABLE_DONE, rows_make(), 9);
    g_assert_cmpint(wb_table_watch_known_ms(held->watch), >=, held->asked_ms);
    wb_loop_quit(held->loop);
}

static void page_play(void *context) {
    held_t *held = context;
    wb_table_watch_intervals_t slow = {10, 60000, 500, 20, 300};
    wb_table_watch_set_intervals(held->watch, &slow);
    held->asked_ms = wb_clock_ms();
    g_autoptr(GPtrArray) rows = rows_make();
    g_ptr_array_add(rows, row_make("b", 7));
    wb_table_answer_t answer = {WB_TABLE_DONE, rows, TRUE, 7};
    held->on_answer(&answer, held->context);
    wb_loop_after(held->loop, 60, page_given, held);
}

/* Changes that come in pages are asked for until the last one; only then is anything known. */
static void test_changes_in_pages(void) {
    held_t held = {0};
    held_play(page_play, &held);
}

static void failed_answer(held_t *held) {
    answer_give(held->on_answer, held->context, WB_TABLE_NOT_DONE, rows_make(), 0);
}

static void look_retried(void *context) {
    held_t *held = context;
    g_assert_cmpint(held->calls, ==, 4);
    wb_loop_quit(held->loop);
}

static void look_told(void *context) {
    held_t *held = context;
    g_assert_cmpint(held->calls, ==, 3);
    failed_answer(held); /* the next try of its own would come after 9.6 s */
    wb_table_watch_note_peer_read(held->watch, 99, wb_clock_ms());
    wb_loop_after(held->loop, 1100, look_retried, held);
}

static void look_second(void *context) {
    held_t *held = context;
    g_assert_cmpint(held->calls, ==, 2);
    failed_answer(held);
    wb_loop_after(held->loop, 1400, look_told, held);
}

static void look_play(void *context) {
    held_t *held = context;
    wb_table_watch_intervals_t pace = {.wait_ms = 10, .pause_ms = 20, .peer_read_valid_ms = 500, .retry_ms = 60000};
    wb_table_watch_set_intervals(held->watch, &pace);
    failed_answer(held);
    wb_loop_after(held->loop, 250, look_second, held);
}

/* A table that fails is asked ever more rarely, but soon for what another node has told of. */
static void test_look_after_failures(void) {
    held_t held = {0};
    held_play(look_play, &held);
}

static void read_trusted_end(void *context) {
    held_t *held = context;
    g_assert_cmpint(held->calls, ==, 1);
    g_assert_cmpint(wb_clock_ms() - held->asked_ms, >=, 150);
    wb_loop_quit(held->loop);
}

static void read_trusted_play(void *context) {
    held_t *held = context;
    g_assert_cmpint(held->calls, ==, 0); /* 50 ms after the read */
    wb_loop_after(held->loop, 150, read_trusted_end, held);
}

/* What was just read whole isn't asked for at once again. */
static void test_whole_read_is_trusted(void) {
    held_t held = {0};
    wb_error_t error;
    wb_table_watch_events_t events = {row_seen, batch_seen, NULL, &held.script};
    wb_table_watch_intervals_t pace = {.wait_ms = 10, .pause_ms = 20, .full_read_valid_ms = 150};
    g_assert_cmpint(wb_loop_create(&held.loop, "test", 16, &error), ==, APR_SUCCESS);
    held.table = (wb_table_t){held_read, held_changes, NULL};
    held.script.seen = g_string_new(NULL);
    held.asked_ms = wb_clock_ms();
    held.watch = wb_table_watch_create(held.loop, &held.table, WB_TABLE_ENGINES, &pace, &events);
    wb_loop_after(held.loop, 50, read_trusted_play, &held);
    wb_loop_run(held.loop);
    g_string_free(held.script.seen, TRUE);
}

/* A table that grows beyond the limit while it is followed. */
typedef struct growing_t {
    script_t script; /* first */
    wb_table_watch_t *watch;
    gboolean goes_on;
    int larges;
} growing_t;

static void growing_read(wb_table_t *self, wb_table_name_t table, const char *from_key,
                         wb_table_answer_fn on_answer, void *context) {
    (void)table;
    (void)from_key;
    growing_t *growing = (growing_t *)self;
    GPtrArray *rows = rows_make();
    growing->script.reads++;
    g_ptr_array_add(rows, row_make("a", 10));
    g_ptr_array_add(rows, row_make("b", 11));
    if (growing->script.reads > 1) {
        g_ptr_array_add(rows, row_make("c", 13));
    }
    answer_give(on_answer, context, WB_TABLE_DONE, rows, growing->script.reads > 1 ? 14 : 11);
    if (growing->script.reads > 1) {
        wb_loop_quit(growing->script.loop);
    }
}

static void growing_changes(wb_table_t *self, wb_table_name_t table, int64_t after, int64_t wait_ms,
                            wb_table_answer_fn on_answer, void *context) {
    (void)table;
    (void)after;
    (void)wait_ms;
    growing_t *growing = (growing_t *)self;
    if (growing->script.calls++ > 0) {
        return;
    }
    GPtrArray *rows = rows_make();
    g_ptr_array_add(rows, row_make("d", 12));
    answer_give(on_answer, context, WB_TABLE_DONE, rows, 12);
}

static void growing_large(void *context) {
    growing_t *growing = context;
    growing->larges++;
    if (growing->goes_on) {
        wb_table_watch_read_all(growing->watch);
    } else {
        wb_table_watch_follow_subset(growing->watch);
        wb_table_row_t told = {(char *)"b", (guchar *)"v", 1, 11};
        wb_table_row_t later = {(char *)"b", (guchar *)"v", 1, 15};
        wb_table_watch_apply_row(growing->watch, &told);
        wb_table_watch_apply_row(growing->watch, &later);
        wb_table_watch_apply_row(growing->watch, &told);
        wb_loop_quit(growing->script.loop);
    }
}

static char *growing_play(gboolean goes_on) {
    growing_t growing = {.goes_on = goes_on};
    wb_error_t error;
    wb_table_watch_events_t events = {
        .on_row = row_seen, .on_batch = batch_seen, .context = &growing, .on_row_limit = growing_large};
    g_assert_cmpint(wb_loop_create(&growing.script.loop, "test", 16, &error), ==, APR_SUCCESS);
    growing.script.table = (wb_table_t){growing_read, growing_changes, NULL};
    growing.script.seen = g_string_new(NULL);
    wb_table_watch_intervals_t pace = {10, 20, 0, 20, 0};
    growing.watch = wb_table_watch_create(growing.script.loop, &growing.script.table,
                                          WB_TABLE_ENGINES, &pace, &events);
    wb_table_watch_set_row_limit(growing.watch, 2);
    wb_loop_run(growing.script.loop);
    g_assert_cmpint(growing.larges, ==, 1);
    g_assert_true(wb_table_watch_is_synced(growing.watch));
    return g_string_free(growing.script.seen, FALSE);
}

/* Who reads it whole is told rows again that it knew, and what has gone meanwhile; who doesn't
 * takes what others tell, and nothing older than that. */
static void test_large_table(void) {
    g_autofree char *whole = growing_play(TRUE);
    g_assert_cmpstr(whole, ==, "+a@10 +b@11 +d@12 +a@10 +b@11 +c@13 -d@14 ");
    g_autofree char *part = growing_play(FALSE);
    g_assert_cmpstr(part, ==, "+a@10 +b@11 +d@12 +b@11 +b@15 ");
}

static void tests_add(void) {
    g_test_add_func("/table-watch/large-table", test_large_table);
    g_test_add_func("/table-watch/look-after-failures", test_look_after_failures);
    g_test_add_func("/table-watch/whole-read-is-trusted", test_whole_read_is_trusted);
    g_test_add_func("/table-watch/told-removal-stays", test_told_removal_stays);
    g_test_add_func("/table-watch/vouched-table-is-not-asked", test_vouched_table_is_not_asked);
    g_test_add_func("/table-watch/changes-in-pages", test_changes_in_pages);
    g_test_add_func("/table-watch/stale-read-is-not-taken", test_stale_read_is_not_taken);
}

UNIT_TEST_MAIN(tests_add)
