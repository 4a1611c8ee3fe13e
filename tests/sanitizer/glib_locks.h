/**
 * @file glib_locks.h
 * @brief Tells ThreadSanitizer of GLib's locks, which are futexes in a library it doesn't see into.
 *
 * Included ahead of every file in the build of scripts/sanitize.sh thread, and nowhere else.
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
