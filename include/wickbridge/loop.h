/**
 * @file loop.h
 * @brief Event loop on an APR pollset: sockets, timers, and tasks posted from other threads.
 *
 * Times are in milliseconds. Only wb_loop_create fails, with a message in its wb_error_t. Threads:
 * all callbacks run on the loop's thread. wb_loop_post and wb_loop_quit may be called from any
 * thread; everything else only on the loop's thread, or before wb_loop_start.
 */
#ifndef WICKBRIDGE_LOOP_H
#define WICKBRIDGE_LOOP_H

#include "wickbridge/error.h"

#include <apr_network_io.h>
#include <apr_poll.h>
#include <stdint.h>

typedef struct wb_loop_t wb_loop_t;
typedef struct wb_timer_t wb_timer_t;
typedef struct wb_watch_t wb_watch_t;

typedef void (*wb_loop_task_fn)(void *context);

/** @param events bit set of APR_POLLIN, APR_POLLOUT, APR_POLLERR, APR_POLLHUP */
typedef void (*wb_watch_fn)(int16_t events, void *context);

/** Create a loop; it does nothing until started or run. @param capacity max number of watched
 * sockets */
apr_status_t wb_loop_create(wb_loop_t **loop, const char *name, unsigned capacity,
                            wb_error_t *error);

/** Run the loop on a thread of its own. */
void wb_loop_start(wb_loop_t *loop);

/** Run the loop on the calling thread until wb_loop_quit; instead of wb_loop_start. It may be run
 * again after that. */
void wb_loop_run(wb_loop_t *loop);

/** Make the loop return after the current iteration. Any thread; not async-signal-safe. */
void wb_loop_quit(wb_loop_t *loop);

/** Quit, join the thread, run the remaining posted tasks and free the loop. */
void wb_loop_stop(wb_loop_t *loop);

/** Queue a task to run on the loop's thread. Any thread. */
void wb_loop_post(wb_loop_t *loop, wb_loop_task_fn task, void *context);

/** Call a function every `interval_ms`, the first time after one interval. */
wb_timer_t *wb_loop_every(wb_loop_t *loop, int64_t interval_ms, wb_loop_task_fn task,
                          void *context);

/** Call a function once after `delay_ms`. */
wb_timer_t *wb_loop_after(wb_loop_t *loop, int64_t delay_ms, wb_loop_task_fn task, void *context);

/** Cancel and free a timer. A one-shot timer frees itself when it runs and must not be cancelled
 * afterwards. */
void wb_timer_cancel(wb_timer_t *timer);

/** Watch a socket, which must stay open until wb_watch_remove. @param events bit set to wait for */
wb_watch_t *wb_loop_watch(wb_loop_t *loop, apr_socket_t *socket, int16_t events,
                          wb_watch_fn callback, void *context);
void wb_watch_set_events(wb_watch_t *watch, int16_t events);
void wb_watch_remove(wb_watch_t *watch);

/** @return the monotonic time in milliseconds, which also advances while the machine is suspended
 */
int64_t wb_clock_ms(void);
/** @return the same clock in microseconds */
int64_t wb_clock_us(void);

#endif
