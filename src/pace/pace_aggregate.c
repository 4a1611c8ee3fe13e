/* What all gateways together know of engines. */
#include "pace/pace_aggregate.h"

#include "wickbridge/engine_pace.h"
#include "quota/token_bucket.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* An engine that nobody named for so long is forgotten. */
#define ENGINE_LIFE_MS 60000
/* What is sent is averaged over ten times the half second that news take: by a shorter time
 * gateways swing between engines (tokens over 1.5 s: 203 of 3,727 reviews paused too long, over 5 s
 * 52). */
#define TOKENS_TIME_S 5.0
/* Changes that make no difference to a choice aren't told: a tenth of a pace, a quarter of a
 * figure, reading a twentieth of the time (at 30 tokens a ms), a tenth of a second of backlog. */
#define PACE_STEP 0.1
#define CHANGE_SHARE 0.25
#define TOKENS_STEP 1500.0
#define BACKLOG_STEP 100.0
/* Callers leave, and engines drop their prompts: no backlog is longer than their patience. */
#define BACKLOG_MOST_MS 4000.0

typedef struct wb_book_engine_t {
    char *id;
    wb_engine_pace_t pace;
    wb_decayed_rate_t tokens;
    double backlog_ms; /* as of backlog_at_ms */
    int64_t backlog_at_ms;
    wb_engine_load_t told;
    gboolean was_told;
    int64_t used_ms;
} wb_book_engine_t;

struct wb_pace_aggregate_t {
    double token_ms;
    GHashTable *engines; /* id -> wb_book_engine_t */
};

uint32_t wb_pace_engine_key(const char *id) {
    return XXH32(id, strlen(id), 0);
}

static void engine_free(gpointer data) {
    wb_book_engine_t *engine = data;
    g_free(engine->id);
    g_free(engine);
}

wb_pace_aggregate_t *wb_pace_aggregate_create(double token_ms) {
    wb_pace_aggregate_t *book = g_new0(wb_pace_aggregate_t, 1);
    book->token_ms = token_ms;
    book->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, engine_free);
    return book;
}

void wb_pace_aggregate_set_token_ms(wb_pace_aggregate_t *book, double token_ms) {
    book->token_ms = token_ms;
}

void wb_pace_aggregate_free(wb_pace_aggregate_t *book) {
    g_hash_table_unref(book->engines);
    g_free(book);
}

/* An engine reads for a ms in each ms. Returns what is left. */
static double backlog_now(const wb_book_engine_t *engine, int64_t now_ms) {
    return MAX(engine->backlog_ms - (double)(now_ms - engine->backlog_at_ms), 0);
}

static void backlog_add(const wb_pace_aggregate_t *book, wb_book_engine_t *engine, double tokens,
                        int64_t now_ms) {
    double read_ms = tokens * book->token_ms * wb_engine_pace_intrinsic_factor(&engine->pace, now_ms);
    engine->backlog_ms = MIN(backlog_now(engine, now_ms) + read_ms, BACKLOG_MOST_MS);
    engine->backlog_at_ms = now_ms;
}

static wb_book_engine_t *engine_get(wb_pace_aggregate_t *book, const char *id) {
    wb_book_engine_t *engine = g_hash_table_lookup(book->engines, id);
    if (engine == NULL) {
        engine = g_new0(wb_book_engine_t, 1);
        engine->id = g_strdup(id);
        engine->told.engine = wb_pace_engine_key(id);
        g_hash_table_insert(book->engines, engine->id, engine);
    }
    return engine;
}

void wb_pace_aggregate_report(wb_pace_aggregate_t *book, const wb_pace_report_t *reports, size_t count,
                         int64_t now_ms) {
    for (size_t i = 0; i < count; i++) {
        const wb_pace_report_t *report = &reports[i];
        wb_book_engine_t *engine = engine_get(book, report->engine);
        engine->used_ms = now_ms;
        wb_engine_pace_add(&engine->pace, report->pace_percent, now_ms);
        if (report->tokens > 0) {
            wb_decayed_rate_add(&engine->tokens, report->tokens, TOKENS_TIME_S, now_ms);
            backlog_add(book, engine, report->tokens, now_ms);
        }
    }
}

