/* Chooses one of several nodes by rendezvous hashing. */
#include "directory/rendezvous.h"

#include <string.h>
#include <xxhash.h>

const char *wb_rendezvous_choose(const GPtrArray *ids, const char *own, GHashTable *excluded) {
    uint64_t seed = XXH64(own, strlen(own), 0);
    const char *best = NULL;
    uint64_t highest = 0;
    for (guint i = 0; i < ids->len; i++) {
        const char *id = g_ptr_array_index(ids, i);
        uint64_t weight = XXH64(id, strlen(id), seed);
        gboolean allowed =
            strcmp(id, own) != 0 && (excluded == NULL || !g_hash_table_contains(excluded, id));
        if (allowed && (best == NULL || weight > highest)) {
            best = id;
            highest = weight;
        }
    }
    return best;
}
