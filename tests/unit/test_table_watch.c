/* Guards against a watch that applies stale reads, misses removals, or reads the store more often
 * than needed. */
#include "unit.h"

#include "wickbridge/table_watch.h"

#include <string.h>

/* A table with scripted answers. */
typedef struct script_t {
    wb_table_t table; /* first */
    wb_loop_t *loop;
    int reads;
    int calls;
    GString *seen; /* rows reported by the watch */
} script_t;

static wb_table_row_t *row_make(const char *key, int64_t version) {
    return wb_table_row_create(key, (guchar *)g_strdup("v"), 1, version);
}

static void send_answer(wb_table_answer_fn on_answer, void *context, wb_table_outcome_t outcome,
                        GPtrArray *rows, int64_t version) {
    wb_table_answer_t answer = {outcome, rows, FALSE, version};
    on_answer(&answer, context);
    g_ptr_array_unref(rows);
}

static GPtrArray *rows_make(void) {
    return g_ptr_array_new_with_free_func((GDestroyNotify)wb_table_row_free);
}

/* Answers three full reads: a first, a stale and a fresh one. */
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
        send_answer(on_answer, context, WB_TABLE_DONE, rows, 11);
    } else if (script->reads == 2) {
        g_ptr_array_add(rows, row_make("a", 8));
        g_ptr_array_add(rows, row_make("old", 7));
        send_answer(on_answer, context, WB_TABLE_DONE, rows, 9);
    } else {
        g_ptr_array_add(rows, row_make("a", 10));
        g_ptr_array_add(rows, row_make("c", 18));
        send_answer(on_answer, context, WB_TABLE_DONE, rows, 20);
        wb_loop_quit(script->loop);
    }
}

/* Answers one call with changes, then reports expired history. */
static void script_changes(wb_table_t *self, wb_table_name_t table, int64_t after, int64_t wait_ms,
                           wb_table_answer_fn on_answer, void *context) {
    (void)table;
    (void)wait_ms;
    script_t *script = (script_t *)self;
    /* The test is over. */
    if (script->reads == 3)
        return;
    GPtrArray *rows = rows_make();
    script->calls++;
    if (script->calls > 1) {
        g_assert_cmpint(after, ==, 12);
        send_answer(on_answer, context, WB_TABLE_HISTORY_EXPIRED, rows, 0);
        return;
    }
    g_assert_cmpint(after, ==, 11);
    g_ptr_array_add(rows, row_make("b", 11)); /* known already */
    g_ptr_array_add(rows, row_make("b", 12));
    send_answer(on_answer, context, WB_TABLE_DONE, rows, 12);
}

static void record_row(const wb_table_row_t *row, void *context) {
    script_t *script = context;
    g_string_append_printf(script->seen, "%c%s@%lld ", row->value != NULL ? '+' : '-', row->key,
                           (long long)row->version);
}

static void ignore_batch(gboolean full, void *context) {
    (void)full;
    (void)context;
}

static void test_stale_read_is_not_taken(void) {
    script_t script = {0};
    wb_error_t error;
    wb_table_watch_events_t events = {record_row, ignore_batch, NULL, &script};
    g_assert_cmpint(wb_loop_create(&script.loop, "test", 16, &error), ==, APR_SUCCESS);
    script.table = (wb_table_t){script_read, script_changes, NULL};
    script.seen = g_string_new(NULL);
    wb_table_watch_intervals_t pace = {10, 20, 0, 20, 0};
    wb_table_watch_create(script.loop, &script.table, WB_TABLE_ENGINES, &pace, &events);
    wb_loop_run(script.loop);
    g_assert_cmpstr(script.seen->str, ==, "+a@10 +b@11 +b@12 +c@18 -b@20 ");
    g_string_free(script.seen, TRUE);
}

/* A watch whose call for changes is a pending long poll while other nodes send updates. */
typedef struct long_poll_t {
    wb_table_t table; /* first */
    wb_loop_t *loop;
    wb_table_watch_t *watch;
    int calls;
    int64_t asked_ms;
    wb_table_answer_fn on_answer; /* of the pending call */
    void *context;
    script_t script; /* records rows */
} long_poll_t;

static void long_poll_read(wb_table_t *self, wb_table_name_t table, const char *from_key,
                           wb_table_answer_fn on_answer, void *context) {
    (void)self;
    (void)table;
    (void)from_key;
    GPtrArray *rows = rows_make();
    g_ptr_array_add(rows, row_make("a", 5));
    send_answer(on_answer, context, WB_TABLE_DONE, rows, 5);
}

