/**
 * @file glib_locks.h
 * @brief Annotates GLib's mutexes, conditions and thread joins for ThreadSanitizer.
 *
 * GLib is not instrumented and implements its locks with futexes, so ThreadSanitizer would report
 * false races. `scripts/sanitize.sh thread` includes this file before every source file; no other
 * build uses it. Times are in microseconds, as in GLib; errors are those of GLib's functions.
 */
#ifndef WICKBRIDGE_GLIB_LOCKS_H
#define WICKBRIDGE_GLIB_LOCKS_H

#include <glib.h>
#include <sanitizer/tsan_interface.h>

static inline void annotated_mutex_lock(GMutex *mutex) {
    g_mutex_lock(mutex);
    __tsan_acquire(mutex);
}

static inline void annotated_mutex_unlock(GMutex *mutex) {
    __tsan_release(mutex);
    g_mutex_unlock(mutex);
}

static inline void annotated_cond_wait(GCond *condition, GMutex *mutex) {
    __tsan_release(mutex);
    g_cond_wait(condition, mutex);
    __tsan_acquire(mutex);
}

static inline gboolean annotated_cond_wait_until(GCond *condition, GMutex *mutex, gint64 until_us) {
    __tsan_release(mutex);
    gboolean signalled = g_cond_wait_until(condition, mutex, until_us);
    __tsan_acquire(mutex);
    return signalled;
}

static inline gpointer annotated_thread_join(GThread *thread) {
    gpointer result = g_thread_join(thread);
    __tsan_acquire(thread);
    return result;
}

#define g_mutex_lock annotated_mutex_lock
#define g_mutex_unlock annotated_mutex_unlock
#define g_cond_wait annotated_cond_wait
#define g_cond_wait_until annotated_cond_wait_until
#define g_thread_join annotated_thread_join

#endif
