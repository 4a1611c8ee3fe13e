/* Sliding-window rate limiter for requests to an engine, and rendezvous hashing. */
#include "wickbridge/send_limiter.h"

#include <string.h>
#include <xxhash.h>

int64_t wb_send_limiter_next_ms(const wb_send_limiter_t *limiter, unsigned share, int64_t window_ms,
                                unsigned ahead, int64_t now_ms) {
    if (share == 0) {
        return G_MAXINT64;
    }
    int64_t sent = limiter->sent_ms != NULL ? limiter->sent_ms->len : 0;
    /* A request may be sent one window after the one `share` positions before it. Applied
     * repeatedly, this leads to a request already sent, at index `earlier`; negative: none. */
    int64_t earlier = sent + ahead % share - share;
    int64_t next_ms = now_ms;
    if (earlier >= 0) {
        next_ms = MAX(now_ms, g_array_index(limiter->sent_ms, int64_t, earlier) + window_ms);
    }
    return next_ms + (int64_t)(ahead / share) * window_ms;
}

void wb_send_limiter_record(wb_send_limiter_t *limiter, int64_t window_ms, int64_t now_ms) {
    if (limiter->sent_ms == NULL) {
        limiter->sent_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
    }
    while (limiter->sent_ms->len > 0 &&
           g_array_index(limiter->sent_ms, int64_t, 0) + window_ms <= now_ms) {
        g_array_remove_index(limiter->sent_ms, 0);
    }
    g_array_append_val(limiter->sent_ms, now_ms);
}

void wb_send_limiter_clear(wb_send_limiter_t *limiter) {
    if (limiter->sent_ms != NULL) {
        g_array_unref(limiter->sent_ms);
    }
    limiter->sent_ms = NULL;
}

unsigned wb_rendezvous_share(unsigned units, unsigned nodes, unsigned rank) {
    return nodes > 0 ? units / nodes + (rank < units % nodes) : 0;
}

static uint64_t rendezvous_hash(const char *node, uint64_t seed) {
    return XXH64(node, strlen(node), seed);
}

unsigned wb_rendezvous_rank(const char *subject, const char *own, GHashTable *nodes) {
    uint64_t seed = XXH64(subject, strlen(subject), 0);
    uint64_t own_hash = rendezvous_hash(own, seed);
    unsigned preceding = 0;
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, nodes);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        preceding += strcmp(id, own) != 0 && rendezvous_hash(id, seed) > own_hash;
    }
    return preceding;
}
