/* Aggregate of gateways' reports about engines. */
#include "pace/pace_aggregate.h"

#include "wickbridge/engine_pace.h"
#include "quota/token_bucket.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* An engine without reports for this long is removed. */
#define ENGINE_EXPIRY_MS 60000
/* Time constant of the averages of tokens. It is ten times the delay of updates, half a second:
 * with a shorter one gateways oscillate between engines. */
#define TOKENS_TIME_S 5.0
/* Smaller changes make no difference to the choice of an engine and aren't sent: a fraction of the
 * pace; for tokens a second and for the backlog in ms a fraction plus a constant. */
#define PACE_STEP 0.1
#define CHANGE_FRACTION 0.25
#define TOKENS_STEP 1500.0
#define BACKLOG_STEP 100.0
/* Max backlog: when clients time out, engines drop their prompts. */
#define BACKLOG_MAX_MS 4000.0

typedef struct wb_aggregate_engine_t {
    char *id;
    wb_engine_pace_t pace;
    wb_decayed_rate_t tokens;
    double backlog_ms; /* as of backlog_at_ms */
    int64_t backlog_at_ms;
    wb_engine_load_t sent;
    gboolean was_sent;
    int64_t reported_ms;
} wb_aggregate_engine_t;

struct wb_pace_aggregate_t {
    double token_ms;
    GHashTable *engines; /* id -> wb_aggregate_engine_t */
};

uint32_t wb_pace_engine_key(const char *id) {
    return XXH32(id, strlen(id), 0);
}

static void engine_free(gpointer data) {
    wb_aggregate_engine_t *engine = data;
    g_free(engine->id);
    g_free(engine);
}

wb_pace_aggregate_t *wb_pace_aggregate_create(double token_ms) {
    wb_pace_aggregate_t *aggregate = g_new0(wb_pace_aggregate_t, 1);
    aggregate->token_ms = token_ms;
    aggregate->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, engine_free);
    return aggregate;
}

void wb_pace_aggregate_set_token_ms(wb_pace_aggregate_t *aggregate, double token_ms) {
    aggregate->token_ms = token_ms;
}

void wb_pace_aggregate_free(wb_pace_aggregate_t *aggregate) {
    g_hash_table_unref(aggregate->engines);
    g_free(aggregate);
}

/* Returns what is left of the backlog, which shrinks in real time. */
static double current_backlog(const wb_aggregate_engine_t *engine, int64_t now_ms) {
    return MAX(engine->backlog_ms - (double)(now_ms - engine->backlog_at_ms), 0);
}

static void backlog_add(const wb_pace_aggregate_t *aggregate, wb_aggregate_engine_t *engine,
                        double tokens, int64_t now_ms) {
    double prefill_ms =
        tokens * aggregate->token_ms * wb_engine_pace_intrinsic_factor(&engine->pace, now_ms);
    engine->backlog_ms = MIN(current_backlog(engine, now_ms) + prefill_ms, BACKLOG_MAX_MS);
    engine->backlog_at_ms = now_ms;
}

static wb_aggregate_engine_t *engine_get(wb_pace_aggregate_t *aggregate, const char *id) {
    wb_aggregate_engine_t *engine = g_hash_table_lookup(aggregate->engines, id);
    if (engine == NULL) {
        engine = g_new0(wb_aggregate_engine_t, 1);
        engine->id = g_strdup(id);
        engine->sent.engine = wb_pace_engine_key(id);
        g_hash_table_insert(aggregate->engines, engine->id, engine);
    }
    return engine;
}

void wb_pace_aggregate_report(wb_pace_aggregate_t *aggregate, const wb_pace_report_t *reports,
                              size_t count, int64_t now_ms) {
    for (size_t i = 0; i < count; i++) {
        const wb_pace_report_t *report = &reports[i];
        wb_aggregate_engine_t *engine = engine_get(aggregate, report->engine);
        engine->reported_ms = now_ms;
        wb_engine_pace_add(&engine->pace, report->pace_percent, now_ms);
        if (report->tokens > 0) {
            wb_decayed_rate_add(&engine->tokens, report->tokens, TOKENS_TIME_S, now_ms);
            backlog_add(aggregate, engine, report->tokens, now_ms);
        }
    }
}