static void long_poll_changes(wb_table_t *self, wb_table_name_t table, int64_t after,
                              int64_t wait_ms, wb_table_answer_fn on_answer, void *context) {
    (void)table;
    (void)after;
    (void)wait_ms;
    long_poll_t *poll = (long_poll_t *)self;
    poll->calls++;
    poll->on_answer = on_answer;
    poll->context = context;
}

static void long_poll_run(void (*steps)(void *context), void *context) {
    long_poll_t *poll = context;
    wb_error_t error;
    wb_table_watch_events_t events = {record_row, ignore_batch, NULL, &poll->script};
    wb_table_watch_intervals_t pace = {10, 20, 500, 20, 300};
    g_assert_cmpint(wb_loop_create(&poll->loop, "test", 16, &error), ==, APR_SUCCESS);
    poll->table = (wb_table_t){long_poll_read, long_poll_changes, NULL};
    poll->script.seen = g_string_new(NULL);
    poll->watch = wb_table_watch_create(poll->loop, &poll->table, WB_TABLE_ENGINES, &pace, &events);
    wb_loop_after(poll->loop, 50, steps, poll);
    wb_loop_run(poll->loop);
    g_string_free(poll->script.seen, TRUE);
}

static void removal_begin(void *context) {
    long_poll_t *poll = context;
    wb_table_row_t removed = {(char *)"a", NULL, 0, 9};
    wb_table_watch_apply_row(poll->watch, &removed);
    GPtrArray *rows = rows_make();
    /* The pending call's answer is older than the removal. */
    g_ptr_array_add(rows, row_make("a", 8));
    send_answer(poll->on_answer, poll->context, WB_TABLE_DONE, rows, 8);
    g_assert_cmpstr(poll->script.seen->str, ==, "+a@5 -a@9 ");
    wb_table_row_t restored = {(char *)"a", (guchar *)"v", 1, 12};
    wb_table_watch_apply_row(poll->watch, &restored);
    g_assert_cmpstr(poll->script.seen->str, ==, "+a@5 -a@9 +a@12 ");
    wb_loop_quit(poll->loop);
}

/* A removal reported by another node isn't undone by an older answer of the store. */
static void test_told_removal_stays(void) {
    long_poll_t poll = {0};
    long_poll_run(removal_begin, &poll);
}

static void peer_read_end(void *context) {
    long_poll_t *poll = context;
    /* The max interval between own reads has passed, whatever other nodes read. */
    g_assert_cmpint(poll->calls, ==, 3);
    wb_loop_quit(poll->loop);
}

static void peer_read_newer(void *context) {
    long_poll_t *poll = context;
    g_assert_cmpint(poll->calls, ==, 2);
    send_answer(poll->on_answer, poll->context, WB_TABLE_DONE, rows_make(), 6);
    wb_table_watch_note_peer_read(poll->watch, 6, wb_clock_ms());
    wb_loop_after(poll->loop, 360, peer_read_end, poll);
}

static void peer_read_begin(void *context) {
    long_poll_t *poll = context;
    g_assert_cmpint(poll->calls, ==, 1);
    send_answer(poll->on_answer, poll->context, WB_TABLE_DONE, rows_make(), 5);
    wb_table_watch_note_peer_read(poll->watch, 5, wb_clock_ms());
    g_assert_cmpint(poll->calls, ==, 1);
    /* The other node knows a newer row: it is read at once. */
    wb_table_watch_note_peer_read(poll->watch, 6, wb_clock_ms());
    wb_loop_after(poll->loop, 40, peer_read_newer, poll);
}

/* While another node confirms the known version, the store is read only for newer rows, and after
 * the max interval. */
static void test_vouched_table_is_not_asked(void) {
    long_poll_t poll = {0};
    long_poll_run(peer_read_begin, &poll);
}

static void page_received(void *context) {
    long_poll_t *poll = context;
    g_assert_cmpint(poll->calls, ==, 2); /* at once, not after pause_ms */
    g_assert_cmpint(wb_table_watch_known_ms(poll->watch), <, poll->asked_ms);
    send_answer(poll->on_answer, poll->context, WB_TABLE_DONE, rows_make(), 9);
    g_assert_cmpint(wb_table_watch_known_ms(poll->watch), >=, poll->asked_ms);
    wb_loop_quit(poll->loop);
}