unsigned wb_pace_aggregate_pace(const wb_pace_aggregate_t *book, const char *id, int64_t now_ms) {
    const wb_book_engine_t *engine = g_hash_table_lookup(book->engines, id);
    return engine != NULL ? wb_engine_pace_intrinsic(&engine->pace, now_ms) : 0;
}

static wb_engine_load_t load_of(const wb_book_engine_t *engine, int64_t now_ms) {
    wb_engine_load_t load = engine->told;
    load.pace_percent = wb_engine_pace_intrinsic(&engine->pace, now_ms);
    load.backlog_ms = (unsigned)backlog_now(engine, now_ms);
    load.tokens_per_s = (unsigned)wb_decayed_rate_read(&engine->tokens, TOKENS_TIME_S, now_ms);
    return load;
}

/* By how many steps that matter an engine's figures have changed since they were told. */
static double change_of(const wb_book_engine_t *engine, const wb_engine_load_t *load) {
    const wb_engine_load_t *told = &engine->told;
    double pace_step = PACE_STEP * (told->pace_percent != 0 ? told->pace_percent : 100);
    double pace = fabs((double)load->pace_percent - told->pace_percent) / pace_step;
    double tokens = fabs((double)load->tokens_per_s - told->tokens_per_s) /
                    (TOKENS_STEP + CHANGE_SHARE * told->tokens_per_s);
    double backlog = fabs((double)load->backlog_ms - told->backlog_ms) /
                     (BACKLOG_STEP + CHANGE_SHARE * told->backlog_ms);
    return MAX(pace, MAX(tokens, backlog));
}

typedef struct wb_change_t {
    wb_book_engine_t *engine;
    wb_engine_load_t load;
    double steps;
} wb_change_t;

static gint larger_first(gconstpointer left, gconstpointer right) {
    const wb_change_t *a = left;
    const wb_change_t *b = right;
    return a->steps > b->steps ? -1 : a->steps < b->steps;
}

GArray *wb_pace_aggregate_changes(wb_pace_aggregate_t *book, size_t most, int64_t now_ms) {
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(wb_change_t));
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(wb_engine_load_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, book->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_change_t change = {value, load_of(value, now_ms), 0};
        change.steps = change_of(value, &change.load);
        if (change.steps >= 1 || !change.engine->was_told) {
            g_array_append_val(changes, change);
        }
    }
    g_array_sort(changes, larger_first);
    for (guint i = 0; i < changes->len && i < most; i++) {
        wb_change_t *change = &g_array_index(changes, wb_change_t, i);
        change->engine->told = change->load;
        change->engine->was_told = TRUE;
        g_array_append_val(loads, change->load);
    }
    return loads;
}

const char *wb_pace_aggregate_max_backlog(const wb_pace_aggregate_t *book, int64_t now_ms,
                                         double *backlog_ms) {
    const char *furthest = NULL;
    *backlog_ms = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, book->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_book_engine_t *engine = value;
        double behind_ms = backlog_now(engine, now_ms);
        if (behind_ms > *backlog_ms) {
            *backlog_ms = behind_ms;
            furthest = engine->id;
        }
    }
    return furthest;
}

GArray *wb_pace_aggregate_snapshot(const wb_pace_aggregate_t *book) {
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(wb_engine_load_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, book->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_book_engine_t *engine = value;
        if (engine->was_told) {
            g_array_append_val(loads, engine->told);
        }
    }
    return loads;
}

void wb_pace_aggregate_resend_all(wb_pace_aggregate_t *book) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, book->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((wb_book_engine_t *)value)->was_told = FALSE;
    }
}

static gboolean engine_is_old(gpointer key, gpointer value, gpointer context) {
    (void)key;
    return *(const int64_t *)context - ((const wb_book_engine_t *)value)->used_ms > ENGINE_LIFE_MS;
}

void wb_pace_aggregate_remove(wb_pace_aggregate_t *book, const char *engine) {
    g_hash_table_remove(book->engines, engine);
}

void wb_pace_aggregate_sweep(wb_pace_aggregate_t *book, int64_t now_ms) {
    g_hash_table_foreach_remove(book->engines, engine_is_old, &now_ms);
}
