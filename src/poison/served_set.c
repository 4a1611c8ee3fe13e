/* Recently served requests, in a table indexed by digest. */
#include "poison/served_set.h"

#include <string.h>

typedef struct wb_served_slot_t {
    uint64_t tag;  /* of the digest; a false match has a probability of 2^-54 */
    int64_t at_ms; /* 0: empty */
} wb_served_slot_t;

struct wb_served_set_t {
    wb_served_slot_t slots[WB_SERVED_SLOTS];
};

wb_served_set_t *wb_served_set_create(void) {
    return g_new0(wb_served_set_t, 1);
}

void wb_served_set_free(wb_served_set_t *set) {
    g_free(set);
}

/* The first bytes of a digest are uniformly distributed. */
static uint64_t tag_of(const wb_request_digest_t *digest) {
    uint64_t tag;
    memcpy(&tag, digest->bytes, sizeof(tag));
    return tag;
}

void wb_served_set_add(wb_served_set_t *set, const wb_request_digest_t *digest, int64_t now_ms) {
    uint64_t tag = tag_of(digest);
    set->slots[tag % WB_SERVED_SLOTS] = (wb_served_slot_t){tag, now_ms};
}

int64_t wb_served_set_last_ms(const wb_served_set_t *set, const wb_request_digest_t *digest) {
    uint64_t tag = tag_of(digest);
    const wb_served_slot_t *slot = &set->slots[tag % WB_SERVED_SLOTS];
    return slot->tag == tag ? slot->at_ms : 0;
}

gboolean wb_served_set_has(const wb_served_set_t *set, const wb_request_digest_t *digest,
                           int64_t now_ms) {
    int64_t last_ms = wb_served_set_last_ms(set, digest);
    return last_ms != 0 && now_ms - last_ms < WB_SERVED_MS;
}