static void page_begin(void *context) {
    long_poll_t *poll = context;
    wb_table_watch_intervals_t slow = {10, 60000, 500, 20, 300};
    wb_table_watch_set_intervals(poll->watch, &slow);
    poll->asked_ms = wb_clock_ms();
    g_autoptr(GPtrArray) rows = rows_make();
    g_ptr_array_add(rows, row_make("b", 7));
    wb_table_answer_t answer = {WB_TABLE_DONE, rows, TRUE, 7};
    poll->on_answer(&answer, poll->context);
    wb_loop_after(poll->loop, 60, page_received, poll);
}

/* Changes in several pages are requested up to the last; only then is the table known. */
static void test_changes_in_pages(void) {
    long_poll_t poll = {0};
    long_poll_run(page_begin, &poll);
}

static void send_failure(long_poll_t *poll) {
    send_answer(poll->on_answer, poll->context, WB_TABLE_NOT_DONE, rows_make(), 0);
}

static void retry_end(void *context) {
    long_poll_t *poll = context;
    g_assert_cmpint(poll->calls, ==, 4);
    wb_loop_quit(poll->loop);
}

static void retry_after_update(void *context) {
    long_poll_t *poll = context;
    g_assert_cmpint(poll->calls, ==, 3);
    send_failure(poll); /* its own next retry would be after 9.6 s */
    wb_table_watch_note_peer_read(poll->watch, 99, wb_clock_ms());
    wb_loop_after(poll->loop, 1100, retry_end, poll);
}

static void retry_second(void *context) {
    long_poll_t *poll = context;
    g_assert_cmpint(poll->calls, ==, 2);
    send_failure(poll);
    wb_loop_after(poll->loop, 1400, retry_after_update, poll);
}

static void retry_begin(void *context) {
    long_poll_t *poll = context;
    wb_table_watch_intervals_t pace = {
        .wait_ms = 10, .pause_ms = 20, .peer_read_valid_ms = 500, .retry_ms = 60000};
    wb_table_watch_set_intervals(poll->watch, &pace);
    send_failure(poll);
    wb_loop_after(poll->loop, 250, retry_second, poll);
}

/* A failing table is polled at growing intervals, but soon for a version that another node
 * reported. */
static void test_look_after_failures(void) {
    long_poll_t poll = {0};
    long_poll_run(retry_begin, &poll);
}

static void full_read_end(void *context) {
    long_poll_t *poll = context;
    g_assert_cmpint(poll->calls, ==, 1);
    g_assert_cmpint(wb_clock_ms() - poll->asked_ms, >=, 150);
    wb_loop_quit(poll->loop);
}

static void full_read_begin(void *context) {
    long_poll_t *poll = context;
    g_assert_cmpint(poll->calls, ==, 0); /* 50 ms after the read */
    wb_loop_after(poll->loop, 150, full_read_end, poll);
}

/* After a full read the next poll waits for full_read_valid_ms. */
static void test_whole_read_is_trusted(void) {
    long_poll_t poll = {0};
    wb_error_t error;
    wb_table_watch_events_t events = {record_row, ignore_batch, NULL, &poll.script};
    wb_table_watch_intervals_t pace = {.wait_ms = 10, .pause_ms = 20, .full_read_valid_ms = 150};
    g_assert_cmpint(wb_loop_create(&poll.loop, "test", 16, &error), ==, APR_SUCCESS);
    poll.table = (wb_table_t){long_poll_read, long_poll_changes, NULL};
    poll.script.seen = g_string_new(NULL);
    poll.asked_ms = wb_clock_ms();
    poll.watch = wb_table_watch_create(poll.loop, &poll.table, WB_TABLE_ENGINES, &pace, &events);
    wb_loop_after(poll.loop, 50, full_read_begin, &poll);
    wb_loop_run(poll.loop);
    g_string_free(poll.script.seen, TRUE);
}

/* A table that grows beyond the row limit while it is followed. */
typedef struct growing_t {
    script_t script; /* first */
    wb_table_watch_t *watch;
    gboolean reads_all;
    int limit_calls;
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
    send_answer(on_answer, context, WB_TABLE_DONE, rows, growing->script.reads > 1 ? 14 : 11);
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
    send_answer(on_answer, context, WB_TABLE_DONE, rows, 12);
}

