/* Event loop: each iteration runs posted tasks, then due timers, then waits for sockets. Sockets
 * that became readable while the loop was held up are read, at most twice, before the next timer.
 */
#include "wickbridge/loop.h"

#include "wickbridge/log.h"

#include <apr_pools.h>
#include <glib.h>
#include <time.h>

#define POLL_LIMIT_MS 1000
#define SOCKETS_STALE_MS 20

struct wb_timer_t {
    wb_loop_t *loop;
    int64_t due_ms;
    int64_t interval_ms; /* 0: one-shot */
    wb_loop_task_fn task;
    void *context;
    GSequenceIter *position; /* in `timers`; NULL while its task runs */
    gboolean cancelled;
};

struct wb_watch_t {
    wb_loop_t *loop;
    apr_pollfd_t descriptor;
    wb_watch_fn callback;
    void *context;
    gboolean removed;
};

typedef struct wb_posted_task_t {
    wb_loop_task_fn task;
    void *context;
} wb_posted_task_t;

struct wb_loop_t {
    apr_pool_t *pool;
    apr_pollset_t *pollset;
    GThread *thread;
    char *name;
    GMutex lock; /* guards `tasks` and `stopping` */
    GQueue tasks;
    gboolean stopping;
    GSequence *timers;       /* ordered by due time */
    GPtrArray *removed;      /* watches to free after their poll, which may have returned them */
    int64_t sockets_read_ms; /* when the callbacks of all readable sockets had run */
};

/* CLOCK_BOOTTIME, as CLOCK_MONOTONIC stops while the machine is suspended: after a resume, an
 * expired lease would seem valid, the configuration fresh, and clients still waiting. */
