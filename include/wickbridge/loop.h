/**
 * @file loop.h
 * @brief Event loop on an APR pollset: sockets, timers, and tasks posted from other threads.
 *
 * Threads: all callbacks run on the loop's own thread. wb_loop_post may be called from any thread;
 * everything else belongs on the loop's thread, or before wb_loop_start.
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

/** @param events APR_POLLIN, APR_POLLOUT, APR_POLLERR, APR_POLLHUP as seen */
typedef void (*wb_watch_fn)(int16_t events, void *context);

/** Create a loop; it runs once started. @param capacity most sockets watched at once */
apr_status_t wb_loop_create(wb_loop_t **loop, const char *name, unsigned capacity,
                            wb_error_t *error);

/** Start the loop's thread. */
void wb_loop_start(wb_loop_t *loop);

/** Run on the calling thread until wb_loop_quit; the loop was not started. */
void wb_loop_run(wb_loop_t *loop);

/** Make wb_loop_run return after the present round. Any thread, and signal handlers by wb_loop_post
 * only. */
void wb_loop_quit(wb_loop_t *loop);

/** Run posted tasks that are left, join the thread and free the loop. */
void wb_loop_stop(wb_loop_t *loop);

/** Run a task on the loop's thread soon. Any thread. */
void wb_loop_post(wb_loop_t *loop, wb_loop_task_fn task, void *context);

/** Call a function every `interval_ms`, first after one interval. */
wb_timer_t *wb_loop_every(wb_loop_t *loop, int64_t interval_ms, wb_loop_task_fn task,
                          void *context);

/** Call a function once after `delay_ms`. */
wb_timer_t *wb_loop_after(wb_loop_t *loop, int64_t delay_ms, wb_loop_task_fn task, void *context);

/** Cancel a timer; a one-shot timer that has run must not be cancelled. */
void wb_timer_cancel(wb_timer_t *timer);

/** Watch a socket. The socket must stay open until wb_watch_remove. */
wb_watch_t *wb_loop_watch(wb_loop_t *loop, apr_socket_t *socket, int16_t events,
                          wb_watch_fn callback, void *context);
void wb_watch_set_events(wb_watch_t *watch, int16_t events);
void wb_watch_remove(wb_watch_t *watch);

/** @return a steady clock in milliseconds that also counts the time for which the machine was
 * suspended */
int64_t wb_clock_ms(void);
/** @return the same clock in microseconds */
int64_t wb_clock_us(void);

#endif