static void growing_on_limit(void *context) {
    growing_t *growing = context;
    growing->limit_calls++;
    if (growing->reads_all) {
        wb_table_watch_read_all(growing->watch);
    } else {
        wb_table_watch_follow_subset(growing->watch);
        wb_table_row_t received = {(char *)"b", (guchar *)"v", 1, 11};
        wb_table_row_t newer = {(char *)"b", (guchar *)"v", 1, 15};
        wb_table_watch_apply_row(growing->watch, &received);
        wb_table_watch_apply_row(growing->watch, &newer);
        wb_table_watch_apply_row(growing->watch, &received);
        wb_loop_quit(growing->script.loop);
    }
}

static char *growing_run(gboolean reads_all) {
    growing_t growing = {.reads_all = reads_all};
    wb_error_t error;
    wb_table_watch_events_t events = {.on_row = record_row,
                                      .on_batch = ignore_batch,
                                      .context = &growing,
                                      .on_row_limit = growing_on_limit};
    g_assert_cmpint(wb_loop_create(&growing.script.loop, "test", 16, &error), ==, APR_SUCCESS);
    growing.script.table = (wb_table_t){growing_read, growing_changes, NULL};
    growing.script.seen = g_string_new(NULL);
    wb_table_watch_intervals_t pace = {10, 20, 0, 20, 0};
    growing.watch = wb_table_watch_create(growing.script.loop, &growing.script.table,
                                          WB_TABLE_ENGINES, &pace, &events);
    wb_table_watch_set_row_limit(growing.watch, 2);
    wb_loop_run(growing.script.loop);
    g_assert_cmpint(growing.limit_calls, ==, 1);
    g_assert_true(wb_table_watch_is_synced(growing.watch));
    return g_string_free(growing.script.seen, FALSE);
}

/* A watch that reads the whole table gets known rows again and the removals; one that follows a
 * subset applies only updates from others that aren't older. */
static void test_large_table(void) {
    g_autofree char *full = growing_run(TRUE);
    g_assert_cmpstr(full, ==, "+a@10 +b@11 +d@12 +a@10 +b@11 +c@13 -d@14 ");
    g_autofree char *subset = growing_run(FALSE);
    g_assert_cmpstr(subset, ==, "+a@10 +b@11 +d@12 +b@11 +b@15 ");
}

/* A store that forgets its history and then, for some reads, shows an older state. */
typedef struct behind_t {
    wb_table_t table; /* first */
    wb_loop_t *loop;
    wb_table_watch_t *watch;
    int reads;
    int stale_reads; /* full reads after the first that are behind */
    script_t script; /* records rows */
} behind_t;

static void behind_read(wb_table_t *self, wb_table_name_t table, const char *from_key,
                        wb_table_answer_fn on_answer, void *context) {
    (void)table;
    (void)from_key;
    behind_t *behind = (behind_t *)self;
    int64_t version = ++behind->reads <= 1 + behind->stale_reads ? 5 : 9;
    GPtrArray *rows = rows_make();
    g_ptr_array_add(rows, row_make("a", version));
    send_answer(on_answer, context, WB_TABLE_DONE, rows, version);
}

/* Never answers a long poll; else the history is gone. */
static void behind_changes(wb_table_t *self, wb_table_name_t table, int64_t after, int64_t wait_ms,
                           wb_table_answer_fn on_answer, void *context) {
    (void)self;
    (void)table;
    if (after >= 9) {
        return;
    }
    (void)wait_ms;
    send_answer(on_answer, context, WB_TABLE_HISTORY_EXPIRED, rows_make(), 0);
}

static void peer_confirm(void *context) {
    behind_t *behind = context;
    wb_table_watch_note_peer_read(behind->watch, 9, wb_clock_ms());
}

static void behind_end(void *context) {
    behind_t *behind = context;
    g_assert_cmpstr(behind->script.seen->str, ==, "+a@5 +a@9 ");
    g_assert_cmpint(behind->reads, <=, 2 + behind->stale_reads);
    wb_loop_quit(behind->loop);
}

/* Guards against a node that stops looking for a version that a peer has named, because a read that
 * began later was behind and didn't have it. */
