/* Requests whose unframed response has ended, in the order of their ends. */
#include "request/unframed_ends.h"

#define ENDS_MAX 512
/* An engine in use sends something more often. */
#define KEPT_MS 10000

struct wb_unframed_ends_t {
    GQueue queue; /* of wb_run_end_t, oldest first */
};

static void end_free(gpointer data) {
    wb_run_end_t *end = data;
    wb_engine_unref(end->engine);
    g_array_unref(end->parts);
    g_free(end);
}

wb_unframed_ends_t *wb_unframed_ends_create(void) {
    wb_unframed_ends_t *ends = g_new0(wb_unframed_ends_t, 1);
    g_queue_init(&ends->queue);
    return ends;
}

void wb_unframed_ends_free(wb_unframed_ends_t *ends) {
    g_queue_clear_full(&ends->queue, end_free);
    g_free(ends);
}

void wb_unframed_ends_add(wb_unframed_ends_t *ends, const wb_run_end_t *end) {
    wb_run_end_t *copy = g_memdup2(end, sizeof(*end));
    wb_engine_ref(copy->engine);
    g_array_ref(copy->parts);
    g_queue_push_tail(&ends->queue, copy);
    if (ends->queue.length > ENDS_MAX)
        end_free(g_queue_pop_head(&ends->queue));
}

void wb_unframed_ends_confirm(wb_unframed_ends_t *ends, int64_t now_ms,
                              wb_unframed_end_fn on_confirmed, void *context) {
    GList *next;
    for (GList *item = ends->queue.head; item != NULL; item = next) {
        wb_run_end_t *end = item->data;
        next = item->next;
        gboolean confirmed = end->engine->heard_ms >= end->ended_ms + WB_UNFRAMED_END_DELAY_MS;
        if (!confirmed && now_ms - end->ended_ms < KEPT_MS)
            continue;
        g_queue_delete_link(&ends->queue, item);
        if (confirmed)
            on_confirmed(end, context);
        end_free(end);
    }
}