unsigned wb_pace_aggregate_pace(const wb_pace_aggregate_t *aggregate, const char *id,
                                int64_t now_ms) {
    const wb_aggregate_engine_t *engine = g_hash_table_lookup(aggregate->engines, id);
    return engine != NULL ? wb_engine_pace_intrinsic(&engine->pace, now_ms) : 0;
}

static wb_engine_load_t current_load(const wb_aggregate_engine_t *engine, int64_t now_ms) {
    wb_engine_load_t load = engine->sent;
    load.pace_percent = wb_engine_pace_intrinsic(&engine->pace, now_ms);
    load.backlog_ms = (unsigned)current_backlog(engine, now_ms);
    load.tokens_per_s = (unsigned)wb_decayed_rate_read(&engine->tokens, TOKENS_TIME_S, now_ms);
    return load;
}

/* Returns the largest change of an engine's values since they were last sent; 1 is the smallest
 * change worth sending. */
static double change_steps(const wb_aggregate_engine_t *engine, const wb_engine_load_t *load) {
    const wb_engine_load_t *sent = &engine->sent;
    double pace_step = PACE_STEP * (sent->pace_percent != 0 ? sent->pace_percent : 100);
    double pace = fabs((double)load->pace_percent - sent->pace_percent) / pace_step;
    double tokens = fabs((double)load->tokens_per_s - sent->tokens_per_s) /
                    (TOKENS_STEP + CHANGE_FRACTION * sent->tokens_per_s);
    double backlog = fabs((double)load->backlog_ms - sent->backlog_ms) /
                     (BACKLOG_STEP + CHANGE_FRACTION * sent->backlog_ms);
    return MAX(pace, MAX(tokens, backlog));
}

typedef struct wb_change_t {
    wb_aggregate_engine_t *engine;
    wb_engine_load_t load;
    double steps;
} wb_change_t;

static gint by_steps_descending(gconstpointer left, gconstpointer right) {
    const wb_change_t *a = left;
    const wb_change_t *b = right;
    return a->steps > b->steps ? -1 : a->steps < b->steps;
}

GArray *wb_pace_aggregate_changes(wb_pace_aggregate_t *aggregate, size_t max, int64_t now_ms) {
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(wb_change_t));
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(wb_engine_load_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, aggregate->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wb_change_t change = {value, current_load(value, now_ms), 0};
        change.steps = change_steps(value, &change.load);
        if (change.steps >= 1 || !change.engine->was_sent) {
            g_array_append_val(changes, change);
        }
    }
    g_array_sort(changes, by_steps_descending);
    for (guint i = 0; i < changes->len && i < max; i++) {
        wb_change_t *change = &g_array_index(changes, wb_change_t, i);
        change->engine->sent = change->load;
        change->engine->was_sent = TRUE;
        g_array_append_val(loads, change->load);
    }
    return loads;
}

const char *wb_pace_aggregate_max_backlog(const wb_pace_aggregate_t *aggregate, int64_t now_ms,
                                          double *backlog_ms) {
    const char *max_engine = NULL;
    *backlog_ms = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, aggregate->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_aggregate_engine_t *engine = value;
        double engine_backlog_ms = current_backlog(engine, now_ms);
        if (engine_backlog_ms > *backlog_ms) {
            *backlog_ms = engine_backlog_ms;
            max_engine = engine->id;
        }
    }
    return max_engine;
}

GArray *wb_pace_aggregate_snapshot(const wb_pace_aggregate_t *aggregate) {
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(wb_engine_load_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, aggregate->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wb_aggregate_engine_t *engine = value;
        if (engine->was_sent) {
            g_array_append_val(loads, engine->sent);
        }
    }
    return loads;
}

void wb_pace_aggregate_resend_all(wb_pace_aggregate_t *aggregate) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, aggregate->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((wb_aggregate_engine_t *)value)->was_sent = FALSE;
    }
}

static gboolean engine_is_expired(gpointer key, gpointer value, gpointer context) {
    (void)key;
    return *(const int64_t *)context - ((const wb_aggregate_engine_t *)value)->reported_ms >
           ENGINE_EXPIRY_MS;
}

void wb_pace_aggregate_remove(wb_pace_aggregate_t *aggregate, const char *engine) {
    g_hash_table_remove(aggregate->engines, engine);
}

void wb_pace_aggregate_sweep(wb_pace_aggregate_t *aggregate, int64_t now_ms) {
    g_hash_table_foreach_remove(aggregate->engines, engine_is_expired, &now_ms);
}