int64_t wb_clock_us(void) {
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

int64_t wb_clock_ms(void) {
    return wb_clock_us() / 1000;
}

apr_status_t wb_loop_create(wb_loop_t **loop, const char *name, unsigned capacity,
                            wb_error_t *error) {
    wb_loop_t *created = g_new0(wb_loop_t, 1);
    apr_pool_create(&created->pool, NULL);
    apr_status_t status = apr_pollset_create(&created->pollset, capacity, created->pool,
                                             APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY);
    if (status != APR_SUCCESS) {
        apr_pool_destroy(created->pool);
        g_free(created);
        return wb_error_set(error, status, "can't create a pollset for loop %s", name);
    }
    created->name = g_strdup(name);
    created->timers = g_sequence_new(NULL);
    created->removed = g_ptr_array_new_with_free_func(g_free);
    g_mutex_init(&created->lock);
    *loop = created;
    return APR_SUCCESS;
}

static gint timer_compare(gconstpointer left, gconstpointer right, gpointer data) {
    (void)data;
    const wb_timer_t *a = left;
    const wb_timer_t *b = right;
    return a->due_ms < b->due_ms ? -1 : a->due_ms > b->due_ms;
}

static wb_timer_t *timer_add(wb_loop_t *loop, int64_t delay_ms, int64_t interval_ms,
                             wb_loop_task_fn task, void *context) {
    wb_timer_t *timer = g_new0(wb_timer_t, 1);
    timer->loop = loop;
    timer->due_ms = wb_clock_ms() + delay_ms;
    timer->interval_ms = interval_ms;
    timer->task = task;
    timer->context = context;
    timer->position = g_sequence_insert_sorted(loop->timers, timer, timer_compare, NULL);
    return timer;
}

wb_timer_t *wb_loop_every(wb_loop_t *loop, int64_t interval_ms, wb_loop_task_fn task,
                          void *context) {
    return timer_add(loop, interval_ms, interval_ms, task, context);
}

wb_timer_t *wb_loop_after(wb_loop_t *loop, int64_t delay_ms, wb_loop_task_fn task, void *context) {
    return timer_add(loop, delay_ms, 0, task, context);
}

void wb_timer_cancel(wb_timer_t *timer) {
    timer->cancelled = TRUE;
    if (timer->position == NULL)
        return; /* its task is running; timer_run frees it */
    g_sequence_remove(timer->position);
    g_free(timer);
}

static void timer_run(wb_loop_t *loop, wb_timer_t *timer, int64_t now_ms) {
    g_sequence_remove(timer->position);
    timer->position = NULL;
    timer->task(timer->context);
    if (timer->cancelled || timer->interval_ms == 0) {
        g_free(timer);
        return;
    }
    timer->due_ms = MAX(timer->due_ms + timer->interval_ms, now_ms);
    timer->position = g_sequence_insert_sorted(loop->timers, timer, timer_compare, NULL);
}

static gboolean is_stopping(wb_loop_t *loop) {
    g_mutex_lock(&loop->lock);
    gboolean stopping = loop->stopping;
    g_mutex_unlock(&loop->lock);
    return stopping;
}

/* Waits for sockets and runs their callbacks. Returns when the wait ended. */
static int64_t sockets_poll(wb_loop_t *loop, int64_t wait_ms) {
    const apr_pollfd_t *ready = NULL;
    apr_int32_t count = 0;
    apr_status_t status = apr_pollset_poll(loop->pollset, wait_ms * 1000, &count, &ready);
    if (APR_STATUS_IS_EINTR(status)) /* also after SIGCONT; sockets may be readable */
        status = apr_pollset_poll(loop->pollset, 0, &count, &ready);
    int64_t polled_ms = wb_clock_ms();
    for (apr_int32_t i = 0; status == APR_SUCCESS && i < count; i++) {
        wb_watch_t *watch = ready[i].client_data;
        if (watch != NULL && !watch->removed)
            watch->callback(ready[i].rtnevents, watch->context);
    }
    g_ptr_array_set_size(loop->removed, 0);
    return polled_ms;
}

/* Polls a second time if the callbacks took long, as other sockets may have become readable
 * meanwhile. Not more often: input must not keep timers from running. */
static void sockets_read(wb_loop_t *loop, int64_t wait_ms) {
    int64_t polled_ms = sockets_poll(loop, wait_ms);
    if (wb_clock_ms() - polled_ms > SOCKETS_STALE_MS)
        sockets_poll(loop, 0);
    loop->sockets_read_ms = wb_clock_ms();
}

static gboolean sockets_are_stale(const wb_loop_t *loop) {
    return wb_clock_ms() - loop->sockets_read_ms > SOCKETS_STALE_MS;
}

/* Runs due timers, which may conclude from a silence: input that arrived while the loop was held up
 * is read first. Returns the time until the next timer in ms, at most POLL_LIMIT_MS. */
static int64_t timers_run(wb_loop_t *loop) {
    int64_t now_ms = wb_clock_ms();
    for (;;) {
        GSequenceIter *first = g_sequence_get_begin_iter(loop->timers);
        if (g_sequence_iter_is_end(first))
            return POLL_LIMIT_MS;
        wb_timer_t *timer = g_sequence_get(first);
        if (timer->due_ms > now_ms)
            return CLAMP(timer->due_ms - wb_clock_ms(), 0, POLL_LIMIT_MS);
        if (sockets_are_stale(loop) && !is_stopping(loop))
            sockets_read(loop, 0); /* may cancel the timer */
        else
            timer_run(loop, timer, now_ms);
    }
}

static gboolean tasks_run(wb_loop_t *loop) {
    g_mutex_lock(&loop->lock);
    GQueue tasks = loop->tasks;
    gboolean stopping = loop->stopping;
    g_queue_init(&loop->tasks);
    g_mutex_unlock(&loop->lock);
    wb_posted_task_t *task;
    while ((task = g_queue_pop_head(&tasks)) != NULL) {
        task->task(task->context);
        g_free(task);
    }
    return !stopping;
}

static gpointer loop_run(gpointer data) {
    wb_loop_t *loop = data;
    while (tasks_run(loop)) {
        int64_t wait_ms = timers_run(loop);
        g_mutex_lock(&loop->lock);
        if (loop->tasks.length > 0)
            wait_ms = 0;
        g_mutex_unlock(&loop->lock);
        /* The wakeup may have been read between timers, and nothing is read after a stop. */
        if (!is_stopping(loop))
            sockets_read(loop, wait_ms);
    }
    return NULL;
}

void wb_loop_start(wb_loop_t *loop) {
    loop->thread = g_thread_new(loop->name, loop_run, loop);
}

void wb_loop_run(wb_loop_t *loop) {
    loop_run(loop);
    g_mutex_lock(&loop->lock);
    loop->stopping = FALSE;
    g_mutex_unlock(&loop->lock);
}

void wb_loop_quit(wb_loop_t *loop) {
    g_mutex_lock(&loop->lock);
    loop->stopping = TRUE;
    g_mutex_unlock(&loop->lock);
    apr_pollset_wakeup(loop->pollset);
}

void wb_loop_stop(wb_loop_t *loop) {
    wb_loop_quit(loop);
    if (loop->thread != NULL)
        g_thread_join(loop->thread);
    tasks_run(loop);
    while (!g_sequence_iter_is_end(g_sequence_get_begin_iter(loop->timers)))
        wb_timer_cancel(g_sequence_get(g_sequence_get_begin_iter(loop->timers)));
    g_sequence_free(loop->timers);
    g_ptr_array_unref(loop->removed);
    g_mutex_clear(&loop->lock);
    apr_pool_destroy(loop->pool);
    g_free(loop->name);
    g_free(loop);
}

void wb_loop_post(wb_loop_t *loop, wb_loop_task_fn task, void *context) {
    wb_posted_task_t *posted = g_new(wb_posted_task_t, 1);
    posted->task = task;
    posted->context = context;
    g_mutex_lock(&loop->lock);
    g_queue_push_tail(&loop->tasks, posted);
    g_mutex_unlock(&loop->lock);
    apr_pollset_wakeup(loop->pollset);
}

wb_watch_t *wb_loop_watch(wb_loop_t *loop, apr_socket_t *socket, int16_t events,
                          wb_watch_fn callback, void *context) {
    wb_watch_t *watch = g_new0(wb_watch_t, 1);
    watch->loop = loop;
    watch->descriptor.desc_type = APR_POLL_SOCKET;
    watch->descriptor.desc.s = socket;
    watch->descriptor.reqevents = events;
    watch->descriptor.client_data = watch;
    watch->callback = callback;
    watch->context = context;
    if (apr_pollset_add(loop->pollset, &watch->descriptor) != APR_SUCCESS)
        wb_log_warning(WB_LOG_LINK, "Loop %s can't add a socket to its pollset.", loop->name);
    return watch;
}

void wb_watch_set_events(wb_watch_t *watch, int16_t events) {
    if (watch->descriptor.reqevents == events)
        return;
    apr_pollset_remove(watch->loop->pollset, &watch->descriptor);
    watch->descriptor.reqevents = events;
    apr_pollset_add(watch->loop->pollset, &watch->descriptor);
}

void wb_watch_remove(wb_watch_t *watch) {
    apr_pollset_remove(watch->loop->pollset, &watch->descriptor);
    watch->removed = TRUE;
    g_ptr_array_add(watch->loop->removed, watch);
}
