/* The load report. It shows the state of report_lag_ms ago. */
#include "engine.h"

typedef struct report_t {
    int64_t at_ms;
    int running;
    int waiting;
} report_t;

static GQueue reports = G_QUEUE_INIT;

void report_tick(void) {
    g_mutex_lock(&engine_lock);
    report_t *report = g_new0(report_t, 1);
    report->at_ms = engine_now_ms();
    streams_count(&report->running, &report->waiting);
    g_queue_push_tail(&reports, report);
    while (reports.length > 1) {
        const report_t *second = g_queue_peek_nth(&reports, 1);
        if (engine_now_ms() - second->at_ms < engine_settings.report_lag_ms)
            break;
        g_free(g_queue_pop_head(&reports));
    }
    g_mutex_unlock(&engine_lock);
}

void report_show(wb_http_exchange_t *exchange) {
    report_t shown = {0, 0, 0};
    g_mutex_lock(&engine_lock);
    const report_t *oldest = g_queue_peek_head(&reports);
    if (oldest != NULL)
        shown = *oldest;
    int64_t age_ms = engine_now_ms() - shown.at_ms;
    g_mutex_unlock(&engine_lock);
    standin_reply_json(exchange, 200,
                       json_pack("{s:i, s:i, s:i, s:I}", "running", shown.running, "waiting",
                                 shown.waiting, "batch", (int)engine_settings.batch, "age_ms",
                                 (json_int_t)age_ms));
}
