/* Guards against starts of streams that are in no row of the store when all nodes have ended. */
#include "unit.h"

#include "request/stream_batches.h"

#define KEPT_MS 3000
#define INTERVAL_MS 500
#define BATCH_MAX 4
#define BEGUN_MS 1000000

typedef struct fixture_t {
    wb_stream_starts_t *starts;
    wb_stream_batches_t *batches;
    int64_t now_ms;
    int added;
} fixture_t;

static wb_request_digest_t key_of(int number) {
    g_autofree char *id = g_strdup_printf("r%d", number);
    return wb_stream_key(NULL, id);
}

static void fixture_open(fixture_t *fixture) {
    *fixture = (fixture_t){.starts = wb_stream_starts_create(),
                           .batches = wb_stream_batches_create(KEPT_MS, INTERVAL_MS, BATCH_MAX),
                           .now_ms = BEGUN_MS};
}

static void fixture_close(fixture_t *fixture) {
    wb_stream_starts_free(fixture->starts);
    wb_stream_batches_free(fixture->batches);
}

static void starts_add(fixture_t *fixture, int count) {
    for (int i = 0; i < count; i++) {
        wb_request_digest_t key = key_of(fixture->added++);
        wb_stream_starts_add(fixture->starts, &key, "llm", "v1", fixture->now_ms + KEPT_MS);
    }
}

static gboolean next(fixture_t *fixture, wb_stream_batch_t *batch) {
    return wb_stream_batches_next(fixture->batches, fixture->starts, fixture->now_ms, batch);
}

static void assert_next(fixture_t *fixture, wb_stream_batch_t *batch, unsigned slot, uint64_t after,
                        uint64_t up_to) {
    g_assert_true(next(fixture, batch));
    g_assert_cmpuint(batch->slot, ==, slot);
    g_assert_cmpuint(batch->after, ==, after);
    g_assert_cmpuint(batch->up_to, ==, up_to);
}

/* One write at a time, at intervals; a full batch is followed at once. */
static void test_intervals(void) {
    fixture_t fixture;
    wb_stream_batch_t batch;
    fixture_open(&fixture);
    starts_add(&fixture, 2);
    g_assert_false(next(&fixture, &batch)); /* the rows haven't been read */
    wb_stream_batches_begin(fixture.batches, fixture.starts);
    assert_next(&fixture, &batch, 0, 0, 2);
    starts_add(&fixture, BATCH_MAX + 1);
    fixture.now_ms += INTERVAL_MS;
    g_assert_false(next(&fixture, &batch));
    wb_stream_batches_done(fixture.batches, &batch, WB_STREAM_WRITTEN, 7);
    assert_next(&fixture, &batch, 1, 2, 2 + BATCH_MAX);
    wb_stream_batches_done(fixture.batches, &batch, WB_STREAM_WRITTEN, 8);
    assert_next(&fixture, &batch, 2, 2 + BATCH_MAX, 3 + BATCH_MAX);
    wb_stream_batches_done(fixture.batches, &batch, WB_STREAM_WRITTEN, 9);
    starts_add(&fixture, 1);
    fixture.now_ms += INTERVAL_MS - 1;
    g_assert_false(next(&fixture, &batch));
    fixture.now_ms++;
    assert_next(&fixture, &batch, 3, 3 + BATCH_MAX, 4 + BATCH_MAX);
    fixture_close(&fixture);
}

/* What wasn't written is written again, in another row; a row that another process has written is
 * left alone until its turn comes again. */
static void test_failed_writes(void) {
    fixture_t fixture;
    wb_stream_batch_t batch;
    fixture_open(&fixture);
    wb_stream_batches_begin(fixture.batches, fixture.starts);
    starts_add(&fixture, 1);
    assert_next(&fixture, &batch, 0, 0, 1);
    wb_stream_batches_done(fixture.batches, &batch, WB_STREAM_NOT_WRITTEN, 0);
    fixture.now_ms += INTERVAL_MS;
    assert_next(&fixture, &batch, 1, 0, 1);
    wb_stream_batches_done(fixture.batches, &batch, WB_STREAM_CONFLICT, 5);
    fixture.now_ms += INTERVAL_MS;
    assert_next(&fixture, &batch, 2, 0, 1);
    wb_stream_batches_done(fixture.batches, &batch, WB_STREAM_WRITTEN, 6);
    for (unsigned slot = 3; slot <= wb_stream_batches_slots(fixture.batches) + 1; slot++) {
        starts_add(&fixture, 1);
        fixture.now_ms += INTERVAL_MS;
        g_assert_true(next(&fixture, &batch));
        wb_stream_batches_done(fixture.batches, &batch, WB_STREAM_WRITTEN, 6 + slot);
    }
    g_assert_cmpuint(batch.slot, ==, 1);
    g_assert_cmpint(batch.expected_version, ==, 5);
    fixture_close(&fixture);
}

/* One that takes over goes on behind the newest row, and writes nothing that it has read. */
static void test_takeover(void) {
    fixture_t fixture;
    wb_stream_batch_t batch;
    fixture_open(&fixture);
    wb_stream_batches_slot_read(fixture.batches, 0, 11, 900);
    wb_stream_batches_slot_read(fixture.batches, 1, 12, 950);
    wb_stream_batches_slot_read(fixture.batches, 2, 3, 100);
    wb_stream_batches_slot_read(fixture.batches, 1000, 4, 9999); /* by other settings */
    for (int i = 100; i < 102; i++) {
        wb_request_digest_t key = key_of(i);
        g_assert_true(wb_stream_starts_restore(fixture.starts, &key, "llm", "v1", G_MAXINT64));
    }
    wb_stream_batches_begin(fixture.batches, fixture.starts);
    g_assert_false(next(&fixture, &batch));
    starts_add(&fixture, 1);
    assert_next(&fixture, &batch, 2, 2, 3);
    g_assert_cmpint(batch.expected_version, ==, 3);
    fixture_close(&fixture);
}