static void test_named_version_is_read(void) {
    behind_t behind = {.stale_reads = 1};
    wb_error_t error;
    wb_table_watch_events_t events = {record_row, ignore_batch, NULL, &behind.script};
    wb_table_watch_intervals_t pace = {.wait_ms = 10,
                                       .pause_ms = 20,
                                       .peer_read_valid_ms = 60000,
                                       .look_ms = 20,
                                       .safety_ms = 60000,
                                       .full_read_valid_ms = 60000};
    g_assert_cmpint(wb_loop_create(&behind.loop, "test", 16, &error), ==, APR_SUCCESS);
    behind.table = (wb_table_t){behind_read, behind_changes, NULL};
    behind.script.seen = g_string_new(NULL);
    behind.watch =
        wb_table_watch_create(behind.loop, &behind.table, WB_TABLE_CATALOG, &pace, &events);
    wb_timer_t *confirm = wb_loop_every(behind.loop, 50, peer_confirm, &behind);
    wb_loop_after(behind.loop, 1000, behind_end, &behind);
    wb_loop_run(behind.loop);
    wb_timer_cancel(confirm);
    g_string_free(behind.script.seen, TRUE);
}

static void empty_late(void *context) {
    long_poll_t *poll = context;
    int64_t before_ms = poll->asked_ms;
    send_answer(poll->on_answer, poll->context, WB_TABLE_DONE, rows_make(), 5);
    /* It was held for its 10 ms at least, so there was no change in that time. */
    g_assert_cmpint(wb_table_watch_fresh_ms(poll->watch), >=, before_ms + 10);
    g_assert_cmpint(wb_table_watch_fresh_ms(poll->watch), >, wb_table_watch_known_ms(poll->watch));
    wb_loop_quit(poll->loop);
}

static void empty_early(void *context) {
    long_poll_t *poll = context;
    wb_table_watch_intervals_t slow = {
        .wait_ms = 10, .pause_ms = 20, .peer_read_valid_ms = 500, .safety_ms = 300};
    g_assert_cmpint(poll->calls, ==, 1);
    wb_table_watch_set_intervals(poll->watch, &slow);
    poll->asked_ms = wb_clock_ms();
    GPtrArray *rows = rows_make();
    g_ptr_array_add(rows, row_make("b", 7));
    send_answer(poll->on_answer, poll->context, WB_TABLE_DONE, rows, 7);
    /* With changes it may have been answered at any time. */
    g_assert_cmpint(wb_table_watch_fresh_ms(poll->watch), ==, wb_table_watch_known_ms(poll->watch));
    wb_loop_after(poll->loop, 60, empty_late, poll);
}

/* Guards against a node whose long polls confirm its table only as of their start, so that it never
 * counts as confirmed although the store answers each of them. */
static void test_empty_long_poll(void) {
    long_poll_t poll = {0};
    long_poll_run(empty_early, &poll);
}

static void named_step(void *context) {
    long_poll_t *poll = context;
    wb_table_watch_note_peer_read(poll->watch, 9, wb_clock_ms());
    g_assert_cmpint(wb_table_watch_newest_row(poll->watch), ==, 5);
    g_assert_cmpint(wb_table_watch_newest_named(poll->watch), ==, 9);
    g_assert_cmpint(wb_table_watch_behind_since_ms(poll->watch), !=, 0);
    wb_table_row_t row = {(char *)"a", (guchar *)"v", 1, 9};
    wb_table_watch_apply_row(poll->watch, &row);
    g_assert_cmpint(wb_table_watch_newest_row(poll->watch), ==, 9);
    g_assert_cmpint(wb_table_watch_behind_since_ms(poll->watch), ==, 0);
    wb_loop_quit(poll->loop);
}

/* Guards against passing on another node's confirmation together with an older version of one's
 * own. */
static void test_named_version_is_passed_on(void) {
    long_poll_t poll = {0};
    long_poll_run(named_step, &poll);
}

static void tests_add(void) {
    g_test_add_func("/table-watch/empty-long-poll", test_empty_long_poll);
    g_test_add_func("/table-watch/named-version-is-passed-on", test_named_version_is_passed_on);
    g_test_add_func("/table-watch/named-version-is-read", test_named_version_is_read);
    g_test_add_func("/table-watch/large-table", test_large_table);
    g_test_add_func("/table-watch/look-after-failures", test_look_after_failures);
    g_test_add_func("/table-watch/whole-read-is-trusted", test_whole_read_is_trusted);
    g_test_add_func("/table-watch/told-removal-stays", test_told_removal_stays);
    g_test_add_func("/table-watch/vouched-table-is-not-asked", test_vouched_table_is_not_asked);
    g_test_add_func("/table-watch/changes-in-pages", test_changes_in_pages);
    g_test_add_func("/table-watch/stale-read-is-not-taken", test_stale_read_is_not_taken);
}

UNIT_TEST_MAIN(tests_add)
