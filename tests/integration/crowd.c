/* Runs many client requests concurrently, one thread each. */
#include "integration.h"

typedef struct crowd_thread_t {
    crowd_t *crowd;
    crowd_call_t call;
} crowd_thread_t;

static gpointer crowd_thread_run(gpointer data) {
    crowd_thread_t *thread = data;
    answer_t *answer =
        chat(thread->call.port, thread->call.model, thread->call.tokens, thread->call.extra, NULL);
    g_mutex_lock(&thread->crowd->lock);
    g_ptr_array_add(thread->crowd->answers, answer);
    g_mutex_unlock(&thread->crowd->lock);
    g_free(thread);
    return NULL;
}

crowd_t *crowd_start(const crowd_call_t *calls, int count) {
    crowd_t *crowd = g_new0(crowd_t, 1);
    g_mutex_init(&crowd->lock);
    crowd->answers = g_ptr_array_new_with_free_func((GDestroyNotify)answer_free);
    crowd->threads = g_ptr_array_new();
    for (int i = 0; i < count; i++) {
        crowd_thread_t *thread = g_new(crowd_thread_t, 1);
        thread->crowd = crowd;
        thread->call = calls[i];
        g_ptr_array_add(crowd->threads, g_thread_new("caller", crowd_thread_run, thread));
    }
    return crowd;
}

void crowd_join(crowd_t *crowd) {
    for (guint i = 0; i < crowd->threads->len; i++)
        g_thread_join(crowd->threads->pdata[i]);
    g_ptr_array_set_size(crowd->threads, 0);
}

void crowd_free(crowd_t *crowd) {
    g_ptr_array_unref(crowd->threads);
    g_ptr_array_unref(crowd->answers);
    g_mutex_clear(&crowd->lock);
    g_free(crowd);
}

int crowd_complete(const crowd_t *crowd, int tokens) {
    int count = 0;
    for (guint i = 0; i < crowd->answers->len; i++)
        if (answer_is_complete(crowd->answers->pdata[i], tokens))
            count++;
        else
            answer_print(crowd->answers->pdata[i]);
    return count;
}

int crowd_refused(const crowd_t *crowd) {
    int count = 0;
    for (guint i = 0; i < crowd->answers->len; i++) {
        const answer_t *answer = crowd->answers->pdata[i];
        if (answer->status == 503 && answer->retry_after != NULL &&
            g_strcmp0(answer->verdict, "not-run") == 0)
            count++;
    }
    return count;
}
