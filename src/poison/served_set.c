/* Requests that engines have lately answered whole at this node. */
#include "poison/served_set.h"

#include <string.h>

typedef struct wb_served_place_t {
    uint64_t tag;  /* of the digest; a wrong match forgives one request in 2^54 */
    int64_t at_ms; /* 0: empty */
} wb_served_place_t;

struct wb_served_set_t {
    wb_served_place_t places[WB_SERVED_SLOTS];
};

wb_served_set_t *wb_served_set_create(void) {
    return g_new0(wb_served_set_t, 1);
}

void wb_served_set_free(wb_served_set_t *set) {
    g_free(set);
}

/* A digest's first bytes are as good as chance. */
static uint64_t tag_of(const wb_request_digest_t *digest) {
    uint64_t tag;
    memcpy(&tag, digest->bytes, sizeof(tag));
    return tag;
}

void wb_served_set_add(wb_served_set_t *set, const wb_request_digest_t *digest, int64_t now_ms) {
    uint64_t tag = tag_of(digest);
    set->places[tag % WB_SERVED_SLOTS] = (wb_served_place_t){tag, now_ms};
}

gboolean wb_served_set_has(const wb_served_set_t *set, const wb_request_digest_t *digest,
                           int64_t now_ms) {
    uint64_t tag = tag_of(digest);
    const wb_served_place_t *place = &set->places[tag % WB_SERVED_SLOTS];
    return place->tag == tag && place->at_ms != 0 && now_ms - place->at_ms < WB_SERVED_MS;
}
