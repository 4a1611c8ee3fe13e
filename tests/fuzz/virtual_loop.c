/* Timers on a virtual clock, linked in place of the server's loop. */
#include "virtual_loop.h"

struct wb_timer_t {
    wb_list_item_t queued;
    int64_t due_ms;
    int64_t interval_ms; /* 0: once */
    wb_loop_task_fn task;
    void *context;
    gboolean cancelled;
};

static int64_t now_ms = 1000000;
static wb_list_t timers = {{&timers.ring, &timers.ring}, 0};

int64_t wb_clock_ms(void) {
    return now_ms;
}

int64_t wb_clock_us(void) {
    return now_ms * 1000;
}

/* Timers due at the same time run in the order in which they were set. */
static void timer_queue(wb_timer_t *timer) {
    wb_list_item_t *before = timers.ring.prev;
    while (before != &timers.ring &&
           WB_LIST_OF(before, wb_timer_t, queued)->due_ms > timer->due_ms) {
        before = before->prev;
    }
    wb_list_add_before(&timers, before->next, &timer->queued);
}

static wb_timer_t *timer_add(int64_t delay_ms, int64_t interval_ms, wb_loop_task_fn task,
                             void *context) {
    wb_timer_t *timer = g_new0(wb_timer_t, 1);
    timer->due_ms = now_ms + delay_ms;
    timer->interval_ms = interval_ms;
    timer->task = task;
    timer->context = context;
    timer_queue(timer);
    return timer;
}

wb_timer_t *wb_loop_after(wb_loop_t *loop, int64_t delay_ms, wb_loop_task_fn task, void *context) {
    (void)loop;
    return timer_add(delay_ms, 0, task, context);
}

wb_timer_t *wb_loop_every(wb_loop_t *loop, int64_t interval_ms, wb_loop_task_fn task,
                          void *context) {
    (void)loop;
    return timer_add(interval_ms, interval_ms, task, context);
}

void wb_timer_cancel(wb_timer_t *timer) {
    if (wb_list_is_linked(&timer->queued)) {
        wb_list_remove(&timers, &timer->queued);
        g_free(timer);
    } else {
        timer->cancelled = TRUE; /* its task is running now */
    }
}

void virtual_loop_run(int64_t until_ms) {
    while (timers.len > 0) {
        wb_timer_t *timer = WB_LIST_OF(wb_list_first(&timers), wb_timer_t, queued);
        if (timer->due_ms > until_ms) {
            break;
        }
        now_ms = MAX(now_ms, timer->due_ms);
        wb_list_remove(&timers, &timer->queued);
        timer->task(timer->context);
        if (timer->interval_ms > 0 && !timer->cancelled) {
            timer->due_ms += timer->interval_ms;
            timer_queue(timer);
        } else {
            g_free(timer);
        }
    }
    now_ms = until_ms;
}

void virtual_loop_clear(void) {
    while (timers.len > 0) {
        g_free(WB_LIST_OF(wb_list_pop(&timers), wb_timer_t, queued));
    }
}