/* After a pause all that is known is written, as it wasn't meanwhile. */
static void test_pause(void) {
    fixture_t fixture;
    wb_stream_batch_t batch;
    fixture_open(&fixture);
    wb_stream_batches_begin(fixture.batches, fixture.starts);
    starts_add(&fixture, 1);
    g_assert_true(next(&fixture, &batch));
    wb_stream_batches_done(fixture.batches, &batch, WB_STREAM_WRITTEN, 1);
    wb_stream_batches_pause(fixture.batches);
    starts_add(&fixture, 1);
    fixture.now_ms += KEPT_MS;
    g_assert_false(next(&fixture, &batch));
    wb_stream_starts_sweep(fixture.starts, fixture.now_ms);
    starts_add(&fixture, 2);
    wb_stream_batches_begin(fixture.batches, fixture.starts);
    assert_next(&fixture, &batch, 1, 2, 4);
    g_assert_cmpuint(batch.dropped, ==, 0);
    fixture_close(&fixture);
}

/* Entries whose time is over before the store takes them are counted, once. */
static void test_dropped(void) {
    fixture_t fixture;
    wb_stream_batch_t batch;
    fixture_open(&fixture);
    wb_stream_batches_begin(fixture.batches, fixture.starts);
    starts_add(&fixture, 3);
    g_assert_true(next(&fixture, &batch));
    wb_stream_batches_done(fixture.batches, &batch, WB_STREAM_NOT_WRITTEN, 0);
    fixture.now_ms += KEPT_MS;
    wb_stream_starts_sweep(fixture.starts, fixture.now_ms);
    starts_add(&fixture, 1);
    g_assert_true(next(&fixture, &batch));
    g_assert_cmpuint(batch.dropped, ==, 3);
    wb_stream_batches_done(fixture.batches, &batch, WB_STREAM_NOT_WRITTEN, 0);
    fixture.now_ms += INTERVAL_MS;
    g_assert_true(next(&fixture, &batch));
    g_assert_cmpuint(batch.dropped, ==, 0); /* they were counted */
    fixture_close(&fixture);
}

typedef struct row_t {
    uint64_t after;
    uint64_t up_to;
    int64_t written_ms;
    int64_t version;
} row_t;

/* Whether a row has the entry. */
static gboolean is_stored(const row_t *rows, unsigned slots, uint64_t number) {
    for (unsigned slot = 0; slot < slots; slot++)
        if (rows[slot].version != 0 && number > rows[slot].after && number <= rows[slot].up_to)
            return TRUE;
    return FALSE;
}

/* With a store that answers late, refuses, or takes writes without an answer, each entry whose
 * batch it has acknowledged stays in a row for as long as clients come back. */
static void random_play(guint32 seed) {
    enum { STEP_MS = 50, STEPS = 2000 };
    g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
    fixture_t fixture;
    wb_stream_batch_t batch;
    gboolean is_writing = FALSE;
    int64_t version = 0;
    uint64_t acknowledged = 0;
    fixture_open(&fixture);
    unsigned slots = wb_stream_batches_slots(fixture.batches);
    g_autofree row_t *rows = g_new0(row_t, slots);
    wb_stream_batches_begin(fixture.batches, fixture.starts);
    for (int step = 0; step < STEPS; step++) {
        fixture.now_ms += STEP_MS;
        wb_stream_starts_sweep(fixture.starts, fixture.now_ms);
        starts_add(&fixture, g_rand_int_range(rand, 0, 4) == 0);
        if (is_writing && g_rand_int_range(rand, 0, 4) == 0) {
            row_t *row = &rows[batch.slot];
            gboolean is_taken =
                row->version == batch.expected_version && g_rand_int_range(rand, 0, 4) > 0;
            gboolean is_conflict = row->version != batch.expected_version;
            gboolean is_answered = g_rand_int_range(rand, 0, 4) > 0;
            if (is_taken)
                *row = (row_t){batch.after, batch.up_to, fixture.now_ms, ++version};
            if (is_taken && is_answered)
                acknowledged = batch.up_to;
            wb_stream_batches_done(fixture.batches, &batch,
                                   is_answered && is_conflict ? WB_STREAM_CONFLICT
                                   : is_answered && is_taken  ? WB_STREAM_WRITTEN
                                                              : WB_STREAM_NOT_WRITTEN,
                                   row->version);
            is_writing = FALSE;
        }
        is_writing |= !is_writing && next(&fixture, &batch);
        WB_LIST_EACH(item, wb_stream_starts_all(fixture.starts)) {
            const wb_stream_start_t *start = WB_LIST_OF(item, wb_stream_start_t, item);
            if (start->number <= acknowledged)
                g_assert_true(is_stored(rows, slots, start->number));
        }
    }
    g_assert_cmpuint(acknowledged, >, 100);
    fixture_close(&fixture);
}

static void test_random(void) {
    for (guint32 seed = 1; seed <= 200; seed++)
        random_play(seed);
}

static void tests_add(void) {
    g_test_add_func("/stream-batches/intervals", test_intervals);
    g_test_add_func("/stream-batches/failed-writes", test_failed_writes);
    g_test_add_func("/stream-batches/takeover", test_takeover);
    g_test_add_func("/stream-batches/pause", test_pause);
    g_test_add_func("/stream-batches/dropped", test_dropped);
    g_test_add_func("/stream-batches/random", test_random);
}

UNIT_TEST_MAIN(tests_add)
